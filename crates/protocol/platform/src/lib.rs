//! Documents of the platform's read-only service, and load reports of the back ends.
//!
//! `GET /configuration?after=V` and `GET /directory?after=V` return the document if
//! its version is newer than `V`, and "not modified" otherwise.
//! `GET /directory` also takes `epoch=E`, the epoch of version `V`, 0 if absent.
//! The platform increments the directory's epoch with each restore from an older
//! copy; directories are ordered by epoch, then by version.
//! `GET /load?cache_after=N` returns an engine's load report, which lags behind its
//! actual load, with the cache events after number `N`.

#![forbid(unsafe_code)]

use eiderferry_admission::LoadReport;
use eiderferry_config::{Configuration, Directory, unpack_directory_version};
use eiderferry_node::{CacheUpdate, DocumentKind, PlatformDocument};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum size of a value that the platform stores, in bytes.
pub const MAXIMUM_VALUE_BYTES: usize = 1_000_000;

quick_error! {
    /// A document or report is unusable; the last valid one stays in use.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The configuration is malformed or fails validation.
        Configuration(cause: eiderferry_config::ConfigurationError) {
            display("{cause}")
        }
        /// The body can't be parsed.
        Malformed(kind: &'static str, cause: String) {
            display("{kind} from the platform: {cause}")
        }
    }
}

/// Request path for a document newer than `known_version`.
pub fn document_path(kind: DocumentKind, known_version: u64) -> String {
    match kind {
        DocumentKind::Configuration => format!("/configuration?after={known_version}"),
        DocumentKind::Directory => {
            let (epoch, version) = unpack_directory_version(known_version);
            format!("/directory?after={version}&epoch={epoch}")
        }
    }
}

/// Parses a published document.
pub fn parse_document(kind: DocumentKind, text: &str) -> Result<PlatformDocument, PlatformError> {
    match kind {
        DocumentKind::Configuration => Configuration::from_yaml("published configuration", text)
            .map(PlatformDocument::Configuration)
            .map_err(PlatformError::Configuration),
        DocumentKind::Directory => serde_json::from_str::<Directory>(text)
            .map(PlatformDocument::Directory)
            .map_err(|cause| PlatformError::Malformed("directory", cause.to_string())),
    }
}

/// Request path for a back end's load report, with the cache events after `cache_cursor`.
pub fn load_path(cache_cursor: u64) -> String {
    format!("/load?cache_after={cache_cursor}")
}

/// A back end's load report, with cache events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
pub struct LoadDocument {
    /// Requests in the engine's current batch.
    pub running: u32,
    /// Requests queued inside the back end.
    pub waiting: u32,
    /// Tokens in the KV cache for running requests.
    pub kv_tokens: u64,
    /// Number of the last cache event.
    #[serde(default)]
    pub cache_cursor: u64,
    /// Whether events between the requested number and the first one returned are missing.
    #[serde(default)]
    pub cache_gap: bool,
    /// Hashes of prefixes added to the cache.
    #[serde(default)]
    pub cache_stored: Vec<u32>,
    /// Hashes of prefixes evicted from the cache.
    #[serde(default)]
    pub cache_removed: Vec<u32>,
}

impl LoadDocument {
    /// Parses a load report in JSON.
    pub fn parse(text: &str) -> Result<Self, PlatformError> {
        serde_json::from_str(text)
            .map_err(|cause| PlatformError::Malformed("load report", cause.to_string()))
    }

    /// The load, without the cache events.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting,
            kv_tokens: self.kv_tokens,
        }
    }

    /// The cache events.
    pub fn cache_update(self) -> CacheUpdate {
        CacheUpdate {
            cursor: self.cache_cursor,
            gap: self.cache_gap,
            stored: self.cache_stored,
            removed: self.cache_removed,
        }
    }
}
