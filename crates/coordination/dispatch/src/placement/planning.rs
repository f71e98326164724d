//! Estimates of what sending a request to each of several back ends would cost.

use crate::load::registry::{BackEndState, Registry};
use crate::placement::pool_split::PoolSplit;
use crate::placement::sampling::{Examined, examine, preference};
use crate::placement::view::View;
use crate::{Candidate, Demand, Footprint, Occupancy, PoolModel};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of tokens that are copied from another engine. At 500 Gbit/s a copy takes 2.5
/// ms plus 0.25 ms per 100 tokens, while prefilling 100 tokens delays every stream on the engine
/// by 1.5 ms. Copying 100 tokens also has a tenth of the cost of copying 1,000. On a loaded day
/// of 78 nodes and 90 engines, 3.0 million shared tokens were recomputed and 3,566 GB copied;
/// with a minimum of 1,000 it was 4.8 million and 2,909 GB (one run each).
const MINIMUM_COPIED_TOKENS: u32 = 100;
/// Prompts shorter than this are short: prefilling one delays no stream noticeably.
const SHORT_PROMPT_TOKENS: u32 = 2_000;
/// Difference between two failure shares that is attributed to chance.
const FAILURE_SHARE_TOLERANCE: f64 = 0.07;
/// Probability that another long prompt arrives at an engine while a stream runs there, for each
/// running request with a long prompt. Streams run for a few seconds, as long as those requests.
const FURTHER_LONG_PREFILL_PROBABILITY: f64 = 0.3;
/// Probability that a request to a silent zone fails. All nodes of the zone may have failed while
/// its back ends are still reachable.
const SILENT_ZONE_FAILURE_PROBABILITY: f64 = 0.8;
/// Maximum number of back ends compared for one request.
const MAX_COMPARED: usize = 32;
/// Maximum number of these that are the most preferred ones for the request's prompt.
const MAX_PREFERRED: usize = 10;
/// Number of these that are sampled for each request, from this node's zone and from the whole
/// pool.
const SAME_ZONE_SAMPLES: usize = 6;
const POOL_SAMPLES: usize = 8;

/// Share of the engines of a large pool that are reserved for delay-sensitive streams while there
/// are any: no long prompt has its home there. All nodes choose the same engines by hash. Without
/// reserved engines such streams run beside prefills at homes, however accurately each node knows
/// the load. On a loaded day of 295 nodes and 320 engines, 10,019 of 13,486 such streams met
/// their targets; without reserved engines 7,339 did (one run each).
const STREAM_ENGINE_SHARE: f64 = 0.125;
/// Seed of the hash that selects the reserved engines.
const STREAM_ENGINE_SEED: u64 = 0x5354_5245_414d;
/// Minimum probability of a delay beside long prompts at which a stream is delay-sensitive, and
/// so is placed on engines reserved for streams.
pub(crate) const DELAY_SENSITIVE_PROBABILITY: f64 = 0.15;
/// A prompt counts as short if its prefill delays less than this share of the streams that the
/// longest prefill would delay. It may then be prefilled beside streams.
const HARMLESS_DELAYED_SHARE: f64 = 0.1;
/// Requests with long prompts that are expected at an engine that may be a home, in addition to
/// those running there.
const EXPECTED_LONG_PREFILLS: u32 = 1;

/// Estimate for sending a request to one back end.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub instance: InstanceId,
    pub candidate: Candidate,
    pub footprint: Footprint,
    pub copy_from: Option<SocketAddr>,
}

/// Plans for one request.
pub(crate) struct Plans {
    /// Plans for the back ends that are compared.
    pub plans: Vec<Plan>,
    /// Number of back ends that were examined.
    pub examined_count: usize,
}

/// Plans a request on the back ends that are worth comparing.
pub(crate) fn plans(
    registry: &Registry,
    view: &View<'_>,
    demand: &Demand,
    random: &mut impl Rng,
) -> Plans {
    let now = view.now;
    let split = RequestSplit::of(registry, demand);
    let may_be_home = |state: &BackEndState| {
        split.matches_request(state) && view.may_be_home(&state.back_end.zone)
    };
    let examined = examine(registry, view, demand, may_be_home, random);
    let eligible: Vec<&BackEndState> = examined.eligible().collect();
    let home = examined.home.map(|state| &state.back_end.instance);
    let compared = shortlist(&examined, &split, view, demand, random);
    let context = PlanContext {
        model: registry.model(&demand.pool),
        home,
        copy_sources: CopySources::select(&eligible, home, demand, now),
        baseline_failure_share: baseline_failure_share(&eligible, now),
        split,
        view,
    };
    let plans = compared.into_iter();
    Plans {
        plans: plans.map(|state| plan(state, demand, &context)).collect(),
        examined_count: examined.count,
    }
}

