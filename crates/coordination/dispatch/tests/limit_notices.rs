//! How nodes report to each other the rate limits that back ends state.

mod support;

use eiderferry_dispatch::{
    Change, Dispatcher, DocumentContent, DocumentKey, LimitReport, Outcome, RateLimit,
};
use eiderferry_routing::{BackEnd, InstanceId};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use support::limits::{
    DISCOVERY_MS, apply_initial_documents, grant_times_ms, rate_limit, respond_with_limit,
    single_node,
};
use support::{
    Fleet, back_end, back_end_change, demand, dispatcher, granted, node_address, table_change,
};

/// Time in which a limit reaches all nodes, in seconds.
const PROPAGATION_SECONDS: u64 = 3;

/// A starting node receives limits from its peers before it knows which back ends exist.
#[test]
fn a_limit_received_before_its_engine_is_listed_is_kept() {
    let (mut reporter, now) = single_node(1);
    respond_with_limit(&mut reporter, 0, Some(1.0), now);
    let reply = reporter.reply(node_address(1), now);
    let mut starting = dispatcher(1, 0, vec![node_address(0)]);
    starting.receive(node_address(0), &reply, now);
    starting.apply(table_change(1), now);
    starting.apply(back_end_change(back_end("engine-0", 0, 0), 2), now);
    assert_eq!(grant_times_ms(&mut starting, now, 1_000), []);
}

/// Engines that state a limit at the same time, as when a whole rack is overloaded.
const LIMITED_ENGINES: usize = 100;
/// Bytes per second that a node may send for them: a quarter of the budget of all control
/// traffic, and in the first seconds as much as the whole budget.
const MAX_BYTES_PER_SECOND: f64 = 500.0;
const MAX_INITIAL_BYTES_PER_SECOND: f64 = 2_000.0;

/// Bytes per second and node, averaged over the given number of seconds.
fn bytes_per_second(fleet: &mut Fleet, seconds: u64) -> f64 {
    fleet.bytes = 0;
    fleet.run(seconds * 1_000);
    fleet.bytes as f64 / fleet.nodes.len() as f64 / seconds as f64
}

/// One node sends a request to each of many engines, whose responses all state `rate_limit` or
/// no limit. Returns the bytes per second and node in the next three seconds, and after them.
fn bytes_after_limit(nodes: usize, zones: usize, rate_limit: Option<RateLimit>) -> [f64; 2] {
    let mut fleet = Fleet::new(nodes, zones);
    let engines = (0..LIMITED_ENGINES).map(|number| {
        let engine = back_end(&format!("engine-{number}"), number, number % zones);
        back_end_change(engine, 1)
    });
    fleet.initial_documents = engines.collect();
    for number in 0..nodes {
        apply_initial_documents(&mut fleet, number);
    }
    fleet.run_with_platform(DISCOVERY_MS, 1);
    fleet.measure_bytes();
    let now = fleet.now;
    for number in 0..LIMITED_ENGINES {
        let mut demand = demand(number as u64, 1_000, 100);
        demand.required_instance = Some(format!("engine-{number}").as_str().into());
        let lease = granted(fleet.nodes[0].dispatch(&demand, now)).lease;
        fleet.nodes[0].record_limit(lease, rate_limit, now);
        fleet.nodes[0].release(lease, Outcome::Completed, now);
    }
    let first = bytes_per_second(&mut fleet, PROPAGATION_SECONDS);
    let informed = fleet.nodes.iter();
    let informed =
        informed.filter(|node| node.snapshot(fleet.now).limited_back_ends == LIMITED_ENGINES);
    let expected = if rate_limit.is_some() { nodes } else { 0 };
    assert_eq!(informed.count(), expected, "nodes that know all limits");
    fleet.run(3_000);
    [first, bytes_per_second(&mut fleet, 5)]
}

