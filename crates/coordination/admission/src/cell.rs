//! The admission queue and the state of its leases.

mod grants;
mod refusal;

use crate::back_end::{BackEndState, LoadReport};
use crate::estimate::{EventRate, MovingAverage, ResponseLengths};
use crate::selection::ClassState;
use crate::tenant_usage::TenantUsage;
use crate::{Ask, CellPolicy, Observation, Outcome, Ticket};
use eiderferry_config::Configuration;
use eiderferry_types::{
    BackEndId, CellId, ClassId, Incarnation, NodeId, Reason, Refusal, Span, TenantId, Tier,
    Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

pub use crate::tenant_usage::Allowance;
use refusal::MIN_RETRY_DELAY;

/// Weight of one lease in the moving averages of lease duration and time to first
/// token.
const LEASE_SAMPLE_WEIGHT: f64 = 0.05;
/// Lease duration assumed before any lease has completed, in microseconds.
const INITIAL_LEASE_DURATION_US: f64 = 4_000_000.0;
/// Time to first token assumed before any was observed, in microseconds.
const INITIAL_TIME_TO_FIRST_TOKEN_US: f64 = 200_000.0;

/// The lease of one slot.
#[derive(Clone, Debug)]
struct Lease {
    class: ClassId,
    tenant: TenantId,
    back_end: BackEndId,
    kv_tokens: u64,
    expected_tokens: u32,
    granted_at: Timestamp,
}

/// A decision of the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A slot was granted.
    Granted {
        /// Identifies the lease.
        ticket: Ticket,
        /// The back end on which the request may run.
        back_end: BackEndId,
        /// Class of the request.
        class: ClassId,
        /// Whether the slot was granted from the minimum share of the class.
        from_minimum_share: bool,
        /// Time that the request waited in the queue.
        wait_time: Span,
    },
    /// The request was refused a slot.
    Refused {
        /// The refused attempt.
        ticket: Ticket,
        /// Class of the request.
        class: ClassId,
        /// When the request reached the holder.
        arrived_at: Timestamp,
        /// The reason, and when to retry.
        refusal: Refusal,
    },
}

/// State of one class in a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSnapshot {
    /// The class.
    pub class: ClassId,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of running requests.
    pub running: u32,
}

/// State of a cell for operators and experiments.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSnapshot {
    /// Usable slots of all available back ends.
    pub total_slots: u32,
    /// Current leases.
    pub leases: usize,
    /// State of each class.
    pub classes: Vec<ClassSnapshot>,
    /// For each back end: id, running requests, slowness, whether it is leaving.
    pub back_ends: Vec<(BackEndId, u32, f64, bool)>,
}

/// The admission queue of one cell of back ends.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Identifies the cell.
    pub id: CellId,
    policy: CellPolicy,
    classes: BTreeMap<ClassId, ClassState>,
    back_ends: BTreeMap<BackEndId, BackEndState>,
    leases: BTreeMap<Ticket, Lease>,
    tenant_usage: TenantUsage,
    response_lengths: ResponseLengths<(ClassId, TenantId)>,
    lease_duration: MovingAverage,
    time_to_first_token: MovingAverage,
    /// Time of the last grant outside the minimum shares, for each tier.
    last_grant_outside_shares: BTreeMap<Tier, Timestamp>,
    /// Until this time a new holder grants no slots unless all back ends have reported
    /// their load.
    report_wait_until: Timestamp,
    /// Until this time a new holder collects repeated requests without granting any.
    collection_until: Timestamp,
    /// Back ends that have not reported their load since this holder took over.
    unreported: BTreeSet<BackEndId>,
    events: Vec<CellEvent>,
}

