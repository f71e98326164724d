//! Newtypes for identifiers.
//!
//! Numeric identifiers are assigned by operators in the published configuration
//! or by the platform's directory. They are small because admission messages
//! carry them over the network.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! numeric_identifier {
    ($(#[$documentation:meta])* $name:ident($inner:ty)) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

numeric_identifier!(
    /// Number of an entry node, from its settings and the platform's directory.
    NodeId(u32)
);
numeric_identifier!(
    /// Number of one run of a node's process; later runs of the same node have larger numbers.
    Incarnation(u64)
);
impl Incarnation {
    /// The low 14 bits, by which a node recognises messages that answer an earlier run of it.
    /// They suffice to distinguish two runs and are short because every datagram carries them.
    pub const fn mark(self) -> u16 {
        (self.0 & 0x3fff) as u16
    }
}

numeric_identifier!(
    /// Number of a back end: a model engine or an instance of another service.
    BackEndId(u32)
);
numeric_identifier!(
    /// Number of a request class.
    ClassId(u8)
);
numeric_identifier!(
    /// Number of a tenant.
    TenantId(u16)
);
numeric_identifier!(
    /// Number of a pool of interchangeable back ends.
    PoolId(u8)
);
numeric_identifier!(
    /// Number of an availability zone.
    ZoneId(u8)
);
numeric_identifier!(
    /// Priority tier of a request class; 1 is the highest.
    Tier(u8)
);

/// The back ends of one pool in one zone that share a single admission queue.
///
/// The back ends of a pool in a zone are split into several cells only if they are too many
/// for one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Zone of the back ends.
    pub zone: ZoneId,
    /// Pool of the back ends.
    pub pool: PoolId,
    /// Number of the cell within the pool and zone, from 0.
    pub shard: u8,
}

impl fmt::Display for CellId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "z{}/p{}/{}", self.zone, self.pool, self.shard)
    }
}

/// Identifies a request by the node that accepted it, the run of that node and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Node that accepted the request.
    pub node: NodeId,
    /// Run of that node's process.
    pub incarnation: Incarnation,
    /// Number of the request within that run.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}-{:x}-{}",
            self.node, self.incarnation.0, self.sequence
        )
    }
}

/// The text does not have the form `node-incarnation-sequence`, with the incarnation in
/// hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequestId;

impl std::str::FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '-');
        let mut next_part = || parts.next().ok_or(InvalidRequestId);
        let node = next_part()?.parse().map_err(|_| InvalidRequestId)?;
        let incarnation = u64::from_str_radix(next_part()?, 16).map_err(|_| InvalidRequestId)?;
        let sequence = next_part()?.parse().map_err(|_| InvalidRequestId)?;
        Ok(Self {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            sequence,
        })
    }
}
