//! Usage of a cell by each tenant, and the tenants' allowances.

use eiderferry_types::{TenantId, Timestamp};
use std::collections::BTreeMap;

/// Capacity of a tenant's token bucket, in seconds of its token rate.
const BURST_SECONDS: f64 = 5.0;

/// The part of a tenant's limits that this cell may grant.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Allowance {
    /// Maximum number of concurrent requests.
    pub concurrency: Option<u32>,
    /// Response tokens per second.
    pub tokens_per_second: Option<f64>,
}

/// The limit that keeps a tenant from starting another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustedLimit {
    /// Too many concurrent requests.
    Concurrency,
    /// Too many tokens recently.
    TokenRate,
}

#[derive(Clone, Debug)]
struct Usage {
    running: u32,
    /// Tokens in the bucket; negative if expected or used tokens exceed it.
    token_balance: f64,
    refilled_at: Timestamp,
}

/// Usage and allowances of all tenants of a cell.
#[derive(Clone, Debug, Default)]
pub struct TenantUsage {
    usage: BTreeMap<TenantId, Usage>,
    /// When each tenant last reached a limit, and which one.
    last_exhausted: BTreeMap<TenantId, (Timestamp, ExhaustedLimit)>,
    allowances: BTreeMap<TenantId, Allowance>,
}

impl TenantUsage {
    /// Sets a tenant's allowance; it applies from the next grant on.
    pub fn set_allowance(&mut self, tenant: TenantId, allowance: Allowance) {
        self.allowances.insert(tenant, allowance);
    }

    /// Removes all allowances, because the configuration changed.
    pub fn clear_allowances(&mut self) {
        self.allowances.clear();
    }

    /// Running requests of each tenant. Tenants whose token bucket was not full when
    /// their last request ended are included with zero.
    pub fn running_by_tenant(&self) -> impl Iterator<Item = (TenantId, u32)> + '_ {
        self.usage
            .iter()
            .map(|(tenant, usage)| (*tenant, usage.running))
    }

    /// The limit that keeps the tenant from starting another request now, if any.
    pub fn exhausted(&self, tenant: TenantId, now: Timestamp) -> Option<ExhaustedLimit> {
        let allowance = self.allowances.get(&tenant)?;
        let usage = self.usage.get(&tenant);
        let running = usage.map_or(0, |usage| usage.running);
        if allowance.concurrency.is_some_and(|limit| running >= limit) {
            return Some(ExhaustedLimit::Concurrency);
        }
        let rate = allowance.tokens_per_second?;
        let token_balance = usage.map_or(rate * BURST_SECONDS, |usage| {
            usage.available_tokens(now, rate)
        });
        (token_balance <= 0.0).then_some(ExhaustedLimit::TokenRate)
    }

    /// The limit that the tenant is at now, or the last one it reached since `since`, if
    /// any.
    pub fn exhausted_since(
        &self,
        tenant: TenantId,
        since: Timestamp,
        now: Timestamp,
    ) -> Option<ExhaustedLimit> {
        let recent = self
            .last_exhausted
            .get(&tenant)
            .filter(|(at, _)| *at >= since);
        self.exhausted(tenant, now)
            .or(recent.map(|(_, limit)| *limit))
    }

    fn record_exhausted(&mut self, tenant: TenantId, now: Timestamp) {
        if let Some(limit) = self.exhausted(tenant, now) {
            self.last_exhausted.insert(tenant, (now, limit));
        }
    }

    /// Adds a running request and charges the tokens that it is expected to use.
    pub fn start(&mut self, tenant: TenantId, now: Timestamp, expected_tokens: u32) {
        let rate = self.rate(tenant);
        let usage = self.usage.entry(tenant).or_insert(Usage {
            running: 0,
            token_balance: rate * BURST_SECONDS,
            refilled_at: now,
        });
        usage.refill(now, rate);
        usage.running += 1;
        usage.token_balance -= f64::from(expected_tokens);
        self.record_exhausted(tenant, now);
    }

    /// Removes a running request and replaces its expected tokens by those used.
    pub fn finish(&mut self, tenant: TenantId, now: Timestamp, expected: u32, used: u32) {
        let rate = self.rate(tenant);
        self.record_exhausted(tenant, now);
        let Some(usage) = self.usage.get_mut(&tenant) else {
            return;
        };
        usage.refill(now, rate);
        usage.running = usage.running.saturating_sub(1);
        usage.token_balance += f64::from(expected) - f64::from(used);
        usage.token_balance = usage.token_balance.min(rate * BURST_SECONDS);
        let idle = usage.running == 0 && usage.token_balance >= rate * BURST_SECONDS;
        if idle {
            self.usage.remove(&tenant);
        }
    }

    fn rate(&self, tenant: TenantId) -> f64 {
        self.allowances
            .get(&tenant)
            .and_then(|allowance| allowance.tokens_per_second)
            .unwrap_or(0.0)
    }
}

impl Usage {
    fn available_tokens(&self, now: Timestamp, rate: f64) -> f64 {
        let gained = now.since(self.refilled_at).seconds() * rate;
        (self.token_balance + gained).min(rate * BURST_SECONDS)
    }

    fn refill(&mut self, now: Timestamp, rate: f64) {
        self.token_balance = self.available_tokens(now, rate);
        self.refilled_at = now;
    }
}
