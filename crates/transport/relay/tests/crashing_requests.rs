//! Requests that crash each back end that starts to run them.
//!
//! A request starts to run, its engine crashes within 20 to 120 ms, and the node that sent it
//! retries it at another engine as far as the route allows, then answers 502. The caller sends the
//! request again, under another id and to another node. In one case the engines of a pool of nine
//! crashed one after the other, 31 times in all, each within seconds of its restart. The requests
//! that ran or waited there were lost too; over a tenth of all requests failed for a quarter of a
//! minute, and later again.
//!
//! Formerly failures were recorded for back ends only: an exchange forgot its failures when it
//! ended, and nodes exchanged nothing about requests. Before each crash that was
//! examined, a request of the same route had started at that engine; all nodes lost their
//! connections to it within 0.2 s, and new ones were refused for seconds. Below, back ends crash
//! on one body and on no other, and callers never stop sending it.

mod support;

use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{CrashingBackEnd, MockBackEnd, Response, TEST_TIMEOUT, TestRelay};

/// The request body that crashes back ends.
const CRASHING_BODY: &str = "fatal";
/// Time from a crash of a back end to its restart.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Crashes after which nodes should refuse the request.
const CRASH_THRESHOLD: usize = 3;
/// Time that all nodes then have to learn of it.
const PROPAGATION_DEADLINE: Duration = Duration::from_secs(3);
/// Further crashes that are allowed after that, over all nodes and without a time limit.
const MAX_LATER_CRASHES: usize = 3;
const NODE_COUNT: usize = 3;

struct Cluster {
    back_ends: Vec<CrashingBackEnd>,
    nodes: Vec<TestRelay>,
}

impl Cluster {
    fn start() -> Self {
        let crashing_back_ends = (0..8).map(|_| CrashingBackEnd::start(CRASHING_BODY, DOWN_TIME));
        let back_ends: Vec<CrashingBackEnd> = crashing_back_ends.collect();
        let mut cluster = Self {
            back_ends,
            nodes: Vec::new(),
        };
        cluster.nodes = TestRelay::start_fleet(NODE_COUNT, &cluster.addresses());
        cluster
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.back_ends
            .iter()
            .map(|back_end| back_end.address)
            .collect()
    }

    fn crash_count(&self) -> usize {
        self.back_ends
            .iter()
            .map(CrashingBackEnd::crash_count)
            .sum()
    }

    /// Sends a request to the node with this number, modulo the number of nodes.
    fn send(&self, number: usize, path: &str, body: &str) -> Response {
        let node = &self.nodes[number % self.nodes.len()];
        node.call("POST", path, "", body)
    }

    /// Sends the crashing request to one node after the other until it has crashed three back
    /// ends, then waits until all nodes must know of it.
    fn crash_three_back_ends(&self, path: &str) {
        let started_at = Instant::now();
        let mut number = 0;
        while self.crash_count() < CRASH_THRESHOLD {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "fewer than three crashes"
            );
            self.send(number, path, CRASHING_BODY);
            number += 1;
        }
        std::thread::sleep(PROPAGATION_DEADLINE);
    }
}

#[rstest]
#[case::answered_whole("/read/check")]
#[case::answered_by_a_stream("/resumable/check")]
#[case::not_repeatable("/write/check")]
#[case::without_a_word_of_the_crash("/quick/check")]
fn a_request_that_crashed_three_back_ends_reaches_few_others(#[case] path: &str) {
    let cluster = Cluster::start();
    cluster.crash_three_back_ends(path);
    let count_before = cluster.crash_count();
    for number in 0..24 {
        cluster.send(number, path, CRASHING_BODY);
    }
    let later_crashes = cluster.crash_count() - count_before;
    assert!(
        later_crashes <= MAX_LATER_CRASHES,
        "{later_crashes} further crashes"
    );
}

