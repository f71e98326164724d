//! Loads of whole zones: in a large fleet no node hears each node of other zones often
//! enough, so a few nodes of each zone tell one node of each other zone what all nodes
//! of theirs have at the back ends, and that node passes it on in its own zone.

use super::Dispatcher;
use super::messages::{FAR_FANOUT, NEAR_FANOUT};
use crate::message::{Gossip, LoadReport, ZoneLoads};
use eiderferry_routing::ZoneName;
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Ticks between two digests by one node.
const DIGEST_TICKS: u64 = 4;
/// Nodes of a zone that send digests, in turn.
const DIGEST_SENDERS: u64 = 2;
/// Back ends named in one digest: those with most requests.
const MOST_LOADS: usize = 200;
/// Zones passed on in one message.
const MOST_ZONES: usize = 4;

/// A digest that this node has heard.
#[derive(Clone, Debug)]
struct HeardDigest {
    counted_at: Timestamp,
    loads: Vec<LoadReport>,
    /// Ticks for which it is passed on in the own zone.
    ticks_left: u64,
}

/// Digests heard of other zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneDigests {
    heard: BTreeMap<ZoneName, HeardDigest>,
}

impl ZoneDigests {
    /// Takes a digest over; false if one as young is known.
    fn take(&mut self, zone: &ZoneName, digest: HeardDigest) -> bool {
        let known = self.heard.get(zone);
        if known.is_some_and(|known| known.counted_at >= digest.counted_at) {
            return false;
        }
        self.heard.insert(zone.clone(), digest);
        true
    }

    /// Digests that are to be passed on with the messages of this tick.
    fn passed_on(&mut self, now: Timestamp) -> Vec<ZoneLoads> {
        let mut passed_on = Vec::new();
        for (zone, digest) in &mut self.heard {
            if digest.ticks_left == 0 || passed_on.len() == MOST_ZONES {
                continue;
            }
            digest.ticks_left -= 1;
            passed_on.push(ZoneLoads {
                zone: zone.clone(),
                age_ms: now.since(digest.counted_at).milliseconds() as u32,
                loads: digest.loads.clone(),
            });
        }
        passed_on
    }
}

impl Dispatcher {
    /// Whether other zones have more nodes than this one tells at a time.
    pub(super) fn tells_zones_by_digest(&self) -> bool {
        self.peers.far().len() > FAR_FANOUT
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
        message.zone_loads.push(ZoneLoads {
            zone: self.settings.zone.clone(),
            age_ms: 0,
            loads: self.loads_of_zone(now),
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
    pub(super) fn take_zone_loads(&mut self, message: &Gossip, now: Timestamp) {
        let is_first_hand = message.zone != self.settings.zone;
        let tell_all = self.peers.near().len().div_ceil(NEAR_FANOUT) as u64;
        for zone_loads in &message.zone_loads {
            if zone_loads.zone == self.settings.zone {
                continue;
            }
            let counted_at = now - Span::from_milliseconds(u64::from(zone_loads.age_ms));
            let digest = HeardDigest {
                counted_at,
                loads: zone_loads.loads.clone(),
                ticks_left: if is_first_hand { tell_all } else { 0 },
            };
            if self.zone_digests.take(&zone_loads.zone, digest) {
                let sender = zone_loads.zone.digest();
                self.back_ends
                    .take_loads(sender, &zone_loads.loads, counted_at);
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
            message.zone_loads.clone_from(&passed_on);
        }
    }
}
