//! Simulated requests as seen by their callers.

use crate::scenario::CallKey;
use eiderferry_admission::{Observation, Outcome, PrefixMark};
use eiderferry_config::Class;
use eiderferry_node::ResponseProgress;
use eiderferry_once::KeyName;
use eiderferry_types::{ClassId, PoolId, RequestId, Span, TenantId, Timestamp, ZoneId};

/// Status of a request as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// No outcome yet.
    Open,
    /// The complete response arrived.
    Completed,
    /// Refused, or ended by the router with a verdict.
    Refused,
    /// The entry node was lost, or no node accepted the request.
    Lost,
    /// The caller timed out waiting for the first token.
    HungUp,
}

/// Data of a request that is a call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    pub key: CallKey,
    pub key_name: Option<KeyName>,
    pub remaining_retries: u32,
    pub service_time: Span,
}

/// An attempt in progress on a back end, as seen by the entry node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u8,
    pub back_end: usize,
    pub back_end_run: u32,
    pub job: Option<u64>,
    pub started_at: Timestamp,
    pub first_token: Option<Timestamp>,
    pub last_token: Timestamp,
    pub tokens: u32,
    /// Whether the connection to the back end is cut, so that no more tokens arrive.
    pub stalled: bool,
}

impl Attempt {
    pub fn per_token(&self) -> Option<Span> {
        let first = self.first_token?;
        let intervals = u64::from(self.tokens.checked_sub(1).filter(|count| *count > 0)?);
        Some(Span(self.last_token.since(first).0 / intervals))
    }

    pub fn observation(&self, outcome: Outcome) -> Observation {
        Observation {
            outcome,
            tokens: self.tokens,
            first_token: self.first_token.map(|first| first.since(self.started_at)),
            per_token: self.per_token(),
        }
    }
}

/// A request with its complete simulated state.
#[derive(Clone, Debug)]
pub(crate) struct SimRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub pool: PoolId,
    pub prompt_tokens: u32,
    pub prefixes: Vec<PrefixMark>,
    /// True response length in tokens, which no node knows.
    pub response_tokens: u32,
    pub arrived: Timestamp,
    pub first_token_target: Span,
    pub per_token_target: Span,
    pub service: Option<ServiceCall>,
    /// Index of the node that it was last sent to.
    pub node: Option<usize>,
    pub node_run: u32,
    pub id: Option<RequestId>,
    /// Whether a node holds the request; false between two attempts of the caller.
    pub at_node: bool,
    /// Time at which it was last sent to a node.
    pub sent_at: Timestamp,
    /// Time since which it has been waiting for an attempt.
    pub waiting_since: Timestamp,
    /// Number of times the caller tried to send it to a node.
    pub send_count: u32,
    pub attempt: Option<Attempt>,
    pub progress: ResponseProgress,
    pub first_token: Option<Timestamp>,
    pub last_token: Timestamp,
    pub status: RequestStatus,
    /// Number of executions started by back ends.
    pub executions: u32,
    /// Number of executions started since it was last sent to a node.
    pub executions_since_send: u32,
    /// Zone of the node that it was last sent to.
    pub zone: ZoneId,
}

impl SimRequest {
    /// Creates a request that arrives now and has not been sent to a node.
    pub fn new(now: Timestamp, class: &Class, tenant: TenantId, pool: PoolId) -> Self {
        Self {
            class: class.id,
            tenant,
            pool,
            prompt_tokens: 0,
            prefixes: Vec::new(),
            response_tokens: 0,
            arrived: now,
            first_token_target: class.first_token_target(),
            per_token_target: class.per_token_target(),
            service: None,
            node: None,
            node_run: 0,
            id: None,
            at_node: false,
            sent_at: now,
            waiting_since: now,
            send_count: 0,
            attempt: None,
            progress: ResponseProgress::default(),
            first_token: None,
            last_token: now,
            status: RequestStatus::Open,
            executions: 0,
            executions_since_send: 0,
            zone: ZoneId::default(),
        }
    }

    /// Whether the response was completed within both latency targets.
    pub fn met_targets(&self) -> bool {
        let Some(first) = self
            .first_token
            .filter(|_| self.status == RequestStatus::Completed)
        else {
            return false;
        };
        let intervals = u64::from(self.response_tokens.saturating_sub(1).max(1));
        let per_token = Span(self.last_token.since(first).0 / intervals);
        first.since(self.arrived) <= self.first_token_target && per_token <= self.per_token_target
    }

    /// Whether the first token missed its target or is overdue.
    pub fn is_late(&self, now: Timestamp) -> bool {
        let first = self.first_token.unwrap_or(now);
        first.since(self.arrived) > self.first_token_target
    }

    /// Whether it is waiting at a node for an attempt.
    pub fn is_waiting(&self) -> bool {
        self.status == RequestStatus::Open && self.at_node && self.attempt.is_none()
    }
}
