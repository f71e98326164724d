//! Split of a pool's engines between long prompts and the streams that prefills would delay.
//!
//! All engines of a pool are ranked by hash within their zones, so that any share of the ranking
//! is spread evenly over the zones. Engines before the boundary prefill long prompts; those after
//! it run streams that a long prefill on the same engine would delay. The boundary follows the
//! load in steps. Nodes whose views of the load differ slightly choose the same step, and a step
//! moves only the engines between the old and the new boundary.

use eiderferry_routing::{PoolName, ZoneName};
use eiderferry_types::Span;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exposed streams per slot above which a pool is split, and at or below which a split ends. The
/// gap between the two keeps homes from moving back and forth.
const SPLIT_START_THRESHOLD: f64 = 0.01;
const SPLIT_STOP_THRESHOLD: f64 = 0.003;
/// Engines that both kinds of requests need, relative to the existing ones, at which a pool
/// counts as saturated, and below which it no longer does. A saturated pool is not split, as each
/// engine is needed for any request. With simulated load at 1.9, three times as many streams
/// missed their targets with a split as without (207 and 63 of 2,000).
const SATURATION_START: f64 = 1.15;
const SATURATION_STOP: f64 = 1.0;
/// Share of a pool's slots in use at which the pool counts as saturated, and below which it no
/// longer does. Engines that prefill keep their requests several times as long, so if slots are
/// scarce, long prompts on few engines fill these engines' slots first. With 90 engines of 16
/// slots and 62 % of them in use, 551 of 4,804 streams missed their targets with a split, and 419
/// without.
const SLOT_SATURATION_START: f64 = 0.45;
const SLOT_SATURATION_STOP: f64 = 0.35;
/// Minimum number of engines on each side, so that the failure of one doesn't take down the whole
/// side.
const MIN_ENGINES_PER_SIDE: f64 = 2.0;
/// Minimum share of the engines on each side, for bursts that don't show in the reported load
/// yet.
const MIN_PROMPT_SHARE: f64 = 0.25;
const MIN_STREAM_SHARE: f64 = 0.125;
/// Minimum number of engines of a pool that is split.
const MIN_POOL_ENGINES: f64 = 8.0;
/// Target share of time that engines for long prompts spend on prefills; the rest is headroom for
/// bursts.
const PREFILL_UTILISATION: f64 = 0.6;
/// Target share of the slots in use on either side.
const SLOT_UTILISATION: f64 = 0.5;
/// Target share of an engine's memory taken by running requests.
const MEMORY_UTILISATION: f64 = 0.5;
/// Share of the ranking that one step of the boundary covers.
const BOUNDARY_STEP: f64 = 0.05;
/// Distance between target and boundary, in steps, beyond which the boundary moves. It is more
/// than half a step, so that the boundary doesn't oscillate between two steps.
const BOUNDARY_HYSTERESIS: f64 = 0.8;
/// Maximum number of steps per update; with it, the boundary follows a burst that fills the pool
/// within two seconds.
const MAX_STEPS_PER_UPDATE: u32 = 3;
/// Weight of the newest stream in the mean exposure.
const EXPOSURE_SMOOTHING: f64 = 0.05;
/// Consecutive checks after which a silent zone counts as cut off: three seconds. Messages were
/// at most 2.2 s late (1,238 times on a day without a partition).
const PERSISTENT_SILENCE_CHECKS: u32 = 6;
/// Seed of the hash that ranks the engines.
const RANKING_SEED: u64 = 0x5354_5245_414d;
/// Weight of the newest measurement of the placement rate. With two measurements per second the
/// rate follows a burst within two seconds.
const RATE_SMOOTHING: f64 = 0.3;

/// Load of a pool over all nodes, and the resources of its usable engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Usable engines.
    pub engines: u32,
    /// Their slots.
    pub slots: u32,
    /// Their memory in tokens.
    pub memory_tokens: u64,
    /// Running requests.
    pub running: u32,
    /// Expected number of streams that a long prompt would delay beyond their targets.
    pub exposed_streams: f64,
    /// Running requests with long prefills.
    pub long_prefills: u32,
    /// Memory taken by tokens that only one request uses, in tokens.
    pub unshared_tokens: u64,
    /// Prompt tokens that one engine prefills per second.
    pub prefill_tokens_per_second: f64,
}

/// Number of engines that each kind of request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineNeed {
    /// Engines for long prompts.
    pub prompts: f64,
    /// Engines for streams.
    pub streams: f64,
}

