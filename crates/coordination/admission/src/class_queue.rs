//! Waiting requests of one class, with fair queueing among its tenants.

use crate::{Ask, Ticket};
use eiderferry_types::{TenantId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Waiting requests of one tenant within a class.
#[derive(Clone, Debug, Default)]
struct TenantQueue {
    waiting: VecDeque<Ask>,
    /// Work served so far, in tokens; the tenant with the least is served next.
    served_tokens: f64,
}

/// Waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    tenants: BTreeMap<TenantId, TenantQueue>,
    /// Virtual time of fair queueing, in tokens: the highest served work of a tenant at
    /// the time it was served. A tenant without waiting requests resumes from here, so
    /// that it can't save up credit while idle.
    virtual_time: f64,
    arrival_count: u64,
    arrival_order: BTreeMap<Ticket, u64>,
}

impl ClassQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrival_order.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.arrival_order.is_empty()
    }

    /// Whether this attempt waits in the queue.
    pub fn contains(&self, ticket: &Ticket) -> bool {
        self.arrival_order.contains_key(ticket)
    }

    /// The waiting attempts.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.arrival_order.keys()
    }

    /// Adds a request to its tenant's queue, ordered by due time. Retries are placed
    /// before first attempts, because work has already been spent on them.
    pub fn push(&mut self, ask: Ask) {
        self.arrival_count += 1;
        self.arrival_order.insert(ask.ticket, self.arrival_count);
        let queue = self.tenants.entry(ask.tenant).or_default();
        if queue.waiting.is_empty() {
            queue.served_tokens = queue.served_tokens.max(self.virtual_time);
        }
        let key = |ask: &Ask| (ask.ticket.attempt == 0, ask.first_token_due);
        let position = queue
            .waiting
            .partition_point(|other| key(other) <= key(&ask));
        queue.waiting.insert(position, ask);
    }

    /// Removes one waiting request.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<Ask> {
        self.arrival_order.remove(ticket)?;
        for queue in self.tenants.values_mut() {
            let position = queue.waiting.iter().position(|ask| ask.ticket == *ticket);
            if let Some(position) = position {
                return queue.waiting.remove(position);
            }
        }
        None
    }

    /// The tenant to serve next among those for which `is_eligible` returns true: with
    /// `fair` the one with the least work served, otherwise the one whose front request
    /// arrived first.
    pub fn next_tenant(
        &self,
        fair: bool,
        is_eligible: impl Fn(TenantId) -> bool,
    ) -> Option<TenantId> {
        let candidates = self
            .tenants
            .iter()
            .filter(|(tenant, queue)| !queue.waiting.is_empty() && is_eligible(**tenant));
        if fair {
            return candidates
                .min_by(|left, right| left.1.served_tokens.total_cmp(&right.1.served_tokens))
                .map(|(tenant, _)| *tenant);
        }
        candidates
            .min_by_key(|(_, queue)| self.arrival_order.get(&queue.waiting[0].ticket))
            .map(|(tenant, _)| *tenant)
    }

    /// The first waiting request of a tenant.
    pub fn front(&self, tenant: TenantId) -> Option<&Ask> {
        self.tenants.get(&tenant)?.waiting.front()
    }

    /// Removes the first waiting request of a tenant and charges the tenant `work`
    /// tokens.
    pub fn pop(&mut self, tenant: TenantId, work: f64) -> Option<Ask> {
        let queue = self.tenants.get_mut(&tenant)?;
        let ask = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.served_tokens);
        queue.served_tokens += work;
        self.arrival_order.remove(&ask.ticket);
        Some(ask)
    }

    /// Removes the request that arrived last, which has lost the least time by waiting.
    pub fn pop_newest(&mut self) -> Option<Ask> {
        let ticket = *self
            .arrival_order
            .iter()
            .max_by_key(|(_, arrival_order)| **arrival_order)?
            .0;
        self.remove(&ticket)
    }

    /// Removes every request for which `should_remove` returns true.
    pub fn remove_where(&mut self, mut should_remove: impl FnMut(&Ask) -> bool) -> Vec<Ask> {
        let mut removed = Vec::new();
        for queue in self.tenants.values_mut() {
            let mut index = 0;
            while index < queue.waiting.len() {
                if !should_remove(&queue.waiting[index]) {
                    index += 1;
                    continue;
                }
                removed.extend(queue.waiting.remove(index));
            }
        }
        for ask in &removed {
            self.arrival_order.remove(&ask.ticket);
        }
        self.remove_idle_tenants();
        removed
    }

    /// Drops tenants without waiting requests whose served work is not ahead of the
    /// virtual time.
    fn remove_idle_tenants(&mut self) {
        let virtual_time = self.virtual_time;
        self.tenants
            .retain(|_, queue| !queue.waiting.is_empty() || queue.served_tokens > virtual_time);
    }

    /// Earliest arrival among the requests at the front of the tenants' queues.
    pub fn earliest_front_arrival(&self) -> Option<Timestamp> {
        self.tenants
            .values()
            .filter_map(|queue| queue.waiting.front())
            .map(|ask| ask.arrived)
            .min()
    }
}
