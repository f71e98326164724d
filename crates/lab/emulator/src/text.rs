//! Text of emulated responses. It is derived from the prompt, so that a client that knows the
//! prompt can check a response token by token.

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
/// Minimum response length in tokens if the request states none.
const MIN_RESPONSE_TOKENS: u64 = 20;
/// Number of different response lengths, in tokens, if the request states none.
const RESPONSE_TOKENS_SPREAD: u64 = 100;

/// Returns the text of token `index` of the response to a prompt.
pub fn token_text(prompt: &str, index: u32) -> String {
    token_for_hash(xxh3_64(prompt.as_bytes()), index)
}

fn token_for_hash(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{index} ")
}

/// Returns the complete response to a prompt, with the given number of tokens.
pub fn response_text(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens)
        .map(|index| token_for_hash(hash, index))
        .collect()
}

/// Returns the response length in tokens if the request states none.
pub fn default_response_tokens(prompt: &str) -> u32 {
    let hash = xxh3_64(prompt.as_bytes());
    (MIN_RESPONSE_TOKENS + hash % RESPONSE_TOKENS_SPREAD) as u32
}
