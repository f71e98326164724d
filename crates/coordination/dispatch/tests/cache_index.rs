//! What engines tell of their caches corrects what is believed; one failure a test.

mod support;

use eiderferry_dispatch::{
    CacheCall, CacheEvent, CacheEvents, CacheListing, CacheResponse, CacheUpdate, Decision,
    Dispatcher, DueCacheCall, Features, PromptPart, RateLimit, TICK,
};
use eiderferry_routing::{InstanceId, PartId};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};
use support::{
    Fleet, START, back_end, back_end_change, demand, dispatcher, granted, known, node_address,
    table_change, with_engines,
};

/// The shared part of the prompts, and its length.
const THING: u64 = 7;
const SHARED: u32 = 5_000;
/// After this a node knows whom it follows, and what was sent at the start has been read.
const SETTLED: Span = Span::from_milliseconds(3_000);

fn engine() -> InstanceId {
    InstanceId::from("engine-0")
}

fn ms(milliseconds: u64) -> Span {
    Span::from_milliseconds(milliseconds)
}

/// Prompts so far: each has a part of its own.
static PROMPTS: AtomicU32 = AtomicU32::new(1);

/// Tokens of a shared part that a request beginning with it is expected to read, and how long
/// ago the engine told that it keeps it.
fn asked(subject: &mut Dispatcher, thing: u64, now: Timestamp) -> (u32, Option<Span>) {
    let own = PROMPTS.fetch_add(1, Ordering::Relaxed);
    let grant = granted(subject.dispatch(&demand(thing, SHARED, own), now));
    (grant.uncached_tokens - own, grant.cache_observation_age)
}

/// Tokens of the shared part that the next request is expected to read.
fn uncached(subject: &mut Dispatcher, now: Timestamp) -> u32 {
    asked(subject, THING, now).0
}

/// A node that sent the shared part to its only engine at the start, three seconds later.
fn believing() -> (Dispatcher, Timestamp) {
    let mut subject = with_engines(1);
    subject.tick(START);
    uncached(&mut subject, START);
    (subject, START + SETTLED)
}

fn calls(subject: &mut Dispatcher, now: Timestamp) -> Vec<CacheCall> {
    let orders = subject.cache_calls(now);
    orders.into_iter().map(|order| order.call).collect()
}

fn listing(parts: &[(u64, u32)]) -> CacheResponse {
    let kept = parts.iter().map(|(id, tokens)| PromptPart {
        id: PartId(*id),
        tokens: *tokens,
    });
    CacheResponse::Listing(CacheListing {
        epoch: 1,
        next: 10,
        kept: kept.collect(),
    })
}

fn report(epoch: u64, next: u64, events: &[(u64, u64, u32)]) -> CacheEvents {
    let events = events.iter().map(|(number, part, tokens)| CacheEvent {
        number: *number,
        part: PartId(*part),
        tokens: *tokens,
    });
    CacheEvents {
        epoch,
        next,
        has_gap: false,
        events: events.collect(),
    }
}

/// Makes the call that is due and answers it.
fn answer(subject: &mut Dispatcher, answer: CacheResponse, now: Timestamp) -> Option<CacheUpdate> {
    assert_eq!(subject.cache_calls(now).len(), 1, "one call is due");
    subject.handle_cache_response(&engine(), answer, now)
}

/// Hands events over with the next call.
fn events(subject: &mut Dispatcher, told: CacheEvents, now: Timestamp) -> Option<CacheUpdate> {
    answer(subject, CacheResponse::Events(told), now)
}

#[test]
fn a_part_that_the_engine_dropped_is_not_expected_there() {
    let (mut subject, now) = believing();
    let news = answer(&mut subject, listing(&[]), now).expect("news");
    assert_eq!((news.stale, news.missing), (1, 0));
    assert_eq!(uncached(&mut subject, now), SHARED);
}

#[test]
fn a_part_that_the_engine_holds_is_known_and_not_only_believed() {
    let (mut subject, now) = believing();
    answer(&mut subject, listing(&[(THING, SHARED)]), now);
    let found = asked(&mut subject, THING, now + ms(40));
    assert_eq!(found, (0, Some(ms(40))));
}

