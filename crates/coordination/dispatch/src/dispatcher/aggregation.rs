//! Aggregators: in a large zone two nodes collect what all of its nodes report, and tell
//! each of them the sums over the whole fleet. A loaded node of 295 in five zones sends 24
//! messages of control a second in place of 142, and 41 kB in place of 77 (counted in
//! `tests/aggregation.rs`); it hears of other nodes' requests within 0.4 s. Aggregators are the nodes that all name alike by hashing;
//! they keep nothing that is not reported again within half a second, so that any of them
//! may be lost at any time.

use super::Dispatcher;
use crate::message::{Envelope, FleetSummary, Gossip, HeardZone, LoadReport, Placement};
use crate::peers::duty_score;
use crate::{LoadSource, PeerChange};
use eiderferry_routing::{PartId, ZoneName};
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Aggregators of a zone: one may be lost while the other goes on.
const AGGREGATORS: usize = 2;
/// Nodes told in each tick by an aggregator, on the average: 150 messages of 8 kB a second
/// take half of a link of 20 Mbit/s, the slowest that nodes have.
const TOLD_PER_TICK: usize = 15;
/// Fewest and most ticks between two summaries by one aggregator. With 2 in place of 4 in a
/// zone of 24 nodes, 1.8 of 13.7 million prompt tokens less were read again on a loaded day.
const SUMMARY_TICKS: (u64, u64) = (2, 8);
/// Silence of an aggregator after which the next node takes its place: three summaries of
/// a zone of 60.
const AGGREGATOR_SILENCE: Span = Span::from_milliseconds(1_300);
/// Time for which a node that gets reports acts as an aggregator, whoever it holds to be
/// one itself.
const REPORTED_TO: Span = Span::from_milliseconds(1_000);
/// Time that a new aggregator waits for the reports of all nodes before it tells sums.
const COLLECTING_TIME: Span = Span::from_milliseconds(700);
/// Ticks after which a node reports even if nothing has changed.
const UNCHANGED_REPORT_TICKS: u64 = 5;
/// Back ends named in one summary: those with most requests.
const MOST_SUMMED: usize = 400;
/// Placements named in one summary: at 16 bytes each they leave room for the sums.
const MOST_PLACEMENTS: usize = 400;
/// Ticks between two messages to single peers of the zone, which keep nodes known that no
/// aggregator hears.
pub(super) const PEER_TICKS: u64 = 2;
/// Silence of a zone, as aggregators tell it, after which the way there counts as cut:
/// its two aggregators tell of it each 0.4 s, and one may have to be replaced.
const ZONE_SILENCE: Span = Span::from_milliseconds(1_500);

/// What a node knows of aggregators, and what it collects as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Aggregation {
    /// The aggregators, first one first, and when each was heard or became one.
    watched: Vec<(SocketAddr, Timestamp)>,
    /// When this node began to act as an aggregator.
    acting_since: Option<Timestamp>,
    reported_to: Option<Timestamp>,
    placed: BTreeMap<(u32, PartId), Placement>,
    last_report: Vec<LoadReport>,
    last_report_tick: u64,
    member_turn: usize,
    summary_heard: Option<Timestamp>,
    zones_heard: BTreeMap<ZoneName, Timestamp>,
}

impl Aggregation {
    /// Whether this node acts as an aggregator.
    pub(super) fn is_acting(&self) -> bool {
        self.acting_since.is_some()
    }

    /// Notes placements for the next summary.
    pub(super) fn note_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let key = (placement.back_end, placement.part);
            if self.placed.len() < MOST_PLACEMENTS || self.placed.contains_key(&key) {
                self.placed.insert(key, *placement);
            }
        }
    }

    /// Silence of the others before a pause of this process proves nothing.
    pub(super) fn pardon(&mut self, now: Timestamp) {
        for (_, heard) in &mut self.watched {
            *heard = now;
        }
        for heard in self.zones_heard.values_mut() {
            *heard = now;
        }
    }

    /// Notes a report to this node.
    pub(super) fn note_report(&mut self, now: Timestamp) {
        self.reported_to = Some(now);
    }

    /// Notes that something was counted in another zone at a moment.
    pub(super) fn note_zone(&mut self, zone: &ZoneName, counted_at: Timestamp) {
        let heard = self.zones_heard.entry(zone.clone()).or_default();
        *heard = counted_at.max(*heard);
    }

    /// Zones whose ways count as cut; `None` while no aggregator is heard.
    pub(super) fn silent_zones(&self, now: Timestamp) -> Option<BTreeSet<ZoneName>> {
        let heard = self.summary_heard;
        let is_told = heard.is_some_and(|heard| now.since(heard) < AGGREGATOR_SILENCE);
        if !is_told && !self.is_acting() {
            return None;
        }
        let zones = self.zones_heard.iter();
        let silent = zones.filter(|(_, heard)| now.since(**heard) > ZONE_SILENCE);
        Some(silent.map(|(zone, _)| zone.clone()).collect())
    }

    /// Which of the aggregators hears of a placement.
    fn is_for(number: usize, count: usize, placement: &Placement) -> bool {
        placement.part.0 % count as u64 == number as u64
    }
}

