//! The suspected and quarantined prompt parts known to one node, and the reports it sends.

use crate::blame::{Blame, CrashEvent, MIN_BLAME_CRASHES, attribute_crashes};
use crate::change::ChangeSource;
use crate::part_change::{PartChange, QuarantinedParts};
use crate::part_record::{EXONERATION_DURATION, PartCrash, PartRecord};
use crate::part_report::{PartKey, PartReport, SharedParts};
use crate::record::QUARANTINE_DURATION;
use crate::reporting::{CHANGE_REPORT_DURATION, recent_changes};
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Maximum number of parts with crashes that are stored, at about 250 bytes each.
const MAX_RECORDS: usize = 1_024;
/// Maximum number of parts with recent sound runs that are stored; the ones inserted first are
/// evicted. About 0.5 MB.
const MAX_SOUND_PARTS: usize = 8_192;
/// Maximum number of changed parts reported in one message, at about 30 bytes each.
const MAX_CHANGED_PER_MESSAGE: usize = 16;
/// One in this many messages reports a quarantined part in addition, in rotation. Nodes that were
/// partitioned or paused get all of them in reply to their queries.
const QUARANTINED_REPORT_INTERVAL: usize = 4;
/// Maximum number of quarantined parts reported to a node that has just started.
const MAX_REPORTS_AT_START: usize = 64;

/// Time for which a back end counts as crashed: it may still be listed.
const CRASHED_DURATION: Span = Span::from_milliseconds(10_000);

/// A run that was interrupted by the crash of its back end.
#[derive(Clone, Debug)]
pub struct InterruptedRun<'a> {
    /// The shared parts of its prompt.
    pub parts: &'a SharedParts,
    /// Identifier or digest of the back end.
    pub back_end: u32,
    /// Whether the back end crashed within a moment of starting its response.
    pub is_at_start: bool,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRefusal {
    /// The parts that are refused.
    pub quarantined: QuarantinedParts,
    /// Time until the quarantine expires.
    pub remaining: Span,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartCounts {
    /// Parts with crashes that are not quarantined.
    pub suspected: usize,
    /// Quarantined parts.
    pub quarantined: usize,
    /// Records evicted or not stored since the start because the limit was reached.
    pub evicted: u64,
}

/// Time of the latest sound run of this node, by part.
#[derive(Clone, Debug, Default)]
struct SoundParts {
    sound_at: HashMap<PartKey, Timestamp>,
    insertion_order: VecDeque<PartKey>,
}

impl SoundParts {
    fn record(&mut self, part: PartKey, at: Timestamp) {
        if self.sound_at.insert(part, at).is_some() {
            return;
        }
        self.insertion_order.push_back(part);
        if self.insertion_order.len() > MAX_SOUND_PARTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.sound_at.remove(&oldest);
        }
    }

    fn get(&self, part: PartKey, now: Timestamp) -> Option<Timestamp> {
        let at = self.sound_at.get(&part).copied();
        at.filter(|at| now.since(*at) < EXONERATION_DURATION)
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    record: PartRecord,
    /// Its latest change is reported until this time.
    report_until: Timestamp,
}

/// The suspected and quarantined prompt parts known to one node.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    entries: HashMap<PartKey, Entry>,
    sound_parts: SoundParts,
    /// The parts that are refused.
    blames: Vec<Blame>,
    /// Crashes that these parts explain.
    explained: Vec<CrashEvent>,
    /// Number of report batches made; selects which of many changes the next one contains.
    batch_number: usize,
    evicted: u64,
}

impl PartQuarantine {
    /// Records that a back end crashed under a run of this node.
    pub fn record_crash(&mut self, run: &InterruptedRun<'_>, now: Timestamp) -> Vec<PartChange> {
        let crash = PartCrash {
            back_end: run.back_end,
            at: now,
            is_at_start: run.is_at_start,
        };
        let mut has_changed = false;
        for part in run.parts.keys() {
            has_changed |= self.update(part, now, |record| {
                record.add_crash(crash, [run.parts.caller])
            });
        }
        self.update_blames(has_changed, ChangeSource::Own, now)
    }

