//! How full a plain back end usually is, over the last seconds.
//!
//! A call to a plain service takes some 15 ms, and what is known of the other nodes' calls is some
//! hundred milliseconds old: a single count tells how many ran at a moment that is long over. One
//! back end with 6 slots and five calls at once on the average was held to be full, at 8, for one
//! count in seven, by all nodes at once and for as long as the count was the latest: with two of
//! three back ends gone for good a tenth of all calls was refused until the end of the day, and
//! the back end itself, which has a short queue, turned away next to none.

use eiderferry_types::{Span, Timestamp};

/// Time over which counts are averaged: some ten of the sums that a node is told.
const MEMORY: Span = Span::from_milliseconds(2_000);
/// Most that a single count weighs, however long nothing was asked before it.
const MOST_WEIGHT: f64 = 0.5;

/// Mean number of requests at a back end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crowding {
    mean: f64,
    noted_at: Timestamp,
}

impl Crowding {
    /// Takes a count in. Returns the mean with it.
    pub fn note(&mut self, running: u32, now: Timestamp) -> f64 {
        let part = now.since(self.noted_at).0 as f64 / MEMORY.0 as f64;
        self.mean += part.min(MOST_WEIGHT) * (f64::from(running) - self.mean);
        self.noted_at = now;
        self.mean
    }
}
