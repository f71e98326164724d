//! The published configuration and the platform's directory.

use crate::ConfigurationError;
use crate::validate;
use eiderferry_types::{BackEndId, ClassId, NodeId, PoolId, Span, TenantId, Tier, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

/// The configuration that operators publish for the whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version; increases with every published change.
    pub version: u64,
    /// How long an idempotency key is kept after its last use, in milliseconds.
    #[serde(default = "default_repeat_window_ms")]
    pub repeat_window_ms: u64,
    /// Zones of the deployment.
    pub zones: Vec<Zone>,
    /// Pools of back ends.
    pub pools: Vec<Pool>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
}

fn default_repeat_window_ms() -> u64 {
    60_000
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Number that identifies the zone on the wire.
    pub id: ZoneId,
    /// Human-readable name.
    pub name: String,
}

/// Kind of the back ends of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Interchangeable back ends that serve one model or one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Number that identifies the pool on the wire.
    pub id: PoolId,
    /// Human-readable name.
    pub name: String,
    /// Kind of the back ends.
    pub kind: PoolKind,
    /// Model name that callers request (engines only).
    #[serde(default)]
    pub model: Option<String>,
    /// Prefix of the paths that are routed to this pool (services only), such as
    /// `/library`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Maximum number of concurrent requests on one back end.
    pub slots_per_back_end: u32,
    /// Capacity of one engine's KV cache, in tokens.
    #[serde(default = "default_kv_tokens")]
    pub kv_tokens_per_back_end: u64,
    /// Maximum number of back ends in one cell, that is, in one admission queue.
    #[serde(default = "default_cell_size")]
    pub back_ends_per_cell: u32,
    /// HTTP methods that must not be repeated (services only), such as `POST`.
    #[serde(default)]
    pub not_repeatable_methods: Vec<String>,
    /// Whether the back ends reject requests with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_kv_tokens() -> u64 {
    120_000
}

fn default_cell_size() -> u32 {
    24
}

/// A request class with its priority and latency targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Number that identifies the class on the wire.
    pub id: ClassId,
    /// Name that callers send in the `eiderferry-class` header.
    pub name: String,
    /// Priority, 1 (highest) to 7 (lowest).
    pub tier: Tier,
    /// Target for the time from arrival to the first token, in milliseconds.
    pub time_to_first_token_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub time_per_token_ms: u64,
    /// Fraction of each pool's slots, 0 to 1, that is guaranteed to the class while it
    /// has waiting requests.
    #[serde(default)]
    pub minimum_share: f64,
    /// Response length in tokens that is assumed until one was observed.
    #[serde(default = "default_answer_tokens")]
    pub assumed_answer_tokens: u32,
}

fn default_answer_tokens() -> u32 {
    256
}

impl Class {
    /// Target for the time to the first token.
    pub fn first_token_target(&self) -> Span {
        Span::from_milliseconds(self.time_to_first_token_ms)
    }

    /// Target for the mean time between tokens.
    pub fn per_token_target(&self) -> Span {
        Span::from_milliseconds(self.time_per_token_ms)
    }
}

/// SHA-256 of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let text = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text)
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

/// One tenant of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Number that identifies the tenant on the wire.
    pub id: TenantId,
    /// Human-readable name.
    pub name: String,
    /// Digests of the bearer keys that identify the tenant.
    pub key_digests: Vec<KeyDigest>,
    /// Names of the classes that it may use; the first is the default.
    pub classes: Vec<String>,
    /// Names of the pools that it may use.
    pub pools: Vec<String>,
    /// Limits on single pools.
    #[serde(default)]
    pub limits: Vec<TenantLimit>,
}

/// A tenant's limits on one pool, for the sum of all zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimit {
    /// Name of the pool.
    pub pool: String,
    /// Maximum number of concurrent requests; no limit if absent.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Maximum response tokens per second, with bursts of a few seconds; no limit if
    /// absent.
    #[serde(default)]
    pub tokens_per_second: Option<u32>,
}

impl Configuration {
    /// Parses and validates a configuration; `document` is its name in errors.
    pub fn from_yaml(document: &str, text: &str) -> Result<Self, ConfigurationError> {
        let configuration: Self = serde_saphyr::from_str(text)
            .map_err(|cause| ConfigurationError::Syntax(document.to_owned(), cause.to_string()))?;
        configuration.check(document)?;
        Ok(configuration)
    }

