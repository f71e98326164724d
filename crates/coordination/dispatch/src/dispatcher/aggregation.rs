//! Aggregators: in a large zone two nodes collect the load reports of all its nodes, and send each
//! of them the sums over the whole fleet. A loaded node of 295 in five zones sends 24 control
//! messages a second instead of 142, and 41 kB instead of 77 (counted in `tests/aggregation.rs`).
//! All nodes compute the same aggregators: nodes with fast links first, then by hash. Aggregators
//! hold no state that is not reported again within half a second, so any of them may be lost at any
//! time.

use super::round_robin::round_robin;
use super::{Dispatcher, TICK};
use crate::fleet::message::{
    Envelope, FleetSummary, Gossip, LoadReport, Member, Placement, ZoneAge,
};
use crate::fleet::traffic::MessageKind;
use crate::load::limit_notices::Audience;
use crate::{LoadSource, PeerChange};
use eiderferry_routing::{PartId, ZoneName};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Aggregators of a zone: one may be lost while the other goes on.
const AGGREGATORS: usize = 2;
/// Share of an aggregator's link that its summaries take.
const LINK_SHARE: f64 = 0.15;
/// Assumed size of a summary in bytes, for each back end.
const BYTES_PER_BACK_END: f64 = 18.0;
/// The same for 400 placements at 13 bytes.
const PLACEMENT_BYTES: f64 = 5_200.0;
/// Largest number of nodes that get a summary in one tick, so that one message a node each 0.4 s
/// suffices in a zone of 60 and an aggregator sends no more than 150 a second.
const MAX_SUMMARIES_PER_TICK: f64 = 15.0;
/// Shortest interval, in ticks, between two summaries to one node. In a zone of 24 nodes, 2 ticks
/// instead of 4 saved the recomputation of 1.8 of 13.7 million prompt tokens on a loaded day.
const MIN_SUMMARY_TICKS: u64 = 2;
/// Longest interval in ticks, however slow the link is: loads have to be recent to be of use.
const MAX_SUMMARY_TICKS: u64 = 12;
/// Silence of a new aggregator after which the next node replaces it: it collects reports first.
const FIRST_SUMMARY_TIMEOUT: Span = Span::from_milliseconds(2_500);
/// Number of summaries that an aggregator may miss before it counts as silent.
const MAX_MISSED_SUMMARIES: u64 = 3;
/// Additional silence that is allowed before it counts as silent.
const SILENCE_MARGIN: Span = Span::from_milliseconds(500);
/// Time for which a node that received a report acts as an aggregator, whichever nodes it computes
/// to be the aggregators itself.
const REPORTS_RECEIVED_LIFETIME: Span = Span::from_milliseconds(1_000);
/// Time that a new aggregator waits for the reports of all nodes before it sends sums.
const COLLECTION_TIME: Span = Span::from_milliseconds(700);
/// Ticks after which a node sends a report even if nothing has changed.
const UNCHANGED_REPORT_TICKS: u64 = 5;
/// Ticks within which the summaries to a node list all nodes of its zone: with 16, at a loss of one
/// message in 13, a node of 71 wrongly held another one to be lost.
const TICKS_TO_LIST_ZONE: u64 = 12;
/// The same for the nodes of other zones, with which a node has contact only through others. With
/// 40, the busiest of 300 nodes sent 570 kB a second instead of 475.
const TICKS_TO_LIST_OTHER_ZONES: u64 = 80;
/// Largest number of back ends in one summary; those with most requests are chosen.
const MAX_SUMMARY_LOADS: usize = 400;
/// Largest number of placements in one summary; at 13 bytes each they take 5 kB.
const MAX_SUMMARY_PLACEMENTS: usize = 400;
/// Ticks between two messages to single peers of the zone, which keep nodes known that no
/// aggregator hears.
pub(super) const PEER_TICKS: u64 = 2;
/// Silence of a zone, as reported by aggregators, after which it counts as partitioned from this
/// one: its two aggregators report each 0.4 s, and other nodes forward their reports.
const ZONE_SILENCE: Span = Span::from_milliseconds(1_500);
/// Time for which an aggregator's report on the zones is valid.
const ZONE_REPORT_LIFETIME: Span = Span::from_milliseconds(1_300);

/// An aggregator and the time by which its next summary is due.
#[derive(Clone, Copy, Debug)]
struct WatchedAggregator {
    address: SocketAddr,
    /// Time by which its next summary is due.
    summary_due: Timestamp,
}

/// A placement to be sent with the next summaries.
#[derive(Clone, Copy, Debug)]
struct PendingPlacement {
    placement: Placement,
    ticks_left: u64,
}