#[test]
fn a_refused_request_gets_a_final_response_with_the_reason() {
    let cluster = Cluster::start();
    cluster.crash_three_back_ends("/read/check");
    let response = cluster.send(1, "/read/check", CRASHING_BODY);
    assert_eq!(response.status, 500);
    assert_eq!(response.header("retry-after"), None);
    assert_eq!(response.header("stamp"), None);
    assert!(
        response.body.starts_with("crashes_back_ends: "),
        "{}",
        response.body
    );
    assert!(response.body.contains("(digest "), "{}", response.body);
}

/// The same body on another path, another body, or another method makes another request.
#[test]
fn requests_with_another_body_are_served() {
    let cluster = Cluster::start();
    cluster.crash_three_back_ends("/read/check");
    for number in 0..12 {
        let body = format!("sound {number}");
        assert_eq!(cluster.send(number, "/read/check", &body).status, 200);
    }
}

/// A request that is interrupted by the crash is retried elsewhere and never considered its cause.
#[test]
fn requests_interrupted_by_the_crash_of_another_are_not_refused() {
    let cluster = Cluster::start();
    let responses = std::thread::scope(|scope| {
        let concurrent_calls = scope.spawn(|| {
            let numbers = 0..60;
            let send = |number| cluster.send(number, "/read/beside", &format!("sound {number}"));
            numbers.map(send).collect::<Vec<Response>>()
        });
        cluster.crash_three_back_ends("/read/check");
        concurrent_calls.join().expect("no panic")
    });
    for (number, response) in responses.iter().enumerate() {
        assert!(
            !response.body.starts_with("crashes_back_ends"),
            "{}",
            response.body
        );
        if response.status != 200 {
            let body = format!("sound {number}");
            let retry = cluster.send(number, "/read/beside", &body);
            assert_eq!(retry.status, 200, "after {}", response.status);
        }
    }
}

/// Connections break for many reasons; a back end has crashed only if it refuses new ones too.
#[test]
fn broken_connections_do_not_count_as_crashes_while_back_ends_accept_connections() {
    let start_disconnecting = || MockBackEnd::start(|_, _, _| false);
    let back_ends = [
        start_disconnecting(),
        start_disconnecting(),
        start_disconnecting(),
        start_disconnecting(),
    ];
    let back_end_refs: Vec<&MockBackEnd> = back_ends.iter().collect();
    let relay = TestRelay::with_back_ends(&back_end_refs);
    for _ in 0..6 {
        let response = relay.call("POST", "/read/check", "", "x");
        assert!(
            !response.body.starts_with("crashes_back_ends"),
            "{}",
            response.body
        );
    }
}

#[test]
fn a_node_that_joins_later_refuses_the_request() {
    let mut cluster = Cluster::start();
    cluster.crash_three_back_ends("/read/check");
    let count_before = cluster.crash_count();
    let late_node = TestRelay::join_fleet(&cluster.nodes, &cluster.addresses());
    cluster.nodes.push(late_node);
    std::thread::sleep(PROPAGATION_DEADLINE);
    assert_eq!(
        cluster
            .send(NODE_COUNT, "/read/check", CRASHING_BODY)
            .status,
        500
    );
    assert_eq!(cluster.crash_count(), count_before);
}

/// A back end that still has the request in its queue is protected by cancelling the request.
#[test]
fn a_queued_request_is_cancelled_once_it_is_known_to_crash_back_ends() {
    let path = "/patient-read/check";
    let mut cluster = Cluster::start();
    let queueing_back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let node = TestRelay::join_fleet(&cluster.nodes, &[queueing_back_end.address]);
    let response = std::thread::scope(|scope| {
        let queued_call = scope.spawn(|| node.call("POST", path, "", CRASHING_BODY));
        let started_at = Instant::now();
        while queueing_back_end.request_count() == 0 {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the request was not sent"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        cluster.crash_three_back_ends(path);
        queued_call.join().expect("no panic")
    });
    assert_eq!(response.status, 500);
    assert!(
        response.body.starts_with("crashes_back_ends: "),
        "{}",
        response.body
    );
    cluster.nodes.push(node);
}
