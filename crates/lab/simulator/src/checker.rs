//! Checks of the router's guarantees.
//!
//! They rely only on what back ends executed and callers received, never on the state of the
//! router's own decision code.

use crate::requests::{RequestStatus, SimRequest};
use crate::scenario::CallKey;
use crate::world::World;
use eiderferry_types::{NodeId, PoolId, Reason, Refusal, Span, Tier, Timestamp, Verdict, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;

/// Time after a back end starts to leave during which new work may still reach it.
const LEAVING_GRACE_PERIOD: Span = Span::from_milliseconds(5_000);
/// Starts of lower tiers within this time after a request began to wait were decided before.
const INVERSION_SLACK: Span = Span::from_milliseconds(50);
/// The same while messages are lost: a lost grant is requested again after at most this time,
/// which delays the start after the decision by as much.
const INVERSION_SLACK_WITH_LOSS: Span = Span::from_milliseconds(3_100);
/// Maximum number of violations of a guarantee that are reported in full; others are counted.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// A guarantee that the router gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// No request of a higher tier is shed to make room for a lower one.
    TierInversion,
    /// No class with waiting requests gets less than its minimum share.
    Starvation,
    /// Each caller receives the complete response to its own request.
    WholeAnswer,
    /// A request refused with the verdict `not_run` was not executed.
    NotRunHolds,
    /// A non-repeatable request is executed at most once.
    AtMostOnce,
    /// A leaving back end receives no new requests.
    LeavingBackEnd,
    /// A planned stop interrupts no request.
    PlannedStop,
    /// A published configuration is applied on every node in time.
    ConfigurationInForce,
    /// A node never goes back to an older configuration.
    ConfigurationReverts,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Violated guarantee.
    pub promise: Guarantee,
    /// Simulated time of the violation, in seconds.
    pub at_seconds: f64,
    /// Description of what was observed.
    pub what: String,
}

/// Checks the guarantees against the events at back ends and callers.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    violations: Vec<Violation>,
    count: u64,
    counts: BTreeMap<Guarantee, usize>,
    /// Time of the last start outside minimum shares, per zone, pool and tier.
    starts_outside_shares: BTreeMap<(ZoneId, PoolId, Tier), Timestamp>,
    /// Last time at which messages between nodes were being lost.
    pub last_loss: Timestamp,
    /// Process run and configuration version of each node.
    versions: BTreeMap<NodeId, (u32, u64)>,
    /// Newest overdue version already reported for each node.
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

    /// Records that a back end started to execute a request.
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

    /// Checks that a request shed for lack of capacity was not passed over for a lower tier.
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

    /// Checks that a request refused as not run was not executed.
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
                "request {request} was refused as not_run ({}) but had been executed {executions} times",
                refusal.reason
            );
            self.add_violation(Guarantee::NotRunHolds, now, what);
        }
    }

    /// Checks that the token that reached a caller is the next one.
    pub fn check_token(&mut self, now: Timestamp, request: usize, expected: u32, index: u32) {
        if index != expected {
            let what = format!("request {request} received token {index} instead of {expected}");
            self.add_violation(Guarantee::WholeAnswer, now, what);
        }
    }

    /// Checks that a completed response is complete.
    pub fn check_completion(&mut self, now: Timestamp, request: usize, state: &SimRequest) {
        let complete = state.service.is_some() || state.progress.tokens() == state.response_tokens;
        if !complete {
            let what = format!(
                "request {request} completed with {} of {} tokens",
                state.progress.tokens(),
                state.response_tokens
            );
            self.add_violation(Guarantee::WholeAnswer, now, what);
        }
    }

    /// Checks that no new work reaches a back end that started to leave at `since`.
    pub fn check_leaving(&mut self, now: Timestamp, back_end: usize, since: Timestamp) {
        let elapsed = now.since(since);
        if elapsed > LEAVING_GRACE_PERIOD {
            let what = format!(
                "back end {back_end} received new work {:.1} s after it started to leave",
                elapsed.seconds()
            );
            self.add_violation(Guarantee::LeavingBackEnd, now, what);
        }
    }

    /// Checks that a planned stop left no request open.
    pub fn check_planned_stop(&mut self, now: Timestamp, node: NodeId, open: usize) {
        if open > 0 {
            let what = format!("planned stop of node {node} interrupted {open} requests");
            self.add_violation(Guarantee::PlannedStop, now, what);
        }
    }

    /// Checks that a node that became ready is not behind the version `known` to its peers.
    pub fn check_readiness(&mut self, now: Timestamp, node: NodeId, version: u64, known: u64) {
        if version < known {
            let what = format!(
                "node {node} became ready with configuration {version} while all its peers had {known}"
            );
            self.add_violation(Guarantee::ConfigurationReverts, now, what);
        }
    }

    /// Checks that the configuration version of a node does not go back and has reached `due`.
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
            let what = format!("node {node} still uses configuration {version}; {due} is overdue");
            self.add_violation(Guarantee::ConfigurationInForce, now, what);
        }
    }

    /// Checks at the end of the run how often service calls were executed.
    pub fn finish(&mut self, requests: &[SimRequest]) {
        for (index, request) in requests.iter().enumerate() {
            let Some(call) = &request.service else {
                continue;
            };
            if call.key != CallKey::Repeatable && request.executions > 1 {
                let what = format!(
                    "call {index} ({:?}) was executed {} times; status for its caller: {:?}",
                    call.key, request.executions, request.status
                );
                self.add_violation(Guarantee::AtMostOnce, request.arrived, what);
            }
            if request.status == RequestStatus::Completed && request.executions == 0 {
                let what = format!("call {index} completed without being executed");
                self.add_violation(Guarantee::WholeAnswer, request.arrived, what);
            }
        }
    }
}

impl World {
    /// Checks new work for a back end that may be leaving. A node that reaches neither the
    /// platform nor another zone cannot know of that and is exempt.
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
