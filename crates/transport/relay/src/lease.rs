//! A granted place that gives itself back.

use crate::control::ControlHandle;
use crate::metrics;
use eiderferry_dispatch::{Grant, Outcome, RateLimit, StreamPacing};
use eiderferry_types::{Span, Timestamp};

/// A place on a back end. Dropped without a word, it was abandoned.
#[derive(Debug)]
pub(crate) struct Lease {
    pub grant: Grant,
    control: ControlHandle,
    granted: Timestamp,
    is_over: bool,
}

impl Lease {
    pub fn new(grant: Grant, control: ControlHandle, now: Timestamp) -> Self {
        Self {
            grant,
            control,
            granted: now,
            is_over: false,
        }
    }

    /// The first event of a stream came.
    pub fn first_event_of_stream(&self, now: Timestamp) {
        metrics::first_event_error(self.grant.candidate.first_event, now.since(self.granted));
        self.first_event();
    }

    /// Its back end says that it is leaving.
    pub fn note_leaving(&self) {
        self.control.leaving(self.grant.lease);
    }

    /// Its back end wants nothing from this node for so long.
    pub fn note_rest(&self, rest: Span) {
        self.control.rests(self.grant.lease, rest);
    }

    /// Its back end names a rate limit, or none any more.
    pub fn note_limit(&self, limit: Option<RateLimit>) {
        self.control.limited(self.grant.lease, limit);
    }

    /// The whole answer came.
    pub fn first_event(&self) {
        self.control.first_event(self.grant.lease);
    }

    /// Gives the place back.
    pub fn end(self, outcome: Outcome) {
        self.end_stream(outcome, StreamPacing::default());
    }

    /// Gives the place of a stream back, with how its events came.
    pub fn end_stream(mut self, outcome: Outcome, pacing: StreamPacing) {
        self.is_over = true;
        self.control.end(self.grant.lease, outcome, pacing);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_over {
            let (lease, pacing) = (self.grant.lease, StreamPacing::default());
            self.control.end(lease, Outcome::Abandoned, pacing);
        }
    }
}
