//! What is sent again, and what never is.

mod support;

use std::net::TcpStream;
use support::{Running, Seen, StandIn, shed, whole, write};

type Behaviour = fn(&mut TcpStream, &Seen) -> bool;

fn pair(first: Behaviour) -> (StandIn, StandIn) {
    let failing = StandIn::start(move |stream, seen, _| first(stream, seen));
    let sound = StandIn::start(|stream, seen, _| {
        write(stream, &whole(seen, "sound"));
        true
    });
    (failing, sound)
}

fn refuse(stream: &mut TcpStream, seen: &Seen) -> bool {
    write(stream, &shed(seen));
    true
}

fn break_off(_: &mut TcpStream, _: &Seen) -> bool {
    false
}

fn misdirected(stream: &mut TcpStream, _: &Seen) -> bool {
    write(
        stream,
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    );
    true
}

/// Calls until the failing back end was asked at least once.
fn statuses(route: &str, first: Behaviour) -> (Vec<u16>, StandIn, StandIn) {
    let (failing, sound) = pair(first);
    let relay = Running::before(&[&failing, &sound]);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let path = format!("/{route}/{number}");
        statuses.push(relay.call("POST", &path, "", "x").status);
    }
    assert!(failing.count() > 0, "the failing back end was never asked");
    (statuses, failing, sound)
}

#[test]
fn what_a_back_end_has_not_run_is_sent_to_another() {
    let (statuses, _, sound) = statuses("write", refuse);
    assert_eq!(statuses, vec![200; 12]);
    assert_eq!(sound.count(), 12);
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
    assert_eq!(sound.count(), 12);
}

#[test]
fn a_request_that_may_have_run_and_may_not_be_repeated_is_sent_once() {
    let (statuses, failing, sound) = statuses("write", break_off);
    let lost = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!(lost, failing.count());
    assert_eq!(failing.count() + sound.count(), 12);
}

#[test]
fn a_back_end_that_nobody_listens_for_costs_no_request() {
    let (gone, sound) = pair(refuse);
    let address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("bound")
    };
    let gone = StandIn { address, ..gone };
    let relay = Running::before(&[&gone, &sound]);
    for number in 0..12 {
        let answer = relay.call("POST", &format!("/write/{number}"), "", "x");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(sound.count(), 12);
}

#[test]
fn a_failure_that_comes_twice_is_passed_on_as_the_back_end_gave_it() {
    let failing: Behaviour = |stream, seen| {
        write(
            stream,
            &whole(seen, "no").replacen("200 OK", "500 Error", 1),
        );
        true
    };
    let one = StandIn::start(move |stream, seen, _| failing(stream, seen));
    let two = StandIn::start(move |stream, seen, _| failing(stream, seen));
    let relay = Running::before(&[&one, &two]);
    let answer = relay.call("GET", "/read/1", "", "");
    assert_eq!((answer.status, answer.body.as_str()), (500, "no"));
    assert_eq!((one.count(), two.count()), (1, 1));
}

#[test]
fn a_silent_back_end_is_given_up_at_the_routes_time() {
    let silent = StandIn::start(|stream, _, _| {
        support::wait_for_close(stream);
        false
    });
    let relay = Running::before(&[&silent]);
    let begun = std::time::Instant::now();
    let answer = relay.call("POST", "/quick/1", "", "x");
    assert_eq!(answer.status, 504);
    assert!(begun.elapsed() >= std::time::Duration::from_millis(390));
    assert_eq!(silent.count(), 1);
}
