//! Where the homes of prompts lie, and how far other zones are.

use super::Dispatcher;
use crate::Border;
use crate::placement::places::HomeScope;
use eiderferry_routing::{InstanceId, PoolName};
use eiderferry_types::Span;
use std::collections::{HashMap, HashSet};

/// Ticks between two looks at where homes lie: a change moves the homes of all prompts, and
/// what prompts share grows over seconds.
const HOME_SCOPE_TICKS: u64 = 20;

/// Where the homes of each pool's prompts lie.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeScopes {
    in_force: HashMap<PoolName, HomeScope>,
    /// Pools that have been looked at since the last document came.
    up_to_date: HashSet<PoolName>,
}

impl HomeScopes {
    /// A document came: the back ends may be others.
    pub(super) fn note_document(&mut self) {
        self.up_to_date.clear();
    }
}

impl Dispatcher {
    /// Notes how long a connection to a back end took to come up.
    pub fn note_round_trip(&mut self, instance: &InstanceId, round_trip: Span) {
        if let Some(state) = self.back_ends.get(instance) {
            self.round_trips.note(&state.back_end.zone, round_trip);
        }
    }

    /// Where the homes of a pool's prompts lie.
    pub(super) fn home_scope(&mut self, pool: &PoolName) -> HomeScope {
        if !self.settings.features.place_costs {
            return HomeScope::ALL;
        }
        let known = self.home_scopes.in_force.get(pool);
        match known.filter(|_| self.home_scopes.up_to_date.contains(pool)) {
            Some(scope) => *scope,
            None => self.renew_home_scope(pool),
        }
    }

    fn renew_home_scope(&mut self, pool: &PoolName) -> HomeScope {
        let zone = &self.settings.zone;
        let regions = &self.settings.regions;
        let engines: Vec<_> = self
            .back_ends
            .pool(pool)
            .filter(|state| state.takes_work() && !self.evacuated.contains(&state.back_end.zone))
            .map(|state| {
                let border = Border::between(zone, &state.back_end.zone, regions);
                (border, state)
            })
            .collect();
        let shared = self.back_ends.kept_tokens(pool);
        let before = self.home_scopes.in_force.get(pool).copied();
        let scope = HomeScope::nearest(&engines, shared, before);
        self.home_scopes.in_force.insert(pool.clone(), scope);
        self.home_scopes.up_to_date.insert(pool.clone());
        scope
    }

    /// All pools are looked at again, each few ticks.
    pub(super) fn expire_home_scopes(&mut self) {
        if self.ticks.is_multiple_of(HOME_SCOPE_TICKS) {
            self.home_scopes.up_to_date.clear();
        }
    }
}
