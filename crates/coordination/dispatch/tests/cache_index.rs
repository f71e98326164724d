//! Corrections of the assumed cache contents by what engines report. Each test covers one failure.

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
    Fleet, START, back_end, back_end_change, demand, dispatcher, dispatcher_with_engines, granted,
    node_address, table_change, version_vector_up_to,
};

/// The part that the prompts share, and its length in tokens.
const SHARED_PART: u64 = 7;
const SHARED_TOKENS: u32 = 5_000;
/// After this time a node knows which engines it follows, and the prefill of requests sent at the
/// start has ended.
const SETTLING_TIME: Span = Span::from_milliseconds(3_000);

fn engine() -> InstanceId {
    InstanceId::from("engine-0")
}

fn ms(milliseconds: u64) -> Span {
    Span::from_milliseconds(milliseconds)
}

/// Number of the next prompt. It is also the length of the part that only this prompt has.
static NEXT_PROMPT: AtomicU32 = AtomicU32::new(1);

/// Dispatches a request that begins with a shared part. Returns the tokens of that part that are
/// expected to be uncached, and the age of the engine's report that it has the part.
fn dispatch_shared(
    subject: &mut Dispatcher,
    shared_part: u64,
    now: Timestamp,
) -> (u32, Option<Span>) {
    let own = NEXT_PROMPT.fetch_add(1, Ordering::Relaxed);
    let grant = granted(subject.dispatch(&demand(shared_part, SHARED_TOKENS, own), now));
    (grant.uncached_tokens - own, grant.cache_observation_age)
}

/// Tokens of the shared part that are expected to be uncached for the next request.
fn uncached_shared_tokens(subject: &mut Dispatcher, now: Timestamp) -> u32 {
    dispatch_shared(subject, SHARED_PART, now).0
}

/// A node that sent the shared part to its only engine at the start and so assumes it is cached,
/// and a time three seconds later.
fn with_assumed_part() -> (Dispatcher, Timestamp) {
    let mut subject = dispatcher_with_engines(1);
    subject.tick(START);
    uncached_shared_tokens(&mut subject, START);
    (subject, START + SETTLING_TIME)
}

fn due_cache_calls(subject: &mut Dispatcher, now: Timestamp) -> Vec<CacheCall> {
    let due_calls = subject.cache_calls(now);
    due_calls.into_iter().map(|due| due.call).collect()
}

fn listing(parts: &[(u64, u32)]) -> CacheResponse {
    let cached_parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: PartId(*id),
        tokens: *tokens,
    });
    CacheResponse::Listing(CacheListing {
        epoch: 1,
        next_event: 10,
        parts: cached_parts.collect(),
    })
}

fn cache_events(epoch: u64, next_event: u64, events: &[(u64, u64, u32)]) -> CacheEvents {
    let events = events.iter().map(|(number, part, tokens)| CacheEvent {
        number: *number,
        part: PartId(*part),
        tokens: *tokens,
    });
    CacheEvents {
        epoch,
        next_event,
        has_gap: false,
        events: events.collect(),
    }
}

/// Makes the call that is due and handles a response to it.
fn answer_due_call(
    subject: &mut Dispatcher,
    response: CacheResponse,
    now: Timestamp,
) -> Option<CacheUpdate> {
    assert_eq!(subject.cache_calls(now).len(), 1, "one call is due");
    subject.handle_cache_response(&engine(), response, now)
}

/// Answers the next call with events.
fn answer_with_events(
    subject: &mut Dispatcher,
    reported: CacheEvents,
    now: Timestamp,
) -> Option<CacheUpdate> {
    answer_due_call(subject, CacheResponse::Events(reported), now)
}

#[test]
fn a_part_missing_from_the_listing_is_no_longer_assumed_cached() {
    let (mut subject, now) = with_assumed_part();
    let update = answer_due_call(&mut subject, listing(&[]), now).expect("an update");
    assert_eq!((update.stale, update.missing), (1, 0));
    assert_eq!(uncached_shared_tokens(&mut subject, now), SHARED_TOKENS);
}

#[test]
fn a_listed_part_is_confirmed_and_has_an_observation_age() {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, listing(&[(SHARED_PART, SHARED_TOKENS)]), now);
    let found = dispatch_shared(&mut subject, SHARED_PART, now + ms(40));
    assert_eq!(found, (0, Some(ms(40))));
}

#[rstest]
#[case::switched_off(false, 12)]
#[case::not_offered(true, 0)]
fn without_the_index_no_call_is_made_and_assumptions_stay(
    #[case] is_enabled: bool,
    #[case] max_calls: u32,
) {
    let features = Features {
        cache_index: is_enabled,
        ..Features::ALL
    };
    let mut subject = support::with_one_engine(features, max_calls);
    subject.tick(START);
    uncached_shared_tokens(&mut subject, START);
    let now = START + SETTLING_TIME;
    assert_eq!(due_cache_calls(&mut subject, now), []);
    let update = subject.handle_cache_response(&engine(), listing(&[]), now);
    assert_eq!(update, None);
    assert_eq!(dispatch_shared(&mut subject, SHARED_PART, now), (0, None));
}

