//! Tracking of slots in use and waiting requests, to detect classes below their minimum share.

use crate::checker::{Guarantee, Violation};
use crate::engines::SimBackEnd;
use crate::requests::SimRequest;
use eiderferry_config::Configuration;
use eiderferry_types::{ClassId, PoolId, Span, TenantId, Timestamp, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Length of the windows in which a class with waiting requests must get its share.
const WINDOW: Span = Span::from_milliseconds(10_000);
/// Fraction of its guaranteed slots that a class must use on average in a window.
const MIN_SHARE_FRACTION: f64 = 0.8;
/// Minimum time since a request was sent for it to count as waiting; before, it may already be
/// on its way to a back end.
const MIN_WAITING_TIME: Span = Span::from_milliseconds(200);
/// Time after the start or end of a fault during which a zone counts as disturbed.
const DISTURBANCE_PERIOD: Span = Span::from_milliseconds(15_000);

/// Time within which cell holders learn that a back end has left or crashed.
const HOLDER_LAG: Span = Span::from_milliseconds(5_000);

/// Key of a share: a class in a pool of a zone.
type ShareKey = (ZoneId, PoolId, ClassId);

/// Sums over the samples of a window.
#[derive(Clone, Debug, Default)]
struct Window {
    samples: u32,
    samples_with_work: u32,
    running: f64,
    guaranteed_slots: f64,
    disturbed: bool,
}

/// Tracks slots in use and waiting requests by zone, pool and class.
pub(crate) struct ShareTracker {
    slots_per_back_end: BTreeMap<PoolId, u32>,
    minimum_shares: BTreeMap<ClassId, f64>,
    running: BTreeMap<ShareKey, u32>,
    total_slots: BTreeMap<(ZoneId, PoolId), u32>,
    /// Highest number of slots within the time that cell holders may lag behind.
    recent_max_slots: BTreeMap<(ZoneId, PoolId), (Timestamp, u32)>,
    limited_tenants: BTreeSet<(PoolId, TenantId)>,
    windows: BTreeMap<ShareKey, Window>,
    window_start: Timestamp,
    disturbed_until: BTreeMap<ZoneId, Timestamp>,
    violations: Vec<Violation>,
    /// Smallest fraction of its guaranteed slots that a class with waiting requests used in an
    /// undisturbed window.
    pub smallest_fraction: BTreeMap<ClassId, f64>,
}

impl ShareTracker {
    pub fn new(configuration: &Configuration, back_ends: &[SimBackEnd]) -> Self {
        let slots = configuration
            .pools
            .iter()
            .map(|pool| (pool.id, pool.slots_per_back_end));
        let shares = configuration
            .classes
            .iter()
            .map(|class| (class.id, class.minimum_share));
        let mut limited_tenants = BTreeSet::new();
        for tenant in &configuration.tenants {
            for limit in &tenant.limits {
                if let Some(pool) = configuration.pool_named(&limit.pool) {
                    limited_tenants.insert((pool.id, tenant.id));
                }
            }
        }
        let mut total_slots = BTreeMap::new();
        for back_end in back_ends {
            total_slots.insert((back_end.zone, back_end.pool), 0);
        }
        Self {
            slots_per_back_end: slots.collect(),
            minimum_shares: shares.collect(),
            running: BTreeMap::new(),
            total_slots,
            recent_max_slots: BTreeMap::new(),
            limited_tenants,
            windows: BTreeMap::new(),
            window_start: Timestamp::default(),
            disturbed_until: BTreeMap::new(),
            violations: Vec::new(),
            smallest_fraction: BTreeMap::new(),
        }
    }

    pub fn record_start(&mut self, zone: ZoneId, pool: PoolId, class: ClassId) {
        *self.running.entry((zone, pool, class)).or_default() += 1;
    }

    pub fn record_end(&mut self, zone: ZoneId, pool: PoolId, class: ClassId) {
        let running = self.running.entry((zone, pool, class)).or_default();
        *running = running.saturating_sub(1);
    }

    pub fn mark_disturbed(&mut self, zone: ZoneId, now: Timestamp) {
        self.disturbed_until.insert(zone, now + DISTURBANCE_PERIOD);
        for ((window_zone, _, _), window) in &mut self.windows {
            if *window_zone == zone {
                window.disturbed = true;
            }
        }
    }

    pub fn is_disturbed(&self, zone: ZoneId, now: Timestamp) -> bool {
        self.disturbed_until
            .get(&zone)
            .is_some_and(|until| now < *until)
    }

    /// Whether the class is within its share if it starts one more request.
    pub fn is_within_share(&self, zone: ZoneId, pool: PoolId, class: ClassId) -> bool {
        let running = self.running.get(&(zone, pool, class)).copied().unwrap_or(0);
        let recent = self
            .recent_max_slots
            .get(&(zone, pool))
            .map_or(0, |(_, total_slots)| *total_slots);
        f64::from(running) < self.guaranteed_slots_of(class, recent)
    }

    fn guaranteed_slots(&self, zone: ZoneId, pool: PoolId, class: ClassId) -> f64 {
        let total_slots = self.total_slots.get(&(zone, pool)).copied().unwrap_or(0);
        self.guaranteed_slots_of(class, total_slots)
    }

    fn guaranteed_slots_of(&self, class: ClassId, total_slots: u32) -> f64 {
        let share = self.minimum_shares.get(&class).copied().unwrap_or(0.0);
        let slots = (share * f64::from(total_slots)).floor();
        if share > 0.0 { slots.max(1.0) } else { 0.0 }
    }

    /// Samples running and waiting requests.
    pub fn sample<'a>(
        &mut self,
        now: Timestamp,
        open: impl Iterator<Item = &'a SimRequest>,
        back_ends: &[SimBackEnd],
    ) {
        self.recount(now, back_ends);
        let mut waiting: BTreeSet<ShareKey> = BTreeSet::new();
        for request in open {
            let has_tenant_limit = self
                .limited_tenants
                .contains(&(request.pool, request.tenant));
            let waits = request.is_waiting() && now.since(request.sent_at) >= MIN_WAITING_TIME;
            if waits && !has_tenant_limit {
                waiting.insert((request.zone, request.pool, request.class));
            }
        }
        if now.since(self.window_start) >= WINDOW {
            self.close_windows(now);
        }
        for key in self.share_keys() {
            let (zone, pool, class) = key;
            let guaranteed_slots = self.guaranteed_slots(zone, pool, class);
            let running = self.running.get(&key).copied().unwrap_or(0);
            let disturbed = self.is_disturbed(zone, now);
            let window = self.windows.entry(key).or_default();
            window.samples += 1;
            window.samples_with_work += u32::from(waiting.contains(&key));
            window.running += f64::from(running);
            window.guaranteed_slots += guaranteed_slots;
            window.disturbed |= disturbed;
        }
    }

    fn share_keys(&self) -> Vec<ShareKey> {
        let mut share_keys = Vec::new();
        for (zone, pool) in self.total_slots.keys() {
            for (class, share) in &self.minimum_shares {
                if *share > 0.0 {
                    share_keys.push((*zone, *pool, *class));
                }
            }
        }
        share_keys
    }

    fn count_slots(&mut self, back_ends: &[SimBackEnd]) {
        for total_slots in self.total_slots.values_mut() {
            *total_slots = 0;
        }
        for back_end in back_ends {
            let usable =
                back_end.up && back_end.freeze_count == 0 && back_end.leaving_since.is_none();
            let slots = self
                .slots_per_back_end
                .get(&back_end.pool)
                .copied()
                .unwrap_or(0);
            if usable {
                *self
                    .total_slots
                    .entry((back_end.zone, back_end.pool))
                    .or_default() += slots;
            }
        }
    }

    /// Updates the number of slots after back ends have changed.
    pub fn recount(&mut self, now: Timestamp, back_ends: &[SimBackEnd]) {
        self.count_slots(back_ends);
        self.record_recent_totals(now);
    }

    fn record_recent_totals(&mut self, now: Timestamp) {
        for (key, total_slots) in &self.total_slots {
            let recent = self
                .recent_max_slots
                .entry(*key)
                .or_insert((now, *total_slots));
            if *total_slots >= recent.1 || now.since(recent.0) > HOLDER_LAG {
                *recent = (now, *total_slots);
            }
        }
    }

    fn close_windows(&mut self, now: Timestamp) {
        self.window_start = now;
        for ((zone, pool, class), window) in std::mem::take(&mut self.windows) {
            let has_work = window.samples > 0 && window.samples == window.samples_with_work;
            if !has_work || window.disturbed || window.guaranteed_slots <= 0.0 {
                continue;
            }
            let fraction = window.running / window.guaranteed_slots;
            let smallest = self.smallest_fraction.entry(class).or_insert(f64::INFINITY);
            *smallest = smallest.min(fraction);
            if fraction < MIN_SHARE_FRACTION {
                let what = format!(
                    "class {class} had waiting requests in zone {zone}, pool {pool} for 10 s but used \
                     only {:.0} % of its guaranteed slots",
                    fraction * 100.0
                );
                self.violations.push(Violation {
                    promise: Guarantee::Starvation,
                    at_seconds: now.0 as f64 / 1e6,
                    what,
                });
            }
        }
    }

    pub fn finish(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }
}
