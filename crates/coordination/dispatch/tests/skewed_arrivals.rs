//! One node gets almost all requests of its zone: its share of connections, of cold engines and of
//! rate limits follows.

mod support;

use eiderferry_dispatch::{Change, Decision, DocumentContent, LeaseId, Outcome};
use eiderferry_routing::{ColdStart, InstanceId, PoolName};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeMap;
use support::{
    COLD_RATE_LIMIT, ENGINE_POOL, Fleet, back_end, back_end_change, demand, max_in_window,
    table_change,
};

const ZONES: usize = 3;
const SLOTS: usize = 64;
/// Connections that an engine accepts from all nodes.
const MAX_CONNECTIONS: usize = 360;
/// Share of all engines' slots that the requests occupy.
const UTILIZATION: f64 = 0.6;
const RUN_TIME: Span = Span::from_milliseconds(2_000);
/// Time from the beginning of the skew after which requests have to be served as before.
const ADAPTATION_TIME: Span = Span::from_milliseconds(3_000);
/// Share of the requests in the zone that must then be served at the first attempt.
const MIN_SERVED_SHARE: f64 = 0.9;
const COLD_START: ColdStart = ColdStart {
    duration: Span::from_milliseconds(30_000),
    requests_per_second: 5.2,
};

#[derive(Clone, Debug)]
struct Run {
    ends_at: Timestamp,
    node: usize,
    lease: LeaseId,
    engine: InstanceId,
}

/// A fleet under load whose nodes hold one connection for each running request.
struct Simulation {
    fleet: Fleet,
    engine_count: usize,
    runs: Vec<Run>,
    request_count: u64,
    /// Times of requests, and whether each was served at the first attempt.
    results: Vec<(Timestamp, bool)>,
    /// Times of the requests that each engine got.
    sent: BTreeMap<InstanceId, Vec<Timestamp>>,
    max_connections_in_use: usize,
}

impl Simulation {
    fn new(nodes: usize, engine_count: usize, table: Change) -> Self {
        let mut fleet = Fleet::new(nodes, ZONES);
        for number in 0..nodes {
            let now = fleet.now;
            fleet.nodes[number].apply(table.clone(), now);
            for engine in 0..engine_count {
                let engine = back_end(&format!("engine-{engine}"), engine, engine % ZONES);
                fleet.nodes[number].apply(back_end_change(engine, 1), now);
            }
        }
        fleet.run_with_platform(12_000, 1);
        Self {
            fleet,
            engine_count,
            runs: Vec::new(),
            request_count: 0,
            results: Vec::new(),
            sent: BTreeMap::new(),
            max_connections_in_use: 0,
        }
    }

    fn nodes_of(&self, zone: usize) -> Vec<usize> {
        let nodes = 0..self.fleet.nodes.len();
        nodes
            .filter(|node| self.fleet.zones[*node] == zone)
            .collect()
    }

    /// Requests for one zone's nodes in one tick.
    fn requests_per_tick(&self) -> usize {
        let slots = (self.engine_count / ZONES * SLOTS) as f64;
        (slots * UTILIZATION / (RUN_TIME.seconds() * 10.0)) as usize
    }

    /// Runs the fleet. Nine of ten requests of zone 0 come to `hot`, all others to the nodes of
    /// their zones in turn.
    fn run(&mut self, milliseconds: u64, hot: Option<usize>) {
        for _ in 0..milliseconds / 100 {
            self.fleet.step();
            self.finish_runs();
            for zone in 0..ZONES {
                let nodes = self.nodes_of(zone);
                for number in 0..self.requests_per_tick() {
                    let hot = hot.filter(|_| zone == 0 && number % 10 != 9);
                    let count = self.request_count as usize;
                    let node = hot.unwrap_or(nodes[count % nodes.len()]);
                    self.send(node, zone);
                }
            }
        }
    }

