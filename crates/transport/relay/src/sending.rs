//! The sending of one attempt: the request on its way to a back end, and the head of its
//! answer.

use crate::exchange::Exchange;
use crate::forwarding::AttemptContext;
use crate::lease::Lease;
use crate::notice::{Notice, StatedLimit};
use crate::upstream::{Connection, SendError};
use crate::{events, metrics};
use eiderferry_dispatch::Outcome;
use eiderferry_routing::RouteKind;
use eiderferry_types::{Span, Timestamp};
use futures_lite::FutureExt;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;

/// Attempt's time for an answer that may be asked for again, in targets.
const ATTEMPT_TARGETS: u64 = 2;
/// Patience for the first event of a stream, in targets. With one target 88 attempts were
/// given up as silent in a loaded day of 57 s; what that cost is within the noise of
/// measurements (docs/design/placement.md).
const FIRST_EVENT_TARGETS: u64 = 2;
/// The same besides, in expected times to the first event.
const EXPECTED_TIMES: u64 = 2;

/// How far a run had come elsewhere.
pub(crate) struct ResumePoint {
    /// Number of the last event that was passed on.
    pub last_event_id: Option<u64>,
    /// Replica from which it is continued.
    pub resume_from: Option<String>,
    /// Longest wait for the head of the answer.
    pub response_timeout: Span,
}

impl Default for ResumePoint {
    fn default() -> Self {
        Self {
            last_event_id: None,
            resume_from: None,
            response_timeout: Span(u64::MAX),
        }
    }
}

/// Why a wait for the head of an answer was ended.
enum Interruption {
    TimedOut,
    /// The request was quarantined meanwhile, until then.
    Cancelled(Timestamp),
}

type Answered = Result<(Response<Incoming>, Connection), SendError>;

impl Exchange {
    /// Sends the request to a back end and waits for the head of its answer.
    pub async fn send(
        &mut self,
        lease: &Lease,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        self.send_after(lease, ResumePoint::default()).await
    }

    /// The same for a run that has begun elsewhere.
    pub async fn send_after(
        &mut self,
        lease: &Lease,
        after: ResumePoint,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let told = AttemptContext {
            grant: &lease.grant,
            remaining: self.traffic.clock.now().until(self.deadline),
            priority: self.head.priority,
            tenant: self.head.tenant.as_deref(),
            last_event_id: after.last_event_id,
            resume_from: after.resume_from,
        };
        let request = self.request.attempt(&self.traffic.header_names, &told);
        self.progress.record_sent();
        let may_retry = self.head.route.may_retry();
        let limit = self.head_deadline(lease).min(after.response_timeout);
        let timeout = async {
            self.traffic.clock.sleep(limit).await;
            Err(Interruption::TimedOut)
        };
        let cancellation = async {
            let until = self.traffic.cancellations.of(self.digest).await;
            Err(Interruption::Cancelled(until))
        };
        let send = self.traffic.upstream.send(&lease.grant, request, may_retry);
        let answer = async { Ok(send.await) };
        let waited = answer.or(timeout).or(cancellation).await;
        self.record_outcome(lease, waited)
    }

    fn record_outcome(
        &mut self,
        lease: &Lease,
        waited: Result<Answered, Interruption>,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        match waited {
            Ok(Err(error)) if error.is_unsent() => {
                self.unreachable += 1;
                Err(error.outcome())
            }
            Ok(Err(_)) => {
                self.attempts += 1;
                self.may_have_run = true;
                Err(Outcome::IncompleteResponse)
            }
            Err(Interruption::TimedOut) => {
                self.attempts += 1;
                self.may_have_run = true;
                Err(Outcome::TimedOut)
            }
            Err(Interruption::Cancelled(until)) => {
                self.attempts += 1;
                self.may_have_run = true;
                self.cancelled_until = Some(until);
                Err(Outcome::Cancelled)
            }
            Ok(Ok((response, connection))) => {
                self.attempts += 1;
                self.judge_head(lease, response, connection)
            }
        }
    }

    fn judge_head(
        &mut self,
        lease: &Lease,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let header_names = &self.traffic.header_names;
        let id = response.headers().get(&header_names.request_id);
        let is_ours = id.is_some_and(|id| id.as_bytes() == self.head.id.as_bytes());
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Err(Outcome::InstanceReplaced);
        }
        let may_be_ours = id.is_none_or(|_| is_ours);
        let notice = if may_be_ours {
            Notice::read(&response, header_names)
        } else {
            Notice::default()
        };
        self.apply_notice(lease, notice);
        if response.headers().contains_key(&header_names.not_run) && may_be_ours {
            return Err(Outcome::Shed);
        }
        self.may_have_run = true;
        if !is_ours || response.headers().contains_key(header::CONTENT_ENCODING) {
            return Err(Outcome::IncompleteResponse);
        }
        if lease.grant.has_limit && notice.limit == StatedLimit::NotStated {
            // Unlike a refusal, the answer of a run that names no limit shows that it is over.
            lease.record(Notice {
                limit: StatedLimit::Lifted,
                ..Notice::default()
            });
        }
        Ok((response, connection))
    }

    /// Takes in what an answer says of its back end.
    fn apply_notice(&self, lease: &Lease, notice: Notice) {
        if notice.is_empty() {
            return;
        }
        events::back_end_notice(&self.head.id, &lease.grant.instance, notice);
        if notice.is_leaving {
            metrics::notice("leaving");
        }
        if notice.backoff.is_some() {
            metrics::notice("rest");
        }
        if matches!(notice.limit, StatedLimit::Stated(_)) {
            metrics::notice("limit");
        }
        lease.record(notice);
    }

    /// Longest wait for the head: until the request's time is over, or shorter where
    /// another back end may be asked.
    pub fn head_deadline(&self, lease: &Lease) -> Span {
        let now = self.traffic.clock.now();
        let left = now.until(self.deadline);
        let route = &self.head.route;
        let is_last = self.attempts + 1 >= route.maximum_attempts;
        if !route.may_retry() || is_last {
            return left;
        }
        let response_timeout = match route.kind {
            RouteKind::Streaming => self.first_event_timeout(lease.grant.candidate.first_event),
            _ => Span(route.target.0 * ATTEMPT_TARGETS),
        };
        left.min(response_timeout)
    }

    /// Longest wait for the first event of a stream that may be asked for elsewhere. Where
    /// many are late the cause is load: asked for again, each prompt would be read twice.
    pub fn first_event_timeout(&self, expected: Span) -> Span {
        Span(self.head.route.target.0 * FIRST_EVENT_TARGETS + expected.0 * EXPECTED_TIMES)
    }
}
