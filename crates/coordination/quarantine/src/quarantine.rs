//! The requests under suspicion on one node, and what it tells others of them.

use crate::change::{ChangeSource, QuarantineChange};
use crate::completions::Completions;
use crate::record::{Record, RequestStatus};
use crate::report::RequestReport;
use eiderferry_types::{RequestDigest, Span, Timestamp};
use std::collections::HashMap;

/// Requests kept: a crash breaks off some 64 of an engine, 60 crashes within ten minutes make
/// as many. At about 250 bytes each, 1 MB.
const MOST_RECORDS: usize = 4_096;
/// Time for which what has changed is told with each message: every node tells each other one,
/// or the aggregators that do, several times in it, so that single messages may be lost.
const TELLING_TIME: Span = Span::from_milliseconds(2_000);
/// Changed requests told in one message, at about 20 bytes a crash.
const MOST_CHANGED_TOLD: usize = 16;
/// Quarantined requests told in each message besides, in turn: nodes that were cut off, paused
/// or started anew hear of them within a second.
const QUARANTINED_TOLD: usize = 2;
/// Quarantined requests told to a node that has just started.
const MOST_TOLD_AT_START: usize = 64;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Back ends that crashed under it, as far as they are kept.
    pub crashes: usize,
    /// Time for which it is still refused.
    pub remaining: Span,
}

/// Figures for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuarantineCounts {
    /// Requests under which back ends crashed, not refused.
    pub suspected: usize,
    /// Requests that are refused.
    pub quarantined: usize,
    /// Requests left out because too many were known, since the start.
    pub evicted: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    record: Record,
    /// Until when it is told with each message.
    told_until: Timestamp,
    is_quarantined: bool,
}

/// The requests under suspicion on one node.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<RequestDigest, Entry>,
    completions: Completions,
    /// Those that are refused, in the order in which they are told.
    refused: Vec<RequestDigest>,
    turn: usize,
    evicted: u64,
}

