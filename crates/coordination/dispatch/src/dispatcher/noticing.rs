//! What back ends say of themselves in their answers, as it bears on this node's decisions.

use super::Dispatcher;
use crate::LeaseId;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

impl Dispatcher {
    /// An answer says that its back end is leaving: the back end gets nothing more from here.
    /// Returns it if that was not known.
    pub fn note_leaving(&mut self, lease: LeaseId) -> Option<InstanceId> {
        let lease = self.leases.get(&lease)?;
        let instance = lease.instance.clone();
        let is_new = self
            .back_ends
            .note_leaving(&instance, lease.started_unix_ms);
        if !is_new {
            return None;
        }
        self.home_scopes.note_back_end();
        Some(instance)
    }

    /// An answer says that its back end wants nothing from this node for so long.
    pub fn note_rest(&mut self, lease: LeaseId, rest: Span, now: Timestamp) {
        if let Some(lease) = self.leases.get(&lease) {
            let start = lease.started_unix_ms;
            self.back_ends.note_rest(&lease.instance, start, now + rest);
        }
    }
}
