//! Notices that back ends attach to their responses: leaving, backoff and rate limits.

use super::{Dispatcher, DueCacheCall};
use crate::load::limiter::LimitNotice;
use crate::{LeaseId, RateLimit};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

/// The exchange whose response carried a notice.
#[derive(Clone, Copy, Debug)]
pub enum NoticeSource<'a> {
    /// A request that holds a lease.
    Request(LeaseId),
    /// A call for the contents of an engine's cache.
    Call(&'a DueCacheCall),
}

impl From<LeaseId> for NoticeSource<'_> {
    fn from(lease: LeaseId) -> Self {
        Self::Request(lease)
    }
}

impl<'a> From<&'a DueCacheCall> for NoticeSource<'a> {
    fn from(call: &'a DueCacheCall) -> Self {
        Self::Call(call)
    }
}

/// The run of a back end that sent a response.
struct RespondingRun {
    instance: InstanceId,
    started_unix_ms: Option<u64>,
    /// When the request was sent; `None` for a cache call.
    requested_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Records that a back end is leaving, so that this node sends it no more requests. Returns the
    /// back end if that is new.
    pub fn record_leaving<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
    ) -> Option<InstanceId> {
        let run = self.responding_run(source.into())?;
        let is_new = self
            .back_ends
            .record_leaving(&run.instance, run.started_unix_ms);
        if is_new {
            self.home_scopes.record_back_end();
        }
        is_new.then_some(run.instance)
    }

    /// Records that a back end asked this node to send no requests for a time.
    pub fn record_backoff<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
        backoff: Span,
        now: Timestamp,
    ) {
        if let Some(run) = self.responding_run(source.into()) {
            let until = now + backoff;
            self.back_ends
                .record_backoff(&run.instance, run.started_unix_ms, until);
        }
    }

    /// Records the rate limit that a response states, or that it states none.
    pub fn record_limit<'a>(
        &mut self,
        source: impl Into<NoticeSource<'a>>,
        limit: Option<RateLimit>,
        now: Timestamp,
    ) {
        let Some(run) = self.responding_run(source.into()) else {
            return;
        };
        // Responses may arrive out of order: only the response to a request sent after the limit
        // was last stated shows that the limit is lifted.
        let reported_at = limit.map(|_| now).or(run.requested_at);
        if let Some(reported_at) = reported_at {
            let notice = LimitNotice { limit, reported_at };
            self.back_ends
                .record_limit(&run.instance, run.started_unix_ms, notice, now);
        }
    }

    fn responding_run(&self, source: NoticeSource<'_>) -> Option<RespondingRun> {
        Some(match source {
            NoticeSource::Request(lease) => {
                let lease = self.leases.get(&lease)?;
                RespondingRun {
                    instance: lease.instance.clone(),
                    started_unix_ms: lease.started_unix_ms,
                    requested_at: Some(lease.granted_at),
                }
            }
            NoticeSource::Call(call) => RespondingRun {
                instance: call.instance.clone(),
                started_unix_ms: call.started_unix_ms,
                requested_at: None,
            },
        })
    }
}
