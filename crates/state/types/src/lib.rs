//! Identifiers, time and verdicts shared by every layer.
//!
//! This crate holds no behaviour beyond small value types, so that each layer
//! can name the same things without depending on another layer.

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
