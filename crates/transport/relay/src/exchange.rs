//! State of one request, from its head to its final response.

use crate::cancellation::Cancellations;
use crate::control::{ControlHandle, SharedTable};
use crate::forwarding::ForwardedRequest;
use crate::header_names::HeaderNames;
use crate::lease::Lease;
use crate::local_reply::{CrashRefusal, LocalReply};
use crate::progress::Progress;
use crate::request_head::RequestHead;
use crate::request_memory::Memory;
use crate::response_body::RelayBody;
use crate::serving_monitor::ServingMonitor;
use crate::upstream::Upstream;
use crate::{events, metrics};
use eiderferry_clock::Clock;
use eiderferry_dispatch::{Decision, Demand, Outcome, ReplicaTarget, SharedParts, StreamId};
use eiderferry_routing::{InstanceId, PoolName, RouteKind, SoftwareVersion};
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp, Verdict};
use http::Response;
use std::rc::Rc;
use std::sync::Arc;

/// Retry-After of a request that is refused because this node has no configuration or found no back
/// end.
pub(crate) const NOT_READY_RETRY_AFTER: Span = Span::from_milliseconds(300);
/// Maximum attempts per request that ended before anything was sent.
const MAXIMUM_UNREACHABLE: u32 = 3;
/// Response bytes assumed per output token: an event of 75 bytes holds 8 or 9 tokens at two
/// deployments.
const ASSUMED_BYTES_PER_TOKEN: u64 = 8;

/// State shared by all requests of a traffic thread.
pub(crate) struct Traffic {
    pub upstream: Upstream,
    pub memory: Rc<Memory>,
    pub control: ControlHandle,
    pub table: SharedTable,
    pub header_names: HeaderNames,
    pub cancellations: Cancellations,
    pub clock: Clock,
    pub serving: ServingMonitor,
}

/// A replica that another engine keeps of a run.
pub(crate) struct RunReplica {
    pub holder: Box<ReplicaTarget>,
    /// When the run was sent.
    pub sent_at: Timestamp,
}

/// Software version at which the stream of a request must run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamBinding {
    /// Any version: no event has been forwarded yet.
    Unbound,
    /// The version that produced the first event.
    Version(SoftwareVersion),
    /// That version is unknown: no other back end can continue the stream.
    UnknownVersion,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// With a response for the caller.
    Response(Response<RelayBody>),
    /// With a server error of the back end, which may be forwarded or retried.
    FailedResponse(Response<RelayBody>),
    /// Without a response.
    NoResponse(Outcome),
}

/// A request and the state of its processing.
pub(crate) struct Exchange {
    pub traffic: Rc<Traffic>,
    pub head: RequestHead,
    /// Digest of the request's content, the same each time that its caller sends it.
    pub digest: RequestDigest,
    pub pool: PoolName,
    pub request: ForwardedRequest,
    pub started: Timestamp,
    pub deadline: Timestamp,
    pub attempts: u32,
    pub unreachable: u32,
    pub excluded_back_ends: Vec<InstanceId>,
    pub may_have_run: bool,
    /// Set if the request was cancelled at a back end: until when it is refused.
    pub cancelled_until: Option<Timestamp>,
    /// The replica of the run, until its holder has been asked to continue it.
    pub replica: Option<RunReplica>,
    /// When the head of the current attempt's response arrived.
    pub head_received_at: Option<Timestamp>,
    /// When the first event of the current attempt's response arrived.
    pub first_event_at: Option<Timestamp>,
    pub binding: StreamBinding,
    /// Id under which the stream's version is recorded; `None` if the stream has not started or
    /// can't be resumed.
    pub stream: Option<StreamId>,
    /// When the version was last recorded.
    pub version_recorded_at: Timestamp,
    pub status: u16,
    pub progress: Progress,
    pub is_finished: bool,
}

impl Exchange {
    /// Ends the request with a back end's response.
    pub fn forward(mut self, response: Response<RelayBody>) -> Response<RelayBody> {
        self.status = response.status().as_u16();
        self.finish("whole");
        response
    }

    /// Ends the request with `fallback`, a back end's server error, or else with the local reply.
    pub fn conclude_with(
        mut self,
        fallback: Option<Response<RelayBody>>,
        reply: LocalReply,
    ) -> Response<RelayBody> {
        if let Some(response) = fallback {
            return self.forward(response);
        }
        self.is_finished = true;
        let elapsed = self.elapsed();
        events::replied_locally(&self.head.id, &reply, elapsed);
        metrics::local_reply(reply.reason());
        self.traffic.serving.record(reply.reason());
        metrics::request(&self.head.route, self.head.rank, reply.reason(), elapsed);
        reply.response()
    }

