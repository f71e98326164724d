//! What a node does for a request, a change or a tick does not grow with the number of back ends.

mod support;

use eiderferry_dispatch::{Change, Dispatcher, DocumentContent, DocumentKey, TICK};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use support::{
    START, back_end, back_end_change, demand, engine_number, granted, known, with_engines,
};

/// Engines of a fleet of 300 nodes, and of one four times as large.
const MANY: usize = 3_000;
const FOUR_TIMES_AS_MANY: usize = 12_000;
/// Requests over which figures are taken.
const REQUESTS: u64 = 100;
/// Tokens of the shared part of a prompt.
const SHARED: u32 = 6_000;

/// Places requests, each with another prompt, and gives the places back. Returns the engines.
fn place(subject: &mut Dispatcher, requests: u64) -> Vec<usize> {
    let prompts = 1..=requests;
    let place = |prompt| {
        let grant = granted(subject.dispatch(&demand(prompt, SHARED, 100), START));
        subject.release(grant.lease, eiderferry_dispatch::Outcome::Completed, START);
        engine_number(&grant)
    };
    prompts.map(place).collect()
}

/// Back ends looked at for a request.
fn examined(engines: usize) -> f64 {
    let mut subject = with_engines(engines);
    place(&mut subject, REQUESTS);
    subject.snapshot(START).examined_back_ends as f64 / REQUESTS as f64
}

#[test]
fn a_request_looks_at_no_more_back_ends_in_a_larger_pool() {
    let (many, more) = (examined(MANY), examined(FOUR_TIMES_AS_MANY));
    assert!(many < 300.0, "{many}");
    assert!(more < many * 1.5, "{many} and {more}");
}

#[rstest]
#[case::whole_pool(90)]
#[case::large_pool(MANY)]
#[case::much_larger_pool(FOUR_TIMES_AS_MANY)]
fn nodes_that_hear_nothing_of_each_other_send_a_prompt_to_the_same_engine(#[case] engines: usize) {
    let one = place(&mut with_engines(engines), REQUESTS);
    let mut other_node = with_engines(engines);
    // It has drawn other numbers by now.
    place(&mut other_node, REQUESTS / 2);
    let two = place(&mut other_node, REQUESTS);
    let same = one.iter().zip(&two).filter(|(one, two)| one == two).count();
    assert!(same as u64 >= REQUESTS * 9 / 10, "{same} of {REQUESTS}");
}

