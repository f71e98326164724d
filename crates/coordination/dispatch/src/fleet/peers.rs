//! Peer discovery and failure detection. Nodes are discovered from a few seeds and from the
//! members that other nodes report.

use crate::dispatcher::{
    CROSS_ZONE_FANOUT, CROSS_ZONE_TICKS, LARGE_ZONE_CROSS_ZONE_FANOUT, SAME_ZONE_FANOUT,
};
use crate::load::cold_start::sender_rank;
use crate::{Gossip, Revision, TICK, VersionVector};
use eiderferry_routing::{NodeName, ZoneName};
use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum silence after which a peer of this node's zone counts as lost.
const SAME_ZONE_SILENCE: Span = Span::from_milliseconds(900);
/// The same in a large zone, where aggregators report which nodes they hear. Each of the two
/// aggregators names all nodes of the zone within 1.2 s, and may have to be replaced first.
const SUMMARIZED_SILENCE: Span = Span::from_milliseconds(4_000);
/// Minimum silence after which a peer of another zone counts as lost.
pub(super) const CROSS_ZONE_SILENCE: Span = Span::from_milliseconds(1_500);
/// Consecutive gossip rounds that a peer must also have missed to count as lost.
const MISSED_ROUNDS: u64 = 5;
/// Consecutive messages from each peer of a zone that must be missing for the network path to the
/// zone to count as cut. One or two get lost occasionally.
const MISSED_ZONE_MESSAGES: u64 = 3;
/// Silence after which a peer is forgotten, as a multiple of the silence at which it counts as
/// lost.
pub(super) const FORGET_FACTOR: u64 = 60;
/// Minimum silence after which a node of another zone that is only known indirectly counts as
/// lost. Each of the two aggregators names all such nodes within 8 s.
pub(super) const INDIRECT_SILENCE: Span = Span::from_milliseconds(30_000);

/// A change in the state of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// First message from it.
    Discovered(NodeName),
    /// First message from it after it was lost or restarted.
    Recovered(NodeName),
    /// No message from it within the silence limit.
    Lost(NodeName),
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Name of the node; `None` until it is heard directly.
    pub(super) name: Option<NodeName>,
    pub(crate) zone: ZoneName,
    /// The changes that it knows, according to its last message.
    pub(super) version_vector: VersionVector,
    /// Priority for roles that one node has for its zone.
    pub(super) role_priority: RolePriority,
    pub(super) incarnation: u32,
    pub(super) last_heard: Timestamp,
    pub(super) is_lost: bool,
    pub(super) is_stopping: bool,
}

/// A peer with its score for a key (rendezvous hashing). All nodes compute the same score, and peers
/// with lower scores come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScoredPeer {
    pub score: u64,
    pub address: SocketAddr,
    /// Whether it is in this node's zone.
    pub is_same_zone: bool,
}

/// State of all other nodes that this node knows.
#[derive(Clone, Debug)]
pub struct Peers {
    pub(super) own_address: SocketAddr,
    own_hash: u64,
    pub(super) zone: ZoneName,
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// Zone and time of last contact of reported nodes that are not peers yet; probe targets.
    pub(super) indirect: BTreeMap<SocketAddr, (ZoneName, Timestamp)>,
    seeds: Vec<SocketAddr>,
    /// Zones whose nodes this process has heard directly.
    heard_zones: BTreeSet<ZoneName>,
    /// Maximum number of nodes known at once, including this one.
    max_known: u32,
    /// Last time at which this node's zone was large.
    last_large_at: Timestamp,
    live_same_zone: usize,
    live_other_zones: usize,
    /// Address hashes of the active peers of this node's zone, ordered by address, and a counter
    /// of changes to them. Cached because each of them is compared for each back end.
    active_peer_hashes: Vec<u64>,
    active_peers_version: u64,
    /// Maximum number of peers of this node's zone that were live at once, and when it was
    /// reached.
    max_live_same_zone: usize,
    max_live_same_zone_since: Timestamp,
}

/// Priority of a node for roles that one node has for its zone; the greatest comes first. Fast
/// links come before slow ones, since aggregators send a lot of data; ties are broken by hash.
/// All nodes compute the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RolePriority {
    link_mbps: u16,
    hash: u64,
}

impl RolePriority {
    pub fn new(address: SocketAddr, link_mbps: u16) -> Self {
        let hash = address_hash(address);
        Self { link_mbps, hash }
    }

    /// Hash of the node's address.
    pub fn hash(self) -> u64 {
        self.hash
    }
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), 0)
}

