//! What can handle_event.

use crate::network::Destination;
use eiderferry_node::{Dispatch, DocumentKind, Envelope, PlatformDocument};
use eiderferry_types::{BackEndId, Timestamp};

/// Something scheduled on the virtual clock.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next request of a load arrives.
    Arrival { load: usize },
    /// The next call of a service load arrives.
    ServiceArrival { load: usize },
    /// A caller tries a service call at another node.
    ServiceRetry { request: usize },
    /// A caller gives up waiting for the first token.
    FirstTokenTimeout { request: usize },
    /// A caller tries another node because one took no connection.
    RetryAtNextNode { request: usize },
    /// Messages reach a node.
    Deliver { to: Destination, envelope: Envelope },
    /// A node's regular work.
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
    /// A caller's request reaches a node that had been paused.
    ReceiveRequest {
        request: usize,
        node: usize,
        run: u32,
    },
    /// A node looks whether a stream has stood still since then.
    StallCheck {
        request: usize,
        attempt: u8,
        since: Timestamp,
    },
    /// A node learns that an attempt has broken off.
    AttemptFailed {
        request: usize,
        attempt: u8,
        connected: bool,
    },
    /// An engine's step ends.
    StepEnd { engine: usize, run: u32 },
    /// Tokens reach a node that had been paused.
    DeferredToken {
        request: usize,
        attempt: u8,
        index: u32,
        last: bool,
    },
    /// A service call has been executed and its response leaves.
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
    /// A node asks a back end for its load.
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
    /// A dead machine disappears from the platform's list, if it is still dead.
    Delist { node: usize, run: u32 },
    /// Figures are sampled.
    Sample,
}
