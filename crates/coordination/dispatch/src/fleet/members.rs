//! Indirect membership: what nodes report to each other about third nodes. A node of a large zone
//! contacts only two nodes of each other zone directly. It learns about the others from the nodes
//! of its own zone, which learn about them from the senders of zone digests.

use super::peers::{
    CROSS_ZONE_SILENCE, FORGET_FACTOR, INDIRECT_SILENCE, Peer, Peers, RolePriority,
};
use crate::{Gossip, Member, VersionVector};
use eiderferry_routing::ZoneName;
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

/// Maximum number of nodes named in one message.
const MEMBERS_PER_MESSAGE: usize = 12;
/// Number of nodes of another zone that a node contacts directly; it learns about the others
/// indirectly. When each of 300 nodes probed every other one, they sent 14 MB across zones at
/// startup (`tests/cross_zone_traffic.rs`).
const CONTACTS_PER_ZONE: usize = 2;
/// Upper bound on the transit time of a message between two nodes of a zone, added to the
/// reported silence. Without it, two nodes that report a third one to each other would make its
/// last contact appear ever more recent.
const MEMBER_TRANSIT_TIME: Span = Span::from_milliseconds(10);

impl Peers {
    /// Applies the nodes that a message names. Unknown nodes become indirect peers or probe
    /// targets. The reported time of last contact is used for nodes of the sender's zone, and for
    /// all nodes if the sender is in this node's zone.
    pub(super) fn apply_members(&mut self, message: &Gossip, is_same_zone: bool, now: Timestamp) {
        let members = message.members.iter();
        for member in members.filter(|member| member.address != self.own_address) {
            let silence = Span::from_milliseconds(u64::from(member.silence_ms));
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

    /// Whether a node that was never heard directly is added as a peer because another node names
    /// it.
    fn accepts_indirect(&self, member: &Member, message: &Gossip, is_same_zone: bool) -> bool {
        let is_trusted = is_same_zone || member.zone == message.zone;
        let silence = Span::from_milliseconds(u64::from(member.silence_ms));
        let is_fresh = silence < INDIRECT_SILENCE;
        is_trusted && is_fresh && member.zone != self.zone && self.has_enough_contacts(&member.zone)
    }

    /// Whether enough nodes of another zone have been heard directly.
    pub(super) fn has_enough_contacts(&self, zone: &ZoneName) -> bool {
        let peers = self.peers.values();
        let contacts =
            peers.filter(|peer| !peer.is_lost && peer.name.is_some() && peer.zone == *zone);
        contacts.take(CONTACTS_PER_ZONE).count() == CONTACTS_PER_ZONE
    }

    /// A random sample of nodes to name to a node of `zone`. Up to three quarters of it are nodes
    /// of that zone, since the receiver works with them and gets its documents from them.
    pub fn sample_for(
        &self,
        zone: Option<&ZoneName>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<Member> {
        let zone_members = self.live_members(|peer| Some(&peer.zone) == zone, now);
        let mut sampled = zone_members.choose_multiple(random, MEMBERS_PER_MESSAGE * 3 / 4);
        let others = self.live_members(|peer| Some(&peer.zone) != zone, now);
        let remaining = MEMBERS_PER_MESSAGE - sampled.len();
        sampled.extend(others.choose_multiple(random, remaining));
        sampled
    }

    /// A random sample of nodes to name in a message.
    pub fn sample(&self, now: Timestamp, random: &mut impl Rng) -> Vec<Member> {
        self.live_members(|_| true, now)
            .choose_multiple(random, MEMBERS_PER_MESSAGE)
    }

    /// `count` nodes of this node's zone to name in a message, starting at index `first` modulo
    /// their number.
    pub fn same_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let same_zone = self.live_members(|peer| peer.zone == self.zone, now);
        rotating_slice(same_zone.collect(), first, count)
    }

    /// Like [`Self::same_zone_members`], for nodes of other zones.
    pub fn other_zone_members(&self, first: usize, count: usize, now: Timestamp) -> Vec<Member> {
        let other_zones = self.live_members(|peer| peer.zone != self.zone, now);
        rotating_slice(other_zones.collect(), first, count)
    }

    fn live_members(
        &self,
        is_included: impl Fn(&Peer) -> bool,
        now: Timestamp,
    ) -> impl Iterator<Item = Member> {
        let live = self.peers.iter();
        let live = live.filter(move |(_, peer)| !peer.is_lost && is_included(peer));
        live.map(move |(address, peer)| Member {
            address: *address,
            zone: peer.zone.clone(),
            silence_ms: (now.since(peer.last_heard) + MEMBER_TRANSIT_TIME).milliseconds() as u32,
        })
    }
}

/// A peer known only from other nodes.
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

/// `count` members starting at index `first`, wrapping around at the end.
fn rotating_slice(members: Vec<Member>, first: usize, count: usize) -> Vec<Member> {
    let count = count.min(members.len());
    let indices = (0..count).map(|offset| first.wrapping_add(offset) % members.len());
    indices.map(|index| members[index].clone()).collect()
}
