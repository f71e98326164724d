//! Control traffic between zones and regions, and how soon changes and failures are known in
//! other zones.

mod support;

use eiderferry_dispatch::{Dispatcher, MessageKind};
use eiderferry_routing::ZoneName;
use rstest::rstest;
use std::collections::BTreeSet;
use support::{
    Fleet, back_end, back_end_change, demand, granted, table_change, version_vector_up_to, zone,
};

/// Number of zones of the fleet: 0 and 1 are in one region, 2 is in another.
const ZONES: usize = 3;
/// Engines per ten nodes.
const ENGINES_PER_TEN: usize = 100;
const KINDS: [MessageKind; 8] = [
    MessageKind::Report,
    MessageKind::Summary,
    MessageKind::Digest,
    MessageKind::Peer,
    MessageKind::Query,
    MessageKind::Reply,
    MessageKind::Announcement,
    MessageKind::Documents,
];

/// Kilobytes sent between zones, by kind of message.
fn kilobytes_by_kind(fleet: &Fleet) -> String {
    let kinds = KINDS.iter().map(|kind| {
        let kilobytes = fleet.cross_zone_bytes(Some(*kind)) as f64 / 1_000.0;
        format!("{} {kilobytes:.0}", kind.label())
    });
    kinds.collect::<Vec<String>>().join(", ")
}

/// A fleet that knows all documents, with ten engines per node.
fn fleet_with_documents(count: usize) -> Fleet {
    distribute_documents(Fleet::new(count, ZONES))
}

fn distribute_documents(mut fleet: Fleet) -> Fleet {
    let count = fleet.nodes.len();
    fleet.measure_bytes();
    fleet.initial_documents = documents(count);
    fleet.run_with_platform(20_000, 1);
    fleet
}

fn documents(count: usize) -> Vec<eiderferry_dispatch::Change> {
    let engines = 0..count * ENGINES_PER_TEN / 10;
    let engine = |number| back_end(&format!("engine-{number}"), number, number % ZONES);
    engines
        .map(|number| back_end_change(engine(number), 1))
        .collect()
}

/// Requests placed in each tick by the whole fleet, regardless of its size.
const REQUESTS_PER_TICK: usize = 40;

fn apply_load(fleet: &mut Fleet, ticks: usize) {
    for tick in 0..ticks {
        let now = fleet.now;
        for request in 0..REQUESTS_PER_TICK {
            let number = (tick * 17 + request * 7) % fleet.nodes.len();
            let shared_part = (tick * 31 + request * 11) as u64 % 3_000;
            granted(fleet.nodes[number].dispatch(&demand(shared_part, 1_300, 90), now));
        }
        fleet.run_with_platform(100, 1);
    }
}

/// Bounds the kilobytes sent between zones during startup, 10 s of load, ten changes and a restart
/// of all nodes. When nodes fetched documents from other zones and each sent to other zones
/// itself, 300 nodes sent 43.9, 1.87, 1.43 and 42.9 MB.
#[rstest]
#[case::small(30, [1_100, 1_500, 750, 550])]
#[case::middle(100, [400, 1_000, 550, 300])]
#[case::large(300, [1_000, 1_000, 550, 900])]
fn cross_zone_bytes_hardly_grow_with_the_number_of_nodes(
    #[case] count: usize,
    #[case] bounds: [usize; 4],
) {
    let mut fleet = fleet_with_documents(count);
    let mut kilobytes = Vec::new();
    let mut count_and_clear = |fleet: &mut Fleet, phase: &str| {
        println!("{count} nodes, {phase}: {}", kilobytes_by_kind(fleet));
        kilobytes.push(fleet.cross_zone_bytes(None) / 1_000);
        fleet.traffic.clear();
    };
    count_and_clear(&mut fleet, "first 20 s");
    apply_load(&mut fleet, 100);
    count_and_clear(&mut fleet, "10 s of load");
    for revision in 2..12 {
        let change = back_end_change(back_end("engine-0", 0, 0), revision);
        fleet.apply_source_change(0, change, revision);
        fleet.run_with_platform(500, 1);
    }
    count_and_clear(&mut fleet, "ten changes in 5 s");
    for number in 0..count {
        fleet.restart(number);
    }
    fleet.run_with_platform(10_000, 12);
    count_and_clear(&mut fleet, "10 s after a restart of all nodes");
    for (kilobytes, bound) in kilobytes.iter().zip(bounds) {
        assert!(
            *kilobytes <= bound,
            "{kilobytes} kB, expected at most {bound} kB"
        );
    }
}

