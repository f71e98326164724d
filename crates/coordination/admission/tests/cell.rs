//! Tier order, minimum shares, fairness, limits, refusals and takeover of one cell.

use eiderferry_admission::{
    Allowance, Ask, Cell, CellEvent, CellPolicy, LoadReport, Observation, Outcome, Ticket,
};
use eiderferry_config::Configuration;
use eiderferry_types::{
    BackEndId, CellId, ClassId, Incarnation, NodeId, PoolId, Reason, RequestId, Span, TenantId,
    Timestamp, ZoneId,
};
use rstest::rstest;

const CONFIGURATION: &str = "
version: 1
zones: [{ id: 1, name: one }]
pools: [{ id: 1, name: engines, kind: engine, model: m, slots_per_back_end: 4 }]
classes:
  - { id: 1, name: interactive, tier: 1, time_to_first_token_ms: 1000, time_per_token_ms: 60 }
  - { id: 2, name: batch, tier: 5, time_to_first_token_ms: 60000, time_per_token_ms: 60 }
  - { id: 3, name: guaranteed, tier: 6, time_to_first_token_ms: 60000, time_per_token_ms: 60, minimum_share: 0.25 }
tenants: []
";

const INTERACTIVE: ClassId = ClassId(1);
const BATCH: ClassId = ClassId(2);
const GUARANTEED: ClassId = ClassId(3);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn cell(back_end_count: u32, policy: CellPolicy) -> Cell {
    let id = CellId {
        zone: ZoneId(1),
        pool: PoolId(1),
        shard: 0,
    };
    let mut cell = Cell::new(id, policy);
    let listed: Vec<_> = (1..=back_end_count)
        .map(|id| (BackEndId(id), 4, 100_000, false))
        .collect();
    cell.set_back_ends(&listed);
    let configuration = Configuration::from_yaml("test", CONFIGURATION).expect("valid");
    cell.configure(at(0), &configuration);
    cell
}

fn ticket(sequence: u64) -> Ticket {
    let request = RequestId {
        node: NodeId(1),
        incarnation: Incarnation(1),
        sequence,
    };
    Ticket {
        request,
        attempt: 0,
    }
}

fn ask(sequence: u64, class: ClassId, tenant: u16, now: Timestamp) -> Ask {
    let wait = if class == INTERACTIVE { 1_000 } else { 60_000 };
    Ask {
        ticket: ticket(sequence),
        class,
        tenant: TenantId(tenant),
        prompt_tokens: 100,
        prefixes: Vec::new(),
        first_token_due: now + Span::from_milliseconds(wait),
        arrived: now,
    }
}

fn completed(tokens: u32) -> Observation {
    Observation {
        outcome: Outcome::Completed,
        tokens,
        first_token: Some(Span::from_milliseconds(50)),
        per_token: Some(Span::from_milliseconds(30)),
    }
}

fn take_granted(cell: &mut Cell) -> Vec<u64> {
    cell.take_events()
        .into_iter()
        .filter_map(|event| match event {
            CellEvent::Granted { ticket, .. } => Some(ticket.request.sequence),
            CellEvent::Refused { .. } => None,
        })
        .collect()
}

fn take_refused(cell: &mut Cell) -> Vec<(u64, Reason)> {
    cell.take_events()
        .into_iter()
        .filter_map(|event| match event {
            CellEvent::Refused {
                ticket, refusal, ..
            } => Some((ticket.request.sequence, refusal.reason)),
            CellEvent::Granted { .. } => None,
        })
        .collect()
}

/// Occupies `slots` slots with batch requests numbered from 100.
fn fill_with_batch(cell: &mut Cell, slots: u64) {
    for sequence in 100..100 + slots {
        cell.ask(at(0), ask(sequence, BATCH, 1, at(0)));
    }
    assert_eq!(take_granted(cell).len() as u64, slots);
}

