//! Back ends that state a rate limit: what a single node sends them, where the other requests go,
//! and what refused callers are told.

mod support;

use eiderferry_dispatch::{Decision, Outcome, RateLimit};
use eiderferry_routing::BackEnd;
use eiderferry_types::{Reason, Span};
use rstest::rstest;
use support::limits::{
    grant_times_ms, lease_at_engine, rate_limit, respond_with_limit, single_node,
};
use support::{back_end, back_end_change, demand, engine_number, expired_change, granted};

#[test]
fn a_sender_keeps_the_limit_rate_without_accumulating_unused_requests() {
    let (mut subject, now) = single_node(1);
    respond_with_limit(&mut subject, 0, Some(0.5), now);
    assert_eq!(grant_times_ms(&mut subject, now, 6_000), [2_000, 4_000]);
    let later = now + Span::from_milliseconds(9_900);
    assert_eq!(grant_times_ms(&mut subject, later, 4_000), [0, 2_000]);
}

/// Without any request, nobody would learn that the back end accepts requests again, and it would
/// be lost to its pool forever.
#[test]
fn a_limit_of_zero_allows_one_request_per_minute() {
    let (mut subject, now) = single_node(1);
    respond_with_limit(&mut subject, 0, Some(0.0), now);
    assert_eq!(
        grant_times_ms(&mut subject, now, 130_000),
        [60_000, 120_000]
    );
}

#[test]
fn requests_above_the_limit_go_to_other_engines() {
    let (mut subject, now) = single_node(2);
    respond_with_limit(&mut subject, 1, Some(1.0), now);
    for prompt in 0..40 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), now));
        assert_eq!(engine_number(&grant), 0);
        subject.release(grant.lease, Outcome::Completed, now);
    }
}

/// The limits apply to all nodes together, so no other node would accept the caller sooner.
#[rstest]
#[case::one_low([0.1, 0.1], 5_000)]
#[case::together([0.5, 0.25], 1_333)]
#[case::high([20.0, 20.0], 500)]
fn when_all_are_limited_refusals_state_when_one_accepts_a_request(
    #[case] rates: [f64; 2],
    #[case] milliseconds: u64,
) {
    let (mut subject, now) = single_node(2);
    for (number, rate) in rates.into_iter().enumerate() {
        let lease = lease_at_engine(&mut subject, number, now);
        subject.record_limit(lease, Some(rate_limit(rate)), now);
    }
    match subject.dispatch(&demand(7, 1_000, 100), now) {
        Decision::Refuse(reason, retry_after) => {
            assert_eq!(reason, Reason::BackEndsLimited);
            assert_eq!(retry_after.milliseconds(), milliseconds);
        }
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

/// Responses can overtake each other: one to a request sent before the limit was stated does not
/// show that the limit has ended.
#[test]
fn an_older_response_without_a_limit_does_not_end_it() {
    let (mut subject, now) = single_node(1);
    let older_lease = lease_at_engine(&mut subject, 0, now);
    respond_with_limit(
        &mut subject,
        0,
        Some(1.0),
        now + Span::from_milliseconds(10),
    );
    let later = now + Span::from_milliseconds(500);
    subject.record_limit(older_lease, None, later);
    assert_eq!(grant_times_ms(&mut subject, later, 400), []);
    let next = now + Span::from_milliseconds(1_100);
    respond_with_limit(&mut subject, 0, None, next);
    assert_eq!(grant_times_ms(&mut subject, next, 300), [0, 100, 200]);
}

#[test]
fn a_limit_survives_an_expired_entry_but_not_a_restart() {
    let (mut subject, now) = single_node(1);
    let engine_started_at = |at: u64| BackEnd {
        started_unix_ms: Some(at),
        ..back_end("engine-0", 0, 0)
    };
    subject.apply(back_end_change(engine_started_at(1), 3), now);
    respond_with_limit(&mut subject, 0, Some(0.01), now);
    subject.apply(expired_change("engine-0", 4), now);
    subject.tick(now + Span::from_milliseconds(2_500));
    let relisted = now + Span::from_milliseconds(3_000);
    subject.apply(back_end_change(engine_started_at(1), 5), relisted);
    assert_eq!(grant_times_ms(&mut subject, relisted, 1_000), []);
    let restarted = now + Span::from_milliseconds(5_000);
    subject.apply(back_end_change(engine_started_at(2), 6), restarted);
    assert_eq!(grant_times_ms(&mut subject, restarted, 300), [0, 100, 200]);
}

#[rstest]
#[case::negative(-1.0)]
#[case::endless(f64::INFINITY)]
#[case::not_a_number(f64::NAN)]
fn invalid_rates_are_not_accepted_as_limits(#[case] rate: f64) {
    assert_eq!(RateLimit::from_requests_per_second(rate), None);
}
