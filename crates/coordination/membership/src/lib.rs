//! The reachable nodes of the fleet, and the holders of cells among them.
//!
//! The platform's list of nodes, which lags behind, gives the nodes that exist;
//! probes show which of them respond. There is no consensus between nodes: two nodes
//! may briefly consider different nodes the holder of a cell. This costs efficiency
//! but violates no guarantee.

#![forbid(unsafe_code)]

mod detector;
mod fleet;

pub use detector::{FailureDetector, Health};
pub use fleet::{Fleet, Member};