#[test]
fn an_engine_is_listed_first_and_then_asked_for_later_events() {
    let (mut subject, now) = with_assumed_part();
    assert_eq!(due_cache_calls(&mut subject, now), [CacheCall::List]);
    subject.handle_cache_response(&engine(), listing(&[]), now);
    let call = CacheCall::Events {
        after: 10,
        wait: ms(1_000),
    };
    assert_eq!(due_cache_calls(&mut subject, now + ms(20_000)), [call]);
}

#[test]
fn an_engine_has_at_most_one_call_in_flight() {
    let (mut subject, now) = with_assumed_part();
    assert_eq!(subject.cache_calls(now).len(), 1);
    assert_eq!(subject.cache_calls(now + ms(60_000)), []);
}

#[test]
fn a_late_event_does_not_remove_a_part_that_was_just_sent() {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, listing(&[(SHARED_PART, SHARED_TOKENS)]), now);
    let later = now + ms(20_000);
    dispatch_shared(&mut subject, 8, later);
    let update = answer_with_events(&mut subject, cache_events(1, 10, &[]), later + ms(100))
        .expect("an update");
    assert_eq!(update.stale, 0);
    assert_eq!(dispatch_shared(&mut subject, 8, later + ms(200)).0, 0);
}

#[test]
fn a_gap_in_the_events_is_repaired_by_a_new_listing() {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, listing(&[(SHARED_PART, SHARED_TOKENS)]), now);
    let now = now + ms(20_000);
    let with_gap = CacheEvents {
        has_gap: true,
        ..cache_events(1, 40, &[])
    };
    let update = answer_with_events(&mut subject, with_gap, now).expect("an update on the gap");
    assert_eq!((update.stale, update.counts.gaps), (0, 1));
    assert_eq!(due_cache_calls(&mut subject, now), [CacheCall::List]);
    subject.handle_cache_response(&engine(), listing(&[]), now);
    assert_eq!(uncached_shared_tokens(&mut subject, now), SHARED_TOKENS);
}

#[test]
fn a_restarted_engine_is_listed_again() {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, listing(&[(SHARED_PART, SHARED_TOKENS)]), now);
    let now = now + ms(20_000);
    answer_with_events(
        &mut subject,
        cache_events(2, 3, &[(2, SHARED_PART, SHARED_TOKENS)]),
        now,
    );
    assert_eq!(due_cache_calls(&mut subject, now), [CacheCall::List]);
}

#[rstest]
#[case::in_order(&[(11, 0), (12, SHARED_TOKENS)], 0)]
#[case::out_of_order(&[(12, SHARED_TOKENS), (11, 0)], 0)]
#[case::doubled(&[(11, SHARED_TOKENS), (12, 0), (11, SHARED_TOKENS), (12, 0)], SHARED_TOKENS)]
#[case::older_than_the_listing(&[(3, 0)], 0)]
fn the_latest_event_of_a_part_decides(#[case] reported: &[(u64, u32)], #[case] expected: u32) {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, listing(&[(SHARED_PART, SHARED_TOKENS)]), now);
    let now = now + ms(20_000);
    let reported: Vec<(u64, u64, u32)> = reported
        .iter()
        .map(|(n, t)| (*n, SHARED_PART, *t))
        .collect();
    answer_with_events(&mut subject, cache_events(1, 13, &reported), now);
    assert_eq!(uncached_shared_tokens(&mut subject, now), expected);
}

#[rstest]
#[case::too_many_calls(CacheResponse::Refused)]
#[case::no_answer(CacheResponse::Failed)]
#[case::unknown_shape(CacheResponse::Malformed)]
fn a_failed_call_changes_nothing_and_is_retried_with_backoff(#[case] failure: CacheResponse) {
    let (mut subject, mut now) = with_assumed_part();
    for pause in [1_000, 2_000, 4_000] {
        assert_eq!(answer_due_call(&mut subject, failure.clone(), now), None);
        assert_eq!(due_cache_calls(&mut subject, now + ms(pause - 1)), []);
        now = now + ms(pause);
    }
    let counts = subject.snapshot(now).cache_counts;
    assert_eq!((counts.failed_calls, counts.listings), (3, 0));
    assert_eq!(uncached_shared_tokens(&mut subject, now), 0);
}

