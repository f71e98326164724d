//! What is known of one request.

use crate::report::{CrashReport, RequestReport};
use eiderferry_types::{RequestDigest, Span, Timestamp};

/// Crashes after which a request is quarantined. With two, a request that happened to run
/// beside the one at fault would often be taken for it: of twenty requests that a crash breaks
/// off in a pool of nine, two run beside it again at the next engine, 0.25 at the third.
pub(crate) const QUARANTINE_CRASH_COUNT: usize = 3;
/// Crashes of one back end closer together than this are one, seen by several nodes: their
/// connections break within 0.2 s, reports take up to a second more, and a back end is back
/// after seconds only.
const DUPLICATE_CRASH_WINDOW: Span = Span::from_milliseconds(2_000);
/// A crash this soon after the request ended well elsewhere says nothing against it: a request
/// at fault never ends well, a frequent one runs at several back ends when these are lost
/// together.
const GRACE_AFTER_COMPLETION: Span = Span::from_milliseconds(10_000);
/// Time for which a quarantined request is refused, from the last crash. After it one crash
/// more suffices: a request at fault costs one back end or two in ten minutes.
pub(crate) const QUARANTINE_DURATION: Span = Span::from_milliseconds(600_000);
/// Time after which a request is forgotten that was quarantined.
const QUARANTINED_RETENTION: Span = Span::from_milliseconds(3_600_000);
/// The same for one that is suspected.
const SUSPECTED_RETENTION: Span = Span::from_milliseconds(600_000);
/// The same for one that ended well: so long its crashes may still be told by others.
const COMPLETED_RETENTION: Span = Span::from_milliseconds(60_000);
/// Crashes kept of a request: the youngest.
const MAX_CRASHES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    back_end: u32,
    at: Timestamp,
}

impl Crash {
    fn is_duplicate_of(self, other: Crash) -> bool {
        let distance = self.at.since(other.at).max(other.at.since(self.at));
        self.back_end == other.back_end && distance < DUPLICATE_CRASH_WINDOW
    }
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// Nothing counts against it.
    Clear,
    /// Back ends crashed under it, too few or too long ago to refuse it.
    Suspected,
    /// It is refused until then.
    Quarantined(Timestamp),
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestRecord {
    /// Oldest first.
    crashes: Vec<Crash>,
    completed_at: Option<Timestamp>,
}

impl RequestRecord {
    /// Adds a crash; false if it is known or counts for nothing.
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

    /// Notes that the request ended well; false if that is known or changes nothing: of a
    /// frequent request only the first end is told.
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

    /// Crashes that count against it.
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

    /// Whether it is too old to matter.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let retention = match self.crashes.len() {
            0 => COMPLETED_RETENTION,
            count if count < QUARANTINE_CRASH_COUNT => SUSPECTED_RETENTION,
            _ => QUARANTINED_RETENTION,
        };
        let last = self.last_crash().max(self.completed_at);
        last.is_none_or(|last| now.since(last) > retention)
    }

    /// What others are told.
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

fn age_ms(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(now.since(at).milliseconds()).unwrap_or(u32::MAX)
}
