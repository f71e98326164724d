//! Streams are cut at the ends of events only.

use eiderferry_relay::EventSplitter;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 3\ndata: d\n\n";

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_sevens(7)]
#[case::at_once(1_000)]
fn all_bytes_pass_whatever_pieces_they_come_in(#[case] size: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    for piece in STREAM.as_bytes().chunks(size) {
        passed.extend_from_slice(&splitter.push(piece));
    }
    assert_eq!(passed, STREAM.as_bytes());
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial_event());
}

#[test]
fn an_event_cut_in_half_is_held_back() {
    let mut splitter = EventSplitter::default();
    let passed = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

#[test]
fn events_that_are_not_newer_are_dropped() {
    let mut splitter = EventSplitter::resuming_after(Some(2));
    let passed = splitter.push(STREAM.as_bytes());
    assert_eq!(&passed[..], b": note\n\nid: 3\ndata: d\n\n");
}
