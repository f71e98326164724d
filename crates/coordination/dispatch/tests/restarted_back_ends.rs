//! Back ends that restart under the same instance name: the new run has an empty cache and no
//! history of failures.

mod support;

use eiderferry_dispatch::{Dispatcher, Outcome};
use eiderferry_types::{Span, Timestamp};
use support::{
    START, back_end, back_end_change, demand, dispatcher_with_engines, granted, table_change,
};

const FIRST_START: u64 = 1_760_000_000_000;

/// Lists the only engine with a start time by its own clock.
fn list_engine(
    subject: &mut Dispatcher,
    started_unix_ms: Option<u64>,
    revision: u64,
    now: Timestamp,
) {
    let mut engine = back_end("engine-0", 0, 0);
    engine.started_unix_ms = started_unix_ms;
    subject.apply(back_end_change(engine, revision), now);
}

fn with_one_engine() -> Dispatcher {
    let mut subject = dispatcher_with_engines(0);
    subject.apply(table_change(1), START);
    list_engine(&mut subject, Some(FIRST_START), 5, START);
    subject
}

fn after_start(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// Tokens of a prompt that the engine is expected to compute, as they are not in its cache.
fn uncached_tokens(subject: &mut Dispatcher, now: Timestamp) -> u32 {
    let grant = granted(subject.dispatch(&demand(1, 8_000, 100), now));
    subject.record_first_event(grant.lease, now);
    subject.release(grant.lease, Outcome::Completed, now);
    grant.uncached_tokens
}

#[test]
fn the_cache_of_the_previous_run_is_not_expected_of_the_new_one() {
    let mut subject = with_one_engine();
    let first = uncached_tokens(&mut subject, START);
    assert!(uncached_tokens(&mut subject, after_start(2_000)) < first);
    list_engine(
        &mut subject,
        Some(FIRST_START + 9_000),
        6,
        after_start(3_000),
    );
    assert_eq!(uncached_tokens(&mut subject, after_start(3_100)), first);
}

#[test]
fn an_entry_change_without_a_new_start_time_keeps_the_cache() {
    let mut subject = with_one_engine();
    let first = uncached_tokens(&mut subject, START);
    list_engine(&mut subject, Some(FIRST_START), 6, after_start(1_000));
    assert!(uncached_tokens(&mut subject, after_start(2_000)) < first);
    list_engine(&mut subject, None, 7, after_start(3_000));
    assert!(uncached_tokens(&mut subject, after_start(4_000)) < first);
}

/// Another back end used the address for a while; then the first one returns.
#[test]
fn a_restarted_engine_gets_requests_after_its_previous_run_was_replaced() {
    let mut subject = with_one_engine();
    let grant = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    subject.release(grant.lease, Outcome::InstanceReplaced, START);
    let refused = subject.dispatch(&demand(1, 1_000, 100), after_start(60_000));
    assert!(matches!(refused, eiderferry_dispatch::Decision::Refuse(..)));
    list_engine(
        &mut subject,
        Some(FIRST_START + 60_000),
        6,
        after_start(60_000),
    );
    granted(subject.dispatch(&demand(1, 1_000, 100), after_start(60_100)));
}

#[test]
fn failures_of_the_previous_run_do_not_affect_the_new_one() {
    let mut subject = with_one_engine();
    let leases: Vec<_> = (0..6)
        .map(|prompt| granted(subject.dispatch(&demand(prompt, 1_000, 100), START)).lease)
        .collect();
    list_engine(
        &mut subject,
        Some(FIRST_START + 4_000),
        6,
        after_start(4_000),
    );
    for lease in leases {
        let release = subject.release(lease, Outcome::IncompleteResponse, after_start(4_100));
        assert!(release.health_changes.is_empty());
    }
    granted(subject.dispatch(&demand(9, 1_000, 100), after_start(4_200)));
}
