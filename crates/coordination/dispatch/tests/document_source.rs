//! From whom a node fetches documents that it lacks.

mod support;

use eiderferry_dispatch::Dispatcher;
use eiderferry_types::{Span, Timestamp};
use std::net::SocketAddr;
use support::{START, dispatcher, known, node_address, table_change};

/// A time by which nobody is patient any more.
const LONG: u64 = 2_500;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// The node under test: it is of zone 0, no seed, and knows nothing.
fn subject() -> Dispatcher {
    let mut subject = dispatcher(50, 0, vec![node_address(0)]);
    subject.tick(START);
    subject
}

/// Lets the subject hear a node of a zone that knows documents up to a revision.
fn hears(subject: &mut Dispatcher, number: usize, zone: usize, revision: u64, now: Timestamp) {
    let mut other = dispatcher(number, zone, Vec::new());
    if revision > 0 {
        other.apply(table_change(revision), now);
        other.record_confirmation(&known(revision), now);
    }
    let message = other.gossip(false, now);
    subject.receive(node_address(number), &message, now);
}

fn source(subject: &mut Dispatcher, milliseconds: u64) -> Option<SocketAddr> {
    subject.document_source(None, after(milliseconds))
}

#[test]
fn a_node_of_the_own_zone_is_asked_before_others_however_many_these_are() {
    let mut subject = subject();
    for number in 1..20 {
        hears(&mut subject, number, 1 + number % 2, 5, START);
    }
    hears(&mut subject, 30, 0, 5, START);
    for _ in 0..20 {
        assert_eq!(source(&mut subject, 0), Some(node_address(30)));
    }
}

#[test]
fn a_near_node_that_told_just_now_comes_first() {
    let mut subject = subject();
    for number in 1..20 {
        hears(&mut subject, number, 0, 5, START);
    }
    hears(&mut subject, 30, 1, 5, START);
    for _ in 0..20 {
        let near = subject.document_source(Some(node_address(7)), START);
        assert_eq!(near, Some(node_address(7)));
        let far = subject.document_source(Some(node_address(30)), START);
        assert_ne!(far, Some(node_address(30)), "it is of another zone");
    }
}

#[test]
fn the_own_region_is_asked_before_others() {
    let mut subject = subject();
    hears(&mut subject, 1, 2, 5, START);
    hears(&mut subject, 2, 1, 5, START);
    assert_eq!(source(&mut subject, 0), None, "its zone may yet be heard");
    for _ in 0..20 {
        assert_eq!(source(&mut subject, LONG), Some(node_address(2)));
    }
}

#[test]
fn the_nodes_of_a_zone_without_documents_cross_the_border_one_after_the_other() {
    let mut subject = subject();
    for number in 1..40 {
        hears(&mut subject, number, 0, 0, START);
    }
    hears(&mut subject, 45, 1, 5, START);
    assert_eq!(source(&mut subject, 0), None);
    assert_eq!(
        source(&mut subject, 200),
        None,
        "others of the zone go first"
    );
    assert_eq!(source(&mut subject, LONG), Some(node_address(45)));
}

#[test]
fn the_first_of_a_zone_crosses_the_border_soon() {
    let mut subject = subject();
    hears(&mut subject, 45, 1, 5, START);
    assert_eq!(source(&mut subject, 0), None, "its zone may yet be heard");
    assert_eq!(source(&mut subject, 250), Some(node_address(45)));
}

#[test]
fn a_source_that_died_midway_is_not_asked_again_at_once() {
    let mut subject = subject();
    hears(&mut subject, 1, 0, 5, START);
    hears(&mut subject, 2, 0, 5, START);
    subject.record_failed_fetch(node_address(1), false, START);
    for _ in 0..20 {
        assert_eq!(source(&mut subject, 900), Some(node_address(2)));
    }
}

#[test]
fn a_busy_zone_is_waited_for_but_not_for_good() {
    let mut subject = subject();
    hears(&mut subject, 1, 0, 5, START);
    hears(&mut subject, 2, 1, 5, START);
    assert_eq!(source(&mut subject, 0), Some(node_address(1)));
    subject.record_failed_fetch(node_address(1), true, START);
    assert_eq!(source(&mut subject, 100), None, "it is busy");
    assert_eq!(source(&mut subject, 200), Some(node_address(1)));
    subject.record_failed_fetch(node_address(1), true, after(LONG));
    assert_eq!(source(&mut subject, LONG + 100), Some(node_address(2)));
}

#[test]
fn a_lost_node_of_the_own_zone_holds_nobody_up() {
    let mut subject = subject();
    hears(&mut subject, 1, 0, 5, START);
    assert_eq!(source(&mut subject, 0), Some(node_address(1)));
    for tick in 1..20 {
        subject.tick(after(tick * 100));
        source(&mut subject, tick * 100);
    }
    hears(&mut subject, 2, 1, 5, after(2_000));
    assert_eq!(
        source(&mut subject, 2_000),
        None,
        "its zone may yet be heard"
    );
    assert_eq!(source(&mut subject, 2_300), Some(node_address(2)));
}

#[test]
fn a_stale_node_of_the_own_zone_serves_what_it_has_and_the_rest_comes_from_beyond() {
    let mut subject = subject();
    hears(&mut subject, 1, 0, 5, START);
    hears(&mut subject, 2, 1, 9, START);
    assert_eq!(source(&mut subject, 0), Some(node_address(1)));
    subject.apply(table_change(5), START);
    subject.record_confirmation(&known(5), START);
    assert_eq!(source(&mut subject, 0), Some(node_address(2)));
    subject.record_confirmation(&known(9), START);
    assert_eq!(source(&mut subject, 0), None);
}

#[test]
fn a_node_that_lacks_little_does_not_wait_for_its_zone() {
    let mut subject = subject();
    subject.apply(table_change(5), START);
    subject.record_confirmation(&known(5), START);
    for number in 1..40 {
        hears(&mut subject, number, 0, 5, START);
    }
    hears(&mut subject, 45, 2, 6, START);
    assert_eq!(source(&mut subject, 0), Some(node_address(45)));
}