/// Runs the fleet until a condition holds for all live nodes, for 20 s at most. Returns the
/// milliseconds that this took.
fn milliseconds_until(fleet: &mut Fleet, condition: impl Fn(&Dispatcher) -> bool) -> u64 {
    let mut waited = 0;
    let all = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter().enumerate();
        let mut live = nodes.filter(|(number, _)| !fleet.stopped_nodes.contains(number));
        live.all(|(_, node)| condition(node))
    };
    while !all(fleet) && waited < 20_000 {
        fleet.run_with_platform(100, 1);
        waited += 100;
    }
    waited
}

#[rstest]
#[case::small(30)]
#[case::large(300)]
fn each_node_has_the_documents_within_two_seconds_after_all_restart(#[case] count: usize) {
    let mut fleet = fleet_with_documents(count);
    for number in 0..count {
        fleet.restart(number);
    }
    let waited = milliseconds_until(&mut fleet, |node| {
        !node.document_store().version_vector().is_empty()
    });
    println!("{count} nodes have documents after {waited} ms");
    assert!(waited <= 2_000, "{waited} ms");
}

/// Only one node, in zone 0, reaches the platform. The documents, 138 kB in all, should be sent
/// between zones only a few times.
#[test]
fn documents_cross_zone_boundaries_few_times() {
    let mut fleet = Fleet::new(300, ZONES);
    fleet.measure_bytes();
    fleet.run(1_000);
    for change in documents(300) {
        fleet.nodes[0].apply(change, fleet.now);
    }
    fleet.apply_source_change(0, table_change(1), 1);
    let package_bytes = 138_000;
    let mut waited = 0;
    while fleet
        .nodes
        .iter()
        .any(|node| node.document_store().version_vector().is_empty())
        && waited < 5_000
    {
        fleet.run(100);
        waited += 100;
    }
    let bytes = fleet.cross_zone_bytes(Some(MessageKind::Documents));
    println!("{bytes} bytes of documents sent between zones, {waited} ms");
    assert!(waited <= 3_000, "{waited} ms");
    assert!(bytes <= 8 * package_bytes, "{bytes} bytes");
}

fn zone_names(fleet: &Fleet, zones: &[usize]) -> BTreeSet<ZoneName> {
    assert!(zones.iter().all(|zone| *zone < fleet.zones.len()));
    zones.iter().map(|number| zone(*number)).collect()
}

/// Zone representatives must not delay the detection of a partition or of its end: both bounds
/// held before there were representatives.
#[rstest]
#[case::small(30)]
#[case::large(300)]
fn a_partition_is_detected_and_heals_with_little_traffic(#[case] count: usize) {
    let mut fleet = fleet_with_documents(count);
    fleet.partitioned_zones.extend([(0, 1), (0, 2)]);
    let (outside, inside) = (zone_names(&fleet, &[0]), zone_names(&fleet, &[1, 2]));
    let detected = milliseconds_until(&mut fleet, |node| {
        *node.silent_zones() == outside || *node.silent_zones() == inside
    });
    fleet.run_with_platform(5_000, 1);
    fleet.partitioned_zones.clear();
    fleet.traffic.clear();
    let healed = milliseconds_until(&mut fleet, |node| node.silent_zones().is_empty());
    fleet.run_with_platform(3_000, 1);
    let kilobytes = fleet.cross_zone_bytes(None) / 1_000;
    println!(
        "{count} nodes: partition detected after {detected} ms, end after {healed} ms, {kilobytes} kB"
    );
    assert!(detected <= 2_500, "detected after {detected} ms");
    assert!(healed <= 2_500, "end detected after {healed} ms");
    assert!(kilobytes <= 600, "{kilobytes} kB");
}

/// Kilobytes sent between zones during startup and during 5 s of load.
fn cross_zone_kilobytes(fleet: Fleet) -> (usize, usize) {
    let mut fleet = distribute_documents(fleet);
    let start = fleet.cross_zone_bytes(None) / 1_000;
    fleet.traffic.clear();
    apply_load(&mut fleet, 50);
    (start, fleet.cross_zone_bytes(None) / 1_000)
}

#[test]
fn without_zone_representatives_each_node_sends_to_other_zones() {
    let (start, load) = cross_zone_kilobytes(Fleet::new(100, ZONES));
    let (start_without, load_without) =
        cross_zone_kilobytes(Fleet::without_zone_representatives(100, ZONES));
    println!("startup {start} and {start_without} kB, load {load} and {load_without} kB");
    assert!(start * 5 < start_without, "{start} and {start_without} kB");
    assert!(load * 5 < load_without * 4, "{load} and {load_without} kB");
}

