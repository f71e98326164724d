//! A run whose engine is lost continues at the engine that holds its replica.

mod support;

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, Response, TEST_TIMEOUT, TestRelay, chunk, event,
    not_run_response, stream_head, wait_for_close, write,
};

/// Header line with token counts of prompt and response for which a replica is requested.
const TOKEN_USAGE_LINE: &str = "Token-Usage: 200,200\r\n";
/// Request id that the caller sends for `/stream/1`.
const REQUEST_ID: &str = "id-/stream/1";

/// A little more than the age from which on a run is assumed to have a replica.
const REPLICA_AGE: Duration = Duration::from_millis(210);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

/// Whether a request asks an engine to continue a run from its replica.
fn is_continuation(request: &ReceivedRequest) -> bool {
    request.header("resume-from").is_some()
}

/// How far a stream gets before its engine is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    BeforeHead,
    BeforeFirstEvent,
    /// Between two events, but before the run has a replica.
    BeforeReplica,
    BetweenEvents,
    WithinEvent,
    InvalidChunk,
}

/// Sends a stream up to the given point; returns whether the connection stays open.
fn send_and_lose_stream(
    stream: &mut std::net::TcpStream,
    request: &ReceivedRequest,
    loss: Loss,
) -> bool {
    if !matches!(loss, Loss::BeforeHead) {
        write(stream, &stream_head(request, "source"));
    }
    if !matches!(loss, Loss::BeforeHead | Loss::BeforeFirstEvent) {
        write(stream, &chunk(&events(1..=2)));
    }
    if !matches!(
        loss,
        Loss::BeforeHead | Loss::BeforeFirstEvent | Loss::BeforeReplica
    ) {
        std::thread::sleep(REPLICA_AGE);
    }
    match loss {
        Loss::WithinEvent => write(stream, &chunk(&event(3)[..9])),
        Loss::InvalidChunk => {
            write(stream, "this is no chunk\r\n");
            wait_for_close(stream);
        }
        _ => {}
    }
    false
}

/// When the connections of an engine ended.
type CloseTimes = Arc<Mutex<Vec<Instant>>>;
type ContinuationHandler = dyn Fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool + Send + Sync;

/// A relay with two engines: the one that is chosen first loses its run, the other continues it.
struct EnginePair {
    engines: [MockBackEnd; 2],
    relay: TestRelay,
}

impl EnginePair {
    fn new(
        loss: Loss,
        continuation: impl Fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool
        + Send
        + Sync
        + 'static,
    ) -> Self {
        let continuation: Arc<ContinuationHandler> = Arc::new(continuation);
        let engines = [0, 1].map(|_| {
            let continuation = Arc::clone(&continuation);
            MockBackEnd::start(move |stream, request, _| {
                if is_continuation(request) {
                    continuation(stream, request)
                } else {
                    send_and_lose_stream(stream, request, loss)
                }
            })
        });
        let relay = TestRelay::with_replicating_engines(&[&engines[0], &engines[1]]);
        Self { engines, relay }
    }

    fn call(&self) -> Response {
        self.relay.call("POST", "/stream/1", TOKEN_USAGE_LINE, "x")
    }

    /// The requests that both engines received: first runs, and continuations.
    fn first_and_continued_requests(&self) -> (Vec<ReceivedRequest>, Vec<ReceivedRequest>) {
        let all = self.engines.iter().flat_map(|engine| {
            let requests = engine.requests.lock().expect("lock");
            requests.clone()
        });
        let (continued, first): (Vec<ReceivedRequest>, Vec<ReceivedRequest>) =
            all.partition(is_continuation);
        (first, continued)
    }

    /// The engine that was asked to continue the run.
    fn holder(&self) -> &MockBackEnd {
        let is_holder = |engine: &&MockBackEnd| {
            let requests = engine.requests.lock().expect("lock");
            requests.iter().any(is_continuation)
        };
        self.engines.iter().find(is_holder).expect("a holder")
    }
}

fn last_event_id(request: &ReceivedRequest) -> u64 {
    let id = request
        .header("last-event-id")
        .expect("the header is present");
    id.parse().expect("a number")
}