#[rstest]
#[case::switched_off(false, 12)]
#[case::not_offered(true, 0)]
fn nothing_is_asked_and_belief_stays_without_the_index(#[case] is_on: bool, #[case] most: u32) {
    let features = Features {
        cache_index: is_on,
        ..Features::ALL
    };
    let mut subject = support::with_features(features, most);
    subject.tick(START);
    uncached(&mut subject, START);
    let now = START + SETTLED;
    assert_eq!(calls(&mut subject, now), []);
    let news = subject.handle_cache_response(&engine(), listing(&[]), now);
    assert_eq!(news, None);
    assert_eq!(asked(&mut subject, THING, now), (0, None));
}

#[test]
fn an_engine_is_listed_first_and_then_asked_for_what_follows() {
    let (mut subject, now) = believing();
    assert_eq!(calls(&mut subject, now), [CacheCall::List]);
    subject.handle_cache_response(&engine(), listing(&[]), now);
    let call = CacheCall::Events {
        after: 10,
        wait: ms(1_000),
    };
    assert_eq!(calls(&mut subject, now + ms(20_000)), [call]);
}

#[test]
fn there_are_never_two_calls_at_one_engine() {
    let (mut subject, now) = believing();
    assert_eq!(subject.cache_calls(now).len(), 1);
    assert_eq!(subject.cache_calls(now + ms(60_000)), []);
}

#[test]
fn an_event_that_is_late_does_not_contradict_what_was_just_sent() {
    let (mut subject, now) = believing();
    answer(&mut subject, listing(&[(THING, SHARED)]), now);
    let later = now + ms(20_000);
    asked(&mut subject, 8, later);
    let news = events(&mut subject, report(1, 10, &[]), later + ms(100)).expect("news");
    assert_eq!(news.stale, 0);
    assert_eq!(asked(&mut subject, 8, later + ms(200)).0, 0);
}

#[test]
fn an_event_that_never_comes_is_made_up_for_by_a_listing_after_the_gap() {
    let (mut subject, now) = believing();
    answer(&mut subject, listing(&[(THING, SHARED)]), now);
    let now = now + ms(20_000);
    let lost = CacheEvents {
        has_gap: true,
        ..report(1, 40, &[])
    };
    let news = events(&mut subject, lost, now).expect("news of a gap");
    assert_eq!((news.stale, news.counts.gaps), (0, 1));
    assert_eq!(calls(&mut subject, now), [CacheCall::List]);
    subject.handle_cache_response(&engine(), listing(&[]), now);
    assert_eq!(uncached(&mut subject, now), SHARED);
}

#[test]
fn an_engine_that_restarted_is_listed_anew() {
    let (mut subject, now) = believing();
    answer(&mut subject, listing(&[(THING, SHARED)]), now);
    let now = now + ms(20_000);
    events(&mut subject, report(2, 3, &[(2, THING, SHARED)]), now);
    assert_eq!(calls(&mut subject, now), [CacheCall::List]);
}

#[rstest]
#[case::in_order(&[(11, 0), (12, SHARED)], 0)]
#[case::out_of_order(&[(12, SHARED), (11, 0)], 0)]
#[case::doubled(&[(11, SHARED), (12, 0), (11, SHARED), (12, 0)], SHARED)]
#[case::older_than_the_listing(&[(3, 0)], 0)]
fn the_latest_event_of_a_part_counts(#[case] told: &[(u64, u32)], #[case] expected: u32) {
    let (mut subject, now) = believing();
    answer(&mut subject, listing(&[(THING, SHARED)]), now);
    let now = now + ms(20_000);
    let told: Vec<(u64, u64, u32)> = told.iter().map(|(n, t)| (*n, THING, *t)).collect();
    events(&mut subject, report(1, 13, &told), now);
    assert_eq!(uncached(&mut subject, now), expected);
}

#[rstest]
#[case::too_many_calls(CacheResponse::Refused)]
#[case::no_answer(CacheResponse::Failed)]
#[case::unknown_shape(CacheResponse::Malformed)]
fn a_call_in_vain_changes_nothing_and_is_repeated_ever_later(#[case] vain: CacheResponse) {
    let (mut subject, mut now) = believing();
    for pause in [1_000, 2_000, 4_000] {
        assert_eq!(answer(&mut subject, vain.clone(), now), None);
        assert_eq!(calls(&mut subject, now + ms(pause - 1)), []);
        now = now + ms(pause);
    }
    let counts = subject.snapshot(now).cache_counts;
    assert_eq!((counts.failed_calls, counts.listings), (3, 0));
    assert_eq!(uncached(&mut subject, now), 0);
}

