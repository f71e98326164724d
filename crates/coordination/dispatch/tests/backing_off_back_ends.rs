//! Back ends that ask this node to back off: when they get requests again, and which retry delay
//! refused callers get.

mod support;

use eiderferry_dispatch::{Decision, Dispatcher, Outcome};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use support::{
    START, back_end, back_end_change, demand, dispatcher_with_engines, expired_change, granted,
};

const BACKING_OFF: &str = "engine-0";
const BACKOFF_MS: u64 = 3_000;
const FIRST_START: u64 = 1_760_000_000_000;

fn after_start(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// Whether the engine that asked for a backoff gets any of 60 requests.
fn gets_requests(subject: &mut Dispatcher, now: Timestamp) -> bool {
    (0..60).any(|prompt| {
        let Decision::Grant(grant) = subject.dispatch(&demand(prompt, 1_000, 100), now) else {
            return false;
        };
        subject.release(grant.lease, Outcome::Completed, now);
        grant.instance == InstanceId::from(BACKING_OFF)
    })
}

/// Sends requests until one is granted to the engine, which sheds it and asks for a backoff.
fn shed_with_backoff(subject: &mut Dispatcher, backoff_ms: u64, now: Timestamp) {
    for prompt in 0..200 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), now));
        if grant.instance == InstanceId::from(BACKING_OFF) {
            subject.record_backoff(grant.lease, Span::from_milliseconds(backoff_ms), now);
            subject.release(grant.lease, Outcome::Shed, now);
            return;
        }
        subject.release(grant.lease, Outcome::Completed, now);
    }
    panic!("no request was sent to {BACKING_OFF}");
}

#[rstest]
#[case::one_of_a_few(4)]
#[case::alone(1)]
fn a_back_end_gets_no_requests_until_its_backoff_ends(#[case] engines: usize) {
    let mut subject = dispatcher_with_engines(engines);
    shed_with_backoff(&mut subject, BACKOFF_MS, START);
    for milliseconds in [1, 500, 1_001, 2_999] {
        assert!(
            !gets_requests(&mut subject, after_start(milliseconds)),
            "{milliseconds}"
        );
    }
    let latest_ms = 10_000;
    let mut later_times = (BACKOFF_MS..latest_ms).step_by(100);
    assert!(later_times.any(|at| gets_requests(&mut subject, after_start(at))));
}

/// Two requests are in flight, and the response to the second asks for a shorter backoff.
#[test]
fn the_longer_of_two_backoffs_applies() {
    let mut subject = dispatcher_with_engines(1);
    let first = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    let second = granted(subject.dispatch(&demand(2, 1_000, 100), START));
    subject.record_backoff(first.lease, Span::from_milliseconds(BACKOFF_MS), START);
    subject.record_backoff(second.lease, Span::from_milliseconds(100), after_start(10));
    assert!(!gets_requests(&mut subject, after_start(BACKOFF_MS - 1)));
    assert!(gets_requests(&mut subject, after_start(BACKOFF_MS)));
}

fn refusal(subject: &mut Dispatcher, now: Timestamp) -> (Reason, Span) {
    match subject.dispatch(&demand(1, 1_000, 100), now) {
        Decision::Refuse(reason, retry_after) => (reason, retry_after),
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

/// The back end backs off from this node alone, so the caller should soon retry at another node.
#[test]
fn refusals_state_the_shortest_remaining_backoff_up_to_a_maximum() {
    let mut subject = dispatcher_with_engines(1);
    shed_with_backoff(&mut subject, BACKOFF_MS, START);
    let (reason, capped) = refusal(&mut subject, after_start(100));
    assert_eq!(reason, Reason::BackEndsBackingOff);
    assert_eq!(capped, Span::from_milliseconds(500));
    let (_, remaining) = refusal(&mut subject, after_start(BACKOFF_MS - 40));
    assert_eq!(remaining, Span::from_milliseconds(40));
}

fn engine_started_at(started_unix_ms: u64) -> BackEnd {
    let mut engine = back_end(BACKING_OFF, 0, 0);
    engine.started_unix_ms = Some(started_unix_ms);
    engine
}

#[test]
fn an_expired_entry_that_returns_does_not_end_the_backoff() {
    let mut subject = dispatcher_with_engines(1);
    shed_with_backoff(&mut subject, BACKOFF_MS, START);
    subject.apply(expired_change(BACKING_OFF, 5), after_start(100));
    subject.apply(
        back_end_change(back_end(BACKING_OFF, 0, 0), 6),
        after_start(200),
    );
    assert!(!gets_requests(&mut subject, after_start(2_000)));
}

#[test]
fn a_new_run_of_the_same_instance_has_no_backoff() {
    let mut subject = dispatcher_with_engines(0);
    subject.apply(back_end_change(engine_started_at(FIRST_START), 3), START);
    shed_with_backoff(&mut subject, BACKOFF_MS, START);
    subject.apply(
        back_end_change(engine_started_at(FIRST_START + 500), 4),
        after_start(500),
    );
    assert!(gets_requests(&mut subject, after_start(600)));
}
