//! Message kinds and distances between nodes, the labels by which control traffic is counted.

use eiderferry_routing::{ZoneName, ZoneRegions};

/// Purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Load report of a node to the aggregators of its zone.
    Report,
    /// Load of the whole fleet, sent by an aggregator to the nodes of its zone.
    Summary,
    /// Load of a whole zone, sent to another zone.
    Digest,
    /// Periodic state of a node, sent to a peer.
    Peer,
    /// Message that asks for an immediate reply.
    Query,
    /// Reply to a query.
    Reply,
    /// Notice that newer documents are available.
    Announcement,
    /// Documents sent to a node that lacks them.
    Documents,
    /// Record, query or answer about the software version of a stream.
    Stream,
}

impl MessageKind {
    /// Value of the metrics label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Summary => "summary",
            Self::Digest => "digest",
            Self::Peer => "peer",
            Self::Query => "question",
            Self::Reply => "answer",
            Self::Announcement => "announcement",
            Self::Documents => "documents",
            Self::Stream => "stream",
        }
    }
}

/// Network distance between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In different zones of the same region, or of regions that aren't known.
    CrossZone,
    /// In different regions.
    CrossRegion,
    /// The zone of one node isn't known, as it has not been heard yet.
    Unknown,
}

impl Distance {
    /// Distance between two zones.
    pub fn between(one: &ZoneName, other: &ZoneName, regions: &ZoneRegions) -> Self {
        if one == other {
            return Self::SameZone;
        }
        match (regions.get(one), regions.get(other)) {
            (Some(region), Some(other)) if region != other => Self::CrossRegion,
            _ => Self::CrossZone,
        }
    }

    /// Value of the metrics label.
    pub fn label(self) -> &'static str {
        match self {
            Self::SameZone => "none",
            Self::CrossZone => "zone",
            Self::CrossRegion => "region",
            Self::Unknown => "unknown",
        }
    }
}
