//! Callers: bad input, leaving early, planned stops.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::{
    HOST, KEY, MockBackEnd, TEST_TIMEOUT, TestRelay, chunk, event, ok_response, stream_head, write,
};

/// Callers that leave together, and how often: several times the 84 places of a back end with
/// 64 slots.
const LEAVING_TOGETHER: usize = 60;
const GROUPS_THAT_LEAVE: usize = 10;
/// Back ends that make a question for a place take milliseconds.
const MANY_LEAVING: usize = 20_000;

fn sound() -> MockBackEnd {
    MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "ok"));
        true
    })
}

#[rstest]
#[case::unknown_path("/nowhere/1", "", 404)]
#[case::unknown_host("/read/1", "host-wrong", 404)]
#[case::no_key("/read/1", "key-none", 401)]
#[case::wrong_key("/read/1", "key-wrong", 401)]
#[case::no_id("/read/1", "id-none", 400)]
#[case::time_unreadable("/read/1", "time-wrong", 400)]
fn a_request_that_does_not_fit_is_answered_and_harms_no_other(
    #[case] path: &str,
    #[case] fault: &str,
    #[case] expected: u16,
) {
    let back_end = sound();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let host = if fault == "host-wrong" { "other" } else { HOST };
    let key = match fault {
        "key-none" => String::new(),
        "key-wrong" => "Authorization: Bearer other\r\n".to_owned(),
        _ => format!("Authorization: Bearer {KEY}\r\n"),
    };
    let id = if fault == "id-none" {
        ""
    } else {
        "Request-Id: 1\r\n"
    };
    let time = if fault == "time-wrong" {
        "Remaining-Ms: soon\r\n"
    } else {
        ""
    };
    let text = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n{key}{id}{time}\r\n");
    write(&mut caller.stream, &text);
    let response = caller.read_response();
    assert_eq!(response.status, expected);
    assert_eq!(back_end.request_count(), 0);
    caller.send("GET", "/read/2", "", "");
    assert_eq!(caller.read_response().status, 200);
}

#[test]
fn without_a_configuration_callers_are_told_when_to_come_back() {
    let relay = TestRelay::without_configuration();
    assert_eq!(relay.readiness_status(), 503);
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn a_request_that_comes_before_the_first_configuration_waits_for_it() {
    let back_end = sound();
    let delay = Duration::from_millis(100);
    let relay = TestRelay::with_delayed_configuration(&back_end, delay);
    let begun = Instant::now();
    let response = relay.call("GET", "/read/1", "", "");
    // On a machine so busy that the configuration comes later still, the refusal comes
    // after the whole wait.
    let has_waited = begun.elapsed() >= Duration::from_millis(250);
    assert!(response.status == 200 || has_waited, "{response:?}");
}

#[test]
fn a_body_over_the_limit_runs_nowhere() {
    let back_end = sound();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let head = format!(
        "POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 1\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 400000\r\n\r\n"
    );
    write(&mut caller.stream, &head);
    assert_eq!(caller.read_response().status, 413);
    assert_eq!(back_end.request_count(), 0);
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let back_end = sound();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let extra = format!("X-Long: {}\r\n", "h".repeat(40_000));
    let response = relay.call("GET", "/read/1", &extra, "");
    assert_eq!(response.status, 431);
    assert_eq!(back_end.request_count(), 0);
}

#[test]
fn two_framings_in_one_head_smuggle_nothing() {
    let back_end = sound();
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    let text = format!(
        "POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 1\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 45\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
    );
    write(&mut caller.stream, &text);
    let _ = caller.read_response();
    std::thread::sleep(Duration::from_millis(100));
    let requests = back_end.requests.lock().expect("lock");
    assert!(
        requests
            .iter()
            .all(|request| !request.head.contains("hidden"))
    );
}

fn wait_for(what: &str, is_so: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_so() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_caller_that_leaves_before_the_answer_ends_the_work() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    let left = Instant::now();
    drop(caller);
    let closed = || back_end.closed_at.lock().expect("lock").len() == 1;
    wait_for("the back end's connection stays open", closed);
    assert!(
        left.elapsed() < Duration::from_secs(3),
        "only at the route's time"
    );
}

#[test]
fn a_caller_that_leaves_a_stream_ends_the_work() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        write(stream, &stream_head(request, "one"));
        write(stream, &chunk(&event(1)));
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/stream/1", "", "x");
    let mut buffer = [0; 64];
    let _ = std::io::Read::read(&mut caller.stream, &mut buffer);
    let left = Instant::now();
    drop(caller);
    let closed = || back_end.closed_at.lock().expect("lock").len() == 1;
    wait_for("the back end's connection stays open", closed);
    assert!(
        left.elapsed() < Duration::from_secs(3),
        "only at the route's time"
    );
}

