//! Aggregators: in a large zone two nodes collect the load reports of all its nodes, and send each
//! of them the sums over the whole fleet. A loaded node of 295 in five zones sends 24 control
//! messages a second instead of 142, and 41 kB instead of 77 (counted in `tests/aggregation.rs`).
//! All nodes compute the same aggregators: nodes with fast links first, then by hash. Aggregators
//! hold no state that is not reported again within half a second, so any of them may be lost at any
//! time.

use super::turns::round_robin;
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
const BYTES_A_MBIT: f64 = 125_000.0;
/// Aggregators of a zone: one may be lost while the other goes on.
const AGGREGATORS: usize = 2;
/// Share of an aggregator's link that its summaries take.
const LINK_PART: f64 = 0.15;
/// Assumed size of a summary in bytes: for each back end, and for 400 placements at 13 bytes.
const BYTES_PER_BACK_END: f64 = 18.0;
const BYTES_OF_PLACEMENTS: f64 = 5_200.0;
/// Largest number of nodes that get a summary in one tick, so that one message a node each 0.4 s
/// suffices in a zone of 60 and an aggregator sends no more than 150 a second.
const TOLD_PER_TICK: f64 = 15.0;
/// Shortest interval, in ticks, between two summaries to one node. In a zone of 24 nodes, 2 ticks
/// instead of 4 saved the recomputation of 1.8 of 13.7 million prompt tokens on a loaded day.
const SHORTEST_PERIOD: u64 = 2;
/// Longest interval in ticks, however slow the link is: loads have to be recent to be of use.
const LONGEST_PERIOD: u64 = 12;
/// Silence of a new aggregator after which the next node replaces it: it collects reports first.
const FIRST_SUMMARY_WITHIN: Span = Span::from_milliseconds(2_500);
/// Summaries that an aggregator may miss, and additional time, before it counts as silent.
const MISSED_SUMMARIES: u64 = 3;
const SILENCE_MARGIN: Span = Span::from_milliseconds(500);
/// Time for which a node that received a report acts as an aggregator, whichever nodes it computes
/// to be the aggregators itself.
const REPORTED_TO: Span = Span::from_milliseconds(1_000);
/// Time that a new aggregator waits for the reports of all nodes before it sends sums.
const COLLECTING_TIME: Span = Span::from_milliseconds(700);
/// Ticks after which a node sends a report even if nothing has changed.
const UNCHANGED_REPORT_TICKS: u64 = 5;
/// Ticks within which the summaries to a node list all nodes of its zone: with 16, at a loss of one
/// message in 13, a node of 71 wrongly held another one to be lost.
const TICKS_TO_NAME_ALL: u64 = 12;
/// The same for the nodes of other zones, with which a node has contact only through others. With
/// 40, the busiest of 300 nodes sent 570 kB a second instead of 475.
const TICKS_TO_NAME_FAR: u64 = 80;
/// Largest number of back ends in one summary; those with most requests are chosen.
const MOST_SUMMED: usize = 400;
/// Largest number of placements in one summary; at 13 bytes each they take 5 kB.
const MOST_PLACEMENTS: usize = 400;
/// Ticks between two messages to single peers of the zone, which keep nodes known that no
/// aggregator hears.
pub(super) const PEER_TICKS: u64 = 2;
/// Silence of a zone, as reported by aggregators, after which the network path to it counts as cut:
/// its two aggregators report each 0.4 s, and other nodes forward their reports.
const ZONE_SILENCE: Span = Span::from_milliseconds(1_500);
/// Time for which an aggregator's report on the zones is valid.
const ZONES_TOLD: Span = Span::from_milliseconds(1_300);

/// An aggregator and the time by which its next summary is due.
#[derive(Clone, Copy, Debug)]
struct Watched {
    address: SocketAddr,
    /// Time by which its next summary is due.
    until: Timestamp,
}

/// A placement to be sent with the next summaries.
#[derive(Clone, Copy, Debug)]
struct Untold {
    placement: Placement,
    ticks_left: u64,
}

/// A node's view of the aggregators, and what it collects as one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Aggregation {
    /// The aggregators in order of priority.
    watched: Vec<Watched>,
    /// When this node became an aggregator; `None` if it isn't one.
    acting_since: Option<Timestamp>,
    reported_to: Option<Timestamp>,
    /// Ticks within which each node of the zone gets one summary of this node.
    period: u64,
    told_turn: usize,
    placed: BTreeMap<(u32, PartId), Untold>,
    last_report: Vec<LoadReport>,
    last_report_tick: u64,
    member_turn: usize,
    far_member_turn: usize,
    summary_heard: Option<Timestamp>,
    zones_heard: BTreeMap<ZoneName, Timestamp>,
}

impl Aggregation {
    /// Whether this node acts as an aggregator.
    pub(super) fn is_active(&self) -> bool {
        self.acting_since.is_some()
    }

