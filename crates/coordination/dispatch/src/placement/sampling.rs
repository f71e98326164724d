//! Selection of the back ends that are examined for one request.
//!
//! In a small pool all are examined. In a large one it is those where the request's prompt may
//! have its home, those that have its shared parts cached, and random samples from this node's
//! zone and from the whole pool. Their number does not grow with the pool.

use crate::Demand;
use crate::load::pool_index::HashGroups;
use crate::load::registry::{BackEndState, Registry};
use crate::placement::eligibility::is_eligible;
use crate::placement::view::View;
use eiderferry_routing::InstanceId;
use rand::Rng;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest pool of which all back ends are examined. Up to this size the choice is exact and
/// takes 0.2 to 0.3 ms. With 6,000 engines, examining all of them took 5.8 ms per request (about
/// 50 ms on a node with an eighth of a core); sampling takes 0.1 ms (`benches/scale.rs`).
pub(crate) const MAX_EXAMINED: usize = 512;
/// Numbers of back ends sampled from a large pool, and from its part in this node's zone. With 24
/// or more, a sample misses the least loaded quarter once in a thousand times.
const POOL_SAMPLES: usize = 32;
const SAME_ZONE_SAMPLES: usize = 24;
/// Minimum number of examined back ends that may be the prompt's home.
const MIN_PREFERRED: usize = 16;
/// Maximum number of groups examined to find them. If a prompt may run in only one of ten
/// regions, a group of 32 to 64 back ends contains four allowed ones.
const MAX_GROUPS: usize = 12;

/// Preference of a back end for a prompt (rendezvous hashing); all nodes compute the same value.
pub(crate) fn preference(state: &BackEndState, demand: &Demand) -> u64 {
    xxh3_64_with_seed(&state.digest.to_le_bytes(), prompt_seed(demand))
}

/// Seed that identifies a prompt by the last of its shared parts.
fn prompt_seed(demand: &Demand) -> u64 {
    let last_shared = demand.shared_parts().last();
    last_shared.map_or(0, |part| part.id.0)
}

/// The examined back ends that are eligible for a request.
pub(crate) struct Examined<'a> {
    /// Back ends that all nodes examine alike for the request's prompt: the whole of a small
    /// pool, or the groups selected by the prompt's hash.
    pub preferred: Vec<&'a BackEndState>,
    /// Other examined back ends.
    pub others: Vec<&'a BackEndState>,
    /// The home of the prompt, if it has shared parts and one was found.
    pub home: Option<&'a BackEndState>,
    /// Number of examined back ends, including ineligible ones.
    pub count: usize,
}

impl<'a> Examined<'a> {
    /// All examined back ends that are eligible.
    pub fn eligible(&self) -> impl Iterator<Item = &'a BackEndState> + Clone {
        self.preferred.iter().chain(&self.others).copied()
    }
}

/// Examines back ends of a request's pool. `may_be_home` returns whether a back end may be
/// the prompt's home.
pub(crate) fn examine<'a>(
    registry: &'a Registry,
    view: &View<'_>,
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
    random: &mut impl Rng,
) -> Examined<'a> {
    if registry.pool_size(&demand.pool) <= MAX_EXAMINED {
        return examine_whole_pool(registry, view, demand, may_be_home);
    }
    let mut sample = Sample::new(registry, view, demand);
    if let Some(required) = &demand.required_instance {
        // A run is taken over by the holder of its replica, which a random sample would miss.
        let holder = sample.examine_new([required]);
        sample.examined.others.extend(holder);
        return sample.examined;
    }
    sample.examine_home_groups(&may_be_home);
    sample.examine_holders();
    sample.examine_random(random);
    if sample.examined.eligible().next().is_none() {
        // Most back ends may be evacuated, cold or not allowed; examine all rather than find
        // none.
        return examine_whole_pool(registry, view, demand, may_be_home);
    }
    sample.examined
}

fn examine_whole_pool<'a>(
    registry: &'a Registry,
    view: &View<'_>,
    demand: &Demand,
    may_be_home: impl Fn(&BackEndState) -> bool,
) -> Examined<'a> {
    let all = registry.pool(&demand.pool);
    let eligible = all.filter(|state| is_eligible(state, view, demand));
    let eligible: Vec<&BackEndState> = eligible.collect();
    Examined {
        home: find_home(&eligible, demand, may_be_home),
        preferred: eligible,
        others: Vec::new(),
        count: registry.pool_size(&demand.pool),
    }
}

fn find_home<'a>(
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

/// A sample of a large pool for one request.
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

    /// Examines the back ends that have not been examined yet, and returns the eligible ones.
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

    /// Examines the groups selected by the prompt's hash, in order, until enough of their back
    /// ends may be the home. The home is in the first group that has a suitable back end.
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
                self.examined.home = find_home(&eligible, self.demand, &may_be_home);
            }
            self.examined.preferred.extend(eligible);
            if home_count >= MIN_PREFERRED {
                return;
            }
        }
    }

    /// The groups of this node's zone if homes are restricted to it, otherwise the groups of the
    /// whole pool.
    fn home_groups(&self) -> Option<&'a HashGroups> {
        let index = self.registry.pool_index(&self.demand.pool)?;
        if self.view.home_scope.is_own_zone() {
            return index.in_zone(self.view.zone);
        }
        Some(index.all())
    }

    /// Examines the back ends that most recently got the prompt's shared parts.
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
        if let Some(same_zone) = index.in_zone(self.view.zone) {
            sampled.extend(same_zone.sample(SAME_ZONE_SAMPLES, random));
        }
        let eligible = self.examine_new(sampled);
        self.examined.others.extend(eligible);
    }
}