#[test]
fn a_free_slot_is_granted_at_once() {
    let mut cell = cell(1, CellPolicy::default());
    cell.ask(at(0), ask(1, INTERACTIVE, 1, at(0)));
    assert_eq!(take_granted(&mut cell), [1]);
}

#[rstest]
#[case::tier_order(true, 2)]
#[case::broken_without_tier_order(false, 1)]
fn a_freed_slot_is_granted_to_the_highest_tier(#[case] tier_order: bool, #[case] expected: u64) {
    let policy = CellPolicy {
        tier_order,
        ..CellPolicy::default()
    };
    let mut cell = cell(1, policy);
    fill_with_batch(&mut cell, 4);
    cell.ask(at(1), ask(1, BATCH, 1, at(1)));
    cell.ask(at(2), ask(2, INTERACTIVE, 1, at(2)));
    cell.release(at(10), &ticket(100), &completed(10));
    assert_eq!(take_granted(&mut cell), [expected]);
}

#[rstest]
#[case::with_share(true, 2)]
#[case::broken_without_share(false, 1)]
fn a_class_below_its_minimum_share_is_served_first(
    #[case] minimum_shares: bool,
    #[case] expected: u64,
) {
    let policy = CellPolicy {
        minimum_shares,
        ..CellPolicy::default()
    };
    let mut cell = cell(1, policy);
    fill_with_batch(&mut cell, 4);
    cell.ask(at(1), ask(1, INTERACTIVE, 1, at(1)));
    cell.ask(at(2), ask(2, GUARANTEED, 1, at(2)));
    cell.release(at(10), &ticket(100), &completed(10));
    assert_eq!(take_granted(&mut cell), [expected]);
}

#[test]
fn a_class_at_its_minimum_share_waits_for_higher_tiers() {
    let mut cell = cell(1, CellPolicy::default());
    cell.ask(at(0), ask(50, GUARANTEED, 1, at(0)));
    fill_remaining_slots(&mut cell);
    cell.ask(at(1), ask(1, GUARANTEED, 1, at(1)));
    cell.ask(at(2), ask(2, INTERACTIVE, 1, at(2)));
    cell.release(at(10), &ticket(100), &completed(10));
    assert_eq!(take_granted(&mut cell), [2]);
}

fn fill_remaining_slots(cell: &mut Cell) {
    take_granted(cell);
    for sequence in 100..103 {
        cell.ask(at(0), ask(sequence, BATCH, 1, at(0)));
    }
    assert_eq!(take_granted(cell).len(), 3);
}

#[test]
fn tenants_of_a_class_share_slots_by_tokens_served() {
    let mut cell = cell(1, CellPolicy::default());
    fill_with_batch(&mut cell, 4);
    for sequence in 1..=6 {
        cell.ask(at(1), ask(sequence, BATCH, 1, at(1)));
    }
    cell.ask(at(2), ask(7, BATCH, 2, at(2)));
    for slot in 100..102 {
        cell.release(at(10), &ticket(slot), &completed(10));
    }
    assert!(
        take_granted(&mut cell).contains(&7),
        "the small tenant does not wait behind the large one"
    );
}

#[test]
fn a_tenant_at_its_allowance_waits_without_blocking_others() {
    let mut cell = cell(1, CellPolicy::default());
    let allowance = Allowance {
        concurrency: Some(1),
        tokens_per_second: None,
    };
    cell.set_allowance(TenantId(9), allowance);
    cell.ask(at(0), ask(1, BATCH, 9, at(0)));
    cell.ask(at(0), ask(2, BATCH, 9, at(0)));
    cell.ask(at(0), ask(3, BATCH, 1, at(0)));
    assert_eq!(take_granted(&mut cell), [1, 3]);
    cell.release(at(10), &ticket(1), &completed(10));
    assert_eq!(take_granted(&mut cell), [2]);
}

