//! Digests by which repeated requests are recognised.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Hash of a request's content and caller (XXH3, 64 bits): the same each time that a caller sends
/// the request, on any node and under any request id. The content can't be recovered from it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of the parts that identify a request, in order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            // The lengths distinguish `ab`, `c` from `a`, `bc`.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
