//! What holders answer: grants, places in a queue, refusals.

use super::{RETRY_ELSEWHERE, final_refusal};
use crate::decision::Step;
use crate::message::{AttemptName, DocumentKind};
use crate::node::Node;
use crate::output::{Dispatch, Output};
use crate::request::{AskedElsewhere, Asking, Phase};
use eiderferry_admission::Observation;
use eiderferry_types::{BackEndId, CellId, NodeId, Reason, Refusal, Span};

/// Pause before asking again when the holder is not clear.
const BACK_OFF: Span = Span::from_milliseconds(20);
/// An order to dispatch is void after this long.
const DISPATCH_VALIDITY: Span = Span::from_milliseconds(1_000);
/// Estimated wait from which a free slot elsewhere is worth the way.
const SPILL_WAIT_MS: u32 = 250;
/// How long a refusal by a cell elsewhere keeps its class from asking there again.
const SATURATION_TIME: Span = Span::from_milliseconds(250);

impl Node {
    pub(crate) fn handle_grant(
        &mut self,
        from: NodeId,
        name: AttemptName,
        back_end: BackEndId,
        free: u32,
    ) {
        let sequence = name.sequence;
        let entry = self.catalog.back_end(back_end).copied();
        if let Some(entry) = entry {
            self.free_slots.insert(entry.cell, (free, self.now));
        }
        let Some(asking) = self.take_granted_asking(from, name) else {
            self.refuse_stale_grant(from, name, back_end);
            return;
        };
        let usable =
            entry.filter(|entry| !entry.leaving && self.now < self.requests[&sequence].due);
        let Some(entry) = usable else {
            self.release(from, asking.cell, name, Observation::UNUSED);
            self.ping(from);
            let refusal = Refusal::not_run(Reason::NoBackEnd, Some(RETRY_ELSEWHERE));
            self.try_elsewhere(sequence, asking.cell, refusal);
            return;
        };
        let now = self.now;
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.phase = Phase::Running {
            cell: asking.cell,
            holder: from,
            back_end,
        };
        request.dispatched = now;
        let after = now.since(request.arrived);
        let delivered_tokens = request.delivered_tokens;
        self.note_step(
            sequence,
            Step::Dispatched {
                cell: asking.cell,
                back_end,
                after,
            },
        );
        let request = self.request_id(sequence);
        self.emit(Output::Dispatch(Dispatch {
            request,
            attempt: name.attempt,
            back_end,
            address: entry.address,
            dispatch_by: now + DISPATCH_VALIDITY,
            delivered_tokens,
        }));
    }

    /// The ask that a grant from this node answers. If there are two, at home and
    /// elsewhere, the other one is taken back.
    pub(super) fn take_granted_asking(
        &mut self,
        from: NodeId,
        name: AttemptName,
    ) -> Option<Asking> {
        let asking = self.open_asking(name)?;
        if asking.holder == from {
            if let Some(other) = asking.elsewhere {
                self.release(other.holder, other.cell, name, Observation::UNUSED);
            }
            return Some(asking);
        }
        let elsewhere = asking
            .elsewhere
            .filter(|elsewhere| elsewhere.holder == from)?;
        self.release(asking.holder, asking.cell, name, Observation::UNUSED);
        let refusal = Refusal::not_run(Reason::DeadlineUnreachable, Some(RETRY_ELSEWHERE));
        self.note_step(
            name.sequence,
            Step::Spilled {
                from: asking.cell,
                refusal,
            },
        );
        Some(Asking {
            cell: elsewhere.cell,
            holder: from,
            elsewhere: None,
            ..asking
        })
    }

    /// Gives back a slot that came too late, unless it is the one in use.
    pub(super) fn refuse_stale_grant(
        &mut self,
        from: NodeId,
        name: AttemptName,
        back_end: BackEndId,
    ) {
        let running = self.requests.get(&name.sequence).is_some_and(|request| {
            let same_attempt = request.attempt == name.attempt;
            let same_place = matches!(
                &request.phase,
                Phase::Running { holder, back_end: used, .. } if *holder == from && *used == back_end
            );
            same_attempt && same_place
        });
        if running {
            return;
        }
        if let Some(entry) = self.catalog.back_end(back_end).copied() {
            self.release(from, entry.cell, name, Observation::UNUSED);
        }
    }

    pub(super) fn open_asking(&self, name: AttemptName) -> Option<Asking> {
        let request = self.requests.get(&name.sequence)?;
        match &request.phase {
            Phase::Asking(asking) if request.attempt == name.attempt => Some(asking.clone()),
            _ => None,
        }
    }

    pub(super) fn current_asking(&self, from: NodeId, name: AttemptName) -> Option<Asking> {
        self.open_asking(name)
            .filter(|asking| asking.holder == from)
    }

    pub(crate) fn handle_queued(&mut self, from: NodeId, name: AttemptName, wait_ms: u32) {
        let Some(asking) = self.current_asking(from, name) else {
            return;
        };
        let sequence = name.sequence;
        self.free_slots.insert(asking.cell, (0, self.now));
        if !asking.queued {
            let estimate = Span::from_milliseconds(u64::from(wait_ms));
            self.note_step(
                sequence,
                Step::Waiting {
                    cell: asking.cell,
                    estimate,
                },
            );
        }
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::Asking(current) = &mut request.phase
        {
            current.queued = true;
            current.unanswered = 0;
        }
        if wait_ms >= SPILL_WAIT_MS && asking.cell.zone == self.identity.zone {
            self.look_elsewhere(sequence, &asking);
        }
    }

