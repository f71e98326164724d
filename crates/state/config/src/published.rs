//! The configuration that operators publish, and the platform's directory.

use crate::ConfigurationError;
use crate::validate;
use eiderferry_types::{BackEndId, ClassId, NodeId, PoolId, Span, TenantId, Tier, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;

/// Everything operators decide, in one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version: each published change has a larger one.
    pub version: u64,
    /// How long an idempotency key stays valid after its last use, in milliseconds.
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
    /// Number used on the wire.
    pub id: ZoneId,
    /// Name used by people.
    pub name: String,
}

/// What the back ends of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Interchangeable back ends that serve one model or one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Number used on the wire.
    pub id: PoolId,
    /// Name used by people.
    pub name: String,
    /// What the back ends are.
    pub kind: PoolKind,
    /// Model name that callers ask for (engines).
    #[serde(default)]
    pub model: Option<String>,
    /// Path prefix routed here (services), such as `/library`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Requests one back end runs at once.
    pub slots_per_back_end: u32,
    /// Tokens of context one engine holds in its KV cache.
    #[serde(default = "default_kv_tokens")]
    pub kv_tokens_per_back_end: u64,
    /// Back ends in one admission queue at the most.
    #[serde(default = "default_cell_size")]
    pub back_ends_per_cell: u32,
    /// HTTP methods that may not be repeated (services), such as `POST`.
    #[serde(default)]
    pub not_repeatable_methods: Vec<String>,
    /// Whether the back ends refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_kv_tokens() -> u64 {
    120_000
}

fn default_cell_size() -> u32 {
    24
}

/// A request class: its service level and its priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Number used on the wire.
    pub id: ClassId,
    /// Name callers give in the `eiderferry-class` header.
    pub name: String,
    /// Priority; 1 is the highest.
    pub tier: Tier,
    /// Target for the time from arrival to the first token, in milliseconds.
    pub time_to_first_token_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub time_per_token_ms: u64,
    /// Part of each pool's slots guaranteed to the class while it has work, 0 to 1.
    #[serde(default)]
    pub minimum_share: f64,
    /// Answer length assumed until one has been learned, in tokens.
    #[serde(default = "default_answer_tokens")]
    pub assumed_answer_tokens: u32,
}

fn default_answer_tokens() -> u32 {
    256
}

impl Class {
    /// Target for the first token as a span.
    pub fn first_token_target(&self) -> Span {
        Span::from_milliseconds(self.time_to_first_token_ms)
    }

    /// Target between tokens as a span.
    pub fn per_token_target(&self) -> Span {
        Span::from_milliseconds(self.time_per_token_ms)
    }
}

/// SHA-256 of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// The digest of a key.
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

/// One customer of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Number used on the wire.
    pub id: TenantId,
    /// Name used by people.
    pub name: String,
    /// Digests of the bearer keys that identify the tenant.
    pub key_digests: Vec<KeyDigest>,
    /// Names of the classes it may use; the first is the default.
    pub classes: Vec<String>,
    /// Names of the pools it may use.
    pub pools: Vec<String>,
    /// Limits for the whole deployment, per pool.
    #[serde(default)]
    pub limits: Vec<TenantLimit>,
}

/// A tenant's limits on one pool, over all zones together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimit {
    /// Name of the pool.
    pub pool: String,
    /// Requests running at once.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Answer tokens a second, averaged over a few seconds.
    #[serde(default)]
    pub tokens_per_second: Option<u32>,
}

impl Configuration {
    /// Reads and checks a configuration; `document` names it in errors.
    pub fn from_yaml(document: &str, text: &str) -> Result<Self, ConfigurationError> {
        let configuration: Self = serde_saphyr::from_str(text)
            .map_err(|cause| ConfigurationError::Syntax(document.to_owned(), cause.to_string()))?;
        configuration.check(document)?;
        Ok(configuration)
    }

    /// Checks that all values fit together.
    pub fn check(&self, document: &str) -> Result<(), ConfigurationError> {
        let problems = validate::find_problems(self);
        if problems.is_empty() {
            return Ok(());
        }
        Err(ConfigurationError::Invalid(document.to_owned(), problems))
    }

    /// The class with this number.
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.iter().find(|class| class.id == id)
    }

    /// The class with this name.
    pub fn class_named(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The pool with this number.
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == id)
    }

    /// The pool with this name.
    pub fn pool_named(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// The engine pool that serves `model`.
    pub fn pool_for_model(&self, model: &str) -> Option<&Pool> {
        self.pools
            .iter()
            .find(|pool| pool.model.as_deref() == Some(model))
    }

    /// The service pool whose path prefix fits `path`; the longest prefix wins.
    pub fn pool_for_path(&self, path: &str) -> Option<&Pool> {
        self.pools
            .iter()
            .filter(|pool| pool.serves_path(path))
            .max_by_key(|pool| pool.path_prefix.as_ref().map_or(0, String::len))
    }

    /// The tenant with this number.
    pub fn tenant(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.id == id)
    }

    /// The tenant that holds a bearer key.
    ///
    /// Every digest is compared, so that the time taken says nothing of the key.
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
    /// Whether `path` lies under this pool's prefix.
    pub fn serves_path(&self, path: &str) -> bool {
        let Some(prefix) = &self.path_prefix else {
            return false;
        };
        match path.strip_prefix(prefix.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'),
            None => false,
        }
    }

    /// Whether a call with this method may be sent twice.
    pub fn is_repeatable(&self, method: &str) -> bool {
        !self
            .not_repeatable_methods
            .iter()
            .any(|listed| listed.eq_ignore_ascii_case(method))
    }
}

/// Whether a machine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One machine in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryEntry<Id, Role> {
    /// Number of the machine.
    pub id: Id,
    /// Its zone.
    pub zone: ZoneId,
    /// What it does.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: EntryState,
}

/// The platform's lagging list of machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// Epoch, 0 if absent: the platform raises it with each restore of the list from an older copy.
    #[serde(default)]
    pub epoch: u16,
    /// Version, below 2^48: each change of the list within an epoch has a larger one. Versions
    /// lost in a restore are reused in the next epoch.
    pub version: u64,
    /// Entry nodes; the address is the one for messages between nodes.
    pub nodes: Vec<DirectoryEntry<NodeId, ()>>,
    /// Back ends and the pool each belongs to.
    pub back_ends: Vec<DirectoryEntry<BackEndId, PoolId>>,
}

/// Width of the version in a packed directory version; the epoch is in the bits above.
const VERSION_BITS: u32 = 48;

/// Packs an epoch and a version into one number that orders directories by epoch, then by version.
/// Versions of 2^48 and above are clamped to 2^48 - 1.
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
    /// The back end with this number.
    pub fn back_end(&self, id: BackEndId) -> Option<&DirectoryEntry<BackEndId, PoolId>> {
        self.back_ends.iter().find(|entry| entry.id == id)
    }

    /// The node with this number.
    pub fn node(&self, id: NodeId) -> Option<&DirectoryEntry<NodeId, ()>> {
        self.nodes.iter().find(|entry| entry.id == id)
    }
}
