//! Round-robin selection of peers.

use std::net::SocketAddr;

/// Returns the next `most` peers in round-robin order, so that each is sent to at a steady rate.
pub(super) fn round_robin(peers: &[SocketAddr], most: usize, turn: &mut usize) -> Vec<SocketAddr> {
    let count = most.min(peers.len());
    let start = *turn;
    *turn = turn.wrapping_add(count);
    (0..count)
        .map(|offset| peers[start.wrapping_add(offset) % peers.len()])
        .collect()
}
