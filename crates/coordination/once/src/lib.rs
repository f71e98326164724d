//! At-most-once execution of requests that must not be repeated.
//!
//! Claims of a key are decided by one incarnation of one node, the key's *owner*,
//! from memory alone. The owner grants a ticket at most once, however much time
//! passes, and a caller's key at most once while it was last used within the repeat
//! window. The two kinds of key differ in how the owner is found:
//!
//! * A *ticket* is issued by a node and contains the node's id and incarnation. No
//!   other incarnation or node ever grants it: once that incarnation has ended, a claim
//!   is denied with "may have run". This needs no node list, no clock and no peers.
//! * The owner of a *caller's key* is chosen by rendezvous hashing over the listed
//!   nodes. A node newly grants such a key only if it has owned it, by every list it
//!   knew, for the whole repeat window; otherwise an earlier owner may have granted it.

#![forbid(unsafe_code)]

mod history;
mod table;

pub use history::OwnershipHistory;
pub use table::{ClaimResponse, KeyName, KeyTable, KeyTableFull};
