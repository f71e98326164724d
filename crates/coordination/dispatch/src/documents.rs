//! The documents in force, and their transfer to nodes that lack them.

pub(crate) mod document_service;
pub(crate) mod document_store;
pub(crate) mod revision;
