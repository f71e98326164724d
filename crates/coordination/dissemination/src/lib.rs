//! Versions of the shared documents on one node, and their distribution to peers.
//!
//! A [`Replica`] contains the newest version that this node knows and the most recent
//! deltas. Versions only increase: an older one, from a stale platform or a peer, is
//! never accepted. Peers send each other deltas; a whole document is sent only to a
//! node that is too far behind.

#![forbid(unsafe_code)]

mod read_schedule;
mod replica;

pub use read_schedule::{ReadSchedule, ReaderRole};
pub use replica::{ApplyOutcome, Replica, Update};
