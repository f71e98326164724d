//! Where changes may take a few seconds, two zones read the platform for all.

mod support;

use eiderferry_types::Span;
use rstest::rstest;
use std::collections::BTreeSet;
use support::Fleet;

const APPLY_WITHIN: Span = Span::from_milliseconds(4_000);

fn settled(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::with_apply_within(count, zones, APPLY_WITHIN);
    fleet.run_with_platform(30_000, 1);
    fleet
}

fn reading_zones(fleet: &Fleet) -> BTreeSet<usize> {
    let readers = fleet.readers();
    readers.into_iter().map(|node| fleet.zones[node]).collect()
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::seventy_one(71, 3)]
#[case::large(295, 5)]
fn one_node_in_each_of_two_zones_reads(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = settled(count, zones);
    for _ in 0..50 {
        fleet.run_with_platform(100, 1);
        assert_eq!(fleet.readers().len(), 2);
        assert_eq!(reading_zones(&fleet).len(), 2);
    }
}

/// The others of the reading zones are there: they follow when nothing fresh is heard.
#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn when_both_readers_die_somebody_reads_within_three_seconds(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = settled(count, zones);
    let dead = fleet.readers();
    fleet.dark.extend(dead.iter().copied());
    fleet.run(3_000);
    assert!(fleet.readers().iter().any(|reader| !dead.contains(reader)));
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn a_zone_that_is_cut_off_reads_for_itself(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = settled(count, zones);
    let reading = reading_zones(&fleet);
    let cut = (0..zones)
        .find(|zone| !reading.contains(zone))
        .expect("one");
    fleet.cut.extend(
        (0..zones)
            .filter(|zone| *zone != cut)
            .map(|zone| (cut, zone)),
    );
    fleet.run_with_platform(3_000, 1);
    assert_eq!(reading_zones(&fleet).len(), 3);
    fleet.cut.clear();
    fleet.run_with_platform(4_000, 1);
    assert_eq!(reading_zones(&fleet).len(), 2);
}

#[rstest]
#[case::eighteen(18, 5)]
#[case::large(295, 5)]
fn when_the_reading_zones_are_cut_off_others_read(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = settled(count, zones);
    for cut in reading_zones(&fleet) {
        let others = (0..zones).filter(|zone| *zone != cut);
        fleet.cut.extend(others.map(|zone| (cut, zone)));
    }
    fleet.run_with_platform(3_000, 1);
    assert_eq!(
        reading_zones(&fleet).len(),
        4,
        "two of those that hear each other read too"
    );
}
