//! A run whose engine is lost goes on at the engine that holds its replica.

mod support;

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{
    Answer, PATIENCE, Running, Seen, StandIn, chunk, event, shed, stream_head, wait_for_close,
    write,
};

/// A prompt and an answer that are worth a replica.
const USAGE: &str = "Token-Usage: 200,200\r\n";
const ID: &str = "id-/stream/1";

/// Age from which on a run is held to have a replica, and a little more.
const REPLICA_AGE: Duration = Duration::from_millis(210);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn continues(seen: &Seen) -> bool {
    seen.header("resume-from").is_some()
}

/// What a lost engine leaves of its answer.
#[derive(Clone, Copy, Debug)]
enum Loss {
    BeforeHead,
    BeforeFirstEvent,
    /// Between two events of a run so young that it has no replica yet.
    AtOnce,
    BetweenEvents,
    WithinEvent,
    Garbled,
}

/// Loses a stream; returns whether the connection is kept.
fn lose(stream: &mut std::net::TcpStream, seen: &Seen, loss: Loss) -> bool {
    if !matches!(loss, Loss::BeforeHead) {
        write(stream, &stream_head(seen, "source"));
    }
    if !matches!(loss, Loss::BeforeHead | Loss::BeforeFirstEvent) {
        write(stream, &chunk(&events(1..=2)));
    }
    if !matches!(
        loss,
        Loss::BeforeHead | Loss::BeforeFirstEvent | Loss::AtOnce
    ) {
        std::thread::sleep(REPLICA_AGE);
    }
    match loss {
        Loss::WithinEvent => write(stream, &chunk(&event(3)[..9])),
        Loss::Garbled => {
            write(stream, "this is no chunk\r\n");
            wait_for_close(stream);
        }
        _ => {}
    }
    false
}

/// When connections of an engine ended.
type Ends = Arc<Mutex<Vec<Instant>>>;
type Continuation = dyn Fn(&mut std::net::TcpStream, &Seen) -> bool + Send + Sync;

/// Two engines: the one that is asked first loses its run, the other continues it.
struct Pair {
    engines: [StandIn; 2],
    relay: Running,
}

impl Pair {
    fn new(
        loss: Loss,
        continuation: impl Fn(&mut std::net::TcpStream, &Seen) -> bool + Send + Sync + 'static,
    ) -> Self {
        let continuation: Arc<Continuation> = Arc::new(continuation);
        let engines = [0, 1].map(|_| {
            let continuation = Arc::clone(&continuation);
            StandIn::start(move |stream, seen, _| {
                if continues(seen) {
                    continuation(stream, seen)
                } else {
                    lose(stream, seen, loss)
                }
            })
        });
        let relay = Running::before_engines(&[&engines[0], &engines[1]]);
        Self { engines, relay }
    }

    fn call(&self) -> Answer {
        self.relay.call("POST", "/stream/1", USAGE, "x")
    }

    /// Requests that both engines saw: first runs, and continued ones.
    fn seen(&self) -> (Vec<Seen>, Vec<Seen>) {
        let all = self.engines.iter().flat_map(|engine| {
            let seen = engine.seen.lock().expect("lock");
            seen.clone()
        });
        let (continued, first): (Vec<Seen>, Vec<Seen>) = all.partition(continues);
        (first, continued)
    }

    /// The engine that was asked to continue, and not the first one.
    fn holder(&self) -> &StandIn {
        let is_holder = |engine: &&StandIn| {
            let seen = engine.seen.lock().expect("lock");
            seen.iter().any(continues)
        };
        self.engines.iter().find(is_holder).expect("a holder")
    }
}

fn last_event(seen: &Seen) -> u64 {
    let id = seen.header("last-event-id").expect("a place to go on");
    id.parse().expect("a number")
}

fn rest(stream: &mut std::net::TcpStream, seen: &Seen) -> bool {
    write(stream, &stream_head(seen, "holder"));
    write(stream, &chunk(&events(last_event(seen) + 1..=5)));
    write(stream, "0\r\n\r\n");
    true
}

