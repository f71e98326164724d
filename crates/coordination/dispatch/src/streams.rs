//! Software versions of streams: which nodes store them, and how a node that is asked to resume a
//! stream finds its version.
//!
//! A stream may continue only at the software version that produced its first event. A caller may
//! resume its stream at any node. The node that forwards the first event therefore sends a record
//! of the version to a few owners, which every node computes from the stream's id. If a version
//! can't be found, the request is refused rather than sent to an arbitrary version.

pub(crate) mod lookups;
pub(crate) mod message;
pub(crate) mod owners;
pub(crate) mod records;
