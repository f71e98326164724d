//! How loaded a back end is, as this node knows it.

use crate::load::concurrency::ConcurrencyEstimate;
use crate::{
    EngineSpeed, LeaseId, LoadReport, Outcome, OutcomeCounts, PrefixCache, RecentOutcomes,
};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time for which another node's report counts.
pub const REPORT_LIFETIME: Span = Span::from_milliseconds(2_500);
/// Time for which the sums of an aggregator count: one with a weak link tells them each
/// 1.2 s.
const SUMMARY_LIFETIME: Span = Span::from_milliseconds(1_500);
/// Time after which a request is held in the sums of an aggregator: its node reports at the
/// next tick.
const REPORTING_DELAY: Span = Span::from_milliseconds(110);
/// Prompt tokens that an engine reads in a millisecond, until its answers tell (measured
/// at the first deployment, whose engines read 37).
const ASSUMED_PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Weight of the newest observation of an engine's speed.
const SLOWNESS_SMOOTHING: f64 = 0.15;
/// Slowest and fastest that an engine is believed to be against the assumption.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Prompts shorter than this tell nothing of an engine's speed.
const MINIMUM_OBSERVED_TOKENS: u32 = 1_500;
/// Unit in which messages tell tokens, and parts of a stream.
const REPORT_SCALE: u64 = 100;

/// What a request takes of a back end, and how it and the others there disturb each
/// other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Footprint {
    /// Prompt tokens that have to be read.
    pub uncached_tokens: u32,
    /// Tokens of memory at its end that no other request shares, its answer included.
    /// What requests share stands there once, and gives way where nobody uses it.
    pub unshared_tokens: u32,
    /// Chance that a long prompt read beside it makes it late.
    pub exposure: f64,
    /// Whether its own prompt takes long to read.
    pub is_long_prefill: bool,
}

/// A request that this node has at a back end.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    footprint: Footprint,
    pending_tokens_before: u64,
    started_at: Timestamp,
    first_event_at: Option<Timestamp>,
    /// Whether only a replica of a request that runs elsewhere is here: it takes memory,
    /// and no place in the batch.
    is_replica: bool,
}

impl RunningRequest {
    /// Whether its first event had come by then.
    fn had_first_event(&self, at: Timestamp) -> bool {
        self.first_event_at.is_some_and(|first| first <= at)
    }

    fn add_to(&self, occupancy: &mut Occupancy, has_first_event: bool) {
        if self.is_replica {
            occupancy.unshared_tokens += u64::from(self.footprint.unshared_tokens);
        } else {
            occupancy.add(&self.footprint, has_first_event);
        }
    }
}

/// What all nodes' requests take of a back end together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Requests.
    pub running: u32,
    /// Streams that a long prompt would make late, in expectation.
    pub exposed_streams: f64,
    /// Requests whose own prompts take long to read.
    pub long_prefills: u32,
    /// Tokens of memory at their ends that only one request has.
    pub unshared_tokens: u64,
    /// Prompt tokens that are still to be read.
    pub pending_tokens: u64,
}

impl Occupancy {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            exposed_streams: self.exposed_streams + other.exposed_streams,
            long_prefills: self.long_prefills + other.long_prefills,
            unshared_tokens: self.unshared_tokens + other.unshared_tokens,
            pending_tokens: self.pending_tokens + other.pending_tokens,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            exposed_streams: (self.exposed_streams - other.exposed_streams).max(0.0),
            long_prefills: self.long_prefills.saturating_sub(other.long_prefills),
            unshared_tokens: self.unshared_tokens.saturating_sub(other.unshared_tokens),
            pending_tokens: self.pending_tokens.saturating_sub(other.pending_tokens),
        }
    }

    fn add(&mut self, footprint: &Footprint, has_first_event: bool) {
        self.running += 1;
        self.exposed_streams += footprint.exposure;
        self.long_prefills += u32::from(footprint.is_long_prefill);
        self.unshared_tokens += u64::from(footprint.unshared_tokens);
        if !has_first_event {
            self.pending_tokens += u64::from(footprint.uncached_tokens);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    occupancy: Occupancy,
    outcomes: OutcomeCounts,
    received_at: Timestamp,
}

impl ReceivedReport {
    fn new(report: &LoadReport, received_at: Timestamp) -> Self {
        Self {
            occupancy: Occupancy {
                running: u32::from(report.running),
                exposed_streams: f64::from(report.exposed_hundredths) / REPORT_SCALE as f64,
                long_prefills: u32::from(report.long_prefills),
                unshared_tokens: u64::from(report.unshared_hundreds) * REPORT_SCALE,
                pending_tokens: u64::from(report.pending_hundreds) * REPORT_SCALE,
            },
            outcomes: OutcomeCounts {
                completed: u32::from(report.completed),
                failed: u32::from(report.failed),
            },
            received_at,
        }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < REPORT_LIFETIME
    }

    fn to_message(self, back_end: u32, placed: u64) -> LoadReport {
        LoadReport {
            back_end,
            running: saturate_to_u16(u64::from(self.occupancy.running)),
            exposed_hundredths: saturate_to_u16(
                (self.occupancy.exposed_streams * REPORT_SCALE as f64) as u64,
            ),
            long_prefills: saturate_to_u16(u64::from(self.occupancy.long_prefills)),
            unshared_hundreds: saturate_to_u16(self.occupancy.unshared_tokens / REPORT_SCALE),
            pending_hundreds: saturate_to_u16(self.occupancy.pending_tokens / REPORT_SCALE),
            placed_hundreds: placed / REPORT_SCALE,
            completed: saturate_to_u16(u64::from(self.outcomes.completed)),
            failed: saturate_to_u16(u64::from(self.outcomes.failed)),
        }
    }
}

fn saturate_to_u16(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

/// Whose requests a report counts, and who tells of them: digests of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// A node tells of its own requests.
    Node(u64),
    /// A node tells of those of another zone.
    Zone {
        /// The zone.
        zone: u64,
        /// The node.
        reporter: u64,
    },
    /// An aggregator tells of those of all nodes.
    AllNodes {
        /// The aggregator.
        reporter: u64,
    },
}

/// What a report counts, whoever tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LoadScope {
    /// Requests of one node.
    Node(u64),
    /// Requests of another zone's nodes.
    Zone(u64),
    /// Requests of all nodes.
    AllNodes,
}

