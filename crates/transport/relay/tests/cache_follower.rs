//! Calls for what engines keep, over sockets; one failure a test.

mod support;

use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{MockBackEnd, ReceivedRequest, TEST_TIMEOUT, TestRelay, ok_response, write};

const LISTING: &str = "1 10 0\n0 7 500\n";
const NO_EVENTS: &str = "1 10 0\n";

fn ok(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn is_listing(request: &ReceivedRequest) -> bool {
    request.head.starts_with("GET /cache HTTP")
}

/// A call as the engine saw it.
struct Call {
    target: String,
    wait: Option<String>,
    at: Instant,
}

/// An engine that answers its calls with these texts, one after the other, and then without
/// events. An empty text closes the connection.
fn engine(responses: Vec<String>) -> (MockBackEnd, Receiver<Call>) {
    let (call_sender, calls) = mpsc::channel();
    let responses = Arc::new(Mutex::new(responses.into_iter()));
    let back_end = MockBackEnd::start(move |stream, request, _| {
        let head = request.head.lines().next().unwrap_or_default();
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let wait = request.header("wait").map(str::to_owned);
        let at = Instant::now();
        // A test that has seen enough is gone.
        let _ = call_sender.send(Call { target, wait, at });
        let usual = ok(if is_listing(request) {
            LISTING
        } else {
            NO_EVENTS
        });
        let text = responses.lock().expect("lock").next().unwrap_or(usual);
        write(stream, &text);
        !text.is_empty()
    });
    (back_end, calls)
}

fn next(calls: &Receiver<Call>) -> Call {
    calls.recv_timeout(TEST_TIMEOUT).expect("a call")
}

#[test]
fn an_engine_is_listed_and_then_asked_for_events() {
    let (engine, calls) = engine(Vec::new());
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    assert_eq!(next(&calls).target, "/cache");
    let events = next(&calls);
    assert_eq!(events.target, "/cache-events?after=10");
    assert_eq!(events.wait.as_deref(), Some("1000"));
}

#[test]
fn after_a_gap_it_is_listed_again() {
    let (engine, calls) = engine(vec![ok(LISTING), ok("1 90 1\n")]);
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    let targets = [(); 3].map(|()| next(&calls).target);
    assert_eq!(targets, ["/cache", "/cache-events?after=10", "/cache"]);
}

#[test]
fn after_a_restart_of_its_cache_it_is_listed_again() {
    let (engine, calls) = engine(vec![ok(LISTING), ok("2 1 0\n")]);
    let _relay = TestRelay::with_cache_reporting_engine(&engine);
    let targets = [(); 3].map(|()| next(&calls).target);
    assert_eq!(targets, ["/cache", "/cache-events?after=10", "/cache"]);
}

/// Whatever the first call comes to, the next one waits.
fn is_repeated_later(first: String) {
    let (engine, calls) = engine(vec![first]);
    let relay = TestRelay::with_cache_reporting_engine(&engine);
    let failed = next(&calls);
    let retry = next(&calls);
    assert_eq!(retry.target, "/cache");
    assert!(retry.at - failed.at >= Duration::from_millis(900));
    assert_eq!(relay.readiness_status(), 200);
}

#[test]
fn a_call_turned_away_is_repeated_later() {
    is_repeated_later("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n".to_owned());
}

#[test]
fn a_call_without_an_answer_is_repeated_later() {
    is_repeated_later(String::new());
}

#[test]
fn an_answer_of_unknown_shape_is_not_used() {
    is_repeated_later(ok("kept: all"));
}

#[test]
fn an_answer_without_end_is_given_up() {
    let endless = format!("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{LISTING}");
    is_repeated_later(endless);
}

/// An answer to a call for what it keeps, with a further header line.
fn told(line: &str) -> String {
    ok(LISTING).replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

/// An engine whose answers to such calls say something of itself; requests it answers whole.
fn engine_saying(response: String) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, _| {
        match request.header("request-id") {
            Some(_) => write(stream, &ok_response(request, "ran")),
            None => write(stream, &response),
        }
        true
    })
}

fn requests(engine: &MockBackEnd) -> usize {
    let requests = engine.requests.lock().expect("lock");
    requests.iter().filter(|it| !it.id().is_empty()).count()
}

/// Calls until the node knows what the engine said of itself; from then on nothing more comes.
fn gets_nothing_once_known(engine: &MockBackEnd) {
    let relay = TestRelay::with_cache_reporting_engine(engine);
    let call = || relay.call("POST", "/write/1", "", "x").status;
    let begun = Instant::now();
    while call() != 503 {
        assert!(begun.elapsed() < TEST_TIMEOUT, "its word is not heard");
        std::thread::sleep(Duration::from_millis(20));
    }
    let before = requests(engine);
    for _ in 0..10 {
        assert_eq!(call(), 503);
    }
    assert_eq!(requests(engine), before);
}

/// A node may follow an engine that none of its callers' requests go to.
#[test]
fn an_engine_that_says_in_such_an_answer_that_it_leaves_gets_no_request() {
    gets_nothing_once_known(&engine_saying(told("Leaving: 1")));
}

#[test]
fn an_engine_that_asks_for_a_rest_in_such_an_answer_gets_it() {
    let refused = told("Retry-After: 600").replacen("200 OK", "503 Busy", 1);
    gets_nothing_once_known(&engine_saying(refused));
}
