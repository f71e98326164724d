//! What nodes tell each other.

use eiderferry_types::RequestDigest;
use serde::{Deserialize, Serialize};

/// A back end that crashed under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// How long ago it crashed, in milliseconds.
    pub age_ms: u32,
}

/// What a node knows of a request under which back ends crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Which request.
    pub request: RequestDigest,
    /// The youngest crashes.
    pub crashes: Vec<CrashReport>,
    /// How long ago it last ended well anywhere, in milliseconds.
    pub completion_age_ms: Option<u32>,
}