    /// Records that a run of this node with these shared parts completed, or had been writing its
    /// response for so long that none of its parts can be at fault.
    pub fn record_sound_run(&mut self, parts: &SharedParts, now: Timestamp) -> Vec<PartChange> {
        let mut has_changed = false;
        for part in parts.keys() {
            self.sound_parts.record(part, now);
            if self.entries.contains_key(&part) {
                has_changed |= self.update(part, now, |_| false);
            }
        }
        self.update_blames(has_changed, ChangeSource::Own, now)
    }

    /// Merges reports from another node.
    pub fn merge_reports(&mut self, reports: &[PartReport], now: Timestamp) -> Vec<PartChange> {
        let time_at_age = |age_ms: u32| now - Span::from_milliseconds(u64::from(age_ms));
        let mut has_changed = false;
        for report in reports {
            has_changed |= self.update(report.part, now, |record| {
                let mut has_changed = false;
                if let Some(age_ms) = report.sound_age_ms {
                    has_changed |= record.add_sound_run(time_at_age(age_ms));
                }
                for crash in &report.crashes {
                    let crash = PartCrash {
                        back_end: crash.back_end,
                        at: time_at_age(crash.age_ms),
                        is_at_start: crash.is_at_start,
                    };
                    has_changed |= record.add_crash(crash, report.callers.iter().copied());
                }
                // The reporting node has to learn that the part is sound.
                has_changed || !report.crashes.is_empty() && record.is_exonerated()
            });
        }
        self.update_blames(has_changed, ChangeSource::Peer, now)
    }

    /// Applies the known sound runs and then `change` to the record of a part. The record is reported
    /// to other nodes if either changed it. Returns whether one did.
    fn update(
        &mut self,
        part: PartKey,
        now: Timestamp,
        change: impl FnOnce(&mut PartRecord) -> bool,
    ) -> bool {
        let known = self.entries.remove(&part);
        let is_known = known.is_some();
        let mut entry = known.unwrap_or_default();
        let sound_at = self.sound_parts.get(part, now);
        let mut has_changed = sound_at.is_some_and(|at| entry.record.add_sound_run(at));
        has_changed |= change(&mut entry.record);
        if has_changed {
            entry.report_until = now + CHANGE_REPORT_DURATION;
        }
        let is_kept = (is_known || has_changed) && !entry.record.is_expired(now);
        if is_kept && self.make_room(&entry) {
            self.entries.insert(part, entry);
        }
        has_changed
    }

    /// Makes room for `incoming` if the limit is reached: evicts the entry with the fewest crashes,
    /// among these the one with the oldest last crash. Returns false if all entries outrank
    /// `incoming`.
    fn make_room(&mut self, incoming: &Entry) -> bool {
        if self.entries.len() < MAX_RECORDS {
            return true;
        }
        self.evicted += 1;
        let retention_priority = |entry: &Entry| {
            let crashes = entry.record.crashes();
            (crashes.len(), crashes.last().map(|crash| crash.at))
        };
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
        true
    }

    /// Determines anew which parts are to blame, if records have changed.
    fn update_blames(
        &mut self,
        has_changed: bool,
        source: ChangeSource,
        now: Timestamp,
    ) -> Vec<PartChange> {
        if !has_changed {
            return Vec::new();
        }
        let records = self.entries.iter();
        let records = records
            .filter(|(_, entry)| entry.record.crashes().len() >= MIN_BLAME_CRASHES)
            .map(|(part, entry)| (*part, entry.record.clone()))
            .collect();
        let attribution = attribute_crashes(&records);
        self.explained = attribution.explained;
        let before = std::mem::replace(&mut self.blames, attribution.blames);
        let is_active = |blame: &&Blame| now < blame.last_crash + QUARANTINE_DURATION;
        self.blames.retain(|blame| is_active(&blame));
        let is_in = |blames: &[Blame], blame: &Blame| {
            let mut others = blames.iter();
            others.any(|other| other.parts == blame.parts && other.caller == blame.caller)
        };
        let released = before.iter().filter(|blame| !is_in(&self.blames, blame));
        let mut changes: Vec<PartChange> = released
            .map(|blame| PartChange::Released {
                quarantined: quarantined_parts(blame),
            })
            .collect();
        let added = self.blames.iter().filter(|blame| !is_in(&before, blame));
        changes.extend(added.map(|blame| PartChange::Quarantined {
            quarantined: quarantined_parts(blame),
            remaining: now.until(blame.last_crash + QUARANTINE_DURATION),
            source,
        }));
        changes
    }

