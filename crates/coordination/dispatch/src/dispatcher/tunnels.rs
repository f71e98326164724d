//! Tunnels between nodes: which peers may provide one, and to which back ends this node does.

use super::Dispatcher;
use crate::TunnelPeer;
use eiderferry_routing::InstanceId;
use rand::seq::IteratorRandom;
use std::net::{IpAddr, SocketAddr};

/// Candidates named from this node's zone, and from all other zones.
const CANDIDATES_PER_SIDE: usize = 6;

impl Dispatcher {
    /// A random sample of the peers that may provide a tunnel to a back end. All of them are in the
    /// back end's region: a request's body must not reach a region that may not serve it.
    pub fn tunnel_peers(&mut self, instance: &InstanceId) -> Vec<TunnelPeer> {
        let Some(state) = self.back_ends.get(instance) else {
            return Vec::new();
        };
        let regions = &self.settings.regions;
        let region = regions.get(&state.back_end.zone);
        let mut candidates = Vec::new();
        for is_same_zone in [true, false] {
            let peers = self.peers.active_peers().filter(|(_, peer)| {
                (peer.zone == self.settings.zone) == is_same_zone
                    && regions.get(&peer.zone) == region
            });
            let peers = peers.map(|(address, _)| TunnelPeer {
                ip: address.ip(),
                is_same_zone,
            });
            candidates.extend(peers.choose_multiple(&mut self.random, CANDIDATES_PER_SIDE));
        }
        candidates
    }

    /// The address to which this node opens a tunnel for `source`; `None` unless that is a known
    /// peer and the back end is listed.
    pub fn tunnel_target(&self, source: IpAddr, instance: &InstanceId) -> Option<SocketAddr> {
        if !self.peers.is_known(source) {
            return None;
        }
        Some(self.back_ends.get(instance)?.back_end.address)
    }
}
