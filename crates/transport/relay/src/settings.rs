//! Start-up settings of a relay.

use crate::{CacheProtocol, HeaderNames};
use eiderferry_dispatch::{ColdRateLimit, Features, RetryBudgetSettings};
use eiderferry_routing::{NodeName, ZoneName, ZoneRegions};
use eiderferry_types::Span;
use std::net::SocketAddr;

/// Times of a planned shutdown, counted from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// When idle connections are closed and new requests refused.
    pub refuse_after: Span,
    /// When the process terminates, even if requests are still running.
    pub terminate_after: Span,
}

/// Settings of one relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of this node.
    pub node: NodeName,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Address on which callers are served.
    pub listen_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Path of the readiness endpoint.
    pub readiness_path: String,
    /// Address of the metrics endpoint, if there is one.
    pub metrics_address: Option<SocketAddr>,
    /// Address for other nodes: datagrams over UDP, documents over TCP.
    pub peer_address: SocketAddr,
    /// Port, the same on all nodes, on which a node opens tunnels to back ends for its peers; `None`
    /// disables tunnels.
    pub tunnel_port: Option<u16>,
    /// Addresses of other nodes to contact first; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Limit of retries over all nodes.
    pub retry_budget: RetryBudgetSettings,
    /// Bandwidth of this node's link in Mbit/s.
    pub link_mbps: u16,
    /// Time within which a change that the platform has confirmed must be in force on this node.
    pub propagation_deadline: Span,
    /// Limit of requests to a cold back end over all nodes.
    pub cold_rate_limit: ColdRateLimit,
    /// Region of each zone.
    pub regions: ZoneRegions,
    /// Dispatcher features in use.
    pub features: Features,
    /// Maximum bytes of bodies, responses and events held in memory; 0 disables the limit and
    /// reading ahead.
    pub memory_budget: u64,
    /// Maximum connections of callers. At the limit, a new one takes the place of the connection that
    /// has waited longest for a request.
    pub max_caller_connections: usize,
    /// Times of a planned shutdown.
    pub shutdown: ShutdownSettings,
    /// Protocol for asking engines which prompt parts they have cached.
    pub cache_protocol: CacheProtocol,
    /// Names of the headers that the relay reads and sets.
    pub header_names: HeaderNames,
}
