//! Messages between nodes.

use crate::fleet::traffic::MessageKind;
use crate::{Change, LimitReport, TableStamp, VersionVector};
use eiderferry_quarantine::{PartReport, RequestReport};
use eiderferry_routing::{NodeName, PartId, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Load that one node, or a group of nodes, has at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// Running requests.
    pub running: u16,
    /// Expected number of running streams that a long prefill on the same back end would delay,
    /// in hundredths of a stream: the sum of their delay probabilities.
    pub exposed_hundredths: u16,
    /// Running requests whose own prompts take long to prefill.
    pub long_prefills: u16,
    /// Tokens of memory, in hundreds, that the running requests will occupy when they end and
    /// that no other request shares.
    pub unshared_hundreds: u16,
    /// Prompt tokens of the running requests that are not yet prefilled, in hundreds.
    pub pending_hundreds: u16,
    /// Unshared tokens of all requests ever placed there, in hundreds. They displace shared
    /// prompt parts from the back end's cache.
    pub placed_hundreds: u64,
    /// Requests completed in the last seconds.
    pub completed: u16,
    /// Requests failed in the last seconds.
    pub failed: u16,
}

/// Loads and placements of all nodes of a zone, as collected by one of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Zone whose nodes these are.
    pub zone: ZoneName,
    /// Digest of the node that collected the data.
    pub reporter: u64,
    /// Age of the data in milliseconds.
    pub age_ms: u32,
    /// Loads by back end.
    pub loads: Vec<LoadReport>,
    /// Shared prompt parts that the zone's nodes placed recently.
    pub placements: Vec<Placement>,
}

/// A prompt part that was sent to a back end, or a cache observation that the back end reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// The prompt part.
    pub part: PartId,
    /// Length of the part in tokens; 0 if the back end no longer caches it.
    pub tokens: u32,
    /// Whether the back end itself reported that it caches the part or has evicted it.
    pub is_observed: bool,
}

/// A node as reported by another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node's address for messages between nodes.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Time since any node last heard from it, as far as the sender knows, in milliseconds.
    pub silence_ms: u32,
}

/// Loads and placements of the whole fleet, sent by an aggregator to the nodes of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Loads of all nodes, including the receiver.
    pub loads: Vec<LoadReport>,
    /// Shared prompt parts placed since the last summary.
    pub placements: Vec<Placement>,
    /// The other zones from which a digest was received.
    pub zones: Vec<ZoneAge>,
    /// Time until the sender's next summary for the receiver, in milliseconds.
    pub next_summary_ms: u16,
}

/// Age of the last data about a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAge {
    /// The zone.
    pub zone: ZoneName,
    /// Time since its last digest was collected, in milliseconds.
    pub age_ms: u32,
}

/// A message with its recipients.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Purpose of the message.
    pub kind: MessageKind,
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// The message for each of them.
    pub message: Gossip,
}

/// The only message type of the protocol. Each node sends it at a fixed rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Name of the sender.
    pub from: NodeName,
    /// Identifies the sender's process run: changes with each start.
    pub incarnation: u32,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Bandwidth of the sender's link in Mbit/s. Roles that send a lot of data go to nodes with
    /// fast links.
    pub link_mbps: u16,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Whether the receiver is to reply immediately.
    pub wants_reply: bool,
    /// The changes that the sender knows.
    #[serde(rename = "complete_to")]
    pub version_vector: VersionVector,
    /// Stamp of the routing table in force at the sender.
    pub table_stamp: TableStamp,
    /// Time since the platform confirmed the sender's documents, in milliseconds.
    pub confirmed_ms: Option<u32>,
    /// Loads of the sender; `None` if the message doesn't report them.
    pub loads: Option<Vec<LoadReport>>,
    /// Whether the sender regards the receiver as an aggregator of its zone.
    pub is_for_aggregator: bool,
    /// Loads and placements of whole zones.
    pub zone_digests: Vec<ZoneDigest>,
    /// Loads and placements of the whole fleet.
    pub summary: Option<FleetSummary>,
    /// Shared prompt parts that were placed recently.
    pub placements: Vec<Placement>,
    /// A sample of other nodes.
    pub members: Vec<Member>,
    /// The latest changes, if they are few and small.
    pub recent_changes: Option<ChangeBatch>,
    /// Requests that coincided with back-end crashes.
    pub crashing_requests: Vec<RequestReport>,
    /// Rate limits that back ends reported.
    pub limits: Vec<LimitReport>,
    /// Prompt parts that back ends were running when they crashed. Nodes of earlier software send
    /// neither this field nor the next one.
    pub crashing_parts: Vec<PartReport>,
    /// Time since a reader's call to the platform failed, in milliseconds, if the platform has
    /// confirmed nothing since.
    pub source_failed_ms: Option<u32>,
}

impl LoadReport {
    /// Whether the report contains anything.
    pub(crate) fn has_content(&self) -> bool {
        self.running > 0 || self.completed > 0 || self.failed > 0
    }
}

/// Consecutive changes that follow a base version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Changes that the receiver must know already.
    #[serde(rename = "after")]
    pub base: VersionVector,
    /// All changes between `base` and the sender's `version_vector`.
    pub changes: Vec<Change>,
}
