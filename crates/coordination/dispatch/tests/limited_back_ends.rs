//! Back ends that name a rate limit: what all nodes together send them, whatever becomes of the
//! nodes, and what callers hear.

mod support;

use eiderferry_dispatch::{Decision, Dispatcher, LeaseId, LimitReport, Outcome, RateLimit};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::{
    Fleet, START, back_end, back_end_change, demand, dispatcher, engine_number, granted,
    lapsed_change, node_address, table_change, with_engines,
};

const LIMITED: &str = "engine-1";
/// Time in which the nodes of a fleet come to know each other.
const SETTLING_MS: u64 = 15_000;
/// Span over which requests are counted, and the bound in it over all nodes: half as many again
/// as the limit allows, and some that were on their way.
const WINDOW: Span = Span::from_milliseconds(4_000);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after the first word in which all nodes come to know of it.
const KNOWN_WITHIN: Span = Span::from_milliseconds(3_000);
/// Time after a node was told in which requests of it may still arrive.
const ON_THEIR_WAY: Span = Span::from_milliseconds(500);
/// Time after a start in which a node hears of limits from others.
const TOLD_AFTER_START: Span = Span::from_milliseconds(1_000);
/// Requests to each node between two ticks.
const ASKED_PER_TICK: u64 = 3;

fn limit(rate: f64) -> RateLimit {
    RateLimit::from_requests_per_second(rate).expect("a limit")
}

/// A request that reached the limited engine.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    node: usize,
    at: Timestamp,
    /// Whether its node had been told of the limit.
    counts: bool,
}

/// A fleet before an engine that names a limit in each answer while it is in need.
struct Day {
    fleet: Fleet,
    /// Its limit now, and since when it names one.
    limit: Option<f64>,
    named_at: Timestamp,
    /// When each node came to know of a limit, at the latest.
    told: BTreeMap<usize, Timestamp>,
    arrivals: Vec<Arrival>,
    /// Nodes that callers don't ask.
    idle: BTreeSet<usize>,
    asked: u64,
}

impl Day {
    /// A settled fleet; the engine stands in zone 1.
    fn begin(nodes: usize, zones: usize) -> Self {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.first_documents = vec![back_end_change(back_end(LIMITED, 1, 1), 1)];
        for number in 0..nodes {
            give_documents(&mut fleet, number);
        }
        fleet.run_with_platform(SETTLING_MS, 1);
        Self {
            fleet,
            limit: None,
            named_at: START,
            told: BTreeMap::new(),
            arrivals: Vec::new(),
            idle: BTreeSet::new(),
            asked: 0,
        }
    }

    /// All nodes are pressed for so long; answers come within a tick.
    fn press(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 100 {
            let sent = self.ask_all();
            self.fleet.step();
            for (node, lease) in sent {
                self.answer(node, lease);
            }
        }
    }

    fn ask_all(&mut self) -> Vec<(usize, LeaseId)> {
        let nodes = 0..self.fleet.nodes.len();
        let pressed = nodes
            .filter(|node| !self.fleet.dark.contains(node) && !self.idle.contains(node))
            .collect::<Vec<usize>>();
        let mut sent = Vec::new();
        for node in pressed {
            for _ in 0..ASKED_PER_TICK {
                self.asked += 1;
                let demand = demand(self.asked, 1_000, 100);
                let now = self.fleet.now;
                if let Decision::Grant(grant) = self.fleet.nodes[node].ask(&demand, now) {
                    sent.push((node, grant.lease));
                }
            }
        }
        sent
    }

