//! Memory held for callers and back ends that read slowly is bounded.

mod support;

use eiderferry_relay::MemoryKind;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{
    AMPLE_MEMORY_BUDGET, API_KEY, Caller, HOST, MockBackEnd, ReceivedRequest, TEST_TIMEOUT,
    TestRelay, chunk, ok_response, stream_head, wait_for_close, write,
};

/// Write timeout of back ends: how long a write may block while nobody reads.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Events of a stream that is longer than what the kernel buffers for one connection.
const LONG_STREAM_EVENTS: u64 = 6_000;
/// Size of an event in bytes.
const EVENT_BYTES: usize = 1_024;
const MEBIBYTE: u64 = 1024 * 1024;

fn wait_for(failure: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{failure}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Prints the peak of held memory; the table in docs/design/backpressure.md is made from it.
fn print_peak(scenario: &str, relay: &TestRelay) {
    println!("peak: {scenario}: {} bytes", relay.memory.peak_bytes());
}

/// An event of `EVENT_BYTES`.
fn long_event(id: u64) -> String {
    let head = format!("id: {id}\ndata: ");
    let padding = "w".repeat(EVENT_BYTES - head.len() - 2);
    format!("{head}{padding}\n\n")
}

/// Outcomes of the streams of a back end with a write timeout.
#[derive(Default)]
struct StreamOutcomes {
    completed: AtomicUsize,
    timed_out: AtomicUsize,
}

impl StreamOutcomes {
    fn finished_count(&self) -> usize {
        self.completed.load(Ordering::SeqCst) + self.timed_out.load(Ordering::SeqCst)
    }
}

/// Sends a stream; returns whether no write timed out.
fn send_stream_with_timeout(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    events: u64,
) -> bool {
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let mut send = |text: &str| stream.write_all(text.as_bytes()).is_ok();
    send(&stream_head(request, "one"))
        && (1..=events).all(|id| send(&chunk(&long_event(id))))
        && send("0\r\n\r\n")
}

/// Starts a back end that ends a response which is not read within its write timeout.
fn back_end_with_write_timeout(events: u64) -> (MockBackEnd, Arc<StreamOutcomes>) {
    let outcomes = Arc::new(StreamOutcomes::default());
    let recorded = Arc::clone(&outcomes);
    let back_end = MockBackEnd::with_small_buffers(move |stream, request, _| {
        let is_sent = send_stream_with_timeout(stream, request, events);
        let outcome = if is_sent {
            &recorded.completed
        } else {
            &recorded.timed_out
        };
        outcome.fetch_add(1, Ordering::SeqCst);
        is_sent
    });
    (back_end, outcomes)
}

fn is_complete_stream(body: &str, events: u64) -> bool {
    body.len() == events as usize * EVENT_BYTES
        && (1..=events).all(|id| body.contains(&format!("id: {id}\n")))
}

fn read_first_bytes(caller: &mut Caller) -> Vec<u8> {
    let mut byte = [0];
    (0..3)
        .map(|_| {
            caller.stream.read_exact(&mut byte).expect("a byte");
            std::thread::sleep(Duration::from_millis(20));
            byte[0]
        })
        .collect()
}

#[test]
fn a_slow_caller_does_not_block_its_back_end_and_gets_the_complete_response() {
    let (back_end, outcomes) = back_end_with_write_timeout(LONG_STREAM_EVENTS);
    let relay = TestRelay::with_memory_budget(&[&back_end], AMPLE_MEMORY_BUDGET);
    let mut caller = relay.connect_with_small_buffer();
    caller.send("POST", "/patient/1", "", "x");
    let prefix = read_first_bytes(&mut caller);
    assert_eq!(prefix, b"HTT");
    wait_for("the stream has not ended", || {
        outcomes.finished_count() == 1
    });
    assert_eq!(
        outcomes.completed.load(Ordering::SeqCst),
        1,
        "the back end timed out"
    );
    assert!(relay.memory.used_bytes_by_kind(MemoryKind::Events) > 0);
    let response = caller.read_response_after(prefix);
    assert!(response.is_complete);
    assert!(is_complete_stream(&response.body, LONG_STREAM_EVENTS));
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
    print_peak("one slow caller of 6 MB", &relay);
}

#[test]
fn without_a_memory_budget_a_slow_caller_blocks_its_back_end() {
    let (back_end, outcomes) = back_end_with_write_timeout(LONG_STREAM_EVENTS);
    let relay = TestRelay::with_memory_budget(&[&back_end], 0);
    let mut caller = relay.connect_with_small_buffer();
    caller.send("POST", "/patient/1", "", "x");
    wait_for("the stream neither completed nor timed out", || {
        outcomes.finished_count() == 1
    });
    assert_eq!(outcomes.timed_out.load(Ordering::SeqCst), 1);
    assert_eq!(relay.memory.used_bytes_by_kind(MemoryKind::Events), 0);
}

#[test]
fn a_thousand_slow_callers_stay_within_the_budget_and_others_are_served() {
    const CALLERS: usize = 1_000;
    const EVENTS: u64 = 600;
    const BUDGET: u64 = 40 * MEBIBYTE;
    let back_ends_with_outcomes: Vec<(MockBackEnd, Arc<StreamOutcomes>)> = (0..4)
        .map(|_| back_end_with_write_timeout(EVENTS))
        .collect();
    let back_ends: Vec<&MockBackEnd> = back_ends_with_outcomes
        .iter()
        .map(|(back_end, _)| back_end)
        .collect();
    let relay = TestRelay::with_memory_budget(&back_ends, BUDGET);
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|number| {
            let mut caller = relay.connect_with_small_buffer();
            caller.send("POST", &format!("/patient/{number}"), "", "x");
            caller
        })
        .collect();
    // Half of the budget is available for events.
    wait_for("the budget does not fill", || {
        relay.memory.peak_bytes() >= BUDGET * 45 / 100
    });
    let finished_count = || {
        back_ends_with_outcomes
            .iter()
            .map(|(_, outcomes)| outcomes.finished_count())
            .sum::<usize>()
    };
    let started_count = || {
        back_ends
            .iter()
            .map(|back_end| back_end.request_count())
            .sum::<usize>()
    };
    // Until each of the thousand has a response, waiting ones may take the slots that finished
    // ones release; another caller would then rightly find the back ends full.
    let is_each_answered = callers.iter().all(Caller::wait_for_response);
    assert!(
        is_each_answered,
        "some of the thousand callers got no response"
    );
    wait_for("not all streams have ended", || {
        started_count() > 0 && finished_count() == started_count()
    });
    let mut late_caller = relay.connect();
    late_caller.send("POST", "/patient/keen", "", "x");
    assert!(
        is_complete_stream(&late_caller.read_response().body, EVENTS),
        "another caller is not served"
    );
    let responses: Vec<_> = callers.iter_mut().map(Caller::read_response).collect();
    let is_expected = |response: &&support::Response| {
        response.is_complete && response.status == 200 && is_complete_stream(&response.body, EVENTS)
    };
    let complete_count = responses.iter().filter(is_expected).count();
    let refused_count = responses
        .iter()
        .filter(|response| response.status == 503)
        .count();
    let truncated_count = responses
        .iter()
        .filter(|response| !response.is_complete)
        .count();
    let peak = relay.memory.peak_bytes();
    print_peak("a thousand slow callers of 600 kB", &relay);
    println!("{complete_count} whole, {truncated_count} ended, {refused_count} refused");
    assert_eq!(
        complete_count + refused_count + truncated_count,
        CALLERS,
        "a response looks complete and is not"
    );
    assert!(peak <= BUDGET, "{peak} bytes were held");
    assert!(
        truncated_count > 0,
        "the budget was never exhausted, so the test proves nothing"
    );
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
}

