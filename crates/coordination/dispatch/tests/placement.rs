//! Selection of the back end for a request.

mod support;

use eiderferry_dispatch::{
    Change, Decision, Demand, Dispatcher, DocumentContent, Features, HealthChange, Outcome,
    StreamPacing,
};
use eiderferry_routing::{InstanceId, PoolName, Route, RouteKind, TrafficSplit};
use eiderferry_types::{Reason, Span};
use std::collections::{BTreeMap, BTreeSet};
use support::{
    START, back_end, back_end_address, back_end_change, demand, dispatcher_with_engines,
    expired_change, granted, table_change,
};

#[test]
fn requests_with_the_same_prefix_go_to_the_same_engine() {
    let mut subject = dispatcher_with_engines(9);
    for prompt in 1..20 {
        let mut engines = BTreeSet::new();
        for own in 0..5 {
            let grant = granted(subject.dispatch(&demand(prompt, 13_000, 400 + own), START));
            subject.record_first_event(grant.lease, START);
            subject.release(grant.lease, Outcome::Completed, START);
            engines.insert(grant.instance);
        }
        assert_eq!(engines.len(), 1, "prompt {prompt}");
    }
}

#[test]
fn two_nodes_without_contact_choose_the_same_engine() {
    let (mut first_node, mut second_node) =
        (dispatcher_with_engines(9), dispatcher_with_engines(9));
    for prompt in 1..50 {
        let first = granted(first_node.dispatch(&demand(prompt, 13_000, 400), START));
        let second = granted(second_node.dispatch(&demand(prompt, 13_000, 800), START));
        assert_eq!(first.instance, second.instance, "prompt {prompt}");
        first_node.release(first.lease, Outcome::Completed, START);
        second_node.release(second.lease, Outcome::Completed, START);
    }
}

#[test]
fn a_prefix_is_not_copied_from_an_engine_that_is_still_computing_it() {
    let mut subject = dispatcher_with_engines(3);
    let first = granted(subject.dispatch(&demand(1, 13_000, 400), START));
    let before = START + Span(first.candidate.time_to_first_event.0 - 1);
    for own in 0..40 {
        let grant = granted(subject.dispatch(&demand(1, 13_000, 6_000 + own), before));
        assert_eq!(grant.copy_from, None);
    }
}

#[test]
fn a_prefix_in_high_demand_spreads_and_is_copied() {
    let mut subject = dispatcher_with_engines(3);
    let first = granted(subject.dispatch(&demand(1, 13_000, 400), START));
    let now = START + first.candidate.time_to_first_event;
    let mut copies = 0;
    for own in 0..40 {
        let grant = granted(subject.dispatch(&demand(1, 13_000, 6_000 + own), now));
        if let Some(source) = grant.copy_from {
            assert_ne!(grant.instance, first.instance);
            assert_eq!(source, first.address);
            copies += 1;
        }
    }
    assert!(
        (1..=2).contains(&copies),
        "{copies} copies; each other engine needs one"
    );
}

#[test]
fn a_short_prefix_is_copied_too() {
    let mut subject = dispatcher_with_engines(2);
    let first = granted(subject.dispatch(&demand(1, 300, 400), START));
    let mut excluding_first = demand(1, 300, 500);
    excluding_first.excluded_back_ends = vec![first.instance];
    let later = START + Span::from_milliseconds(2_000);
    let second = granted(subject.dispatch(&excluding_first, later));
    assert_eq!(second.copy_from, Some(first.address));
    assert_eq!(second.uncached_tokens, 500);
}

#[test]
fn a_back_end_whose_entry_expired_serves_until_its_grace_period_ends() {
    let mut subject = dispatcher_with_engines(1);
    subject.tick(START);
    subject.apply(expired_change("engine-0", 3), START);
    granted(subject.dispatch(&demand(1, 13_000, 400), START));
    subject.tick(START + Span::from_milliseconds(1_900));
    granted(subject.dispatch(&demand(1, 13_000, 500), START));
    let overdue = START + Span::from_milliseconds(2_000);
    subject.tick(overdue);
    let decision = subject.dispatch(&demand(1, 13_000, 600), overdue);
    assert!(matches!(decision, Decision::Refuse(Reason::NoBackEnd, _)));
}

