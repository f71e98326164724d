//! Back ends that announce in a response that they are leaving, as handled by a single node.

mod support;

use eiderferry_dispatch::{
    ApplyOutcome, Change, Decision, Dispatcher, DocumentContent, DocumentKey, Outcome,
};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use support::{
    START, back_end, back_end_change, demand, dispatcher_with_engines, expired_change, granted,
    table_change,
};

const FIRST_START: u64 = 1_760_000_000_000;
const LEAVING: &str = "engine-0";

fn after_start(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

fn engine(name: &str, number: usize) -> BackEnd {
    let mut engine = back_end(name, number, 0);
    engine.started_unix_ms = Some(FIRST_START);
    engine
}

/// A node that knows `count` engines, each of which states its start time.
fn dispatcher_with_start_times(count: usize) -> Dispatcher {
    let mut subject = dispatcher_with_engines(0);
    subject.apply(table_change(1), START);
    for number in 0..count {
        let engine = engine(&format!("engine-{number}"), number);
        subject.apply(back_end_change(engine, 2 + number as u64), START);
    }
    subject
}

fn leaving_instance() -> InstanceId {
    InstanceId::from(LEAVING)
}

/// Sends requests until one is granted to the leaving engine, and records its leaving notice.
fn receive_leaving_notice(subject: &mut Dispatcher, now: Timestamp) {
    for prompt in 0..200 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), now));
        let is_leaving = grant.instance == leaving_instance();
        if is_leaving {
            assert_eq!(
                subject.record_leaving(grant.lease),
                Some(leaving_instance())
            );
            assert_eq!(subject.record_leaving(grant.lease), None, "reported twice");
        }
        subject.release(grant.lease, Outcome::Completed, now);
        if is_leaving {
            return;
        }
    }
    panic!("no request was sent to {LEAVING}");
}

fn gets_requests(subject: &mut Dispatcher, now: Timestamp) -> bool {
    (0..60).any(|prompt| {
        let Decision::Grant(grant) = subject.dispatch(&demand(prompt, 1_000, 100), now) else {
            return false;
        };
        subject.release(grant.lease, Outcome::Completed, now);
        grant.instance == leaving_instance()
    })
}

#[rstest]
#[case::one_of_a_few(4)]
#[case::one_of_many(600)]
fn a_leaving_back_end_gets_no_further_requests_and_others_do(#[case] engines: usize) {
    let mut subject = dispatcher_with_start_times(engines);
    let mut noticed = Vec::new();
    for prompt in 0..4_000 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), START));
        if grant.instance == leaving_instance() {
            subject.record_leaving(grant.lease);
            noticed.push(prompt);
        }
        subject.release(grant.lease, Outcome::Completed, START);
    }
    assert_eq!(noticed.len(), 1, "requests granted to the leaving engine");
}

#[test]
fn requests_are_refused_with_a_retry_time_when_all_back_ends_leave() {
    let mut subject = dispatcher_with_start_times(1);
    receive_leaving_notice(&mut subject, START);
    match subject.dispatch(&demand(1, 1_000, 100), after_start(1)) {
        Decision::Refuse(reason, retry_after) => {
            assert_eq!(reason, Reason::NoBackEnd);
            assert!(retry_after > Span::ZERO);
        }
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

fn removal_change(revision: u64) -> Change {
    Change {
        key: DocumentKey::BackEnd(leaving_instance()),
        revision: revision.into(),
        content: DocumentContent::Removed,
    }
}

/// During an outage of the platform entries expire, and return as they were before.
#[rstest]
#[case::written_again(vec![])]
#[case::lapsed_and_back(vec![expired_change(LEAVING, 20)])]
#[case::removed_and_back(vec![removal_change(20)])]
fn an_entry_that_is_not_draining_does_not_revoke_leaving(#[case] between: Vec<Change>) {
    let mut subject = dispatcher_with_start_times(2);
    receive_leaving_notice(&mut subject, START);
    for change in between {
        subject.apply(change, after_start(1_000));
    }
    let received = subject.apply(back_end_change(engine(LEAVING, 0), 21), after_start(5_000));
    assert_eq!(received.outcome, ApplyOutcome::Applied);
    assert!(!gets_requests(&mut subject, after_start(6_000)));
    assert!(!gets_requests(&mut subject, after_start(600_000)));
}

#[test]
fn a_new_run_of_the_same_instance_gets_requests() {
    let mut subject = dispatcher_with_start_times(2);
    receive_leaving_notice(&mut subject, START);
    let mut next_run = engine(LEAVING, 0);
    next_run.started_unix_ms = Some(FIRST_START + 9_000);
    subject.apply(back_end_change(next_run, 9), after_start(9_000));
    assert!(gets_requests(&mut subject, after_start(9_100)));
    receive_leaving_notice(&mut subject, after_start(9_200));
    assert!(!gets_requests(&mut subject, after_start(9_300)));
}

/// A delayed response may belong to a run that has ended.
#[test]
fn a_leaving_notice_of_the_previous_run_does_not_affect_the_next() {
    let mut subject = dispatcher_with_start_times(1);
    let lease = granted(subject.dispatch(&demand(1, 1_000, 100), START)).lease;
    let mut next_run = engine(LEAVING, 0);
    next_run.started_unix_ms = Some(FIRST_START + 9_000);
    subject.apply(back_end_change(next_run, 9), after_start(9_000));
    assert_eq!(subject.record_leaving(lease), None);
    assert!(gets_requests(&mut subject, after_start(9_100)));
}
