//! Back ends as the platform lists them, and how to distinguish their runs.

use crate::{InstanceId, PoolName, SoftwareVersion, ZoneName};
use eiderferry_types::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a software version in bytes. A longer one is treated as unknown.
pub const MAX_SOFTWARE_VERSION_BYTES: usize = 128;

/// A back end as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Name of the back end. It stays the same when the back end restarts.
    pub instance: InstanceId,
    /// Pool to which it belongs.
    pub pool: PoolName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// Remaining cold period when its entry was written, zero for a warm back end; `None` if the
    /// entry does not state it.
    pub cold_remaining: Option<Span>,
    /// Start time of the current run in Unix milliseconds, by its own machine's clock; `None` if
    /// the entry does not state it. It identifies the run: a back end may restart under the same
    /// name, and the new run knows nothing of the requests sent to the previous one. Never
    /// compared with this node's clock.
    pub started_unix_ms: Option<u64>,
    /// Software version of the current run; `None` if it is unknown. A stream that started at one
    /// version can't continue at another.
    pub version: Option<SoftwareVersion>,
}

impl BackEnd {
    /// Whether this is certainly a different run from one listed earlier under the same name.
    pub fn is_different_run(&self, previous: &BackEnd) -> bool {
        !self.may_have_started(previous.started_unix_ms)
    }

    /// Whether this back end can continue a stream that started at `other`. It can't if either
    /// version is unknown.
    pub fn runs_same_version(&self, other: &BackEnd) -> bool {
        self.version.is_some() && self.version == other.version
    }

    /// Whether this may be the run of the same name that started at the given time.
    pub fn may_have_started(&self, started_unix_ms: Option<u64>) -> bool {
        may_be_same_start(self.started_unix_ms, started_unix_ms)
    }
}

/// Whether two start times of back ends of the same name may belong to one run. An unknown start
/// time matches any other, because not every source of information about a run includes it.
pub fn may_be_same_start(first_unix_ms: Option<u64>, second_unix_ms: Option<u64>) -> bool {
    let starts = first_unix_ms.zip(second_unix_ms);
    starts.is_none_or(|(first, second)| first == second)
}
