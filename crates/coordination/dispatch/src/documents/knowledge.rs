//! The documents a node works from, with their revisions.
//!
//! Each item carries the revision of the platform's change that made it. An item
//! never yields to an older one, whether it comes from the platform or from a peer.

use eiderferry_routing::{BackEnd, InstanceId, RoutingTable, TableDocument, ZoneName};
use eiderferry_types::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Removed items remembered, so that an older list can't bring them back.
const MAXIMUM_TOMBSTONES: usize = 4_096;
/// Zones remembered for which an evacuation was ever asked.
const MAXIMUM_EVACUATIONS: usize = 256;

/// What an item is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKey {
    /// The routing table.
    Table,
    /// A back end.
    BackEnd(InstanceId),
    /// The evacuation of a zone.
    Evacuation(ZoneName),
}

impl DocumentKey {
    /// What kind of item it is, as a word for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            DocumentKey::Table => "table",
            DocumentKey::BackEnd(_) => "back_end",
            DocumentKey::Evacuation(_) => "evacuation",
        }
    }
}

/// What an item says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The routing table.
    Table(TableDocument),
    /// A back end.
    BackEnd(BackEnd),
    /// The zone's back ends are to get nothing new.
    Evacuated,
    /// The item is gone.
    Gone,
    /// The item ran out while the platform was away; it is gone unless it is back within
    /// the span.
    Lapsed(Span),
}

impl Content {
    /// What became of the item, as a word for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Content::Table(_) | Content::BackEnd(_) => "written",
            Content::Evacuated => "evacuated",
            Content::Gone => "gone",
            Content::Lapsed(_) => "lapsed",
        }
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Which item.
    pub key: DocumentKey,
    /// Revision of the change.
    pub revision: u64,
    /// What it says now.
    pub content: Content,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    Taken,
    /// Something as new was known.
    Known,
    /// It is not usable; what was known stays.
    Refused(String),
}

/// Whether a zone is evacuated, and the revision of the change that said so last.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: u64,
    is_on: bool,
}

/// All documents known to a node.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    table: Option<(u64, Arc<RoutingTable>)>,
    refused_table: u64,
    back_ends: BTreeMap<InstanceId, (u64, BackEnd)>,
    gone: BTreeMap<InstanceId, u64>,
    /// Back ends, listed and gone, by the revisions of their latest changes: what is told to
    /// others after a change costs as much as the change is large. Without it each of 585 nodes
    /// copied all of 6,000 entries for each change it passed on.
    by_revision: BTreeSet<(u64, InstanceId)>,
    evacuations: BTreeMap<ZoneName, Evacuation>,
    complete_to: u64,
    confirmed_at: Option<Timestamp>,
}