    /// Why a request with these shared parts is refused; `None` if it is not.
    pub fn refusal(&self, parts: &SharedParts, now: Timestamp) -> Option<PartRefusal> {
        let blames = self.blames.iter();
        blames
            .filter(|blame| now < blame.last_crash + QUARANTINE_DURATION)
            .map(|blame| PartRefusal {
                quarantined: quarantined_parts(blame),
                remaining: now.until(blame.last_crash + QUARANTINE_DURATION),
            })
            .find(|refusal| refusal.quarantined.matches(parts))
    }

    /// Whether a quarantined part explains a crash of a back end.
    pub fn explains(&self, back_end: u32, at: Timestamp) -> bool {
        let mut explained = self.explained.iter();
        explained.any(|event| crate::record::is_same_crash(event.back_end, event.at, back_end, at))
    }

    /// Whether a quarantined part crashed a back end lately.
    pub fn has_crashed(&self, back_end: u32, now: Timestamp) -> bool {
        let mut explained = self.explained.iter();
        explained.any(|event| event.back_end == back_end && now.since(event.at) < CRASHED_DURATION)
    }

    /// Drops expired records. Returns the parts whose quarantine has expired.
    pub fn expire(&mut self, now: Timestamp) -> Vec<PartChange> {
        self.entries
            .retain(|_, entry| !entry.record.is_expired(now));
        let (active, expired): (Vec<Blame>, Vec<Blame>) = std::mem::take(&mut self.blames)
            .into_iter()
            .partition(|blame| now < blame.last_crash + QUARANTINE_DURATION);
        self.blames = active;
        let expired = expired.iter();
        expired
            .map(|blame| PartChange::Released {
                quarantined: quarantined_parts(blame),
            })
            .collect()
    }

    /// The reports for the next message: recent changes, those that other nodes act on first, and
    /// now and then one of the quarantined parts.
    pub fn reports(&mut self, now: Timestamp) -> Vec<PartReport> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.batch_number = self.batch_number.wrapping_add(1);
        let quarantined = self.quarantined_parts();
        let changed = self.entries.iter();
        let changed = changed.filter(|(_, entry)| now < entry.report_until);
        let changed = changed.map(|(part, entry)| {
            let needs_action = entry.record.crashes().is_empty() || quarantined.contains(part);
            (needs_action, entry.report_until, *part)
        });
        let mut parts = recent_changes(changed, MAX_CHANGED_PER_MESSAGE, self.batch_number);
        let is_due = self
            .batch_number
            .is_multiple_of(QUARANTINED_REPORT_INTERVAL);
        if is_due && !quarantined.is_empty() {
            let turn = self.batch_number / QUARANTINED_REPORT_INTERVAL;
            let part = quarantined[turn % quarantined.len()];
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        self.reports_of(&parts, now)
    }

    /// The reports for a node that has just started.
    pub fn reports_at_start(&self, now: Timestamp) -> Vec<PartReport> {
        let mut parts = self.quarantined_parts();
        parts.truncate(MAX_REPORTS_AT_START);
        self.reports_of(&parts, now)
    }

    fn quarantined_parts(&self) -> Vec<PartKey> {
        let blames = self.blames.iter();
        blames
            .flat_map(|blame| blame.parts.iter().copied())
            .collect()
    }

    fn reports_of(&self, parts: &[PartKey], now: Timestamp) -> Vec<PartReport> {
        let entries = parts.iter();
        let entries = entries.filter_map(|part| Some((part, self.entries.get(part)?)));
        entries
            .map(|(part, entry)| entry.record.report(*part, now))
            .collect()
    }

    /// Counts for metrics.
    pub fn counts(&self) -> PartCounts {
        let entries = self.entries.values();
        let with_crashes = entries.filter(|entry| !entry.record.crashes().is_empty());
        let quarantined = self.quarantined_parts().len();
        PartCounts {
            suspected: with_crashes.count().saturating_sub(quarantined),
            quarantined,
            evicted: self.evicted,
        }
    }
}

fn quarantined_parts(blame: &Blame) -> QuarantinedParts {
    QuarantinedParts {
        parts: blame.parts.clone(),
        caller: blame.caller,
        crashes: blame.crash_count,
    }
}
