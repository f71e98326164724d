//! What back ends said of their rate limits, to this node or to others, and what is told of it.
//!
//! Nodes that send nothing to a back end hear neither that its limit changed nor that it is over,
//! so each notice is passed on; of two the later one counts. A run's notice holds until the run says
//! otherwise, however long ago that was.

use crate::RateLimit;
use crate::load::limiter::LimitNotice;
use eiderferry_routing::{BackEnd, may_be_same_start};
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Runs whose notice is kept, some 100 bytes each: nearly half of a fleet of 10,000 back ends may
/// be limited at once.
const MAX_RUNS: usize = 4_096;
/// Time for which what has changed is told with each message to the own zone: its peers, or its
/// aggregators, hear it several times in it, so that single messages may be lost.
const SAME_ZONE_REPORTING_PERIOD: Span = Span::from_milliseconds(500);
/// The same to other zones, which are told less often.
const OTHER_ZONES_REPORTING_PERIOD: Span = Span::from_milliseconds(2_000);
/// Rounds in which an aggregator tells what has changed; there are two aggregators.
const AGGREGATOR_REPORTING_ROUNDS: f64 = 1.5;
/// Changed notices told in one message, at some 15 bytes each: with them a message is a third
/// longer than a summary of an aggregator.
const MAX_CHANGED_REPORTS: usize = 96;
/// Notices told to a node that has just started.
const MAX_REPORTS_AT_START: usize = 64;
/// Time for which it is remembered that a limit is over: older notices of it may still be on
/// their way.
const LIFTED_LIMIT_RETENTION: Span = Span::from_milliseconds(60_000);
/// What the messages of one notice may take on their way in all. The same limit, said no later than
/// that after the known notice, is taken for that one: passed on and back it would never age.
const ECHO_WINDOW: Span = Span::from_milliseconds(500);
/// What a message may take on its way, added where a limit is said to be over: passed on and
/// back, that notice must not grow younger than one that names the limit.
const LIFTED_NOTICE_MARGIN: Span = Span::from_milliseconds(10);

/// What a back end said of its limit, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// Its run, where it tells when it started.
    pub started_unix_ms: Option<u64>,
    /// The limit; `None` where it has none any more.
    pub limit: Option<RateLimit>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

/// Where this node heard of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeOrigin {
    /// In an answer to this node.
    BackEnd,
    /// From a node of the own zone.
    OwnZone,
    /// From a node of another zone.
    OtherZone,
}

/// For whom a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Peers of the own zone, or its aggregators.
    OwnZone,
    /// Nodes of the own zone, from their aggregator, which tells all of them within so long.
    ZoneMembers {
        /// Time in which each of them is told once.
        round: Span,
    },
    /// Nodes of other zones.
    OtherZones,
}

impl Audience {
    /// Whether it has not been told by those from whom this node heard: back and forth, each
    /// notice would fill the messages of all nodes.
    fn needs_notice_from(self, origin: NoticeOrigin) -> bool {
        match self {
            Audience::OwnZone => origin != NoticeOrigin::OwnZone,
            Audience::ZoneMembers { .. } => true,
            Audience::OtherZones => origin != NoticeOrigin::OtherZone,
        }
    }

    /// Time for which it is told what has changed.
    fn reporting_period(self) -> Span {
        match self {
            Audience::OwnZone => SAME_ZONE_REPORTING_PERIOD,
            Audience::OtherZones => OTHER_ZONES_REPORTING_PERIOD,
            Audience::ZoneMembers { round } => round.scaled(AGGREGATOR_REPORTING_ROUNDS),
        }
    }

    /// Notices told in each message besides, drawn anew: nodes that were cut off, paused or started
    /// anew hear of them, and all hear that a limit still holds.
    fn unchanged_report_count(self) -> usize {
        match self {
            Audience::OwnZone => 1,
            Audience::OtherZones | Audience::ZoneMembers { .. } => 4,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    started_unix_ms: Option<u64>,
    notice: LimitNotice,
    origin: NoticeOrigin,
    /// When this node heard of the limit, or that it is over.
    changed_at: Timestamp,
}

impl Entry {
    /// Takes over what the same run said, if it is later.
    fn update(&mut self, notice: LimitNotice, origin: NoticeOrigin, now: Timestamp) {
        let is_change = notice.limit != self.notice.limit;
        let margin = if is_change { Span::ZERO } else { ECHO_WINDOW };
        if notice.reported_at <= self.notice.reported_at + margin {
            return;
        }
        if is_change {
            self.changed_at = now;
            self.origin = origin;
        }
        self.notice = notice;
    }

    /// Whether it has changed lately and an audience has to hear it from this node.
    fn needs_reporting(&self, audience: Audience, now: Timestamp) -> bool {
        now.since(self.changed_at) < audience.reporting_period()
            && audience.needs_notice_from(self.origin)
    }

    fn report(&self, back_end: u32, now: Timestamp) -> LimitReport {
        let margin = if self.notice.limit.is_none() {
            LIFTED_NOTICE_MARGIN
        } else {
            Span::ZERO
        };
        let age = now.since(self.notice.reported_at) + margin;
        LimitReport {
            back_end,
            started_unix_ms: self.started_unix_ms,
            limit: self.notice.limit,
            age_ms: u32::try_from(age.milliseconds()).unwrap_or(u32::MAX),
        }
    }
}

/// A run of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackEndRun {
    /// Digest of its instance.
    pub back_end: u32,
    pub started_unix_ms: Option<u64>,
}

/// The notices of runs that named a limit, by the digests of their instances: a node that starts
/// hears of limits before it hears which back ends there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitNotices {
    entries: BTreeMap<u32, Entry>,
}

