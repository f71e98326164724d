//! A request's way from its arrival to its end, on its entry node.

mod asking;
mod replies;

use crate::claims::CLAIM_RESEND;
use crate::decision::Step;
use crate::message::{AttemptName, Message};
use crate::node::Node;
use crate::request::{AttemptEnd, LocalRequest, NotRepeatable, Phase, Submission};
use eiderferry_admission::Observation;
use eiderferry_types::{BackEndId, Reason, Refusal, RequestId, Span, Timestamp, Verdict};

/// Attempts of one request at the most.
const MAXIMUM_ATTEMPTS: u8 = 4;
/// When a caller may come back to a node that is not ready or stopping.
const RETRY_ELSEWHERE: Span = Span::from_milliseconds(500);

impl Node {
    /// Takes in a request. Its fate comes out as outputs that carry the returned
    /// identifier.
    pub fn submit(&mut self, now: Timestamp, submission: Submission) -> RequestId {
        self.enter(now);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let due = submission.first_token_due;
        let digest = submission.digest;
        let has_key = matches!(submission.not_repeatable, Some(NotRepeatable::WithKey(_)));
        let request = LocalRequest {
            submission,
            arrived: self.now,
            dispatched: self.now,
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
        self.note_step(sequence, Step::Arrived);
        if let Some(reason) = self.reason_to_turn_away() {
            let verdict = if has_key {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            let retry_after = Some(RETRY_ELSEWHERE);
            self.reject(
                sequence,
                Refusal {
                    verdict,
                    reason,
                    retry_after,
                },
            );
        } else if let Some(refusal) = self.refusal_of_crashing(digest) {
            self.reject(sequence, refusal);
        } else if has_key {
            self.retry_budget.earn();
            self.claim(sequence, 0);
        } else {
            self.retry_budget.earn();
            self.ask(sequence);
        }
        self.leave();
        self.request_id(sequence)
    }

    fn reason_to_turn_away(&self) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }
        (!self.is_ready()).then_some(Reason::NotReady)
    }

    /// Takes in how an attempt ended.
    pub fn attempt_ended(&mut self, now: Timestamp, id: RequestId, attempt: u8, end: AttemptEnd) {
        self.enter(now);
        let is_current = self
            .requests
            .get(&id.sequence)
            .is_some_and(|request| request.attempt == attempt);
        if is_current && id.incarnation == self.identity.incarnation {
            self.end_attempt(id.sequence, end);
        }
        self.leave();
    }

    /// Takes in that the caller of a request that does not run yet went away.
    pub fn caller_gone(&mut self, now: Timestamp, id: RequestId) {
        self.enter(now);
        let sequence = id.sequence;
        self.leave_queue(sequence);
        if self.requests.contains_key(&sequence) {
            self.note_step(sequence, Step::Abandoned);
            let verdict = self.requests[&sequence].verdict;
            self.settle_key(sequence, verdict);
            self.requests.remove(&sequence);
        }
        self.leave();
    }

    /// Takes in that a stream runs slower than its class's target.
    pub fn stream_is_slow(&mut self, now: Timestamp, id: RequestId, per_token: Span) {
        self.enter(now);
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
        self.leave();
    }

    fn end_attempt(&mut self, sequence: u64, end: AttemptEnd) {
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
        let name = AttemptName {
            sequence,
            attempt: request.attempt,
        };
        let after = self.now.since(request.arrived);
        let digest = request.submission.digest;
        match end {
            AttemptEnd::Completed(observation) => {
                let tokens = request.delivered_tokens + observation.tokens;
                self.release(holder, cell, name, observation);
                self.note_ended_well(digest);
                self.count_completed(sequence, tokens, &observation);
                self.note_step(sequence, Step::Completed { tokens, after });
                self.settle_key(sequence, Verdict::Ran);
                self.requests.remove(&sequence);
            }
            AttemptEnd::CallerGone(observation) => {
                self.release(holder, cell, name, observation);
                self.note_step(sequence, Step::Abandoned);
                self.settle_key(sequence, Verdict::MayHaveRun);
                self.requests.remove(&sequence);
            }
            AttemptEnd::Broken {
                verdict,
                observation,
                has_crashed,
            } => {
                self.release(holder, cell, name, observation);
                if has_crashed {
                    self.record_crash(digest, back_end);
                }
                self.after_failure(sequence, back_end, verdict, observation);
            }
        }
    }

    /// Tries again if that is harmless and affordable; else ends the request.
    fn after_failure(
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
        let may_retry = request.may_repeat_after(verdict) && request.attempt + 1 < MAXIMUM_ATTEMPTS;
        if !may_retry {
            self.reject(
                sequence,
                refusal_for_failure(verdict, Reason::BackEndFailed),
            );
            return;
        }
        let digest = request.submission.digest;
        if let Some(refusal) = self.refusal_of_crashing(digest) {
            self.reject(sequence, refusal);
            return;
        }
        if !self.retry_budget.spend() {
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
        self.note_step(
            sequence,
            Step::Retried {
                back_end,
                verdict,
                delivered_tokens,
            },
        );
        self.ask(sequence);
    }

    fn first_token_target(&self, sequence: u64) -> Span {
        let request = &self.requests[&sequence];
        self.configuration
            .current()
            .and_then(|configuration| configuration.class(request.submission.class))
            .map_or(Span::ZERO, |class| class.first_token_target())
    }

    /// Regular work for open requests: what got no answer is asked again.
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
                        self.ask(sequence);
                    }
                }
                Phase::Claiming { sent, tries, .. } => {
                    if self.now.since(sent) >= CLAIM_RESEND {
                        self.claim(sequence, tries + 1);
                    }
                }
                Phase::Asking(asking) => self.tick_asking(sequence, &asking),
            }
        }
        let now = self.now;
        self.saturated.retain(|_, until| now < *until);
    }
}

fn refusal_for_failure(verdict: Verdict, reason: Reason) -> Refusal {
    Refusal {
        verdict,
        reason,
        retry_after: Some(RETRY_ELSEWHERE),
    }
}

/// The word to the caller: the first cell's refusal, which is the own zone's.
fn final_refusal(request: &LocalRequest, otherwise: Reason) -> Refusal {
    request.refused_by.first().map_or(
        Refusal::not_run(otherwise, Some(RETRY_ELSEWHERE)),
        |(_, refusal)| *refusal,
    )
}
