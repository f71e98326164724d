//! With a propagation deadline of a few seconds, only two zones read the platform for all.

mod support;

use eiderferry_types::Span;
use rstest::rstest;
use std::collections::BTreeSet;
use support::Fleet;

const PROPAGATION_DEADLINE: Span = Span::from_milliseconds(4_000);

fn settled_fleet(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::with_propagation_deadline(count, zones, PROPAGATION_DEADLINE);
    fleet.run_with_platform(30_000, 1);
    fleet
}

fn reader_zones(fleet: &Fleet) -> BTreeSet<usize> {
    let readers = fleet.readers();
    readers.into_iter().map(|node| fleet.zones[node]).collect()
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::seventy_one(71, 3)]
#[case::large(295, 5)]
fn one_node_in_each_of_two_zones_reads_the_platform(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = settled_fleet(count, zones);
    for _ in 0..50 {
        fleet.run_with_platform(100, 1);
        assert_eq!(fleet.readers().len(), 2);
        assert_eq!(reader_zones(&fleet).len(), 2);
    }
}

/// Other nodes of the reader zones take over when they hear no fresh confirmation.
#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn when_both_readers_fail_another_node_reads_within_three_seconds(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled_fleet(count, zones);
    let dead = fleet.readers();
    fleet.stopped_nodes.extend(dead.iter().copied());
    fleet.run(3_000);
    assert!(fleet.readers().iter().any(|reader| !dead.contains(reader)));
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn a_partitioned_zone_reads_for_itself(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = settled_fleet(count, zones);
    let reading_zones = reader_zones(&fleet);
    let partitioned = (0..zones)
        .find(|zone| !reading_zones.contains(zone))
        .expect("a zone without readers");
    fleet.partitioned_zones.extend(
        (0..zones)
            .filter(|zone| *zone != partitioned)
            .map(|zone| (partitioned, zone)),
    );
    fleet.run_with_platform(3_000, 1);
    assert_eq!(reader_zones(&fleet).len(), 3);
    fleet.partitioned_zones.clear();
    fleet.run_with_platform(4_000, 1);
    assert_eq!(reader_zones(&fleet).len(), 2);
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn when_the_reader_zones_are_partitioned_two_other_zones_read(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled_fleet(count, zones);
    for partitioned in reader_zones(&fleet) {
        let others = (0..zones).filter(|zone| *zone != partitioned);
        fleet
            .partitioned_zones
            .extend(others.map(|zone| (partitioned, zone)));
    }
    fleet.run_with_platform(3_000, 1);
    assert_eq!(
        reader_zones(&fleet).len(),
        4,
        "two of the zones that still hear each other read as well"
    );
}
