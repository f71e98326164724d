//! Messages between entry nodes.
//!
//! Every message may be lost, delayed, doubled or overtaken. Whatever matters is
//! repeated by its sender until it is answered, and harmless when it comes twice.

use eiderferry_admission::{Observation, PrefixMark};
use eiderferry_config::{Configuration, ConfigurationDelta, Directory, DirectoryDelta};
use eiderferry_dissemination::Update;
use eiderferry_once::{ClaimAnswer, KeyName};
use eiderferry_quarantine::RequestReport;
use eiderferry_types::{
    BackEndId, CellId, ClassId, Incarnation, NodeId, Reason, Span, TenantId, Verdict,
};
use serde::{Deserialize, Serialize};

/// Which shared document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The published configuration.
    Configuration,
    /// The list of machines.
    Directory,
}

/// One attempt, as named between its entry node and a holder; the envelope names
/// the node and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Number of the request within the entry node's run.
    pub sequence: u64,
    /// Attempts before this one.
    pub attempt: u8,
}

/// What one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry node to holder: wants a slot.
    RequestSlot {
        /// The attempt.
        attempt_id: AttemptId,
        /// Cell asked for.
        cell: CellId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request.
        tenant: TenantId,
        /// Prompt length in tokens.
        prompt_tokens: u32,
        /// Prefixes of the prompt, shortest first.
        prefixes: Vec<PrefixMark>,
        /// Time until the first token is due, in milliseconds.
        due_in_ms: u32,
        /// Whether it may wait; else it wants a slot at once or a refusal.
        may_wait: bool,
    },
    /// Holder to entry node: run on this back end.
    Grant {
        /// The attempt.
        attempt_id: AttemptId,
        /// Where.
        back_end: BackEndId,
        /// Slots of the cell that are still free.
        free: u32,
    },
    /// Holder to entry node: waits in the queue.
    Queued {
        /// The attempt.
        attempt_id: AttemptId,
        /// Estimated wait in milliseconds.
        wait_ms: u32,
    },
    /// Holder to entry node: no slot.
    Refuse {
        /// The attempt.
        attempt_id: AttemptId,
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds; zero where waiting does not help.
        retry_after_ms: u32,
    },
    /// Asked node to entry node: ask the holder again; it is not this node, or
    /// this node forgot its queue.
    Resubmit {
        /// The attempt.
        attempt_id: AttemptId,
        /// Version of the directory by which this node judges.
        directory: u64,
        /// The holder that this node has heard from just now, if it is another.
        live_holder: Option<NodeId>,
    },
    /// Entry node to holder: the slot is free, or the wait is over.
    Release {
        /// The attempt.
        attempt_id: AttemptId,
        /// Cell of the slot.
        cell: CellId,
        /// What was seen.
        observation: Observation,
    },
    /// Holder to entry node: release noted.
    Released {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Entry node to a new holder: runs by leave of an earlier holder.
    Register {
        /// The attempt.
        attempt_id: AttemptId,
        /// Cell of the slot.
        cell: CellId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request.
        tenant: TenantId,
        /// Prompt length in tokens.
        prompt_tokens: u32,
        /// Where it runs.
        back_end: BackEndId,
    },
    /// Holder to entry node: do these attempts still use their slots?
    CheckLeases {
        /// Cell of the slots.
        cell: CellId,
        /// The attempts.
        attempt_ids: Vec<AttemptId>,
    },
    /// Entry node to holder: a stream is slower than it should be.
    SlowStream {
        /// Cell of the slot.
        cell: CellId,
        /// The back end.
        back_end: BackEndId,
        /// Mean time between tokens.
        per_token: Span,
    },
    /// Holder to nodes elsewhere: free slots in a cell.
    FreeSlots {
        /// The cell.
        cell: CellId,
        /// Slots that nobody waits for.
        free: u32,
    },
    /// Holder to the holders of the same pool in other zones: what tenants with
    /// limits use here.
    TenantUsage {
        /// The cell.
        cell: CellId,
        /// Requests running, per tenant.
        running: Vec<(TenantId, u32)>,
    },
    /// Entry node to the home of a key: may I dispatch it?
    Claim {
        /// The key.
        key: KeyName,
        /// The request on whose behalf.
        sequence: u64,
    },
    /// Home to entry node.
    ClaimReply {
        /// The request.
        sequence: u64,
        /// The answer.
        reply: ClaimAnswer,
    },
    /// Entry node to home: how the request ended.
    Settle {
        /// The key.
        key: KeyName,
        /// The request.
        sequence: u64,
        /// What may be concluded.
        verdict: Verdict,
    },
    /// Home to entry node: settlement noted.
    Settled {
        /// The request.
        sequence: u64,
    },
    /// A sign of life, and the versions known.
    Ping {
        /// Version of the configuration in force.
        configuration: u64,
        /// Version of the directory.
        directory: u64,
        /// Whether the sender drains.
        draining: bool,
        /// To be repeated in the answer; zero if nothing hangs on it.
        echo: u16,
    },
    /// The answer to a ping.
    Pong {
        /// Version of the configuration in force.
        configuration: u64,
        /// Version of the directory.
        directory: u64,
        /// Whether the sender drains.
        draining: bool,
        /// The ping's own: tells answers to new pings from old ones.
        echo: u16,
    },
    /// Requests under which back ends crashed.
    CrashingRequests {
        /// What the sender knows of them.
        reports: Vec<RequestReport>,
    },
    /// Wants a newer version of a document.
    Fetch {
        /// Which.
        kind: DocumentKind,
        /// Version known.
        known_version: u64,
    },
    /// A newer configuration.
    ConfigurationUpdate(Update<Configuration, ConfigurationDelta>),
    /// A newer directory.
    DirectoryUpdate(Update<Directory, DirectoryDelta>),
}

/// Messages from one node to another, sent together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: NodeId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Mark of the receiver's run as last heard of; `None` if unknown. A message
    /// that answers an earlier run is dropped.
    pub receiver: Option<u16>,
    /// The messages.
    pub messages: Vec<Message>,
}