#[test]
fn homes_are_spread_over_a_large_pool() {
    let placed = place(&mut with_engines(MANY), MANY as u64);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for engine in placed {
        *counts.entry(engine).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    // Thrown at random, 3,000 prompts reach 1,896 engines, and none gets more than 8 or 9.
    assert!(counts.len() > MANY / 2, "{} engines", counts.len());
    assert!(most <= 10, "{most} prompts at one engine");
}

/// Homes stay where they are while other engines come and go, but for those of the engines
/// that went: otherwise each release would empty the caches of the fleet.
#[test]
fn few_homes_move_when_a_tenth_of_a_large_pool_is_replaced() {
    let mut subject = with_engines(MANY);
    let before = place(&mut subject, REQUESTS);
    for number in 0..MANY / 10 {
        let gone = InstanceId::from(format!("engine-{number}"));
        let change = Change {
            key: DocumentKey::BackEnd(gone),
            revision: 3.into(),
            content: DocumentContent::Removed,
        };
        subject.apply(change, START);
        let name = format!("engine-{}", MANY + number);
        let new = back_end(&name, MANY + number, 0);
        subject.apply(back_end_change(new, 3), START);
    }
    let later = START + Span::from_milliseconds(60_000);
    let after = place_at(&mut subject, later);
    let moved = before.iter().zip(&after).filter(|(one, two)| one != two);
    let moved = moved.count() as u64;
    assert!(moved <= REQUESTS * 3 / 10, "{moved} of {REQUESTS}");
}

fn place_at(subject: &mut Dispatcher, now: Timestamp) -> Vec<usize> {
    let prompts = 1..=REQUESTS;
    let place = |prompt| {
        engine_number(&granted(
            subject.dispatch(&demand(prompt, SHARED, 100), now),
        ))
    };
    prompts.map(place).collect()
}

/// A prompt that few ask for is found at the engine that read it last, though that one is
/// neither its home nor drawn.
#[test]
fn an_engine_that_holds_a_prompt_is_found_in_a_large_pool() {
    let mut subject = with_engines(MANY);
    let prompt = demand(7, SHARED, 100);
    let home = granted(subject.dispatch(&prompt, START));
    let mut elsewhere = prompt.clone();
    elsewhere.excluded_back_ends.push(home.instance.clone());
    let holder = granted(subject.dispatch(&elsewhere, START));
    let gone = Change {
        key: DocumentKey::BackEnd(home.instance.clone()),
        revision: 3.into(),
        content: DocumentContent::Removed,
    };
    subject.apply(gone, START);
    let later = START + Span::from_milliseconds(5_000);
    let third = granted(subject.dispatch(&prompt, later));
    let is_kept = third.instance == holder.instance || third.copy_from == Some(holder.address);
    assert!(is_kept, "{third:?} does not use {holder:?}");
}

/// A run whose engine is lost goes on at the one engine that holds its replica.
#[test]
fn the_holder_of_a_replica_is_found_in_a_large_pool() {
    let mut subject = with_engines(MANY);
    for number in 0..REQUESTS as usize {
        let mut takeover = demand(1 + number as u64, SHARED, 100);
        takeover.required_instance = Some(InstanceId::from(format!("engine-{number}")));
        let grant = granted(subject.dispatch(&takeover, START));
        assert_eq!(engine_number(&grant), number);
    }
}

/// Allocations that passing on one change takes of a node that knows so many back ends: each
/// entry that is copied counts for several.
fn allocations_of_an_announcement(back_ends: usize) -> u64 {
    let mut subject = with_engines(back_ends);
    subject.announce(true, START);
    let change = back_end_change(back_end("engine-0", 0, 0), 3);
    subject.apply(change, START);
    subject.record_confirmation(&known(3), START);
    let counted = allocation_counter::measure(|| {
        let announcement = subject.announce(true, START);
        let news = announcement.message.recent_changes.expect("the change");
        assert_eq!(news.changes.len(), 1);
    });
    counted.count_total
}

#[test]
fn passing_a_change_on_costs_no_more_where_more_back_ends_are_known() {
    let many = allocations_of_an_announcement(MANY);
    let more = allocations_of_an_announcement(FOUR_TIMES_AS_MANY);
    assert!(many < 200, "{many} allocations");
    assert!(more < many * 3 / 2, "{many} and {more} allocations");
}

/// A node that knows so many back ends and hears of a release: so many of them changed at once.
fn news_of(changed: usize) -> Option<BTreeSet<DocumentKey>> {
    let mut subject = with_engines(MANY);
    subject.announce(true, START);
    for number in 0..changed {
        let name = format!("engine-{number}");
        subject.apply(back_end_change(back_end(&name, number, 0), 3), START);
    }
    subject.record_confirmation(&known(3), START);
    let news = subject.announce(true, START).message.recent_changes?;
    Some(news.changes.into_iter().map(|change| change.key).collect())
}

/// 53 workers that are replaced in each second leave some 64 changes between two looks at the
/// platform: told in the message itself they cost a node one message, and not a connection and
/// a call to another node.
#[test]
fn the_changes_of_a_large_release_travel_with_the_announcement() {
    let told = news_of(64);
    assert_eq!(told.map(|told| told.len()), Some(64));
    assert_eq!(news_of(2_000), None);
}

/// Which engines to follow is asked of each engine and each node of the zone: nothing to do again
/// in each tick.
#[test]
fn engines_to_follow_are_sought_when_something_has_changed() {
    let mut subject = with_engines(MANY);
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
    let calm = run(&mut subject, 0, 100);
    assert!((1..=4).contains(&calm), "{calm} looks in 10 s");
    let in_a_release = run(&mut subject, 100, 100);
    assert!(
        (10..=21).contains(&in_a_release),
        "{in_a_release} looks in 10 s"
    );
}
