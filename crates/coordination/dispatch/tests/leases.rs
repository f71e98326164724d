//! Places whose holders never give them back.

mod support;

use eiderferry_dispatch::{Decision, Dispatcher, TICK};
use eiderferry_types::{Reason, Span, Timestamp};
use support::{START, demand, granted, with_engines};

/// Requests beyond which an engine of 64 slots gets no more.
const MOST_AT_ENGINE: usize = 84;

/// One engine all of whose places were granted, each to another prompt.
fn full() -> Dispatcher {
    let mut subject = with_engines(1);
    for number in 0..MOST_AT_ENGINE {
        granted(subject.dispatch(&demand(number as u64 + 1, 100, 10), START));
    }
    subject
}

/// Ticks until so long after the start.
fn tick_until(subject: &mut Dispatcher, after: Span) -> Vec<usize> {
    let ticks = after.0 / TICK.0;
    let at = |tick| Timestamp(START.0 + TICK.0 * tick);
    let expired = (1..=ticks).map(|tick| subject.tick(at(tick)).expired_leases.len());
    expired.filter(|count| *count > 0).collect()
}

/// A place that its holder lost is no reason to refuse others for longer than its request
/// could run: it is given back by itself, and told once.
#[test]
fn places_that_nobody_gives_back_count_no_longer_than_their_requests() {
    let mut subject = full();
    let late = demand(1_000, 100, 10);
    let refused = subject.dispatch(&late, START);
    assert!(matches!(refused, Decision::Refuse(Reason::QueueFull, _)));
    let request_time = late.remaining;
    let margin = Span::from_milliseconds(6_000);
    let expired = tick_until(&mut subject, request_time + margin);
    assert_eq!(expired, vec![MOST_AT_ENGINE]);
    let now = START + request_time + margin;
    granted(subject.dispatch(&late, now));
}

#[test]
fn a_place_counts_for_as_long_as_its_request_may_run() {
    let mut subject = full();
    let late = demand(1_000, 100, 10);
    let expired = tick_until(&mut subject, late.remaining);
    assert_eq!(expired, Vec::<usize>::new());
    let now = START + late.remaining;
    let refused = subject.dispatch(&late, now);
    assert!(matches!(refused, Decision::Refuse(Reason::QueueFull, _)));
}