#[test]
fn a_token_rate_limit_is_enforced_over_time() {
    let mut cell = cell(4, CellPolicy::default());
    let allowance = Allowance {
        concurrency: None,
        tokens_per_second: Some(100.0),
    };
    cell.set_allowance(TenantId(9), allowance);
    let mut served_tokens = 0;
    let mut sequence = 0;
    for second in 0..60 {
        for _ in 0..4 {
            sequence += 1;
            let now = at(second * 1_000);
            cell.ask(now, ask(sequence, BATCH, 9, now));
            for sequence in take_granted(&mut cell) {
                served_tokens += 100;
                cell.release(now, &ticket(sequence), &completed(100));
            }
        }
    }
    // 60 s at 100 tokens/s, a burst of 5 s, and overshoot by one response.
    assert!(
        (5_500..=6_700).contains(&served_tokens),
        "served {served_tokens} tokens"
    );
}

#[test]
fn requests_with_unreachable_deadlines_are_refused_on_arrival() {
    let mut cell = cell(1, CellPolicy::default());
    fill_with_batch(&mut cell, 4);
    let mut refusals = Vec::new();
    for sequence in 1..=40 {
        cell.ask(at(500), ask(sequence, INTERACTIVE, 1, at(500)));
        refusals.extend(take_refused(&mut cell));
    }
    assert!(
        refusals
            .iter()
            .all(|(_, reason)| *reason == Reason::DeadlineUnreachable)
    );
    assert!(
        refusals.len() > 30,
        "only {} of 40 were refused",
        refusals.len()
    );
}

#[test]
fn no_early_refusal_while_a_lower_tier_gets_slots() {
    let mut cell = cell(1, CellPolicy::default());
    fill_with_batch(&mut cell, 4);
    for sequence in 1..=40 {
        cell.ask(at(100), ask(sequence, INTERACTIVE, 1, at(100)));
    }
    assert_eq!(take_refused(&mut cell), []);
}

#[test]
fn a_waiting_request_is_refused_once_its_deadline_is_missed() {
    let mut cell = cell(1, CellPolicy::default());
    fill_with_batch(&mut cell, 4);
    cell.ask(at(1), ask(1, INTERACTIVE, 1, at(1)));
    cell.take_events();
    cell.tick(at(1_000));
    assert_eq!(take_refused(&mut cell), [(1, Reason::DeadlinePassed)]);
}

#[test]
fn a_full_queue_displaces_the_lowest_tier() {
    let policy = CellPolicy {
        maximum_waiting: 2,
        early_refusal: false,
        ..CellPolicy::default()
    };
    let mut cell = cell(1, policy);
    fill_with_batch(&mut cell, 4);
    cell.ask(at(1), ask(1, BATCH, 1, at(1)));
    cell.ask(at(1), ask(2, BATCH, 1, at(1)));
    cell.ask(at(2), ask(3, INTERACTIVE, 1, at(2)));
    assert_eq!(take_refused(&mut cell), [(2, Reason::Displaced)]);
    cell.ask(at(3), ask(4, BATCH, 1, at(3)));
    assert_eq!(take_refused(&mut cell), [(4, Reason::QueueFull)]);
}

#[test]
fn a_repeated_request_takes_only_one_slot() {
    let mut cell = cell(1, CellPolicy::default());
    cell.ask(at(0), ask(1, BATCH, 1, at(0)));
    cell.ask(at(1), ask(1, BATCH, 1, at(1)));
    assert_eq!(
        take_granted(&mut cell),
        [1, 1],
        "the lost grant is repeated"
    );
    assert_eq!(cell.lease_count(), 1);
}

#[test]
fn a_leaving_back_end_gets_no_new_requests() {
    let mut cell = cell(2, CellPolicy::default());
    cell.set_back_ends(&[
        (BackEndId(1), 4, 100_000, true),
        (BackEndId(2), 4, 100_000, false),
    ]);
    for sequence in 1..=8 {
        cell.ask(at(0), ask(sequence, BATCH, 1, at(0)));
    }
    let back_ends: Vec<BackEndId> = cell
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            CellEvent::Granted { back_end, .. } => Some(back_end),
            CellEvent::Refused { .. } => None,
        })
        .collect();
    assert_eq!(back_ends, [BackEndId(2); 4]);
}

