//! Results of a load run.

use crate::CallOutcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Results of one request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the request class.
    pub class: String,
    /// Requests sent.
    pub requests: u64,
    /// Complete, expected responses.
    pub completed: u64,
    /// Refusals.
    pub refused: u64,
    /// Responses with lost, duplicated or foreign tokens.
    pub wrong: u64,
    /// Failures without a verdict.
    pub failed: u64,
    /// Fraction of all requests that completed within both latency targets.
    pub attainment: f64,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99_ms: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    pub per_token_p95_ms: f64,
    /// Refusals by reason.
    pub reasons: BTreeMap<String, u64>,
    #[serde(skip)]
    attained: u64,
    #[serde(skip)]
    tokens: u64,
    #[serde(skip)]
    first_token: Histogram<u64>,
    #[serde(skip)]
    per_token: Histogram<u64>,
}

/// Results of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Results per request class.
    pub classes: Vec<ClassReport>,
    /// Tokens of completed responses per second.
    pub goodput_tokens_per_second: f64,
    /// Tokens of completed responses.
    pub delivered_tokens: u64,
    /// Duration of the run until the last outcome, in seconds.
    pub seconds: f64,
}

/// Significant decimal digits that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    match Histogram::new(SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => {
            unreachable!("histograms support {SIGNIFICANT_DIGITS} significant digits: {error}")
        }
    }
}

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}

impl ClassReport {
    pub(crate) fn new(class: &str) -> Self {
        Self {
            class: class.to_owned(),
            requests: 0,
            completed: 0,
            refused: 0,
            wrong: 0,
            failed: 0,
            attainment: 0.0,
            first_token_p50_ms: 0.0,
            first_token_p99_ms: 0.0,
            per_token_p95_ms: 0.0,
            reasons: BTreeMap::new(),
            attained: 0,
            tokens: 0,
            first_token: histogram(),
            per_token: histogram(),
        }
    }

    pub(crate) fn record(
        &mut self,
        outcome: &CallOutcome,
        first_token_target: Duration,
        per_token_target: Duration,
    ) {
        self.requests += 1;
        match outcome {
            CallOutcome::Completed {
                tokens,
                first_token,
                per_token,
            } => {
                self.completed += 1;
                self.tokens += u64::from(*tokens);
                self.first_token += first_token.as_micros() as u64;
                self.per_token += per_token.as_micros() as u64;
                let attained = *first_token <= first_token_target && *per_token <= per_token_target;
                self.attained += u64::from(attained);
            }
            CallOutcome::Wrong => self.wrong += 1,
            CallOutcome::Refused { reason, .. } => {
                self.refused += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            CallOutcome::Failed(_) => self.failed += 1,
        }
    }

    fn finish(mut self) -> Self {
        self.attainment = self.attained as f64 / self.requests.max(1) as f64;
        self.first_token_p50_ms = milliseconds(self.first_token.value_at_quantile(0.5));
        self.first_token_p99_ms = milliseconds(self.first_token.value_at_quantile(0.99));
        self.per_token_p95_ms = milliseconds(self.per_token.value_at_quantile(0.95));
        self
    }
}

impl LoadReport {
    pub(crate) fn new(classes: Vec<ClassReport>, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        let delivered_tokens = classes.iter().map(|class| class.tokens).sum();
        Self {
            classes: classes.into_iter().map(ClassReport::finish).collect(),
            goodput_tokens_per_second: delivered_tokens as f64 / seconds.max(0.001),
            delivered_tokens,
            seconds,
        }
    }
}
