//! Messages between entry nodes.
//!
//! Any message may be lost, delayed, duplicated or reordered. Messages that must arrive
//! are resent until they are acknowledged, for a limited number of times, and handling
//! one twice is harmless.

use eiderferry_admission::{Observation, PrefixMark};
use eiderferry_config::{Configuration, ConfigurationDelta, Directory, DirectoryDelta};
use eiderferry_dissemination::Update;
use eiderferry_once::{ClaimResponse, KeyName};
use eiderferry_quarantine::{PartReport, RequestReport};
use eiderferry_types::{
    BackEndId, CellId, ClassId, Incarnation, NodeId, Reason, Span, TenantId, Verdict,
};
use serde::{Deserialize, Serialize};

/// One of the two documents that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The published configuration.
    Configuration,
    /// The list of entry nodes and back ends.
    Directory,
}

/// Identifies an attempt of a request among those of one run of its entry node, which
/// the envelope identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Sequence number of the request within the entry node's run.
    pub sequence: u64,
    /// Number of earlier attempts.
    pub attempt: u8,
}

/// A message between nodes.
///
/// The holder of a cell is the node that runs its admission queue; the entry node is
/// the node that accepted the request; the home of an idempotency key is the node that
/// decides who may use it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry node to holder: requests a slot.
    RequestSlot {
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
        /// Prefixes of the prompt, shortest first.
        prefixes: Vec<PrefixMark>,
        /// Time until the first token is due, in milliseconds.
        due_in_ms: u32,
        /// Whether the request may be queued; if not, it gets a slot immediately or is
        /// refused.
        may_wait: bool,
    },
    /// Holder to entry node: grants a slot on a back end.
    Grant {
        /// The attempt.
        attempt_id: AttemptId,
        /// Back end of the slot.
        back_end: BackEndId,
        /// Number of slots of the cell that are still free.
        free: u32,
    },
    /// Holder to entry node: the attempt waits in the queue.
    Queued {
        /// The attempt.
        attempt_id: AttemptId,
        /// Estimated wait in milliseconds.
        wait_ms: u32,
    },
    /// Holder to entry node: refuses a slot.
    Refuse {
        /// The attempt.
        attempt_id: AttemptId,
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which to retry, in milliseconds; zero if waiting doesn't help.
        retry_after_ms: u32,
    },
    /// To the entry node: the slot request must be sent again to the current holder,
    /// because the sender isn't the holder, can't verify that it is, or has emptied its
    /// queue.
    Resubmit {
        /// The attempt.
        attempt_id: AttemptId,
        /// Version of the sender's directory.
        directory: u64,
        /// The holder according to the sender, if that is another node and the sender
        /// has recently heard from it.
        live_holder: Option<NodeId>,
    },
    /// Entry node to holder: gives up a slot or a place in the queue.
    Release {
        /// The attempt.
        attempt_id: AttemptId,
        /// Cell of the slot.
        cell: CellId,
        /// What the entry node observed while it used the slot.
        observation: Observation,
    },
    /// Holder to entry node: acknowledges a release.
    Released {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Entry node to a new or restarted holder: registers a running attempt whose slot
    /// an earlier holder, or an earlier run of it, granted.
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
        /// Back end that the attempt runs on.
        back_end: BackEndId,
    },
    /// Holder to entry node: asks which of these attempts still use their slots.
    CheckLeases {
        /// Cell of the slots.
        cell: CellId,
        /// The attempts.
        attempt_ids: Vec<AttemptId>,
    },
    /// Entry node to holder: a stream is slower than its class's target.
    SlowStream {
        /// Cell of the slot.
        cell: CellId,
        /// The back end.
        back_end: BackEndId,
        /// Mean time between tokens.
        per_token: Span,
    },
    /// Holder to other nodes: reports the free slots of a cell.
    FreeSlots {
        /// The cell.
        cell: CellId,
        /// Number of slots that are neither leased nor waited for.
        free: u32,
    },
    /// Holder to the holders of the pool's other cells: reports the requests that tenants
    /// with limits run in its cell.
    TenantUsage {
        /// The cell.
        cell: CellId,
        /// Number of running requests per tenant.
        running: Vec<(TenantId, u32)>,
    },
    /// Entry node to the home of a key: claims the key for a request.
    Claim {
        /// The key.
        key: KeyName,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Home to entry node: grants or denies a claim.
    ClaimReply {
        /// Sequence number of the request.
        sequence: u64,
        /// The decision.
        reply: ClaimResponse,
    },
    /// Entry node to home: reports how the request that claimed a key ended.
    Settle {
        /// The key.
        key: KeyName,
        /// Sequence number of the request.
        sequence: u64,
        /// Whether the request has run.
        verdict: Verdict,
    },
    /// Home to entry node: acknowledges a settlement.
    Settled {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Probes a peer and reports the sender's document versions.
    Ping {
        /// Version of the configuration in force.
        configuration: u64,
        /// Version of the directory.
        directory: u64,
        /// Whether the sender is draining.
        draining: bool,
        /// Value that the reply returns; zero if the sender doesn't match replies.
        echo: u16,
    },
    /// The reply to a ping.
    Pong {
        /// Version of the configuration in force.
        configuration: u64,
        /// Version of the directory.
        directory: u64,
        /// Whether the sender is draining.
        draining: bool,
        /// The value from the ping, by which the receiver recognizes replies to its
        /// latest pings.
        echo: u16,
    },
    /// Reports requests during which back ends crashed.
    CrashingRequests {
        /// The sender's reports.
        reports: Vec<RequestReport>,
    },
    /// Requests a newer version of a document.
    Fetch {
        /// The document.
        kind: DocumentKind,
        /// Version that the sender has; zero requests the whole document.
        known_version: u64,
    },
    /// A newer configuration, whole or as a delta.
    ConfigurationUpdate(Update<Configuration, ConfigurationDelta>),
    /// A newer directory, whole or as a delta.
    DirectoryUpdate(Update<Directory, DirectoryDelta>),
    /// Reports prompt parts during which back ends crashed.
    CrashingParts {
        /// The sender's reports.
        reports: Vec<PartReport>,
    },
}

/// A batch of messages from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Mark of the receiver's last known incarnation; `None` if unknown. The receiver
    /// drops replies that were meant for an earlier run.
    pub receiver: Option<u16>,
    /// The messages.
    pub messages: Vec<Message>,
}
