//! The rate limit of cold back ends holds for all nodes together, whatever they know of each
//! other.

mod support;

use eiderferry_dispatch::{ColdRateLimit, Decision, Dispatcher, DocumentContent, Outcome};
use eiderferry_routing::{ColdStart, PoolName};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeMap;
use support::{
    COLD_RATE_LIMIT, ENGINE_POOL, Fleet, START, back_end, back_end_change, demand, dispatcher,
    granted, max_in_window, table_change,
};

const COLD_START: ColdStart = ColdStart {
    duration: Span::from_milliseconds(3_000),
    requests_per_second: 5.2,
};
/// Most requests per second that all nodes together may send to one cold engine.
const MAX_REQUESTS_PER_SECOND: usize = 12;
/// Requests offered to each node between two ticks: more than it may send to cold engines.
const REQUESTS_PER_NODE_AND_TICK: u32 = 3;
const SECOND: Span = Span::from_milliseconds(1_000);

fn table_with_cold_starts(revision: u64) -> eiderferry_dispatch::Change {
    let mut change = table_change(revision);
    if let DocumentContent::Table(table) = &mut change.content {
        let pool = table.pools.get_mut(&PoolName::from(ENGINE_POOL));
        pool.expect("the pool").cold_start = Some(COLD_START);
    }
    change
}

fn cold_engine(
    name: &str,
    number: usize,
    zone: usize,
    revision: u64,
) -> eiderferry_dispatch::Change {
    let mut engine = back_end(name, number, zone);
    engine.cold_remaining = Some(COLD_START.duration);
    back_end_change(engine, revision)
}

/// A node with the given uptime that knows one cold engine in its zone.
fn node_with_a_cold_engine(uptime: Span) -> (Dispatcher, Timestamp) {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    subject.apply(table_with_cold_starts(1), START);
    let now = START + uptime;
    subject.apply(cold_engine("engine-0", 0, 0, 2), now);
    subject.tick(now);
    (subject, now)
}

fn is_granted(decision: &Decision) -> bool {
    matches!(decision, Decision::Grant(_))
}

#[test]
fn a_sender_spaces_its_requests_to_a_cold_engine() {
    let (mut subject, now) = node_with_a_cold_engine(Span::from_milliseconds(5_000));
    granted(subject.dispatch(&demand(1, 1_000, 100), now));
    for milliseconds in [0, 500, 1_200] {
        let later = now + Span::from_milliseconds(milliseconds);
        let refused = subject.dispatch(&demand(1, 1_000, 101), later);
        assert!(matches!(refused, Decision::Refuse(Reason::ColdBackEnds, _)));
    }
    granted(subject.dispatch(&demand(1, 1_000, 102), now + Span::from_milliseconds(1_300)));
}

#[test]
fn warm_engines_accept_all_requests_and_cold_ones_do_once_warm() {
    let (mut subject, now) = node_with_a_cold_engine(Span::from_milliseconds(5_000));
    let warm_at = now + COLD_START.duration + Span::from_milliseconds(200);
    for own in 0..20 {
        granted(subject.dispatch(&demand(1, 1_000, own), warm_at));
    }
    subject.apply(back_end_change(back_end("engine-1", 1, 0), 3), now);
    for own in 0..20 {
        let grant = granted(subject.dispatch(&demand(2, 1_000, 100 + own), now));
        assert_eq!(grant.instance.as_str(), "engine-1");
    }
}

#[test]
fn an_engine_without_a_reported_cold_period_counts_as_just_started() {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    subject.apply(table_with_cold_starts(1), START);
    let now = START + Span::from_milliseconds(5_000);
    let mut engine = back_end("engine-0", 0, 0);
    engine.cold_remaining = None;
    subject.apply(back_end_change(engine, 2), now);
    subject.tick(now);
    let decisions = (0..10).map(|own| subject.dispatch(&demand(1, 1_000, own), now));
    assert_eq!(decisions.filter(is_granted).count(), 1);
}

#[test]
fn a_node_that_has_just_started_sends_nothing_to_cold_engines() {
    let (mut subject, now) = node_with_a_cold_engine(Span::from_milliseconds(500));
    let refused = subject.dispatch(&demand(1, 1_000, 1), now);
    assert!(matches!(refused, Decision::Refuse(Reason::ColdBackEnds, _)));
}

#[test]
fn an_engine_listed_before_its_table_counts_as_cold() {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    let now = START + Span::from_milliseconds(5_000);
    subject.apply(cold_engine("engine-0", 0, 0, 2), now);
    subject.apply(table_with_cold_starts(3), now);
    subject.tick(now);
    let decisions = (0..10).map(|own| subject.dispatch(&demand(1, 1_000, own), now));
    assert_eq!(decisions.filter(is_granted).count(), 1);
}

