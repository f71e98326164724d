//! The documents that a node works from, with their revisions.
//!
//! Each document carries the revision of the platform's change that wrote it. It is never
//! replaced by an older one, whether that comes from the platform or from a peer.
//!
//! A restore of the platform's store from an older copy raises the epoch, so restored documents
//! carry newer revisions than the documents they replace, although their contents may be older.
//! Changes of different epochs are therefore compared by content: a table by its version, a back
//! end by its run and by whether it is draining. A back end that an earlier epoch removed and a
//! newer one lists is withheld at first, as its removal may not have been written again yet.

use super::revision::{Revision, VersionVector};
use eiderferry_routing::{BackEnd, InstanceId, RoutingTable, TableDocument, ZoneName};
use eiderferry_types::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of removed back ends remembered, so that an older list can't bring them back.
const MAXIMUM_TOMBSTONES: usize = 4_096;
/// Number of zones remembered for which an evacuation was ever requested.
const MAXIMUM_EVACUATIONS: usize = 256;

/// Identifies a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKey {
    /// The routing table.
    Table,
    /// The list entry of a back end.
    BackEnd(InstanceId),
    /// The evacuation of a zone.
    Evacuation(ZoneName),
}

impl DocumentKey {
    /// Kind of the document, as written to logs.
    pub fn kind(&self) -> &'static str {
        match self {
            DocumentKey::Table => "table",
            DocumentKey::BackEnd(_) => "back_end",
            DocumentKey::Evacuation(_) => "evacuation",
        }
    }
}

/// Content of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentContent {
    /// A routing table.
    Table(TableDocument),
    /// A back end's list entry.
    BackEnd(BackEnd),
    /// The zone's back ends get no new requests.
    Evacuated,
    /// The document was removed.
    Removed,
    /// The document expired while the platform was unreachable; it counts as removed unless it is
    /// written again within the span.
    Expired(Span),
}

impl DocumentContent {
    /// Kind of the change, as written to logs.
    pub fn kind(&self) -> &'static str {
        match self {
            DocumentContent::Table(_) | DocumentContent::BackEnd(_) => "written",
            DocumentContent::Evacuated => "evacuated",
            DocumentContent::Removed => "gone",
            DocumentContent::Expired(_) => "lapsed",
        }
    }
}

/// A change of one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The changed document.
    pub key: DocumentKey,
    /// Revision of the change.
    pub revision: Revision,
    /// The document's new content.
    pub content: DocumentContent,
}

/// Result of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    Applied,
    /// The change lists a back end that an earlier epoch removed; see
    /// [`DocumentStore::release_withheld`].
    Withheld,
    /// A change that is at least as new was known already.
    AlreadyKnown,
    /// The content is invalid, for the given reason; the known content stays in force.
    Rejected(String),
}

/// Order of tables: by version, which operators raise with each table, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableStamp {
    /// Version stated in the table.
    pub version: u64,
    /// Revision of the change that published it.
    pub revision: Revision,
}

/// Evacuation state of a zone, and the revision of its last change.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: Revision,
    state: EvacuationState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EvacuationState {
    Active,
    Ended,
    /// Ended unless it is written again within the span.
    Expired(Span),
}

/// All documents that a node knows.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    table: Option<(TableStamp, Arc<RoutingTable>)>,
    rejected_table: TableStamp,
    back_ends: BTreeMap<InstanceId, (Revision, BackEnd)>,
    tombstones: BTreeMap<InstanceId, Revision>,
    /// Back ends that an earlier epoch removed and a newer one lists.
    withheld: BTreeMap<InstanceId, (Revision, BackEnd)>,
    /// Listed and removed back ends by the revisions of their latest changes, so that the cost of
    /// finding the changes for a peer depends only on their number. Without this index each of
    /// 585 nodes copied all of 6,000 entries for each change that it forwarded.
    by_revision: BTreeSet<(Revision, InstanceId)>,
    evacuations: BTreeMap<ZoneName, Evacuation>,
    version_vector: VersionVector,
    confirmed_at: Option<Timestamp>,
}