    /// What a node sent reaches the engine, unless the way there is cut.
    fn answer(&mut self, node: usize, lease: LeaseId) {
        let now = self.fleet.now;
        let zone = self.fleet.zones[node];
        let is_cut = self.fleet.cut.contains(&(zone, 1)) || self.fleet.cut.contains(&(1, zone));
        if is_cut {
            self.fleet.nodes[node].end(lease, Outcome::Unreachable, now);
            return;
        }
        let told = self.told.get(&node);
        let counts = told.is_some_and(|told| now.since(*told) >= ON_THEIR_WAY);
        self.arrivals.push(Arrival {
            node,
            at: now,
            counts,
        });
        if self.limit.is_some() {
            self.told.entry(node).or_insert(now);
        }
        self.fleet.nodes[node].note_limit(lease, self.limit.map(limit), now);
        self.fleet.nodes[node].end(lease, Outcome::Completed, now);
    }

    /// The engine falls into need, or its need changes.
    fn name(&mut self, rate: f64) {
        self.limit = Some(rate);
        self.named_at = self.fleet.now;
        self.arrivals.clear();
    }

    fn restart(&mut self, node: usize) {
        self.fleet.restart(node);
        give_documents(&mut self.fleet, node);
        self.told.insert(node, self.fleet.now + TOLD_AFTER_START);
    }

    /// Most requests in any window, from when all nodes had time to know of the limit.
    fn most_in_window(&self) -> usize {
        let counted = self.arrivals.iter().filter(|arrival| arrival.counts);
        let times: Vec<Timestamp> = counted.map(|arrival| arrival.at).collect();
        let known = self.named_at + KNOWN_WITHIN;
        let ends = times.iter().filter(|at| **at >= known);
        let counts = ends.map(|end| {
            let within = times.iter().filter(|at| *at <= end);
            within.filter(|at| end.since(**at) < WINDOW).count()
        });
        counts.max().unwrap_or(0)
    }

    fn assert_within(&self, rate: f64) {
        let most = self.most_in_window();
        let allowed = OVERAGE * rate * WINDOW.seconds() + SLACK;
        assert!(
            most as f64 <= allowed,
            "{most} requests in 4 s, allowed {allowed}"
        );
    }

    /// Part of a limit that was used in the last seconds.
    fn used(&self, rate: f64, seconds: u64) -> f64 {
        self.arrivals_within(seconds) as f64 / (rate * seconds as f64)
    }

    fn arrivals_within(&self, seconds: u64) -> usize {
        let span = Span::from_milliseconds(seconds * 1_000);
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|arrival| self.fleet.now.since(arrival.at) < span)
            .count()
    }
}

fn give_documents(fleet: &mut Fleet, number: usize) {
    let now = fleet.now;
    for change in fleet.first_documents.clone() {
        fleet.nodes[number].apply(change, now);
    }
}

#[rstest]
#[case::small_and_low(8, 4, 0.2)]
#[case::small(8, 4, 1.0)]
#[case::small_and_high(8, 4, 20.0)]
#[case::with_aggregators_and_low(72, 3, 0.5)]
#[case::with_aggregators(72, 3, 3.0)]
#[case::large(295, 5, 1.0)]
fn all_nodes_together_keep_the_limit_and_use_it(
    #[case] nodes: usize,
    #[case] zones: usize,
    #[case] rate: f64,
) {
    let mut day = Day::begin(nodes, zones);
    day.name(rate);
    day.press(24_000);
    day.assert_within(rate);
    let used = day.used(rate, 20);
    assert!((0.5..1.1).contains(&used), "{used} of the limit was used");
}

/// As many nodes as a run by hand asks for with `LIMIT_NODES` and `LIMIT_ZONES`, and 440 in eight
/// zones without: in the first seconds most are told by their own answers, later few send.
#[rstest]
#[case::one_a_second(1.0)]
#[case::less(0.25)]
fn a_fleet_of_many_zones_keeps_the_limit(#[case] rate: f64) {
    let number = |name: &str| std::env::var(name).ok()?.parse::<usize>().ok();
    let nodes = number("LIMIT_NODES").unwrap_or(440);
    let zones = number("LIMIT_ZONES").unwrap_or(8);
    let mut day = Day::begin(nodes, zones);
    day.name(rate);
    day.press(12_000);
    day.assert_within(rate);
    assert!(day.used(rate, 8) > 0.4);
}