impl Cell {
    /// Creates a cell without back ends and classes.
    pub fn new(id: CellId, policy: CellPolicy) -> Self {
        Self {
            id,
            policy,
            classes: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            leases: BTreeMap::new(),
            tenant_usage: TenantUsage::default(),
            response_lengths: ResponseLengths::default(),
            lease_duration: MovingAverage::new(INITIAL_LEASE_DURATION_US, LEASE_SAMPLE_WEIGHT),
            time_to_first_token: MovingAverage::new(
                INITIAL_TIME_TO_FIRST_TOKEN_US,
                LEASE_SAMPLE_WEIGHT,
            ),
            last_grant_outside_shares: BTreeMap::new(),
            report_wait_until: Timestamp::default(),
            collection_until: Timestamp::default(),
            unreported: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Starts the takeover from an earlier holder, whose leases are not known yet: no
    /// slot is granted before the collection wait is over, nor before every back end
    /// has reported its load or the report wait is over.
    pub fn start_takeover(&mut self, now: Timestamp) {
        self.report_wait_until = now + self.policy.report_wait;
        self.collection_until = now + self.policy.collection_wait;
        self.unreported = self.back_ends.keys().copied().collect();
    }

    fn is_taking_over(&self, now: Timestamp) -> bool {
        let awaits_reports = now < self.report_wait_until && !self.unreported.is_empty();
        awaits_reports || now < self.collection_until
    }

    /// Applies a configuration. Waiting requests of removed classes are refused.
    pub fn configure(&mut self, now: Timestamp, configuration: &Configuration) {
        let listed_ids: BTreeSet<ClassId> =
            configuration.classes.iter().map(|class| class.id).collect();
        let removed_classes: Vec<ClassId> = self
            .classes
            .keys()
            .copied()
            .filter(|id| !listed_ids.contains(id))
            .collect();
        for class in removed_classes {
            self.refuse_class(class);
        }
        for class in &configuration.classes {
            let state = self.classes.entry(class.id).or_insert_with(|| ClassState {
                tier: class.tier,
                minimum_share: class.minimum_share,
                per_token_target: class.per_token_target(),
                assumed_answer_tokens: class.assumed_answer_tokens,
                queue: Default::default(),
                running: 0,
                arrival_rate: EventRate::new(now),
            });
            state.tier = class.tier;
            state.minimum_share = class.minimum_share;
            state.per_token_target = class.per_token_target();
            state.assumed_answer_tokens = class.assumed_answer_tokens;
        }
        if let Some(pool) = configuration.pool(self.id.pool) {
            for back_end in self.back_ends.values_mut() {
                back_end.set_limits(pool.slots_per_back_end, pool.kv_tokens_per_back_end);
            }
        }
        self.tenant_usage.clear_allowances();
    }

    fn refuse_class(&mut self, class: ClassId) {
        let Some(mut state) = self.classes.remove(&class) else {
            return;
        };
        for ask in state.queue.remove_where(|_| true) {
            self.refuse(&ask, Refusal::not_run(Reason::NoBackEnd, None));
        }
    }

    /// Sets the part of a tenant's limits that this cell may grant.
    pub fn set_allowance(&mut self, tenant: TenantId, allowance: Allowance) {
        self.tenant_usage.set_allowance(tenant, allowance);
    }

    /// Sets the back ends of this cell: id, slots, KV cache tokens, whether it is leaving.
    ///
    /// Leases on a removed back end stay until the entry nodes that own them release
    /// them.
    pub fn set_back_ends(&mut self, listed: &[(BackEndId, u32, u64, bool)]) {
        let listed_ids: BTreeSet<BackEndId> = listed.iter().map(|entry| entry.0).collect();
        self.back_ends.retain(|id, _| listed_ids.contains(id));
        for (id, slots, kv_tokens, leaving) in listed {
            let back_end = self
                .back_ends
                .entry(*id)
                .or_insert_with(|| BackEndState::new(*id, *slots, *kv_tokens));
            back_end.set_leaving(*leaving);
        }
    }

    /// The back ends of this cell.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndState> {
        self.back_ends.values()
    }

    /// Handles a request for a slot. A repeat with the same ticket gets no second
    /// slot; if the slot is already leased, the grant is sent again.
    pub fn ask(&mut self, now: Timestamp, ask: Ask) {
        if let Some(lease) = self.leases.get(&ask.ticket) {
            let event = CellEvent::Granted {
                ticket: ask.ticket,
                back_end: lease.back_end,
                class: lease.class,
                from_minimum_share: false,
                wait_time: Span::ZERO,
            };
            self.events.push(event);
            return;
        }
        let Some(state) = self.classes.get_mut(&ask.class) else {
            self.refuse(
                &ask,
                Refusal::not_run(Reason::NotReady, Some(MIN_RETRY_DELAY)),
            );
            return;
        };
        if state.queue.contains(&ask.ticket) {
            return;
        }
        state.arrival_rate.record(now);
        if let Some(refusal) = self.early_refusal(now, &ask) {
            self.refuse(&ask, refusal);
            return;
        }
        if self.waiting_count() >= self.policy.maximum_waiting && !self.displace_lower_tier(&ask) {
            let refusal =
                Refusal::not_run(Reason::QueueFull, Some(self.retry_after(now, ask.class)));
            self.refuse(&ask, refusal);
            return;
        }
        if let Some(state) = self.classes.get_mut(&ask.class) {
            state.queue.push(ask);
        }
        self.grant_free_slots(now);
    }

    /// Whether an attempt waits in the queue.
    pub fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.classes
            .values()
            .any(|state| state.queue.contains(ticket))
    }

