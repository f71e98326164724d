//! The suspected and quarantined requests known to one node, and the reports it sends.

use crate::change::{ChangeSource, QuarantineChange};
use crate::completions::Completions;
use crate::record::{RequestRecord, RequestStatus};
use crate::report::RequestReport;
use crate::reporting::{CHANGE_REPORT_DURATION, recent_changes};
use eiderferry_types::{RequestDigest, Span, Timestamp};
use std::collections::HashMap;

/// Maximum number of requests stored: one crash interrupts about 64 requests of an engine, so
/// this covers about 60 crashes within ten minutes. At about 250 bytes each, 1 MB.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of changed requests reported in one message, at about 20 bytes per crash.
const MAX_CHANGED_PER_MESSAGE: usize = 16;
/// Number of quarantined requests that each message reports in addition, in rotation: nodes that
/// were partitioned, paused or restarted learn of them within a second.
const QUARANTINED_PER_MESSAGE: usize = 2;
/// Maximum number of quarantined requests reported to a node that has just started.
const MAX_REPORTS_AT_START: usize = 64;

/// The quarantine of a request that is being refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveQuarantine {
    /// Stored crashes of back ends that were running the request.
    pub crashes: usize,
    /// Time until the quarantine expires.
    pub remaining: Span,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuarantineCounts {
    /// Requests that back ends were running when they crashed, but that are not quarantined.
    pub suspected: usize,
    /// Requests that are quarantined.
    pub quarantined: usize,
    /// Records evicted or not stored since the start because the limit was reached.
    pub evicted: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    record: RequestRecord,
    /// Its latest change is reported until this time.
    report_until: Timestamp,
    is_quarantined: bool,
}

/// The suspected and quarantined requests known to one node.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<RequestDigest, Entry>,
    completions: Completions,
    /// Quarantined requests, rotated as they are reported.
    quarantined: Vec<RequestDigest>,
    /// Number of report batches made; selects which of many changes the next one contains.
    batch_number: usize,
    evicted: u64,
}

