//! Back ends of evacuated zones get no new requests, retries or cache copies from any node.

mod support;

use eiderferry_dispatch::{
    Change, Decision, Dispatcher, DocumentContent, DocumentKey, Outcome, PromptPart,
};
use eiderferry_routing::{ColdStart, PoolName, ZoneName};
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::ops::Range;
use support::{
    ENGINE_POOL, Fleet, START, back_end, back_end_change, demand, dispatcher, engine_number,
    granted, table_change, zone,
};

/// Time in milliseconds within which all connected nodes must apply an evacuation.
const PROPAGATION_DEADLINE_MS: u64 = 5_000;

fn evacuation(zone: ZoneName, revision: u64, content: DocumentContent) -> Change {
    Change {
        key: DocumentKey::Evacuation(zone),
        revision: revision.into(),
        content,
    }
}

/// Adds six engines, two in each of three zones.
fn engines_in_three_zones(subject: &mut Dispatcher) {
    for number in 0..6 {
        let name = format!("engine-{number}");
        subject.apply(
            back_end_change(back_end(&name, number, number % 3), 2),
            START,
        );
    }
}

fn with_three_zones() -> Dispatcher {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    subject.apply(table_change(1), START);
    engines_in_three_zones(&mut subject);
    subject
}

/// Zones of the engines on which 60 requests with different prompts are placed.
fn zones_of_grants(subject: &mut Dispatcher, now: Timestamp) -> Vec<usize> {
    zones_of_grants_for(0..60, subject, now)
}

fn zones_of_grants_for(
    shared_parts: Range<u64>,
    subject: &mut Dispatcher,
    now: Timestamp,
) -> Vec<usize> {
    let mut zones = Vec::new();
    for shared_part in shared_parts {
        let grant = granted(subject.dispatch(&demand(shared_part, 2_000, 100), now));
        subject.release(grant.lease, Outcome::Completed, now);
        let number = engine_number(&grant);
        zones.push(number % 3);
    }
    zones
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_is_removed() {
    let mut subject = with_three_zones();
    assert!(zones_of_grants(&mut subject, START).contains(&1));
    subject.apply(evacuation(zone(1), 7, DocumentContent::Evacuated), START);
    assert!(!zones_of_grants(&mut subject, START).contains(&1));
    subject.apply(evacuation(zone(1), 9, DocumentContent::Removed), START);
    assert!(zones_of_grants(&mut subject, START).contains(&1));
}

#[test]
fn an_older_evacuation_document_is_ignored() {
    let mut subject = with_three_zones();
    subject.apply(evacuation(zone(1), 9, DocumentContent::Removed), START);
    subject.apply(evacuation(zone(1), 7, DocumentContent::Evacuated), START);
    assert!(zones_of_grants(&mut subject, START).contains(&1));
}

#[test]
fn with_all_zones_evacuated_requests_are_refused_with_that_reason() {
    let mut subject = with_three_zones();
    for number in 0..3 {
        let change = evacuation(zone(number), 7 + number as u64, DocumentContent::Evacuated);
        subject.apply(change, START);
    }
    let decision = subject.dispatch(&demand(1, 2_000, 100), START);
    assert!(matches!(
        decision,
        Decision::Refuse(Reason::ZoneEvacuated, _)
    ));
}

#[test]
fn retries_and_cache_copies_avoid_an_evacuated_zone() {
    let mut subject = with_three_zones();
    let prompt = demand(5, 13_000, 100);
    let first = granted(subject.dispatch(&prompt, START));
    subject.record_first_event(first.lease, START);
    subject.release(first.lease, Outcome::IncompleteResponse, START);
    let number = engine_number(&first);
    let evacuated_zone = number % 3;
    subject.apply(
        evacuation(zone(evacuated_zone), 7, DocumentContent::Evacuated),
        START,
    );
    let later = START + Span::from_milliseconds(3_000);
    let mut retry = prompt.clone();
    retry.is_retry = true;
    retry.excluded_back_ends = vec![first.instance];
    retry.parts[1] = PromptPart {
        id: retry.parts[1].id,
        tokens: 90,
    };
    for _ in 0..20 {
        subject.count_request(&retry.pool, later);
    }
    for _ in 0..3 {
        let grant = granted(subject.dispatch(&retry, later));
        let number = engine_number(&grant);
        assert_ne!(number % 3, evacuated_zone);
        assert_eq!(
            grant.copy_from, None,
            "the only engine that has it cached is in the evacuated zone"
        );
        subject.release(grant.lease, Outcome::Abandoned, later);
    }
}

#[test]
fn engines_of_a_readmitted_zone_are_cold() {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.tick(START);
    let mut table = table_change(1);
    if let DocumentContent::Table(table) = &mut table.content {
        let pool = table.pools.get_mut(&PoolName::from(ENGINE_POOL));
        pool.expect("the pool").cold_start = Some(ColdStart {
            duration: Span::from_milliseconds(3_000),
            requests_per_second: 5.2,
        });
    }
    subject.apply(table, START);
    engines_in_three_zones(&mut subject);
    let readmitted_at = START + Span::from_milliseconds(8_000);
    subject.apply(evacuation(zone(1), 7, DocumentContent::Evacuated), START);
    subject.apply(
        evacuation(zone(1), 9, DocumentContent::Removed),
        readmitted_at,
    );
    // A node of another zone sends nothing to the engines until they are warm.
    assert!(!zones_of_grants(&mut subject, readmitted_at).contains(&1));
    let warm_at = readmitted_at + Span::from_milliseconds(3_200);
    assert!(zones_of_grants_for(100..160, &mut subject, warm_at).contains(&1));
}

#[rstest]
#[case::grown(87, 3)]
#[case::large(295, 5)]
fn all_nodes_apply_an_evacuation_in_time_even_restarted_or_partitioned_ones(
    #[case] count: usize,
    #[case] zones: usize,
) {
    let mut fleet = Fleet::new(count, zones);
    for node in &mut fleet.nodes {
        engines_in_three_zones(node);
    }
    fleet.run_with_platform(20_000, 1);
    let restarted = 4;
    fleet.stopped_nodes.insert(restarted);
    fleet.partitioned_zones.insert((0, 2));
    let reader = *fleet.readers().first().expect("a reader");
    fleet.apply_source_change(
        reader,
        evacuation(zone(1), 5, DocumentContent::Evacuated),
        5,
    );
    fleet.run_with_platform(500, 5);
    fleet.partitioned_zones.clear();
    fleet.stopped_nodes.clear();
    fleet.restart(restarted);
    fleet.run_with_platform(PROPAGATION_DEADLINE_MS - 500, 5);
    for (number, node) in fleet.nodes.iter().enumerate() {
        assert!(node.evacuated_zones().contains(&zone(1)), "node {number}");
    }
}
