//! Newtypes for everything that has an identity.
//!
//! Numeric identifiers are assigned by operators in the published configuration
//! or by the platform's directory. They are small on purpose: each of them
//! crosses the network with every admission message.

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
    /// One entry node, as numbered in its settings and the platform's directory.
    NodeId(u32)
);
numeric_identifier!(
    /// One run of a node's process: later runs of the same node have larger numbers.
    Incarnation(u64)
);
impl Incarnation {
    /// A short mark by which a node recognises answers to an earlier run: enough
    /// to tell two runs apart, and short because every datagram carries it.
    pub const fn mark(self) -> u16 {
        (self.0 & 0x3fff) as u16
    }
}

numeric_identifier!(
    /// One model engine or plain service instance.
    BackEndId(u32)
);
numeric_identifier!(
    /// One request class.
    ClassId(u8)
);
numeric_identifier!(
    /// One tenant.
    TenantId(u16)
);
numeric_identifier!(
    /// One pool of interchangeable back ends.
    PoolId(u8)
);
numeric_identifier!(
    /// One availability zone.
    ZoneId(u8)
);
numeric_identifier!(
    /// Priority of a class: tier 1 is the highest.
    Tier(u8)
);

/// The back ends of one pool in one zone that share a single admission queue.
///
/// A pool in a zone is split into several cells only when it has more back ends
/// than one queue should hold; `shard` numbers them from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Zone of the back ends.
    pub zone: ZoneId,
    /// Pool of the back ends.
    pub pool: PoolId,
    /// Number of this part of the pool.
    pub shard: u8,
}

impl fmt::Display for CellId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "z{}/p{}/{}", self.zone, self.pool, self.shard)
    }
}

/// One request as accepted by one run of one entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Node that accepted the request.
    pub node: NodeId,
    /// Run of that node.
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

/// Text that does not have the form `node-incarnation-sequence`.
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
