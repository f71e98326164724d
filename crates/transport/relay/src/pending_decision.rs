//! The answer to a question for a place at a back end, whose asker may be gone when it comes.
//!
//! A caller that leaves drops its request wherever it stands, also between the question to the
//! control thread and the answer. A place granted then has no holder who would give it back.

use crate::control::ControlHandle;
use crate::events;
use async_channel::Receiver;
use eiderferry_dispatch::{Decision, LeaseId, Outcome, StreamPacing};

/// A decision that is under way. Dropped before it was taken, it gives a granted place back.
pub(crate) struct PendingDecision {
    receiver: Receiver<Decision>,
    control: ControlHandle,
}

impl PendingDecision {
    pub fn new(receiver: Receiver<Decision>, control: ControlHandle) -> Self {
        Self { receiver, control }
    }

    /// The decision; `None` if the control thread is gone.
    pub async fn receive(self) -> Option<Decision> {
        self.receiver.recv().await.ok()
    }
}

impl Drop for PendingDecision {
    fn drop(&mut self) {
        // Once closed, a decision is either here or returns to the control thread.
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

/// Gives the place of a decision back that nobody waits for any more. With one that stays
/// taken for each caller that left at this moment, a pool of three back ends with 6 slots
/// refused a third of its requests for as long as the nodes lived.
pub(crate) fn release_unclaimed(unclaimed: Decision, release: impl FnOnce(LeaseId)) {
    let Decision::Grant(grant) = unclaimed else {
        return;
    };
    events::lease_unclaimed(&grant.instance);
    release(grant.lease);
}
