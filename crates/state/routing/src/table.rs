//! The routing table: which request goes to which pool, and for whom.

use crate::priority::{PoolRanks, PriorityScale};
use crate::{AllowedRegions, ColdStart, PoolName, RegionName, TableError};
use eiderferry_types::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// What may be done with a request whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    NotRepeatable,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficSplit {
    /// Pool that gets the part.
    pub pool: PoolName,
    /// Its weight among the route's parts.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name used by operators and logs; also the request's class.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time from arrival to the final answer.
    pub timeout: Span,
    /// Time within which an answer, or a stream's first event, is in time.
    pub target: Span,
    /// Longest pause between two events that keeps a stream in time.
    pub event_gap_target: Option<Span>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Where its requests go.
    pub traffic_splits: Vec<TrafficSplit>,
    /// Back ends that one request may be sent to.
    pub maximum_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether a broken stream may be taken up elsewhere.
    pub is_resumable: bool,
    /// Regions in which its requests may run; all if there are none.
    pub allowed_regions: Vec<RegionName>,
}

impl Route {
    /// Whether a request may be sent again although it may have run.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::NotRepeatable => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// Regions in which a request of a tenant may run: those of both where both name some.
    pub fn regions_for(&self, tenant: Option<&Tenant>) -> AllowedRegions {
        let tenant = tenant.map_or(&[][..], |tenant| &tenant.allowed_regions);
        AllowedRegions::of(&self.allowed_regions, tenant)
    }

    /// The pool for a request; `point` is a number in 0..1 drawn for it.
    pub fn pool(&self, sample: f64) -> Option<&PoolName> {
        let total: f64 = self
            .traffic_splits
            .iter()
            .map(|split| split.weight.max(0.0))
            .sum();
        let mut remaining_weight = sample * total;
        let mut weighted = self
            .traffic_splits
            .iter()
            .filter(|split| split.weight > 0.0);
        for split in weighted.clone() {
            remaining_weight -= split.weight;
            if remaining_weight < 0.0 {
                return Some(&split.pool);
            }
        }
        weighted.next_back().map(|split| &split.pool)
    }
}

/// What the engines of a pool offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpecification {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens of context that one engine holds.
    pub cache_tokens: u64,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
    /// Calls for cache events that one engine holds at once; 0 where it tells none.
    pub cache_event_calls: u32,
    /// Replicas of running requests that engines keep for each other, where they do.
    pub replicas: Option<ReplicaSpecification>,
}

/// How the engines of a pool keep replicas of each other's running requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSpecification {
    /// Time after its last growth for which a replica that nobody uses is kept.
    pub lifetime: Span,
    /// Bytes that one token takes on the way.
    pub bytes_per_token: u32,
}

/// A pool of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one back end accepts from all callers.
    pub maximum_connections: u32,
    /// For model engines, what they offer.
    pub engine: Option<EngineSpecification>,
    /// How its back ends start; `None` where they bear everything at once.
    pub cold_start: Option<ColdStart>,
}

/// Limits towards callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub maximum_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub maximum_body_bytes: u64,
    /// Longest time to send a head.
    pub header_timeout: Span,
    /// Longest rest of a kept connection.
    pub idle_timeout: Span,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name told to back ends.
    pub name: String,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
    /// Regions in which its requests may run; all if there are none.
    pub allowed_regions: Vec<RegionName>,
}

/// The table as it is published and passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableDocument {
    /// Version: each published change has a larger one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Limits towards callers.
    pub limits: Limits,
    /// Tenants.
    pub tenants: Vec<Tenant>,
}

/// A checked table with its indexes.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    document: TableDocument,
    routes_by_host: HashMap<String, Vec<usize>>,
    tenants_by_key: HashMap<String, usize>,
    priority_scale: PriorityScale,
    pool_ranks: PoolRanks,
}

/// What a request's host and path lead to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// A route.
    Found(&'a Route),
    /// No route begins the path.
    NoRoute,
}

