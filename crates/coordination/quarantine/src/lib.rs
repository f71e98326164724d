//! Requests that crash each back end that begins to run them.
//!
//! Nodes tell each other under which requests back ends crashed, and which of these ended
//! well all the same. A request under which three back ends have crashed, and that never
//! ended well since, is quarantined on every node: it is refused with a final answer.
//!
//! Free of I/O: the time, crashes, completions and other nodes' reports come in as arguments.
//! Nothing is agreed on; each node judges by the union of what it has seen and heard, which
//! is the same on all nodes once their reports have met, whatever their order.

#![forbid(unsafe_code)]

mod change;
mod completions;
mod quarantine;
mod record;
mod report;

pub use change::{ChangeDetails, ChangeSource, QuarantineChange};
pub use quarantine::{Quarantine, QuarantineCounts, Quarantined};
pub use report::{CrashReport, RequestReport};
