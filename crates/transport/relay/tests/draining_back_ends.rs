//! Back ends that say in their answers that they are leaving.
//!
//! What callers saw: nothing, as long as the back end served on. What it saw: while the platform
//! could not list it as leaving, a node went on sending it requests, 4 and 6 s after the node
//! had passed on an answer that said so. What it was sent last would have ended with it.
//!
//! In what order: the platform's store goes away; half a second later an engine begins to leave
//! and says so in all its answers; a node passes the first of them on and sends it further
//! requests, until the store is back.
//!
//! The cause: a node knew that a back end leaves from the platform's list alone. Answers were
//! read for what they are to the caller; what their heads say of the back end was dropped.
//!
//! The evidence: each of the later requests was granted its place within 4 ms of its coming, from
//! a list that was 4 to 8 s old, and no entry of the engine was taken between that answer and
//! the next place. Below there is no platform that could say anything, and the next request after
//! such an answer goes to the back end that gave it.

mod support;

use rstest::rstest;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, TEST_TIMEOUT, TestRelay, back_end_responding_with, chunk, event,
    not_run_response, ok_response, stream_head, with_header_line, write,
};

/// Requests that were sent to the node this long after it had passed the word on may not reach
/// the back end any more.
const ROUTING_STOP_TIME: Duration = Duration::from_secs(2);
/// Requests sent after that.
const LATER_REQUESTS: usize = 24;
/// Requests that a back end answers well before it leaves: what follows is no judgement of its
/// health.
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

/// A back end that begins to leave, and says so in each answer from then on.
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

/// Sends requests until an answer has said that the back end leaves.
fn call_until_announced(relay: &TestRelay, route: &str, draining: &MockBackEnd) {
    let started_at = Instant::now();
    let mut number = 0;
    while draining.request_count() <= REQUESTS_BEFORE_DRAINING {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "it was asked too rarely"
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
        "requests reached it later"
    );
}
