//! Requests to cold back ends.
//!
//! A cold back end bears a few requests a second from all nodes together; more make it
//! fail. A few nodes of its zone, the first in an order that all compute alike by hashing,
//! send it one request each in a little more than a second, and all others send it none.
//! Nothing is asked and nothing is handed over, so that a lost, paused or restarted node
//! holds nobody up, and two sets of senders for a moment stay within the bound.

use eiderferry_routing::{ColdStart, InstanceId};
use eiderferry_types::{Span, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time between two requests of a sender to one cold back end: the second over which the
/// bound is counted, and the 300 ms that a connection may take to come up.
const SENDING_INTERVAL: Span = Span::from_milliseconds(1_300);
/// Sets of senders for which the bound has room: the nodes on both sides of a cut, or before
/// and after a node was lost, choose different ones.
const SENDER_SETS: f64 = 2.0;
/// What a message may take on its way: a back end is warm no sooner than it said.
const MAX_MESSAGE_DELAY: Span = Span::from_milliseconds(100);
/// Time after a start in which a node comes to know the others of its zone: one that knows
/// few of them would hold itself to be among the first.
pub(crate) const SENDER_SETTLING_TIME: Span = Span::from_milliseconds(2_000);
/// The same after it came to know more nodes of its zone than ever. In a fleet of 295 nodes
/// that started together each knew a third of its zone after 2 s, and without this 18 nodes
/// sent to one cold back end in a second, of 12 that the bound has room for
/// (`tests/cold_start.rs`).
pub(crate) const GROWTH_SETTLING_TIME: Span = Span::from_milliseconds(1_000);
/// Longest time for which a back end is believed to be cold: a longer one is a mistake.
pub const MAX_COLD_PERIOD: Span = Span::from_milliseconds(60_000);

/// What all nodes together may send to a cold back end in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Multiple of what the back end bears.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Nodes that send to one cold back end.
    pub fn senders(&self, start: &ColdStart) -> usize {
        let max_rate = start.requests_per_second * self.overage + self.slack;
        // Saturates: a negative figure leaves one sender.
        ((max_rate / SENDER_SETS) as usize).max(1)
    }
}

/// What is known of a back end's warmth, and what this node sends it while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmupState {
    listed_at: Timestamp,
    cold_remaining: Option<Span>,
    zone_returned_at: Option<Timestamp>,
    last_sent_at: Option<Timestamp>,
    role: ColdRole,
}

/// Whether a back end is cold, and whether this node sends to it all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdRole {
    /// It is warm.
    #[default]
    Warm,
    /// It is cold, and other nodes send to it.
    OtherNodes,
    /// It is cold, and this node is one of its senders.
    Sender,
}

/// A back end that turned cold or warm, or got other senders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    /// The back end.
    pub instance: InstanceId,
    /// How it stands now.
    pub role: ColdRole,
    /// Time until it is warm.
    pub warm_in: Span,
}

impl WarmupState {
    /// Takes over what the back end's entry tells.
    pub fn set_listed(&mut self, cold_remaining: Option<Span>, now: Timestamp) {
        self.listed_at = now;
        self.cold_remaining = cold_remaining;
    }

    /// Its zone was evacuated and gets requests again: it starts as after a restart.
    pub fn record_zone_return(&mut self, now: Timestamp) {
        self.zone_returned_at = Some(now);
    }

    /// When it is warm. A back end that doesn't tell counts as just started.
    pub fn cold_until(&self, start: &ColdStart) -> Timestamp {
        let reported = self
            .cold_remaining
            .unwrap_or(start.duration)
            .min(MAX_COLD_PERIOD);
        let after_listing = if reported == Span::ZERO {
            self.listed_at
        } else {
            self.listed_at + reported + MAX_MESSAGE_DELAY
        };
        let returned = self.zone_returned_at;
        let after_return =
            returned.map(|at| at + start.duration.min(MAX_COLD_PERIOD) + MAX_MESSAGE_DELAY);
        after_return.map_or(after_listing, |at| at.max(after_listing))
    }

    /// Whether it is cold.
    pub fn is_cold(&self, start: &ColdStart, now: Timestamp) -> bool {
        now < self.cold_until(start)
    }

    /// Whether this node may send it a request now.
    pub fn may_send_request(&self, start: &ColdStart, now: Timestamp) -> bool {
        if !self.is_cold(start, now) {
            return true;
        }
        let last = self.last_sent_at;
        self.role == ColdRole::Sender && last.is_none_or(|last| now.since(last) >= SENDING_INTERVAL)
    }

    /// Notes a request of this node.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
    }

    /// How this node stands to it.
    pub fn role(&self) -> ColdRole {
        self.role
    }

    /// Renews how this node stands to it; true if that changed.
    pub fn update_role(&mut self, role: ColdRole) -> bool {
        std::mem::replace(&mut self.role, role) != role
    }
}

/// Place of a node in the order of senders to a back end, greatest first; `node` is a hash of
/// the node's address.
pub(crate) fn sender_rank(node: u64, back_end: u32) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), u64::from(back_end))
}
