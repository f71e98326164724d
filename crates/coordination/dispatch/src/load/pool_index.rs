//! Index of the back ends of one pool, for the lookups that a request needs.
//!
//! If each request scanned a pool of thousands of back ends, the cost at a node would grow with
//! the fleet. So back ends are hashed into groups of about the same size however many there are,
//! once over the whole pool and once for each zone. The preferred back end for a prompt is
//! searched for in the group that the prompt's hash selects. All nodes that know the same back
//! ends form the same groups.

use eiderferry_routing::{InstanceId, ZoneName};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum mean size of a group; the number of groups doubles when it is exceeded. Each request
/// scans one group: with 32 to 64 back ends in it, a prompt has as many candidates as in a pool
/// that is small enough to be scanned completely.
const MAX_MEAN_GROUP_SIZE: usize = 64;
/// Seed of the hash that assigns back ends to groups.
const GROUP_SEED: u64 = 0x0067_726f_7570;

/// Back ends, grouped by their hashes.
#[derive(Clone, Debug)]
pub(crate) struct HashGroups {
    /// The number of groups is a power of two; the leading bits of a back end's hash select its
    /// group.
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

/// Number of groups for this many back ends.
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

    /// Redistributes all back ends if their number requires a different number of groups.
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

    /// All back ends, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        let members = self.groups.iter().flatten();
        members.map(|(_, instance)| instance)
    }

    /// All groups, starting with the one that the hash selects.
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

    /// Chooses back ends at random, with replacement.
    pub fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<&InstanceId> {
        // Group sizes differ, and an empty group yields no back end.
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
    /// Sorted by instance.
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

    /// All back ends, sorted by instance.
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// The groups over all zones.
    pub fn all(&self) -> &HashGroups {
        &self.all
    }

    /// The groups of one zone; `None` if the zone never had back ends in the pool.
    pub fn in_zone(&self, zone: &ZoneName) -> Option<&HashGroups> {
        self.by_zone.get(zone)
    }
}
