//! Selection of the nodes that send to a back end with a rate limit.

use super::peers::Peers;
use eiderferry_routing::ZoneName;
use std::collections::BTreeMap;

/// The active peers, grouped by zone.
pub(crate) struct NodesByZone<'a> {
    peers: &'a Peers,
    /// Hashes of the peers' addresses.
    hashes_by_zone: BTreeMap<&'a ZoneName, Vec<u64>>,
}

impl Peers {
    /// Groups the active peers by zone.
    pub(crate) fn active_by_zone(&self) -> NodesByZone<'_> {
        let mut hashes_by_zone: BTreeMap<&ZoneName, Vec<u64>> = BTreeMap::new();
        for (_, peer) in self.active_peers() {
            hashes_by_zone
                .entry(&peer.zone)
                .or_default()
                .push(peer.role_priority.hash());
        }
        NodesByZone {
            peers: self,
            hashes_by_zone,
        }
    }
}

impl NodesByZone<'_> {
    /// Index of this node among the first `sender_count` nodes that send to a back end in `zone`;
    /// `None` if it is not one of them. Nodes of the back end's zone come first: they detect each
    /// other's failures soonest, and a network partition that separates them from the other nodes
    /// also separates the back end from those.
    pub fn own_index(&self, back_end: u32, zone: &ZoneName, sender_count: usize) -> Option<usize> {
        let index = if *zone == self.peers.zone {
            self.peers.sender_index(back_end)
        } else {
            let in_zone = self.hashes_by_zone.get(zone).map_or(0, Vec::len);
            if in_zone >= sender_count {
                return None;
            }
            let other_zones = self
                .hashes_by_zone
                .iter()
                .filter(|(other, _)| **other != zone);
            let other_zones = other_zones.flat_map(|(_, hashes)| hashes);
            in_zone + self.peers.count_before_own(back_end, other_zones)
        };
        (index < sender_count).then_some(index)
    }
}
