//! Callers that send invalid requests or disconnect early, and graceful shutdown.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::{
    API_KEY, HOST, MockBackEnd, TEST_TIMEOUT, TestRelay, chunk, event, ok_response, stream_head,
    write,
};

/// Callers that disconnect together. All groups have several times the 84 requests that a back
/// end with 64 slots accepts.
const CALLERS_PER_GROUP: usize = 60;
const GROUP_COUNT: usize = 10;
/// Draining back ends in the pool, so many that each dispatch takes milliseconds.
const DRAINING_BACK_END_COUNT: usize = 20_000;

fn healthy_back_end() -> MockBackEnd {
    MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "ok"));
        true
    })
}

#[rstest]
#[case::unknown_path("/nowhere/1", "", 404)]
#[case::unknown_host("/read/1", "host-wrong", 404)]
#[case::no_key("/read/1", "key-none", 401)]
#[case::wrong_key("/read/1", "key-wrong", 401)]
#[case::no_id("/read/1", "id-none", 400)]
#[case::time_unreadable("/read/1", "time-wrong", 400)]
fn an_invalid_request_is_refused_and_the_next_on_its_connection_is_served(
    #[case] path: &str,
    #[case] defect: &str,
    #[case] expected: u16,
) {
    let back_end = healthy_back_end();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let host = if defect == "host-wrong" {
        "other"
    } else {
        HOST
    };
    let authorization_line = match defect {
        "key-none" => String::new(),
        "key-wrong" => "Authorization: Bearer other\r\n".to_owned(),
        _ => format!("Authorization: Bearer {API_KEY}\r\n"),
    };
    let request_id_line = if defect == "id-none" {
        ""
    } else {
        "Request-Id: 1\r\n"
    };
    let remaining_time_line = if defect == "time-wrong" {
        "Remaining-Ms: soon\r\n"
    } else {
        ""
    };
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\n\
         {authorization_line}{request_id_line}{remaining_time_line}\r\n"
    );
    write(&mut caller.stream, &text);
    let response = caller.read_response();
    assert_eq!(response.status, expected);
    assert_eq!(back_end.request_count(), 0);
    caller.send("GET", "/read/2", "", "");
    assert_eq!(caller.read_response().status, 200);
}

#[test]
fn without_a_configuration_requests_are_answered_with_retry_after() {
    let relay = TestRelay::without_configuration();
    assert_eq!(relay.readiness_status(), 503);
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn a_request_before_the_first_configuration_waits_for_it() {
    let back_end = healthy_back_end();
    let delay = Duration::from_millis(100);
    let relay = TestRelay::with_delayed_configuration(&back_end, delay);
    let started_at = Instant::now();
    let response = relay.call("GET", "/read/1", "", "");
    // On a busy machine the configuration may arrive after the relay stopped waiting for it;
    // the refusal must not come before that.
    let has_waited = started_at.elapsed() >= Duration::from_millis(250);
    assert!(response.status == 200 || has_waited, "{response:?}");
}

#[test]
fn a_body_over_the_limit_is_refused_and_not_forwarded() {
    let back_end = healthy_back_end();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let head = format!(
        "POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 1\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: 400000\r\n\r\n"
    );
    write(&mut caller.stream, &head);
    assert_eq!(caller.read_response().status, 413);
    assert_eq!(back_end.request_count(), 0);
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let back_end = healthy_back_end();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra_headers = format!("X-Long: {}\r\n", "h".repeat(40_000));
    let response = relay.call("GET", "/read/1", &extra_headers, "");
    assert_eq!(response.status, 431);
    assert_eq!(back_end.request_count(), 0);
}

#[test]
fn content_length_beside_chunked_encoding_cannot_smuggle_a_request() {
    let back_end = healthy_back_end();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let text = format!(
        "POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 1\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: 45\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
    );
    write(&mut caller.stream, &text);
    let _ = caller.read_response();
    std::thread::sleep(Duration::from_millis(100));
    let requests = back_end.requests.lock().expect("lock");
    assert!(
        requests
            .iter()
            .all(|request| !request.head.contains("hidden"))
    );
}

fn wait_for(failure: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{failure}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_disconnect_before_the_response_closes_the_connection_to_the_back_end() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    let disconnected_at = Instant::now();
    drop(caller);
    let is_closed = || back_end.close_times.lock().expect("lock").len() == 1;
    wait_for("the back end's connection stays open", is_closed);
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(3),
        "closed only at the route timeout"
    );
}

