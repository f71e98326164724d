//! How messages between entry nodes travel.
//!
//! Small frames, which is nearly all of them, go as single UDP datagrams: the
//! state machines repeat what matters, so a lost datagram costs a resend and a
//! message costs its own bytes only. A frame too large for a datagram (a whole
//! document, a long chain of deltas) goes through the `tarpc` service below.

#![forbid(unsafe_code)]

mod bulk;
mod codec;
mod documents;

pub use bulk::{BulkTransfer, BulkTransferClient};
pub use codec::{CodecError, MAXIMUM_DATAGRAM_BYTES, decode, encode};
pub use documents::{Documents, DocumentsClient};
