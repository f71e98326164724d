//! Ejection of back ends by the outcomes of their requests.

use eiderferry_dispatch::{Health, HealthChange, Outcome};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp(1_000_000_000);

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

#[rstest]
#[case::nothing_answers(Outcome::Unreachable, false)]
#[case::nobody_listens(Outcome::ConnectionRefused, false)]
#[case::another_run_has_the_address(Outcome::InstanceReplaced, true)]
fn an_unavailable_back_end_is_ejected_at_once(
    #[case] outcome: Outcome,
    #[case] is_permanent: bool,
) {
    let mut health = Health::default();
    let change = health.record(outcome, 0.0, START);
    assert!(matches!(change, Some(HealthChange::Ejected(_))));
    assert!(health.is_ejected(after(500)));
    assert_eq!(health.is_ejected(after(1_500)), is_permanent);
    assert_eq!(health.is_ejected(after(3_600_000)), is_permanent);
}

#[test]
fn requests_that_were_not_sent_do_not_affect_health() {
    let mut health = Health::default();
    for _ in 0..20 {
        assert_eq!(health.record(Outcome::NotSent, 0.0, START), None);
    }
    assert!(!health.is_ejected(START));
}

#[test]
fn three_failures_in_a_row_eject_and_two_do_not() {
    let mut health = Health::default();
    assert_eq!(health.record(Outcome::IncompleteResponse, 0.0, START), None);
    assert_eq!(health.record(Outcome::IncompleteResponse, 0.0, START), None);
    let change = health.record(Outcome::IncompleteResponse, 0.0, START);
    assert!(matches!(change, Some(HealthChange::Ejected(_))));
}

#[test]
fn frequent_failures_eject_when_the_rest_of_the_pool_is_healthy() {
    let mut health = Health::default();
    let outcomes = [Outcome::Failed, Outcome::Completed, Outcome::Failed];
    let mut ejected = false;
    for step in 0..30_usize {
        let change = health.record(outcomes[step % 3], 0.02, after(step as u64 * 50));
        ejected |= matches!(change, Some(HealthChange::Ejected(_)));
    }
    assert!(ejected);
}

#[test]
fn failures_across_the_whole_pool_eject_no_back_end() {
    let mut health = Health::default();
    for step in 0..60_u64 {
        let outcome = if step % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Completed
        };
        let change = health.record(outcome, 0.5, after(step * 50));
        assert_eq!(change, None, "at step {step}");
    }
}

#[test]
fn abandoned_requests_do_not_affect_health() {
    let mut health = Health::default();
    for _ in 0..50 {
        assert_eq!(health.record(Outcome::Abandoned, 0.0, START), None);
    }
    assert_eq!(health.failure_share(), 0.0);
}

#[test]
fn each_ejection_lasts_longer_and_a_later_success_restores_the_back_end() {
    let mut health = Health::default();
    let first = health.record(Outcome::Unreachable, 0.0, START);
    let second = health.record(Outcome::Unreachable, 0.0, after(1_100));
    let third = health.record(Outcome::Unreachable, 0.0, after(3_200));
    let span = |change| match change {
        Some(HealthChange::Ejected(span)) => span,
        other => panic!("expected an ejection, got {other:?}"),
    };
    assert!(span(first) < span(second));
    assert!(span(second) < span(third));
    let restored = health.record(Outcome::Completed, 0.0, after(20_000));
    assert_eq!(restored, Some(HealthChange::Restored));
}
