//! Back ends that send bytes without an end: in a head, in interim responses, in a body, in an event.

mod support;

use eiderferry_relay::{MAX_EVENT_BYTES, MemoryKind};
use rstest::rstest;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, ReceivedRequest, TEST_TIMEOUT, TestRelay, chunk, event, ok_response, stream_head,
    wait_for_close, write,
};

const PIECE_BYTES: usize = 16_384;
/// Bytes after which a back end stops sending although its connection is still open.
const MAX_SENT_BYTES: usize = 64 * 1024 * 1024;
/// Memory budget of which one endless event may take a small part only.
const MEMORY_BUDGET: u64 = 8 * 1024 * 1024;

/// Where the bytes without an end come.
#[derive(Clone, Copy, Debug)]
enum EndlessPart {
    Head,
    InterimResponses,
    Body,
    ChunkExtension,
    Trailer,
    Event,
    /// Events that the caller already has.
    RepeatedEvents,
}

impl EndlessPart {
    fn beginning(self, request: &ReceivedRequest) -> String {
        let id = request.id();
        match self {
            EndlessPart::Head => format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nX-Long: "),
            EndlessPart::InterimResponses => String::new(),
            EndlessPart::Body => {
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\n\r\n")
            }
            EndlessPart::ChunkExtension => stream_head(request, "s") + "5;x=",
            EndlessPart::Trailer => {
                let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\n");
                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Long: "
            }
            EndlessPart::Event => stream_head(request, "s") + &chunk("id: 1\ndata: "),
            EndlessPart::RepeatedEvents => stream_head(request, "s") + &chunk(&event(1)),
        }
    }

    fn piece(self) -> String {
        match self {
            EndlessPart::InterimResponses => "HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
            EndlessPart::Event => chunk(&"e".repeat(PIECE_BYTES)),
            EndlessPart::RepeatedEvents => chunk(&event(1).repeat(500)),
            _ => "x".repeat(PIECE_BYTES),
        }
    }

    fn send(self, stream: &mut TcpStream, request: &ReceivedRequest) {
        write(stream, &self.beginning(request));
        let piece = self.piece();
        let mut sent = 0;
        while sent < MAX_SENT_BYTES {
            if std::io::Write::write_all(stream, piece.as_bytes()).is_err() {
                return;
            }
            sent += piece.len();
        }
        wait_for_close(stream);
    }
}

/// A back end whose first response is endless.
fn back_end_with_one_endless_response(part: EndlessPart) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, number| {
        if number == 1 {
            part.send(stream, request);
            return false;
        }
        let is_stream = request.head.starts_with("POST /resumable");
        let last_event_id = request.header("last-event-id").unwrap_or("0");
        let first: u64 = last_event_id.parse::<u64>().expect("a number") + 1;
        if is_stream {
            let events: String = (first..=3).map(event).collect();
            write(stream, &(stream_head(request, "s") + &chunk(&events)));
            write(stream, "0\r\n\r\n");
        } else {
            write(stream, &ok_response(request, "ok"));
        }
        true
    })
}

fn endless_back_end(part: EndlessPart) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, _| {
        part.send(stream, request);
        false
    })
}

/// A response that lasts until the deadline would be answered with 504.
#[rstest]
#[case::head(EndlessPart::Head)]
#[case::interim_responses(EndlessPart::InterimResponses)]
#[case::body(EndlessPart::Body)]
#[case::trailer(EndlessPart::Trailer)]
fn endless_responses_to_repeatable_requests_are_given_up_soon(#[case] part: EndlessPart) {
    let back_ends = [(); 2].map(|()| back_end_with_one_endless_response(part));
    let relay = TestRelay::with_back_ends(&[&back_ends[0], &back_ends[1]]);
    // Both back ends respond to their first request without an end.
    let first = relay.call("GET", "/read/1", "", "");
    assert_eq!(first.status, 502, "{first:?}");
    assert_eq!(relay.call("GET", "/read/2", "", "").status, 200);
}

#[rstest]
#[case::head(EndlessPart::Head)]
#[case::interim_responses(EndlessPart::InterimResponses)]
#[case::body(EndlessPart::Body)]
#[case::trailer(EndlessPart::Trailer)]
fn a_request_that_may_have_run_is_answered_with_502(#[case] part: EndlessPart) {
    let back_end = endless_back_end(part);
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let response = relay.call("POST", "/write/1", "", "x");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(back_end.request_count(), 1);
}

/// Guards against an event that fills the memory, and against repeated events that keep a stream
/// waiting for new ones until its deadline.
#[rstest]
#[case::event(EndlessPart::Event)]
#[case::repeated_events(EndlessPart::RepeatedEvents)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
fn a_resumable_stream_goes_on_at_another_back_end(#[case] part: EndlessPart) {
    let endless = endless_back_end(part);
    let sound = back_end_with_one_endless_response(part);
    // Its first response is used up.
    let warm_up = TestRelay::with_back_ends(&[&sound]);
    let _ = warm_up.call("POST", "/write/1", "", "x");
    drop(warm_up);
    let relay = TestRelay::with_memory_budget(&[&endless, &sound], MEMORY_BUDGET);
    for number in 0..6 {
        let response = relay.call("POST", &format!("/resumable/{number}"), "", "x");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.body, (1..=3).map(event).collect::<String>());
    }
    let held = relay.memory.used_bytes_by_kind(MemoryKind::Events);
    assert_eq!(held, 0);
    assert!(relay.memory.peak_bytes() < 4 * MAX_EVENT_BYTES as u64);
}

#[test]
fn the_connection_of_an_endless_event_is_closed() {
    let back_end = endless_back_end(EndlessPart::Event);
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let response = relay.call("POST", "/stream/1", "", "x");
    assert_eq!(response.status, 502, "{response:?}");
    let started_at = Instant::now();
    while back_end.close_times.lock().expect("lock").is_empty() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "it is still open");
        std::thread::sleep(Duration::from_millis(10));
    }
}
