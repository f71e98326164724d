//! How loaded a back end is, as this node knows it.

use crate::{LeaseId, LoadReport, Outcome, OutcomeCounts, PrefixCache, RecentOutcomes};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which another node's report counts.
pub const REPORT_LIFETIME: Span = Span::from_milliseconds(2_500);
/// Prompt tokens that an engine reads in a millisecond, until its answers tell.
const ASSUMED_TOKENS_PER_MS: f64 = 38.0;
/// Weight of the newest observation of an engine's speed.
const SPEED_SMOOTHING: f64 = 0.15;
/// Slowest and fastest that an engine is believed to be against the assumption.
const SPEED_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Prompts shorter than this tell nothing of an engine's speed.
const MINIMUM_OBSERVED_TOKENS: u32 = 1_500;

/// A request that this node has at a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub uncached_tokens: u32,
    pub is_sensitive: bool,
    pub pending_before: u64,
    pub started: Timestamp,
    pub has_begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    running: u32,
    sensitive: u32,
    pending_tokens: u64,
    outcomes: OutcomeCounts,
    at: Timestamp,
}

impl Report {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) < REPORT_LIFETIME
    }

    fn to_message(self, back_end: u32) -> LoadReport {
        LoadReport {
            back_end,
            running: saturate(u64::from(self.running)),
            sensitive: saturate(u64::from(self.sensitive)),
            pending_hundreds: saturate(self.pending_tokens / 100),
            completed: saturate(u64::from(self.outcomes.completed)),
            failed: saturate(u64::from(self.outcomes.failed)),
        }
    }
}

fn saturate(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

/// Load of one back end.
#[derive(Clone, Debug)]
pub struct BackEndLoad {
    running: BTreeMap<LeaseId, Running>,
    reports: HashMap<u64, Report>,
    slowness: f64,
    outcomes: RecentOutcomes,
    /// Prompts it is believed to keep.
    pub cache: PrefixCache,
}

impl BackEndLoad {
    /// A back end that nothing is known of, with memory for so many tokens.
    pub fn new(engine_tokens: u64) -> Self {
        Self {
            running: BTreeMap::new(),
            reports: HashMap::new(),
            slowness: 1.0,
            outcomes: RecentOutcomes::default(),
            cache: PrefixCache::new(engine_tokens),
        }
    }

    /// Requests of this node there.
    pub fn own_running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Prompt tokens of this node's requests that are still to be read there.
    pub fn own_pending_tokens(&self, now: Timestamp) -> u64 {
        let waiting = self.running.values().filter(|running| !running.has_begun);
        let rate = ASSUMED_TOKENS_PER_MS / self.slowness;
        let total: u64 = waiting
            .clone()
            .map(|running| u64::from(running.uncached_tokens))
            .sum();
        let oldest = waiting.map(|running| running.started).min();
        let elapsed = oldest.map_or(0, |started| now.since(started).milliseconds());
        let read = (elapsed as f64 * rate / 2.0) as u64;
        total.saturating_sub(read.min(total / 2))
    }

    /// Requests of all nodes there.
    pub fn total_running(&self, now: Timestamp) -> u32 {
        self.own_running() + self.fresh(now).map(|report| report.running).sum::<u32>()
    }

    /// Requests of this node there that long prompts make late.
    pub fn own_sensitive(&self) -> u32 {
        let sensitive = self.running.values().filter(|running| running.is_sensitive);
        sensitive.count() as u32
    }

    /// Requests of all nodes there that long prompts make late.
    pub fn total_sensitive(&self, now: Timestamp) -> u32 {
        self.own_sensitive() + self.fresh(now).map(|report| report.sensitive).sum::<u32>()
    }

    /// Prompt tokens of all nodes' requests that are still to be read there.
    pub fn total_pending_tokens(&self, now: Timestamp) -> u64 {
        let others: u64 = self.fresh(now).map(|report| report.pending_tokens).sum();
        self.own_pending_tokens(now) + others
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        let reports = self.reports.values();
        reports.filter(move |report| report.is_fresh(now))
    }

    /// Expected time to read so many prompt tokens.
    pub fn reading_time(&self, tokens: u64) -> Span {
        let milliseconds = tokens as f64 / ASSUMED_TOKENS_PER_MS * self.slowness;
        Span::from_seconds(milliseconds / 1_000.0)
    }

    /// Takes over what another node reports of its requests there.
    pub fn report(&mut self, node: u64, report: &LoadReport, at: Timestamp) {
        let report = Report {
            running: u32::from(report.running),
            sensitive: u32::from(report.sensitive),
            pending_tokens: u64::from(report.pending_hundreds) * 100,
            outcomes: OutcomeCounts {
                completed: u32::from(report.completed),
                failed: u32::from(report.failed),
            },
            at,
        };
        self.reports.insert(node, report);
    }

    /// What this node and some others have there, as one report.
    pub(crate) fn report_with(
        &self,
        back_end: u32,
        others: &BTreeSet<u64>,
        now: Timestamp,
    ) -> LoadReport {
        let reports = self.reports.iter();
        let reports =
            reports.filter(|(node, report)| others.contains(node) && report.is_fresh(now));
        let mut total = Report {
            running: self.own_running(),
            sensitive: self.own_sensitive(),
            pending_tokens: self.own_pending_tokens(now),
            outcomes: self.own_outcomes(now),
            at: now,
        };
        for (_, report) in reports {
            total.running += report.running;
            total.sensitive += report.sensitive;
            total.pending_tokens += report.pending_tokens;
            total.outcomes = total.outcomes.plus(report.outcomes);
        }
        total.to_message(back_end)
    }

    /// Forgets what a node reported.
    pub fn forget(&mut self, node: u64) {
        self.reports.remove(&node);
    }

    pub(crate) fn begin(
        &mut self,
        lease: LeaseId,
        uncached_tokens: u32,
        is_sensitive: bool,
        now: Timestamp,
    ) {
        let running = Running {
            uncached_tokens,
            is_sensitive,
            pending_before: self.total_pending_tokens(now),
            started: now,
            has_begun: false,
        };
        self.running.insert(lease, running);
    }

    /// The first event of a request came.
    pub(crate) fn first_event(&mut self, lease: LeaseId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&lease) else {
            return;
        };
        if std::mem::replace(&mut running.has_begun, true) {
            return;
        }
        let running = *running;
        if running.uncached_tokens >= MINIMUM_OBSERVED_TOKENS {
            self.observe_speed(&running, now);
        }
    }

    fn observe_speed(&mut self, running: &Running, now: Timestamp) {
        let tokens = running.pending_before + u64::from(running.uncached_tokens);
        let expected = tokens as f64 / ASSUMED_TOKENS_PER_MS;
        let observed = now.since(running.started).milliseconds() as f64;
        let ratio = (observed / expected).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        self.slowness += SPEED_SMOOTHING * (ratio - self.slowness);
    }

    /// What this node has seen end there lately.
    pub fn own_outcomes(&self, now: Timestamp) -> OutcomeCounts {
        self.outcomes.counts(now)
    }

    /// Share of failures among what all nodes have seen end there lately.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        let reports = self.fresh(now).map(|report| report.outcomes);
        let all = reports.fold(self.own_outcomes(now), OutcomeCounts::plus);
        all.failure_share()
    }

    pub(crate) fn end(&mut self, lease: LeaseId, outcome: Outcome, now: Timestamp) {
        self.running.remove(&lease);
        self.outcomes.record(outcome, now);
    }
}
