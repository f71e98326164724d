//! Time as the state machines see it: microseconds handed in by the caller.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Mul, Sub};

/// Microseconds in a millisecond.
pub const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// A moment on the process's monotonic clock, in microseconds since its start.
///
/// Timestamps of two processes are never compared: what crosses the network is
/// a [`Span`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

/// A length of time in microseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Timestamp {
    /// Time passed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: Timestamp) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`, or zero if it has passed.
    pub fn until(self, later: Timestamp) -> Span {
        later.since(self)
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of whole milliseconds.
    pub const fn from_milliseconds(milliseconds: u64) -> Self {
        Self(milliseconds * MICROSECONDS_PER_MILLISECOND)
    }

    /// A span of seconds; negative values count as zero.
    pub fn from_seconds(seconds: f64) -> Self {
        Self((seconds.max(0.0) * MICROSECONDS_PER_SECOND as f64) as u64)
    }

    /// The span times a factor; a negative factor counts as zero.
    pub fn scaled(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }

    /// Whole milliseconds, rounded down.
    pub const fn milliseconds(self) -> u64 {
        self.0 / MICROSECONDS_PER_MILLISECOND
    }

    /// Seconds as a fraction.
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
