//! Handling of holders' replies to slot requests: grants, queue places and refusals.

use super::{DEFAULT_RETRY_AFTER, final_refusal};
use crate::decision::Step;
use crate::message::{AttemptId, DocumentKind};
use crate::node::Node;
use crate::output::{Dispatch, Output};
use crate::request::{AlternativeSlotRequest, Phase, SlotRequest};
use eiderferry_admission::Observation;
use eiderferry_types::{BackEndId, CellId, NodeId, Reason, Refusal, Span};

/// Delay before a slot request is resubmitted when a node has asked for that.
const RESUBMIT_DELAY: Span = Span::from_milliseconds(20);
/// Time for which an instruction to dispatch is valid.
const DISPATCH_VALIDITY: Span = Span::from_milliseconds(1_000);
/// Estimated wait in milliseconds from which on a free slot in another cell is requested.
const SPILL_WAIT_MS: u32 = 250;
/// Time for which a cell that refused a class gets no request of that class from another
/// zone or as an alternative; also the least time between two alternatives of a request.
const SATURATION_TIME: Span = Span::from_milliseconds(250);

impl Node {
    pub(crate) fn handle_grant(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
        back_end: BackEndId,
        free: u32,
    ) {
        let sequence = attempt_id.sequence;
        let entry = self.catalog.back_end(back_end).copied();
        if let Some(entry) = entry {
            self.free_slots.insert(entry.cell, (free, self.now));
        }
        let Some(slot_request) = self.resolve_grant(from, attempt_id) else {
            self.release_stale_grant(from, attempt_id, back_end);
            return;
        };
        let usable =
            entry.filter(|entry| !entry.leaving && self.now < self.requests[&sequence].due);
        let Some(entry) = usable else {
            self.release(from, slot_request.cell, attempt_id, Observation::UNUSED);
            self.ping(from);
            let refusal = Refusal::not_run(Reason::NoBackEnd, Some(DEFAULT_RETRY_AFTER));
            self.try_next_cell(sequence, slot_request.cell, refusal);
            return;
        };
        let now = self.now;
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.phase = Phase::Running {
            cell: slot_request.cell,
            holder: from,
            back_end,
        };
        request.dispatched_at = now;
        let after = now.since(request.arrived_at);
        let delivered_tokens = request.delivered_tokens;
        self.record_step(
            sequence,
            Step::Dispatched {
                cell: slot_request.cell,
                back_end,
                after,
            },
        );
        let request = self.request_id(sequence);
        self.emit(Output::Dispatch(Dispatch {
            request,
            attempt: attempt_id.attempt,
            back_end,
            address: entry.address,
            dispatch_by: now + DISPATCH_VALIDITY,
            delivered_tokens,
        }));
    }

