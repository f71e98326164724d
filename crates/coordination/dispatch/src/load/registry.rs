//! The known back ends, with this node's state for each of them.

mod notices;

use crate::load::back_end_load::LoadScope;
use crate::load::cold_start::WarmupState;
use crate::load::health::{Health, HealthChange};
use crate::load::holders::Holders;
use crate::load::limit_notices::LimitNotices;
use crate::load::limiter::Limiter;
use crate::load::notices::{Notice, Notices};
use crate::load::pool_index::{HashGroups, PoolIndex};
use crate::placement::planning::DELAY_SENSITIVE_PROBABILITY;
use crate::placement::pool_split::{PoolLoad, PoolSplit, RankedEngine, SplitChange};
use crate::placement::stream_isolation::should_isolate_streams;
use crate::{
    BackEndLoad, LoadReport, LoadSource, Outcome, Placement, PoolModel, PrefixCache, PromptPart,
    Revision, StreamPacing,
};
use eiderferry_routing::{
    BackEnd, EngineSpecification, InstanceId, PartId, PoolName, RoutingTable, ZoneName,
};
use eiderferry_types::Timestamp;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Memory of a back end that is not a model engine, in tokens.
const NO_ENGINE_TOKENS: u64 = 0;
/// Number of tokens whose prefill time is used to compute an engine's prefill rate; it is large
/// enough to make rounding negligible.
const PREFILL_SAMPLE_TOKENS: u64 = 100_000;

/// One in this many parts is sampled to estimate the cached tokens of a pool: 100 parts at each
/// of 320 engines are then counted in 0.1 ms.
const PART_SAMPLING_INTERVAL: u64 = 8;

/// Maximum number of shared parts collected between two calls of `drain_recent_placements`.
const MAX_RECENT_PLACEMENTS: usize = 512;

/// One back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEndState {
    pub back_end: BackEnd,
    pub digest: u32,
    pub load: BackEndLoad,
    pub health: Health,
    pub warmup: WarmupState,
    /// What it has stated about itself in its responses.
    pub notice: Notice,
    /// Its stated rate limit, and this node's role for it.
    pub limiter: Limiter,
}

impl BackEndState {
    /// Whether it accepts new requests at all. Its own notice has the same effect as the list:
    /// the list is not updated during an outage of the platform, and requests sent to a back end
    /// that is shutting down are lost when it exits.
    pub fn accepts_work(&self) -> bool {
        !self.back_end.draining && !self.notice.is_leaving && !self.health.is_replaced()
    }
}

/// All back ends. Of the back ends listed with the same address only the newest is kept: a run
/// that has ended may stay listed for a while, and its address may now serve another pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    states: HashMap<InstanceId, BackEndState>,
    pools: HashMap<PoolName, PoolIndex>,
    by_address: HashMap<SocketAddr, (Revision, InstanceId)>,
    by_digest: HashMap<u32, InstanceId>,
    reported_digests: HashMap<LoadScope, Vec<u32>>,
    models: HashMap<PoolName, PoolModel>,
    stream_isolation: HashMap<PoolName, bool>,
    splits: HashMap<PoolName, PoolSplit>,
    /// Shared parts placed at any back end since they were last drained.
    recent_placements: Vec<PartId>,
    holders: Holders,
    notices: Notices,
    limit_notices: LimitNotices,
    /// Incremented when a back end is added, changed or removed.
    version: u64,
    /// Sums of the back ends' shares of failures observed by this node, by pool.
    failure_sums: HashMap<PoolName, f64>,
}

fn instance_digest(instance: &InstanceId) -> u32 {
    instance.digest() as u32
}

fn engine<'a>(table: Option<&'a RoutingTable>, pool: &PoolName) -> Option<&'a EngineSpecification> {
    table?.pool(pool)?.engine.as_ref()
}

fn engine_tokens(table: Option<&RoutingTable>, pool: &PoolName) -> u64 {
    engine(table, pool).map_or(NO_ENGINE_TOKENS, |engine| engine.cache_tokens)
}

