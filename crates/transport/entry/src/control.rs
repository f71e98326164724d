//! The door to the control thread.

use eiderferry_admission::LoadReport;
use eiderferry_node::{
    AttemptEnd, CacheUpdate, Dispatch, DocumentKind, Node, PlatformDocument, Submission,
};
use eiderferry_once::{KeyName, KeyTableFull};
use eiderferry_types::{BackEndId, Refusal, RequestId, Span};
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// The control thread has ended; the node is going down.
    #[derive(Debug, PartialEq)]
    pub enum ControlStopped {
        /// It no longer takes commands.
        Stopped {
            display("the control thread has stopped")
        }
    }
}

/// What the control thread tells the task that serves a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestEvent {
    /// The request has been taken in under this name.
    Accepted(RequestId),
    /// It may be sent to a back end.
    Dispatch(Dispatch),
    /// It won't be answered.
    Rejected(Refusal),
}

/// A look at, or a change of, the state machine from another thread.
type NodeTask = Box<dyn FnOnce(&mut Node) + Send>;

/// What other threads tell the control thread.
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
    Frame {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    PlatformResponse {
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    },
    LoadReport {
        back_end: BackEndId,
        report: LoadReport,
        cache: CacheUpdate,
    },
    Tick,
    WithNode(NodeTask),
    /// Stand still for a while: used to provoke the consequences of a pause.
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

    /// Runs `task` on the state machine and returns its result.
    pub async fn with_node<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Node) -> T + Send + 'static,
    ) -> Result<T, ControlStopped> {
        let (sender, receiver) = async_channel::bounded(1);
        let run = move |node: &mut Node| {
            // The asker may have gone away; then nobody wants the result.
            let _ = sender.try_send(task(node));
        };
        self.send(Command::WithNode(Box::new(run)))?;
        receiver.recv().await.map_err(|_| ControlStopped::Stopped)
    }

    /// Issues a ticket for one non-repeatable request.
    pub async fn issue_ticket(&self) -> Result<Result<KeyName, KeyTableFull>, ControlStopped> {
        let (reply, response) = async_channel::bounded(1);
        self.send(Command::IssueTicket { reply })?;
        response.recv().await.map_err(|_| ControlStopped::Stopped)
    }

    /// Makes the control thread stand still, to provoke what a paused process does.
    pub fn pause(&self, duration: std::time::Duration) -> Result<(), ControlStopped> {
        self.send(Command::Pause(duration))
    }
}