#[rstest]
#[case::detected(true)]
#[case::broken_without_detection(false)]
fn a_slow_back_end_gets_fewer_requests(#[case] slow_detection: bool) {
    let policy = CellPolicy {
        slow_detection,
        ..CellPolicy::default()
    };
    let mut cell = cell(3, policy);
    for round in 0..10 {
        for id in 1..=3 {
            let per_token = if id == 1 { 120 } else { 30 };
            cell.observe_time_per_token(
                at(round),
                BackEndId(id),
                Span::from_milliseconds(per_token),
            );
        }
    }
    cell.tick(at(100));
    for sequence in 1..=12 {
        cell.ask(at(100), ask(sequence, BATCH, 1, at(100)));
    }
    let on_slow = cell
        .take_events()
        .iter()
        .filter(|event| {
            matches!(
                event,
                CellEvent::Granted {
                    back_end: BackEndId(1),
                    ..
                }
            )
        })
        .count();
    assert_eq!(on_slow, if slow_detection { 2 } else { 4 });
}

#[test]
fn a_new_holder_waits_for_load_reports() {
    let mut cell = cell(1, CellPolicy::default());
    cell.start_takeover(at(0));
    cell.ask(at(0), ask(1, BATCH, 1, at(0)));
    assert_eq!(take_granted(&mut cell), []);
    let report = LoadReport {
        running: 3,
        waiting: 0,
        kv_tokens: 0,
    };
    cell.apply_load_report(at(110), BackEndId(1), &report);
    cell.ask(at(111), ask(2, BATCH, 1, at(111)));
    assert_eq!(
        take_granted(&mut cell),
        [1],
        "three of four slots are in use by others"
    );
}

#[test]
fn a_new_holder_collects_requests_before_granting_by_tier() {
    let mut cell = cell(1, CellPolicy::default());
    cell.start_takeover(at(0));
    let idle = LoadReport {
        running: 0,
        waiting: 0,
        kv_tokens: 0,
    };
    cell.apply_load_report(at(1), BackEndId(1), &idle);
    for sequence in 1..=4 {
        cell.ask(at(2), ask(sequence, BATCH, 1, at(2)));
    }
    for sequence in 5..=8 {
        cell.ask(at(90), ask(sequence, INTERACTIVE, 1, at(90)));
    }
    assert_eq!(take_granted(&mut cell), []);
    cell.tick(at(110));
    assert_eq!(take_granted(&mut cell), [5, 6, 7, 8]);
}

#[test]
fn slots_leased_by_a_lost_node_are_freed() {
    let mut cell = cell(1, CellPolicy::default());
    fill_with_batch(&mut cell, 4);
    cell.ask(at(1), ask(1, BATCH, 1, at(1)));
    assert_eq!(take_granted(&mut cell), []);
    cell.remove_node(at(2), NodeId(1), None);
    assert_eq!((cell.lease_count(), cell.waiting_count()), (0, 0));
}

#[test]
fn consecutive_failures_suspend_a_back_end() {
    let mut cell = cell(1, CellPolicy::default());
    let failed = Observation {
        outcome: Outcome::Failed,
        ..Observation::UNUSED
    };
    for sequence in 1..=2 {
        cell.ask(at(0), ask(sequence, BATCH, 1, at(0)));
        cell.release(at(0), &ticket(sequence), &failed);
    }
    take_granted(&mut cell);
    cell.ask(at(10), ask(3, BATCH, 1, at(10)));
    assert_eq!(take_granted(&mut cell), []);
    cell.tick(at(1_100));
    assert_eq!(
        take_granted(&mut cell),
        [3],
        "it is tried again after the suspension"
    );
}
