//! Learned averages.

use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;

/// Exponentially weighted mean and mean deviation of a quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovingAverage {
    mean: f64,
    deviation: f64,
    weight: f64,
    samples: u64,
}

impl MovingAverage {
    /// An average that starts at `assumed`; each sample counts with `weight`.
    pub fn new(initial: f64, weight: f64) -> Self {
        Self {
            mean: initial,
            deviation: initial / 2.0,
            weight,
            samples: 0,
        }
    }

    /// Takes in one sample. The first one replaces the assumption.
    pub fn record(&mut self, sample: f64) {
        if self.samples == 0 {
            self.mean = sample;
        }
        self.samples += 1;
        let difference = sample - self.mean;
        self.mean += self.weight * difference;
        self.deviation += self.weight * (difference.abs() - self.deviation);
    }

    /// The mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// A value that most samples stay below.
    pub fn upper_estimate(&self) -> f64 {
        self.mean + self.deviation
    }

    /// Samples taken in.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}

/// Events a second, averaged over a sliding time constant.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    per_second: f64,
    updated_at: Timestamp,
}

/// Time constant of [`Rate`].
const RATE_TIME_CONSTANT_SECONDS: f64 = 2.0;

impl EventRate {
    /// A rate of zero.
    pub fn new(now: Timestamp) -> Self {
        Self {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Counts one event.
    pub fn record(&mut self, now: Timestamp) {
        self.per_second = self.per_second(now) + 1.0 / RATE_TIME_CONSTANT_SECONDS;
        self.updated_at = now;
    }

    /// The rate as of now.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).seconds();
        self.per_second * (-elapsed / RATE_TIME_CONSTANT_SECONDS).exp()
    }
}

/// Weight of one answer in a learned answer length.
const LENGTH_SAMPLE_WEIGHT: f64 = 0.05;
/// Learned lengths kept at the most; past that, new keys use the assumption.
const MAX_LENGTH_KEYS: usize = 20_000;

/// Learned answer lengths per key.
///
/// Nobody knows the length of an answer beforehand: these feed reservations and
/// fairness, never a promise.
#[derive(Clone, Debug, Default)]
pub struct ResponseLengths<Key: Ord> {
    lengths: BTreeMap<Key, MovingAverage>,
}

impl<Key: Ord> ResponseLengths<Key> {
    /// Takes in the length of one complete answer.
    pub fn record(&mut self, key: Key, tokens: u32) {
        if self.lengths.len() >= MAX_LENGTH_KEYS && !self.lengths.contains_key(&key) {
            return;
        }
        self.lengths
            .entry(key)
            .or_insert_with(|| MovingAverage::new(f64::from(tokens), LENGTH_SAMPLE_WEIGHT))
            .record(f64::from(tokens));
    }

    /// A length that most answers of this key stay below.
    pub fn upper_estimate(&self, key: &Key, initial: u32) -> u32 {
        self.lengths
            .get(key)
            .map_or(initial, |average| average.upper_estimate() as u32)
    }
}

/// Converts a mean in microseconds to a span.
pub fn span_from_microseconds(microseconds: f64) -> Span {
    Span(microseconds.max(0.0) as u64)
}
