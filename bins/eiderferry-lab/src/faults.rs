//! Fault injection for the demo: kills, stops and pauses nodes and crashes engines
//! while non-repeatable calls are made, and counts violations of at-most-once execution.

use crate::fleet::{Emulators, NodeAddresses};
use eiderferry_entry::EntryNode;
use eiderferry_load::{LoadClient, ServiceOutcome};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time before each fault.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time until a killed or stopped node is started again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time for which the control thread of a paused node is blocked.
const PAUSE_DURATION: Duration = Duration::from_millis(1_800);
/// Time before each non-repeatable call.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Attempts for one call, each at the next node.
const MAX_ATTEMPTS: usize = 4;

/// Number of injected faults by kind.
#[derive(Debug, Default)]
pub struct FaultCounts {
    /// Nodes killed.
    pub killed: u32,
    /// Nodes stopped gracefully.
    pub stopped: u32,
    /// Nodes paused.
    pub paused: u32,
    /// Engines crashed.
    pub crashed_engines: u32,
}

/// Kills, pauses and stops nodes and crashes engines, in turn, until `deadline`.
pub async fn inject(
    addresses: &[NodeAddresses],
    nodes: &mut [Option<EntryNode>],
    emulators: &Emulators,
    deadline: Instant,
) -> Result<FaultCounts, String> {
    let mut fault_counts = FaultCounts::default();
    let platform = emulators.platform.address();
    let mut step = 0;
    while Instant::now() + FAULT_INTERVAL < deadline {
        smol::Timer::after(FAULT_INTERVAL).await;
        let target = step % nodes.len();
        match step % 4 {
            0 => {
                if let Some(node) = nodes[target].take() {
                    node.kill();
                }
                fault_counts.killed += 1;
                smol::Timer::after(RESTART_DELAY).await;
                nodes[target] = Some(addresses[target].start(platform)?);
            }
            1 => {
                if let Some(node) = &nodes[target] {
                    node.control
                        .pause(PAUSE_DURATION)
                        .map_err(|error| error.to_string())?;
                }
                fault_counts.paused += 1;
            }
            2 => {
                if let Some(node) = nodes[target].take() {
                    let finished = node.stop().await.map_err(|error| error.to_string())?;
                    if !finished {
                        return Err("a graceful shutdown terminated running requests".into());
                    }
                }
                fault_counts.stopped += 1;
                smol::Timer::after(RESTART_DELAY).await;
                nodes[target] = Some(addresses[target].start(platform)?);
            }
            _ => {
                if let Some(engine) = emulators
                    .engines
                    .values()
                    .nth(step % emulators.engines.len())
                {
                    engine.crash();
                }
                fault_counts.crashed_engines += 1;
            }
        }
        step += 1;
    }
    Ok(fault_counts)
}

/// Last outcome that the caller got for each non-repeatable call, by request body.
pub type FinalOutcomes = BTreeMap<String, ServiceOutcome>;

/// Makes non-repeatable calls with tickets until `deadline`, retrying each at the
/// next node until its outcome is final or its attempts are used up.
pub async fn make_service_calls(
    entries: Vec<SocketAddr>,
    key: String,
    deadline: Instant,
) -> FinalOutcomes {
    let client = LoadClient::new();
    let mut outcomes = FinalOutcomes::new();
    let mut call_number = 0_usize;
    while Instant::now() < deadline {
        smol::Timer::after(CALL_INTERVAL).await;
        let body = format!("tally {call_number}");
        let first_entry = call_number;
        call_number += 1;
        let mut ticket = None;
        for offset in 0..entries.len() {
            let entry = entries[(first_entry + offset) % entries.len()];
            if let Ok(issued) = client.ticket(entry, &key).await {
                ticket = Some(issued);
                break;
            }
        }
        let Some(ticket) = ticket else {
            continue;
        };
        let headers = [
            ("authorization", format!("Bearer {key}")),
            ("eiderferry-ticket", ticket),
        ];
        for attempt in 0..MAX_ATTEMPTS {
            let entry = entries[(first_entry + attempt) % entries.len()];
            let outcome = client
                .service(entry, "/playback/resume", &headers, &body)
                .await;
            let is_final_outcome = is_final(&outcome);
            outcomes.insert(body.clone(), outcome);
            if is_final_outcome {
                break;
            }
        }
    }
    outcomes
}

/// Whether a retry can't change the outcome.
fn is_final(outcome: &ServiceOutcome) -> bool {
    match outcome {
        ServiceOutcome::Answered(_) => true,
        ServiceOutcome::Refused { reason, .. } => {
            reason == "key_finished" || reason == "key_home_gone"
        }
        ServiceOutcome::Failed(_) => false,
    }
}

/// Compares the callers' outcomes with what the services executed; returns the
/// number of calls executed more than once, and of calls that were reported as
/// "not run" though executed.
pub fn count_violations(
    outcomes: &FinalOutcomes,
    executions: &BTreeMap<String, u32>,
) -> (usize, usize) {
    let duplicate_executions = executions.values().filter(|count| **count > 1).count();
    let wrong_not_run = outcomes.iter().filter(|(body, outcome)| {
        let reported_not_run = matches!(
            outcome,
            ServiceOutcome::Refused { verdict, .. } if verdict == "not_run"
        );
        reported_not_run && executions.contains_key(*body)
    });
    (duplicate_executions, wrong_not_run.count())
}
