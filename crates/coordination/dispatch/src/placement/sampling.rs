//! Which back ends are looked at for one request.
//!
//! Of a small pool all are. Of a large one those where the request's prompt may have its home,
//! those that hold it, and some drawn at random, near and anywhere: a number that does not grow
//! with the pool.

use crate::Demand;
use crate::load::pool_index::HashGroups;
use crate::load::registry::{BackEndState, Registry};
use crate::placement::eligibility::is_eligible;
use crate::placement::view::View;
use eiderferry_routing::InstanceId;
use rand::Rng;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Back ends up to which all of a pool are looked at: up to that many the choice is exact and
/// takes 0.2 to 0.3 ms. Of 6,000 engines a look at each took 5.8 ms a request, a twentieth of a
/// second on a node that has an eighth of a core, and takes 0.1 ms now (`benches/scale.rs`).
pub(crate) const MAX_EXAMINED: usize = 512;
/// Back ends drawn from all of a large pool, and from its part in the own zone. With 24 or more,
/// one of the emptier quarter is missed once in a thousand draws.
const POOL_SAMPLES: usize = 32;
const SAME_ZONE_SAMPLES: usize = 24;
/// Fewest back ends where the prompt may have its home.
const MIN_PREFERRED: usize = 16;
/// Groups gone through for them: where a prompt may run in one of ten regions only, a group of
/// 32 to 64 holds four.
const MAX_GROUPS: usize = 12;

/// Preference of a back end for a prompt: all nodes compute it alike.
pub(crate) fn preference(state: &BackEndState, demand: &Demand) -> u64 {
    xxh3_64_with_seed(&state.digest.to_le_bytes(), prompt_seed(demand))
}

/// Names a prompt by the deepest of the parts that it shares with others.
fn prompt_seed(demand: &Demand) -> u64 {
    let last_shared = demand.shared_parts().last();
    last_shared.map_or(0, |part| part.id.0)
}

/// Back ends that may get a request, as far as they were looked at.
pub(crate) struct Examined<'a> {
    /// Those among which all nodes prefer the same ones for the request's prompt.
    pub preferred: Vec<&'a BackEndState>,
    /// Others.
    pub others: Vec<&'a BackEndState>,
    /// The one that all nodes prefer, if the prompt shares parts with others.
    pub home: Option<&'a BackEndState>,
    /// How many were looked at.
    pub count: usize,
}

impl<'a> Examined<'a> {
    /// All that were looked at and may get the request.
    pub fn eligible(&self) -> impl Iterator<Item = &'a BackEndState> + Clone {
        self.preferred.iter().chain(&self.others).copied()
    }
}

/// The back ends of a request's pool that are looked at for it and may get it. `may_be_home`
/// tells whether the prompt's home may be there.
pub(crate) fn examine<'a>(
    registry: &'a Registry,
    view: &View<'_>,
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
    random: &mut impl Rng,
) -> Examined<'a> {
    if registry.pool_size(&demand.pool) <= MAX_EXAMINED {
        return whole_pool(registry, view, demand, may_be_home);
    }
    let mut sample = Sample::new(registry, view, demand);
    if let Some(required) = &demand.required_instance {
        // A run is taken over where its replica is, which no draw would find.
        let holder = sample.examine_new([required]);
        sample.examined.others.extend(holder);
        return sample.examined;
    }
    sample.examine_home_groups(&may_be_home);
    sample.examine_holders();
    sample.examine_random(random);
    if sample.examined.eligible().next().is_none() {
        // Most may be evacuated, cold or not allowed: rather all than none.
        return whole_pool(registry, view, demand, may_be_home);
    }
    sample.examined
}

fn whole_pool<'a>(
    registry: &'a Registry,
    view: &View<'_>,
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
) -> Examined<'a> {
    let all = registry.pool(&demand.pool);
    let eligible = all.filter(|state| is_eligible(state, view, demand));
    let eligible: Vec<&BackEndState> = eligible.collect();
    Examined {
        home: home_among(&eligible, demand, may_be_home),
        preferred: eligible,
        others: Vec::new(),
        count: registry.pool_size(&demand.pool),
    }
}

