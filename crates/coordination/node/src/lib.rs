//! The control state machine of one entry node.
//!
//! [`Node`] decides, together with the other nodes of the fleet, whether each request
//! is dispatched, queued, moved to another cell or refused. It does no I/O, and its
//! clock and random seed are passed in, so that the same code runs in `serve`, in the
//! demo and in the simulator.

#![forbid(unsafe_code)]

mod catalog;
mod claims;
mod class_counts;
mod crashing_requests;
mod decision;
mod documents;
mod held_cells;
mod leases;
mod message;
mod node;
mod output;
mod pause;
mod probes;
mod releases;
mod request;
mod request_flow;
mod response_progress;
mod restored_directory;
mod retry_budget;
mod tenant_exchange;

pub use catalog::Catalog;
pub use class_counts::ClassCounts;
pub use decision::{Decision, DecisionLog, Step};
pub use eiderferry_quarantine::SharedParts;
pub use held_cells::CacheUpdate;
pub use message::{AttemptId, DocumentKind, Envelope, Message};
pub use node::{Identity, Node, NodeLimits};
pub use output::{Dispatch, Output, PlatformDocument};
pub use request::{AttemptEnd, NotRepeatable, Submission};
pub use response_progress::{ResponseProgress, TokenVerdict};
