//! Admission queue of one cell of back ends.
//!
//! A [`Cell`] runs on one node of its zone, called the holder. Every entry node
//! requests slots from it, so that tier order, minimum shares, fairness among
//! tenants and the choice of back end are decided in one place that knows every
//! lease it has granted. It does no I/O and reads no clock: time and messages are
//! passed in as arguments, and decisions are returned as [`CellEvent`]s.

#![forbid(unsafe_code)]

mod ask;
mod back_end;
mod cell;
mod class_queue;
mod estimate;
mod policy;
mod prefix;
mod selection;
mod tenant_usage;

pub use ask::{Ask, Observation, Outcome, PrefixMark, Ticket};
pub use back_end::{BackEndState, LoadReport};
pub use cell::{Allowance, Cell, CellEvent, CellSnapshot, ClassSnapshot};
pub use estimate::MovingAverage;
pub use policy::CellPolicy;
pub use prefix::PrefixIndex;
