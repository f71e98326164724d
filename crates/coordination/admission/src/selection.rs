//! Selects the class to serve next, and the back end for its request.
//!
//! Two rules decide on the class:
//!
//! 1. *Minimum shares.* A class with waiting requests whose running requests fill
//!    less than its share of the usable slots is served before all others; among
//!    several such classes the higher tier is served first.
//! 2. *Tier order.* All capacity outside the minimum shares goes to the highest tier
//!    with waiting requests.
//!
//! A minimum share is never part of the capacity of higher tiers, so serving it does
//! not reduce their capacity.

use crate::back_end::BackEndState;
use crate::class_queue::ClassQueue;
use crate::{Ask, CellPolicy};
use eiderferry_types::{BackEndId, ClassId, Span, Tier, Timestamp};
use std::collections::BTreeMap;

/// The state of one class that selection depends on.
#[derive(Clone, Debug)]
pub(crate) struct ClassState {
    pub tier: Tier,
    pub minimum_share: f64,
    pub per_token_target: Span,
    pub assumed_answer_tokens: u32,
    pub queue: ClassQueue,
    pub running: u32,
    pub arrival_rate: crate::estimate::EventRate,
}

/// The class to serve next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SelectedClass {
    pub class: ClassId,
    /// Whether the class was selected because it is below its minimum share.
    pub from_minimum_share: bool,
}

/// Slots out of `total` that are guaranteed to a class; at least one if it has a
/// minimum share.
pub(crate) fn guaranteed_slots(minimum_share: f64, total: u32) -> u32 {
    if minimum_share <= 0.0 {
        return 0;
    }
    ((minimum_share * f64::from(total)).floor() as u32).max(1)
}

impl ClassState {
    fn is_below_share(&self, total_slots: u32) -> bool {
        self.running < guaranteed_slots(self.minimum_share, total_slots)
    }
}

/// Selects the class to serve next among those for which `has_work` returns true.
pub(crate) fn select_class(
    classes: &BTreeMap<ClassId, ClassState>,
    policy: &CellPolicy,
    total_slots: u32,
    has_work: impl Fn(&ClassState) -> bool,
) -> Option<SelectedClass> {
    let candidates = classes.iter().filter(|(_, state)| has_work(state));
    let key = |(class, state): &(&ClassId, &ClassState)| {
        let is_below_share = policy.minimum_shares && state.is_below_share(total_slots);
        let tier = if policy.tier_order {
            state.tier
        } else {
            Tier(0)
        };
        (
            !is_below_share,
            tier,
            state.queue.earliest_front_arrival(),
            **class,
        )
    };
    let (class, state) = candidates.min_by_key(key)?;
    Some(SelectedClass {
        class: *class,
        from_minimum_share: policy.minimum_shares && state.is_below_share(total_slots),
    })
}

/// Selects the back end with the lowest placement cost among those with capacity for
/// `ask`.
pub(crate) fn select_back_end(
    back_ends: &BTreeMap<BackEndId, BackEndState>,
    policy: &CellPolicy,
    now: Timestamp,
    ask: &Ask,
    kv_tokens: u64,
) -> Option<BackEndId> {
    back_ends
        .values()
        .filter(|back_end| back_end.has_capacity(now, kv_tokens))
        .min_by(|left, right| {
            let left_cost = left.placement_cost(ask, policy);
            let right_cost = right.placement_cost(ask, policy);
            left_cost.total_cmp(&right_cost)
        })
        .map(|back_end| back_end.id)
}
