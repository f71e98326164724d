//! The choice of the node from which missing documents are fetched.

mod support;

use eiderferry_dispatch::Dispatcher;
use eiderferry_types::{Span, Timestamp};
use std::net::SocketAddr;
use support::{START, dispatcher, node_address, table_change, version_vector_up_to};

/// Time in milliseconds after which a node no longer waits for sources in its own zone or region.
const LONG_WAIT_MS: u64 = 2_500;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// The node under test: in zone 0, not a seed, and without documents.
fn subject() -> Dispatcher {
    let mut subject = dispatcher(50, 0, vec![node_address(0)]);
    subject.tick(START);
    subject
}

/// Lets the subject receive a message from a node of a zone that has documents up to a revision.
fn receive_from(
    subject: &mut Dispatcher,
    number: usize,
    zone: usize,
    revision: u64,
    now: Timestamp,
) {
    let mut other = dispatcher(number, zone, Vec::new());
    if revision > 0 {
        other.apply(table_change(revision), now);
        other.record_confirmation(&version_vector_up_to(revision), now);
    }
    let message = other.gossip(false, now);
    subject.receive(node_address(number), &message, now);
}

fn chosen_source(subject: &mut Dispatcher, milliseconds: u64) -> Option<SocketAddr> {
    subject.document_source(None, after(milliseconds))
}

#[test]
fn a_source_in_the_same_zone_is_preferred_to_many_in_others() {
    let mut subject = subject();
    for number in 1..20 {
        receive_from(&mut subject, number, 1 + number % 2, 5, START);
    }
    receive_from(&mut subject, 30, 0, 5, START);
    for _ in 0..20 {
        assert_eq!(chosen_source(&mut subject, 0), Some(node_address(30)));
    }
}

#[test]
fn the_reporter_is_preferred_if_it_is_in_the_same_zone() {
    let mut subject = subject();
    for number in 1..20 {
        receive_from(&mut subject, number, 0, 5, START);
    }
    receive_from(&mut subject, 30, 1, 5, START);
    for _ in 0..20 {
        let same_zone = subject.document_source(Some(node_address(7)), START);
        assert_eq!(same_zone, Some(node_address(7)));
        let other_zone = subject.document_source(Some(node_address(30)), START);
        assert_ne!(other_zone, Some(node_address(30)), "it is in another zone");
    }
}

#[test]
fn a_source_in_the_same_region_is_preferred_to_other_regions() {
    let mut subject = subject();
    receive_from(&mut subject, 1, 2, 5, START);
    receive_from(&mut subject, 2, 1, 5, START);
    assert_eq!(
        chosen_source(&mut subject, 0),
        None,
        "a node of its own zone may still be heard"
    );
    for _ in 0..20 {
        assert_eq!(
            chosen_source(&mut subject, LONG_WAIT_MS),
            Some(node_address(2))
        );
    }
}

#[test]
fn nodes_of_a_zone_without_documents_fetch_from_other_zones_one_after_the_other() {
    let mut subject = subject();
    for number in 1..40 {
        receive_from(&mut subject, number, 0, 0, START);
    }
    receive_from(&mut subject, 45, 1, 5, START);
    assert_eq!(chosen_source(&mut subject, 0), None);
    assert_eq!(
        chosen_source(&mut subject, 200),
        None,
        "other nodes of the zone fetch first"
    );
    assert_eq!(
        chosen_source(&mut subject, LONG_WAIT_MS),
        Some(node_address(45))
    );
}

#[test]
fn the_first_node_of_a_zone_soon_fetches_from_another_zone() {
    let mut subject = subject();
    receive_from(&mut subject, 45, 1, 5, START);
    assert_eq!(
        chosen_source(&mut subject, 0),
        None,
        "a node of its own zone may still be heard"
    );
    assert_eq!(chosen_source(&mut subject, 250), Some(node_address(45)));
}

#[test]
fn a_failed_source_is_not_retried_at_once() {
    let mut subject = subject();
    receive_from(&mut subject, 1, 0, 5, START);
    receive_from(&mut subject, 2, 0, 5, START);
    subject.record_failed_fetch(node_address(1), false, START);
    for _ in 0..20 {
        assert_eq!(chosen_source(&mut subject, 900), Some(node_address(2)));
    }
}

#[test]
fn a_node_waits_for_a_busy_source_of_its_zone_only_for_a_limited_time() {
    let mut subject = subject();
    receive_from(&mut subject, 1, 0, 5, START);
    receive_from(&mut subject, 2, 1, 5, START);
    assert_eq!(chosen_source(&mut subject, 0), Some(node_address(1)));
    subject.record_failed_fetch(node_address(1), true, START);
    assert_eq!(chosen_source(&mut subject, 100), None, "the source is busy");
    assert_eq!(chosen_source(&mut subject, 200), Some(node_address(1)));
    subject.record_failed_fetch(node_address(1), true, after(LONG_WAIT_MS));
    assert_eq!(
        chosen_source(&mut subject, LONG_WAIT_MS + 100),
        Some(node_address(2))
    );
}

#[test]
fn a_lost_source_in_the_same_zone_does_not_block_fetching() {
    let mut subject = subject();
    receive_from(&mut subject, 1, 0, 5, START);
    assert_eq!(chosen_source(&mut subject, 0), Some(node_address(1)));
    for tick in 1..20 {
        subject.tick(after(tick * 100));
        chosen_source(&mut subject, tick * 100);
    }
    receive_from(&mut subject, 2, 1, 5, after(2_000));
    assert_eq!(
        chosen_source(&mut subject, 2_000),
        None,
        "a node of its own zone may still be heard"
    );
    assert_eq!(chosen_source(&mut subject, 2_300), Some(node_address(2)));
}

#[test]
fn a_stale_source_in_the_same_zone_comes_first_and_another_zone_supplies_the_remainder() {
    let mut subject = subject();
    receive_from(&mut subject, 1, 0, 5, START);
    receive_from(&mut subject, 2, 1, 9, START);
    assert_eq!(chosen_source(&mut subject, 0), Some(node_address(1)));
    subject.apply(table_change(5), START);
    subject.record_confirmation(&version_vector_up_to(5), START);
    assert_eq!(chosen_source(&mut subject, 0), Some(node_address(2)));
    subject.record_confirmation(&version_vector_up_to(9), START);
    assert_eq!(chosen_source(&mut subject, 0), None);
}

#[test]
fn a_node_with_documents_fetches_changes_from_another_zone_at_once() {
    let mut subject = subject();
    subject.apply(table_change(5), START);
    subject.record_confirmation(&version_vector_up_to(5), START);
    for number in 1..40 {
        receive_from(&mut subject, number, 0, 5, START);
    }
    receive_from(&mut subject, 45, 2, 6, START);
    assert_eq!(chosen_source(&mut subject, 0), Some(node_address(45)));
}
