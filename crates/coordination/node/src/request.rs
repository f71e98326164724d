//! A request on its entry node.

use eiderferry_admission::{Observation, PrefixMark};
use eiderferry_once::KeyName;
use eiderferry_types::{
    BackEndId, CellId, ClassId, NodeId, PoolId, Refusal, RequestDigest, TenantId, Timestamp,
    Verdict,
};

/// Why, and under which key, a request may not be repeated.
#[derive(Clone, Debug, PartialEq)]
pub enum NotRepeatable {
    /// It has no key: it is dispatched once at the most by this node.
    WithoutKey,
    /// Its key is granted once at the most in the whole fleet.
    WithKey(KeyName),
}

/// A request as handed to the state machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// What it asks, alike each time that its caller sends it.
    pub digest: RequestDigest,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Prompt length in tokens, estimated.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixMark>,
    /// When the first token is due.
    pub first_token_due: Timestamp,
    /// `None` if the request may be repeated.
    pub not_repeatable: Option<NotRepeatable>,
}

/// How one attempt ended, as seen by the traffic side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer was delivered.
    Completed(Observation),
    /// The back end failed.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// What was seen before.
        observation: Observation,
        /// Whether the back end went down with it: it takes no new connection.
        has_crashed: bool,
    },
    /// The caller went away; the back end was told to cancel.
    CallerDisconnected(Observation),
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Its key is being claimed.
    Claiming {
        home: NodeId,
        sent_at: Timestamp,
        resends: u32,
    },
    /// A slot has been asked for.
    RequestingSlot(SlotRequest),
    /// It stands between two cells, until the time given.
    BackingOff { until: Timestamp },
    /// It runs.
    Running {
        cell: CellId,
        holder: NodeId,
        back_end: BackEndId,
    },
}

/// A slot that has been asked for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlotRequest {
    pub cell: CellId,
    pub holder: NodeId,
    pub sent_at: Timestamp,
    pub unanswered_resends: u32,
    pub queued: bool,
    /// A slot elsewhere that has been asked for while the place in the queue is kept.
    pub alternative: Option<AlternativeSlotRequest>,
}

/// A slot asked for in another cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AlternativeSlotRequest {
    pub cell: CellId,
    pub holder: NodeId,
    pub sent_at: Timestamp,
}

/// A request and its state.
#[derive(Clone, Debug)]
pub(crate) struct LocalRequest {
    pub submission: Submission,
    pub arrived_at: Timestamp,
    /// When it last was sent to a back end.
    pub dispatched_at: Timestamp,
    pub attempt: u8,
    pub phase: Phase,
    /// Cells that refused the current attempt, and how.
    pub refused_by: Vec<(CellId, Refusal)>,
    /// Answer tokens the caller has.
    pub delivered_tokens: u32,
    /// The strongest verdict of all ended attempts.
    pub verdict: Verdict,
    /// The home that granted its key.
    pub key_granted_by: Option<NodeId>,
    /// When the current attempt's first token is due.
    pub due: Timestamp,
}

impl LocalRequest {
    /// The key it was submitted with.
    pub fn key(&self) -> Option<&KeyName> {
        match &self.submission.not_repeatable {
            Some(NotRepeatable::WithKey(key)) => Some(key),
            _ => None,
        }
    }

    /// Whether another attempt is harmless after one that ended with `verdict`.
    pub fn may_retry_after(&self, verdict: Verdict) -> bool {
        verdict == Verdict::NotRun || self.submission.not_repeatable.is_none()
    }
}
