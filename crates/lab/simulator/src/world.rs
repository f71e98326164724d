//! State of the simulated world and dispatch of events to their handlers.

use crate::checker::Checker;
use crate::engines::SimBackEnd;
use crate::entry_logic::{Policy, Rule};
use crate::event::Event;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::nodes::SimNode;
use crate::oracle::Oracle;
use crate::platform::SimPlatform;
use crate::report::Report;
use crate::requests::SimRequest;
use crate::scenario::{Scenario, ScenarioError};
use crate::shares::ShareTracker;
use eiderferry_config::{Configuration, PoolKind};
use eiderferry_types::{BackEndId, NodeId, RequestId, Span, Timestamp, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::Xxh3;

/// Interval between two samples of the metrics.
const SAMPLE_INTERVAL: Span = Span::from_milliseconds(250);
/// Identifier of the first entry node.
const FIRST_NODE_ID: u32 = 1;
/// Identifier of the first back end.
const FIRST_BACK_END_ID: u32 = 1;

/// Complete state of a simulation.
pub(crate) struct World {
    pub scenario: Scenario,
    pub policy: Policy,
    pub configuration: Configuration,
    pub rng: ChaCha8Rng,
    /// Separate random number generator of each load, so that every policy sees the same
    /// requests.
    pub load_rngs: Vec<ChaCha8Rng>,
    pub now: Timestamp,
    pub nodes: Vec<SimNode>,
    pub back_ends: Vec<SimBackEnd>,
    pub platform: SimPlatform,
    pub network: Network,
    pub requests: Vec<SimRequest>,
    pub index_by_id: HashMap<RequestId, usize>,
    pub oracle: Option<Oracle>,
    pub checker: Checker,
    pub metrics: Metrics,
    pub shares: ShareTracker,
    pub injected_faults: BTreeMap<&'static str, u32>,
    pub burst_factor: f64,
    scheduled: Vec<(Span, Event)>,
    trace_hasher: Xxh3,
    seed: u64,
}

impl World {
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Result<Self, ScenarioError> {
        let configuration = scenario.configuration()?;
        let nodes = create_nodes(&scenario, &configuration);
        let back_ends = create_back_ends(&scenario, &configuration);
        let platform = SimPlatform::new(&configuration, &nodes, &back_ends);
        let oracle = (policy == Policy::Oracle).then(|| Oracle::new(&configuration, &back_ends));
        let shares = ShareTracker::new(&configuration, &back_ends);
        let load_count = scenario.load.len() + scenario.service_calls.len();
        let load_rngs = (0..load_count as u64)
            .map(|load| ChaCha8Rng::seed_from_u64(seed.wrapping_add(load << 32)))
            .collect();
        Ok(Self {
            network: Network::new(scenario.network),
            rng: ChaCha8Rng::seed_from_u64(seed),
            load_rngs,
            now: Timestamp::default(),
            requests: Vec::new(),
            index_by_id: HashMap::new(),
            checker: Checker::default(),
            metrics: Metrics::new(&configuration),
            injected_faults: BTreeMap::new(),
            burst_factor: 1.0,
            scheduled: Vec::new(),
            trace_hasher: Xxh3::new(),
            nodes,
            back_ends,
            platform,
            oracle,
            shares,
            configuration,
            scenario,
            policy,
            seed,
        })
    }

    /// Starts all processes and schedules the load and the faults.
    pub fn start(&mut self, now: Timestamp) {
        self.now = now;
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        for load in 0..self.scenario.load.len() {
            self.schedule_arrival(load);
        }
        for load in 0..self.scenario.service_calls.len() {
            self.schedule_service_arrival(load);
        }
        for (index, fault) in self.scenario.faults.clone().iter().enumerate() {
            let start = Span::from_seconds(fault.at);
            let end = Span::from_seconds(fault.at + fault.lasts);
            self.schedule(start, Event::FaultStart { fault: index });
            self.schedule(end, Event::FaultEnd { fault: index });
        }
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
    }

    pub fn schedule(&mut self, delay: Span, event: Event) {
        self.scheduled.push((delay, event));
    }

    pub fn take_scheduled(&mut self) -> Vec<(Span, Event)> {
        std::mem::take(&mut self.scheduled)
    }

    /// Adds an entry to the trace hash.
    pub fn record_trace(&mut self, what: &str, numbers: &[u64]) {
        self.trace_hasher.update(&self.now.0.to_le_bytes());
        self.trace_hasher.update(what.as_bytes());
        for number in numbers {
            self.trace_hasher.update(&number.to_le_bytes());
        }
    }

    pub fn handle(&mut self, now: Timestamp, event: Event) {
        self.now = now;
        match event {
            Event::Arrival { load } => self.handle_arrival(load),
            Event::ServiceArrival { load } => self.handle_service_arrival(load),
            Event::ServiceRetry { request } | Event::RetryAtNextNode { request } => {
                self.send_request(request);
            }
            Event::FirstTokenTimeout { request } => self.handle_first_token_timeout(request),
            Event::Deliver { to, envelope } => self.deliver(to, envelope),
            Event::Tick { node, run } => self.tick_node(node, run),
            Event::SendToBackEnd {
                node,
                run,
                dispatch,
            } => {
                self.send_to_back_end(node, run, dispatch);
            }
            Event::ReachBackEnd {
                node,
                run,
                dispatch,
            } => {
                self.reach_back_end(node, run, &dispatch);
            }
            Event::ReceiveRequest { request, node, run } => {
                self.receive_request(request, node, run)
            }
            Event::StallCheck {
                request,
                attempt,
                since,
            } => {
                self.check_stall(request, attempt, since);
            }
            Event::AttemptFailed {
                request,
                attempt,
                connected,
            } => {
                self.handle_attempt_failure(request, attempt, connected);
            }
            Event::StepEnd { engine, run } => self.end_step(engine, run),
            Event::DeferredToken {
                request,
                attempt,
                index,
                last,
            } => {
                self.relay_token(request, attempt, index, last);
            }
            Event::ServiceCompleted {
                request,
                attempt,
                back_end,
                run,
            } => {
                self.complete_service_call(request, attempt, back_end, run);
            }
            Event::PlatformResponse {
                node,
                run,
                kind,
                response,
            } => {
                self.handle_platform_response(node, run, kind, response);
            }
            Event::Poll {
                node,
                run,
                back_end,
                cursor,
            } => {
                self.poll(node, run, back_end, cursor);
            }
            Event::FaultStart { fault } => self.start_fault(fault),
            Event::FaultEnd { fault } => self.end_fault(fault),
            Event::Delist { node, run } => self.remove_dead_node(node, run),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        let requests = self
            .metrics
            .open_requests
            .iter()
            .map(|index| &self.requests[*index]);
        self.shares.sample(self.now, requests, &self.back_ends);
        self.network.record_isolation(self.now);
        if self.network.extra_loss > 0.0 {
            self.checker.last_loss = self.now;
        }
        self.check_versions();
        self.tick_oracle();
    }

    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Completes the checks and returns the results of the run.
    pub fn report(&mut self) -> Report {
        self.checker.finish(&self.requests);
        let starvation_violations = self.shares.finish();
        if !self.is_baseline_policy() {
            for violation in starvation_violations {
                self.checker.add(violation);
            }
        }
        let trace_hash = self.trace_hasher.digest();
        Report::from_world(self, trace_hash)
    }

    /// Whether the policy disables a rule.
    pub fn is_disabled(&self, rule: Rule) -> bool {
        self.policy == Policy::Without(rule)
    }

    /// Whether the policy is a baseline, which gives no guarantees.
    pub fn is_baseline_policy(&self) -> bool {
        matches!(
            self.policy,
            Policy::Random | Policy::RoundRobin | Policy::LeastLoaded | Policy::Oracle
        )
    }
}

fn create_nodes(scenario: &Scenario, configuration: &Configuration) -> Vec<SimNode> {
    let mut nodes = Vec::new();
    for (zone, count) in configuration.zones.iter().zip(&scenario.nodes_per_zone) {
        for _ in 0..*count {
            let id = NodeId(FIRST_NODE_ID + nodes.len() as u32);
            nodes.push(SimNode::new(id, zone.id));
        }
    }
    nodes
}

fn create_back_ends(scenario: &Scenario, configuration: &Configuration) -> Vec<SimBackEnd> {
    let mut back_ends: Vec<SimBackEnd> = Vec::new();
    for pool in &configuration.pools {
        let Some(counts) = scenario.back_ends_per_zone.get(&pool.name) else {
            continue;
        };
        for (zone, count) in configuration.zones.iter().zip(counts) {
            for _ in 0..*count {
                let id = BackEndId(FIRST_BACK_END_ID + back_ends.len() as u32);
                let is_engine = pool.kind == PoolKind::Engine;
                let timing = is_engine.then_some(scenario.engine);
                back_ends.push(SimBackEnd::new(id, pool.id, zone.id, timing));
            }
        }
    }
    back_ends
}

/// Returns the index of a back end.
pub(crate) fn back_end_index(id: BackEndId) -> usize {
    (id.0 - FIRST_BACK_END_ID) as usize
}

/// Returns the index of a node.
pub(crate) fn node_index(id: NodeId) -> usize {
    (id.0 - FIRST_NODE_ID) as usize
}

/// Returns a unique address for a machine; nothing listens on it.
pub(crate) fn address_of(number: u32) -> std::net::SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    std::net::SocketAddr::from(([10, high, middle, low], 1))
}

/// Returns the identifiers of the configured zones.
pub(crate) fn zone_ids(configuration: &Configuration) -> Vec<ZoneId> {
    configuration.zones.iter().map(|zone| zone.id).collect()
}
