//! Prompt length and prefixes, as far as routing needs them.

use eiderferry_admission::PrefixMark;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text that make one token, on average over languages.
const BYTES_PER_TOKEN: usize = 4;
/// Lengths in bytes at which prompts are compared.
const PREFIX_LENGTHS: [usize; 3] = [512, 2_048, 8_192];

/// Rough number of tokens in a text.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Marks of a prompt's prefixes, shortest first.
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
