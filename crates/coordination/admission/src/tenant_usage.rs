//! What each tenant uses of a cell, against its allowance there.

use eiderferry_types::{TenantId, Timestamp};
use std::collections::BTreeMap;

/// Seconds of token rate that a tenant may use at once.
const BURST_SECONDS: f64 = 5.0;

/// A tenant's part of its limits that this cell may hand out.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Allowance {
    /// Requests at once.
    pub concurrency: Option<u32>,
    /// Answer tokens a second.
    pub tokens_per_second: Option<f64>,
}

/// Why a tenant may not start another request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustedLimit {
    /// Too many requests at once.
    Concurrency,
    /// Too many tokens lately.
    TokenRate,
}

#[derive(Clone, Debug)]
struct Usage {
    running: u32,
    /// Tokens it may still use; negative after an answer longer than expected.
    token_balance: f64,
    refilled_at: Timestamp,
}

/// Use and allowances of all tenants seen here.
#[derive(Clone, Debug, Default)]
pub struct TenantUsage {
    usage: BTreeMap<TenantId, Usage>,
    /// When each tenant last was at a limit, and at which.
    last_exhausted: BTreeMap<TenantId, (Timestamp, ExhaustedLimit)>,
    allowances: BTreeMap<TenantId, Allowance>,
}

impl TenantUsage {
    /// Sets a tenant's allowance; it holds from the next grant on.
    pub fn set_allowance(&mut self, tenant: TenantId, allowance: Allowance) {
        self.allowances.insert(tenant, allowance);
    }

    /// Drops all allowances: the configuration changed.
    pub fn clear_allowances(&mut self) {
        self.allowances.clear();
    }

    /// Tenants with anything running, and how much.
    pub fn running_by_tenant(&self) -> impl Iterator<Item = (TenantId, u32)> + '_ {
        self.usage
            .iter()
            .map(|(tenant, usage)| (*tenant, usage.running))
    }

    /// Why the tenant may not start another request, if so.
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

    /// The limit that held the tenant back at some time since `since`, if any.
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

    /// Counts a request that starts and the tokens it is expected to use.
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

    /// Counts a request that ended, and corrects the tokens it was expected to use.
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
