//! Back ends that name a limit of requests a second in their answers.
//!
//! What callers saw: nothing; their requests were served. What the back ends saw: two that were in
//! need had named a limit of one request a second for all nodes together, and got 12 and 13 in 4 s
//! from nodes that had passed on an answer which said so.
//!
//! In what order: an engine falls into need and names its limit in all answers; nodes of four
//! zones pass them on, and each goes on sending there what it sent before.
//!
//! The cause: the header was read nowhere. And had each node kept what it read for itself, eight
//! would have sent eight times as much: nothing was shared among nodes that a back end had said
//! to one of them.
//!
//! The evidence: of the first twelve requests that one of the engines got under its limit, eight
//! came from two nodes, two of them 63 ms apart; six came from nodes that had sent it another one
//! more than a second before. Below, four nodes send 246 to 772 requests in 4 s after the first word of a limit.

mod support;

use rstest::rstest;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Answer, PATIENCE, Running, Seen, StandIn, chunk, event, stream_head, whole, write};

/// Nodes before the back ends.
const NODES: usize = 4;
/// Time after the first word in which all nodes come to know of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Span over which requests are counted, and the bound in it: half as many again as the limit
/// allows, and some that were on their way.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time for which requests are counted.
const COUNTED_FOR: Duration = Duration::from_secs(6);
/// Time between two requests to one node.
const PACE: Duration = Duration::from_millis(20);

type Respond = fn(&mut TcpStream, &str, &Seen);

/// A back end that names a limit from its first answer on, and when requests reached it.
struct Limited {
    stand_in: StandIn,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Limited {
    fn start(limit: f64, respond: Respond) -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let noted = Arc::clone(&arrivals);
        let word = format!("Rate-Limit: {limit}\r\n");
        let stand_in = StandIn::start(move |stream, seen, _| {
            noted.lock().expect("lock").push(Instant::now());
            respond(stream, &word, seen);
            true
        });
        Self { stand_in, arrivals }
    }

    /// Moments of the requests that came after all nodes had time to know of the limit.
    fn counted(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("lock");
        let first = arrivals.first().copied().expect("it was asked");
        let counted = arrivals.iter().copied();
        counted.filter(|at| *at >= first + KNOWN_WITHIN).collect()
    }
}

fn most_in_window(times: &[Instant]) -> usize {
    let counts = times.iter().map(|from| {
        let within = times.iter().filter(|at| **at >= *from);
        within.filter(|at| **at < *from + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Requests that may come within the window.
fn allowed(limit: f64) -> usize {
    (OVERAGE * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

fn with_word(answer: &str, word: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{word}"), 1)
}

fn answer_whole(stream: &mut TcpStream, word: &str, seen: &Seen) {
    write(stream, &with_word(&whole(seen, "limited"), word));
}

fn answer_with_stream(stream: &mut TcpStream, word: &str, seen: &Seen) {
    write(stream, &with_word(&stream_head(seen, "s"), word));
    write(stream, &chunk(&event(1)));
    write(stream, "0\r\n\r\n");
}

fn sound() -> StandIn {
    StandIn::start(|stream, seen, _| {
        write(stream, &whole(seen, "sound"));
        true
    })
}

fn call(relay: &Running, route: &str, number: usize) -> Answer {
    std::thread::sleep(PACE);
    relay.call("POST", &format!("/{route}/{number}"), "", "x")
}

/// Callers press all nodes until the requests that count have come. Returns their answers.
fn press(fleet: &[Running], route: &str) -> Vec<Answer> {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers = fleet.iter().map(|relay| {
            scope.spawn(|| {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    answers.push(call(relay, route, answers.len()));
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        std::thread::sleep(KNOWN_WITHIN + COUNTED_FOR);
        is_over.store(true, Ordering::SeqCst);
        let answers = callers.into_iter();
        answers
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect()
    })
}

fn fleet_before(back_ends: &[&StandIn]) -> Vec<Running> {
    let addresses: Vec<SocketAddr> = back_ends.iter().map(|it| it.address).collect();
    Running::fleet_before(NODES, &addresses)
}

#[rstest]
#[case::whole_answers("read", 1.0, answer_whole)]
#[case::streams("stream", 1.0, answer_with_stream)]
#[case::less_than_one_a_second("read", 0.25, answer_whole)]
fn all_nodes_together_keep_the_limit_that_a_back_end_names(
    #[case] route: &str,
    #[case] limit: f64,
    #[case] respond: Respond,
) {
    let (limited, sound) = (Limited::start(limit, respond), sound());
    let fleet = fleet_before(&[&limited.stand_in, &sound]);
    press(&fleet, route);
    let most = most_in_window(&limited.counted());
    let allowed = allowed(limit);
    assert!(most <= allowed, "{most} requests in 4 s, allowed {allowed}");
}

/// What the limited back end doesn't take goes to the other one, and nothing is refused for it.
#[test]
fn callers_are_served_by_others_and_the_limit_is_used() {
    let (limited, sound) = (Limited::start(2.0, answer_whole), sound());
    let fleet = fleet_before(&[&limited.stand_in, &sound]);
    let answers = press(&fleet, "read");
    assert!(answers.iter().all(|answer| answer.status == 200));
    assert!(!limited.counted().is_empty(), "it is not used");
}

/// Where no other back end is left the caller hears at once that nothing has run, and when the
/// limit leaves room for one request.
#[test]
fn where_all_are_limited_callers_are_refused_with_a_time() {
    let limited = Limited::start(0.25, answer_whole);
    let relay = Running::before(&[&limited.stand_in]);
    assert_eq!(call(&relay, "write", 0).status, 200);
    let refused = call(&relay, "write", 1);
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("retry-after").as_deref(), Some("4.00"));
}

/// An answer that names no limit ends it, also that of a failure; one that can't be read doesn't.
#[rstest]
#[case::whole("", "200 OK", true)]
#[case::a_failure("", "500 Error", true)]
#[case::unreadable("Rate-Limit: soon\r\n", "200 OK", false)]
#[case::negative("Rate-Limit: -1\r\n", "200 OK", false)]
fn a_limit_ends_with_the_first_answer_that_names_none(
    #[case] word: &'static str,
    #[case] status: &'static str,
    #[case] ends: bool,
) {
    let back_end = StandIn::start(move |stream, seen, number| {
        let word = if number == 1 {
            "Rate-Limit: 2\r\n"
        } else {
            word
        };
        let answer = with_word(&whole(seen, "back"), word);
        let answer = if number == 2 {
            answer.replacen("200 OK", status, 1)
        } else {
            answer
        };
        write(stream, &answer);
        true
    });
    let relay = Running::before(&[&back_end]);
    let begun = Instant::now();
    let mut number = 0;
    while back_end.count() < 2 {
        assert!(
            begun.elapsed() < PATIENCE,
            "it gets nothing under its limit"
        );
        call(&relay, "write", number);
        number += 1;
    }
    let later = (0..5).map(|number| call(&relay, "write", 1_000 + number).status);
    assert_eq!(later.filter(|status| *status == 200).count() == 5, ends);
}
