//! How the engines of a pool are split between streams that reading makes late and long
//! prompts.
//!
//! All engines of a pool are ranked once by hashing, zone by zone, so that any part of the
//! ranking lies in all zones alike. Those before the border read long prompts, those behind it
//! run streams that a long reading beside them would make late. The border follows the load
//! that every node sees, in steps: nodes whose sums differ a little choose the same step, and
//! a step moves only the engines between its two ends.

use eiderferry_routing::{PoolName, ZoneName};
use eiderferry_types::Span;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exposed streams for each slot of a pool from which on, and down to which, its engines are
/// split: apart, so that homes do not move to and fro.
const SPLIT_START_THRESHOLD: f64 = 0.01;
const SPLIT_STOP_THRESHOLD: f64 = 0.003;
/// Engines that both kinds need, as a multiple of those there are, from which on a pool is split
/// no more, and down to which it stays so: each engine is needed for whatever comes. At 1.9 three
/// times as many streams came late split as not (207 and 63 of 2,000, load played).
const SATURATION_START: f64 = 1.15;
const SATURATION_STOP: f64 = 1.0;
/// Part of a pool's slots in use from which on it is split no more, and down to which it stays
/// so. An engine that reads keeps its requests several times as long: long prompts on few
/// engines fill their slots first where slots are what is short. With 90 engines of 16 slots
/// and 0.62 of them in use 551 of 4,804 streams came late split, 419 not.
const SLOT_SATURATION_START: f64 = 0.45;
const SLOT_SATURATION_STOP: f64 = 0.35;
/// Engines that each side has at least, so that one that fails does not take all along.
const MIN_ENGINES_PER_SIDE: f64 = 2.0;
/// Part of the engines that each kind has at least, for a burst that no sum tells of yet.
const MIN_PROMPT_SHARE: f64 = 0.25;
const MIN_STREAM_SHARE: f64 = 0.125;
/// Engines of the smallest pool that is split.
const MIN_POOL_ENGINES: f64 = 8.0;
/// Part of their time that engines for long prompts are meant to read: room for bursts.
const PREFILL_UTILISATION: f64 = 0.6;
/// Part of its slots that an engine of either side is meant to have in use.
const SLOT_UTILISATION: f64 = 0.5;
/// Part of an engine's memory that requests which run there are meant to take.
const MEMORY_UTILISATION: f64 = 0.5;
/// Part of a ranking that one step of the border takes.
const BOUNDARY_STEP: f64 = 0.05;
/// How far, in steps, the load must be from where the border stands to move it: more than
/// half a step, so that it does not move to and fro between two.
const BOUNDARY_HYSTERESIS: f64 = 0.8;
/// Most steps of the border at a look: a burst that fills the pool is followed within two
/// seconds.
const MAX_STEPS_PER_UPDATE: u32 = 3;
/// Weight of the newest stream in the exposure of usual ones.
const EXPOSURE_SMOOTHING: f64 = 0.05;
/// Looks on end at which a silent zone is taken for cut off: three seconds, where messages were late
/// for 2.2 s at most (1,238 times on a day without a cut).
const PERSISTENT_SILENCE_CHECKS: u32 = 6;
/// Seed of the hash that ranks the engines.
const RANKING_SEED: u64 = 0x5354_5245_414d;
/// Weight of the newest measurement of the tokens placed a second, of two a second: the
/// figure follows a burst within two seconds.
const RATE_SMOOTHING: f64 = 0.3;

/// What runs at a pool, over all nodes, and what its usable engines have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Engines that take work.
    pub engines: u32,
    /// Their slots.
    pub slots: u32,
    /// Their memory in tokens.
    pub memory_tokens: u64,
    /// Requests that run there.
    pub running: u32,
    /// Streams that a long prompt would make late, in expectation.
    pub exposed_streams: f64,
    /// Requests that read long there.
    pub long_requests: u32,
    /// Tokens of memory that only one request has.
    pub unshared_tokens: u64,
    /// Prompt tokens that one engine reads in a second.
    pub prefill_rate: f64,
}

