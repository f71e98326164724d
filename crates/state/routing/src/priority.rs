//! The tiers of routes, and the levels of urgency by which engines admit requests and
//! push others out.
//!
//! A request's route comes first and its tenant second: an engine that has to push a
//! request out takes the least urgent one, and that must not be one of a higher tier
//! while one of a lower tier runs on, whoever their tenants are.

use crate::{PoolName, Route};
use std::collections::{BTreeSet, HashMap};

/// Levels that engines tell apart.
pub const PRIORITY_LEVELS: u8 = 10;

/// Places the ranks of routes, and those of tenants between them, on the levels.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PriorityScale {
    levels_per_rank: u8,
}

impl PriorityScale {
    /// A scale that tells all ranks of these routes apart.
    pub fn for_routes(routes: &[Route]) -> Self {
        let max_rank = routes.iter().map(|route| route.rank).max().unwrap_or(0);
        let rank_count = max_rank.saturating_add(1);
        Self {
            levels_per_rank: (PRIORITY_LEVELS / rank_count).max(1),
        }
    }

    /// Level of a request on a route of one rank, for a tenant of another.
    pub fn level(&self, route_rank: u8, tenant_rank: Option<u8>) -> u8 {
        let tenant_offset = tenant_rank.unwrap_or(0).min(self.levels_per_rank - 1);
        let level = route_rank
            .saturating_mul(self.levels_per_rank)
            .saturating_add(tenant_offset);
        level.min(PRIORITY_LEVELS - 1)
    }
}

/// The ranks of the routes that go to each pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolRanks {
    ranks: HashMap<PoolName, BTreeSet<u8>>,
}

impl PoolRanks {
    /// The tiers of these routes.
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

    /// Part of the pool's other tiers that are less urgent.
    pub fn less_urgent_share(&self, pool: &PoolName, rank: u8) -> f64 {
        let Some(ranks) = self.ranks.get(pool) else {
            return 0.0;
        };
        let other_count = ranks.iter().filter(|other| **other != rank).count();
        let less_urgent_count = ranks.iter().filter(|other| **other > rank).count();
        less_urgent_count as f64 / other_count.max(1) as f64
    }
}