/// Selects the back ends to compare: all of a small pool; in a large pool those that the
/// request's prompt prefers, and a random sample.
fn shortlist<'a>(
    examined: &Examined<'a>,
    split: &RequestSplit<'_>,
    view: &View<'_>,
    demand: &Demand,
    random: &mut impl Rng,
) -> Vec<&'a BackEndState> {
    let is_allowed = |state: &&BackEndState| demand.is_allowed_on(&state.back_end.instance);
    let is_healthy = |state: &&BackEndState| !state.health.is_ejected(view.now);
    let is_any_healthy = examined
        .eligible()
        .filter(is_allowed)
        .any(|state| is_healthy(&state));
    let is_usable =
        |state: &&BackEndState| is_allowed(state) && (is_healthy(state) || !is_any_healthy);
    let all: Vec<&BackEndState> = examined.eligible().filter(is_usable).collect();
    if all.len() <= MAX_COMPARED {
        return all;
    }
    let is_same_zone = |state: &&&BackEndState| state.back_end.zone == *view.zone;
    let matches_request = |state: &&&BackEndState| split.matches_request(state);
    let same_zone = all
        .iter()
        .filter(is_same_zone)
        .filter(matches_request)
        .copied();
    let same_zone = same_zone.choose_multiple(random, SAME_ZONE_SAMPLES);
    let sampled = all.iter().copied().choose_multiple(random, POOL_SAMPLES);
    let preferred = examined.preferred.iter().copied();
    let mut compared: Vec<&BackEndState> = preferred.filter(is_usable).collect();
    if compared.len() > MAX_PREFERRED {
        compared.select_nth_unstable_by_key(MAX_PREFERRED, |state| {
            let may_be_home = view.may_be_home(&state.back_end.zone);
            std::cmp::Reverse((
                split.matches_request(state),
                may_be_home,
                preference(state, demand),
            ))
        });
        compared.truncate(MAX_PREFERRED);
    }
    for state in same_zone.into_iter().chain(sampled) {
        if !compared.iter().any(|other| std::ptr::eq(*other, state)) {
            compared.push(state);
        }
    }
    compared
}

/// Split of a pool's engines between delay-sensitive streams and long prompts, and the side on
/// which a request belongs.
#[derive(Clone, Copy, Debug)]
struct RequestSplit<'a> {
    rule: SplitRule<'a>,
    is_delay_sensitive: bool,
}

/// Which engines are reserved for streams.
#[derive(Clone, Copy, Debug)]
enum SplitRule<'a> {
    /// No engines.
    None,
    /// A fixed share of the pool.
    FixedShare,
    /// A share of the pool that follows the load.
    ByLoad(&'a PoolSplit),
}

impl<'a> RequestSplit<'a> {
    fn of(registry: &'a Registry, demand: &Demand) -> Self {
        let engines = registry.pool_size(&demand.pool);
        let by_load = registry.split(&demand.pool);
        let model_and_target = registry.model(&demand.pool).zip(demand.event_gap_target);
        let is_exposed = model_and_target.is_some_and(|(model, target)| {
            model.delay_probability_beside_long_prompts(&model.engine_speed(), target)
                >= DELAY_SENSITIVE_PROBABILITY
        });
        let has_fixed_share = registry.isolates_streams(&demand.pool)
            || by_load.is_some_and(|split| split.is_saturated());
        let by_load = by_load.filter(|split| split.is_active());
        let is_short = match (by_load, registry.model(&demand.pool)) {
            (Some(split), Some(model)) => {
                let prefill_time = split.prefill_time(demand.prompt_tokens);
                model.delayed_share(&model.engine_speed(), prefill_time) < HARMLESS_DELAYED_SHARE
            }
            _ => demand.prompt_tokens < SHORT_PROMPT_TOKENS,
        };
        let rule = match by_load {
            Some(split) => SplitRule::ByLoad(split),
            None if engines > MAX_COMPARED && has_fixed_share => SplitRule::FixedShare,
            None => SplitRule::None,
        };
        Self {
            rule,
            is_delay_sensitive: is_short && is_exposed,
        }
    }

