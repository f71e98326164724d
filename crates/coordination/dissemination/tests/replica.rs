//! Versions only increase, peers get no more than they need, and only readers read.

use eiderferry_config::Directory;
use eiderferry_dissemination::{ApplyOutcome, ReadSchedule, ReaderRole, Replica, Update};
use eiderferry_types::{Span, Timestamp};

fn directory(version: u64) -> Directory {
    Directory {
        version,
        ..Directory::default()
    }
}

#[test]
fn an_older_or_equal_version_is_never_accepted() {
    let mut replica = Replica::default();
    assert_eq!(replica.offer(directory(5)), ApplyOutcome::Accepted);
    assert_eq!(replica.offer(directory(4)), ApplyOutcome::NotNewer);
    assert_eq!(replica.offer(directory(5)), ApplyOutcome::NotNewer);
    assert_eq!(replica.version(), 5);
}

#[test]
fn a_peer_slightly_behind_gets_deltas_and_one_far_behind_the_whole_document() {
    let mut source = Replica::default();
    for version in 1..=50 {
        source.offer(directory(version));
    }
    assert!(matches!(source.update_for(48), Some(Update::Deltas(deltas)) if deltas.len() == 2));
    assert!(matches!(source.update_for(1), Some(Update::Whole(_))));
    assert_eq!(source.update_for(50), None);
}

#[test]
fn deltas_that_start_at_another_version_are_a_gap() {
    let mut source = Replica::default();
    source.offer(directory(1));
    source.offer(directory(2));
    source.offer(directory(3));
    let update = source.update_for(2).expect("newer");
    let mut behind = Replica::default();
    behind.offer(directory(1));
    assert_eq!(behind.preview(&update), Err(ApplyOutcome::Gap));
    assert_eq!(behind.version(), 1);
}

#[test]
fn only_readers_read_and_a_failure_delays_the_next_read() {
    let mut schedule = ReadSchedule::default();
    let at = |seconds: u64| Timestamp(0) + Span::from_milliseconds(seconds * 1_000);
    assert!(!schedule.start_if_due(at(1), ReaderRole::NotReader, false));
    assert!(schedule.start_if_due(at(1), ReaderRole::Primary, false));
    schedule.record_result(false);
    assert!(!schedule.start_if_due(at(2), ReaderRole::Primary, false));
    assert!(schedule.start_if_due(at(3), ReaderRole::Primary, false));
    schedule.record_result(true);
    assert!(schedule.start_if_due(at(4), ReaderRole::Primary, false));
}
