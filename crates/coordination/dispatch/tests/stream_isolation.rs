//! Some engines of a large pool are reserved for streams that long prompts would delay.

mod support;

use eiderferry_dispatch::{Decision, Demand, Dispatcher, Features, Grant, Outcome, TICK};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;
use support::{
    START, demand, dispatcher_with_engines, dispatcher_with_engines_and_features, granted,
};

const LARGE_POOL: usize = 320;
const SMALL_POOL: usize = 30;
/// Without the split by load, a fixed share of the engines is reserved for streams.
const FIXED_SHARE: Features = Features {
    pool_split: false,
    ..Features::ALL
};

/// A request with a short prompt whose stream has a tight target for the gaps between events.
fn sensitive_stream(prompt: u64) -> Demand {
    Demand {
        event_gap_target: Some(Span::from_milliseconds(200)),
        target: Span::from_milliseconds(1_500),
        ..demand(prompt, 300, 900)
    }
}

/// Dispatches `streams` sensitive streams.
fn place_streams(subject: &mut Dispatcher, streams: u64, now: Timestamp) -> Vec<Grant> {
    let placed =
        (0..streams).map(|prompt| granted(subject.dispatch(&sensitive_stream(prompt), now)));
    placed.collect()
}

/// A dispatcher whose sensitive streams ran for 20 ticks and have just ended.
fn dispatcher_after_streams(engines: usize) -> Dispatcher {
    let mut subject = dispatcher_with_engines_and_features(engines, FIXED_SHARE);
    let placed = place_streams(&mut subject, 600, START);
    for tick in 1..=20 {
        subject.tick(START + TICK * tick);
    }
    for grant in placed {
        subject.release(grant.lease, Outcome::Completed, START + TICK * 20);
    }
    subject
}

fn engine_of(subject: &mut Dispatcher, demand: &Demand, now: Timestamp) -> String {
    match subject.dispatch(demand, now) {
        Decision::Grant(grant) => grant.instance.as_str().to_owned(),
        refused => panic!("{refused:?}"),
    }
}

/// Number of engines to which one node sends streams and the other sends long prompts.
fn shared_engines(first_node: &mut Dispatcher, second_node: &mut Dispatcher) -> usize {
    let now = START + TICK * 20;
    let stream_engines = place_streams(first_node, 60, now);
    let stream_engines: BTreeSet<String> = stream_engines
        .iter()
        .map(|grant| grant.instance.as_str().to_owned())
        .collect();
    let long_prompt_engines: BTreeSet<String> = (10_000..10_300)
        .map(|prompt| engine_of(second_node, &demand(prompt, 13_000, 900), now))
        .collect();
    long_prompt_engines.intersection(&stream_engines).count()
}

#[test]
fn all_nodes_reserve_the_same_engines_of_a_large_pool_for_streams() {
    let (mut first_node, mut second_node) = (
        dispatcher_after_streams(LARGE_POOL),
        dispatcher_after_streams(LARGE_POOL),
    );
    assert_eq!(shared_engines(&mut first_node, &mut second_node), 0);
}

#[test]
fn a_small_pool_is_not_split() {
    let (mut first_node, mut second_node) = (
        dispatcher_after_streams(SMALL_POOL),
        dispatcher_after_streams(SMALL_POOL),
    );
    assert!(shared_engines(&mut first_node, &mut second_node) > 0);
}

#[test]
fn without_sensitive_streams_no_engine_is_reserved() {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    let engines: BTreeSet<String> = (0..3_000)
        .map(|prompt| engine_of(&mut subject, &demand(prompt, 2_000, 100), START))
        .collect();
    assert!(engines.len() > LARGE_POOL * 95 / 100, "{}", engines.len());
}
