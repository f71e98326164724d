//! Which back ends this node reaches directly.
//!
//! A failed connection alone doesn't tell a broken path from a back end that is down. A peer that
//! reaches the back end does.

use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum time between two probes of the same back end through peers.
const PEER_PROBE_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Back ends with broken paths, and no direct connection since, that show that this node is cut
/// from all back ends.
const CUT_MIN_BACK_ENDS: usize = 2;
/// Time after which a broken path that no peer has confirmed again is forgotten.
const CONFIRMATION_LIFETIME: Span = Span::from_milliseconds(30_000);
/// Minimum time between two checks whether broken paths work again.
const CHECK_INTERVAL: Span = Span::from_milliseconds(500);
/// Number of back ends checked at a time.
const CHECKED_BACK_ENDS: usize = 2;

/// How a new connection to a back end is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPath {
    /// From this node.
    Direct,
    /// Through a tunnel that a peer provides.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct BrokenPath {
    address: SocketAddr,
    /// Whether connections are refused rather than unanswered.
    is_refusing: bool,
    /// Latest failure of a direct connection.
    failed_at: Timestamp,
    /// When a peer last reached the back end.
    confirmed_at: Timestamp,
}

/// State of the direct paths of one node.
#[derive(Clone, Debug, Default)]
pub struct BackEndPaths {
    broken: BTreeMap<InstanceId, BrokenPath>,
    /// Recent failures of direct connections: the latest one, and the latest probe through a peer.
    failures: BTreeMap<InstanceId, Failure>,
    /// Latest direct connection to any back end.
    connected_at: Option<Timestamp>,
    checked_at: Option<Timestamp>,
    /// Position of the next check among the broken paths.
    check_cursor: usize,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    address: SocketAddr,
    is_refusal: bool,
    failed_at: Timestamp,
    probed_at: Timestamp,
}

impl BackEndPaths {
    /// How to establish a new connection to a back end.
    pub fn path_to(&self, instance: &InstanceId) -> ConnectionPath {
        if self.broken.contains_key(instance) || self.is_cut() {
            ConnectionPath::Peer
        } else {
            ConnectionPath::Direct
        }
    }

    /// Whether this node is cut from all back ends: several live ones can't be connected to, and
    /// none was since.
    pub fn is_cut(&self) -> bool {
        let is_newer = |at: Timestamp| self.connected_at.is_none_or(|connected| connected < at);
        let unreached = self.broken.values().filter(|path| is_newer(path.failed_at));
        unreached.count() >= CUT_MIN_BACK_ENDS
    }

    /// Whether connections to a back end get no response, so that those that were open before may
    /// hang as well. Where new connections are refused, open ones may continue to work.
    pub fn hangs(&self, instance: &InstanceId) -> bool {
        match self.broken.get(instance) {
            Some(path) => !path.is_refusing,
            None => self.is_cut() && self.broken.values().all(|path| !path.is_refusing),
        }
    }

    /// Number of live back ends that can't be connected to directly.
    pub fn broken_count(&self) -> usize {
        self.broken.len()
    }

    /// Records that a direct connection could not be established. Returns whether the back
    /// end is to be probed through a peer.
    pub fn record_failed(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        is_refusal: bool,
        now: Timestamp,
    ) -> bool {
        if let Some(path) = self.broken.get_mut(instance) {
            path.failed_at = now;
            path.is_refusing = is_refusal;
        }
        self.failures
            .retain(|_, failure| now.since(failure.failed_at) < PEER_PROBE_INTERVAL);
        if let Some(failure) = self.failures.get_mut(instance) {
            failure.failed_at = now;
            failure.is_refusal = is_refusal;
            if now.since(failure.probed_at) < PEER_PROBE_INTERVAL {
                return false;
            }
            failure.probed_at = now;
            return true;
        }
        let failure = Failure {
            address,
            is_refusal,
            failed_at: now,
            probed_at: now,
        };
        self.failures.insert(instance.clone(), failure);
        true
    }

    /// Records that a direct connection was established. The paths of a node that was cut are
    /// restored together; those that are still broken fail again.
    pub fn record_connected(&mut self, instance: &InstanceId, now: Timestamp) {
        if self.is_cut() {
            self.broken.clear();
        }
        self.broken.remove(instance);
        self.failures.remove(instance);
        self.connected_at = Some(now);
    }

    /// Records that a peer reached a back end. Returns whether this shows that its path is broken.
    pub fn record_reached_by_peer(&mut self, instance: &InstanceId, now: Timestamp) -> bool {
        if let Some(path) = self.broken.get_mut(instance) {
            path.confirmed_at = now;
            return false;
        }
        // A direct connection since the probe removed the failure.
        let Some(failure) = self.failures.remove(instance) else {
            return false;
        };
        let path = BrokenPath {
            address: failure.address,
            is_refusing: failure.is_refusal,
            failed_at: failure.failed_at,
            confirmed_at: now,
        };
        self.broken.insert(instance.clone(), path);
        true
    }

    /// The back ends whose direct paths are to be checked now.
    pub fn due_checks(&mut self, now: Timestamp) -> Vec<(SocketAddr, InstanceId)> {
        self.broken
            .retain(|_, path| now.since(path.confirmed_at) < CONFIRMATION_LIFETIME);
        let is_due = self
            .checked_at
            .is_none_or(|checked| now.since(checked) >= CHECK_INTERVAL);
        if !is_due || self.broken.is_empty() {
            return Vec::new();
        }
        self.checked_at = Some(now);
        let broken = self.broken.iter().cycle().skip(self.check_cursor);
        let count = CHECKED_BACK_ENDS.min(self.broken.len());
        let due = broken.take(count);
        let due = due.map(|(instance, path)| (path.address, instance.clone()));
        let due = due.collect();
        self.check_cursor = (self.check_cursor + count) % self.broken.len();
        due
    }
}
