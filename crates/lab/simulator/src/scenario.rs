//! Scenario files: a deployment, its load and its faults in YAML.

use eiderferry_config::Configuration;
use eiderferry_emulator::EngineTiming;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

quick_error! {
    /// Reason why a scenario cannot be used.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// A file cannot be read.
        Read(path: String, cause: std::io::Error) {
            display("{path}: cannot read file: {cause}")
        }
        /// The text is not a valid scenario, or a scenario cannot be written as YAML.
        Syntax(path: String, cause: String) {
            display("{path}: {cause}")
        }
        /// The configuration of the scenario is invalid.
        Configuration(cause: eiderferry_config::ConfigurationError) {
            from()
            display("{cause}")
        }
        /// The scenario names a class, pool or tenant that its configuration lacks.
        Unknown(path: String, what: &'static str, name: String) {
            display("{path}: no {what} named {name:?} in the configuration")
        }
    }
}

/// A simulation experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Purpose of the scenario.
    #[serde(default)]
    pub description: String,
    /// `quetzal`, `consortium`, or the path of a configuration file.
    pub configuration: String,
    /// Simulated duration in seconds. Requests that are open and not late at the end are not
    /// counted.
    pub duration_seconds: f64,
    /// Number of entry nodes in each zone.
    pub nodes_per_zone: Vec<u32>,
    /// Number of back ends in each zone, by pool name.
    pub back_ends_per_zone: BTreeMap<String, Vec<u32>>,
    /// Maximum number of back ends per admission cell; overrides the configuration.
    #[serde(default)]
    pub back_ends_per_cell: Option<u32>,
    /// Slots per engine; overrides the configuration.
    #[serde(default)]
    pub slots_per_engine: Option<u32>,
    /// Whether tenant limits are removed; those of the configuration suit its own deployment
    /// only.
    #[serde(default)]
    pub without_tenant_limits: bool,
    /// Speed and memory of the engines.
    #[serde(default)]
    pub engine: EngineTiming,
    /// Network between the machines.
    #[serde(default)]
    pub network: NetworkPlan,
    /// Delays of the platform's directory and of load reports.
    #[serde(default)]
    pub lags: LagPlan,
    /// Load of model requests.
    #[serde(default)]
    pub load: Vec<ClassLoad>,
    /// Load of calls to plain services.
    #[serde(default)]
    pub service_calls: Vec<ServiceLoad>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Latency and message loss.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkPlan {
    /// One-way latency within a zone, in microseconds.
    pub zone_latency_us: u64,
    /// One-way latency between zones, in microseconds.
    pub cross_zone_latency_us: u64,
    /// Maximum random addition to the latency, in microseconds.
    pub jitter_us: u64,
    /// Probability that a message between nodes is lost.
    pub loss: f64,
    /// Probability that a message between nodes is delivered twice.
    pub duplicate: f64,
}

impl Default for NetworkPlan {
    fn default() -> Self {
        Self {
            zone_latency_us: 150,
            cross_zone_latency_us: 500,
            jitter_us: 100,
            loss: 0.0,
            duplicate: 0.0,
        }
    }
}

/// Delays of information from the platform and the back ends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LagPlan {
    /// Delay until a change appears in the platform's directory, in milliseconds.
    pub directory_ms: u64,
    /// Delay until a dead entry node is removed from the directory, in milliseconds.
    pub dead_listed_ms: u64,
    /// Age of a load report, in milliseconds.
    pub load_report_ms: u64,
    /// Age of cache events, in milliseconds.
    pub cache_events_ms: u64,
    /// Probability that a load report has a gap in its cache events.
    pub cache_event_gaps: f64,
}

impl Default for LagPlan {
    fn default() -> Self {
        Self {
            directory_ms: 1_000,
            dead_listed_ms: 3_000,
            load_report_ms: 1_000,
            cache_events_ms: 1_500,
            cache_event_gaps: 0.05,
        }
    }
}

/// Log-normal distribution of lengths in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSpread {
    /// Mean length.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub sigma: f64,
    /// Maximum length.
    #[serde(default = "longest")]
    pub maximum: u32,
}

fn longest() -> u32 {
    4_000
}

/// An arrival rate that applies from a given time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// Time from which the rate applies, in seconds.
    pub from: f64,
    /// Requests per second.
    pub per_second: f64,
}

/// Prompt prefixes that requests of a tenant share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefixes {
    /// Number of different prefixes per tenant.
    pub count: u32,
    /// Length of each prefix in tokens.
    pub tokens: u32,
}