    fn finish_runs(&mut self) {
        let now = self.fleet.now;
        let (ended, running): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends_at <= now);
        self.runs = running;
        for run in ended {
            self.fleet.nodes[run.node].release(run.lease, Outcome::Completed, now);
        }
    }

    fn send(&mut self, node: usize, zone: usize) {
        let now = self.fleet.now;
        self.request_count += 1;
        let mut request = demand(self.request_count % 24, 1_000, 100);
        request.digest.0 ^= self.request_count << 32;
        let mut is_served = false;
        if let Decision::Grant(grant) = self.fleet.nodes[node].dispatch(&request, now) {
            let is_same = |run: &&Run| run.engine == grant.instance;
            let at_engine = self.runs.iter().filter(is_same).count();
            let own = self.runs.iter().filter(is_same);
            let own = own.filter(|run| run.node == node).count();
            if own < grant.connections as usize {
                is_served = true;
                self.max_connections_in_use = self.max_connections_in_use.max(at_engine + 1);
                self.sent
                    .entry(grant.instance.clone())
                    .or_default()
                    .push(now);
                self.runs.push(Run {
                    ends_at: now + RUN_TIME,
                    node,
                    lease: grant.lease,
                    engine: grant.instance,
                });
            } else {
                self.fleet.nodes[node].release(grant.lease, Outcome::NotSent, now);
            }
        }
        if zone == 0 {
            self.results.push((now, is_served));
        }
    }

    fn served_share(&self, from: Timestamp, to: Timestamp) -> f64 {
        let results = self.results.iter();
        let within: Vec<bool> = results
            .filter(|(at, _)| from <= *at && *at < to)
            .map(|(_, is_served)| *is_served)
            .collect();
        let served = within.iter().filter(|is_served| **is_served).count();
        served as f64 / within.len().max(1) as f64
    }
}

#[rstest]
#[case::small(8, 9)]
#[case::with_aggregators(72, 81)]
fn a_node_that_gets_most_requests_of_its_zone_gets_the_connections_for_them(
    #[case] nodes: usize,
    #[case] engines: usize,
) {
    let mut simulation = Simulation::new(nodes, engines, table_change(1));
    simulation.run(5_000, None);
    let zone_nodes = simulation.nodes_of(0);
    let mut shares = Vec::new();
    for hot in zone_nodes.into_iter().take(3) {
        let begun_at = simulation.fleet.now;
        simulation.run(6_000, Some(hot));
        shares.push(simulation.served_share(begun_at + ADAPTATION_TIME, simulation.fleet.now));
    }
    assert!(
        shares.iter().all(|share| *share >= MIN_SERVED_SHARE),
        "served at the first attempt on each node in turn: {shares:.2?}"
    );
    let in_use = simulation.max_connections_in_use;
    assert!(in_use <= MAX_CONNECTIONS, "{in_use} connections in use");
}

/// All engines of the zone have just started, and only a few nodes may send to each of them.
#[rstest]
#[case::small(8, 9)]
#[case::with_aggregators(72, 27)]
fn a_node_that_gets_most_requests_of_its_zone_sends_to_cold_engines(
    #[case] nodes: usize,
    #[case] engines: usize,
) {
    let mut table = table_change(1);
    if let DocumentContent::Table(document) = &mut table.content {
        let pool = document.pools.get_mut(&PoolName::from(ENGINE_POOL));
        pool.expect("the pool").cold_start = Some(COLD_START);
    }
    let mut simulation = Simulation::new(nodes, engines, table);
    let zone_nodes = simulation.nodes_of(0);
    for hot in zone_nodes.into_iter().take(3) {
        simulation.run(3_000, Some(hot));
        let now = simulation.fleet.now;
        for engine in (0..engines).step_by(ZONES) {
            let mut cold = back_end(&format!("engine-{engine}"), engine, 0);
            cold.cold_remaining = Some(COLD_START.duration);
            for node in &mut simulation.fleet.nodes {
                node.apply(back_end_change(cold.clone(), 2 + hot as u64), now);
            }
        }
        simulation.sent.clear();
        simulation.run(6_000, Some(hot));
        let from = now + ADAPTATION_TIME;
        let window = Span::from_milliseconds(1_000);
        let max_rate =
            COLD_START.requests_per_second * COLD_RATE_LIMIT.overage + COLD_RATE_LIMIT.slack;
        for engine in (0..engines).step_by(ZONES) {
            let instance = InstanceId::from(format!("engine-{engine}"));
            let sent = simulation.sent.get(&instance).cloned().unwrap_or_default();
            let used = sent.iter().filter(|at| **at >= from).count();
            assert!(
                used >= 3,
                "engine {engine} got {used} requests from node {hot}"
            );
            let peak = max_in_window(&sent, window, now);
            assert!(peak as f64 <= max_rate, "{peak} requests in a second");
        }
    }
}
