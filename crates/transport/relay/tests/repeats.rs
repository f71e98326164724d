//! What is sent again, and what never is.

mod support;

use std::net::TcpStream;
use support::{MockBackEnd, ReceivedRequest, TestRelay, not_run_response, ok_response, write};

type Behaviour = fn(&mut TcpStream, &ReceivedRequest) -> bool;

fn pair(first: Behaviour) -> (MockBackEnd, MockBackEnd) {
    let failing = MockBackEnd::start(move |stream, request, _| first(stream, request));
    let sound = MockBackEnd::start(|stream, request, _| {
        write(stream, &ok_response(request, "sound"));
        true
    });
    (failing, sound)
}

fn refuse(stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
    write(stream, &not_run_response(request));
    true
}

fn break_off(_: &mut TcpStream, _: &ReceivedRequest) -> bool {
    false
}

fn misdirected(stream: &mut TcpStream, _: &ReceivedRequest) -> bool {
    write(
        stream,
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    );
    true
}

/// Calls until the failing back end was asked at least once.
fn statuses(route: &str, first: Behaviour) -> (Vec<u16>, MockBackEnd, MockBackEnd) {
    let (failing, sound) = pair(first);
    let relay = TestRelay::with_back_ends(&[&failing, &sound]);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let path = format!("/{route}/{number}");
        statuses.push(relay.call("POST", &path, "", "x").status);
    }
    assert!(
        failing.request_count() > 0,
        "the failing back end was never asked"
    );
    (statuses, failing, sound)
}

#[test]
fn what_a_back_end_has_not_run_is_sent_to_another() {
    let (statuses, _, sound) = statuses("write", refuse);
    assert_eq!(statuses, vec![200; 12]);
    assert_eq!(sound.request_count(), 12);
}

#[test]
fn a_request_for_another_run_of_the_back_end_is_sent_to_another() {
    let (statuses, _, _) = statuses("write", misdirected);
    assert_eq!(statuses, vec![200; 12]);
}

#[test]
fn a_repeatable_request_without_an_answer_is_sent_again() {
    let (statuses, _, sound) = statuses("read", break_off);
    assert_eq!(statuses, vec![200; 12]);
    assert_eq!(sound.request_count(), 12);
}

#[test]
fn a_request_that_may_have_run_and_may_not_be_repeated_is_sent_once() {
    let (statuses, failing, sound) = statuses("write", break_off);
    let lost = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!(lost, failing.request_count());
    assert_eq!(failing.request_count() + sound.request_count(), 12);
}

#[test]
fn a_back_end_that_nobody_listens_for_costs_no_request() {
    let (gone, sound) = pair(refuse);
    let address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("bound")
    };
    let gone = MockBackEnd { address, ..gone };
    let relay = TestRelay::with_back_ends(&[&gone, &sound]);
    for number in 0..12 {
        let response = relay.call("POST", &format!("/write/{number}"), "", "x");
        assert_eq!(response.status, 200);
    }
    assert_eq!(sound.request_count(), 12);
}

#[test]
fn a_failure_that_comes_twice_is_passed_on_as_the_back_end_gave_it() {
    let failing: Behaviour = |stream, request| {
        write(
            stream,
            &ok_response(request, "no").replacen("200 OK", "500 Error", 1),
        );
        true
    };
    let one = MockBackEnd::start(move |stream, request, _| failing(stream, request));
    let two = MockBackEnd::start(move |stream, request, _| failing(stream, request));
    let relay = TestRelay::with_back_ends(&[&one, &two]);
    let response = relay.call("GET", "/read/1", "", "");
    assert_eq!((response.status, response.body.as_str()), (500, "no"));
    assert_eq!((one.request_count(), two.request_count()), (1, 1));
}

#[test]
fn a_silent_back_end_is_given_up_at_the_routes_time() {
    let silent = MockBackEnd::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let relay = TestRelay::with_back_ends(&[&silent]);
    let begun = std::time::Instant::now();
    let response = relay.call("POST", "/quick/1", "", "x");
    assert_eq!(response.status, 504);
    assert!(begun.elapsed() >= std::time::Duration::from_millis(390));
    assert_eq!(silent.request_count(), 1);
}
