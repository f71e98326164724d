//! Quarantine for requests and prompt parts that crash every back end that runs them.
//!
//! Nodes report to each other which requests were running when a back end crashed, and which
//! of these requests completed successfully elsewhere. A request is quarantined on every node
//! after three back ends have crashed while running it and it has not completed since: it is
//! refused with a final response. A part of a prompt is quarantined once it explains crashes that
//! no part seen in sound runs explains.
//!
//! The crate does no I/O: the time, crashes, completions and other nodes' reports are passed in
//! as arguments. There is no consensus: each node decides from the union of its own observations
//! and the reports it received. This union converges on all nodes, in whatever order the
//! reports arrive.

#![forbid(unsafe_code)]

mod blame;
mod change;
mod completions;
mod part_change;
mod part_quarantine;
mod part_record;
mod part_report;
mod quarantine;
mod record;
mod report;
mod reporting;

pub use change::{ChangeDetails, ChangeSource, QuarantineChange};
pub use part_change::{PartChange, PartChangeDetails, QuarantinedParts};
pub use part_quarantine::{InterruptedRun, PartCounts, PartQuarantine, PartRefusal};
pub use part_report::{PartCrashReport, PartKey, PartReport, SharedParts};
pub use quarantine::{ActiveQuarantine, Quarantine, QuarantineCounts};
pub use report::{CrashReport, RequestReport};
