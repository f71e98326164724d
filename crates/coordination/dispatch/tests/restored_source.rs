//! Fleets whose document source is restored from a backup.

mod support;

use eiderferry_dispatch::{DocumentContent, DocumentKey, VersionVector};
use eiderferry_types::{Span, Timestamp};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::Fleet;
use support::source::{Source, instance_key};

/// Time within which a confirmed change must be applied on all nodes, in milliseconds.
const APPLIED_WITHIN_MS: u64 = 2_000;
/// Time after a restore within which lost changes are written again and applied, in milliseconds.
const STABLE_AFTER_MS: u64 = 5_000;
/// Time after a start or a partition within which a node receives all changes that its peers
/// know, in milliseconds.
const CATCH_UP_MS: u64 = 3_000;

fn version(fleet: &Fleet, node: usize) -> u64 {
    let table = fleet.nodes[node].document_store().table();
    table.map_or(0, |table| table.version())
}

/// Whether the documents of a node allow requests to a back end.
fn is_usable(fleet: &Fleet, node: usize, name: &str) -> bool {
    let mut listed = fleet.nodes[node].document_store().back_ends();
    listed.any(|back_end| back_end.instance.as_str() == name && !back_end.draining)
}

/// Whether a node knows that a back end is draining or removed.
fn is_known_leaving(fleet: &Fleet, node: usize, name: &str) -> bool {
    let document_store = fleet.nodes[node].document_store();
    let changes = document_store.changes_after(&VersionVector::default());
    let matching = changes
        .iter()
        .filter(|change| change.key == instance_key(name));
    let mut contents = matching.map(|change| &change.content);
    contents.any(|content| match content {
        DocumentContent::BackEnd(entry) => entry.draining,
        _ => true,
    })
}

fn assert_versions(fleet: &Fleet, expected: u64) {
    let versions: Vec<u64> = (0..fleet.nodes.len())
        .map(|node| version(fleet, node))
        .collect();
    assert!(
        versions
            .iter()
            .all(|table_version| *table_version == expected),
        "{versions:?}"
    );
}

fn assert_usable_nowhere(fleet: &Fleet, name: &str) {
    let nodes = 0..fleet.nodes.len();
    let usable: Vec<usize> = nodes.filter(|node| is_usable(fleet, *node, name)).collect();
    assert!(usable.is_empty(), "{name} is usable at {usable:?}");
}

/// A fleet with three back ends that has run for 15 s, at revision 4.
fn settled_fleet(count: usize, zones: usize) -> (Fleet, Source) {
    let mut source = Source::default();
    source.write_table(1);
    for number in 0..3 {
        source.write_back_end(&format!("i-{number}"), number, false);
    }
    let mut fleet = Fleet::new(count, zones);
    source.run(&mut fleet, 15_000);
    (fleet, source)
}

#[rstest]
#[case::today(7, 3)]
#[case::larger(72, 3)]
#[case::much_larger(295, 5)]
fn table_versions_never_decrease_and_reused_revision_numbers_are_read(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let (mut fleet, mut source) = settled_fleet(count, zones);
    let mut newest = 1;
    for _ in 0..2 {
        let backup_number = source.write_count();
        for _ in 0..4 {
            newest += 3;
            source.write_table(newest);
        }
        source.run(&mut fleet, APPLIED_WITHIN_MS);
        let lost = source.restore(backup_number);
        for _ in 0..20 {
            source.step(&mut fleet);
            assert_versions(&fleet, newest);
        }
        for (key, content) in lost {
            source.write(key, content);
        }
        newest += 3;
        source.write_table(newest);
        source.run(&mut fleet, APPLIED_WITHIN_MS);
        assert_versions(&fleet, newest);
    }
}

#[rstest]
#[case::one(&[4])]
#[case::a_seed(&[0])]
#[case::all_but_one(&[0, 1, 2, 3, 4, 5, 6, 7])]
fn a_node_that_starts_before_the_rewrite_learns_confirmed_changes_from_peers(
    #[case] restarted: &[usize],
) {
    let (mut fleet, mut source) = settled_fleet(9, 3);
    source.write_table(5);
    source.write_back_end("i-1", 1, true);
    source.remove_back_end("i-2");
    source.run(&mut fleet, APPLIED_WITHIN_MS);
    source.restore(4);
    source.run(&mut fleet, 500);
    for node in restarted {
        fleet.restart(*node);
    }
    source.run(&mut fleet, CATCH_UP_MS);
    assert_versions(&fleet, 5);
    assert_usable_nowhere(&fleet, "i-1");
    assert_usable_nowhere(&fleet, "i-2");
}

