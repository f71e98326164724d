//! The protocol between nodes.
//!
//! Nearly all frames between entry nodes are small and sent as single UDP datagrams, which adds
//! no connection overhead. A lost datagram is tolerable because the state machines resend what
//! matters. A frame too large for a datagram (a whole document, a long chain of deltas) is sent
//! through the `tarpc` service [`BulkTransfer`]. Relays replicate documents through the
//! `tarpc` service [`Documents`].

#![forbid(unsafe_code)]

mod bulk;
mod codec;
mod documents;

pub use bulk::{BulkTransfer, BulkTransferClient};
pub use codec::{CodecError, MAXIMUM_DATAGRAM_BYTES, decode, encode};
pub use documents::{Documents, DocumentsClient};
