//! What sending a request to each of some back ends would mean.

use crate::registry::{BackEndState, Registry};
use crate::{Candidate, Demand, Interference};
use eiderferry_routing::{InstanceId, ZoneName};
use eiderferry_types::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fewest tokens that are worth copying from another engine.
const MINIMUM_COPIED_TOKENS: u32 = 1_000;
/// Difference of two shares of failures that is put down to chance.
const CHANCE_SHARE: f64 = 0.07;
/// Back ends compared for one request where the pool has more.
const MOST_COMPARED: usize = 32;
/// Of these, those first in the order of preference for the request's prompt.
const MOST_PREFERRED: usize = 10;
/// Of these, some of the own zone, and some of all, drawn for each request.
const DRAWN_NEAR: usize = 6;
const DRAWN: usize = 8;

/// What sending a request to one back end would mean.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub instance: InstanceId,
    pub candidate: Candidate,
    pub uncached: u32,
    pub copy_from: Option<SocketAddr>,
}

/// Preference of a back end for a prompt: all nodes compute it alike.
fn preference(state: &BackEndState, demand: &Demand) -> u64 {
    let first = demand.shared_parts().first();
    xxh3_64_with_seed(
        &state.digest.to_le_bytes(),
        first.map_or(0, |part| part.id.0),
    )
}

/// Plans for the back ends worth comparing.
pub(crate) fn plans(
    registry: &Registry,
    zone: &ZoneName,
    demand: &Demand,
    now: Timestamp,
    random: &mut impl Rng,
) -> Vec<Plan> {
    let staying: Vec<&BackEndState> = registry
        .pool(&demand.pool)
        .filter(|state| state.takes_work())
        .collect();
    let has_shared = !demand.shared_parts().is_empty();
    let home = staying
        .iter()
        .max_by_key(|state| preference(state, demand))
        .filter(|_| has_shared)
        .map(|state| &state.back_end.instance);
    let compared = shortlist(&staying, zone, demand, now, random);
    let setting = Setting {
        home,
        keepers: Keepers::among(&staying, home, demand, now),
        usual_failures: usual_failure_share(&staying, now),
        zone,
        now,
    };
    compared
        .into_iter()
        .map(|state| plan(state, demand, &setting))
        .collect()
}

/// The back ends compared: all of a small pool; of a large one those that a prompt's
/// beginning prefers, and some drawn at random.
fn shortlist<'a>(
    staying: &[&'a BackEndState],
    zone: &ZoneName,
    demand: &Demand,
    now: Timestamp,
    random: &mut impl Rng,
) -> Vec<&'a BackEndState> {
    let open = |state: &&&BackEndState| !demand.excluded.contains(&state.back_end.instance);
    let healthy = |state: &&&BackEndState| !state.health.is_ejected(now);
    let mut usable: Vec<&BackEndState> = staying
        .iter()
        .filter(open)
        .filter(healthy)
        .copied()
        .collect();
    if usable.is_empty() {
        usable = staying.iter().filter(open).copied().collect();
    }
    if usable.len() <= MOST_COMPARED {
        return usable;
    }
    let is_near = |state: &&&BackEndState| state.back_end.zone == *zone;
    let near = usable.iter().filter(is_near).copied();
    let near = near.choose_multiple(random, DRAWN_NEAR);
    let drawn = usable.iter().copied().choose_multiple(random, DRAWN);
    usable.select_nth_unstable_by_key(MOST_PREFERRED, |state| {
        std::cmp::Reverse(preference(state, demand))
    });
    usable.truncate(MOST_PREFERRED);
    for state in near.into_iter().chain(drawn) {
        if !usable.iter().any(|known| std::ptr::eq(*known, state)) {
            usable.push(state);
        }
    }
    usable
}

/// The two engines that keep most of a prompt's beginning.
struct Keepers<'a> {
    best: Vec<(u32, &'a BackEndState)>,
}

