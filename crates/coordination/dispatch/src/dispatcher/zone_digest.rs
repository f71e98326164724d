//! Digests of the loads and placements of whole zones. In a large fleet no node hears each node of
//! other zones often enough, so two nodes of each zone send a digest of all its nodes to one node
//! of each other zone, which forwards it in its own zone.

use super::Dispatcher;
use super::aggregation::busiest;
use super::messages::{CROSS_ZONE_FANOUT, SAME_ZONE_FANOUT};
use crate::LoadSource;
use crate::fleet::message::{Envelope, Gossip, LoadReport, Member, Placement, ZoneDigest};
use crate::fleet::traffic::MessageKind;
use crate::load::limit_notices::Audience;
use eiderferry_routing::{PartId, ZoneName};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Ticks between two digests by one node.
const DIGEST_TICKS: u64 = 4;
/// Number of nodes of a zone that send digests, in turn.
const DIGEST_SENDERS: u64 = 2;
/// Largest number of back ends in one digest; those with most requests are chosen.
const MAX_LOADS: usize = 200;
/// Largest number of placements in one digest.
const MAX_PLACEMENTS: usize = 120;
/// Number of digests of one node that together list all nodes of its zone.
const DIGESTS_TO_LIST_ZONE: usize = 10;
/// Time for which the sender of a digest gets the digests of the own zone: it sends each 0.4 s, to
/// one of two nodes. After that any node of its zone gets them and forwards them.
const SENDER_LIFETIME: Span = Span::from_milliseconds(1_500);
/// Largest number of zones whose digests are forwarded in one message.
const MAX_ZONES_PER_MESSAGE: usize = 4;

/// A digest received from another zone.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    reporter: u64,
    counted_at: Timestamp,
    loads: Vec<LoadReport>,
    placements: Vec<Placement>,
    /// Ticks for which it is still forwarded in the own zone.
    ticks_left: u64,
}

/// Digests received from other zones, and placements for the digest of the own one.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDigests {
    received: BTreeMap<ZoneName, ReceivedDigest>,
    pending_placements: BTreeMap<(u32, PartId), Placement>,
    /// For each other zone, the node whose digest arrived last, and until when it is preferred as a
    /// receiver.
    senders: BTreeMap<ZoneName, (SocketAddr, Timestamp)>,
    member_cursor: usize,
}

impl ZoneDigests {
    /// Adds placements by nodes of the own zone to its next digest.
    pub(super) fn record_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let key = (placement.back_end, placement.part);
            if self.pending_placements.len() < MAX_PLACEMENTS
                || self.pending_placements.contains_key(&key)
            {
                self.pending_placements.insert(key, *placement);
            }
        }
    }

    /// Stores a digest. Returns false if one at least as recent is known. Placements of the
    /// previous digest that are still to be forwarded are kept.
    fn insert_newer(&mut self, zone: &ZoneName, mut digest: ReceivedDigest) -> bool {
        let known = self.received.get(zone);
        if known.is_some_and(|known| known.counted_at >= digest.counted_at) {
            return false;
        }
        if let Some(known) = known.filter(|known| known.ticks_left > 0) {
            let room = MAX_PLACEMENTS.saturating_sub(digest.placements.len());
            let remaining = known.placements.iter().take(room);
            digest.placements.extend(remaining.copied());
            digest.ticks_left = digest.ticks_left.max(known.ticks_left);
        }
        self.received.insert(zone.clone(), digest);
        true
    }

    /// Returns the digests to forward with the messages of this tick.
    pub(super) fn digests_to_forward(&mut self, now: Timestamp) -> Vec<ZoneDigest> {
        let mut digests = Vec::new();
        for (zone, digest) in &mut self.received {
            if digest.ticks_left == 0 || digests.len() == MAX_ZONES_PER_MESSAGE {
                continue;
            }
            digest.ticks_left -= 1;
            digests.push(ZoneDigest {
                zone: zone.clone(),
                reporter: digest.reporter,
                age_ms: now.since(digest.counted_at).milliseconds() as u32,
                loads: digest.loads.clone(),
                placements: digest.placements.clone(),
            });
        }
        digests
    }
}

impl Dispatcher {
    /// Whether other zones have more nodes than this one sends to at a time.
    pub(super) fn uses_zone_digests(&self) -> bool {
        self.peers.other_zone_count() > CROSS_ZONE_FANOUT
    }

    /// Returns a digest of this zone's loads, if it is this node's turn to send one.
    pub(super) fn zone_digest(&mut self, now: Timestamp) -> Option<Envelope> {
        let index = self.digest_sender_index()?;
        let phase = index * DIGEST_TICKS / DIGEST_SENDERS;
        let is_due = self.ticks % DIGEST_TICKS == phase % DIGEST_TICKS;
        if !is_due || !self.uses_zone_digests() {
            return None;
        }
        let mut message = self.bare_gossip(false, now);
        message.limits = self.limits_for(Audience::OtherZones, now);
        if self.peers.is_zone_large() {
            message.members = self.members_for_other_zones(now);
        }
        message.zone_digests.push(ZoneDigest {
            zone: self.settings.zone.clone(),
            reporter: self.settings.node.digest(),
            age_ms: 0,
            loads: self.loads_of_zone(now),
            placements: std::mem::take(&mut self.zone_digests.pending_placements)
                .into_values()
                .collect(),
        });
        let to = self.digest_receivers();
        (!to.is_empty()).then_some(Envelope {
            kind: MessageKind::Digest,
            to,
            message,
        })
    }

