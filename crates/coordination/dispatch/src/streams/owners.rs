//! The owners of a stream: the nodes that store its version, selected by rendezvous hashing.
//!
//! Nodes may know different sets of peers, and a node that restarts loses its records. Each record
//! therefore has several owners, and a lookup queries more nodes than there are owners.

use super::message::StreamId;
use crate::Peers;
use crate::fleet::peers::ScoredPeer;
use std::net::SocketAddr;

/// Owners in the zone of the node that records the version, where most callers return to.
const SAME_ZONE_OWNERS: usize = 1;
/// Owners in total, not counting the node that records the version.
const OWNERS: usize = 3;
/// Nodes queried in the zone of the node that looks up the version. More than the owners there, as
/// the ranking may include the recording node and nodes that it did not know.
const SAME_ZONE_QUERIED: usize = 3;
/// Nodes queried in total.
const QUERIED: usize = 8;

/// Addresses of the owners of a stream.
pub(crate) fn owners(peers: &Peers, stream: StreamId) -> Vec<SocketAddr> {
    select(peers, stream, SAME_ZONE_OWNERS, OWNERS)
}

/// Addresses of the nodes to query for a stream.
pub(crate) fn nodes_to_query(peers: &Peers, stream: StreamId) -> Vec<SocketAddr> {
    select(peers, stream, SAME_ZONE_QUERIED, QUERIED)
}

/// Selects the `same_zone` nodes of this node's zone with the lowest scores, and further nodes of
/// any zone up to `total`.
fn select(peers: &Peers, stream: StreamId, same_zone: usize, total: usize) -> Vec<SocketAddr> {
    let peers: Vec<ScoredPeer> = peers.scored_peers(stream.as_u64()).collect();
    let in_zone = peers.iter().filter(|peer| peer.is_same_zone);
    let mut selected = first_peers(in_zone, same_zone);
    for address in first_peers(peers.iter(), total) {
        if selected.len() < total && !selected.contains(&address) {
            selected.push(address);
        }
    }
    selected
}

/// Addresses of the `count` peers with the lowest scores, in order.
fn first_peers<'a>(peers: impl Iterator<Item = &'a ScoredPeer>, count: usize) -> Vec<SocketAddr> {
    let mut peers: Vec<ScoredPeer> = peers.copied().collect();
    if peers.len() > count {
        peers.select_nth_unstable(count);
        peers.truncate(count);
    }
    peers.sort_unstable();
    peers.into_iter().map(|peer| peer.address).collect()
}
