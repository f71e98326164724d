//! Loads and placements of whole zones: in a large fleet no node hears each node of
//! other zones often enough, so a few nodes of each zone tell one node of each other zone what all nodes
//! of theirs have at the back ends, and that node passes it on in its own zone.

use super::Dispatcher;
use super::messages::{FAR_FANOUT, NEAR_FANOUT};
use crate::message::{Gossip, LoadReport, Placement, ZoneDigest};
use eiderferry_routing::{PartId, ZoneName};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Ticks between two digests by one node.
const DIGEST_TICKS: u64 = 4;
/// Nodes of a zone that send digests, in turn.
const DIGEST_SENDERS: u64 = 2;
/// Back ends named in one digest: those with most requests.
const MOST_LOADS: usize = 200;
/// Placements named in one digest.
const MOST_PLACEMENTS: usize = 120;
/// Zones passed on in one message.
const MOST_ZONES: usize = 4;

/// A digest that this node has heard.
#[derive(Clone, Debug)]
struct HeardDigest {
    counted_at: Timestamp,
    loads: Vec<LoadReport>,
    placements: Vec<Placement>,
    /// Ticks for which it is passed on in the own zone.
    ticks_left: u64,
}

/// Digests heard of other zones, and placements for the digest of the own one.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDigests {
    heard: BTreeMap<ZoneName, HeardDigest>,
    placed: BTreeMap<(u32, PartId), Placement>,
}

impl ZoneDigests {
    /// Notes placements by nodes of the own zone.
    pub(super) fn note_placements(&mut self, placements: &[Placement]) {
        for placement in placements {
            let key = (placement.back_end, placement.part);
            if self.placed.len() < MOST_PLACEMENTS || self.placed.contains_key(&key) {
                self.placed.insert(key, *placement);
            }
        }
    }

    /// Takes a digest over; false if one as young is known. Placements of the previous
    /// one that were still to be passed on stay.
    fn take(&mut self, zone: &ZoneName, mut digest: HeardDigest) -> bool {
        let known = self.heard.get(zone);
        if known.is_some_and(|known| known.counted_at >= digest.counted_at) {
            return false;
        }
        if let Some(known) = known.filter(|known| known.ticks_left > 0) {
            let room = MOST_PLACEMENTS.saturating_sub(digest.placements.len());
            let kept = known.placements.iter().take(room);
            digest.placements.extend(kept.copied());
            digest.ticks_left = digest.ticks_left.max(known.ticks_left);
        }
        self.heard.insert(zone.clone(), digest);
        true
    }

    /// Digests that are to be passed on with the messages of this tick.
    fn passed_on(&mut self, now: Timestamp) -> Vec<ZoneDigest> {
        let mut passed_on = Vec::new();
        for (zone, digest) in &mut self.heard {
            if digest.ticks_left == 0 || passed_on.len() == MOST_ZONES {
                continue;
            }
            digest.ticks_left -= 1;
            passed_on.push(ZoneDigest {
                zone: zone.clone(),
                age_ms: now.since(digest.counted_at).milliseconds() as u32,
                loads: digest.loads.clone(),
                placements: digest.placements.clone(),
            });
        }
        passed_on
    }
}

impl Dispatcher {
    /// Whether other zones have more nodes than this one tells at a time.
    pub(super) fn tells_zones_by_digest(&self) -> bool {
        self.peers.far_count() > FAR_FANOUT
    }

    /// Digests of this zone's loads, if it is this node's turn to send them.
    pub(super) fn zone_digests(&mut self, now: Timestamp) -> Vec<(SocketAddr, Gossip)> {
        let rank = self.reader_rank();
        let phase = rank * DIGEST_TICKS / DIGEST_SENDERS;
        let is_due = self.ticks % DIGEST_TICKS == phase % DIGEST_TICKS;
        if rank >= DIGEST_SENDERS || !is_due || !self.tells_zones_by_digest() {
            return Vec::new();
        }
        let peers = self.peers.one_of_each_other_zone(&mut self.random);
        let mut message = self.gossip(false, now);
        message.forget_own_work();
        message.zone_digests.push(ZoneDigest {
            zone: self.settings.zone.clone(),
            age_ms: 0,
            loads: self.loads_of_zone(now),
            placements: std::mem::take(&mut self.zone_digests.placed)
                .into_values()
                .collect(),
        });
        let to_each = |peer| (peer, message.clone());
        peers.into_iter().map(to_each).collect()
    }

    /// What all nodes of this zone have at the back ends, as far as this one knows.
    fn loads_of_zone(&self, now: Timestamp) -> Vec<LoadReport> {
        let near = self.peers.near_digests();
        let states = self.back_ends.all();
        let loads = states.map(|state| state.load.report_with(state.digest, &near, now));
        let mut loads: Vec<LoadReport> = loads.filter(LoadReport::says_something).collect();
        loads.sort_by_key(|load| (std::cmp::Reverse(load.running), load.back_end));
        loads.truncate(MOST_LOADS);
        loads
    }

    /// Takes over the digests that a message carries.
    pub(super) fn take_zone_digests(&mut self, message: &Gossip, now: Timestamp) {
        let is_first_hand = message.zone != self.settings.zone;
        let tell_all = self.peers.near_count().div_ceil(NEAR_FANOUT) as u64;
        if !is_first_hand {
            self.zone_digests.note_placements(&message.placements);
        }
        for zone_digest in &message.zone_digests {
            if zone_digest.zone == self.settings.zone {
                continue;
            }
            self.back_ends.take_placements(&zone_digest.placements);
            let counted_at = now - Span::from_milliseconds(u64::from(zone_digest.age_ms));
            let digest = HeardDigest {
                counted_at,
                loads: zone_digest.loads.clone(),
                placements: zone_digest.placements.clone(),
                ticks_left: if is_first_hand { tell_all } else { 0 },
            };
            if self.zone_digests.take(&zone_digest.zone, digest) {
                let sender = zone_digest.zone.digest();
                self.back_ends
                    .take_loads(sender, &zone_digest.loads, counted_at);
            }
        }
    }

    /// Adds the digests to be passed on to messages for the own zone.
    pub(super) fn pass_digests_on(
        &mut self,
        messages: &mut [(SocketAddr, Gossip)],
        now: Timestamp,
    ) {
        let passed_on = self.zone_digests.passed_on(now);
        for (_, message) in messages {
            message.zone_digests.clone_from(&passed_on);
        }
    }
}
