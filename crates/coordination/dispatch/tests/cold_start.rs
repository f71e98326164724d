//! Cold back ends: what all nodes together send them, whatever the nodes know of each other.

mod support;

use eiderferry_dispatch::{ColdRateLimit, Decision, Dispatcher, DocumentContent, Outcome};
use eiderferry_routing::{ColdStart, PoolName};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeMap;
use support::{
    COLD_BOUND, ENGINES, Fleet, START, back_end, back_end_change, demand, dispatcher, granted,
    most_within, table_change,
};

const COLD_START: ColdStart = ColdStart {
    duration: Span::from_milliseconds(3_000),
    requests_per_second: 5.2,
};
/// What all nodes together may send to one cold engine in a second.
const MOST_IN_A_SECOND: usize = 12;
/// Requests that each node gets between two ticks: more than any could serve.
const ASKED_PER_TICK: u32 = 3;
const SECOND: Span = Span::from_milliseconds(1_000);

fn table_with_cold_starts(revision: u64) -> eiderferry_dispatch::Change {
    let mut change = table_change(revision);
    if let DocumentContent::Table(table) = &mut change.content {
        let pool = table.pools.get_mut(&PoolName::from(ENGINES));
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

/// A node that has been up for so long and knows one cold engine in its zone.
fn alone_with_a_cold_engine(uptime: Span) -> (Dispatcher, Timestamp) {
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
    let (mut subject, now) = alone_with_a_cold_engine(Span::from_milliseconds(5_000));
    granted(subject.dispatch(&demand(1, 1_000, 100), now));
    for milliseconds in [0, 500, 1_200] {
        let later = now + Span::from_milliseconds(milliseconds);
        let refused = subject.dispatch(&demand(1, 1_000, 101), later);
        assert!(matches!(refused, Decision::Refuse(Reason::ColdBackEnds, _)));
    }
    granted(subject.dispatch(&demand(1, 1_000, 102), now + Span::from_milliseconds(1_300)));
}

#[test]
fn a_warm_engine_takes_all_and_one_that_was_cold_does_later() {
    let (mut subject, now) = alone_with_a_cold_engine(Span::from_milliseconds(5_000));
    let warm = now + COLD_START.duration + Span::from_milliseconds(200);
    for own in 0..20 {
        granted(subject.dispatch(&demand(1, 1_000, own), warm));
    }
    subject.apply(back_end_change(back_end("engine-1", 1, 0), 3), now);
    for own in 0..20 {
        let grant = granted(subject.dispatch(&demand(2, 1_000, 100 + own), now));
        assert_eq!(grant.instance.as_str(), "engine-1");
    }
}

#[test]
fn an_engine_that_does_not_tell_counts_as_just_started() {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    subject.apply(table_with_cold_starts(1), START);
    let now = START + Span::from_milliseconds(5_000);
    let mut silent = back_end("engine-0", 0, 0);
    silent.cold_remaining = None;
    subject.apply(back_end_change(silent, 2), now);
    subject.tick(now);
    let asked = (0..10).map(|own| subject.dispatch(&demand(1, 1_000, own), now));
    assert_eq!(asked.filter(is_granted).count(), 1);
}

#[test]
fn a_node_that_has_just_started_sends_nothing_to_cold_engines() {
    let (mut subject, now) = alone_with_a_cold_engine(Span::from_milliseconds(500));
    let refused = subject.dispatch(&demand(1, 1_000, 1), now);
    assert!(matches!(refused, Decision::Refuse(Reason::ColdBackEnds, _)));
}

#[test]
fn a_table_that_comes_after_the_engine_counts_it_as_cold_too() {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    let now = START + Span::from_milliseconds(5_000);
    subject.apply(cold_engine("engine-0", 0, 0, 2), now);
    subject.apply(table_with_cold_starts(3), now);
    subject.tick(now);
    let asked = (0..10).map(|own| subject.dispatch(&demand(1, 1_000, own), now));
    assert_eq!(asked.filter(is_granted).count(), 1);
}

#[rstest]
#[case::usual(COLD_BOUND, 5.2, 6)]
#[case::little(ColdRateLimit { overage: 1.0, slack: 0.0 }, 0.5, 1)]
#[case::nonsense(ColdRateLimit { overage: -1.0, slack: 0.0 }, 5.2, 1)]
fn half_of_the_bound_is_dealt_out(
    #[case] bound: ColdRateLimit,
    #[case] requests_per_second: f64,
    #[case] senders: usize,
) {
    let start = ColdStart {
        requests_per_second,
        ..COLD_START
    };
    assert_eq!(bound.senders(&start), senders);
}

/// Requests that reached each cold engine, with their times.
type Arrivals = BTreeMap<String, Vec<Timestamp>>;

/// Every node is asked for more than it can serve, for so long. Answers come at once.
fn press(fleet: &mut Fleet, milliseconds: u64, arrivals: &mut Arrivals) {
    for _ in 0..milliseconds / 100 {
        fleet.step();
        let now = fleet.now;
        for number in 0..fleet.nodes.len() {
            if fleet.dark.contains(&number) {
                continue;
            }
            for own in 0..ASKED_PER_TICK {
                let thing = u64::from(own) * 31 + number as u64;
                let decision = fleet.nodes[number].dispatch(&demand(thing, 1_000, 100), now);
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

fn assert_within_bound(arrivals: &Arrivals) {
    for (engine, times) in arrivals {
        let most = most_within(times, SECOND, Timestamp::default());
        assert!(most <= MOST_IN_A_SECOND, "{engine}: {most} in a second");
    }
}

/// A settled fleet whose table tells of cold starts.
fn settled(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(count, zones);
    fleet.run_with_platform(20_000, 1);
    fleet.read_change(0, table_with_cold_starts(2), 2);
    fleet.run(1_500);
    fleet
}

/// So many engines of a zone turn up cold at once, on every node.
fn return_cold(fleet: &mut Fleet, engines: usize, zone: usize, revision: u64) {
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
fn a_zone_that_returns_cold_gets_what_it_bears_and_no_more(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled(count, zones);
    return_cold(&mut fleet, 30, 1, 3);
    let mut arrivals = Arrivals::new();
    press(&mut fleet, 2_800, &mut arrivals);
    assert_within_bound(&arrivals);
    assert_eq!(arrivals.len(), 30, "each of them is used");
    let total: usize = arrivals.values().map(Vec::len).sum();
    let senders = 6.min(count / zones);
    let least = 30 * senders * 2;
    assert!(total >= least, "{total} requests of {least} or more");
}

#[rstest]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn when_all_nodes_start_anew_nothing_breaks_a_cold_engine(
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
        return_cold(&mut fleet, 10, 1, revision);
        press(&mut fleet, 600, &mut arrivals);
    }
    assert_within_bound(&arrivals);
    assert!(!arrivals.is_empty());
}

#[rstest]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn nodes_that_are_lost_cut_off_or_started_anew_do_not_break_it(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled(count, zones);
    let mut arrivals = Arrivals::new();
    // Half of the zone ends and comes back as new runs, which know nobody.
    let dead: Vec<usize> = (0..count).filter(|number| number % 2 == 0).collect();
    fleet.dark.extend(dead.iter().copied());
    return_cold(&mut fleet, 10, 1, 3);
    press(&mut fleet, 1_500, &mut arrivals);
    fleet.dark.clear();
    for number in dead {
        fleet.restart(number);
        let now = fleet.now;
        fleet.nodes[number].apply(table_with_cold_starts(2), now);
    }
    return_cold(&mut fleet, 10, 1, 4);
    press(&mut fleet, 3_000, &mut arrivals);
    // The zone is cut off from the others while its engines start again.
    fleet.cut.extend([(0, 1), (1, 2)]);
    return_cold(&mut fleet, 10, 1, 5);
    press(&mut fleet, 3_000, &mut arrivals);
    fleet.cut.clear();
    return_cold(&mut fleet, 10, 1, 6);
    press(&mut fleet, 3_000, &mut arrivals);
    assert_within_bound(&arrivals);
    assert_eq!(arrivals.len(), 40);
}
