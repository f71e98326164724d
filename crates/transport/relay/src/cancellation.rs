//! Cancellation of quarantined requests that are still running at a back end, which they would
//! crash too.

use eiderferry_dispatch::QuarantineChange;
use eiderferry_types::{RequestDigest, Timestamp};
use event_listener::Event;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The quarantined requests, published by the control thread to tasks that wait for responses.
#[derive(Clone, Default)]
pub(crate) struct Cancellations {
    shared: Arc<QuarantineState>,
}

#[derive(Default)]
struct QuarantineState {
    /// Until when each request is refused.
    refused: Mutex<HashMap<RequestDigest, Timestamp>>,
    changed: Event,
}

impl Cancellations {
    /// Records a change of a request's quarantine.
    pub fn record(&self, change: &QuarantineChange, now: Timestamp) {
        let refused = self.shared.refused.lock();
        let mut refused = refused.unwrap_or_else(PoisonError::into_inner);
        match change {
            QuarantineChange::Quarantined {
                request, remaining, ..
            } => {
                refused.insert(*request, now + *remaining);
                self.shared.changed.notify(usize::MAX);
            }
            QuarantineChange::Cleared { request, .. } | QuarantineChange::Expired { request } => {
                refused.remove(request);
            }
        }
    }

    /// Waits until a request is quarantined; returns until when it is.
    pub async fn wait_for_quarantine(&self, request: RequestDigest) -> Timestamp {
        loop {
            let changed = self.shared.changed.listen();
            if let Some(until) = self.refused_until(request) {
                return until;
            }
            changed.await;
        }
    }

    fn refused_until(&self, request: RequestDigest) -> Option<Timestamp> {
        let refused = self.shared.refused.lock();
        let refused = refused.unwrap_or_else(PoisonError::into_inner);
        refused.get(&request).copied()
    }
}
