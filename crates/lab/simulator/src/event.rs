//! Events of the simulation.

use crate::network::Destination;
use eiderferry_node::{Dispatch, DocumentKind, Envelope, PlatformDocument};
use eiderferry_types::{BackEndId, Timestamp};

/// An event scheduled on the virtual clock.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next model request of a load arrives.
    Arrival { load: usize },
    /// The next call of a service load arrives.
    ServiceArrival { load: usize },
    /// A caller retries a service call at another node.
    ServiceRetry { request: usize },
    /// A caller's timeout for the first token expires.
    FirstTokenTimeout { request: usize },
    /// A caller tries another node after one refused the connection or the request.
    RetryAtNextNode { request: usize },
    /// An envelope of messages reaches a node.
    Deliver { to: Destination, envelope: Envelope },
    /// A node runs its periodic work.
    Tick { node: usize, run: u32 },
    /// A node's process sends a request to a back end.
    SendToBackEnd {
        node: usize,
        run: u32,
        dispatch: Dispatch,
    },
    /// A request reaches a back end.
    ReachBackEnd {
        node: usize,
        run: u32,
        dispatch: Dispatch,
    },
    /// A node that was paused receives a caller's request.
    ReceiveRequest {
        request: usize,
        node: usize,
        run: u32,
    },
    /// A node checks whether a stream has stalled since then.
    StallCheck {
        request: usize,
        attempt: u8,
        since: Timestamp,
    },
    /// A node learns that an attempt failed, after or without a connection.
    AttemptFailed {
        request: usize,
        attempt: u8,
        connected: bool,
    },
    /// An engine's step ends.
    StepEnd { engine: usize, run: u32 },
    /// A node that was paused receives a token.
    DeferredToken {
        request: usize,
        attempt: u8,
        index: u32,
        last: bool,
    },
    /// A service has executed a call and responds.
    ServiceCompleted {
        request: usize,
        attempt: u8,
        back_end: usize,
        run: u32,
    },
    /// The platform's response reaches a node.
    PlatformResponse {
        node: usize,
        run: u32,
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    },
    /// A node's poll of the load reaches a back end.
    Poll {
        node: usize,
        run: u32,
        back_end: BackEndId,
        cursor: u64,
    },
    /// A fault begins.
    FaultStart { fault: usize },
    /// A fault ends.
    FaultEnd { fault: usize },
    /// The platform removes a dead node from the directory, unless it has restarted.
    Delist { node: usize, run: u32 },
    /// Metrics are sampled.
    Sample,
}
