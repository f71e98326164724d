//! Which running streams get a replica at a second engine, and which engine holds it.
//!
//! A replica costs bytes for each token, and saves the stream if its engine is lost. Both are
//! weighed in the unit in which back ends are compared: times.

use crate::load::registry::{BackEndState, Registry};
use crate::placement::candidate::{COPY_PER_TOKEN, PERMANENT_FAILURE};
use crate::placement::eligibility::is_eligible;
use crate::placement::view::View;
use crate::{Demand, ReplicaTarget};
use eiderferry_routing::{InstanceId, PoolName, ZoneName};
use eiderferry_types::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::HashMap;

/// Chance that a stream is lost while nothing has failed lately: engines crash without a
/// warning. With it, streams of up to 400 tokens are always replicated. With 1.2 %, up to 1,600
/// tokens, a quiet day of 60 engines moved 1,099 GB in place of 91 and saved no stream.
const USUAL_LOSS: f64 = 0.003;
/// Part of a chance of loss that is left at the next look half a second later without new
/// failures: half of it after 5 s, so that a spell of failures counts beyond the 4 s for
/// which outcomes are told.
const LOSS_DECAY: f64 = 0.933;
/// Expected tokens out from which on a replica is worth keeping. Engines send a run's memory
/// some times a second, and a token takes 3 ms and more: a shorter run has ended before.
const MINIMUM_OUTPUT_TOKENS: u32 = 100;
/// Fullest batch, and fullest memory with the replica, of an engine that holds one, over the
/// requests and replicas of all nodes. A replica takes no place in the batch, and its run is
/// admitted before all that wait.
const FULLEST_BATCH: f64 = 1.0;
const FULLEST_MEMORY: f64 = 0.6;
/// What the share of failures at an engine weighs against its fullness: a quarter of failures as
/// much as a full batch. Outcomes count for 4 s, so that an engine lost 3 s ago has still ended
/// requests well: without this weight 17 of 33 failed takeovers after a second crash had gone to
/// engines lost in the first one.
const FAILURE_WEIGHT: f64 = 4.0;
/// Engines compared for one replica.
const COMPARED: usize = 4;

/// How likely a stream of each pool is to be lost, by what failed there lately at all nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossProbabilities {
    chances: HashMap<PoolName, f64>,
}

impl LossProbabilities {
    /// Takes in how requests ended lately; to be called twice a second.
    pub fn update(&mut self, registry: &Registry, now: Timestamp) {
        for pool in registry.pool_names() {
            let shares = registry.pool(pool);
            let shares = shares.map(|state| state.load.failure_share(now));
            let (sum, count) =
                shares.fold((0.0, 0.0), |(sum, count), share| (sum + share, count + 1.0));
            let seen = if count > 0.0 { sum / count } else { 0.0 };
            let chance = self.chances.entry(pool.clone()).or_default();
            *chance = (*chance * LOSS_DECAY).max(seen);
        }
    }

    fn of(&self, pool: &PoolName) -> f64 {
        self.chances.get(pool).copied().unwrap_or_default()
    }
}

/// Whether a request's run is worth a replica: a stream that no other attempt mends, and
/// whose loss, by its chance, costs more than the replica's bytes.
pub(crate) fn should_replicate(
    demand: &Demand,
    source_share: f64,
    chances: &LossProbabilities,
) -> bool {
    let is_lost_for_good = demand.is_stream && !demand.may_retry;
    if !is_lost_for_good || demand.output_tokens < MINIMUM_OUTPUT_TOKENS {
        return false;
    }
    let chance = USUAL_LOSS + chances.of(&demand.pool).max(source_share);
    let loss = PERMANENT_FAILURE.scaled(chance.min(1.0));
    loss.0 >= u64::from(replica_tokens(demand)) * COPY_PER_TOKEN
}

/// Tokens that a replica takes at the end of its run.
pub(crate) fn replica_tokens(demand: &Demand) -> u32 {
    demand.prompt_tokens.saturating_add(demand.output_tokens)
}