#[test]
fn a_shorter_remaining_grace_period_removes_an_expired_back_end_sooner() {
    let mut subject = dispatcher_with_engines(1);
    subject.tick(START);
    let mut change = expired_change("engine-0", 3);
    change.content = DocumentContent::Expired(Span::from_milliseconds(500));
    subject.apply(change, START);
    let later = START + Span::from_milliseconds(500);
    subject.tick(later);
    let decision = subject.dispatch(&demand(1, 13_000, 600), later);
    assert!(matches!(decision, Decision::Refuse(Reason::NoBackEnd, _)));
}

#[test]
fn a_relisted_back_end_keeps_its_recorded_cache_contents() {
    let mut subject = dispatcher_with_engines(1);
    subject.tick(START);
    granted(subject.dispatch(&demand(1, 13_000, 400), START));
    subject.apply(expired_change("engine-0", 3), START);
    subject.apply(back_end_change(back_end("engine-0", 0, 0), 4), START);
    let later = START + Span::from_milliseconds(5_000);
    subject.tick(later);
    let grant = granted(subject.dispatch(&demand(1, 13_000, 500), later));
    assert!(grant.uncached_tokens < 1_000, "{}", grant.uncached_tokens);
}

#[test]
fn of_two_runs_at_one_address_only_the_newer_gets_requests() {
    let mut subject = dispatcher_with_engines(1);
    subject.apply(
        back_end_change(back_end("engine-0-restarted", 0, 0), 9),
        START,
    );
    for prompt in 0..30 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), START));
        assert_eq!(grant.instance, InstanceId::from("engine-0-restarted"));
    }
}

#[test]
fn an_address_reassigned_to_another_pool_gets_no_requests_of_the_old_one() {
    let mut subject = dispatcher_with_engines(2);
    let mut other = back_end("app-1", 0, 0);
    other.pool = eiderferry_routing::PoolName::from("app");
    subject.apply(back_end_change(other, 9), START);
    for prompt in 0..30 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), START));
        assert_eq!(grant.address, back_end_address(1));
    }
}

#[test]
fn a_replaced_run_never_gets_requests_again() {
    let mut subject = dispatcher_with_engines(2);
    let grant = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    let replaced = grant.instance.clone();
    let health_changes = subject
        .release(grant.lease, Outcome::InstanceReplaced, START)
        .health_changes;
    assert!(matches!(
        health_changes[..],
        [(_, HealthChange::Ejected(_))]
    ));
    for minute in 0..20 {
        let now = START + Span::from_milliseconds(minute * 60_000);
        for prompt in 0..10 {
            let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), now));
            assert_ne!(grant.instance, replaced);
            subject.release(grant.lease, Outcome::Completed, now);
        }
    }
}

#[test]
fn a_draining_back_end_gets_no_new_requests() {
    let mut subject = dispatcher_with_engines(2);
    let mut draining_engine = back_end("engine-0", 0, 0);
    draining_engine.draining = true;
    subject.apply(back_end_change(draining_engine, 9), START);
    for prompt in 0..30 {
        let grant = granted(subject.dispatch(&demand(prompt, 1_000, 100), START));
        assert_eq!(grant.instance, InstanceId::from("engine-1"));
    }
}

#[test]
fn requests_are_refused_with_a_retry_time_when_all_back_ends_drain() {
    let mut subject = dispatcher_with_engines(1);
    let mut draining_engine = back_end("engine-0", 0, 0);
    draining_engine.draining = true;
    subject.apply(back_end_change(draining_engine, 9), START);
    match subject.dispatch(&demand(1, 1_000, 100), START) {
        Decision::Refuse(reason, retry_after) => {
            assert_eq!(reason, Reason::NoBackEnd);
            assert!(retry_after > Span::ZERO);
        }
        granted => panic!("expected a refusal, got {granted:?}"),
    }
}

