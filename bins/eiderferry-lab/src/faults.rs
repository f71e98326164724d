//! Faults for the demo: nodes killed, stopped and paused, engines crashed, while
//! non-repeatable calls are made and counted.

use crate::fleet::{Emulators, NodeAddresses};
use eiderferry_entry::EntryNode;
use eiderferry_load::{LoadClient, ServiceOutcome};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a killed or stopped node stays away.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// How long the control thread of a paused node stands still.
const PAUSE_DURATION: Duration = Duration::from_millis(1_800);
/// Time between two non-repeatable calls.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Tries of one call at different nodes.
const MAX_ATTEMPTS: usize = 4;

/// What was done to the fleet.
#[derive(Debug, Default)]
pub struct FaultCounts {
    /// Nodes killed.
    pub killed: u32,
    /// Nodes stopped as planned.
    pub stopped: u32,
    /// Nodes paused.
    pub paused: u32,
    /// Engines crashed.
    pub crashed_engines: u32,
}

/// Kills, stops and pauses nodes in turn, and crashes engines, until `end`.
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
                        return Err("a planned stop cut requests off".into());
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

/// What the callers of non-repeatable calls were told last, by call.
pub type FinalOutcomes = BTreeMap<String, ServiceOutcome>;

/// Makes non-repeatable calls with tickets until `end`; each is tried at several
/// nodes until it is answered or settled.
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

/// Whether trying again can tell the caller nothing new.
fn is_final(outcome: &ServiceOutcome) -> bool {
    match outcome {
        ServiceOutcome::Answered(_) => true,
        ServiceOutcome::Refused { reason, .. } => {
            reason == "key_finished" || reason == "key_home_gone"
        }
        ServiceOutcome::Failed(_) => false,
    }
}

/// Compares what callers were told with what the services executed; returns the
/// number of calls that ran twice, and of calls told "not run" that ran.
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
