//! Progress of a request, for the reply to it when the process is shut down.

use crate::local_reply::LocalReply;
use crate::request_memory::RequestMemory;
use eiderferry_types::{Reason, Span};
use std::cell::Cell;
use std::rc::Rc;

/// Retry-After of a request that has not run: at once, at another node.
const SHUTDOWN_RETRY_AFTER: Span = Span::from_milliseconds(50);

/// Whether a request has been sent to a back end, and its memory account.
#[derive(Clone)]
pub(crate) struct Progress {
    was_sent: Rc<Cell<bool>>,
    /// The request's memory account.
    pub memory: Rc<RequestMemory>,
}

impl Progress {
    pub fn new(memory: Rc<RequestMemory>) -> Self {
        Self {
            was_sent: Rc::default(),
            memory,
        }
    }

    /// Records that the request is being sent.
    pub fn record_sent(&self) {
        self.was_sent.set(true);
    }

    /// The reply to a request that this process can no longer serve.
    pub fn shutdown_reply(&self) -> LocalReply {
        if self.was_sent.get() {
            LocalReply::ResponseLost
        } else {
            LocalReply::NotRun(Reason::Draining, SHUTDOWN_RETRY_AFTER)
        }
    }
}
