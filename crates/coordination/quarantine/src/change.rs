//! Changes of a request's quarantine status, and the fields under which they are logged.

use eiderferry_types::{RequestDigest, Span};

/// Where the observation that caused a change was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// This node.
    Own,
    /// Another node, which reported it.
    Peer,
}

impl ChangeSource {
    /// The value written to logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChangeSource::Own => "own",
            ChangeSource::Peer => "peer",
        }
    }
}

/// A change of a request's quarantine status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is refused from now on.
    Quarantined {
        /// Digest of the request.
        request: RequestDigest,
        /// Stored crashes of back ends that were running it.
        crashes: usize,
        /// Time until the quarantine expires.
        remaining: Span,
        /// Where the last crash was observed.
        source: ChangeSource,
    },
    /// The request completed successfully on some node and is served again.
    Cleared {
        /// Digest of the request.
        request: RequestDigest,
        /// Where the completion was observed.
        source: ChangeSource,
    },
    /// The quarantine expired; a single further crash renews it.
    Expired {
        /// Digest of the request.
        request: RequestDigest,
    },
}

/// Fields of the log line for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeDetails {
    /// Name of the event.
    pub event: &'static str,
    /// Digest of the request.
    pub request: RequestDigest,
    /// Stored crashes of back ends that were running the request; 0 unless it was quarantined.
    pub crashes: u64,
    /// Time until the quarantine expires, in milliseconds; 0 unless the request was quarantined.
    pub remaining_ms: u64,
    /// Where the cause was observed; empty if the quarantine expired.
    pub source: &'static str,
}

impl QuarantineChange {
    /// The fields of its log line.
    pub fn details(&self) -> ChangeDetails {
        let details = |event, request, source| ChangeDetails {
            event,
            request,
            crashes: 0,
            remaining_ms: 0,
            source,
        };
        match *self {
            QuarantineChange::Quarantined {
                request,
                crashes,
                remaining,
                source,
            } => ChangeDetails {
                crashes: crashes as u64,
                remaining_ms: remaining.milliseconds(),
                ..details("request_quarantined", request, source.as_str())
            },
            QuarantineChange::Cleared { request, source } => {
                details("quarantine_cleared", request, source.as_str())
            }
            QuarantineChange::Expired { request } => details("quarantine_expired", request, ""),
        }
    }
}