    /// Adds placements to the next summaries.
    pub(super) fn record_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let key = (placement.back_end, placement.part);
            if self.placed.len() < MOST_PLACEMENTS || self.placed.contains_key(&key) {
                let untold = Untold {
                    placement: *placement,
                    ticks_left: self.period.max(SHORTEST_PERIOD),
                };
                self.placed.insert(key, untold);
            }
        }
    }

    /// Returns the placements for the summary of this tick.
    fn placements_to_tell(&mut self) -> Vec<Placement> {
        let told = self.placed.values().map(|untold| untold.placement);
        let told = told.collect();
        self.placed.retain(|_, untold| {
            untold.ticks_left -= 1;
            untold.ticks_left > 0
        });
        told
    }

    /// Restarts the silence timers after a pause of this process: silence before it shows nothing
    /// about the other nodes.
    pub(super) fn reset_silence(&mut self, now: Timestamp) {
        for watched in &mut self.watched {
            watched.until = now + FIRST_SUMMARY_WITHIN;
        }
        for heard in self.zones_heard.values_mut() {
            *heard = now;
        }
    }

    /// Records that a report was sent to this node.
    pub(super) fn record_report(&mut self, now: Timestamp) {
        self.reported_to = Some(now);
    }

    /// Records that loads were counted in another zone at a time.
    pub(super) fn record_zone(&mut self, zone: &ZoneName, counted_at: Timestamp) {
        let heard = self.zones_heard.entry(zone.clone()).or_default();
        *heard = counted_at.max(*heard);
    }

    /// Zones to which the network path counts as cut; `None` while no aggregator is heard.
    pub(super) fn silent_zones(&self, now: Timestamp) -> Option<BTreeSet<ZoneName>> {
        let heard = self.summary_heard;
        let is_told = heard.is_some_and(|heard| now.since(heard) < ZONES_TOLD);
        if !is_told && !self.is_active() {
            return None;
        }
        let zones = self.zones_heard.iter();
        let silent = zones.filter(|(_, heard)| now.since(**heard) > ZONE_SILENCE);
        Some(silent.map(|(zone, _)| zone.clone()).collect())
    }

    /// Whether a placement is reported to the aggregator `number` of `count`: each gets a share of
    /// them.
    fn is_for(number: usize, count: usize, placement: &Placement) -> bool {
        placement.part.0 % count as u64 == number as u64
    }
}

impl Dispatcher {
    /// Updates the aggregators and this node's own role. Returns the aggregators that fell silent.
    pub(super) fn update_aggregators(&mut self, now: Timestamp) -> Vec<PeerChange> {
        if !self.peers.is_zone_large() {
            self.aggregation.watched.clear();
            self.aggregation.acting_since = None;
            return Vec::new();
        }
        let own = self.settings.address;
        let watched = self.aggregation.watched.iter();
        let silent = watched.filter(|watched| watched.address != own && watched.until < now);
        let silent: Vec<SocketAddr> = silent.map(|watched| watched.address).collect();
        let changes = silent
            .into_iter()
            .filter_map(|address| self.peers.mark_lost(address))
            .collect();
        let known = std::mem::take(&mut self.aggregation.watched);
        let watch = |address: SocketAddr| {
            let known = known.iter().find(|watched| watched.address == address);
            known.copied().unwrap_or(Watched {
                address,
                until: now + FIRST_SUMMARY_WITHIN,
            })
        };
        let appointed = self.appointed_aggregators();
        self.aggregation.watched = appointed.into_iter().map(watch).collect();
        self.update_own_role(now);
        changes
    }

    fn appointed_aggregators(&self) -> Vec<SocketAddr> {
        let mut ranked = self.peers.role_candidates();
        ranked.truncate(AGGREGATORS);
        if !self.is_stopping {
            let own = self.settings.address;
            ranked.push((self.role_priority(), own));
        }
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let ranked = ranked.into_iter().take(AGGREGATORS);
        ranked.map(|(_, address)| address).collect()
    }

