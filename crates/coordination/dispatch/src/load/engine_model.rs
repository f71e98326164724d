//! How an engine treats its streams, learned from the streams that ran there.
//!
//! An engine generates a token for each of its streams a step, and reads a piece of a
//! waiting prompt in the same step. A step that reads takes many times longer, and an
//! event may hold several tokens: while a long prompt is read, the events of all streams
//! beside it come late, up to a pause that no longer prompt exceeds. That longest pause
//! and the spacing without disturbance are learned, for a pool and for each engine.

use crate::StreamPacing;
use eiderferry_routing::EngineSpecification;
use eiderferry_types::Span;

/// Time of a step that reads a piece of a prompt, until streams have been seen (53 to
/// 78 ms at three deployments, as the learned quantile told it).
const ASSUMED_PREFILL_STEP_MS: f64 = 70.0;
/// Time of a step without reading, until streams have been seen (measured there, too).
const ASSUMED_DECODE_STEP_MS: f64 = 6.0;
/// Tokens of an event where the configuration tells nothing.
const ASSUMED_TOKENS_PER_EVENT: u32 = 1;
/// Part of the streams whose longest pause stays under the learned one: the streams that
/// ran beside a long prompt are mostly more than a tenth, and their pauses lie close.
const PAUSE_QUANTILE: f64 = 0.9;
/// The same where long prompts have engines enough of their own: few streams there run beside
/// a prompt of the longest, and what it does to others must not be forgotten. With 0.9 the split
/// of 90 engines ended itself at times: 52 of 2,000 streams late, load played.
const MIXED_PAUSE_QUANTILE: f64 = 0.98;
/// Part of the streams whose spacing stays under the learned one: those that ran almost
/// without disturbance.
const SPACING_QUANTILE: f64 = 0.25;
/// Largest change of a learned quantile by one stream, as a part of it.
const LEARNING_RATE: f64 = 0.06;
/// Streams shorter than this tell too little.
const MIN_OBSERVED_EVENTS: u64 = 5;
/// A learned figure stays within this factor of where it began: faults of a few
/// seconds must not make it useless.
const MAX_DRIFT_FACTOR: f64 = 4.0;
/// Slowest and fastest that an engine is believed to be against its pool.
const RELATIVE_SLOWNESS_BOUNDS: (f64, f64) = (0.6, 3.0);
/// Longest pauses of streams beside a long prompt, against the learned quantile: the
/// middle one, and their spread on a logarithmic scale (measured on 3,500 streams).
const MEDIAN_PAUSE_RATIO: f64 = 0.9;
const PAUSE_LOG_SPREAD: f64 = 0.15;

/// A quantile that follows a series of samples.
#[derive(Clone, Copy, Debug)]
struct QuantileEstimate {
    value: f64,
    initial: f64,
    level: f64,
}

impl QuantileEstimate {
    fn new(initial: f64, level: f64) -> Self {
        Self {
            value: initial,
            initial,
            level,
        }
    }

    fn observe(&mut self, sample: f64) {
        self.observe_at_level(sample, self.level);
    }

    /// Learns from a sample of a series of which this part stays under the quantile.
    fn observe_at_level(&mut self, sample: f64, level: f64) {
        let step = if sample > self.value {
            level
        } else {
            level - 1.0
        };
        let bounds = (
            self.initial / MAX_DRIFT_FACTOR,
            self.initial * MAX_DRIFT_FACTOR,
        );
        self.value = (self.value * (LEARNING_RATE * step).exp()).clamp(bounds.0, bounds.1);
    }
}

fn milliseconds(span: Span) -> f64 {
    span.seconds() * 1_000.0
}

/// What is learned of the engines of a pool together.
#[derive(Clone, Copy, Debug)]
pub struct PoolModel {
    prefill_pause_ms: QuantileEstimate,
    spacing_ms: QuantileEstimate,
    has_seen_streams: bool,
}

/// How fast one engine is against its pool.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    spacing_ms: QuantileEstimate,
    /// Whether a stream has told anything of it; until then it is as fast as its pool.
    has_observations: bool,
}

impl PoolModel {
    /// What is assumed of engines that no stream has been seen of.
    pub fn new(engine: Option<&EngineSpecification>) -> Self {
        let tokens = engine.map_or(ASSUMED_TOKENS_PER_EVENT, |engine| engine.tokens_per_event);
        let tokens = f64::from(tokens.max(1));
        Self {
            prefill_pause_ms: QuantileEstimate::new(
                tokens * ASSUMED_PREFILL_STEP_MS,
                PAUSE_QUANTILE,
            ),
            spacing_ms: QuantileEstimate::new(tokens * ASSUMED_DECODE_STEP_MS, SPACING_QUANTILE),
            has_seen_streams: false,
        }
    }

