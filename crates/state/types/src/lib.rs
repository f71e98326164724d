//! Identifiers, time, request digests and refusals, shared by all layers.
//!
//! The crate contains only small value types, so that layers can share them without depending
//! on each other.

#![forbid(unsafe_code)]

mod identity;
mod rendezvous;
mod request_digest;
mod time;
mod verdict;

pub use identity::{
    BackEndId, CellId, ClassId, Incarnation, NodeId, PoolId, RequestId, TenantId, Tier, ZoneId,
};
pub use rendezvous::{Rendezvous, rendezvous_score};
pub use request_digest::RequestDigest;
pub use time::{MICROSECONDS_PER_MILLISECOND, MICROSECONDS_PER_SECOND, Span, Timestamp};
pub use verdict::{Reason, Refusal, Verdict};
