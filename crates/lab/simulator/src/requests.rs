//! Callers' requests and what the callers see.

use crate::scenario::CallKey;
use eiderferry_admission::{Observation, Outcome, PrefixMark};
use eiderferry_config::Class;
use eiderferry_node::ResponseProgress;
use eiderferry_once::KeyName;
use eiderferry_types::{ClassId, PoolId, RequestId, Span, TenantId, Timestamp, ZoneId};

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// Not known yet.
    Open,
    /// The whole answer came.
    Completed,
    /// Refused, or ended with a verdict.
    Refused,
    /// The entry node died.
    Lost,
    /// The caller gave up waiting.
    HungUp,
}

/// A plain service call's own data.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    pub key: CallKey,
    pub key_name: Option<KeyName>,
    pub remaining_retries: u32,
    pub service_time: Span,
}

/// An attempt that runs on a back end, as the entry node's process sees it.
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
    /// Cut off from its engine: nothing arrives any more.
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

/// A request with everything the world knows of it.
#[derive(Clone, Debug)]
pub(crate) struct SimRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub pool: PoolId,
    pub prompt_tokens: u32,
    pub prefixes: Vec<PrefixMark>,
    /// True answer length; no node knows it.
    pub response_tokens: u32,
    pub arrived: Timestamp,
    pub first_token_target: Span,
    pub per_token_target: Span,
    pub service: Option<ServiceCall>,
    /// Where it was handed in last.
    pub node: Option<usize>,
    pub node_run: u32,
    pub id: Option<RequestId>,
    /// Whether a node has it: not between two tries of its caller.
    pub at_node: bool,
    pub sent_at: Timestamp,
    /// Since when it has no attempt under way.
    pub waiting_since: Timestamp,
    pub send_count: u32,
    pub attempt: Option<Attempt>,
    pub progress: ResponseProgress,
    pub first_token: Option<Timestamp>,
    pub last_token: Timestamp,
    pub status: RequestStatus,
    /// Times a back end took it up, over all hand-ins.
    pub executions: u32,
    /// Times a back end took up the last hand-in.
    pub executions_since_send: u32,
    /// Zones whose cells refused or kept it: for explaining violations.
    pub zone: ZoneId,
}

impl SimRequest {
    /// A request that arrives now and has not been handed to any node.
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

    /// Whether both targets were met.
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

    /// Whether the first token is late by now.
    pub fn is_late(&self, now: Timestamp) -> bool {
        let first = self.first_token.unwrap_or(now);
        first.since(self.arrived) > self.first_token_target
    }

    /// Whether it waits for a back end.
    pub fn is_waiting(&self) -> bool {
        self.status == RequestStatus::Open && self.at_node && self.attempt.is_none()
    }
}