impl DocumentStore {
    /// The table in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref().map(|(_, table)| table)
    }

    /// Stamp of the table in force; the lowest stamp if there is none.
    pub fn table_stamp(&self) -> TableStamp {
        let table = self.table.as_ref();
        table.map_or_else(TableStamp::default, |(stamp, _)| *stamp)
    }

    /// All listed back ends.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEnd> {
        self.back_ends.values().map(|(_, back_end)| back_end)
    }

    /// The known changes.
    pub fn version_vector(&self) -> &VersionVector {
        &self.version_vector
    }

    /// Time since the platform's latest confirmation.
    pub fn confirmed_age(&self, now: Timestamp) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Records the platform's confirmation at `at` that no change is newer than `known`. All of
    /// `known` must have been applied.
    pub fn record_confirmation(&mut self, known: &VersionVector, at: Timestamp) {
        let is_latest = known.newest() >= self.version_vector.newest();
        self.version_vector.merge(known);
        if is_latest {
            self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
        }
    }

    /// Applies a change if it is newer than the known content.
    pub fn apply(&mut self, change: Change) -> ApplyOutcome {
        match (change.key, change.content) {
            (DocumentKey::Table, DocumentContent::Table(document)) => {
                self.apply_table(change.revision, document)
            }
            (DocumentKey::BackEnd(instance), DocumentContent::BackEnd(back_end)) => {
                self.apply_back_end(instance, change.revision, back_end)
            }
            (
                DocumentKey::BackEnd(instance),
                DocumentContent::Removed | DocumentContent::Expired(_),
            ) => self.remove(instance, change.revision),
            (DocumentKey::Evacuation(zone), DocumentContent::Evacuated) => {
                self.apply_evacuation(zone, change.revision, EvacuationState::Active)
            }
            (DocumentKey::Evacuation(zone), DocumentContent::Expired(grace_period)) => {
                let state = EvacuationState::Expired(grace_period);
                self.apply_evacuation(zone, change.revision, state)
            }
            (DocumentKey::Evacuation(zone), DocumentContent::Removed) => {
                self.apply_evacuation(zone, change.revision, EvacuationState::Ended)
            }
            _ => ApplyOutcome::AlreadyKnown,
        }
    }

    fn apply_evacuation(
        &mut self,
        zone: ZoneName,
        revision: Revision,
        state: EvacuationState,
    ) -> ApplyOutcome {
        let known = self.evacuations.get(&zone);
        let is_known = known.is_some_and(|known| known.revision >= revision);
        let has_room = known.is_some() || self.evacuations.len() < MAXIMUM_EVACUATIONS;
        if is_known || !has_room {
            return ApplyOutcome::AlreadyKnown;
        }
        let evacuation = Evacuation { revision, state };
        self.evacuations.insert(zone, evacuation);
        ApplyOutcome::Applied
    }

    /// Zones whose back ends get no new requests, with the revisions of their evacuations.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&ZoneName, Revision)> {
        let evacuations = self.evacuations.iter();
        let evacuated =
            evacuations.filter(|(_, evacuation)| evacuation.state == EvacuationState::Active);
        evacuated.map(|(zone, evacuation)| (zone, evacuation.revision))
    }

    fn apply_table(&mut self, revision: Revision, document: TableDocument) -> ApplyOutcome {
        let version = document.version;
        let stamp = TableStamp { version, revision };
        if stamp <= self.table_stamp() || stamp == self.rejected_table {
            return ApplyOutcome::AlreadyKnown;
        }
        if let Some((known, table)) = &mut self.table
            && *table.document() == document
        {
            *known = stamp;
            return ApplyOutcome::AlreadyKnown;
        }
        match RoutingTable::new(document) {
            Ok(table) => {
                self.table = Some((stamp, Arc::new(table)));
                ApplyOutcome::Applied
            }
            Err(error) => {
                self.rejected_table = stamp;
                ApplyOutcome::Rejected(error.to_string())
            }
        }
    }

    fn apply_back_end(
        &mut self,
        instance: InstanceId,
        revision: Revision,
        back_end: BackEnd,
    ) -> ApplyOutcome {
        if let Some((known, listed)) = self.back_ends.get(&instance) {
            let Some(newer) = newer_entry((*known, listed), (revision, back_end)) else {
                return ApplyOutcome::AlreadyKnown;
            };
            let known = *known;
            // A restore changes the revisions of unchanged entries too.
            let is_same = known.epoch != revision.epoch && *listed == newer;
            self.by_revision.remove(&(known, instance.clone()));
            self.upsert(instance, revision, newer);
            return if is_same {
                ApplyOutcome::AlreadyKnown
            } else {
                ApplyOutcome::Applied
            };
        }
        match self.tombstones.get(&instance).copied() {
            Some(removed) if revision <= removed => ApplyOutcome::AlreadyKnown,
            Some(removed) if revision.epoch > removed.epoch => {
                self.withhold(instance, revision, back_end)
            }
            _ => {
                self.forget_removal(&instance);
                self.upsert(instance, revision, back_end);
                ApplyOutcome::Applied
            }
        }
    }

    fn upsert(&mut self, instance: InstanceId, revision: Revision, back_end: BackEnd) {
        self.by_revision.insert((revision, instance.clone()));
        self.back_ends.insert(instance, (revision, back_end));
    }

    fn withhold(
        &mut self,
        instance: InstanceId,
        revision: Revision,
        back_end: BackEnd,
    ) -> ApplyOutcome {
        let known = self.withheld.get(&instance);
        let known = known.map(|(known, listed)| (*known, listed));
        let newer = match known {
            Some(known) => newer_entry(known, (revision, back_end)),
            None => Some(back_end),
        };
        let Some(newer) = newer else {
            return ApplyOutcome::AlreadyKnown;
        };
        if let Some((known, _)) = known {
            self.by_revision.remove(&(known, instance.clone()));
        }
        self.by_revision.insert((revision, instance.clone()));
        self.withheld.insert(instance, (revision, newer));
        ApplyOutcome::Withheld
    }

    /// Lists a withheld back end whose removal was not written again in time.
    pub fn release_withheld(&mut self, instance: &InstanceId) -> Option<Change> {
        let (revision, back_end) = self.withheld.get(instance).cloned()?;
        self.forget_removal(instance);
        self.upsert(instance.clone(), revision, back_end.clone());
        Some(Change {
            key: DocumentKey::BackEnd(instance.clone()),
            revision,
            content: DocumentContent::BackEnd(back_end),
        })
    }

    fn forget_removal(&mut self, instance: &InstanceId) {
        let withheld = self.withheld.remove(instance).map(|(listed, _)| listed);
        let removed = self.tombstones.remove(instance);
        for revision in withheld.into_iter().chain(removed) {
            self.by_revision.remove(&(revision, instance.clone()));
        }
    }

    fn remove(&mut self, instance: InstanceId, revision: Revision) -> ApplyOutcome {
        let listed = self.back_ends.get(&instance).map(|(listed, _)| *listed);
        if listed.is_some_and(|listed| listed.epoch > revision.epoch) {
            return self.withhold_listed(instance, revision);
        }
        let known = listed.max(self.tombstones.get(&instance).copied());
        if known.is_some_and(|known| revision <= known) {
            return ApplyOutcome::AlreadyKnown;
        }
        if let Some(known) = known {
            self.by_revision.remove(&(known, instance.clone()));
        }
        self.back_ends.remove(&instance);
        self.add_tombstone(instance.clone(), revision);
        match self.withheld.get(&instance).map(|(listed, _)| *listed) {
            Some(listed) if listed > revision => ApplyOutcome::Withheld,
            Some(listed) => {
                self.withheld.remove(&instance);
                self.by_revision.remove(&(listed, instance));
                ApplyOutcome::Applied
            }
            None => ApplyOutcome::Applied,
        }
    }

    /// Withholds a listed back end that an earlier epoch removed.
    fn withhold_listed(&mut self, instance: InstanceId, removed: Revision) -> ApplyOutcome {
        if let Some(entry) = self.back_ends.remove(&instance) {
            self.withheld.insert(instance.clone(), entry);
        }
        self.add_tombstone(instance, removed);
        ApplyOutcome::Withheld
    }

    /// Records a removal, so that an older list can't bring the back end back. Tombstones of
    /// withheld back ends are never dropped.
    fn add_tombstone(&mut self, instance: InstanceId, revision: Revision) {
        self.by_revision.insert((revision, instance.clone()));
        self.tombstones.insert(instance, revision);
        while self.tombstones.len() > MAXIMUM_TOMBSTONES {
            let tombstones = self.tombstones.iter();
            let droppable = tombstones.filter(|(name, _)| !self.withheld.contains_key(*name));
            let oldest = droppable.min_by_key(|(_, revision)| **revision);
            let Some((oldest, revision)) = oldest.map(|(name, at)| (name.clone(), *at)) else {
                break;
            };
            self.tombstones.remove(&oldest);
            self.by_revision.remove(&(revision, oldest));
        }
    }

    /// Back ends and evacuations that are missing from a complete listing which began at
    /// `revision`. They count as removed. Those that an earlier epoch listed may have been lost
    /// in a restore: they expire, and count as removed unless they are written again within the
    /// grace period.
    pub fn missing_from_listing(
        &self,
        listed: &BTreeSet<DocumentKey>,
        revision: Revision,
        grace_period: Span,
    ) -> Vec<Change> {
        let back_ends = self.back_ends.iter().chain(&self.withheld);
        let back_ends = back_ends.map(|(instance, (known, _))| {
            let key = DocumentKey::BackEnd(instance.clone());
            (key, *known)
        });
        let evacuations = self
            .evacuated_zones()
            .map(|(zone, known)| (DocumentKey::Evacuation(zone.clone()), known));
        back_ends
            .chain(evacuations)
            .filter(|(key, known)| *known <= revision && !listed.contains(key))
            .map(|(key, known)| Change {
                key,
                revision,
                content: if known.epoch < revision.epoch {
                    DocumentContent::Expired(grace_period)
                } else {
                    DocumentContent::Removed
                },
            })
            .collect()
    }

    /// All changes that a peer with the version vector `known` lacks. The table comes first, as
    /// it defines the pools that back ends belong to.
    pub fn changes_after(&self, known: &VersionVector) -> Vec<Change> {
        let table = self.table.iter();
        let table = table.filter(|(stamp, _)| !known.covers(stamp.revision));
        let table = table.map(|(stamp, table)| Change {
            key: DocumentKey::Table,
            revision: stamp.revision,
            content: DocumentContent::Table(table.document().clone()),
        });
        let evacuations = self.evacuations.iter();
        let evacuations = evacuations.filter(|(_, evacuation)| !known.covers(evacuation.revision));
        let evacuations = evacuations.map(|(zone, evacuation)| Change {
            key: DocumentKey::Evacuation(zone.clone()),
            revision: evacuation.revision,
            content: match evacuation.state {
                EvacuationState::Active => DocumentContent::Evacuated,
                EvacuationState::Ended => DocumentContent::Removed,
                EvacuationState::Expired(grace_period) => DocumentContent::Expired(grace_period),
            },
        });
        let back_ends = self.back_end_changes_after(known);
        table.chain(back_ends).chain(evacuations).collect()
    }

    /// Number of changes that a peer with the version vector `known` lacks, and whether the table
    /// is among them.
    pub fn count_after(&self, known: &VersionVector) -> (usize, bool) {
        let evacuations = self.evacuations.values();
        let evacuations = evacuations.filter(|evacuation| !known.covers(evacuation.revision));
        let table = self.table.as_ref();
        let has_table = table.is_some_and(|(stamp, _)| !known.covers(stamp.revision));
        let back_ends = self.changed_back_ends_after(known).count();
        let count = back_ends + evacuations.count() + usize::from(has_table);
        (count, has_table)
    }

    /// Whether a peer with the version vector `known` lacks this node's newest epoch, and
    /// therefore nearly all documents.
    pub fn peer_lacks_newest_epoch(&self, known: &VersionVector) -> bool {
        let newest = self.version_vector.newest();
        newest.is_none_or(|newest| !known.has_epoch(newest.epoch))
    }

    /// Changes of back ends that `known` does not cover, ordered by revision.
    fn changed_back_ends_after(
        &self,
        known: &VersionVector,
    ) -> impl Iterator<Item = &(Revision, InstanceId)> {
        let (ranges, last) = known.unknown_ranges();
        let earlier = ranges.into_iter().flat_map(|range| {
            let range = lower_bound(range.start)..lower_bound(range.end);
            self.by_revision.range(range)
        });
        earlier.chain(self.by_revision.range(lower_bound(last)..))
    }

    fn back_end_changes_after(&self, known: &VersionVector) -> impl Iterator<Item = Change> {
        self.changed_back_ends_after(known)
            .map(|(revision, instance)| Change {
                key: DocumentKey::BackEnd(instance.clone()),
                revision: *revision,
                content: match self.entry_at(instance, *revision) {
                    Some(back_end) => DocumentContent::BackEnd(back_end.clone()),
                    None => DocumentContent::Removed,
                },
            })
    }

    /// The listed or withheld entry of a back end, if a change of this revision wrote it.
    fn entry_at(&self, instance: &InstanceId, revision: Revision) -> Option<&BackEnd> {
        let entries = [&self.back_ends, &self.withheld];
        let entries = entries.into_iter().filter_map(|map| map.get(instance));
        let mut at = entries.filter(|(listed, _)| *listed == revision);
        at.next().map(|(_, back_end)| back_end)
    }
}

/// The entry to store, if the new one is newer than the known one.
fn newer_entry(
    (known_revision, known): (Revision, &BackEnd),
    (revision, mut new): (Revision, BackEnd),
) -> Option<BackEnd> {
    if revision.epoch == known_revision.epoch {
        return (revision > known_revision).then_some(new);
    }
    if new.is_different_run(known) {
        return (new.started_unix_ms > known.started_unix_ms).then_some(new);
    }
    // Draining is final for a run of a back end, so the draining entry is the newer one.
    if new.draining != known.draining {
        return new.draining.then_some(new);
    }
    // The remaining cold time of a restored entry is out of date.
    new.cold_remaining = known.cold_remaining;
    (revision > known_revision).then_some(new)
}

/// Lower bound of a revision's entries in `by_revision`.
fn lower_bound(revision: Revision) -> (Revision, InstanceId) {
    (revision, InstanceId::from(""))
}
