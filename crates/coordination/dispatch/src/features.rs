//! Parts of the dispatcher that an operator may switch off.

/// Which optional parts of the dispatcher are in use. What the deployment's configuration
/// doesn't offer stays unused whatever stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Running streams are replicated to a second engine, and go on there when the first one
    /// is lost.
    pub run_replicas: bool,
    /// What engines keep of prompts is read from their cache events.
    pub cache_index: bool,
    /// The engines of a pool are split between streams and long prompts by their load.
    pub pool_split: bool,
    /// A back end in another zone or region costs what the way there takes.
    pub locality_costs: bool,
    /// Few nodes speak for a large zone to others, and documents come from the own zone first.
    pub zone_representatives: bool,
    /// Requests under which back ends crashed are refused on all nodes.
    pub quarantine: bool,
}

impl Features {
    /// All parts in use.
    pub const ALL: Self = Self {
        run_replicas: true,
        cache_index: true,
        pool_split: true,
        locality_costs: true,
        zone_representatives: true,
        quarantine: true,
    };
}

impl Default for Features {
    fn default() -> Self {
        Self::ALL
    }
}
