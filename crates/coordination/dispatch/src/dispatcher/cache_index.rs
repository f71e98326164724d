//! Selects the engines whose caches this node follows, and applies their cache events.
//!
//! One node of an engine's zone follows it: the first by rendezvous hashing over the zone's live
//! nodes that aren't stopping. It does no harm if a second one does for a while, as the events are
//! reported as states, not as changes of a state.

use super::{Dispatcher, PLACEMENTS_PER_MESSAGE};
use crate::load::cache_index::{CacheCall, CacheIndex, CacheResponse, FollowCounts};
use crate::load::registry::BackEndState;
use crate::{Placement, TableStamp};
use eiderferry_routing::{InstanceId, PartId};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Time after a start in which a node discovers enough others of its zone to compute which node
/// follows which engine: peers are sent to each tenth of a second.
const SETTLING_TIME: Span = Span::from_milliseconds(700);
/// Largest number of engines that one node follows; the mirror of one cache takes some 100 kB.
const MAX_FOLLOWED: usize = 24;
/// Largest number of corrections sent after one response.
const MAX_CORRECTIONS: usize = 12;

/// A cache call that is due at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCacheCall {
    /// The engine.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Start time of the engine's run, if the engine states it.
    pub started_unix_ms: Option<u64>,
    /// The call to make.
    pub call: CacheCall,
}

/// Result of a cache response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Prompt parts recorded as cached that the engine doesn't hold.
    pub stale: usize,
    /// Prompt parts that it holds and that were not recorded as cached.
    pub missing: usize,
    /// Counts of the engine since it has been followed.
    pub counts: FollowCounts,
    /// Time for which it has been followed.
    pub followed_for: Span,
}

/// Fewest ticks between two evaluations of which engines to follow while engines come and go: an
/// evaluation compares each engine of the zone with each node of the zone.
const MIN_EVALUATION_TICKS: u64 = 5;
/// Ticks after which the engines to follow are evaluated even if nothing has changed.
const MAX_EVALUATION_TICKS: u64 = 50;

/// The engines whose caches this node follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowedCaches {
    indices: BTreeMap<InstanceId, CacheIndex>,
    ended_counts: FollowCounts,
    /// Basis of the last evaluation of which engines to follow, and its tick.
    last_evaluation: Option<(FollowBasis, u64)>,
    evaluations: u64,
}

/// Inputs to the evaluation of which engines a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FollowBasis {
    may_follow: bool,
    table_stamp: TableStamp,
    active_peers_version: u64,
    back_ends_version: u64,
}

impl FollowBasis {
    /// Whether the evaluation on this basis is still valid: nothing has changed, or only engines
    /// have and the evaluation is recent.
    fn is_valid(&self, now: &Self, ticks: u64) -> bool {
        let is_same_but_for_engines = Self {
            back_ends_version: now.back_ends_version,
            ..*self
        } == *now;
        let may_wait = *self == *now || ticks < MIN_EVALUATION_TICKS;
        is_same_but_for_engines && may_wait && ticks < MAX_EVALUATION_TICKS
    }
}

impl FollowedCaches {
    /// Stops following the engines that `is_retained` rejects.
    fn retain(&mut self, is_retained: impl Fn(&InstanceId) -> bool) {
        let ended_counts = &mut self.ended_counts;
        self.indices.retain(|instance, index| {
            let is_retained = is_retained(instance);
            if !is_retained {
                ended_counts.add(index.counts());
            }
            is_retained
        });
    }

    /// Discards the cache mirror of an engine that has restarted.
    pub(super) fn discard(&mut self, instance: &InstanceId) {
        if let Some(index) = self.indices.remove(instance) {
            self.ended_counts.add(index.counts());
        }
    }
}

