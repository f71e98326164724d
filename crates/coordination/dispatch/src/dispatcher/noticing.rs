//! What back ends say of themselves in their answers, as it bears on this node's decisions.

use super::{Dispatcher, DueCacheCall};
use crate::load::limiter::LimitNotice;
use crate::{LeaseId, RateLimit};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

/// What a back end has answered.
#[derive(Clone, Copy, Debug)]
pub enum NoticeSource<'a> {
    /// A request, at a granted place.
    Request(LeaseId),
    /// A call for what an engine keeps.
    Call(&'a DueCacheCall),
}

impl From<LeaseId> for NoticeSource<'_> {
    fn from(lease: LeaseId) -> Self {
        Self::Request(lease)
    }
}

impl<'a> From<&'a DueCacheCall> for NoticeSource<'a> {
    fn from(order: &'a DueCacheCall) -> Self {
        Self::Call(order)
    }
}

/// The run of a back end that has answered.
struct AnsweringRun {
    instance: InstanceId,
    started_unix_ms: Option<u64>,
    /// When the request was sent, if it was one.
    requested: Option<Timestamp>,
}

impl Dispatcher {
    /// An answer says that its back end is leaving: the back end gets nothing more from here.
    /// Returns it if that was not known.
    pub fn record_leaving<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
    ) -> Option<InstanceId> {
        let run = self.answering_run(source.into())?;
        let is_new = self
            .back_ends
            .record_leaving(&run.instance, run.started_unix_ms);
        if is_new {
            self.home_scopes.record_back_end();
        }
        is_new.then_some(run.instance)
    }

    /// An answer says that its back end wants nothing from this node for so long.
    pub fn record_backoff<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
        rest: Span,
        now: Timestamp,
    ) {
        if let Some(run) = self.answering_run(source.into()) {
            let until = now + rest;
            self.back_ends
                .record_backoff(&run.instance, run.started_unix_ms, until);
        }
    }

    /// An answer names a rate limit of its back end, or none.
    pub fn record_limit<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
        limit: Option<RateLimit>,
        now: Timestamp,
    ) {
        let Some(run) = self.answering_run(source.into()) else {
            return;
        };
        // Answers overtake each other: that a limit is over is shown only by the answer to a
        // request that was sent after the limit was named last.
        let reported_at = limit.map(|_| now).or(run.requested);
        if let Some(reported_at) = reported_at {
            let notice = LimitNotice { limit, reported_at };
            self.back_ends
                .record_limit(&run.instance, run.started_unix_ms, notice, now);
        }
    }

    fn answering_run(&self, source: NoticeSource<'_>) -> Option<AnsweringRun> {
        Some(match source {
            NoticeSource::Request(lease) => {
                let lease = self.leases.get(&lease)?;
                AnsweringRun {
                    instance: lease.instance.clone(),
                    started_unix_ms: lease.started_unix_ms,
                    requested: Some(lease.granted_at),
                }
            }
            NoticeSource::Call(order) => AnsweringRun {
                instance: order.instance.clone(),
                started_unix_ms: order.started_unix_ms,
                requested: None,
            },
        })
    }
}
