//! A source of documents that can be restored from an older copy.

use super::{Fleet, back_end, table_change};
use eiderferry_dispatch::{Change, DocumentContent, DocumentKey, ReaderRole, Revision};
use eiderferry_routing::InstanceId;
use eiderferry_types::Span;
use std::collections::{BTreeMap, BTreeSet};

/// Time allowed for writing entries again that a restore has lost.
pub const GRACE_PERIOD: Span = Span::from_milliseconds(2_000);

/// A simulated document source that the nodes of a fleet read.
#[derive(Default)]
pub struct Source {
    epoch: u64,
    /// All writes in order; the revision number of each is its index plus one.
    history: Vec<(DocumentKey, DocumentContent)>,
    /// The last write of each document, including writes lost in a restore.
    written: BTreeMap<DocumentKey, DocumentContent>,
    /// Nodes that cannot reach the source.
    pub unreachable: BTreeSet<usize>,
}

pub fn instance_key(name: &str) -> DocumentKey {
    DocumentKey::BackEnd(InstanceId::from(name))
}

impl Source {
    pub fn write_count(&self) -> u64 {
        self.history.len() as u64
    }

    pub fn revision(&self) -> Revision {
        Revision {
            epoch: self.epoch,
            number: self.write_count(),
        }
    }

    pub fn write(&mut self, key: DocumentKey, content: DocumentContent) {
        self.written.insert(key.clone(), content.clone());
        self.history.push((key, content));
    }

    pub fn write_table(&mut self, version: u64) {
        self.write(DocumentKey::Table, table_change(version).content);
    }

    pub fn write_back_end(&mut self, name: &str, number: usize, draining: bool) {
        let mut entry = back_end(name, number, 0);
        entry.draining = draining;
        self.write(instance_key(name), DocumentContent::BackEnd(entry));
    }

    pub fn remove_back_end(&mut self, name: &str) {
        self.write(instance_key(name), DocumentContent::Removed);
    }

    /// Restores the copy made at a revision number. Returns the last write of each document of
    /// which a write was lost.
    pub fn restore(&mut self, number: u64) -> BTreeMap<DocumentKey, DocumentContent> {
        self.epoch += 1;
        let lost = self.history.split_off(number as usize);
        let lost = lost.into_iter().map(|(key, _)| key);
        lost.map(|key| (key.clone(), self.written[&key].clone()))
            .collect()
    }

    /// The last change of each document after a revision number.
    fn changes_after(&self, number: u64) -> Vec<Change> {
        let mut latest = BTreeMap::new();
        for (index, (key, content)) in self.history.iter().enumerate() {
            latest.insert(key, (index as u64 + 1, content));
        }
        let changed = latest.into_iter().filter(|(_, (at, _))| *at > number);
        changed
            .map(|(key, (number, content))| Change {
                key: key.clone(),
                revision: Revision {
                    epoch: self.epoch,
                    number,
                },
                content: content.clone(),
            })
            .collect()
    }

    /// Lets a node watch for changes, or list all documents if it doesn't know the epoch.
    fn read(&self, fleet: &mut Fleet, node: usize) {
        let known = fleet.nodes[node].document_store().version_vector().newest();
        let watched = known.filter(|known| known.epoch == self.epoch);
        let number = watched.map_or(0, |known| known.number);
        let changes = self.changes_after(number);
        let is_removed = |change: &Change| change.content == DocumentContent::Removed;
        let present = changes.iter().filter(|change| !is_removed(change));
        let listed: BTreeSet<DocumentKey> = present.map(|change| change.key.clone()).collect();
        let is_reported = |change: &Change| watched.is_some() || !is_removed(change);
        for change in changes.iter().filter(|change| is_reported(change)) {
            fleet.nodes[node].apply(change.clone(), fleet.now);
        }
        if watched.is_none() {
            let document_store = fleet.nodes[node].document_store();
            let missing =
                document_store.missing_from_listing(&listed, self.revision(), GRACE_PERIOD);
            for change in missing {
                fleet.nodes[node].apply(change, fleet.now);
            }
        }
        fleet.confirm(node, &self.revision().into(), fleet.now, true);
    }

    /// Runs one step of a fleet whose readers read this source.
    pub fn step(&self, fleet: &mut Fleet) {
        fleet.step();
        for node in 0..fleet.nodes.len() {
            let is_reader = fleet.nodes[node].reader_role(fleet.now) == ReaderRole::Reader;
            if is_reader
                && !fleet.stopped_nodes.contains(&node)
                && !self.unreachable.contains(&node)
            {
                self.read(fleet, node);
            }
        }
    }

    pub fn run(&self, fleet: &mut Fleet, milliseconds: u64) {
        for _ in 0..milliseconds / 100 {
            self.step(fleet);
        }
    }
}
