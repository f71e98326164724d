//! The figures of one run.

use crate::checker::Violation;
use crate::metrics::quantile_ms;
use crate::world::World;
use serde::Serialize;
use std::collections::BTreeMap;

/// Figures of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name.
    pub class: String,
    /// Tier; 1 is the highest.
    pub tier: u8,
    /// Requests whose status is known, and those already late.
    pub requests: u64,
    /// Whole answers.
    pub completed: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests whose entry node died.
    pub lost: u64,
    /// Callers who gave up waiting.
    pub hung_up: u64,
    /// Part of the requests answered within both targets.
    pub attainment: f64,
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the mean time between tokens.
    pub per_token_p95_ms: f64,
    /// Smallest part of its guaranteed slots in a window with work; `None` if it
    /// never had work for a whole window.
    pub minimum_share_met: Option<f64>,
    /// Refusals by reason.
    pub reasons: BTreeMap<&'static str, u64>,
}

/// Figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Who decided.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Per class, highest tier first.
    pub classes: Vec<ClassReport>,
    /// Answer tokens within targets, per second.
    pub goodput_tokens_per_second: f64,
    /// Answer tokens of whole answers, per second.
    pub delivered_tokens_per_second: f64,
    /// Part of the generated tokens that reached no caller in a whole answer.
    pub wasted_fraction: f64,
    /// Prompt tokens prefilled, per second.
    pub prefilled_tokens_per_second: f64,
    /// Bytes of control messages that a node sent, on average.
    pub control_bytes_per_second_per_node: f64,
    /// Bytes of control messages that the busiest node sent.
    pub control_bytes_per_second_busiest: f64,
    /// Datagrams of control messages that a node sent, on average.
    pub control_messages_per_second_per_node: f64,
    /// Calls to the platform.
    pub platform_calls_per_second: f64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// Broken promises; at most 20 of each in full.
    pub violations: Vec<Violation>,
    /// Number of broken promises.
    pub violation_count: u64,
    /// Hash of everything that happened.
    pub trace_hash: String,
}

impl Report {
    pub(crate) fn from_world(world: &mut World, trace_hash: u64) -> Self {
        let seconds = world.scenario.duration_seconds;
        let (late, open_tokens) = late_and_open_tokens(world);
        let delivered: u64 = world
            .metrics
            .classes
            .values()
            .map(|class| class.delivered_tokens)
            .sum();
        let attained: u64 = world
            .metrics
            .classes
            .values()
            .map(|class| class.attained_tokens)
            .sum();
        let generated: u64 = world
            .back_ends
            .iter()
            .map(|back_end| back_end.generated_tokens())
            .sum();
        let prefilled: u64 = world
            .back_ends
            .iter()
            .map(|back_end| back_end.prefilled_tokens())
            .sum();
        let wasted = generated.saturating_sub(delivered + open_tokens);
        let nodes = world.nodes.len().max(1) as f64;
        let bytes: u64 = world.nodes.iter().map(|node| node.sent_bytes).sum();
        let busiest = world
            .nodes
            .iter()
            .map(|node| node.sent_bytes)
            .max()
            .unwrap_or(0);
        let messages: u64 = world.nodes.iter().map(|node| node.sent_messages).sum();
        Self {
            scenario: world.scenario.name.clone(),
            policy: world.policy.to_string(),
            seed: world.seed(),
            classes: class_reports(world, &late),
            goodput_tokens_per_second: attained as f64 / seconds,
            delivered_tokens_per_second: delivered as f64 / seconds,
            wasted_fraction: wasted as f64 / generated.max(1) as f64,
            prefilled_tokens_per_second: prefilled as f64 / seconds,
            control_bytes_per_second_per_node: bytes as f64 / seconds / nodes,
            control_bytes_per_second_busiest: busiest as f64 / seconds,
            control_messages_per_second_per_node: messages as f64 / seconds / nodes,
            platform_calls_per_second: world.platform.calls as f64 / seconds,
            faults: world.injected_faults.clone(),
            violations: world.checker.violations().to_vec(),
            violation_count: world.checker.count(),
            trace_hash: format!("{trace_hash:016x}"),
        }
    }
}

/// Requests still open that are late already, per class, and the tokens that open
/// requests have received.
fn late_and_open_tokens(world: &World) -> (BTreeMap<u8, u64>, u64) {
    let mut late = BTreeMap::new();
    let mut tokens = 0;
    for index in &world.metrics.open_requests {
        let request = &world.requests[*index];
        tokens += u64::from(request.progress.tokens());
        if request.is_late(world.now) {
            *late.entry(request.class.0).or_default() += 1;
        }
    }
    (late, tokens)
}

fn class_reports(world: &mut World, late: &BTreeMap<u8, u64>) -> Vec<ClassReport> {
    let shares = &world.shares.smallest_fraction;
    let mut figures: Vec<ClassReport> = world
        .metrics
        .classes
        .iter_mut()
        .map(|(class, metrics)| {
            let requests = metrics.ended + late.get(&class.0).copied().unwrap_or(0);
            let reasons = metrics.reasons.iter();
            ClassReport {
                class: metrics.name.clone(),
                tier: metrics.tier.0,
                requests,
                completed: metrics.completed,
                refused: metrics.refused,
                lost: metrics.lost,
                hung_up: metrics.hung_up,
                attainment: metrics.attained as f64 / requests.max(1) as f64,
                first_token_p50_ms: quantile_ms(&mut metrics.first_token_times, 0.5),
                first_token_p95_ms: quantile_ms(&mut metrics.first_token_times, 0.95),
                per_token_p95_ms: quantile_ms(&mut metrics.token_intervals, 0.95),
                minimum_share_met: shares.get(class).copied(),
                reasons: reasons
                    .map(|(reason, count)| (reason.as_str(), *count))
                    .collect(),
            }
        })
        .filter(|figures| figures.requests > 0)
        .collect();
    figures.sort_by(|left, right| (left.tier, &left.class).cmp(&(right.tier, &right.class)));
    figures
}
