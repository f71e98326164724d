//! Crashes and completions of one request, and the status that follows from them.

use crate::report::{CrashReport, RequestReport};
use eiderferry_types::{RequestDigest, Span, Timestamp};

/// Number of crashes after which a request is quarantined. Two would often quarantine requests
/// that merely ran on the same engine as the one at fault: of twenty requests interrupted by a
/// crash in a pool of nine engines, about two share the next engine with it again, and about
/// 0.25 the third.
pub(crate) const QUARANTINE_CRASH_COUNT: usize = 3;
/// Crashes of one back end less than 2 s apart are the same crash, observed by several nodes:
/// their connections break within 0.2 s, reports take up to a second more, and a back end needs
/// several seconds to restart.
const DUPLICATE_CRASH_WINDOW: Span = Span::from_milliseconds(2_000);
/// A crash up to 10 s after a successful completion elsewhere does not count: a request at fault
/// never completes, whereas a frequent request may be running on several back ends when they
/// are lost together.
const GRACE_AFTER_COMPLETION: Span = Span::from_milliseconds(10_000);
/// Time from the last crash for which a quarantined request is refused (10 min). After that a
/// single further crash renews the quarantine, so that a request at fault crashes one or two
/// back ends in ten minutes.
pub(crate) const QUARANTINE_DURATION: Span = Span::from_milliseconds(600_000);
/// Retention of the record of a request with enough crashes for a quarantine, after its last
/// crash or completion (1 h).
const QUARANTINED_RETENTION: Span = Span::from_milliseconds(3_600_000);
/// Retention of the record of a suspected request (10 min).
const SUSPECTED_RETENTION: Span = Span::from_milliseconds(600_000);
/// Retention of the record of a request that completed (1 min): other nodes may still report
/// its earlier crashes.
const COMPLETED_RETENTION: Span = Span::from_milliseconds(60_000);
/// Maximum number of crashes stored per request; the oldest are dropped.
const MAX_CRASHES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    back_end: u32,
    at: Timestamp,
}

impl Crash {
    fn is_duplicate_of(self, other: Crash) -> bool {
        is_same_crash(self.back_end, self.at, other.back_end, other.at)
    }
}

/// Whether two observations are of the same crash of a back end.
pub(crate) fn is_same_crash(one: u32, one_at: Timestamp, other: u32, other_at: Timestamp) -> bool {
    let distance = one_at.since(other_at).max(other_at.since(one_at));
    one == other && distance < DUPLICATE_CRASH_WINDOW
}

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// No crash counts against it.
    Clear,
    /// Back ends crashed while running it, but too few or too long ago to refuse it.
    Suspected,
    /// It is refused until this time.
    Quarantined(Timestamp),
}

/// Crashes and latest completion of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestRecord {
    /// Oldest first.
    crashes: Vec<Crash>,
    completed_at: Option<Timestamp>,
}

impl RequestRecord {
    /// Adds a crash. Returns false if it is already known, follows a completion too closely to
    /// count, or is older than all stored crashes while the record is full.
    pub fn add_crash(&mut self, back_end: u32, at: Timestamp) -> bool {
        let crash = Crash { back_end, at };
        let is_already_recorded = self
            .crashes
            .iter()
            .any(|recorded| recorded.is_duplicate_of(crash));
        if is_already_recorded
            || self.is_within_completion_grace(crash)
            || self.is_older_than_retained(crash)
        {
            return false;
        }
        let position = self.crashes.partition_point(|recorded| recorded.at <= at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    fn is_older_than_retained(&self, crash: Crash) -> bool {
        let is_full = self.crashes.len() == MAX_CRASHES;
        is_full
            && self
                .crashes
                .first()
                .is_some_and(|oldest| crash.at <= oldest.at)
    }

    fn is_within_completion_grace(&self, crash: Crash) -> bool {
        let completed_at = self.completed_at;
        completed_at.is_some_and(|completed_at| crash.at <= completed_at + GRACE_AFTER_COMPLETION)
    }

    /// Records a successful completion. Returns false if it is already known or changes nothing,
    /// so that only the first completion of a frequent request is reported.
    pub fn add_completion(&mut self, at: Timestamp) -> bool {
        let is_already_recorded = |recorded| self.crashes.is_empty() || at <= recorded;
        if self.completed_at.is_some_and(is_already_recorded) {
            return false;
        }
        self.completed_at = Some(at);
        let crashes = std::mem::take(&mut self.crashes);
        let counting = crashes
            .into_iter()
            .filter(|crash| !self.is_within_completion_grace(*crash));
        self.crashes = counting.collect();
        true
    }

    /// Removes crashes that something else explains. Returns whether there were any.
    pub fn remove_explained(&mut self, is_explained: impl Fn(u32, Timestamp) -> bool) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| !is_explained(crash.back_end, crash.at));
        self.crashes.len() < before
    }

    /// Number of crashes that count against the request.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    pub fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.last().map(|crash| crash.at)
    }

    pub fn status(&self, now: Timestamp) -> RequestStatus {
        let Some(last) = self.last_crash() else {
            return RequestStatus::Clear;
        };
        let until = last + QUARANTINE_DURATION;
        if self.crashes.len() >= QUARANTINE_CRASH_COUNT && now < until {
            return RequestStatus::Quarantined(until);
        }
        RequestStatus::Suspected
    }

    /// Whether the record is older than its retention time.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let retention = match self.crashes.len() {
            0 => COMPLETED_RETENTION,
            count if count < QUARANTINE_CRASH_COUNT => SUSPECTED_RETENTION,
            _ => QUARANTINED_RETENTION,
        };
        let last = self.last_crash().max(self.completed_at);
        last.is_none_or(|last| now.since(last) > retention)
    }

    /// The report of this record for other nodes.
    pub fn report(&self, request: RequestDigest, now: Timestamp) -> RequestReport {
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            back_end: crash.back_end,
            age_ms: age_ms(crash.at, now),
        });
        RequestReport {
            request,
            crashes: crashes.collect(),
            completion_age_ms: self.completed_at.map(|at| age_ms(at, now)),
        }
    }
}

pub(crate) fn age_ms(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(now.since(at).milliseconds()).unwrap_or(u32::MAX)
}
