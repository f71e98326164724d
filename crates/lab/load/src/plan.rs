//! Configuration of a load run.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Load of one request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name of the request class.
    pub class: String,
    /// API key of the tenant.
    pub key: String,
    /// Requested model.
    pub model: String,
    /// Arrival rate of the Poisson process, in requests per second.
    pub requests_per_second: f64,
    /// Mean of the exponentially distributed response length, in tokens.
    pub mean_answer_tokens: f64,
    /// Length in bytes of the prompt prefix that all requests of the class share.
    pub shared_prompt_bytes: usize,
    /// Target for the time to the first token, in milliseconds.
    pub time_to_first_token_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub time_per_token_ms: u64,
    /// Whether responses are streamed.
    #[serde(default = "yes")]
    pub stream: bool,
}

fn yes() -> bool {
    true
}

/// Load of limited duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses of entry nodes; each request goes to a randomly chosen one.
    pub entries: Vec<SocketAddr>,
    /// Duration of the period in which requests are started, in milliseconds.
    pub duration_ms: u64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Load per request class.
    pub classes: Vec<ClassLoad>,
}
