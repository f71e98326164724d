//! Deltas between two versions of a document, which peers send instead of the whole.

use crate::{
    Class, Configuration, Directory, DirectoryEntry, Pool, Tenant, Zone, pack_directory_version,
    unpack_directory_version,
};
use eiderferry_types::{BackEndId, NodeId, PoolId, TenantId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A document whose version increases with every change.
pub trait Versioned: Clone + Debug + PartialEq {
    /// The changes between two versions.
    type Delta: Clone + Debug + PartialEq;

    /// The version of this document.
    fn version(&self) -> u64;
    /// The delta from this version to `newer`.
    fn delta_to(&self, newer: &Self) -> Self::Delta;
    /// The version to which a delta applies.
    fn base_version(delta: &Self::Delta) -> u64;
    /// The version that results from a delta.
    fn target_version(delta: &Self::Delta) -> u64;
    /// Applies a delta; returns `None` if its base is another version.
    fn apply(&self, delta: &Self::Delta) -> Option<Self>;
}

/// Changes to a list whose entries have unique ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta<Id, Entry> {
    /// Entries that were added or replaced.
    pub changed: Vec<Entry>,
    /// Ids of entries that were removed.
    pub removed: Vec<Id>,
}

impl<Id: Ord + Copy, Entry: Clone + PartialEq> ListDelta<Id, Entry> {
    fn between(old: &[Entry], new: &[Entry], id_of: impl Fn(&Entry) -> Id) -> Self {
        let old_by_id: BTreeMap<Id, &Entry> =
            old.iter().map(|entry| (id_of(entry), entry)).collect();
        let new_by_id: BTreeMap<Id, &Entry> =
            new.iter().map(|entry| (id_of(entry), entry)).collect();
        let changed = new
            .iter()
            .filter(|entry| old_by_id.get(&id_of(entry)) != Some(entry))
            .cloned()
            .collect();
        let removed = old_by_id
            .keys()
            .filter(|entry_id| !new_by_id.contains_key(entry_id))
            .copied()
            .collect();
        Self { changed, removed }
    }

    fn apply(&self, old: &[Entry], id_of: impl Fn(&Entry) -> Id) -> Vec<Entry> {
        let mut entries: BTreeMap<Id, Entry> = old
            .iter()
            .map(|entry| (id_of(entry), entry.clone()))
            .collect();
        for entry_id in &self.removed {
            entries.remove(entry_id);
        }
        for entry in &self.changed {
            entries.insert(id_of(entry), entry.clone());
        }
        entries.into_values().collect()
    }
}

/// Delta between two configurations.
///
/// A short list is included as a whole if it changed. Of the tenants, which number in
/// the thousands, only those that changed are included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    base: u64,
    target: u64,
    zones: Option<Vec<Zone>>,
    pools: Option<Vec<Pool>>,
    classes: Option<Vec<Class>>,
    repeat_window_ms: u64,
    tenants: ListDelta<TenantId, Tenant>,
}

fn if_changed<T: Clone + PartialEq>(old: &[T], new: &[T]) -> Option<Vec<T>> {
    (old != new).then(|| new.to_vec())
}

impl Versioned for Configuration {
    type Delta = ConfigurationDelta;

    fn version(&self) -> u64 {
        self.version
    }

    fn delta_to(&self, newer: &Self) -> ConfigurationDelta {
        ConfigurationDelta {
            base: self.version,
            target: newer.version,
            zones: if_changed(&self.zones, &newer.zones),
            pools: if_changed(&self.pools, &newer.pools),
            classes: if_changed(&self.classes, &newer.classes),
            repeat_window_ms: newer.repeat_window_ms,
            tenants: ListDelta::between(&self.tenants, &newer.tenants, |tenant| tenant.id),
        }
    }

    fn base_version(delta: &ConfigurationDelta) -> u64 {
        delta.base
    }

    fn target_version(delta: &ConfigurationDelta) -> u64 {
        delta.target
    }

    fn apply(&self, delta: &ConfigurationDelta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        Some(Configuration {
            version: delta.target,
            repeat_window_ms: delta.repeat_window_ms,
            zones: delta.zones.clone().unwrap_or_else(|| self.zones.clone()),
            pools: delta.pools.clone().unwrap_or_else(|| self.pools.clone()),
            classes: delta
                .classes
                .clone()
                .unwrap_or_else(|| self.classes.clone()),
            tenants: delta.tenants.apply(&self.tenants, |tenant| tenant.id),
        })
    }
}

/// Delta between two directories.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    base: u64,
    target: u64,
    nodes: ListDelta<NodeId, DirectoryEntry<NodeId, ()>>,
    back_ends: ListDelta<BackEndId, DirectoryEntry<BackEndId, PoolId>>,
}

impl Versioned for Directory {
    type Delta = DirectoryDelta;

    fn version(&self) -> u64 {
        pack_directory_version(self.epoch, self.version)
    }

    fn delta_to(&self, newer: &Self) -> DirectoryDelta {
        DirectoryDelta {
            base: self.version(),
            target: newer.version(),
            nodes: ListDelta::between(&self.nodes, &newer.nodes, |entry| entry.id),
            back_ends: ListDelta::between(&self.back_ends, &newer.back_ends, |entry| entry.id),
        }
    }

    fn base_version(delta: &DirectoryDelta) -> u64 {
        delta.base
    }

    fn target_version(delta: &DirectoryDelta) -> u64 {
        delta.target
    }

    fn apply(&self, delta: &DirectoryDelta) -> Option<Self> {
        if delta.base != self.version() {
            return None;
        }
        let (epoch, version) = unpack_directory_version(delta.target);
        Some(Directory {
            epoch,
            version,
            nodes: delta.nodes.apply(&self.nodes, |entry| entry.id),
            back_ends: delta.back_ends.apply(&self.back_ends, |entry| entry.id),
        })
    }
}
