//! Leases on back ends: grants, refusals and releases.

use super::Dispatcher;
use super::quarantine::QuarantineChanges;
use super::rate_limits::FLEET_SETTLING_TIME;
use super::replicas::ReplicaLease;
use crate::load::health::HealthChange;
use crate::load::registry::BackEndState;
use crate::placement::eligibility::refusal_reason;
use crate::placement::planning::{Plan, Plans, plans};
use crate::placement::replication::may_take_over;
use crate::placement::view::View;
use crate::{
    Candidate, Decision, Demand, Grant, LeaseId, Outcome, Placement, PromptPart, RetryBudget,
    StreamPacing, cheapest,
};
use eiderferry_quarantine::SharedParts;
use eiderferry_routing::{InstanceId, PoolName, ZoneName};
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};

/// Share of a back end's connection limit that all nodes together use.
const CONNECTION_SHARE: f64 = 0.8;
/// Share of these connections that is divided by the requests of each node. The shares of all
/// nodes add up to it as far as they know of each other's requests, and connections that nodes with
/// few requests keep idle fit beside it.
const CONNECTION_SHARE_BY_REQUESTS: f64 = 0.5;
/// Connections that each node may hold, however many nodes there are.
const MIN_CONNECTIONS: u32 = 4;
/// Retry delay of a request for which there is no back end.
const NO_BACK_END_RETRY: Span = Span::from_milliseconds(500);
/// Retry delay of a request for which all back ends are cold or evacuated: another node may be a
/// sender, and each sender sends again after 1.3 s.
const COLD_OR_EVACUATED_RETRY: Span = Span::from_milliseconds(1_000);
/// Retry delay of a request whose allowed regions have no back ends: only a configuration change
/// helps.
const REGION_RETRY: Span = Span::from_milliseconds(5_000);
/// Retry delay of a request refused for load.
const OVERLOAD_RETRY: Span = Span::from_milliseconds(400);
/// Number of back ends of one zone that must fail to respond within [`PARTITION_WINDOW`] for the
/// zone to count as partitioned from this one.
const PARTITION_MIN_UNREACHABLE: usize = 2;
/// Share of a zone's back ends that must fail for the same if some of them refuse connections
/// instead. A refusal comes from a machine that is reachable, and several crashed back ends are
/// more common than a partition that refuses connections.
const PARTITION_REFUSING_SHARE: f64 = 0.6;
/// Time for which a failed connection to a back end of another zone counts.
const PARTITION_WINDOW: Span = Span::from_milliseconds(3_000);
/// Requests at a back end, as a multiple of its slots, beyond which none of the least urgent tier
/// is added: a request that waits longer misses its target anyway.
const MAX_LOAD_FACTOR: f64 = 1.3;
/// The same for the most urgent tier. It is higher because no less urgent request may start while
/// this tier is refused, and because nodes see each other's requests with a delay of some hundred
/// milliseconds.
const MAX_LOAD_FACTOR_MOST_URGENT: f64 = 2.0;

/// Time after a request's deadline in which its holder may still release the lease: callers get
/// their final replies then, and a paused holder may resume.
const LEASE_MARGIN: Span = Span::from_milliseconds(5_000);
/// Ticks between two scans for expired leases.
const EXPIRY_TICKS: u64 = 10;

/// A slot at a back end, held by a request.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) instance: InstanceId,
    /// Start time of the back end's run, if the back end states it.
    pub(super) started_unix_ms: Option<u64>,
    replica: Option<ReplicaLease>,
    request: RequestDigest,
    shared_parts: SharedParts,
    /// Whether an event of the response has arrived; always true for a request that isn't streamed.
    has_events: bool,
    pub(super) granted_at: Timestamp,
    /// When the lease is released even if its holder has not done so.
    expires_at: Timestamp,
}

/// A lease that its holder did not release within the request's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredLease {
    /// The lease.
    pub lease: LeaseId,
    /// Its back end.
    pub instance: InstanceId,
}

/// A failed connection to a back end of another zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedConnection {
    is_refusal: bool,
    failed_at: Timestamp,
}

/// Changes caused by the release of a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRelease {
    /// Back ends whose health changed.
    pub health_changes: Vec<(InstanceId, HealthChange)>,
    /// Requests and prompt parts that are no longer held to crash back ends.
    pub quarantine_changes: QuarantineChanges,
}