/// Senders end, stop as planned, come back as new runs, and others take their place.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn nodes_that_end_and_start_keep_it(#[case] nodes: usize, #[case] zones: usize) {
    let mut day = Day::begin(nodes, zones);
    day.name(1.0);
    day.press(4_000);
    for round in 0..6 {
        // Half of the engine's zone at a time, and in two rounds all of it.
        let in_zone = (0..nodes).filter(|node| day.fleet.zones[*node] == 1);
        let struck: Vec<usize> = in_zone
            .filter(|node| round % 3 == 2 || node / zones % 2 == round % 2)
            .collect();
        day.fleet.dark.extend(struck.iter().copied());
        day.press(1_500);
        day.fleet.dark.clear();
        for node in struck {
            day.restart(node);
        }
        day.press(2_500);
    }
    day.press(10_000);
    day.assert_within(1.0);
    assert!(day.used(1.0, 8) > 0.5, "it is not used again");
}

/// Nodes that stop as planned send nothing more under a limit, and others do at once.
#[test]
fn nodes_that_stop_leave_their_part_to_others() {
    let mut day = Day::begin(8, 2);
    day.name(1.0);
    day.press(6_000);
    for node in [1, 3, 5] {
        day.fleet.nodes[node].stop();
    }
    day.press(2_000);
    day.press(8_000);
    day.assert_within(1.0);
    assert!(day.used(1.0, 8) > 0.5, "{}", day.used(1.0, 8));
    let late = day
        .arrivals
        .iter()
        .filter(|it| day.fleet.now.since(it.at) < WINDOW);
    assert!(
        late.map(|it| it.node).all(|node| node == 7),
        "a stopping node sends"
    );
}

/// A zone that is cut off goes on with its own engine; one node that hears nobody and reaches the
/// engine all the same takes no more than another sender's part.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
fn nodes_that_are_cut_off_keep_it(#[case] nodes: usize, #[case] zones: usize) {
    let mut day = Day::begin(nodes, zones);
    day.name(1.0);
    day.press(4_000);
    let others = (0..zones).filter(|zone| *zone != 1);
    day.fleet.cut = others.map(|zone| (zone, 1)).collect();
    day.press(20_000);
    assert!(day.used(1.0, 10) > 0.5, "the cut zone doesn't use it");
    day.fleet.cut.clear();
    day.press(5_000);
    for node in [1, 1 + zones] {
        day.fleet.isolated = [node].into();
        day.press(8_000);
    }
    day.fleet.isolated.clear();
    day.press(5_000);
    day.assert_within(1.0);
}

#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
fn lost_messages_do_not_break_it(#[case] nodes: usize, #[case] zones: usize) {
    let mut day = Day::begin(nodes, zones);
    day.fleet.lost_each = Some(5);
    day.name(1.0);
    day.press(24_000);
    day.assert_within(1.0);
    assert!(day.used(1.0, 16) > 0.5);
}

#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn a_limit_that_changes_is_kept_and_one_that_ends_is_forgotten(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut day = Day::begin(nodes, zones);
    for rate in [1.0, 6.0, 0.5] {
        day.name(rate);
        day.press(10_000);
        day.assert_within(rate);
        assert!(day.used(rate, 6) > 0.5, "{rate}");
    }
    day.limit = None;
    // One request comes in two seconds; its answer has to reach all.
    day.press(6_000);
    let now = day.fleet.now;
    let limited = day.fleet.nodes.iter();
    let limited = limited
        .filter(|node| node.snapshot(now).limited > 0)
        .count();
    assert_eq!(limited, 0, "nodes still hold it to be limited");
}

/// The nodes of the engine's zone, which send under its limit, get no requests: the others keep
/// the limit all the same, and hear when it is over.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn a_limit_ends_also_where_its_senders_have_no_requests(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut day = Day::begin(nodes, zones);
    day.name(1.0);
    day.press(4_000);
    let zone = (0..nodes).filter(|node| day.fleet.zones[*node] == 1);
    day.idle = zone.collect();
    day.press(40_000);
    day.assert_within(1.0);
    assert!(
        day.arrivals_within(35) > 0,
        "nobody looks whether it still holds"
    );
    day.limit = None;
    day.press(35_000);
    let free = day.arrivals_within(1);
    assert!(free > nodes, "{free} requests in a second once it is over");
}

