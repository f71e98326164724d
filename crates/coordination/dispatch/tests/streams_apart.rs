//! Some engines of a large pool are kept for streams that long prompts make late.

mod support;

use eiderferry_dispatch::{Decision, Demand, Dispatcher, TICK};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;
use support::{START, demand, granted, with_engines};

const LARGE_POOL: usize = 320;
const SMALL_POOL: usize = 30;

/// A short prompt whose stream must not pause.
fn sensitive(thing: u64) -> Demand {
    Demand {
        pause_target: Some(Span::from_milliseconds(200)),
        target: Span::from_milliseconds(1_500),
        ..demand(thing, 300, 900)
    }
}

/// Engines on which so many streams are placed.
fn engines_of_streams(subject: &mut Dispatcher, streams: u64, now: Timestamp) -> BTreeSet<String> {
    let placed = (0..streams).map(|thing| granted(subject.ask(&sensitive(thing), now)));
    placed
        .map(|grant| grant.instance.as_str().to_owned())
        .collect()
}

/// A dispatcher that has seen such streams for a while.
fn with_streams(engines: usize) -> Dispatcher {
    let mut subject = with_engines(engines);
    engines_of_streams(&mut subject, 600, START);
    for tick in 1..=20 {
        subject.tick(START + TICK * tick);
    }
    subject
}

fn engine_of(subject: &mut Dispatcher, demand: &Demand, now: Timestamp) -> String {
    match subject.ask(demand, now) {
        Decision::Grant(grant) => grant.instance.as_str().to_owned(),
        refused => panic!("{refused:?}"),
    }
}

/// Engines to which long prompts and streams both go.
fn shared_engines(engines: usize) -> usize {
    let mut subject = with_streams(engines);
    let now = START + TICK * 20;
    let streaming = engines_of_streams(&mut subject, 200, now);
    let long =
        (10_000..10_300).map(|thing| engine_of(&mut subject, &demand(thing, 13_000, 900), now));
    let long: BTreeSet<String> = long.collect();
    long.intersection(&streaming).count()
}

#[test]
fn long_prompts_and_sensitive_streams_have_engines_of_their_own_in_a_large_pool() {
    assert_eq!(shared_engines(LARGE_POOL), 0);
}

#[test]
fn a_small_pool_is_not_split() {
    assert!(shared_engines(SMALL_POOL) > 0);
}

#[test]
fn all_nodes_keep_the_same_engines_for_streams() {
    let now = START + TICK * 20;
    let (mut one, mut two) = (with_streams(LARGE_POOL), with_streams(LARGE_POOL));
    let first = engines_of_streams(&mut one, 40, now);
    let second = engines_of_streams(&mut two, 40, now);
    // Drawn from all engines, the 80 streams would run on 70.
    let all: BTreeSet<&String> = first.union(&second).collect();
    assert!(all.len() <= LARGE_POOL / 6, "{} engines", all.len());
}

#[test]
fn without_sensitive_streams_every_engine_is_a_home() {
    let mut subject = with_engines(LARGE_POOL);
    let engines: BTreeSet<String> = (0..3_000)
        .map(|thing| engine_of(&mut subject, &demand(thing, 2_000, 100), START))
        .collect();
    assert!(engines.len() > LARGE_POOL * 95 / 100, "{}", engines.len());
}