    /// Entry nodes that own leases or waiting requests.
    pub fn entry_nodes(&self) -> BTreeSet<NodeId> {
        let waiting = self
            .classes
            .values()
            .flat_map(|state| state.queue.tickets());
        waiting
            .chain(self.leases.keys())
            .map(|ticket| ticket.request.node)
            .collect()
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, ticket: &Ticket) {
        for state in self.classes.values_mut() {
            if state.queue.remove(ticket).is_some() {
                return;
            }
        }
    }

    /// Releases a slot and updates the averages from its use.
    pub fn release(&mut self, now: Timestamp, ticket: &Ticket, observation: &Observation) {
        self.cancel(ticket);
        let Some(lease) = self.leases.remove(ticket) else {
            return;
        };
        self.free_lease(now, &lease, observation.tokens);
        if let Some(span) = observation.first_token {
            self.time_to_first_token.record(span.0 as f64);
        }
        if observation.outcome == Outcome::Completed {
            self.lease_duration
                .record(now.since(lease.granted_at).0 as f64);
            self.response_lengths
                .record((lease.class, lease.tenant), observation.tokens);
        }
        if let Some(back_end) = self.back_ends.get_mut(&lease.back_end) {
            back_end.observe(now, observation);
        }
        self.grant_free_slots(now);
    }

    fn free_lease(&mut self, now: Timestamp, lease: &Lease, used_tokens: u32) {
        if let Some(state) = self.classes.get_mut(&lease.class) {
            state.running = state.running.saturating_sub(1);
        }
        if let Some(back_end) = self.back_ends.get_mut(&lease.back_end) {
            back_end.free_slot(lease.kv_tokens);
        }
        self.tenant_usage
            .finish(lease.tenant, now, lease.expected_tokens, used_tokens);
    }

    /// Registers a lease that an earlier holder granted.
    pub fn register_lease(&mut self, now: Timestamp, ask: &Ask, back_end: BackEndId) {
        if self.leases.contains_key(&ask.ticket) {
            return;
        }
        self.cancel(&ask.ticket);
        if let Some(state) = self.back_ends.get_mut(&back_end) {
            state.remove_external_request();
        }
        self.lease(now, ask, back_end);
    }

    /// Drops the requests and leases of a node's incarnations other than `current`.
    pub fn remove_node(&mut self, now: Timestamp, node: NodeId, current: Option<Incarnation>) {
        let is_lost = |ticket: &Ticket| {
            ticket.request.node == node && Some(ticket.request.incarnation) != current
        };
        for state in self.classes.values_mut() {
            state.queue.remove_where(|ask| is_lost(&ask.ticket));
        }
        let lost: Vec<Ticket> = self.leases.keys().copied().filter(is_lost).collect();
        for ticket in lost {
            if let Some(lease) = self.leases.remove(&ticket) {
                self.free_lease(now, &lease, lease.expected_tokens);
            }
        }
        self.grant_free_slots(now);
    }