#[test]
fn a_run_lost_midway_goes_on_with_no_byte_lost_or_doubled_under_its_first_head() {
    for loss in [Loss::BetweenEvents, Loss::WithinEvent, Loss::Garbled] {
        let pair = Pair::new(loss, rest);
        let answer = pair.call();
        assert!(answer.is_whole, "{loss:?} {answer:?}");
        assert_eq!(answer.body, events(1..=5), "{loss:?}");
        assert_eq!(answer.header("stamp").as_deref(), Some("source"));
        let (first, continued) = pair.seen();
        assert_eq!((first.len(), continued.len()), (1, 1));
        let holder = pair.holder().address;
        assert_eq!(
            first[0].header("replica-at"),
            Some(holder.to_string().as_str())
        );
        let replica = format!("{holder}/{ID}");
        assert_eq!(continued[0].header("resume-from"), Some(replica.as_str()));
        assert_eq!(continued[0].header("last-event-id"), Some("2"));
        assert_eq!(continued[0].id(), ID);
        assert_eq!(continued[0].header("replica-at"), None);
        assert_ne!(
            first[0].header("expected-instance"),
            continued[0].header("expected-instance")
        );
    }
}

#[test]
fn a_run_lost_before_its_first_event_or_just_begun_is_not_asked_for_elsewhere() {
    for loss in [Loss::BeforeHead, Loss::BeforeFirstEvent] {
        let pair = Pair::new(loss, rest);
        assert_eq!(pair.call().status, 502, "{loss:?}");
        let (first, continued) = pair.seen();
        assert_eq!((first.len(), continued.len()), (1, 0), "{loss:?}");
    }
    let pair = Pair::new(Loss::AtOnce, rest);
    let answer = pair.call();
    assert_eq!((answer.is_whole, answer.body), (false, events(1..=2)));
    let (first, continued) = pair.seen();
    assert_eq!((first.len(), continued.len()), (1, 0));
}

