//! Requests that are taken back from back ends: one that is quarantined while it still waits at
//! a back end would crash that one too.

use eiderferry_dispatch::QuarantineChange;
use eiderferry_types::{RequestDigest, Timestamp};
use event_listener::Event;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The quarantined requests, as the control thread tells them to those that wait for answers.
#[derive(Clone, Default)]
pub(crate) struct Cancellations {
    shared: Arc<QuarantineState>,
}

#[derive(Default)]
struct QuarantineState {
    /// Until when each is refused.
    refused: Mutex<HashMap<RequestDigest, Timestamp>>,
    changed: Event,
}

impl Cancellations {
    /// Takes over what changed with a request.
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

    /// Waits until a request is quarantined; until when it is.
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
