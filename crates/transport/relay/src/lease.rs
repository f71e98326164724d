//! A granted place that gives itself back.

use crate::control::ControlHandle;
use crate::metrics;
use crate::notice::Notice;
use eiderferry_dispatch::{Grant, Outcome, StreamPacing};
use eiderferry_types::Timestamp;

/// A place on a back end. Dropped without a word, it was abandoned.
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

    /// The first event of a stream came.
    pub fn record_first_stream_event(&self, now: Timestamp) {
        metrics::first_event_error(self.grant.candidate.first_event, now.since(self.granted_at));
        self.record_first_event();
    }

    /// Its back end says something of itself.
    pub fn record_notice(&self, notice: Notice) {
        self.control.record_notice(self.grant.lease, notice);
    }

    /// The whole answer came.
    pub fn record_first_event(&self) {
        self.control.record_first_event(self.grant.lease);
    }

    /// Gives the place back.
    pub fn release(self, outcome: Outcome) {
        self.release_stream(outcome, StreamPacing::default());
    }

    /// Gives the place of a stream back, with how its events came.
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