impl Peers {
    /// State at startup, when only the seeds are known.
    pub fn new(address: SocketAddr, zone: ZoneName, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own_address: address,
            own_hash: address_hash(address),
            zone,
            peers: BTreeMap::new(),
            indirect: BTreeMap::new(),
            seeds,
            heard_zones: BTreeSet::new(),
            max_known: 1,
            last_large_at: Timestamp::default(),
            live_same_zone: 0,
            live_other_zones: 0,
            active_peer_hashes: Vec::new(),
            active_peers_version: 0,
            max_live_same_zone: 0,
            max_live_same_zone_since: Timestamp::default(),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether this node is a seed.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.own_address)
    }

    /// All seeds except this node.
    pub fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.own_address).collect()
    }

    /// Maximum number of nodes known at once, including this one.
    pub fn max_known(&self) -> u32 {
        self.max_known
    }

    /// Whether this process has heard the fleet whose zones these are: a node of each other zone,
    /// and at least one node if there are others. Until then it may have been started in a
    /// partition, in which it can't know the number of nodes.
    pub fn has_heard_fleet<'a>(&self, zones: impl IntoIterator<Item = &'a ZoneName>) -> bool {
        let is_only_node = self.seeds.iter().all(|seed| *seed == self.own_address);
        let has_heard_zone =
            |zone: &ZoneName| *zone == self.zone || self.heard_zones.contains(zone);
        (is_only_node || !self.heard_zones.is_empty()) && zones.into_iter().all(has_heard_zone)
    }

    /// Updates the state of the sender, and of the members that the message names.
    pub fn record_message(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) -> Option<PeerChange> {
        let is_same_zone = message.zone == self.zone;
        self.apply_members(message, is_same_zone, now);
        self.indirect.remove(&address);
        if let Some(peer) = self.peers.get_mut(&address)
            && peer.name.is_some()
            && !peer.is_lost
            && peer.incarnation == message.incarnation
        {
            peer.last_heard = now;
            peer.version_vector.clone_from(&message.version_vector);
            let was_stopping = std::mem::replace(&mut peer.is_stopping, message.is_stopping);
            if was_stopping != message.is_stopping {
                self.update_counts();
            }
            return None;
        }
        let peer = Peer {
            name: Some(message.from.clone()),
            zone: message.zone.clone(),
            version_vector: message.version_vector.clone(),
            role_priority: RolePriority::new(address, message.link_mbps),
            incarnation: message.incarnation,
            last_heard: now,
            is_lost: false,
            is_stopping: message.is_stopping,
        };
        if !self.heard_zones.contains(&message.zone) {
            self.heard_zones.insert(message.zone.clone());
        }
        let previous = self.peers.insert(address, peer);
        self.max_known = self.max_known.max(self.peers.len() as u32 + 1);
        self.update_counts();
        if self.live_same_zone > self.max_live_same_zone {
            self.max_live_same_zone = self.live_same_zone;
            self.max_live_same_zone_since = now;
        }
        let name = message.from.clone();
        Some(match previous.and_then(|previous| previous.name) {
            None => PeerChange::Discovered(name),
            Some(_) => PeerChange::Recovered(name),
        })
    }

    fn update_counts(&mut self) {
        let live = self.peers.values().filter(|peer| !peer.is_lost);
        let same_zone = live.clone().filter(|peer| peer.zone == self.zone);
        self.live_same_zone = same_zone.count();
        self.live_other_zones = live.count() - self.live_same_zone;
        let hashes: Vec<u64> = self
            .active_same_zone()
            .map(|(_, peer)| peer.role_priority.hash)
            .collect();
        if hashes != self.active_peer_hashes {
            self.active_peer_hashes = hashes;
            self.active_peers_version += 1;
        }
    }

    /// Version of the set of active peers in this node's zone; it changes when the candidates for
    /// roles change.
    pub(crate) fn active_peers_version(&self) -> u64 {
        self.active_peers_version
    }

    /// Marks a peer as lost until it is heard again.
    pub fn mark_lost(&mut self, address: SocketAddr) -> Option<PeerChange> {
        let peer = self.peers.get_mut(&address)?;
        if std::mem::replace(&mut peer.is_lost, true) {
            return None;
        }
        let change = peer.name.clone().map(PeerChange::Lost);
        self.update_counts();
        change
    }

    /// Marks silent peers as lost, and forgets peers that have been silent for long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let (same_zone_limit, other_zone_limit) = self.silence_limits();
        let zone = self.zone.clone();
        let limit = |peer: &Peer| {
            if peer.zone == zone {
                same_zone_limit
            } else {
                other_zone_limit
            }
        };
        for peer in self.peers.values_mut() {
            if !peer.is_lost && now.since(peer.last_heard) > limit(peer) {
                peer.is_lost = true;
                changes.extend(peer.name.clone().map(PeerChange::Lost));
            }
        }
        let forget_after = Span(other_zone_limit.0 * FORGET_FACTOR);
        self.peers.retain(|_, peer| {
            now.since(peer.last_heard) < forget_after && !(peer.is_lost && peer.name.is_none())
        });
        self.indirect
            .retain(|_, (_, heard)| now.since(*heard) < forget_after);
        self.update_counts();
        self.max_known = self.max_known.max(self.peers.len() as u32 + 1);
        if self.is_zone_large() {
            self.last_large_at = now;
        }
        changes
    }

    /// Whether this node's zone is so large that aggregators collect the reports of its nodes.
    pub fn is_zone_large(&self) -> bool {
        self.live_same_zone > SAME_ZONE_FANOUT
    }

    /// Number of peers of other zones that get a message in one round.
    pub fn cross_zone_fanout(&self) -> usize {
        if self.is_zone_large() {
            LARGE_ZONE_CROSS_ZONE_FANOUT
        } else {
            CROSS_ZONE_FANOUT
        }
    }

    /// Maximum silence of a peer in this node's zone and in another zone. Messages go to the
    /// peers in turn, so that the interval between two messages to the same peer grows with the
    /// fleet.
    fn silence_limits(&self) -> (Span, Span) {
        let same_zone_rounds = self.same_zone_count().div_ceil(SAME_ZONE_FANOUT) as u64;
        let same_zone_limit = if self.is_zone_large() {
            SUMMARIZED_SILENCE
        } else {
            Span(same_zone_rounds * TICK.0 * MISSED_ROUNDS).max(SAME_ZONE_SILENCE)
        };
        let other_zone_rounds = self.other_zone_count().div_ceil(self.cross_zone_fanout()) as u64;
        let other_zone_limit = Span(other_zone_rounds * CROSS_ZONE_TICKS * TICK.0 * MISSED_ROUNDS)
            .max(CROSS_ZONE_SILENCE);
        let other_zone_limit = if self.is_zone_large() || self.has_indirect_peers() {
            other_zone_limit.max(INDIRECT_SILENCE)
        } else {
            other_zone_limit
        };
        (same_zone_limit, other_zone_limit)
    }

    /// Whether any peer is only known indirectly.
    fn has_indirect_peers(&self) -> bool {
        self.peers.values().any(|peer| peer.name.is_none())
    }

    /// Other zones none of whose peers was heard for several rounds. They are probably partitioned
    /// from this zone, for requests too, but all their nodes may also have stopped or failed.
    pub fn silent_zones(&self, now: Timestamp) -> BTreeSet<ZoneName> {
        let rounds = self.other_zone_count().div_ceil(self.cross_zone_fanout()) as u64;
        let mut zones: BTreeMap<&ZoneName, Vec<Timestamp>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.zone != self.zone) {
            // Until then, aggregators received the zone's messages instead of this node.
            let heard = peer.last_heard.max(self.last_large_at);
            zones.entry(&peer.zone).or_default().push(heard);
        }
        let is_silent = |heard: &Vec<Timestamp>| {
            // Each peer sends to this node once in `rounds` rounds, and the peers of a zone take
            // turns.
            let rounds_between = rounds.div_ceil(heard.len() as u64).max(1);
            let limit = Span(rounds_between * CROSS_ZONE_TICKS * TICK.0 * MISSED_ZONE_MESSAGES);
            heard.iter().all(|heard| now.since(*heard) > limit)
        };
        let silent = zones.into_iter().filter(|(_, heard)| is_silent(heard));
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    /// Resets the silence of all live peers after a pause of this process, during which it could
    /// not receive their messages.
    pub fn reset_silence(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut().filter(|peer| !peer.is_lost) {
            peer.last_heard = now;
        }
    }

    /// Addresses of the live peers in this node's zone.
    pub fn same_zone_peers(&self) -> Vec<SocketAddr> {
        self.live_addresses(|peer| peer.zone == self.zone)
    }

    /// Number of live peers in this node's zone.
    pub fn same_zone_count(&self) -> usize {
        self.live_same_zone
    }

    /// Time since the number of live peers in this node's zone last reached a new maximum.
    pub fn time_since_zone_grew(&self, now: Timestamp) -> Span {
        now.since(self.max_live_same_zone_since)
    }

    /// Number of live peers in other zones.
    pub fn other_zone_count(&self) -> usize {
        self.live_other_zones
    }

    /// Addresses of the live peers in other zones.
    pub fn other_zone_peers(&self) -> Vec<SocketAddr> {
        self.live_addresses(|peer| peer.zone != self.zone)
    }

    fn live_addresses(&self, is_included: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let live = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_lost && is_included(peer));
        live.map(|(address, _)| *address).collect()
    }

    /// A random sample of addresses to probe: seeds, indirectly known nodes and lost peers.
    pub fn probe_targets(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        let lost = self.peers.iter().filter(|(_, peer)| peer.is_lost);
        let lost = lost.map(|(address, _)| *address);
        let seeds = self.other_seeds().into_iter();
        let indirect = self
            .indirect
            .iter()
            .filter(|(_, (zone, _))| self.should_probe(zone));
        let unknown = seeds.chain(indirect.map(|(address, _)| *address));
        let unknown = unknown.filter(|address| !self.peers.contains_key(address));
        unknown.chain(lost).choose_multiple(random, count)
    }

    /// Number of indirectly known nodes that are to be probed.
    pub fn indirect_count(&self) -> usize {
        let zones = self.indirect.values();
        zones.filter(|(zone, _)| self.should_probe(zone)).count()
    }

    /// Whether indirectly known nodes of a zone are to be probed.
    fn should_probe(&self, zone: &ZoneName) -> bool {
        *zone == self.zone || !self.has_enough_contacts(zone)
    }

    /// Active peers of this node's zone with their role priorities, highest first.
    pub(crate) fn role_candidates(&self) -> Vec<(RolePriority, SocketAddr)> {
        let mut ranked: Vec<(RolePriority, SocketAddr)> = self
            .active_same_zone()
            .map(|(address, peer)| (peer.role_priority, *address))
            .collect();
        ranked.sort_unstable_by_key(|(role_priority, _)| std::cmp::Reverse(*role_priority));
        ranked
    }

    /// Index of this node among the active nodes of its zone in the order of senders to a cold
    /// back end.
    pub(crate) fn sender_index(&self, back_end: u32) -> usize {
        self.count_before_own(back_end, &self.active_peer_hashes)
    }

    /// Number of nodes in `others` that precede this node in the order of senders to a back end.
    pub(super) fn count_before_own<'a>(
        &self,
        back_end: u32,
        others: impl IntoIterator<Item = &'a u64>,
    ) -> usize {
        let own = sender_rank(self.own_hash, back_end);
        let others = others.into_iter();
        others
            .filter(|hash| sender_rank(**hash, back_end) > own)
            .count()
    }

    /// Live peers that are not stopping.
    pub(crate) fn active_peers(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(|(_, peer)| !peer.is_lost && !peer.is_stopping)
    }

    /// The active peers with their scores for a key.
    pub(crate) fn scored_peers(&self, key: u64) -> impl Iterator<Item = ScoredPeer> {
        self.active_peers().map(move |(address, peer)| {
            let hash = peer.role_priority.hash.to_le_bytes();
            ScoredPeer {
                score: xxh3_64_with_seed(&hash, key),
                is_same_zone: peer.zone == self.zone,
                address: *address,
            }
        })
    }

    /// Active peers in this node's zone.
    fn active_same_zone(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.active_peers()
            .filter(|(_, peer)| peer.zone == self.zone)
    }

    /// Live peers that know changes not covered by `known`.
    pub fn peers_ahead_of(&self, known: &VersionVector) -> Vec<SocketAddr> {
        self.live_addresses(|peer| !known.includes(&peer.version_vector))
    }

    /// The newest revision that a live peer knows.
    pub fn newest_known_revision(&self) -> Option<Revision> {
        let live = self.peers.values().filter(|peer| !peer.is_lost);
        live.filter_map(|peer| peer.version_vector.newest()).max()
    }

    /// Zone of a node that was heard directly or reported by another one.
    pub fn zone_of(&self, address: SocketAddr) -> Option<&ZoneName> {
        let heard = self.peers.get(&address).map(|peer| &peer.zone);
        heard.or_else(|| self.indirect.get(&address).map(|(zone, _)| zone))
    }

    /// Whether a node at an address has been heard, directly or through other nodes.
    pub fn is_known(&self, ip: IpAddr) -> bool {
        let addresses = self.peers.keys().chain(self.indirect.keys());
        addresses.into_iter().any(|address| address.ip() == ip)
    }

    /// Whether the peer at an address is live.
    pub fn is_live(&self, address: SocketAddr) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| !peer.is_lost)
    }

    /// The other zones that have live peers.
    pub fn other_zones(&self) -> impl Iterator<Item = &ZoneName> {
        let live = self.peers.values().filter(|peer| !peer.is_lost);
        let zones = live.map(|peer| &peer.zone);
        let others: BTreeSet<&ZoneName> = zones.filter(|zone| **zone != self.zone).collect();
        others.into_iter()
    }

    /// A random live peer of each other zone.
    pub fn one_per_other_zone(&self, random: &mut impl Rng) -> BTreeMap<ZoneName, SocketAddr> {
        let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in &self.peers {
            if !peer.is_lost && peer.zone != self.zone {
                zones.entry(&peer.zone).or_default().push(*address);
            }
        }
        let zones = zones.into_iter();
        zones
            .filter_map(|(zone, peers)| Some((zone.clone(), peers.into_iter().choose(random)?)))
            .collect()
    }

    /// Number of live peers.
    pub fn live_count(&self) -> usize {
        self.live_same_zone + self.live_other_zones
    }
}