    fn update_own_role(&mut self, now: Timestamp) {
        let own = self.settings.address;
        let period = self.summary_ticks();
        let aggregation = &mut self.aggregation;
        aggregation.period = period;
        let mut watched = aggregation.watched.iter();
        let is_appointed = watched.any(|watched| watched.address == own);
        let reported = aggregation.reported_to;
        let is_reported_to = reported.is_some_and(|at| now.since(at) < REPORTED_TO);
        if is_appointed || is_reported_to {
            aggregation.acting_since.get_or_insert(now);
        } else {
            aggregation.acting_since = None;
            aggregation.placed.clear();
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
        let rested = self.ticks - self.aggregation.last_report_tick;
        let has_changed = loads != self.aggregation.last_report
            || !self.placements.is_empty()
            || !digests.is_empty()
            || self.back_ends.limit_notices().has_unsent_changes(now);
        if !has_changed && rested < UNCHANGED_REPORT_TICKS {
            return Vec::new();
        }
        self.aggregation.last_report_tick = self.ticks;
        self.aggregation.last_report.clone_from(&loads);
        let placements = std::mem::take(&mut self.placements);
        let aggregators = self.aggregation.watched.clone();
        let mut message = self.bare_gossip(false, now);
        message.is_for_aggregator = true;
        message.loads = Some(loads);
        message.zone_digests = digests;
        message.limits = self.limits_for(Audience::OwnZone, now);
        let count = aggregators.len();
        let mut reports = Vec::new();
        for (number, Watched { address, .. }) in aggregators.into_iter().enumerate() {
            let told = placements.iter().copied();
            let told = told.filter(|placement| Aggregation::is_for(number, count, placement));
            let told: Vec<Placement> = told.collect();
            if address == self.settings.address {
                self.aggregation.record_placements(&told);
                continue;
            }
            let mut report = message.clone();
            report.placements = told;
            reports.push(Envelope {
                kind: MessageKind::Report,
                to: vec![address],
                message: report,
            });
        }
        reports
    }

    fn summary(&mut self, now: Timestamp) -> Option<Envelope> {
        let since = self.aggregation.acting_since?;
        if now.since(since) < COLLECTING_TIME {
            return None;
        }
        let period = self.aggregation.period;
        let near = self.peers.same_zone_peers();
        let told = near.len().div_ceil(period as usize);
        let to = round_robin(&near, told, &mut self.aggregation.told_turn);
        let mut message = self.bare_gossip(false, now);
        message.members = self.members_named(now);
        let round = TICK * period;
        message.limits = self.limits_for(Audience::ZoneMembers { round }, now);
        message.summary = Some(FleetSummary {
            loads: self.loads_of_all(now),
            placements: self.aggregation.placements_to_tell(),
            zones: self.heard_zones(now),
            next_summary_ms: (TICK * period).milliseconds() as u16,
        });
        Some(Envelope {
            kind: MessageKind::Summary,
            to,
            message,
        })
    }

    /// Live nodes, as heard by this one or reported by other zones. All summaries of a period list
    /// the same ones, as each summary goes to different nodes.
    fn members_named(&mut self, now: Timestamp) -> Vec<Member> {
        let period = self.aggregation.period;
        let near = self.peers.same_zone_count() as u64;
        let named = (near * period).div_ceil(TICKS_TO_NAME_ALL) as usize;
        if self.ticks.is_multiple_of(period) {
            let turn = self.aggregation.member_turn;
            self.aggregation.member_turn = turn.wrapping_add(named);
        }
        let first = self.aggregation.member_turn;
        let mut members = self.peers.same_zone_members(first, named, now);
        let far = (self.peers.other_zone_count() as u64 * period).div_ceil(TICKS_TO_NAME_FAR);
        let first = self.aggregation.far_member_turn;
        if self.ticks.is_multiple_of(period) {
            self.aggregation.far_member_turn = first.wrapping_add(far as usize);
        }
        members.extend(self.peers.other_zone_members(first, far as usize, now));
        members
    }

    /// Ticks within which each node of the zone gets one summary: more on a slow link.
    fn summary_ticks(&self) -> u64 {
        let back_ends = self.back_ends.all().count() as f64;
        let summary_bytes = back_ends * BYTES_PER_BACK_END + BYTES_OF_PLACEMENTS;
        let bytes_a_second = f64::from(self.settings.link_mbps) * BYTES_A_MBIT * LINK_PART;
        let told_per_tick = bytes_a_second * TICK.seconds() / summary_bytes;
        let ticks = self.peers.same_zone_count() as f64 / told_per_tick.clamp(1.0, TOLD_PER_TICK);
        (ticks.ceil() as u64).clamp(SHORTEST_PERIOD, LONGEST_PERIOD)
    }

    /// Index of this node among the aggregators, which send to other zones in turn.
    pub(super) fn aggregator_number(&self) -> u64 {
        let own = self.settings.address;
        let mut watched = self.aggregation.watched.iter();
        let number = watched.position(|watched| watched.address == own);
        number.map_or(self.settings.node.digest() % AGGREGATORS as u64, |number| {
            number as u64
        })
    }

    fn loads_of_all(&self, now: Timestamp) -> Vec<LoadReport> {
        let states = self.back_ends.all();
        let loads = states.map(|state| state.load.report_of_all(state.digest, now));
        busiest(loads.collect(), MOST_SUMMED)
    }

    fn heard_zones(&self, now: Timestamp) -> Vec<ZoneAge> {
        let zones = self.aggregation.zones_heard.iter();
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
        let until = now + next * MISSED_SUMMARIES + SILENCE_MARGIN;
        let watched = self.aggregation.watched.iter_mut();
        for watched in watched.filter(|watched| watched.address == address) {
            watched.until = until;
        }
        self.aggregation.summary_heard = Some(now);
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

/// Returns the reports that have content, at most `most` of them: those with most running requests.
pub(super) fn busiest(mut loads: Vec<LoadReport>, most: usize) -> Vec<LoadReport> {
    loads.retain(LoadReport::has_content);
    loads.sort_unstable_by_key(|load| (std::cmp::Reverse(load.running), load.back_end));
    loads.truncate(most);
    loads
}
