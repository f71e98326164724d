//! The promises, checked against what the back ends executed and the callers got.
//!
//! Nothing here asks the decision code for its opinion.

use crate::requests::{RequestStatus, SimRequest};
use crate::scenario::CallKey;
use crate::world::World;
use eiderferry_types::{NodeId, PoolId, Reason, Refusal, Span, Tier, Timestamp, Verdict, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;

/// Time from the beginning of leaving within which new work may still handle_arrival.
const LEAVING_GRACE_PERIOD: Span = Span::from_milliseconds(5_000);
/// Starts of lower tiers this shortly after a request's arrival were decided before.
const INVERSION_SLACK: Span = Span::from_milliseconds(50);
/// The same while messages get lost: a lost grant is asked for again after this
/// time at the most, and the start follows its decision that much later.
const INVERSION_SLACK_WITH_LOSS: Span = Span::from_milliseconds(3_100);
/// Violations of one promise kept in full; more are only counted.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// No request of a higher tier is shed to make room for a lower one.
    TierInversion,
    /// No class with work gets less than its minimum share.
    Starvation,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// What was called "not run" did not run.
    NotRunHolds,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// A leaving back end receives no new work.
    LeavingBackEnd,
    /// A planned stop cuts off nothing.
    PlannedStop,
    /// A configuration comes into force everywhere.
    ConfigurationInForce,
    /// A configuration never reverts.
    ConfigurationReverts,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub promise: Guarantee,
    /// When, in seconds.
    pub at_seconds: f64,
    /// What was seen.
    pub what: String,
}

/// Watches everything that back ends and callers see.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    violations: Vec<Violation>,
    count: u64,
    counts: BTreeMap<Guarantee, usize>,
    /// Last start outside minimum shares, per place and tier.
    starts_outside_shares: BTreeMap<(ZoneId, PoolId, Tier), Timestamp>,
    /// When messages between nodes were last being lost.
    pub last_loss: Timestamp,
    versions: BTreeMap<NodeId, (u32, u64)>,
    reported_overdue: BTreeMap<NodeId, u64>,
}

