//! Speed and memory of an emulated engine.

use serde::{Deserialize, Serialize};

/// Step times and memory sizes of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTiming {
    /// Fixed duration of a step, in microseconds.
    pub step_base_us: u64,
    /// Time that each decoding sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Time that each prefilled prompt token adds to a step, in microseconds.
    pub prefill_per_token_us: u64,
    /// Maximum number of prompt tokens prefilled per step.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of sequences in the batch.
    pub maximum_batch: usize,
    /// KV cache size for running sequences, in tokens.
    pub kv_tokens: u64,
    /// KV cache size for prompt prefixes, in tokens.
    pub prefix_cache_tokens: u64,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            step_base_us: 18_000,
            step_per_sequence_us: 600,
            prefill_per_token_us: 40,
            prefill_chunk_tokens: 512,
            maximum_batch: 32,
            kv_tokens: 120_000,
            prefix_cache_tokens: 24_000,
        }
    }
}
