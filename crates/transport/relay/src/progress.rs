//! Progress of a request, for the reply to it when the process is shut down.

use crate::local_reply::LocalReply;
use crate::request_memory::RequestMemory;
use crate::server::Phase;
use eiderferry_types::{Reason, Span};
use std::cell::Cell;
use std::rc::Rc;

/// The reply to a request that has not run: it may be sent to another node at once.
pub(crate) const NOT_RUN_IN_SHUTDOWN: LocalReply =
    LocalReply::NotRun(Reason::Draining, Span::from_milliseconds(50));

/// Whether a request has been sent to a back end, the phase of the process, and the request's memory
/// account.
#[derive(Clone)]
pub(crate) struct Progress {
    was_sent: Rc<Cell<bool>>,
    phase: Rc<Cell<Phase>>,
    /// The request's memory account.
    pub memory: Rc<RequestMemory>,
}

impl Progress {
    pub fn new(phase: Rc<Cell<Phase>>, memory: Rc<RequestMemory>) -> Self {
        Self {
            was_sent: Rc::default(),
            phase,
            memory,
        }
    }

    /// Records that the request is being sent.
    pub fn record_sent(&self) {
        self.was_sent.set(true);
    }

    /// Whether the process refuses requests that have not run. One that is sent so late could only
    /// be cut when the process ends.
    pub fn is_refusing(&self) -> bool {
        self.phase.get() == Phase::Refusing
    }

    /// The reply to a request that this process can no longer serve.
    pub fn shutdown_reply(&self) -> LocalReply {
        if self.was_sent.get() {
            LocalReply::ResponseLost
        } else {
            NOT_RUN_IN_SHUTDOWN
        }
    }
}
