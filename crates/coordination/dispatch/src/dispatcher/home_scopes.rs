//! Caches, for each pool, the scope within which the home engines of prompts are chosen, and
//! records round-trip times to other zones.

use super::Dispatcher;
use crate::placement::locality::HomeScope;
use crate::placement::sampling::MAX_EXAMINED;
use crate::{Distance, DocumentKey};
use eiderferry_routing::{InstanceId, PoolName};
use eiderferry_types::Span;
use std::collections::HashMap;

/// Ticks for which a home scope is valid: a change moves the homes of all prompts, and the number
/// of tokens that prompts share grows over seconds.
const HOME_SCOPE_TICKS: u64 = 20;

/// Ticks between two evaluations while back ends of a large pool come and go: an evaluation scans
/// all of them, and during a rolling replacement of thousands one has changed before each request.
/// A small pool is evaluated after each change, as one engine less may be a quarter of a zone's.
const CHANGES_TICKS: u64 = 5;

/// A home scope of a pool, and when it was evaluated.
#[derive(Clone, Copy, Debug)]
struct CachedScope {
    scope: HomeScope,
    evaluated_at_tick: u64,
    /// Whether a back end has been added or removed since.
    has_back_end_changed: bool,
    /// Whether anything else has changed since, so that the scope is invalid at once.
    is_invalid: bool,
}

/// The home scope of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeScopes {
    by_pool: HashMap<PoolName, CachedScope>,
}

impl HomeScopes {
    /// Records a document change: a back end's may add or remove one back end, any other may change
    /// the scopes of all pools.
    pub(super) fn record_document(&mut self, key: &DocumentKey) {
        self.record_back_end();
        let is_back_end = matches!(key, DocumentKey::BackEnd(_));
        for cached in self.by_pool.values_mut() {
            cached.is_invalid |= !is_back_end;
        }
    }

    /// Records that a back end may have started or stopped accepting work.
    pub(super) fn record_back_end(&mut self) {
        for cached in self.by_pool.values_mut() {
            cached.has_back_end_changed = true;
        }
    }

    /// Returns the cached scope of a pool, unless it has to be evaluated again.
    fn valid_scope(&self, pool: &PoolName, pool_size: usize, tick: u64) -> Option<HomeScope> {
        let cached = self.by_pool.get(pool)?;
        let age = tick - cached.evaluated_at_tick;
        let may_wait = pool_size > MAX_EXAMINED && age < CHANGES_TICKS;
        let is_invalid = cached.is_invalid || (cached.has_back_end_changed && !may_wait);
        (age < HOME_SCOPE_TICKS && !is_invalid).then_some(cached.scope)
    }
}

impl Dispatcher {
    /// Records how long it took to establish a connection to a back end.
    pub fn record_round_trip(&mut self, instance: &InstanceId, round_trip: Span) {
        if let Some(state) = self.back_ends.get(instance) {
            self.round_trips.record(&state.back_end.zone, round_trip);
        }
    }

    /// Scope within which the home engines of a pool's prompts lie.
    pub(super) fn home_scope(&mut self, pool: &PoolName) -> HomeScope {
        if !self.settings.features.locality_costs {
            return HomeScope::ALL;
        }
        let size = self.back_ends.pool_size(pool);
        let cached = self.home_scopes.valid_scope(pool, size, self.ticks);
        cached.unwrap_or_else(|| self.update_home_scope(pool))
    }

    fn update_home_scope(&mut self, pool: &PoolName) -> HomeScope {
        let zone = &self.settings.zone;
        let regions = &self.settings.regions;
        let engines: Vec<_> = self
            .back_ends
            .pool(pool)
            .filter(|state| {
                state.accepts_work() && !self.evacuated_zones.contains(&state.back_end.zone)
            })
            .map(|state| {
                let distance = Distance::between(zone, &state.back_end.zone, regions);
                (distance, state)
            })
            .collect();
        let shared_tokens = self.back_ends.cached_tokens(pool);
        let previous = self.home_scopes.by_pool.get(pool);
        let scope =
            HomeScope::nearest(&engines, shared_tokens, previous.map(|cached| cached.scope));
        let cached = CachedScope {
            scope,
            evaluated_at_tick: self.ticks,
            has_back_end_changed: false,
            is_invalid: false,
        };
        self.home_scopes.by_pool.insert(pool.clone(), cached);
        scope
    }
}