impl EngineNeed {
    /// Engines needed for a load, given the unshared tokens placed per second and the mean
    /// exposure of a stream.
    fn of(load: &PoolLoad, placed_tokens_per_second: f64, mean_exposure: f64) -> Self {
        let engines = f64::from(load.engines.max(1));
        let slots_per_engine = f64::from(load.slots.max(1)) / engines * SLOT_UTILISATION;
        let memory_per_engine = (load.memory_tokens as f64 / engines * MEMORY_UTILISATION).max(1.0);
        let prefill_need = placed_tokens_per_second
            / load.prefill_tokens_per_second.max(1.0)
            / PREFILL_UTILISATION;
        let running = f64::from(load.running);
        let streams = (load.exposed_streams / mean_exposure).min(running);
        let other_requests = running - streams;
        // Nearly all unshared tokens belong to long prompts.
        let memory_need = load.unshared_tokens as f64 / memory_per_engine;
        Self {
            prompts: prefill_need
                .max(other_requests / slots_per_engine)
                .max(memory_need),
            streams: streams / slots_per_engine,
        }
    }

    /// Share of the engines for long prompts. Spare engines are divided equally: the fewer
    /// streams an engine has, the fewer of them a prefill delays, and the more engines prefill,
    /// the more shared parts they cache.
    fn prompt_share(&self, engines: u32) -> f64 {
        let engines = f64::from(engines);
        let spare = engines - self.prompts - self.streams;
        let target = if spare < 0.0 {
            engines * self.prompts / (self.prompts + self.streams)
        } else {
            self.prompts + spare / 2.0
        };
        let min = (engines * MIN_PROMPT_SHARE).max(MIN_ENGINES_PER_SIDE);
        let max = engines - (engines * MIN_STREAM_SHARE).max(MIN_ENGINES_PER_SIDE);
        target.clamp(min, max.max(min)) / engines
    }
}

/// Statistics of a split, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SplitStats {
    /// Engines for long prompts; 0 while the pool is not split.
    pub prompt_engines: u32,
    /// All engines in the ranking.
    pub ranked_engines: u32,
    /// Engines that each kind of request needs.
    pub need: EngineNeed,
    /// The load from which the need was computed.
    pub load: PoolLoad,
    /// Unshared tokens placed per second.
    pub placed_tokens_per_second: f64,
}

/// Zones that were silent at several consecutive checks. Where messages are delayed, a zone
/// appears silent for some hundred milliseconds now and then, and boundaries would follow that.
#[derive(Clone, Debug, Default)]
pub(crate) struct PersistentSilence {
    silent_checks: BTreeMap<ZoneName, u32>,
}

impl PersistentSilence {
    /// Records the zones that are silent at this check.
    pub fn record(&mut self, silent: &BTreeSet<ZoneName>) {
        self.silent_checks.retain(|zone, _| silent.contains(zone));
        for zone in silent {
            let checks = self.silent_checks.entry(zone.clone()).or_default();
            *checks = checks.saturating_add(1);
        }
    }

    /// Whether a zone has been silent for long enough to count as cut off.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.silent_checks
            .get(zone)
            .is_some_and(|checks| *checks >= PERSISTENT_SILENCE_CHECKS)
    }
}

/// A change of a pool's split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitChange {
    /// The pool.
    pub pool: PoolName,
    /// Statistics of the new split.
    pub stats: SplitStats,
}

/// An engine to be ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedEngine<'a> {
    pub digest: u32,
    pub zone: &'a ZoneName,
}

/// The split of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSplit {
    /// Position of the boundary in steps; `None` while the pool is not split.
    boundary: Option<u32>,
    is_saturated: bool,
    prompt_engines: HashSet<u32>,
    /// Total of the placed tokens at the last update.
    last_placed_tokens: Option<u64>,
    /// Number of measurements with a positive placement rate.
    rate_count: u32,
    /// Mean exposure of the streams that are placed on engines for streams.
    mean_exposure: Option<f64>,
    stats: SplitStats,
}