#[test]
fn changes_known_only_to_an_isolated_zone_reach_all_nodes_when_it_reconnects() {
    let (mut fleet, mut source) = settled_fleet(9, 3);
    fleet.partitioned_zones.extend([(0, 1), (0, 2)]);
    source.unreachable.extend([1, 2, 4, 5, 7, 8]);
    source.write_table(5);
    source.write_back_end("i-1", 1, true);
    source.run(&mut fleet, 3_000);
    source.unreachable.extend([0, 3, 6]);
    source.restore(4);
    source.unreachable = [0, 3, 6].into();
    source.run(&mut fleet, 3_000);
    assert_eq!((version(&fleet, 0), version(&fleet, 1)), (5, 1));
    fleet.partitioned_zones.clear();
    source.unreachable.clear();
    source.run(&mut fleet, CATCH_UP_MS);
    assert_versions(&fleet, 5);
    assert_usable_nowhere(&fleet, "i-1");
}

#[test]
fn a_fleet_that_starts_before_the_rewrite_applies_the_backup_and_then_the_rewritten_changes() {
    let (mut fleet, mut source) = settled_fleet(9, 3);
    source.write_table(5);
    source.run(&mut fleet, APPLIED_WITHIN_MS);
    let lost = source.restore(4);
    for node in 0..9 {
        fleet.restart(node);
    }
    source.run(&mut fleet, CATCH_UP_MS);
    assert_versions(&fleet, 1);
    for (key, content) in lost {
        source.write(key, content);
    }
    source.run(&mut fleet, APPLIED_WITHIN_MS);
    assert_versions(&fleet, 5);
}

#[test]
fn a_removed_back_end_listed_in_the_backup_becomes_usable_unless_removed_again() {
    let (mut fleet, mut source) = settled_fleet(9, 3);
    source.remove_back_end("i-1");
    source.remove_back_end("i-2");
    source.run(&mut fleet, APPLIED_WITHIN_MS);
    source.restore(4);
    source.run(&mut fleet, 2_000);
    assert_usable_nowhere(&fleet, "i-1");
    assert_usable_nowhere(&fleet, "i-2");
    source.remove_back_end("i-2");
    source.run(&mut fleet, 10_000);
    assert_usable_nowhere(&fleet, "i-2");
    assert!((0..9).all(|node| is_usable(&fleet, node, "i-1")));
}

#[test]
fn an_evacuation_missing_from_the_backup_ends_unless_rewritten_in_time() {
    let (mut fleet, mut source) = settled_fleet(9, 3);
    let key = DocumentKey::Evacuation(support::zone(0));
    source.write(key.clone(), DocumentContent::Evacuated);
    source.run(&mut fleet, APPLIED_WITHIN_MS);
    source.restore(4);
    source.run(&mut fleet, 1_500);
    let is_evacuated = |fleet: &Fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.evacuated_zones().contains(&support::zone(0)))
    };
    assert!(is_evacuated(&fleet));
    source.write(key, DocumentContent::Evacuated);
    source.run(&mut fleet, 5_000);
    assert!(is_evacuated(&fleet));
    source.restore(4);
    source.run(&mut fleet, 5_000);
    assert!(!is_evacuated(&fleet));
}

/// What the source has confirmed and each node must know.
struct Expectations {
    table: (u64, Timestamp),
    /// Time at which each back end was first written as draining or removed.
    leaving_since: BTreeMap<String, Timestamp>,
    /// Time since which each node has been connected to the source and its peers.
    connected_since: Vec<Timestamp>,
    /// Time of the last restore of the source.
    last_restore: Timestamp,
    /// Highest table version of each node since its start.
    highest_version: Vec<u64>,
    /// Back ends that each node has known as draining or removed since its start.
    known_leaving: Vec<BTreeSet<String>>,
}

