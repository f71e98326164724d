//! What a caller may conclude about a request that got no answer.

use crate::Span;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request may have been executed by a back end.
///
/// The order is the order of growing suspicion, so that combining the verdicts
/// of several attempts is taking their maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Certain: no back end started it. Repeating it is safe.
    NotRun,
    /// A back end may have started or finished it.
    MayHaveRun,
    /// Certain: a back end executed it.
    Ran,
}

impl Verdict {
    /// The word used in replies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was refused or ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue ahead is too long for the class's target.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The queue was full and every waiting request had the same or a higher tier.
    QueueFull,
    /// Displaced from a full queue by a request of a higher tier.
    Displaced,
    /// The tenant's concurrency limit is reached.
    TenantConcurrency,
    /// The tenant's token rate limit is reached.
    TenantTokenRate,
    /// No reachable back end serves the pool.
    NoBackEnd,
    /// The pool has no back end in a region in which the request may run.
    RegionNotAllowed,
    /// The zones of the pool's back ends are being evacuated.
    ZoneEvacuated,
    /// The pool's back ends are cold, and have got what they bear.
    ColdBackEnds,
    /// The pool's back ends have asked this node for a rest.
    #[serde(rename = "back_ends_rest")]
    BackEndsBackingOff,
    /// The pool's back ends get what the rate limits allow that they have named.
    BackEndsLimited,
    /// The node that holds the queue did not answer.
    HolderUnreachable,
    /// This node is stopping.
    Draining,
    /// This node has no configuration yet.
    NotReady,
    /// The back end failed and the request may not be tried again.
    BackEndFailed,
    /// Repeating failed requests would exceed the retry budget.
    RetryBudget,
    /// The idempotency key belongs to a run of a node that is gone.
    #[serde(rename = "key_home_gone")]
    KeyOwnerGone,
    /// The request with this idempotency key is running now.
    KeyInProgress,
    /// The request with this idempotency key has ended.
    KeyFinished,
    /// The table of idempotency keys is full.
    KeyTableFull,
    /// Back ends crashed under the request each time that it ran.
    CrashesBackEnds,
    /// The node paused and can no longer vouch for what it knew.
    Paused,
}

impl Reason {
    /// The word used in replies, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::DeadlineUnreachable => "deadline_unreachable",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::QueueFull => "queue_full",
            Reason::Displaced => "displaced",
            Reason::TenantConcurrency => "tenant_concurrency",
            Reason::TenantTokenRate => "tenant_token_rate",
            Reason::NoBackEnd => "no_back_end",
            Reason::RegionNotAllowed => "region_not_allowed",
            Reason::ZoneEvacuated => "zone_evacuated",
            Reason::ColdBackEnds => "cold_back_ends",
            Reason::BackEndsBackingOff => "back_ends_rest",
            Reason::BackEndsLimited => "back_ends_limited",
            Reason::HolderUnreachable => "holder_unreachable",
            Reason::Draining => "draining",
            Reason::NotReady => "not_ready",
            Reason::BackEndFailed => "back_end_failed",
            Reason::RetryBudget => "retry_budget",
            Reason::KeyOwnerGone => "key_home_gone",
            Reason::KeyInProgress => "key_in_progress",
            Reason::KeyFinished => "key_finished",
            Reason::KeyTableFull => "key_table_full",
            Reason::CrashesBackEnds => "crashes_back_ends",
            Reason::Paused => "paused",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The final word on a request that gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When trying again may help; `None` where waiting does not help.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub const fn not_run(reason: Reason, retry_after: Option<Span>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        }
    }
}
