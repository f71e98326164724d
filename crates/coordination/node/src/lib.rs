//! The control state machine of one entry node.
//!
//! [`Node`] decides for every request whether it runs now, waits, moves or is
//! refused, together with the other nodes of the fleet. It does no I/O, reads no
//! clock and draws no randomness of its own: the same code runs in `serve`, in
//! the demo and in the simulator.

#![forbid(unsafe_code)]

mod answer;
mod catalog;
mod claims;
mod counts;
mod crashing;
mod decision;
mod documents;
mod holding;
mod leases;
mod message;
mod node;
mod output;
mod pause;
mod probes;
mod releases;
mod request;
mod request_flow;
mod restored_directory;
mod retry;
mod tenant_exchange;

pub use answer::{AnswerProgress, TokenVerdict};
pub use catalog::Catalog;
pub use counts::ClassCounts;
pub use decision::{Decision, DecisionLog, Step};
pub use holding::CacheUpdate;
pub use message::{AttemptName, DocumentKind, Envelope, Message};
pub use node::{Identity, Node, NodeLimits};
pub use output::{Dispatch, Output, PlatformDocument};
pub use request::{AttemptEnd, NotRepeatable, Submission};
