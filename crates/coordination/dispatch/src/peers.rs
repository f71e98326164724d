//! The other nodes: known from a few seeds and from what nodes tell each other.

use crate::dispatcher::{FAR_FANOUT, FAR_TICKS, NEAR_FANOUT};
use crate::{Gossip, Member, TICK};
use eiderferry_routing::{NodeName, ZoneName};
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Silence after which a peer of the own zone counts as lost, at the least.
const NEAR_SILENCE: Span = Span::from_milliseconds(900);
/// The same for a peer of another zone.
const FAR_SILENCE: Span = Span::from_milliseconds(1_500);
/// Turns in a row that a peer has to miss besides.
const MISSED_TURNS: u64 = 5;
/// Messages in a row that none of a zone's peers sent when the way there counts as cut:
/// one or two get lost now and then.
const MISSED_BY_ZONE: u64 = 3;
/// Silence after which a peer is forgotten, as a multiple of that at which it is
/// lost.
const FORGET_FACTOR: u64 = 60;
/// Other nodes named in one message.
const MEMBERS_PER_MESSAGE: usize = 12;

/// What changed with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It was heard for the first time, or again.
    Regained(NodeName),
    /// It fell silent.
    Lost(NodeName),
}

#[derive(Clone, Debug)]
struct Peer {
    name: NodeName,
    zone: ZoneName,
    incarnation: u32,
    heard: Timestamp,
    is_lost: bool,
    is_stopping: bool,
}

/// What is known of the other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    own: SocketAddr,
    zone: ZoneName,
    peers: BTreeMap<SocketAddr, Peer>,
    hearsay: BTreeMap<SocketAddr, (ZoneName, Timestamp)>,
    seeds: Vec<SocketAddr>,
    most_known: u32,
}

