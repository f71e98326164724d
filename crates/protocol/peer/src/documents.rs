//! Replication of documents between relays.
#![allow(missing_docs, reason = "tarpc generates undocumented items")]

use std::net::SocketAddr;

/// Service that every relay provides to its peers.
#[tarpc::service]
pub trait Documents {
    /// Returns, encoded, all changes that the caller lacks, or other nodes to request them from.
    /// `version_vector` contains, for each epoch, the number of the last change up to which the
    /// caller has all changes. `caller_address` is where the caller itself provides this service.
    async fn changes_after(version_vector: Vec<(u64, u64)>, caller_address: SocketAddr) -> Vec<u8>;
}
