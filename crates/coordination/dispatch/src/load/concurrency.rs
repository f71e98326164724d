//! Average load of a back end that is not a model engine, over the last seconds.
//!
//! A call to such a back end takes about 15 ms, while the counts received from other nodes are
//! several hundred milliseconds old, so a single count describes calls that have already ended.
//! Judged by single counts, a back end with 6 slots and five concurrent calls on average appeared
//! full, at 8 calls, in one count out of seven (calculated), to all nodes at once and until the
//! next count arrived. With two of three back ends permanently down, more than a quarter of the
//! calls were refused until the end of the day, although the remaining back end, which has a
//! short queue, rejected almost none.

use eiderferry_types::{Span, Timestamp};

/// Time over which counts are averaged: about ten of the aggregated counts that a node receives.
const AVERAGING_TIME: Span = Span::from_milliseconds(2_000);
/// Maximum weight of a single count, however long ago the previous one was.
const MAX_SAMPLE_WEIGHT: f64 = 0.5;

/// Weight of the newest response in the mean response time.
const RESPONSE_TIME_SMOOTHING: f64 = 0.1;
/// Upper limit for `batches_within`, however short the calls are: a back end's own queue holds a
/// few batches, and calls beyond that are returned without being run.
const MAX_BATCHES: f64 = 4.0;

/// Mean number of requests at a back end, and its mean response time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyEstimate {
    mean: f64,
    updated_at: Timestamp,
    mean_response_time: Option<Span>,
}

impl ConcurrencyEstimate {
    /// Records a count of running requests. Returns the updated mean.
    pub fn record(&mut self, running: u32, now: Timestamp) -> f64 {
        let weight = now.since(self.updated_at).0 as f64 / AVERAGING_TIME.0 as f64;
        self.mean += weight.min(MAX_SAMPLE_WEIGHT) * (f64::from(running) - self.mean);
        self.updated_at = now;
        self.mean
    }

    /// Records the response time of a call.
    pub fn record_response(&mut self, response_time: Span) {
        let mean = self.mean_response_time.unwrap_or(response_time);
        let newest = response_time.scaled(RESPONSE_TIME_SMOOTHING);
        self.mean_response_time = Some(mean.scaled(1.0 - RESPONSE_TIME_SMOOTHING) + newest);
    }

    /// Number of batches of calls that finish within a target, including the call's own: with
    /// this multiple of its slots in use, a back end still answers in time. Calls in transit
    /// count as running: 220 calls per second that take 15 ms at the back end and 30 ms in total
    /// are 6.5 concurrent calls for 6 slots. With a limit of 1.3 times the slots, about 16 in 100
    /// of them were refused although the back end was half idle. When the back end is busy,
    /// responses take longer and the limit falls.
    pub fn batches_within(&self, target: Span) -> f64 {
        let Some(mean_response_time) = self.mean_response_time.filter(|time| *time > Span::ZERO)
        else {
            return 1.0;
        };
        (target.0 as f64 / mean_response_time.0 as f64).clamp(1.0, MAX_BATCHES)
    }
}
