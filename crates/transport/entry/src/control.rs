//! Commands to the control thread, and the handle that sends them.

use eiderferry_admission::LoadReport;
use eiderferry_node::{
    AttemptEnd, CacheUpdate, Dispatch, DocumentKind, Node, PlatformDocument, Submission,
};
use eiderferry_once::{KeyName, KeyTableFull};
use eiderferry_types::{BackEndId, Refusal, RequestId, Span};
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// The control thread has stopped because the node is shutting down.
    #[derive(Debug, PartialEq)]
    pub enum ControlStopped {
        /// The control thread no longer accepts commands.
        Stopped {
            display("the control thread has stopped")
        }
    }
}

/// Event sent by the control thread to the task that serves a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestEvent {
    /// The request has been submitted and has this id.
    Accepted(RequestId),
    /// The request is to be sent to a back end.
    Dispatch(Dispatch),
    /// The request is refused or has failed; no further event follows.
    Rejected(Refusal),
}

/// Function that reads or changes the state machine, run on the control thread.
type NodeTask = Box<dyn FnOnce(&mut Node) + Send>;

/// Command from another thread to the control thread.
pub(crate) enum Command {
    Submit {
        submission: Submission,
        events: async_channel::Sender<RequestEvent>,
    },
    AttemptEnded {
        request: RequestId,
        attempt: u8,
        end: AttemptEnd,
    },
    CallerDisconnected {
        request: RequestId,
    },
    SlowStream {
        request: RequestId,
        per_token: Span,
    },
    IssueTicket {
        reply: async_channel::Sender<Result<KeyName, KeyTableFull>>,
    },
    /// An encoded envelope received from a peer.
    Frame {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Result of fetching a document: `Ok(None)` if it has not changed.
    PlatformResponse {
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    },
    LoadReport {
        back_end: BackEndId,
        report: LoadReport,
        cache: CacheUpdate,
    },
    /// Wakes the loop, so that it ticks the state machine when a tick is due.
    Tick,
    WithNode(NodeTask),
    /// Blocks the thread for this time, to test the effects of a paused process.
    Pause(std::time::Duration),
    Stop,
}

/// Handle to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) commands: async_channel::Sender<Command>,
}

impl ControlHandle {
    pub(crate) fn send(&self, command: Command) -> Result<(), ControlStopped> {
        self.commands
            .try_send(command)
            .map_err(|_| ControlStopped::Stopped)
    }

    /// Runs `task` on the control thread and returns its result.
    pub async fn with_node<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Node) -> T + Send + 'static,
    ) -> Result<T, ControlStopped> {
        let (sender, receiver) = async_channel::bounded(1);
        let run = move |node: &mut Node| {
            // Fails if the caller of `with_node` was cancelled; the result is then not needed.
            let _ = sender.try_send(task(node));
        };
        self.send(Command::WithNode(Box::new(run)))?;
        receiver.recv().await.map_err(|_| ControlStopped::Stopped)
    }

    /// Issues a ticket: a server-assigned idempotency key for one non-repeatable request.
    pub async fn issue_ticket(&self) -> Result<Result<KeyName, KeyTableFull>, ControlStopped> {
        let (reply, response) = async_channel::bounded(1);
        self.send(Command::IssueTicket { reply })?;
        response.recv().await.map_err(|_| ControlStopped::Stopped)
    }

    /// Blocks the control thread for `duration`, to test the effects of a paused process.
    pub fn pause(&self, duration: std::time::Duration) -> Result<(), ControlStopped> {
        self.send(Command::Pause(duration))
    }
}
