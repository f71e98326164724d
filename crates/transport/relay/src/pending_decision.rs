//! A pending decision on a lease, whose requester may have been dropped when it arrives.
//!
//! When a caller disconnects, its request is dropped at any point, including between the message to
//! the control thread and the decision. A lease granted then has no holder that would release it.

use crate::control::ControlHandle;
use crate::events;
use async_channel::Receiver;
use eiderferry_dispatch::{Decision, LeaseId, Outcome, StreamPacing};

/// A decision that is pending. If it is dropped before it was received, a granted lease is
/// released.
pub(crate) struct PendingDecision {
    receiver: Receiver<Decision>,
    control: ControlHandle,
}

impl PendingDecision {
    pub fn new(receiver: Receiver<Decision>, control: ControlHandle) -> Self {
        Self { receiver, control }
    }

    /// Waits for the decision; `None` if the control thread has ended.
    pub async fn receive(self) -> Option<Decision> {
        self.receiver.recv().await.ok()
    }
}

impl Drop for PendingDecision {
    fn drop(&mut self) {
        // After closing, the decision is either in the channel or returned to the control thread.
        self.receiver.close();
        let Ok(unclaimed) = self.receiver.try_recv() else {
            return;
        };
        release_unclaimed(unclaimed, |lease| {
            self.control
                .release(lease, Outcome::NotSent, StreamPacing::default());
        });
    }
}

/// Releases the lease of a decision that nobody waits for. When one lease leaked for each caller
/// that disconnected at this moment, a pool of three back ends with 6 slots refused a third of its
/// requests for as long as the nodes ran.
pub(crate) fn release_unclaimed(unclaimed: Decision, release: impl FnOnce(LeaseId)) {
    let Decision::Grant(grant) = unclaimed else {
        return;
    };
    events::lease_unclaimed(&grant.instance);
    release(grant.lease);
}