    /// Some nodes of the own zone for a digest: all of them in turn.
    fn members_for_other_zones(&mut self, now: Timestamp) -> Vec<Member> {
        let count = self.peers.same_zone_count().div_ceil(DIGESTS_TO_LIST_ZONE);
        let first = self.zone_digests.member_cursor;
        self.zone_digests.member_cursor = first.wrapping_add(count);
        self.peers.same_zone_members(first, count, now)
    }

    /// Whether this node represents its zone towards others.
    pub(super) fn represents_zone(&self) -> bool {
        self.digest_sender_index().is_some()
    }

    /// Whether this node collects its zone's placements for a digest: in a large zone only
    /// aggregators do.
    pub(super) fn collects_placements(&self) -> bool {
        self.aggregation.is_active() || !self.peers.is_zone_large()
    }

    /// Index of this node among the digest senders, if it is one: in a large zone these are the
    /// aggregators, otherwise the first nodes in the order of readers.
    fn digest_sender_index(&self) -> Option<u64> {
        if self.peers.is_zone_large() {
            let is_active = self.aggregation.is_active();
            return is_active.then(|| self.aggregator_index());
        }
        let rank = self.reader_rank();
        (rank < DIGEST_SENDERS).then_some(rank)
    }

    /// One node of each other zone: the one whose digest arrived last, as it collects what its zone
    /// receives, or else any.
    pub(super) fn digest_receivers(&mut self) -> Vec<SocketAddr> {
        let mut receivers = self.peers.one_per_other_zone(&mut self.random);
        for (zone, (sender, until)) in &self.zone_digests.senders {
            if let Some(receiver) = receivers.get_mut(zone)
                && self.now < *until
                && self.peers.is_live(*sender)
            {
                *receiver = *sender;
            }
        }
        receivers.into_values().collect()
    }

    /// Loads of all nodes of this zone at the back ends, as far as this one knows.
    fn loads_of_zone(&self, now: Timestamp) -> Vec<LoadReport> {
        let states = self.back_ends.all();
        let loads = states.map(|state| state.load.zone_report(state.digest, now));
        busiest(loads.collect(), MAX_LOADS)
    }

    /// Applies the digests that a message carries.
    pub(super) fn apply_zone_digests(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) {
        let is_from_other_zone = message.zone != self.settings.zone;
        if !is_from_other_zone && self.collects_placements() {
            self.zone_digests.record_placements(&message.placements);
        }
        for zone_digest in &message.zone_digests {
            if zone_digest.zone == self.settings.zone {
                continue;
            }
            if is_from_other_zone {
                let zone = zone_digest.zone.clone();
                self.zone_digests
                    .senders
                    .insert(zone, (address, now + SENDER_LIFETIME));
            }
            self.apply_zone_digest(zone_digest, is_from_other_zone, now);
        }
    }

    fn apply_zone_digest(
        &mut self,
        received: &ZoneDigest,
        is_from_other_zone: bool,
        now: Timestamp,
    ) {
        self.back_ends.apply_placements(&received.placements, now);
        if self.aggregation.is_active() {
            self.aggregation.record_placements(&received.placements);
        }
        let counted_at = now - Span::from_milliseconds(u64::from(received.age_ms));
        self.aggregation.record_zone(&received.zone, counted_at);
        let ticks_left = if is_from_other_zone {
            self.forward_ticks()
        } else {
            0
        };
        let digest = ReceivedDigest {
            reporter: received.reporter,
            counted_at,
            loads: received.loads.clone(),
            placements: self.placements_to_forward(received),
            ticks_left,
        };
        if self.zone_digests.insert_newer(&received.zone, digest) {
            let source = LoadSource::Zone {
                zone: received.zone.digest(),
                reporter: received.reporter,
            };
            self.back_ends
                .apply_loads(source, &received.loads, counted_at);
        }
    }

    /// Number of ticks within which all of the zone, or its aggregators, are reached.
    fn forward_ticks(&self) -> u64 {
        if self.peers.is_zone_large() {
            return 1;
        }
        self.peers.same_zone_count().div_ceil(SAME_ZONE_FANOUT) as u64
    }

    /// Placements of a digest that this node has to forward: an aggregator sends them in its own
    /// summary instead.
    fn placements_to_forward(&self, received: &ZoneDigest) -> Vec<Placement> {
        if self.aggregation.is_active() {
            Vec::new()
        } else {
            received.placements.clone()
        }
    }
}