    /// Whether anything was learned yet.
    pub fn has_seen_streams(&self) -> bool {
        self.has_seen_streams
    }

    /// Learns from a stream that has ended.
    pub fn observe_stream(&mut self, pacing: &StreamPacing) {
        let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) else {
            return;
        };
        self.has_seen_streams = true;
        self.spacing_ms.observe(milliseconds(spacing));
        self.prefill_pause_ms
            .observe(milliseconds(pacing.longest_pause()));
    }

    /// The same from a stream at an engine that long prompts are kept apart at.
    pub fn learn_mixed(&mut self, pacing: &StreamPacing) {
        let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) else {
            return;
        };
        self.has_seen_streams = true;
        self.spacing_ms.observe(milliseconds(spacing));
        let pause = milliseconds(pacing.longest_pause());
        self.prefill_pause_ms
            .observe_at_level(pause, MIXED_PAUSE_QUANTILE);
    }

    /// The same from a stream that was kept apart from long prompts: it tells nothing of how
    /// long they make others pause, and would make that be forgotten.
    pub fn learn_isolated(&mut self, pacing: &StreamPacing) {
        if let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) {
            self.has_seen_streams = true;
            self.spacing_ms.observe(milliseconds(spacing));
        }
    }

    /// An engine of this pool that no stream has been seen of.
    pub fn engine_speed(&self) -> EngineSpeed {
        EngineSpeed {
            spacing_ms: self.spacing_ms,
            has_observations: false,
        }
    }

    /// Longest pause that reading makes at an engine, however long the prompt is.
    pub fn prefill_pause(&self, speed: &EngineSpeed) -> Span {
        Span::from_seconds(self.prefill_pause_ms.value * self.relative_slowness(speed) / 1_000.0)
    }

    /// Time between two events of an undisturbed stream at an engine.
    pub fn spacing(&self, speed: &EngineSpeed) -> Span {
        Span::from_seconds(self.spacing_ms.value * self.relative_slowness(speed) / 1_000.0)
    }

    fn relative_slowness(&self, speed: &EngineSpeed) -> f64 {
        if !speed.has_observations {
            return 1.0;
        }
        let relative_slowness = speed.spacing_ms.value / self.spacing_ms.value;
        relative_slowness.clamp(RELATIVE_SLOWNESS_BOUNDS.0, RELATIVE_SLOWNESS_BOUNDS.1)
    }

    /// Chance that a stream exceeds its target for pauses, 0 to 1, when a prompt that
    /// takes so long to read is read beside it.
    pub fn late_event_probability(
        &self,
        speed: &EngineSpeed,
        target: Span,
        prefill_time: Span,
    ) -> f64 {
        let longest = milliseconds(self.prefill_pause(speed)) * MEDIAN_PAUSE_RATIO;
        let pause = (milliseconds(self.spacing(speed)) + milliseconds(prefill_time)).min(longest);
        let log_ratio = (pause / milliseconds(target).max(1.0)).ln() / PAUSE_LOG_SPREAD;
        1.0 / (1.0 + (-log_ratio).exp())
    }

    /// The same for prompts so long that no longer one would make a difference.
    pub fn delay_probability_beside_long_prompts(&self, speed: &EngineSpeed, target: Span) -> f64 {
        self.late_event_probability(speed, target, Span(u64::MAX))
    }

    /// Part of the streams that the longest reading would make late which one of this
    /// length makes late, 0 to 1. Their targets are taken to lie at the longest pause:
    /// of those far above none is late, and far below there are few.
    pub fn delayed_share(&self, speed: &EngineSpeed, prefill_time: Span) -> f64 {
        let target = self.prefill_pause(speed).scaled(MEDIAN_PAUSE_RATIO);
        let longest = self.delay_probability_beside_long_prompts(speed, target);
        self.late_event_probability(speed, target, prefill_time) / longest
    }

    /// Whether a prompt that takes so long to read disturbs others noticeably: half as
    /// much as the longest can.
    pub fn is_long_prefill(&self, speed: &EngineSpeed, prefill_time: Span) -> bool {
        prefill_time.0 * 2 >= self.prefill_pause(speed).0
    }
}

impl EngineSpeed {
    /// Whether a stream has told anything of it.
    pub fn has_observations(&self) -> bool {
        self.has_observations
    }

    /// Learns from a stream that has ended there.
    pub fn observe_stream(&mut self, pacing: &StreamPacing) {
        if let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) {
            self.has_observations = true;
            self.spacing_ms.observe(milliseconds(spacing));
        }
    }
}

fn has_enough_events(pacing: &StreamPacing) -> bool {
    pacing.events() >= MIN_OBSERVED_EVENTS
}
