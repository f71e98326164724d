//! Documents that nodes pass on to each other.
#![allow(missing_docs, reason = "tarpc generates undocumented items")]

use std::net::SocketAddr;

/// Service that every relay offers to its peers.
#[tarpc::service]
pub trait Documents {
    /// All changes after a revision, or other nodes to ask for them, encoded. `caller` is where
    /// the caller itself answers such calls.
    async fn changes_after(revision: u64, caller: SocketAddr) -> Vec<u8>;
}