impl Expectations {
    fn check(&mut self, fleet: &Fleet, seed: u64) {
        let now = fleet.now;
        for node in 0..fleet.nodes.len() {
            let table_version = version(fleet, node);
            assert!(
                table_version >= self.highest_version[node],
                "seed {seed}, node {node}: reverted to {table_version}"
            );
            self.highest_version[node] = table_version;
            let is_caught_up = now.since(self.connected_since[node]).milliseconds() > CATCH_UP_MS;
            let is_stable = now.since(self.last_restore).milliseconds() > STABLE_AFTER_MS;
            let is_due = |at: Timestamp| {
                let is_old = now.since(at).milliseconds() > APPLIED_WITHIN_MS;
                is_caught_up && is_stable && is_old
            };
            if is_due(self.table.1) {
                assert_eq!(table_version, self.table.0, "seed {seed}, node {node}");
            }
            for (name, at) in &self.leaving_since {
                let is_usable = is_usable(fleet, node, name);
                let known_leaving = &mut self.known_leaving[node];
                let must_be_known = is_due(*at) || known_leaving.contains(name);
                assert!(
                    !is_usable || !must_be_known,
                    "seed {seed}, node {node}: {name} left at {at:?}, now {now:?}"
                );
                if !is_usable && is_known_leaving(fleet, node, name) {
                    known_leaving.insert(name.clone());
                }
            }
        }
    }
}

/// Runs writes, restores, restarts and partitions in a random order that depends on the seed. Some
/// node always retains the confirmed changes: at most two of nine nodes restart within the time
/// that a rewrite takes.
#[rstest]
fn confirmed_changes_never_revert_under_restores_restarts_and_partitions_in_any_order(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] group: u64,
) {
    for seed in group * 4..group * 4 + 4 {
        run_scenario(seed);
    }
}

fn run_scenario(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut fleet, mut source) = settled_fleet(9, 3);
    let mut expected = Expectations {
        table: (1, fleet.now),
        leaving_since: BTreeMap::new(),
        connected_since: vec![fleet.now; 9],
        last_restore: fleet.now,
        highest_version: vec![1; 9],
        known_leaving: vec![BTreeSet::new(); 9],
    };
    let mut names: Vec<String> = (0..3).map(|number| format!("i-{number}")).collect();
    let mut rewrites: Vec<(Timestamp, DocumentKey, DocumentContent)> = Vec::new();
    let mut last_restart = fleet.now;
    for step in 0..600 {
        let now = fleet.now;
        let (due, waiting): (Vec<_>, Vec<_>) =
            rewrites.into_iter().partition(|(at, ..)| *at <= now);
        rewrites = waiting;
        for (_, key, content) in due {
            source.write(key, content);
        }
        match rng.random_range(0..60) {
            0..4 => {
                rewrites.retain(|(_, key, _)| *key != DocumentKey::Table);
                expected.table = (expected.table.0 + rng.random_range(1..4), now);
                source.write_table(expected.table.0);
            }
            4 => {
                let name = format!("i-{}", names.len());
                source.write_back_end(&name, names.len(), false);
                names.push(name);
            }
            5 | 6 => {
                let name = names.choose(&mut rng).expect("a back end").clone();
                rewrites.retain(|(_, key, _)| *key != instance_key(&name));
                let number = names.iter().position(|other| *other == name);
                let number = number.expect("a known name");
                let is_new = !expected.leaving_since.contains_key(&name);
                expected.leaving_since.entry(name.clone()).or_insert(now);
                if is_new && rng.random_bool(0.5) {
                    source.write_back_end(&name, number, true);
                } else {
                    source.remove_back_end(&name);
                }
            }
            7 if step > 20 => {
                let number = source.write_count();
                let backup_number = rng.random_range(number.saturating_sub(12).max(4)..=number);
                expected.last_restore = now;
                for (key, content) in source.restore(backup_number) {
                    rewrites.retain(|(_, other, _)| *other != key);
                    let wait = Span::from_milliseconds(rng.random_range(200..2_000));
                    rewrites.push((now + wait, key, content));
                }
            }
            8 if now.since(last_restart).milliseconds() > 4_000 => {
                let node = rng.random_range(0..9);
                fleet.restart(node);
                expected.highest_version[node] = 0;
                expected.known_leaving[node].clear();
                expected.connected_since[node] = now;
                last_restart = now;
            }
            9 => {
                let node = rng.random_range(0..9);
                if !source.unreachable.remove(&node) {
                    source.unreachable.insert(node);
                }
            }
            10 => {
                let node = rng.random_range(0..9);
                if !fleet.isolated_nodes.remove(&node) {
                    fleet.isolated_nodes.insert(node);
                }
            }
            _ => {}
        }
        for node in source.unreachable.iter().chain(&fleet.isolated_nodes) {
            expected.connected_since[*node] = now;
        }
        source.step(&mut fleet);
        expected.check(&fleet, seed);
    }
}
