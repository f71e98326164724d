//! The other nodes: who they are, what is said among them, what all of them share.

pub(crate) mod limit_senders;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod peers;
pub(crate) mod retry_budget;
pub(crate) mod traffic;
