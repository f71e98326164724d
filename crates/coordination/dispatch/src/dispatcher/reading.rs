//! Which nodes read the platform, and which hear of changes from them.

use super::Dispatcher;
use crate::fleet::peers::RolePriority;
use eiderferry_types::{Span, Timestamp};

/// Age of the youngest confirmation at which a node reads the platform itself, at the
/// least: a reader's call waits for up to 1.5 s.
const CONFIRMATION_LIMIT: Span = Span::from_milliseconds(1_900);
/// The same as a part of the time within which a change has to be in force: the rest is
/// for the nodes that read one after the other, and for the way to the others.
const CONFIRMATION_PART: f64 = 0.65;
/// Time within which a change has to be in force from which on not every zone reads: two
/// zones then do, and a node of a third hears of their confirmations 0.6 s later.
const FEW_READERS_FROM: Span = Span::from_milliseconds(3_500);
/// Time beyond that limit after which nodes have tried to read in vain: the first of them
/// begins at once, and an answer takes milliseconds.
const VAIN_READING_TIME: Span = Span::from_milliseconds(1_000);
/// Zones that read then: one may be lost while the other goes on. 18 nodes in five zones
/// made 98 calls on a quiet day of 57 s, where a reader in each zone made 258.
const READING_ZONES: usize = 2;
/// Time after a start within which a node comes to know the others of its zone.
const SETTLING_TIME: Span = Span::from_milliseconds(1_500);
/// Time after a start in which the seeds may tell what they know before a node that is
/// no seed reads the platform.
const START_PATIENCE: Span = Span::from_milliseconds(200);
/// The same for a node that has heard peers.
const START_PATIENCE_WITH_PEERS: Span = Span::from_milliseconds(300);
/// Additional patience at a start for each node of the zone that is to read first.
const START_PATIENCE_PER_READER: Span = Span::from_milliseconds(100);
/// The same later, when confirmations have grown old.
const PATIENCE_PER_READER: Span = Span::from_milliseconds(150);
/// The same beyond the first [`QUICK_READERS`]: where so many got no answer the platform is
/// probably away for all, and each further node calls it in vain twice a second.
const PATIENCE_PER_LATE_READER: Span = Span::from_milliseconds(600);
const QUICK_READERS: u64 = 3;

/// Whether this node reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It does.
    Reader,
    /// It hears of changes from peers.
    Follower,
}

impl Dispatcher {
    /// Whether this node reads the platform for its zone. One node of a zone does; the
    /// others follow one after the other, as long as nothing fresh is heard.
    pub fn reader_role(&self, now: Timestamp) -> ReaderRole {
        let rank = self.reader_rank();
        let is_due = match self.document_store.confirmed_age(now) {
            Some(_) if self.is_appointed_reader(rank, now) => true,
            Some(age) => age > self.confirmation_limit() + patience(rank),
            None => self.uptime(now) >= self.start_patience(rank),
        };
        if is_due {
            ReaderRole::Reader
        } else {
            ReaderRole::Follower
        }
    }

    /// Nodes of the zone that are to read before this one: living ones, in an order
    /// that all nodes compute alike.
    pub(super) fn reader_rank(&self) -> u64 {
        let own = self.role_priority();
        let ranked = self.peers.role_candidates();
        let before = ranked.iter().filter(|(rank, _)| *rank >= own);
        before.count() as u64 + u64::from(self.is_stopping)
    }

    /// Place of this node in the order of duties.
    pub(super) fn role_priority(&self) -> RolePriority {
        RolePriority::new(self.settings.address, self.settings.link_mbps)
    }

    /// The first of its zone reads; the seeds do while a node knows too few others to
    /// tell who is first.
    fn is_appointed_reader(&self, rank: u64, now: Timestamp) -> bool {
        if self.uptime(now) < SETTLING_TIME {
            self.peers.is_seed()
        } else {
            rank == 0 && self.is_zone_reading()
        }
    }

    /// Whether the youngest confirmation is so old that nodes have tried to read in vain.
    pub fn is_confirmation_overdue(&self, now: Timestamp) -> bool {
        let age = self.document_store.confirmed_age(now);
        age.is_some_and(|age| age > self.confirmation_limit() + VAIN_READING_TIME)
    }

    fn confirmation_limit(&self) -> Span {
        let part = self.settings.propagation_deadline.scaled(CONFIRMATION_PART);
        part.max(CONFIRMATION_LIMIT)
    }

    /// Whether this node's zone is one of those that read, among the zones that it hears.
    fn is_zone_reading(&self) -> bool {
        if self.settings.propagation_deadline < FEW_READERS_FROM {
            return true;
        }
        let own = self.settings.zone.digest();
        let others = self.peers.other_zones();
        let heard = others.filter(|zone| !self.silent_zones.contains(*zone));
        let before = heard.filter(|zone| zone.digest() > own).count();
        before < READING_ZONES
    }

    /// At a start the seeds read first: all nodes ask them, whoever else is known yet.
    fn start_patience(&self, rank: u64) -> Span {
        if self.peers.is_seed() {
            Span::ZERO
        } else if self.peers.live_count() == 0 {
            START_PATIENCE
        } else {
            START_PATIENCE_WITH_PEERS + START_PATIENCE_PER_READER * rank
        }
    }
}

/// How long a node waits for those that are to read before it.
fn patience(rank: u64) -> Span {
    let quick = rank.min(QUICK_READERS);
    PATIENCE_PER_READER * quick + PATIENCE_PER_LATE_READER * (rank - quick)
}