impl Peers {
    /// Nothing but the seeds is known.
    pub fn new(own: SocketAddr, zone: ZoneName, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            zone,
            peers: BTreeMap::new(),
            hearsay: BTreeMap::new(),
            seeds,
            most_known: 1,
        }
    }

    /// Takes over new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether this node is a seed itself.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.own)
    }

    /// The seeds, but for this node.
    pub fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.own).collect()
    }

    /// The largest number of nodes ever known at once, this one included.
    pub fn most_known(&self) -> u32 {
        self.most_known
    }

    /// Takes a message in.
    pub fn heard(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) -> Option<PeerChange> {
        self.take_members(&message.members, now);
        self.hearsay.remove(&address);
        let previous = self.peers.insert(
            address,
            Peer {
                name: message.from.clone(),
                zone: message.zone.clone(),
                incarnation: message.incarnation,
                heard: now,
                is_lost: false,
                is_stopping: message.is_stopping,
            },
        );
        self.most_known = self.most_known.max(self.peers.len() as u32 + 1);
        let was_there =
            previous.is_some_and(|peer| !peer.is_lost && peer.incarnation == message.incarnation);
        (!was_there).then(|| PeerChange::Regained(message.from.clone()))
    }

    fn take_members(&mut self, members: &[Member], now: Timestamp) {
        for member in members {
            let is_known = member.address == self.own || self.peers.contains_key(&member.address);
            let silent = Span::from_milliseconds(u64::from(member.silent_ms));
            if !is_known && silent < Span(FAR_SILENCE.0 * FORGET_FACTOR) {
                let heard = now - silent;
                self.hearsay
                    .insert(member.address, (member.zone.clone(), heard));
            }
        }
    }

    /// Marks silent peers as lost and forgets those silent for long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let (near, far) = self.silence_limits();
        let zone = self.zone.clone();
        let limit = |peer: &Peer| if peer.zone == zone { near } else { far };
        for peer in self.peers.values_mut() {
            if !peer.is_lost && now.since(peer.heard) > limit(peer) {
                peer.is_lost = true;
                changes.push(PeerChange::Lost(peer.name.clone()));
            }
        }
        let forget = Span(far.0 * FORGET_FACTOR);
        self.peers.retain(|_, peer| now.since(peer.heard) < forget);
        self.hearsay
            .retain(|_, (_, heard)| now.since(*heard) < forget);
        changes
    }

    /// How long a peer may be silent: each is told in turn, and in a large fleet its
    /// turn comes less often.
    fn silence_limits(&self) -> (Span, Span) {
        let near = self.near_count().div_ceil(NEAR_FANOUT) as u64;
        let far = self.far_count().div_ceil(FAR_FANOUT) as u64;
        let near = Span(near * TICK.0 * MISSED_TURNS).max(NEAR_SILENCE);
        let far = Span(far * FAR_TICKS * TICK.0 * MISSED_TURNS).max(FAR_SILENCE);
        (near, far)
    }

    /// Other zones none of whose peers was heard for some turns: the way there is probably
    /// cut, for requests as well. Their nodes may also all have stopped or ended.
    pub fn silent_zones(&self, now: Timestamp) -> BTreeSet<ZoneName> {
        let turns = self.far_count().div_ceil(FAR_FANOUT) as u64;
        let mut zones: BTreeMap<&ZoneName, Vec<Timestamp>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.zone != self.zone) {
            zones.entry(&peer.zone).or_default().push(peer.heard);
        }
        let is_silent = |heard: &Vec<Timestamp>| {
            // Each of its peers tells this node once in so many turns, one after the other.
            let apart = turns.div_ceil(heard.len() as u64).max(1);
            let limit = Span(apart * FAR_TICKS * TICK.0 * MISSED_BY_ZONE);
            heard.iter().all(|heard| now.since(*heard) > limit)
        };
        let silent = zones.into_iter().filter(|(_, heard)| is_silent(heard));
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    /// After a pause of this process, silence is no fault of the others.
    pub fn pardon(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut().filter(|peer| !peer.is_lost) {
            peer.heard = now;
        }
    }

    /// Peers of the own zone that are there.
    pub fn near(&self) -> Vec<SocketAddr> {
        self.living(|peer| peer.zone == self.zone)
    }

    /// Digests of their names.
    pub fn near_digests(&self) -> BTreeSet<u64> {
        let near = self.peers.values();
        let near = near.filter(|peer| !peer.is_lost && peer.zone == self.zone);
        near.map(|peer| peer.name.digest()).collect()
    }

    /// A peer that is there of each other zone.
    pub fn one_of_each_other_zone(&self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in &self.peers {
            if !peer.is_lost && peer.zone != self.zone {
                zones.entry(&peer.zone).or_default().push(*address);
            }
        }
        let zones = zones.values();
        zones
            .filter_map(|peers| peers.iter().copied().choose(random))
            .collect()
    }

    /// Number of peers of the own zone that are there.
    pub fn near_count(&self) -> usize {
        let living = self.peers.values().filter(|peer| !peer.is_lost);
        living.filter(|peer| peer.zone == self.zone).count()
    }

    /// Number of peers of other zones that are there.
    pub fn far_count(&self) -> usize {
        self.living_count() - self.near_count()
    }

    /// Peers of other zones that are there.
    pub fn far(&self) -> Vec<SocketAddr> {
        self.living(|peer| peer.zone != self.zone)
    }

    fn living(&self, fits: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let living = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_lost && fits(peer));
        living.map(|(address, _)| *address).collect()
    }

    /// Addresses to try that are not known to be there.
    pub fn doubtful(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        let lost = self.peers.iter().filter(|(_, peer)| peer.is_lost);
        let lost = lost.map(|(address, _)| *address);
        let seeds = self.other_seeds().into_iter();
        let unknown = seeds.chain(self.hearsay.keys().copied());
        let unknown = unknown.filter(|address| !self.peers.contains_key(address));
        unknown.chain(lost).choose_multiple(random, count)
    }

    /// Number of nodes known by hearsay only.
    pub fn hearsay_count(&self) -> usize {
        self.hearsay.len()
    }

    /// Some nodes to name in a message.
    pub fn sample(&self, now: Timestamp, random: &mut impl Rng) -> Vec<Member> {
        let living = self.peers.iter().filter(|(_, peer)| !peer.is_lost);
        let members = living.map(|(address, peer)| Member {
            address: *address,
            zone: peer.zone.clone(),
            silent_ms: now.since(peer.heard).milliseconds() as u32,
        });
        members.choose_multiple(random, MEMBERS_PER_MESSAGE)
    }

    /// Nodes of the own zone that may read the platform for the others, by address.
    pub fn readers(&self) -> Vec<SocketAddr> {
        self.living(|peer| peer.zone == self.zone && !peer.is_stopping)
    }

    /// Number of living peers.
    pub fn living_count(&self) -> usize {
        self.peers.values().filter(|peer| !peer.is_lost).count()
    }
}
