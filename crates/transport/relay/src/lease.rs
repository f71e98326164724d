//! Leases that are released when dropped.

use crate::control::ControlHandle;
use crate::metrics;
use crate::notice::Notice;
use eiderferry_dispatch::{Grant, Outcome, StreamPacing};
use eiderferry_types::Timestamp;

/// A lease on a back end. If it is dropped without being released, the request counts as abandoned.
#[derive(Debug)]
pub(crate) struct Lease {
    pub grant: Grant,
    control: ControlHandle,
    granted_at: Timestamp,
    is_released: bool,
}

impl Lease {
    pub fn new(grant: Grant, control: ControlHandle, now: Timestamp) -> Self {
        Self {
            grant,
            control,
            granted_at: now,
            is_released: false,
        }
    }

    /// Records the first event of a stream and the error of its expected time.
    pub fn record_first_stream_event(&self, now: Timestamp) {
        metrics::first_event_error(
            self.grant.candidate.time_to_first_event,
            now.since(self.granted_at),
        );
        self.record_first_event();
    }

    /// Records what its back end stated about itself.
    pub fn record_notice(&self, notice: Notice) {
        self.control.record_notice(self.grant.lease, notice);
    }

    /// Records the first event or the whole response.
    pub fn record_first_event(&self) {
        self.control.record_first_event(self.grant.lease);
    }

    /// Records that events of a stream keep arriving some time after its first one.
    pub fn record_writing(&self) {
        self.control.record_writing(self.grant.lease);
    }

    /// Releases the lease.
    pub fn release(self, outcome: Outcome) {
        self.release_stream(outcome, StreamPacing::default());
    }

    /// Releases the lease of a stream, with the pacing of its events.
    pub fn release_stream(mut self, outcome: Outcome, pacing: StreamPacing) {
        self.is_released = true;
        self.control.release(self.grant.lease, outcome, pacing);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_released {
            let (lease, pacing) = (self.grant.lease, StreamPacing::default());
            self.control.release(lease, Outcome::Abandoned, pacing);
        }
    }
}
