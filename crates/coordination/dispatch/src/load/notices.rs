//! What back ends have stated about themselves in their responses.
//!
//! A notice holds for the lifetime of the run that gave it. During an outage of the platform no
//! list repeats it, and an entry that has expired may return as it was before the notice.

use eiderferry_routing::{BackEnd, InstanceId, may_be_same_start};
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Maximum number of runs whose notices are kept after their entries have expired, at about 100
/// bytes each. It covers four hours in a fleet of 10,000 back ends of which a tenth is replaced
/// per hour. The notices of a listed back end are kept in any case.
const MAX_RUNS: usize = 4_096;

/// What a run has stated about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// It is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// Time until which it wants no requests from this node.
    backoff_until: Option<Timestamp>,
}

impl Notice {
    /// Sets the time until which it wants no requests from this node, unless it has stated a
    /// later one.
    pub fn back_off_until(&mut self, until: Timestamp) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Remaining time for which it wants no requests from this node, if any.
    pub fn remaining_backoff(self, now: Timestamp) -> Option<Span> {
        let until = self.backoff_until.filter(|until| *until > now)?;
        Some(now.until(until))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RunNotice {
    started_unix_ms: Option<u64>,
    notice: Notice,
}

/// The notices of all runs that gave one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    runs: HashMap<InstanceId, RunNotice>,
    /// Instances in the order of their first notices, oldest first.
    insertion_order: VecDeque<InstanceId>,
}

impl Notices {
    /// The notice of a listed run.
    pub fn notice_of(&self, back_end: &BackEnd) -> Notice {
        let run = self.runs.get(&back_end.instance);
        let run = run.filter(|run| back_end.may_have_started(run.started_unix_ms));
        run.map(|run| run.notice).unwrap_or_default()
    }

    /// Updates the notice of a run that started at `started_unix_ms`.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        started_unix_ms: Option<u64>,
        change: impl FnOnce(&mut Notice),
    ) {
        if !self.runs.contains_key(instance) {
            self.make_room();
            self.insertion_order.push_back(instance.clone());
        }
        let run = self.runs.entry(instance.clone()).or_default();
        if !may_be_same_start(run.started_unix_ms, started_unix_ms) {
            *run = RunNotice::default();
        }
        run.started_unix_ms = started_unix_ms.or(run.started_unix_ms);
        change(&mut run.notice);
    }

    fn make_room(&mut self) {
        if self.insertion_order.len() < MAX_RUNS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.runs.remove(&oldest);
        }
    }
}