/// Total load of some back ends of a pool.
fn pool_load<'a>(states: impl Iterator<Item = &'a BackEndState>, now: Timestamp) -> PoolLoad {
    let mut load = PoolLoad::default();
    let mut total_prefill_rate = 0.0;
    for state in states {
        let occupancy = state.load.occupancy(now);
        load.engines += 1;
        load.slots += state.back_end.slots;
        load.memory_tokens += state.load.cache.memory_tokens();
        load.running += occupancy.running;
        load.exposed_streams += occupancy.exposed_streams;
        load.long_prefills += occupancy.long_prefills;
        load.unshared_tokens += occupancy.unshared_tokens;
        total_prefill_rate +=
            PREFILL_SAMPLE_TOKENS as f64 / state.load.prefill_time(PREFILL_SAMPLE_TOKENS).seconds();
    }
    load.prefill_tokens_per_second = total_prefill_rate / f64::from(load.engines.max(1));
    load
}

impl Registry {
    pub fn get(&self, instance: &InstanceId) -> Option<&BackEndState> {
        self.states.get(instance)
    }

    pub fn get_mut(&mut self, instance: &InstanceId) -> Option<&mut BackEndState> {
        self.states.get_mut(instance)
    }

    /// Back ends of a pool, sorted by instance.
    pub fn pool(&self, pool: &PoolName) -> impl Iterator<Item = &BackEndState> {
        let index = self.pools.get(pool);
        let instances = index.into_iter().flat_map(PoolIndex::members);
        instances.filter_map(|instance| self.states.get(instance))
    }

