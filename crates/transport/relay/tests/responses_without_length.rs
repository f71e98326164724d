//! Responses with neither a length nor chunks, which end with their connection.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::{MockBackEnd, ReceivedRequest, TestRelay, event, reset_on_close, write};

fn head(request: &ReceivedRequest, content_type: &str) -> String {
    let id = request.id();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\nContent-Type: {content_type}\r\n\
         Connection: close\r\n\r\n"
    )
}

fn stream_head(request: &ReceivedRequest) -> String {
    head(request, "text/event-stream")
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

/// How a back end ends its first stream after two of five events.
#[derive(Clone, Copy, Debug)]
enum Break {
    InsideEvent,
    ResetBetweenEvents,
}

/// Starts a back end that breaks its first stream off. Once `has_broken` is set, it sends the events
/// after the requested one instead.
fn breaking_back_end(kind: Break, has_broken: Arc<AtomicBool>) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, _| {
        write(stream, &stream_head(request));
        if has_broken.swap(true, Ordering::SeqCst) {
            let last_event_id: u64 = request
                .header("last-event-id")
                .map_or(0, |id| id.parse().expect("a number"));
            write(stream, &events(last_event_id + 1..=5));
            return false;
        }
        write(stream, &events(1..=2));
        std::thread::sleep(Duration::from_millis(50));
        match kind {
            Break::InsideEvent => write(stream, &event(3)[..9]),
            Break::ResetBetweenEvents => reset_on_close(stream),
        }
        false
    })
}

#[test]
fn a_stream_is_passed_on_whole() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &stream_head(request));
        write(stream, &events(1..=2));
        std::thread::sleep(Duration::from_millis(50));
        write(stream, &events(3..=5));
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    for number in 0..3 {
        let response = relay.post("resumable", number);
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.body, events(1..=5));
    }
    assert_eq!(back_end.request_count(), 3);
}

#[rstest]
#[case(Break::InsideEvent)]
#[case(Break::ResetBetweenEvents)]
fn a_stream_that_breaks_off_is_resumed_at_another_back_end(#[case] kind: Break) {
    let has_broken = Arc::new(AtomicBool::new(false));
    let one = breaking_back_end(kind, Arc::clone(&has_broken));
    let two = breaking_back_end(kind, has_broken);
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    let response = relay.post("resumable", 1);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(1..=5));
}

#[rstest]
#[case(Break::InsideEvent)]
#[case(Break::ResetBetweenEvents)]
fn a_stream_that_breaks_off_and_is_not_resumable_ends_as_incomplete(#[case] kind: Break) {
    let back_end = breaking_back_end(kind, Arc::default());
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let response = relay.post("stream", 1);
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(back_end.request_count(), 1);
}

/// A crash between two events closes the connection like the end of the stream.
#[rstest]
#[case::resumable("resumable", true)]
#[case::not_resumable("stream", false)]
fn a_stream_that_a_crash_ends_between_two_events_is_not_passed_on_as_whole(
    #[case] route: &str,
    #[case] is_completed: bool,
) {
    let has_crashed = Arc::new(AtomicBool::new(false));
    let crashing = |has_crashed: Arc<AtomicBool>| {
        support::BackEndThatStopsListening::start(move |stream, request| {
            write(stream, &stream_head(request));
            let last_event_id: u64 = request
                .header("last-event-id")
                .map_or(0, |id| id.parse().expect("a number"));
            let crashes = !has_crashed.swap(true, Ordering::SeqCst);
            let end = if crashes { 2 } else { 5 };
            write(stream, &events(last_event_id + 1..=end));
            std::thread::sleep(Duration::from_millis(50));
            crashes
        })
    };
    let one = crashing(Arc::clone(&has_crashed));
    let two = crashing(has_crashed);
    let relay = TestRelay::with_addresses(&[one.address, two.address]);
    let response = relay.post(route, 1);
    assert_eq!(response.is_complete, is_completed, "{response:?}");
    if is_completed {
        assert_eq!(response.body, events(1..=5));
    }
}

#[rstest]
#[case::plain("text/plain")]
#[case::without_a_type("")]
fn a_plain_response_is_passed_on_whole(#[case] content_type: &'static str) {
    let back_end = MockBackEnd::start(move |stream, request, _| {
        write(stream, &head(request, content_type));
        write(stream, "first ");
        std::thread::sleep(Duration::from_millis(50));
        write(stream, "second");
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    for number in 0..3 {
        let response = relay.post("read", number);
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.body, "first second");
    }
}

#[rstest]
#[case::repeatable("read", 200)]
#[case::not_repeatable("write", 502)]
fn a_plain_response_that_is_reset_fails(#[case] route: &str, #[case] expected: u16) {
    let back_end = |has_broken: Arc<AtomicBool>| {
        MockBackEnd::start(move |stream, request, _| {
            write(stream, &head(request, "text/plain"));
            write(stream, "first ");
            std::thread::sleep(Duration::from_millis(50));
            if has_broken.swap(true, Ordering::SeqCst) {
                write(stream, "second");
            } else {
                reset_on_close(stream);
            }
            false
        })
    };
    let has_broken = Arc::new(AtomicBool::new(false));
    let one = back_end(Arc::clone(&has_broken));
    let two = back_end(has_broken);
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    let response = relay.post(route, 1);
    assert_eq!(response.status, expected, "{response:?}");
    if expected == 200 {
        assert_eq!(response.body, "first second");
    }
}
