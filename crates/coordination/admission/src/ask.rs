//! Messages that entry nodes send to the holder of a cell.

use eiderferry_types::{ClassId, RequestId, Span, TenantId, Timestamp};
use serde::{Deserialize, Serialize};

/// One attempt of one request; identifies the lease of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// Number of earlier attempts.
    pub attempt: u8,
}

/// A prefix of a prompt, identified by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixMark {
    /// Hash of the prefix's text.
    pub hash: u32,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// A request for one slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Identifies the lease.
    pub ticket: Ticket,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Prompt length in tokens, as estimated by the entry node.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt, from shortest to longest.
    pub prefixes: Vec<PrefixMark>,
    /// When the first token is due, on the holder's clock.
    pub first_token_due: Timestamp,
    /// When the request reached the holder, on the holder's clock.
    pub arrived: Timestamp,
}

/// How the use of a leased slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response is complete.
    Completed,
    /// The back end aborted the response or could not be reached.
    Failed,
    /// The caller disconnected, or the grant arrived too late to be used.
    Cancelled,
}

/// What the entry node measured while it used a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// How the use of the slot ended.
    pub outcome: Outcome,
    /// Response tokens received.
    pub tokens: u32,
    /// Time from dispatch to the first token, if one was received.
    pub first_token: Option<Span>,
    /// Mean time between tokens, if two or more were received.
    pub per_token: Option<Span>,
}

impl Observation {
    /// A slot that was released unused.
    pub const UNUSED: Observation = Observation {
        outcome: Outcome::Cancelled,
        tokens: 0,
        first_token: None,
        per_token: None,
    };
}