    fn serves_streams(&self, state: &BackEndState) -> Option<bool> {
        match self.rule {
            SplitRule::None => None,
            SplitRule::FixedShare => Some(is_in_fixed_share(state)),
            SplitRule::ByLoad(split) => Some(split.serves_streams(state.digest)),
        }
    }

    /// Whether an engine is on the request's side of the split.
    fn matches_request(&self, state: &BackEndState) -> bool {
        self.serves_streams(state)
            .is_none_or(|serves_streams| serves_streams == self.is_delay_sensitive)
    }

    fn expected_long_prefills(&self, state: &BackEndState) -> u32 {
        match self.serves_streams(state) {
            Some(false) => EXPECTED_LONG_PREFILLS,
            _ => 0,
        }
    }

    /// Exposed streams that a long prompt finds at an engine, or that arrive during its prefill.
    fn expected_exposed_streams(&self, state: &BackEndState, exposed_now: f64) -> f64 {
        match self.rule {
            SplitRule::ByLoad(split)
                if !self.is_delay_sensitive && !self.matches_request(state) =>
            {
                exposed_now.max(split.mean_exposed_streams())
            }
            _ => exposed_now,
        }
    }
}

/// Whether an engine belongs to the fixed share that is reserved for streams.
fn is_in_fixed_share(state: &BackEndState) -> bool {
    let hash = xxh3_64_with_seed(&state.digest.to_le_bytes(), STREAM_ENGINE_SEED);
    (hash as f64) < STREAM_ENGINE_SHARE * u64::MAX as f64
}

/// The two engines that have most of the prompt's shared parts cached, with the number of cached
/// tokens.
struct CopySources<'a> {
    engines: Vec<(u32, &'a BackEndState)>,
}

impl<'a> CopySources<'a> {
    fn select(
        eligible: &[&'a BackEndState],
        home: Option<&InstanceId>,
        demand: &Demand,
        now: Timestamp,
    ) -> Self {
        if demand.shared_tokens() < MINIMUM_COPIED_TOKENS {
            return Self {
                engines: Vec::new(),
            };
        }
        let healthy = eligible
            .iter()
            .filter(|state| !state.health.is_ejected(now));
        let cached =
            healthy.map(|state| (state.load.cache.computed_tokens(&demand.parts, now), *state));
        let mut engines: Vec<(u32, &BackEndState)> = cached
            .filter(|(cached, _)| *cached >= MINIMUM_COPIED_TOKENS)
            .collect();
        engines.sort_by_key(|(cached, state)| {
            let is_home = home == Some(&state.back_end.instance);
            std::cmp::Reverse((*cached, is_home))
        });
        engines.truncate(2);
        Self { engines }
    }

    /// Address from which an engine with `cached` tokens would copy the rest.
    fn address_for(&self, instance: &InstanceId, cached: u32) -> Option<SocketAddr> {
        let mut others = self.engines.iter();
        let (most_cached, state) =
            others.find(|(_, state)| state.back_end.instance != *instance)?;
        let gain = most_cached.saturating_sub(cached);
        (gain >= MINIMUM_COPIED_TOKENS).then_some(state.back_end.address)
    }
}

/// Data shared by all plans for one request.
struct PlanContext<'a> {
    model: Option<&'a PoolModel>,
    home: Option<&'a InstanceId>,
    copy_sources: CopySources<'a>,
    baseline_failure_share: f64,
    split: RequestSplit<'a>,
    view: &'a View<'a>,
}

/// Failure share of the pool's engine at the lower quartile. It is the baseline even if many
/// engines fail.
fn baseline_failure_share(eligible: &[&BackEndState], now: Timestamp) -> f64 {
    let shares = eligible.iter().map(|state| state.load.failure_share(now));
    let mut shares: Vec<f64> = shares.collect();
    if shares.is_empty() {
        return 0.0;
    }
    let quarter = shares.len() / 4;
    *shares.select_nth_unstable_by(quarter, f64::total_cmp).1
}