/// How many engines each kind of request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineNeed {
    /// Engines for long prompts.
    pub prompts: f64,
    /// Engines for streams.
    pub streams: f64,
}

impl EngineNeed {
    /// What a load needs in which so many tokens a second are placed.
    fn of(load: &PoolLoad, placed_rate: f64, mean_exposure: f64) -> Self {
        let engines = f64::from(load.engines.max(1));
        let slots_per_engine = f64::from(load.slots.max(1)) / engines * SLOT_UTILISATION;
        let memory_per_engine = (load.memory_tokens as f64 / engines * MEMORY_UTILISATION).max(1.0);
        let prefill_need = placed_rate / load.prefill_rate.max(1.0) / PREFILL_UTILISATION;
        let running = f64::from(load.running);
        let streams = (load.exposed_streams / mean_exposure).min(running);
        let other_requests = running - streams;
        // Nearly all of what only one request has belongs to long prompts.
        let memory_need = load.unshared_tokens as f64 / memory_per_engine;
        Self {
            prompts: prefill_need
                .max(other_requests / slots_per_engine)
                .max(memory_need),
            streams: streams / slots_per_engine,
        }
    }

    /// Part of the engines that long prompts get. What neither kind needs is halved: the fewer
    /// streams an engine has, the fewer does a reading make late; the more engines read, the
    /// more shared parts they keep.
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

/// Figures of a split, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SplitStats {
    /// Engines for long prompts; 0 while the pool is not split.
    pub prompt_engines: u32,
    /// All engines that are ranked.
    pub ranked_engines: u32,
    /// Engines that each kind needs.
    pub need: EngineNeed,
    /// What the need rests on.
    pub load: PoolLoad,
    /// Tokens placed a second.
    pub placed_rate: f64,
}

/// Zones that were silent at several looks on end. Where messages are late a zone counts as
/// silent for some hundred milliseconds now and then, and borders would follow that.
#[derive(Clone, Debug, Default)]
pub(crate) struct PersistentSilence {
    silent_checks: BTreeMap<ZoneName, u32>,
}

impl PersistentSilence {
    /// Notes the zones that are silent at this look.
    pub fn record(&mut self, silent: &BTreeSet<ZoneName>) {
        self.silent_checks.retain(|zone, _| silent.contains(zone));
        for zone in silent {
            let checks = self.silent_checks.entry(zone.clone()).or_default();
            *checks = checks.saturating_add(1);
        }
    }

    /// Whether a zone has been silent for long.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.silent_checks
            .get(zone)
            .is_some_and(|checks| *checks >= PERSISTENT_SILENCE_CHECKS)
    }
}

/// A pool whose engines are split in another way than before.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitChange {
    /// The pool.
    pub pool: PoolName,
    /// How they are split now.
    pub stats: SplitStats,
}

/// An engine in the ranking.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedEngine<'a> {
    pub digest: u32,
    pub zone: &'a ZoneName,
}

/// The split of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSplit {
    /// Steps of the border; `None` while the pool is not split.
    boundary: Option<u32>,
    is_saturated: bool,
    prompt_engines: HashSet<u32>,
    last_placed: Option<u64>,
    /// Looks at which tokens had been placed.
    rate_count: u32,
    /// Exposure of a stream that is placed apart, on average.
    mean_exposure: Option<f64>,
    stats: SplitStats,
}

impl PoolSplit {
    /// Renews the split from what runs now and the tokens that were ever placed; the last
    /// renewal was so many seconds ago. Returns whether the border has moved.
    pub fn update(
        &mut self,
        engines: &[RankedEngine<'_>],
        load: PoolLoad,
        placed: u64,
        seconds: f64,
    ) -> bool {
        self.record_placed(placed, seconds);
        let exposure = self.mean_exposure.unwrap_or(1.0);
        let need = EngineNeed::of(&load, self.stats.placed_rate, exposure);
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
            placed_rate: self.stats.placed_rate,
        };
        self.boundary != before
    }

