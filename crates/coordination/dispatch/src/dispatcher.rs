//! The state machine of a relay's decisions.

use crate::health::{Health, HealthChange};
use crate::placement::Interference;
use crate::{
    Applied, BackEndLoad, BudgetSettings, Candidate, Change, Decision, Demand, Gossip, Grant,
    Knowledge, LeaseId, LoadReport, Outcome, PeerChange, Peers, Placement, PromptPart, RetryBudget,
    choose,
};
use eiderferry_routing::{BackEnd, InstanceId, NodeName, PoolName, ZoneName};
use eiderferry_types::{Reason, Span, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time between two ticks.
pub const TICK: Span = Span::from_milliseconds(100);
/// Ticks between two messages to other zones, whose bytes are dear.
pub(crate) const FAR_TICKS: u64 = 4;
/// Ticks between two attempts to reach nodes not known to be there.
const DOUBTFUL_TICKS: u64 = 10;
/// Ticks after a start during which these attempts are made more often.
const STARTING_TICKS: u64 = 50;
/// The same, while starting or while nodes are known by hearsay only.
const SEARCHING_TICKS: u64 = 2;
/// Peers of the own zone told at each tick.
pub(crate) const NEAR_FANOUT: usize = 12;
/// Peers of other zones told at a time.
pub(crate) const FAR_FANOUT: usize = 8;
/// Doubtful addresses tried at a time.
const DOUBTFUL_FANOUT: usize = 2;
/// The same while nodes are known by hearsay only.
const SEARCHING_FANOUT: usize = 6;
/// Placements named in one message.
const PLACEMENTS_PER_MESSAGE: usize = 40;
/// Fewest tokens that are worth copying from another engine.
const MINIMUM_COPIED_TOKENS: u32 = 1_000;
/// Memory assumed for a back end that is no model engine.
const NO_ENGINE_TOKENS: u64 = 0;
/// Part of a back end's connections that all nodes together use.
const CONNECTION_PART: f64 = 0.8;
/// Connections that a node may always hold.
const MINIMUM_CONNECTIONS: u32 = 4;
/// Age of the youngest confirmation at which a node reads the platform itself.
const CONFIRMATION_LIMIT: Span = Span::from_milliseconds(2_000);
/// Time after which a request without any back end is worth sending again.
const NO_BACK_END_RETRY: Span = Span::from_milliseconds(500);
/// Time after which a request refused for load is worth sending again.
const OVERLOAD_RETRY: Span = Span::from_milliseconds(400);
/// Requests at a back end, as a multiple of its slots, beyond which none is added.
const FULLEST: f64 = 1.3;

/// What a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// This node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for messages.
    pub address: SocketAddr,
    /// Addresses of some other nodes, perhaps out of date.
    pub seeds: Vec<SocketAddr>,
    /// Number of this run.
    pub incarnation: u32,
    /// Bound of repeats over all nodes.
    pub budget: BudgetSettings,
}

/// Whether this node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingDuty {
    /// It does.
    Read,
    /// It hears of changes from peers.
    Follow,
}

/// What a tick asks for.
#[derive(Clone, Debug, Default)]
pub struct TickOutput {
    /// Messages to send.
    pub messages: Vec<(SocketAddr, Gossip)>,
    /// What changed with peers.
    pub peer_changes: Vec<PeerChange>,
}

/// What a message asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// What changed with its sender.
    pub change: Option<PeerChange>,
    /// An answer is wanted.
    pub wants_answer: bool,
    /// The sender knows newer documents.
    pub is_newer: bool,
}

/// Figures for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Peers that are there.
    pub living_peers: usize,
    /// Listed back ends.
    pub back_ends: usize,
    /// Back ends that get no work for now.
    pub ejected: usize,
    /// Granted places.
    pub leases: usize,
    /// Revision up to which all is known.
    pub complete_to: u64,
    /// Version of the routing table.
    pub table_version: u64,
    /// Age of the youngest confirmation in seconds; infinite without any.
    pub confirmed_age_seconds: f64,
}

