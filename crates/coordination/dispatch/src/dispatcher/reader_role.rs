//! Selects the nodes that read the platform; the others receive changes from them.

use super::Dispatcher;
use crate::fleet::peers::RolePriority;
use eiderferry_types::{Span, Timestamp};

/// Lowest age of the latest confirmation from which on a node reads the platform itself: a reader's
/// call waits for up to 1.5 s.
const CONFIRMATION_LIMIT: Span = Span::from_milliseconds(1_900);
/// The same as a share of the propagation deadline: the rest is for the nodes that start to read
/// one after the other, and for propagation to the others.
const CONFIRMATION_SHARE: f64 = 0.65;
/// Propagation deadline from which on only [`READING_ZONES`] zones read. A node of a third zone
/// then receives their confirmations 0.6 s later.
const FEW_READERS_MIN_DEADLINE: Span = Span::from_milliseconds(3_500);
/// Time beyond the confirmation limit after which nodes must have tried to read and failed: the
/// first of them starts at once, and a response takes milliseconds.
const FAILED_READ_TIME: Span = Span::from_milliseconds(1_000);
/// Zones that read when the propagation deadline is long: one may be lost while the other
/// continues. 18 nodes in five zones made 98 calls on a quiet day of 57 s; with a reader in each
/// zone they made 258.
const READING_ZONES: usize = 2;
/// Time after a start within which a node discovers the others of its zone.
const SETTLING_TIME: Span = Span::from_milliseconds(1_500);
/// Time after a start for which a node that is not a seed waits for the seeds' documents before it
/// reads the platform.
const START_DELAY: Span = Span::from_milliseconds(200);
/// The same for a node that has heard peers.
const START_DELAY_WITH_PEERS: Span = Span::from_milliseconds(300);
/// Additional delay at a start for each node of the zone that has precedence as a reader.
const START_DELAY_PER_READER: Span = Span::from_milliseconds(100);
/// The same after the start, when confirmations have become too old.
const DELAY_PER_READER: Span = Span::from_milliseconds(150);
/// The same beyond the first [`QUICK_READERS`] nodes: if so many got no response, the platform is
/// probably down for all, and each further reader adds two failing calls a second.
const DELAY_PER_LATE_READER: Span = Span::from_milliseconds(600);
/// Number of nodes of a zone that join as readers at the shorter intervals.
const QUICK_READERS: u64 = 3;

/// Whether this node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads the platform itself.
    Reader,
    /// It receives changes from peers.
    Follower,
}

impl Dispatcher {
    /// Whether this node reads the platform for its zone. One node of a zone does; the others join
    /// one after the other while no fresh confirmation arrives.
    pub fn reader_role(&self, now: Timestamp) -> ReaderRole {
        let rank = self.reader_rank();
        let is_due = match self.document_store.confirmed_age(now) {
            Some(_) if self.is_designated_reader(rank, now) => true,
            Some(age) => age > self.confirmation_limit() + takeover_delay(rank),
            None => self.uptime(now) >= self.start_delay(rank),
        };
        if is_due {
            ReaderRole::Reader
        } else {
            ReaderRole::Follower
        }
    }

    /// Number of live nodes of the zone that have precedence over this one as a reader, in an order
    /// that all nodes compute alike.
    pub(super) fn reader_rank(&self) -> u64 {
        let own = self.role_priority();
        let candidates = self.peers.role_candidates();
        let preceding = candidates.iter().filter(|(priority, _)| *priority >= own);
        preceding.count() as u64 + u64::from(self.is_stopping)
    }

    /// Priority of this node as a candidate for roles.
    pub(super) fn role_priority(&self) -> RolePriority {
        RolePriority::new(self.settings.address, self.settings.link_mbps)
    }

    /// Whether this node is the regular reader of its zone: the first in order, or a seed while a
    /// node knows too few others to compute the order.
    fn is_designated_reader(&self, rank: u64, now: Timestamp) -> bool {
        if self.uptime(now) < SETTLING_TIME {
            self.peers.is_seed()
        } else {
            rank == 0 && self.is_zone_reading()
        }
    }

    /// Whether the latest confirmation is so old that nodes must have tried to read and failed.
    pub fn is_confirmation_overdue(&self, now: Timestamp) -> bool {
        let age = self.document_store.confirmed_age(now);
        age.is_some_and(|age| age > self.confirmation_limit() + FAILED_READ_TIME)
    }

    fn confirmation_limit(&self) -> Span {
        let limit = self
            .settings
            .propagation_deadline
            .scaled(CONFIRMATION_SHARE);
        limit.max(CONFIRMATION_LIMIT)
    }

    /// Whether this node's zone is one of the reader zones among the zones that it has contact
    /// with.
    fn is_zone_reading(&self) -> bool {
        if self.settings.propagation_deadline < FEW_READERS_MIN_DEADLINE {
            return true;
        }
        let own = self.settings.zone.digest();
        let others = self.peers.other_zones();
        let heard = others.filter(|zone| !self.silent_zones.contains(*zone));
        let preceding = heard.filter(|zone| zone.digest() > own).count();
        preceding < READING_ZONES
    }

    /// Delay after a start before this node reads the platform. Seeds read at once: all nodes query
    /// them, whichever other nodes they know.
    fn start_delay(&self, rank: u64) -> Span {
        if self.peers.is_seed() {
            Span::ZERO
        } else if self.peers.live_count() == 0 {
            START_DELAY
        } else {
            START_DELAY_WITH_PEERS + START_DELAY_PER_READER * rank
        }
    }
}

/// How long a node waits for those that have precedence over it.
fn takeover_delay(rank: u64) -> Span {
    let quick = rank.min(QUICK_READERS);
    DELAY_PER_READER * quick + DELAY_PER_LATE_READER * (rank - quick)
}
