//! The text of emulated answers: a function of the prompt, so that whoever knows
//! the prompt can check an answer token by token.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "river",
    "station",
    "episode",
    "plover",
    "coast",
    "listener",
    "morning",
    "summary",
    "checklist",
    "transect",
    "heron",
    "signal",
    "evening",
    "digest",
    "thrush",
    "north",
];
/// Shortest answer when the request names no length.
const MIN_RESPONSE_TOKENS: u64 = 20;
/// Spread of answer lengths when the request names none.
const RESPONSE_TOKENS_SPREAD: u64 = 100;

/// Token number `index` of the answer to a prompt.
pub fn token_text(prompt: &str, index: u32) -> String {
    token_for_hash(xxh3_64(prompt.as_bytes()), index)
}

fn token_for_hash(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{index} ")
}

/// The whole answer to a prompt.
pub fn response_text(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens)
        .map(|index| token_for_hash(hash, index))
        .collect()
}

/// Answer length when the request names none.
pub fn default_response_tokens(prompt: &str) -> u32 {
    let hash = xxh3_64(prompt.as_bytes());
    (MIN_RESPONSE_TOKENS + hash % RESPONSE_TOKENS_SPREAD) as u32
}
