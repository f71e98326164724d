//! Limit on the retries that a node may send to a pool, enforced without coordination between the
//! nodes.
//!
//! The limit holds for the sum over all nodes. Each node's share is a ratio of its own requests,
//! plus the fixed allowance divided by the largest number of nodes it has ever known. Nodes that
//! are partitioned from each other therefore never exceed the limit together.
//!
//! A process spends nothing from the allowance before it knows the fleet and a window has passed
//! since its start: its predecessor may have spent the node's share just before.

use eiderferry_types::{Span, Timestamp};
use std::collections::VecDeque;

/// Share of the ratio that is used. Requests that a node counts in one window may reach the back
/// end in a later one than their retries.
const USABLE_RATIO_SHARE: f64 = 0.8;
/// Share of the allowance that is used. Two halves of a fleet that are restarted while they are
/// partitioned each count only their own nodes.
const USABLE_ALLOWANCE_SHARE: f64 = 0.5;
/// Number of buckets into which the window is divided.
const BUCKETS: u64 = 10;
/// Minimum number of nodes by which the allowance is divided, for fleets that may grow.
const MIN_NODES: u32 = 8;

/// The limit over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries allowed in each window, summed over all nodes.
    pub allowance: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Span,
}

/// The part of the limit from which a retry was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySource {
    /// The ratio of this node's own requests.
    Requests,
    /// This node's share of the fixed allowance.
    Allowance,
}

impl RetrySource {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RetrySource::Requests => "requests",
            RetrySource::Allowance => "allowance",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
    /// Those of the retries that the allowance paid for.
    from_allowance: u32,
}

/// The retry budget of one pool on one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
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
                from_allowance: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry if the budget allows it. `allowance_nodes` is the number of nodes that
    /// share the allowance; `None` if this process may not use it yet.
    pub fn try_spend(
        &mut self,
        now: Timestamp,
        allowance_nodes: Option<u32>,
    ) -> Option<RetrySource> {
        self.bucket(now);
        let total = |count: fn(&Bucket) -> u32| self.buckets.iter().map(count).sum::<u32>();
        let requests = total(|bucket| bucket.requests);
        let retries = total(|bucket| bucket.retries);
        let paid_by_allowance = total(|bucket| bucket.from_allowance);
        let from_requests = USABLE_RATIO_SHARE * self.settings.ratio * f64::from(requests);
        let from_allowance = allowance_nodes.map_or(0.0, |nodes| {
            USABLE_ALLOWANCE_SHARE * self.settings.allowance / f64::from(nodes.max(MIN_NODES))
        });
        if f64::from(retries + 1) > from_requests + from_allowance {
            return None;
        }
        let is_from_requests = f64::from(retries + 1 - paid_by_allowance) <= from_requests;
        let bucket = self.bucket(now);
        bucket.retries += 1;
        if is_from_requests {
            return Some(RetrySource::Requests);
        }
        bucket.from_allowance += 1;
        Some(RetrySource::Allowance)
    }
}
