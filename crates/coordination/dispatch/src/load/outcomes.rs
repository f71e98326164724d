//! How requests ended at a back end lately, over all nodes that tell.

use crate::Outcome;
use eiderferry_types::{Span, Timestamp};
use std::collections::VecDeque;

/// Width of a bucket, and buckets that count.
const BUCKET_WIDTH: Span = Span::from_milliseconds(1_000);
const BUCKET_COUNT: u64 = 4;
/// Answers assumed to have been well: a single failure proves little.
const ASSUMED_COMPLETED: f64 = 3.0;

/// Requests that ended, well and not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// With a whole answer.
    pub completed: u32,
    /// With a failure, or without an answer.
    pub failed: u32,
}

impl OutcomeCounts {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            completed: self.completed + other.completed,
            failed: self.failed + other.failed,
        }
    }

    /// Whether there is nothing.
    pub fn is_empty(self) -> bool {
        self.completed == 0 && self.failed == 0
    }

    /// Share of failures, 0 to 1, cautious where little is known.
    pub fn failure_share(self) -> f64 {
        let total = f64::from(self.completed + self.failed) + ASSUMED_COMPLETED;
        f64::from(self.failed) / total
    }
}

/// The outcomes that this node has seen lately.
#[derive(Clone, Debug, Default)]
pub struct RecentOutcomes {
    buckets: VecDeque<(u64, OutcomeCounts)>,
}

impl RecentOutcomes {
    /// Notes an outcome.
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

    /// What was seen in the last seconds.
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
