//! Checks that the guarantees hold under faults and that the checker detects violations.

use eiderferry_simulator::{
    Fault, FaultKind, Guarantee, Policy, Report, Rule, Scenario, chaos_scenario, simulate,
};
use rstest::rstest;

fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    simulate(scenario, policy, seed).expect("the scenario runs")
}

fn quick() -> Scenario {
    Scenario::load("quick").expect("built in")
}

fn fault(at: f64, lasts: f64, kind: FaultKind) -> Fault {
    Fault { at, lasts, kind }
}

/// Number of chaos runs in CI; thousands of others are run manually.
const CHAOS_SEEDS: u64 = 40;

#[rstest]
fn random_faults_violate_no_guarantee(#[values(0, 1, 2, 3)] quarter: u64) {
    let quarter_size = CHAOS_SEEDS / 4;
    for seed in quarter * quarter_size..(quarter + 1) * quarter_size {
        let scenario = chaos_scenario(seed).expect("built in");
        let report = run(&scenario, Policy::Eiderferry, seed);
        assert_eq!(report.violations, [], "seed {seed}");
        assert!(
            report.faults.values().sum::<u32>() > 0,
            "seed {seed} injected no fault"
        );
    }
}

#[test]
fn same_seed_gives_same_trace() {
    let scenario = chaos_scenario(7).expect("built in");
    let first = run(&scenario, Policy::Eiderferry, 7);
    let second = run(&scenario, Policy::Eiderferry, 7);
    assert_eq!(first, second);
    let other = run(&scenario, Policy::Eiderferry, 8);
    assert_ne!(first.trace_hash, other.trace_hash);
}

/// Reduced fault schedules that violated a guarantee before the cause was fixed.
#[rstest]
#[case::lost_grants(include_str!("../scenarios/regressions/lost-grants-seed-22.yaml"), 22)]
#[case::healed_cut(include_str!("../scenarios/regressions/healed-cut-seed-139.yaml"), 139)]
#[case::burst_with_loss(include_str!("../scenarios/regressions/burst-with-loss-seed-300.yaml"), 300)]
#[case::stale_confirmation(
    include_str!("../scenarios/regressions/stale-confirmation-seed-2000.yaml"),
    2000
)]
#[case::holder_paused_in_burst(
    include_str!("../scenarios/regressions/paused-holder-in-burst-seed-2501.yaml"),
    2501
)]
#[case::leaving_in_burst(include_str!("../scenarios/regressions/leaving-in-burst-seed-946.yaml"), 946)]
fn fixed_failures_do_not_recur(#[case] text: &str, #[case] seed: u64) {
    let scenario = Scenario::from_yaml("regression", text).expect("valid");
    let report = run(&scenario, Policy::Eiderferry, seed);
    assert_eq!(report.violations, []);
}

/// Back ends crash during slow service calls, which interrupts calls in execution.
fn crashing_services() -> Scenario {
    let mut scenario = chaos_scenario(0).expect("built in");
    scenario.duration_seconds = 30.0;
    for calls in &mut scenario.service_calls {
        calls.service_ms = 800;
        calls.per_second = 8.0;
    }
    // The services are the last three back ends.
    scenario.faults = (0..3)
        .flat_map(|round| (12..15).map(move |back_end| (round, back_end)))
        .map(|(round, back_end)| {
            let at = 6.0 + f64::from(round) * 6.0 + f64::from(back_end - 12);
            fault(at, 1.0, FaultKind::BackEndCrash { back_end })
        })
        .collect();
    scenario
}

/// The highest tiers' demand exceeds the capacity by far for a long time.
fn overloaded_by_high_tiers() -> Scenario {
    let mut scenario = quick();
    scenario.duration_seconds = 60.0;
    for load in &mut scenario.load {
        let high = load.class == "segment-recap" || load.class == "digest-check";
        let rate = if high { 40.0 } else { 2.0 };
        load.rate = vec![eiderferry_simulator::RateStep {
            from: 0.0,
            per_second: rate,
        }];
        load.tenants = [("radio-nacional-sur".to_owned(), 1.0)].into();
    }
    scenario
}

