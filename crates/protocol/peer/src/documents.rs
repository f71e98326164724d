//! Documents that nodes pass on to each other.
#![allow(missing_docs, reason = "tarpc generates undocumented items")]

use std::net::SocketAddr;

/// Service that every relay offers to its peers.
#[tarpc::service]
pub trait Documents {
    /// All changes that the caller lacks, or other nodes to ask for them, encoded. `known` holds
    /// each epoch with the number up to which the caller knows all its changes. `caller` is where
    /// the caller itself answers such calls.
    async fn changes_after(version_vector: Vec<(u64, u64)>, caller_address: SocketAddr) -> Vec<u8>;
}