#[test]
fn a_disconnect_during_a_stream_closes_the_connection_to_the_back_end() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &stream_head(request, "one"));
        write(stream, &chunk(&event(1)));
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/stream/1", "", "x");
    let mut buffer = [0; 64];
    let _ = std::io::Read::read(&mut caller.stream, &mut buffer);
    let disconnected_at = Instant::now();
    drop(caller);
    let is_closed = || back_end.close_times.lock().expect("lock").len() == 1;
    wait_for("the back end's connection stays open", is_closed);
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(3),
        "closed only at the route timeout"
    );
}

/// A caller may disconnect after its request was passed to the control thread for dispatch and
/// before the reply, which is slow on a node with little CPU time. The lease was then granted
/// and never released: it counted at its back end, on all nodes, for the lifetime of the process.
/// 24 such leases fill a pool of three back ends with 6 slots permanently.
///
/// Here each dispatch takes milliseconds, as it examines thousands of draining back ends.
#[test]
fn callers_that_disconnect_during_dispatch_leak_no_back_end_slots() {
    let back_end = healthy_back_end();
    let relay = TestRelay::with_draining_back_ends(&back_end, DRAINING_BACK_END_COUNT);
    for _ in 0..GROUP_COUNT {
        let callers = (0..CALLERS_PER_GROUP).map(|_| {
            let mut caller = relay.connect();
            caller.send("GET", "/read/left", "", "");
            caller
        });
        let callers: Vec<_> = callers.collect();
        drop(callers);
        // Dispatched after the requests of the callers that disconnected.
        relay.call("GET", "/read/between", "", "");
    }
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn a_graceful_shutdown_finishes_received_requests_and_closes_connections() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        std::thread::sleep(Duration::from_millis(200));
        write(stream, &ok_response(request, "late but whole"));
        true
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.readiness_status(), 200);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    wait_for("the relay is still ready", || {
        relay.readiness_status() == 503
    });
    let response = caller.read_response();
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "late but whole")
    );
    assert_eq!(response.header("connection").as_deref(), Some("close"));
    relay.wait_for_exit();
}

#[test]
fn a_graceful_shutdown_answers_requests_whose_back_end_does_not_respond() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    let response = caller.read_response();
    assert_eq!(response.status, 502);
    relay.wait_for_exit();
}

#[test]
fn late_in_a_graceful_shutdown_new_requests_are_refused_with_retry_after() {
    let back_end = MockBackEnd::start(|stream, _, number| {
        if number == 1 {
            support::wait_for_close(stream);
        }
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut open_caller = relay.connect();
    open_caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    std::thread::sleep(Duration::from_millis(600));
    let response = relay.call("POST", "/write/2", "", "x");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(back_end.request_count(), 1);
    relay.wait_for_exit();
}

#[test]
fn a_connection_opened_late_in_a_graceful_shutdown_gets_a_response() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut open_caller = relay.connect();
    open_caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    std::thread::sleep(Duration::from_millis(600));
    let mut late_caller = relay.connect();
    std::thread::sleep(Duration::from_millis(100));
    late_caller.send("POST", "/write/2", "", "x");
    let response = late_caller.read_response();
    assert_eq!(response.status, 503);
    assert_eq!(response.header("connection").as_deref(), Some("close"));
    relay.wait_for_exit();
}
