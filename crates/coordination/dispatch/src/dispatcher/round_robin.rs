//! Round-robin selection of peers.

use std::net::SocketAddr;

/// Returns the next peers, at most `limit`, in round-robin order, so that each is sent to at a
/// steady rate.
pub(super) fn round_robin(
    peers: &[SocketAddr],
    limit: usize,
    cursor: &mut usize,
) -> Vec<SocketAddr> {
    let count = limit.min(peers.len());
    let start = *cursor;
    *cursor = cursor.wrapping_add(count);
    (0..count)
        .map(|offset| peers[start.wrapping_add(offset) % peers.len()])
        .collect()
}