impl Dispatcher {
    /// Returns the calls that are due at the followed engines.
    pub fn cache_calls(&mut self, now: Timestamp) -> Vec<DueCacheCall> {
        self.update_followed_caches(now);
        let placed = self.back_ends.drain_recent_placements();
        self.restore_cached(placed.into_iter(), now);
        let indices = &mut self.followed_caches.indices;
        let due = indices.iter_mut().filter_map(|(instance, index)| {
            let state = self.back_ends.get(instance)?;
            if state.notice.remaining_backoff(now).is_some() || state.limiter.limit().is_some() {
                return None;
            }
            let listed = &state.back_end;
            let (address, started_unix_ms) = (listed.address, listed.started_unix_ms);
            let call = index.next_due_call(now)?;
            Some(DueCacheCall {
                instance: instance.clone(),
                address,
                started_unix_ms,
                call,
            })
        });
        due.collect()
    }

    /// Whether this node follows an engine's cache.
    pub fn follows_cache(&self, instance: &InstanceId) -> bool {
        self.followed_caches.indices.contains_key(instance)
    }

    fn update_followed_caches(&mut self, now: Timestamp) {
        let basis = self.follow_basis(now);
        let last_evaluation = &self.followed_caches.last_evaluation;
        if last_evaluation.is_some_and(|(before, tick)| before.is_valid(&basis, self.ticks - tick))
        {
            // An engine that is leaving is dropped at once; this is checked before each call.
            let back_ends = &self.back_ends;
            self.followed_caches.retain(|instance| {
                let state = back_ends.get(instance);
                state.is_some_and(BackEndState::accepts_work)
            });
            return;
        }
        self.followed_caches.last_evaluation = Some((basis, self.ticks));
        self.followed_caches.evaluations += 1;
        let own: HashSet<InstanceId> = self.caches_to_follow(&basis).into_iter().collect();
        let followed = &mut self.followed_caches;
        followed.retain(|instance| own.contains(instance));
        for instance in own {
            let index = followed.indices.entry(instance);
            index.or_insert_with(|| CacheIndex::new(now));
        }
    }

    fn follow_basis(&self, now: Timestamp) -> FollowBasis {
        let is_enabled = self.settings.features.cache_index && self.reports_any_cache_events();
        FollowBasis {
            may_follow: is_enabled && !self.is_stopping && self.uptime(now) >= SETTLING_TIME,
            table_stamp: self.document_store.table_stamp(),
            active_peers_version: self.peers.active_peers_version(),
            back_ends_version: self.back_ends.version(),
        }
    }

    fn caches_to_follow(&self, basis: &FollowBasis) -> Vec<InstanceId> {
        if !basis.may_follow {
            return Vec::new();
        }
        let states = self.back_ends.in_zone(&self.settings.zone);
        let own = states.filter(|state| self.should_follow(state));
        let mut own: Vec<&BackEndState> = own.collect();
        own.sort_unstable_by_key(|state| state.digest);
        let own = own.into_iter().take(MAX_FOLLOWED);
        own.map(|state| state.back_end.instance.clone()).collect()
    }

    /// Whether the engines of any pool report cache events.
    fn reports_any_cache_events(&self) -> bool {
        let table = self.document_store.table();
        let mut pools = table
            .into_iter()
            .flat_map(|table| table.document().pools.values());
        pools.any(|pool| {
            let engine = pool.engine.as_ref();
            engine.is_some_and(|engine| engine.cache_event_calls > 0)
        })
    }

    fn should_follow(&self, state: &BackEndState) -> bool {
        let reports_events = self
            .document_store
            .table()
            .and_then(|table| table.pool(&state.back_end.pool)?.engine.as_ref())
            .is_some_and(|engine| engine.cache_event_calls > 0);
        reports_events && state.accepts_work() && self.peers.sender_index(state.digest) == 0
    }

    /// Handles the response to a cache call. Returns `None` if the engine is no longer followed or
    /// nothing was learned.
    pub fn handle_cache_response(
        &mut self,
        instance: &InstanceId,
        response: CacheResponse,
        now: Timestamp,
    ) -> Option<CacheUpdate> {
        let index = self.followed_caches.indices.get_mut(instance)?;
        let gaps = index.counts().gaps;
        if !index.handle_response(response, now) {
            let has_gap = index.counts().gaps > gaps;
            return has_gap.then(|| CacheUpdate::of(index, &[], now));
        }
        let observations = self.corrections(instance)?;
        let cache = &mut self.back_ends.get_mut(instance)?.load.cache;
        for observation in &observations {
            cache.apply_observation(observation.part, observation.tokens, now);
        }
        let index = self.followed_caches.indices.get_mut(instance)?;
        cache.confirm(|part| index.stored_tokens(part).is_some(), now);
        index.record_corrections(observations.len(), now);
        let update = CacheUpdate::of(index, &observations, now);
        self.queue_observations(&observations);
        Some(update)
    }

