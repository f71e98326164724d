//! Peers told one after the other.

use std::net::SocketAddr;

/// The next peers in turn, so that each is told at a steady pace.
pub(super) fn round_robin(peers: &[SocketAddr], most: usize, turn: &mut usize) -> Vec<SocketAddr> {
    let count = most.min(peers.len());
    let start = *turn;
    *turn = turn.wrapping_add(count);
    (0..count)
        .map(|offset| peers[start.wrapping_add(offset) % peers.len()])
        .collect()
}
