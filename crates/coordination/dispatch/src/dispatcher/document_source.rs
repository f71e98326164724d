//! Selects the node from which missing documents are fetched: one of the own zone first. Links
//! between zones and regions are expensive, and the full set of documents is large: 300 nodes that
//! each fetched from the first node that announced them transferred 28 MB over such links at a
//! start (`tests/cross_zone_traffic.rs`).

use super::Dispatcher;
use crate::fleet::traffic::Distance;
use crate::{TableStamp, VersionVector};
use eiderferry_types::{Span, Timestamp};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time in which a starting node that is not a seed discovers its zone, and in which a node that
/// got documents there announces them.
const START_DELAY: Span = Span::from_milliseconds(200);
/// Additional delay for each node of the zone that has precedence: the full set of documents takes
/// some 0.25 s on a link of 10 Mbit/s.
const DELAY_PER_NODE: Span = Span::from_milliseconds(250);
/// Longest time for which a node waits for documents from its own zone.
const MAX_CROSS_ZONE_DELAY: Span = Span::from_milliseconds(2_500);
/// Time for which a node that was too busy to serve documents is not asked again.
const BUSY_RETRY_DELAY: Span = Span::from_milliseconds(150);
/// Time for which a node that failed to serve documents for another reason is not asked again.
const FAILED_RETRY_DELAY: Span = Span::from_milliseconds(1_000);

/// Time for which changes of back ends are left to the announcements that carry them: a message of
/// another kind may report them sooner, and a fetch costs a connection and a call. Announcements
/// reach the last of 300 nodes within 0.3 s. Without this delay 585 nodes made 650 fetches while
/// 325 changes were announced to them in 2 s (`tests/fleet.rs`).
const ANNOUNCEMENT_DELAY: Span = Span::from_milliseconds(300);

/// State of a node while others are known to have more documents.
#[derive(Clone, Debug)]
struct MissingSince {
    /// What this node knew throughout.
    version_vector: VersionVector,
    since: Timestamp,
}

/// Documents that this node lacks and others have.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingDocuments {
    missing: Option<MissingSince>,
    /// Stamp of the latest table that other nodes have.
    table_stamp: TableStamp,
    /// Nodes that could not serve documents, and until when they are not asked.
    avoided: HashMap<SocketAddr, Timestamp>,
}

impl MissingDocuments {
    /// Time since which others have been known to have more than this node, without this node
    /// having learned anything new.
    fn missing_since(&mut self, version_vector: &VersionVector, now: Timestamp) -> Timestamp {
        let missing = self.missing.take();
        let same = missing.filter(|missing| missing.version_vector == *version_vector);
        let missing = same.unwrap_or_else(|| MissingSince {
            version_vector: version_vector.clone(),
            since: now,
        });
        let since = missing.since;
        self.missing = Some(missing);
        since
    }
}

impl Dispatcher {
    /// The node from which newer documents are to be fetched now, if others have any. A node of the
    /// own zone that announced them just now is reachable and comes first.
    pub fn document_source(
        &mut self,
        announced_by: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if !self.settings.features.zone_representatives {
            return announced_by;
        }
        let known = self.document_store.version_vector();
        let candidates = self.peers.peers_ahead_of(known);
        if candidates.is_empty() {
            self.missing_documents.missing = None;
            return None;
        }
        let lacks_newest_epoch = self.lacks_newest_epoch();
        let since = self.missing_documents.missing_since(known, now);
        if !lacks_newest_epoch && self.is_announcement_due(since, now) {
            return None;
        }
        let avoided = &mut self.missing_documents.avoided;
        avoided.retain(|_, until| *until > now);
        let sources: Vec<(Distance, SocketAddr)> = candidates
            .into_iter()
            .map(|address| (self.distance_to(address), address))
            .collect();
        let is_same_zone =
            |(distance, _): &&(Distance, SocketAddr)| *distance == Distance::SameZone;
        let has_same_zone_source = sources.iter().any(|source| is_same_zone(&source));
        let may_cross_zones =
            now.since(since) >= self.cross_zone_delay(lacks_newest_epoch, has_same_zone_source);
        let available = sources
            .into_iter()
            .filter(|(_, address)| !self.missing_documents.avoided.contains_key(address))
            .filter(|(distance, _)| *distance == Distance::SameZone || may_cross_zones);
        let available: Vec<(Distance, SocketAddr)> = available.collect();
        let announced_by = announced_by.map(|address| (Distance::SameZone, address));
        if let Some(announcer) = announced_by.filter(|announcer| available.contains(announcer)) {
            return Some(announcer.1);
        }
        let nearest = available.iter().map(|(distance, _)| *distance).min()?;
        let nearest = available
            .iter()
            .filter(|(distance, _)| *distance == nearest);
        let nearest: Vec<SocketAddr> = nearest.map(|(_, address)| *address).collect();
        nearest.choose(&mut self.random).copied()
    }

    /// Whether the missing documents are probably on their way in an announcement. A table is not:
    /// it is too large for one.
    fn is_announcement_due(&self, since: Timestamp, now: Timestamp) -> bool {
        let lacks_table = self.missing_documents.table_stamp > self.document_store.table_stamp();
        !lacks_table && now.since(since) < ANNOUNCEMENT_DELAY
    }

    /// Whether this node has nothing of the newest epoch that its peers know, and so lacks nearly
    /// all documents. This is also the case after its start.
    fn lacks_newest_epoch(&self) -> bool {
        let newest = self.peers.newest_known_revision();
        newest.is_some_and(|newest| !self.document_store.version_vector().has_epoch(newest.epoch))
    }

    /// Records the stamp of another node's table.
    pub(super) fn record_peer_table(&mut self, stamp: TableStamp) {
        let latest = &mut self.missing_documents.table_stamp;
        *latest = stamp.max(*latest);
    }

    /// Delay before this node fetches from other zones, so that nodes of its own zone can fetch or
    /// serve the documents first.
    fn cross_zone_delay(&self, lacks_newest_epoch: bool, has_same_zone_source: bool) -> Span {
        if has_same_zone_source {
            return MAX_CROSS_ZONE_DELAY;
        }
        // A node that has documents of the epoch lacks only small changes, and few nodes learn
        // of them from other zones.
        if !lacks_newest_epoch {
            return Span::ZERO;
        }
        let start = if self.peers.is_seed() {
            Span::ZERO
        } else {
            START_DELAY
        };
        (start + DELAY_PER_NODE * self.reader_rank()).min(MAX_CROSS_ZONE_DELAY)
    }

    /// Records that a node served no documents, because it is busy or for another reason.
    pub fn record_failed_fetch(&mut self, source: SocketAddr, is_busy: bool, now: Timestamp) {
        let delay = if is_busy {
            BUSY_RETRY_DELAY
        } else {
            FAILED_RETRY_DELAY
        };
        self.missing_documents.avoided.insert(source, now + delay);
    }
}
