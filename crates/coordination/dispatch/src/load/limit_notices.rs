//! Rate limits stated by back ends, to this node or to others, and the reports of them that nodes
//! exchange.
//!
//! Nodes that send no requests to a back end don't learn directly that its limit has changed or
//! been lifted, so each notice is forwarded; the most recent one applies. A notice holds until
//! the same run of the back end states otherwise, however long ago it was. A run is one process
//! lifetime of a back end.

use crate::RateLimit;
use crate::load::limiter::LimitNotice;
use eiderferry_routing::{BackEnd, may_be_same_start};
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of runs whose notices are kept, at about 100 bytes each: nearly half of the
/// back ends in a fleet of 10,000 may be limited at the same time.
const MAX_RUNS: usize = 4_096;
/// Time for which a change is included in each message within the own zone. Its peers, or its
/// aggregators, receive it several times in this period, so single messages may be lost.
const SAME_ZONE_REPORTING_PERIOD: Span = Span::from_milliseconds(500);
/// The same for other zones, which receive messages less often.
const OTHER_ZONES_REPORTING_PERIOD: Span = Span::from_milliseconds(2_000);
/// Time for which an aggregator reports a change, in its sending intervals; there are two
/// aggregators.
const AGGREGATOR_REPORTING_INTERVALS: f64 = 1.5;
/// Changed notices in one message, at about 15 bytes each: they make a message a third longer
/// than an aggregator's summary.
const MAX_CHANGED_REPORTS: usize = 96;
/// Notices sent to a node that has just started.
const MAX_REPORTS_AT_START: usize = 64;
/// Time for which a lifted limit is remembered: older notices that state the limit may still be
/// in transit.
const LIFTED_LIMIT_RETENTION: Span = Span::from_milliseconds(60_000);
/// Total delay that the messages forwarding one notice may have. A notice with an unchanged limit
/// that appears newer than the known one by no more than this is taken for an echo of it;
/// otherwise a notice that is forwarded back and forth would never age.
const ECHO_WINDOW: Span = Span::from_milliseconds(500);
/// Message delay added to the age of a notice that a limit was lifted: forwarded back and forth,
/// it must not become newer than a notice that states the limit.
const LIFTED_NOTICE_MARGIN: Span = Span::from_milliseconds(10);

/// A back end's rate limit, as nodes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// Start time of the back end's run, if known.
    pub started_unix_ms: Option<u64>,
    /// The limit; `None` if it has been lifted.
    pub limit: Option<RateLimit>,
    /// Time since the back end stated it, in milliseconds.
    pub age_ms: u32,
}

/// Where this node learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeOrigin {
    /// From a response of the back end to this node.
    BackEnd,
    /// From a node of the same zone.
    OwnZone,
    /// From a node of another zone.
    OtherZone,
}

/// The receivers of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Peers in the same zone, or its aggregators.
    OwnZone,
    /// Nodes in the same zone, when the sender is their aggregator and sends to all of them in
    /// turn.
    ZoneMembers {
        /// Time in which the aggregator sends to each of them once.
        interval: Span,
    },
    /// Nodes in other zones.
    OtherZones,
}

impl Audience {
    /// Whether the audience needs a notice from this node. It does not if this node learned of it
    /// from the same audience: notices sent back would fill the messages of all nodes.
    fn needs_notice_from(self, origin: NoticeOrigin) -> bool {
        match self {
            Audience::OwnZone => origin != NoticeOrigin::OwnZone,
            Audience::ZoneMembers { .. } => true,
            Audience::OtherZones => origin != NoticeOrigin::OtherZone,
        }
    }

    /// Time for which changes are reported to the audience.
    fn reporting_period(self) -> Span {
        match self {
            Audience::OwnZone => SAME_ZONE_REPORTING_PERIOD,
            Audience::OtherZones => OTHER_ZONES_REPORTING_PERIOD,
            Audience::ZoneMembers { interval } => interval.scaled(AGGREGATOR_REPORTING_INTERVALS),
        }
    }

    /// Number of unchanged notices added to each message, chosen at random: nodes that were
    /// partitioned, paused or restarted learn of them, and all others learn that the limit still
    /// holds.
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
    /// When this node learned of the limit, or that it was lifted.
    changed_at: Timestamp,
}

impl Entry {
    /// Applies a notice of the same run, if it is more recent.
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

    /// Whether it has changed recently and the audience needs to learn of it from this node.
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

/// One run of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackEndRun {
    /// Digest of its instance.
    pub back_end: u32,
    pub started_unix_ms: Option<u64>,
}

/// Notices of the runs that stated a limit, by the digests of their instances: a node that starts
/// may learn of limits before it knows the back ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitNotices {
    entries: BTreeMap<u32, Entry>,
}

impl LimitNotices {
    /// The latest notice of a listed run.
    pub fn notice_of(&self, digest: u32, back_end: &BackEnd) -> Option<LimitNotice> {
        let entry = self.entries.get(&digest)?;
        let is_same_run = back_end.may_have_started(entry.started_unix_ms);
        is_same_run.then_some(entry.notice)
    }

    /// Back ends that have a limit or had one recently.
    pub fn back_ends(&self) -> impl Iterator<Item = u32> {
        self.entries.keys().copied()
    }

    /// Records a notice that this or another node received, unless a more recent one is known.
    /// Returns the back end whose notice was evicted to make room, if any.
    pub fn record(
        &mut self,
        run: BackEndRun,
        notice: LimitNotice,
        origin: NoticeOrigin,
        now: Timestamp,
    ) -> Option<u32> {
        let existing = self.entries.get_mut(&run.back_end);
        let is_same_run =
            |entry: &&mut Entry| may_be_same_start(entry.started_unix_ms, run.started_unix_ms);
        if let Some(entry) = existing.filter(is_same_run) {
            entry.update(notice, origin, now);
            entry.started_unix_ms = run.started_unix_ms.or(entry.started_unix_ms);
            return None;
        }
        // A notice without a limit is not recorded where no limit was known.
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

    /// Removes limits that were lifted long ago, and old notices of back ends for which `is_gone`
    /// holds.
    pub fn expire(&mut self, is_gone: impl Fn(u32) -> bool, now: Timestamp) {
        self.entries.retain(|back_end, entry| {
            let age = now.since(entry.notice.reported_at);
            age < LIFTED_LIMIT_RETENTION || (entry.notice.limit.is_some() && !is_gone(*back_end))
        });
    }

    /// Evicts the oldest notice if there is no room for another.
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

    /// Whether there are changes that nodes of the same zone need to learn from this node.
    pub fn has_unsent_changes(&self, now: Timestamp) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.needs_reporting(Audience::OwnZone, now))
    }

    /// Reports to include in a message: recent changes, and some of the unchanged notices.
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

    /// Reports for a node that has just started.
    pub fn reports_at_start(&self, now: Timestamp, random: &mut impl Rng) -> Vec<LimitReport> {
        let entries = self.entries.iter().collect();
        to_reports(sample(entries, MAX_REPORTS_AT_START, random), now)
    }
}

type NoticeEntry<'a> = (&'a u32, &'a Entry);

/// Selects up to `max_count` entries at random, so that each message contains different ones.
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