    /// Applies a back end's load report.
    pub fn apply_load_report(&mut self, now: Timestamp, back_end: BackEndId, report: &LoadReport) {
        if let Some(state) = self.back_ends.get_mut(&back_end) {
            state.apply_load_report(now, report);
        }
        self.unreported.remove(&back_end);
        self.grant_free_slots(now);
    }

    /// Records that a back end is polled for its load: after several unanswered polls
    /// it gets no new requests until it responds.
    pub fn record_poll(&mut self, back_end: BackEndId) {
        if let Some(state) = self.back_ends.get_mut(&back_end) {
            state.record_poll();
        }
    }

    /// Leases at least as old as `age`, so that the holder can ask the entry nodes
    /// whether they are still in use.
    pub fn leases_older_than(&self, now: Timestamp, age: Span) -> Vec<Ticket> {
        self.leases
            .iter()
            .filter(|(_, lease)| now.since(lease.granted_at) >= age)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Records the time per token observed while a response is still streaming.
    pub fn observe_time_per_token(
        &mut self,
        now: Timestamp,
        back_end: BackEndId,
        time_per_token: Span,
    ) {
        let observation = Observation {
            per_token: Some(time_per_token),
            ..Observation::UNUSED
        };
        if let Some(state) = self.back_ends.get_mut(&back_end) {
            state.observe(now, &observation);
        }
    }

    /// Applies cache events of a back end; `gap` means that some were lost, so that
    /// earlier knowledge of its cache is discarded.
    pub fn apply_cache_events(
        &mut self,
        back_end: BackEndId,
        gap: bool,
        stored: &[u32],
        removed: &[u32],
    ) {
        let Some(state) = self.back_ends.get_mut(&back_end) else {
            return;
        };
        if gap {
            state.prefixes.clear();
        }
        for hash in removed {
            state.prefixes.remove(*hash);
        }
        for hash in stored {
            state.prefixes.insert(*hash);
        }
    }

    /// Periodic work: updates slowness and slot limits, and refuses waiting requests
    /// that would miss their deadline.
    pub fn tick(&mut self, now: Timestamp) {
        self.update_slowness();
        self.adapt_slots();
        self.refuse_expired(now);
        self.grant_free_slots(now);
    }

    /// Drains the decisions made since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// Removes all waiting requests and returns their tickets, so that the entry nodes
    /// can send them to the next holder.
    pub fn drain_waiting(&mut self) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for state in self.classes.values_mut() {
            let removed = state.queue.remove_where(|_| true);
            tickets.extend(removed.into_iter().map(|ask| ask.ticket));
        }
        tickets
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.classes.values().map(|state| state.queue.len()).sum()
    }

    /// Number of current leases.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Running requests of each tenant. Tenants without running requests may be
    /// included with zero.
    pub fn tenants_running(&self) -> impl Iterator<Item = (TenantId, u32)> + '_ {
        self.tenant_usage.running_by_tenant()
    }

    /// Usable slots of all available back ends.
    pub fn total_slots(&self, now: Timestamp) -> u32 {
        self.back_ends
            .values()
            .filter(|back_end| back_end.is_available(now))
            .map(BackEndState::usable_slots)
            .sum()
    }

    /// The state of the cell for operators and experiments.
    pub fn snapshot(&self, now: Timestamp) -> CellSnapshot {
        let classes = self.classes.iter().map(|(class, state)| ClassSnapshot {
            class: *class,
            waiting: state.queue.len(),
            running: state.running,
        });
        let back_ends = self.back_ends.values().map(|back_end| {
            (
                back_end.id,
                back_end.running(),
                back_end.slowness(),
                back_end.is_leaving(),
            )
        });
        CellSnapshot {
            total_slots: self.total_slots(now),
            leases: self.leases.len(),
            classes: classes.collect(),
            back_ends: back_ends.collect(),
        }
    }
}