#[test]
fn a_retry_beyond_the_budget_is_refused_and_a_first_attempt_is_not() {
    let mut subject = dispatcher_with_engines(4);
    let mut retry = demand(1, 1_000, 100);
    for _ in 0..40 {
        subject.count_request(&retry.pool, START);
    }
    retry.is_retry = true;
    let mut granted_retries = 0;
    for _ in 0..40 {
        if let Decision::Grant(grant) = subject.dispatch(&retry, START) {
            subject.release(grant.lease, Outcome::Completed, START);
            granted_retries += 1;
        }
    }
    assert_eq!(granted_retries, 6);
    granted(subject.dispatch(&demand(1, 1_000, 100), START));
}

#[test]
fn load_reported_by_peers_is_avoided_until_the_report_is_stale() {
    let mut subject = dispatcher_with_engines(2);
    let home = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    subject.release(home.lease, Outcome::Completed, START);
    let mut peer = dispatcher_with_engines(2);
    for _ in 0..60 {
        let mut excluding_other = demand(1, 1_000, 20_000);
        excluding_other.excluded_back_ends =
            vec![InstanceId::from(if home.instance.as_str() == "engine-0" {
                "engine-1"
            } else {
                "engine-0"
            })];
        granted(peer.dispatch(&excluding_other, START));
    }
    let message = peer.gossip(false, START);
    let mut later_subject = dispatcher_with_engines(2);
    later_subject.receive(support::node_address(5), &message, START);
    subject.receive(support::node_address(5), &message, START);
    let grant = granted(subject.dispatch(&demand(1, 1_000, 100), START));
    assert_ne!(grant.instance, home.instance);
    let after = START + Span::from_milliseconds(3_000);
    let grant = granted(later_subject.dispatch(&demand(1, 1_000, 100), after));
    assert_eq!(grant.instance, home.instance);
}

#[test]
fn a_pool_without_back_ends_refuses_requests() {
    let mut subject = support::dispatcher(0, 0, Vec::new());
    subject.apply(table_change(1), START);
    let decision = subject.dispatch(&demand(1, 1_000, 100), START);
    assert!(matches!(decision, Decision::Refuse(Reason::NoBackEnd, _)));
}

/// Lets a node observe streams at its engines, each with a gap of `longest_gap` between events.
fn observe_event_gaps(subject: &mut Dispatcher, longest_gap: Span) {
    for prompt in 0..200 {
        let grant = granted(subject.dispatch(&demand(1_000 + prompt, 300, 100), START));
        subject.record_pacing(grant.lease, &stream_with_gap(longest_gap));
        subject.release(grant.lease, Outcome::Completed, START);
    }
}

/// A stream of 20 events that are 25 ms apart, except for one longer gap.
fn stream_with_gap(longest_gap: Span) -> StreamPacing {
    let mut pacing = StreamPacing::default();
    let mut now = START;
    for number in 0..20 {
        pacing.record(1, now);
        let gap = if number == 10 {
            longest_gap
        } else {
            Span::from_milliseconds(25)
        };
        now = now + gap;
    }
    pacing
}

#[test]
fn streams_with_a_tight_gap_target_are_separated_from_long_prompts() {
    let mut subject = dispatcher_with_engines(4);
    observe_event_gaps(&mut subject, Span::from_milliseconds(330));
    let mut stream_engines = BTreeSet::new();
    let mut prompt_engines = BTreeSet::new();
    for number in 0..12 {
        let mut stream = demand(100 + number, 300, 1_000);
        stream.event_gap_target = Some(Span::from_milliseconds(300));
        let grant = granted(subject.dispatch(&stream, START));
        subject.record_first_event(grant.lease, START);
        stream_engines.insert(grant.instance);
        let grant = granted(subject.dispatch(&demand(200 + number % 3, 13_000, 4_000), START));
        subject.record_first_event(grant.lease, START);
        prompt_engines.insert(grant.instance);
    }
    let both: Vec<_> = stream_engines.intersection(&prompt_engines).collect();
    assert!(both.len() <= 1, "{stream_engines:?} {prompt_engines:?}");
}

