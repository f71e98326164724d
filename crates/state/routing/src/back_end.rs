//! One back end as the platform lists it.

use crate::{InstanceId, PoolName, ZoneName};
use eiderferry_types::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A listed back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Its run.
    pub instance: InstanceId,
    /// Pool it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// Time for which it was still cold when its entry was written, zero for a warm one;
    /// `None` where the entry doesn't tell.
    pub cold_for: Option<Span>,
}