    /// Records how the request ended; only the first call has an effect.
    pub fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if outcome != "whole" {
            // The caller may resume the stream at any node, and owners may have restarted since the
            // version was last recorded.
            self.record_version();
        }
        let elapsed = self.elapsed();
        self.traffic.serving.record(outcome);
        events::ended(&self.head.id, outcome, self.status, self.attempts, elapsed);
        metrics::request(&self.head.route, self.head.rank, outcome, elapsed);
    }

    pub fn elapsed(&self) -> Span {
        self.traffic.clock.now().since(self.started)
    }

    /// The reply after the last attempt, which ended with this outcome and without a response.
    pub fn final_reply(&self, outcome: Outcome) -> LocalReply {
        if self.may_have_run {
            return if self.traffic.clock.now() >= self.deadline {
                LocalReply::TimedOut
            } else {
                LocalReply::ResponseLost
            };
        }
        let reason = match outcome {
            Outcome::Shed => Reason::QueueFull,
            _ => Reason::NoBackEnd,
        };
        LocalReply::NotRun(reason, NOT_READY_RETRY_AFTER)
    }

    /// Whether another back end may be tried.
    pub fn may_retry_elsewhere(&self) -> bool {
        let may_run = !self.may_have_run || self.head.route.may_retry();
        may_run
            && self.binding != StreamBinding::UnknownVersion
            && self.attempts < self.head.route.maximum_attempts
            && self.unreachable < MAXIMUM_UNREACHABLE
            && self.traffic.clock.now() < self.deadline
    }

    fn required_version(&self) -> Option<SoftwareVersion> {
        match &self.binding {
            StreamBinding::Version(version) => Some(version.clone()),
            StreamBinding::Unbound | StreamBinding::UnknownVersion => None,
        }
    }

    /// Requests a lease on any back end.
    pub async fn request_lease(&mut self) -> Result<Lease, LocalReply> {
        self.request_lease_on(None).await
    }

    /// Requests a lease on any back end, or on the required one.
    pub async fn request_lease_on(
        &mut self,
        required_instance: Option<InstanceId>,
    ) -> Result<Lease, LocalReply> {
        let now = self.traffic.clock.now();
        let demand = Demand {
            digest: self.digest,
            pool: self.pool.clone(),
            rank: self.head.route.rank,
            parts: self.head.parts.clone(),
            shared_parts: self.shared_parts(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            bytes: self.estimated_transfer_bytes(),
            target: self.head.route.target,
            event_gap_target: self.head.route.event_gap_target,
            remaining: now.until(self.deadline),
            allowed_regions: self.head.allowed_regions.clone(),
            excluded_back_ends: self.excluded_back_ends.clone(),
            may_retry: self.head.route.may_retry(),
            is_retry: self.attempts > 0,
            is_stream: self.head.route.kind == RouteKind::Streaming,
            required_instance,
            required_version: self.required_version(),
        };
        let is_first = self.attempts == 0 && self.unreachable == 0;
        let decision = self.traffic.control.dispatch(demand, is_first).await;
        match decision {
            Some(Decision::Grant(grant)) => {
                let head = &self.head;
                let attempt = self.attempts + 1;
                let digest = self.digest;
                events::granted(
                    &head.id,
                    &head.route.name,
                    head.rank,
                    attempt,
                    digest,
                    &grant,
                );
                let cached_tokens = head.prompt_tokens.saturating_sub(grant.uncached_tokens);
                metrics::prompt_tokens(cached_tokens, grant.uncached_tokens);
                if grant.replica.is_some() {
                    metrics::replica_started();
                }
                if let Some(source) = grant.retry_source {
                    metrics::retry(source);
                }
                let control = self.traffic.control.clone();
                Ok(Lease::new(grant, control, self.traffic.clock.now()))
            }
            Some(Decision::Refuse(reason, retry_after)) => {
                events::not_granted(&self.head.id, reason, retry_after);
                if reason == Reason::NoBackEndOfVersion {
                    metrics::stream_resumption("no_back_end", &self.pool);
                }
                Err(self.refusal(reason, retry_after))
            }
            None => Err(self.refusal(Reason::Draining, NOT_READY_RETRY_AFTER)),
        }
    }

    /// The parts of its prompt that other requests may share.
    pub fn shared_parts(&self) -> SharedParts {
        let caller = self.head.tenant.as_deref().unwrap_or_default();
        SharedParts {
            pool: self.pool.digest() as u32,
            caller: RequestDigest::of([caller.as_bytes()]).0 as u32,
            ids: Arc::clone(&self.head.shared_part_ids),
        }
    }

    /// The reply to a request that is refused for the remaining time because back ends crash while
    /// running it.
    pub fn refuse_crashing(&self, remaining: Span) -> LocalReply {
        let cancellations = &self.traffic.cancellations;
        LocalReply::CrashesBackEnds(CrashRefusal {
            digest: self.digest,
            parts: cancellations.quarantined_parts(&self.shared_parts()),
            duration: remaining,
            verdict: self.verdict(),
        })
    }

    fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Bytes of the request's body and an estimate of the response's.
    fn estimated_transfer_bytes(&self) -> u32 {
        let response_bytes = u64::from(self.head.output_tokens) * ASSUMED_BYTES_PER_TOKEN;
        let total = self.request.body.len() as u64 + response_bytes;
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    fn refusal(&self, reason: Reason, retry_after: Span) -> LocalReply {
        if reason == Reason::CrashesBackEnds {
            return self.refuse_crashing(retry_after);
        }
        if self.may_have_run {
            LocalReply::ResponseLost
        } else {
            LocalReply::NotRun(reason, retry_after)
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish(self.progress.memory.dropped_outcome());
    }
}
