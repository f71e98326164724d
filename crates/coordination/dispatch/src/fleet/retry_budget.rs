//! How many repeats a node may send to a pool, without asking the other nodes.
//!
//! The bound holds for the sum over all nodes. Each node takes its part: a share
//! of its own requests, and the fixed allowance divided by the largest number of
//! nodes it has ever known. Nodes that cannot hear each other therefore never
//! spend more together than the bound.

use eiderferry_types::{Span, Timestamp};
use std::collections::VecDeque;

/// Part of the bound that is used: requests counted here may arrive in a later
/// window than their repeats.
const USABLE_SHARE: f64 = 0.8;
/// Parts of the window that are counted apart.
const BUCKETS: u64 = 10;
/// Nodes assumed until the fleet is known.
const ASSUMED_NODES: u32 = 8;

/// The bound over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all nodes.
    pub allowance: f64,
    /// Window in which both hold.
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The budget of one pool on one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let width = (self.settings.window.0 / BUCKETS).max(1);
        let index = now.0 / width;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + BUCKETS < index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket {
                index,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Repeats that may still be sent now, in a fleet of at most `nodes` nodes.
    pub fn remaining(&mut self, now: Timestamp, nodes: u32) -> f64 {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let nodes = f64::from(nodes.max(ASSUMED_NODES));
        let allowed = self.settings.ratio * f64::from(requests) + self.settings.allowance / nodes;
        USABLE_SHARE * allowed - f64::from(retries)
    }

    /// Spends one repeat if the budget allows it.
    pub fn try_spend(&mut self, now: Timestamp, nodes: u32) -> bool {
        if self.remaining(now, nodes) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }
}
