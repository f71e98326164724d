//! The limit of callers' connections.

use crate::caller_connection::CallerConnection;
use crate::metrics;
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// The open connections of callers. Without a limit, callers that wait would take the descriptors
/// that connections to back ends, peers and the document source need.
pub(crate) struct CallerConnections {
    max_count: usize,
    open: RefCell<Vec<Weak<CallerConnection>>>,
}

impl CallerConnections {
    pub fn new(max_count: usize) -> Self {
        Self {
            max_count,
            open: RefCell::default(),
        }
    }

    /// Adds a connection. At the limit, evicts the connection that has waited longest for a request;
    /// returns false if all serve requests.
    pub fn add(&self, connection: &Rc<CallerConnection>) -> bool {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max_count {
            open.retain(|connection| connection.strong_count() > 0);
        }
        if open.len() >= self.max_count {
            let waiting = open.iter().enumerate().filter_map(|(index, connection)| {
                let waiting_since = connection.upgrade()?.waiting_since()?;
                Some((waiting_since, index))
            });
            let Some((_, index)) = waiting.min() else {
                return false;
            };
            if let Some(evicted) = open.swap_remove(index).upgrade() {
                metrics::caller_evicted();
                evicted.evict();
            }
        }
        open.push(Rc::downgrade(connection));
        true
    }
}
