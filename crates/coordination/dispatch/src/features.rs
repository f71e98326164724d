//! Optional parts of the dispatcher.

/// Switches for the optional parts of the dispatcher. A part that the deployment's configuration
/// doesn't provide for stays unused even if it is switched on here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Running streams are replicated to a second engine and resume there when the first one is
    /// lost.
    pub run_replicas: bool,
    /// The prompt parts that engines cache are tracked from their cache events.
    pub cache_index: bool,
    /// The engines of a pool are split by load between streams and long prompts.
    pub pool_split: bool,
    /// The cost of a back end in another zone or region includes the network path to it.
    pub locality_costs: bool,
    /// Only a few nodes of a large zone send messages to other zones, and documents are fetched
    /// from the node's own zone first.
    pub zone_representatives: bool,
    /// Requests that crash back ends are refused on all nodes.
    pub quarantine: bool,
}

impl Features {
    /// All parts switched on.
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
