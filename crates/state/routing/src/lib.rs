//! The routing data of a relay: routes, pools, tenants, limits and back ends.
//!
//! The types here are independent of any platform's naming. An adapter builds them from
//! the documents that a platform publishes, and nodes replicate them to each other.

#![forbid(unsafe_code)]

mod back_end;
mod cold_start;
mod error;
mod identity;
mod priority;
mod regions;
mod table;

pub use back_end::{BackEnd, MAX_SOFTWARE_VERSION_BYTES, may_be_same_start};
pub use cold_start::ColdStart;
pub use error::TableError;
pub use identity::{InstanceId, NodeName, PartId, PoolName, RegionName, SoftwareVersion, ZoneName};
pub use priority::PRIORITY_LEVELS;
pub use regions::{AllowedRegions, ZoneRegions};
pub use table::{
    EngineSpecification, Limits, Pool, ReplicaSpecification, Route, RouteKind, RouteMatch,
    RoutingTable, TableDocument, Tenant, TrafficSplit,
};
