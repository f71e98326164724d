//! Selects the node from which missing documents are fetched: one of the own zone first. Links
//! between zones and regions are expensive, and the full set of documents is large: 300 nodes that
//! each fetched from the first node that announced them transferred 28 MB across borders at a start
//! (`tests/borders.rs`).

use super::Dispatcher;
use crate::fleet::traffic::Distance;
use crate::{TableStamp, VersionVector};
use eiderferry_types::{Span, Timestamp};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time in which a starting node that is not a seed discovers its zone, and in which a node that
/// got documents there announces them.
const START_PATIENCE: Span = Span::from_milliseconds(200);
/// Additional delay for each node of the zone that has precedence: the full set of documents takes
/// some 0.25 s on a link of 10 Mbit/s.
const PATIENCE_PER_NODE: Span = Span::from_milliseconds(250);
/// Longest time for which a node waits for documents from its own zone.
const LONGEST_PATIENCE: Span = Span::from_milliseconds(2_500);
/// Time for which a node is not asked again after it was too busy to serve documents, or failed to.
const AVOIDED_BUSY: Span = Span::from_milliseconds(150);
const AVOIDED_FAILED: Span = Span::from_milliseconds(1_000);

/// Time for which changes of back ends are left to the announcements that carry them: a message of
/// another kind may report them sooner, and a fetch costs a connection and a call. Announcements
/// reach the last of 300 nodes after 0.3 s at the most. Without this delay 585 nodes made 650
/// fetches while 325 changes were announced to them in 2 s (`tests/fleet.rs`).
const ANNOUNCEMENT_PATIENCE: Span = Span::from_milliseconds(300);

/// State of a node while others are known to have more documents.
#[derive(Clone, Debug)]
struct Lacking {
    /// What this node knew throughout.
    version_vector: VersionVector,
    since: Timestamp,
}

/// Documents that this node lacks and others have.
#[derive(Clone, Debug, Default)]
pub(super) struct WantedDocuments {
    lacking: Option<Lacking>,
    /// Stamp of the latest table that other nodes have.
    table_stamp: TableStamp,
    /// Nodes that could not serve documents, and until when they are not asked.
    avoided: HashMap<SocketAddr, Timestamp>,
}

impl WantedDocuments {
    /// Time since which others have been known to have more than this node, without this node
    /// having learned anything new.
    fn lacking_since(&mut self, version_vector: &VersionVector, now: Timestamp) -> Timestamp {
        let lacking = self.lacking.take();
        let same = lacking.filter(|lacking| lacking.version_vector == *version_vector);
        let lacking = same.unwrap_or_else(|| Lacking {
            version_vector: version_vector.clone(),
            since: now,
        });
        let since = lacking.since;
        self.lacking = Some(lacking);
        since
    }
}

impl Dispatcher {
    /// The node from which newer documents are to be fetched now, if others have any. A node of the
    /// own zone that announced them just now is reachable and comes first.
    pub fn document_source(
        &mut self,
        told_by: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if !self.settings.features.zone_representatives {
            return told_by;
        }
        let known = self.document_store.version_vector();
        let informed = self.peers.peers_ahead_of(known);
        if informed.is_empty() {
            self.wanted.lacking = None;
            return None;
        }
        let lacks_newest_epoch = self.lacks_newest_epoch();
        let since = self.wanted.lacking_since(known, now);
        if !lacks_newest_epoch && self.is_announcement_due(since, now) {
            return None;
        }
        let avoided = &mut self.wanted.avoided;
        avoided.retain(|_, until| *until > now);
        let sources: Vec<(Distance, SocketAddr)> = informed
            .into_iter()
            .map(|address| (self.distance_to(address), address))
            .collect();
        let is_near = |(distance, _): &&(Distance, SocketAddr)| *distance == Distance::SameZone;
        let serves_near = sources.iter().any(|source| is_near(&source));
        let may_go_far = now.since(since) >= self.far_patience(lacks_newest_epoch, serves_near);
        let free = sources
            .into_iter()
            .filter(|(_, address)| !self.wanted.avoided.contains_key(address))
            .filter(|(distance, _)| *distance == Distance::SameZone || may_go_far);
        let free: Vec<(Distance, SocketAddr)> = free.collect();
        let told_by = told_by.map(|address| (Distance::SameZone, address));
        if let Some(near) = told_by.filter(|near| free.contains(near)) {
            return Some(near.1);
        }
        let nearest = free.iter().map(|(distance, _)| *distance).min()?;
        let nearest = free.iter().filter(|(distance, _)| *distance == nearest);
        let nearest: Vec<SocketAddr> = nearest.map(|(_, address)| *address).collect();
        nearest.choose(&mut self.random).copied()
    }

    /// Whether the missing documents are probably on their way in an announcement. A table is not:
    /// it is too large for one.
    fn is_announcement_due(&self, since: Timestamp, now: Timestamp) -> bool {
        let lacks_table = self.wanted.table_stamp > self.document_store.table_stamp();
        !lacks_table && now.since(since) < ANNOUNCEMENT_PATIENCE
    }

    /// Whether this node has nothing of the newest epoch that its peers know, and so lacks nearly
    /// all documents. This is also the case after its start.
    fn lacks_newest_epoch(&self) -> bool {
        let newest = self.peers.newest_known_revision();
        newest.is_some_and(|newest| !self.document_store.version_vector().has_epoch(newest.epoch))
    }

    /// Records the stamp of another node's table.
    pub(super) fn record_peer_table(&mut self, stamp: TableStamp) {
        let latest = &mut self.wanted.table_stamp;
        *latest = stamp.max(*latest);
    }

    /// How long fetches from other zones are left to other nodes of this zone.
    fn far_patience(&self, lacks_newest_epoch: bool, serves_near: bool) -> Span {
        if serves_near {
            return LONGEST_PATIENCE;
        }
        // A node that has documents of the epoch lacks only small changes, and few nodes hear of
        // them from other zones.
        if !lacks_newest_epoch {
            return Span::ZERO;
        }
        let start = if self.peers.is_seed() {
            Span::ZERO
        } else {
            START_PATIENCE
        };
        (start + PATIENCE_PER_NODE * self.reader_rank()).min(LONGEST_PATIENCE)
    }

    /// Records that a node served no documents, because it is busy or for another reason.
    pub fn record_failed_fetch(&mut self, source: SocketAddr, is_busy: bool, now: Timestamp) {
        let pause = if is_busy {
            AVOIDED_BUSY
        } else {
            AVOIDED_FAILED
        };
        self.wanted.avoided.insert(source, now + pause);
    }
}