impl Quarantine {
    /// Records that a back end crashed while running a request of this node.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        back_end: u32,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        let completed_at = self.completions.get(request);
        let mut entry = self.entries.remove(&request).unwrap_or_default();
        let mut has_changed =
            completed_at.is_some_and(|completed_at| entry.record.add_completion(completed_at));
        has_changed |= entry.record.add_crash(back_end, now);
        self.store(request, entry, has_changed, ChangeSource::Own, now)
    }

    /// Removes crashes that a prompt part explains from the records of all requests.
    pub fn remove_explained(
        &mut self,
        is_explained: impl Fn(u32, Timestamp) -> bool,
        now: Timestamp,
    ) -> Vec<QuarantineChange> {
        let mut changed = Vec::new();
        for (request, entry) in &mut self.entries {
            if entry.record.remove_explained(&is_explained) {
                changed.push(*request);
            }
        }
        let changes = changed.into_iter().filter_map(|request| {
            let entry = self.entries.remove(&request)?;
            self.store(request, entry, false, ChangeSource::Own, now)
        });
        changes.collect()
    }

    /// Records that a request of this node completed successfully.
    pub fn record_completed(
        &mut self,
        request: RequestDigest,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        self.completions.record(request, now);
        let mut entry = self.entries.remove(&request)?;
        let has_changed = entry.record.add_completion(now);
        self.store(request, entry, has_changed, ChangeSource::Own, now)
    }

    /// Merges reports from another node.
    pub fn merge_reports(
        &mut self,
        reports: &[RequestReport],
        now: Timestamp,
    ) -> Vec<QuarantineChange> {
        let reports = reports.iter();
        reports
            .filter_map(|report| self.apply_report(report, now))
            .collect()
    }

    fn apply_report(&mut self, report: &RequestReport, now: Timestamp) -> Option<QuarantineChange> {
        let time_at_age = |age_ms: u32| now - Span::from_milliseconds(u64::from(age_ms));
        let request = report.request;
        let mut entry = self.entries.remove(&request).unwrap_or_default();
        let mut has_changed = false;
        let completions = report.completion_age_ms.map(time_at_age);
        for completed_at in completions.into_iter().chain(self.completions.get(request)) {
            has_changed |= entry.record.add_completion(completed_at);
        }
        for crash in &report.crashes {
            has_changed |= entry
                .record
                .add_crash(crash.back_end, time_at_age(crash.age_ms));
        }
        self.store(request, entry, has_changed, ChangeSource::Peer, now)
    }

    /// Stores an updated entry and returns the change of its request's status, if any.
    fn store(
        &mut self,
        request: RequestDigest,
        mut entry: Entry,
        has_changed: bool,
        source: ChangeSource,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        if entry.record.is_expired(now) {
            self.quarantined.retain(|listed| *listed != request);
            return None;
        }
        if has_changed {
            entry.report_until = now + CHANGE_REPORT_DURATION;
        }
        let was_quarantined = entry.is_quarantined;
        let status = entry.record.status(now);
        entry.is_quarantined = matches!(status, RequestStatus::Quarantined(_));
        let crash_count = entry.record.crash_count();
        if !self.make_room(&entry) {
            return None;
        }
        self.entries.insert(request, entry);
        match (was_quarantined, status) {
            (false, RequestStatus::Quarantined(until)) => {
                self.quarantined.push(request);
                Some(QuarantineChange::Quarantined {
                    request,
                    crashes: crash_count,
                    remaining: now.until(until),
                    source,
                })
            }
            (true, RequestStatus::Clear | RequestStatus::Suspected) => {
                self.quarantined.retain(|listed| *listed != request);
                Some(match crash_count {
                    0 => QuarantineChange::Cleared { request, source },
                    _ => QuarantineChange::Expired { request },
                })
            }
            _ => None,
        }
    }

    /// Makes room for `incoming` if the limit is reached: evicts the entry with the fewest crashes,
    /// among these the one with the oldest last crash. Returns false if all entries outrank
    /// `incoming`.
    fn make_room(&mut self, incoming: &Entry) -> bool {
        if self.entries.len() < MAX_RECORDS {
            return true;
        }
        self.evicted += 1;
        let retention_priority =
            |entry: &Entry| (entry.record.crash_count(), entry.record.last_crash());
        let victim = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| retention_priority(entry));
        let Some(victim) =
            victim.filter(|(_, entry)| retention_priority(entry) <= retention_priority(incoming))
        else {
            return false;
        };
        let victim = *victim.0;
        self.entries.remove(&victim);
        self.quarantined.retain(|listed| *listed != victim);
        true
    }

    /// The quarantine of a request; `None` if it is not quarantined.
    pub fn status(&self, request: RequestDigest, now: Timestamp) -> Option<ActiveQuarantine> {
        let entry = self.entries.get(&request)?;
        match entry.record.status(now) {
            RequestStatus::Quarantined(until) => Some(ActiveQuarantine {
                crashes: entry.record.crash_count(),
                remaining: now.until(until),
            }),
            RequestStatus::Clear | RequestStatus::Suspected => None,
        }
    }

    /// Drops expired records. Returns the requests whose quarantine has expired.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QuarantineChange> {
        self.entries
            .retain(|_, entry| !entry.record.is_expired(now));
        let mut changes = Vec::new();
        let entries = &mut self.entries;
        self.quarantined.retain(|request| {
            let Some(entry) = entries.get_mut(request) else {
                return false;
            };
            let is_still_quarantined =
                matches!(entry.record.status(now), RequestStatus::Quarantined(_));
            if !is_still_quarantined {
                entry.is_quarantined = false;
                changes.push(QuarantineChange::Expired { request: *request });
            }
            is_still_quarantined
        });
        changes
    }

    /// The reports for the next message: recent changes, those that other nodes act on first, and
    /// some of the quarantined requests in rotation.
    pub fn reports(&mut self, now: Timestamp) -> Vec<RequestReport> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.batch_number = self.batch_number.wrapping_add(1);
        let mut requests = self.recent_changes(now);
        for _ in 0..QUARANTINED_PER_MESSAGE.min(self.quarantined.len()) {
            self.quarantined.rotate_left(1);
            let request = self.quarantined[0];
            if !requests.contains(&request) {
                requests.push(request);
            }
        }
        self.reports_of(&requests, now)
    }

    /// Recently changed requests, as many as one message reports. Other nodes act on quarantined
    /// requests, and on completed ones, which have no counted crashes.
    fn recent_changes(&self, now: Timestamp) -> Vec<RequestDigest> {
        let entries = self.entries.iter();
        let changed = entries.filter(|(_, entry)| now < entry.report_until);
        let changed = changed.map(|(request, entry)| {
            let needs_action = entry.is_quarantined || entry.record.crash_count() == 0;
            (needs_action, entry.report_until, *request)
        });
        recent_changes(changed, MAX_CHANGED_PER_MESSAGE, self.batch_number)
    }

    /// The reports for a node that has just started.
    pub fn reports_at_start(&self, now: Timestamp) -> Vec<RequestReport> {
        let count = self.quarantined.len().min(MAX_REPORTS_AT_START);
        self.reports_of(&self.quarantined[..count], now)
    }

    fn reports_of(&self, requests: &[RequestDigest], now: Timestamp) -> Vec<RequestReport> {
        let entries = requests.iter();
        let entries = entries.filter_map(|request| Some((request, self.entries.get(request)?)));
        let reports = entries.map(|(request, entry)| entry.record.report(*request, now));
        reports.collect()
    }

    /// Counts for metrics.
    pub fn counts(&self) -> QuarantineCounts {
        let with_crashes = self.entries.values();
        let with_crashes = with_crashes
            .filter(|entry| entry.record.crash_count() > 0)
            .count();
        QuarantineCounts {
            suspected: with_crashes - self.quarantined.len().min(with_crashes),
            quarantined: self.quarantined.len(),
            evicted: self.evicted,
        }
    }
}
