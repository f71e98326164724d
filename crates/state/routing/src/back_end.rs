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
    pub cold_remaining: Option<Span>,
    /// When the run began, in Unix milliseconds of its own machine; `None` where the entry doesn't
    /// tell. A back end may start again under its name: another start is another run, which knows
    /// nothing of what the one before was sent. Never compared with a clock of this node.
    pub started_unix_ms: Option<u64>,
}

impl BackEnd {
    /// Whether this is another run than one listed before under the same name.
    pub fn is_different_run(&self, previous: &BackEnd) -> bool {
        !self.may_have_started(previous.started_unix_ms)
    }

    /// Whether the run may be the one of this name that started then.
    pub fn may_have_started(&self, started_unix_ms: Option<u64>) -> bool {
        may_be_same_start(self.started_unix_ms, started_unix_ms)
    }
}

/// Whether two starts, of back ends of one name, may be those of one run: not everyone who speaks
/// of a run knows when it started.
pub fn may_be_same_start(first_unix_ms: Option<u64>, second_unix_ms: Option<u64>) -> bool {
    let starts = first_unix_ms.zip(second_unix_ms);
    starts.is_none_or(|(first, second)| first == second)
}
