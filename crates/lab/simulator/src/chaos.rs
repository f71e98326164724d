//! Random fault schedules with single, simultaneous and repeated faults.

use crate::scenario::{Fault, FaultKind, Scenario, ScenarioError};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Scenario with the deployment and load to which faults are added.
const BASE_SCENARIO: &str = include_str!("../scenarios/chaos-base.yaml");
/// Earliest start of a fault, in seconds; the fleet is running by then.
const FIRST_FAULT_SECONDS: f64 = 5.0;
/// Latest start of a fault, in seconds.
const LAST_FAULT_SECONDS: f64 = 40.0;
/// Maximum duration of a fault, in seconds.
const MAX_FAULT_SECONDS: f64 = 12.0;
/// Number of faults in a schedule, without repetitions.
const FAULT_COUNT: std::ops::RangeInclusive<u32> = 1..=8;
/// Probability that a fault is repeated.
const REPEAT_PROBABILITY: f64 = 0.25;
/// Probability that a fault starts together with the previous one.
const SIMULTANEOUS_PROBABILITY: f64 = 0.35;

/// Returns the chaos scenario of a seed.
pub fn chaos_scenario(seed: u64) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario::from_yaml("chaos-base", BASE_SCENARIO)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0063_6861_6f73);
    scenario.name = format!("chaos-{seed}");
    let mut last_start = FIRST_FAULT_SECONDS;
    for _ in 0..rng.random_range(FAULT_COUNT) {
        let at = if rng.random_bool(SIMULTANEOUS_PROBABILITY) {
            last_start
        } else {
            rng.random_range(FIRST_FAULT_SECONDS..LAST_FAULT_SECONDS)
        };
        last_start = at;
        let lasts = rng.random_range(0.3..MAX_FAULT_SECONDS);
        let fault = Fault {
            at,
            lasts,
            kind: random_fault_kind(&mut rng),
        };
        scenario.faults.push(fault);
        if rng.random_bool(REPEAT_PROBABILITY) {
            let repeat_at = at + rng.random_range(0.0..MAX_FAULT_SECONDS);
            scenario.faults.push(Fault {
                at: repeat_at.min(LAST_FAULT_SECONDS),
                ..fault
            });
        }
    }
    Ok(scenario)
}

fn random_fault_kind(rng: &mut ChaCha8Rng) -> FaultKind {
    let node = rng.random_range(0..8);
    let back_end = rng.random_range(0..15);
    let zone = rng.random_range(1..=3);
    let kinds = [
        FaultKind::NodeCrash { node },
        FaultKind::NodePause { node },
        FaultKind::NodeRestart { node },
        FaultKind::BackEndCrash { back_end },
        FaultKind::BackEndSlow {
            back_end,
            factor: rng.random_range(1.5..6.0),
        },
        FaultKind::BackEndFreeze { back_end },
        FaultKind::BackEndLeave { back_end },
        FaultKind::ZoneCut { zone },
        FaultKind::PlatformCut { zone },
        FaultKind::PlatformDown,
        FaultKind::PlatformStale {
            age: rng.random_range(5.0..40.0),
        },
        FaultKind::MessageLoss {
            part: rng.random_range(0.02..0.3),
        },
        FaultKind::ConfigurationChange,
        FaultKind::InvalidConfiguration,
        FaultKind::Burst {
            factor: rng.random_range(1.5..4.0),
        },
    ];
    kinds
        .choose(rng)
        .copied()
        .unwrap_or(FaultKind::ConfigurationChange)
}
