//! Rendezvous (highest random weight) hashing.
//!
//! All nodes with the same list of members compute the same owner of a key without exchanging
//! messages, and the loss of a member reassigns only that member's keys.

use crate::{CellId, NodeId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `member` for `key`; the member with the largest weight owns the key.
pub fn rendezvous_score(key: u64, member: NodeId) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), key)
}

/// A key that can be assigned to a member.
pub trait Rendezvous {
    /// Hash of the key.
    fn rendezvous_key(&self) -> u64;

    /// The member that owns this key; `None` if `members` is empty.
    fn owner(&self, members: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
        let key = self.rendezvous_key();
        members
            .into_iter()
            .max_by_key(|member| (rendezvous_score(key, *member), *member))
    }
}

impl Rendezvous for CellId {
    fn rendezvous_key(&self) -> u64 {
        let bytes = [self.zone.0, self.pool.0, self.shard];
        xxh3_64_with_seed(&bytes, 0)
    }
}

impl Rendezvous for str {
    fn rendezvous_key(&self) -> u64 {
        xxh3_64_with_seed(self.as_bytes(), 0)
    }
}
