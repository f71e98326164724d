//! Where a request goes: what it asks for, which back ends may get it, and what each would
//! cost.

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
