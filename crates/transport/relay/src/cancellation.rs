//! Cancellation of quarantined requests that are waiting at a back end, which they would crash too.

use eiderferry_dispatch::{
    PartChange, QuarantineChange, QuarantineChanges, QuarantinedParts, SharedParts,
};
use eiderferry_types::{RequestDigest, Timestamp};
use event_listener::Event;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The quarantined requests, published by the control thread to tasks that wait for responses.
#[derive(Clone, Default)]
pub(crate) struct Cancellations {
    shared: Arc<QuarantineState>,
}

#[derive(Default)]
struct QuarantineState {
    refused: Mutex<Refused>,
    changed: Event,
}

/// Until when each request and each group of prompt parts is refused.
#[derive(Default)]
struct Refused {
    requests: HashMap<RequestDigest, Timestamp>,
    parts: Vec<(QuarantinedParts, Timestamp)>,
}

impl Refused {
    fn apply_request_change(&mut self, change: &QuarantineChange, now: Timestamp) {
        match change {
            QuarantineChange::Quarantined {
                request, remaining, ..
            } => {
                self.requests.insert(*request, now + *remaining);
            }
            QuarantineChange::Cleared { request, .. } | QuarantineChange::Expired { request } => {
                self.requests.remove(request);
            }
        }
    }

    fn apply_part_change(&mut self, change: &PartChange, now: Timestamp) {
        match change {
            PartChange::Quarantined {
                quarantined,
                remaining,
                ..
            } => self.parts.push((quarantined.clone(), now + *remaining)),
            PartChange::Released { quarantined } => self.parts.retain(|(listed, _)| {
                listed.parts != quarantined.parts || listed.caller != quarantined.caller
            }),
        }
    }
}

impl Cancellations {
    /// Records changes of the quarantine.
    pub fn record(&self, changes: &QuarantineChanges, now: Timestamp) {
        if changes.is_empty() {
            return;
        }
        let mut refused = self.refused();
        for change in &changes.requests {
            refused.apply_request_change(change, now);
        }
        for change in &changes.parts {
            refused.apply_part_change(change, now);
        }
        drop(refused);
        self.shared.changed.notify(usize::MAX);
    }

    /// Waits until a request or a part of its prompt is quarantined; returns until when it is.
    pub async fn wait_for_quarantine(
        &self,
        request: RequestDigest,
        parts: &SharedParts,
    ) -> Timestamp {
        loop {
            let changed = self.shared.changed.listen();
            if let Some(until) = self.refused_until(request, parts) {
                return until;
            }
            changed.await;
        }
    }

    /// The parts for which a request with this prompt is refused.
    pub fn quarantined_parts(&self, parts: &SharedParts) -> Option<QuarantinedParts> {
        let refused = self.refused();
        let mut listed = refused.parts.iter();
        let found = listed.find(|(quarantined, _)| quarantined.matches(parts));
        found.map(|(quarantined, _)| quarantined.clone())
    }

    fn refused_until(&self, request: RequestDigest, parts: &SharedParts) -> Option<Timestamp> {
        let refused = self.refused();
        let matching = refused.parts.iter();
        let matching = matching.filter(|(quarantined, _)| quarantined.matches(parts));
        let by_part = matching.map(|(_, until)| *until);
        let by_request = refused.requests.get(&request).copied();
        by_request.into_iter().chain(by_part).max()
    }

    fn refused(&self) -> MutexGuard<'_, Refused> {
        let refused = self.shared.refused.lock();
        refused.unwrap_or_else(PoisonError::into_inner)
    }
}