/// A node alone before engines, long after its start.
fn alone(engines: usize) -> (Dispatcher, Timestamp) {
    let mut subject = with_engines(engines);
    subject.tick(START);
    let now = START + Span::from_milliseconds(SETTLING_MS);
    subject.tick(now);
    (subject, now)
}

/// Sends a request to the engine of that number, whose answer names a limit or none.
fn answer_with(subject: &mut Dispatcher, number: usize, rate: Option<f64>, now: Timestamp) {
    let lease = lease_at(subject, number, now);
    subject.note_limit(lease, rate.map(limit), now);
    subject.end(lease, Outcome::Completed, now);
}

fn lease_at(subject: &mut Dispatcher, number: usize, now: Timestamp) -> LeaseId {
    for thing in 0..200 {
        let grant = granted(subject.ask(&demand(thing, 1_000, 100), now));
        if engine_number(&grant) == number {
            return grant.lease;
        }
        subject.end(grant.lease, Outcome::Completed, now);
    }
    panic!("engine {number} got nothing");
}

/// When the only engine gets requests while many are sent.
fn sent_at(subject: &mut Dispatcher, from: Timestamp, milliseconds: u64) -> Vec<u64> {
    let ticks = (0..milliseconds / 100).filter(|tick| {
        let now = from + Span::from_milliseconds(tick * 100);
        subject.tick(now);
        let decision = subject.ask(&demand(*tick, 1_000, 100), now);
        let Decision::Grant(grant) = decision else {
            return false;
        };
        subject.end(grant.lease, Outcome::Completed, now);
        true
    });
    ticks.map(|tick| tick * 100).collect()
}

#[test]
fn a_sender_sends_at_the_pace_of_the_limit_and_saves_nothing_up() {
    let (mut subject, now) = alone(1);
    answer_with(&mut subject, 0, Some(0.5), now);
    assert_eq!(sent_at(&mut subject, now, 6_000), [2_000, 4_000]);
    let later = now + Span::from_milliseconds(9_900);
    assert_eq!(sent_at(&mut subject, later, 4_000), [0, 2_000]);
}

/// It would be lost to its pool for good: nobody would hear that it takes requests again.
#[test]
fn one_that_takes_nothing_is_asked_once_a_minute() {
    let (mut subject, now) = alone(1);
    answer_with(&mut subject, 0, Some(0.0), now);
    assert_eq!(sent_at(&mut subject, now, 130_000), [60_000, 120_000]);
}

#[test]
fn what_a_limited_engine_does_not_take_goes_to_others() {
    let (mut subject, now) = alone(2);
    answer_with(&mut subject, 1, Some(1.0), now);
    for thing in 0..40 {
        let grant = granted(subject.ask(&demand(thing, 1_000, 100), now));
        assert_eq!(engine_number(&grant), 0);
        subject.end(grant.lease, Outcome::Completed, now);
    }
}