#[test]
fn calls_become_rare_when_they_correct_nothing() {
    let (mut subject, mut now) = with_assumed_part();
    let started = now;
    let mut call_count = 0;
    while now.since(started) < ms(100_000) {
        for due_call in subject.cache_calls(now) {
            call_count += 1;
            let response = match due_call.call {
                CacheCall::List => listing(&[(SHARED_PART, SHARED_TOKENS)]),
                CacheCall::Events { after, .. } => {
                    CacheResponse::Events(cache_events(1, after + 1, &[(after, 99, 500)]))
                }
            };
            subject.handle_cache_response(&due_call.instance, response, now);
        }
        now = now + TICK;
    }
    assert!(
        (3..=9).contains(&call_count),
        "{call_count} calls in 100 s without a correction"
    );
}

#[test]
fn corrections_per_response_are_bounded_and_the_remainder_follows() {
    let mut subject = dispatcher_with_engines(1);
    subject.tick(START);
    for shared_part in 100..140 {
        granted(subject.dispatch(&demand(shared_part, 1_000, 10), START));
        // Ticks send the placements, which makes room for further ones.
        (0..4).for_each(|_| drop(subject.tick(START)));
    }
    let mut now = START + ms(60_000);
    let mut corrected = 0;
    for _ in 0..8 {
        let response = match due_cache_calls(&mut subject, now)[..] {
            [CacheCall::List] => listing(&[]),
            _ => CacheResponse::Events(cache_events(1, 10, &[])),
        };
        let update = subject.handle_cache_response(&engine(), response, now);
        let stale = update.expect("an update").stale;
        assert!(stale <= 12, "{stale} corrections from one response");
        corrected += stale;
        (0..4).for_each(|_| drop(subject.tick(now)));
        now = now + ms(20_000);
    }
    assert_eq!(corrected, 40);
}

/// A second node of the same zone with the same assumptions as the first.
fn second_node() -> Dispatcher {
    let mut second = dispatcher(1, 0, vec![node_address(0)]);
    second.apply(table_change(1), START);
    second.apply(back_end_change(back_end("engine-0", 0, 0), 2), START);
    second.record_confirmation(&version_vector_up_to(2), START);
    second.tick(START);
    uncached_shared_tokens(&mut second, START);
    second
}

/// Two nodes that have heard each other: the one that follows the engine, the other one, and the
/// number of the follower.
fn connected_pair(now: Timestamp) -> (Dispatcher, Dispatcher, usize) {
    let (mut first, _) = with_assumed_part();
    let mut second = second_node();
    let message = first.gossip(false, now);
    second.receive(node_address(0), &message, now);
    let message = second.gossip(false, now);
    first.receive(node_address(1), &message, now);
    if first.cache_calls(now).is_empty() {
        (second, first, 1)
    } else {
        assert!(second.cache_calls(now).is_empty(), "one of them follows");
        (first, second, 0)
    }
}

#[test]
fn one_node_follows_an_engine_and_informs_the_other() {
    let now = START + SETTLING_TIME;
    let (mut follower, mut other, number) = connected_pair(now);
    follower.cache_calls(now);
    follower.handle_cache_response(&engine(), listing(&[]), now);
    let message = follower.gossip(false, now);
    other.receive(node_address(number), &message, now);
    assert_eq!(uncached_shared_tokens(&mut other, now), SHARED_TOKENS);
}

#[test]
fn another_node_follows_when_the_follower_is_silent() {
    let now = START + SETTLING_TIME;
    let (_, mut other, _) = connected_pair(now);
    let mut now = now;
    for _ in 0..100 {
        now = now + TICK;
        other.tick(now);
    }
    assert_eq!(due_cache_calls(&mut other, now), [CacheCall::List]);
}

#[test]
fn two_simultaneous_followers_reach_the_same_state() {
    let (mut first, now) = with_assumed_part();
    let mut second = second_node();
    answer_due_call(&mut first, listing(&[]), now);
    answer_due_call(&mut second, listing(&[]), now);
    let (first_message, second_message) = (first.gossip(false, now), second.gossip(false, now));
    second.receive(node_address(0), &first_message, now);
    first.receive(node_address(1), &second_message, now);
    assert_eq!(uncached_shared_tokens(&mut first, now), SHARED_TOKENS);
    assert_eq!(uncached_shared_tokens(&mut second, now), SHARED_TOKENS);
}

#[test]
fn after_a_pause_a_response_counts_as_the_current_state() {
    let (mut subject, now) = with_assumed_part();
    assert_eq!(subject.cache_calls(now).len(), 1);
    let resumed = now + ms(5_000);
    subject.resume_after_pause(resumed);
    let update =
        subject.handle_cache_response(&engine(), listing(&[(SHARED_PART, SHARED_TOKENS)]), resumed);
    assert_eq!(update.expect("an update").stale, 0);
    assert_eq!(uncached_shared_tokens(&mut subject, resumed), 0);
}

