//! Load of one back end, as estimated by this node.

use crate::load::concurrency::ConcurrencyEstimate;
use crate::{
    EngineSpeed, LeaseId, LoadReport, Outcome, OutcomeCounts, PrefixCache, RecentOutcomes,
};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time after which a load report from another node expires.
pub const REPORT_LIFETIME: Span = Span::from_milliseconds(2_500);
/// Time after which an aggregator's report expires. An aggregator with a slow link sends one
/// every 1.2 s.
const SUMMARY_LIFETIME: Span = Span::from_milliseconds(1_500);
/// Time after which a request is assumed to be included in an aggregator's report: its node sends
/// a report at the next tick.
const REPORTING_DELAY: Span = Span::from_milliseconds(110);
/// Prefill rate of an engine, in prompt tokens per millisecond, assumed until requests have been
/// observed (engines at the first deployment were measured at 37).
const ASSUMED_PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Weight of the newest observation in the moving average of the slowness.
const SLOWNESS_SMOOTHING: f64 = 0.15;
/// Lowest and highest ratio of observed to assumed prefill time that one observation may
/// contribute.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Prompts with fewer uncached tokens than this are too short to estimate the prefill rate from.
const MIN_OBSERVED_TOKENS: u32 = 1_500;
/// Load reports count tokens in hundreds and exposed streams in hundredths.
const REPORT_SCALE: u64 = 100;

/// Resources that a request uses at a back end, and how it and the other requests there slow each
/// other down.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Footprint {
    /// Prompt tokens that are not cached and must be prefilled.
    pub uncached_tokens: u32,
    /// Tokens of memory, including the response, that the request holds when it ends and shares
    /// with no other request. Shared tokens are stored once, and are evicted when no request uses
    /// them.
    pub unshared_tokens: u32,
    /// Probability that the stream is late when a long prompt is prefilled beside it.
    pub exposure: f64,
    /// Whether the prefill of its own prompt takes long.
    pub is_long_prefill: bool,
}

/// A request that this node has placed at the back end.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    footprint: Footprint,
    pending_tokens_before: u64,
    started_at: Timestamp,
    first_event_at: Option<Timestamp>,
    /// Whether this is only a replica of a request that runs at another back end: it uses memory,
    /// but no slot in the batch.
    is_replica: bool,
}

impl RunningRequest {
    /// Whether its first event had arrived by that time.
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

/// Resources in use at a back end by the requests of one or more nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Number of requests.
    pub running: u32,
    /// Expected number of streams that a long prompt would make late.
    pub exposed_streams: f64,
    /// Number of requests whose own prefill takes long.
    pub long_prefills: u32,
    /// Tokens of memory that requests hold when they end and don't share with other requests.
    pub unshared_tokens: u64,
    /// Prompt tokens whose prefill is not finished.
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

/// Which requests a load report covers and which node sent it. Zones and nodes are identified by
/// digests of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// A node reports its own requests.
    Node(u64),
    /// A node reports the requests of another zone.
    Zone {
        /// Digest of the zone's name.
        zone: u64,
        /// Digest of the reporting node's name.
        reporter: u64,
    },
    /// An aggregator reports the requests of all nodes.
    AllNodes {
        /// Digest of the aggregator's name.
        reporter: u64,
    },
}

/// Which requests a load report covers, regardless of the node that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LoadScope {
    /// Requests of one node.
    Node(u64),
    /// Requests of the nodes of another zone.
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

/// Cumulative count of unshared tokens that the nodes covered by a report have placed at a back
/// end.
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
    /// Cumulative counts of unshared tokens placed at the back end: by this node, and by others
    /// in the reports received since this node started.
    own_placed_tokens: u64,
    tokens_placed_by_nodes: u64,
    tokens_placed_by_zones: u64,
    /// Unshared tokens placed by all nodes, whether learned from an aggregator or from single
    /// reports.
    placed_by_all: u64,
    /// Latest cumulative count for each scope.
    last_placed_by_scope: HashMap<LoadScope, PlacedTokens>,
    /// Load of all nodes, as last reported by an aggregator.
    aggregate: Option<ReceivedReport>,
    slowness: f64,
    outcomes: RecentOutcomes,
    concurrency: ConcurrencyEstimate,
    /// Speed of the engine relative to its pool.
    pub speed: EngineSpeed,
    /// Prompt parts that the back end is believed to have cached.
    pub cache: PrefixCache,
}