fn plan(state: &BackEndState, demand: &Demand, context: &PlanContext<'_>) -> Plan {
    let now = context.view.now;
    let instance = &state.back_end.instance;
    let cached = state.load.cache.cached_tokens(&demand.parts);
    let missing = demand.shared_tokens().saturating_sub(cached);
    let copy_from = context.copy_sources.address_for(instance, cached);
    let copied = if copy_from.is_some() { missing } else { 0 };
    let is_home = context.home == Some(instance);
    let recomputed_tokens = if is_home { 0 } else { missing - copied };
    let uncached = demand.prompt_tokens.saturating_sub(cached + copied);
    let occupancy = state.load.occupancy(now);
    let footprint = footprint(state, demand, uncached, context);
    let prefill_time = state
        .load
        .prefill_time(occupancy.pending_tokens + u64::from(uncached));
    let network_path = context
        .view
        .network_path(&state.back_end.zone, demand.bytes);
    let mut candidate = Candidate {
        time_to_first_event: prefill_time + network_path.round_trip,
        target: demand.target,
        recomputed_tokens,
        is_home,
        copied_tokens: copied,
        running: occupancy.running,
        slots: state.back_end.slots,
        memory_fraction: memory_fraction(state, &occupancy, &footprint),
        network_cost: network_path.transfer_cost,
        excess_failures: excess_failures(state, context),
        may_retry: demand.may_retry,
        ..Candidate::default()
    };
    if let Some(model) = context.model {
        let prefill_queue = PrefillQueue::at(state, &occupancy, &footprint);
        let expected_long_prefills = context.split.expected_long_prefills(state);
        candidate.own_delay_probability =
            prefill_queue.own_delay_probability(&footprint, expected_long_prefills);
        candidate.delayed_streams = {
            let exposed_streams = context
                .split
                .expected_exposed_streams(state, occupancy.exposed_streams);
            prefill_queue.delayed_streams(model, state, exposed_streams)
        };
    }
    Plan {
        instance: instance.clone(),
        footprint,
        copy_from,
        candidate,
    }
}

fn footprint(
    state: &BackEndState,
    demand: &Demand,
    uncached: u32,
    context: &PlanContext<'_>,
) -> Footprint {
    let prefill_time = state.load.prefill_time(u64::from(uncached));
    let speed = &state.load.speed;
    let exposure = context.model.zip(demand.event_gap_target);
    Footprint {
        uncached_tokens: uncached,
        unshared_tokens: demand.unshared_tokens(),
        exposure: exposure.map_or(0.0, |(model, target)| {
            model.delay_probability_beside_long_prompts(speed, target)
        }),
        is_long_prefill: context
            .model
            .is_some_and(|model| model.is_long_prefill(speed, prefill_time)),
    }
}

/// Fraction of an engine's memory that unshared tokens take, with the request included.
fn memory_fraction(state: &BackEndState, occupancy: &Occupancy, footprint: &Footprint) -> f64 {
    let capacity = state.load.cache.memory_tokens();
    if capacity == 0 {
        return 0.0;
    }
    let taken = occupancy.unshared_tokens + u64::from(footprint.unshared_tokens);
    taken as f64 / capacity as f64
}

/// Prefill times at an engine: of the queued prompts, and of the request's own.
struct PrefillQueue {
    queued: Span,
    own: Span,
    long_prefills: u32,
}

impl PrefillQueue {
    fn at(state: &BackEndState, occupancy: &Occupancy, footprint: &Footprint) -> Self {
        let own = u64::from(footprint.uncached_tokens);
        Self {
            queued: state.load.prefill_time(occupancy.pending_tokens),
            own: state.load.prefill_time(own),
            long_prefills: occupancy.long_prefills,
        }
    }

    /// Probability that the request's own events are delayed. Where requests with long prompts
    /// run, more of them are likely to arrive while it runs.
    fn own_delay_probability(&self, footprint: &Footprint, expected: u32) -> f64 {
        let long_prefills = self.long_prefills + expected;
        let none_arrives = (1.0 - FURTHER_LONG_PREFILL_PROBABILITY).powi(long_prefills as i32);
        footprint.exposure * (1.0 - none_arrives)
    }

    /// Expected number of streams that the request's prefill delays.
    fn delayed_streams(&self, model: &PoolModel, state: &BackEndState, exposed: f64) -> f64 {
        let total = Span(self.queued.0 + self.own.0);
        let after = model.delayed_share(&state.load.speed, total);
        let before = model.delayed_share(&state.load.speed, self.queued);
        exposed * (after - before).max(0.0)
    }
}

/// Excess of a back end's failure share over the pool's baseline, beyond chance.
fn excess_failures(state: &BackEndState, context: &PlanContext<'_>) -> f64 {
    let share = state.load.failure_share(context.view.now);
    let excess = (share - context.baseline_failure_share - FAILURE_SHARE_TOLERANCE).max(0.0);
    if context.view.silent_zones.contains(&state.back_end.zone) {
        excess.max(SILENT_ZONE_FAILURE_PROBABILITY)
    } else {
        excess
    }
}
