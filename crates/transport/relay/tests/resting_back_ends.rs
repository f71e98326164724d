//! Back ends that turn a request away and ask for a rest.
//!
//! What callers saw: nothing. What the back end saw: it had turned a request of a node away and
//! asked that node for 3 s of rest; in that time it got six more requests from it. Two may come,
//! as some are on their way when it asks.
//!
//! In what order: a plain back end that had answered well turns one request away, with 503 and
//! `Retry-After`; the node sends that request to another and goes on choosing this one too.
//!
//! The cause: `Retry-After` was read nowhere. A refusal counted as one failure among the answers
//! of the last seconds, so that what followed hung on how many of these had been good: three in a
//! row kept requests away for one second, a large share for some, a single one for none.
//!
//! The evidence: on a played day 134 refusals asked a node for a second of rest; in 81 of these
//! seconds that node was granted up to ten further places there, the first of them at once, in 53
//! none. Below, one refusal among 40 good answers changes nothing at all.

mod support;

use rstest::rstest;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{Answer, PATIENCE, Running, Seen, StandIn, answering, shed, whole, with_line, write};

/// What the back end asks for.
const REST: Duration = Duration::from_secs(3);
/// Requests that come within this time may have been on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// Requests that may come in the rest of the time.
const MOST_IN_REST: usize = 2;
/// Requests that a back end answers well before it asks: one that it turns away then is no
/// judgement of its health.
const ANSWERED_BEFORE: usize = 40;
/// Time between two requests to the node.
const PACE: Duration = Duration::from_millis(20);

type TurnAway = fn(&mut TcpStream, &Seen);

/// A back end that asks for a rest once.
struct Resting(StandIn);

impl Resting {
    fn start(turn_away: TurnAway) -> Self {
        Self(StandIn::start(move |stream, seen, number| {
            if number == ANSWERED_BEFORE + 1 {
                turn_away(stream, seen);
            } else {
                write(stream, &whole(seen, "back"));
            }
            true
        }))
    }

    /// When it asked for a rest, if it has.
    fn asked_at(&self) -> Option<Instant> {
        self.0.arrivals().get(ANSWERED_BEFORE).copied()
    }

    /// Requests that came so long after it asked.
    fn arrivals_between(&self, from: Duration, to: Duration) -> usize {
        let asked = self.asked_at().expect("it has asked");
        let arrivals = self.0.arrivals().into_iter();
        let after = arrivals.skip(ANSWERED_BEFORE + 1);
        let after = after.map(|at| at.duration_since(asked));
        after.filter(|after| (from..to).contains(after)).count()
    }
}

fn with_rest(answer: &str) -> String {
    let seconds = REST.as_secs();
    with_line(answer, &format!("Retry-After: {seconds}"))
}

fn not_run(stream: &mut TcpStream, seen: &Seen) {
    write(stream, &with_rest(&shed(seen)));
}

/// An answer that doesn't say whether the request has run.
fn unavailable(stream: &mut TcpStream, seen: &Seen) {
    let answer = whole(seen, "no").replacen("200 OK", "503 Unavailable", 1);
    write(stream, &with_rest(&answer));
}

fn call(relay: &Running, route: &str, number: usize) -> Answer {
    std::thread::sleep(PACE);
    relay.post(route, number)
}

/// Sends requests until the back end has asked for its rest and the rest is over.
fn call_through_rest(relay: &Running, route: &str, resting: &Resting) -> Vec<Answer> {
    let begun = Instant::now();
    let mut answers = Vec::new();
    while resting.asked_at().is_none_or(|at| at.elapsed() < REST) {
        assert!(begun.elapsed() < PATIENCE, "it was asked too rarely");
        answers.push(call(relay, route, answers.len()));
    }
    answers
}

#[rstest]
#[case::repeatable("read", not_run)]
#[case::not_repeatable("write", not_run)]
#[case::streams("stream", not_run)]
#[case::maybe_run("read", unavailable)]
fn a_back_end_that_asks_for_a_rest_gets_hardly_anything_in_it(
    #[case] route: &str,
    #[case] turn_away: TurnAway,
) {
    let resting = Resting::start(turn_away);
    let sound = answering("sound");
    let relay = Running::before(&[&resting.0, &sound]);
    call_through_rest(&relay, route, &resting);
    let in_rest = resting.arrivals_between(ON_THEIR_WAY, REST);
    assert!(in_rest <= MOST_IN_REST, "{in_rest} requests in its rest");
}

/// It has rested: without work for good it would be lost to its pool.
#[test]
fn it_gets_requests_again_after_its_rest() {
    let resting = Resting::start(not_run);
    let relay = Running::before(&[&resting.0]);
    call_through_rest(&relay, "read", &resting);
    let begun = Instant::now();
    while resting.0.count() == ANSWERED_BEFORE + 1 {
        assert!(begun.elapsed() < PATIENCE, "it gets nothing any more");
        call(&relay, "read", 0);
    }
    assert_eq!(call(&relay, "read", 1).status, 200);
}

/// Where no other back end is left the caller hears at once that nothing has run, and comes back
/// soon, perhaps to a node from which nobody rests.
#[test]
fn where_all_rest_callers_are_refused_at_once_with_a_time() {
    let resting = Resting::start(not_run);
    let relay = Running::before(&[&resting.0]);
    let answers = call_through_rest(&relay, "write", &resting);
    let in_rest = resting.arrivals_between(ON_THEIR_WAY, REST);
    assert!(in_rest <= MOST_IN_REST, "{in_rest} requests in its rest");
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status == 503).collect();
    assert!(refused.len() > 10, "{} refused", refused.len());
    let longest = refused.iter().map(|answer| {
        let seconds = answer.header("retry-after").expect("a time");
        seconds.parse::<f64>().expect("seconds")
    });
    assert!(longest.fold(0.0, f64::max) <= 0.5);
}

/// A date, or nonsense, is logged and not kept: the back end is judged by its failure alone.
#[rstest]
#[case::a_date("Thu, 03 Dec 2026 05:00:00 GMT")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::endless("inf")]
#[case::no_text("\u{e9}")]
fn a_rest_that_is_no_number_of_seconds_is_not_kept(#[case] rest: &'static str) {
    let back_end = StandIn::start(move |stream, seen, number| {
        if number == 1 {
            let rest = format!("Retry-After: {rest}");
            write(stream, &with_line(&shed(seen), &rest));
        } else {
            write(stream, &whole(seen, "back"));
        }
        true
    });
    let relay = Running::before(&[&back_end]);
    assert_eq!(call(&relay, "write", 0).status, 503);
    assert_eq!(call(&relay, "write", 1).status, 200);
}
