//! When plain back ends (services without an engine, whose calls take milliseconds) count as full.

mod support;

use eiderferry_dispatch::{
    Change, Decision, Demand, Dispatcher, DocumentContent, DocumentKey, Outcome,
};
use eiderferry_routing::{BackEnd, Pool, PoolName, TableDocument};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeMap;
use support::{
    START, back_end, back_end_change, demand, dispatcher, granted, limits, node_address,
    version_vector_up_to,
};

const SERVICE: &str = "service";
const SLOTS: u32 = 6;
const OTHER_NODES: usize = 6;
/// Durations of a call whose target is 120 ms.
const FAST_CALL: Span = Span::from_milliseconds(30);
const CALL_AT_TARGET: Span = Span::from_milliseconds(120);
const SLOW_CALL: Span = Span::from_milliseconds(200);
/// Time between two load reports of another node.
const REPORT_INTERVAL: Span = Span::from_milliseconds(300);
/// Concurrent calls in successive reports of the other nodes, each of a single moment: about five
/// on average, as with 220 calls per second that take 20 ms each, and at times more than the
/// number at which the back end counts as full.
const REPORTED_COUNTS: [usize; 12] = [3, 5, 9, 4, 6, 8, 2, 7, 5, 10, 4, 3];

fn table() -> Change {
    let pool = Pool {
        health_path: "/health".to_owned(),
        maximum_connections: 580,
        engine: None,
        cold_start: None,
    };
    Change {
        key: DocumentKey::Table,
        revision: 1.into(),
        content: DocumentContent::Table(TableDocument {
            version: 1,
            routes: Vec::new(),
            pools: BTreeMap::from([(PoolName::from(SERVICE), pool)]),
            limits: limits(),
            tenants: Vec::new(),
        }),
    }
}

/// A node that knows one plain back end.
fn node(number: usize) -> Dispatcher {
    let mut subject = dispatcher(number, 0, Vec::new());
    let back_end = BackEnd {
        pool: PoolName::from(SERVICE),
        slots: SLOTS,
        ..back_end("engine-0", 0, 0)
    };
    subject.apply(table(), START);
    subject.apply(back_end_change(back_end, 2), START);
    subject.record_confirmation(&version_vector_up_to(2), START);
    subject
}

fn call() -> Demand {
    Demand {
        pool: PoolName::from(SERVICE),
        parts: Vec::new(),
        prompt_tokens: 0,
        output_tokens: 0,
        target: Span::from_milliseconds(120),
        remaining: Span::from_milliseconds(600),
        is_stream: false,
        ..demand(1, 0, 0)
    }
}

/// Receives reports of six other nodes that together have `running` calls at the back end.
fn receive_reports(subject: &mut Dispatcher, running: usize, now: Timestamp) {
    for number in 1..=OTHER_NODES {
        let mut other = node(number);
        let share = (running + number - 1) / OTHER_NODES;
        for _ in 0..share {
            granted(other.dispatch(&call(), now));
        }
        let report = other.gossip(false, now);
        subject.receive(node_address(number), &report, now);
    }
}

/// Makes one call after each of `reports` rounds of reports, which state `counts` in turn; each
/// call takes `duration`. Returns the number of refused calls.
fn count_refused(
    subject: &mut Dispatcher,
    counts: &[usize],
    duration: Span,
    reports: usize,
    from: Timestamp,
) -> usize {
    let mut refused = 0;
    for number in 0..reports {
        let now = Timestamp(from.0 + REPORT_INTERVAL.0 * number as u64);
        receive_reports(subject, counts[number % counts.len()], now);
        match subject.dispatch(&call(), now) {
            Decision::Grant(grant) => {
                subject.release(grant.lease, Outcome::Completed, now + duration);
            }
            Decision::Refuse(reason, _) => {
                assert_eq!(reason, Reason::QueueFull);
                refused += 1;
            }
        }
    }
    refused
}

/// Guards against refusals by a back end with free capacity. After two of three back ends of a
/// service had left permanently, the third handled all calls with ease, yet a tenth of them was
/// refused for the rest of the day: each node used the latest reported count, which was of a
/// moment long past. Three of the twelve counts here are 8 or more, at which the back end counts
/// as full.
#[test]
fn momentary_peaks_in_outdated_reports_refuse_no_calls() {
    let mut subject = node(0);
    let reports = 10 * REPORTED_COUNTS.len();
    assert_eq!(
        count_refused(
            &mut subject,
            &REPORTED_COUNTS,
            CALL_AT_TARGET,
            reports,
            START
        ),
        0
    );
}

/// Calls in transit count as running at the back end: while responses take a quarter of the
/// target, more calls than slots do not mean that the next one will miss its target.
#[test]
fn more_calls_than_slots_are_accepted_while_responses_are_fast() {
    let mut subject = node(0);
    assert_eq!(
        count_refused(&mut subject, &[10, 13, 11], FAST_CALL, 60, START),
        0
    );
}

#[rstest]
#[case::twice_its_slots(2 * SLOTS as usize)]
#[case::four_times(4 * SLOTS as usize)]
fn sustained_overload_is_refused_within_seconds_and_clears_by_itself(#[case] running: usize) {
    let mut subject = node(0);
    count_refused(&mut subject, &[3], FAST_CALL, 10, START);
    let overloaded = START + Span::from_milliseconds(10_000);
    let served = 40 - count_refused(&mut subject, &[running], SLOW_CALL, 40, overloaded);
    assert!(served <= 15, "{served} of 40 calls in 12 s");
    let calm = START + Span::from_milliseconds(30_000);
    let refused_after = count_refused(&mut subject, &[3], FAST_CALL, 20, calm);
    assert!(
        refused_after <= 10,
        "{refused_after} of 20 calls are refused after the overload"
    );
}

#[test]
fn calls_of_the_own_node_count_without_smoothing() {
    let mut subject = node(0);
    let calls = 2 * SLOTS as usize;
    let decisions: Vec<Decision> = (0..calls)
        .map(|_| subject.dispatch(&call(), START))
        .collect();
    let granted = decisions.iter();
    let granted = granted.filter(|decision| matches!(decision, Decision::Grant(_)));
    assert_eq!(granted.count(), 8, "1.3 times the slots");
}