fn leaving_engines() -> Scenario {
    let mut scenario = quick();
    scenario.faults = vec![fault(8.0, 15.0, FaultKind::BackEndLeave { back_end: 0 })];
    scenario
}

fn restarts() -> Scenario {
    let mut scenario = quick();
    scenario.faults = vec![
        fault(6.0, 4.0, FaultKind::NodeRestart { node: 0 }),
        fault(16.0, 4.0, FaultKind::NodeRestart { node: 2 }),
    ];
    scenario
}

/// Engines keep sending tokens after the router has abandoned their attempts.
fn abandoned_streams() -> Scenario {
    chaos_scenario(2).expect("built in")
}

fn configuration_changes() -> Scenario {
    let mut scenario = quick();
    scenario.nodes_per_zone = vec![3, 3, 3];
    scenario.faults = vec![fault(5.0, 0.0, FaultKind::ConfigurationChange)];
    scenario
}

/// A node restarts while the platform serves an old configuration.
fn restart_with_stale_platform() -> Scenario {
    let mut scenario = quick();
    scenario.nodes_per_zone = vec![3, 3, 3];
    scenario.faults = vec![
        fault(5.0, 0.0, FaultKind::ConfigurationChange),
        fault(15.0, 14.0, FaultKind::PlatformStale { age: 25.0 }),
        fault(17.0, 1.0, FaultKind::NodeCrash { node: 1 }),
    ];
    scenario
}

/// Each guarantee holds with all rules and is violated if the rule that ensures it is disabled.
#[rstest]
#[case::tier_order(quick(), Rule::TierOrder, Guarantee::TierInversion)]
#[case::minimum_shares(overloaded_by_high_tiers(), Rule::MinimumShares, Guarantee::Starvation)]
#[case::token_order(abandoned_streams(), Rule::TokenOrder, Guarantee::WholeAnswer)]
#[case::verdict(crashing_services(), Rule::VerdictCare, Guarantee::NotRunHolds)]
#[case::verdict_repeats(crashing_services(), Rule::VerdictCare, Guarantee::AtMostOnce)]
#[case::not_repeatable(crashing_services(), Rule::NotRepeatable, Guarantee::AtMostOnce)]
#[case::leaving(leaving_engines(), Rule::LeavingList, Guarantee::LeavingBackEnd)]
#[case::draining(restarts(), Rule::Draining, Guarantee::PlannedStop)]
#[case::in_force(
    configuration_changes(),
    Rule::Dissemination,
    Guarantee::ConfigurationInForce
)]
#[case::reverts(
    restart_with_stale_platform(),
    Rule::AskingPeers,
    Guarantee::ConfigurationReverts
)]
fn checker_detects_a_disabled_rule(
    #[case] scenario: Scenario,
    #[case] rule: Rule,
    #[case] promise: Guarantee,
) {
    let complete = run(&scenario, Policy::Eiderferry, 2);
    assert_eq!(complete.violations, []);
    let without_rule = run(&scenario, Policy::Without(rule), 2);
    let detected = without_rule
        .violations
        .iter()
        .any(|violation| violation.promise == promise);
    assert!(
        detected,
        "without {rule:?} the checker saw only {:?}",
        without_rule.violations
    );
}

#[test]
fn rolling_restart_loses_and_refuses_no_request() {
    let scenario = Scenario::load("rolling-restart").expect("built in");
    let report = run(&scenario, Policy::Eiderferry, 3);
    assert_eq!(report.violations, []);
    for class in &report.classes {
        assert_eq!((class.lost, class.refused), (0, 0), "{}", class.class);
    }
}

#[test]
fn isolated_zone_keeps_serving() {
    let mut scenario = quick();
    for load in &mut scenario.load {
        load.rate.truncate(1);
    }
    scenario.faults = vec![
        fault(8.0, 15.0, FaultKind::ZoneCut { zone: 1 }),
        fault(8.0, 15.0, FaultKind::PlatformCut { zone: 1 }),
    ];
    let report = run(&scenario, Policy::Eiderferry, 2);
    assert_eq!(report.violations, []);
    for class in &report.classes {
        assert!(
            class.attainment > 0.97,
            "{}: {}",
            class.class,
            class.attainment
        );
    }
}
