//! Moving averages of observed quantities.

use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;

/// Exponentially weighted mean and mean absolute deviation of a quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovingAverage {
    mean: f64,
    deviation: f64,
    weight: f64,
    samples: u64,
}

impl MovingAverage {
    /// Creates an average with the mean `initial`; each sample has the given `weight`,
    /// 0 to 1.
    pub fn new(initial: f64, weight: f64) -> Self {
        Self {
            mean: initial,
            deviation: initial / 2.0,
            weight,
            samples: 0,
        }
    }

    /// Adds a sample. The first one replaces the initial mean.
    pub fn record(&mut self, sample: f64) {
        if self.samples == 0 {
            self.mean = sample;
        }
        self.samples += 1;
        let difference = sample - self.mean;
        self.mean += self.weight * difference;
        self.deviation += self.weight * (difference.abs() - self.deviation);
    }

    /// The current mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// A value that most samples are expected to stay below: mean plus mean deviation.
    pub fn upper_estimate(&self) -> f64 {
        self.mean + self.deviation
    }

    /// Number of samples added.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}

/// Events per second, as an exponentially decaying average.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    per_second: f64,
    updated_at: Timestamp,
}

/// Time constant of [`EventRate`].
const RATE_TIME_CONSTANT_SECONDS: f64 = 2.0;

impl EventRate {
    /// Creates a rate of zero.
    pub fn new(now: Timestamp) -> Self {
        Self {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Adds one event.
    pub fn record(&mut self, now: Timestamp) {
        self.per_second = self.per_second(now) + 1.0 / RATE_TIME_CONSTANT_SECONDS;
        self.updated_at = now;
    }

    /// The rate at the time `now`.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).seconds();
        self.per_second * (-elapsed / RATE_TIME_CONSTANT_SECONDS).exp()
    }
}

/// Weight of one response in an average response length.
const LENGTH_SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of keys with an average length; further keys use the initial
/// length.
const MAX_LENGTH_KEYS: usize = 20_000;

/// Average response lengths, in tokens, for each key.
///
/// The length of a response is not known in advance: these estimates are used for
/// reservations and fairness, and no guarantee depends on them.
#[derive(Clone, Debug, Default)]
pub struct ResponseLengths<Key: Ord> {
    lengths: BTreeMap<Key, MovingAverage>,
}

impl<Key: Ord> ResponseLengths<Key> {
    /// Adds the length of one complete response.
    pub fn record(&mut self, key: Key, tokens: u32) {
        if self.lengths.len() >= MAX_LENGTH_KEYS && !self.lengths.contains_key(&key) {
            return;
        }
        self.lengths
            .entry(key)
            .or_insert_with(|| MovingAverage::new(f64::from(tokens), LENGTH_SAMPLE_WEIGHT))
            .record(f64::from(tokens));
    }

    /// A length that most responses of this key are expected to stay below; `initial` if
    /// none was recorded.
    pub fn upper_estimate(&self, key: &Key, initial: u32) -> u32 {
        self.lengths
            .get(key)
            .map_or(initial, |average| average.upper_estimate() as u32)
    }
}

/// Converts microseconds to a span; negative values become zero.
pub fn span_from_microseconds(microseconds: f64) -> Span {
    Span(microseconds.max(0.0) as u64)
}
