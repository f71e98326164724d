//! Responses whose status is not that of a final response.

mod support;

use rstest::rstest;
use support::{MockBackEnd, TestRelay, chunk, event, ok_response, stream_head, write};

/// A back end that responds with this status, at first or always. A further status line may precede
/// it.
fn back_end(status: &'static str, is_sound_later: bool) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, number| {
        if number > 1 && is_sound_later {
            write(stream, &ok_response(request, "ok"));
            return true;
        }
        let is_stream = request.head.contains("/stream/");
        let response = if is_stream {
            stream_head(request, "s") + &chunk(&event(1)) + "0\r\n\r\n"
        } else {
            ok_response(request, "trouble")
        };
        write(stream, &response.replacen("200 OK", status, 1));
        true
    })
}

/// Guards against passing on a response that a worker in trouble gave a status such as 000.
#[rstest]
fn a_response_with_an_invalid_status_reaches_no_caller(
    #[values(
        "000",
        "000 Trouble",
        "0",
        "99",
        "099 Odd",
        "2000 OK",
        "abc",
        "",
        "101 Switching Protocols",
        "103 Early Hints\r\n\r\nHTTP/1.1 000",
        "600 Odd",
        "999"
    )]
    status: &'static str,
) {
    let one = back_end(status, true);
    let two = back_end(status, true);
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    // Each back end responds to its first request with the status.
    assert_eq!(relay.call("GET", "/read/1", "", "").status, 502);
    let response = relay.call("GET", "/read/2", "", "");
    assert_eq!((response.status, response.body.as_str()), (200, "ok"));

    let always = back_end(status, false);
    let relay = TestRelay::with_back_ends(&[&always]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
    assert_eq!(relay.call("POST", "/stream/1", "", "x").status, 502);
    assert_eq!(always.request_count(), 2);
}
