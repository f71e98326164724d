//! The state machine of a relay's decisions.

mod messages;
mod zone_digest;

pub(crate) use messages::{FAR_FANOUT, FAR_TICKS, NEAR_FANOUT};

use crate::health::HealthChange;
use crate::planning::{Plan, View, plans};
use crate::registry::{BackEndState, Registry};
use crate::{
    Applied, BudgetSettings, Candidate, Change, Content, Decision, Demand, DocumentKey, Gossip,
    Grant, Knowledge, LeaseId, Outcome, PeerChange, Peers, Placement, PromptPart, RetryBudget,
    StreamPacing, choose,
};
use eiderferry_routing::{InstanceId, NodeName, PoolName, ZoneName};
use eiderferry_types::{Reason, Span, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use zone_digest::ZoneDigests;

/// Time between two ticks.
pub const TICK: Span = Span::from_milliseconds(100);
/// Placements named in one message.
const PLACEMENTS_PER_MESSAGE: usize = 40;
/// Part of a back end's connections that all nodes together use.
const CONNECTION_PART: f64 = 0.8;
/// Connections that a node may always hold.
const MINIMUM_CONNECTIONS: u32 = 4;
/// Age of the youngest confirmation at which a node reads the platform itself.
const CONFIRMATION_LIMIT: Span = Span::from_milliseconds(1_900);
/// Time after a start within which a node comes to know the others of its zone.
const SETTLING_TIME: Span = Span::from_milliseconds(1_500);
/// Time after a start in which the seeds may tell what they know before a node that is
/// no seed reads the platform.
const START_PATIENCE: Span = Span::from_milliseconds(200);
/// The same for a node that has heard peers.
const START_PATIENCE_WITH_PEERS: Span = Span::from_milliseconds(300);
/// Additional patience at a start for each node of the zone that is to read first.
const START_PATIENCE_PER_READER: Span = Span::from_milliseconds(100);
/// The same later, when confirmations have grown old.
const PATIENCE_PER_READER: Span = Span::from_milliseconds(150);
/// Time after which a request without any back end is worth sending again.
const NO_BACK_END_RETRY: Span = Span::from_milliseconds(500);
/// Time after which a request refused for load is worth sending again.
const OVERLOAD_RETRY: Span = Span::from_milliseconds(400);
/// Back ends of one zone that can't be reached, within a window, which show that the
/// way to the zone is cut.
const UNREACHABLE_FOR_CUT: usize = 2;
const CUT_WINDOW: Span = Span::from_milliseconds(3_000);
/// Time within which a back end whose entry lapsed while the platform was away is
/// listed again, if it lives.
const LAPSE_GRACE: Span = Span::from_milliseconds(2_000);
/// Time for which the outcomes at a back end are told.
const OUTCOME_LIFETIME: Span = Span::from_milliseconds(4_000);
/// Requests at a back end, as a multiple of its slots, beyond which none of the least
/// urgent tier is added: what waits longer comes late anyway.
const FULLEST: f64 = 1.3;
/// The same for the most urgent tier: while it is refused, no less urgent request may
/// begin, and nodes see each other's requests some hundred milliseconds late.
const FULLEST_MOST_URGENT: f64 = 2.0;

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
    /// The sender knows newer documents, which have to be fetched.
    pub is_newer: bool,
    /// Changes that the message carried.
    pub taken: Vec<TakenNews>,
}

