//! Outlier ejection: excludes back ends from placement by the outcomes of their requests.

use crate::Outcome;
use eiderferry_types::{Span, Timestamp};

/// Consecutive failures after which a back end is ejected.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
const INITIAL_EJECTION: Span = Span::from_milliseconds(1_000);
/// Longest duration of an ejection.
const MAX_EJECTION: Span = Span::from_milliseconds(8_000);
/// Weight of the newest response in the share of failures.
const FAILURE_SHARE_SMOOTHING: f64 = 0.12;
/// Excess of a back end's share of failures over the mean of its pool at which it is ejected.
const EXCESS_FAILURE_SHARE: f64 = 0.22;
/// Number of responses needed before the share of failures is used.
const MIN_RESPONSES: u32 = 8;
/// Time after an ejection at which a responding back end is fully trusted again: its next
/// ejection is as short as the first.
const PROBATION_PERIOD: Span = Span::from_milliseconds(10_000);

/// A change in a back end's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The back end receives no requests for this time.
    Ejected(Span),
    /// The back end receives requests again.
    Restored,
}

/// Health of one back end.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    failure_share: f64,
    responses: u32,
    ejected_until: Option<Timestamp>,
    ejected_at: Option<Timestamp>,
    ejections: u32,
    is_replaced: bool,
}

impl Health {
    /// Share of failures among recent responses, 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether the back end receives no requests now.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.is_replaced || self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether another run now uses the back end's address. The back end is then ejected
    /// permanently.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Records an outcome. `pool_share` is the mean share of failures in the pool.
    pub fn record(
        &mut self,
        outcome: Outcome,
        pool_share: f64,
        now: Timestamp,
    ) -> Option<HealthChange> {
        let is_failure = match outcome {
            Outcome::Abandoned | Outcome::Cancelled | Outcome::NotSent => return None,
            Outcome::Completed | Outcome::Rejected => false,
            _ => true,
        };
        self.responses = self.responses.saturating_add(1);
        self.failure_share +=
            FAILURE_SHARE_SMOOTHING * (f64::from(u8::from(is_failure)) - self.failure_share);
        if is_failure {
            return self.record_failure(outcome, pool_share, now);
        }
        self.record_success(now)
    }

    fn record_success(&mut self, now: Timestamp) -> Option<HealthChange> {
        self.consecutive_failures = 0;
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            return Some(HealthChange::Restored);
        }
        if self
            .ejected_at
            .is_some_and(|at| now.since(at) > PROBATION_PERIOD)
        {
            self.ejections = 0;
            self.ejected_at = None;
        }
        None
    }

    fn record_failure(
        &mut self,
        outcome: Outcome,
        pool_share: f64,
        now: Timestamp,
    ) -> Option<HealthChange> {
        self.consecutive_failures += 1;
        let was_ejected = self.is_ejected(now);
        self.is_replaced |= outcome == Outcome::InstanceReplaced;
        if was_ejected {
            return None;
        }
        let is_unavailable = matches!(
            outcome,
            Outcome::Unreachable | Outcome::ConnectionRefused | Outcome::InstanceReplaced
        );
        let has_consecutive_failures = self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT;
        let exceeds_pool_share = self.responses >= MIN_RESPONSES
            && self.failure_share > pool_share + EXCESS_FAILURE_SHARE;
        (is_unavailable || has_consecutive_failures || exceeds_pool_share).then(|| self.eject(now))
    }

    fn eject(&mut self, now: Timestamp) -> HealthChange {
        let span = Span((INITIAL_EJECTION.0 << self.ejections.min(3)).min(MAX_EJECTION.0));
        self.ejections += 1;
        self.ejected_at = Some(now);
        self.ejected_until = Some(now + span);
        HealthChange::Ejected(span)
    }

    /// Ejects the back end, unless it is ejected already, on evidence other than the outcome of a
    /// request.
    pub fn eject_if_active(&mut self, now: Timestamp) -> Option<HealthChange> {
        (!self.is_ejected(now)).then(|| self.eject(now))
    }
}
