//! Reduction of a failing scenario to the faults that the failure needs.

use crate::checker::Guarantee;
use crate::entry_logic::Policy;
use crate::scenario::Scenario;
use crate::simulation::{SimulationError, simulate};

/// Minimum duration to which a fault is shortened, in seconds.
const MIN_FAULT_SECONDS: f64 = 0.2;

/// Removes faults and service calls and shortens faults as long as the same guarantee is still
/// violated.
pub fn shrink(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    promise: Guarantee,
) -> Result<Scenario, SimulationError> {
    let mut smallest = scenario.clone();
    let mut progress = true;
    while progress {
        progress = false;
        for candidate in candidates(&smallest) {
            if still_violates(&candidate, policy, seed, promise)? {
                smallest = candidate;
                progress = true;
                break;
            }
        }
    }
    smallest.name = format!("{}-shrunk", scenario.name);
    Ok(smallest)
}

fn still_violates(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    promise: Guarantee,
) -> Result<bool, SimulationError> {
    let report = simulate(scenario, policy, seed)?;
    Ok(report
        .violations
        .iter()
        .any(|violation| violation.promise == promise))
}

/// Returns simpler scenarios, those with a fault or load removed first.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    for index in 0..scenario.faults.len() {
        let mut simpler = scenario.clone();
        simpler.faults.remove(index);
        candidates.push(simpler);
    }
    for index in 0..scenario.service_calls.len() {
        let mut simpler = scenario.clone();
        simpler.service_calls.remove(index);
        candidates.push(simpler);
    }
    for index in 0..scenario.faults.len() {
        if scenario.faults[index].lasts > MIN_FAULT_SECONDS * 2.0 {
            let mut simpler = scenario.clone();
            simpler.faults[index].lasts /= 2.0;
            candidates.push(simpler);
        }
    }
    candidates
}
