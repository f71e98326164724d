//! Simulated network with latency, message loss and partitions.

use crate::scenario::NetworkPlan;
use eiderferry_types::{NodeId, Span, Timestamp, ZoneId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Receiver of a message.
pub(crate) type Destination = NodeId;

/// State of the network.
pub(crate) struct Network {
    plan: NetworkPlan,
    /// Number of active cuts per zone; a zone with any cut reaches no other zone.
    zone_cut_counts: BTreeMap<ZoneId, u32>,
    /// Number of active cuts between each zone and the platform.
    platform_cut_counts: BTreeMap<ZoneId, u32>,
    /// Last time at which a zone reached neither the platform nor another zone.
    last_isolated: BTreeMap<ZoneId, Timestamp>,
    /// Additional probability that a message is lost, and likewise that it is duplicated.
    pub extra_loss: f64,
}

impl Network {
    pub fn new(plan: NetworkPlan) -> Self {
        Self {
            plan,
            zone_cut_counts: BTreeMap::new(),
            platform_cut_counts: BTreeMap::new(),
            last_isolated: BTreeMap::new(),
            extra_loss: 0.0,
        }
    }

    pub fn cut_zone(&mut self, zone: ZoneId, delta: i32) {
        adjust_count(&mut self.zone_cut_counts, zone, delta);
    }

    pub fn cut_platform(&mut self, zone: ZoneId, delta: i32) {
        adjust_count(&mut self.platform_cut_counts, zone, delta);
    }

    /// Records which zones currently reach neither the platform nor another zone.
    pub fn record_isolation(&mut self, now: Timestamp) {
        let cut_zones: Vec<ZoneId> = self.zone_cut_counts.keys().copied().collect();
        for zone in cut_zones {
            if is_cut(&self.zone_cut_counts, zone) && is_cut(&self.platform_cut_counts, zone) {
                self.last_isolated.insert(zone, now);
            }
        }
    }

    /// Whether a zone was isolated within the last `span`.
    pub fn is_isolated(&self, zone: ZoneId, now: Timestamp, span: Span) -> bool {
        let last = self.last_isolated.get(&zone);
        last.is_some_and(|last| now.since(*last) < span)
    }

    /// Whether two zones can reach each other.
    pub fn are_connected(&self, left: ZoneId, right: ZoneId) -> bool {
        left == right
            || (!is_cut(&self.zone_cut_counts, left) && !is_cut(&self.zone_cut_counts, right))
    }

    /// Whether a zone can reach the platform.
    pub fn reaches_platform(&self, zone: ZoneId) -> bool {
        !is_cut(&self.platform_cut_counts, zone)
    }

    /// Samples the one-way latency between two zones.
    pub fn latency(&self, rng: &mut ChaCha8Rng, left: ZoneId, right: ZoneId) -> Span {
        let base = if left == right {
            self.plan.zone_latency_us
        } else {
            self.plan.cross_zone_latency_us
        };
        let jitter = rng.random_range(0..=self.plan.jitter_us);
        Span(base + jitter)
    }

    /// Samples how many copies of a message are delivered.
    pub fn delivered_copies(&self, rng: &mut ChaCha8Rng) -> u32 {
        let loss = self.plan.loss + self.extra_loss;
        let duplicate = self.plan.duplicate + self.extra_loss;
        if loss > 0.0 && rng.random_bool(loss.min(1.0)) {
            return 0;
        }
        if duplicate > 0.0 && rng.random_bool(duplicate.min(1.0)) {
            return 2;
        }
        1
    }
}

fn adjust_count(cuts: &mut BTreeMap<ZoneId, u32>, zone: ZoneId, delta: i32) {
    let count = cuts.entry(zone).or_default();
    *count = count.saturating_add_signed(delta);
}

fn is_cut(cuts: &BTreeMap<ZoneId, u32>, zone: ZoneId) -> bool {
    cuts.get(&zone).is_some_and(|count| *count > 0)
}
