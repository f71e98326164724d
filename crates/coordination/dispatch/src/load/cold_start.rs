//! Limits the requests sent to cold back ends.
//!
//! A cold back end can serve a few requests per second from all nodes together and fails if it
//! receives more. Only a few nodes of its zone send requests to it, each one request in a little
//! more than a second. They are the first nodes in an order that every node computes by
//! rendezvous hashing. No coordination is needed, so a lost, paused or restarted node delays no
//! other, and the limit allows for two different sets of senders for a short time.

use eiderferry_routing::{ColdStart, InstanceId};
use eiderferry_types::{Span, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time between two requests of one sender to a cold back end: the one-second window over which
/// the limit is counted, plus the 300 ms that a connection may take to be established.
const SENDING_INTERVAL: Span = Span::from_milliseconds(1_300);
/// Number of different sets of senders that the limit allows for: nodes on both sides of a
/// network partition, or before and after a node is lost, may choose different sets.
const SENDER_SETS: f64 = 2.0;
/// Requests of the node that gets most of its zone's, as a multiple of what a set of senders sends:
/// with two such sets the limit holds nevertheless, as the senders' interval is longer than a
/// second.
const MAIN_SENDER_SHARE: f64 = 0.5;
/// Maximum delay of a message; a back end is assumed to be cold for this much longer than it
/// reported.
const MAX_MESSAGE_DELAY: Span = Span::from_milliseconds(100);
/// Time after its start in which a node discovers the other nodes of its zone. A node that knows
/// only a few of them would wrongly rank itself among the senders.
pub(crate) const SENDER_SETTLING_TIME: Span = Span::from_milliseconds(2_000);
/// The same after the number of known nodes in the zone has reached a new maximum. In a fleet of
/// 295 nodes that started together, each knew a third of its zone after 2 s; without this delay
/// 18 nodes sent requests to one cold back end in the same second, where the limit allows 12
/// (`tests/cold_start.rs`).
pub(crate) const GROWTH_SETTLING_TIME: Span = Span::from_milliseconds(1_000);
/// Longest time for which a back end is treated as cold; a longer reported time is assumed to be
/// an error.
pub const MAX_COLD_PERIOD: Span = Span::from_milliseconds(60_000);

/// Limit for the requests per second that all nodes together send to a cold back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Multiple of the rate that the back end can serve.
    pub overage: f64,
    /// Requests per second allowed in addition.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Number of nodes that may send requests to one cold back end.
    pub fn sender_count(&self, start: &ColdStart) -> usize {
        let max_rate = start.requests_per_second * self.overage + self.slack;
        // The cast saturates: a negative value yields one sender.
        ((max_rate / SENDER_SETS) as usize).max(1)
    }
}

/// Warm-up state of a back end, and this node's requests to it while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmupState {
    listed_at: Timestamp,
    cold_remaining: Option<Span>,
    zone_returned_at: Option<Timestamp>,
    last_sent_at: Option<Timestamp>,
    role: ColdRole,
    /// Time between two of this node's requests while it is a sender.
    sending_interval: Span,
}

/// Whether a back end is cold, and whether this node sends requests to it while it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdRole {
    /// The back end is warm.
    #[default]
    Warm,
    /// The back end is cold, and only other nodes send requests to it.
    OtherNodes,
    /// The back end is cold, and this node is one of its senders.
    Sender,
    /// The back end is cold, and this node sends to it because it gets most requests of its zone.
    /// The other senders hardly have any.
    MainSender,
}

impl ColdRole {
    /// Whether this node sends requests to the cold back end.
    pub const fn is_sender(self) -> bool {
        matches!(self, ColdRole::Sender | ColdRole::MainSender)
    }
}

/// A back end that became cold or warm, or for which this node's role changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    /// The back end's instance.
    pub instance: InstanceId,
    /// This node's new role.
    pub role: ColdRole,
    /// Time until the back end is warm.
    pub warm_in: Span,
}

impl WarmupState {
    /// Sets the remaining warm-up time from the back end's entry in the list.
    pub fn set_listed(&mut self, cold_remaining: Option<Span>, now: Timestamp) {
        self.listed_at = now;
        self.cold_remaining = cold_remaining;
    }

    /// Records that the back end's zone receives requests again after an evacuation: the back end
    /// is then as cold as after a restart.
    pub fn record_zone_return(&mut self, now: Timestamp) {
        self.zone_returned_at = Some(now);
    }

    /// When the back end is warm. A back end that doesn't report its warm-up time is assumed to
    /// have just started.
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
        let returned_at = self.zone_returned_at;
        let after_return =
            returned_at.map(|at| at + start.duration.min(MAX_COLD_PERIOD) + MAX_MESSAGE_DELAY);
        after_return.map_or(after_listing, |at| at.max(after_listing))
    }

    /// Whether the back end is cold.
    pub fn is_cold(&self, start: &ColdStart, now: Timestamp) -> bool {
        now < self.cold_until(start)
    }

    /// Whether this node may send it a request now.
    pub fn may_send_request(&self, start: &ColdStart, now: Timestamp) -> bool {
        if !self.is_cold(start, now) {
            return true;
        }
        let last_sent_at = self.last_sent_at;
        self.role.is_sender()
            && last_sent_at.is_none_or(|last| now.since(last) >= self.sending_interval)
    }

    /// Records a request sent by this node.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
    }

    /// This node's role for the back end.
    pub fn role(&self) -> ColdRole {
        self.role
    }

    /// Sets this node's role for the back end, which has `sender_count` senders. Returns whether it
    /// changed.
    pub fn update_role(&mut self, role: ColdRole, sender_count: usize) -> bool {
        self.sending_interval = if role == ColdRole::MainSender {
            let share = MAIN_SENDER_SHARE * sender_count as f64;
            SENDING_INTERVAL.scaled(1.0 / share.max(1.0))
        } else {
            SENDING_INTERVAL
        };
        std::mem::replace(&mut self.role, role) != role
    }
}

/// Rank of a node among the senders to a back end, highest first; `node` is a hash of the node's
/// address.
pub(crate) fn sender_rank(node: u64, back_end: u32) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), u64::from(back_end))
}
