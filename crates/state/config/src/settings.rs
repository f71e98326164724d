//! Settings of one process, which it reads from a file when it starts.

use crate::{ConfigurationError, KeyDigest};
use eiderferry_types::{NodeId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Communication of a node with its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// UDP address for control messages; documents are served on the TCP port of the same
    /// number.
    pub listen: SocketAddr,
    /// Peers from which documents are requested at startup, before the directory is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Operator interface of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address on which the interface listens.
    pub listen: SocketAddr,
    /// Digests of the tokens that operators may use. Without any, the interface requires no
    /// token and is allowed only on loopback addresses.
    #[serde(default)]
    pub token_digests: Vec<KeyDigest>,
}

/// Settings of one entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this node; unique in the deployment.
    pub node: NodeId,
    /// Zone in which this node runs.
    pub zone: ZoneId,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Communication with peers.
    pub peer: PeerSettings,
    /// Address of the platform's read-only service.
    pub platform: SocketAddr,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub maximum_body_bytes: usize,
    /// Maximum time that a graceful shutdown waits for running requests, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_limit_ms: u64,
    /// Maximum number of idempotency keys and tickets kept in memory.
    #[serde(default = "default_key_table_entries")]
    pub key_table_entries: usize,
    /// Maximum number of decisions kept to explain requests to operators.
    #[serde(default = "default_decision_log_entries")]
    pub decision_log_entries: usize,
    /// Operator interface; disabled if absent.
    #[serde(default)]
    pub operator: Option<OperatorSettings>,
    /// Format of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

fn default_body_bytes() -> usize {
    4 * 1024 * 1024
}

fn default_drain_ms() -> u64 {
    120_000
}

fn default_key_table_entries() -> usize {
    50_000
}

fn default_decision_log_entries() -> usize {
    20_000
}

impl Settings {
    /// Parses settings; `document` is their name in errors.
    pub fn from_yaml(document: &str, text: &str) -> Result<Self, ConfigurationError> {
        serde_saphyr::from_str(text)
            .map_err(|cause| ConfigurationError::Syntax(document.to_owned(), cause.to_string()))
    }

    /// Reads and parses a settings file.
    pub fn from_file(path: &Path) -> Result<Self, ConfigurationError> {
        let document = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ConfigurationError::Read(document.clone(), cause))?;
        Self::from_yaml(&document, &text)
    }
}