    /// Returns the slot request that a grant from this node belongs to. If the request has
    /// an alternative in another cell, the one that wasn't granted is released.
    pub(super) fn resolve_grant(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
    ) -> Option<SlotRequest> {
        let slot_request = self.open_slot_request(attempt_id)?;
        if slot_request.holder == from {
            if let Some(other) = slot_request.alternative {
                self.release(other.holder, other.cell, attempt_id, Observation::UNUSED);
            }
            return Some(slot_request);
        }
        let alternative = slot_request
            .alternative
            .filter(|alternative| alternative.holder == from)?;
        self.release(
            slot_request.holder,
            slot_request.cell,
            attempt_id,
            Observation::UNUSED,
        );
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, Some(DEFAULT_RETRY_AFTER));
        self.record_step(
            attempt_id.sequence,
            Step::Spilled {
                from: slot_request.cell,
                refusal,
            },
        );
        Some(SlotRequest {
            cell: alternative.cell,
            holder: from,
            alternative: None,
            ..slot_request
        })
    }

    /// Releases a slot that was granted too late, unless it is the one in use.
    pub(super) fn release_stale_grant(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
        back_end: BackEndId,
    ) {
        let is_in_use = self.requests.get(&attempt_id.sequence).is_some_and(|request| {
            let same_attempt = request.attempt == attempt_id.attempt;
            let same_lease = matches!(
                &request.phase,
                Phase::Running { holder, back_end: used, .. } if *holder == from && *used == back_end
            );
            same_attempt && same_lease
        });
        if is_in_use {
            return;
        }
        if let Some(entry) = self.catalog.back_end(back_end).copied() {
            self.release(from, entry.cell, attempt_id, Observation::UNUSED);
        }
    }

    pub(super) fn open_slot_request(&self, attempt_id: AttemptId) -> Option<SlotRequest> {
        let request = self.requests.get(&attempt_id.sequence)?;
        match &request.phase {
            Phase::RequestingSlot(slot_request) if request.attempt == attempt_id.attempt => {
                Some(slot_request.clone())
            }
            _ => None,
        }
    }

    pub(super) fn open_slot_request_to(
        &self,
        from: NodeId,
        attempt_id: AttemptId,
    ) -> Option<SlotRequest> {
        self.open_slot_request(attempt_id)
            .filter(|slot_request| slot_request.holder == from)
    }

    pub(crate) fn handle_queued(&mut self, from: NodeId, attempt_id: AttemptId, wait_ms: u32) {
        let Some(slot_request) = self.open_slot_request_to(from, attempt_id) else {
            return;
        };
        let sequence = attempt_id.sequence;
        self.free_slots.insert(slot_request.cell, (0, self.now));
        if !slot_request.queued {
            let estimate = Span::from_milliseconds(u64::from(wait_ms));
            self.record_step(
                sequence,
                Step::Waiting {
                    cell: slot_request.cell,
                    estimate,
                },
            );
        }
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::RequestingSlot(current) = &mut request.phase
        {
            current.queued = true;
            current.unanswered_resends = 0;
        }
        if wait_ms >= SPILL_WAIT_MS && slot_request.cell.zone == self.identity.zone {
            self.request_alternative(sequence, &slot_request);
        }
    }

    /// Requests a slot in another cell that has recently reported free ones, while the
    /// request keeps its place in the queue.
    pub(super) fn request_alternative(&mut self, sequence: u64, slot_request: &SlotRequest) {
        let was_sent_recently = slot_request
            .alternative
            .is_some_and(|alternative| self.now.since(alternative.sent_at) < SATURATION_TIME);
        if was_sent_recently {
            return;
        }
        let request = &self.requests[&sequence];
        let candidates = self
            .catalog
            .cells_of_pool(request.submission.pool)
            .flat_map(|(_, cells)| cells.iter().copied())
            .filter(|cell| *cell != slot_request.cell && self.catalog.is_served(*cell))
            .filter(|cell| !self.is_saturated(*cell, request));
        let Some(cell) = candidates.max_by_key(|cell| self.known_free_slots(*cell)) else {
            return;
        };
        let free = self.known_free_slots(cell);
        let Some(holder) = self.fleet.holder(cell, self.now).filter(|_| free > 0) else {
            return;
        };
        if let Some((free, _)) = self.free_slots.get_mut(&cell) {
            *free = free.saturating_sub(1);
        }
        let sent_at = self.now;
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::RequestingSlot(current) = &mut request.phase
        {
            current.alternative = Some(AlternativeSlotRequest {
                cell,
                holder,
                sent_at,
            });
        }
        let message = self.slot_request_message(sequence, cell, false);
        self.send(holder, message);
    }

    pub(crate) fn handle_refuse(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
        reason: Reason,
        retry_after_ms: u32,
    ) {
        let Some(slot_request) = self.open_slot_request(attempt_id) else {
            return;
        };
        if let Some(alternative) = slot_request
            .alternative
            .filter(|alternative| alternative.holder == from)
        {
            self.record_saturated(alternative.cell, attempt_id.sequence);
            if slot_request.holder != from {
                return;
            }
        }
        if slot_request.holder != from {
            return;
        }
        let retry_after =
            (retry_after_ms > 0).then(|| Span::from_milliseconds(u64::from(retry_after_ms)));
        let refusal = Refusal::not_run(reason, retry_after);
        self.record_saturated(slot_request.cell, attempt_id.sequence);
        self.try_next_cell(attempt_id.sequence, slot_request.cell, refusal);
    }

    pub(super) fn record_saturated(&mut self, cell: CellId, sequence: u64) {
        let class = self.requests[&sequence].submission.class;
        let until = self.now + SATURATION_TIME;
        self.saturated_until.insert((cell, class), until);
        self.free_slots.insert(cell, (0, self.now));
    }

    /// Records that a cell can't serve the request, and tries the next one if that may
    /// help.
    pub(super) fn try_next_cell(&mut self, sequence: u64, cell: CellId, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.refused_by.push((cell, refusal));
        if may_other_cell_serve(refusal.reason) {
            self.record_step(
                sequence,
                Step::Spilled {
                    from: cell,
                    refusal,
                },
            );
            self.request_slot(sequence);
            return;
        }
        let refusal = final_refusal(&self.requests[&sequence], refusal.reason);
        self.reject(sequence, refusal);
    }

    pub(crate) fn handle_resubmit(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
        directory: u64,
        live_holder: Option<NodeId>,
    ) {
        if let Some(holder) = live_holder {
            self.fleet.detector.clear_suspicion(holder);
        }
        if directory > self.directory.version() {
            self.fetch(from, DocumentKind::Directory);
        }
        if self.open_slot_request_to(from, attempt_id).is_none() {
            return;
        }
        let until = self.now + RESUBMIT_DELAY;
        if let Some(request) = self.requests.get_mut(&attempt_id.sequence) {
            request.phase = Phase::BackingOff { until };
        }
    }

    /// Releases the slots or queue places that the request may have been given and doesn't
    /// use yet.
    pub(crate) fn cancel_slot_request(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let attempt_id = AttemptId {
            sequence,
            attempt: request.attempt,
        };
        if let Phase::RequestingSlot(slot_request) = request.phase.clone() {
            self.release(
                slot_request.holder,
                slot_request.cell,
                attempt_id,
                Observation::UNUSED,
            );
            if let Some(other) = slot_request.alternative {
                self.release(other.holder, other.cell, attempt_id, Observation::UNUSED);
            }
        }
    }

    /// Ends a request with a refusal. The verdict sent to the caller is the stronger one of
    /// the refusal's and those of earlier attempts.
    pub(crate) fn reject(&mut self, sequence: u64, refusal: Refusal) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let earlier_verdict = request.verdict;
        let refusal = Refusal {
            verdict: refusal.verdict.max(earlier_verdict),
            ..refusal
        };
        let class = request.submission.class;
        self.counts.entry(class).or_default().refused += 1;
        self.record_step(sequence, Step::Refused { refusal });
        self.settle_key(sequence, earlier_verdict);
        self.requests.remove(&sequence);
        let request = self.request_id(sequence);
        self.emit(Output::Reject { request, refusal });
    }
}

/// Whether another cell may be able to serve a request that one refused for this reason.
fn may_other_cell_serve(reason: Reason) -> bool {
    !matches!(
        reason,
        Reason::TenantConcurrency | Reason::TenantTokenRate | Reason::DeadlinePassed
    )
}