impl<'a> Keepers<'a> {
    fn among(
        staying: &[&'a BackEndState],
        home: Option<&InstanceId>,
        demand: &Demand,
        now: Timestamp,
    ) -> Self {
        if demand.shared_tokens() < MINIMUM_COPIED_TOKENS {
            return Self { best: Vec::new() };
        }
        let sound = staying.iter().filter(|state| !state.health.is_ejected(now));
        let kept = sound.map(|state| (state.load.cache.kept_tokens(&demand.parts), *state));
        let mut best: Vec<(u32, &BackEndState)> = kept
            .filter(|(kept, _)| *kept >= MINIMUM_COPIED_TOKENS)
            .collect();
        best.sort_by_key(|(kept, state)| {
            let is_home = home == Some(&state.back_end.instance);
            std::cmp::Reverse((*kept, is_home))
        });
        best.truncate(2);
        Self { best }
    }

    /// Where an engine that keeps so much would copy the rest from.
    fn source(&self, instance: &InstanceId, kept: u32) -> Option<SocketAddr> {
        let mut others = self.best.iter();
        let (most, state) = others.find(|(_, state)| state.back_end.instance != *instance)?;
        let gain = most.saturating_sub(kept);
        (gain >= MINIMUM_COPIED_TOKENS).then_some(state.back_end.address)
    }
}

/// What all plans for one request share.
struct Setting<'a> {
    home: Option<&'a InstanceId>,
    keepers: Keepers<'a>,
    usual_failures: f64,
    zone: &'a ZoneName,
    now: Timestamp,
}

/// Share of failures of the sounder quarter of a pool: where many fail, the rest shows
/// what is usual.
fn usual_failure_share(staying: &[&BackEndState], now: Timestamp) -> f64 {
    let shares = staying.iter().map(|state| state.load.failure_share(now));
    let mut shares: Vec<f64> = shares.collect();
    if shares.is_empty() {
        return 0.0;
    }
    let quarter = shares.len() / 4;
    *shares.select_nth_unstable_by(quarter, f64::total_cmp).1
}

fn plan(state: &BackEndState, demand: &Demand, setting: &Setting<'_>) -> Plan {
    let now = setting.now;
    let instance = &state.back_end.instance;
    let kept = state.load.cache.kept_tokens(&demand.parts);
    let missing = demand.shared_tokens().saturating_sub(kept);
    let copy_from = setting.keepers.source(instance, kept);
    let copied = if copy_from.is_some() { missing } else { 0 };
    let is_home = setting.home == Some(instance);
    let read_again = if is_home { 0 } else { missing - copied };
    let uncached = demand.prompt_tokens.saturating_sub(kept + copied);
    let pending = state.load.total_pending_tokens(now);
    Plan {
        instance: instance.clone(),
        uncached,
        copy_from,
        candidate: Candidate {
            first_event: state.load.reading_time(pending + u64::from(uncached)),
            read_again,
            copied,
            interference: interference(state, demand, uncached, pending, now),
            running: state.load.total_running(now),
            slots: state.back_end.slots,
            is_near: state.back_end.zone == *setting.zone,
            excess_failures: excess_failures(state, setting),
            may_repeat: demand.may_repeat,
        },
    }
}

/// By how much a back end fails more than the sound ones of its pool, beyond chance.
fn excess_failures(state: &BackEndState, setting: &Setting<'_>) -> f64 {
    let share = state.load.failure_share(setting.now);
    (share - setting.usual_failures - CHANCE_SHARE).max(0.0)
}

fn interference(
    state: &BackEndState,
    demand: &Demand,
    uncached: u32,
    pending: u64,
    now: Timestamp,
) -> Interference {
    let sensitive = state.load.total_sensitive(now);
    if demand.is_pause_sensitive() {
        return Interference::Suffered {
            pending: state.load.reading_time(pending),
            others: state.load.total_running(now).saturating_sub(sensitive),
        };
    }
    Interference::Caused {
        reading: state.load.reading_time(u64::from(uncached)),
        sensitive,
    }
}
