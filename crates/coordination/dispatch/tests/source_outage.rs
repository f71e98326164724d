//! A removal is delayed only if its entry may have expired in an outage of the document source.

mod support;

use eiderferry_routing::InstanceId;
use eiderferry_types::Span;
use support::Fleet;
use support::source::Source;

const ENGINE: &str = "engine-0";
/// A node that reads the source as soon as it starts.
const SEED: usize = 0;
/// Time without confirmations after which an outage may have removed live back ends' entries.
const OUTAGE_MS: u64 = 4_000;
/// Time in which a removal that one node has read reaches all nodes.
const PROPAGATION_MS: u64 = 500;
/// Time within which live back ends write their expired entries again.
const GRACE_MS: u64 = 2_000;

fn settled_fleet(source: &mut Source) -> Fleet {
    let mut fleet = Fleet::new(7, 3);
    source.write_table(1);
    source.write_back_end(ENGINE, 0, false);
    source.write_back_end("engine-1", 1, false);
    source.run(&mut fleet, 10_000);
    fleet
}

fn nodes_that_use_the_engine(fleet: &Fleet) -> Vec<usize> {
    let instance = InstanceId::from(ENGINE);
    let running = (0..fleet.nodes.len()).filter(|node| !fleet.stopped_nodes.contains(node));
    running
        .filter(|node| fleet.nodes[*node].accepts_work(&instance))
        .collect()
}

/// Stops the nodes that have the reader role.
fn stop_readers(fleet: &mut Fleet) {
    let readers = fleet.readers();
    fleet.stopped_nodes.extend(readers);
}

/// Makes the source unreachable for these nodes, whose next call fails.
fn cut_off(source: &mut Source, fleet: &mut Fleet, nodes: &[usize]) {
    source.unreachable.extend(nodes);
    for node in nodes {
        fleet.nodes[*node].record_source_failure(fleet.now + Span::from_milliseconds(1));
    }
}

/// Guards against sending to a back end that left while no node read the source.
#[test]
fn a_removal_read_after_the_loss_of_all_readers_takes_effect_at_once() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    stop_readers(&mut fleet);
    fleet.run(OUTAGE_MS);
    source.remove_back_end(ENGINE);
    source.run(&mut fleet, PROPAGATION_MS);
    assert!(nodes_that_use_the_engine(&fleet).is_empty());
}

/// Guards against giving up live back ends after an outage, on the node that reads the removal and
/// on those that get it from a peer.
#[test]
fn a_removal_after_an_outage_has_a_grace_on_all_nodes_though_the_readers_died_in_it() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    let readers = fleet.readers();
    cut_off(&mut source, &mut fleet, &readers);
    fleet.run(1_000);
    stop_readers(&mut fleet);
    fleet.run(OUTAGE_MS);
    source.remove_back_end(ENGINE);
    source.run(&mut fleet, PROPAGATION_MS);
    assert_eq!(nodes_that_use_the_engine(&fleet).len(), 4);
    source.run(&mut fleet, GRACE_MS);
    assert!(nodes_that_use_the_engine(&fleet).is_empty());
}

#[test]
fn an_entry_written_again_within_the_grace_stays_in_use() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    let all: Vec<usize> = (0..7).collect();
    cut_off(&mut source, &mut fleet, &all);
    fleet.run(OUTAGE_MS);
    source.unreachable.clear();
    source.remove_back_end(ENGINE);
    source.run(&mut fleet, GRACE_MS - PROPAGATION_MS);
    source.write_back_end(ENGINE, 0, false);
    source.run(&mut fleet, GRACE_MS);
    assert_eq!(nodes_that_use_the_engine(&fleet).len(), 7);
}

#[test]
fn a_removal_long_after_an_outage_takes_effect_at_once() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    let all: Vec<usize> = (0..7).collect();
    cut_off(&mut source, &mut fleet, &all);
    fleet.run(OUTAGE_MS);
    source.unreachable.clear();
    source.run(&mut fleet, GRACE_MS);
    source.remove_back_end(ENGINE);
    source.run(&mut fleet, PROPAGATION_MS);
    assert!(nodes_that_use_the_engine(&fleet).is_empty());
}

/// Guards against taking a node's own path for the source: others had responses after its failure.
#[test]
fn failed_calls_of_one_reader_are_no_outage_while_others_are_answered() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    let cut_off_reader = fleet.readers()[0];
    cut_off(&mut source, &mut fleet, &[cut_off_reader]);
    source.run(&mut fleet, 1_000);
    let readers = fleet.readers();
    fleet.stopped_nodes.extend(
        readers
            .into_iter()
            .filter(|reader| *reader != cut_off_reader),
    );
    fleet.run(OUTAGE_MS);
    source.remove_back_end(ENGINE);
    source.run(&mut fleet, PROPAGATION_MS);
    assert!(nodes_that_use_the_engine(&fleet).is_empty());
}

/// Guards against a lost removal: a node that has started lists the documents and so knows no earlier
/// removals, but its peers take what it passes on for complete.
#[test]
fn a_removal_reaches_nodes_whose_first_news_come_from_a_node_that_has_started_since() {
    let mut source = Source::default();
    let mut fleet = settled_fleet(&mut source);
    stop_readers(&mut fleet);
    fleet.stopped_nodes.insert(SEED);
    source.remove_back_end(ENGINE);
    source.write_back_end("engine-2", 2, false);
    fleet.stopped_nodes.remove(&SEED);
    fleet.restart(SEED);
    // The source responds before the peers do.
    fleet.isolated_nodes.insert(SEED);
    source.run(&mut fleet, 100);
    fleet.isolated_nodes.remove(&SEED);
    source.run(&mut fleet, 3_000);
    assert!(nodes_that_use_the_engine(&fleet).is_empty());
}
