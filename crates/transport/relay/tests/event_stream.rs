//! The splitter forwards event streams in whole events.

use eiderferry_relay::EventSplitter;
use rstest::rstest;

/// Three events and a comment.
const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid: 3\ndata: d\n\n";

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_sevens(7)]
#[case::at_once(1_000)]
fn all_bytes_are_forwarded_however_the_input_is_split(#[case] piece_size: usize) {
    let mut splitter = EventSplitter::default();
    let mut forwarded = Vec::new();
    for piece in STREAM.as_bytes().chunks(piece_size) {
        forwarded.extend_from_slice(&splitter.push(piece));
    }
    assert_eq!(forwarded, STREAM.as_bytes());
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial_event());
}

#[test]
fn a_partial_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let forwarded = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&forwarded[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

#[test]
fn events_up_to_the_resume_point_are_dropped() {
    let mut splitter = EventSplitter::resuming_after(Some(2));
    let forwarded = splitter.push(STREAM.as_bytes());
    assert_eq!(&forwarded[..], b": note\n\nid: 3\ndata: d\n\n");
}