    /// Validates all values; `document` is the name in errors.
    pub fn check(&self, document: &str) -> Result<(), ConfigurationError> {
        let problems = validate::find_problems(self);
        if problems.is_empty() {
            return Ok(());
        }
        Err(ConfigurationError::Invalid(document.to_owned(), problems))
    }

    /// The class with this id.
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.iter().find(|class| class.id == id)
    }

    /// The class with this name.
    pub fn class_named(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The pool with this id.
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == id)
    }

    /// The pool with this name.
    pub fn pool_named(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// The pool that serves `model`.
    pub fn pool_for_model(&self, model: &str) -> Option<&Pool> {
        self.pools
            .iter()
            .find(|pool| pool.model.as_deref() == Some(model))
    }

    /// The service pool with the longest path prefix that matches `path`.
    pub fn pool_for_path(&self, path: &str) -> Option<&Pool> {
        self.pools
            .iter()
            .filter(|pool| pool.serves_path(path))
            .max_by_key(|pool| pool.path_prefix.as_ref().map_or(0, String::len))
    }

    /// The tenant with this id.
    pub fn tenant(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.id == id)
    }

    /// The tenant that a bearer key identifies.
    ///
    /// Every digest is compared, so that the time taken does not depend on which one
    /// matches.
    pub fn tenant_for_key(&self, key: &str) -> Option<&Tenant> {
        let digest = KeyDigest::of(key);
        let mut matching = None;
        for tenant in &self.tenants {
            for key_digest in &tenant.key_digests {
                if key_digest.matches(&digest) {
                    matching = Some(tenant);
                }
            }
        }
        matching
    }
}

impl Pool {
    /// Whether `path` is under this pool's prefix, at a path segment boundary.
    pub fn serves_path(&self, path: &str) -> bool {
        let Some(prefix) = &self.path_prefix else {
            return false;
        };
        match path.strip_prefix(prefix.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'),
            None => false,
        }
    }

    /// Whether a request with this method may be sent more than once.
    pub fn is_repeatable(&self, method: &str) -> bool {
        !self
            .not_repeatable_methods
            .iter()
            .any(|listed| listed.eq_ignore_ascii_case(method))
    }
}

/// Whether a node or back end accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Accepts new work.
    Live,
    /// Finishes its running work and accepts no new work.
    Leaving,
}

/// One node or back end in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryEntry<Id, Role> {
    /// Identifies the node or back end.
    pub id: Id,
    /// Its zone.
    pub zone: ZoneId,
    /// The pool of a back end; empty for a node.
    pub role: Role,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub state: EntryState,
}

/// The platform's list of nodes and back ends, which lags behind their actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// Epoch, 0 if absent. The platform increments it whenever it restores the list from an
    /// older copy.
    #[serde(default)]
    pub epoch: u16,
    /// Version, below 2^48; increases with every change of the list within an epoch. Versions
    /// lost in a restore are reused in the next epoch.
    pub version: u64,
    /// Entry nodes with their addresses for messages between nodes.
    pub nodes: Vec<DirectoryEntry<NodeId, ()>>,
    /// Back ends with their pools.
    pub back_ends: Vec<DirectoryEntry<BackEndId, PoolId>>,
}

/// Width of the version in a packed directory version, in bits; the epoch is in the bits
/// above.
const VERSION_BITS: u32 = 48;

/// Packs an epoch and a version into one number that orders directories by epoch, then by
/// version. Versions of 2^48 and above are clamped to 2^48 - 1.
pub fn pack_directory_version(epoch: u16, version: u64) -> u64 {
    let version = version.min((1 << VERSION_BITS) - 1);
    u64::from(epoch) << VERSION_BITS | version
}

/// Splits a packed directory version into its epoch and its version.
pub fn unpack_directory_version(packed: u64) -> (u16, u64) {
    let epoch = (packed >> VERSION_BITS) as u16;
    (epoch, packed & ((1 << VERSION_BITS) - 1))
}

impl Directory {
    /// The back end with this id.
    pub fn back_end(&self, id: BackEndId) -> Option<&DirectoryEntry<BackEndId, PoolId>> {
        self.back_ends.iter().find(|entry| entry.id == id)
    }

    /// The node with this id.
    pub fn node(&self, id: NodeId) -> Option<&DirectoryEntry<NodeId, ()>> {
        self.nodes.iter().find(|entry| entry.id == id)
    }
}
