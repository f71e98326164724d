//! What was decided for each request, and why.

use eiderferry_types::{
    BackEndId, CellId, ClassId, NodeId, Refusal, RequestId, Span, TenantId, Timestamp, Verdict,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// One step in the life of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// Came in.
    Arrived,
    /// Its key was claimed at its home.
    Claimed {
        /// The home.
        home: NodeId,
    },
    /// A slot was asked for.
    #[serde(rename = "asked")]
    SlotRequested {
        /// The cell.
        cell: CellId,
        /// Who holds its queue.
        holder: NodeId,
    },
    /// It waits in a queue.
    Waiting {
        /// The cell.
        cell: CellId,
        /// Estimated wait.
        estimate: Span,
    },
    /// It runs.
    Dispatched {
        /// The cell.
        cell: CellId,
        /// Where.
        back_end: BackEndId,
        /// Time from arrival to dispatch.
        after: Span,
    },
    /// It leaves a cell for another.
    Spilled {
        /// The cell left.
        from: CellId,
        /// Why that cell could not serve it.
        refusal: Refusal,
    },
    /// Its back end failed and it is tried again.
    Retried {
        /// The back end that failed.
        back_end: BackEndId,
        /// What the failed attempt may have done.
        verdict: Verdict,
        /// Answer tokens the caller has already.
        delivered_tokens: u32,
    },
    /// It ended without an answer.
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The whole answer was delivered.
    Completed {
        /// Answer tokens.
        tokens: u32,
        /// Time from arrival.
        after: Span,
    },
    /// The caller went away.
    Abandoned,
}

impl Step {
    /// Name of the step.
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

/// A step of one request, with what identifies it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When, on this process's clock.
    pub at: Timestamp,
    /// What was decided.
    pub step: Step,
}

/// The last decisions, in bounded memory.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
    capacity: usize,
    /// Decisions made since the start.
    total: u64,
}

impl DecisionLog {
    /// An empty log that keeps `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self {
            decisions: VecDeque::new(),
            capacity,
            total: 0,
        }
    }

    /// Adds a decision, dropping the oldest when full.
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

    /// All steps of one request that are still remembered.
    pub fn for_request(&self, request: RequestId) -> Vec<&Decision> {
        self.decisions
            .iter()
            .filter(|decision| decision.request == request)
            .collect()
    }

    /// Decisions made after number `after`, and the number of the last one. Those
    /// that have been dropped meanwhile are missing.
    pub fn since(&self, number: u64) -> (u64, Vec<&Decision>) {
        let wanted = self.total.saturating_sub(number) as usize;
        let skipped = self.decisions.len().saturating_sub(wanted);
        (self.total, self.decisions.iter().skip(skipped).collect())
    }

    /// The last `count` decisions for which `fits` holds, newest first.
    pub fn latest(&self, count: usize, is_match: impl Fn(&Decision) -> bool) -> Vec<&Decision> {
        self.decisions
            .iter()
            .rev()
            .filter(|decision| is_match(decision))
            .take(count)
            .collect()
    }
}
