//! What a relay is told at its start.

use crate::{CacheProtocol, HeaderNames};
use eiderferry_dispatch::{ColdRateLimit, Features, RetryBudgetSettings};
use eiderferry_routing::{NodeName, ZoneName, ZoneRegions};
use eiderferry_types::Span;
use std::net::SocketAddr;

/// Times of a planned stop, from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// When kept connections are closed and new requests refused.
    pub refuse_after: Span,
    /// When the process ends whatever still runs.
    pub terminate_after: Span,
}

/// Settings of one relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of this node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address for callers.
    pub listen_address: SocketAddr,
    /// Address that answers whether this node wants callers.
    pub readiness_address: SocketAddr,
    /// Path asked there.
    pub readiness_path: String,
    /// Address that tells metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Address for messages of other nodes: datagrams, and documents over TCP.
    pub peer_address: SocketAddr,
    /// Other nodes' addresses, perhaps out of date.
    pub seeds: Vec<SocketAddr>,
    /// Bound of repeats over all nodes.
    pub retry_budget: RetryBudgetSettings,
    /// Bandwidth of this node's link in Mbit/s.
    pub link_mbps: u16,
    /// Time within which a change that the platform has confirmed has to be in force.
    pub propagation_deadline: Span,
    /// Bound of requests to a cold back end over all nodes.
    pub cold_rate_limit: ColdRateLimit,
    /// Region of each zone.
    pub regions: ZoneRegions,
    /// Parts of the dispatcher in use.
    pub features: Features,
    /// Most bytes held for callers and back ends; 0: nothing is bounded or read ahead.
    pub memory_budget: u64,
    /// Planned stops.
    pub shutdown: ShutdownSettings,
    /// How engines are asked for what they keep of prompts.
    pub cache_protocol: CacheProtocol,
    /// Header names.
    pub header_names: HeaderNames,
}