/// Load of model requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name of the class.
    pub class: String,
    /// Name of the pool.
    pub pool: String,
    /// Relative weights of the tenants.
    pub tenants: BTreeMap<String, f64>,
    /// Rates of the Poisson arrival process.
    pub rate: Vec<RateStep>,
    /// Distribution of prompt lengths.
    pub prompt: TokenSpread,
    /// Distribution of response lengths, which the router does not know.
    pub answer: TokenSpread,
    /// Shared prompt prefixes, if any.
    #[serde(default)]
    pub shared_prefixes: Option<SharedPrefixes>,
}

/// Load of calls to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// Name of the class.
    pub class: String,
    /// Name of the pool.
    pub pool: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Calls per second.
    pub per_second: f64,
    /// How callers keep a call from being executed twice.
    pub key: CallKey,
    /// Maximum number of retries until a response or a final verdict.
    #[serde(default = "three")]
    pub tries: u32,
    /// Execution time of a call, in milliseconds.
    #[serde(default = "twenty")]
    pub service_ms: u64,
}

fn three() -> u32 {
    3
}

fn twenty() -> u64 {
    20
}

/// Protection of a call against being executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKey {
    /// None needed: the call may be repeated.
    Repeatable,
    /// No key: the caller sends the call again only after the verdict `not_run`.
    None,
    /// A ticket issued by a node.
    Ticket,
    /// An idempotency key chosen by the caller.
    Caller,
}

/// A fault or change at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start of the fault, in seconds.
    pub at: f64,
    /// Duration of the fault, in seconds.
    #[serde(default)]
    pub lasts: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kind of a fault. Nodes and back ends are numbered from zero in the order of zones and pools;
/// numbers beyond the last one wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// An entry node's process crashes and restarts without state when the fault ends.
    NodeCrash {
        /// Number of the node.
        node: u32,
    },
    /// An entry node's process is paused.
    NodePause {
        /// Number of the node.
        node: u32,
    },
    /// An entry node is drained and stopped, and restarts when the fault ends.
    NodeRestart {
        /// Number of the node.
        node: u32,
    },
    /// A back end crashes and restarts without state when the fault ends.
    BackEndCrash {
        /// Number of the back end.
        back_end: u32,
    },
    /// An engine runs slower.
    BackEndSlow {
        /// Number of the back end.
        back_end: u32,
        /// Factor by which steps take longer.
        factor: f64,
    },
    /// A back end hangs with its connections open.
    BackEndFreeze {
        /// Number of the back end.
        back_end: u32,
    },
    /// A back end is listed as leaving until the fault ends.
    BackEndLeave {
        /// Number of the back end.
        back_end: u32,
    },
    /// A zone reaches no other zone.
    ZoneCut {
        /// Number of the zone, from 1.
        zone: u8,
    },
    /// A zone cannot reach the platform.
    PlatformCut {
        /// Number of the zone, from 1.
        zone: u8,
    },
    /// The platform does not respond.
    PlatformDown,
    /// The platform serves stale documents.
    PlatformStale {
        /// Age of the documents, in seconds.
        age: f64,
    },
    /// Messages between nodes are lost and duplicated.
    MessageLoss {
        /// Additional probability of loss, and likewise of duplication.
        part: f64,
    },
    /// A new configuration is published.
    ConfigurationChange,
    /// An invalid configuration is published, followed by a valid one.
    InvalidConfiguration,
    /// The arrival rates of all model requests are multiplied.
    Burst {
        /// Multiplier of the rates.
        factor: f64,
    },
}

impl FaultKind {
    /// Returns the name of the kind as used in scenario files and reports.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::NodeCrash { .. } => "node_crash",
            FaultKind::NodePause { .. } => "node_pause",
            FaultKind::NodeRestart { .. } => "node_restart",
            FaultKind::BackEndCrash { .. } => "back_end_crash",
            FaultKind::BackEndSlow { .. } => "back_end_slow",
            FaultKind::BackEndFreeze { .. } => "back_end_freeze",
            FaultKind::BackEndLeave { .. } => "back_end_leave",
            FaultKind::ZoneCut { .. } => "zone_cut",
            FaultKind::PlatformCut { .. } => "platform_cut",
            FaultKind::PlatformDown => "platform_down",
            FaultKind::PlatformStale { .. } => "platform_stale",
            FaultKind::MessageLoss { .. } => "message_loss",
            FaultKind::ConfigurationChange => "configuration_change",
            FaultKind::InvalidConfiguration => "invalid_configuration",
            FaultKind::Burst { .. } => "burst",
        }
    }
}

const QUETZAL: &str = include_str!("../../../../examples/quetzal.yaml");
const CONSORTIUM: &str = include_str!("../../../../examples/consortium.yaml");

