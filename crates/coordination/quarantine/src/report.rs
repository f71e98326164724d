//! Reports that nodes send to each other.

use eiderferry_types::RequestDigest;
use serde::{Deserialize, Serialize};

/// A crash of a back end that was running the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifier or digest of the back end.
    pub back_end: u32,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
}

/// What a node knows about a request that back ends were running when they crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Digest of the request.
    pub request: RequestDigest,
    /// The most recent crashes, oldest first.
    pub crashes: Vec<CrashReport>,
    /// Age of its latest known successful completion on any node, in milliseconds.
    #[serde(rename = "completed_ms")]
    pub completion_age_ms: Option<u32>,
}