/// A node's view of the aggregators, and what it collects as one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Aggregation {
    /// The aggregators in order of priority.
    aggregators: Vec<WatchedAggregator>,
    /// When this node became an aggregator; `None` if it isn't one.
    active_since: Option<Timestamp>,
    last_report_received: Option<Timestamp>,
    /// Ticks within which each node of the zone gets one summary of this node.
    summary_ticks: u64,
    summary_cursor: usize,
    pending_placements: BTreeMap<(u32, PartId), PendingPlacement>,
    last_report: Vec<LoadReport>,
    last_report_tick: u64,
    member_cursor: usize,
    other_zone_member_cursor: usize,
    last_summary: Option<Timestamp>,
    zones_last_heard: BTreeMap<ZoneName, Timestamp>,
}

impl Aggregation {
    /// Whether this node acts as an aggregator.
    pub(super) fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Adds placements to the next summaries.
    pub(super) fn record_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let key = (placement.back_end, placement.part);
            if self.pending_placements.len() < MAX_SUMMARY_PLACEMENTS
                || self.pending_placements.contains_key(&key)
            {
                let pending = PendingPlacement {
                    placement: *placement,
                    ticks_left: self.summary_ticks.max(MIN_SUMMARY_TICKS),
                };
                self.pending_placements.insert(key, pending);
            }
        }
    }

    /// Returns the placements for the summary of this tick.
    fn placements_to_send(&mut self) -> Vec<Placement> {
        let placements = self
            .pending_placements
            .values()
            .map(|pending| pending.placement);
        let placements = placements.collect();
        self.pending_placements.retain(|_, pending| {
            pending.ticks_left -= 1;
            pending.ticks_left > 0
        });
        placements
    }

    /// Restarts the silence timers after a pause of this process: silence before it shows nothing
    /// about the other nodes.
    pub(super) fn reset_silence(&mut self, now: Timestamp) {
        for aggregator in &mut self.aggregators {
            aggregator.summary_due = now + FIRST_SUMMARY_TIMEOUT;
        }
        for heard in self.zones_last_heard.values_mut() {
            *heard = now;
        }
    }

    /// Records that a report was sent to this node.
    pub(super) fn record_report(&mut self, now: Timestamp) {
        self.last_report_received = Some(now);
    }

    /// Records that loads were counted in another zone at a time.
    pub(super) fn record_zone(&mut self, zone: &ZoneName, counted_at: Timestamp) {
        let heard = self.zones_last_heard.entry(zone.clone()).or_default();
        *heard = counted_at.max(*heard);
    }

    /// Zones that count as partitioned from this one; `None` while no aggregator is heard.
    pub(super) fn silent_zones(&self, now: Timestamp) -> Option<BTreeSet<ZoneName>> {
        let heard = self.last_summary;
        let is_report_valid = heard.is_some_and(|heard| now.since(heard) < ZONE_REPORT_LIFETIME);
        if !is_report_valid && !self.is_active() {
            return None;
        }
        let zones = self.zones_last_heard.iter();
        let silent = zones.filter(|(_, heard)| now.since(**heard) > ZONE_SILENCE);
        Some(silent.map(|(zone, _)| zone.clone()).collect())
    }

    /// Whether a placement is reported to the aggregator `number` of `count`: each gets a share of
    /// them.
    fn is_assigned_to(index: usize, count: usize, placement: &Placement) -> bool {
        placement.part.0 % count as u64 == index as u64
    }
}

impl Dispatcher {
    /// Updates the aggregators and this node's own role. Returns the aggregators that fell silent.
    pub(super) fn update_aggregators(&mut self, now: Timestamp) -> Vec<PeerChange> {
        if !self.peers.is_zone_large() {
            self.aggregation.aggregators.clear();
            self.aggregation.active_since = None;
            return Vec::new();
        }
        let own = self.settings.address;
        let aggregators = self.aggregation.aggregators.iter();
        let silent = aggregators
            .filter(|aggregator| aggregator.address != own && aggregator.summary_due < now);
        let silent: Vec<SocketAddr> = silent.map(|aggregator| aggregator.address).collect();
        let changes = silent
            .into_iter()
            .filter_map(|address| self.peers.mark_lost(address))
            .collect();
        let previous = std::mem::take(&mut self.aggregation.aggregators);
        let watch = |address: SocketAddr| {
            let previous = previous
                .iter()
                .find(|aggregator| aggregator.address == address);
            previous.copied().unwrap_or(WatchedAggregator {
                address,
                summary_due: now + FIRST_SUMMARY_TIMEOUT,
            })
        };
        let designated = self.designated_aggregators();
        self.aggregation.aggregators = designated.into_iter().map(watch).collect();
        self.update_own_role(now);
        changes
    }

