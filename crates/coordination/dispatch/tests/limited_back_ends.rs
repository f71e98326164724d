//! Back ends that state a rate limit: what all nodes together send them, while nodes fail, restart
//! or are partitioned.

mod support;

use eiderferry_dispatch::{Decision, LeaseId, Outcome};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::limits::{DISCOVERY_MS, apply_initial_documents, rate_limit};
use support::{Fleet, START, back_end, back_end_change, demand, max_in_window};

const LIMITED: &str = "engine-1";
/// Window over which requests are counted. All nodes together may send 1.5 times as many in it as
/// the limit allows, and five more that were in flight.
const WINDOW: Span = Span::from_milliseconds(4_000);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after a limit is first stated within which it reaches all nodes.
const PROPAGATION_TIME: Span = Span::from_milliseconds(3_000);
/// Time after a node has received a limit in which requests that it sent before may still arrive.
const IN_FLIGHT_TIME: Span = Span::from_milliseconds(500);
/// Time after a start within which a node receives limits from its peers.
const CATCH_UP_TIME: Span = Span::from_milliseconds(1_000);
/// Requests to each node per tick.
const REQUESTS_PER_TICK: u64 = 3;

/// A request that reached the limited engine.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    node: usize,
    at: Timestamp,
    /// Whether its node knew the limit when it sent the request.
    was_informed: bool,
}

/// A fleet and an engine that states a limit in each response while it is overloaded.
struct Simulation {
    fleet: Fleet,
    /// Current limit of the engine, in requests per second, and the time at which it was set.
    limit: Option<f64>,
    limit_set_at: Timestamp,
    /// Latest time at which each node came to know of a limit.
    informed_at: BTreeMap<usize, Timestamp>,
    arrivals: Vec<Arrival>,
    /// Nodes that get no requests from callers.
    idle_nodes: BTreeSet<usize>,
    request_count: u64,
}

impl Simulation {
    /// A fleet whose nodes know each other; the engine is in zone 1.
    fn new(nodes: usize, zones: usize) -> Self {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.initial_documents = vec![back_end_change(back_end(LIMITED, 1, 1), 1)];
        for number in 0..nodes {
            apply_initial_documents(&mut fleet, number);
        }
        fleet.run_with_platform(DISCOVERY_MS, 1);
        Self {
            fleet,
            limit: None,
            limit_set_at: START,
            informed_at: BTreeMap::new(),
            arrivals: Vec::new(),
            idle_nodes: BTreeSet::new(),
            request_count: 0,
        }
    }

