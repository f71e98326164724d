//! The other nodes of the fleet: membership, messages between nodes, and limits that all nodes
//! share.

pub(crate) mod limit_senders;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod peers;
pub(crate) mod retry_budget;
pub(crate) mod traffic;
