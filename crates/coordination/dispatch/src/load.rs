//! How loaded a back end is, as this node knows it.

use crate::{
    EngineSpeed, LeaseId, LoadReport, Outcome, OutcomeCounts, PrefixCache, RecentOutcomes,
};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which another node's report counts.
pub const REPORT_LIFETIME: Span = Span::from_milliseconds(2_500);
/// Prompt tokens that an engine reads in a millisecond, until its answers tell (measured
/// at the first deployment, whose engines read 37).
const ASSUMED_TOKENS_PER_MS: f64 = 38.0;
/// Weight of the newest observation of an engine's speed.
const SPEED_SMOOTHING: f64 = 0.15;
/// Slowest and fastest that an engine is believed to be against the assumption.
const SPEED_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Prompts shorter than this tell nothing of an engine's speed.
const MINIMUM_OBSERVED_TOKENS: u32 = 1_500;
/// Unit in which messages tell tokens, and parts of a stream.
const HUNDRED: u64 = 100;

/// What a request takes of a back end, and how it and the others there disturb each
/// other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Footprint {
    /// Prompt tokens that have to be read.
    pub uncached_tokens: u32,
    /// Tokens of memory at its end that no other request shares, its answer included.
    /// What requests share stands there once, and gives way where nobody uses it.
    pub single_tokens: u32,
    /// Chance that a long prompt read beside it makes it late.
    pub exposure: f64,
    /// Whether its own prompt takes long to read.
    pub is_long_reading: bool,
}

/// A request that this node has at a back end.
#[derive(Clone, Copy, Debug)]
struct Running {
    footprint: Footprint,
    pending_before: u64,
    started: Timestamp,
    has_begun: bool,
}

/// What all nodes' requests take of a back end together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Requests.
    pub running: u32,
    /// Streams that a long prompt would make late, in expectation.
    pub exposed: f64,
    /// Requests whose own prompts take long to read.
    pub long_readings: u32,
    /// Tokens of memory at their ends that only one request has.
    pub single_tokens: u64,
    /// Prompt tokens that are still to be read.
    pub pending_tokens: u64,
}

impl Occupancy {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            exposed: self.exposed + other.exposed,
            long_readings: self.long_readings + other.long_readings,
            single_tokens: self.single_tokens + other.single_tokens,
            pending_tokens: self.pending_tokens + other.pending_tokens,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    occupancy: Occupancy,
    outcomes: OutcomeCounts,
    at: Timestamp,
}

impl Report {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) < REPORT_LIFETIME
    }

    fn to_message(self, back_end: u32, placed: u64) -> LoadReport {
        LoadReport {
            back_end,
            running: saturate(u64::from(self.occupancy.running)),
            exposed_hundredths: saturate((self.occupancy.exposed * HUNDRED as f64) as u64),
            long_readings: saturate(u64::from(self.occupancy.long_readings)),
            single_hundreds: saturate(self.occupancy.single_tokens / HUNDRED),
            pending_hundreds: saturate(self.occupancy.pending_tokens / HUNDRED),
            placed_hundreds: placed / HUNDRED,
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
    /// Tokens of single requests that this node, and each other one, ever placed there.
    own_placed: u64,
    placed_by: HashMap<u64, u64>,
    slowness: f64,
    outcomes: RecentOutcomes,
    /// Its speed against its pool.
    pub speed: EngineSpeed,
    /// Prompts it is believed to keep.
    pub cache: PrefixCache,
}

impl BackEndLoad {
    /// A back end that nothing is known of, with memory for so many tokens.
    pub fn new(engine_tokens: u64, speed: EngineSpeed) -> Self {
        Self {
            running: BTreeMap::new(),
            reports: HashMap::new(),
            own_placed: 0,
            placed_by: HashMap::new(),
            slowness: 1.0,
            outcomes: RecentOutcomes::default(),
            speed,
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
            .map(|running| u64::from(running.footprint.uncached_tokens))
            .sum();
        let oldest = waiting.map(|running| running.started).min();
        let elapsed = oldest.map_or(0, |started| now.since(started).milliseconds());
        let read = (elapsed as f64 * rate / 2.0) as u64;
        total.saturating_sub(read.min(total / 2))
    }

    /// What this node's requests take there.
    pub fn own_occupancy(&self, now: Timestamp) -> Occupancy {
        let footprints = self.running.values().map(|running| &running.footprint);
        let mut own = Occupancy {
            running: self.own_running(),
            pending_tokens: self.own_pending_tokens(now),
            ..Occupancy::default()
        };
        for footprint in footprints {
            own.exposed += footprint.exposure;
            own.long_readings += u32::from(footprint.is_long_reading);
            own.single_tokens += u64::from(footprint.single_tokens);
        }
        own
    }

    /// What all nodes' requests take there.
    pub fn occupancy(&self, now: Timestamp) -> Occupancy {
        let others = self.fresh(now).map(|report| report.occupancy);
        others.fold(self.own_occupancy(now), Occupancy::plus)
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
        self.note_placed(node, report.placed_hundreds * HUNDRED);
        let report = Report {
            occupancy: Occupancy {
                running: u32::from(report.running),
                exposed: f64::from(report.exposed_hundredths) / HUNDRED as f64,
                long_readings: u32::from(report.long_readings),
                single_tokens: u64::from(report.single_hundreds) * HUNDRED,
                pending_tokens: u64::from(report.pending_hundreds) * HUNDRED,
            },
            outcomes: OutcomeCounts {
                completed: u32::from(report.completed),
                failed: u32::from(report.failed),
            },
            at,
        };
        self.reports.insert(node, report);
    }

    /// Another node has ever placed so many tokens of single requests there. After its
    /// restart the sum begins anew.
    fn note_placed(&mut self, node: u64, placed: u64) {
        let known = self.placed_by.insert(node, placed);
        let since = known.map_or(0, |known| placed.saturating_sub(known));
        self.cache.insert_single(since);
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
        let placed = self.placed_by.iter();
        let placed = placed.filter(|(node, _)| others.contains(node));
        let placed = self.own_placed + placed.map(|(_, placed)| placed).sum::<u64>();
        let mut total = Report {
            occupancy: self.own_occupancy(now),
            outcomes: self.own_outcomes(now),
            at: now,
        };
        for (_, report) in reports {
            total.occupancy = total.occupancy.plus(report.occupancy);
            total.outcomes = total.outcomes.plus(report.outcomes);
        }
        total.to_message(back_end, placed)
    }

    /// Forgets what a node reported.
    pub fn forget(&mut self, node: u64) {
        self.reports.remove(&node);
    }

    pub(crate) fn begin(&mut self, lease: LeaseId, footprint: Footprint, now: Timestamp) {
        self.own_placed += u64::from(footprint.single_tokens);
        let running = Running {
            footprint,
            pending_before: self.occupancy(now).pending_tokens,
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
        if running.footprint.uncached_tokens >= MINIMUM_OBSERVED_TOKENS {
            self.observe_speed(&running, now);
        }
    }

    fn observe_speed(&mut self, running: &Running, now: Timestamp) {
        let tokens = running.pending_before + u64::from(running.footprint.uncached_tokens);
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