/// The engine that holds the replica of a run: in another zone of its engine's region if one
/// there has room, else in the same zone. Bytes to another region are dear and late.
pub(crate) fn holder(
    registry: &Registry,
    view: &View<'_>,
    demand: &Demand,
    source: &BackEndState,
    random: &mut impl Rng,
) -> Option<ReplicaTarget> {
    let zone = &source.back_end.zone;
    let usable: Vec<&BackEndState> = registry
        .pool(&demand.pool)
        .filter(|state| state.back_end.instance != source.back_end.instance)
        .filter(|state| is_usable(state, view, demand))
        .filter(|state| view.regions.get(&state.back_end.zone) == view.regions.get(zone))
        .collect();
    let mut best = |is_apart: bool, proof: Proof| {
        let here = usable.iter().copied();
        let here = here.filter(|state| (state.back_end.zone != *zone) == is_apart);
        let here = here.filter(|state| Proof::of(state, view.now) == proof);
        let drawn = here.choose_multiple(random, COMPARED).into_iter();
        let costs = drawn.filter_map(|state| Some((fullness(state, view, demand)?, state)));
        let costs = costs.map(|(fullness, state)| {
            let failures = state.load.failure_share(view.now);
            (fullness + failures * FAILURE_WEIGHT, state)
        });
        let least = costs.min_by(|(one, _), (two, _)| one.total_cmp(two));
        least.map(|(_, state)| state)
    };
    let state = best(true, Proof::EndsWell)
        .or_else(|| best(false, Proof::EndsWell))
        .or_else(|| best(true, Proof::None))
        .or_else(|| best(false, Proof::None))?;
    Some(ReplicaTarget {
        instance: state.back_end.instance.clone(),
        address: state.back_end.address,
    })
}

/// What the requests that ended at an engine lately, at any node, show of it.
///
/// An engine that crashed stays listed for a while, and looks empty: where the emptiest of all
/// was taken, 15 of 20 takeovers that failed after a second crash had gone to engines lost in
/// the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// Some ended well.
    EndsWell,
    /// None ended.
    None,
    /// All that ended failed.
    EndsBadly,
}

impl Proof {
    fn of(state: &BackEndState, now: Timestamp) -> Self {
        let outcomes = state.load.recent_outcomes(now);
        if outcomes.completed > 0 {
            Proof::EndsWell
        } else if outcomes.is_empty() {
            Proof::None
        } else {
            Proof::EndsBadly
        }
    }
}

/// Whether an engine may get a request at all, is sound, warm and heard.
fn is_usable(state: &BackEndState, view: &View<'_>, demand: &Demand) -> bool {
    let start = view.cold_start.as_ref();
    let is_cold = start.is_some_and(|start| state.warmup.is_cold(start, view.now));
    is_eligible(state, view, demand)
        && demand.is_allowed_on(&state.back_end.instance)
        && !state.health.is_ejected(view.now)
        && !is_cold
        && !is_silent(view, &state.back_end.zone)
}

fn is_silent(view: &View<'_>, zone: &ZoneName) -> bool {
    view.silent_zones.contains(zone)
}

/// How full an engine is with the replica; nothing where there is no room for it.
fn fullness(state: &BackEndState, view: &View<'_>, demand: &Demand) -> Option<f64> {
    let there = state.load.occupancy(view.now);
    let batch = f64::from(there.running) / f64::from(state.back_end.slots.max(1));
    let capacity = state.load.cache.engine_tokens().max(1) as f64;
    let tokens = there.unshared_tokens + u64::from(replica_tokens(demand));
    let memory = tokens as f64 / capacity;
    (batch < FULLEST_BATCH && memory <= FULLEST_MEMORY).then_some(batch.max(memory))
}

/// Whether the holder of a replica may still take the request over.
pub(crate) fn may_take_over(
    registry: &Registry,
    view: &View<'_>,
    demand: &Demand,
    holder: &InstanceId,
) -> bool {
    let state = registry.get(holder);
    state.is_some_and(|state| {
        is_eligible(state, view, demand)
            && state.back_end.pool == demand.pool
            && !state.health.is_ejected(view.now)
    })
}
