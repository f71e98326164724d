//! Actions that the state machine requests from the layer that does I/O.

use crate::message::Message;
use crate::{Decision, DocumentKind};
use eiderferry_config::{Configuration, Directory};
use eiderferry_types::{BackEndId, NodeId, Refusal, RequestId, Timestamp};
use std::net::SocketAddr;

/// Instruction to send a request to a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Number of earlier attempts.
    pub attempt: u8,
    /// The back end.
    pub back_end: BackEndId,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Time after which the request must not be sent any more. The sender checks it
    /// immediately before it writes, so that a process that resumes after a pause
    /// doesn't send a request whose slot may have been given away.
    pub dispatch_by: Timestamp,
    /// Number of response tokens that the caller has from earlier attempts.
    pub delivered_tokens: u32,
}

/// An action for the layer that does I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Send a message to an address whose node is not known yet.
    SendToAddress {
        /// Address of the receiver.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Send a request to a back end.
    Dispatch(Dispatch),
    /// Reject a request towards its caller.
    Reject {
        /// The request.
        request: RequestId,
        /// The reason, the verdict and when to retry.
        refusal: Refusal,
    },
    /// Read a document from the platform if it is newer than the known version.
    ReadPlatform {
        /// The document.
        kind: DocumentKind,
        /// Version that the node has.
        known_version: u64,
    },
    /// Poll a back end for its load and cache events.
    PollBackEnd {
        /// The back end.
        back_end: BackEndId,
        /// Address of the back end.
        address: SocketAddr,
        /// Number of the last cache event received.
        cache_cursor: u64,
    },
    /// Report that a request has been put into or released from quarantine, in which it
    /// is refused because back ends crash when they run it.
    QuarantineChanged(eiderferry_quarantine::QuarantineChange),
    /// Report that prompt parts have been put into or released from quarantine.
    PartQuarantineChanged(eiderferry_quarantine::PartChange),
    /// Log a decision.
    Decided(Decision),
}

/// A document read from the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformDocument {
    /// The published configuration.
    Configuration(Configuration),
    /// The list of entry nodes and back ends.
    Directory(Directory),
}
