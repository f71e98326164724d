//! Messages between nodes about the versions of streams.

use eiderferry_routing::{MAX_SOFTWARE_VERSION_BYTES, PoolName, SoftwareVersion};
use eiderferry_types::RequestDigest;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Identifies a stream on all nodes: a digest of the request that brought its first event, the
/// tenant that sent the request, and the pool that served it. The tenant is included so that tenants
/// can't resume each other's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId([u8; 8]);

impl StreamId {
    /// The stream that the request with the id `first_request` started.
    pub fn new(tenant: Option<&str>, pool: &PoolName, first_request: &str) -> Self {
        let parts = [tenant.unwrap_or_default(), pool.as_str(), first_request];
        let digest = RequestDigest::of(parts.map(str::as_bytes));
        Self(digest.0.to_le_bytes())
    }

    /// The id as a number.
    pub(crate) fn as_u64(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.as_u64())
    }
}

/// What a node knows about a stream's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownVersion {
    /// The stream started at this version.
    Version(SoftwareVersion),
    /// Two streams with the same id started at different versions.
    Ambiguous,
}

impl KnownVersion {
    /// Whether the version is at most [`MAX_SOFTWARE_VERSION_BYTES`] long.
    pub(crate) fn is_bounded(&self) -> bool {
        match self {
            Self::Version(version) => version.as_str().len() <= MAX_SOFTWARE_VERSION_BYTES,
            Self::Ambiguous => true,
        }
    }
}

/// A message about the version of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Tells the receiver, as an owner of the stream, to keep its version.
    Record(StreamId, KnownVersion),
    /// Asks for the version of a stream.
    Query(StreamId),
    /// Reply to a query; `None` if the sender does not know the stream.
    Answer(StreamId, Option<KnownVersion>),
}

/// A message about streams with its recipients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEnvelope {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// The message for each of them.
    pub message: StreamMessage,
}