#[test]
fn without_a_replica_at_the_holder_the_stream_ends_at_once_and_honestly() {
    let refusals: [fn(&Seen) -> String; 3] = [
        shed,
        |seen| shed(seen).replace("503 Busy", "421 Misdirected Request"),
        |seen| {
            shed(seen)
                .replace("503 Busy", "500 Failed")
                .replace("Not-Run: 1\r\n", "")
        },
    ];
    for refusal in refusals {
        let pair = Pair::new(Loss::BetweenEvents, move |stream, seen| {
            write(stream, &refusal(seen));
            true
        });
        let begun = Instant::now();
        let answer = pair.call();
        assert!(!answer.is_whole);
        assert_eq!(answer.body, events(1..=2));
        // The route's time is 4 s.
        assert!(begun.elapsed() < Duration::from_millis(3_500));
        let (first, continued) = pair.seen();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn a_run_is_taken_over_once_only() {
    let losses: [fn(&mut std::net::TcpStream, &Seen) -> bool; 2] = [
        |_, _| false,
        |stream, seen| {
            write(stream, &stream_head(seen, "holder"));
            write(stream, &chunk(&event(3)));
            false
        },
    ];
    for lose_again in losses {
        let pair = Pair::new(Loss::BetweenEvents, lose_again);
        let answer = pair.call();
        assert!(!answer.is_whole);
        let (first, continued) = pair.seen();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn the_first_engine_is_told_to_stop_before_the_second_one_begins() {
    let engines: Arc<Mutex<Vec<Ends>>> = Arc::default();
    let closed = Arc::clone(&engines);
    // The garbled engine goes on until its connection is closed.
    let pair = Pair::new(Loss::Garbled, move |stream, seen| {
        let begun = Instant::now();
        let has_stopped = || {
            let closed = closed.lock().expect("lock");
            closed
                .iter()
                .any(|ends| !ends.lock().expect("lock").is_empty())
        };
        while !has_stopped() && begun.elapsed() < PATIENCE {
            std::thread::sleep(Duration::from_millis(2));
        }
        has_stopped() && rest(stream, seen)
    });
    let ends = pair.engines.iter().map(|engine| Arc::clone(&engine.closed));
    engines.lock().expect("lock").extend(ends);
    assert!(pair.call().is_whole);
}

/// A holder that tells when it was asked, and goes on once it is told to.
fn gated() -> (Pair, Receiver<()>, Sender<()>) {
    let (asked, is_asked) = mpsc::channel();
    let (go, gate) = mpsc::channel::<()>();
    let (asked, gate) = (Mutex::new(asked), Mutex::new(gate));
    let pair = Pair::new(Loss::BetweenEvents, move |stream, seen| {
        asked
            .lock()
            .expect("lock")
            .send(())
            .expect("the test waits");
        let gate = gate.lock().expect("lock");
        gate.recv_timeout(PATIENCE).is_ok() && rest(stream, seen)
    });
    (pair, is_asked, go)
}

#[test]
fn a_planned_stop_lets_a_takeover_that_is_under_way_end_well() {
    let (mut pair, is_asked, go) = gated();
    let mut caller = pair.relay.connect();
    caller.send("POST", "/stream/1", USAGE, "x");
    is_asked.recv_timeout(PATIENCE).expect("asked");
    pair.relay.begin_stop();
    go.send(()).expect("the holder waits");
    let answer = caller.answer();
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, events(1..=5));
}

#[test]
fn a_caller_that_leaves_during_a_takeover_ends_it() {
    let (asked, is_asked) = mpsc::channel();
    let (left, has_left) = mpsc::channel();
    let (asked, left) = (Mutex::new(asked), Mutex::new(left));
    let pair = Pair::new(Loss::BetweenEvents, move |stream, _| {
        asked
            .lock()
            .expect("lock")
            .send(())
            .expect("the test waits");
        let is_closed = wait_for_close(stream);
        left.lock()
            .expect("lock")
            .send(is_closed)
            .expect("the test waits");
        false
    });
    let mut caller = pair.relay.connect();
    caller.send("POST", "/stream/1", USAGE, "x");
    is_asked.recv_timeout(PATIENCE).expect("asked");
    drop(caller);
    assert!(has_left.recv_timeout(PATIENCE).expect("an end"));
}

#[test]
fn switched_off_no_replica_is_kept_and_a_lost_run_ends() {
    let engines =
        [0, 1].map(|_| StandIn::start(|stream, seen, _| lose(stream, seen, Loss::BetweenEvents)));
    let relay = Running::before_engines_without_replicas(&[&engines[0], &engines[1]]);
    let answer = relay.call("POST", "/stream/1", USAGE, "x");
    assert!(!answer.is_whole);
    assert_eq!(engines[0].count() + engines[1].count(), 1);
    let asked = engines.iter().find(|engine| engine.count() == 1);
    assert_eq!(asked.expect("one").first().header("replica-at"), None);
}

#[test]
fn a_callers_commands_never_reach_an_engine() {
    let back_end = StandIn::start(|stream, seen, _| rest_of_plain(stream, seen));
    let relay = Running::before(&[&back_end]);
    let extra = "Replica-At: 127.0.0.9:80\r\nResume-From: 127.0.0.9:80/other\r\n";
    assert_eq!(relay.call("POST", "/stream/1", extra, "x").status, 200);
    let seen = back_end.first();
    assert_eq!(
        (seen.header("replica-at"), seen.header("resume-from")),
        (None, None)
    );
}

fn rest_of_plain(stream: &mut std::net::TcpStream, seen: &Seen) -> bool {
    write(stream, &support::whole(seen, "done"));
    true
}

#[test]
fn a_source_that_pauses_and_is_not_known_to_be_lost_is_waited_for() {
    let engines = [0, 1].map(|_| {
        StandIn::start(|stream, seen, _| {
            write(stream, &stream_head(seen, "source"));
            write(stream, &chunk(&event(1)));
            // Longer than a stream that may be resumed is waited for: 1.5 s.
            std::thread::sleep(Duration::from_millis(1_700));
            write(stream, &chunk(&event(2)));
            write(stream, "0\r\n\r\n");
            true
        })
    });
    let relay = Running::before_engines(&[&engines[0], &engines[1]]);
    let answer = relay.call("POST", "/paced/1", USAGE, "x");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, events(1..=2));
    assert_eq!(engines[0].count() + engines[1].count(), 1);
}
