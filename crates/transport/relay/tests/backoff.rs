//! Back ends that refuse a request and ask for a backoff with the header `Retry-After`.
//!
//! Formerly the header was not read: a refusal counted as one failure among the recent responses,
//! so the effect depended on how many of these were good. Three in a row kept requests away for a
//! second, a large share diverted some, and a single one had no effect. In a simulated day 134
//! refusals asked a node for a second of backoff; in 81 of these seconds the node granted that back
//! end up to ten further requests, the first at once, in 53 none. A back end that had refused one
//! request with 503 and asked for 3 s got six more from that node in that time; two are acceptable,
//! as some are in flight when it asks. Below, one refusal comes after 40 good responses, which had
//! no effect at all while the header was not read.

mod support;

use rstest::rstest;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, Response, TEST_TIMEOUT, TestRelay, back_end_responding_with,
    not_run_response, ok_response, with_header_line, write,
};

/// Backoff that the back end asks for.
const BACKOFF: Duration = Duration::from_secs(3);
/// Requests that arrive within this time of the refusal may have been in flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that may arrive in the remaining backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Requests that a back end answers with success before it refuses one, so that the refusal alone
/// does not make it unhealthy.
const REQUESTS_BEFORE_REFUSAL: usize = 40;
/// Pause before each request to the node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

type RefusalHandler = fn(&mut TcpStream, &ReceivedRequest);

/// A back end that refuses one request and asks for a backoff.
struct BackEndRequestingBackoff(MockBackEnd);

impl BackEndRequestingBackoff {
    fn start(refuse: RefusalHandler) -> Self {
        Self(MockBackEnd::start(move |stream, request, number| {
            if number == REQUESTS_BEFORE_REFUSAL + 1 {
                refuse(stream, request);
            } else {
                write(stream, &ok_response(request, "back"));
            }
            true
        }))
    }

    /// When the refused request arrived.
    fn refused_at(&self) -> Option<Instant> {
        self.0.arrival_times().get(REQUESTS_BEFORE_REFUSAL).copied()
    }

    /// Number of requests that arrived in this range of time after the refused one.
    fn count_requests_between(&self, from: Duration, to: Duration) -> usize {
        let refused_at = self.refused_at().expect("a request was refused");
        let arrival_times = self.0.arrival_times().into_iter();
        let delays = arrival_times.skip(REQUESTS_BEFORE_REFUSAL + 1);
        let delays = delays.map(|at| at.duration_since(refused_at));
        delays.filter(|delay| (from..to).contains(delay)).count()
    }
}

fn with_retry_after(response: &str) -> String {
    let seconds = BACKOFF.as_secs();
    with_header_line(response, &format!("Retry-After: {seconds}"))
}

fn refuse_as_not_run(stream: &mut TcpStream, request: &ReceivedRequest) {
    write(stream, &with_retry_after(&not_run_response(request)));
}

/// Responds without stating whether the request has run.
fn respond_unavailable(stream: &mut TcpStream, request: &ReceivedRequest) {
    let response = ok_response(request, "no").replacen("200 OK", "503 Unavailable", 1);
    write(stream, &with_retry_after(&response));
}

fn call(relay: &TestRelay, route: &str, number: usize) -> Response {
    std::thread::sleep(REQUEST_INTERVAL);
    relay.post(route, number)
}

/// Sends requests until the back end has refused one and its backoff is over.
fn call_through_backoff(
    relay: &TestRelay,
    route: &str,
    backing_off: &BackEndRequestingBackoff,
) -> Vec<Response> {
    let started_at = Instant::now();
    let mut responses = Vec::new();
    while backing_off
        .refused_at()
        .is_none_or(|at| at.elapsed() < BACKOFF)
    {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the back end receives too few requests"
        );
        responses.push(call(relay, route, responses.len()));
    }
    responses
}

#[rstest]
#[case::repeatable("read", refuse_as_not_run)]
#[case::not_repeatable("write", refuse_as_not_run)]
#[case::streams("stream", refuse_as_not_run)]
#[case::maybe_run("read", respond_unavailable)]
fn a_back_end_gets_few_requests_during_the_backoff_it_asks_for(
    #[case] route: &str,
    #[case] refuse: RefusalHandler,
) {
    let backing_off = BackEndRequestingBackoff::start(refuse);
    let healthy = back_end_responding_with("sound");
    let relay = TestRelay::with_back_ends(&[&backing_off.0, &healthy]);
    call_through_backoff(&relay, route, &backing_off);
    let requests_in_backoff = backing_off.count_requests_between(IN_FLIGHT_TIME, BACKOFF);
    assert!(
        requests_in_backoff <= MAX_REQUESTS_IN_BACKOFF,
        "{requests_in_backoff} requests during the backoff"
    );
}

/// A back end that stayed without requests would be lost to its pool.
#[test]
fn a_back_end_gets_requests_again_after_its_backoff() {
    let backing_off = BackEndRequestingBackoff::start(refuse_as_not_run);
    let relay = TestRelay::with_back_ends(&[&backing_off.0]);
    call_through_backoff(&relay, "read", &backing_off);
    let started_at = Instant::now();
    while backing_off.0.request_count() == REQUESTS_BEFORE_REFUSAL + 1 {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the back end gets no requests after its backoff"
        );
        call(&relay, "read", 0);
    }
    assert_eq!(call(&relay, "read", 1).status, 200);
}

/// Without another back end the request is refused at once as not run. The caller should retry
/// soon, as another node may have no backoff in effect.
#[test]
fn requests_are_refused_at_once_with_retry_after_while_all_back_ends_back_off() {
    let backing_off = BackEndRequestingBackoff::start(refuse_as_not_run);
    let relay = TestRelay::with_back_ends(&[&backing_off.0]);
    let responses = call_through_backoff(&relay, "write", &backing_off);
    let requests_in_backoff = backing_off.count_requests_between(IN_FLIGHT_TIME, BACKOFF);
    assert!(
        requests_in_backoff <= MAX_REQUESTS_IN_BACKOFF,
        "{requests_in_backoff} requests during the backoff"
    );
    let refused: Vec<&Response> = responses
        .iter()
        .filter(|response| response.status == 503)
        .collect();
    assert!(refused.len() > 10, "{} refused", refused.len());
    let retry_delays = refused.iter().map(|response| {
        let seconds = response
            .header("retry-after")
            .expect("the header is present");
        seconds.parse::<f64>().expect("seconds")
    });
    assert!(retry_delays.fold(0.0, f64::max) <= 0.5);
}

/// A date or an invalid value is logged and ignored: the refusal counts as a failure only.
#[rstest]
#[case::a_date("Thu, 03 Dec 2026 05:00:00 GMT")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::endless("inf")]
#[case::no_text("\u{e9}")]
fn a_retry_after_that_is_not_a_valid_number_of_seconds_is_ignored(
    #[case] retry_after: &'static str,
) {
    let back_end = MockBackEnd::start(move |stream, request, number| {
        if number == 1 {
            let retry_after = format!("Retry-After: {retry_after}");
            write(
                stream,
                &with_header_line(&not_run_response(request), &retry_after),
            );
        } else {
            write(stream, &ok_response(request, "back"));
        }
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(call(&relay, "write", 0).status, 503);
    assert_eq!(call(&relay, "write", 1).status, 200);
}
