//! Sending of one attempt: the request to a back end and the head of its response.

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
use std::ops::RangeInclusive;

/// Timeout of an attempt whose request may be retried, as a multiple of the target latency.
const ATTEMPT_TIMEOUT_TARGETS: u64 = 2;
/// Timeout for the first event of a stream: this many target latencies plus
/// [`FIRST_EVENT_TIMEOUT_EXPECTED`] expected times. With one target latency, 88 attempts timed out
/// in a loaded day of 57 s; what that cost is within the noise of measurements
/// (docs/design/placement.md).
const FIRST_EVENT_TIMEOUT_TARGETS: u64 = 2;
/// Expected times to the first event that are added to the timeout for it.
const FIRST_EVENT_TIMEOUT_EXPECTED: u64 = 2;

/// Statuses of final responses. RFC 9110 defines none above; 101 is one only after a request for
/// another protocol, and such requests are not forwarded.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Where a run is resumed that began at another back end.
pub(crate) struct ResumePoint {
    /// Number of the last event that was forwarded.
    pub last_event_id: Option<u64>,
    /// Replica from which the run is continued.
    pub resume_from: Option<String>,
    /// Longest wait for the head of the response.
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

/// Why waiting for the head of a response was aborted.
enum Interruption {
    TimedOut,
    /// The request was quarantined meanwhile, until this time.
    Cancelled(Timestamp),
}

type SendResult = Result<(Response<Incoming>, Connection), SendError>;

impl Exchange {
    /// Sends the request to a back end and waits for the head of its response.
    pub async fn send(
        &mut self,
        lease: &Lease,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        self.send_resuming(lease, ResumePoint::default()).await
    }

    /// Like [`Self::send`], for a run that began at another back end.
    pub async fn send_resuming(
        &mut self,
        lease: &Lease,
        resume_point: ResumePoint,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let context = AttemptContext {
            grant: &lease.grant,
            remaining: self.traffic.clock.now().until(self.deadline),
            priority: self.head.priority,
            tenant: self.head.tenant.as_deref(),
            last_event_id: resume_point.last_event_id,
            resume_from: resume_point.resume_from,
        };
        let request = self
            .request
            .for_attempt(&self.traffic.header_names, &context);
        self.progress.record_sent();
        self.head_received_at = None;
        self.first_event_at = None;
        let may_retry = self.head.route.may_retry();
        let response_timeout = self
            .response_head_timeout(lease)
            .min(resume_point.response_timeout);
        let timeout = async {
            self.traffic.clock.sleep(response_timeout).await;
            Err(Interruption::TimedOut)
        };
        let shared_parts = self.shared_parts();
        let cancellation = async {
            let cancellations = &self.traffic.cancellations;
            let until = cancellations.wait_for_quarantine(self.digest, &shared_parts);
            Err(Interruption::Cancelled(until.await))
        };
        let send = self.traffic.upstream.send(&lease.grant, request, may_retry);
        let response = async { Ok(send.await) };
        let result = response.or(timeout).or(cancellation).await;
        self.record_outcome(lease, result)
    }

    fn record_outcome(
        &mut self,
        lease: &Lease,
        result: Result<SendResult, Interruption>,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        match result {
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
                self.check_response_head(lease, response, connection)
            }
        }
    }

    fn check_response_head(
        &mut self,
        lease: &Lease,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let header_names = &self.traffic.header_names;
        let id = response.headers().get(&header_names.request_id);
        let id_matches = id.is_some_and(|id| id.as_bytes() == self.head.id.as_bytes());
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Err(Outcome::InstanceReplaced);
        }
        let id_may_match = id.is_none_or(|_| id_matches);
        let notice = if id_may_match {
            Notice::read(&response, header_names)
        } else {
            Notice::default()
        };
        self.apply_notice(lease, notice);
        if response.headers().contains_key(&header_names.not_run) && id_may_match {
            return Err(Outcome::Shed);
        }
        self.may_have_run = true;
        let is_final = FINAL_STATUSES.contains(&response.status().as_u16());
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if !id_matches || !is_final || is_encoded {
            return Err(Outcome::IncompleteResponse);
        }
        if lease.grant.has_limit && notice.limit == StatedLimit::NotStated {
            // Unlike a refusal, a response to a request that ran shows, when it states no limit,
            // that the limit no longer applies.
            lease.record_notice(Notice {
                limit: StatedLimit::Lifted,
                ..Notice::default()
            });
        }
        self.head_received_at = Some(self.traffic.clock.now());
        Ok((response, connection))
    }

    /// Logs and records what a response states about its back end.
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
        lease.record_notice(notice);
    }

    /// Longest wait for the head: the request's remaining time, or less where another back end may
    /// be tried.
    pub fn response_head_timeout(&self, lease: &Lease) -> Span {
        let now = self.traffic.clock.now();
        let remaining = now.until(self.deadline);
        let route = &self.head.route;
        let is_last = self.attempts + 1 >= route.maximum_attempts;
        if !route.may_retry() || is_last {
            return remaining;
        }
        let response_timeout = match route.kind {
            RouteKind::Streaming => {
                self.first_event_timeout(lease.grant.candidate.time_to_first_event)
            }
            _ => Span(route.target.0 * ATTEMPT_TIMEOUT_TARGETS),
        };
        remaining.min(response_timeout)
    }

    /// Longest wait for the first event of a stream that may be retried at another back end. It
    /// grows with the expected time: where many streams are late the cause is load, and a retry
    /// would compute the prompt a second time.
    pub fn first_event_timeout(&self, expected: Span) -> Span {
        Span(
            self.head.route.target.0 * FIRST_EVENT_TIMEOUT_TARGETS
                + expected.0 * FIRST_EVENT_TIMEOUT_EXPECTED,
        )
    }
}
