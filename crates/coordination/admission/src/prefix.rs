//! The prompt prefixes that a back end probably has in its cache.

use crate::PrefixMark;
use std::collections::BTreeMap;

/// Maximum number of prefixes tracked per back end, whose cache is limited too.
const MAX_PREFIXES: usize = 512;

/// A least-recently-used set of prefix hashes.
///
/// It is updated by the holder's grants and corrected by the back end's cache
/// events. These arrive late and with gaps, so a hit is only a hint.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    use_by_hash: BTreeMap<u32, u64>,
    hash_by_use: BTreeMap<u64, u32>,
    use_counter: u64,
}

impl PrefixIndex {
    /// Records that these prefixes were just used.
    pub fn record_use(&mut self, prefixes: &[PrefixMark]) {
        for mark in prefixes {
            self.insert(mark.hash);
        }
    }

    /// Records that the back end stored or used a prefix.
    pub fn insert(&mut self, hash: u32) {
        self.use_counter += 1;
        if let Some(previous) = self.use_by_hash.insert(hash, self.use_counter) {
            self.hash_by_use.remove(&previous);
        }
        self.hash_by_use.insert(self.use_counter, hash);
        while self.use_by_hash.len() > MAX_PREFIXES {
            let Some((_, oldest)) = self.hash_by_use.pop_first() else {
                return;
            };
            self.use_by_hash.remove(&oldest);
        }
    }

    /// Records that the back end evicted a prefix.
    pub fn remove(&mut self, hash: u32) {
        if let Some(last_used) = self.use_by_hash.remove(&hash) {
            self.hash_by_use.remove(&last_used);
        }
    }

    /// Removes all prefixes, because cache events of the back end were lost.
    pub fn clear(&mut self) {
        self.use_by_hash.clear();
        self.hash_by_use.clear();
    }

    /// Length in tokens of the longest known prefix, 0 if none is known; `prefixes` are
    /// ordered from shortest to longest.
    pub fn cached_tokens(&self, prefixes: &[PrefixMark]) -> u32 {
        prefixes
            .iter()
            .rev()
            .find(|mark| self.use_by_hash.contains_key(&mark.hash))
            .map_or(0, |mark| mark.tokens)
    }
}
