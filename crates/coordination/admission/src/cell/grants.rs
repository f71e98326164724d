//! Adapts slots to the latency of back ends, and grants them to waiting requests.

use super::{Cell, CellEvent, Lease};
use crate::Ask;
use crate::back_end::BackEndState;
use crate::selection::{SelectedClass, select_back_end, select_class};
use eiderferry_types::{BackEndId, TenantId, Timestamp};

impl Cell {
    pub(super) fn update_slowness(&mut self) {
        if !self.policy.slow_detection {
            return;
        }
        let mut times_per_token: Vec<f64> = self
            .back_ends
            .values()
            .filter_map(BackEndState::time_per_token)
            .collect();
        if times_per_token.len() < 2 {
            return;
        }
        times_per_token.sort_by(f64::total_cmp);
        let median = times_per_token[(times_per_token.len() - 1) / 2];
        for back_end in self.back_ends.values_mut() {
            back_end.update_slowness(median);
        }
    }

    /// Adapts slot limits to the tightest time-per-token target among the classes with
    /// running requests, or among all classes if nothing runs.
    pub(super) fn adapt_slots(&mut self) {
        if !self.policy.slow_detection {
            return;
        }
        let running_classes = self.classes.values().filter(|state| state.running > 0);
        let tightest_running = running_classes.map(|state| state.per_token_target).min();
        let tightest_overall = self
            .classes
            .values()
            .map(|state| state.per_token_target)
            .min();
        let Some(target) = tightest_running.or(tightest_overall) else {
            return;
        };
        for back_end in self.back_ends.values_mut() {
            back_end.adapt_slots(target);
        }
    }

    /// Grants free slots until none is left or the next waiting request fits on no back
    /// end.
    pub(super) fn grant_free_slots(&mut self, now: Timestamp) {
        if self.is_taking_over(now) {
            return;
        }
        let total_slots = self.total_slots(now);
        while self.grant_next(now, total_slots) {}
    }

    fn grant_next(&mut self, now: Timestamp, total_slots: u32) -> bool {
        let has_capacity = self
            .back_ends
            .values()
            .any(|back_end| back_end.has_capacity(now, 0));
        if !has_capacity {
            return false;
        }
        let tenants = &self.tenant_usage;
        let is_eligible = |tenant: TenantId| tenants.exhausted(tenant, now).is_none();
        let fair = self.policy.tenant_fairness;
        // After a takeover, before entry nodes have registered their running requests,
        // every class seems to be below its minimum share, so only tiers decide.
        let mut policy = self.policy.clone();
        policy.minimum_shares &= now >= self.report_wait_until;
        let selected = select_class(&self.classes, &policy, total_slots, |state| {
            !state.queue.is_empty() && state.queue.next_tenant(fair, is_eligible).is_some()
        });
        let Some(selected) = selected else {
            return false;
        };
        let next_ask = self.classes.get(&selected.class).and_then(|state| {
            let tenant = state.queue.next_tenant(fair, is_eligible)?;
            state.queue.front(tenant)
        });
        let Some(ask) = next_ask.cloned() else {
            return false;
        };
        let kv_tokens = self.kv_token_reservation(&ask);
        let back_end = select_back_end(&self.back_ends, &self.policy, now, &ask, kv_tokens);
        let Some(back_end) = back_end else {
            return false;
        };
        self.grant(now, selected, ask, back_end);
        true
    }

    fn grant(&mut self, now: Timestamp, selected: SelectedClass, ask: Ask, back_end: BackEndId) {
        // In response tokens; ten prompt tokens count as one.
        let work = f64::from(ask.prompt_tokens) / 10.0 + f64::from(self.expected_tokens(&ask));
        if let Some(state) = self.classes.get_mut(&selected.class) {
            state.queue.pop(ask.tenant, work);
            if !selected.from_minimum_share {
                self.last_grant_outside_shares.insert(state.tier, now);
            }
        }
        self.lease(now, &ask, back_end);
        self.events.push(CellEvent::Granted {
            ticket: ask.ticket,
            back_end,
            class: ask.class,
            from_minimum_share: selected.from_minimum_share,
            wait_time: now.since(ask.arrived),
        });
    }

    pub(super) fn lease(&mut self, now: Timestamp, ask: &Ask, back_end: BackEndId) {
        let kv_tokens = self.kv_token_reservation(ask);
        let expected_tokens = self.expected_tokens(ask);
        if let Some(state) = self.classes.get_mut(&ask.class) {
            state.running += 1;
        }
        if let Some(state) = self.back_ends.get_mut(&back_end) {
            state.take_slot(now, kv_tokens);
            state.prefixes.record_use(&ask.prefixes);
        }
        self.tenant_usage.start(ask.tenant, now, expected_tokens);
        let lease = Lease {
            class: ask.class,
            tenant: ask.tenant,
            back_end,
            kv_tokens,
            expected_tokens,
            granted_at: now,
        };
        self.leases.insert(ask.ticket, lease);
    }

    fn expected_tokens(&self, ask: &Ask) -> u32 {
        let assumed = self
            .classes
            .get(&ask.class)
            .map_or(0, |state| state.assumed_answer_tokens);
        self.response_lengths
            .upper_estimate(&(ask.class, ask.tenant), assumed)
    }

    fn kv_token_reservation(&self, ask: &Ask) -> u64 {
        u64::from(ask.prompt_tokens) + u64::from(self.expected_tokens(ask))
    }
}
