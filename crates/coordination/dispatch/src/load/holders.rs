//! Which back ends were given a shared part of a prompt last: where a large pool is not gone
//! through, an engine that keeps a part is found here.

use eiderferry_routing::PartId;
use std::collections::HashMap;

/// Back ends remembered for one part: enough to copy from one while another is busy.
const MAX_HOLDERS: usize = 4;
/// Parts in one generation. Two of them take some 4 MB (reckoned) and hold what is placed
/// within minutes: engines forget parts sooner.
const PARTS_PER_GENERATION: usize = 32_768;

/// The latest back ends of each part, oldest first. Parts that were not placed for a whole
/// generation are forgotten.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    current: HashMap<PartId, Vec<u32>>,
    previous: HashMap<PartId, Vec<u32>>,
}

impl Holders {
    /// Notes that a part was placed at a back end.
    pub fn record(&mut self, part: PartId, back_end: u32) {
        if self.current.len() >= PARTS_PER_GENERATION && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &self.previous;
        let holders = self.current.entry(part);
        let holders = holders.or_insert_with(|| previous.get(&part).cloned().unwrap_or_default());
        holders.retain(|holder| *holder != back_end);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(back_end);
    }

    /// The back ends of a part, latest first.
    pub fn of(&self, part: PartId) -> impl Iterator<Item = u32> {
        let holders = self.current.get(&part).or_else(|| self.previous.get(&part));
        holders.into_iter().flatten().rev().copied()
    }
}