fn home_among<'a>(
    eligible: &[&'a BackEndState],
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
) -> Option<&'a BackEndState> {
    if demand.shared_parts().is_empty() {
        return None;
    }
    let homes = eligible.iter().filter(|state| may_be_home(state));
    homes.max_by_key(|state| preference(state, demand)).copied()
}

/// A look at some back ends of a large pool.
struct Sample<'a, 'b> {
    registry: &'a Registry,
    view: &'b View<'b>,
    demand: &'b Demand,
    seen: HashSet<u32>,
    examined: Examined<'a>,
}

impl<'a, 'b> Sample<'a, 'b> {
    fn new(registry: &'a Registry, view: &'b View<'b>, demand: &'b Demand) -> Self {
        Self {
            registry,
            view,
            demand,
            seen: HashSet::new(),
            examined: Examined {
                preferred: Vec::new(),
                others: Vec::new(),
                home: None,
                count: 0,
            },
        }
    }

    /// Those of some back ends that may get the request, but for the ones looked at before.
    fn examine_new<'c>(
        &mut self,
        instances: impl IntoIterator<Item = &'c InstanceId>,
    ) -> Vec<&'a BackEndState> {
        let registry = self.registry;
        let states = instances.into_iter();
        let states = states.filter_map(|instance| registry.get(instance));
        let new = states.filter(|state| self.seen.insert(state.digest));
        let new: Vec<&BackEndState> = new.collect();
        self.examined.count += new.len();
        let eligible = new.into_iter();
        eligible
            .filter(|state| is_eligible(state, self.view, self.demand))
            .collect()
    }

    /// Looks at the groups that the prompt names, one after the other, until enough of their
    /// back ends may be its home. It is in the first group that has one.
    fn examine_home_groups(&mut self, may_be_home: impl Fn(&BackEndState) -> bool) {
        if self.demand.shared_parts().is_empty() {
            return;
        }
        let Some(groups) = self.home_groups() else {
            return;
        };
        let mut home_count = 0;
        for group in groups
            .starting_at(prompt_seed(self.demand))
            .take(MAX_GROUPS)
        {
            let eligible = self.examine_new(group);
            home_count += eligible.iter().filter(|state| may_be_home(state)).count();
            if self.examined.home.is_none() {
                self.examined.home = home_among(&eligible, self.demand, &may_be_home);
            }
            self.examined.preferred.extend(eligible);
            if home_count >= MIN_PREFERRED {
                return;
            }
        }
    }

    /// The groups of the own zone where homes lie there, otherwise those of all zones.
    fn home_groups(&self) -> Option<&'a HashGroups> {
        let index = self.registry.pool_index(&self.demand.pool)?;
        if self.view.home_scope.is_own_zone() {
            return index.of_zone(self.view.zone);
        }
        Some(index.all())
    }

    /// Looks at the back ends that were given the prompt's shared parts last.
    fn examine_holders(&mut self) {
        for part in self.demand.shared_parts() {
            let holders = self.registry.holders(part.id, &self.demand.pool);
            let holders: Vec<&InstanceId> = holders.collect();
            let eligible = self.examine_new(holders);
            self.examined.others.extend(eligible);
        }
    }

    fn examine_random(&mut self, random: &mut impl Rng) {
        let Some(index) = self.registry.pool_index(&self.demand.pool) else {
            return;
        };
        let mut sampled = index.all().sample(POOL_SAMPLES, random);
        if let Some(same_zone) = index.of_zone(self.view.zone) {
            sampled.extend(same_zone.sample(SAME_ZONE_SAMPLES, random));
        }
        let eligible = self.examine_new(sampled);
        self.examined.others.extend(eligible);
    }
}
