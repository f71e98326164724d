//! Requirements of a request, and the outcome of placing it.

use crate::{Candidate, RetrySource, Revision};
use eiderferry_quarantine::SharedParts;
use eiderferry_routing::{AllowedRegions, InstanceId, PartId, PoolName, SoftwareVersion};
use eiderferry_types::{Reason, RequestDigest, Span};
use std::net::SocketAddr;

/// Identifies a lease on a back end within one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A part of a prompt with its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request that needs a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Digest of the request; the same whenever its caller sends it again.
    pub digest: RequestDigest,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Priority rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Parts of its prompt in order; empty for plain services.
    pub parts: Vec<PromptPart>,
    /// All parts of its prompt that other requests may share.
    pub shared_parts: SharedParts,
    /// Length of its prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Size of the request and, as far as it can be estimated, of its response, in bytes.
    pub bytes: u32,
    /// Target for the time to the complete response or, for streams, to the first event.
    pub target: Span,
    /// Target for the longest gap between events of a stream.
    pub event_gap_target: Option<Span>,
    /// Time until the caller's deadline.
    pub remaining: Span,
    /// Regions in which it may run.
    pub allowed_regions: AllowedRegions,
    /// Back ends on which it has already failed.
    pub excluded_back_ends: Vec<InstanceId>,
    /// Whether it may be retried after it has reached a back end.
    pub may_retry: bool,
    /// Whether an earlier attempt of the same request has reached a back end.
    pub is_retry: bool,
    /// Whether its response is a stream of events.
    pub is_stream: bool,
    /// The only back end that can serve it, as the holder of its replica.
    pub required_instance: Option<InstanceId>,
    /// Software version that its back end must run, for a stream that has already started.
    pub required_version: Option<SoftwareVersion>,
}

/// The engine that holds a replica of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// Instance of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// A lease on a back end, with the decision behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The lease; it must be released.
    pub lease: LeaseId,
    /// Instance of the back end.
    pub instance: InstanceId,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Its software version, if its entry states one.
    pub version: Option<SoftwareVersion>,
    /// Maximum number of connections that this node may hold to it.
    pub connections: u32,
    /// Prompt tokens that it is expected to prefill.
    pub uncached_tokens: u32,
    /// Time since the engine reported that it caches the expected shared parts; `None` if that is
    /// only assumed, or if no part is expected to be cached.
    pub cache_observation_age: Option<Span>,
    /// Engine from which it is to copy missing parts of the prompt.
    pub copy_from: Option<SocketAddr>,
    /// Engine that keeps a replica of the run.
    pub replica: Option<Box<ReplicaTarget>>,
    /// Whether the back end has stated a rate limit; a response that states none lifts it.
    pub has_limit: bool,
    /// For a retry, the part of the retry budget that it was taken from.
    pub retry_source: Option<RetrySource>,
    /// Estimates on which the choice of the back end rests.
    pub candidate: Box<Candidate>,
    /// Revision of the list of back ends on which the decision rests.
    pub revision: Revision,
    /// Time since that list was last confirmed.
    pub list_age: Span,
}

/// Decision about a demand.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this back end now.
    Grant(Grant),
    /// Refuse it without running it; a retry may succeed after the span.
    Refuse(Reason, Span),
}

/// How an attempt at a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete successful response.
    Completed,
    /// A complete response that reports an error in the request.
    Rejected,
    /// A complete response that reports a failure of the back end.
    Failed,
    /// The back end refused the request without running it.
    Shed,
    /// The address belongs to another run of a back end.
    InstanceReplaced,
    /// No connection could be established.
    Unreachable,
    /// The connection was refused: nothing listens at the port of a reachable machine.
    ConnectionRefused,
    /// A limit of this node kept the request from being sent; says nothing about the back end.
    NotSent,
    /// The response was truncated or malformed.
    IncompleteResponse,
    /// No response, or no further event, before the timeout.
    TimedOut,
    /// This node cancelled the request because it crashes back ends; says nothing about the back
    /// end.
    Cancelled,
    /// The caller disconnected, or a planned stop ended the request; says nothing about the back
    /// end.
    Abandoned,
}

/// How far a run had come when its connection broke, by what had been received of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProgress {
    /// Nothing had been received.
    Waiting,
    /// The head of the response had been received this long before, and no event.
    Started(Span),
    /// The first event had been received this long before.
    Writing(Span),
}

impl RunProgress {
    /// Name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunProgress::Waiting => "waiting",
            RunProgress::Started(_) => "started",
            RunProgress::Writing(_) => "writing",
        }
    }

    /// Time since the head or the first event was received; zero if neither was.
    pub const fn duration(self) -> Span {
        match self {
            RunProgress::Waiting => Span::ZERO,
            RunProgress::Started(duration) | RunProgress::Writing(duration) => duration,
        }
    }
}

impl Demand {
    /// Whether the request has not failed on a back end and is not pinned to another one.
    pub(crate) fn is_allowed_on(&self, instance: &InstanceId) -> bool {
        let is_required = self
            .required_instance
            .as_ref()
            .is_none_or(|required| required == instance);
        is_required && !self.excluded_back_ends.contains(instance)
    }

    /// Whether a back end of this software version can serve the request.
    pub(crate) fn is_allowed_at(&self, version: Option<&SoftwareVersion>) -> bool {
        let required = self.required_version.as_ref();
        required.is_none_or(|required| version == Some(required))
    }

    /// The parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Tokens that no other request shares: the rest of the prompt, and the output.
    pub fn unshared_tokens(&self) -> u32 {
        let unshared_prompt = self.prompt_tokens.saturating_sub(self.shared_tokens());
        unshared_prompt.saturating_add(self.output_tokens)
    }

    /// Total length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

impl Outcome {
    /// Name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Rejected => "rejected",
            Outcome::Failed => "failed",
            Outcome::Shed => "shed",
            Outcome::InstanceReplaced => "replaced",
            Outcome::Unreachable => "unreachable",
            Outcome::ConnectionRefused => "refused",
            Outcome::NotSent => "not_sent",
            Outcome::IncompleteResponse => "broken",
            Outcome::TimedOut => "silent",
            Outcome::Cancelled => "withdrawn",
            Outcome::Abandoned => "abandoned",
        }
    }
}