#[test]
fn a_stream_over_the_limit_of_one_request_is_ended_as_incomplete() {
    let (back_end, outcomes) = back_end_with_write_timeout(LONG_STREAM_EVENTS);
    // An eighth of the budget, 256 KiB, is available for the events of one request.
    let relay = TestRelay::with_memory_budget(&[&back_end], 2 * MEBIBYTE);
    let mut caller = relay.connect_with_small_buffer();
    caller.send("POST", "/patient/1", "", "x");
    wait_for("the stream has not ended", || {
        outcomes.finished_count() == 1
    });
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
    assert!(relay.memory.peak_bytes() <= MEBIBYTE / 4 + 64 * 1024);
    assert!(!caller.read_response().is_complete);
}

#[test]
fn events_received_before_a_disconnect_reach_a_slow_caller_and_the_stream_ends_as_incomplete() {
    const EVENTS: u64 = 2_000;
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &stream_head(request, "one"));
        for id in 1..=EVENTS {
            write(stream, &chunk(&long_event(id)));
        }
        false
    });
    let relay = TestRelay::with_memory_budget(&[&back_end], AMPLE_MEMORY_BUDGET);
    let mut caller = relay.connect_with_small_buffer();
    caller.send("POST", "/patient/1", "", "x");
    wait_for("the back end has not disconnected", || {
        back_end.close_times.lock().expect("lock").len() == 1
    });
    let response = caller.read_response();
    assert!(is_complete_stream(&response.body, EVENTS));
    assert!(!response.is_complete);
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
}

