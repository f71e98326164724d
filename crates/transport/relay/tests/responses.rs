//! Requests and responses are forwarded unchanged, and no response reaches another request.

mod support;

use support::{
    MockBackEnd, TestRelay, chunk, not_run_response, ok_response, reset_on_close, write,
};

#[test]
fn a_request_is_forwarded_unchanged_apart_from_the_relays_headers() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "answer"));
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra_headers = "Tenant: forged\r\nX-Own: kept\r\nRemaining-Ms: 2500\r\n";
    let response = relay.call("PUT", "/write/a%20b?q=1&q=2", extra_headers, "the body");
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    assert_eq!(response.header("stamp").as_deref(), Some("s"));
    assert_eq!(response.header("date"), None);
    let request = back_end.first_request();
    assert!(
        request
            .head
            .starts_with("PUT /write/a%20b?q=1&q=2 HTTP/1.1\r\n")
    );
    assert_eq!(request.body, b"the body");
    assert_eq!(request.header("x-own"), Some("kept"));
    assert_eq!(request.header("tenant"), Some("radio"));
    assert_eq!(request.header("expected-instance"), Some("i-0"));
    assert_eq!(request.header("authorization"), None);
    assert_eq!(request.header("urgency"), Some("6"));
    let remaining: u64 = request
        .header("remaining-ms")
        .expect("the header is present")
        .parse()
        .expect("a number");
    assert!((1..=2_500).contains(&remaining));
}

#[test]
fn callers_cannot_send_command_headers_or_hide_descriptive_headers() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "answer"));
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra_headers = "Reserve: 7\r\nRESERVE: 8\r\nCopy-From: 10.0.0.9:1\r\nModel: m\r\n\
                 Token-Usage: 9,9\r\nX-Hop: 1\r\nConnection: Model, X-Hop, Request-Id\r\n\
                 Connection: Tenant, Token-Usage\r\n";
    let response = relay.call("POST", "/write/1", extra_headers, "x");
    assert_eq!(response.status, 200);
    let request = back_end.first_request();
    assert_eq!(request.header("reserve"), None, "{}", request.head);
    assert_eq!(request.header("copy-from"), None);
    assert_eq!(request.header("x-hop"), None);
    assert_eq!(request.header("model"), Some("m"));
    assert_eq!(request.header("token-usage"), Some("9,9"));
    assert_eq!(request.header("tenant"), Some("radio"));
}

#[test]
fn a_surplus_response_is_never_used_for_a_later_request() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        let text = ok_response(request, "right");
        write(stream, &format!("{text}{text}"));
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    for number in 0..20 {
        let path = format!("/write/{number}");
        let response = relay.call("POST", &path, "", "x");
        let id = response.header("request-id");
        let expected = format!("id-{path}");
        assert!(
            response.status == 502 || id.as_deref() == Some(expected.as_str()),
            "{response:?}"
        );
    }
}

#[test]
fn a_response_with_another_request_id_is_rejected() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        let text = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong";
        write(stream, text);
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
    assert_eq!(back_end.request_count(), 1);
}

#[test]
fn a_truncated_response_is_answered_with_502() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        let text = ok_response(request, "only half of this");
        write(stream, &text[..text.len() - 6]);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
}

#[test]
fn bytes_that_are_not_http_are_not_forwarded() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        write(stream, "these bytes are no answer\r\n\r\n");
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
}

#[test]
fn a_response_with_a_content_encoding_is_rejected() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        let id = request.id();
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Encoding: gzip\r\n");
        write(stream, &format!("{head}Content-Length: 2\r\n\r\nxx"));
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
}

fn response_without_length(request: &support::ReceivedRequest) -> String {
    let id = request.id();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\nunframed body")
}

#[test]
fn a_response_without_length_ends_when_its_connection_closes() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &response_without_length(request));
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let response = relay.call("POST", "/write/1", "", "x");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "unframed body")
    );
    assert!(response.is_complete);
}

#[test]
fn a_response_without_length_whose_connection_is_reset_is_rejected() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &response_without_length(request));
        std::thread::sleep(std::time::Duration::from_millis(50));
        reset_on_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.call("POST", "/write/1", "", "x").status, 502);
}

#[test]
fn a_response_sent_before_the_body_was_read_does_not_affect_later_requests() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "early"));
        request.header("test-answer-early").is_none()
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let large_body = "b".repeat(250_000);
    for number in 0..5 {
        let early_response = relay.call(
            "POST",
            &format!("/write/e{number}"),
            "Test-Answer-Early: 1\r\n",
            &large_body,
        );
        assert!(
            early_response.status == 200 || early_response.status == 502,
            "{early_response:?}"
        );
        // A request sent while the back end closes the connection would be lost with any client.
        while back_end.close_times.lock().expect("lock").len() <= number {
            std::thread::yield_now();
        }
        let next_response = relay.call("POST", &format!("/write/n{number}"), "", "short");
        assert_eq!(
            (next_response.status, next_response.body.as_str()),
            (200, "early")
        );
    }
    let requests = back_end.requests.lock().expect("lock");
    let later_bodies: Vec<&[u8]> = requests
        .iter()
        .filter(|request| request.header("test-answer-early").is_none())
        .map(|request| request.body.as_slice())
        .collect();
    assert_eq!(later_bodies, vec![b"short".as_slice(); 5]);
}

#[test]
fn a_chunked_request_body_arrives_complete() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "ok"));
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let head = format!(
        "POST /write/1 HTTP/1.1\r\nHost: {}\r\nRequest-Id: c\r\nAuthorization: Bearer {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        support::HOST,
        support::API_KEY
    );
    write(&mut caller.stream, &head);
    write(&mut caller.stream, &chunk("one "));
    write(&mut caller.stream, &chunk("two"));
    write(&mut caller.stream, "0\r\n\r\n");
    assert_eq!(caller.read_response().status, 200);
    assert_eq!(back_end.first_request().body, b"one two");
}

#[test]
fn an_error_response_is_forwarded_with_its_status_and_headers() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        let text = ok_response(request, "failed").replacen("200 OK", "500 Error", 1);
        write(stream, &text);
        true
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let response = relay.call("POST", "/write/1", "", "x");
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    assert_eq!(response.header("stamp").as_deref(), Some("s"));
}

#[test]
fn a_request_that_all_back_ends_refuse_is_answered_with_retry_after() {
    let refuse =
        |stream: &mut std::net::TcpStream, request: &support::ReceivedRequest, _: usize| {
            write(stream, &not_run_response(request));
            true
        };
    let (one, two) = (MockBackEnd::start(refuse), MockBackEnd::start(refuse));
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    let response = relay.call("POST", "/write/1", "", "x");
    assert_eq!(response.status, 503);
    let seconds: f64 = response
        .header("retry-after")
        .expect("the header is present")
        .parse()
        .expect("seconds");
    assert!(seconds > 0.0);
    assert_eq!(one.request_count() + two.request_count(), 2);
}
