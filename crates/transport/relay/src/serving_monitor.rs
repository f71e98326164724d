//! Notices that few of a node's requests are served, for the log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Minimum number of ended requests in a window that is reported.
const MIN_REQUESTS: u32 = 10;
/// A window in which fewer than one request in this many is served is reported.
const REPORTED_FRACTION: u32 = 4;
/// Outcome of a request whose whole response was passed on.
const SERVED: &str = "whole";

/// How the requests of one window ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServingReport {
    pub ended: u32,
    pub served: u32,
    /// Number of the others by how they ended.
    pub unserved: BTreeMap<&'static str, u32>,
}

/// Counts how requests end.
#[derive(Debug, Default)]
pub(crate) struct ServingMonitor {
    served: Cell<u32>,
    unserved: RefCell<BTreeMap<&'static str, u32>>,
}

impl ServingMonitor {
    /// Records how a request ended: as a whole, broken off, or with a reply of this node.
    pub fn record(&self, outcome: &'static str) {
        if outcome == SERVED {
            self.served.set(self.served.get() + 1);
        } else {
            *self.unserved.borrow_mut().entry(outcome).or_default() += 1;
        }
    }

    /// Ends a window. Returns a report if few of its requests were served.
    pub fn end_window(&self) -> Option<ServingReport> {
        let served = self.served.take();
        let unserved = self.unserved.take();
        let ended = served + unserved.values().sum::<u32>();
        let is_reported = ended >= MIN_REQUESTS && served * REPORTED_FRACTION < ended;
        is_reported.then_some(ServingReport {
            ended,
            served,
            unserved,
        })
    }
}
