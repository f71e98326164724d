//! Placement of requests: what a request requires, which back ends are eligible for it, and what
//! it would cost on each of them.

pub(crate) mod candidate;
pub(crate) mod demand;
pub(crate) mod eligibility;
pub(crate) mod locality;
pub(crate) mod planning;
pub(crate) mod pool_split;
pub(crate) mod replication;
pub(crate) mod sampling;
pub(crate) mod stream_isolation;
pub(crate) mod view;
