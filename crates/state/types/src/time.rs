//! Points in time and durations, in microseconds. State machines get the time from their caller.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Mul, Sub};

/// Microseconds in a millisecond.
pub const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// A point in time on the process's monotonic clock, in microseconds.
///
/// Timestamps of different processes must not be compared, so messages carry a [`Span`]
/// instead.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Timestamp {
    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Timestamp) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Time remaining until `later`, or zero if `later` has passed.
    pub fn until(self, later: Timestamp) -> Span {
        later.since(self)
    }
}

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// A span of this many milliseconds.
    pub const fn from_milliseconds(milliseconds: u64) -> Self {
        Self(milliseconds * MICROSECONDS_PER_MILLISECOND)
    }

    /// A span of this many seconds; negative values count as zero.
    pub fn from_seconds(seconds: f64) -> Self {
        Self((seconds.max(0.0) * MICROSECONDS_PER_SECOND as f64) as u64)
    }

    /// The span multiplied by `factor`; a negative factor counts as zero.
    pub fn scaled(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }

    /// The span in milliseconds, rounded down.
    pub const fn milliseconds(self) -> u64 {
        self.0 / MICROSECONDS_PER_MILLISECOND
    }

    /// The span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / MICROSECONDS_PER_SECOND as f64
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl Mul<u64> for Span {
    type Output = Span;

    fn mul(self, factor: u64) -> Span {
        Span(self.0 * factor)
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}
