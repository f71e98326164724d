//! Regions in which requests may run.

mod support;

use eiderferry_dispatch::{
    Change, Decision, Dispatcher, DocumentContent, DocumentKey, Outcome, UnknownName,
};
use eiderferry_routing::{AllowedRegions, RegionName, ZoneName};
use eiderferry_types::{Reason, Span};
use rstest::rstest;
use std::collections::BTreeSet;
use support::{
    START, WITHOUT_LOCALITY_COSTS, back_end, back_end_change, demand, dispatcher_with_features,
    engine_number, granted, table_change,
};

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().copied().map(RegionName::from).collect()
}

/// A node with eight engines, two in each of the zones 0 to 3. Zones 0 and 1 are in region west,
/// zone 2 is in region east, and the region of zone 3 is unknown.
fn dispatcher_with_two_regions() -> Dispatcher {
    let mut subject = dispatcher_with_features(0, WITHOUT_LOCALITY_COSTS);
    subject.tick(START);
    subject.apply(table_change(1), START);
    for number in 0..8 {
        let name = format!("engine-{number}");
        subject.apply(
            back_end_change(back_end(&name, number, number % 4), 2),
            START,
        );
    }
    subject
}

fn zones_used(allowed: &AllowedRegions) -> BTreeSet<usize> {
    let mut subject = dispatcher_with_two_regions();
    let mut zones = BTreeSet::new();
    for prompt in 0..60 {
        let mut request = demand(prompt, 2_000, 100);
        request.allowed_regions = allowed.clone();
        let grant = granted(subject.dispatch(&request, START));
        subject.release(grant.lease, Outcome::Completed, START);
        let number = engine_number(&grant);
        zones.insert(number % 4);
    }
    zones
}

#[rstest]
#[case::none_named(&[], &[], &[0, 1, 2, 3])]
#[case::of_the_route(&["east"], &[], &[2])]
#[case::of_the_tenant(&[], &["west"], &[0, 1])]
#[case::both_bind(&["east", "west"], &["west", "north"], &[0, 1])]
fn requests_run_in_allowed_regions_only(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] expected: &[usize],
) {
    let allowed = AllowedRegions::of(&regions(route), &regions(tenant));
    assert_eq!(zones_used(&allowed), expected.iter().copied().collect());
}

#[test]
fn a_prompt_is_not_copied_from_another_region() {
    let mut subject = dispatcher_with_two_regions();
    let mut request = demand(3, 13_000, 100);
    request.allowed_regions = AllowedRegions::of(&regions(&["east"]), &[]);
    let grant = granted(subject.dispatch(&request, START));
    subject.record_first_event(grant.lease, START);
    subject.release(grant.lease, Outcome::Completed, START);
    request.allowed_regions = AllowedRegions::of(&regions(&["west"]), &[]);
    let later = START + Span::from_milliseconds(3_000);
    let grant = granted(subject.dispatch(&request, later));
    assert_eq!(grant.copy_from, None);
}

#[rstest]
#[case::nothing_in_common(&["east"], &["west"])]
#[case::unknown_region(&["north"], &[])]
fn a_request_without_an_allowed_region_is_refused_with_that_reason(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
) {
    let mut subject = dispatcher_with_two_regions();
    let mut request = demand(1, 2_000, 100);
    request.allowed_regions = AllowedRegions::of(&regions(route), &regions(tenant));
    let decision = subject.dispatch(&request, START);
    let Decision::Refuse(reason, retry_after) = decision else {
        panic!("expected a refusal, got {decision:?}");
    };
    assert_eq!(reason, Reason::RegionNotAllowed);
    assert!(
        retry_after >= Span::from_milliseconds(1_000),
        "retry_after is too short"
    );
}

#[test]
fn a_second_attempt_stays_in_the_allowed_regions() {
    let mut subject = dispatcher_with_two_regions();
    let mut request = demand(1, 2_000, 100);
    request.allowed_regions = AllowedRegions::of(&regions(&["east"]), &[]);
    let first = granted(subject.dispatch(&request, START));
    let second = {
        request.excluded_back_ends.push(first.instance.clone());
        granted(subject.dispatch(&request, START))
    };
    assert_ne!(first.instance, second.instance);
    request.excluded_back_ends.push(second.instance);
    let decision = subject.dispatch(&request, START);
    assert!(matches!(
        decision,
        Decision::Refuse(Reason::RegionNotAllowed, _)
    ));
}

#[test]
fn unknown_zone_and_region_names_are_reported() {
    let mut subject = dispatcher_with_two_regions();
    let nowhere = ZoneName::from("nowhere");
    let change = Change {
        key: DocumentKey::Evacuation(nowhere.clone()),
        revision: 8.into(),
        content: DocumentContent::Evacuated,
    };
    let received = subject.apply(change, START);
    assert_eq!(received.unknown_names, [UnknownName::Zone(nowhere)]);
    let mut change = table_change(9);
    if let DocumentContent::Table(table) = &mut change.content {
        table.tenants.push(eiderferry_routing::Tenant {
            name: "t".to_owned(),
            keys: Vec::new(),
            rank: None,
            allowed_regions: regions(&["north", "west"]),
        });
    }
    let received = subject.apply(change, START);
    assert_eq!(
        received.unknown_names,
        [UnknownName::Region(RegionName::from("north"))]
    );
}