#[test]
fn streams_of_lower_priority_are_evicted_first() {
    const EVENTS: u64 = 3_500;
    const LOW_PRIORITY: usize = 3;
    const HIGH_PRIORITY: usize = 4;
    let (back_end, outcomes) = back_end_with_write_timeout(EVENTS);
    // Half of the budget, 16 MiB, is available for events: enough for 5 of the 7 streams.
    let relay = TestRelay::with_memory_budget(&[&back_end], 32 * MEBIBYTE);
    let call = |path: String| {
        let mut caller = relay.connect_with_small_buffer();
        caller.send("POST", &path, "", "x");
        caller
    };
    let mut low_priority: Vec<Caller> = (0..LOW_PRIORITY)
        .map(|number| call(format!("/patient/{number}")))
        .collect();
    wait_for("not all streams were read ahead", || {
        outcomes.finished_count() == LOW_PRIORITY
    });
    assert_eq!(outcomes.timed_out.load(Ordering::SeqCst), 0);
    let mut high_priority: Vec<Caller> = (0..HIGH_PRIORITY)
        .map(|number| call(format!("/patient-urgent/{number}")))
        .collect();
    wait_for("not all streams have ended", || {
        outcomes.finished_count() == LOW_PRIORITY + HIGH_PRIORITY
    });
    let count_complete = |callers: &mut Vec<Caller>| {
        let responses = callers.iter_mut().map(Caller::read_response);
        responses.filter(|response| response.is_complete).count()
    };
    assert_eq!(
        count_complete(&mut high_priority),
        HIGH_PRIORITY,
        "a stream of high priority was evicted"
    );
    assert!(
        count_complete(&mut low_priority) < LOW_PRIORITY,
        "no stream was evicted"
    );
    let request_body_bytes = (LOW_PRIORITY + HIGH_PRIORITY) as u64;
    assert!(relay.memory.peak_bytes() <= 16 * MEBIBYTE + request_body_bytes);
    print_peak("seven slow callers of 3.5 MB, three less urgent", &relay);
}

#[test]
fn a_disconnect_during_a_stream_releases_its_memory_and_back_end_connection() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &stream_head(request, "one"));
        for id in 1..=LONG_STREAM_EVENTS {
            write(stream, &chunk(&long_event(id)));
        }
        wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_memory_budget(&[&back_end], AMPLE_MEMORY_BUDGET);
    let mut caller = relay.connect_with_small_buffer();
    caller.send("POST", "/patient/1", "", "x");
    let held = || relay.memory.used_bytes_by_kind(MemoryKind::Events);
    wait_for("nothing is read ahead", || held() > MEBIBYTE);
    drop(caller);
    wait_for("the back end's connection stays open", || {
        back_end.close_times.lock().expect("lock").len() == 1
    });
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
}

#[test]
fn a_back_end_that_stops_reading_a_body_is_abandoned_at_the_route_timeout() {
    let back_end = MockBackEnd::with_small_buffers(|stream, _, _| {
        // Reads nothing after the head.
        std::thread::sleep(TEST_TIMEOUT / 4);
        let _ = stream.flush();
        false
    });
    let relay = TestRelay::with_memory_budget(&[&back_end], AMPLE_MEMORY_BUDGET);
    let body = "b".repeat(290_000);
    let started_at = Instant::now();
    let response = relay.call("POST", "/quick/1", "Test-Answer-Early: 1\r\n", &body);
    assert_eq!(response.status, 504);
    assert!(
        started_at.elapsed() < TEST_TIMEOUT / 4,
        "answered only when the back end disconnected"
    );
    assert!(
        relay.memory.peak_bytes() >= 290_000,
        "the body was not counted"
    );
    wait_for("the memory of the body is not released", || {
        relay.memory.used_bytes() == 0
    });
}

/// Starts a back end whose responses have the maximum accepted length, 4 MiB.
fn back_end_with_longest_response() -> MockBackEnd {
    let body = "a".repeat(4 * MEBIBYTE as usize);
    MockBackEnd::start(move |stream, request, _| {
        write(stream, &ok_response(request, &body));
        true
    })
}