    /// A number that changes whenever a back end is added, changed or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Back ends of one zone.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a BackEndState> {
        let pools = self.pools.values();
        let groups = pools.filter_map(|index| index.in_zone(zone));
        let instances = groups.flat_map(HashGroups::members);
        instances.filter_map(|instance| self.states.get(instance))
    }

    /// Number of back ends of a pool.
    pub fn pool_size(&self, pool: &PoolName) -> usize {
        self.pools
            .get(pool)
            .map_or(0, |index| index.members().len())
    }

    /// The back ends of a pool, indexed for lookups.
    pub fn pool_index(&self, pool: &PoolName) -> Option<&PoolIndex> {
        self.pools.get(pool)
    }

    /// Back ends of a pool that were recently given a shared part, most recent first.
    pub fn holders<'a>(
        &'a self,
        part: PartId,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let holders = self.holders.latest_holders(part);
        let instances = holders.filter_map(|digest| self.by_digest.get(&digest));
        instances.filter(|instance| {
            let state = self.states.get(*instance);
            state.is_some_and(|state| state.back_end.pool == *pool)
        })
    }

    /// Records which back end was given the shared parts of a prompt.
    pub fn record_holder(&mut self, parts: &[PromptPart], back_end: u32) {
        for part in parts {
            self.holders.record(part.id, back_end);
        }
    }

    /// Records the outcome of a request at a back end. Returns the resulting change in its
    /// health, if any.
    pub fn record_outcome(
        &mut self,
        instance: &InstanceId,
        outcome: Outcome,
        now: Timestamp,
    ) -> Option<HealthChange> {
        let state = self.states.get_mut(instance)?;
        let pool = &state.back_end.pool;
        let others = self.pools.get(pool)?.members().len().saturating_sub(1);
        let sum = self.failure_sums.entry(pool.clone()).or_default();
        let before = state.health.failure_share();
        // The sum is maintained so that the cost of an outcome doesn't depend on the size of the
        // pool.
        let sum_of_others = (*sum - before).max(0.0);
        let pool_share = if others == 0 {
            0.0
        } else {
            sum_of_others / others as f64
        };
        let change = state.health.record(outcome, pool_share, now);
        *sum = sum_of_others + state.health.failure_share();
        change
    }

    pub fn all(&self) -> impl Iterator<Item = &BackEndState> {
        self.states.values()
    }

    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut BackEndState> {
        self.states.values_mut()
    }

    /// Adds or updates a back end that was listed at `revision` and was received now. A back end
    /// that has restarted under the same name is replaced.
    pub fn upsert(
        &mut self,
        back_end: BackEnd,
        revision: Revision,
        table: Option<&RoutingTable>,
        now: Timestamp,
    ) {
        self.version += 1;
        let instance = back_end.instance.clone();
        let cold_remaining = back_end.cold_remaining;
        if let Some((newest, registered)) = self.by_address.get(&back_end.address) {
            let is_other = *registered != instance;
            if is_other && *newest > revision {
                self.remove(&instance);
                return;
            }
            if is_other {
                let registered = registered.clone();
                self.remove(&registered);
            }
        }
        let must_replace = self.states.get(&instance).is_some_and(|state| {
            state.back_end.pool != back_end.pool
                || state.back_end.address != back_end.address
                || state.back_end.zone != back_end.zone
                || back_end.is_different_run(&state.back_end)
        });
        if must_replace {
            self.remove(&instance);
        }
        self.by_address
            .insert(back_end.address, (revision, instance.clone()));
        match self.states.get_mut(&instance) {
            Some(state) => state.back_end = back_end,
            None => self.add(back_end, table),
        }
        if let Some(state) = self.states.get_mut(&instance) {
            state.warmup.set_listed(cold_remaining, now);
        }
    }

    fn add(&mut self, back_end: BackEnd, table: Option<&RoutingTable>) {
        let instance = back_end.instance.clone();
        let digest = instance_digest(&instance);
        let tokens = engine_tokens(table, &back_end.pool);
        let model = self.models.entry(back_end.pool.clone());
        let model = model.or_insert_with(|| PoolModel::new(engine(table, &back_end.pool)));
        let speed = model.engine_speed();
        let pool = self.pools.entry(back_end.pool.clone()).or_default();
        pool.add(digest, &instance, &back_end.zone);
        self.by_digest.insert(digest, instance.clone());
        let mut limiter = Limiter::default();
        limiter.set_notice(self.limit_notices.notice_of(digest, &back_end));
        let state = BackEndState {
            digest,
            load: BackEndLoad::new(tokens, speed),
            health: Health::default(),
            warmup: WarmupState::default(),
            notice: self.notices.notice_of(&back_end),
            limiter,
            back_end,
        };
        self.states.insert(instance, state);
    }

    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(state) = self.states.remove(instance) else {
            return;
        };
        self.version += 1;
        self.by_digest.remove(&state.digest);
        if let Some(pool) = self.pools.get_mut(&state.back_end.pool) {
            pool.remove(state.digest, instance, &state.back_end.zone);
        }
        if let Some(sum) = self.failure_sums.get_mut(&state.back_end.pool) {
            *sum = (*sum - state.health.failure_share()).max(0.0);
        }
        let address = state.back_end.address;
        let registered = self.by_address.get(&address);
        if registered.is_some_and(|(_, holder)| holder == instance) {
            self.by_address.remove(&address);
        }
    }

    /// Number of software versions in the pool with the most of them.
    pub fn max_software_versions(&self) -> usize {
        let versions = self.pools.keys().map(|pool| {
            let versions = self
                .pool(pool)
                .filter_map(|state| state.back_end.version.as_ref());
            versions.collect::<HashSet<_>>().len()
        });
        versions.max().unwrap_or(0)
    }

    /// Names of the pools that have, or had, back ends.
    pub fn pool_names(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// The model learned for a pool's engines; `None` before one of them is listed.
    pub fn model(&self, pool: &PoolName) -> Option<&PoolModel> {
        self.models.get(pool)
    }

    /// Whether some engines of a pool are reserved for streams that long prompts would delay.
    pub fn isolates_streams(&self, pool: &PoolName) -> bool {
        self.stream_isolation.get(pool).copied().unwrap_or(false)
    }

    /// Updates which pools isolate such streams, based on their current load.
    pub fn update_stream_isolation(&mut self, now: Timestamp) {
        for (pool, index) in &self.pools {
            let states = index
                .members()
                .iter()
                .filter_map(|instance| self.states.get(instance));
            let (mut exposed, mut slots) = (0.0, 0);
            for state in states {
                exposed += state.load.occupancy(now).exposed_streams;
                slots += state.back_end.slots;
            }
            let before = self.stream_isolation.get(pool).copied().unwrap_or(false);
            let is_isolated = should_isolate_streams(exposed, slots, before);
            self.stream_isolation.insert(pool.clone(), is_isolated);
        }
    }

    /// Estimates, from a sample, the total tokens of the distinct prompt parts that the engines
    /// of a pool are believed to have cached.
    pub fn cached_tokens(&self, pool: &PoolName) -> u64 {
        let mut sampled = HashMap::new();
        for state in self.pool(pool) {
            let parts = state.load.cache.parts_with_lengths();
            sampled.extend(parts.filter(|(part, _)| part.0 % PART_SAMPLING_INTERVAL == 0));
        }
        let tokens: u64 = sampled.values().map(|tokens| u64::from(*tokens)).sum();
        tokens * PART_SAMPLING_INTERVAL
    }

    /// The split of a pool's engines between streams and long prompts, if pools are split by
    /// load.
    pub fn split(&self, pool: &PoolName) -> Option<&PoolSplit> {
        self.splits.get(pool)
    }

    /// Records the exposure of a request that was placed.
    pub fn record_exposure(&mut self, pool: &PoolName, exposure: f64) {
        if exposure < DELAY_SENSITIVE_PROBABILITY {
            return;
        }
        if let Some(split) = self.splits.get_mut(pool) {
            split.record_exposure(exposure);
        }
    }

    /// All splits.
    pub fn splits(&self) -> impl Iterator<Item = &PoolSplit> {
        self.splits.values()
    }

    /// Updates the splits from the load of the back ends for which `is_usable` holds, `seconds`
    /// after the previous update. Returns the splits whose border between the two kinds of
    /// engines has moved.
    pub fn update_splits(
        &mut self,
        is_usable: impl Fn(&BackEndState) -> bool,
        seconds: f64,
        now: Timestamp,
    ) -> Vec<SplitChange> {
        let mut changes = Vec::new();
        self.splits.retain(|pool, _| self.pools.contains_key(pool));
        for (pool, index) in &self.pools {
            let listed = index.members().iter();
            let listed = listed.filter_map(|instance| self.states.get(instance));
            let states: Vec<&BackEndState> = listed.collect();
            let ranked: Vec<RankedEngine> = states
                .iter()
                .map(|state| RankedEngine {
                    digest: state.digest,
                    zone: &state.back_end.zone,
                })
                .collect();
            let placed = states.iter().map(|state| state.load.placed_by_all()).sum();
            let load = pool_load(states.into_iter().filter(|state| is_usable(state)), now);
            let split = self.splits.entry(pool.clone()).or_default();
            if split.update(&ranked, load, placed, seconds) {
                changes.push(SplitChange {
                    pool: pool.clone(),
                    stats: split.stats(),
                });
            }
        }
        changes
    }

    /// Learns from a stream that ended at a back end.
    pub fn observe_stream(&mut self, instance: &InstanceId, pacing: &StreamPacing) {
        let Some(state) = self.states.get_mut(instance) else {
            return;
        };
        let pool = &state.back_end.pool;
        // What the pool has learned since the engine was listed must not count as a difference
        // between the engine and its pool: with 90 engines observed rarely, the exposure of
        // streams was estimated at half its real value, and the split ended by itself.
        if let Some(model) = self.models.get(pool)
            && !state.load.speed.has_observations()
        {
            state.load.speed = model.engine_speed();
        }
        state.load.speed.observe_stream(pacing);
        let split = self.splits.get(pool).filter(|split| split.is_active());
        let is_stream_engine = split.map(|split| split.serves_streams(state.digest));
        if let Some(model) = self.models.get_mut(pool) {
            match is_stream_engine {
                None => model.observe_stream(pacing),
                Some(false) => model.observe_mixed_stream(pacing),
                Some(true) => model.observe_isolated_stream(pacing),
            }
        }
    }

    /// Applies a new routing table. It may change the memory of a pool's engines, or specify a
    /// pool for the first time: back ends may be listed before the first table arrives.
    pub fn apply_table(&mut self, table: &RoutingTable) {
        self.update_unseen_models(table);
        for state in self.states.values_mut() {
            let tokens = engine_tokens(Some(table), &state.back_end.pool);
            state.load.cache.set_memory_tokens(tokens);
        }
    }

    fn update_unseen_models(&mut self, table: &RoutingTable) {
        for (pool, model) in &mut self.models {
            if model.has_seen_streams() {
                continue;
            }
            *model = PoolModel::new(engine(Some(table), pool));
            let states = self.states.values_mut();
            for state in states.filter(|state| state.back_end.pool == *pool) {
                state.load.speed = model.engine_speed();
            }
        }
    }

    /// Applies load reports from a source, replacing its previous reports of the same scope.
    pub fn apply_loads(&mut self, source: LoadSource, loads: &[LoadReport], now: Timestamp) {
        let scope = source.scope();
        let digests = loads.iter().map(|report| report.back_end).collect();
        let previous = self.reported_digests.insert(scope, digests);
        for digest in previous.unwrap_or_default() {
            if let Some(state) = self.by_digest_mut(digest) {
                state.load.remove_report(scope);
            }
        }
        for report in loads {
            if let Some(state) = self.by_digest_mut(report.back_end) {
                state.load.apply_report(source, report, now);
            }
        }
    }

    /// Applies placements of prompt parts that other nodes report.
    pub fn apply_placements(&mut self, placements: &[Placement], now: Timestamp) {
        self.record_placed(placements.iter().map(|placement| placement.part));
        for placement in placements {
            let part = PromptPart {
                id: placement.part,
                tokens: placement.tokens,
            };
            let Some(state) = self.by_digest_mut(placement.back_end) else {
                continue;
            };
            if placement.is_observed {
                state
                    .load
                    .cache
                    .apply_observation(part.id, part.tokens, now);
            } else {
                let pending_tokens = state.load.occupancy(now).pending_tokens;
                let tokens = pending_tokens.max(u64::from(part.tokens));
                let computed_at = now + state.load.prefill_time(tokens);
                state.load.cache.insert(&[part], computed_at);
                state.load.cache.record_shared(&[part]);
            }
            if placement.tokens > 0 {
                self.holders.record(part.id, placement.back_end);
            }
        }
    }

    /// Records shared parts with which requests were placed.
    pub fn record_placed(&mut self, parts: impl Iterator<Item = PartId>) {
        let remaining_capacity = MAX_RECENT_PLACEMENTS.saturating_sub(self.recent_placements.len());
        self.recent_placements
            .extend(parts.take(remaining_capacity));
    }

    /// Returns the shared parts placed at any back end since the last call.
    pub fn drain_recent_placements(&mut self) -> Vec<PartId> {
        std::mem::take(&mut self.recent_placements)
    }

    /// Shared parts that any engine is believed to have cached.
    pub fn cached_parts(&self) -> HashSet<PartId> {
        let caches = self.states.values().map(|state| &state.load.cache);
        caches.flat_map(PrefixCache::shared_parts).collect()
    }

    fn by_digest_mut(&mut self, digest: u32) -> Option<&mut BackEndState> {
        let instance = self.by_digest.get(&digest)?;
        self.states.get_mut(instance)
    }
}
