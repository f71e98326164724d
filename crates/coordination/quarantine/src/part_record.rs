//! Crashes and sound runs of one prompt part.

use crate::part_report::{PartCrashReport, PartKey, PartReport};
use crate::record::{age_ms, is_same_crash};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;

/// A sound run exonerates a part from crashes up to a minute later: when all back ends crash, no
/// part completes any more, not even those that completed a thousand times just before.
pub(crate) const EXONERATION_DURATION: Span = Span::from_milliseconds(60_000);
/// Retention of the record of a part, after its last crash (1 h).
const CRASH_RETENTION: Span = Span::from_milliseconds(3_600_000);
/// Maximum number of crashes stored per part.
const MAX_CRASHES: usize = 16;
/// Crashes of several back ends within this time count as one: they were probably lost together.
pub(crate) const COMMON_CAUSE_WINDOW: Span = Span::from_milliseconds(100);
/// Number of callers that are told apart: a part is refused for one caller or for all.
const MAX_CALLERS: usize = 2;

/// A crash of a back end that was running a prompt with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartCrash {
    pub back_end: u32,
    pub at: Timestamp,
    /// Whether the back end crashed within a moment of starting its response.
    pub is_at_start: bool,
}

/// Crashes and latest sound run of one prompt part.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartRecord {
    /// Oldest first.
    crashes: Vec<PartCrash>,
    /// Digests of the callers whose requests were running, the smallest ones.
    callers: BTreeSet<u32>,
    sound_at: Option<Timestamp>,
}

impl PartRecord {
    /// Adds a crash. Returns whether the record changed.
    pub fn add_crash(&mut self, crash: PartCrash, callers: impl IntoIterator<Item = u32>) -> bool {
        if self.is_exonerated_at(crash.at) {
            return false;
        }
        let mut has_changed = self.add_callers(callers);
        let recorded = self.crashes.iter_mut().find(|recorded| {
            is_same_crash(recorded.back_end, recorded.at, crash.back_end, crash.at)
        });
        if let Some(recorded) = recorded {
            has_changed |= crash.is_at_start && !recorded.is_at_start;
            recorded.is_at_start |= crash.is_at_start;
            return has_changed;
        }
        let position = self
            .crashes
            .partition_point(|recorded| recorded.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() <= MAX_CRASHES {
            return true;
        }
        self.drop_one() != crash || has_changed
    }

    /// Drops and returns the oldest crash that counts as one with the crash before it, so that the
    /// crashes that remain have as much weight as before; or else the oldest crash.
    fn drop_one(&mut self) -> PartCrash {
        let mut pairs = self.crashes.windows(2);
        let follower = pairs.position(|pair| pair[1].at.since(pair[0].at) < COMMON_CAUSE_WINDOW);
        self.crashes
            .remove(follower.map_or(0, |position| position + 1))
    }

    fn add_callers(&mut self, callers: impl IntoIterator<Item = u32>) -> bool {
        let before = self.callers.clone();
        self.callers.extend(callers);
        while self.callers.len() > MAX_CALLERS {
            self.callers.pop_last();
        }
        self.callers != before
    }

    /// Records a sound run. Returns whether it exonerates the part from crashes.
    pub fn add_sound_run(&mut self, at: Timestamp) -> bool {
        if self.sound_at.is_some_and(|recorded| at <= recorded) {
            return false;
        }
        self.sound_at = Some(at);
        let had_crashes = !self.crashes.is_empty();
        let crashes = std::mem::take(&mut self.crashes);
        let counting = crashes.into_iter();
        self.crashes = counting
            .filter(|crash| !self.is_exonerated_at(crash.at))
            .collect();
        if self.crashes.is_empty() {
            self.callers.clear();
        }
        had_crashes
    }

    fn is_exonerated_at(&self, at: Timestamp) -> bool {
        self.sound_at
            .is_some_and(|sound_at| at <= sound_at + EXONERATION_DURATION)
    }

    /// Whether a sound run is known and no crash counts against the part.
    pub fn is_exonerated(&self) -> bool {
        self.crashes.is_empty() && self.sound_at.is_some()
    }

    /// Crashes that count against the part, oldest first.
    pub fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    /// The only caller whose requests were running; `None` if there are several.
    pub fn only_caller(&self) -> Option<u32> {
        let mut callers = self.callers.iter();
        callers.next().copied().filter(|_| callers.next().is_none())
    }

    /// Whether the record is older than its retention time.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        match self.crashes.last() {
            Some(last) => now.since(last.at) > CRASH_RETENTION,
            None => self
                .sound_at
                .is_none_or(|at| now.since(at) > EXONERATION_DURATION),
        }
    }

    /// The report of this record for other nodes.
    pub fn report(&self, part: PartKey, now: Timestamp) -> PartReport {
        let crashes = self.crashes.iter().map(|crash| PartCrashReport {
            back_end: crash.back_end,
            age_ms: age_ms(crash.at, now),
            is_at_start: crash.is_at_start,
        });
        PartReport {
            part,
            crashes: crashes.collect(),
            callers: self.callers.iter().copied().collect(),
            sound_age_ms: self.sound_at.map(|at| age_ms(at, now)),
        }
    }
}