#[rstest]
#[case::usual(COLD_RATE_LIMIT, 5.2, 6)]
#[case::little(ColdRateLimit { overage: 1.0, slack: 0.0 }, 0.5, 1)]
#[case::nonsense(ColdRateLimit { overage: -1.0, slack: 0.0 }, 5.2, 1)]
fn the_number_of_senders_uses_half_of_the_rate_limit(
    #[case] rate_limit: ColdRateLimit,
    #[case] requests_per_second: f64,
    #[case] senders: usize,
) {
    let start = ColdStart {
        requests_per_second,
        ..COLD_START
    };
    assert_eq!(rate_limit.sender_count(&start), senders);
}

/// Requests that reached each cold engine, with their times.
type Arrivals = BTreeMap<String, Vec<Timestamp>>;

/// Offers every node more requests than it may send, for a number of milliseconds. Engines respond
/// at once.
fn overload(fleet: &mut Fleet, milliseconds: u64, arrivals: &mut Arrivals) {
    for _ in 0..milliseconds / 100 {
        fleet.step();
        let now = fleet.now;
        for number in 0..fleet.nodes.len() {
            if fleet.stopped_nodes.contains(&number) {
                continue;
            }
            for own in 0..REQUESTS_PER_NODE_AND_TICK {
                let shared_part = u64::from(own) * 31 + number as u64;
                let decision = fleet.nodes[number].dispatch(&demand(shared_part, 1_000, 100), now);
                let Decision::Grant(grant) = decision else {
                    continue;
                };
                fleet.nodes[number].release(grant.lease, Outcome::Completed, now);
                let engine = grant.instance.as_str().to_owned();
                arrivals.entry(engine).or_default().push(now);
            }
        }
    }
}

fn assert_within_rate_limit(arrivals: &Arrivals) {
    for (engine, times) in arrivals {
        let peak = max_in_window(times, SECOND, Timestamp::default());
        assert!(
            peak <= MAX_REQUESTS_PER_SECOND,
            "{engine}: {peak} requests in a second"
        );
    }
}

/// A fleet whose nodes know each other and a table with cold starts.
fn settled_fleet(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(count, zones);
    fleet.run_with_platform(20_000, 1);
    fleet.apply_source_change(0, table_with_cold_starts(2), 2);
    fleet.run(1_500);
    fleet
}

/// Adds cold engines of a zone on all nodes at the same time.
fn add_cold_engines(fleet: &mut Fleet, engines: usize, zone: usize, revision: u64) {
    let now = fleet.now;
    for node in &mut fleet.nodes {
        for number in 0..engines {
            let name = format!("engine-{revision}-{number}");
            node.apply(cold_engine(&name, number, zone, revision), now);
        }
    }
}

#[rstest]
#[case::today(9, 3)]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn a_returning_cold_zone_gets_requests_within_its_rate_limit(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled_fleet(count, zones);
    add_cold_engines(&mut fleet, 30, 1, 3);
    let mut arrivals = Arrivals::new();
    overload(&mut fleet, 2_800, &mut arrivals);
    assert_within_rate_limit(&arrivals);
    assert_eq!(arrivals.len(), 30, "every engine gets requests");
    let total: usize = arrivals.values().map(Vec::len).sum();
    let senders = 6.min(count / zones);
    let minimum = 30 * senders * 2;
    assert!(
        total >= minimum,
        "{total} requests, expected {minimum} or more"
    );
}

#[rstest]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn a_restart_of_all_nodes_does_not_overload_cold_engines(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = Fleet::new(count, zones);
    let mut arrivals = Arrivals::new();
    fleet.step();
    let now = fleet.now;
    for node in &mut fleet.nodes {
        node.apply(table_with_cold_starts(2), now);
    }
    for revision in 3..12 {
        add_cold_engines(&mut fleet, 10, 1, revision);
        overload(&mut fleet, 600, &mut arrivals);
    }
    assert_within_rate_limit(&arrivals);
    assert!(!arrivals.is_empty());
}

#[rstest]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn lost_partitioned_and_restarted_nodes_do_not_overload_cold_engines(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled_fleet(count, zones);
    let mut arrivals = Arrivals::new();
    // Half of the nodes stop and restart without knowing any peer.
    let restarted: Vec<usize> = (0..count).filter(|number| number % 2 == 0).collect();
    fleet.stopped_nodes.extend(restarted.iter().copied());
    add_cold_engines(&mut fleet, 10, 1, 3);
    overload(&mut fleet, 1_500, &mut arrivals);
    fleet.stopped_nodes.clear();
    for number in restarted {
        fleet.restart(number);
        let now = fleet.now;
        fleet.nodes[number].apply(table_with_cold_starts(2), now);
    }
    add_cold_engines(&mut fleet, 10, 1, 4);
    overload(&mut fleet, 3_000, &mut arrivals);
    // The zone is partitioned from the others while its engines restart.
    fleet.partitioned_zones.extend([(0, 1), (1, 2)]);
    add_cold_engines(&mut fleet, 10, 1, 5);
    overload(&mut fleet, 3_000, &mut arrivals);
    fleet.partitioned_zones.clear();
    add_cold_engines(&mut fleet, 10, 1, 6);
    overload(&mut fleet, 3_000, &mut arrivals);
    assert_within_rate_limit(&arrivals);
    assert_eq!(arrivals.len(), 40);
}
