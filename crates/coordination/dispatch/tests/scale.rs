//! The work of a node per request, change or tick does not grow with the number of back ends.

mod support;

use eiderferry_dispatch::{Change, Dispatcher, DocumentContent, DocumentKey, TICK};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::{
    START, back_end, back_end_change, demand, dispatcher_with_engines, engine_number, granted,
    version_vector_up_to,
};

/// Number of engines of a fleet of 300 nodes, and of one four times as large.
const LARGE_POOL: usize = 3_000;
const VERY_LARGE_POOL: usize = 12_000;
/// Requests per measurement.
const REQUESTS: u64 = 100;
/// Shared prefix of a prompt, in tokens.
const SHARED_TOKENS: u32 = 6_000;

/// Dispatches requests with different prompts, releasing each at once. Returns their engines.
fn place_prompts(subject: &mut Dispatcher, requests: u64) -> Vec<usize> {
    let prompts = 1..=requests;
    let place = |prompt| {
        let grant = granted(subject.dispatch(&demand(prompt, SHARED_TOKENS, 100), START));
        subject.release(grant.lease, eiderferry_dispatch::Outcome::Completed, START);
        engine_number(&grant)
    };
    prompts.map(place).collect()
}

/// Mean number of back ends examined per request.
fn examined_per_request(engines: usize) -> f64 {
    let mut subject = dispatcher_with_engines(engines);
    place_prompts(&mut subject, REQUESTS);
    subject.snapshot(START).examined_back_ends as f64 / REQUESTS as f64
}

#[test]
fn a_request_examines_no_more_back_ends_in_a_larger_pool() {
    let (large, very_large) = (
        examined_per_request(LARGE_POOL),
        examined_per_request(VERY_LARGE_POOL),
    );
    assert!(large < 300.0, "{large}");
    assert!(very_large < large * 1.5, "{large} and {very_large}");
}

#[rstest]
#[case::whole_pool(90)]
#[case::large_pool(LARGE_POOL)]
#[case::much_larger_pool(VERY_LARGE_POOL)]
fn nodes_without_contact_send_a_prompt_to_the_same_engine(#[case] engines: usize) {
    let first_engines = place_prompts(&mut dispatcher_with_engines(engines), REQUESTS);
    let mut other_node = dispatcher_with_engines(engines);
    // Advances its random number generator, so that it differs from that of the first node.
    place_prompts(&mut other_node, REQUESTS / 2);
    let second_engines = place_prompts(&mut other_node, REQUESTS);
    let same = first_engines
        .iter()
        .zip(&second_engines)
        .filter(|(one, two)| one == two)
        .count();
    assert!(same as u64 >= REQUESTS * 9 / 10, "{same} of {REQUESTS}");
}

#[test]
fn home_engines_are_spread_over_a_large_pool() {
    let placed = place_prompts(&mut dispatcher_with_engines(LARGE_POOL), LARGE_POOL as u64);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for engine in placed {
        *counts.entry(engine).or_default() += 1;
    }
    let max = counts.values().max().copied().unwrap_or_default();
    // Distributed at random, 3,000 prompts reach 1,896 engines, and none gets more than 8 or 9.
    assert!(counts.len() > LARGE_POOL / 2, "{} engines", counts.len());
    assert!(max <= 10, "{max} prompts at one engine");
}

/// When engines are replaced, only the prompts whose home engine was removed should move to
/// another one: otherwise each release would empty the caches of the fleet.
#[test]
fn few_home_engines_change_when_a_tenth_of_a_large_pool_is_replaced() {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    let before = place_prompts(&mut subject, REQUESTS);
    for number in 0..LARGE_POOL / 10 {
        let removed = InstanceId::from(format!("engine-{number}"));
        let change = Change {
            key: DocumentKey::BackEnd(removed),
            revision: 3.into(),
            content: DocumentContent::Removed,
        };
        subject.apply(change, START);
        let name = format!("engine-{}", LARGE_POOL + number);
        let new = back_end(&name, LARGE_POOL + number, 0);
        subject.apply(back_end_change(new, 3), START);
    }
    let later = START + Span::from_milliseconds(60_000);
    let after = place_prompts_at(&mut subject, later);
    let moved = before.iter().zip(&after).filter(|(one, two)| one != two);
    let moved = moved.count() as u64;
    assert!(moved <= REQUESTS * 3 / 10, "{moved} of {REQUESTS}");
}

fn place_prompts_at(subject: &mut Dispatcher, now: Timestamp) -> Vec<usize> {
    let prompts = 1..=REQUESTS;
    let place = |prompt| {
        engine_number(&granted(
            subject.dispatch(&demand(prompt, SHARED_TOKENS, 100), now),
        ))
    };
    prompts.map(place).collect()
}

