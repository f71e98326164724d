//! Transfer of frames that don't fit in a datagram.
#![allow(missing_docs, reason = "tarpc generates undocumented items")]

/// Service that every entry node provides to its peers.
#[tarpc::service]
pub trait BulkTransfer {
    /// Delivers one encoded envelope. Returns whether it could be decoded.
    async fn deliver(frame: Vec<u8>) -> bool;
}