#[test]
fn streams_that_long_prompts_do_not_delay_are_not_counted_as_exposed() {
    let mut subject = dispatcher_with_engines(1);
    observe_event_gaps(&mut subject, Span::from_milliseconds(120));
    let mut stream = demand(1, 300, 1_000);
    stream.event_gap_target = Some(Span::from_milliseconds(300));
    granted(subject.dispatch(&stream, START));
    let gossip = subject.gossip(false, START);
    let loads = gossip.loads.expect("loads");
    assert_eq!(loads[0].running, 1);
    assert_eq!(loads[0].exposed_hundredths, 0);
}

#[test]
fn an_engine_with_full_memory_gets_no_requests_despite_free_slots() {
    let mut subject = dispatcher_with_engines(2);
    let large = demand(1, 100, 55_000);
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for _ in 0..14 {
        let grant = granted(subject.dispatch(&large, START));
        subject.record_first_event(grant.lease, START);
        *counts.entry(grant.instance).or_default() += 1;
    }
    let max = counts.values().max().expect("granted");
    assert!(*max <= 9, "55,100 of 520,000 tokens each: {counts:?}");
}

#[test]
fn placements_by_other_nodes_evict_prefixes_from_the_estimated_cache() {
    let (mut subject, mut peer) = (dispatcher_with_engines(1), dispatcher_with_engines(1));
    let shared = demand(1, 13_000, 400);
    let first = granted(subject.dispatch(&shared, START));
    subject.release(first.lease, Outcome::Completed, START);
    let again = granted(subject.dispatch(&shared, START));
    assert_eq!(again.uncached_tokens, 0);
    subject.release(again.lease, Outcome::Completed, START);
    for round in 0..2 {
        for prompt in 0..30 {
            let grant = granted(peer.dispatch(&demand(100 + prompt, 500, 20_000 + round), START));
            peer.release(grant.lease, Outcome::Completed, START);
        }
        let mut message = peer.gossip(false, START);
        message.placements.clear();
        subject.receive(support::node_address(5), &message, START);
    }
    let grant = granted(subject.dispatch(&demand(1, 13_000, 500), START));
    assert_eq!(
        grant.uncached_tokens, 13_500,
        "603,000 tokens were placed since, into a cache of 520,000"
    );
}

/// A table with one route of rank 0 and one of rank 1 to the same engines.
fn table_with_two_ranks() -> Change {
    let mut change = table_change(2);
    let DocumentContent::Table(table) = &mut change.content else {
        panic!("a table");
    };
    table.routes = vec![route("chat", 0), route("terms", 1)];
    change
}

fn route(name: &str, rank: u8) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Streaming,
        timeout: Span::from_milliseconds(15_000),
        target: Span::from_milliseconds(600),
        event_gap_target: None,
        rank,
        traffic_splits: vec![TrafficSplit {
            pool: PoolName::from(support::ENGINE_POOL),
            weight: 1.0,
        }],
        maximum_attempts: 1,
        is_public: false,
        is_resumable: false,
        allowed_regions: Vec::new(),
    }
}

