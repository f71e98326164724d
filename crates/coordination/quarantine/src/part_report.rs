//! Identification of prompt parts, and the reports about them that nodes send to each other.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A prompt part at one pool, whose back ends may crash on it while those of another don't.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartKey {
    /// Digest of the pool's name.
    pub pool: u32,
    /// Identifier of the part, assigned by callers.
    pub id: u64,
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.id)
    }
}

/// The parts of a request's prompt that other requests may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedParts {
    /// Digest of the pool's name.
    pub pool: u32,
    /// Digest of the caller's name.
    pub caller: u32,
    /// Identifiers of the parts, each once.
    pub ids: Arc<[u64]>,
}

impl SharedParts {
    /// The parts, at the request's pool.
    pub fn keys(&self) -> impl Iterator<Item = PartKey> {
        let pool = self.pool;
        self.ids.iter().map(move |id| PartKey { pool, id: *id })
    }

    /// Whether a part is among them.
    pub fn contains(&self, part: PartKey) -> bool {
        part.pool == self.pool && self.ids.contains(&part.id)
    }
}

/// A crash of a back end that was running a prompt with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// Identifier or digest of the back end.
    pub back_end: u32,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
    /// Whether the back end crashed within a moment of starting its response.
    pub is_at_start: bool,
}

/// What a node knows about a prompt part that back ends were running when they crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartKey,
    /// The most recent crashes, oldest first.
    pub crashes: Vec<PartCrashReport>,
    /// Digests of the callers whose requests were running, two at most.
    pub callers: Vec<u32>,
    /// Age of its latest known sound run on any node, in milliseconds.
    pub sound_age_ms: Option<u32>,
}