/// A change that came with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenNews {
    /// Which item.
    pub key: DocumentKey,
    /// What became of the item.
    pub kind: &'static str,
    /// Revision of the change.
    pub revision: u64,
    /// What came of it.
    pub applied: Applied,
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
    back_ends: Registry,
    budgets: HashMap<PoolName, RetryBudget>,
    leases: HashMap<LeaseId, Lease>,
    ended_lately: HashMap<InstanceId, Timestamp>,
    unreachable: HashMap<ZoneName, HashMap<InstanceId, Timestamp>>,
    next_lease: u64,
    placements: Vec<Placement>,
    ticks: u64,
    near_turn: usize,
    far_turn: usize,
    announced_to: u64,
    is_stopping: bool,
    started: Option<Timestamp>,
    ticked_at: Timestamp,
    lapsed: HashMap<InstanceId, Timestamp>,
    zone_digests: ZoneDigests,
    silent_zones: BTreeSet<ZoneName>,
    random: ChaCha8Rng,
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
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Nodes that start together would tell the same peer in the same turn.
        let (near_turn, far_turn) = (random.random::<u16>(), random.random::<u16>());
        Self {
            settings,
            knowledge: Knowledge::default(),
            peers,
            back_ends: Registry::default(),
            budgets: HashMap::new(),
            leases: HashMap::new(),
            ended_lately: HashMap::new(),
            unreachable: HashMap::new(),
            next_lease: 0,
            placements: Vec::new(),
            ticks: 0,
            near_turn: usize::from(near_turn),
            far_turn: usize::from(far_turn),
            announced_to: 0,
            is_stopping: false,
            started: None,
            ticked_at: Timestamp::default(),
            lapsed: HashMap::new(),
            zone_digests: ZoneDigests::default(),
            silent_zones: BTreeSet::new(),
            random,
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
        let applied = self.knowledge.apply(change.clone());
        if applied == Applied::Taken {
            self.take(change);
        }
        applied
    }

    fn take(&mut self, change: Change) {
        let table = self.knowledge.table().cloned();
        match (change.key, change.content) {
            (DocumentKey::BackEnd(instance), Content::BackEnd(back_end)) => {
                self.lapsed.remove(&instance);
                let table = table.as_deref();
                self.back_ends.list(back_end, change.revision, table);
            }
            (DocumentKey::BackEnd(instance), Content::Lapsed) => {
                self.lapsed.insert(instance, self.ticked_at);
            }
            (DocumentKey::BackEnd(instance), _) => self.forget_back_end(&instance),
            (DocumentKey::Table, _) => {
                if let Some(table) = table {
                    self.back_ends.take_table(&table);
                }
            }
        }
    }

    fn forget_back_end(&mut self, instance: &InstanceId) {
        self.lapsed.remove(instance);
        self.back_ends.remove(instance);
    }

    /// Back ends whose entries lapsed and that did not come back are gone.
    fn forget_lapsed(&mut self, now: Timestamp) {
        let overdue = |at: &Timestamp| now.since(*at) >= LAPSE_GRACE;
        let lapsed = self.lapsed.iter().filter(|(_, at)| overdue(at));
        let gone: Vec<InstanceId> = lapsed.map(|(instance, _)| instance.clone()).collect();
        for instance in gone {
            self.forget_back_end(&instance);
        }
    }

    /// Notes that the platform, or a peer that heard it, confirmed a revision.
    pub fn confirm(&mut self, revision: u64, at: Timestamp) {
        self.knowledge.confirm(revision, at);
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
        let view = View {
            zone: &self.settings.zone,
            silent_zones: &self.silent_zones,
            now,
        };
        let mut plans = plans(&self.back_ends, &view, demand, &mut self.random);
        let candidates: Vec<Candidate> = plans.iter().map(|plan| plan.candidate).collect();
        let Some(index) = choose(&candidates) else {
            return Decision::Refuse(Reason::NoBackEnd, NO_BACK_END_RETRY);
        };
        let candidate = candidates[index];
        if candidate.running >= self.most_running(demand, candidate.slots) {
            return Decision::Refuse(Reason::QueueFull, OVERLOAD_RETRY);
        }
        if demand.is_repeat {
            let nodes = self.peers.most_known();
            if !self.budget(&demand.pool).spend(now, nodes) {
                return Decision::Refuse(Reason::RetryBudget, NO_BACK_END_RETRY);
            }
        }
        let plan = plans.swap_remove(index);
        match self.grant(plan, demand, now) {
            Some(grant) => Decision::Grant(grant),
            None => Decision::Refuse(Reason::NoBackEnd, NO_BACK_END_RETRY),
        }
    }

    /// Requests at a back end beyond which this one is not added.
    fn most_running(&self, demand: &Demand, slots: u32) -> u32 {
        let table = self.knowledge.table();
        let part = table.map_or(0.0, |table| {
            table.part_less_urgent(&demand.pool, demand.rank)
        });
        let fullest = FULLEST + (FULLEST_MOST_URGENT - FULLEST) * part;
        let most = (f64::from(slots) * fullest).ceil() as u32;
        most.max(slots + 1)
    }

    fn grant(&mut self, plan: Plan, demand: &Demand, now: Timestamp) -> Option<Grant> {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let connections = self.connection_limit(&demand.pool);
        let revision = self.knowledge.complete_to();
        let list_age = self.knowledge.confirmed_age(now).unwrap_or(Span::ZERO);
        let state = self.back_ends.get_mut(&plan.instance)?;
        state.load.begin(lease, plan.footprint, now);
        state.load.cache.insert(&demand.parts);
        let answer = u64::from(demand.output_tokens);
        state.load.cache.insert_untold(answer);
        let address = state.back_end.address;
        let known = self.placements.len();
        note_placements(&mut self.placements, state.digest, demand.shared_parts());
        self.zone_digests.note_placements(&self.placements[known..]);
        let record = Lease {
            instance: plan.instance.clone(),
            pool: demand.pool.clone(),
        };
        self.leases.insert(lease, record);
        Some(Grant {
            lease,
            instance: plan.instance,
            address,
            connections,
            uncached_tokens: plan.footprint.uncached_tokens,
            copy_from: plan.copy_from,
            expected: plan.candidate.first_event,
            expectation: plan.candidate.expectation(),
            revision,
            list_age,
        })
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

    /// How the events of a stream came, told before its place is given back.
    pub fn note_pacing(&mut self, lease: LeaseId, pacing: &StreamPacing) {
        if let Some(lease) = self.leases.get(&lease) {
            self.back_ends.learn(&lease.instance, pacing);
        }
    }

    fn state_of(&mut self, lease: LeaseId) -> Option<&mut BackEndState> {
        let lease = self.leases.get(&lease)?;
        self.back_ends.get_mut(&lease.instance)
    }

    /// A place is given back. Returns the back ends whose standing changed.
    pub fn end(
        &mut self,
        lease: LeaseId,
        outcome: Outcome,
        now: Timestamp,
    ) -> Vec<(InstanceId, HealthChange)> {
        let Some(record) = self.leases.remove(&lease) else {
            return Vec::new();
        };
        let pool_share = self.pool_failure_share(&record);
        self.ended_lately.insert(record.instance.clone(), now);
        let Some(state) = self.back_ends.get_mut(&record.instance) else {
            return Vec::new();
        };
        state.load.end(lease, outcome, now);
        let change = state.health.record(outcome, pool_share, now);
        let own = change.map(|change| (record.instance.clone(), change));
        let zone = state.back_end.zone.clone();
        let mut changes: Vec<(InstanceId, HealthChange)> = own.into_iter().collect();
        if outcome == Outcome::Unreachable && zone != self.settings.zone {
            changes.extend(self.note_unreachable(zone, record.instance, now));
        }
        changes
    }

    /// Several back ends of another zone that can't be reached show that the way
    /// there is cut: the rest of them gets no work for a while either.
    fn note_unreachable(
        &mut self,
        zone: ZoneName,
        instance: InstanceId,
        now: Timestamp,
    ) -> Vec<(InstanceId, HealthChange)> {
        let lately = self.unreachable.entry(zone.clone()).or_default();
        lately.retain(|_, at| now.since(*at) < CUT_WINDOW);
        lately.insert(instance, now);
        if lately.len() < UNREACHABLE_FOR_CUT {
            return Vec::new();
        }
        let states = self.back_ends.all_mut();
        let there = states.filter(|state| state.back_end.zone == zone);
        there
            .filter_map(|state| {
                let change = state.health.suspect(now)?;
                Some((state.back_end.instance.clone(), change))
            })
            .collect()
    }

    fn pool_failure_share(&self, lease: &Lease) -> f64 {
        let states = self.back_ends.pool(&lease.pool);
        let others = states.filter(|state| state.back_end.instance != lease.instance);
        let shares: Vec<f64> = others.map(|state| state.health.failure_share()).collect();
        if shares.is_empty() {
            return 0.0;
        }
        shares.iter().sum::<f64>() / shares.len() as f64
    }

    /// Takes a peer's message in.
    pub fn receive(&mut self, address: SocketAddr, message: &Gossip, now: Timestamp) -> Received {
        let change = self.peers.heard(address, message, now);
        let sender = message.from.digest();
        let is_in_digest = message.zone != self.settings.zone && self.tells_zones_by_digest();
        let loads = if is_in_digest {
            &[]
        } else {
            &message.loads[..]
        };
        self.back_ends.take_loads(sender, loads, now);
        self.take_zone_digests(message, now);
        self.back_ends.take_placements(&message.placements);
        let taken = self.take_news(message);
        let knows_all = message.complete_to <= self.knowledge.complete_to()
            || (self.has_taken_all(message) && message.news.is_some());
        if let Some(age) = message.confirmed_ms
            && knows_all
        {
            let at = now - Span::from_milliseconds(u64::from(age));
            self.knowledge.confirm(message.complete_to, at);
        }
        Received {
            change,
            wants_answer: message.wants_answer,
            is_newer: !knows_all,
            taken,
        }
    }

    /// Whether the news of a message follow on what is known.
    fn has_taken_all(&self, message: &Gossip) -> bool {
        let news = message.news.as_ref();
        news.is_some_and(|news| news.after <= self.knowledge.complete_to())
    }

    fn take_news(&mut self, message: &Gossip) -> Vec<TakenNews> {
        let Some(news) = message.news.as_ref() else {
            return Vec::new();
        };
        let mut taken = Vec::new();
        for change in &news.changes {
            let applied = self.apply(change.clone());
            taken.push(TakenNews {
                key: change.key.clone(),
                kind: change.content.kind(),
                revision: change.revision,
                applied,
            });
        }
        taken
    }

    /// Whether this node reads the platform for its zone. One node of a zone does; the
    /// others follow one after the other, as long as nothing fresh is heard.
    pub fn reading_duty(&self, now: Timestamp) -> ReadingDuty {
        let rank = self.reader_rank();
        let is_due = match self.knowledge.confirmed_age(now) {
            Some(_) if self.is_appointed_reader(rank, now) => true,
            Some(age) => age > CONFIRMATION_LIMIT + PATIENCE_PER_READER * rank,
            None => self.uptime(now) >= self.start_patience(rank),
        };
        if is_due {
            ReadingDuty::Read
        } else {
            ReadingDuty::Follow
        }
    }

    /// Nodes of the zone that are to read before this one: living ones, in an order
    /// that all nodes compute alike.
    fn reader_rank(&self) -> u64 {
        let score = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), 0);
        let own_score = score(&self.settings.address);
        let others = self.peers.readers();
        let before = others.iter().filter(|address| score(address) >= own_score);
        before.count() as u64 + u64::from(self.is_stopping)
    }

    /// The first of its zone reads; the seeds do while a node knows too few others to
    /// tell who is first.
    fn is_appointed_reader(&self, rank: u64, now: Timestamp) -> bool {
        if self.uptime(now) < SETTLING_TIME {
            self.peers.is_seed()
        } else {
            rank == 0
        }
    }

    /// At a start the seeds read first: all nodes ask them, whoever else is known yet.
    fn start_patience(&self, rank: u64) -> Span {
        if self.peers.is_seed() {
            Span::ZERO
        } else if self.peers.living_count() == 0 {
            START_PATIENCE
        } else {
            START_PATIENCE_WITH_PEERS + START_PATIENCE_PER_READER * rank
        }
    }

    fn uptime(&self, now: Timestamp) -> Span {
        self.started
            .map_or(Span::ZERO, |started| now.since(started))
    }

    /// Figures for metrics.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let table = self.knowledge.table();
        let age = self.knowledge.confirmed_age(now);
        Snapshot {
            living_peers: self.peers.living_count(),
            back_ends: self.back_ends.all().count(),
            ejected: self
                .back_ends
                .all()
                .filter(|state| state.health.is_ejected(now))
                .count(),
            leases: self.leases.len(),
            complete_to: self.knowledge.complete_to(),
            table_version: table.map_or(0, |table| table.version()),
            confirmed_age_seconds: age.map_or(f64::INFINITY, |age| age.seconds()),
        }
    }
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
