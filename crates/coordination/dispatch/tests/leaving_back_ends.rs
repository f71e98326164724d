//! Back ends that say in their answers that they leave: what one node makes of it.

mod support;

use eiderferry_dispatch::{
    ApplyOutcome, Change, Decision, Dispatcher, DocumentContent, DocumentKey, Outcome,
};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use support::{
    START, back_end, back_end_change, demand, granted, lapsed_change, table_change, with_engines,
};

const FIRST_START: u64 = 1_760_000_000_000;
const LEAVING: &str = "engine-0";

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

fn engine(name: &str, number: usize) -> BackEnd {
    let mut engine = back_end(name, number, 0);
    engine.started_unix_ms = Some(FIRST_START);
    engine
}

/// A node before so many engines, each of which tells when it started.
fn before(count: usize) -> Dispatcher {
    let mut subject = with_engines(0);
    subject.apply(table_change(1), START);
    for number in 0..count {
        let engine = engine(&format!("engine-{number}"), number);
        subject.apply(back_end_change(engine, 2 + number as u64), START);
    }
    subject
}

fn leaving() -> InstanceId {
    InstanceId::from(LEAVING)
}

/// Sends requests until one is at the engine that leaves, and notes its word.
fn hear(subject: &mut Dispatcher, now: Timestamp) {
    for thing in 0..200 {
        let grant = granted(subject.dispatch(&demand(thing, 1_000, 100), now));
        let is_told = grant.instance == leaving();
        if is_told {
            assert_eq!(subject.record_leaving(grant.lease), Some(leaving()));
            assert_eq!(subject.record_leaving(grant.lease), None, "told once more");
        }
        subject.release(grant.lease, Outcome::Completed, now);
        if is_told {
            return;
        }
    }
    panic!("no request was sent to {LEAVING}");
}

fn is_asked(subject: &mut Dispatcher, now: Timestamp) -> bool {
    (0..60).any(|thing| {
        let Decision::Grant(grant) = subject.dispatch(&demand(thing, 1_000, 100), now) else {
            return false;
        };
        subject.release(grant.lease, Outcome::Completed, now);
        grant.instance == leaving()
    })
}

#[rstest]
#[case::one_of_a_few(4)]
#[case::one_of_many(600)]
fn it_gets_nothing_more_and_the_others_do(#[case] engines: usize) {
    let mut subject = before(engines);
    let mut told = Vec::new();
    for thing in 0..4_000 {
        let grant = granted(subject.dispatch(&demand(thing, 1_000, 100), START));
        if grant.instance == leaving() {
            subject.record_leaving(grant.lease);
            told.push(thing);
        }
        subject.release(grant.lease, Outcome::Completed, START);
    }
    assert_eq!(told.len(), 1, "requests that got its word");
}

#[test]
fn where_all_have_said_so_requests_are_refused_with_a_time() {
    let mut subject = before(1);
    hear(&mut subject, START);
    match subject.dispatch(&demand(1, 1_000, 100), after(1)) {
        Decision::Refuse(reason, retry_after) => {
            assert_eq!(reason, Reason::NoBackEnd);
            assert!(retry_after > Span::ZERO);
        }
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

fn gone_change(revision: u64) -> Change {
    Change {
        key: DocumentKey::BackEnd(leaving()),
        revision: revision.into(),
        content: DocumentContent::Removed,
    }
}

/// While the platform is away entries lapse, and come back as they were written before.
#[rstest]
#[case::written_again(vec![])]
#[case::lapsed_and_back(vec![lapsed_change(LEAVING, 20)])]
#[case::removed_and_back(vec![gone_change(20)])]
fn an_entry_that_does_not_say_so_changes_nothing(#[case] between: Vec<Change>) {
    let mut subject = before(2);
    hear(&mut subject, START);
    for change in between {
        subject.apply(change, after(1_000));
    }
    let taken = subject.apply(back_end_change(engine(LEAVING, 0), 21), after(5_000));
    assert_eq!(taken.outcome, ApplyOutcome::Applied);
    assert!(!is_asked(&mut subject, after(6_000)));
    assert!(!is_asked(&mut subject, after(600_000)));
}

#[test]
fn another_run_of_the_name_gets_work() {
    let mut subject = before(2);
    hear(&mut subject, START);
    let mut another = engine(LEAVING, 0);
    another.started_unix_ms = Some(FIRST_START + 9_000);
    subject.apply(back_end_change(another, 9), after(9_000));
    assert!(is_asked(&mut subject, after(9_100)));
    hear(&mut subject, after(9_200));
    assert!(!is_asked(&mut subject, after(9_300)));
}

/// An answer that was long under way may be of a run that is over.
#[test]
fn the_word_of_the_run_before_says_nothing_of_the_next() {
    let mut subject = before(1);
    let lease = granted(subject.dispatch(&demand(1, 1_000, 100), START)).lease;
    let mut another = engine(LEAVING, 0);
    another.started_unix_ms = Some(FIRST_START + 9_000);
    subject.apply(back_end_change(another, 9), after(9_000));
    assert_eq!(subject.record_leaving(lease), None);
    assert!(is_asked(&mut subject, after(9_100)));
}
