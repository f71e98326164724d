//! The state that a cell's holder keeps for one back end.

use crate::estimate::MovingAverage;
use crate::{Ask, CellPolicy, Observation, Outcome, PrefixIndex};
use eiderferry_types::{BackEndId, Span, Timestamp};
use serde::{Deserialize, Serialize};

/// Weight of one observation in the moving averages of time per token and time
/// to first token.
const TIMING_SAMPLE_WEIGHT: f64 = 0.2;
/// Observations needed before an average is used.
const MIN_TIMING_SAMPLES: u64 = 3;
/// Ratio of a back end's time per token to the median of the cell up to which it
/// is not treated as slow.
const SLOWNESS_TOLERANCE: f64 = 1.3;
/// Upper bound of the slowness, so that a slow back end still gets requests and
/// keeps being observed.
const MAX_SLOWNESS: f64 = 8.0;
/// Fraction of the target time per token above which the slot limit shrinks.
const SHRINK_THRESHOLD: f64 = 0.95;
/// Fraction of the target time per token that a reduced slot limit aims at.
const SHRINK_TARGET: f64 = 0.85;
/// Fraction of the target time per token below which the slot limit grows.
const GROW_THRESHOLD: f64 = 0.85;
/// Smallest factor by which one step reduces the slot limit.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// Consecutive unanswered polls up to which a back end stays available.
const MAX_UNANSWERED_POLLS: u32 = 4;
/// Consecutive failures that suspend a back end.
const FAILURES_TO_SUSPEND: u32 = 2;
/// Duration of the first suspension; it doubles with each further failure.
const INITIAL_SUSPENSION: Span = Span::from_milliseconds(1_000);
/// Upper bound of a suspension's duration.
const MAX_SUSPENSION: Span = Span::from_milliseconds(30_000);
/// Maximum delay of a load report: a report is compared with the largest number
/// of this cell's leases within this time.
const MAX_REPORT_LAG: Span = Span::from_milliseconds(2_000);

/// The load that a back end reports of itself, with some delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting inside the back end.
    pub waiting: u32,
    /// Tokens held in the KV cache for running requests.
    pub kv_tokens: u64,
}

/// Slots, latency and health of one back end.
#[derive(Clone, Debug)]
pub struct BackEndState {
    /// The back end.
    pub id: BackEndId,
    configured_slots: u32,
    kv_token_capacity: u64,
    running: u32,
    reserved_kv_tokens: u64,
    /// Reported requests that this cell holds no lease for; other holders placed them.
    external_requests: u32,
    leaving: bool,
    time_per_token: MovingAverage,
    time_to_first_token: MovingAverage,
    slowness: f64,
    /// Slots that keep the observed time per token within the target.
    adaptive_slot_limit: f64,
    /// Number of time-per-token samples when the slot limit was last adapted.
    samples_at_adaptation: u64,
    unanswered_polls: u32,
    consecutive_failures: u32,
    suspended_until: Timestamp,
    /// Largest number of this cell's leases in the current and the previous window of
    /// [`MAX_REPORT_LAG`].
    lease_peaks: [u32; 2],
    peak_window_start: Timestamp,
    /// Prefixes that the back end probably has in its cache.
    pub prefixes: PrefixIndex,
}

impl BackEndState {
    /// Creates the state of a back end without requests.
    pub fn new(id: BackEndId, slots: u32, kv_tokens: u64) -> Self {
        Self {
            id,
            configured_slots: slots,
            kv_token_capacity: kv_tokens,
            running: 0,
            reserved_kv_tokens: 0,
            external_requests: 0,
            leaving: false,
            time_per_token: MovingAverage::new(0.0, TIMING_SAMPLE_WEIGHT),
            time_to_first_token: MovingAverage::new(0.0, TIMING_SAMPLE_WEIGHT),
            slowness: 1.0,
            adaptive_slot_limit: f64::from(slots),
            samples_at_adaptation: 0,
            unanswered_polls: 0,
            consecutive_failures: 0,
            suspended_until: Timestamp::default(),
            lease_peaks: [0; 2],
            peak_window_start: Timestamp::default(),
            prefixes: PrefixIndex::default(),
        }
    }

    /// Sets the limits from the configuration.
    pub fn set_limits(&mut self, slots: u32, kv_tokens: u64) {
        if slots != self.configured_slots {
            self.adaptive_slot_limit = f64::from(slots);
        }
        self.configured_slots = slots;
        self.kv_token_capacity = kv_tokens;
    }

    /// Records that the back end is polled for its load.
    pub fn record_poll(&mut self) {
        self.unanswered_polls = self.unanswered_polls.saturating_add(1);
    }