    /// Sends requests to all nodes for `milliseconds`; responses arrive within a tick.
    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 100 {
            let sent = self.send_requests();
            self.fleet.step();
            for (node, lease) in sent {
                self.respond(node, lease);
            }
        }
    }

    fn send_requests(&mut self) -> Vec<(usize, LeaseId)> {
        let nodes = 0..self.fleet.nodes.len();
        let active_nodes = nodes
            .filter(|node| {
                !self.fleet.stopped_nodes.contains(node) && !self.idle_nodes.contains(node)
            })
            .collect::<Vec<usize>>();
        let mut sent = Vec::new();
        for node in active_nodes {
            for _ in 0..REQUESTS_PER_TICK {
                self.request_count += 1;
                let demand = demand(self.request_count, 1_000, 100);
                let now = self.fleet.now;
                if let Decision::Grant(grant) = self.fleet.nodes[node].dispatch(&demand, now) {
                    sent.push((node, grant.lease));
                }
            }
        }
        sent
    }

    /// Delivers a request to the engine and its response to the node, unless they are partitioned.
    fn respond(&mut self, node: usize, lease: LeaseId) {
        let now = self.fleet.now;
        let zone = self.fleet.zones[node];
        let is_partitioned = self.fleet.partitioned_zones.contains(&(zone, 1))
            || self.fleet.partitioned_zones.contains(&(1, zone));
        if is_partitioned {
            self.fleet.nodes[node].release(lease, Outcome::Unreachable, now);
            return;
        }
        let informed_at = self.informed_at.get(&node);
        let was_informed =
            informed_at.is_some_and(|informed_at| now.since(*informed_at) >= IN_FLIGHT_TIME);
        self.arrivals.push(Arrival {
            node,
            at: now,
            was_informed,
        });
        if self.limit.is_some() {
            self.informed_at.entry(node).or_insert(now);
        }
        self.fleet.nodes[node].record_limit(lease, self.limit.map(rate_limit), now);
        self.fleet.nodes[node].release(lease, Outcome::Completed, now);
    }

    /// Lets the engine state a new limit, in requests per second.
    fn set_limit(&mut self, rate: f64) {
        self.limit = Some(rate);
        self.limit_set_at = self.fleet.now;
        self.arrivals.clear();
    }

    fn restart(&mut self, node: usize) {
        self.fleet.restart(node);
        apply_initial_documents(&mut self.fleet, node);
        self.informed_at
            .insert(node, self.fleet.now + CATCH_UP_TIME);
    }

    /// Most requests in any window after the time in which the limit reaches all nodes.
    fn max_in_window(&self) -> usize {
        let from_informed_nodes = self.arrivals.iter().filter(|arrival| arrival.was_informed);
        let times: Vec<Timestamp> = from_informed_nodes.map(|arrival| arrival.at).collect();
        max_in_window(&times, WINDOW, self.limit_set_at + PROPAGATION_TIME)
    }

    fn assert_within(&self, rate: f64) {
        let max = self.max_in_window();
        let allowed = ALLOWED_RATIO * rate * WINDOW.seconds() + ALLOWED_EXTRA;
        assert!(
            max as f64 <= allowed,
            "{max} requests in 4 s, allowed {allowed}"
        );
    }

    /// Share of a limit that was used in the last `seconds`.
    fn used_share(&self, rate: f64, seconds: u64) -> f64 {
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
fn all_nodes_together_stay_within_the_limit_and_use_it(
    #[case] nodes: usize,
    #[case] zones: usize,
    #[case] rate: f64,
) {
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(rate);
    simulation.run(24_000);
    simulation.assert_within(rate);
    let used_share = simulation.used_share(rate, 20);
    assert!(
        (0.5..1.1).contains(&used_share),
        "{used_share} of the limit was used"
    );
}

/// Numbers of nodes and zones. The environment variables `LIMIT_NODES` and `LIMIT_ZONES` override
/// them in manual runs.
fn fleet_size_or(nodes: usize, zones: usize) -> (usize, usize) {
    let number = |name: &str| std::env::var(name).ok()?.parse::<usize>().ok();
    (
        number("LIMIT_NODES").unwrap_or(nodes),
        number("LIMIT_ZONES").unwrap_or(zones),
    )
}

/// In the first seconds most nodes learn the limit from their own responses; later few nodes send.
#[rstest]
#[case::one_a_second(1.0)]
#[case::less(0.25)]
fn a_fleet_of_many_zones_stays_within_the_limit(#[case] rate: f64) {
    let (nodes, zones) = fleet_size_or(440, 8);
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(rate);
    simulation.run(12_000);
    simulation.assert_within(rate);
    assert!(simulation.used_share(rate, 8) > 0.4);
}

/// Everything in one run: the nodes of the engine's zone restart, half of them stop and return,
/// the zone is cut off, then one of its nodes is, and finally the limit changes and ends.
#[test]
fn a_fleet_stays_within_the_limit_while_nodes_and_the_limit_change() {
    let (nodes, zones) = fleet_size_or(72, 3);
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(1.0);
    simulation.run(6_000);
    let in_zone: Vec<usize> = (0..nodes)
        .filter(|node| simulation.fleet.zones[*node] == 1)
        .collect();
    for node in &in_zone {
        simulation.restart(*node);
    }
    simulation.run(5_000);
    let stopped: Vec<usize> = in_zone.iter().copied().step_by(2).collect();
    simulation
        .fleet
        .stopped_nodes
        .extend(stopped.iter().copied());
    simulation.run(3_000);
    simulation.fleet.stopped_nodes.clear();
    for node in stopped {
        simulation.restart(node);
    }
    simulation.run(4_000);
    let others = (0..zones).filter(|zone| *zone != 1);
    simulation.fleet.partitioned_zones = others.map(|zone| (zone, 1)).collect();
    simulation.run(4_000);
    simulation.fleet.partitioned_zones.clear();
    simulation.fleet.isolated_nodes = [in_zone[0]].into();
    simulation.run(4_000);
    simulation.fleet.isolated_nodes.clear();
    simulation.run(4_000);
    simulation.assert_within(1.0);
    simulation.set_limit(0.25);
    simulation.run(8_000);
    simulation.assert_within(0.25);
    simulation.limit = None;
    simulation.run(10_000);
    let now = simulation.fleet.now;
    let limited = simulation.fleet.nodes.iter();
    let limited = limited
        .filter(|node| node.snapshot(now).limited_back_ends > 0)
        .count();
    assert_eq!(limited, 0, "nodes that still consider the engine limited");
}

/// Nodes that send under the limit fail and restart, and others replace them as senders.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn a_fleet_stays_within_the_limit_while_nodes_stop_and_restart(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(1.0);
    simulation.run(4_000);
    for round in 0..6 {
        // Half of the engine's zone at a time, and in two rounds all of it.
        let in_zone = (0..nodes).filter(|node| simulation.fleet.zones[*node] == 1);
        let stopped: Vec<usize> = in_zone
            .filter(|node| round % 3 == 2 || node / zones % 2 == round % 2)
            .collect();
        simulation
            .fleet
            .stopped_nodes
            .extend(stopped.iter().copied());
        simulation.run(1_500);
        simulation.fleet.stopped_nodes.clear();
        for node in stopped {
            simulation.restart(node);
        }
        simulation.run(2_500);
    }
    simulation.run(10_000);
    simulation.assert_within(1.0);
    assert!(
        simulation.used_share(1.0, 8) > 0.5,
        "the limit is not used again"
    );
}