impl Quarantine {
    /// A back end crashed under a request of this node.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        back_end: u32,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        let completed = self.completions.of(request);
        let mut entry = self.entries.remove(&request).unwrap_or_default();
        let mut has_changed =
            completed.is_some_and(|completed| entry.record.add_completion(completed));
        has_changed |= entry.record.add_crash(back_end, now);
        self.keep(request, entry, has_changed, ChangeSource::Own, now)
    }

    /// A request of this node ended well.
    pub fn record_completed(
        &mut self,
        request: RequestDigest,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        self.completions.record(request, now);
        let mut entry = self.entries.remove(&request)?;
        let has_changed = entry.record.add_completion(now);
        self.keep(request, entry, has_changed, ChangeSource::Own, now)
    }

    /// Takes another node's reports in.
    pub fn merge_reports(
        &mut self,
        reports: &[RequestReport],
        now: Timestamp,
    ) -> Vec<QuarantineChange> {
        let changes = reports.iter();
        changes
            .filter_map(|report| self.apply_report(report, now))
            .collect()
    }

    fn apply_report(&mut self, report: &RequestReport, now: Timestamp) -> Option<QuarantineChange> {
        let moment = |age_ms: u32| now - Span::from_milliseconds(u64::from(age_ms));
        let request = report.request;
        let mut entry = self.entries.remove(&request).unwrap_or_default();
        let mut has_changed = false;
        let completions = report.completed_ms.map(moment);
        for completed in completions.into_iter().chain(self.completions.of(request)) {
            has_changed |= entry.record.add_completion(completed);
        }
        for crash in &report.crashes {
            has_changed |= entry.record.add_crash(crash.back_end, moment(crash.age_ms));
        }
        self.keep(request, entry, has_changed, ChangeSource::Peer, now)
    }

    /// Puts an entry back and says what changed with its request.
    fn keep(
        &mut self,
        request: RequestDigest,
        mut entry: Entry,
        has_changed: bool,
        source: ChangeSource,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        if entry.record.is_expired(now) {
            self.refused.retain(|refused| *refused != request);
            return None;
        }
        if has_changed {
            entry.told_until = now + TELLING_TIME;
        }
        let was_quarantined = entry.is_quarantined;
        let status = entry.record.status(now);
        entry.is_quarantined = matches!(status, RequestStatus::Quarantined(_));
        let crashes = entry.record.crashes();
        if !self.make_room(&entry) {
            return None;
        }
        self.entries.insert(request, entry);
        match (was_quarantined, status) {
            (false, RequestStatus::Quarantined(until)) => {
                self.refused.push(request);
                Some(QuarantineChange::Quarantined {
                    request,
                    crashes,
                    remaining: now.until(until),
                    source,
                })
            }
            (true, RequestStatus::Clear | RequestStatus::Suspected) => {
                self.refused.retain(|refused| *refused != request);
                Some(match crashes {
                    0 => QuarantineChange::Cleared { request, source },
                    _ => QuarantineChange::Expired { request },
                })
            }
            _ => None,
        }
    }

    /// Makes room for an entry where there are too many: the one with fewest crashes, the oldest
    /// of these, gives way. Returns whether there is room.
    fn make_room(&mut self, coming: &Entry) -> bool {
        if self.entries.len() < MOST_RECORDS {
            return true;
        }
        self.evicted += 1;
        let weight = |entry: &Entry| (entry.record.crashes(), entry.record.last_crash());
        let least = self.entries.iter().min_by_key(|(_, entry)| weight(entry));
        let Some(least) = least.filter(|(_, entry)| weight(entry) <= weight(coming)) else {
            return false;
        };
        let least = *least.0;
        self.entries.remove(&least);
        self.refused.retain(|refused| *refused != least);
        true
    }

    /// Whether a request is refused, and why.
    pub fn status(&self, request: RequestDigest, now: Timestamp) -> Option<Quarantined> {
        let entry = self.entries.get(&request)?;
        match entry.record.status(now) {
            RequestStatus::Quarantined(until) => Some(Quarantined {
                crashes: entry.record.crashes(),
                remaining: now.until(until),
            }),
            RequestStatus::Clear | RequestStatus::Suspected => None,
        }
    }

    /// Forgets what is too old. Returns the requests that are served again.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QuarantineChange> {
        self.entries
            .retain(|_, entry| !entry.record.is_expired(now));
        let mut changes = Vec::new();
        let entries = &mut self.entries;
        self.refused.retain(|request| {
            let Some(entry) = entries.get_mut(request) else {
                return false;
            };
            let is_refused = matches!(entry.record.status(now), RequestStatus::Quarantined(_));
            if !is_refused {
                entry.is_quarantined = false;
                changes.push(QuarantineChange::Expired { request: *request });
            }
            is_refused
        });
        changes
    }

    /// What the next message tells: what has changed lately, first what others act on, and some
    /// of the quarantined in turn.
    pub fn reports(&mut self, now: Timestamp) -> Vec<RequestReport> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.turn = self.turn.wrapping_add(1);
        let mut told = self.changed(now);
        for _ in 0..QUARANTINED_TOLD.min(self.refused.len()) {
            self.refused.rotate_left(1);
            let request = self.refused[0];
            if !told.contains(&request) {
                told.push(request);
            }
        }
        self.reports_of(&told, now)
    }

    /// Requests that changed lately, as many as one message tells. Half of them are those that
    /// others act on: quarantined ones, and those that ended well, which have no crashes that
    /// count; the others take turns.
    fn changed(&self, now: Timestamp) -> Vec<RequestDigest> {
        let entries = self.entries.iter();
        let changed = entries.filter(|(_, entry)| now < entry.told_until);
        let mut changed: Vec<(bool, Timestamp, RequestDigest)> = changed
            .map(|(request, entry)| {
                let is_settled = entry.is_quarantined || entry.record.crashes() == 0;
                (is_settled, entry.told_until, *request)
            })
            .collect();
        changed.sort_unstable_by(|one, other| other.cmp(one));
        let mut changed: Vec<RequestDigest> =
            changed.into_iter().map(|(_, _, request)| request).collect();
        if changed.len() > MOST_CHANGED_TOLD {
            let others = &mut changed[MOST_CHANGED_TOLD / 2..];
            let step = self.turn.wrapping_mul(MOST_CHANGED_TOLD / 2);
            others.rotate_left(step % others.len());
            changed.truncate(MOST_CHANGED_TOLD);
        }
        changed
    }

    /// What a node that has just started is told.
    pub fn reports_at_start(&self, now: Timestamp) -> Vec<RequestReport> {
        let first = self.refused.len().min(MOST_TOLD_AT_START);
        self.reports_of(&self.refused[..first], now)
    }

    fn reports_of(&self, requests: &[RequestDigest], now: Timestamp) -> Vec<RequestReport> {
        let entries = requests.iter();
        let entries = entries.filter_map(|request| Some((request, self.entries.get(request)?)));
        let reports = entries.map(|(request, entry)| entry.record.report(*request, now));
        reports.collect()
    }

    /// Figures for metrics.
    pub fn counts(&self) -> QuarantineCounts {
        let crashed = self.entries.values();
        let crashed = crashed.filter(|entry| entry.record.crashes() > 0).count();
        QuarantineCounts {
            suspected: crashed - self.refused.len().min(crashed),
            quarantined: self.refused.len(),
            evicted: self.evicted,
        }
    }
}
