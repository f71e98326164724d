//! Back ends that announce in their responses, with the header `Leaving`, that they are draining.
//!
//! Formerly a node took this from the platform's list alone and did not read it from responses.
//! When the platform's store was unavailable and an engine started to drain half a second later, a
//! node that had forwarded a response with the announcement still sent it requests 4 and 6 s later,
//! each dispatched within 4 ms from a list that was 4 to 8 s old. Requests sent last would be lost
//! when the engine exits. Below, only the responses announce the draining.

mod support;

use rstest::rstest;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, TEST_TIMEOUT, TestRelay, back_end_responding_with, chunk, event,
    not_run_response, ok_response, stream_head, with_header_line, write,
};

/// Time after the announcement from which on no new request may reach the back end.
const ROUTING_STOP_TIME: Duration = Duration::from_secs(2);
/// Number of requests sent after that time.
const LATER_REQUESTS: usize = 24;
/// Requests that a back end answers with success before it drains, so that its health does not
/// affect what follows.
const REQUESTS_BEFORE_DRAINING: usize = 40;

fn with_draining_header(response: &str) -> String {
    with_header_line(response, "Leaving: 1")
}

fn respond_ok(stream: &mut TcpStream, request: &ReceivedRequest) {
    write(
        stream,
        &with_draining_header(&ok_response(request, "leaving")),
    );
}

fn respond_with_error(stream: &mut TcpStream, request: &ReceivedRequest) {
    let failure = ok_response(request, "leaving").replacen("200 OK", "500 Error", 1);
    write(stream, &with_draining_header(&failure));
}

fn respond_with_stream(stream: &mut TcpStream, request: &ReceivedRequest) {
    write(stream, &with_draining_header(&stream_head(request, "s")));
    write(stream, &chunk(&event(1)));
    write(stream, "0\r\n\r\n");
}

fn refuse(stream: &mut TcpStream, request: &ReceivedRequest) {
    write(stream, &with_draining_header(&not_run_response(request)));
}

/// Starts a back end that begins to drain and announces it in each response from then on.
fn draining_back_end(respond: fn(&mut TcpStream, &ReceivedRequest)) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, number| {
        if number <= REQUESTS_BEFORE_DRAINING {
            write(stream, &ok_response(request, "staying"));
        } else {
            respond(stream, request);
        }
        true
    })
}

/// Sends requests until a response has announced that the back end is draining.
fn call_until_announced(relay: &TestRelay, route: &str, draining: &MockBackEnd) {
    let started_at = Instant::now();
    let mut number = 0;
    while draining.request_count() <= REQUESTS_BEFORE_DRAINING {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the back end receives too few requests"
        );
        relay.post(route, number);
        number += 1;
    }
}

#[rstest]
#[case::whole_answers("read", respond_ok)]
#[case::failures("write", respond_with_error)]
#[case::streams("stream", respond_with_stream)]
#[case::turned_away("write", refuse)]
fn a_back_end_that_announces_draining_gets_no_later_requests(
    #[case] route: &str,
    #[case] respond: fn(&mut TcpStream, &ReceivedRequest),
) {
    let (draining, healthy) = (
        draining_back_end(respond),
        back_end_responding_with("staying"),
    );
    let relay = TestRelay::with_back_ends(&[&draining, &healthy]);
    call_until_announced(&relay, route, &draining);
    std::thread::sleep(ROUTING_STOP_TIME);
    let count_before = draining.request_count();
    for number in 100..100 + LATER_REQUESTS {
        let response = relay.post(route, number);
        assert_eq!((response.status, response.body.as_str()), (200, "staying"));
    }
    assert_eq!(
        draining.request_count() - count_before,
        0,
        "later requests reached the back end"
    );
}
