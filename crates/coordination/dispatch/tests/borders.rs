//! What control costs at the borders of zones and regions, and how soon things are known
//! beyond them.

mod support;

use eiderferry_dispatch::MessageKind;
use rstest::rstest;
use support::{Fleet, back_end, back_end_change, demand, granted};

/// Zones of the fleet: 0 and 1 lie in one region, 2 in another.
const ZONES: usize = 3;
/// Engines for each ten nodes.
const ENGINES_PER_TEN: usize = 100;
const KINDS: [MessageKind; 8] = [
    MessageKind::Report,
    MessageKind::Summary,
    MessageKind::Digest,
    MessageKind::Peer,
    MessageKind::Question,
    MessageKind::Answer,
    MessageKind::Announcement,
    MessageKind::Documents,
];

/// Bytes across borders, by kind.
fn by_kind(fleet: &Fleet) -> String {
    let kinds = KINDS.iter().map(|kind| {
        let kilobytes = fleet.border_bytes(Some(*kind)) as f64 / 1_000.0;
        format!("{} {kilobytes:.0}", kind.label())
    });
    kinds.collect::<Vec<String>>().join(", ")
}

/// A fleet that has all documents, of ten engines a node.
fn informed_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, ZONES);
    fleet.measure_bytes();
    fleet.first_documents = documents(count);
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

/// Requests placed in each tick by the whole fleet, whatever its size.
const PLACED_PER_TICK: usize = 40;

fn load(fleet: &mut Fleet, ticks: usize) {
    for tick in 0..ticks {
        let now = fleet.now;
        for place in 0..PLACED_PER_TICK {
            let number = (tick * 17 + place * 7) % fleet.nodes.len();
            let thing = (tick * 31 + place * 11) as u64 % 3_000;
            granted(fleet.nodes[number].ask(&demand(thing, 1_300, 90), now));
        }
        fleet.run_with_platform(100, 1);
    }
}

/// Kilobytes across borders in a start, in 10 s of load, in ten changes and in a start anew.
#[rstest]
#[case::small(30)]
#[case::middle(100)]
#[case::large(300)]
fn bytes_across_borders(#[case] count: usize) {
    let mut fleet = informed_fleet(count);
    println!("{count} nodes, 20 s from the start: {}", by_kind(&fleet));
    fleet.traffic.clear();
    load(&mut fleet, 100);
    println!("{count} nodes, 10 s of load: {}", by_kind(&fleet));
    fleet.traffic.clear();
    for revision in 2..12 {
        let change = back_end_change(back_end("engine-0", 0, 0), revision);
        fleet.read_change(0, change, revision);
        fleet.run_with_platform(500, 1);
    }
    println!("{count} nodes, ten changes in 5 s: {}", by_kind(&fleet));
    fleet.traffic.clear();
    for number in 0..count {
        fleet.restart(number);
    }
    fleet.run_with_platform(10_000, 12);
    println!("{count} nodes, 10 s from a start anew: {}", by_kind(&fleet));
}
