//! Documents that nodes pass on to each other.
#![allow(missing_docs, reason = "tarpc generates undocumented items")]

/// Service that every relay offers to its peers.
#[tarpc::service]
pub trait Documents {
    /// All changes after a revision, encoded.
    async fn changes_after(revision: u64) -> Vec<u8>;
}
