//! Checks of old leases with their owners, and the move of leases to other holders.

use crate::held_cells::LEASE_CHECK_INTERVAL;
use crate::message::{AttemptId, Message};
use crate::node::Node;
use crate::request::Phase;
use eiderferry_admission::{Observation, Ticket};
use eiderferry_membership::Health;
use eiderferry_types::{CellId, NodeId, Span};
use std::collections::BTreeMap;

/// Age from which on a lease is checked with its owner.
const LEASE_CHECK_AGE: Span = Span::from_milliseconds(30_000);
/// Maximum number of leases in one check message.
const LEASES_PER_CHECK: usize = 64;

impl Node {
    pub(crate) fn check_leases_if_due(&mut self, cell: CellId) {
        let now = self.now;
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        if now < held.next_lease_check {
            return;
        }
        held.next_lease_check = now + LEASE_CHECK_INTERVAL;
        let old = held.cell.leases_older_than(now, LEASE_CHECK_AGE);
        self.send_lease_checks(cell, &old);
    }

    pub(crate) fn send_lease_checks(&mut self, cell: CellId, tickets: &[Ticket]) {
        let mut by_owner: BTreeMap<NodeId, Vec<AttemptId>> = BTreeMap::new();
        for ticket in tickets {
            let attempt_id = AttemptId {
                sequence: ticket.request.sequence,
                attempt: ticket.attempt,
            };
            by_owner
                .entry(ticket.request.node)
                .or_default()
                .push(attempt_id);
        }
        for (owner, attempt_ids) in by_owner {
            for chunk in attempt_ids.chunks(LEASES_PER_CHECK) {
                let attempt_ids = chunk.to_vec();
                self.send(owner, Message::CheckLeases { cell, attempt_ids });
            }
        }
    }

    /// Releases those of a holder's leases that are no longer in use. Leases that moved to
    /// another holder while this one was paused are still in use, and are moved back first.
    pub(crate) fn handle_check_leases(
        &mut self,
        from: NodeId,
        cell: CellId,
        attempt_ids: Vec<AttemptId>,
    ) {
        self.move_leases_to_current_holders();
        for attempt_id in attempt_ids {
            let in_use = self
                .requests
                .get(&attempt_id.sequence)
                .is_some_and(|request| {
                    let uses_holder = matches!(
                        &request.phase,
                        Phase::Running { holder, .. } if *holder == from
                    );
                    request.attempt == attempt_id.attempt && uses_holder
                });
            if !in_use {
                self.release(from, cell, attempt_id, Observation::UNUSED);
            }
        }
    }

    /// Moves the leases of this node's running requests to the cells' current holders.
    pub(crate) fn move_leases_to_current_holders(&mut self) {
        let mut moves = Vec::new();
        for (sequence, request) in &self.requests {
            let Phase::Running { cell, holder, .. } = &request.phase else {
                continue;
            };
            let current = self.fleet.holder(*cell, self.now);
            if let Some(current) = current.filter(|current| current != holder) {
                moves.push((*sequence, *cell, *holder, current));
            }
        }
        for (sequence, cell, previous, current) in moves {
            self.register_with(sequence, current);
            let attempt = self.requests[&sequence].attempt;
            let attempt_id = AttemptId { sequence, attempt };
            // A suspected holder may come back and be the holder again. Its lease isn't
            // released; it is moved back then or found by a lease check.
            let is_suspected = self.fleet.detector.health(previous, self.now) == Health::Suspected;
            if !is_suspected {
                self.release(previous, cell, attempt_id, Observation::UNUSED);
            }
        }
    }

    /// Registers the requests that run on a restarted holder's leases with it again.
    pub(crate) fn register_all_with(&mut self, node: NodeId) {
        let sequences: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(&request.phase, Phase::Running { holder, .. } if *holder == node)
            })
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in sequences {
            self.register_with(sequence, node);
        }
    }

    fn register_with(&mut self, sequence: u64, node: NodeId) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let attempt_id = AttemptId {
            sequence,
            attempt: request.attempt,
        };
        let Phase::Running {
            cell,
            holder,
            back_end,
        } = &mut request.phase
        else {
            return;
        };
        *holder = node;
        let message = Message::Register {
            attempt_id,
            cell: *cell,
            class: request.submission.class,
            tenant: request.submission.tenant,
            prompt_tokens: request.submission.prompt_tokens,
            back_end: *back_end,
        };
        self.send(node, message);
    }
}
