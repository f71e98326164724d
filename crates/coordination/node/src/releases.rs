//! Releases of slots and queue places, resent until the holder acknowledges them.

use crate::message::{AttemptId, Message};
use crate::node::Node;
use eiderferry_admission::Observation;
use eiderferry_types::{CellId, NodeId, Span, Timestamp};
use std::collections::BTreeMap;

/// Time after which an unacknowledged release is first resent; doubles with each resend.
const FIRST_RESEND_DELAY: Span = Span::from_milliseconds(200);
/// Times that a release is sent; after that the holder's lease check has to find the
/// unused lease.
const MAX_SENDS: u32 = 6;

#[derive(Clone, Debug)]
struct PendingRelease {
    cell: CellId,
    observation: Observation,
    next_send: Timestamp,
    sends: u32,
}

/// Releases that their holders haven't acknowledged yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Releases {
    pending: BTreeMap<(NodeId, AttemptId), PendingRelease>,
}

impl Releases {
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn acknowledge(&mut self, holder: NodeId, attempt_id: AttemptId) {
        self.pending.remove(&(holder, attempt_id));
    }

    /// Drops the releases for a node that restarted and so has lost its leases.
    pub fn remove_holder(&mut self, holder: NodeId) {
        self.pending.retain(|(node, _), _| *node != holder);
    }

    fn take_due(&mut self, now: Timestamp) -> Vec<(NodeId, Message)> {
        let mut messages = Vec::new();
        self.pending.retain(|(holder, attempt_id), release| {
            if now < release.next_send {
                return true;
            }
            if release.sends >= MAX_SENDS {
                return false;
            }
            release.next_send = now + Span(FIRST_RESEND_DELAY.0 << release.sends);
            release.sends += 1;
            let message = Message::Release {
                attempt_id: *attempt_id,
                cell: release.cell,
                observation: release.observation,
            };
            messages.push((*holder, message));
            true
        });
        messages
    }
}

impl Node {
    /// Releases a slot or a place in a queue.
    pub(crate) fn release(
        &mut self,
        holder: NodeId,
        cell: CellId,
        attempt_id: AttemptId,
        observation: Observation,
    ) {
        self.send(
            holder,
            Message::Release {
                attempt_id,
                cell,
                observation,
            },
        );
        if holder == self.identity.node {
            return;
        }
        let pending_release = PendingRelease {
            cell,
            observation,
            next_send: self.now + FIRST_RESEND_DELAY,
            sends: 1,
        };
        self.releases
            .pending
            .insert((holder, attempt_id), pending_release);
    }

    pub(crate) fn resend_releases(&mut self) {
        for (holder, message) in self.releases.take_due(self.now) {
            self.send(holder, message);
        }
    }
}
