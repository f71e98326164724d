//! What nodes tell each other of third ones. A node of a large zone meets two nodes of each
//! other zone by itself; of the others it is told by the nodes of its zone, and these by the
//! senders of digests.

use super::peers::{
    CROSS_ZONE_SILENCE, FORGET_FACTOR, INDIRECT_SILENCE, Peer, Peers, RolePriority,
};
use crate::{Gossip, Member, VersionVector};
use eiderferry_routing::ZoneName;
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

/// Other nodes named in one message.
const MEMBERS_PER_MESSAGE: usize = 12;
/// Nodes of another zone that a node gets to know by itself; it is told of the others. Before,
/// each of 300 nodes tried each other one: 14 MB across borders at a start
/// (`tests/borders.rs`).
const CONTACTS_PER_ZONE: usize = 2;
/// What a member's way between two nodes of a zone may take: without it what two nodes tell
/// each other of a third grows younger.
const MEMBER_TRANSIT_TIME: Span = Span::from_milliseconds(10);

impl Peers {
    /// Nodes that another node names: unknown ones are to be tried; its word on when they were
    /// heard counts as well for nodes of its zone, and if it is of the own zone for all.
    pub(super) fn apply_members(&mut self, message: &Gossip, is_same_zone: bool, now: Timestamp) {
        let members = message.members.iter();
        for member in members.filter(|member| member.address != self.own_address) {
            let silence = Span::from_milliseconds(u64::from(member.silent_ms));
            let heard_at = now - silence;
            let is_known = self.peers.contains_key(&member.address);
            if !is_known && self.accepts_indirect(member, message, is_same_zone) {
                let peer = indirect_peer(member, heard_at);
                self.peers.insert(member.address, peer);
                self.indirect.remove(&member.address);
                continue;
            }
            match self.peers.get_mut(&member.address) {
                Some(peer) if (is_same_zone || peer.zone == message.zone) && !peer.is_lost => {
                    peer.last_heard = peer.last_heard.max(heard_at);
                }
                None if silence < Span(CROSS_ZONE_SILENCE.0 * FORGET_FACTOR) => {
                    let indirect = (member.zone.clone(), heard_at);
                    self.indirect.insert(member.address, indirect);
                }
                _ => {}
            }
        }
    }

    /// Whether a node that wasn't heard counts as known because others name it.
    fn accepts_indirect(&self, member: &Member, message: &Gossip, is_same_zone: bool) -> bool {
        let is_trusted = is_same_zone || member.zone == message.zone;
        let silence = Span::from_milliseconds(u64::from(member.silent_ms));
        let is_fresh = silence < INDIRECT_SILENCE;
        is_trusted && is_fresh && member.zone != self.zone && self.has_enough_contacts(&member.zone)
    }

    /// Whether enough nodes of another zone were heard.
    pub(super) fn has_enough_contacts(&self, zone: &ZoneName) -> bool {
        let peers = self.peers.values();
        let contacts =
            peers.filter(|peer| !peer.is_lost && peer.name.is_some() && peer.zone == *zone);
        contacts.take(CONTACTS_PER_ZONE).count() == CONTACTS_PER_ZONE
    }

    /// Some nodes to name to a node of a zone: those of its own zone first, as it works with
    /// them and gets its documents there.
    pub fn sample_for(
        &self,
        zone: Option<&ZoneName>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<Member> {
        let zone_members = self.members(|peer| Some(&peer.zone) == zone, now);
        let mut sampled = zone_members.choose_multiple(random, MEMBERS_PER_MESSAGE * 3 / 4);
        let others = self.members(|peer| Some(&peer.zone) != zone, now);
        let remaining = MEMBERS_PER_MESSAGE - sampled.len();
        sampled.extend(others.choose_multiple(random, remaining));
        sampled
    }

    /// Some nodes to name in a message.
    pub fn sample(&self, now: Timestamp, random: &mut impl Rng) -> Vec<Member> {
        self.members(|_| true, now)
            .choose_multiple(random, MEMBERS_PER_MESSAGE)
    }

    /// So many nodes of the own zone to name in a message, from a place in their order on.
    pub fn same_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let same_zone = self.members(|peer| peer.zone == self.zone, now);
        rotating_slice(same_zone.collect(), first, count)
    }

    /// The same of other zones.
    pub fn other_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let other_zones = self.members(|peer| peer.zone != self.zone, now);
        rotating_slice(other_zones.collect(), first, count)
    }

    fn members(
        &self,
        is_included: impl Fn(&Peer) -> bool,
        now: Timestamp,
    ) -> impl Iterator<Item = Member> {
        let live = self.peers.iter();
        let live = live.filter(move |(_, peer)| !peer.is_lost && is_included(peer));
        live.map(move |(address, peer)| Member {
            address: *address,
            zone: peer.zone.clone(),
            silent_ms: (now.since(peer.last_heard) + MEMBER_TRANSIT_TIME).milliseconds() as u32,
        })
    }
}

/// A node as others tell of it.
fn indirect_peer(member: &Member, heard_at: Timestamp) -> Peer {
    Peer {
        name: None,
        zone: member.zone.clone(),
        version_vector: VersionVector::default(),
        role_priority: RolePriority::new(member.address, 0),
        incarnation: 0,
        last_heard: heard_at,
        is_lost: false,
        is_stopping: false,
    }
}

/// So many members from a place in their order on.
fn rotating_slice(members: Vec<Member>, first: usize, count: usize) -> Vec<Member> {
    let count = count.min(members.len());
    let indices = (0..count).map(|offset| first.wrapping_add(offset) % members.len());
    indices.map(|index| members[index].clone()).collect()
}
