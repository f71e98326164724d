//! Ranks of routes, and the priority levels by which engines admit and preempt requests.
//!
//! The level depends on the rank of the request's route first and on that of its tenant second.
//! An engine that has to preempt a request chooses the least urgent one; this must never be a
//! request of a more urgent route while one of a less urgent route keeps running, whichever
//! tenants they belong to.

use crate::{PoolName, Route};
use std::collections::{BTreeSet, HashMap};

/// Number of priority levels that engines distinguish; level 0 is the most urgent.
pub const PRIORITY_LEVELS: u8 = 10;

/// Maps the rank of a route, and within it the rank of a tenant, to a priority level.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PriorityScale {
    levels_per_rank: u8,
}

impl PriorityScale {
    /// A scale with separate levels for each rank of these routes, as far as the levels suffice.
    pub fn for_routes(routes: &[Route]) -> Self {
        let max_rank = routes.iter().map(|route| route.rank).max().unwrap_or(0);
        let rank_count = max_rank.saturating_add(1);
        Self {
            levels_per_rank: (PRIORITY_LEVELS / rank_count).max(1),
        }
    }

    /// Priority level of a request, from the ranks of its route and its tenant.
    pub fn level(&self, route_rank: u8, tenant_rank: Option<u8>) -> u8 {
        let tenant_offset = tenant_rank.unwrap_or(0).min(self.levels_per_rank - 1);
        let level = route_rank
            .saturating_mul(self.levels_per_rank)
            .saturating_add(tenant_offset);
        level.min(PRIORITY_LEVELS - 1)
    }
}

/// The ranks of the routes to each pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolRanks {
    ranks: HashMap<PoolName, BTreeSet<u8>>,
}

impl PoolRanks {
    /// Collects the ranks of these routes by pool.
    pub fn for_routes(routes: &[Route]) -> Self {
        let mut ranks: HashMap<PoolName, BTreeSet<u8>> = HashMap::new();
        for route in routes {
            for split in &route.traffic_splits {
                ranks
                    .entry(split.pool.clone())
                    .or_default()
                    .insert(route.rank);
            }
        }
        Self { ranks }
    }

    /// Fraction of the pool's other ranks that are less urgent than `rank`.
    pub fn less_urgent_share(&self, pool: &PoolName, rank: u8) -> f64 {
        let Some(ranks) = self.ranks.get(pool) else {
            return 0.0;
        };
        let other_count = ranks.iter().filter(|other| **other != rank).count();
        let less_urgent_count = ranks.iter().filter(|other| **other > rank).count();
        less_urgent_count as f64 / other_count.max(1) as f64
    }
}
