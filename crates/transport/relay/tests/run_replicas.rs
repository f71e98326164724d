//! A run whose engine is lost goes on at the engine that holds its replica.

mod support;

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, Response, TEST_TIMEOUT, TestRelay, chunk, event,
    not_run_response, stream_head, wait_for_close, write,
};

/// A prompt and an answer that are worth a replica.
const USAGE: &str = "Token-Usage: 200,200\r\n";
const ID: &str = "id-/stream/1";

/// Age from which on a run is held to have a replica, and a little more.
const REPLICA_AGE: Duration = Duration::from_millis(210);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn continues(request: &ReceivedRequest) -> bool {
    request.header("resume-from").is_some()
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
fn lose(stream: &mut std::net::TcpStream, request: &ReceivedRequest, loss: Loss) -> bool {
    if !matches!(loss, Loss::BeforeHead) {
        write(stream, &stream_head(request, "source"));
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
type Continuation = dyn Fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool + Send + Sync;

/// Two engines: the one that is asked first loses its run, the other continues it.
struct Pair {
    engines: [MockBackEnd; 2],
    relay: TestRelay,
}

impl Pair {
    fn new(
        loss: Loss,
        continuation: impl Fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool
        + Send
        + Sync
        + 'static,
    ) -> Self {
        let continuation: Arc<Continuation> = Arc::new(continuation);
        let engines = [0, 1].map(|_| {
            let continuation = Arc::clone(&continuation);
            MockBackEnd::start(move |stream, request, _| {
                if continues(request) {
                    continuation(stream, request)
                } else {
                    lose(stream, request, loss)
                }
            })
        });
        let relay = TestRelay::with_replicating_engines(&[&engines[0], &engines[1]]);
        Self { engines, relay }
    }

    fn call(&self) -> Response {
        self.relay.call("POST", "/stream/1", USAGE, "x")
    }

    /// Requests that both engines saw: first runs, and continued ones.
    fn first_and_continued_requests(&self) -> (Vec<ReceivedRequest>, Vec<ReceivedRequest>) {
        let all = self.engines.iter().flat_map(|engine| {
            let requests = engine.requests.lock().expect("lock");
            requests.clone()
        });
        let (continued, first): (Vec<ReceivedRequest>, Vec<ReceivedRequest>) =
            all.partition(continues);
        (first, continued)
    }

    /// The engine that was asked to continue, and not the first one.
    fn holder(&self) -> &MockBackEnd {
        let is_holder = |engine: &&MockBackEnd| {
            let requests = engine.requests.lock().expect("lock");
            requests.iter().any(continues)
        };
        self.engines.iter().find(is_holder).expect("a holder")
    }
}

fn last_event(request: &ReceivedRequest) -> u64 {
    let id = request.header("last-event-id").expect("a place to go on");
    id.parse().expect("a number")
}

fn rest(stream: &mut std::net::TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &stream_head(request, "holder"));
    write(stream, &chunk(&events(last_event(request) + 1..=5)));
    write(stream, "0\r\n\r\n");
    true
}

#[test]
fn a_run_lost_midway_goes_on_with_no_byte_lost_or_doubled_under_its_first_head() {
    for loss in [Loss::BetweenEvents, Loss::WithinEvent, Loss::Garbled] {
        let pair = Pair::new(loss, rest);
        let response = pair.call();
        assert!(response.is_complete, "{loss:?} {response:?}");
        assert_eq!(response.body, events(1..=5), "{loss:?}");
        assert_eq!(response.header("stamp").as_deref(), Some("source"));
        let (first, continued) = pair.first_and_continued_requests();
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
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 0), "{loss:?}");
    }
    let pair = Pair::new(Loss::AtOnce, rest);
    let response = pair.call();
    assert_eq!(
        (response.is_complete, response.body),
        (false, events(1..=2))
    );
    let (first, continued) = pair.first_and_continued_requests();
    assert_eq!((first.len(), continued.len()), (1, 0));
}

