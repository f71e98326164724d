//! What back ends said of themselves in their answers.
//!
//! It holds for as long as the run does: while the platform is away no list says it, and an entry
//! that lapses may come back as it was written before.

use eiderferry_routing::{BackEnd, InstanceId, may_be_same_start};
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Runs whose notices are kept beyond their entries, some 100 bytes each: those of four hours in a
/// fleet of 10,000 back ends, a tenth of which is replaced within an hour. A listed back end keeps
/// its own in any case.
const MAX_RUNS: usize = 4_096;

/// What a run said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// It is leaving.
    pub is_leaving: bool,
    /// Until when it wants nothing from this node.
    backoff_until: Option<Timestamp>,
}

impl Notice {
    /// It wants nothing from this node until then, or for longer if it said so before.
    pub fn back_off_until(&mut self, until: Timestamp) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// How long it wants nothing from this node from now on, if at all.
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

/// The notices of all runs that said anything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    runs: HashMap<InstanceId, RunNotice>,
    /// Its back ends, those that spoke first in front.
    insertion_order: VecDeque<InstanceId>,
}

impl Notices {
    /// What a listed run said.
    pub fn of(&self, back_end: &BackEnd) -> Notice {
        let run = self.runs.get(&back_end.instance);
        let run = run.filter(|run| back_end.may_have_started(run.started_unix_ms));
        run.map(|run| run.notice).unwrap_or_default()
    }

    /// A run, started then, says something.
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
