//! Asking the holder of a cell for a place, and which cell is asked.

use super::{RETRY_ELSEWHERE, final_refusal};
use crate::decision::Step;
use crate::message::{AttemptName, Message};
use crate::node::Node;
use crate::request::{Asking, LocalRequest, Phase};
use eiderferry_membership::Health;
use eiderferry_types::{CellId, NodeId, Reason, Refusal, Span};
use rand::seq::{IndexedRandom, SliceRandom};

/// Time after which an ask that got no answer at all is sent again.
const ASK_RESEND: Span = Span::from_milliseconds(120);
/// Unanswered asks after which the holder is suspected.
const MAXIMUM_UNANSWERED_ASKS: u32 = 2;
/// Shortest time between two asks for a place in a queue.
const SHORTEST_KEEPALIVE: Span = Span::from_milliseconds(150);
/// Longest time between two asks for a place in a queue.
const LONGEST_KEEPALIVE: Span = Span::from_milliseconds(3_000);
/// Age up to which word of free slots elsewhere is believed.
const HINT_LIFETIME: Span = Span::from_milliseconds(1_500);
/// Cells asked for one attempt at the most.
const MAXIMUM_CELLS_PER_ATTEMPT: usize = 4;
/// Cells of the own zone drawn at random beside the preferred one.
const RANDOM_CELLS: usize = 2;

impl Node {
    /// Asks the next suitable cell for a slot, or ends the request.
    pub(crate) fn ask(&mut self, sequence: u64) {
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
            Some(holder) => self.ask_holder(sequence, cell, holder),
            None => {
                let refusal = Refusal::not_run(Reason::HolderUnreachable, Some(RETRY_ELSEWHERE));
                self.try_elsewhere(sequence, cell, refusal);
            }
        }
    }

    pub(super) fn ask_holder(&mut self, sequence: u64, cell: CellId, holder: NodeId) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.phase = Phase::Asking(Asking {
                cell,
                holder,
                sent: now,
                unanswered: 0,
                queued: false,
                elsewhere: None,
            });
        }
        self.note_step(sequence, Step::Asked { cell, holder });
        self.send_ask(sequence);
    }

    pub(super) fn send_ask(&mut self, sequence: u64) {
        let now = self.now;
        let own_zone = self.identity.zone;
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Phase::Asking(asking) = &mut request.phase else {
            return;
        };
        asking.sent = now;
        let (holder, cell) = (asking.holder, asking.cell);
        // Only the own zone's queues are waited in: elsewhere a request wants a
        // slot at once, so that it never misses its turn at home.
        let may_wait = cell.zone == own_zone || !self.is_served_at_home(sequence);
        let message = self.ask_message(sequence, cell, may_wait);
        self.send(holder, message);
    }

    pub(super) fn is_served_at_home(&self, sequence: u64) -> bool {
        let pool = self.requests[&sequence].submission.pool;
        self.catalog
            .cells_of_pool(pool)
            .filter(|(zone, _)| *zone == self.identity.zone)
            .any(|(_, cells)| cells.iter().any(|cell| self.catalog.is_served(*cell)))
    }

    pub(super) fn ask_message(&self, sequence: u64, cell: CellId, may_wait: bool) -> Message {
        let request = &self.requests[&sequence];
        Message::Ask {
            name: AttemptName {
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

    /// The cell to ask next: one of the own zone's first, then others by free slots.
    pub(super) fn choose_cell(&mut self, sequence: u64) -> Option<CellId> {
        let request = &self.requests[&sequence];
        if request.refused_by.len() >= MAXIMUM_CELLS_PER_ATTEMPT {
            return None;
        }
        let is_open = |cell: &CellId| {
            let refused = request.refused_by.iter().any(|(known, _)| known == cell);
            !refused && self.catalog.is_served(*cell)
        };
        let mut own = Vec::new();
        let mut remote = Vec::new();
        for (zone, cells) in self.catalog.cells_of_pool(request.submission.pool) {
            let open = cells.iter().copied().filter(is_open);
            if zone == self.identity.zone {
                own.extend(open);
            } else {
                remote.extend(open.filter(|cell| !self.is_saturated(*cell, request)));
            }
        }
        if own.is_empty() {
            remote.shuffle(&mut self.random);
            return remote
                .into_iter()
                .max_by_key(|cell| self.believed_free_slots(*cell));
        }
        Some(self.choose_own_cell(sequence, &own))
    }

    /// Among several cells of the own zone: the one where the prompt's prefix is
    /// likely cached, unless another of two drawn at random is known to have more
    /// free slots and that one has none.
    pub(super) fn choose_own_cell(&mut self, sequence: u64, cells: &[CellId]) -> CellId {
        let request = &self.requests[&sequence];
        let mut candidates: Vec<CellId> = Vec::with_capacity(1 + RANDOM_CELLS);
        if let Some(mark) = request.submission.prefixes.first() {
            candidates.push(cells[mark.hash as usize % cells.len()]);
        }
        let drawn = cells
            .choose_multiple(&mut self.random, RANDOM_CELLS)
            .copied();
        candidates.extend(drawn);
        let preferred = candidates[0];
        let hint = |cell: CellId| self.free_slots.get(&cell).map(|(free, _)| *free);
        if hint(preferred).is_none_or(|free| free > 0) {
            return preferred;
        }
        candidates
            .into_iter()
            .max_by_key(|cell| hint(*cell).unwrap_or(1))
            .unwrap_or(preferred)
    }

    pub(super) fn is_saturated(&self, cell: CellId, request: &LocalRequest) -> bool {
        self.saturated
            .get(&(cell, request.submission.class))
            .is_some_and(|until| self.now < *until)
    }

    pub(super) fn believed_free_slots(&self, cell: CellId) -> u32 {
        match self.free_slots.get(&cell) {
            Some((free, heard)) if self.now.since(*heard) <= HINT_LIFETIME => *free,
            _ => 0,
        }
    }

    pub(super) fn tick_asking(&mut self, sequence: u64, asking: &Asking) {
        let request = &self.requests[&sequence];
        if self.now >= request.due {
            // The holder gives its word before the deadline: it has been lost.
            self.leave_queue(sequence);
            let refusal = final_refusal(&self.requests[&sequence], Reason::HolderUnreachable);
            self.reject(sequence, refusal);
            return;
        }
        let interval = if asking.queued && asking.unanswered == 0 {
            Span(self.now.until(request.due).0 / 4).clamp(SHORTEST_KEEPALIVE, LONGEST_KEEPALIVE)
        } else {
            ASK_RESEND
        };
        if self.now.since(asking.sent) < interval {
            return;
        }
        if asking.unanswered >= MAXIMUM_UNANSWERED_ASKS {
            self.suspect_holder(sequence, asking);
            return;
        }
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::Asking(current) = &mut request.phase
        {
            current.unanswered += 1;
        }
        self.send_ask(sequence);
    }

    /// The holder does not answer: if nothing else is heard of it either, the next
    /// node in order takes its place; else the ask is sent again.
    pub(super) fn suspect_holder(&mut self, sequence: u64, asking: &Asking) {
        self.fleet.detector.missed(asking.holder, self.now);
        if self.fleet.detector.health(asking.holder, self.now) == Health::Reachable {
            self.send_ask(sequence);
            return;
        }
        self.leave_queue(sequence);
        self.rehome_running();
        self.ask(sequence);
    }
}
