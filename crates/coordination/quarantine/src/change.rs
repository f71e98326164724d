//! What changes with a request, and what a log line tells of it.

use eiderferry_types::{RequestDigest, Span};

/// From where a change was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// A request of this node.
    Own,
    /// Another node's report.
    Peer,
}

impl ChangeSource {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChangeSource::Own => "own",
            ChangeSource::Peer => "peer",
        }
    }
}

/// What changed with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is refused from now on.
    Quarantined {
        /// Which request.
        request: RequestDigest,
        /// Back ends that crashed under it, as far as they are kept.
        crashes: usize,
        /// Time for which it is refused.
        remaining: Span,
        /// From where the last crash was learned.
        source: ChangeSource,
    },
    /// It ended well somewhere, so it is served again.
    Cleared {
        /// Which request.
        request: RequestDigest,
        /// From where that was learned.
        source: ChangeSource,
    },
    /// Its time is over; one crash more brings it back.
    Expired {
        /// Which request.
        request: RequestDigest,
    },
}

/// What a log line tells of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeDetails {
    /// The line's event.
    pub event: &'static str,
    /// Which request.
    pub request: RequestDigest,
    /// Back ends that crashed under it, where it is refused from now on.
    pub crashes: u64,
    /// Time for which it is refused, in milliseconds.
    pub remaining_ms: u64,
    /// From where that was learned; empty where time alone changed it.
    pub source: &'static str,
}

impl QuarantineChange {
    /// What a log line tells of it.
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
