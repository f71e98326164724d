//! Log of the decisions made for each request.

use eiderferry_types::{
    BackEndId, CellId, ClassId, NodeId, Refusal, RequestId, Span, TenantId, Timestamp, Verdict,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// One step in the processing of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The request arrived.
    Arrived,
    /// Its idempotency key was granted.
    Claimed {
        /// Home node of the key.
        home: NodeId,
    },
    /// A slot was requested.
    #[serde(rename = "asked")]
    SlotRequested {
        /// Cell of the slot.
        cell: CellId,
        /// Node that holds the cell.
        holder: NodeId,
    },
    /// The request waits in a queue.
    Waiting {
        /// Cell of the queue.
        cell: CellId,
        /// Estimated wait.
        estimate: Span,
    },
    /// The request was dispatched to a back end.
    Dispatched {
        /// Cell of the back end.
        cell: CellId,
        /// The back end.
        back_end: BackEndId,
        /// Time from arrival to dispatch.
        after: Span,
    },
    /// The request leaves a cell to try another.
    Spilled {
        /// The cell that it leaves.
        from: CellId,
        /// Reason why that cell couldn't serve it.
        refusal: Refusal,
    },
    /// Its back end failed and the request is retried.
    Retried {
        /// The back end that failed.
        back_end: BackEndId,
        /// Whether the failed attempt has run.
        verdict: Verdict,
        /// Number of response tokens that the caller already has.
        delivered_tokens: u32,
    },
    /// The request was refused.
    Refused {
        /// The refusal sent to the caller.
        refusal: Refusal,
    },
    /// The whole response was delivered.
    Completed {
        /// Number of response tokens.
        tokens: u32,
        /// Time from arrival to completion.
        after: Span,
    },
    /// The caller disconnected.
    Abandoned,
}

impl Step {
    /// Name of the step, as serialized.
    pub const fn name(&self) -> &'static str {
        match self {
            Step::Arrived => "arrived",
            Step::Claimed { .. } => "claimed",
            Step::SlotRequested { .. } => "asked",
            Step::Waiting { .. } => "waiting",
            Step::Dispatched { .. } => "dispatched",
            Step::Spilled { .. } => "spilled",
            Step::Retried { .. } => "retried",
            Step::Refused { .. } => "refused",
            Step::Completed { .. } => "completed",
            Step::Abandoned => "abandoned",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Arrived => write!(formatter, "arrived"),
            Step::Claimed { home } => write!(formatter, "claimed its key at node {home}"),
            Step::SlotRequested { cell, holder } => {
                write!(formatter, "asked node {holder} for a slot in cell {cell}")
            }
            Step::Waiting { cell, estimate } => write!(
                formatter,
                "waits in cell {cell}, estimated {} ms",
                estimate.milliseconds()
            ),
            Step::Dispatched {
                cell,
                back_end,
                after,
            } => write!(
                formatter,
                "runs on back end {back_end} of cell {cell}, {} ms after arrival",
                after.milliseconds()
            ),
            Step::Spilled { from, refusal } => write!(
                formatter,
                "cell {from} can't serve it ({}); trying another cell",
                refusal.reason
            ),
            Step::Retried {
                back_end,
                verdict,
                delivered_tokens,
            } => write!(
                formatter,
                "back end {back_end} failed (verdict {verdict}) after {delivered_tokens} tokens; moving on"
            ),
            Step::Refused { refusal } => write!(
                formatter,
                "refused: {} (verdict {})",
                refusal.reason, refusal.verdict
            ),
            Step::Completed { tokens, after } => write!(
                formatter,
                "completed with {tokens} tokens, {} ms after arrival",
                after.milliseconds()
            ),
            Step::Abandoned => write!(formatter, "the caller went away"),
        }
    }
}

/// A step of a request, with the identity of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Time of the decision, on this process's clock.
    pub at: Timestamp,
    /// The step.
    pub step: Step,
}

/// A bounded log of the latest decisions.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
    capacity: usize,
    /// Number of decisions since the start, including those no longer kept.
    total: u64,
}

impl DecisionLog {
    /// Creates an empty log that keeps `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self {
            decisions: VecDeque::new(),
            capacity,
            total: 0,
        }
    }

    /// Appends a decision and drops the oldest one if the log is full.
    pub fn push(&mut self, decision: Decision) {
        self.total += 1;
        if self.capacity == 0 {
            return;
        }
        if self.decisions.len() >= self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// The decisions on one request that are still kept, oldest first.
    pub fn for_request(&self, request: RequestId) -> Vec<&Decision> {
        self.decisions
            .iter()
            .filter(|decision| decision.request == request)
            .collect()
    }

    /// The number of the latest decision, and the decisions after `number` that are still
    /// kept.
    pub fn since(&self, number: u64) -> (u64, Vec<&Decision>) {
        let wanted = self.total.saturating_sub(number) as usize;
        let skipped = self.decisions.len().saturating_sub(wanted);
        (self.total, self.decisions.iter().skip(skipped).collect())
    }

    /// The latest `count` decisions for which `is_match` returns true, newest first.
    pub fn latest(&self, count: usize, is_match: impl Fn(&Decision) -> bool) -> Vec<&Decision> {
        self.decisions
            .iter()
            .rev()
            .filter(|decision| is_match(decision))
            .take(count)
            .collect()
    }
}
