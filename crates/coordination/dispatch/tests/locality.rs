//! Network cost of back ends in other zones, and in which zones the home engines of prompts are.

mod support;

use eiderferry_dispatch::{Dispatcher, Features, Outcome};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeSet;
use std::ops::Range;
use support::{
    Fleet, START, WITHOUT_LOCALITY_COSTS, back_end, back_end_change, demand,
    dispatcher_with_features, engine_number, expired_change, granted, table_change,
};

/// Number of zones of the fleet: 0 and 1 are in one region, 2 in another.
const ZONES: usize = 3;
/// Number of different prompts that are requested.
const PROMPTS: u64 = 60;
/// Shared prefix of a long prompt, in tokens.
const LONG_PROMPT_TOKENS: u32 = 13_000;

/// A node in zone 0 with engines in all zones.
fn node_with_engines(per_zone: usize, features: Features) -> Dispatcher {
    let mut subject = dispatcher_with_features(0, features);
    subject.tick(START);
    subject.apply(table_change(1), START);
    for number in 0..per_zone * ZONES {
        let engine = back_end(&format!("engine-{number}"), number, number % ZONES);
        subject.apply(back_end_change(engine, 2), START);
    }
    subject
}

/// Zones to which prompts with a shared prefix of `shared` tokens go, one after the other.
fn zones_used(subject: &mut Dispatcher, prompts: Range<u64>, shared: u32) -> BTreeSet<usize> {
    let placed = prompts.map(|prompt| {
        let grant = granted(subject.dispatch(&demand(prompt, shared, 100), START));
        subject.release(grant.lease, Outcome::Completed, START);
        engine_number(&grant) % ZONES
    });
    placed.collect()
}

/// With home engines in all three zones, two thirds of the bytes would cross a zone border.
#[rstest]
#[case::near(Features::ALL, &[0])]
#[case::switched_off(WITHOUT_LOCALITY_COSTS, &[0, 1, 2])]
fn prompts_stay_in_a_zone_whose_engines_can_hold_them(
    #[case] features: Features,
    #[case] expected: &[usize],
) {
    let mut subject = node_with_engines(6, features);
    let used = zones_used(&mut subject, 0..PROMPTS, LONG_PROMPT_TOKENS / 10);
    assert_eq!(used, expected.iter().copied().collect());
}

#[test]
fn with_few_engines_in_the_zone_home_engines_span_the_region() {
    let mut subject = node_with_engines(3, Features::ALL);
    let used = zones_used(&mut subject, 0..PROMPTS, LONG_PROMPT_TOKENS / 10);
    assert_eq!(used, BTreeSet::from([0, 1]));
}

/// The 6 engines of a zone have room for 2.6 million tokens, of which shared prefixes may take
/// only a fraction; 1,600 prompts of 13,000 tokens are 21 million.
#[test]
fn prompts_that_exceed_the_memory_of_a_zone_are_spread_over_all_zones() {
    let mut subject = node_with_engines(6, Features::ALL);
    for round in 0..4 {
        zones_used(
            &mut subject,
            round * 400..(round + 1) * 400,
            LONG_PROMPT_TOKENS,
        );
        for _ in 0..20 {
            subject.tick(START);
        }
    }
    let used = zones_used(&mut subject, 2_000..2_060, LONG_PROMPT_TOKENS);
    assert_eq!(used, BTreeSet::from([0, 1, 2]));
}

#[test]
fn home_engines_change_zone_at_once_when_their_zone_loses_its_engines() {
    let mut subject = node_with_engines(6, Features::ALL);
    zones_used(&mut subject, 0..PROMPTS, LONG_PROMPT_TOKENS / 10);
    for number in (0..18).filter(|number| number % ZONES == 0) {
        subject.apply(expired_change(&format!("engine-{number}"), 3), START);
    }
    let later = START + Span::from_milliseconds(2_500);
    subject.tick(later);
    let grant = granted(subject.dispatch(&demand(1, LONG_PROMPT_TOKENS, 100), later));
    assert!(grant.candidate.is_home);
    assert_eq!(engine_number(&grant) % ZONES, 1);
}

#[test]
fn a_full_zone_sends_requests_to_other_zones() {
    let mut subject = node_with_engines(4, Features::ALL);
    let grants = (0..400).map(|own| granted(subject.dispatch(&demand(1, 1_000, own), START)));
    let used: BTreeSet<usize> = grants.map(|grant| engine_number(&grant) % ZONES).collect();
    assert!(used.len() > 1, "only zones {used:?}");
}

#[test]
fn a_measured_round_trip_delays_the_expected_first_event() {
    let mut subject = node_with_engines(4, Features::ALL);
    let nearer_engines: Vec<InstanceId> = (0..12)
        .filter(|number| number % ZONES != 2)
        .map(|number| InstanceId::from(format!("engine-{number}")))
        .collect();
    let mut request = demand(1, 1_000, 100);
    request.excluded_back_ends = nearer_engines;
    let before = granted(subject.dispatch(&request, START));
    let round_trip = Span::from_milliseconds(250);
    for _ in 0..50 {
        subject.record_round_trip(&InstanceId::from("engine-2"), round_trip);
    }
    subject.release(before.lease, Outcome::Completed, START);
    let after = granted(subject.dispatch(&request, START));
    assert!(before.candidate.time_to_first_event < round_trip);
    assert!(after.candidate.time_to_first_event >= round_trip.scaled(0.95));
}

/// One of the two zones of the region is cut off: its engines are still home engines of some
/// prompts, but must get no requests.
#[test]
fn home_engines_in_an_unreachable_zone_get_no_requests() {
    let mut fleet = Fleet::new(9, ZONES);
    for node in &mut fleet.nodes {
        for number in 0..9 {
            let engine = back_end(&format!("engine-{number}"), number, number % ZONES);
            node.apply(back_end_change(engine, 1), START);
        }
    }
    fleet.run_with_platform(20_000, 1);
    let now = fleet.now;
    assert_eq!(
        zones_chosen(&mut fleet.nodes[0], 0..PROMPTS, now),
        BTreeSet::from([0, 1])
    );
    fleet.partitioned_zones.insert((0, 1));
    fleet.run_with_platform(1_700, 1);
    let now = fleet.now;
    assert!(!zones_chosen(&mut fleet.nodes[0], 0..PROMPTS, now).contains(&1));
    fleet.partitioned_zones.clear();
    fleet.run_with_platform(2_500, 1);
    let now = fleet.now;
    assert_eq!(
        zones_chosen(&mut fleet.nodes[0], 100..160, now),
        BTreeSet::from([0, 1])
    );
}

/// Zones to which requests with different prompts go. Each request is abandoned.
fn zones_chosen(node: &mut Dispatcher, prompts: Range<u64>, now: Timestamp) -> BTreeSet<usize> {
    let chosen = prompts.map(|prompt| {
        let grant = granted(node.dispatch(&demand(prompt, 600, 100), now));
        node.release(grant.lease, Outcome::Abandoned, now);
        engine_number(&grant) % ZONES
    });
    chosen.collect()
}
