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
struct KnownScope {
    scope: HomeScope,
    at_tick: u64,
    /// Whether a back end has been added or removed since.
    has_changed: bool,
    /// Whether anything else has changed since, so that the scope is invalid at once.
    is_outdated: bool,
}

/// The home scope of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeScopes {
    in_force: HashMap<PoolName, KnownScope>,
}

impl HomeScopes {
    /// Records a document change: a back end's may add or remove one back end, any other may change
    /// the scopes of all pools.
    pub(super) fn record_document(&mut self, key: &DocumentKey) {
        self.record_back_end();
        let is_back_end = matches!(key, DocumentKey::BackEnd(_));
        for looked in self.in_force.values_mut() {
            looked.is_outdated |= !is_back_end;
        }
    }

    /// Records that a back end may have started or stopped accepting work.
    pub(super) fn record_back_end(&mut self) {
        for looked in self.in_force.values_mut() {
            looked.has_changed = true;
        }
    }

    /// Returns the cached scope of a pool, unless it has to be evaluated again.
    fn up_to_date(&self, pool: &PoolName, pool_size: usize, tick: u64) -> Option<HomeScope> {
        let looked = self.in_force.get(pool)?;
        let age = tick - looked.at_tick;
        let may_wait = pool_size > MAX_EXAMINED && age < CHANGES_TICKS;
        let is_outdated = looked.is_outdated || (looked.has_changed && !may_wait);
        (age < HOME_SCOPE_TICKS && !is_outdated).then_some(looked.scope)
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
        let known = self.home_scopes.up_to_date(pool, size, self.ticks);
        known.unwrap_or_else(|| self.update_home_scope(pool))
    }

    fn update_home_scope(&mut self, pool: &PoolName) -> HomeScope {
        let zone = &self.settings.zone;
        let regions = &self.settings.regions;
        let engines: Vec<_> = self
            .back_ends
            .pool(pool)
            .filter(|state| state.accepts_work() && !self.evacuated.contains(&state.back_end.zone))
            .map(|state| {
                let distance = Distance::between(zone, &state.back_end.zone, regions);
                (distance, state)
            })
            .collect();
        let shared = self.back_ends.cached_tokens(pool);
        let before = self.home_scopes.in_force.get(pool);
        let scope = HomeScope::nearest(&engines, shared, before.map(|looked| looked.scope));
        let looked = KnownScope {
            scope,
            at_tick: self.ticks,
            has_changed: false,
            is_outdated: false,
        };
        self.home_scopes.in_force.insert(pool.clone(), looked);
        scope
    }
}
