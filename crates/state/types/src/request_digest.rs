//! What makes two requests the same one, sent again.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// A number that stands for what a request asks: alike for each time that one caller sends it,
/// at any node and under any request id. Its bytes can't be read back from it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of the parts that make a request, in order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            // Lengths keep `ab`, `c` apart from `a`, `bc`.
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
