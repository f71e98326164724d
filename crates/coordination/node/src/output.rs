//! What the state machine wants done.

use crate::message::Message;
use crate::{Decision, DocumentKind};
use eiderferry_config::{Configuration, Directory};
use eiderferry_types::{BackEndId, NodeId, Refusal, RequestId, Timestamp};
use std::net::SocketAddr;

/// Order to send a request to a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Attempts before this one.
    pub attempt: u8,
    /// Where.
    pub back_end: BackEndId,
    /// Its address.
    pub address: SocketAddr,
    /// The order is void after this moment: the sender checks it immediately
    /// before the bytes leave, so that a paused process wakes up harmless.
    pub dispatch_by: Timestamp,
    /// Answer tokens the caller already has from earlier attempts.
    pub delivered_tokens: u32,
}

/// A wish of the state machine, carried out by the layer that does I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a node.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Send a message to an address whose node is not known yet.
    SendToAddress {
        /// Receiver.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Send a request to a back end.
    Dispatch(Dispatch),
    /// Tell the caller that there will be no answer.
    Reject {
        /// The request.
        request: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Read a document of the platform, if newer than the version known.
    ReadPlatform {
        /// Which.
        kind: DocumentKind,
        /// Version known.
        known_version: u64,
    },
    /// Ask a back end for its load and cache events.
    PollBackEnd {
        /// Which.
        back_end: BackEndId,
        /// Its address.
        address: SocketAddr,
        /// Cache events up to this number are known.
        cache_cursor: u64,
    },
    /// A request is refused from now on because back ends crash under it, or no longer.
    QuarantineChanged(eiderferry_quarantine::QuarantineChange),
    /// A decision for the log.
    Decided(Decision),
}

/// A document as read from the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformDocument {
    /// The published configuration.
    Configuration(Configuration),
    /// The list of machines.
    Directory(Directory),
}
