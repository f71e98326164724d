//! Replication of running streams: which of them get a replica on a second engine, and which
//! engine holds it.
//!
//! A replica costs network traffic for each token and saves the stream if its engine is lost.
//! Both are compared as times, like the costs of back ends.

use crate::load::registry::{BackEndState, Registry};
use crate::placement::candidate::{COPY_COST_PER_TOKEN, UNRETRYABLE_FAILURE_COST};
use crate::placement::eligibility::is_eligible;
use crate::placement::view::View;
use crate::{Demand, ReplicaTarget};
use eiderferry_routing::{InstanceId, PoolName, ZoneName};
use eiderferry_types::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::HashMap;

/// Probability that a stream is lost although nothing has failed recently, as engines crash
/// without warning. With this value, streams of up to 400 tokens are always replicated. With 1.2
/// %, which replicates up to 1,600 tokens, replicas took 1,099 GB instead of 91 GB on a quiet day
/// of 60 engines and saved no stream.
const BASELINE_LOSS_PROBABILITY: f64 = 0.003;
/// Factor by which a loss probability decays per update, each half second, without new failures.
/// It halves in 5 s, so that a series of failures counts for longer than the 4 s for which
/// outcomes are reported.
const LOSS_DECAY: f64 = 0.933;
/// Minimum expected output of a run that is replicated, in tokens. Engines transfer a run's
/// memory a few times a second and a token takes at least 3 ms, so a shorter run ends before its
/// replica is of use.
const MINIMUM_OUTPUT_TOKENS: u32 = 100;
/// Limits on the batch and the memory (with the replica) of an engine that holds a replica, as
/// fractions, counting the requests and replicas of all nodes. A replica occupies no slot in the
/// batch, and after a takeover its run is admitted before all waiting requests.
const MAX_BATCH_FRACTION: f64 = 1.0;
const MAX_MEMORY_FRACTION: f64 = 0.6;
/// Weight of an engine's failure share relative to its utilisation: a failure share of a quarter
/// weighs as much as a full batch. Outcomes count for 4 s, so an engine lost 3 s ago still shows
/// completed requests. Without this weight, 17 of 33 takeovers that failed after a second crash
/// had gone to engines lost in the first one.
const FAILURE_WEIGHT: f64 = 4.0;
/// Maximum number of engines compared for one replica.
const MAX_COMPARED: usize = 4;

/// Probability that a stream of each pool is lost, estimated from recent failures at all nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossProbabilities {
    by_pool: HashMap<PoolName, f64>,
}

impl LossProbabilities {
    /// Updates the estimates from recent outcomes; to be called twice a second.
    pub fn update(&mut self, registry: &Registry, now: Timestamp) {
        for pool in registry.pool_names() {
            let failure_shares = registry.pool(pool);
            let failure_shares = failure_shares.map(|state| state.load.failure_share(now));
            let (sum, count) =
                failure_shares.fold((0.0, 0.0), |(sum, count), share| (sum + share, count + 1.0));
            let mean_failure_share = if count > 0.0 { sum / count } else { 0.0 };
            let probability = self.by_pool.entry(pool.clone()).or_default();
            *probability = (*probability * LOSS_DECAY).max(mean_failure_share);
        }
    }

    fn of(&self, pool: &PoolName) -> f64 {
        self.by_pool.get(pool).copied().unwrap_or_default()
    }
}

/// Whether a run is worth a replica: it is a stream that can't be retried, and its expected loss
/// costs more than the replica's traffic.
pub(crate) fn should_replicate(
    demand: &Demand,
    source_failure_share: f64,
    loss_probabilities: &LossProbabilities,
) -> bool {
    let is_unrecoverable = demand.is_stream && !demand.may_retry;
    if !is_unrecoverable || demand.output_tokens < MINIMUM_OUTPUT_TOKENS {
        return false;
    }
    let probability = BASELINE_LOSS_PROBABILITY
        + loss_probabilities
            .of(&demand.pool)
            .max(source_failure_share);
    let loss = UNRETRYABLE_FAILURE_COST.scaled(probability.min(1.0));
    loss.0 >= u64::from(replica_tokens(demand)) * COPY_COST_PER_TOKEN
}

