//! The documents that a process reads: its own *settings*, and the *published
//! configuration* and the platform's *directory*, which the fleet shares.
//!
//! Settings and configuration are YAML documents with a fixed schema. A configuration
//! is validated as a whole before it is used; an error states the document, the path
//! in it, the value found and what is allowed.

#![forbid(unsafe_code)]

mod delta;
mod error;
mod published;
mod settings;
mod validate;

pub use delta::{ConfigurationDelta, DirectoryDelta, ListDelta, Versioned};
pub use error::{ConfigurationError, Problem};
pub use published::{
    Class, Configuration, Directory, DirectoryEntry, EntryState, KeyDigest, Pool, PoolKind, Tenant,
    TenantLimit, Zone, pack_directory_version, unpack_directory_version,
};
pub use settings::{LogFormat, OperatorSettings, PeerSettings, Settings};
