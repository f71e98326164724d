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
const MET_OF_ZONE: usize = 2;
/// What a member's way between two nodes of a zone may take: without it what two nodes tell
/// each other of a third grows younger.
const MEMBER_ON_THE_WAY: Span = Span::from_milliseconds(10);

impl Peers {
    /// Nodes that another node names: unknown ones are to be tried; its word on when they were
    /// heard counts as well for nodes of its zone, and if it is of the own zone for all.
    pub(super) fn apply_members(&mut self, message: &Gossip, is_near: bool, now: Timestamp) {
        let members = message.members.iter();
        for member in members.filter(|member| member.address != self.own_address) {
            let silent = Span::from_milliseconds(u64::from(member.silent_ms));
            let heard = now - silent;
            let is_known = self.peers.contains_key(&member.address);
            if !is_known && self.takes_by_word(member, message, is_near) {
                let peer = told_peer(member, heard);
                self.peers.insert(member.address, peer);
                self.indirect.remove(&member.address);
                continue;
            }
            match self.peers.get_mut(&member.address) {
                Some(peer) if (is_near || peer.zone == message.zone) && !peer.is_lost => {
                    peer.last_heard = peer.last_heard.max(heard);
                }
                None if silent < Span(CROSS_ZONE_SILENCE.0 * FORGET_FACTOR) => {
                    let indirect = (member.zone.clone(), heard);
                    self.indirect.insert(member.address, indirect);
                }
                _ => {}
            }
        }
    }

    /// Whether a node that wasn't heard counts as known because others name it.
    fn takes_by_word(&self, member: &Member, message: &Gossip, is_near: bool) -> bool {
        let is_trusted = is_near || member.zone == message.zone;
        let silent = Span::from_milliseconds(u64::from(member.silent_ms));
        let is_fresh = silent < INDIRECT_SILENCE;
        is_trusted && is_fresh && member.zone != self.zone && self.has_enough_contacts(&member.zone)
    }

    /// Whether enough nodes of another zone were heard.
    pub(super) fn has_enough_contacts(&self, zone: &ZoneName) -> bool {
        let peers = self.peers.values();
        let met = peers.filter(|peer| !peer.is_lost && peer.name.is_some() && peer.zone == *zone);
        met.take(MET_OF_ZONE).count() == MET_OF_ZONE
    }

    /// Some nodes to name to a node of a zone: those of its own zone first, as it works with
    /// them and gets its documents there.
    pub fn sample_for(
        &self,
        zone: Option<&ZoneName>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<Member> {
        let own = self.members(|peer| Some(&peer.zone) == zone, now);
        let mut named = own.choose_multiple(random, MEMBERS_PER_MESSAGE * 3 / 4);
        let others = self.members(|peer| Some(&peer.zone) != zone, now);
        let left = MEMBERS_PER_MESSAGE - named.len();
        named.extend(others.choose_multiple(random, left));
        named
    }

    /// Some nodes to name in a message.
    pub fn sample(&self, now: Timestamp, random: &mut impl Rng) -> Vec<Member> {
        self.members(|_| true, now)
            .choose_multiple(random, MEMBERS_PER_MESSAGE)
    }

    /// So many nodes of the own zone to name in a message, from a place in their order on.
    pub fn same_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let near = self.members(|peer| peer.zone == self.zone, now);
        slice(near.collect(), first, count)
    }

    /// The same of other zones.
    pub fn other_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let far = self.members(|peer| peer.zone != self.zone, now);
        slice(far.collect(), first, count)
    }

    fn members(
        &self,
        fits: impl Fn(&Peer) -> bool,
        now: Timestamp,
    ) -> impl Iterator<Item = Member> {
        let living = self.peers.iter();
        let living = living.filter(move |(_, peer)| !peer.is_lost && fits(peer));
        living.map(move |(address, peer)| Member {
            address: *address,
            zone: peer.zone.clone(),
            silent_ms: (now.since(peer.last_heard) + MEMBER_ON_THE_WAY).milliseconds() as u32,
        })
    }
}

/// A node as others tell of it.
fn told_peer(member: &Member, heard: Timestamp) -> Peer {
    Peer {
        name: None,
        zone: member.zone.clone(),
        version_vector: VersionVector::default(),
        rank: RolePriority::new(member.address, 0),
        incarnation: 0,
        last_heard: heard,
        is_lost: false,
        is_stopping: false,
    }
}

/// So many members from a place in their order on.
fn slice(members: Vec<Member>, first: usize, count: usize) -> Vec<Member> {
    let named = count.min(members.len());
    let numbers = (0..named).map(|offset| first.wrapping_add(offset) % members.len());
    numbers.map(|number| members[number].clone()).collect()
}
