//! Estimated prompt length and prefix hashes, used for routing.

use eiderferry_admission::PrefixMark;
use xxhash_rust::xxh3::xxh3_64;

/// Average number of bytes per token, over languages.
const BYTES_PER_TOKEN: usize = 4;
/// Lengths in bytes of the prompt prefixes that are hashed.
const PREFIX_LENGTHS: [usize; 3] = [512, 2_048, 8_192];

/// Estimated number of tokens in a text.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Hashes and estimated lengths in tokens of a prompt's prefixes, shortest first.
pub fn prefix_marks(prompt: &str) -> Vec<PrefixMark> {
    let bytes = prompt.as_bytes();
    let lengths = PREFIX_LENGTHS
        .iter()
        .copied()
        .filter(|length| *length <= bytes.len());
    let mark = |length: usize| PrefixMark {
        hash: xxh3_64(&bytes[..length]) as u32,
        tokens: (length / BYTES_PER_TOKEN) as u32,
    };
    lengths.map(mark).collect()
}
