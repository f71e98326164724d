//! Quarantine for requests that crash every back end that runs them.
//!
//! Nodes report to each other which requests were running when a back end crashed, and which
//! of these requests completed successfully elsewhere. A request is quarantined on every node
//! after three back ends have crashed while running it and it has not completed since: it is
//! refused with a final response.
//!
//! The crate does no I/O: the time, crashes, completions and other nodes' reports are passed in
//! as arguments. There is no consensus: each node decides from the union of its own observations
//! and the reports it received. This union converges on all nodes, in whatever order the
//! reports arrive.

#![forbid(unsafe_code)]

mod change;
mod completions;
mod quarantine;
mod record;
mod report;

pub use change::{ChangeDetails, ChangeSource, QuarantineChange};
pub use quarantine::{ActiveQuarantine, Quarantine, QuarantineCounts};
pub use report::{CrashReport, RequestReport};