impl RoutingTable {
    /// Checks a document and builds its indexes.
    pub fn new(document: TableDocument) -> Result<Self, TableError> {
        for route in &document.routes {
            validate_route(route, &document.pools)?;
        }
        let tenants_by_key = index_tenants_by_key(&document.tenants)?;
        let routes_by_host = index_routes_by_host(&document.routes);
        let priority_scale = PriorityScale::for_routes(&document.routes);
        let pool_ranks = PoolRanks::for_routes(&document.routes);
        Ok(Self {
            document,
            routes_by_host,
            tenants_by_key,
            priority_scale,
            pool_ranks,
        })
    }

    /// The document as published.
    pub fn document(&self) -> &TableDocument {
        &self.document
    }

    /// Version of the document.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// All regions that routes and tenants name.
    pub fn named_regions(&self) -> impl Iterator<Item = &RegionName> {
        let routes = self.document.routes.iter();
        let routes = routes.flat_map(|route| &route.allowed_regions);
        let tenants = self.document.tenants.iter();
        routes.chain(tenants.flat_map(|tenant| &tenant.allowed_regions))
    }

    /// Limits towards callers.
    pub fn limits(&self) -> &Limits {
        &self.document.limits
    }

    /// The pool of that name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.document.pools.get(name)
    }

    /// The route whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host_without_port(host).to_ascii_lowercase();
        let candidates = self.routes_by_host.get(&host).into_iter().flatten();
        let mut routes = candidates.map(|index| &self.document.routes[*index]);
        match routes.find(|route| path.starts_with(&route.path_prefix)) {
            Some(route) => RouteMatch::Found(route),
            None => RouteMatch::NoRoute,
        }
    }

    /// How urgent a request is to an engine; 0 is the most urgent.
    pub fn priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        self.priority_scale
            .level(route.rank, tenant.and_then(|tenant| tenant.rank))
    }

    /// Part of the other tiers that a pool serves which are less urgent than this one:
    /// 1 for the most urgent of several, 0 for the last and for an only one.
    pub fn less_urgent_share(&self, pool: &PoolName, rank: u8) -> f64 {
        self.pool_ranks.less_urgent_share(pool, rank)
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        let index = self.tenants_by_key.get(key)?;
        self.document.tenants.get(*index)
    }
}

fn host_without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn validate_route(route: &Route, pools: &BTreeMap<PoolName, Pool>) -> Result<(), TableError> {
    let name = || route.name.clone();
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(TableError::InvalidPathPrefix(
            name(),
            route.path_prefix.clone(),
        ));
    }
    if route.maximum_attempts == 0 {
        return Err(TableError::ZeroAttempts(name()));
    }
    if route.timeout == Span::ZERO {
        return Err(TableError::ZeroTimeout(name()));
    }
    if route.traffic_splits.iter().all(|split| split.weight <= 0.0) {
        return Err(TableError::NoWeightedPool(name()));
    }
    let unknown_pool = route
        .traffic_splits
        .iter()
        .find(|split| !pools.contains_key(&split.pool));
    match unknown_pool {
        Some(split) => Err(TableError::UnknownPool(name(), split.pool.to_string())),
        None => Ok(()),
    }
}

fn index_tenants_by_key(tenants: &[Tenant]) -> Result<HashMap<String, usize>, TableError> {
    let mut index: HashMap<String, usize> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        for key in &tenant.keys {
            let previous = index.insert(key.clone(), position);
            if let Some(other) = previous.filter(|other| *other != position) {
                let other = tenants[other].name.clone();
                return Err(TableError::DuplicateKey(tenant.name.clone(), other));
            }
        }
    }
    Ok(index)
}

fn index_routes_by_host(routes: &[Route]) -> HashMap<String, Vec<usize>> {
    let mut index: HashMap<String, Vec<usize>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        let host = route.host.to_ascii_lowercase();
        index.entry(host).or_default().push(position);
    }
    for positions in index.values_mut() {
        positions.sort_by_key(|position| std::cmp::Reverse(routes[*position].path_prefix.len()));
    }
    index
}
