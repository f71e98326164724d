//! The back ends of one pool, in the ways in which a request looks some of them up.
//!
//! A request that went through a pool of thousands would cost a node more the larger the fleet
//! is. So the back ends are kept in groups by hashing, of about the same size however many there
//! are, over the whole pool and over each zone: the home of a prompt is sought in the group that
//! the prompt's hash names. All nodes that know the same back ends form the same groups.

use eiderferry_routing::{InstanceId, ZoneName};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most back ends of a group on the average; with twice as many there are twice as many groups.
/// A group is gone through for each request: with 32 to 64 of them a prompt has as many
/// candidates as in a pool that is small enough to be compared whole.
const MAX_MEAN_GROUP_SIZE: usize = 64;
/// Seed of the hash that sorts back ends into groups.
const GROUP_SEED: u64 = 0x0067_726f_7570;

/// Back ends sorted into groups by their hashes.
#[derive(Clone, Debug)]
pub(crate) struct HashGroups {
    /// A power of two of them: a back end's group is named by the first bits of its hash.
    groups: Vec<Vec<(u64, InstanceId)>>,
    count: usize,
}

impl Default for HashGroups {
    fn default() -> Self {
        Self {
            groups: vec![Vec::new()],
            count: 0,
        }
    }
}

/// Number of groups for so many back ends.
fn group_count(back_ends: usize) -> usize {
    back_ends
        .div_ceil(MAX_MEAN_GROUP_SIZE)
        .max(1)
        .next_power_of_two()
}

fn group_hash(back_end: u32) -> u64 {
    xxh3_64_with_seed(&back_end.to_le_bytes(), GROUP_SEED)
}

impl HashGroups {
    fn group_index(&self, hash: u64) -> usize {
        let bits = self.groups.len().trailing_zeros();
        hash.checked_shr(u64::BITS - bits).unwrap_or(0) as usize
    }

    fn add(&mut self, back_end: u32, instance: &InstanceId) {
        let hash = group_hash(back_end);
        let group_index = self.group_index(hash);
        self.groups[group_index].push((hash, instance.clone()));
        self.count += 1;
        self.regroup();
    }

    fn remove(&mut self, back_end: u32, instance: &InstanceId) {
        let group_index = self.group_index(group_hash(back_end));
        let group = &mut self.groups[group_index];
        let before = group.len();
        group.retain(|(_, member)| member != instance);
        self.count -= before - group.len();
        self.regroup();
    }

    /// Sorts all anew if their number asks for more groups, or fewer.
    fn regroup(&mut self) {
        let target_count = group_count(self.count);
        if target_count == self.groups.len() {
            return;
        }
        let members = std::mem::take(&mut self.groups).into_iter().flatten();
        let members: Vec<(u64, InstanceId)> = members.collect();
        self.groups.resize_with(target_count, Vec::new);
        for (hash, instance) in members {
            let group_index = self.group_index(hash);
            self.groups[group_index].push((hash, instance));
        }
    }

    /// All back ends, in no order.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        let members = self.groups.iter().flatten();
        members.map(|(_, instance)| instance)
    }

    /// The groups, beginning with the one that a hash names.
    pub fn starting_at(
        &self,
        hash: u64,
    ) -> impl Iterator<Item = impl Iterator<Item = &InstanceId>> {
        let hash = xxh3_64_with_seed(&hash.to_le_bytes(), GROUP_SEED);
        let first = self.group_index(hash);
        let (before, after) = self.groups.split_at(first);
        let groups = after.iter().chain(before);
        groups.map(|group| group.iter().map(|(_, instance)| instance))
    }

    /// Some back ends drawn at random, perhaps the same one twice.
    pub fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<&InstanceId> {
        // Groups differ in size: an empty one is no draw.
        let sampled = (0..count).filter_map(|_| {
            let group = self.groups.choose(random)?;
            group.choose(random)
        });
        sampled.map(|(_, instance)| instance).collect()
    }
}

/// The back ends of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolIndex {
    /// In the order of their names.
    members: Vec<InstanceId>,
    all: HashGroups,
    by_zone: BTreeMap<ZoneName, HashGroups>,
}

impl PoolIndex {
    pub fn add(&mut self, back_end: u32, instance: &InstanceId, zone: &ZoneName) {
        let Err(position) = self.members.binary_search(instance) else {
            return;
        };
        self.members.insert(position, instance.clone());
        self.all.add(back_end, instance);
        let zone = self.by_zone.entry(zone.clone()).or_default();
        zone.add(back_end, instance);
    }

    pub fn remove(&mut self, back_end: u32, instance: &InstanceId, zone: &ZoneName) {
        let Ok(position) = self.members.binary_search(instance) else {
            return;
        };
        self.members.remove(position);
        self.all.remove(back_end, instance);
        if let Some(groups) = self.by_zone.get_mut(zone) {
            groups.remove(back_end, instance);
        }
    }

    /// All back ends, in the order of their names.
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// The groups over all zones.
    pub fn all(&self) -> &HashGroups {
        &self.all
    }

    /// The groups of one zone, if it has back ends.
    pub fn of_zone(&self, zone: &ZoneName) -> Option<&HashGroups> {
        self.by_zone.get(zone)
    }
}
