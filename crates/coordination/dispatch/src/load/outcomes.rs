//! Recent outcomes of requests at a back end, across all nodes that report them.

use crate::Outcome;
use eiderferry_types::{Span, Timestamp};
use std::collections::VecDeque;

/// Width of a bucket, and the number of recent buckets that are counted.
const BUCKET_WIDTH: Span = Span::from_milliseconds(1_000);
const BUCKET_COUNT: u64 = 4;
/// Number of successful responses assumed in addition: a single failure is weak evidence.
const ASSUMED_COMPLETED: f64 = 3.0;

/// Numbers of completed and failed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests with a complete response, other than a report of a failure.
    pub completed: u32,
    /// Requests that failed or got no response.
    pub failed: u32,
}

impl OutcomeCounts {
    /// Adds two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            completed: self.completed + other.completed,
            failed: self.failed + other.failed,
        }
    }

    /// Whether both counts are 0.
    pub fn is_empty(self) -> bool {
        self.completed == 0 && self.failed == 0
    }

    /// Share of failures, 0 to 1; it is biased towards 0 when there are few responses.
    pub fn failure_share(self) -> f64 {
        let total = f64::from(self.completed + self.failed) + ASSUMED_COMPLETED;
        f64::from(self.failed) / total
    }
}

/// Outcomes that this node has observed recently.
#[derive(Clone, Debug, Default)]
pub struct RecentOutcomes {
    buckets: VecDeque<(u64, OutcomeCounts)>,
}

impl RecentOutcomes {
    /// Records an outcome.
    pub fn record(&mut self, outcome: Outcome, now: Timestamp) {
        let number = now.0 / BUCKET_WIDTH.0;
        while self
            .buckets
            .front()
            .is_some_and(|(first, _)| first + BUCKET_COUNT <= number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|(last, _)| *last < number) {
            self.buckets.push_back((number, OutcomeCounts::default()));
        }
        let Some((_, counts)) = self.buckets.back_mut() else {
            return;
        };
        match outcome {
            Outcome::Abandoned | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Completed | Outcome::Rejected => counts.completed += 1,
            _ => counts.failed += 1,
        }
    }

    /// Counts of the last few seconds.
    pub fn counts(&self, now: Timestamp) -> OutcomeCounts {
        let number = now.0 / BUCKET_WIDTH.0;
        let recent = self
            .buckets
            .iter()
            .filter(|(bucket, _)| bucket + BUCKET_COUNT > number);
        recent.fold(OutcomeCounts::default(), |sum, (_, counts)| {
            sum.plus(*counts)
        })
    }
}
