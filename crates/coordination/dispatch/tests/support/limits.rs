//! Limits that engines name, to one node or to a fleet.

use super::{Fleet, START, demand, engine_number, granted, with_engines};
use eiderferry_dispatch::{Decision, Dispatcher, LeaseId, Outcome, RateLimit};
use eiderferry_types::{Span, Timestamp};

/// Time in which the nodes of a fleet come to know each other.
pub const SETTLING_MS: u64 = 15_000;

pub fn limit(rate: f64) -> RateLimit {
    RateLimit::from_requests_per_second(rate).expect("a limit")
}

/// A node is told of the back ends that the platform has.
pub fn give_documents(fleet: &mut Fleet, number: usize) {
    let now = fleet.now;
    for change in fleet.first_documents.clone() {
        fleet.nodes[number].apply(change, now);
    }
}

/// A node alone before engines, long after its start.
pub fn alone(engines: usize) -> (Dispatcher, Timestamp) {
    let mut subject = with_engines(engines);
    subject.tick(START);
    let now = START + Span::from_milliseconds(SETTLING_MS);
    subject.tick(now);
    (subject, now)
}

/// Sends a request to the engine of that number, whose answer names a limit or none.
pub fn answer_with(subject: &mut Dispatcher, number: usize, rate: Option<f64>, now: Timestamp) {
    let lease = lease_at(subject, number, now);
    subject.record_limit(lease, rate.map(limit), now);
    subject.release(lease, Outcome::Completed, now);
}

/// A place at the engine of that number.
pub fn lease_at(subject: &mut Dispatcher, number: usize, now: Timestamp) -> LeaseId {
    for shared_part in 0..200 {
        let grant = granted(subject.dispatch(&demand(shared_part, 1_000, 100), now));
        if engine_number(&grant) == number {
            return grant.lease;
        }
        subject.release(grant.lease, Outcome::Completed, now);
    }
    panic!("engine {number} got nothing");
}

/// When the only engine gets requests while many are sent.
pub fn sent_at(subject: &mut Dispatcher, from: Timestamp, milliseconds: u64) -> Vec<u64> {
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
