//! Requests for slots, and the choice of the cell.

use super::{DEFAULT_RETRY_AFTER, final_refusal};
use crate::decision::Step;
use crate::message::{AttemptId, Message};
use crate::node::Node;
use crate::request::{LocalRequest, Phase, SlotRequest};
use eiderferry_membership::Health;
use eiderferry_types::{CellId, NodeId, Reason, Refusal, Span};
use rand::seq::{IndexedRandom, SliceRandom};

/// Time after which a slot request without any reply is resent.
const SLOT_REQUEST_RESEND: Span = Span::from_milliseconds(120);
/// Times that a slot request is sent again without a reply before the holder is suspected.
const MAX_UNANSWERED_RESENDS: u32 = 2;
/// Shortest time between two slot requests that keep a place in a queue.
const MIN_KEEPALIVE_INTERVAL: Span = Span::from_milliseconds(150);
/// Longest time between two slot requests that keep a place in a queue.
const MAX_KEEPALIVE_INTERVAL: Span = Span::from_milliseconds(3_000);
/// Age up to which reported free slots are used.
const FREE_SLOTS_LIFETIME: Span = Span::from_milliseconds(1_500);
/// Maximum number of cells tried for one attempt.
const MAX_CELLS_PER_ATTEMPT: usize = 4;
/// Cells of the own zone chosen at random as alternatives to the preferred one.
const RANDOM_CANDIDATES: usize = 2;

impl Node {
    /// Requests a slot from the next suitable cell, or rejects the request if there is none
    /// or its time has run out.
    pub(crate) fn request_slot(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if self.now >= request.due {
            let refusal = final_refusal(request, Reason::DeadlinePassed);
            self.reject(sequence, refusal);
            return;
        }
        let Some(cell) = self.choose_cell(sequence) else {
            let refusal = final_refusal(&self.requests[&sequence], Reason::NoBackEnd);
            self.reject(sequence, refusal);
            return;
        };
        match self.fleet.holder(cell, self.now) {
            Some(holder) => self.request_slot_from(sequence, cell, holder),
            None => {
                let refusal =
                    Refusal::not_run(Reason::HolderUnreachable, Some(DEFAULT_RETRY_AFTER));
                self.try_next_cell(sequence, cell, refusal);
            }
        }
    }

