//! Which nodes send to a back end that has named a rate limit.

use super::peers::Peers;
use eiderferry_routing::ZoneName;
use std::collections::BTreeMap;

/// The other nodes that are there and not stopping, by their zones.
pub(crate) struct NodesByZone<'a> {
    peers: &'a Peers,
    /// Hashes of their addresses.
    hashes: BTreeMap<&'a ZoneName, Vec<u64>>,
}

impl Peers {
    /// Sorts the other nodes by their zones.
    pub(crate) fn by_zone(&self) -> NodesByZone<'_> {
        let mut hashes: BTreeMap<&ZoneName, Vec<u64>> = BTreeMap::new();
        for (_, peer) in self.active_peers() {
            hashes
                .entry(&peer.zone)
                .or_default()
                .push(peer.role_priority.hash());
        }
        NodesByZone {
            peers: self,
            hashes,
        }
    }
}

impl NodesByZone<'_> {
    /// Place of this node among the first so many of those that send to a back end of a zone;
    /// `None` behind them. Nodes of that zone come first: they hear at once when one of them ends,
    /// and a cut that parts them from the others parts the back end from these as well.
    pub fn own_index(&self, back_end: u32, zone: &ZoneName, senders: usize) -> Option<usize> {
        let index = if *zone == self.peers.zone {
            self.peers.sender_index(back_end)
        } else {
            let in_zone = self.hashes.get(zone).map_or(0, Vec::len);
            if in_zone >= senders {
                return None;
            }
            let other_zones = self.hashes.iter().filter(|(other, _)| **other != zone);
            let other_zones = other_zones.flat_map(|(_, hashes)| hashes);
            in_zone + self.peers.count_before_own(back_end, other_zones)
        };
        (index < senders).then_some(index)
    }
}