fn send_remaining_events(stream: &mut std::net::TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &stream_head(request, "holder"));
    write(stream, &chunk(&events(last_event_id(request) + 1..=5)));
    write(stream, "0\r\n\r\n");
    true
}

#[test]
fn a_run_lost_midway_continues_without_lost_or_duplicate_bytes_under_its_first_head() {
    for loss in [Loss::BetweenEvents, Loss::WithinEvent, Loss::InvalidChunk] {
        let pair = EnginePair::new(loss, send_remaining_events);
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
        let replica = format!("{holder}/{REQUEST_ID}");
        assert_eq!(continued[0].header("resume-from"), Some(replica.as_str()));
        assert_eq!(continued[0].header("last-event-id"), Some("2"));
        assert_eq!(continued[0].id(), REQUEST_ID);
        assert_eq!(continued[0].header("replica-at"), None);
        assert_ne!(
            first[0].header("expected-instance"),
            continued[0].header("expected-instance")
        );
    }
}

#[test]
fn a_run_lost_before_its_first_event_or_its_replica_is_not_continued_elsewhere() {
    for loss in [Loss::BeforeHead, Loss::BeforeFirstEvent] {
        let pair = EnginePair::new(loss, send_remaining_events);
        assert_eq!(pair.call().status, 502, "{loss:?}");
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 0), "{loss:?}");
    }
    let pair = EnginePair::new(Loss::BeforeReplica, send_remaining_events);
    let response = pair.call();
    assert_eq!(
        (response.is_complete, response.body),
        (false, events(1..=2))
    );
    let (first, continued) = pair.first_and_continued_requests();
    assert_eq!((first.len(), continued.len()), (1, 0));
}

#[test]
fn when_the_holder_refuses_to_continue_the_stream_ends_at_once_as_incomplete() {
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
        let pair = EnginePair::new(Loss::BetweenEvents, move |stream, request| {
            write(stream, &refusal(request));
            true
        });
        let started_at = Instant::now();
        let response = pair.call();
        assert!(!response.is_complete);
        assert_eq!(response.body, events(1..=2));
        // The route timeout is 4 s.
        assert!(started_at.elapsed() < Duration::from_millis(3_500));
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn a_run_is_taken_over_at_most_once() {
    let handlers: [fn(&mut std::net::TcpStream, &ReceivedRequest) -> bool; 2] = [
        |_, _| false,
        |stream, request| {
            write(stream, &stream_head(request, "holder"));
            write(stream, &chunk(&event(3)));
            false
        },
    ];
    for handler in handlers {
        let pair = EnginePair::new(Loss::BetweenEvents, handler);
        let response = pair.call();
        assert!(!response.is_complete);
        let (first, continued) = pair.first_and_continued_requests();
        assert_eq!((first.len(), continued.len()), (1, 1));
    }
}

#[test]
fn the_connection_to_the_first_engine_is_closed_before_the_holder_continues() {
    let close_times: Arc<Mutex<Vec<CloseTimes>>> = Arc::default();
    let observed_close_times = Arc::clone(&close_times);
    // The first engine keeps its connection open until the relay closes it.
    let pair = EnginePair::new(Loss::InvalidChunk, move |stream, request| {
        let started_at = Instant::now();
        let has_stopped = || {
            let close_times = observed_close_times.lock().expect("lock");
            close_times
                .iter()
                .any(|engine| !engine.lock().expect("lock").is_empty())
        };
        while !has_stopped() && started_at.elapsed() < TEST_TIMEOUT {
            std::thread::sleep(Duration::from_millis(2));
        }
        has_stopped() && send_remaining_events(stream, request)
    });
    let engine_close_times = pair
        .engines
        .iter()
        .map(|engine| Arc::clone(&engine.close_times));
    close_times.lock().expect("lock").extend(engine_close_times);
    assert!(pair.call().is_complete);
}

/// An engine pair whose holder signals that it was asked to continue, and waits for permission.
fn pair_with_waiting_holder() -> (EnginePair, Receiver<()>, Sender<()>) {
    let (continuation_sender, continuation_receiver) = mpsc::channel();
    let (resume_sender, resume_receiver) = mpsc::channel::<()>();
    let (continuation_sender, resume_receiver) =
        (Mutex::new(continuation_sender), Mutex::new(resume_receiver));
    let pair = EnginePair::new(Loss::BetweenEvents, move |stream, request| {
        continuation_sender
            .lock()
            .expect("lock")
            .send(())
            .expect("the test waits");
        let resume_receiver = resume_receiver.lock().expect("lock");
        resume_receiver.recv_timeout(TEST_TIMEOUT).is_ok() && send_remaining_events(stream, request)
    });
    (pair, continuation_receiver, resume_sender)
}

#[test]
fn a_takeover_in_progress_finishes_during_a_graceful_shutdown() {
    let (mut pair, continuation_receiver, resume_sender) = pair_with_waiting_holder();
    let mut caller = pair.relay.connect();
    caller.send("POST", "/stream/1", TOKEN_USAGE_LINE, "x");
    continuation_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the holder is asked to continue");
    pair.relay.begin_shutdown();
    resume_sender.send(()).expect("the holder waits");
    let response = caller.read_response();
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(1..=5));
}