/// Tokens in a replica at the end of its run.
pub(crate) fn replica_tokens(demand: &Demand) -> u32 {
    demand.prompt_tokens.saturating_add(demand.output_tokens)
}

/// Selects the engine to hold the replica of a run: in another zone of the same region if one
/// there has room, otherwise in the same zone. Traffic to another region is expensive and slow.
pub(crate) fn select_holder(
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
        .filter(|state| state.back_end.runs_same_version(&source.back_end))
        .filter(|state| is_usable(state, view, demand))
        .filter(|state| view.regions.get(&state.back_end.zone) == view.regions.get(zone))
        .collect();
    let mut best = |in_other_zone: bool, results: RecentResults| {
        let engines = usable.iter().copied();
        let engines = engines.filter(|state| (state.back_end.zone != *zone) == in_other_zone);
        let engines = engines.filter(|state| RecentResults::of(state, view.now) == results);
        let sampled = engines.choose_multiple(random, MAX_COMPARED).into_iter();
        let costs = sampled.filter_map(|state| Some((utilisation(state, view, demand)?, state)));
        let costs = costs.map(|(utilisation, state)| {
            let failures = state.load.failure_share(view.now);
            (utilisation + failures * FAILURE_WEIGHT, state)
        });
        let cheapest = costs.min_by(|(left, _), (right, _)| left.total_cmp(right));
        cheapest.map(|(_, state)| state)
    };
    let state = best(true, RecentResults::SomeCompleted)
        .or_else(|| best(false, RecentResults::SomeCompleted))
        .or_else(|| best(true, RecentResults::NoneFinished))
        .or_else(|| best(false, RecentResults::NoneFinished))?;
    Some(ReplicaTarget {
        instance: state.back_end.instance.clone(),
        address: state.back_end.address,
    })
}

/// Outcomes of requests that recently ended at an engine, over all nodes.
///
/// An engine that has crashed stays listed for a while and appears idle. When the engine with the
/// lowest utilisation was always chosen, 15 of 20 takeovers that failed after a second crash had
/// gone to engines lost in the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecentResults {
    /// Some requests completed.
    SomeCompleted,
    /// No request ended.
    NoneFinished,
    /// All requests that ended failed.
    AllFailed,
}

impl RecentResults {
    fn of(state: &BackEndState, now: Timestamp) -> Self {
        let outcomes = state.load.recent_outcomes(now);
        if outcomes.completed > 0 {
            RecentResults::SomeCompleted
        } else if outcomes.is_empty() {
            RecentResults::NoneFinished
        } else {
            RecentResults::AllFailed
        }
    }
}

/// Whether an engine can hold a replica: eligible, not ejected, warm and in a zone that is heard.
fn is_usable(state: &BackEndState, view: &View<'_>, demand: &Demand) -> bool {
    let start = view.cold_start.as_ref();
    let is_cold = start.is_some_and(|start| state.warmup.is_cold(start, view.now));
    is_eligible(state, view, demand)
        && demand.is_allowed_on(&state.back_end.instance)
        && !state.health.is_ejected(view.now)
        && !is_cold
        && !is_zone_silent(view, &state.back_end.zone)
}

fn is_zone_silent(view: &View<'_>, zone: &ZoneName) -> bool {
    view.silent_zones.contains(zone)
}

/// Utilisation of an engine with the replica included; `None` if it has no room for it.
fn utilisation(state: &BackEndState, view: &View<'_>, demand: &Demand) -> Option<f64> {
    let occupancy = state.load.occupancy(view.now);
    let batch_fraction = f64::from(occupancy.running) / f64::from(state.back_end.slots.max(1));
    let capacity = state.load.cache.memory_tokens().max(1) as f64;
    let tokens = occupancy.unshared_tokens + u64::from(replica_tokens(demand));
    let memory_fraction = tokens as f64 / capacity;
    (batch_fraction < MAX_BATCH_FRACTION && memory_fraction <= MAX_MEMORY_FRACTION)
        .then_some(batch_fraction.max(memory_fraction))
}

/// Whether the holder of a replica may still take over the request.
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