/// Nodes that shut down as planned send nothing more under a limit, and others replace them at
/// once.
#[test]
fn stopping_nodes_leave_their_share_of_the_limit_to_others() {
    let mut simulation = Simulation::new(8, 2);
    simulation.set_limit(1.0);
    simulation.run(6_000);
    for node in [1, 3, 5] {
        simulation.fleet.nodes[node].stop();
    }
    simulation.run(2_000);
    simulation.run(8_000);
    simulation.assert_within(1.0);
    assert!(
        simulation.used_share(1.0, 8) > 0.5,
        "{}",
        simulation.used_share(1.0, 8)
    );
    let last_arrivals = simulation
        .arrivals
        .iter()
        .filter(|arrival| simulation.fleet.now.since(arrival.at) < WINDOW);
    assert!(
        last_arrivals
            .map(|arrival| arrival.node)
            .all(|node| node == 7),
        "a stopping node sends"
    );
}

/// A zone that is cut off continues to use its own engine; a single node that is isolated from its
/// peers but still reaches the engine uses no more than the share of one sender.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
fn isolated_zones_and_nodes_stay_within_the_limit(#[case] nodes: usize, #[case] zones: usize) {
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(1.0);
    simulation.run(4_000);
    let others = (0..zones).filter(|zone| *zone != 1);
    simulation.fleet.partitioned_zones = others.map(|zone| (zone, 1)).collect();
    simulation.run(20_000);
    assert!(
        simulation.used_share(1.0, 10) > 0.5,
        "the isolated zone doesn't use the limit"
    );
    simulation.fleet.partitioned_zones.clear();
    simulation.run(5_000);
    for node in [1, 1 + zones] {
        simulation.fleet.isolated_nodes = [node].into();
        simulation.run(8_000);
    }
    simulation.fleet.isolated_nodes.clear();
    simulation.run(5_000);
    simulation.assert_within(1.0);
}

#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
fn a_fleet_stays_within_the_limit_despite_lost_messages(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut simulation = Simulation::new(nodes, zones);
    simulation.fleet.loss_interval = Some(5);
    simulation.set_limit(1.0);
    simulation.run(24_000);
    simulation.assert_within(1.0);
    assert!(simulation.used_share(1.0, 16) > 0.5);
}

#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn a_changed_limit_is_enforced_and_an_ended_one_is_forgotten(
    #[case] nodes: usize,
    #[case] zones: usize,
) {
    let mut simulation = Simulation::new(nodes, zones);
    for rate in [1.0, 6.0, 0.5] {
        simulation.set_limit(rate);
        simulation.run(10_000);
        simulation.assert_within(rate);
        assert!(simulation.used_share(rate, 6) > 0.5, "{rate}");
    }
    simulation.limit = None;
    // One request is sent in two seconds; the change its response shows must reach all nodes.
    simulation.run(6_000);
    let now = simulation.fleet.now;
    let limited = simulation.fleet.nodes.iter();
    let limited = limited
        .filter(|node| node.snapshot(now).limited_back_ends > 0)
        .count();
    assert_eq!(limited, 0, "nodes that still consider the engine limited");
}

/// The nodes of the engine's zone, which send under its limit, get no requests: the other nodes
/// must still stay within the limit, and learn when it has ended.
#[rstest]
#[case::small(8, 4)]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn a_limit_ends_even_if_its_senders_get_no_requests(#[case] nodes: usize, #[case] zones: usize) {
    let mut simulation = Simulation::new(nodes, zones);
    simulation.set_limit(1.0);
    simulation.run(4_000);
    let zone = (0..nodes).filter(|node| simulation.fleet.zones[*node] == 1);
    simulation.idle_nodes = zone.collect();
    simulation.run(40_000);
    simulation.assert_within(1.0);
    assert!(
        simulation.arrivals_within(35) > 0,
        "no node checks whether the limit still holds"
    );
    simulation.limit = None;
    simulation.run(35_000);
    let unlimited_arrivals = simulation.arrivals_within(1);
    assert!(
        unlimited_arrivals > nodes,
        "{unlimited_arrivals} requests per second after the end of the limit"
    );
}
