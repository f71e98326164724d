//! Back ends that name a limit of requests a second in their answers.
//!
//! What callers saw: nothing; their requests were served. What the back ends saw: two that were in
//! need had named a limit of one request a second for all nodes together, and got 12 and 13 in 4 s
//! from nodes that had passed on an answer which said so.
//!
//! In what order: an engine falls into need and names its limit in all answers; nodes of four
//! zones pass them on, and each goes on sending there what it sent before.
//!
//! The cause: the header was read nowhere. And had each node kept what it read for itself, eight
//! would have sent eight times as much: nothing was shared among nodes that a back end had said
//! to one of them.
//!
//! The evidence: of the first twelve requests that one of the engines got under its limit, eight
//! came from two nodes, two of them 63 ms apart; six came from nodes that had sent it another one
//! more than a second before. Below, four nodes send 246 to 772 requests in 4 s after the first word of a limit.

mod support;

use rstest::rstest;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, Response, TEST_TIMEOUT, TestRelay, chunk, event, ok_response,
    start_responding, stream_head, with_header_line, write,
};

/// Nodes before the back ends.
const NODES: usize = 4;
/// Time after the first word in which all nodes come to know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Span over which requests are counted, and the bound in it: half as many again as the limit
/// allows, and some that were on their way.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time for which requests are counted.
const COUNTED_FOR: Duration = Duration::from_secs(6);
/// Time between two requests to one node.
const PACE: Duration = Duration::from_millis(20);

type Respond = fn(&mut TcpStream, &str, &ReceivedRequest);

/// A back end that names a limit from its first answer on.
fn limited(limit: f64, respond: Respond) -> MockBackEnd {
    let line = format!("Rate-Limit: {limit}");
    MockBackEnd::start(move |stream, request, _| {
        respond(stream, &line, request);
        true
    })
}

/// Moments of the requests that came after all nodes had time to know of the limit.
fn counted(limited: &MockBackEnd) -> Vec<Instant> {
    let arrival_times = limited.arrival_times();
    let first = arrival_times.first().copied().expect("it was asked");
    let counted = arrival_times.into_iter();
    counted.filter(|at| *at >= first + KNOWN_WITHIN).collect()
}

fn most_in_window(times: &[Instant]) -> usize {
    let counts = times.iter().map(|from| {
        let within = times.iter().filter(|at| **at >= *from);
        within.filter(|at| **at < *from + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Requests that may come within the window.
fn allowed(limit: f64) -> usize {
    (OVERAGE * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

fn answer_whole(stream: &mut TcpStream, line: &str, request: &ReceivedRequest) {
    write(
        stream,
        &with_header_line(&ok_response(request, "limited"), line),
    );
}

fn answer_with_stream(stream: &mut TcpStream, line: &str, request: &ReceivedRequest) {
    write(stream, &with_header_line(&stream_head(request, "s"), line));
    write(stream, &chunk(&event(1)));
    write(stream, "0\r\n\r\n");
}

fn call(relay: &TestRelay, route: &str, number: usize) -> Response {
    std::thread::sleep(PACE);
    relay.post(route, number)
}

/// Callers press all nodes until the requests that count have come. Returns their answers.
fn press(fleet: &[TestRelay], route: &str) -> Vec<Response> {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers = fleet.iter().map(|relay| {
            scope.spawn(|| {
                let mut responses = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    responses.push(call(relay, route, responses.len()));
                }
                responses
            })
        });
        let callers: Vec<_> = callers.collect();
        std::thread::sleep(KNOWN_WITHIN + COUNTED_FOR);
        is_over.store(true, Ordering::SeqCst);
        let responses = callers.into_iter();
        responses
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect()
    })
}

fn start_fleet(back_ends: &[&MockBackEnd]) -> Vec<TestRelay> {
    let addresses: Vec<SocketAddr> = back_ends.iter().map(|it| it.address).collect();
    TestRelay::start_fleet(NODES, &addresses)
}

#[rstest]
#[case::whole_answers("read", 1.0, answer_whole)]
#[case::streams("stream", 1.0, answer_with_stream)]
#[case::less_than_one_a_second("read", 0.25, answer_whole)]
fn all_nodes_together_keep_the_limit_that_a_back_end_names(
    #[case] route: &str,
    #[case] limit: f64,
    #[case] respond: Respond,
) {
    let (limited, sound) = (limited(limit, respond), start_responding("sound"));
    let fleet = start_fleet(&[&limited, &sound]);
    press(&fleet, route);
    let most = most_in_window(&counted(&limited));
    let allowed = allowed(limit);
    assert!(most <= allowed, "{most} requests in 4 s, allowed {allowed}");
}

/// What the limited back end doesn't take goes to the other one, and nothing is refused for it.
#[test]
fn callers_are_served_by_others_and_the_limit_is_used() {
    let (limited, sound) = (limited(2.0, answer_whole), start_responding("sound"));
    let fleet = start_fleet(&[&limited, &sound]);
    let responses = press(&fleet, "read");
    assert!(responses.iter().all(|response| response.status == 200));
    assert!(!counted(&limited).is_empty(), "it is not used");
}

/// Where no other back end is left the caller hears at once that nothing has run, and when the
/// limit leaves room for one request.
#[test]
fn where_all_are_limited_callers_are_refused_with_a_time() {
    let limited = limited(0.25, answer_whole);
    let relay = TestRelay::with_back_ends(&[&limited]);
    assert_eq!(call(&relay, "write", 0).status, 200);
    let refused = call(&relay, "write", 1);
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("retry-after").as_deref(), Some("4.00"));
}

/// An answer that names no limit ends it, also that of a failure; one that can't be read doesn't.
#[rstest]
#[case::ok_response("Other: 1", "200 OK", true)]
#[case::a_failure("Other: 1", "500 Error", true)]
#[case::unreadable("Rate-Limit: soon", "200 OK", false)]
#[case::negative("Rate-Limit: -1", "200 OK", false)]
fn a_limit_ends_with_the_first_answer_that_names_none(
    #[case] line: &'static str,
    #[case] status: &'static str,
    #[case] ends: bool,
) {
    let back_end = MockBackEnd::start(move |stream, request, number| {
        let line = if number == 1 { "Rate-Limit: 2" } else { line };
        let response = with_header_line(&ok_response(request, "back"), line);
        let response = if number == 2 {
            response.replacen("200 OK", status, 1)
        } else {
            response
        };
        write(stream, &response);
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let begun = Instant::now();
    let mut number = 0;
    while back_end.request_count() < 2 {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "it gets nothing under its limit"
        );
        call(&relay, "write", number);
        number += 1;
    }
    let later = (0..5).map(|number| call(&relay, "write", 1_000 + number).status);
    assert_eq!(later.filter(|status| *status == 200).count() == 5, ends);
}