#[test]
fn without_a_replica_at_the_holder_the_stream_ends_at_once_and_honestly() {
    let refusals: [fn(&ReceivedRequest) -> String; 3] = [
        not_run_response,
        |request| not_run_response(request).replace("503 Busy", "421 Misdirected Request"),
        |request| {
            not_run_response(request)
                .replace("503 Busy", "500 Failed")
                .replace("Not-Run: 1\r\n", "")
        },
    ];
    for refusal in refusals {
        let pair = Pair::new(Loss::BetweenEvents, move |stream, request| {
            write(stream, &refusal(request));
            true
        });
        let begun = Instant::now();
        let response = pair.call();
        assert!(!response.is_complete);
        assert_eq!(response.body, events(1..=2));
        // The route's time is 4 s.
        assert!(begun.elapsed() < Duration::from_millis(3_500));
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn a_run_is_taken_over_once_only() {
    let losses: [fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool; 2] = [
        |_, _| false,
        |stream, request| {
            write(stream, &stream_head(request, "holder"));
            write(stream, &chunk(&event(3)));
            false
        },
    ];
    for lose_again in losses {
        let pair = Pair::new(Loss::BetweenEvents, lose_again);
        let response = pair.call();
        assert!(!response.is_complete);
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn the_first_engine_is_told_to_stop_before_the_second_one_begins() {
    let engines: Arc<Mutex<Vec<Ends>>> = Arc::default();
    let closed = Arc::clone(&engines);
    // The garbled engine goes on until its connection is closed.
    let pair = Pair::new(Loss::Garbled, move |stream, request| {
        let begun = Instant::now();
        let has_stopped = || {
            let closed = closed.lock().expect("lock");
            closed
                .iter()
                .any(|ends| !ends.lock().expect("lock").is_empty())
        };
        while !has_stopped() && begun.elapsed() < TEST_TIMEOUT {
            std::thread::sleep(Duration::from_millis(2));
        }
        has_stopped() && rest(stream, request)
    });
    let ends = pair
        .engines
        .iter()
        .map(|engine| Arc::clone(&engine.closed_at));
    engines.lock().expect("lock").extend(ends);
    assert!(pair.call().is_complete);
}

/// A holder that tells when it was asked, and goes on once it is told to.
fn gated() -> (Pair, Receiver<()>, Sender<()>) {
    let (asked, is_asked) = mpsc::channel();
    let (go, gate) = mpsc::channel::<()>();
    let (asked, gate) = (Mutex::new(asked), Mutex::new(gate));
    let pair = Pair::new(Loss::BetweenEvents, move |stream, request| {
        asked
            .lock()
            .expect("lock")
            .send(())
            .expect("the test waits");
        let gate = gate.lock().expect("lock");
        gate.recv_timeout(TEST_TIMEOUT).is_ok() && rest(stream, request)
    });
    (pair, is_asked, go)
}

#[test]
fn a_planned_stop_lets_a_takeover_that_is_under_way_end_well() {
    let (mut pair, is_asked, go) = gated();
    let mut caller = pair.relay.connect();
    caller.send("POST", "/stream/1", USAGE, "x");
    is_asked.recv_timeout(TEST_TIMEOUT).expect("asked");
    pair.relay.begin_shutdown();
    go.send(()).expect("the holder waits");
    let response = caller.read_response();
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(1..=5));
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
    is_asked.recv_timeout(TEST_TIMEOUT).expect("asked");
    drop(caller);
    assert!(has_left.recv_timeout(TEST_TIMEOUT).expect("an end"));
}

#[test]
fn switched_off_no_replica_is_kept_and_a_lost_run_ends() {
    let engines = [0, 1].map(|_| {
        MockBackEnd::start(|stream, request, _| lose(stream, request, Loss::BetweenEvents))
    });
    let relay = TestRelay::with_replicas_disabled(&[&engines[0], &engines[1]]);
    let response = relay.call("POST", "/stream/1", USAGE, "x");
    assert!(!response.is_complete);
    assert_eq!(engines[0].request_count() + engines[1].request_count(), 1);
    let asked = engines.iter().find(|engine| engine.request_count() == 1);
    assert_eq!(
        asked.expect("one").first_request().header("replica-at"),
        None
    );
}

#[test]
fn a_callers_commands_never_reach_an_engine() {
    let back_end = MockBackEnd::start(|stream, request, _| rest_of_plain(stream, request));
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra = "Replica-At: 127.0.0.9:80\r\nResume-From: 127.0.0.9:80/other\r\n";
    assert_eq!(relay.call("POST", "/stream/1", extra, "x").status, 200);
    let request = back_end.first_request();
    assert_eq!(
        (request.header("replica-at"), request.header("resume-from")),
        (None, None)
    );
}

fn rest_of_plain(stream: &mut std::net::TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &support::ok_response(request, "done"));
    true
}

#[test]
fn a_source_that_pauses_and_is_not_known_to_be_lost_is_waited_for() {
    let engines = [0, 1].map(|_| {
        MockBackEnd::start(|stream, request, _| {
            write(stream, &stream_head(request, "source"));
            write(stream, &chunk(&event(1)));
            // Longer than a stream that may be resumed is waited for: 1.5 s.
            std::thread::sleep(Duration::from_millis(1_700));
            write(stream, &chunk(&event(2)));
            write(stream, "0\r\n\r\n");
            true
        })
    });
    let relay = TestRelay::with_replicating_engines(&[&engines[0], &engines[1]]);
    let response = relay.call("POST", "/paced/1", USAGE, "x");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(1..=2));
    assert_eq!(engines[0].request_count() + engines[1].request_count(), 1);
}
