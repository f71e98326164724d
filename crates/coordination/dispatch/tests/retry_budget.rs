//! The limit on retries holds over all nodes together, even if they cannot communicate.

use eiderferry_dispatch::{RetryBudget, RetryBudgetSettings, RetrySource};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    allowance: 54.0,
    window: Span::from_milliseconds(10_000),
};
const START: Timestamp = Timestamp(1_000_000_000);

fn spend_all(budget: &mut RetryBudget, now: Timestamp, nodes: u32) -> u32 {
    let mut spent = 0;
    while budget.try_spend(now, Some(nodes)).is_some() {
        spent += 1;
    }
    spent
}

#[rstest]
#[case::a_few_nodes(2)]
#[case::today(7)]
#[case::many_nodes(78)]
fn nodes_that_cannot_reach_each_other_stay_within_the_fleet_limit(#[case] nodes: u32) {
    let requests_per_node = 40;
    let mut total = 0;
    for _ in 0..nodes {
        let mut budget = RetryBudget::new(SETTINGS);
        for _ in 0..requests_per_node {
            budget.record_request(START);
        }
        total += spend_all(&mut budget, START, nodes);
    }
    let limit = SETTINGS.ratio * f64::from(nodes * requests_per_node) + SETTINGS.allowance;
    assert!(f64::from(total) <= limit, "{total} retries, limit {limit}");
}

#[test]
fn a_node_without_peers_spends_at_most_an_eighth_of_the_allowance() {
    let mut budget = RetryBudget::new(SETTINGS);
    assert_eq!(spend_all(&mut budget, START, 1), 3);
}

#[test]
fn a_process_that_may_not_use_the_allowance_spends_only_the_ratio_of_its_requests() {
    let mut budget = RetryBudget::new(SETTINGS);
    assert_eq!(budget.try_spend(START, None), None);
    for _ in 0..20 {
        budget.record_request(START);
    }
    for _ in 0..3 {
        let source = budget.try_spend(START, None);
        assert_eq!(source, Some(RetrySource::Requests));
    }
    assert_eq!(budget.try_spend(START, None), None);
}

#[test]
fn the_budget_is_restored_after_its_window() {
    let mut budget = RetryBudget::new(SETTINGS);
    assert_eq!(spend_all(&mut budget, START, 7), 3);
    let almost = START + Span::from_milliseconds(9_500);
    assert_eq!(spend_all(&mut budget, almost, 7), 0);
    let after = START + Span::from_milliseconds(11_500);
    assert_eq!(spend_all(&mut budget, after, 7), 3);
}

#[test]
fn retries_in_any_window_stay_within_the_share_of_one_node() {
    let mut budget = RetryBudget::new(SETTINGS);
    let mut spent: Vec<u64> = Vec::new();
    for step in 0..600_u64 {
        let now = START + Span::from_milliseconds(step * 100);
        budget.record_request(now);
        while budget.try_spend(now, Some(8)).is_some() {
            spent.push(step);
        }
    }
    let share = SETTINGS.allowance / 8.0;
    for start in 0..500_u64 {
        let window = start..start + 100;
        let retries = spent.iter().filter(|step| window.contains(step)).count();
        let allowed = SETTINGS.ratio * 100.0 + share;
        assert!(retries as f64 <= allowed, "{retries} from step {start}");
    }
}
