//! The limit on retries holds over all nodes while their processes are restarted: what a process
//! spent is unknown to its successor, and so is what the nodes spend that it can't reach.

mod support;

use eiderferry_dispatch::{Decision, Outcome};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use support::{Fleet, RETRY_BUDGET, back_end, back_end_change, demand, max_in_window};

const ENGINES: usize = 8;
const DOCUMENT_REVISION: u64 = 2;
/// Time in which all nodes find each other.
const SETTLING_MS: u64 = 30_000;
const STEP_MS: u64 = 100;
/// Attempts after the first that each request makes if they are granted.
const MAX_RETRIES: usize = 3;

/// A fleet whose back ends fail every request, with the times of its requests and retries.
struct FailingFleet {
    fleet: Fleet,
    /// Steps between two requests to one node.
    request_steps: usize,
    steps: usize,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

impl FailingFleet {
    fn new(nodes: usize, zones: usize, request_steps: usize) -> Self {
        let mut fleet = Fleet::new(nodes, zones);
        let engines = (0..ENGINES).map(|number| {
            let name = format!("engine-{number}");
            back_end_change(back_end(&name, number, number % zones), DOCUMENT_REVISION)
        });
        fleet.initial_documents = engines.collect();
        fleet.run_with_platform(SETTLING_MS, DOCUMENT_REVISION);
        Self {
            fleet,
            request_steps,
            steps: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / STEP_MS {
            self.fleet.run_with_platform(STEP_MS, DOCUMENT_REVISION);
            self.steps += 1;
            for node in 0..self.fleet.nodes.len() {
                if (self.steps + node).is_multiple_of(self.request_steps) {
                    self.send_request(node);
                }
            }
        }
    }

    fn send_request(&mut self, node: usize) {
        let now = self.fleet.now;
        let request = demand(self.steps as u64, 1_000, 100);
        let dispatcher = &mut self.fleet.nodes[node];
        dispatcher.count_request(&request.pool, now);
        self.requests.push(now);
        let mut attempt = request;
        for _ in 0..=MAX_RETRIES {
            let Decision::Grant(grant) = dispatcher.dispatch(&attempt, now) else {
                return;
            };
            if attempt.is_retry {
                self.retries.push(now);
            }
            attempt.is_retry = true;
            // Not recorded as failed, so that no back end is ejected and each retry is decided by
            // the budget alone.
            dispatcher.release(grant.lease, Outcome::Abandoned, now);
        }
    }

    fn restart_all(&mut self) {
        for node in 0..self.fleet.nodes.len() {
            self.fleet.restart(node);
        }
    }

    /// Asserts the limit for each window that ends with a retry. The requests of the window, or of
    /// one that begins up to a whole window earlier, count.
    fn assert_within_limit(&self) {
        let window = RETRY_BUDGET.window;
        for end in &self.retries {
            let count = |times: &[Timestamp], ends_at: Timestamp| {
                let within = |at: &&Timestamp| **at <= ends_at && ends_at.since(**at) < window;
                times.iter().filter(within).count() as f64
            };
            let retries = count(&self.retries, *end);
            let starts = [Span::ZERO, Span(window.0 / 2), window];
            let requests = starts.map(|earlier| count(&self.requests, *end - earlier));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let limit = RETRY_BUDGET.ratio * requests + RETRY_BUDGET.allowance;
            assert!(
                retries <= limit,
                "{retries} retries for {requests} requests in a window, limit {limit}"
            );
        }
    }
}

#[rstest]
#[case::smallest_site(7, 3)]
#[case::large_site(78, 3)]
fn restarting_all_nodes_repeatedly_does_not_renew_the_retry_allowance(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut failing = FailingFleet::new(nodes, zones, 3);
    failing.run(6_000);
    for _ in 0..4 {
        failing.restart_all();
        failing.run(2_500);
    }
    failing.run(20_000);
    failing.assert_within_limit();
}

#[test]
fn nodes_restarted_in_a_partition_do_not_take_the_share_of_the_nodes_they_cannot_reach() {
    let mut failing = FailingFleet::new(12, 3, 10);
    failing
        .fleet
        .partitioned_zones
        .extend([(0, 1), (0, 2), (1, 2)]);
    failing.restart_all();
    failing.run(40_000);
    failing.assert_within_limit();
}

#[test]
fn isolated_restarted_nodes_do_not_each_take_a_share_of_a_small_fleet() {
    let mut failing = FailingFleet::new(24, 1, 10);
    failing.fleet.isolated_nodes.extend(0..24);
    failing.restart_all();
    failing.run(40_000);
    failing.assert_within_limit();
}

#[test]
fn a_settled_fleet_spends_a_part_of_the_fixed_allowance() {
    let mut failing = FailingFleet::new(7, 3, 50);
    failing.run(20_000);
    let window = RETRY_BUDGET.window;
    let from = failing.requests[0];
    let requests = max_in_window(&failing.requests, window, from) as f64;
    let retries = max_in_window(&failing.retries, window, from) as f64;
    assert!(
        retries >= RETRY_BUDGET.ratio * requests + RETRY_BUDGET.allowance / 4.0,
        "{retries} retries for {requests} requests"
    );
    failing.assert_within_limit();
}