#[test]
fn while_a_rank_is_refused_no_less_urgent_one_is_granted() {
    let mut subject = dispatcher_with_engines(2);
    subject.apply(table_with_two_ranks(), START);
    let request_of_rank = |rank| Demand {
        rank,
        ..demand(1, 100, 50)
    };
    let mut refused = [0, 0];
    for number in 0..400 {
        let rank = number % 2;
        let decision = subject.dispatch(&request_of_rank(rank as u8), START);
        match decision {
            Decision::Grant(_) => assert_eq!(refused[0], 0, "rank {rank} was granted"),
            Decision::Refuse(reason, retry_after) => {
                assert_eq!(reason, Reason::QueueFull);
                assert!(retry_after > Span::ZERO);
                refused[rank] += 1;
            }
        }
    }
    assert!(refused[0] > 0 && refused[1] > refused[0], "{refused:?}");
}

#[test]
fn back_ends_listed_before_the_table_get_their_memory_size_from_it() {
    let mut subject = support::dispatcher(0, 0, Vec::new());
    for number in 0..3 {
        let name = format!("engine-{number}");
        subject.apply(back_end_change(back_end(&name, number, 0), 2), START);
    }
    subject.apply(table_change(3), START);
    let first = granted(subject.dispatch(&demand(1, 13_000, 400), START));
    assert_eq!(first.uncached_tokens, 13_400);
    subject.record_first_event(first.lease, START);
    let second = granted(subject.dispatch(&demand(1, 13_000, 500), START));
    assert_eq!(second.uncached_tokens, 500);
}

#[test]
fn in_a_large_pool_a_prompt_goes_to_the_engine_that_caches_its_prefix() {
    let mut subject = dispatcher_with_engines(400);
    for prompt in 1..30 {
        let first = granted(subject.dispatch(&demand(prompt, 13_000, 400), START));
        subject.record_first_event(first.lease, START);
        subject.release(first.lease, Outcome::Completed, START);
        let second = granted(subject.dispatch(&demand(prompt, 13_000, 500), START));
        subject.record_first_event(second.lease, START);
        subject.release(second.lease, Outcome::Completed, START);
        assert_eq!(second.instance, first.instance, "prompt {prompt}");
    }
}

/// Gossip of a node at which requests failed at the home engine of prompt 1 while others succeeded
/// at the other engine. Returns the message and the home engine.
fn gossip_of_failures(count: u64) -> (eiderferry_dispatch::Gossip, InstanceId) {
    let mut peer = dispatcher_with_engines(2);
    let home = granted(peer.dispatch(&demand(1, 1_000, 100), START));
    peer.release(home.lease, Outcome::IncompleteResponse, START);
    for _ in 1..count {
        let grant = granted(peer.dispatch(&demand(1, 1_000, 100), START));
        let outcome = if grant.instance == home.instance {
            Outcome::IncompleteResponse
        } else {
            Outcome::Completed
        };
        peer.release(grant.lease, outcome, START);
    }
    let mut message = peer.gossip(false, START);
    message.placements.clear();
    (message, home.instance)
}

#[test]
fn requests_that_may_not_be_retried_avoid_a_back_end_that_fails_for_peers() {
    let mut subject = dispatcher_with_engines(2);
    let (message, failing) = gossip_of_failures(3);
    subject.receive(support::node_address(5), &message, START);
    let mut not_retryable = demand(1, 1_000, 100);
    not_retryable.may_retry = false;
    let grant = granted(subject.dispatch(&not_retryable, START));
    assert_ne!(grant.instance, failing);
}

#[test]
fn failures_reported_by_peers_expire() {
    let mut subject = dispatcher_with_engines(2);
    let (message, failing) = gossip_of_failures(3);
    subject.receive(support::node_address(5), &message, START);
    let later = START + Span::from_milliseconds(10_000);
    let mut not_retryable = demand(1, 1_000, 100);
    not_retryable.may_retry = false;
    let grant = granted(subject.dispatch(&not_retryable, later));
    assert_eq!(grant.instance, failing);
}

