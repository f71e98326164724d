//! Kinds of messages and the borders that they cross, for counting what control costs.

use eiderferry_routing::{ZoneName, ZoneRegions};

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// A node's work, for the aggregators of its zone.
    Report,
    /// The sums of all nodes, by an aggregator to its zone.
    Summary,
    /// What a whole zone has at back ends, for another zone.
    Digest,
    /// A node tells another how it stands.
    Peer,
    /// A node asks for an answer.
    Query,
    /// The answer.
    Reply,
    /// Newer documents are known.
    Announcement,
    /// Documents handed to a node that lacks them.
    Documents,
}

impl MessageKind {
    /// The kind as a label of metrics.
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
        }
    }
}

/// What lies between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are in one zone.
    SameZone,
    /// They are in two zones of one region, or of regions that aren't known.
    CrossZone,
    /// They are in two regions.
    CrossRegion,
    /// The zone of one isn't known: it has not been heard.
    Unknown,
}

impl Distance {
    /// The distance between two zones.
    pub fn between(one: &ZoneName, other: &ZoneName, regions: &ZoneRegions) -> Self {
        if one == other {
            return Self::SameZone;
        }
        match (regions.get(one), regions.get(other)) {
            (Some(region), Some(other)) if region != other => Self::CrossRegion,
            _ => Self::CrossZone,
        }
    }

    /// The distance as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::SameZone => "none",
            Self::CrossZone => "zone",
            Self::CrossRegion => "region",
            Self::Unknown => "unknown",
        }
    }
}