    pub(super) fn request_slot_from(&mut self, sequence: u64, cell: CellId, holder: NodeId) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.phase = Phase::RequestingSlot(SlotRequest {
                cell,
                holder,
                sent_at: now,
                unanswered_resends: 0,
                queued: false,
                alternative: None,
            });
        }
        self.record_step(sequence, Step::SlotRequested { cell, holder });
        self.send_slot_request(sequence);
    }

    pub(super) fn send_slot_request(&mut self, sequence: u64) {
        let now = self.now;
        let own_zone = self.identity.zone;
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Phase::RequestingSlot(slot_request) = &mut request.phase else {
            return;
        };
        slot_request.sent_at = now;
        let (holder, cell) = (slot_request.holder, slot_request.cell);
        // A request waits only in queues of the own zone if that serves its pool.
        // Elsewhere it gets a slot immediately or none, so that it doesn't miss its turn
        // in the own zone.
        let may_wait = cell.zone == own_zone || !self.is_served_in_own_zone(sequence);
        let message = self.slot_request_message(sequence, cell, may_wait);
        self.send(holder, message);
    }

    pub(super) fn is_served_in_own_zone(&self, sequence: u64) -> bool {
        let pool = self.requests[&sequence].submission.pool;
        self.catalog
            .cells_of_pool(pool)
            .filter(|(zone, _)| *zone == self.identity.zone)
            .any(|(_, cells)| cells.iter().any(|cell| self.catalog.is_served(*cell)))
    }

    pub(super) fn slot_request_message(
        &self,
        sequence: u64,
        cell: CellId,
        may_wait: bool,
    ) -> Message {
        let request = &self.requests[&sequence];
        Message::RequestSlot {
            attempt_id: AttemptId {
                sequence,
                attempt: request.attempt,
            },
            cell,
            class: request.submission.class,
            tenant: request.submission.tenant,
            prompt_tokens: request.submission.prompt_tokens + request.delivered_tokens,
            prefixes: request.submission.prefixes.clone(),
            due_in_ms: self.now.until(request.due).milliseconds() as u32,
            may_wait,
        }
    }

    /// Chooses the next cell: one of the own zone while any is left, then the one with the
    /// most free slots.
    pub(super) fn choose_cell(&mut self, sequence: u64) -> Option<CellId> {
        let request = &self.requests[&sequence];
        if request.refused_by.len() >= MAX_CELLS_PER_ATTEMPT {
            return None;
        }
        let is_eligible = |cell: &CellId| {
            let has_refused = request
                .refused_by
                .iter()
                .any(|(refusing, _)| refusing == cell);
            !has_refused && self.catalog.is_served(*cell)
        };
        let mut own_zone_cells = Vec::new();
        let mut remote_cells = Vec::new();
        for (zone, cells) in self.catalog.cells_of_pool(request.submission.pool) {
            let eligible = cells.iter().copied().filter(is_eligible);
            if zone == self.identity.zone {
                own_zone_cells.extend(eligible);
            } else {
                remote_cells.extend(eligible.filter(|cell| !self.is_saturated(*cell, request)));
            }
        }
        if own_zone_cells.is_empty() {
            remote_cells.shuffle(&mut self.random);
            return remote_cells
                .into_iter()
                .max_by_key(|cell| self.known_free_slots(*cell));
        }
        Some(self.choose_own_zone_cell(sequence, &own_zone_cells))
    }

    /// Chooses among cells of the own zone: the one where the prompt's prefix is probably
    /// cached, or, if that one is known to have no free slots, the one with the most among
    /// it and two chosen at random. Cells without a report count as having one.
    pub(super) fn choose_own_zone_cell(&mut self, sequence: u64, cells: &[CellId]) -> CellId {
        let request = &self.requests[&sequence];
        let mut candidates: Vec<CellId> = Vec::with_capacity(1 + RANDOM_CANDIDATES);
        if let Some(prefix) = request.submission.prefixes.first() {
            candidates.push(cells[prefix.hash as usize % cells.len()]);
        }
        let random_cells = cells
            .choose_multiple(&mut self.random, RANDOM_CANDIDATES)
            .copied();
        candidates.extend(random_cells);
        let preferred = candidates[0];
        let last_known_free = |cell: CellId| self.free_slots.get(&cell).map(|(free, _)| *free);
        if last_known_free(preferred).is_none_or(|free| free > 0) {
            return preferred;
        }
        candidates
            .into_iter()
            .max_by_key(|cell| last_known_free(*cell).unwrap_or(1))
            .unwrap_or(preferred)
    }

    pub(super) fn is_saturated(&self, cell: CellId, request: &LocalRequest) -> bool {
        self.saturated_until
            .get(&(cell, request.submission.class))
            .is_some_and(|until| self.now < *until)
    }

    pub(super) fn known_free_slots(&self, cell: CellId) -> u32 {
        match self.free_slots.get(&cell) {
            Some((free, reported_at)) if self.now.since(*reported_at) <= FREE_SLOTS_LIFETIME => {
                *free
            }
            _ => 0,
        }
    }

    pub(super) fn tick_slot_request(&mut self, sequence: u64, slot_request: &SlotRequest) {
        let request = &self.requests[&sequence];
        if self.now >= request.due {
            // A holder replies before the deadline, so its reply must have been lost.
            self.cancel_slot_request(sequence);
            let refusal = final_refusal(&self.requests[&sequence], Reason::HolderUnreachable);
            self.reject(sequence, refusal);
            return;
        }
        let interval = if slot_request.queued && slot_request.unanswered_resends == 0 {
            Span(self.now.until(request.due).0 / 4)
                .clamp(MIN_KEEPALIVE_INTERVAL, MAX_KEEPALIVE_INTERVAL)
        } else {
            SLOT_REQUEST_RESEND
        };
        if self.now.since(slot_request.sent_at) < interval {
            return;
        }
        if slot_request.unanswered_resends >= MAX_UNANSWERED_RESENDS {
            self.suspect_holder(sequence, slot_request);
            return;
        }
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::RequestingSlot(current) = &mut request.phase
        {
            current.unanswered_resends += 1;
        }
        self.send_slot_request(sequence);
    }

    /// Handles a holder that doesn't reply: if it is suspected by now, the request turns to
    /// the node that replaces it; otherwise the slot request is resent.
    pub(super) fn suspect_holder(&mut self, sequence: u64, slot_request: &SlotRequest) {
        self.fleet
            .detector
            .record_missed_reply(slot_request.holder, self.now);
        if self.fleet.detector.health(slot_request.holder, self.now) == Health::Reachable {
            self.send_slot_request(sequence);
            return;
        }
        self.cancel_slot_request(sequence);
        self.move_leases_to_current_holders();
        self.request_slot(sequence);
    }
}