    /// Asks for a slot in a cell that lately had some that nobody waited for, while
    /// keeping the place in the queue at home.
    pub(super) fn look_elsewhere(&mut self, sequence: u64, asking: &Asking) {
        let asked_lately = asking
            .elsewhere
            .is_some_and(|elsewhere| self.now.since(elsewhere.sent) < SATURATION_TIME);
        if asked_lately {
            return;
        }
        let request = &self.requests[&sequence];
        let candidates = self
            .catalog
            .cells_of_pool(request.submission.pool)
            .flat_map(|(_, cells)| cells.iter().copied())
            .filter(|cell| *cell != asking.cell && self.catalog.is_served(*cell))
            .filter(|cell| !self.is_saturated(*cell, request));
        let Some(cell) = candidates.max_by_key(|cell| self.believed_free_slots(*cell)) else {
            return;
        };
        let free = self.believed_free_slots(cell);
        let Some(holder) = self.fleet.holder(cell, self.now).filter(|_| free > 0) else {
            return;
        };
        if let Some((free, _)) = self.free_slots.get_mut(&cell) {
            *free = free.saturating_sub(1);
        }
        let sent = self.now;
        if let Some(request) = self.requests.get_mut(&sequence)
            && let Phase::Asking(current) = &mut request.phase
        {
            current.elsewhere = Some(AskedElsewhere { cell, holder, sent });
        }
        let message = self.ask_message(sequence, cell, false);
        self.send(holder, message);
    }

    pub(crate) fn handle_refuse(
        &mut self,
        from: NodeId,
        name: AttemptName,
        reason: Reason,
        retry_after_ms: u32,
    ) {
        let Some(asking) = self.open_asking(name) else {
            return;
        };
        if let Some(elsewhere) = asking
            .elsewhere
            .filter(|elsewhere| elsewhere.holder == from)
        {
            self.note_saturated(elsewhere.cell, name.sequence);
            if asking.holder != from {
                return;
            }
        }
        if asking.holder != from {
            return;
        }
        let retry_after =
            (retry_after_ms > 0).then(|| Span::from_milliseconds(u64::from(retry_after_ms)));
        let refusal = Refusal::not_run(reason, retry_after);
        self.note_saturated(asking.cell, name.sequence);
        self.try_elsewhere(name.sequence, asking.cell, refusal);
    }

    pub(super) fn note_saturated(&mut self, cell: CellId, sequence: u64) {
        let class = self.requests[&sequence].submission.class;
        let until = self.now + SATURATION_TIME;
        self.saturated.insert((cell, class), until);
        self.free_slots.insert(cell, (0, self.now));
    }

    /// Notes that a cell can't serve the request and asks the next one.
    pub(super) fn try_elsewhere(&mut self, sequence: u64, cell: CellId, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.refused_by.push((cell, refusal));
        if worth_asking_elsewhere(refusal.reason) {
            self.note_step(
                sequence,
                Step::Spilled {
                    from: cell,
                    refusal,
                },
            );
            self.ask(sequence);
            return;
        }
        let refusal = final_refusal(&self.requests[&sequence], refusal.reason);
        self.reject(sequence, refusal);
    }

    pub(crate) fn handle_ask_again(
        &mut self,
        from: NodeId,
        name: AttemptName,
        directory: u64,
        living_holder: Option<NodeId>,
    ) {
        if let Some(holder) = living_holder {
            self.fleet.detector.pardon(holder);
        }
        if directory > self.directory.version() {
            self.fetch(from, DocumentKind::Directory);
        }
        if self.current_asking(from, name).is_none() {
            return;
        }
        let until = self.now + BACK_OFF;
        if let Some(request) = self.requests.get_mut(&name.sequence) {
            request.phase = Phase::BackingOff { until };
        }
    }

    /// Gives up a place in a queue, if the request has one.
    pub(crate) fn leave_queue(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let name = AttemptName {
            sequence,
            attempt: request.attempt,
        };
        if let Phase::Asking(asking) = request.phase.clone() {
            self.release(asking.holder, asking.cell, name, Observation::UNUSED);
            if let Some(other) = asking.elsewhere {
                self.release(other.holder, other.cell, name, Observation::UNUSED);
            }
        }
    }

    /// Ends a request without an answer. What earlier attempts may have done
    /// outweighs what the last refusal says.
    pub(crate) fn reject(&mut self, sequence: u64, refusal: Refusal) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let own_verdict = request.verdict;
        let refusal = Refusal {
            verdict: refusal.verdict.max(own_verdict),
            ..refusal
        };
        let class = request.submission.class;
        self.counts.entry(class).or_default().refused += 1;
        self.note_step(sequence, Step::Refused { refusal });
        self.settle_key(sequence, own_verdict);
        self.requests.remove(&sequence);
        let request = self.request_id(sequence);
        self.emit(Output::Reject { request, refusal });
    }
}

/// Whether another cell may be able to serve what one refused.
fn worth_asking_elsewhere(reason: Reason) -> bool {
    !matches!(
        reason,
        Reason::TenantConcurrency | Reason::TenantTokenRate | Reason::DeadlinePassed
    )
}
