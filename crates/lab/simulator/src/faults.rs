//! Fault injection.

use crate::entry_logic::EntryLogic;
use crate::scenario::{Fault, FaultKind};
use crate::world::World;
use eiderferry_config::EntryState;
use eiderferry_types::{Span, ZoneId};
use std::collections::BTreeSet;

impl World {
    pub fn start_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        *self.injected_faults.entry(fault.kind.name()).or_default() += 1;
        self.record_trace(fault.kind.name(), &[index as u64]);
        self.mark_disturbed_zones(&fault);
        match fault.kind {
            FaultKind::NodeCrash { node } => {
                let node = self.wrapped_node_index(node);
                self.end_process(node);
            }
            FaultKind::NodePause { node } => {
                let node = self.wrapped_node_index(node);
                let until = self.now + Span::from_seconds(fault.lasts);
                let paused = &mut self.nodes[node];
                paused.paused_until = paused.paused_until.max(until);
                paused.unhealthy_since.get_or_insert(self.now);
            }
            FaultKind::NodeRestart { node } => {
                let node = self.wrapped_node_index(node);
                self.drain_node(node);
            }
            FaultKind::BackEndCrash { back_end } => {
                let back_end = self.wrapped_back_end_index(back_end);
                self.crash_back_end(back_end);
            }
            FaultKind::BackEndSlow { back_end, factor } => self.set_speed(back_end, factor),
            FaultKind::BackEndFreeze { back_end } => self.freeze(back_end),
            FaultKind::BackEndLeave { back_end } => {
                self.set_leaving(back_end, EntryState::Leaving);
            }
            FaultKind::ZoneCut { zone } => self.cut_zone(ZoneId(zone)),
            FaultKind::PlatformCut { zone } => self.network.cut_platform(ZoneId(zone), 1),
            FaultKind::PlatformDown => self.platform.outage_count += 1,
            FaultKind::PlatformStale { age } => {
                self.platform.stale_ages.push(Span::from_seconds(age));
            }
            FaultKind::MessageLoss { part } => self.network.extra_loss += part,
            FaultKind::ConfigurationChange => self.change_configuration(),
            FaultKind::InvalidConfiguration => {
                self.platform
                    .publish(self.now, |document| document.classes.clear());
                let classes = self.configuration.classes.clone();
                // A valid version follows immediately, as if an operator had corrected it.
                self.platform
                    .publish(self.now, |document| document.classes = classes);
            }
            FaultKind::Burst { factor } => self.burst_factor *= factor,
        }
    }

    pub fn end_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        self.mark_disturbed_zones(&fault);
        match fault.kind {
            FaultKind::NodeCrash { node } | FaultKind::NodeRestart { node } => {
                let node = self.wrapped_node_index(node);
                self.restart_node(node);
            }
            FaultKind::NodePause { node } => {
                let node = self.wrapped_node_index(node);
                if !self.is_paused(node) && self.nodes[node].logic.is_some() {
                    self.nodes[node].unhealthy_since = None;
                }
            }
            FaultKind::BackEndCrash { back_end } => {
                let back_end = self.wrapped_back_end_index(back_end);
                self.restart_back_end(back_end);
            }
            FaultKind::BackEndSlow { back_end, .. } => self.set_speed(back_end, 1.0),
            FaultKind::BackEndFreeze { back_end } => {
                let back_end = self.wrapped_back_end_index(back_end);
                self.unfreeze(back_end);
            }
            FaultKind::BackEndLeave { back_end } => self.set_leaving(back_end, EntryState::Live),
            FaultKind::ZoneCut { zone } => self.network.cut_zone(ZoneId(zone), -1),
            FaultKind::PlatformCut { zone } => self.network.cut_platform(ZoneId(zone), -1),
            FaultKind::PlatformDown => {
                self.platform.outage_count -= 1;
                self.platform.last_disturbed = self.now;
            }
            FaultKind::PlatformStale { age } => {
                let age = Span::from_seconds(age);
                let stale = &mut self.platform.stale_ages;
                if let Some(position) = stale.iter().position(|known| *known == age) {
                    stale.remove(position);
                }
                self.platform.last_disturbed = self.now;
            }
            FaultKind::MessageLoss { part } => {
                self.network.extra_loss = (self.network.extra_loss - part).max(0.0);
                self.platform.last_disturbed = self.now;
            }
            FaultKind::ConfigurationChange | FaultKind::InvalidConfiguration => {}
            FaultKind::Burst { factor } => self.burst_factor /= factor,
        }
        self.shares.recount(self.now, &self.back_ends);
    }

    /// Marks the zones that a fault affects as disturbed: during the fault and for some time
    /// after it, some guarantees are restricted there.
    fn mark_disturbed_zones(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::ZoneCut { zone } | FaultKind::PlatformCut { zone } => {
                self.shares.mark_disturbed(ZoneId(zone), self.now);
                if matches!(fault.kind, FaultKind::ZoneCut { .. }) {
                    for zone in crate::world::zone_ids(&self.configuration) {
                        self.shares.mark_disturbed(zone, self.now);
                    }
                }
            }
            FaultKind::NodeCrash { node }
            | FaultKind::NodePause { node }
            | FaultKind::NodeRestart { node } => {
                let zone = self.nodes[self.wrapped_node_index(node)].zone;
                self.shares.mark_disturbed(zone, self.now);
            }
            FaultKind::BackEndCrash { back_end }
            | FaultKind::BackEndFreeze { back_end }
            | FaultKind::BackEndSlow { back_end, .. }
            | FaultKind::BackEndLeave { back_end } => {
                let zone = self.back_ends[self.wrapped_back_end_index(back_end)].zone;
                self.shares.mark_disturbed(zone, self.now);
            }
            FaultKind::MessageLoss { .. } => {
                for zone in crate::world::zone_ids(&self.configuration) {
                    self.shares.mark_disturbed(zone, self.now);
                }
            }
            _ => {}
        }
    }

    /// Whether a zone is, or recently was, affected by a fault.
    pub fn is_zone_disturbed(&self, zone: ZoneId) -> bool {
        self.shares.is_disturbed(zone, self.now)
    }

    fn wrapped_node_index(&self, node: u32) -> usize {
        node as usize % self.nodes.len()
    }

    fn wrapped_back_end_index(&self, back_end: u32) -> usize {
        back_end as usize % self.back_ends.len()
    }

    /// Restarts a node's process. A process that is still finishing requests before a planned
    /// stop keeps running and is put back into service.
    fn restart_node(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = self.nodes[index]
            .logic
            .as_mut()
            .and_then(EntryLogic::node_mut)
        {
            node.undrain(now);
            self.nodes[index].draining_since = None;
            self.process_outputs(index);
        } else if self.nodes[index].logic.is_none() {
            self.start_node(index);
        }
        let entry = self.nodes[index].entry();
        self.platform.upsert_node(now, entry);
    }

    fn set_speed(&mut self, back_end: u32, factor: f64) {
        let index = self.wrapped_back_end_index(back_end);
        if let Some(engine) = &mut self.back_ends[index].engine {
            engine.slow_factor = factor;
        }
    }

    fn freeze(&mut self, back_end: u32) {
        let index = self.wrapped_back_end_index(back_end);
        self.back_ends[index].freeze_count += 1;
        self.stall_streams_where(|attempt_back_end, _| attempt_back_end == index, false);
    }

    fn set_leaving(&mut self, back_end: u32, state: EntryState) {
        let index = self.wrapped_back_end_index(back_end);
        let id = self.back_ends[index].id;
        let leaving = state == EntryState::Leaving;
        self.back_ends[index].leaving_since = leaving.then_some(self.now);
        self.platform.set_back_end_state(self.now, id, state);
    }

    fn cut_zone(&mut self, zone: ZoneId) {
        self.network.cut_zone(zone, 1);
        let zones: Vec<ZoneId> = self
            .back_ends
            .iter()
            .map(|back_end| back_end.zone)
            .collect();
        let node_zones: Vec<ZoneId> = self.nodes.iter().map(|node| node.zone).collect();
        let crosses_cut = |back_end: usize, node: usize| {
            let (left, right) = (zones[back_end], node_zones[node]);
            left != right && (left == zone || right == zone)
        };
        self.stall_streams_where(crosses_cut, true);
    }

    /// Schedules stall checks for the affected streams; if `permanent`, they never resume.
    fn stall_streams_where(&mut self, is_affected: impl Fn(usize, usize) -> bool, permanent: bool) {
        let mut stalled = BTreeSet::new();
        for request in &self.metrics.open_requests {
            let state = &mut self.requests[*request];
            let (Some(attempt), Some(node)) = (&mut state.attempt, state.node) else {
                continue;
            };
            if is_affected(attempt.back_end, node) {
                attempt.stalled |= permanent;
                stalled.insert((*request, attempt.number));
            }
        }
        for (request, attempt) in stalled {
            self.schedule_stall_check(request, attempt);
        }
    }

    fn change_configuration(&mut self) {
        // The change affects only the version and one value without consequences.
        self.platform.publish(self.now, |document| {
            if let Some(class) = document.classes.last_mut() {
                class.assumed_answer_tokens += 1;
            }
        });
    }
}