    /// Differences between an engine's cache and what is recorded of it. Those that don't fit into
    /// the next messages still exist at the next response, and are sent then.
    fn corrections(&self, instance: &InstanceId) -> Option<Vec<Placement>> {
        let index = self.followed_caches.indices.get(instance)?;
        let state = self.back_ends.get(instance)?;
        let cache = &state.load.cache;
        let stale = index.stale_parts(cache).into_iter();
        let stale = stale.map(|part| observation(state.digest, part, 0));
        let missing = index.missing_parts(cache, &self.back_ends.cached_parts());
        let missing = missing.into_iter();
        let missing = missing.map(|part| observation(state.digest, part.id, part.tokens));
        let room = PLACEMENTS_PER_MESSAGE.saturating_sub(self.placements.len());
        Some(
            stale
                .chain(missing)
                .take(room.min(MAX_CORRECTIONS))
                .collect(),
        )
    }

    /// Records prompt parts that have turned out to be shared as cached at the followed engines
    /// that hold them. So the caches are known again with the first requests after a loss of all
    /// nodes, although cache events don't say which parts are shared.
    pub(super) fn restore_cached(&mut self, parts: impl Iterator<Item = PartId>, now: Timestamp) {
        if self.followed_caches.indices.is_empty() {
            return;
        }
        let mut restored = Vec::new();
        for part in parts {
            for (instance, index) in &self.followed_caches.indices {
                let Some(tokens) = index.stored_tokens(part) else {
                    continue;
                };
                let Some(state) = self.back_ends.get_mut(instance) else {
                    continue;
                };
                let cache = &mut state.load.cache;
                if !cache.contains(part) {
                    cache.apply_observation(part, tokens, now);
                    restored.push(observation(state.digest, part, tokens));
                }
            }
        }
        self.queue_observations(&restored);
    }

    /// Number of evaluations of which engines to follow, since the start.
    pub(super) fn follow_evaluations(&self) -> u64 {
        self.followed_caches.evaluations
    }

    /// Number of followed engines, and counts of following since the start.
    pub(super) fn cache_counts(&self) -> (usize, FollowCounts) {
        let mut counts = self.followed_caches.ended_counts;
        for index in self.followed_caches.indices.values() {
            counts.add(index.counts());
        }
        (self.followed_caches.indices.len(), counts)
    }

    /// Queues observations of engine caches for the next messages, in place of earlier placements
    /// of the same parts.
    fn queue_observations(&mut self, observations: &[Placement]) {
        let key = |placement: &Placement| (placement.back_end, placement.part);
        self.placements.retain(|known| {
            !observations
                .iter()
                .any(|observation| key(observation) == key(known))
        });
        self.queue_placements(observations);
    }

    /// Queues placements for the next messages to other nodes.
    pub(super) fn queue_placements(&mut self, placements: &[Placement]) {
        let room = PLACEMENTS_PER_MESSAGE.saturating_sub(self.placements.len());
        let placements = &placements[..placements.len().min(room)];
        self.placements.extend_from_slice(placements);
        if self.collects_placements() {
            self.zone_digests.record_placements(placements);
        }
    }
}

impl CacheUpdate {
    fn of(index: &CacheIndex, observations: &[Placement], now: Timestamp) -> Self {
        let stale = observations
            .iter()
            .filter(|observation| observation.tokens == 0)
            .count();
        Self {
            stale,
            missing: observations.len() - stale,
            counts: index.counts(),
            followed_for: now.since(index.followed_since()),
        }
    }
}

fn observation(back_end: u32, part: PartId, tokens: u32) -> Placement {
    Placement {
        back_end,
        part,
        tokens,
        is_observed: true,
    }
}
