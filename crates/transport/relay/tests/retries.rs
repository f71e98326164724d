//! Which requests are retried at another back end, and which are not.

mod support;

use std::net::TcpStream;
use support::{MockBackEnd, ReceivedRequest, TestRelay, not_run_response, ok_response, write};

type FailureHandler = fn(&mut TcpStream, &ReceivedRequest) -> bool;

fn start_failing_and_healthy(fail: FailureHandler) -> (MockBackEnd, MockBackEnd) {
    let failing = MockBackEnd::start(move |stream, request, _| fail(stream, request));
    let healthy = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "sound"));
        true
    });
    (failing, healthy)
}

fn refuse_as_not_run(stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &not_run_response(request));
    true
}

fn disconnect(_: &mut TcpStream, _: &ReceivedRequest) -> bool {
    false
}

fn respond_misdirected(stream: &mut TcpStream, _: &ReceivedRequest) -> bool {
    write(
        stream,
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    );
    true
}

/// Sends twelve requests, of which at least one must reach the failing back end; returns their
/// statuses and both back ends.
fn call_twelve_times(route: &str, fail: FailureHandler) -> (Vec<u16>, MockBackEnd, MockBackEnd) {
    let (failing, healthy) = start_failing_and_healthy(fail);
    let relay = TestRelay::with_back_ends(&[&failing, &healthy]);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let path = format!("/{route}/{number}");
        statuses.push(relay.call("POST", &path, "", "x").status);
    }
    assert!(
        failing.request_count() > 0,
        "the failing back end got no request"
    );
    (statuses, failing, healthy)
}

#[test]
fn a_request_that_a_back_end_did_not_run_is_retried_at_another() {
    let (statuses, _, healthy) = call_twelve_times("write", refuse_as_not_run);
    assert_eq!(statuses, vec![200; 12]);
    assert_eq!(healthy.request_count(), 12);
}

#[test]
fn a_request_for_a_replaced_instance_is_retried_at_another_back_end() {
    let (statuses, _, _) = call_twelve_times("write", respond_misdirected);
    assert_eq!(statuses, vec![200; 12]);
}

#[test]
fn a_repeatable_request_without_a_response_is_retried() {
    let (statuses, _, healthy) = call_twelve_times("read", disconnect);
    assert_eq!(statuses, vec![200; 12]);
    assert_eq!(healthy.request_count(), 12);
}

#[test]
fn a_request_that_may_have_run_and_is_not_repeatable_is_not_retried() {
    let (statuses, failing, healthy) = call_twelve_times("write", disconnect);
    let lost_count = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!(lost_count, failing.request_count());
    assert_eq!(failing.request_count() + healthy.request_count(), 12);
}

#[test]
fn refused_connections_to_a_back_end_fail_no_request() {
    let (unreachable_back_end, healthy) = start_failing_and_healthy(refuse_as_not_run);
    let address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("bound")
    };
    let unreachable_back_end = MockBackEnd {
        address,
        ..unreachable_back_end
    };
    let relay = TestRelay::with_back_ends(&[&unreachable_back_end, &healthy]);
    for number in 0..12 {
        let response = relay.call("POST", &format!("/write/{number}"), "", "x");
        assert_eq!(response.status, 200);
    }
    assert_eq!(healthy.request_count(), 12);
}

#[test]
fn an_error_response_of_the_last_attempt_is_forwarded_unchanged() {
    let respond_with_error: FailureHandler = |stream, request| {
        write(
            stream,
            &ok_response(request, "no").replacen("200 OK", "500 Error", 1),
        );
        true
    };
    let one = MockBackEnd::start(move |stream, request, _| respond_with_error(stream, request));
    let two = MockBackEnd::start(move |stream, request, _| respond_with_error(stream, request));
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!((response.status, response.body.as_str()), (500, "no"));
    assert_eq!((one.request_count(), two.request_count()), (1, 1));
}

#[test]
fn an_unresponsive_back_end_is_abandoned_at_the_route_timeout() {
    let unresponsive = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&unresponsive]);
    let started_at = std::time::Instant::now();
    let response = relay.call("POST", "/quick/1", "", "x");
    assert_eq!(response.status, 504);
    assert!(started_at.elapsed() >= std::time::Duration::from_millis(390));
    assert_eq!(unresponsive.request_count(), 1);
}