/// Compares the time until a partition and a change are known with and without representatives.
#[test]
fn zone_representatives_do_not_delay_detection_or_changes() {
    for count in [100, 300] {
        let fleets = [
            Fleet::new(count, ZONES),
            Fleet::without_zone_representatives(count, ZONES),
        ];
        let [with, without] = fleets.map(|fleet| detection_times(distribute_documents(fleet)));
        println!(
            "{count} nodes: partition, its end, change known: {with:?} ms, without representatives {without:?} ms"
        );
        for (with, without) in with.into_iter().zip(without) {
            assert!(with <= without + 300, "{with} and {without} ms");
        }
    }
}

/// Milliseconds until all nodes know of a partition of a zone, of its end, and of a change.
fn detection_times(mut fleet: Fleet) -> [u64; 3] {
    let (outside, inside) = (zone_names(&fleet, &[0]), zone_names(&fleet, &[1, 2]));
    fleet.partitioned_zones.extend([(0, 1), (0, 2)]);
    let detected = milliseconds_until(&mut fleet, |node| {
        *node.silent_zones() == outside || *node.silent_zones() == inside
    });
    fleet.run_with_platform(5_000, 1);
    fleet.partitioned_zones.clear();
    let healed = milliseconds_until(&mut fleet, |node| node.silent_zones().is_empty());
    fleet.run_with_platform(3_000, 1);
    fleet.apply_source_change(1, back_end_change(back_end("engine-0", 0, 0), 5), 5);
    let change = milliseconds_until(&mut fleet, |node| {
        *node.document_store().version_vector() == version_vector_up_to(5)
    });
    [detected, healed, change]
}

#[test]
fn a_zone_is_heard_again_after_both_its_representatives_fail() {
    let mut fleet = fleet_with_documents(100);
    let representatives = fleet.nodes.iter().enumerate();
    let representatives =
        representatives.filter(|(number, node)| fleet.zones[*number] == 0 && node.is_aggregator());
    let representatives: Vec<usize> = representatives.map(|(number, _)| number).collect();
    assert_eq!(representatives.len(), 2);
    fleet.stopped_nodes.extend(representatives);
    fleet.run_with_platform(4_500, 1);
    let live = (0..fleet.nodes.len()).filter(|number| !fleet.stopped_nodes.contains(number));
    for number in live {
        let silent = fleet.nodes[number].silent_zones();
        assert!(silent.is_empty(), "node {number}: {silent:?}");
    }
    fleet.traffic.clear();
    apply_load(&mut fleet, 10);
    assert!(fleet.cross_zone_bytes(Some(MessageKind::Digest)) > 0);
}

#[test]
fn nodes_in_three_regions_know_all_peers_despite_message_loss() {
    let mut fleet = Fleet::in_three_regions(120);
    fleet.run_with_platform(20_000, 1);
    fleet.lost_peers.clear();
    fleet.loss_interval = Some(13);
    fleet.run_with_platform(20_000, 1);
    assert_eq!(fleet.lost_peers, Vec::new());
    for node in &fleet.nodes {
        assert_eq!(node.snapshot(fleet.now).live_peers, 119);
        assert!(node.silent_zones().is_empty(), "{:?}", node.silent_zones());
    }
}

#[test]
fn a_region_partition_is_detected_and_heals() {
    let mut fleet = Fleet::in_three_regions(120);
    fleet.run_with_platform(20_000, 1);
    for inside in [0, 1] {
        fleet
            .partitioned_zones
            .extend((2..6).map(|outside| (inside, outside)));
    }
    let (outside, inside) = (
        zone_names(&fleet, &[0, 1]),
        zone_names(&fleet, &[2, 3, 4, 5]),
    );
    let detected = milliseconds_until(&mut fleet, |node| {
        *node.silent_zones() == outside || *node.silent_zones() == inside
    });
    fleet.partitioned_zones.clear();
    let healed = milliseconds_until(&mut fleet, |node| node.silent_zones().is_empty());
    println!("region partition detected after {detected} ms, end after {healed} ms");
    assert!(detected <= 2_500, "detected after {detected} ms");
    assert!(healed <= 2_500, "end detected after {healed} ms");
}

#[rstest]
#[case::small(30)]
#[case::large(300)]
fn a_draining_engine_is_known_to_all_nodes_within_half_a_second(#[case] count: usize) {
    let mut fleet = fleet_with_documents(count);
    let mut engine = back_end("engine-0", 0, 0);
    engine.draining = true;
    fleet.apply_source_change(1, back_end_change(engine, 5), 5);
    let waited = milliseconds_until(&mut fleet, |node| {
        *node.document_store().version_vector() == version_vector_up_to(5)
    });
    println!("{count} nodes: a change is known after {waited} ms");
    assert!(waited <= 500, "{waited} ms");
}