fn with_engines_in_three_zones(count: usize, features: Features) -> Dispatcher {
    let mut subject = support::dispatcher_with_features(0, features);
    subject.apply(table_change(1), START);
    for number in 0..count {
        let name = format!("engine-{number}");
        let engine = back_end(&name, number, number % 3);
        subject.apply(back_end_change(engine, 2), START);
    }
    subject
}

/// A node with three engines in each of three zones. At two engines of the second zone requests
/// ended with `outcome`.
fn with_two_failing_engines(outcome: Outcome) -> Dispatcher {
    let mut subject = with_engines_in_three_zones(9, Features::ALL);
    let mut failing = BTreeSet::new();
    let mut prompt = 0;
    while failing.len() < 2 {
        prompt += 1;
        let grant = granted(subject.dispatch(&demand(prompt, 5_000, 400), START));
        let is_failing = support::engine_number(&grant) % 3 == 1;
        if is_failing {
            failing.insert(grant.instance.clone());
        }
        subject.record_first_event(grant.lease, START);
        let outcome = if is_failing {
            outcome
        } else {
            Outcome::Completed
        };
        subject.release(grant.lease, outcome, START);
    }
    subject
}

/// Numbers of the engines that get any of 60 requests.
fn engines_used(subject: &mut Dispatcher) -> BTreeSet<usize> {
    let mut used = BTreeSet::new();
    for prompt in 0..60 {
        let grant = granted(subject.dispatch(&demand(prompt, 5_000, 400), START));
        used.insert(support::engine_number(&grant));
        subject.release(grant.lease, Outcome::Completed, START);
    }
    used
}

#[test]
fn two_unreachable_back_ends_make_their_whole_zone_suspect() {
    let mut subject = with_two_failing_engines(Outcome::Unreachable);
    let used = engines_used(&mut subject);
    assert!(used.iter().all(|number| number % 3 != 1), "{used:?}");
}

/// In some network partitions connections are refused instead of timing out.
#[test]
fn a_zone_where_most_back_ends_refuse_connections_is_suspect() {
    let mut subject = with_two_failing_engines(Outcome::ConnectionRefused);
    let used = engines_used(&mut subject);
    assert!(used.iter().all(|number| number % 3 != 1), "{used:?}");
}

/// Two crashed engines are no reason to avoid a third one of the zone that still serves: it must
/// take over a share of their load.
#[test]
fn crashed_back_ends_do_not_make_the_rest_of_a_larger_zone_suspect() {
    let mut subject = with_engines_in_three_zones(12, support::WITHOUT_LOCALITY_COSTS);
    let mut crashed = BTreeSet::new();
    for prompt in 0..200 {
        let grant = granted(subject.dispatch(&demand(prompt, 5_000, 400), START));
        let number = support::engine_number(&grant);
        let crashes = number % 3 == 1 && (crashed.len() < 2 || crashed.contains(&number));
        if crashes {
            crashed.insert(number);
        }
        subject.record_first_event(grant.lease, START);
        let outcome = if crashes {
            Outcome::ConnectionRefused
        } else {
            Outcome::Completed
        };
        subject.release(grant.lease, outcome, START);
    }
    assert_eq!(crashed.len(), 2);
    let used = engines_used(&mut subject);
    let in_zone = used.iter().filter(|number| **number % 3 == 1).count();
    assert_eq!(in_zone, 2, "{used:?}");
}

#[test]
fn unreachable_back_ends_of_the_own_zone_do_not_make_others_suspect() {
    let mut subject = dispatcher_with_engines(6);
    let mut failing = BTreeSet::new();
    for prompt in 0..40 {
        let grant = granted(subject.dispatch(&demand(prompt, 5_000, 400), START));
        let is_unreachable = failing.len() < 2 || failing.contains(&grant.instance);
        if is_unreachable {
            failing.insert(grant.instance.clone());
        }
        let outcome = if is_unreachable {
            Outcome::Unreachable
        } else {
            Outcome::Completed
        };
        subject.release(grant.lease, outcome, START);
    }
    assert_eq!(failing.len(), 2);
}
