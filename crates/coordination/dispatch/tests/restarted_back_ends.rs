//! Back ends that start again under their names: the new run holds nothing of the old one.

mod support;

use eiderferry_dispatch::{Dispatcher, Outcome};
use eiderferry_types::{Span, Timestamp};
use support::{START, back_end, back_end_change, demand, granted, table_change, with_engines};

const FIRST_START: u64 = 1_760_000_000_000;

/// Lists the only engine as started at a moment of its own clock.
fn list(subject: &mut Dispatcher, started_unix_ms: Option<u64>, revision: u64, now: Timestamp) {
    let mut engine = back_end("engine-0", 0, 0);
    engine.started_unix_ms = started_unix_ms;
    subject.apply(back_end_change(engine, revision), now);
}

fn with_one_engine() -> Dispatcher {
    let mut subject = with_engines(0);
    subject.apply(table_change(1), START);
    list(&mut subject, Some(FIRST_START), 5, START);
    subject
}

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// Tokens of a prompt that the engine is expected to read.
fn uncached(subject: &mut Dispatcher, now: Timestamp) -> u32 {
    let grant = granted(subject.dispatch(&demand(1, 8_000, 100), now));
    subject.record_first_event(grant.lease, now);
    subject.release(grant.lease, Outcome::Completed, now);
    grant.uncached_tokens
}

#[test]
fn what_the_run_before_kept_is_not_expected_of_it() {
    let mut subject = with_one_engine();
    let first = uncached(&mut subject, START);
    assert!(uncached(&mut subject, after(2_000)) < first);
    list(&mut subject, Some(FIRST_START + 9_000), 6, after(3_000));
    assert_eq!(uncached(&mut subject, after(3_100)), first);
}

#[test]
fn an_entry_that_changes_otherwise_is_of_the_same_run() {
    let mut subject = with_one_engine();
    let first = uncached(&mut subject, START);
    list(&mut subject, Some(FIRST_START), 6, after(1_000));
    assert!(uncached(&mut subject, after(2_000)) < first);
    list(&mut subject, None, 7, after(3_000));
    assert!(uncached(&mut subject, after(4_000)) < first);
}

/// Another back end had its address for a while; then it is there again.
#[test]
fn it_gets_work_again_after_the_run_before_was_replaced() {
    let mut subject = with_one_engine();
    let grant = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    subject.release(grant.lease, Outcome::InstanceReplaced, START);
    let refused = subject.dispatch(&demand(1, 1_000, 100), after(60_000));
    assert!(matches!(refused, eiderferry_dispatch::Decision::Refuse(..)));
    list(&mut subject, Some(FIRST_START + 60_000), 6, after(60_000));
    granted(subject.dispatch(&demand(1, 1_000, 100), after(60_100)));
}

#[test]
fn how_requests_of_the_run_before_end_says_nothing_of_it() {
    let mut subject = with_one_engine();
    let leases: Vec<_> = (0..6)
        .map(|thing| granted(subject.dispatch(&demand(thing, 1_000, 100), START)).lease)
        .collect();
    list(&mut subject, Some(FIRST_START + 4_000), 6, after(4_000));
    for lease in leases {
        let ended = subject.release(lease, Outcome::IncompleteResponse, after(4_100));
        assert!(ended.health_changes.is_empty());
    }
    granted(subject.dispatch(&demand(9, 1_000, 100), after(4_200)));
}