    fn designated_aggregators(&self) -> Vec<SocketAddr> {
        let mut candidates = self.peers.role_candidates();
        candidates.truncate(AGGREGATORS);
        if !self.is_stopping {
            let own = self.settings.address;
            candidates.push((self.role_priority(), own));
        }
        candidates.sort_unstable_by_key(|(priority, _)| std::cmp::Reverse(*priority));
        let candidates = candidates.into_iter().take(AGGREGATORS);
        candidates.map(|(_, address)| address).collect()
    }

    fn update_own_role(&mut self, now: Timestamp) {
        let own = self.settings.address;
        let summary_ticks = self.compute_summary_ticks();
        let aggregation = &mut self.aggregation;
        aggregation.summary_ticks = summary_ticks;
        let mut aggregators = aggregation.aggregators.iter();
        let is_designated = aggregators.any(|aggregator| aggregator.address == own);
        let reported = aggregation.last_report_received;
        let has_recent_reports =
            reported.is_some_and(|at| now.since(at) < REPORTS_RECEIVED_LIFETIME);
        if is_designated || has_recent_reports {
            aggregation.active_since.get_or_insert(now);
        } else {
            aggregation.active_since = None;
            aggregation.pending_placements.clear();
        }
    }

    /// Reports to the aggregators, if anything has changed, and the summary for the zone, if one is
    /// due.
    pub(super) fn aggregation_messages(&mut self, now: Timestamp) -> Vec<Envelope> {
        let mut messages = self.reports(now);
        messages.extend(self.summary(now));
        messages
    }

    fn reports(&mut self, now: Timestamp) -> Vec<Envelope> {
        let loads = self.own_loads(now);
        let digests = self.zone_digests.digests_to_forward(now);
        let ticks_since_report = self.ticks - self.aggregation.last_report_tick;
        let has_changed = loads != self.aggregation.last_report
            || !self.placements.is_empty()
            || !digests.is_empty()
            || self.back_ends.limit_notices().has_unsent_changes(now);
        if !has_changed && ticks_since_report < UNCHANGED_REPORT_TICKS {
            return Vec::new();
        }
        self.aggregation.last_report_tick = self.ticks;
        self.aggregation.last_report.clone_from(&loads);
        let placements = std::mem::take(&mut self.placements);
        let aggregators = self.aggregation.aggregators.clone();
        let mut message = self.bare_gossip(false, now);
        message.is_for_aggregator = true;
        message.loads = Some(loads);
        message.zone_digests = digests;
        message.limits = self.limits_for(Audience::OwnZone, now);
        let count = aggregators.len();
        let mut reports = Vec::new();
        for (index, WatchedAggregator { address, .. }) in aggregators.into_iter().enumerate() {
            let assigned = placements.iter().copied();
            let assigned =
                assigned.filter(|placement| Aggregation::is_assigned_to(index, count, placement));
            let assigned: Vec<Placement> = assigned.collect();
            if address == self.settings.address {
                self.aggregation.record_placements(&assigned);
                continue;
            }
            let mut report = message.clone();
            report.placements = assigned;
            reports.push(Envelope {
                kind: MessageKind::Report,
                to: vec![address],
                message: report,
            });
        }
        reports
    }

    fn summary(&mut self, now: Timestamp) -> Option<Envelope> {
        let since = self.aggregation.active_since?;
        if now.since(since) < COLLECTION_TIME {
            return None;
        }
        let summary_ticks = self.aggregation.summary_ticks;
        let same_zone = self.peers.same_zone_peers();
        let receiver_count = same_zone.len().div_ceil(summary_ticks as usize);
        let to = round_robin(
            &same_zone,
            receiver_count,
            &mut self.aggregation.summary_cursor,
        );
        let mut message = self.bare_gossip(false, now);
        message.members = self.members_to_list(now);
        let interval = TICK * summary_ticks;
        message.limits = self.limits_for(Audience::ZoneMembers { interval }, now);
        message.summary = Some(FleetSummary {
            loads: self.fleet_loads(now),
            placements: self.aggregation.placements_to_send(),
            zones: self.zone_ages(now),
            next_summary_ms: (TICK * summary_ticks).milliseconds() as u16,
        });
        Some(Envelope {
            kind: MessageKind::Summary,
            to,
            message,
        })
    }

    /// Live nodes, as heard by this one or reported by other zones. All summaries of a period list
    /// the same ones, as each summary goes to different nodes.
    fn members_to_list(&mut self, now: Timestamp) -> Vec<Member> {
        let summary_ticks = self.aggregation.summary_ticks;
        let same_zone_count = self.peers.same_zone_count() as u64;
        let count = (same_zone_count * summary_ticks).div_ceil(TICKS_TO_LIST_ZONE) as usize;
        if self.ticks.is_multiple_of(summary_ticks) {
            let cursor = self.aggregation.member_cursor;
            self.aggregation.member_cursor = cursor.wrapping_add(count);
        }
        let first = self.aggregation.member_cursor;
        let mut members = self.peers.same_zone_members(first, count, now);
        let other_zone_count = (self.peers.other_zone_count() as u64 * summary_ticks)
            .div_ceil(TICKS_TO_LIST_OTHER_ZONES);
        let first = self.aggregation.other_zone_member_cursor;
        if self.ticks.is_multiple_of(summary_ticks) {
            self.aggregation.other_zone_member_cursor =
                first.wrapping_add(other_zone_count as usize);
        }
        members.extend(
            self.peers
                .other_zone_members(first, other_zone_count as usize, now),
        );
        members
    }