/// Story: a caller may leave between its request's question for a place and the control
/// thread's answer, which takes long on a node that has little of a core. The place was granted,
/// and nobody was there to give it back: it counted at its back end, on all nodes, for as long
/// as the process lived. 24 of them fill a pool of three back ends with 6 slots for good.
///
/// Here each question takes milliseconds, as it goes over thousands of back ends that leave.
#[test]
fn callers_that_leave_while_a_place_is_sought_take_none_for_good() {
    let back_end = sound();
    let relay = TestRelay::with_draining_back_ends(&back_end, MANY_LEAVING);
    for _ in 0..GROUPS_THAT_LEAVE {
        let callers = (0..LEAVING_TOGETHER).map(|_| {
            let mut caller = relay.connect();
            caller.send("GET", "/read/left", "", "");
            caller
        });
        let callers: Vec<_> = callers.collect();
        drop(callers);
        // It is answered after the questions of those that left.
        relay.call("GET", "/read/between", "", "");
    }
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn a_planned_stop_finishes_what_was_read_and_tells_callers_to_leave() {
    let back_end = MockBackEnd::start(|stream, request, _| {
        std::thread::sleep(Duration::from_millis(200));
        write(stream, &ok_response(request, "late but whole"));
        true
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    assert_eq!(relay.readiness_status(), 200);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    wait_for("still ready", || relay.readiness_status() == 503);
    let response = caller.read_response();
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "late but whole")
    );
    assert_eq!(response.header("connection").as_deref(), Some("close"));
    relay.wait_for_exit();
}

#[test]
fn a_planned_stop_answers_even_where_the_back_end_stays_silent() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut caller = relay.connect();
    caller.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    let response = caller.read_response();
    assert_eq!(response.status, 502);
    relay.wait_for_exit();
}

#[test]
fn late_in_a_planned_stop_new_requests_are_refused_with_a_time_to_come_back() {
    let back_end = MockBackEnd::start(|stream, _, number| {
        if number == 1 {
            support::wait_for_close(stream);
        }
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut open = relay.connect();
    open.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    std::thread::sleep(Duration::from_millis(600));
    let response = relay.call("POST", "/write/2", "", "x");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(back_end.request_count(), 1);
    relay.wait_for_exit();
}

#[test]
fn a_connection_opened_late_in_a_planned_stop_gets_its_answer() {
    let back_end = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let mut relay = TestRelay::with_back_ends(&[&back_end]);
    let mut open = relay.connect();
    open.send("POST", "/write/1", "", "x");
    wait_for("the request did not arrive", || {
        back_end.request_count() == 1
    });
    relay.begin_shutdown();
    std::thread::sleep(Duration::from_millis(600));
    let mut late = relay.connect();
    std::thread::sleep(Duration::from_millis(100));
    late.send("POST", "/write/2", "", "x");
    let response = late.read_response();
    assert_eq!(response.status, 503);
    assert_eq!(response.header("connection").as_deref(), Some("close"));
    relay.wait_for_exit();
}