#[test]
fn a_disconnect_during_a_takeover_cancels_it() {
    let (continuation_sender, continuation_receiver) = mpsc::channel();
    let (close_sender, close_receiver) = mpsc::channel();
    let (continuation_sender, close_sender) =
        (Mutex::new(continuation_sender), Mutex::new(close_sender));
    let pair = EnginePair::new(Loss::BetweenEvents, move |stream, _| {
        continuation_sender
            .lock()
            .expect("lock")
            .send(())
            .expect("the test waits");
        let is_closed = wait_for_close(stream);
        close_sender
            .lock()
            .expect("lock")
            .send(is_closed)
            .expect("the test waits");
        false
    });
    let mut caller = pair.relay.connect();
    caller.send("POST", "/stream/1", TOKEN_USAGE_LINE, "x");
    continuation_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the holder is asked to continue");
    drop(caller);
    assert!(
        close_receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection ends")
    );
}

#[test]
fn with_replicas_disabled_none_is_requested_and_a_lost_run_ends() {
    let engines = [0, 1].map(|_| {
        MockBackEnd::start(|stream, request, _| {
            send_and_lose_stream(stream, request, Loss::BetweenEvents)
        })
    });
    let relay = TestRelay::with_replicas_disabled(&[&engines[0], &engines[1]]);
    let response = relay.call("POST", "/stream/1", TOKEN_USAGE_LINE, "x");
    assert!(!response.is_complete);
    assert_eq!(engines[0].request_count() + engines[1].request_count(), 1);
    let chosen_engine = engines.iter().find(|engine| engine.request_count() == 1);
    assert_eq!(
        chosen_engine
            .expect("one")
            .first_request()
            .header("replica-at"),
        None
    );
}

#[test]
fn replica_commands_of_a_caller_never_reach_an_engine() {
    let back_end = MockBackEnd::start(|stream, request, _| respond_done(stream, request));
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra_headers = "Replica-At: 127.0.0.9:80\r\nResume-From: 127.0.0.9:80/other\r\n";
    assert_eq!(
        relay.call("POST", "/stream/1", extra_headers, "x").status,
        200
    );
    let request = back_end.first_request();
    assert_eq!(
        (request.header("replica-at"), request.header("resume-from")),
        (None, None)
    );
}

fn respond_done(stream: &mut std::net::TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &support::ok_response(request, "done"));
    true
}

#[test]
fn a_pausing_engine_that_is_not_known_to_be_lost_is_waited_for() {
    let engines = [0, 1].map(|_| {
        MockBackEnd::start(|stream, request, _| {
            write(stream, &stream_head(request, "source"));
            write(stream, &chunk(&event(1)));
            // Longer than the 1.5 s for which the next event of a resumable stream is awaited.
            std::thread::sleep(Duration::from_millis(1_700));
            write(stream, &chunk(&event(2)));
            write(stream, "0\r\n\r\n");
            true
        })
    });
    let relay = TestRelay::with_replicating_engines(&[&engines[0], &engines[1]]);
    let response = relay.call("POST", "/paced/1", TOKEN_USAGE_LINE, "x");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(1..=2));
    assert_eq!(engines[0].request_count() + engines[1].request_count(), 1);
}
