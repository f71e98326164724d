//! Back ends that ask this node for a rest: when they get work again, and what callers hear.

mod support;

use eiderferry_dispatch::{Decision, Dispatcher, Outcome};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use support::{START, back_end, back_end_change, demand, granted, lapsed_change, with_engines};

const RESTING: &str = "engine-0";
const REST_MS: u64 = 3_000;
const FIRST_START: u64 = 1_760_000_000_000;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// Whether the resting engine gets one of some requests.
fn is_asked(subject: &mut Dispatcher, now: Timestamp) -> bool {
    (0..60).any(|thing| {
        let Decision::Grant(grant) = subject.dispatch(&demand(thing, 1_000, 100), now) else {
            return false;
        };
        subject.release(grant.lease, Outcome::Completed, now);
        grant.instance == InstanceId::from(RESTING)
    })
}

/// Sends requests until one is at the engine; it turns that one away and asks for a rest.
fn turn_away(subject: &mut Dispatcher, rest_ms: u64, now: Timestamp) {
    for thing in 0..200 {
        let grant = granted(subject.dispatch(&demand(thing, 1_000, 100), now));
        if grant.instance == InstanceId::from(RESTING) {
            subject.record_backoff(grant.lease, Span::from_milliseconds(rest_ms), now);
            subject.release(grant.lease, Outcome::Shed, now);
            return;
        }
        subject.release(grant.lease, Outcome::Completed, now);
    }
    panic!("no request was sent to {RESTING}");
}

#[rstest]
#[case::one_of_a_few(4)]
#[case::alone(1)]
fn it_gets_nothing_for_as_long_as_it_asked_and_work_after_it(#[case] engines: usize) {
    let mut subject = with_engines(engines);
    turn_away(&mut subject, REST_MS, START);
    for milliseconds in [1, 500, 1_001, 2_999] {
        assert!(
            !is_asked(&mut subject, after(milliseconds)),
            "{milliseconds}"
        );
    }
    let patience = 10_000;
    let mut again = (REST_MS..patience).step_by(100);
    assert!(again.any(|at| is_asked(&mut subject, after(at))));
}

/// Two requests were on their way, and the second asks for less.
#[test]
fn of_two_rests_the_longer_counts() {
    let mut subject = with_engines(1);
    let first = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    let second = granted(subject.dispatch(&demand(2, 1_000, 100), START));
    subject.record_backoff(first.lease, Span::from_milliseconds(REST_MS), START);
    subject.record_backoff(second.lease, Span::from_milliseconds(100), after(10));
    assert!(!is_asked(&mut subject, after(REST_MS - 1)));
    assert!(is_asked(&mut subject, after(REST_MS)));
}

fn refusal(subject: &mut Dispatcher, now: Timestamp) -> (Reason, Span) {
    match subject.dispatch(&demand(1, 1_000, 100), now) {
        Decision::Refuse(reason, retry_after) => (reason, retry_after),
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

/// It rests from this node alone: a caller is best off at another one, soon.
#[test]
fn a_refused_caller_is_called_back_when_the_first_has_rested_or_soon() {
    let mut subject = with_engines(1);
    turn_away(&mut subject, REST_MS, START);
    let (reason, long) = refusal(&mut subject, after(100));
    assert_eq!(reason, Reason::BackEndsBackingOff);
    assert_eq!(long, Span::from_milliseconds(500));
    let (_, short) = refusal(&mut subject, after(REST_MS - 40));
    assert_eq!(short, Span::from_milliseconds(40));
}

fn run(started_unix_ms: u64) -> BackEnd {
    let mut engine = back_end(RESTING, 0, 0);
    engine.started_unix_ms = Some(started_unix_ms);
    engine
}

#[test]
fn an_entry_that_lapses_and_comes_back_ends_no_rest() {
    let mut subject = with_engines(1);
    turn_away(&mut subject, REST_MS, START);
    subject.apply(lapsed_change(RESTING, 5), after(100));
    subject.apply(back_end_change(back_end(RESTING, 0, 0), 6), after(200));
    assert!(!is_asked(&mut subject, after(2_000)));
}

#[test]
fn another_run_of_the_name_has_asked_for_none() {
    let mut subject = with_engines(0);
    subject.apply(back_end_change(run(FIRST_START), 3), START);
    turn_away(&mut subject, REST_MS, START);
    subject.apply(back_end_change(run(FIRST_START + 500), 4), after(500));
    assert!(is_asked(&mut subject, after(600)));
}