#[test]
fn a_draining_engine_is_no_longer_followed() {
    let (mut subject, now) = with_assumed_part();
    assert_eq!(subject.cache_calls(now).len(), 1);
    let mut leaving = back_end("engine-0", 0, 0);
    leaving.draining = true;
    subject.apply(back_end_change(leaving, 3), now);
    assert_eq!(due_cache_calls(&mut subject, now), []);
    assert!(!subject.follows_cache(&engine()));
    assert_eq!(
        subject.handle_cache_response(&engine(), listing(&[]), now),
        None
    );
}

/// The backoff that an engine asks for also applies to calls for its cache contents.
#[test]
fn an_engine_is_not_called_during_its_backoff() {
    let (mut subject, now) = with_assumed_part();
    let lease = granted(subject.dispatch(&demand(SHARED_PART, SHARED_TOKENS, 1), now)).lease;
    subject.record_backoff(lease, ms(1_000), now);
    assert_eq!(due_cache_calls(&mut subject, now + ms(999)), []);
    assert_eq!(due_cache_calls(&mut subject, now + ms(1_000)).len(), 1);
}

/// A rate-limited engine is overloaded, and its limit is reserved for requests.
#[test]
fn an_engine_is_not_called_while_it_is_rate_limited() {
    let (mut subject, now) = with_assumed_part();
    let lease = granted(subject.dispatch(&demand(SHARED_PART, SHARED_TOKENS, 1), now)).lease;
    subject.record_limit(lease, RateLimit::from_requests_per_second(1.0), now);
    subject.tick(now);
    assert_eq!(due_cache_calls(&mut subject, now + ms(999)), []);
    let later =
        granted(subject.dispatch(&demand(SHARED_PART, SHARED_TOKENS, 2), now + ms(1_000))).lease;
    subject.record_limit(later, None, now + ms(1_050));
    assert_eq!(due_cache_calls(&mut subject, now + ms(1_100)).len(), 1);
}

#[test]
fn engines_of_another_zone_are_not_followed() {
    let (mut subject, now) = with_assumed_part();
    subject.apply(back_end_change(back_end("engine-1", 1, 1), 3), now);
    let due_calls: Vec<DueCacheCall> = subject.cache_calls(now);
    assert_eq!(due_calls.len(), 1);
    assert_eq!(due_calls[0].instance, engine());
}

#[test]
fn after_a_restart_of_all_nodes_cached_parts_are_known_before_the_first_request() {
    let mut subject = dispatcher_with_engines(2);
    subject.tick(START);
    let now = START + ms(900);
    for due_call in subject.cache_calls(now) {
        let response = listing(&[(SHARED_PART, SHARED_TOKENS)]);
        subject.handle_cache_response(&due_call.instance, response, now);
    }
    assert_eq!(uncached_shared_tokens(&mut subject, now), 0);
}

#[test]
fn after_a_restart_one_request_makes_followers_announce_which_engines_cache_its_prompt() {
    let mut fleet = Fleet::new(4, 1);
    for number in 0..3 {
        let name = format!("engine-{number}");
        fleet.apply_source_change(0, back_end_change(back_end(&name, number, 0), 2), 2);
    }
    fleet.apply_source_change(0, table_change(3), 3);
    // Each engine gets one call, from one node.
    let mut called = BTreeSet::new();
    for _ in 0..12 {
        fleet.step();
        for node in &mut fleet.nodes {
            for due_call in node.cache_calls(fleet.now) {
                assert!(called.insert(due_call.instance.clone()), "listed once");
                let response = listing(&[(SHARED_PART, SHARED_TOKENS)]);
                node.handle_cache_response(&due_call.instance, response, fleet.now);
            }
        }
    }
    assert_eq!(called.len(), 3);
    let first = granted(fleet.nodes[3].dispatch(&demand(SHARED_PART, SHARED_TOKENS, 1), fleet.now));
    for _ in 0..8 {
        fleet.step();
        for node in &mut fleet.nodes {
            node.cache_calls(fleet.now);
        }
    }
    for node in &mut fleet.nodes {
        let mut elsewhere = demand(SHARED_PART, SHARED_TOKENS, 2);
        elsewhere.excluded_back_ends = vec![first.instance.clone()];
        let grant = granted(node.dispatch(&elsewhere, fleet.now));
        assert_eq!((grant.uncached_tokens, grant.copy_from), (2, None));
    }
}

#[test]
fn requests_are_granted_when_cache_calls_fail() {
    let (mut subject, now) = with_assumed_part();
    answer_due_call(&mut subject, CacheResponse::Failed, now);
    let decision = subject.dispatch(&demand(SHARED_PART, SHARED_TOKENS, 1), now);
    assert!(matches!(decision, Decision::Grant(_)));
}