impl Dispatcher {
    fn retry_budget(&mut self, pool: &PoolName) -> &mut RetryBudget {
        let settings = self.settings.retry_budget;
        self.retry_budgets
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::new(settings))
    }

    /// Counts a caller's request for a pool, which adds to the pool's retry budget.
    pub fn count_request(&mut self, pool: &PoolName, now: Timestamp) {
        self.retry_budget(pool).record_request(now);
    }

    /// Chooses a back end for a request and leases it, or refuses the request.
    pub fn dispatch(&mut self, demand: &Demand, now: Timestamp) -> Decision {
        if let Some(refusal) = self.refuse_crashing(demand, now) {
            return refusal;
        }
        let shared = demand.shared_parts().iter().map(|part| part.id);
        self.restore_cached(shared, now);
        let cold_start = self.cold_start(&demand.pool);
        let home_scope = self.home_scope(&demand.pool);
        let view = View {
            zone: &self.settings.zone,
            silent_zones: &self.silent_zones,
            regions: &self.settings.regions,
            evacuated_zones: &self.evacuated_zones,
            cold_start,
            round_trips: &self.round_trips,
            home_scope,
            costs_locality: self.settings.features.locality_costs,
            now,
        };
        if let Some(holder) = &demand.required_instance
            && !may_take_over(&self.back_ends, &view, demand, holder)
        {
            return Decision::Refuse(Reason::NoBackEnd, NO_BACK_END_RETRY);
        }
        let Plans {
            mut plans,
            examined_count,
        } = plans(&self.back_ends, &view, demand, &mut self.random);
        self.examined_back_ends += examined_count as u64;
        let candidates: Vec<Candidate> = plans.iter().map(|plan| plan.candidate).collect();
        let Some(index) = cheapest(&candidates) else {
            let reason = refusal_reason(&self.back_ends, &view, demand);
            return Decision::Refuse(reason, self.retry_after(reason, demand, now));
        };
        let candidate = candidates[index];
        // No limit applies to a takeover: the engine that holds the replica admits the request
        // before all others.
        let is_takeover = demand.required_instance.is_some();
        if !is_takeover && self.is_full(&plans[index].instance, &candidate, demand, now) {
            return Decision::Refuse(Reason::QueueFull, OVERLOAD_RETRY);
        }
        let mut retry_source = None;
        if demand.is_retry {
            let nodes = self.allowance_nodes(now);
            retry_source = self.retry_budget(&demand.pool).try_spend(now, nodes);
            if retry_source.is_none() {
                return Decision::Refuse(Reason::RetryBudget, NO_BACK_END_RETRY);
            }
        }
        let plan = plans.swap_remove(index);
        match self.grant(plan, demand, now) {
            Some(grant) => Decision::Grant(Grant {
                retry_source,
                ..grant
            }),
            None => Decision::Refuse(Reason::NoBackEnd, NO_BACK_END_RETRY),
        }
    }

    /// Number of nodes that share the allowance for retries; `None` if this process may not use it
    /// yet.
    fn allowance_nodes(&self, now: Timestamp) -> Option<u32> {
        let window = self.settings.retry_budget.window;
        let has_settled = self.uptime(now) > window.max(FLEET_SETTLING_TIME);
        let zones = self.settings.regions.keys();
        (has_settled && self.peers.has_heard_fleet(zones)).then(|| self.peers.max_known())
    }

    /// Whether a back end has too many requests to add this one.
    fn is_full(
        &mut self,
        instance: &InstanceId,
        candidate: &Candidate,
        demand: &Demand,
        now: Timestamp,
    ) -> bool {
        let limit = f64::from(self.max_running(demand, candidate.slots));
        let Some(state) = self.back_ends.get_mut(instance) else {
            return false;
        };
        let batches = state.load.batches_within(demand.target);
        let limit = limit.max(batches * f64::from(candidate.slots));
        state.load.smoothed_concurrency(candidate.running, now) >= limit
    }

    /// Number of requests at a back end from which on this one is not added.
    fn max_running(&self, demand: &Demand, slots: u32) -> u32 {
        let table = self.document_store.table();
        let share = table.map_or(0.0, |table| {
            table.less_urgent_share(&demand.pool, demand.rank)
        });
        let load_factor = MAX_LOAD_FACTOR + (MAX_LOAD_FACTOR_MOST_URGENT - MAX_LOAD_FACTOR) * share;
        let limit = (f64::from(slots) * load_factor).ceil() as u32;
        limit.max(slots + 1)
    }

    fn grant(&mut self, plan: Plan, demand: &Demand, now: Timestamp) -> Option<Grant> {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let connections = self.connection_limit(&demand.pool, &plan.instance, now);
        let revision = self
            .document_store
            .version_vector()
            .newest()
            .unwrap_or_default();
        let list_age = self.document_store.confirmed_age(now).unwrap_or(Span::ZERO);
        let exposure = plan.footprint.exposure;
        self.back_ends.record_exposure(&demand.pool, exposure);
        let state = self.back_ends.get_mut(&plan.instance)?;
        state.load.add_request(lease, plan.footprint, now);
        state.warmup.record_sent(now);
        let has_limit = state.limiter.limit().is_some();
        state.limiter.record_sent(now);
        let cache_observation_age = state.load.cache.observation_age(demand.shared_parts(), now);
        let prefilled_at = now + plan.candidate.time_to_first_event;
        state.load.cache.insert(&demand.parts, prefilled_at);
        state.load.cache.record_shared(demand.shared_parts());
        let output_tokens = u64::from(demand.output_tokens);
        state.load.cache.insert_unshared(output_tokens);
        let address = state.back_end.address;
        let started_unix_ms = state.back_end.started_unix_ms;
        let version = state.back_end.version.clone();
        let digest = state.digest;
        let placements = placements(digest, demand.shared_parts());
        self.back_ends.record_holder(demand.shared_parts(), digest);
        self.queue_placements(&placements);
        let replica_lease = self.replicate(demand, &plan.instance, now);
        let replica = replica_lease
            .as_ref()
            .map(|lease| Box::new(lease.target.clone()));
        let record = Lease {
            instance: plan.instance.clone(),
            started_unix_ms,
            replica: replica_lease,
            request: demand.digest,
            shared_parts: demand.shared_parts.clone(),
            has_events: !demand.is_stream,
            granted_at: now,
            expires_at: now + demand.remaining + LEASE_MARGIN,
        };
        self.leases.insert(lease, record);
        Some(Grant {
            lease,
            instance: plan.instance,
            address,
            version,
            connections,
            uncached_tokens: plan.footprint.uncached_tokens,
            cache_observation_age,
            copy_from: plan.copy_from,
            replica,
            has_limit,
            retry_source: None,
            candidate: Box::new(plan.candidate),
            revision,
            list_age,
        })
    }

    /// Delay after which a refused request is worth retrying.
    fn retry_after(&self, reason: Reason, demand: &Demand, now: Timestamp) -> Span {
        match reason {
            Reason::RegionNotAllowed => REGION_RETRY,
            Reason::ColdBackEnds | Reason::ZoneEvacuated => COLD_OR_EVACUATED_RETRY,
            // The backoff applies to this node only: a caller that retries soon may reach another
            // node.
            Reason::BackEndsBackingOff => {
                let backoff = self.back_ends.min_backoff(&demand.pool, now);
                backoff.map_or(NO_BACK_END_RETRY, |backoff| backoff.min(NO_BACK_END_RETRY))
            }
            // The limits apply to all nodes together: no other node accepts the request sooner.
            Reason::BackEndsLimited => {
                let interval = self.back_ends.limited_interval(&demand.pool);
                interval.unwrap_or_default().max(NO_BACK_END_RETRY)
            }
            _ => NO_BACK_END_RETRY,
        }
    }

    /// Connections that this node may hold to a back end: an even share, or more if it has more of
    /// the requests that run there than other nodes.
    fn connection_limit(&self, pool: &PoolName, instance: &InstanceId, now: Timestamp) -> u32 {
        let table = self.document_store.table();
        let maximum = table
            .and_then(|table| table.pool(pool))
            .map_or(MIN_CONNECTIONS, |pool| pool.maximum_connections);
        let usable = f64::from(maximum) * CONNECTION_SHARE;
        let even_share = (usable / f64::from(self.peers.max_known())) as u32;
        let load = self.back_ends.get(instance).map(|state| &state.load);
        let request_share = load.map_or(0.0, |load| {
            // With the request that is being placed.
            let own = f64::from(load.own_running() + 1);
            own / f64::from(load.occupancy(now).running + 1).max(own)
        });
        let by_requests = (usable * CONNECTION_SHARE_BY_REQUESTS * request_share) as u32;
        even_share.max(by_requests).max(MIN_CONNECTIONS)
    }

    /// Records that the first event, or the whole response, of a request arrived.
    pub fn record_first_event(&mut self, lease: LeaseId, now: Timestamp) {
        if let Some(state) = self.leased_back_end(lease) {
            state.load.record_first_event(lease, now);
        }
    }

    /// Records that events of a stream keep arriving [`SOUND_WRITING_TIME`] after its first one.
    pub fn record_writing(&mut self, lease: LeaseId, now: Timestamp) -> QuarantineChanges {
        let Some(lease) = self.leases.get(&lease) else {
            return QuarantineChanges::default();
        };
        let parts = lease.shared_parts.clone();
        self.record_sound_run(&parts, now)
    }

    /// Records the pacing of a stream's events; to be called before its lease is released.
    pub fn record_pacing(&mut self, lease: LeaseId, pacing: &StreamPacing) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.has_events |= pacing.events() > 0;
            self.back_ends.observe_stream(&lease.instance, pacing);
        }
    }

    fn leased_back_end(&mut self, lease: LeaseId) -> Option<&mut BackEndState> {
        let lease = self.leases.get(&lease)?;
        self.back_ends.get_mut(&lease.instance)
    }

    /// Releases a lease and records the outcome of its request.
    pub fn release(&mut self, lease: LeaseId, outcome: Outcome, now: Timestamp) -> LeaseRelease {
        let Some(record) = self.leases.remove(&lease) else {
            return LeaseRelease::default();
        };
        // A stream that ends without an event may have been cut short by a crash.
        let completed_with_events = outcome == Outcome::Completed && record.has_events;
        let quarantine_changes = if completed_with_events {
            self.record_completed(record.request, &record.shared_parts, now)
        } else {
            QuarantineChanges::default()
        };
        LeaseRelease {
            health_changes: self.record_back_end_outcome(&record, outcome, lease, now),
            quarantine_changes,
        }
    }

    /// Releases leases whose requests' time ended long ago: a lease that its holder lost would
    /// otherwise count towards the back end's load, on all nodes, for the lifetime of this process.
    pub(super) fn expire_leases(&mut self, now: Timestamp) -> Vec<ExpiredLease> {
        if !self.ticks.is_multiple_of(EXPIRY_TICKS) {
            return Vec::new();
        }
        let overdue = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now);
        let expired: Vec<ExpiredLease> = overdue
            .map(|(lease, record)| ExpiredLease {
                lease: *lease,
                instance: record.instance.clone(),
            })
            .collect();
        for expired_lease in &expired {
            self.release(expired_lease.lease, Outcome::Abandoned, now);
        }
        expired
    }

    /// Records an outcome at its back end. Returns the back ends whose health changed.
    fn record_back_end_outcome(
        &mut self,
        record: &Lease,
        outcome: Outcome,
        lease: LeaseId,
        now: Timestamp,
    ) -> Vec<(InstanceId, HealthChange)> {
        if let Some(replica_lease) = &record.replica {
            self.release_replica(replica_lease);
        }
        let state = self.back_ends.get(&record.instance);
        if state.is_none_or(|state| state.back_end.started_unix_ms != record.started_unix_ms) {
            // The leased run has ended: the outcome shows nothing about the run that has its name
            // now.
            return Vec::new();
        }
        self.recently_released.insert(record.instance.clone(), now);
        let change = self
            .back_ends
            .record_outcome(&record.instance, outcome, now);
        let own_change = change.map(|change| (record.instance.clone(), change));
        let Some(state) = self.back_ends.get_mut(&record.instance) else {
            return Vec::new();
        };
        state.load.finish_request(lease, outcome, now);
        let zone = state.back_end.zone.clone();
        let mut changes: Vec<(InstanceId, HealthChange)> = own_change.into_iter().collect();
        let is_unreachable = matches!(outcome, Outcome::Unreachable | Outcome::ConnectionRefused);
        // A back end that a prompt part crashed shows nothing about the path to its zone.
        let has_crashed = self.part_quarantine.has_crashed(state.digest, now);
        if is_unreachable && !has_crashed && zone != self.settings.zone {
            let failure = FailedConnection {
                is_refusal: outcome == Outcome::ConnectionRefused,
                failed_at: now,
            };
            changes.extend(self.record_failed_connection(zone, record.instance.clone(), failure));
        }
        changes
    }

    /// Records a failed connection to another zone. Several of them show that the zone is
    /// partitioned from this one: all of its back ends are ejected then.
    fn record_failed_connection(
        &mut self,
        zone: ZoneName,
        instance: InstanceId,
        failure: FailedConnection,
    ) -> Vec<(InstanceId, HealthChange)> {
        let now = failure.failed_at;
        let recent = self.failed_connections.entry(zone.clone()).or_default();
        recent.retain(|_, failure| now.since(failure.failed_at) < PARTITION_WINDOW);
        recent.insert(instance, failure);
        let refusing = recent.values().filter(|failure| failure.is_refusal).count();
        let timed_out = recent.len() - refusing;
        let states = self.back_ends.all_mut();
        let in_zone = states.filter(|state| state.back_end.zone == zone);
        let in_zone: Vec<&mut BackEndState> = in_zone.collect();
        let is_partitioned = timed_out >= PARTITION_MIN_UNREACHABLE
            || (recent.len() >= PARTITION_MIN_UNREACHABLE
                && recent.len() as f64 >= PARTITION_REFUSING_SHARE * in_zone.len() as f64);
        if !is_partitioned {
            return Vec::new();
        }
        in_zone
            .into_iter()
            .filter_map(|state| {
                let change = state.health.eject_if_active(now)?;
                Some((state.back_end.instance.clone(), change))
            })
            .collect()
    }
}

fn placements(back_end: u32, parts: &[PromptPart]) -> Vec<Placement> {
    let parts = parts.iter().rev();
    let placements = parts.map(|part| Placement {
        back_end,
        part: part.id,
        tokens: part.tokens,
        is_observed: false,
    });
    placements.collect()
}
