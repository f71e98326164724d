//! The relay follows the cache contents that engines report over HTTP. Each test covers one kind
//! of failure.

mod support;

use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{MockBackEnd, ReceivedRequest, TEST_TIMEOUT, TestRelay, ok_response, write};

/// Listing of epoch 1 with next event 10: part 7 with 500 tokens.
const LISTING_BODY: &str = "1 10 0\n0 7 500\n";
const EMPTY_EVENTS_BODY: &str = "1 10 0\n";

fn cache_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn is_listing_call(request: &ReceivedRequest) -> bool {
    request.head.starts_with("GET /cache HTTP")
}

/// A call of the relay as received by the engine.
struct Call {
    target: String,
    wait: Option<String>,
    received_at: Instant,
}

/// Starts an engine that answers calls with these responses in order, then with the listing or an
/// empty list of events. An empty response closes the connection.
fn engine_with_responses(responses: Vec<String>) -> (MockBackEnd, Receiver<Call>) {
    let (call_sender, calls) = mpsc::channel();
    let responses = Arc::new(Mutex::new(responses.into_iter()));
    let back_end = MockBackEnd::start(move |stream, request, _| {
        let head = request.head.lines().next().unwrap_or_default();
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let wait = request.header("wait").map(str::to_owned);
        let received_at = Instant::now();
        // The receiver is dropped once the test has received enough calls.
        let _ = call_sender.send(Call {
            target,
            wait,
            received_at,
        });
        let default_response = cache_response(if is_listing_call(request) {
            LISTING_BODY
        } else {
            EMPTY_EVENTS_BODY
        });
        let text = responses
            .lock()
            .expect("lock")
            .next()
            .unwrap_or(default_response);
        write(stream, &text);
        !text.is_empty()
    });
    (back_end, calls)
}

fn next_call(calls: &Receiver<Call>) -> Call {
    calls.recv_timeout(TEST_TIMEOUT).expect("a call")
}

#[test]
fn the_listing_is_fetched_first_and_then_events() {
    let (engine, calls) = engine_with_responses(Vec::new());
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    assert_eq!(next_call(&calls).target, "/cache");
    let events = next_call(&calls);
    assert_eq!(events.target, "/cache-events?after=10");
    assert_eq!(events.wait.as_deref(), Some("1000"));
}

#[test]
fn the_listing_is_fetched_again_after_a_gap_in_the_events() {
    let (engine, calls) = engine_with_responses(vec![
        cache_response(LISTING_BODY),
        cache_response("1 90 1\n"),
    ]);
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    let targets = [(); 3].map(|()| next_call(&calls).target);
    assert_eq!(targets, ["/cache", "/cache-events?after=10", "/cache"]);
}

#[test]
fn the_listing_is_fetched_again_after_the_cache_was_reset() {
    let (engine, calls) = engine_with_responses(vec![
        cache_response(LISTING_BODY),
        cache_response("2 1 0\n"),
    ]);
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    let targets = [(); 3].map(|()| next_call(&calls).target);
    assert_eq!(targets, ["/cache", "/cache-events?after=10", "/cache"]);
}

/// Asserts that the relay calls for the listing again, not before 0.9 s, after this first
/// response.
fn assert_call_is_retried_after_a_delay(first_response: String) {
    let (engine, calls) = engine_with_responses(vec![first_response]);
    let relay = TestRelay::with_cache_reporting_engine(&engine);
    let failed = next_call(&calls);
    let retry = next_call(&calls);
    assert_eq!(retry.target, "/cache");
    assert!(retry.received_at - failed.received_at >= Duration::from_millis(900));
    assert_eq!(relay.readiness_status(), 200);
}

#[test]
fn a_rejected_call_is_retried_after_a_delay() {
    assert_call_is_retried_after_a_delay(
        "HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n".to_owned(),
    );
}

#[test]
fn a_call_without_a_response_is_retried_after_a_delay() {
    assert_call_is_retried_after_a_delay(String::new());
}

#[test]
fn a_malformed_response_is_not_used() {
    assert_call_is_retried_after_a_delay(cache_response("kept: all"));
}

#[test]
fn an_incomplete_response_is_abandoned() {
    let truncated_response =
        format!("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{LISTING_BODY}");
    assert_call_is_retried_after_a_delay(truncated_response);
}

/// A response with the listing and a further header line.
fn listing_with_header_line(header_line: &str) -> String {
    cache_response(LISTING_BODY).replacen("\r\n", &format!("\r\n{header_line}\r\n"), 1)
}

/// Starts an engine that answers cache calls with this response and forwarded requests with 200.
fn engine_with_cache_response(response: String) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, _| {
        match request.header("request-id") {
            Some(_) => write(stream, &ok_response(request, "ran")),
            None => write(stream, &response),
        }
        true
    })
}

/// Number of requests that the engine received, apart from cache calls.
fn forwarded_request_count(engine: &MockBackEnd) -> usize {
    let requests = engine.requests.lock().expect("lock");
    requests
        .iter()
        .filter(|request| !request.id().is_empty())
        .count()
}

/// Sends requests until the relay refuses them because of the state that the engine reported, and
/// asserts that the engine receives none from then on.
fn assert_no_request_is_sent_once_known(engine: &MockBackEnd) {
    let relay = TestRelay::with_cache_reporting_engine(engine);
    let call = || relay.call("POST", "/write/1", "", "x").status;
    let started_at = Instant::now();
    while call() != 503 {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the reported state is not applied"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let count_before = forwarded_request_count(engine);
    for _ in 0..10 {
        assert_eq!(call(), 503);
    }
    assert_eq!(forwarded_request_count(engine), count_before);
}

/// A node may follow the cache of an engine without sending it any requests of callers, so the
/// state must be read from responses to cache calls too.
#[test]
fn an_engine_that_announces_draining_in_a_cache_response_gets_no_request() {
    assert_no_request_is_sent_once_known(&engine_with_cache_response(listing_with_header_line(
        "Leaving: 1",
    )));
}

#[test]
fn retry_after_in_a_cache_response_is_respected() {
    let refusal = listing_with_header_line("Retry-After: 600").replacen("200 OK", "503 Busy", 1);
    assert_no_request_is_sent_once_known(&engine_with_cache_response(refusal));
}