impl Dispatcher {
    /// Renews who aggregates. Returns aggregators that fell silent.
    pub(super) fn watch_aggregators(&mut self, now: Timestamp) -> Vec<PeerChange> {
        if !self.peers.is_zone_large() {
            self.aggregation.watched.clear();
            self.aggregation.acting_since = None;
            return Vec::new();
        }
        let silent = self.aggregation.watched.iter();
        let silent = silent.filter(|(_, heard)| now.since(*heard) > AGGREGATOR_SILENCE);
        let silent: Vec<SocketAddr> = silent
            .map(|(address, _)| *address)
            .filter(|address| *address != self.settings.address)
            .collect();
        let changes = silent
            .into_iter()
            .filter_map(|address| self.peers.give_up(address))
            .collect();
        let appointed = self.appointed_aggregators();
        let watched = &self.aggregation.watched;
        let since = |address: &SocketAddr| {
            let known = watched.iter().find(|(known, _)| known == address);
            known.map_or(now, |(_, heard)| *heard)
        };
        self.aggregation.watched = appointed
            .into_iter()
            .map(|address| (address, since(&address)))
            .collect();
        self.renew_own_role(now);
        changes
    }

    fn appointed_aggregators(&self) -> Vec<SocketAddr> {
        let mut ranked = self.peers.ranked_for_duties();
        ranked.truncate(AGGREGATORS);
        if !self.is_stopping {
            let own = self.settings.address;
            ranked.push((duty_score(own), own));
        }
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let ranked = ranked.into_iter().take(AGGREGATORS);
        ranked.map(|(_, address)| address).collect()
    }

    fn renew_own_role(&mut self, now: Timestamp) {
        let own = self.settings.address;
        let aggregation = &mut self.aggregation;
        let is_appointed = aggregation.watched.iter().any(|(known, _)| *known == own);
        let reported = aggregation.reported_to;
        let is_reported_to = reported.is_some_and(|at| now.since(at) < REPORTED_TO);
        if is_appointed || is_reported_to {
            aggregation.acting_since.get_or_insert(now);
        } else {
            aggregation.acting_since = None;
            aggregation.placed.clear();
        }
    }

    /// Reports to the aggregators, if there is something new, and the summary for the zone,
    /// if one is due.
    pub(super) fn aggregation_messages(&mut self, now: Timestamp) -> Vec<Envelope> {
        let mut messages = self.reports(now);
        messages.extend(self.summary(now));
        messages
    }

    fn reports(&mut self, now: Timestamp) -> Vec<Envelope> {
        let loads = self.own_loads(now);
        let digests = self.zone_digests.passed_on(now);
        let rested = self.ticks - self.aggregation.last_report_tick;
        let has_changed = loads != self.aggregation.last_report
            || !self.placements.is_empty()
            || !digests.is_empty();
        if !has_changed && rested < UNCHANGED_REPORT_TICKS {
            return Vec::new();
        }
        self.aggregation.last_report_tick = self.ticks;
        self.aggregation.last_report.clone_from(&loads);
        let placements = std::mem::take(&mut self.placements);
        let aggregators = self.aggregation.watched.clone();
        let mut message = self.bare_gossip(false, now);
        message.is_report = true;
        message.loads = Some(loads);
        message.zone_digests = digests;
        let count = aggregators.len();
        let mut reports = Vec::new();
        for (number, (address, _)) in aggregators.into_iter().enumerate() {
            let told = placements.iter().copied();
            let told = told.filter(|placement| Aggregation::is_for(number, count, placement));
            let told: Vec<Placement> = told.collect();
            if address == self.settings.address {
                self.aggregation.note_placements(&told);
                continue;
            }
            let mut report = message.clone();
            report.placements = told;
            reports.push(Envelope {
                to: vec![address],
                message: report,
            });
        }
        reports
    }

