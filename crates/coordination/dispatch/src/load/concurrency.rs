//! How full a plain back end usually is, over the last seconds.
//!
//! A call to a plain service takes some 15 ms, and what is known of the other nodes' calls is some
//! hundred milliseconds old: a single count tells how many ran at a moment that is long over. One
//! back end with 6 slots and five calls at once on the average was held to be full, at 8, for one
//! count in seven (reckoned), by all nodes at once and for as long as the count was the latest: with two of
//! three back ends gone for good more than a quarter of the calls was refused until the end of the
//! day, and the back end itself, which has a short queue, turned away next to none.

use eiderferry_types::{Span, Timestamp};

/// Time over which counts are averaged: some ten of the sums that a node is told.
const AVERAGING_TIME: Span = Span::from_milliseconds(2_000);
/// Most that a single count weighs, however long nothing was asked before it.
const MAX_SAMPLE_WEIGHT: f64 = 0.5;

/// Weight of the newest answer in the usual time of one.
const RESPONSE_TIME_SMOOTHING: f64 = 0.1;
/// Most rounds of calls that one may wait for, however short they are: a back end's own queue
/// holds a few, and what is beyond it comes back as not run.
const MAX_BATCHES: f64 = 4.0;

/// Mean number of requests at a back end, and how long it usually takes to answer one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyEstimate {
    mean: f64,
    updated_at: Timestamp,
    mean_response_time: Option<Span>,
}

impl ConcurrencyEstimate {
    /// Takes a count in. Returns the mean with it.
    pub fn record(&mut self, running: u32, now: Timestamp) -> f64 {
        let weight = now.since(self.updated_at).0 as f64 / AVERAGING_TIME.0 as f64;
        self.mean += weight.min(MAX_SAMPLE_WEIGHT) * (f64::from(running) - self.mean);
        self.updated_at = now;
        self.mean
    }

    /// Takes in how long an answer took.
    pub fn record_response(&mut self, response_time: Span) {
        let mean = self.mean_response_time.unwrap_or(response_time);
        let newest = response_time.scaled(RESPONSE_TIME_SMOOTHING);
        self.mean_response_time = Some(mean.scaled(1.0 - RESPONSE_TIME_SMOOTHING) + newest);
    }

    /// Rounds of calls that fit a target, the call's own included: with so many times its slots
    /// at a back end a call still comes in time. Calls on their way count as running there: 220 a
    /// second that take 15 ms at the back end and 30 ms in all are 6.5 at once of 6 slots, and
    /// with 1.3 times the slots as the bound some 16 in 100 were refused though the back end was
    /// half idle. Where it is not, answers take longer and the bound falls.
    pub fn batches_within(&self, target: Span) -> f64 {
        let Some(mean_response_time) = self.mean_response_time.filter(|time| *time > Span::ZERO)
        else {
            return 1.0;
        };
        (target.0 as f64 / mean_response_time.0 as f64).clamp(1.0, MAX_BATCHES)
    }
}