    fn record_placed(&mut self, placed: u64, seconds: f64) {
        // A sum that falls has lost a teller: it begins anew.
        if let Some(before) = self.last_placed.filter(|before| *before <= placed) {
            let rate = (placed - before) as f64 / seconds.max(f64::EPSILON);
            // The first ones are averaged: a pool that is too full from the start must not be
            // split for the seconds in which the figure grows.
            self.rate_count = self.rate_count.saturating_add(u32::from(rate > 0.0));
            let weight = RATE_SMOOTHING.max(1.0 / f64::from(self.rate_count.max(1)));
            self.stats.placed_rate += weight * (rate - self.stats.placed_rate);
        }
        self.last_placed = Some(placed);
    }

    fn next_boundary(&mut self, load: &PoolLoad, need: &EngineNeed) -> Option<u32> {
        let is_large = f64::from(load.engines) >= MIN_POOL_ENGINES;
        if !is_large || !self.has_streams(load) {
            self.is_saturated = false;
            return None;
        }
        if !self.has_room(load, need) {
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

    /// Notes a stream that is exposed to long prompts.
    pub fn record_exposure(&mut self, exposure: f64) {
        let mean = self.mean_exposure.get_or_insert(exposure);
        *mean += EXPOSURE_SMOOTHING * (exposure - *mean);
    }

    fn has_streams(&self, load: &PoolLoad) -> bool {
        let limit = if self.boundary.is_some() {
            SPLIT_STOP_THRESHOLD
        } else {
            SPLIT_START_THRESHOLD
        };
        load.exposed_streams > limit * f64::from(load.slots)
    }

    fn has_room(&mut self, load: &PoolLoad, need: &EngineNeed) -> bool {
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

    /// Whether both kinds need more engines than there are, so that the load splits nothing.
    pub fn is_saturated(&self) -> bool {
        self.is_saturated
    }

    /// Whether an engine is kept for streams.
    pub fn serves_streams(&self, digest: u32) -> bool {
        !self.prompt_engines.contains(&digest)
    }

    /// Time in which an engine of the pool reads so many tokens.
    pub fn prefill_time(&self, tokens: u32) -> Span {
        let rate = self.stats.load.prefill_rate.max(1.0);
        Span::from_seconds(f64::from(tokens) / rate)
    }

    /// Exposed streams that an engine for streams has on average.
    pub fn mean_exposed_streams(&self) -> f64 {
        let stats = &self.stats;
        let engines = stats.ranked_engines.saturating_sub(stats.prompt_engines);
        stats.load.exposed_streams / f64::from(engines.max(1))
    }

    pub fn stats(&self) -> SplitStats {
        self.stats
    }
}

/// The engines in the first part of the ranking. Each zone has its own, which begins at
/// another fraction of an engine, so that their ends do not all come at once.
fn first_ranked(engines: &[RankedEngine<'_>], share: f64) -> HashSet<u32> {
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, u32)>> = BTreeMap::new();
    for engine in engines {
        let hash = xxh3_64_with_seed(&engine.digest.to_le_bytes(), RANKING_SEED);
        let ranking = zones.entry(engine.zone).or_default();
        ranking.push((hash, engine.digest));
    }
    let zone_count = zones.len() as f64;
    let mut first = HashSet::new();
    for (index, mut ranking) in zones.into_values().enumerate() {
        ranking.sort_unstable();
        let offset = (index as f64 + 0.5) / zone_count;
        let count = ranking.len() as f64 * share + offset;
        first.extend(
            ranking
                .iter()
                .take(count as usize)
                .map(|(_, digest)| digest),
        );
    }
    first
}
