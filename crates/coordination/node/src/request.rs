//! A request and its state on its entry node.

use eiderferry_admission::{Observation, PrefixMark};
use eiderferry_once::KeyName;
use eiderferry_quarantine::SharedParts;
use eiderferry_types::{
    BackEndId, CellId, ClassId, NodeId, PoolId, Refusal, RequestDigest, TenantId, Timestamp,
    Verdict,
};

/// Marks a request that must not be executed twice, with its idempotency key if it has
/// one.
#[derive(Clone, Debug, PartialEq)]
pub enum NotRepeatable {
    /// The request has no key: this node never retries it once it may have run.
    WithoutKey,
    /// The request has a key, which the whole fleet grants at most once.
    WithKey(KeyName),
}

/// A request as submitted to the state machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Digest of the request's content; the same each time that a caller sends it.
    pub digest: RequestDigest,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixMark>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: SharedParts,
    /// Time at which the first token is due.
    pub first_token_due: Timestamp,
    /// `None` if the request may be executed more than once.
    pub not_repeatable: Option<NotRepeatable>,
}

/// How an attempt ended, as reported by the layer that does I/O.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole response was delivered.
    Completed(Observation),
    /// The back end failed.
    Failed {
        /// Whether the back end may have run the request.
        verdict: Verdict,
        /// What was observed before the failure.
        observation: Observation,
        /// Whether the back end crashed, that is, accepts no new connection.
        has_crashed: bool,
    },
    /// The caller disconnected; the back end was asked to cancel the response.
    CallerDisconnected(Observation),
}

/// Processing phase of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Its idempotency key is being claimed.
    Claiming {
        home: NodeId,
        sent_at: Timestamp,
        resends: u32,
    },
    /// A slot has been requested, or the request waits in a queue.
    RequestingSlot(SlotRequest),
    /// A slot is requested again at the given time.
    BackingOff { until: Timestamp },
    /// It runs on a back end.
    Running {
        cell: CellId,
        holder: NodeId,
        back_end: BackEndId,
    },
}

/// An open request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlotRequest {
    pub cell: CellId,
    pub holder: NodeId,
    pub sent_at: Timestamp,
    /// Times that it was sent again since the last reply.
    pub unanswered_resends: u32,
    pub queued: bool,
    /// A slot requested in another cell while the place in this cell's queue is kept.
    pub alternative: Option<AlternativeSlotRequest>,
}

/// A request for a slot in another cell than the one where the request is queued.
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
    /// Time at which it was last dispatched to a back end; its arrival until then.
    pub dispatched_at: Timestamp,
    pub attempt: u8,
    pub phase: Phase,
    /// Cells that refused the current attempt, with their refusals.
    pub refused_by: Vec<(CellId, Refusal)>,
    /// Number of response tokens delivered to the caller.
    pub delivered_tokens: u32,
    /// The strongest verdict of all finished attempts.
    pub verdict: Verdict,
    /// Home node that granted its key.
    pub key_granted_by: Option<NodeId>,
    /// Time at which the current attempt's first token is due.
    pub due: Timestamp,
}

impl LocalRequest {
    /// The idempotency key it was submitted with.
    pub fn key(&self) -> Option<&KeyName> {
        match &self.submission.not_repeatable {
            Some(NotRepeatable::WithKey(key)) => Some(key),
            _ => None,
        }
    }

    /// Whether another attempt is safe after one that ended with `verdict`.
    pub fn may_retry_after(&self, verdict: Verdict) -> bool {
        verdict == Verdict::NotRun || self.submission.not_repeatable.is_none()
    }
}
