//! Models how an engine delays its streams, learned from the streams that ran there.
//!
//! In each step an engine generates one token for each of its streams, and also processes a chunk
//! of a waiting prompt. A step with prefill takes many times longer than one without, and an
//! event may contain several tokens. While a long prompt is prefilled, the events of all other
//! streams at the engine are late, up to a maximum pause that doesn't grow with longer prompts.
//! This maximum pause and the spacing of undisturbed events are learned for each pool, and the
//! spacing also for each engine.

use crate::StreamPacing;
use eiderferry_routing::EngineSpecification;
use eiderferry_types::Span;

/// Duration of a step that prefills a chunk of a prompt, in milliseconds, assumed until streams
/// have been observed (53 to 78 ms at three deployments, by the learned quantile).
const ASSUMED_PREFILL_STEP_MS: f64 = 70.0;
/// Duration of a step without prefill, in milliseconds, assumed until streams have been observed
/// (measured at the same deployments).
const ASSUMED_DECODE_STEP_MS: f64 = 6.0;
/// Tokens in an event, if the configuration doesn't specify them.
const ASSUMED_TOKENS_PER_EVENT: u32 = 1;
/// Share of the streams whose longest pause is below the learned pause: mostly more than a tenth
/// of the streams run beside a long prompt, and their pauses differ little.
const PAUSE_QUANTILE: f64 = 0.9;
/// The same for the engines that serve long prompts in a split pool: few of the streams there run
/// beside the longest prompts, and the estimate must still reflect those. With 0.9 the split of a
/// pool of 90 engines sometimes ended by itself, with 52 of 2,000 streams late (simulated load).
const MIXED_PAUSE_QUANTILE: f64 = 0.98;
/// Share of the streams whose spacing is below the learned spacing: those that ran almost
/// undisturbed.
const SPACING_QUANTILE: f64 = 0.25;
/// Largest change of a learned quantile by one stream, as a fraction of its value.
const LEARNING_RATE: f64 = 0.06;
/// Streams with fewer events than this are not used for learning.
const MIN_OBSERVED_EVENTS: u64 = 5;
/// A learned value stays within this factor of its initial value, so that faults lasting a few
/// seconds can't make it useless.
const MAX_DRIFT_FACTOR: f64 = 4.0;
/// Lowest and highest spacing of an engine's events relative to its pool.
const RELATIVE_SLOWNESS_BOUNDS: (f64, f64) = (0.6, 3.0);
/// Longest pause of a stream beside a long prompt, relative to the learned quantile: its median,
/// and its spread on a logarithmic scale (measured on 3,500 streams).
const MEDIAN_PAUSE_RATIO: f64 = 0.9;
const PAUSE_LOG_SPREAD: f64 = 0.15;

/// Online estimate of a quantile of a series of samples.
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

    /// Updates the estimate with a sample from a series in which a share of `level` lies below
    /// the quantile.
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

/// Event timing learned for the engines of a pool together.
#[derive(Clone, Copy, Debug)]
pub struct PoolModel {
    prefill_pause_ms: QuantileEstimate,
    spacing_ms: QuantileEstimate,
    has_seen_streams: bool,
}

/// Speed of one engine relative to its pool.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    spacing_ms: QuantileEstimate,
    /// Whether a stream has been observed at the engine; until then it is assumed to be as fast
    /// as its pool.
    has_observations: bool,
}

impl PoolModel {
    /// Creates a model of engines at which no stream has been observed.
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

    /// Whether any stream has been observed.
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

    /// Like `observe_stream`, for a stream at an engine that serves long prompts in a split pool.
    pub fn observe_mixed_stream(&mut self, pacing: &StreamPacing) {
        let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) else {
            return;
        };
        self.has_seen_streams = true;
        self.spacing_ms.observe(milliseconds(spacing));
        let pause = milliseconds(pacing.longest_pause());
        self.prefill_pause_ms
            .observe_at_level(pause, MIXED_PAUSE_QUANTILE);
    }

    /// Like `observe_stream`, for a stream at an engine that serves no long prompts in a split
    /// pool: its pauses do not show the effect of long prompts, and would make the model forget
    /// it.
    pub fn observe_isolated_stream(&mut self, pacing: &StreamPacing) {
        if let Some(spacing) = pacing.spacing().filter(|_| has_enough_events(pacing)) {
            self.has_seen_streams = true;
            self.spacing_ms.observe(milliseconds(spacing));
        }
    }

    /// Speed of an engine in this pool at which no stream has been observed.
    pub fn engine_speed(&self) -> EngineSpeed {
        EngineSpeed {
            spacing_ms: self.spacing_ms,
            has_observations: false,
        }
    }

    /// Longest pause that the prefill of a prompt causes at an engine, however long the prompt
    /// is.
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

    /// Probability, from 0 to 1, that a stream exceeds its target for pauses while a prompt with
    /// this prefill time is processed beside it.
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

    /// The same for a prompt so long that a longer one would have no greater effect.
    pub fn delay_probability_beside_long_prompts(&self, speed: &EngineSpeed, target: Span) -> f64 {
        self.late_event_probability(speed, target, Span(u64::MAX))
    }

    /// Share, from 0 to 1, of the streams delayed by the longest prefill that one of this
    /// duration also delays. The targets are assumed to be equal to the longest pause: no stream
    /// with a much longer target is late, and few have a much shorter one.
    pub fn delayed_share(&self, speed: &EngineSpeed, prefill_time: Span) -> f64 {
        let target = self.prefill_pause(speed).scaled(MEDIAN_PAUSE_RATIO);
        let longest = self.delay_probability_beside_long_prompts(speed, target);
        self.late_event_probability(speed, target, prefill_time) / longest
    }

    /// Whether a prompt with this prefill time disturbs other streams noticeably: at least half
    /// as much as the longest prompt can.
    pub fn is_long_prefill(&self, speed: &EngineSpeed, prefill_time: Span) -> bool {
        prefill_time.0 * 2 >= self.prefill_pause(speed).0
    }
}

impl EngineSpeed {
    /// Whether a stream has been observed at the engine.
    pub fn has_observations(&self) -> bool {
        self.has_observations
    }

    /// Learns from a stream that has ended at the engine.
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