/// A rarely requested prompt is found at the engine that computed it last, although that one is
/// neither its home engine nor sampled.
#[test]
fn an_engine_that_caches_a_prompt_is_found_in_a_large_pool() {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    let prompt = demand(7, SHARED_TOKENS, 100);
    let home = granted(subject.dispatch(&prompt, START));
    let mut excluding_home = prompt.clone();
    excluding_home
        .excluded_back_ends
        .push(home.instance.clone());
    let holder = granted(subject.dispatch(&excluding_home, START));
    let removed = Change {
        key: DocumentKey::BackEnd(home.instance.clone()),
        revision: 3.into(),
        content: DocumentContent::Removed,
    };
    subject.apply(removed, START);
    let later = START + Span::from_milliseconds(5_000);
    let third = granted(subject.dispatch(&prompt, later));
    let uses_holder = third.instance == holder.instance || third.copy_from == Some(holder.address);
    assert!(uses_holder, "{third:?} does not use {holder:?}");
}

/// A run whose engine is lost continues at the one engine that holds its replica.
#[test]
fn the_holder_of_a_replica_is_found_in_a_large_pool() {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    for number in 0..REQUESTS as usize {
        let mut takeover = demand(1 + number as u64, SHARED_TOKENS, 100);
        takeover.required_instance = Some(InstanceId::from(format!("engine-{number}")));
        let grant = granted(subject.dispatch(&takeover, START));
        assert_eq!(engine_number(&grant), number);
    }
}

/// Allocations for announcing one change by a node that knows `back_ends` back ends. Each copied
/// entry would count for several.
fn allocations_of_an_announcement(back_ends: usize) -> u64 {
    let mut subject = dispatcher_with_engines(back_ends);
    subject.announce(true, START);
    let change = back_end_change(back_end("engine-0", 0, 0), 3);
    subject.apply(change, START);
    subject.record_confirmation(&version_vector_up_to(3), START);
    let allocations = allocation_counter::measure(|| {
        let announcement = subject.announce(true, START);
        let batch = announcement.message.recent_changes.expect("the change");
        assert_eq!(batch.changes.len(), 1);
    });
    allocations.count_total
}

#[test]
fn announcing_a_change_allocates_no_more_when_more_back_ends_are_known() {
    let large = allocations_of_an_announcement(LARGE_POOL);
    let very_large = allocations_of_an_announcement(VERY_LARGE_POOL);
    assert!(large < 200, "{large} allocations");
    assert!(
        very_large < large * 3 / 2,
        "{large} and {very_large} allocations"
    );
}

/// Documents that a node includes in its announcement after a release has changed `changed` back
/// ends at once; `None` if it includes none.
fn announced_changes(changed: usize) -> Option<BTreeSet<DocumentKey>> {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    subject.announce(true, START);
    for number in 0..changed {
        let name = format!("engine-{number}");
        subject.apply(back_end_change(back_end(&name, number, 0), 3), START);
    }
    subject.record_confirmation(&version_vector_up_to(3), START);
    let batch = subject.announce(true, START).message.recent_changes?;
    Some(batch.changes.into_iter().map(|change| change.key).collect())
}

/// When 53 workers are replaced per second, some 64 changes occur between two polls of the
/// platform. Sent in the message itself, they cost a node one message instead of a connection and
/// a call to another node.
#[test]
fn the_changes_of_a_large_release_are_sent_with_the_announcement() {
    let announced = announced_changes(64);
    assert_eq!(announced.map(|announced| announced.len()), Some(64));
    assert_eq!(announced_changes(2_000), None);
}

/// Choosing the engines to follow takes a computation for each engine and each node of the zone,
/// too expensive to repeat in every tick.
#[test]
fn engines_to_follow_are_evaluated_only_after_changes() {
    let mut subject = dispatcher_with_engines(LARGE_POOL);
    let run = |subject: &mut Dispatcher, from: u64, ticks: u64| {
        let before = subject.snapshot(START).follow_evaluations;
        for tick in from..from + ticks {
            let now = Timestamp(START.0 + tick * TICK.0);
            if tick % 2 == 0 && from > 0 {
                let name = format!("engine-{tick}");
                let revision = 10 + tick;
                subject.apply(
                    back_end_change(back_end(&name, tick as usize, 0), revision),
                    now,
                );
            }
            subject.tick(now);
            subject.cache_calls(now);
        }
        subject.snapshot(START).follow_evaluations - before
    };
    let without_changes = run(&mut subject, 0, 100);
    assert!(
        (1..=4).contains(&without_changes),
        "{without_changes} evaluations in 10 s"
    );
    let during_release = run(&mut subject, 100, 100);
    assert!(
        (10..=21).contains(&during_release),
        "{during_release} evaluations in 10 s"
    );
}
