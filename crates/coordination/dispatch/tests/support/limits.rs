//! Helpers for rate limits that engines state to one node or to a fleet.

use super::{Fleet, START, demand, dispatcher_with_engines, engine_number, granted};
use eiderferry_dispatch::{Decision, Dispatcher, LeaseId, Outcome, RateLimit};
use eiderferry_types::{Span, Timestamp};

/// Time in milliseconds after which all nodes of a fleet know each other.
pub const DISCOVERY_MS: u64 = 15_000;

pub fn rate_limit(rate: f64) -> RateLimit {
    RateLimit::from_requests_per_second(rate).expect("a valid rate limit")
}

/// Applies the documents that the platform has besides the table to a node.
pub fn apply_initial_documents(fleet: &mut Fleet, number: usize) {
    let now = fleet.now;
    for change in fleet.initial_documents.clone() {
        fleet.nodes[number].apply(change, now);
    }
}

/// A single node with engines, and a time when its startup is long over.
pub fn single_node(engines: usize) -> (Dispatcher, Timestamp) {
    let mut subject = dispatcher_with_engines(engines);
    subject.tick(START);
    let now = START + Span::from_milliseconds(DISCOVERY_MS);
    subject.tick(now);
    (subject, now)
}

/// Sends a request to the engine of that number, whose response states a limit or none.
pub fn respond_with_limit(
    subject: &mut Dispatcher,
    number: usize,
    rate: Option<f64>,
    now: Timestamp,
) {
    let lease = lease_at_engine(subject, number, now);
    subject.record_limit(lease, rate.map(rate_limit), now);
    subject.release(lease, Outcome::Completed, now);
}

/// Dispatches requests with different prompts until the engine of that number gets one, and
/// returns its lease.
pub fn lease_at_engine(subject: &mut Dispatcher, number: usize, now: Timestamp) -> LeaseId {
    for shared_part in 0..200 {
        let grant = granted(subject.dispatch(&demand(shared_part, 1_000, 100), now));
        if engine_number(&grant) == number {
            return grant.lease;
        }
        subject.release(grant.lease, Outcome::Completed, now);
    }
    panic!("no request was placed on engine {number}");
}

/// Offers a request every 100 ms; returns the times in milliseconds when one was granted.
pub fn grant_times_ms(subject: &mut Dispatcher, from: Timestamp, milliseconds: u64) -> Vec<u64> {
    let ticks = (0..milliseconds / 100).filter(|tick| {
        let now = from + Span::from_milliseconds(tick * 100);
        subject.tick(now);
        let decision = subject.dispatch(&demand(*tick, 1_000, 100), now);
        let Decision::Grant(grant) = decision else {
            return false;
        };
        subject.release(grant.lease, Outcome::Completed, now);
        true
    });
    ticks.map(|tick| tick * 100).collect()
}