impl PoolSplit {
    /// Updates the split from the current load and `placed_tokens`, the total number of unshared
    /// tokens ever placed; `elapsed_seconds` is the time since the last update. Returns whether
    /// the boundary has moved.
    pub fn update(
        &mut self,
        engines: &[RankedEngine<'_>],
        load: PoolLoad,
        placed_tokens: u64,
        elapsed_seconds: f64,
    ) -> bool {
        self.record_placed(placed_tokens, elapsed_seconds);
        let exposure = self.mean_exposure.unwrap_or(1.0);
        let need = EngineNeed::of(&load, self.stats.placed_tokens_per_second, exposure);
        let before = self.boundary;
        self.boundary = self.next_boundary(&load, &need);
        self.prompt_engines = match self.boundary {
            Some(steps) => first_ranked(engines, f64::from(steps) * BOUNDARY_STEP),
            None => HashSet::new(),
        };
        self.stats = SplitStats {
            prompt_engines: self.prompt_engines.len() as u32,
            ranked_engines: engines.len() as u32,
            need,
            load,
            placed_tokens_per_second: self.stats.placed_tokens_per_second,
        };
        self.boundary != before
    }

    fn record_placed(&mut self, placed_tokens: u64, elapsed_seconds: f64) {
        // A falling total means that a node's reports are not counted anymore; the measurement
        // restarts.
        if let Some(before) = self
            .last_placed_tokens
            .filter(|before| *before <= placed_tokens)
        {
            let rate = (placed_tokens - before) as f64 / elapsed_seconds.max(f64::EPSILON);
            // The first rates are averaged. Otherwise a pool that is saturated from the start
            // would be split for the seconds in which the smoothed rate rises.
            self.rate_count = self.rate_count.saturating_add(u32::from(rate > 0.0));
            let weight = RATE_SMOOTHING.max(1.0 / f64::from(self.rate_count.max(1)));
            self.stats.placed_tokens_per_second +=
                weight * (rate - self.stats.placed_tokens_per_second);
        }
        self.last_placed_tokens = Some(placed_tokens);
    }

    fn next_boundary(&mut self, load: &PoolLoad, need: &EngineNeed) -> Option<u32> {
        let is_large = f64::from(load.engines) >= MIN_POOL_ENGINES;
        if !is_large || !self.has_exposed_streams(load) {
            self.is_saturated = false;
            return None;
        }
        if !self.has_capacity(load, need) {
            return None;
        }
        let target = need.prompt_share(load.engines) / BOUNDARY_STEP;
        let Some(boundary) = self.boundary else {
            return Some(target.round().max(1.0) as u32);
        };
        let distance = target - f64::from(boundary);
        if distance.abs() <= BOUNDARY_HYSTERESIS {
            return Some(boundary);
        }
        let steps = (distance.abs().round() as u32).min(MAX_STEPS_PER_UPDATE);
        Some(if distance > 0.0 {
            boundary + steps
        } else {
            boundary.saturating_sub(steps)
        })
    }

    /// Records the exposure of a stream to long prompts.
    pub fn record_exposure(&mut self, exposure: f64) {
        let mean = self.mean_exposure.get_or_insert(exposure);
        *mean += EXPOSURE_SMOOTHING * (exposure - *mean);
    }

    fn has_exposed_streams(&self, load: &PoolLoad) -> bool {
        let threshold = if self.boundary.is_some() {
            SPLIT_STOP_THRESHOLD
        } else {
            SPLIT_START_THRESHOLD
        };
        load.exposed_streams > threshold * f64::from(load.slots)
    }

    /// Updates the saturation, and returns whether the pool has capacity for a split.
    fn has_capacity(&mut self, load: &PoolLoad, need: &EngineNeed) -> bool {
        let (engine_limit, slot_limit) = if self.is_saturated {
            (SATURATION_STOP, SLOT_SATURATION_STOP)
        } else {
            (SATURATION_START, SLOT_SATURATION_START)
        };
        self.is_saturated = need.prompts + need.streams >= engine_limit * f64::from(load.engines)
            || f64::from(load.running) >= slot_limit * f64::from(load.slots);
        !self.is_saturated
    }

    /// Whether the pool is split now.
    pub fn is_active(&self) -> bool {
        self.boundary.is_some()
    }

    /// Whether the pool is too loaded to be split, because it lacks engines or slots.
    pub fn is_saturated(&self) -> bool {
        self.is_saturated
    }

    /// Whether an engine is on the streams' side.
    pub fn serves_streams(&self, digest: u32) -> bool {
        !self.prompt_engines.contains(&digest)
    }

    /// Time in which an engine of the pool prefills a number of tokens.
    pub fn prefill_time(&self, tokens: u32) -> Span {
        let rate = self.stats.load.prefill_tokens_per_second.max(1.0);
        Span::from_seconds(f64::from(tokens) / rate)
    }

    /// Mean number of exposed streams per engine for streams.
    pub fn mean_exposed_streams(&self) -> f64 {
        let stats = &self.stats;
        let engines = stats.ranked_engines.saturating_sub(stats.prompt_engines);
        stats.load.exposed_streams / f64::from(engines.max(1))
    }

    pub fn stats(&self) -> SplitStats {
        self.stats
    }
}

/// The engines in the first `share` of each zone's ranking. Each zone rounds with a different
/// offset, so that a moving boundary doesn't pass an engine in all zones at once.
fn first_ranked(engines: &[RankedEngine<'_>], share: f64) -> HashSet<u32> {
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, u32)>> = BTreeMap::new();
    for engine in engines {
        let hash = xxh3_64_with_seed(&engine.digest.to_le_bytes(), RANKING_SEED);
        let ranking = zones.entry(engine.zone).or_default();
        ranking.push((hash, engine.digest));
    }
    let zone_count = zones.len() as f64;
    let mut selected = HashSet::new();
    for (index, mut ranking) in zones.into_values().enumerate() {
        ranking.sort_unstable();
        let offset = (index as f64 + 0.5) / zone_count;
        let count = ranking.len() as f64 * share + offset;
        selected.extend(
            ranking
                .iter()
                .take(count as usize)
                .map(|(_, digest)| digest),
        );
    }
    selected
}