impl LoadSource {
    pub(crate) fn scope(self) -> LoadScope {
        match self {
            LoadSource::Node(node) => LoadScope::Node(node),
            LoadSource::Zone { zone, .. } => LoadScope::Zone(zone),
            LoadSource::AllNodes { .. } => LoadScope::AllNodes,
        }
    }

    fn reporter(self) -> u64 {
        match self {
            LoadSource::Node(reporter)
            | LoadSource::Zone { reporter, .. }
            | LoadSource::AllNodes { reporter } => reporter,
        }
    }
}

/// Tokens of single requests that others ever placed at a back end.
#[derive(Clone, Copy, Debug)]
struct PlacedTokens {
    reporter: u64,
    tokens: u64,
    received_at: Timestamp,
}

/// Load of one back end.
#[derive(Clone, Debug)]
pub struct BackEndLoad {
    running: BTreeMap<LeaseId, RunningRequest>,
    reports: HashMap<LoadScope, ReceivedReport>,
    /// Tokens of single requests that this node ever placed there, and those that it has
    /// heard of since its start.
    own_placed_tokens: u64,
    tokens_placed_by_nodes: u64,
    tokens_placed_by_zones: u64,
    /// The same of all nodes, however this node hears of it.
    placed_by_all: u64,
    /// What each source told last.
    last_placed_by_scope: HashMap<LoadScope, PlacedTokens>,
    /// What all nodes have there, as an aggregator told it.
    aggregate: Option<ReceivedReport>,
    slowness: f64,
    outcomes: RecentOutcomes,
    concurrency: ConcurrencyEstimate,
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
            own_placed_tokens: 0,
            tokens_placed_by_nodes: 0,
            tokens_placed_by_zones: 0,
            placed_by_all: 0,
            last_placed_by_scope: HashMap::new(),
            aggregate: None,
            slowness: 1.0,
            outcomes: RecentOutcomes::default(),
            concurrency: ConcurrencyEstimate::default(),
            speed,
            cache: PrefixCache::new(engine_tokens),
        }
    }

    /// Requests of this node there.
    pub fn own_running(&self) -> u32 {
        let running = self.running.values();
        running.filter(|running| !running.is_replica).count() as u32
    }

    /// Requests there by which it is judged to be full; `running` is the latest count. Streams at
    /// an engine run for seconds, so that the count stands; of calls to a plain back end only this
    /// node's own are known as they are.
    pub(crate) fn smoothed_concurrency(&mut self, running: u32, now: Timestamp) -> f64 {
        if self.cache.engine_tokens() > 0 {
            return f64::from(running);
        }
        let mean = self.concurrency.record(running, now);
        mean.max(f64::from(self.own_running()))
    }

    /// Times its slots that may be at a plain back end for a call to come within a target.
    pub(crate) fn batches_within(&self, target: Span) -> f64 {
        if self.cache.engine_tokens() > 0 {
            return 1.0;
        }
        self.concurrency.batches_within(target)
    }

    /// Prompt tokens of this node's requests that are still to be read there.
    pub fn own_pending_tokens(&self, now: Timestamp) -> u64 {
        let waiting = self
            .running
            .values()
            .filter(|running| running.first_event_at.is_none());
        let rate = ASSUMED_PREFILL_TOKENS_PER_MS / self.slowness;
        let total: u64 = waiting
            .clone()
            .map(|running| u64::from(running.footprint.uncached_tokens))
            .sum();
        let oldest = waiting.map(|running| running.started_at).min();
        let elapsed = oldest.map_or(0, |started_at| now.since(started_at).milliseconds());
        let processed = (elapsed as f64 * rate / 2.0) as u64;
        total.saturating_sub(processed.min(total / 2))
    }

    /// What this node's requests take there.
    pub fn own_occupancy(&self, now: Timestamp) -> Occupancy {
        let mut own = Occupancy::default();
        for running in self.running.values() {
            // What waits is reckoned with what has been read since, below.
            running.add_to(&mut own, true);
        }
        own.pending_tokens = self.own_pending_tokens(now);
        own
    }

    /// What all nodes' requests take there.
    pub fn occupancy(&self, now: Timestamp) -> Occupancy {
        let own = self.own_occupancy(now);
        if let Some(aggregate) = self.fresh_aggregate(now) {
            return own.plus(
                aggregate
                    .occupancy
                    .minus(self.own_part_of_aggregate(aggregate)),
            );
        }
        let others = self.fresh_reports(now).map(|report| report.occupancy);
        others.fold(own, Occupancy::plus)
    }

    fn fresh_aggregate(&self, now: Timestamp) -> Option<&ReceivedReport> {
        let aggregate = self.aggregate.as_ref();
        aggregate.filter(|aggregate| now.since(aggregate.received_at) < SUMMARY_LIFETIME)
    }

    /// What a sum holds of this node's own requests.
    fn own_part_of_aggregate(&self, aggregate: &ReceivedReport) -> Occupancy {
        let mut included = Occupancy::default();
        for running in self.running.values() {
            if aggregate.received_at.since(running.started_at) >= REPORTING_DELAY {
                running.add_to(
                    &mut included,
                    running.had_first_event(aggregate.received_at),
                );
            }
        }
        included
    }

    fn fresh_reports(&self, now: Timestamp) -> impl Iterator<Item = &ReceivedReport> {
        let reports = self.reports.values();
        reports.filter(move |report| report.is_fresh(now))
    }

    /// Tokens of single requests placed there by all nodes since this one listed it.
    pub fn placed_by_all(&self) -> u64 {
        self.placed_by_all
    }

    /// Expected time to read so many prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        let milliseconds = tokens as f64 / ASSUMED_PREFILL_TOKENS_PER_MS * self.slowness;
        Span::from_seconds(milliseconds / 1_000.0)
    }

    /// Takes over what a source reports of requests there.
    pub fn report(&mut self, source: LoadSource, report: &LoadReport, at: Timestamp) {
        self.record_placed(source, report.placed_hundreds * REPORT_SCALE, at);
        let report = ReceivedReport::new(report, at);
        match source.scope() {
            LoadScope::AllNodes => self.aggregate = Some(report),
            scope => {
                self.reports.insert(scope, report);
            }
        }
    }

    /// Others have ever placed so many tokens of single requests there. After a restart of
    /// the teller the figure begins anew. The figures of two tellers differ by what one of
    /// them has not heard, so that only one is followed for as long as it is heard.
    fn record_placed(&mut self, source: LoadSource, placed: u64, at: Timestamp) {
        let scope = source.scope();
        let reporter = source.reporter();
        let previous = self.last_placed_by_scope.get(&scope).copied();
        let is_same_reporter = previous.is_none_or(|previous| previous.reporter == reporter);
        let is_recent =
            previous.is_some_and(|previous| at.since(previous.received_at) < SUMMARY_LIFETIME);
        if !is_same_reporter && is_recent {
            return;
        }
        let baseline = previous.filter(|_| is_same_reporter);
        let newly_placed = baseline.map_or(0, |baseline| placed.saturating_sub(baseline.tokens));
        self.cache.insert_unshared(newly_placed);
        match scope {
            LoadScope::Node(_) => self.tokens_placed_by_nodes += newly_placed,
            LoadScope::Zone(_) => self.tokens_placed_by_zones += newly_placed,
            LoadScope::AllNodes => self.placed_by_all += newly_placed,
        }
        if scope != LoadScope::AllNodes && self.fresh_aggregate(at).is_none() {
            self.placed_by_all += newly_placed;
        }
        let placed = PlacedTokens {
            reporter,
            tokens: placed,
            received_at: at,
        };
        self.last_placed_by_scope.insert(scope, placed);
    }

    /// What this node has there, as one report.
    pub(crate) fn own_report(&self, back_end: u32, now: Timestamp) -> LoadReport {
        self.report_of(|_| false, now)
            .to_message(back_end, self.own_placed_tokens)
    }

    /// What the nodes have there that report to this one, and it itself, as one report.
    pub(crate) fn report_of_zone(&self, back_end: u32, now: Timestamp) -> LoadReport {
        self.report_of(|scope| matches!(scope, LoadScope::Node(_)), now)
            .to_message(
                back_end,
                self.own_placed_tokens + self.tokens_placed_by_nodes,
            )
    }

    /// What all nodes have there, as one report.
    pub(crate) fn report_of_all(&self, back_end: u32, now: Timestamp) -> LoadReport {
        let placed =
            self.own_placed_tokens + self.tokens_placed_by_nodes + self.tokens_placed_by_zones;
        self.report_of(|_| true, now).to_message(back_end, placed)
    }

    fn report_of(&self, is_included: impl Fn(LoadScope) -> bool, now: Timestamp) -> ReceivedReport {
        let mut total = ReceivedReport {
            occupancy: self.own_occupancy(now),
            outcomes: self.own_outcomes(now),
            received_at: now,
        };
        let reports = self.reports.iter();
        for (_, report) in reports.filter(|(scope, _)| is_included(**scope)) {
            if report.is_fresh(now) {
                total.occupancy = total.occupancy.plus(report.occupancy);
                total.outcomes = total.outcomes.plus(report.outcomes);
            }
        }
        total
    }

    /// Forgets what a source reported.
    pub(crate) fn forget(&mut self, scope: LoadScope) {
        match scope {
            LoadScope::AllNodes => self.aggregate = None,
            scope => {
                self.reports.remove(&scope);
            }
        }
    }

    pub(crate) fn begin(&mut self, lease: LeaseId, footprint: Footprint, now: Timestamp) {
        self.own_placed_tokens += u64::from(footprint.unshared_tokens);
        if self.fresh_aggregate(now).is_none() {
            // A sum holds what this node places, too.
            self.placed_by_all += u64::from(footprint.unshared_tokens);
        }
        let running = RunningRequest {
            footprint,
            pending_tokens_before: self.occupancy(now).pending_tokens,
            started_at: now,
            first_event_at: None,
            is_replica: false,
        };
        self.running.insert(lease, running);
    }

    /// A replica of a request that runs elsewhere is kept up here.
    pub(crate) fn begin_replica(&mut self, lease: LeaseId, tokens: u32, now: Timestamp) {
        self.own_placed_tokens += u64::from(tokens);
        let running = RunningRequest {
            footprint: Footprint {
                unshared_tokens: tokens,
                ..Footprint::default()
            },
            pending_tokens_before: 0,
            started_at: now,
            first_event_at: Some(now),
            is_replica: true,
        };
        self.running.insert(lease, running);
    }

    /// A replica is no longer kept.
    pub(crate) fn end_replica(&mut self, lease: LeaseId) {
        self.running.remove(&lease);
    }

    /// The first event of a request came.
    pub(crate) fn first_event(&mut self, lease: LeaseId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&lease) else {
            return;
        };
        if running.first_event_at.is_some() {
            return;
        }
        running.first_event_at = Some(now);
        let running = *running;
        if running.footprint.uncached_tokens >= MINIMUM_OBSERVED_TOKENS {
            self.observe_prefill(&running, now);
        }
    }

    fn observe_prefill(&mut self, running: &RunningRequest, now: Timestamp) {
        let tokens = running.pending_tokens_before + u64::from(running.footprint.uncached_tokens);
        let expected = tokens as f64 / ASSUMED_PREFILL_TOKENS_PER_MS;
        let observed = now.since(running.started_at).milliseconds() as f64;
        let ratio = (observed / expected).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness);
    }

    /// What this node has seen end there lately.
    pub fn own_outcomes(&self, now: Timestamp) -> OutcomeCounts {
        self.outcomes.counts(now)
    }

    /// What all nodes have seen end there lately.
    pub(crate) fn recent_outcomes(&self, now: Timestamp) -> OutcomeCounts {
        if let Some(aggregate) = self.fresh_aggregate(now) {
            // Its own outcomes count twice: they are a small part, and the newest.
            return aggregate.outcomes.plus(self.own_outcomes(now));
        }
        let reports = self.fresh_reports(now).map(|report| report.outcomes);
        reports.fold(self.own_outcomes(now), OutcomeCounts::plus)
    }

    /// Share of failures among what all nodes have seen end there lately.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        self.recent_outcomes(now).failure_share()
    }

    pub(crate) fn end(&mut self, lease: LeaseId, outcome: Outcome, now: Timestamp) {
        let ended = self.running.remove(&lease);
        if let Some(call) = ended.filter(|_| outcome == Outcome::Completed) {
            self.concurrency.record_response(now.since(call.started_at));
        }
        self.outcomes.record(outcome, now);
    }
}
