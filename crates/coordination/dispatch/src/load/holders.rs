//! Which back ends were given a shared part of a prompt last: where a large pool is not gone
//! through, an engine that keeps a part is found here.

use eiderferry_routing::PartId;
use std::collections::HashMap;

/// Back ends remembered for one part: enough to copy from one while another is busy.
const MOST_HOLDERS: usize = 4;
/// Parts in one generation. Two of them take some 4 MB (reckoned) and hold what is placed
/// within minutes: engines forget parts sooner.
const MOST_PARTS: usize = 32_768;

/// The latest back ends of each part, oldest first. Parts that were not placed for a whole
/// generation are forgotten.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    young: HashMap<PartId, Vec<u32>>,
    old: HashMap<PartId, Vec<u32>>,
}

impl Holders {
    /// Notes that a part was placed at a back end.
    pub fn record(&mut self, part: PartId, back_end: u32) {
        if self.young.len() >= MOST_PARTS && !self.young.contains_key(&part) {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &self.old;
        let holders = self.young.entry(part);
        let holders = holders.or_insert_with(|| old.get(&part).cloned().unwrap_or_default());
        holders.retain(|holder| *holder != back_end);
        if holders.len() >= MOST_HOLDERS {
            holders.remove(0);
        }
        holders.push(back_end);
    }

    /// The back ends of a part, latest first.
    pub fn of(&self, part: PartId) -> impl Iterator<Item = u32> {
        let holders = self.young.get(&part).or_else(|| self.old.get(&part));
        holders.into_iter().flatten().rev().copied()
    }
}
