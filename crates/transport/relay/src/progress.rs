//! How far a request has come, for those who have to answer it from outside.

use crate::local_reply::LocalReply;
use crate::request_memory::RequestMemory;
use eiderferry_types::{Reason, Span};
use std::cell::Cell;
use std::rc::Rc;

/// When a caller whose request has not run is asked to come back, elsewhere.
const SHUTDOWN_RETRY_AFTER: Span = Span::from_milliseconds(50);

/// Whether a request has been sent to a back end, and what it holds.
#[derive(Clone)]
pub(crate) struct Progress {
    was_sent: Rc<Cell<bool>>,
    /// What the request holds.
    pub memory: Rc<RequestMemory>,
}

impl Progress {
    pub fn new(memory: Rc<RequestMemory>) -> Self {
        Self {
            was_sent: Rc::default(),
            memory,
        }
    }

    /// The request is being sent.
    pub fn record_sent(&self) {
        self.was_sent.set(true);
    }

    /// The answer to a request that this process can serve no longer.
    pub fn shutdown_reply(&self) -> LocalReply {
        if self.was_sent.get() {
            LocalReply::ResponseLost
        } else {
            LocalReply::NotRun(Reason::Draining, SHUTDOWN_RETRY_AFTER)
        }
    }
}