/// The limits hold for all nodes together, so that no other one takes the caller sooner.
#[rstest]
#[case::one_low([0.1, 0.1], 5_000)]
#[case::together([0.5, 0.25], 1_333)]
#[case::high([20.0, 20.0], 500)]
fn where_all_are_limited_callers_hear_when_one_takes_a_request(
    #[case] rates: [f64; 2],
    #[case] milliseconds: u64,
) {
    let (mut subject, now) = alone(2);
    for (number, rate) in rates.into_iter().enumerate() {
        let lease = lease_at(&mut subject, number, now);
        subject.note_limit(lease, Some(limit(rate)), now);
    }
    match subject.ask(&demand(7, 1_000, 100), now) {
        Decision::Refuse(reason, retry_after) => {
            assert_eq!(reason, Reason::BackEndsLimited);
            assert_eq!(retry_after.milliseconds(), milliseconds);
        }
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

/// Answers overtake each other: one to a request sent before the limit was named says nothing of
/// its end.
#[test]
fn an_older_answer_without_a_limit_does_not_end_it() {
    let (mut subject, now) = alone(1);
    let older = lease_at(&mut subject, 0, now);
    answer_with(
        &mut subject,
        0,
        Some(1.0),
        now + Span::from_milliseconds(10),
    );
    let later = now + Span::from_milliseconds(500);
    subject.note_limit(older, None, later);
    assert_eq!(sent_at(&mut subject, later, 400), []);
    let next = now + Span::from_milliseconds(1_100);
    answer_with(&mut subject, 0, None, next);
    assert_eq!(sent_at(&mut subject, next, 300), [0, 100, 200]);
}

#[test]
fn it_holds_for_an_entry_that_lapses_and_returns_and_not_for_the_next_run() {
    let (mut subject, now) = alone(1);
    let started = |at: u64| BackEnd {
        started_unix_ms: Some(at),
        ..back_end("engine-0", 0, 0)
    };
    subject.apply(back_end_change(started(1), 3), now);
    answer_with(&mut subject, 0, Some(0.01), now);
    subject.apply(lapsed_change("engine-0", 4), now);
    subject.tick(now + Span::from_milliseconds(2_500));
    let back = now + Span::from_milliseconds(3_000);
    subject.apply(back_end_change(started(1), 5), back);
    assert_eq!(sent_at(&mut subject, back, 1_000), []);
    let again = now + Span::from_milliseconds(5_000);
    subject.apply(back_end_change(started(2), 6), again);
    assert_eq!(sent_at(&mut subject, again, 300), [0, 100, 200]);
}

/// A node that starts is told of limits before it hears which back ends there are.
#[test]
fn a_node_that_hears_of_a_limit_before_the_engine_is_listed_keeps_it() {
    let (mut teller, now) = alone(1);
    answer_with(&mut teller, 0, Some(1.0), now);
    let answer = teller.answer(node_address(1), now);
    let mut starting = dispatcher(1, 0, vec![node_address(0)]);
    starting.receive(node_address(0), &answer, now);
    starting.apply(table_change(1), now);
    starting.apply(back_end_change(back_end("engine-0", 0, 0), 2), now);
    assert_eq!(sent_at(&mut starting, now, 1_000), []);
}

#[rstest]
#[case::negative(-1.0)]
#[case::endless(f64::INFINITY)]
#[case::not_a_number(f64::NAN)]
fn some_numbers_are_no_limits(#[case] rate: f64) {
    assert_eq!(RateLimit::from_requests_per_second(rate), None);
}

/// Engines that name a limit at once, where a whole rack is in need.
const MANY: usize = 100;
/// Bytes a second that a node may send for them: a quarter of what control may take in all, and
/// in the first seconds as much as all of it.
const MOST_BYTES_A_SECOND: f64 = 500.0;
const MOST_AT_FIRST: f64 = 2_000.0;

/// Bytes that each node sent in a second, over some seconds.
fn bytes_a_second(fleet: &mut Fleet, seconds: u64) -> f64 {
    fleet.bytes = 0;
    fleet.run(seconds * 1_000);
    fleet.bytes as f64 / fleet.nodes.len() as f64 / seconds as f64
}

/// A node sends a request to each of many engines, whose answers name a limit or none. Returns
/// the bytes a second and node in the next three seconds, and later.
fn bytes_of_answers(nodes: usize, zones: usize, named: Option<RateLimit>) -> [f64; 2] {
    let mut fleet = Fleet::new(nodes, zones);
    let engines = (0..MANY).map(|number| {
        let engine = back_end(&format!("engine-{number}"), number, number % zones);
        back_end_change(engine, 1)
    });
    fleet.first_documents = engines.collect();
    for number in 0..nodes {
        give_documents(&mut fleet, number);
    }
    fleet.run_with_platform(SETTLING_MS, 1);
    fleet.measure_bytes();
    let now = fleet.now;
    for number in 0..MANY {
        let mut demand = demand(number as u64, 1_000, 100);
        demand.only = Some(format!("engine-{number}").as_str().into());
        let lease = granted(fleet.nodes[0].ask(&demand, now)).lease;
        fleet.nodes[0].note_limit(lease, named, now);
        fleet.nodes[0].end(lease, Outcome::Completed, now);
    }
    let first = bytes_a_second(&mut fleet, 3);
    let knowing = fleet.nodes.iter();
    let knowing = knowing.filter(|node| node.snapshot(fleet.now).limited == MANY);
    let expected = if named.is_some() { nodes } else { 0 };
    assert_eq!(knowing.count(), expected, "nodes that know all limits");
    fleet.run(3_000);
    [first, bytes_a_second(&mut fleet, 5)]
}

#[rstest]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn limits_of_many_engines_reach_all_nodes_in_few_bytes(#[case] nodes: usize, #[case] zones: usize) {
    let [first_without, later_without] = bytes_of_answers(nodes, zones, None);
    let [first, later] = bytes_of_answers(nodes, zones, Some(limit(1.0)));
    let (first, later) = (first - first_without, later - later_without);
    println!("{first} bytes a second and node at first, {later} later");
    assert!(first < MOST_AT_FIRST, "{first} bytes a second at first");
    assert!(later < MOST_BYTES_A_SECOND, "{later} bytes a second");
}

/// What another node of the zone tells of a limit.
fn report(back_end: &str, started_unix_ms: Option<u64>, rate: Option<f64>) -> LimitReport {
    LimitReport {
        back_end: InstanceId::from(back_end).digest() as u32,
        started_unix_ms,
        limit: rate.map(limit),
        age_ms: 0,
    }
}

fn hear(subject: &mut Dispatcher, limits: Vec<LimitReport>, now: Timestamp) {
    let mut teller = dispatcher(1, 0, vec![node_address(0)]);
    let mut message = teller.gossip(false, now);
    message.limits = limits;
    subject.receive(node_address(1), &message, now);
}

/// Not every node knows when a run started: its entry may tell that only later.
#[rstest]
#[case::known_here(None, Some(5))]
#[case::known_there(Some(5), None)]
fn a_limit_ends_for_nodes_that_know_different_starts(
    #[case] told: Option<u64>,
    #[case] listed: Option<u64>,
) {
    let (mut subject, now) = alone(1);
    let engine = BackEnd {
        started_unix_ms: listed,
        ..back_end("engine-0", 0, 0)
    };
    subject.apply(back_end_change(engine, 3), now);
    hear(
        &mut subject,
        vec![report("engine-0", told, Some(10.0))],
        now,
    );
    // The other node was heard only now: who sends is settled a second later.
    assert_eq!(subject.snapshot(now).limited, 1);
    let settled = now + Span::from_milliseconds(1_500);
    subject.tick(settled);
    let later = settled + Span::from_milliseconds(1_500);
    subject.tick(later);
    answer_with(&mut subject, 0, None, later);
    assert_eq!(subject.snapshot(later).limited, 0);
}

/// Only so many notices are kept; an engine whose notice gave way is not limited for good.
#[test]
fn a_flood_of_limits_is_bounded_and_leaves_no_engine_limited_for_good() {
    let (mut subject, now) = alone(1);
    answer_with(&mut subject, 0, Some(0.1), now);
    let later = now + Span::from_milliseconds(100);
    let flood = (0..5_000).map(|number| report(&format!("other-{number}"), None, Some(1.0)));
    hear(&mut subject, flood.collect(), later);
    assert_eq!(subject.snapshot(later).limited, 0);
    let told = subject.answer(node_address(1), later).limits.len();
    assert!(told <= 64, "{told} limits in one message");
    assert_eq!(sent_at(&mut subject, later, 300), [0, 100, 200]);
}
