//! Results of a simulation run.

use crate::checker::Violation;
use crate::metrics::quantile_ms;
use crate::world::World;
use serde::Serialize;
use std::collections::BTreeMap;

/// Results of one request class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Tier; 1 is the highest.
    pub tier: u8,
    /// Requests with an outcome, and open ones that have missed their first-token target.
    pub requests: u64,
    /// Complete responses.
    pub completed: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests lost with their entry node.
    pub lost: u64,
    /// Requests whose caller timed out waiting for the first token.
    pub hung_up: u64,
    /// Fraction of the requests completed within both latency targets.
    pub attainment: f64,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    pub per_token_p95_ms: f64,
    /// Smallest fraction of its guaranteed slots that the class used in a window with waiting
    /// requests throughout; `None` without such a window.
    pub minimum_share_met: Option<f64>,
    /// Refusals by reason.
    pub reasons: BTreeMap<&'static str, u64>,
}

/// Results of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Results per request class, highest tier first.
    pub classes: Vec<ClassReport>,
    /// Tokens of responses that met both targets, per second.
    pub goodput_tokens_per_second: f64,
    /// Tokens of completed responses per second.
    pub delivered_tokens_per_second: f64,
    /// Fraction of the generated tokens that belong to no completed or open response.
    pub wasted_fraction: f64,
    /// Prefilled prompt tokens per second.
    pub prefilled_tokens_per_second: f64,
    /// Mean bytes of control messages sent per second and node.
    pub control_bytes_per_second_per_node: f64,
    /// Bytes of control messages sent per second by the busiest node.
    pub control_bytes_per_second_busiest: f64,
    /// Mean number of control datagrams sent per second and node.
    pub control_messages_per_second_per_node: f64,
    /// Calls to the platform per second, from all nodes.
    pub platform_calls_per_second: f64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// Violated guarantees; at most 20 violations of each.
    pub violations: Vec<Violation>,
    /// Total number of violations.
    pub violation_count: u64,
    /// Hash of the trace of the run, in hexadecimal.
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

/// Returns the number of open requests that have missed their first-token target, per class,
/// and the number of tokens delivered to open requests.
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