impl LimitNotices {
    /// What a listed run said last.
    pub fn of(&self, digest: u32, back_end: &BackEnd) -> Option<LimitNotice> {
        let entry = self.entries.get(&digest)?;
        let is_same_run = back_end.may_have_started(entry.started_unix_ms);
        is_same_run.then_some(entry.notice)
    }

    /// Back ends that have, or had lately, a limit.
    pub fn back_ends(&self) -> impl Iterator<Item = u32> {
        self.entries.keys().copied()
    }

    /// Takes in what a run said, here or elsewhere, unless it has said something since. Returns a
    /// back end whose notice gave way to it.
    pub fn record(
        &mut self,
        run: BackEndRun,
        notice: LimitNotice,
        origin: NoticeOrigin,
        now: Timestamp,
    ) -> Option<u32> {
        let known = self.entries.get_mut(&run.back_end);
        let is_same_run =
            |entry: &&mut Entry| may_be_same_start(entry.started_unix_ms, run.started_unix_ms);
        if let Some(entry) = known.filter(is_same_run) {
            entry.update(notice, origin, now);
            entry.started_unix_ms = run.started_unix_ms.or(entry.started_unix_ms);
            return None;
        }
        // That a run has no limit is no news where none was known.
        notice.limit?;
        let evicted = self.make_room();
        let entry = Entry {
            started_unix_ms: run.started_unix_ms,
            notice,
            origin,
            changed_at: now,
        };
        self.entries.insert(run.back_end, entry);
        evicted
    }

    /// Forgets limits that are long over, and all of runs for which `is_gone` holds.
    pub fn expire(&mut self, is_gone: impl Fn(u32) -> bool, now: Timestamp) {
        self.entries.retain(|back_end, entry| {
            let age = now.since(entry.notice.reported_at);
            age < LIFTED_LIMIT_RETENTION || (entry.notice.limit.is_some() && !is_gone(*back_end))
        });
    }

    /// The notice heard longest ago gives way.
    fn make_room(&mut self) -> Option<u32> {
        if self.entries.len() < MAX_RUNS {
            return None;
        }
        let oldest = self.entries.iter();
        let oldest = oldest.min_by_key(|(_, entry)| entry.notice.reported_at);
        let oldest = oldest.map(|(back_end, _)| *back_end)?;
        self.entries.remove(&oldest);
        Some(oldest)
    }

    /// Whether anything has changed that nodes of the own zone have to hear from this one.
    pub fn has_unsent_changes(&self, now: Timestamp) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.needs_reporting(Audience::OwnZone, now))
    }

    /// What a message tells: what has changed lately, and some of the others.
    pub fn reports(
        &self,
        audience: Audience,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<LimitReport> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let entries = self.entries.iter();
        let (changed, unchanged): (Vec<NoticeEntry<'_>>, Vec<NoticeEntry<'_>>) =
            entries.partition(|(_, entry)| entry.needs_reporting(audience, now));
        let mut selected = sample(changed, MAX_CHANGED_REPORTS, random);
        selected.extend(sample(unchanged, audience.unchanged_report_count(), random));
        to_reports(selected, now)
    }

    /// What a node that has just started is told.
    pub fn reports_at_start(&self, now: Timestamp, random: &mut impl Rng) -> Vec<LimitReport> {
        let entries = self.entries.iter().collect();
        to_reports(sample(entries, MAX_REPORTS_AT_START, random), now)
    }
}

type NoticeEntry<'a> = (&'a u32, &'a Entry);

/// Some of the entries where there are more: others for each receiver, however its turns come.
fn sample<'a>(
    entries: Vec<NoticeEntry<'a>>,
    max_count: usize,
    random: &mut impl Rng,
) -> Vec<NoticeEntry<'a>> {
    if entries.len() <= max_count {
        return entries;
    }
    entries.into_iter().choose_multiple(random, max_count)
}

fn to_reports(selected: Vec<NoticeEntry<'_>>, now: Timestamp) -> Vec<LimitReport> {
    let selected = selected.into_iter();
    selected
        .map(|(back_end, entry)| entry.report(*back_end, now))
        .collect()
}
