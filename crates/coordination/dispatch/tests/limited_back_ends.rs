//! Back ends that name a rate limit: what all nodes together send them, whatever becomes of the
//! nodes.

mod support;

use eiderferry_dispatch::{Decision, LeaseId, Outcome};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::limits::{SETTLING_MS, give_documents, limit};
use support::{Fleet, START, back_end, back_end_change, demand, most_within};

const LIMITED: &str = "engine-1";
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
                if let Decision::Grant(grant) = self.fleet.nodes[node].dispatch(&demand, now) {
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
            self.fleet.nodes[node].release(lease, Outcome::Unreachable, now);
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
        self.fleet.nodes[node].record_limit(lease, self.limit.map(limit), now);
        self.fleet.nodes[node].release(lease, Outcome::Completed, now);
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
        most_within(&times, WINDOW, self.named_at + KNOWN_WITHIN)
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

/// Nodes and zones: as many as a run by hand asks for with `LIMIT_NODES` and `LIMIT_ZONES`.
fn size_or(nodes: usize, zones: usize) -> (usize, usize) {
    let number = |name: &str| std::env::var(name).ok()?.parse::<usize>().ok();
    (
        number("LIMIT_NODES").unwrap_or(nodes),
        number("LIMIT_ZONES").unwrap_or(zones),
    )
}

/// In the first seconds most nodes are told by their own answers, later few send.
#[rstest]
#[case::one_a_second(1.0)]
#[case::less(0.25)]
fn a_fleet_of_many_zones_keeps_the_limit(#[case] rate: f64) {
    let (nodes, zones) = size_or(440, 8);
    let mut day = Day::begin(nodes, zones);
    day.name(rate);
    day.press(12_000);
    day.assert_within(rate);
    assert!(day.used(rate, 8) > 0.4);
}

/// All of it in one day: the engine's zone starts anew, half of it is lost and comes back, it is
/// cut off, one of its nodes is, and then the limit changes and ends.
#[test]
fn a_fleet_keeps_the_limit_while_nodes_and_the_limit_change() {
    let (nodes, zones) = size_or(72, 3);
    let mut day = Day::begin(nodes, zones);
    day.name(1.0);
    day.press(6_000);
    let in_zone: Vec<usize> = (0..nodes).filter(|it| day.fleet.zones[*it] == 1).collect();
    for node in &in_zone {
        day.restart(*node);
    }
    day.press(5_000);
    let lost: Vec<usize> = in_zone.iter().copied().step_by(2).collect();
    day.fleet.dark.extend(lost.iter().copied());
    day.press(3_000);
    day.fleet.dark.clear();
    for node in lost {
        day.restart(node);
    }
    day.press(4_000);
    let others = (0..zones).filter(|zone| *zone != 1);
    day.fleet.cut = others.map(|zone| (zone, 1)).collect();
    day.press(4_000);
    day.fleet.cut.clear();
    day.fleet.isolated = [in_zone[0]].into();
    day.press(4_000);
    day.fleet.isolated.clear();
    day.press(4_000);
    day.assert_within(1.0);
    day.name(0.25);
    day.press(8_000);
    day.assert_within(0.25);
    day.limit = None;
    day.press(10_000);
    let now = day.fleet.now;
    let limited = day.fleet.nodes.iter();
    let limited = limited
        .filter(|node| node.snapshot(now).limited_back_ends > 0)
        .count();
    assert_eq!(limited, 0, "nodes still hold it to be limited");
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
        .filter(|node| node.snapshot(now).limited_back_ends > 0)
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