#[rstest]
#[case::with_aggregators(72, 3)]
#[case::large(295, 5)]
fn limits_of_many_engines_reach_all_nodes_in_few_bytes(#[case] nodes: usize, #[case] zones: usize) {
    let [first_without, later_without] = bytes_after_limit(nodes, zones, None);
    let [first, later] = bytes_after_limit(nodes, zones, Some(rate_limit(1.0)));
    let (first, later) = (first - first_without, later - later_without);
    println!("{first} bytes per second and node at first, {later} later");
    assert!(
        first < MAX_INITIAL_BYTES_PER_SECOND,
        "{first} bytes per second at first"
    );
    assert!(later < MAX_BYTES_PER_SECOND, "{later} bytes per second");
}

/// A limit as another node of the zone reports it.
fn report(back_end: &str, started_unix_ms: Option<u64>, rate: Option<f64>) -> LimitReport {
    LimitReport {
        back_end: InstanceId::from(back_end).digest() as u32,
        started_unix_ms,
        limit: rate.map(rate_limit),
        age_ms: 0,
    }
}

fn receive_limits(subject: &mut Dispatcher, limits: Vec<LimitReport>, now: Timestamp) {
    let mut reporter = dispatcher(1, 0, vec![node_address(0)]);
    let mut message = reporter.gossip(false, now);
    message.limits = limits;
    subject.receive(node_address(1), &message, now);
}

/// Not every node knows when a run started: the entry may state its start time only later.
#[rstest]
#[case::known_here(None, Some(5))]
#[case::known_there(Some(5), None)]
fn a_limit_ends_when_only_one_node_knows_the_start_time(
    #[case] reported: Option<u64>,
    #[case] listed: Option<u64>,
) {
    let (mut subject, now) = single_node(1);
    let engine = BackEnd {
        started_unix_ms: listed,
        ..back_end("engine-0", 0, 0)
    };
    subject.apply(back_end_change(engine, 3), now);
    receive_limits(
        &mut subject,
        vec![report("engine-0", reported, Some(10.0))],
        now,
    );
    // The other node has only just been discovered: which nodes may send is settled a second later.
    assert_eq!(subject.snapshot(now).limited_back_ends, 1);
    let settled = now + Span::from_milliseconds(1_500);
    subject.tick(settled);
    let later = settled + Span::from_milliseconds(1_500);
    subject.tick(later);
    respond_with_limit(&mut subject, 0, None, later);
    assert_eq!(subject.snapshot(later).limited_back_ends, 0);
}

/// The number of stored notices is bounded; an engine whose notice was evicted must not stay
/// limited forever.
#[test]
fn a_flood_of_limits_is_bounded_and_leaves_no_engine_limited_forever() {
    let (mut subject, now) = single_node(1);
    respond_with_limit(&mut subject, 0, Some(0.1), now);
    let later = now + Span::from_milliseconds(100);
    let flood = (0..5_000).map(|number| report(&format!("other-{number}"), None, Some(1.0)));
    receive_limits(&mut subject, flood.collect(), later);
    assert_eq!(subject.snapshot(later).limited_back_ends, 0);
    let reported = subject.reply(node_address(1), later).limits.len();
    assert!(reported <= 64, "{reported} limits in one message");
    assert_eq!(grant_times_ms(&mut subject, later, 300), [0, 100, 200]);
}

/// A removed back end gets no requests, so its limit no longer concerns any node.
#[test]
fn the_limit_of_a_removed_back_end_stops_being_reported() {
    let (mut subject, now) = single_node(1);
    respond_with_limit(&mut subject, 0, Some(1.0), now);
    let removal = Change {
        key: DocumentKey::BackEnd(InstanceId::from("engine-0")),
        revision: 3.into(),
        content: DocumentContent::Removed,
    };
    subject.apply(removal, now);
    let later = now + Span::from_milliseconds(70_000);
    subject.tick(later);
    assert_eq!(subject.reply(node_address(1), later).limits, []);
}