    /// Ticks within which each node of the zone gets one summary: more on a slow link.
    fn compute_summary_ticks(&self) -> u64 {
        let back_ends = self.back_ends.all().count() as f64;
        let summary_bytes = back_ends * BYTES_PER_BACK_END + PLACEMENT_BYTES;
        let bytes_per_second = f64::from(self.settings.link_mbps) * BYTES_PER_MEGABIT * LINK_SHARE;
        let summaries_per_tick = bytes_per_second * TICK.seconds() / summary_bytes;
        let ticks = self.peers.same_zone_count() as f64
            / summaries_per_tick.clamp(1.0, MAX_SUMMARIES_PER_TICK);
        (ticks.ceil() as u64).clamp(MIN_SUMMARY_TICKS, MAX_SUMMARY_TICKS)
    }

    /// Index of this node among the aggregators, which send to other zones in turn.
    pub(super) fn aggregator_index(&self) -> u64 {
        let own = self.settings.address;
        let mut aggregators = self.aggregation.aggregators.iter();
        let index = aggregators.position(|aggregator| aggregator.address == own);
        index.map_or(self.settings.node.digest() % AGGREGATORS as u64, |index| {
            index as u64
        })
    }

    fn fleet_loads(&self, now: Timestamp) -> Vec<LoadReport> {
        let states = self.back_ends.all();
        let loads = states.map(|state| state.load.fleet_report(state.digest, now));
        busiest(loads.collect(), MAX_SUMMARY_LOADS)
    }

    fn zone_ages(&self, now: Timestamp) -> Vec<ZoneAge> {
        let zones = self.aggregation.zones_last_heard.iter();
        zones
            .map(|(zone, heard)| ZoneAge {
                zone: zone.clone(),
                age_ms: now.since(*heard).milliseconds() as u32,
            })
            .collect()
    }

    /// Handles the parts of a message that concern aggregators.
    pub(super) fn apply_aggregation(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) {
        if message.zone != self.settings.zone {
            return;
        }
        if message.is_for_aggregator {
            self.aggregation.record_report(now);
            self.aggregation.record_placements(&message.placements);
        }
        if let Some(summary) = &message.summary {
            self.apply_summary(address, message.from.digest(), summary, now);
        }
    }

    fn apply_summary(
        &mut self,
        address: SocketAddr,
        aggregator: u64,
        summary: &FleetSummary,
        now: Timestamp,
    ) {
        let next = Span::from_milliseconds(u64::from(summary.next_summary_ms));
        let summary_due = now + next * MAX_MISSED_SUMMARIES + SILENCE_MARGIN;
        let aggregators = self.aggregation.aggregators.iter_mut();
        for aggregator in aggregators.filter(|aggregator| aggregator.address == address) {
            aggregator.summary_due = summary_due;
        }
        self.aggregation.last_summary = Some(now);
        for heard in &summary.zones {
            let age = Span::from_milliseconds(u64::from(heard.age_ms));
            self.aggregation.record_zone(&heard.zone, now - age);
        }
        self.back_ends.apply_placements(&summary.placements, now);
        // An aggregator computes its own sums, from more recent reports.
        if !self.aggregation.is_active() {
            let source = LoadSource::AllNodes {
                reporter: aggregator,
            };
            self.back_ends.apply_loads(source, &summary.loads, now);
        }
    }

    /// Applies the loads that the sender reports as its own, unless they reach this node as part of
    /// sums.
    pub(super) fn apply_own_loads(&mut self, message: &Gossip, now: Timestamp) {
        let Some(loads) = &message.loads else {
            return;
        };
        let is_summed = if message.zone == self.settings.zone {
            self.peers.is_zone_large() && !self.aggregation.is_active()
        } else {
            self.uses_zone_digests()
        };
        if !is_summed {
            let source = LoadSource::Node(message.from.digest());
            self.back_ends.apply_loads(source, loads, now);
        }
    }
}

/// Returns the reports that have content, at most `limit` of them: those with most running requests.
pub(super) fn busiest(mut loads: Vec<LoadReport>, limit: usize) -> Vec<LoadReport> {
    loads.retain(LoadReport::has_content);
    loads.sort_unstable_by_key(|load| (std::cmp::Reverse(load.running), load.back_end));
    loads.truncate(limit);
    loads
}