#[test]
fn the_pace_follows_what_it_gains_down_to_nothing() {
    let (mut subject, mut now) = believing();
    let begun = now;
    let mut made = 0;
    while now.since(begun) < ms(100_000) {
        for order in subject.cache_calls(now) {
            made += 1;
            let told = match order.call {
                CacheCall::List => listing(&[(THING, SHARED)]),
                CacheCall::Events { after, .. } => {
                    CacheResponse::Events(report(1, after + 1, &[(after, 99, 500)]))
                }
            };
            subject.handle_cache_response(&order.instance, told, now);
        }
        now = now + TICK;
    }
    assert!(
        (3..=9).contains(&made),
        "{made} calls in 100 s without a gain"
    );
}

#[test]
fn corrections_are_bounded_and_the_rest_follows() {
    let mut subject = with_engines(1);
    subject.tick(START);
    for thing in 100..140 {
        granted(subject.dispatch(&demand(thing, 1_000, 10), START));
        // Placements are told, and make room for further ones.
        (0..4).for_each(|_| drop(subject.tick(START)));
    }
    let mut now = START + ms(60_000);
    let mut gone = 0;
    for _ in 0..8 {
        let told = match calls(&mut subject, now)[..] {
            [CacheCall::List] => listing(&[]),
            _ => CacheResponse::Events(report(1, 10, &[])),
        };
        let news = subject.handle_cache_response(&engine(), told, now);
        let told = news.expect("news").stale;
        assert!(told <= 12, "{told} in one answer");
        gone += told;
        (0..4).for_each(|_| drop(subject.tick(now)));
        now = now + ms(20_000);
    }
    assert_eq!(gone, 40);
}

/// A second node of the same zone that believes as the first does.
fn second() -> Dispatcher {
    let mut second = dispatcher(1, 0, vec![node_address(0)]);
    second.apply(table_change(1), START);
    second.apply(back_end_change(back_end("engine-0", 0, 0), 2), START);
    second.record_confirmation(&known(2), START);
    second.tick(START);
    uncached(&mut second, START);
    second
}

/// Both nodes hear each other; returns the one that follows and the other.
fn pair(now: Timestamp) -> (Dispatcher, Dispatcher, usize) {
    let (mut first, _) = believing();
    let mut second = second();
    let greeting = first.gossip(false, now);
    second.receive(node_address(0), &greeting, now);
    let greeting = second.gossip(false, now);
    first.receive(node_address(1), &greeting, now);
    if first.cache_calls(now).is_empty() {
        (second, first, 1)
    } else {
        assert!(second.cache_calls(now).is_empty(), "one of them follows");
        (first, second, 0)
    }
}

#[test]
fn one_node_follows_and_tells_the_other() {
    let now = START + SETTLED;
    let (mut follower, mut other, number) = pair(now);
    follower.cache_calls(now);
    follower.handle_cache_response(&engine(), listing(&[]), now);
    let message = follower.gossip(false, now);
    other.receive(node_address(number), &message, now);
    assert_eq!(uncached(&mut other, now), SHARED);
}

#[test]
fn the_next_node_follows_where_the_follower_is_silent() {
    let now = START + SETTLED;
    let (_, mut other, _) = pair(now);
    let mut now = now;
    for _ in 0..100 {
        now = now + TICK;
        other.tick(now);
    }
    assert_eq!(calls(&mut other, now), [CacheCall::List]);
}

#[test]
fn two_followers_at_once_come_to_the_same() {
    let (mut first, now) = believing();
    let mut second = second();
    answer(&mut first, listing(&[]), now);
    answer(&mut second, listing(&[]), now);
    let (told, repeated) = (first.gossip(false, now), second.gossip(false, now));
    second.receive(node_address(0), &told, now);
    first.receive(node_address(1), &repeated, now);
    assert_eq!(uncached(&mut first, now), SHARED);
    assert_eq!(uncached(&mut second, now), SHARED);
}

#[test]
fn a_follower_that_stood_still_takes_the_answer_as_the_state_of_now() {
    let (mut subject, now) = believing();
    assert_eq!(subject.cache_calls(now).len(), 1);
    let woken = now + ms(5_000);
    subject.resume_after_pause(woken);
    let news = subject.handle_cache_response(&engine(), listing(&[(THING, SHARED)]), woken);
    assert_eq!(news.expect("news").stale, 0);
    assert_eq!(uncached(&mut subject, woken), 0);
}

