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
const DRAWN: usize = 32;
const DRAWN_NEAR: usize = 24;
/// Fewest back ends where the prompt may have its home.
const FEWEST_PREFERRED: usize = 16;
/// Groups gone through for them: where a prompt may run in one of ten regions only, a group of
/// 32 to 64 holds four.
const MOST_GROUPS: usize = 12;

/// Preference of a back end for a prompt: all nodes compute it alike.
pub(crate) fn preference(state: &BackEndState, demand: &Demand) -> u64 {
    xxh3_64_with_seed(&state.digest.to_le_bytes(), seed(demand))
}

/// Names a prompt by the deepest of the parts that it shares with others.
fn seed(demand: &Demand) -> u64 {
    let deepest = demand.shared_parts().last();
    deepest.map_or(0, |part| part.id.0)
}

/// Back ends that may get a request, as far as they were looked at.
pub(crate) struct Examined<'a> {
    /// Those among which all nodes prefer the same ones for the request's prompt.
    pub preferable: Vec<&'a BackEndState>,
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
        self.preferable.iter().chain(&self.others).copied()
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
    if let Some(only) = &demand.required_instance {
        // A run is taken over where its replica is, which no draw would find.
        let holder = sample.look_up([only]);
        sample.examined.others.extend(holder);
        return sample.examined;
    }
    sample.look_at_homes(&may_be_home);
    sample.look_at_holders();
    sample.draw(random);
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
    let staying = all.filter(|state| is_eligible(state, view, demand));
    let staying: Vec<&BackEndState> = staying.collect();
    Examined {
        home: home_among(&staying, demand, may_be_home),
        preferable: staying,
        others: Vec::new(),
        count: registry.pool_size(&demand.pool),
    }
}

fn home_among<'a>(
    staying: &[&'a BackEndState],
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
) -> Option<&'a BackEndState> {
    if demand.shared_parts().is_empty() {
        return None;
    }
    let homes = staying.iter().filter(|state| may_be_home(state));
    homes.max_by_key(|state| preference(state, demand)).copied()
}

/// A look at some back ends of a large pool.
struct Sample<'a, 'b> {
    registry: &'a Registry,
    view: &'b View<'b>,
    demand: &'b Demand,
    known: HashSet<u32>,
    examined: Examined<'a>,
}

impl<'a, 'b> Sample<'a, 'b> {
    fn new(registry: &'a Registry, view: &'b View<'b>, demand: &'b Demand) -> Self {
        Self {
            registry,
            view,
            demand,
            known: HashSet::new(),
            examined: Examined {
                preferable: Vec::new(),
                others: Vec::new(),
                home: None,
                count: 0,
            },
        }
    }

    /// Those of some back ends that may get the request, but for the ones looked at before.
    fn look_up<'c>(
        &mut self,
        instances: impl IntoIterator<Item = &'c InstanceId>,
    ) -> Vec<&'a BackEndState> {
        let registry = self.registry;
        let states = instances.into_iter();
        let states = states.filter_map(|instance| registry.get(instance));
        let new = states.filter(|state| self.known.insert(state.digest));
        let new: Vec<&BackEndState> = new.collect();
        self.examined.count += new.len();
        let eligible = new.into_iter();
        eligible
            .filter(|state| is_eligible(state, self.view, self.demand))
            .collect()
    }

    /// Looks at the groups that the prompt names, one after the other, until enough of their
    /// back ends may be its home. It is in the first group that has one.
    fn look_at_homes(&mut self, may_be_home: impl Fn(&BackEndState) -> bool) {
        if self.demand.shared_parts().is_empty() {
            return;
        }
        let Some(groups) = self.home_groups() else {
            return;
        };
        let mut fitting = 0;
        for group in groups.starting_at(seed(self.demand)).take(MOST_GROUPS) {
            let staying = self.look_up(group);
            fitting += staying.iter().filter(|state| may_be_home(state)).count();
            if self.examined.home.is_none() {
                self.examined.home = home_among(&staying, self.demand, &may_be_home);
            }
            self.examined.preferable.extend(staying);
            if fitting >= FEWEST_PREFERRED {
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
    fn look_at_holders(&mut self) {
        for part in self.demand.shared_parts() {
            let holders = self.registry.holders(part.id, &self.demand.pool);
            let holders: Vec<&InstanceId> = holders.collect();
            let staying = self.look_up(holders);
            self.examined.others.extend(staying);
        }
    }

    fn draw(&mut self, random: &mut impl Rng) {
        let Some(index) = self.registry.pool_index(&self.demand.pool) else {
            return;
        };
        let mut drawn = index.all().sample(DRAWN, random);
        if let Some(near) = index.of_zone(self.view.zone) {
            drawn.extend(near.sample(DRAWN_NEAR, random));
        }
        let staying = self.look_up(drawn);
        self.examined.others.extend(staying);
    }
}