impl Checker {
    pub fn add(&mut self, violation: Violation) {
        self.count += 1;
        let count = self.counts.entry(violation.promise).or_default();
        *count += 1;
        if *count <= MAX_REPORTED_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    fn add_violation(&mut self, promise: Guarantee, now: Timestamp, what: String) {
        let at_seconds = now.0 as f64 / 1e6;
        self.add(Violation {
            promise,
            at_seconds,
            what,
        });
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    pub fn count(&self) -> u64 {
        self.count
    }

    /// A back end took up a request.
    pub fn record_start(
        &mut self,
        now: Timestamp,
        zone: ZoneId,
        pool: PoolId,
        tier: Tier,
        within_share: bool,
    ) {
        if !within_share {
            self.starts_outside_shares.insert((zone, pool, tier), now);
        }
    }

    /// A request was shed for want of capacity.
    pub fn check_shed(
        &mut self,
        now: Timestamp,
        request: usize,
        state: &SimRequest,
        tier: Tier,
        disturbed: bool,
        reason: Reason,
    ) {
        let had_recent_loss = now.since(self.last_loss) < INVERSION_SLACK_WITH_LOSS;
        let slack = if had_recent_loss {
            INVERSION_SLACK_WITH_LOSS
        } else {
            INVERSION_SLACK
        };
        let waiting_threshold = state.waiting_since + slack;
        let lower = (tier.0 + 1..=u8::MAX)
            .map(Tier)
            .take_while(|lower| lower.0 <= 7)
            .find(|lower| {
                let start = self
                    .starts_outside_shares
                    .get(&(state.zone, state.pool, *lower));
                start.is_some_and(|start| *start > waiting_threshold)
            });
        if let Some(lower) = lower {
            let what = format!(
                "request {request} of tier {tier} was shed ({reason}) in zone {} after waiting since {:.3} s, \
                 while tier {lower} was started there{}",
                state.zone,
                state.waiting_since.0 as f64 / 1e6,
                if disturbed { " (zone disturbed)" } else { "" }
            );
            self.add_violation(Guarantee::TierInversion, now, what);
        }
    }

    /// A caller got a refusal.
    pub fn check_refusal(
        &mut self,
        now: Timestamp,
        request: usize,
        state: &SimRequest,
        refusal: &Refusal,
    ) {
        if refusal.verdict != Verdict::NotRun {
            return;
        }
        let has_key = state
            .service
            .as_ref()
            .is_some_and(|call| matches!(call.key, CallKey::Ticket | CallKey::Caller));
        let executions = if has_key {
            state.executions
        } else {
            state.executions_since_send
        };
        if executions > 0 {
            let what = format!(
                "request {request} was told not_run ({}) and had run {executions} times",
                refusal.reason
            );
            self.add_violation(Guarantee::NotRunHolds, now, what);
        }
    }

    /// A token reached a caller.
    pub fn check_token(&mut self, now: Timestamp, request: usize, expected: u32, index: u32) {
        if index != expected {
            let what = format!("request {request} got token {index} where {expected} was due");
            self.add_violation(Guarantee::WholeAnswer, now, what);
        }
    }

    /// A caller got the end of its answer.
    pub fn check_completion(&mut self, now: Timestamp, request: usize, state: &SimRequest) {
        let complete = state.service.is_some() || state.progress.tokens() == state.response_tokens;
        if !complete {
            let what = format!(
                "request {request} got {} of {} tokens",
                state.progress.tokens(),
                state.response_tokens
            );
            self.add_violation(Guarantee::WholeAnswer, now, what);
        }
    }

    /// Work reached a back end that is leaving.
    pub fn check_leaving(&mut self, now: Timestamp, back_end: usize, since: Timestamp) {
        let elapsed = now.since(since);
        if elapsed > LEAVING_GRACE_PERIOD {
            let what = format!(
                "back end {back_end} got new work {:.1} s after it began to leave",
                elapsed.seconds()
            );
            self.add_violation(Guarantee::LeavingBackEnd, now, what);
        }
    }

    /// A node's process ended as planned with this many requests open.
    pub fn check_planned_stop(&mut self, now: Timestamp, node: NodeId, open: usize) {
        if open > 0 {
            let what = format!("node {node} stopped as planned and cut off {open} requests");
            self.add_violation(Guarantee::PlannedStop, now, what);
        }
    }

    /// A fresh node called itself ready.
    pub fn check_readiness(&mut self, now: Timestamp, node: NodeId, version: u64, known: u64) {
        if version < known {
            let what = format!(
                "node {node} became ready with configuration {version} while all its peers had {known}"
            );
            self.add_violation(Guarantee::ConfigurationReverts, now, what);
        }
    }

    /// A node has this configuration in force; `due` must be in force by now.
    pub fn check_version(
        &mut self,
        now: Timestamp,
        node: NodeId,
        run: u32,
        version: u64,
        due: u64,
    ) {
        let last = self.versions.insert(node, (run, version));
        if let Some((last_run, last_version)) = last
            && last_run == run
            && version < last_version
        {
            let what = format!("node {node} went from configuration {last_version} to {version}");
            self.add_violation(Guarantee::ConfigurationReverts, now, what);
        }
        let reported = self.reported_overdue.entry(node).or_default();
        if version < due && *reported < due {
            *reported = due;
            let what = format!("node {node} still has configuration {version}, {due} is overdue");
            self.add_violation(Guarantee::ConfigurationInForce, now, what);
        }
    }

    /// The run is over: what can only be told now.
    pub fn finish(&mut self, requests: &[SimRequest]) {
        for (index, request) in requests.iter().enumerate() {
            let Some(call) = &request.service else {
                continue;
            };
            if call.key != CallKey::Repeatable && request.executions > 1 {
                let what = format!(
                    "call {index} ({:?}) ran {} times; its caller saw {:?}",
                    call.key, request.executions, request.status
                );
                self.add_violation(Guarantee::AtMostOnce, request.arrived, what);
            }
            if request.status == RequestStatus::Completed && request.executions == 0 {
                let what = format!("call {index} was answered without having run");
                self.add_violation(Guarantee::WholeAnswer, request.arrived, what);
            }
        }
    }
}

impl World {
    /// Checks new work against the leaving of its back end. A node that is cut off
    /// from the platform and from every other zone can't know of it.
    pub fn check_leaving(&mut self, node: usize, back_end: usize) {
        let Some(since) = self.back_ends[back_end].leaving_since else {
            return;
        };
        if self.is_baseline_policy() {
            return;
        }
        let zone = self.nodes[node].zone;
        let platform_silent = !self.platform.is_undisturbed()
            || self.now.since(self.platform.last_disturbed) < LEAVING_GRACE_PERIOD;
        let isolated = self
            .network
            .is_isolated(zone, self.now, LEAVING_GRACE_PERIOD);
        let unaware = platform_silent || isolated;
        if !unaware {
            self.checker.check_leaving(self.now, back_end, since);
        }
    }
}