#[test]
fn a_draining_engine_is_not_followed_any_more() {
    let (mut subject, now) = believing();
    assert_eq!(subject.cache_calls(now).len(), 1);
    let mut leaving = back_end("engine-0", 0, 0);
    leaving.draining = true;
    subject.apply(back_end_change(leaving, 3), now);
    assert_eq!(calls(&mut subject, now), []);
    assert!(!subject.follows_cache(&engine()));
    assert_eq!(
        subject.handle_cache_response(&engine(), listing(&[]), now),
        None
    );
}

/// It wants nothing from this node, also no calls for what it keeps.
#[test]
fn an_engine_that_asked_for_a_rest_is_not_called_in_it() {
    let (mut subject, now) = believing();
    let lease = granted(subject.dispatch(&demand(THING, SHARED, 1), now)).lease;
    subject.record_backoff(lease, ms(1_000), now);
    assert_eq!(calls(&mut subject, now + ms(999)), []);
    assert_eq!(calls(&mut subject, now + ms(1_000)).len(), 1);
}

/// It is in need, and its limit is kept for requests.
#[test]
fn an_engine_under_a_rate_limit_is_not_called_until_it_is_over() {
    let (mut subject, now) = believing();
    let lease = granted(subject.dispatch(&demand(THING, SHARED, 1), now)).lease;
    subject.record_limit(lease, RateLimit::from_requests_per_second(1.0), now);
    subject.tick(now);
    assert_eq!(calls(&mut subject, now + ms(999)), []);
    let later = granted(subject.dispatch(&demand(THING, SHARED, 2), now + ms(1_000))).lease;
    subject.record_limit(later, None, now + ms(1_050));
    assert_eq!(calls(&mut subject, now + ms(1_100)).len(), 1);
}

#[test]
fn engines_of_another_zone_are_left_to_its_own_nodes() {
    let (mut subject, now) = believing();
    subject.apply(back_end_change(back_end("engine-1", 1, 1), 3), now);
    let orders: Vec<DueCacheCall> = subject.cache_calls(now);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].instance, engine());
}

#[test]
fn after_a_loss_of_all_nodes_what_engines_keep_is_known_from_the_first_request_on() {
    let mut subject = with_engines(2);
    subject.tick(START);
    let now = START + ms(900);
    for order in subject.cache_calls(now) {
        let told = listing(&[(THING, SHARED)]);
        subject.handle_cache_response(&order.instance, told, now);
    }
    assert_eq!(uncached(&mut subject, now), 0);
}

#[test]
fn after_a_loss_a_request_at_one_node_makes_the_followers_tell_all_who_keep_its_beginning() {
    let mut fleet = Fleet::new(4, 1);
    for number in 0..3 {
        let name = format!("engine-{number}");
        fleet.read_change(0, back_end_change(back_end(&name, number, 0), 2), 2);
    }
    fleet.read_change(0, table_change(3), 3);
    // One call at each engine, and no two nodes at one.
    let mut asked = BTreeSet::new();
    for _ in 0..12 {
        fleet.step();
        for node in &mut fleet.nodes {
            for order in node.cache_calls(fleet.now) {
                assert!(asked.insert(order.instance.clone()), "listed once");
                let told = listing(&[(THING, SHARED)]);
                node.handle_cache_response(&order.instance, told, fleet.now);
            }
        }
    }
    assert_eq!(asked.len(), 3);
    let first = granted(fleet.nodes[3].dispatch(&demand(THING, SHARED, 1), fleet.now));
    for _ in 0..8 {
        fleet.step();
        for node in &mut fleet.nodes {
            node.cache_calls(fleet.now);
        }
    }
    for node in &mut fleet.nodes {
        let mut elsewhere = demand(THING, SHARED, 2);
        elsewhere.excluded_back_ends = vec![first.instance.clone()];
        let grant = granted(node.dispatch(&elsewhere, fleet.now));
        assert_eq!((grant.uncached_tokens, grant.copy_from), (2, None));
    }
}

#[test]
fn nothing_is_refused_for_lack_of_word_from_engines() {
    let (mut subject, now) = believing();
    answer(&mut subject, CacheResponse::Failed, now);
    let decision = subject.dispatch(&demand(THING, SHARED, 1), now);
    assert!(matches!(decision, Decision::Grant(_)));
}
