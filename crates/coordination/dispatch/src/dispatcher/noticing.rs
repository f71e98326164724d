//! What back ends say of themselves in their answers, as it bears on this node's decisions.

use super::{CacheOrder, Dispatcher};
use crate::LeaseId;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

impl Dispatcher {
    /// An answer says that its back end is leaving: the back end gets nothing more from here.
    /// Returns it if that was not known.
    pub fn note_leaving(&mut self, lease: LeaseId) -> Option<InstanceId> {
        let lease = self.leases.get(&lease)?;
        let (instance, start) = (lease.instance.clone(), lease.started_unix_ms);
        self.note_run_leaving(&instance, start).then_some(instance)
    }

    /// The same of an engine that was called for what it keeps. Returns whether it is news.
    pub fn note_called_leaving(&mut self, order: &CacheOrder) -> bool {
        self.note_run_leaving(&order.instance, order.started_unix_ms)
    }

    fn note_run_leaving(&mut self, instance: &InstanceId, started_unix_ms: Option<u64>) -> bool {
        let is_new = self.back_ends.note_leaving(instance, started_unix_ms);
        if is_new {
            self.home_scopes.note_back_end();
        }
        is_new
    }

    /// An answer says that its back end wants nothing from this node for so long.
    pub fn note_rest(&mut self, lease: LeaseId, rest: Span, now: Timestamp) {
        if let Some(lease) = self.leases.get(&lease) {
            let start = lease.started_unix_ms;
            self.back_ends.note_rest(&lease.instance, start, now + rest);
        }
    }

    /// The same of an engine that was called for what it keeps.
    pub fn note_called_rest(&mut self, order: &CacheOrder, rest: Span, now: Timestamp) {
        let start = order.started_unix_ms;
        self.back_ends.note_rest(&order.instance, start, now + rest);
    }
}
