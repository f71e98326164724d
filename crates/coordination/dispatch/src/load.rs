//! This node's state for each back end: its load, speed, health, prefix cache and rate limit.

pub(crate) mod back_end_load;
pub(crate) mod cache;
pub(crate) mod cache_index;
pub(crate) mod cold_start;
pub(crate) mod concurrency;
pub(crate) mod engine_model;
pub(crate) mod health;
pub(crate) mod holders;
pub(crate) mod limit_notices;
pub(crate) mod limiter;
pub(crate) mod notices;
pub(crate) mod outcomes;
pub(crate) mod pacing;
pub(crate) mod pool_index;
pub(crate) mod rate_limit;
pub(crate) mod registry;
