//! Metrics per request class.

use crate::requests::{RequestStatus, SimRequest};
use eiderferry_config::Configuration;
use eiderferry_types::{ClassId, Reason, Span, Tier, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Metrics of one request class.
#[derive(Clone, Debug)]
pub(crate) struct ClassMetrics {
    pub name: String,
    pub tier: Tier,
    pub ended: u64,
    pub completed: u64,
    pub attained: u64,
    pub refused: u64,
    pub lost: u64,
    pub hung_up: u64,
    pub reasons: BTreeMap<Reason, u64>,
    pub first_token_times: Vec<Span>,
    pub token_intervals: Vec<Span>,
    pub delivered_tokens: u64,
    pub attained_tokens: u64,
}

/// Metrics of all request classes.
pub(crate) struct Metrics {
    pub classes: BTreeMap<ClassId, ClassMetrics>,
    /// Indices of the requests without an outcome.
    pub open_requests: BTreeSet<usize>,
    pub relayed_tokens: u64,
}

impl Metrics {
    pub fn new(configuration: &Configuration) -> Self {
        let classes = configuration.classes.iter().map(|class| {
            let metrics = ClassMetrics {
                name: class.name.clone(),
                tier: class.tier,
                ended: 0,
                completed: 0,
                attained: 0,
                refused: 0,
                lost: 0,
                hung_up: 0,
                reasons: BTreeMap::new(),
                first_token_times: Vec::new(),
                token_intervals: Vec::new(),
                delivered_tokens: 0,
                attained_tokens: 0,
            };
            (class.id, metrics)
        });
        Self {
            classes: classes.collect(),
            open_requests: BTreeSet::new(),
            relayed_tokens: 0,
        }
    }

    pub fn tier(&self, class: ClassId) -> Tier {
        self.classes
            .get(&class)
            .map_or(Tier(7), |metrics| metrics.tier)
    }

    pub fn record_refusal(&mut self, request: &SimRequest, reason: Reason) {
        if let Some(metrics) = self.classes.get_mut(&request.class) {
            *metrics.reasons.entry(reason).or_default() += 1;
        }
    }

    pub fn record_end(&mut self, _now: Timestamp, request: &SimRequest) {
        let Some(metrics) = self.classes.get_mut(&request.class) else {
            return;
        };
        metrics.ended += 1;
        match request.status {
            RequestStatus::Open => {}
            RequestStatus::Refused => metrics.refused += 1,
            RequestStatus::Lost => metrics.lost += 1,
            RequestStatus::HungUp => metrics.hung_up += 1,
            RequestStatus::Completed => metrics.record_completion(request),
        }
    }
}

impl ClassMetrics {
    fn record_completion(&mut self, request: &SimRequest) {
        self.completed += 1;
        let tokens = u64::from(request.response_tokens);
        self.delivered_tokens += tokens;
        if request.met_targets() {
            self.attained += 1;
            self.attained_tokens += tokens;
        }
        if let Some(first) = request.first_token {
            self.first_token_times.push(first.since(request.arrived));
            let intervals = u64::from(request.response_tokens.saturating_sub(1).max(1));
            self.token_intervals
                .push(Span(request.last_token.since(first).0 / intervals));
        }
    }
}

/// Returns a quantile of the values, in milliseconds; sorts them.
pub(crate) fn quantile_ms(values: &mut [Span], quantile: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable();
    let position = ((values.len() - 1) as f64 * quantile).round() as usize;
    values[position].0 as f64 / 1_000.0
}