#[derive(Clone, Debug)]
struct BackEndState {
    back_end: BackEnd,
    digest: u32,
    load: BackEndLoad,
    health: Health,
}

/// What sending a request to one back end would mean.
#[derive(Clone, Copy, Debug)]
struct Plan {
    candidate: Candidate,
    uncached: u32,
    copy_from: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
struct Lease {
    instance: InstanceId,
    pool: PoolName,
}

/// Decides for one node.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    knowledge: Knowledge,
    peers: Peers,
    back_ends: HashMap<InstanceId, BackEndState>,
    pools: HashMap<PoolName, Vec<InstanceId>>,
    budgets: HashMap<PoolName, RetryBudget>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    placements: Vec<Placement>,
    ticks: u64,
    near_turn: usize,
    far_turn: usize,
    is_stopping: bool,
    random: ChaCha8Rng,
}

fn instance_digest(instance: &InstanceId) -> u32 {
    instance.digest() as u32
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(settings: DispatcherSettings) -> Self {
        let peers = Peers::new(
            settings.address,
            settings.zone.clone(),
            settings.seeds.clone(),
        );
        let seed = settings.node.digest() ^ u64::from(settings.incarnation);
        Self {
            settings,
            knowledge: Knowledge::default(),
            peers,
            back_ends: HashMap::new(),
            pools: HashMap::new(),
            budgets: HashMap::new(),
            leases: HashMap::new(),
            next_lease: 0,
            placements: Vec::new(),
            ticks: 0,
            near_turn: 0,
            far_turn: 0,
            is_stopping: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The documents known.
    pub fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }

    /// Takes over new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.peers.set_seeds(seeds);
    }

    /// Tells the other nodes from now on that this one is stopping.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// This process stood still: what it knows is old, and silence proves nothing.
    pub fn resume_after_pause(&mut self, now: Timestamp) {
        self.peers.pardon(now);
    }

    /// Takes a document over.
    pub fn apply(&mut self, change: Change) -> Applied {
        let applied = self.knowledge.apply(change);
        if applied == Applied::Taken {
            self.rebuild();
        }
        applied
    }

    /// Notes that the platform, or a peer that heard it, confirmed a revision.
    pub fn confirm(&mut self, revision: u64, at: Timestamp) {
        self.knowledge.confirm(revision, at);
    }

    fn rebuild(&mut self) {
        let listed: HashMap<InstanceId, BackEnd> = self
            .knowledge
            .current_back_ends()
            .map(|back_end| (back_end.instance.clone(), back_end.clone()))
            .collect();
        self.back_ends
            .retain(|instance, _| listed.contains_key(instance));
        self.pools.clear();
        for (instance, back_end) in listed {
            self.pools
                .entry(back_end.pool.clone())
                .or_default()
                .push(instance.clone());
            self.update_back_end(instance, back_end);
        }
        for instances in self.pools.values_mut() {
            instances.sort();
        }
    }

    fn update_back_end(&mut self, instance: InstanceId, back_end: BackEnd) {
        let tokens = self.engine_tokens(&back_end.pool);
        let digest = instance_digest(&instance);
        let state = self
            .back_ends
            .entry(instance)
            .or_insert_with(|| BackEndState {
                back_end: back_end.clone(),
                digest,
                load: BackEndLoad::new(tokens),
                health: Health::default(),
            });
        state.back_end = back_end;
    }

    fn engine_tokens(&self, pool: &PoolName) -> u64 {
        let table = self.knowledge.table();
        let engine = table
            .and_then(|table| table.pool(pool))
            .and_then(|pool| pool.engine.as_ref());
        engine.map_or(NO_ENGINE_TOKENS, |engine| engine.cache_tokens)
    }

    fn budget(&mut self, pool: &PoolName) -> &mut RetryBudget {
        let settings = self.settings.budget;
        self.budgets
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::new(settings))
    }

    /// Counts a caller's request for a pool.
    pub fn count_request(&mut self, pool: &PoolName, now: Timestamp) {
        self.budget(pool).request(now);
    }

    /// Chooses a back end for a request, or refuses it.
    pub fn ask(&mut self, demand: &Demand, now: Timestamp) -> Decision {
        let instances = self.eligible(demand, now);
        let plans = self.plan(&instances, demand, now);
        let candidates: Vec<Candidate> = plans.iter().map(|plan| plan.candidate).collect();
        let Some(index) = choose(&candidates) else {
            return Decision::Refuse(Reason::NoBackEnd, NO_BACK_END_RETRY);
        };
        let candidate = candidates[index];
        let fullest = (f64::from(candidate.slots) * FULLEST).ceil() as u32;
        if candidate.running >= fullest.max(candidate.slots + 1) {
            return Decision::Refuse(Reason::QueueFull, OVERLOAD_RETRY);
        }
        if demand.is_repeat {
            let nodes = self.peers.most_known();
            if !self.budget(&demand.pool).spend(now, nodes) {
                return Decision::Refuse(Reason::RetryBudget, NO_BACK_END_RETRY);
            }
        }
        let instance = instances[index].clone();
        Decision::Grant(self.grant(instance, plans[index], demand, now))
    }

    fn eligible(&self, demand: &Demand, now: Timestamp) -> Vec<InstanceId> {
        let listed = self.pools.get(&demand.pool).into_iter().flatten();
        let usable: Vec<&InstanceId> = listed
            .filter(|instance| !demand.excluded.contains(instance))
            .filter(|instance| {
                let state = self.back_ends.get(*instance);
                state.is_some_and(|state| !state.back_end.draining && !state.health.is_replaced())
            })
            .collect();
        let is_healthy = |instance: &&&InstanceId| {
            let state = self.back_ends.get(**instance);
            state.is_some_and(|state| !state.health.is_ejected(now))
        };
        let healthy: Vec<InstanceId> = usable
            .iter()
            .filter(is_healthy)
            .map(|instance| (*instance).clone())
            .collect();
        if healthy.is_empty() {
            return usable.into_iter().cloned().collect();
        }
        healthy
    }

    fn plan(&self, instances: &[InstanceId], demand: &Demand, now: Timestamp) -> Vec<Plan> {
        let home = self.home(demand);
        instances
            .iter()
            .map(|instance| self.plan_for(instance, home.as_ref(), demand, now))
            .collect()
    }

    /// The engine that is to keep a prompt's shared parts: all nodes name it alike.
    fn home(&self, demand: &Demand) -> Option<InstanceId> {
        let first = demand.shared_parts().first()?;
        let listed = self.pools.get(&demand.pool)?.iter();
        let states = listed.filter_map(|instance| self.back_ends.get(instance));
        let staying = states.filter(|state| !state.back_end.draining);
        let score =
            |state: &&BackEndState| xxh3_64_with_seed(&state.digest.to_le_bytes(), first.id.0);
        let home = staying.max_by_key(score)?;
        Some(home.back_end.instance.clone())
    }

    fn plan_for(
        &self,
        instance: &InstanceId,
        home: Option<&InstanceId>,
        demand: &Demand,
        now: Timestamp,
    ) -> Plan {
        let state = &self.back_ends[instance];
        let kept = state.load.cache.kept_tokens(&demand.parts);
        let missing = demand.shared_tokens().saturating_sub(kept);
        let source = self.copy_source(instance, home, kept, demand, now);
        let copied = if source.is_some() { missing } else { 0 };
        let is_home = home == Some(instance);
        let read_again = if is_home { 0 } else { missing - copied };
        let uncached = demand.prompt_tokens.saturating_sub(kept + copied);
        let pending = state.load.total_pending_tokens(now);
        let running = state.load.total_running(now);
        let sensitive = state.load.total_sensitive(now);
        let interference = if demand.is_pause_sensitive() {
            Interference::Suffered {
                pending: state.load.reading_time(pending),
                others: running.saturating_sub(sensitive),
            }
        } else {
            Interference::Caused {
                reading: state.load.reading_time(u64::from(uncached)),
                sensitive,
            }
        };
        Plan {
            uncached,
            copy_from: source,
            candidate: Candidate {
                first_event: state.load.reading_time(pending + u64::from(uncached)),
                read_again,
                copied,
                interference,
                running,
                slots: state.back_end.slots,
                is_near: state.back_end.zone == self.settings.zone,
            },
        }
    }

    /// Another engine that keeps clearly more of the prompt.
    fn copy_source(
        &self,
        instance: &InstanceId,
        home: Option<&InstanceId>,
        kept: u32,
        demand: &Demand,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let missing = demand.shared_tokens().saturating_sub(kept);
        if missing < MINIMUM_COPIED_TOKENS {
            return None;
        }
        let listed = self.pools.get(&demand.pool)?.iter();
        let others = listed.filter(|other| *other != instance);
        let states = others.filter_map(|other| self.back_ends.get(other));
        let sound = states.filter(|state| !state.health.is_ejected(now));
        let kept_by = |state: &BackEndState| state.load.cache.kept_tokens(&demand.parts);
        let best = sound.max_by_key(|state| {
            let is_home = home == Some(&state.back_end.instance);
            (kept_by(state), is_home)
        })?;
        let gain = kept_by(best).saturating_sub(kept);
        (gain >= MINIMUM_COPIED_TOKENS).then_some(best.back_end.address)
    }

    fn grant(
        &mut self,
        instance: InstanceId,
        plan: Plan,
        demand: &Demand,
        now: Timestamp,
    ) -> Grant {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let connections = self.connection_limit(&demand.pool);
        let revision = self.knowledge.complete_to();
        let list_age = self.knowledge.confirmed_age(now).unwrap_or(Span::ZERO);
        let state = self
            .back_ends
            .get_mut(&instance)
            .expect("a granted back end is listed");
        let is_sensitive = demand.is_pause_sensitive();
        state.load.begin(lease, plan.uncached, is_sensitive, now);
        state.load.cache.insert(&demand.parts);
        note_placements(&mut self.placements, state.digest, demand.shared_parts());
        let address = state.back_end.address;
        self.leases.insert(
            lease,
            Lease {
                instance: instance.clone(),
                pool: demand.pool.clone(),
            },
        );
        Grant {
            lease,
            instance,
            address,
            connections,
            uncached_tokens: plan.uncached,
            copy_from: plan.copy_from,
            expected: plan.candidate.first_event,
            revision,
            list_age,
        }
    }

    fn connection_limit(&self, pool: &PoolName) -> u32 {
        let table = self.knowledge.table();
        let maximum = table
            .and_then(|table| table.pool(pool))
            .map_or(MINIMUM_CONNECTIONS, |pool| pool.maximum_connections);
        let share = f64::from(maximum) * CONNECTION_PART / f64::from(self.peers.most_known());
        (share as u32).max(MINIMUM_CONNECTIONS)
    }

    /// The first event, or the whole answer, of a request came.
    pub fn first_event(&mut self, lease: LeaseId, now: Timestamp) {
        if let Some(state) = self.state_of(lease) {
            state.load.first_event(lease, now);
        }
    }

    fn state_of(&mut self, lease: LeaseId) -> Option<&mut BackEndState> {
        let lease = self.leases.get(&lease)?;
        self.back_ends.get_mut(&lease.instance)
    }

    /// A place is given back. Returns the back end if its standing changed.
    pub fn end(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        now: Timestamp,
    ) -> Option<(InstanceId, HealthChange)> {
        let record = self.leases.remove(&lease)?;
        let pool_share = self.pool_failure_share(&record);
        let state = self.back_ends.get_mut(&record.instance)?;
        state.load.end(lease);
        if matches!(
            outcome,
            Outcome::Completed | Outcome::Failed | Outcome::Shed
        ) {
            state.load.heard(now);
        }
        let change = state.health.record(outcome, pool_share, now)?;
        Some((record.instance, change))
    }

    fn pool_failure_share(&self, lease: &Lease) -> f64 {
        let instances = self.pools.get(&lease.pool).into_iter().flatten();
        let others = instances.filter(|instance| **instance != lease.instance);
        let shares: Vec<f64> = others
            .filter_map(|instance| self.back_ends.get(instance))
            .map(|state| state.health.failure_share())
            .collect();
        if shares.is_empty() {
            return 0.0;
        }
        shares.iter().sum::<f64>() / shares.len() as f64
    }

    /// Takes a peer's message in.
    pub fn receive(&mut self, address: SocketAddr, message: &Gossip, now: Timestamp) -> Received {
        let change = self.peers.heard(address, message, now);
        let sender = message.from.digest();
        self.take_loads(sender, &message.loads, now);
        self.take_placements(&message.placements);
        let complete_to = self.knowledge.complete_to();
        if let Some(age) = message.confirmed_ms
            && message.complete_to == complete_to
            && message.table_revision == self.knowledge.table_revision()
        {
            let at = now - Span::from_milliseconds(u64::from(age));
            self.knowledge.confirm(complete_to, at);
        }
        Received {
            change,
            wants_answer: message.wants_answer,
            is_newer: message.complete_to > complete_to
                || message.table_revision > self.knowledge.table_revision(),
        }
    }

    fn take_loads(&mut self, sender: u64, loads: &[LoadReport], now: Timestamp) {
        for state in self.back_ends.values_mut() {
            let report = loads.iter().find(|report| report.back_end == state.digest);
            match report {
                Some(report) => state.load.report(sender, report, now),
                None => state.load.forget(sender),
            }
        }
    }

    fn take_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let part = PromptPart {
                id: placement.part,
                tokens: placement.tokens,
            };
            let mut states = self.back_ends.values_mut();
            if let Some(state) = states.find(|state| state.digest == placement.back_end) {
                state.load.cache.insert(&[part]);
            }
        }
    }

    /// Messages and changes that are due; to be called every [`TICK`].
    pub fn tick(&mut self, now: Timestamp) -> TickOutput {
        self.ticks += 1;
        let peer_changes = self.peers.tick(now);
        let mut messages = Vec::new();
        let near = in_turn(&self.peers.near(), NEAR_FANOUT, &mut self.near_turn);
        self.address(&mut messages, &near, false, now);
        if self.ticks.is_multiple_of(FAR_TICKS) {
            let far = in_turn(&self.peers.far(), FAR_FANOUT, &mut self.far_turn);
            self.address(&mut messages, &far, false, now);
            self.placements.clear();
        }
        let (period, fanout) = self.search_pace();
        if self.ticks % period == 1 {
            let doubtful = self.peers.doubtful(fanout, &mut self.random);
            self.address(&mut messages, &doubtful, true, now);
        }
        TickOutput {
            messages,
            peer_changes,
        }
    }

    /// Ticks between two attempts to reach doubtful nodes, and how many are tried.
    fn search_pace(&self) -> (u64, usize) {
        if self.peers.hearsay_count() > 0 {
            return (SEARCHING_TICKS, SEARCHING_FANOUT);
        }
        if self.ticks < STARTING_TICKS {
            return (SEARCHING_TICKS, DOUBTFUL_FANOUT);
        }
        (DOUBTFUL_TICKS, DOUBTFUL_FANOUT)
    }

    fn address(
        &mut self,
        messages: &mut Vec<(SocketAddr, Gossip)>,
        peers: &[SocketAddr],
        wants_answer: bool,
        now: Timestamp,
    ) {
        if peers.is_empty() {
            return;
        }
        let message = self.gossip(wants_answer, now);
        messages.extend(peers.iter().map(|peer| (*peer, message.clone())));
    }

    /// The message that tells how this node stands.
    pub fn gossip(&mut self, wants_answer: bool, now: Timestamp) -> Gossip {
        let count = self.placements.len().min(PLACEMENTS_PER_MESSAGE);
        let placements = self.placements[..count].to_vec();
        let names_members = wants_answer || self.ticks.is_multiple_of(DOUBTFUL_TICKS);
        let members = if names_members {
            self.peers.sample(now, &mut self.random)
        } else {
            Vec::new()
        };
        Gossip {
            from: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            is_stopping: self.is_stopping,
            wants_answer,
            complete_to: self.knowledge.complete_to(),
            table_revision: self.knowledge.table_revision(),
            confirmed_ms: self
                .knowledge
                .confirmed_age(now)
                .map(|age| age.milliseconds() as u32),
            loads: self.own_loads(now),
            placements,
            members,
        }
    }

    fn own_loads(&self, now: Timestamp) -> Vec<LoadReport> {
        let states = self.back_ends.values();
        let busy = states.filter(|state| state.load.own_running() > 0);
        busy.map(|state| LoadReport {
            back_end: state.digest,
            running: u16::try_from(state.load.own_running()).unwrap_or(u16::MAX),
            sensitive: u16::try_from(state.load.own_sensitive()).unwrap_or(u16::MAX),
            pending_hundreds: u16::try_from(state.load.own_pending_tokens(now) / 100)
                .unwrap_or(u16::MAX),
        })
        .collect()
    }

    /// Messages that tell the peers at once of newer documents.
    pub fn announce(&mut self, now: Timestamp) -> Vec<(SocketAddr, Gossip)> {
        let mut messages = Vec::new();
        let near = in_turn(&self.peers.near(), NEAR_FANOUT, &mut self.near_turn);
        self.address(&mut messages, &near, false, now);
        let far = in_turn(&self.peers.far(), FAR_FANOUT, &mut self.far_turn);
        self.address(&mut messages, &far, false, now);
        messages
    }

    /// Whether this node reads the platform for its zone. One node of a zone does;
    /// the others do so only when they hear nothing fresh from it.
    pub fn reading_duty(&self, now: Timestamp) -> ReadingDuty {
        let own = self.knowledge.confirmed_age(now);
        if self.knowledge.table().is_none() || own.is_none_or(|age| age > CONFIRMATION_LIMIT) {
            return ReadingDuty::Read;
        }
        let score = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), 0);
        let own_score = score(&self.settings.address);
        let others = self.peers.readers();
        let is_first = others.iter().all(|address| score(address) < own_score);
        if is_first && !self.is_stopping {
            ReadingDuty::Read
        } else {
            ReadingDuty::Follow
        }
    }

    /// Figures for metrics.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let table = self.knowledge.table();
        let states = self.back_ends.values();
        let age = self.knowledge.confirmed_age(now);
        Snapshot {
            living_peers: self.peers.living_count(),
            back_ends: self.back_ends.len(),
            ejected: states.filter(|state| state.health.is_ejected(now)).count(),
            leases: self.leases.len(),
            complete_to: self.knowledge.complete_to(),
            table_version: table.map_or(0, |table| table.version()),
            confirmed_age_seconds: age.map_or(f64::INFINITY, |age| age.seconds()),
        }
    }
}

/// The next peers in turn, so that each is told at a steady pace.
fn in_turn(peers: &[SocketAddr], most: usize, turn: &mut usize) -> Vec<SocketAddr> {
    let count = most.min(peers.len());
    let start = *turn;
    *turn = turn.wrapping_add(count);
    (0..count)
        .map(|offset| peers[start.wrapping_add(offset) % peers.len()])
        .collect()
}

fn note_placements(placements: &mut Vec<Placement>, back_end: u32, parts: &[PromptPart]) {
    for part in parts.iter().rev() {
        if placements.len() >= PLACEMENTS_PER_MESSAGE {
            return;
        }
        placements.push(Placement {
            back_end,
            part: part.id,
            tokens: part.tokens,
        });
    }
}
