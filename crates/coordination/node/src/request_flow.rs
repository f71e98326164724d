//! Processing of a request on its entry node, from arrival to completion or refusal.

mod replies;
mod slot_requests;

use crate::claims::CLAIM_RESEND;
use crate::decision::Step;
use crate::message::{AttemptId, Message};
use crate::node::Node;
use crate::request::{AttemptEnd, LocalRequest, NotRepeatable, Phase, Submission};
use eiderferry_admission::Observation;
use eiderferry_types::{BackEndId, Reason, Refusal, RequestId, Span, Timestamp, Verdict};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u8 = 4;
/// Time after which a refused caller may retry where no better estimate is known.
const DEFAULT_RETRY_AFTER: Span = Span::from_milliseconds(500);

impl Node {
    /// Submits a request. The outputs that concern it carry the returned identifier.
    pub fn submit(&mut self, now: Timestamp, submission: Submission) -> RequestId {
        self.advance_clock(now);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let due = submission.first_token_due;
        let crash_refusal = self.crash_refusal(&submission);
        let has_key = matches!(submission.not_repeatable, Some(NotRepeatable::WithKey(_)));
        let request = LocalRequest {
            submission,
            arrived_at: self.now,
            dispatched_at: self.now,
            attempt: 0,
            phase: Phase::BackingOff { until: self.now },
            refused_by: Vec::new(),
            delivered_tokens: 0,
            verdict: Verdict::NotRun,
            key_granted_by: None,
            due,
        };
        let class = request.submission.class;
        self.counts.entry(class).or_default().requests += 1;
        self.requests.insert(sequence, request);
        self.record_step(sequence, Step::Arrived);
        if let Some(reason) = self.rejection_reason() {
            let verdict = if has_key {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            let retry_after = Some(DEFAULT_RETRY_AFTER);
            self.reject(
                sequence,
                Refusal {
                    verdict,
                    reason,
                    retry_after,
                },
            );
        } else if let Some(refusal) = crash_refusal {
            self.reject(sequence, refusal);
        } else if has_key {
            self.retry_budget.record_request();
            self.claim(sequence, 0);
        } else {
            self.retry_budget.record_request();
            self.request_slot(sequence);
        }
        self.process_inbox();
        self.request_id(sequence)
    }

    fn rejection_reason(&self) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }
        (!self.is_ready()).then_some(Reason::NotReady)
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, now: Timestamp, id: RequestId, attempt: u8, end: AttemptEnd) {
        self.advance_clock(now);
        let is_current = self
            .requests
            .get(&id.sequence)
            .is_some_and(|request| request.attempt == attempt);
        if is_current && id.incarnation == self.identity.incarnation {
            self.finish_attempt(id.sequence, end);
        }
        self.process_inbox();
    }

    /// Handles the disconnection of a caller whose request isn't running yet.
    pub fn caller_disconnected(&mut self, now: Timestamp, id: RequestId) {
        self.advance_clock(now);
        let sequence = id.sequence;
        self.cancel_slot_request(sequence);
        if self.requests.contains_key(&sequence) {
            self.record_step(sequence, Step::Abandoned);
            let verdict = self.requests[&sequence].verdict;
            self.settle_key(sequence, verdict);
            self.requests.remove(&sequence);
        }
        self.process_inbox();
    }

    /// Reports to the holder that a stream is slower than its class's target.
    pub fn report_slow_stream(&mut self, now: Timestamp, id: RequestId, per_token: Span) {
        self.advance_clock(now);
        let phase = self
            .requests
            .get(&id.sequence)
            .map(|request| request.phase.clone());
        if let Some(Phase::Running {
            cell,
            holder,
            back_end,
        }) = phase
        {
            self.send(
                holder,
                Message::SlowStream {
                    cell,
                    back_end,
                    per_token,
                },
            );
        }
        self.process_inbox();
    }

    fn finish_attempt(&mut self, sequence: u64, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Phase::Running {
            cell,
            holder,
            back_end,
        } = request.phase.clone()
        else {
            return;
        };
        let attempt_id = AttemptId {
            sequence,
            attempt: request.attempt,
        };
        let after = self.now.since(request.arrived_at);
        let submission = request.submission.clone();
        match end {
            AttemptEnd::Completed(observation) => {
                let tokens = request.delivered_tokens + observation.tokens;
                self.release(holder, cell, attempt_id, observation);
                self.record_success(&submission);
                self.record_completed(sequence, tokens, &observation);
                self.record_step(sequence, Step::Completed { tokens, after });
                self.settle_key(sequence, Verdict::Ran);
                self.requests.remove(&sequence);
            }
            AttemptEnd::CallerDisconnected(observation) => {
                self.release(holder, cell, attempt_id, observation);
                self.record_step(sequence, Step::Abandoned);
                self.settle_key(sequence, Verdict::MayHaveRun);
                self.requests.remove(&sequence);
            }
            AttemptEnd::Failed {
                verdict,
                observation,
                has_crashed,
            } => {
                self.release(holder, cell, attempt_id, observation);
                if has_crashed {
                    self.record_crash(&submission, back_end, &observation);
                }
                self.retry_or_reject(sequence, back_end, verdict, observation);
            }
        }
    }

    /// Retries after a failed attempt if that is safe and within the limits; rejects the
    /// request otherwise.
    fn retry_or_reject(
        &mut self,
        sequence: u64,
        back_end: BackEndId,
        verdict: Verdict,
        observation: Observation,
    ) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.verdict = request.verdict.max(verdict);
        request.delivered_tokens += observation.tokens;
        let may_retry = request.may_retry_after(verdict) && request.attempt + 1 < MAX_ATTEMPTS;
        if !may_retry {
            self.reject(
                sequence,
                refusal_for_failure(verdict, Reason::BackEndFailed),
            );
            return;
        }
        let submission = request.submission.clone();
        if let Some(refusal) = self.crash_refusal(&submission) {
            self.reject(sequence, refusal);
            return;
        }
        if !self.retry_budget.try_spend() {
            self.reject(sequence, refusal_for_failure(verdict, Reason::RetryBudget));
            return;
        }
        let target = self.first_token_target(sequence);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.attempt += 1;
        request.refused_by.clear();
        request.due = request.due.max(now + target);
        let delivered_tokens = request.delivered_tokens;
        self.record_step(
            sequence,
            Step::Retried {
                back_end,
                verdict,
                delivered_tokens,
            },
        );
        self.request_slot(sequence);
    }

    fn first_token_target(&self, sequence: u64) -> Span {
        let request = &self.requests[&sequence];
        self.configuration
            .current()
            .and_then(|configuration| configuration.class(request.submission.class))
            .map_or(Span::ZERO, |class| class.first_token_target())
    }

    /// Runs periodic work for open requests: resends claims and slot requests that got no
    /// reply, and drops expired saturation records.
    pub(crate) fn tick_requests(&mut self) {
        let sequences: Vec<u64> = self.requests.keys().copied().collect();
        for sequence in sequences {
            let Some(request) = self.requests.get(&sequence) else {
                continue;
            };
            match request.phase.clone() {
                Phase::Running { .. } => {}
                Phase::BackingOff { until } => {
                    if self.now >= until {
                        self.request_slot(sequence);
                    }
                }
                Phase::Claiming {
                    sent_at, resends, ..
                } => {
                    if self.now.since(sent_at) >= CLAIM_RESEND {
                        self.claim(sequence, resends + 1);
                    }
                }
                Phase::RequestingSlot(slot_request) => {
                    self.tick_slot_request(sequence, &slot_request);
                }
            }
        }
        let now = self.now;
        self.saturated_until.retain(|_, until| now < *until);
    }
}

fn refusal_for_failure(verdict: Verdict, reason: Reason) -> Refusal {
    Refusal {
        verdict,
        reason,
        retry_after: Some(DEFAULT_RETRY_AFTER),
    }
}

/// The refusal for the caller: that of the first cell tried, which is one of the own zone
/// if that has any, or else one for the reason `fallback`.
fn final_refusal(request: &LocalRequest, fallback: Reason) -> Refusal {
    request.refused_by.first().map_or(
        Refusal::not_run(fallback, Some(DEFAULT_RETRY_AFTER)),
        |(_, refusal)| *refusal,
    )
}