#[test]
fn the_longest_responses_count_as_held_memory_until_slow_callers_read_them() {
    const CALLERS: usize = 8;
    let back_end = back_end_with_longest_response();
    let relay = TestRelay::with_memory_budget(&[&back_end], AMPLE_MEMORY_BUDGET);
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|_| relay.connect_with_small_buffer())
        .collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("GET", &format!("/patient-read/{number}"), "", "");
    }
    let longest = 4 * MEBIBYTE;
    wait_for("the responses are not held", || {
        relay.memory.used_bytes_by_kind(MemoryKind::Response) == longest * CALLERS as u64
    });
    for caller in &mut callers {
        let response = caller.read_response();
        assert_eq!(response.body.len() as u64, longest, "{}", response.head);
        assert!(response.is_complete);
    }
    wait_for("memory is not released", || relay.memory.used_bytes() == 0);
    print_peak("eight whole answers of 4 MiB", &relay);
}

#[test]
fn responses_over_the_memory_budget_get_502_and_the_budget_is_kept() {
    const CALLERS: usize = 4;
    const BUDGET: u64 = 10 * MEBIBYTE;
    let back_end = back_end_with_longest_response();
    let relay = TestRelay::with_memory_budget(&[&back_end], BUDGET);
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|_| relay.connect_with_small_buffer())
        .collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("GET", &format!("/patient-read/{number}"), "", "");
    }
    wait_for("not all requests reached the back end", || {
        back_end.request_count() == CALLERS
    });
    let responses: Vec<_> = callers.iter_mut().map(Caller::read_response).collect();
    let complete = responses.iter().filter(|response| response.status == 200);
    let lost = responses.iter().filter(|response| response.status == 502);
    assert!(complete.clone().all(|response| response.is_complete));
    assert_eq!(complete.count() + lost.count(), CALLERS);
    assert!(relay.memory.peak_bytes() <= BUDGET);
    print_peak("four whole answers of 4 MiB", &relay);
}

/// Sends the head of a request whose body does not follow.
fn send_request_head(caller: &mut Caller, path: &str, length: usize) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id-{path}\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: {length}\r\n\r\n"
    );
    write(&mut caller.stream, &head);
}

/// Starts a back end that never responds.
fn unresponsive_back_end() -> MockBackEnd {
    MockBackEnd::start(|stream, _, _| {
        wait_for_close(stream);
        false
    })
}

#[test]
fn a_body_over_the_memory_budget_is_refused_before_it_is_read() {
    let back_end = unresponsive_back_end();
    let relay = TestRelay::with_memory_budget(&[&back_end], 300_000);
    let mut first = relay.connect();
    first.send("POST", "/patient/1", "", &"b".repeat(200_000));
    wait_for("the first request did not arrive", || {
        back_end.request_count() == 1
    });
    let mut second = relay.connect();
    send_request_head(&mut second, "/patient/2", 100_000);
    let response = second.read_response();
    assert_eq!((response.status, response.body.as_str()), (503, "memory\n"));
    let retry_after: f64 = response
        .header("retry-after")
        .and_then(|value| value.parse().ok())
        .expect("a number of seconds");
    assert!(retry_after > 0.0);
    assert_eq!(back_end.request_count(), 1);
    assert!(relay.memory.peak_bytes() <= 300_000);
    drop(first);
    wait_for("the memory of the body is not released", || {
        relay.memory.used_bytes() == 0
    });
    let mut third = relay.connect();
    third.send("POST", "/patient/3", "", &"b".repeat(100_000));
    wait_for(
        "the request is not forwarded though the budget has room",
        || back_end.request_count() == 2,
    );
}

#[test]
fn without_a_memory_budget_every_body_is_accepted() {
    let back_end = unresponsive_back_end();
    let relay = TestRelay::with_memory_budget(&[&back_end], 0);
    let callers: Vec<Caller> = (1..=3)
        .map(|number| {
            let mut caller = relay.connect();
            let body = "b".repeat(200_000);
            caller.send("POST", &format!("/patient/{number}"), "", &body);
            caller
        })
        .collect();
    wait_for("not all requests arrived", || {
        back_end.request_count() == callers.len()
    });
}

#[test]
fn bodies_held_for_one_back_end_are_limited() {
    let back_end = unresponsive_back_end();
    // A quarter of the budget, 256 KiB, is available for the bodies at one back end.
    let relay = TestRelay::with_memory_budget(&[&back_end], MEBIBYTE);
    let mut first = relay.connect();
    first.send("POST", "/patient/1", "", &"b".repeat(200_000));
    wait_for("the first request did not arrive", || {
        back_end.request_count() == 1
    });
    let response = relay.call("POST", "/patient/2", "", &"b".repeat(200_000));
    assert_eq!(response.status, 503);
    assert_eq!(back_end.request_count(), 1);
    let mut small = relay.connect();
    small.send("POST", "/patient/3", "", "b");
    wait_for("a small body is not forwarded", || {
        back_end.request_count() == 2
    });
}