impl Knowledge {
    /// The table in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref().map(|(_, table)| table)
    }

    /// Revision of the table in force; 0 without one.
    pub fn table_revision(&self) -> u64 {
        self.table.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// All listed back ends.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEnd> {
        self.back_ends.values().map(|(_, back_end)| back_end)
    }

    /// Every change up to this revision is known.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Age of the youngest confirmation by the platform.
    pub fn confirmed_age(&self, now: Timestamp) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// The platform confirmed at `at` that nothing newer exists than `revision`.
    pub fn confirm(&mut self, revision: u64, at: Timestamp) {
        if revision < self.complete_to {
            return;
        }
        self.complete_to = revision;
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Takes a change over if it is newer than what is known.
    pub fn apply(&mut self, change: Change) -> Applied {
        match (change.key, change.content) {
            (DocumentKey::Table, Content::Table(document)) => {
                self.apply_table(change.revision, document)
            }
            (DocumentKey::BackEnd(instance), Content::BackEnd(back_end)) => {
                self.apply_back_end(instance, change.revision, back_end)
            }
            (DocumentKey::BackEnd(instance), Content::Gone | Content::Lapsed(_)) => {
                self.remove(instance, change.revision)
            }
            (DocumentKey::Evacuation(zone), Content::Evacuated) => {
                self.apply_evacuation(zone, change.revision, true)
            }
            (DocumentKey::Evacuation(zone), Content::Gone) => {
                self.apply_evacuation(zone, change.revision, false)
            }
            _ => Applied::Known,
        }
    }

    fn apply_evacuation(&mut self, zone: ZoneName, revision: u64, is_on: bool) -> Applied {
        let known = self.evacuations.get(&zone);
        let is_known = known.is_some_and(|known| known.revision >= revision);
        let has_room = known.is_some() || self.evacuations.len() < MAXIMUM_EVACUATIONS;
        if is_known || !has_room {
            return Applied::Known;
        }
        let evacuation = Evacuation { revision, is_on };
        self.evacuations.insert(zone, evacuation);
        Applied::Taken
    }

    /// Zones whose back ends get nothing new, with the revision since which that is so.
    pub fn evacuated(&self) -> impl Iterator<Item = (&ZoneName, u64)> {
        let evacuations = self.evacuations.iter();
        let evacuated = evacuations.filter(|(_, evacuation)| evacuation.is_on);
        evacuated.map(|(zone, evacuation)| (zone, evacuation.revision))
    }

    fn apply_table(&mut self, revision: u64, document: TableDocument) -> Applied {
        if revision <= self.table_revision().max(self.refused_table) {
            return Applied::Known;
        }
        match RoutingTable::new(document) {
            Ok(table) => {
                self.table = Some((revision, Arc::new(table)));
                Applied::Taken
            }
            Err(error) => {
                self.refused_table = revision;
                Applied::Refused(error.to_string())
            }
        }
    }

    fn known_revision(&self, instance: &InstanceId) -> u64 {
        let listed = self.back_ends.get(instance).map(|(revision, _)| *revision);
        let gone = self.gone.get(instance).copied();
        listed.max(gone).unwrap_or(0)
    }

    /// Notes the revision of a back end's latest change; false if something as new is known.
    fn renew_revision(&mut self, instance: &InstanceId, revision: u64) -> bool {
        let known = self.known_revision(instance);
        if revision <= known {
            return false;
        }
        self.by_revision.remove(&(known, instance.clone()));
        self.by_revision.insert((revision, instance.clone()));
        true
    }

    fn apply_back_end(
        &mut self,
        instance: InstanceId,
        revision: u64,
        back_end: BackEnd,
    ) -> Applied {
        if !self.renew_revision(&instance, revision) {
            return Applied::Known;
        }
        self.gone.remove(&instance);
        self.back_ends.insert(instance, (revision, back_end));
        Applied::Taken
    }

    fn remove(&mut self, instance: InstanceId, revision: u64) -> Applied {
        if !self.renew_revision(&instance, revision) {
            return Applied::Known;
        }
        self.back_ends.remove(&instance);
        self.gone.insert(instance, revision);
        while self.gone.len() > MAXIMUM_TOMBSTONES {
            let oldest = self.gone.iter().min_by_key(|(_, revision)| **revision);
            let Some((oldest, revision)) = oldest.map(|(name, at)| (name.clone(), *at)) else {
                break;
            };
            self.gone.remove(&oldest);
            self.by_revision.remove(&(revision, oldest));
        }
        Applied::Taken
    }

    /// Back ends and evacuations missing from a whole listing that began at `revision` are
    /// gone.
    pub fn missing_from_listing(
        &self,
        listed: &BTreeSet<DocumentKey>,
        revision: u64,
    ) -> Vec<Change> {
        let back_ends = self.back_ends.iter().map(|(instance, (known, _))| {
            let key = DocumentKey::BackEnd(instance.clone());
            (key, *known)
        });
        let evacuations = self
            .evacuated()
            .map(|(zone, known)| (DocumentKey::Evacuation(zone.clone()), known));
        back_ends
            .chain(evacuations)
            .filter(|(key, known)| *known <= revision && !listed.contains(key))
            .map(|(key, _)| Change {
                key,
                revision,
                content: Content::Gone,
            })
            .collect()
    }

    /// All changes after a revision, for a peer that lags behind: the table first, which tells
    /// what the back ends are.
    pub fn changes_after(&self, revision: u64) -> Vec<Change> {
        let table = self.table.iter().filter(|(at, _)| *at > revision);
        let table = table.map(|(at, table)| Change {
            key: DocumentKey::Table,
            revision: *at,
            content: Content::Table(table.document().clone()),
        });
        let evacuations = self.evacuations.iter();
        let evacuations = evacuations.filter(|(_, evacuation)| evacuation.revision > revision);
        let evacuations = evacuations.map(|(zone, evacuation)| Change {
            key: DocumentKey::Evacuation(zone.clone()),
            revision: evacuation.revision,
            content: if evacuation.is_on {
                Content::Evacuated
            } else {
                Content::Gone
            },
        });
        let back_ends = self.back_ends_after(revision);
        table.chain(back_ends).chain(evacuations).collect()
    }

    /// How many changes there are after a revision, and whether the table is among them.
    pub fn count_after(&self, revision: u64) -> (usize, bool) {
        let evacuations = self.evacuations.values();
        let evacuations = evacuations.filter(|evacuation| evacuation.revision > revision);
        let back_ends = self.by_revision.range(first_after(revision)..);
        let has_table = self.table_revision() > revision;
        let count = back_ends.count() + evacuations.count() + usize::from(has_table);
        (count, has_table)
    }

    fn back_ends_after(&self, revision: u64) -> impl Iterator<Item = Change> {
        let changed = self.by_revision.range(first_after(revision)..);
        changed.map(|(revision, instance)| Change {
            key: DocumentKey::BackEnd(instance.clone()),
            revision: *revision,
            content: match self.back_ends.get(instance) {
                Some((_, back_end)) => Content::BackEnd(back_end.clone()),
                None => Content::Gone,
            },
        })
    }
}

/// The least key of the order by revisions that lies after one.
fn first_after(revision: u64) -> (u64, InstanceId) {
    (revision.saturating_add(1), InstanceId::from(""))
}
