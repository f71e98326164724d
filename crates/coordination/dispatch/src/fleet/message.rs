//! What nodes tell each other.

use crate::fleet::traffic::MessageKind;
use crate::{Change, LimitReport, TableStamp, VersionVector};
use eiderferry_quarantine::RequestReport;
use eiderferry_routing::{NodeName, PartId, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Requests of one node at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// Requests that the sender has there.
    pub running: u16,
    /// Streams among them that a long prompt read beside them would make late, in
    /// hundredths of a stream: the sum of their chances.
    pub exposed_hundredths: u16,
    /// Those of them whose own prompts take long to read.
    pub long_prefills: u16,
    /// Tokens of memory that they take at their end and that only one of them has, in
    /// hundreds.
    pub unshared_hundreds: u16,
    /// Prompt tokens of these that it has still to read, in hundreds.
    pub pending_hundreds: u16,
    /// Tokens that only single requests have, of all that the sender ever placed there,
    /// in hundreds: they take room from shared parts.
    pub placed_hundreds: u64,
    /// Requests of the sender that ended well there in the last seconds.
    pub completed: u16,
    /// Those that failed.
    pub failed: u16,
}

/// What all nodes of a zone have at back ends, as one of these nodes counted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneName,
    /// Digest of the node that counted them.
    pub reporter: u64,
    /// How long ago they were counted, in milliseconds.
    pub age_ms: u32,
    /// The requests.
    pub loads: Vec<LoadReport>,
    /// Shared parts of prompts that the zone's nodes placed lately.
    pub placements: Vec<Placement>,
}

/// A prompt part that was sent to a back end, or what the back end told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// The part.
    pub part: PartId,
    /// Its length in tokens; 0 where the back end keeps it no longer.
    pub tokens: u32,
    /// Whether the back end itself told that it keeps it, or no longer does.
    pub is_observed: bool,
}

/// A node as others tell of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address for messages.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// How long ago it was heard, in milliseconds, by whoever heard it last.
    pub silent_ms: u32,
}

/// What all nodes of the fleet have at back ends and placed there, as an aggregator tells
/// the nodes of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Requests of all nodes, those of the receiver included.
    pub loads: Vec<LoadReport>,
    /// Shared parts of prompts placed since the last summary.
    pub placements: Vec<Placement>,
    /// The other zones that were heard.
    pub zones: Vec<ZoneAge>,
    /// Time until the receiver gets the sender's next summary, in milliseconds.
    pub next_summary_ms: u16,
}

/// How long ago anything was heard of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAge {
    /// The zone.
    pub zone: ZoneName,
    /// Time since its last digest was counted, in milliseconds.
    pub age_ms: u32,
}

/// A message and the nodes that get it.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// What it is for.
    pub kind: MessageKind,
    /// Addresses of the nodes.
    pub to: Vec<SocketAddr>,
    /// What they get.
    pub message: Gossip,
}

/// The one message of the protocol; each node sends it at a steady rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender.
    pub from: NodeName,
    /// Run of the sender: another number after each start.
    pub incarnation: u32,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Bandwidth of the sender's link in Mbit/s: duties that send much go to strong links.
    pub link_mbps: u16,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Whether an answer is wanted at once.
    pub wants_reply: bool,
    /// The changes that the sender knows.
    #[serde(rename = "complete_to")]
    pub version_vector: VersionVector,
    /// Stamp of the routing table in force at the sender.
    pub table_stamp: TableStamp,
    /// How long ago the platform confirmed that, in milliseconds.
    pub confirmed_ms: Option<u32>,
    /// Requests of the sender at back ends; `None` where the message doesn't tell them.
    pub loads: Option<Vec<LoadReport>>,
    /// The sender takes the receiver for an aggregator of its zone.
    pub is_for_aggregator: bool,
    /// What whole zones have at back ends.
    pub zone_digests: Vec<ZoneDigest>,
    /// What the whole fleet has at back ends.
    pub summary: Option<FleetSummary>,
    /// Shared parts of prompts placed lately.
    pub placements: Vec<Placement>,
    /// Some other nodes.
    pub members: Vec<Member>,
    /// The latest changes, where they are few and small.
    pub recent_changes: Option<ChangeBatch>,
    /// Requests under which back ends crashed.
    pub crashing_requests: Vec<RequestReport>,
    /// What back ends said of their rate limits.
    pub limits: Vec<LimitReport>,
}

impl LoadReport {
    /// Whether there is anything to tell.
    pub(crate) fn has_content(&self) -> bool {
        self.running > 0 || self.completed > 0 || self.failed > 0
    }
}

/// Changes that follow without a gap on those that the receiver must know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Changes that the receiver must know.
    #[serde(rename = "after")]
    pub base: VersionVector,
    /// All changes from there to the sender's `version_vector`.
    pub changes: Vec<Change>,
}