    /// Sets whether the back end is leaving; a leaving back end gets no new requests.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the back end is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the back end may get new requests now.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let responds = self.unanswered_polls <= MAX_UNANSWERED_POLLS;
        !self.leaving && responds && now >= self.suspended_until
    }

    /// Slots that may be in use: fewer while the back end is slow, and one after
    /// repeated failures until a request completes.
    pub fn usable_slots(&self) -> u32 {
        if self.consecutive_failures >= FAILURES_TO_SUSPEND {
            return 1;
        }
        (self
            .adaptive_slot_limit
            .min(f64::from(self.configured_slots))
            .floor() as u32)
            .max(1)
    }

    /// Requests known to run here, those of other holders included.
    pub fn running(&self) -> u32 {
        self.running + self.external_requests
    }

    /// Time per token relative to the median of the cell; 1 unless the back end is
    /// slow.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Average time per token in microseconds; `None` until there are enough samples.
    pub fn time_per_token(&self) -> Option<f64> {
        (self.time_per_token.samples() >= MIN_TIMING_SAMPLES).then(|| self.time_per_token.mean())
    }

    /// Average time to first token in microseconds; `None` until there are enough
    /// samples.
    pub fn time_to_first_token(&self) -> Option<f64> {
        (self.time_to_first_token.samples() >= MIN_TIMING_SAMPLES)
            .then(|| self.time_to_first_token.mean())
    }

    /// Whether a request that reserves `kv_tokens` can be placed here now. An idle
    /// back end accepts a request of any size.
    pub fn has_capacity(&self, now: Timestamp, kv_tokens: u64) -> bool {
        let fits_kv_cache =
            self.running == 0 || self.reserved_kv_tokens + kv_tokens <= self.kv_token_capacity;
        self.is_available(now) && self.running() < self.usable_slots() && fits_kv_cache
    }

    /// Cost of placing `ask` here; the back end with the lowest cost is chosen.
    ///
    /// One unit is the work of prefilling one prompt token on an idle back end that
    /// is not slow.
    pub fn placement_cost(&self, ask: &Ask, policy: &CellPolicy) -> f64 {
        let cached = if policy.prefix_affinity {
            self.prefixes
                .cached_tokens(&ask.prefixes)
                .min(ask.prompt_tokens)
        } else {
            0
        };
        let prefill = f64::from(ask.prompt_tokens - cached);
        let occupancy = f64::from(self.running()) / f64::from(self.configured_slots.max(1));
        let occupancy_cost = occupancy * OCCUPANCY_COST_TOKENS;
        (prefill + occupancy_cost) * self.slowness
    }

    /// Occupies a slot and reserves KV cache tokens.
    pub fn take_slot(&mut self, now: Timestamp, kv_tokens: u64) {
        self.running += 1;
        self.reserved_kv_tokens += kv_tokens;
        self.record_lease_peak(now);
    }

    fn record_lease_peak(&mut self, now: Timestamp) {
        if now.since(self.peak_window_start) >= MAX_REPORT_LAG {
            self.lease_peaks = [self.running, self.lease_peaks[0]];
            self.peak_window_start = now;
        }
        self.lease_peaks[0] = self.lease_peaks[0].max(self.running);
    }

    /// Frees a slot and its reserved KV cache tokens.
    pub fn free_slot(&mut self, kv_tokens: u64) {
        self.running = self.running.saturating_sub(1);
        self.reserved_kv_tokens = self.reserved_kv_tokens.saturating_sub(kv_tokens);
    }

    /// Updates latency averages and health from an entry node's observation.
    pub fn observe(&mut self, now: Timestamp, observation: &Observation) {
        if let Some(span) = observation.first_token {
            self.time_to_first_token.record(span.0 as f64);
        }
        if let Some(span) = observation.per_token {
            self.time_per_token.record(span.0 as f64);
        }
        match observation.outcome {
            Outcome::Completed => self.consecutive_failures = 0,
            Outcome::Failed => self.record_failure(now),
            Outcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self, now: Timestamp) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < FAILURES_TO_SUSPEND {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURES_TO_SUSPEND).min(10);
        let suspension = Span(INITIAL_SUSPENSION.0 << doublings).min(MAX_SUSPENSION);
        self.suspended_until = now + suspension;
    }

    /// Applies a load report: requests in excess of this cell's leases were placed by
    /// other holders.
    pub fn apply_load_report(&mut self, now: Timestamp, report: &LoadReport) {
        let reported_requests = report.running + report.waiting;
        self.unanswered_polls = 0;
        self.record_lease_peak(now);
        let own_peak = self.lease_peaks[0].max(self.lease_peaks[1]);
        self.external_requests = reported_requests.saturating_sub(own_peak);
    }

    /// Removes one external request, because its entry node has registered the lease here.
    pub fn remove_external_request(&mut self) {
        self.external_requests = self.external_requests.saturating_sub(1);
    }

    /// Updates the slowness from the cell's median time per token in microseconds.
    pub fn update_slowness(&mut self, median_time_per_token: f64) {
        let Some(own_time_per_token) = self.time_per_token() else {
            return;
        };
        let ratio = own_time_per_token / median_time_per_token.max(1.0);
        self.slowness = if ratio <= SLOWNESS_TOLERANCE {
            1.0
        } else {
            ratio.min(MAX_SLOWNESS)
        };
    }

    /// Adapts the slot limit to the observed time per token: it shrinks in one step
    /// when tokens come close to or exceed the `target` interval, and grows back by
    /// one slot at a time.
    pub fn adapt_slots(&mut self, target: Span) {
        let new_samples = self.time_per_token.samples() - self.samples_at_adaptation;
        if new_samples < MIN_TIMING_SAMPLES {
            return;
        }
        self.samples_at_adaptation = self.time_per_token.samples();
        let target_ratio = self.time_per_token.mean() / target.0.max(1) as f64;
        if target_ratio > SHRINK_THRESHOLD {
            let shrunk_limit =
                self.adaptive_slot_limit * (SHRINK_TARGET / target_ratio).max(MIN_SHRINK_FACTOR);
            self.adaptive_slot_limit = shrunk_limit.max(1.0);
        } else if target_ratio < GROW_THRESHOLD {
            self.adaptive_slot_limit =
                (self.adaptive_slot_limit + 1.0).min(f64::from(self.configured_slots));
        }
    }
}

/// Cost of a fully occupied back end, in prefilled tokens; weighs occupancy against
/// the prefill that a cached prefix saves.
const OCCUPANCY_COST_TOKENS: f64 = 4_000.0;