/// Built-in scenarios by file name.
const BUILT_IN: &[(&str, &str)] = &[
    (
        "quetzal-news-morning",
        include_str!("../scenarios/quetzal-news-morning.yaml"),
    ),
    (
        "consortium-weekend-count",
        include_str!("../scenarios/consortium-weekend-count.yaml"),
    ),
    ("long-burst", include_str!("../scenarios/long-burst.yaml")),
    ("steady", include_str!("../scenarios/steady.yaml")),
    (
        "zone-100-steady",
        include_str!("../scenarios/zone-100-steady.yaml"),
    ),
    (
        "zone-100-nodes",
        include_str!("../scenarios/zone-100-nodes.yaml"),
    ),
    ("quick", include_str!("../scenarios/quick.yaml")),
    (
        "rolling-restart",
        include_str!("../scenarios/rolling-restart.yaml"),
    ),
];

impl Scenario {
    /// Returns the names and descriptions of the built-in scenarios.
    pub fn built_in() -> Result<Vec<(String, String)>, ScenarioError> {
        let parse = |(name, text): &(&str, &str)| {
            let scenario = Self::from_yaml(name, text)?;
            Ok((scenario.name, scenario.description))
        };
        BUILT_IN.iter().map(parse).collect()
    }

    /// Returns the built-in scenario of this name, or else reads the file of this name.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        if let Some((name, text)) = BUILT_IN.iter().find(|(known, _)| *known == name) {
            return Self::from_yaml(name, text);
        }
        let text = std::fs::read_to_string(Path::new(name))
            .map_err(|cause| ScenarioError::Read(name.to_owned(), cause))?;
        Self::from_yaml(name, &text)
    }

    /// Parses a scenario; `path` identifies it in errors.
    pub fn from_yaml(path: &str, text: &str) -> Result<Self, ScenarioError> {
        serde_saphyr::from_str(text)
            .map_err(|cause| ScenarioError::Syntax(path.to_owned(), cause.to_string()))
    }

    /// Serializes the scenario.
    pub fn to_yaml(&self) -> Result<String, ScenarioError> {
        serde_saphyr::to_string(self)
            .map_err(|cause| ScenarioError::Syntax(self.name.clone(), cause.to_string()))
    }

    /// Loads the configuration and applies the overrides of the scenario.
    pub fn configuration(&self) -> Result<Configuration, ScenarioError> {
        let mut configuration = match self.configuration.as_str() {
            "quetzal" => Configuration::from_yaml("quetzal", QUETZAL)?,
            "consortium" => Configuration::from_yaml("consortium", CONSORTIUM)?,
            path => {
                let text = std::fs::read_to_string(path)
                    .map_err(|cause| ScenarioError::Read(path.to_owned(), cause))?;
                Configuration::from_yaml(path, &text)?
            }
        };
        for pool in &mut configuration.pools {
            if let Some(size) = self.back_ends_per_cell {
                pool.back_ends_per_cell = size;
            }
            if let Some(slots) = self.slots_per_engine.filter(|_| pool.model.is_some()) {
                pool.slots_per_back_end = slots;
            }
        }
        if self.without_tenant_limits {
            for tenant in &mut configuration.tenants {
                tenant.limits.clear();
            }
        }
        self.check_names(&configuration)?;
        Ok(configuration)
    }

    fn check_names(&self, configuration: &Configuration) -> Result<(), ScenarioError> {
        let unknown = |path: String, what: &'static str, name: &str| {
            Err(ScenarioError::Unknown(path, what, name.to_owned()))
        };
        for (index, load) in self.load.iter().enumerate() {
            if configuration.class_named(&load.class).is_none() {
                return unknown(format!("load[{index}].class"), "class", &load.class);
            }
            if configuration.pool_named(&load.pool).is_none() {
                return unknown(format!("load[{index}].pool"), "pool", &load.pool);
            }
            for tenant in load.tenants.keys() {
                if !configuration
                    .tenants
                    .iter()
                    .any(|known| known.name == *tenant)
                {
                    return unknown(format!("load[{index}].tenants"), "tenant", tenant);
                }
            }
        }
        for (index, load) in self.service_calls.iter().enumerate() {
            if configuration.class_named(&load.class).is_none() {
                return unknown(
                    format!("service_calls[{index}].class"),
                    "class",
                    &load.class,
                );
            }
            if configuration.pool_named(&load.pool).is_none() {
                return unknown(format!("service_calls[{index}].pool"), "pool", &load.pool);
            }
            if !configuration
                .tenants
                .iter()
                .any(|known| known.name == load.tenant)
            {
                return unknown(
                    format!("service_calls[{index}].tenant"),
                    "tenant",
                    &load.tenant,
                );
            }
        }
        Ok(())
    }
}