    fn summary(&mut self, now: Timestamp) -> Option<Envelope> {
        let since = self.aggregation.acting_since?;
        let period = self.summary_ticks();
        let phase = self.aggregator_number() * period / AGGREGATORS as u64;
        let is_due = self.ticks % period == phase % period;
        if !is_due || now.since(since) < COLLECTING_TIME {
            return None;
        }
        let mut message = self.bare_gossip(false, now);
        message.members = self
            .peers
            .near_in_turn(&mut self.aggregation.member_turn, now);
        message.summary = Some(FleetSummary {
            loads: self.loads_of_all(now),
            placements: std::mem::take(&mut self.aggregation.placed)
                .into_values()
                .collect(),
            zones: self.heard_zones(now),
        });
        let to = self.peers.near();
        Some(Envelope { to, message })
    }

    /// Ticks between two summaries: an aggregator sends no more in a larger zone.
    fn summary_ticks(&self) -> u64 {
        let ticks = self.peers.near_count().div_ceil(TOLD_PER_TICK) as u64;
        ticks.clamp(SUMMARY_TICKS.0, SUMMARY_TICKS.1)
    }

    /// Place of this node among the aggregators: they tell their summaries by turns.
    pub(super) fn aggregator_number(&self) -> u64 {
        let own = self.settings.address;
        let watched = self.aggregation.watched.iter();
        let number = watched.clone().position(|(known, _)| *known == own);
        number.map_or(self.settings.node.digest() % AGGREGATORS as u64, |number| {
            number as u64
        })
    }

    fn loads_of_all(&self, now: Timestamp) -> Vec<LoadReport> {
        let states = self.back_ends.all();
        let loads = states.map(|state| state.load.report_of_all(state.digest, now));
        busiest(loads.collect(), MOST_SUMMED)
    }

    fn heard_zones(&self, now: Timestamp) -> Vec<HeardZone> {
        let zones = self.aggregation.zones_heard.iter();
        zones
            .map(|(zone, heard)| HeardZone {
                zone: zone.clone(),
                age_ms: now.since(*heard).milliseconds() as u32,
            })
            .collect()
    }

    /// Takes in what concerns aggregators.
    pub(super) fn take_aggregation(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) {
        if message.zone != self.settings.zone {
            return;
        }
        if message.is_report {
            self.aggregation.note_report(now);
            self.aggregation.note_placements(&message.placements);
        }
        if let Some(summary) = &message.summary {
            self.take_summary(address, message.from.digest(), summary, now);
        }
    }

    fn take_summary(
        &mut self,
        address: SocketAddr,
        aggregator: u64,
        summary: &FleetSummary,
        now: Timestamp,
    ) {
        let watched = self.aggregation.watched.iter_mut();
        for (_, heard) in watched.filter(|(known, _)| *known == address) {
            *heard = now;
        }
        self.aggregation.summary_heard = Some(now);
        for heard in &summary.zones {
            let age = Span::from_milliseconds(u64::from(heard.age_ms));
            self.aggregation.note_zone(&heard.zone, now - age);
        }
        self.back_ends.take_placements(&summary.placements, now);
        // An aggregator counts itself, from fresher reports.
        if !self.aggregation.is_acting() {
            let source = LoadSource::AllNodes { teller: aggregator };
            self.back_ends.take_loads(source, &summary.loads, now);
        }
    }

    /// Takes over the requests that a message's sender reports as its own, unless they
    /// arrive here in sums.
    pub(super) fn take_own_loads(&mut self, message: &Gossip, now: Timestamp) {
        let Some(loads) = &message.loads else {
            return;
        };
        let is_summed = if message.zone == self.settings.zone {
            self.peers.is_zone_large() && !self.aggregation.is_acting()
        } else {
            self.tells_zones_by_digest()
        };
        if !is_summed {
            let source = LoadSource::Node(message.from.digest());
            self.back_ends.take_loads(source, loads, now);
        }
    }
}

/// The reports that say something; of these the ones with most requests.
pub(super) fn busiest(mut loads: Vec<LoadReport>, most: usize) -> Vec<LoadReport> {
    loads.retain(LoadReport::says_something);
    loads.sort_unstable_by_key(|load| (std::cmp::Reverse(load.running), load.back_end));
    loads.truncate(most);
    loads
}
