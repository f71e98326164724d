//! What a request asks for, and what becomes of it.

use crate::{Candidate, Revision};
use eiderferry_routing::{AllowedRegions, InstanceId, PartId, PoolName};
use eiderferry_types::{Reason, RequestDigest, Span};
use std::net::SocketAddr;

/// Names a granted place on a back end within one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A part of a prompt with its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Which text.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A request that wants a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// What it asks, alike each time that its caller sends it.
    pub digest: RequestDigest,
    /// Pool it goes to.
    pub pool: PoolName,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Parts of its prompt in order; empty for plain services.
    pub parts: Vec<PromptPart>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that may come out.
    pub output_tokens: u32,
    /// Bytes of the request and, as far as they can be told, of its answer.
    pub bytes: u32,
    /// Time within which the answer, or its first event, is in time.
    pub target: Span,
    /// Longest pause between events that is in time, for streams.
    pub event_gap_target: Option<Span>,
    /// Time until the caller gives up.
    pub remaining: Span,
    /// Regions in which it may run.
    pub allowed_regions: AllowedRegions,
    /// Back ends that have failed it already.
    pub excluded_back_ends: Vec<InstanceId>,
    /// Whether it may be sent again after it has reached a back end.
    pub may_retry: bool,
    /// Whether an earlier attempt of the same request has reached a back end.
    pub is_retry: bool,
    /// Whether it is answered by a stream of events.
    pub is_stream: bool,
    /// The only back end that can take it: the holder of its replica.
    pub required_instance: Option<InstanceId>,
}

/// The engine that holds a replica of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// Engine.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
}

/// A place on a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Name of the place; to be given back.
    pub lease: LeaseId,
    /// Back end.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Most connections this node may hold to it.
    pub connections: u32,
    /// Tokens of the prompt that it is expected to read.
    pub uncached_tokens: u32,
    /// How long ago the engine told that it keeps what it is expected to find of the shared
    /// parts; `None` where that is only believed, or nothing is found.
    pub cache_observation_age: Option<Span>,
    /// Engine from which it is to copy what it lacks of the prompt.
    pub copy_from: Option<SocketAddr>,
    /// Engine at which a replica of the run is kept up.
    pub replica: Option<Box<ReplicaTarget>>,
    /// Whether the back end has named a rate limit: an answer that names none ends it.
    pub has_limit: bool,
    /// What was expected of the back end when it was chosen.
    pub candidate: Box<Candidate>,
    /// Revision of the list of back ends that the choice rests on.
    pub revision: Revision,
    /// Age of the youngest confirmation of that list.
    pub list_age: Span,
}

/// What is decided about a demand.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it there now.
    Grant(Grant),
    /// Refuse it; it has not run. Trying again may help after the span.
    Refuse(Reason, Span),
}

/// How an attempt at a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of success came.
    Completed,
    /// A whole answer that finds fault with the request.
    Rejected,
    /// A whole answer that reports a failure of the back end.
    Failed,
    /// The back end refused it; it did not run.
    Shed,
    /// Another run of a back end has the address.
    InstanceReplaced,
    /// Nothing answered: no connection came up.
    Unreachable,
    /// The connection was refused: nothing listens there, on a machine that can be reached.
    ConnectionRefused,
    /// This node's own bounds kept it from being sent; says nothing of the back end.
    NotSent,
    /// The answer broke off, or was none.
    IncompleteResponse,
    /// No answer, or no further event, in time.
    TimedOut,
    /// This node took it back, as back ends crash under it; says nothing of the back end.
    Cancelled,
    /// The caller left, or a planned stop ended it; says nothing of the back end.
    Abandoned,
}

impl Demand {
    /// Whether a back end has not failed it and is not ruled out.
    pub(crate) fn is_allowed_on(&self, instance: &InstanceId) -> bool {
        let is_required = self
            .required_instance
            .as_ref()
            .is_none_or(|required| required == instance);
        is_required && !self.excluded_back_ends.contains(instance)
    }

    /// The parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }

    /// Tokens that no other request shares: the rest of the prompt, and the answer.
    pub fn unshared_tokens(&self) -> u32 {
        let unshared_prompt = self.prompt_tokens.saturating_sub(self.shared_tokens());
        unshared_prompt.saturating_add(self.output_tokens)
    }

    /// Length of these parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

impl Outcome {
    /// The word used in logs and metrics.
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
