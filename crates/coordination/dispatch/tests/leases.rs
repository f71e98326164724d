//! Leases that are never released.

mod support;

use eiderferry_dispatch::{Decision, Dispatcher, TICK};
use eiderferry_types::{Reason, Span, Timestamp};
use support::{START, demand, dispatcher_with_engines, granted};

/// Concurrent requests at which an engine with 64 slots counts as full.
const MAX_REQUESTS_PER_ENGINE: usize = 84;

/// A dispatcher with one engine that is full of requests, each with a different prompt.
fn dispatcher_with_full_engine() -> Dispatcher {
    let mut subject = dispatcher_with_engines(1);
    for number in 0..MAX_REQUESTS_PER_ENGINE {
        granted(subject.dispatch(&demand(number as u64 + 1, 100, 10), START));
    }
    subject
}

/// Ticks until `duration` after the start. Returns how many leases expired in each tick in which
/// any did.
fn expired_counts_until(subject: &mut Dispatcher, duration: Span) -> Vec<usize> {
    let ticks = duration.0 / TICK.0;
    let at = |tick| Timestamp(START.0 + TICK.0 * tick);
    let expired = (1..=ticks).map(|tick| subject.tick(at(tick)).expired_leases.len());
    expired.filter(|count| *count > 0).collect()
}

/// A lost lease must not cause refusals for longer than its request could have run: it expires
/// by itself and is reported once.
#[test]
fn unreleased_leases_expire_once_their_requests_must_have_ended() {
    let mut subject = dispatcher_with_full_engine();
    let next_request = demand(1_000, 100, 10);
    let refused = subject.dispatch(&next_request, START);
    assert!(matches!(refused, Decision::Refuse(Reason::QueueFull, _)));
    let request_time = next_request.remaining;
    let margin = Span::from_milliseconds(6_000);
    let expired = expired_counts_until(&mut subject, request_time + margin);
    assert_eq!(expired, vec![MAX_REQUESTS_PER_ENGINE]);
    let now = START + request_time + margin;
    granted(subject.dispatch(&next_request, now));
}

#[test]
fn a_lease_counts_for_as_long_as_its_request_may_run() {
    let mut subject = dispatcher_with_full_engine();
    let next_request = demand(1_000, 100, 10);
    let expired = expired_counts_until(&mut subject, next_request.remaining);
    assert_eq!(expired, Vec::<usize>::new());
    let now = START + next_request.remaining;
    let refused = subject.dispatch(&next_request, now);
    assert!(matches!(refused, Decision::Refuse(Reason::QueueFull, _)));
}
