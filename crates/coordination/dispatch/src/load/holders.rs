//! Index of the back ends that were most recently given each shared prompt part. In a pool too
//! large to scan for each request, it finds the engines that have a part cached.

use eiderferry_routing::PartId;
use std::collections::HashMap;

/// Maximum number of holders remembered for each shared prompt part. A holder is a back end that
/// was given a request with the part and so probably has it cached. Several are remembered so
/// that the part can be copied from one while another is busy.
const MAX_HOLDERS_PER_PART: usize = 4;
/// Parts in each of the two generations. Together they take about 4 MB (calculated) and cover the
/// placements of several minutes, which is longer than engines keep parts.
const PARTS_PER_GENERATION: usize = 32_768;

/// The most recent back ends of each part, oldest first. Parts that are not placed for a whole
/// generation are dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    current: HashMap<PartId, Vec<u32>>,
    previous: HashMap<PartId, Vec<u32>>,
}

impl Holders {
    /// Records that a part was placed at a back end.
    pub fn record(&mut self, part: PartId, back_end: u32) {
        if self.current.len() >= PARTS_PER_GENERATION && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &self.previous;
        let holders = self.current.entry(part);
        let holders = holders.or_insert_with(|| previous.get(&part).cloned().unwrap_or_default());
        holders.retain(|holder| *holder != back_end);
        if holders.len() >= MAX_HOLDERS_PER_PART {
            holders.remove(0);
        }
        holders.push(back_end);
    }

    /// Returns the back ends of a part, most recent first.
    pub fn latest_holders(&self, part: PartId) -> impl Iterator<Item = u32> {
        let holders = self.current.get(&part).or_else(|| self.previous.get(&part));
        holders.into_iter().flatten().rev().copied()
    }
}