impl BackEndLoad {
    /// Creates the load of a back end without observations, with memory for `memory_tokens`
    /// tokens.
    pub fn new(memory_tokens: u64, speed: EngineSpeed) -> Self {
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
            cache: PrefixCache::new(memory_tokens),
        }
    }

    /// Number of this node's requests at the back end, without replicas.
    pub fn own_running(&self) -> u32 {
        let running = self.running.values();
        running.filter(|running| !running.is_replica).count() as u32
    }

    /// Number of requests by which the back end is judged to be full; `running` is the latest
    /// count. Streams at an engine run for seconds, so the latest count is used there. Calls to
    /// other back ends are short and only this node's own count of them is current, so the count
    /// is averaged, but is never lower than this node's own.
    pub(crate) fn smoothed_concurrency(&mut self, running: u32, now: Timestamp) -> f64 {
        if self.cache.memory_tokens() > 0 {
            return f64::from(running);
        }
        let mean = self.concurrency.record(running, now);
        mean.max(f64::from(self.own_running()))
    }

    /// Factor by which the calls at a back end that is not an engine may exceed its slots while a
    /// call still finishes within the target. It is 1 for an engine.
    pub(crate) fn batches_within(&self, target: Span) -> f64 {
        if self.cache.memory_tokens() > 0 {
            return 1.0;
        }
        self.concurrency.batches_within(target)
    }

    /// Prompt tokens of this node's requests that the back end has not prefilled yet.
    pub fn own_pending_tokens(&self, now: Timestamp) -> u64 {
        let not_started = self
            .running
            .values()
            .filter(|running| running.first_event_at.is_none());
        let rate = ASSUMED_PREFILL_TOKENS_PER_MS / self.slowness;
        let total: u64 = not_started
            .clone()
            .map(|running| u64::from(running.footprint.uncached_tokens))
            .sum();
        let oldest = not_started.map(|running| running.started_at).min();
        let elapsed = oldest.map_or(0, |started_at| now.since(started_at).milliseconds());
        let processed = (elapsed as f64 * rate / 2.0) as u64;
        total.saturating_sub(processed.min(total / 2))
    }

    /// Resources in use by this node's requests.
    pub fn own_occupancy(&self, now: Timestamp) -> Occupancy {
        let mut own = Occupancy::default();
        for running in self.running.values() {
            // Pending tokens are set below, less the estimated prefill progress.
            running.add_to(&mut own, true);
        }
        own.pending_tokens = self.own_pending_tokens(now);
        own
    }

    /// Resources in use by the requests of all nodes.
    pub fn occupancy(&self, now: Timestamp) -> Occupancy {
        let own = self.own_occupancy(now);
        if let Some(aggregate) = self.fresh_aggregate(now) {
            return own.plus(
                aggregate
                    .occupancy
                    .minus(self.own_share_of_aggregate(aggregate)),
            );
        }
        let others = self.fresh_reports(now).map(|report| report.occupancy);
        others.fold(own, Occupancy::plus)
    }

    fn fresh_aggregate(&self, now: Timestamp) -> Option<&ReceivedReport> {
        let aggregate = self.aggregate.as_ref();
        aggregate.filter(|aggregate| now.since(aggregate.received_at) < SUMMARY_LIFETIME)
    }

    /// The share of this node's own requests that an aggregator's report already includes.
    fn own_share_of_aggregate(&self, aggregate: &ReceivedReport) -> Occupancy {
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

    /// Unshared tokens placed at the back end by all nodes since this node added it to the
    /// registry.
    pub fn placed_by_all(&self) -> u64 {
        self.placed_by_all
    }

    /// Expected time to prefill this number of prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        let milliseconds = tokens as f64 / ASSUMED_PREFILL_TOKENS_PER_MS * self.slowness;
        Span::from_seconds(milliseconds / 1_000.0)
    }

    /// Stores a load report, replacing the previous one of the same scope.
    pub fn apply_report(&mut self, source: LoadSource, report: &LoadReport, at: Timestamp) {
        self.record_placed(source, report.placed_hundreds * REPORT_SCALE, at);
        let report = ReceivedReport::new(report, at);
        match source.scope() {
            LoadScope::AllNodes => self.aggregate = Some(report),
            scope => {
                self.reports.insert(scope, report);
            }
        }
    }

    /// Adds the increase of a reporter's cumulative count of placed unshared tokens. The count
    /// starts from zero when the reporter restarts. Two reporters of the same scope may have
    /// received different reports, so their counts can't be compared: one reporter is followed
    /// until its reports stop arriving.
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

    /// Report of this node's own requests.
    pub(crate) fn own_report(&self, back_end: u32, now: Timestamp) -> LoadReport {
        self.report_of(|_| false, now)
            .to_message(back_end, self.own_placed_tokens)
    }

    /// Report of the requests of this node and of all nodes that report directly to it.
    pub(crate) fn zone_report(&self, back_end: u32, now: Timestamp) -> LoadReport {
        self.report_of(|scope| matches!(scope, LoadScope::Node(_)), now)
            .to_message(
                back_end,
                self.own_placed_tokens + self.tokens_placed_by_nodes,
            )
    }

    /// Report of the requests of all nodes.
    pub(crate) fn fleet_report(&self, back_end: u32, now: Timestamp) -> LoadReport {
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

    /// Discards the last report of a scope.
    pub(crate) fn remove_report(&mut self, scope: LoadScope) {
        match scope {
            LoadScope::AllNodes => self.aggregate = None,
            scope => {
                self.reports.remove(&scope);
            }
        }
    }

    pub(crate) fn add_request(&mut self, lease: LeaseId, footprint: Footprint, now: Timestamp) {
        self.own_placed_tokens += u64::from(footprint.unshared_tokens);
        if self.fresh_aggregate(now).is_none() {
            // If there is a fresh aggregate, these tokens are counted when an aggregator reports
            // them.
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

    /// Records that this back end keeps a replica of a request that runs elsewhere.
    pub(crate) fn add_replica(&mut self, lease: LeaseId, tokens: u32, now: Timestamp) {
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

    /// Records that a replica is no longer kept.
    pub(crate) fn remove_replica(&mut self, lease: LeaseId) {
        self.running.remove(&lease);
    }

    /// Records the first event of a request.
    pub(crate) fn record_first_event(&mut self, lease: LeaseId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&lease) else {
            return;
        };
        if running.first_event_at.is_some() {
            return;
        }
        running.first_event_at = Some(now);
        let running = *running;
        if running.footprint.uncached_tokens >= MIN_OBSERVED_TOKENS {
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

    /// Recent outcomes of this node's requests.
    pub fn own_outcomes(&self, now: Timestamp) -> OutcomeCounts {
        self.outcomes.counts(now)
    }

    /// Recent outcomes of the requests of all nodes.
    pub(crate) fn recent_outcomes(&self, now: Timestamp) -> OutcomeCounts {
        if let Some(aggregate) = self.fresh_aggregate(now) {
            // This node's own outcomes are counted twice here; they are a small part of the total
            // and the most recent.
            return aggregate.outcomes.plus(self.own_outcomes(now));
        }
        let reports = self.fresh_reports(now).map(|report| report.outcomes);
        reports.fold(self.own_outcomes(now), OutcomeCounts::plus)
    }

    /// Share of failures among the recent outcomes of all nodes.
    pub fn failure_share(&self, now: Timestamp) -> f64 {
        self.recent_outcomes(now).failure_share()
    }

    pub(crate) fn finish_request(&mut self, lease: LeaseId, outcome: Outcome, now: Timestamp) {
        let finished = self.running.remove(&lease);
        if let Some(call) = finished.filter(|_| outcome == Outcome::Completed) {
            self.concurrency.record_response(now.since(call.started_at));
        }
        self.outcomes.record(outcome, now);
    }
}
