//! Estimated waiting times, and refusals of requests that can't be served in time.

use super::{Cell, CellEvent};
use crate::Ask;
use crate::estimate::span_from_microseconds;
use crate::tenant_usage::ExhaustedLimit;
use eiderferry_types::{ClassId, Reason, Refusal, Span, Tier, Timestamp};

/// Largest fraction of the time to the target that the average time to first token
/// may take up. Without this cap, one slow period could cause every request to be
/// refused, and the average would never be updated again.
const MAX_FIRST_TOKEN_SHARE: f64 = 0.5;
/// If a lower tier got a slot outside its minimum share within this time, requests
/// of higher tiers are queued instead of refused early, since slots are available
/// to them.
const LOWER_TIER_GRANT_WINDOW: Span = Span::from_milliseconds(200);
/// Shortest delay that a refused caller is asked to wait before it retries.
pub(super) const MIN_RETRY_DELAY: Span = Span::from_milliseconds(500);
/// Longest delay that a refused caller is asked to wait before it retries.
const MAX_RETRY_DELAY: Span = Span::from_milliseconds(30_000);

impl Cell {
    /// Estimates how long a new request of `class` would wait for a slot.
    pub fn estimated_wait(&self, now: Timestamp, class: ClassId) -> Span {
        let Some(state) = self.classes.get(&class) else {
            return Span::ZERO;
        };
        let total_slots = self.total_slots(now);
        let free_slots = i64::from(total_slots) - self.leases.len() as i64;
        let requests_ahead = self.waiting_ahead(state.tier) as f64;
        if free_slots > 0 && requests_ahead < free_slots as f64 {
            return Span::ZERO;
        }
        let service_rate =
            f64::from(total_slots.max(1)) / (self.lease_duration.mean() / 1e6).max(0.001);
        let higher_tier_rate: f64 = self
            .classes
            .values()
            .filter(|other| other.tier < state.tier)
            .map(|other| other.arrival_rate.per_second(now))
            .sum();
        let shared_wait =
            requests_ahead / (service_rate - higher_tier_rate).max(service_rate * 0.01);
        if state.minimum_share <= 0.0 {
            return Span::from_seconds(shared_wait);
        }
        let guaranteed_wait = state.queue.len() as f64 / (service_rate * state.minimum_share);
        Span::from_seconds(shared_wait.min(guaranteed_wait))
    }

    fn waiting_ahead(&self, tier: Tier) -> usize {
        self.classes
            .values()
            .filter(|state| state.tier <= tier || !self.policy.tier_order)
            .map(|state| state.queue.len())
            .sum()
    }

    fn first_token_delay(&self, target: Span) -> Span {
        let average = span_from_microseconds(self.time_to_first_token.mean());
        let cap = span_from_microseconds(target.0 as f64 * MAX_FIRST_TOKEN_SHARE);
        average.min(cap)
    }

    /// Time that a request may still wait for a slot and get its first token when due.
    fn wait_budget(&self, now: Timestamp, ask: &Ask) -> Span {
        let target = ask.arrived.until(ask.first_token_due);
        let remaining = now.until(ask.first_token_due);
        Span(remaining.0.saturating_sub(self.first_token_delay(target).0))
    }

    pub(super) fn early_refusal(&self, now: Timestamp, ask: &Ask) -> Option<Refusal> {
        if self.back_ends.is_empty() {
            return Some(Refusal::not_run(Reason::NoBackEnd, Some(MIN_RETRY_DELAY)));
        }
        if !self.policy.early_refusal || self.lower_tier_got_slots(now, ask.class) {
            return None;
        }
        let wait = self.estimated_wait(now, ask.class);
        let budget = self.wait_budget(now, ask).0 as f64 * self.policy.wait_safety_factor;
        if wait.0 as f64 <= budget {
            return None;
        }
        let retry_delay = self.retry_after(now, ask.class);
        Some(Refusal::not_run(
            Reason::DeadlineUnreachable,
            Some(retry_delay),
        ))
    }

    /// Whether a lower tier than that of `class` recently got slots outside its minimum
    /// share.
    fn lower_tier_got_slots(&self, now: Timestamp, class: ClassId) -> bool {
        let Some(state) = self.classes.get(&class) else {
            return false;
        };
        self.last_grant_outside_shares
            .range(Tier(state.tier.0 + 1)..)
            .any(|(_, granted_at)| now.since(*granted_at) < LOWER_TIER_GRANT_WINDOW)
    }

    pub(super) fn retry_after(&self, now: Timestamp, class: ClassId) -> Span {
        self.estimated_wait(now, class)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Makes room in a full queue by refusing the newest request of the lowest tier
    /// below that of `ask`. Returns whether there was one.
    pub(super) fn displace_lower_tier(&mut self, ask: &Ask) -> bool {
        let Some(tier) = self.classes.get(&ask.class).map(|state| state.tier) else {
            return false;
        };
        let lowest_class = self
            .classes
            .iter()
            .filter(|(_, state)| state.tier > tier && !state.queue.is_empty())
            .max_by_key(|(class, state)| (state.tier, **class))
            .map(|(class, _)| *class);
        let Some(class) = lowest_class else {
            return false;
        };
        let displaced = self
            .classes
            .get_mut(&class)
            .and_then(|state| state.queue.pop_newest());
        if let Some(displaced) = &displaced {
            self.refuse(
                displaced,
                Refusal::not_run(Reason::Displaced, Some(MAX_RETRY_DELAY)),
            );
        }
        displaced.is_some()
    }

    pub(super) fn refuse(&mut self, ask: &Ask, refusal: Refusal) {
        self.events.push(CellEvent::Refused {
            ticket: ask.ticket,
            class: ask.class,
            arrived_at: ask.arrived,
            refusal,
        });
    }

    pub(super) fn refuse_expired(&mut self, now: Timestamp) {
        let classes: Vec<ClassId> = self.classes.keys().copied().collect();
        for class in classes {
            let expected_delay = self.first_token_delay(Span(u64::MAX));
            let Some(state) = self.classes.get_mut(&class) else {
                continue;
            };
            let expired = state
                .queue
                .remove_where(|ask| will_miss_deadline(now, ask, expected_delay));
            for ask in expired {
                let limit = self
                    .tenant_usage
                    .exhausted_since(ask.tenant, ask.arrived, now);
                let reason = match limit {
                    Some(ExhaustedLimit::Concurrency) => Reason::TenantConcurrency,
                    Some(ExhaustedLimit::TokenRate) => Reason::TenantTokenRate,
                    None => Reason::DeadlinePassed,
                };
                let retry_delay = self.retry_after(now, class);
                self.refuse(&ask, Refusal::not_run(reason, Some(retry_delay)));
            }
        }
    }
}

/// Whether the first token would be late even if the request got a slot now.
fn will_miss_deadline(now: Timestamp, ask: &Ask, first_token_delay: Span) -> bool {
    let target = ask.arrived.until(ask.first_token_due);
    let cap = span_from_microseconds(target.0 as f64 * MAX_FIRST_TOKEN_SHARE);
    now + first_token_delay.min(cap) >= ask.first_token_due
}
