//! What a dispatcher tells the other nodes, and when.

use super::aggregation::PEER_TICKS;
use super::turns::round_robin;
use super::{Dispatcher, OUTCOME_LIFETIME, PLACEMENTS_PER_MESSAGE, TickOutput};
use crate::fleet::message::{ChangeBatch, Envelope, Gossip, LoadReport};
use crate::fleet::traffic::MessageKind;
use crate::load::limit_notices::Audience;
use crate::load::registry::BackEndState;
use crate::{ColdRole, SplitChange};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Ticks between two messages to other zones, whose bytes are dear.
pub(crate) const CROSS_ZONE_TICKS: u64 = 4;
/// Ticks between two attempts to reach nodes not known to be there.
const DOUBTFUL_TICKS: u64 = 10;
/// Ticks between two messages that name other nodes unasked.
const MEMBER_TICKS: u64 = 20;
/// Ticks between two questions to the seeds by a node that hears others, but lacks documents.
const SEED_TICKS: u64 = 5;
/// Ticks after a start during which these attempts are made more often.
const STARTING_TICKS: u64 = 50;
/// The same, while starting or while nodes are known by hearsay only.
const SEARCHING_TICKS: u64 = 2;
/// Peers of the own zone told at each tick.
pub(crate) const SAME_ZONE_FANOUT: usize = 12;
/// Peers of other zones told at a time.
pub(crate) const CROSS_ZONE_FANOUT: usize = 8;
/// The same in a large zone, whose aggregators hear of other zones from theirs.
pub(crate) const LARGE_ZONE_CROSS_ZONE_FANOUT: usize = 2;
/// Doubtful addresses tried at a time.
const DOUBTFUL_FANOUT: usize = 2;
/// The same while nodes are known by hearsay only.
const SEARCHING_FANOUT: usize = 6;
/// Peers told by a node that was told itself.
const FORWARD_NEAR_FANOUT: usize = 3;
const FORWARD_FAR_FANOUT: usize = 1;
/// What a message may take on its way, the rounding of ages included: without it a
/// confirmation that is passed on and back grows younger.
const ON_THE_WAY: Span = Span::from_milliseconds(10);
/// Ticks between two looks at how likely streams are to be lost.
const LOSS_TICKS: u64 = 5;
/// Ticks between two looks at whether streams are placed apart.
const SPLIT_TICKS: u64 = 5;
/// Most changes that one message carries, some 80 bytes each: with them it is as long as a
/// summary of an aggregator. More are fetched from the teller, with a connection and a call by
/// each node: a release that replaces 15 engines a second leaves 18 changes between two looks
/// at the platform, one that replaces 53 leaves 64 (reckoned).
const MOST_NEWS: usize = 96;

impl Dispatcher {
    /// Messages and changes that are due; to be called every [`TICK`](super::TICK).
    pub fn tick(&mut self, now: Timestamp) -> TickOutput {
        self.ticks += 1;
        self.now = now;
        self.started.get_or_insert(now);
        self.forget_lapsed(now);
        self.release_withheld(now);
        let mut peer_changes = self.peers.tick(now);
        let warmup_changes = self.update_cold_senders(now);
        let limit_changes = self.update_limit_roles(now);
        peer_changes.extend(self.update_aggregators(now));
        self.update_silent_zones(now);
        self.ended_lately
            .retain(|_, ended| now.since(*ended) < OUTCOME_LIFETIME);
        let split_changes = self.update_splits(now);
        let quarantine_changes = self.quarantine.expire(now);
        let expired_leases = self.expire_leases(now);
        if self.ticks.is_multiple_of(LOSS_TICKS) {
            self.losses.update(&self.back_ends, now);
        }
        let mut messages = self.messages_to_zone(now);
        messages.extend(self.zone_digest(now));
        messages.extend(self.crash_announcement(now));
        if self.ticks.is_multiple_of(CROSS_ZONE_TICKS) {
            // In a large zone the senders of digests speak for all of its nodes.
            if !self.is_spoken_for() {
                messages.extend(self.message_to_other_zones(now));
            }
            self.placements.clear();
        }
        if self.document_store.version_vector().is_empty() && self.is_time_to_ask_seeds() {
            let seeds = self.peers.other_seeds();
            messages.extend(self.question(seeds, now));
        }
        let (period, fanout) = self.search_pace();
        if self.ticks % period == 1 {
            let probe_targets = self.peers.probe_targets(fanout, &mut self.random);
            messages.extend(self.question(probe_targets, now));
        }
        TickOutput {
            messages,
            peer_changes,
            warmup_changes,
            limit_changes,
            split_changes,
            quarantine_changes,
            expired_leases,
        }
    }

    /// Whether other nodes speak for this one to other zones.
    fn is_spoken_for(&self) -> bool {
        self.settings.features.zone_representatives
            && self.peers.is_zone_large()
            && self.uses_zone_digests()
    }

    fn update_silent_zones(&mut self, now: Timestamp) {
        match self.aggregation.silent_zones(now) {
            Some(zones) => self.silent_zones = zones,
            // What aggregators told last stands until others have taken their place.
            None if self.is_spoken_for() => {}
            None => self.silent_zones = self.peers.silent_zones(now),
        }
    }

    /// Seeds are asked in each tick until one is heard, then at times.
    fn is_time_to_ask_seeds(&self) -> bool {
        self.peers.live_count() == 0 || self.ticks.is_multiple_of(SEED_TICKS)
    }

    /// Looks from time to time at how the engines of pools are split.
    fn update_splits(&mut self, now: Timestamp) -> Vec<SplitChange> {
        if !self.ticks.is_multiple_of(SPLIT_TICKS) {
            return Vec::new();
        }
        if !self.settings.features.pool_split {
            self.back_ends.update_stream_isolation(now);
            return Vec::new();
        }
        self.long_silent.record(&self.silent_zones);
        let (silent, evacuated) = (&self.long_silent, &self.evacuated);
        let is_usable = |state: &BackEndState| {
            let zone = &state.back_end.zone;
            state.accepts_work()
                && !state.health.is_ejected(now)
                && state.warmup.role() == ColdRole::Warm
                && !silent.contains(zone)
                && !evacuated.contains(zone)
        };
        let seconds = super::TICK.seconds() * SPLIT_TICKS as f64;
        self.back_ends.update_splits(is_usable, seconds, now)
    }

    /// Messages to the own zone: its peers hear of this node's work themselves, or in a large
    /// zone by its aggregators.
    fn messages_to_zone(&mut self, now: Timestamp) -> Vec<Envelope> {
        if self.peers.is_zone_large() {
            let mut messages = self.aggregation_messages(now);
            if self.ticks.is_multiple_of(PEER_TICKS) {
                let peers = round_robin(&self.peers.same_zone_peers(), 1, &mut self.near_turn);
                let mut message = self.bare_gossip(false, now);
                message.limits = self.limits_for(Audience::OwnZone, now);
                messages.extend(envelope(MessageKind::Peer, peers, message));
            }
            return messages;
        }
        let near = round_robin(
            &self.peers.same_zone_peers(),
            SAME_ZONE_FANOUT,
            &mut self.near_turn,
        );
        let mut message = self.gossip(false, now);
        message.zone_digests = self.zone_digests.digests_to_forward(now);
        message.limits = self.limits_for(Audience::OwnZone, now);
        envelope(MessageKind::Peer, near, message)
            .into_iter()
            .collect()
    }

    fn message_to_other_zones(&mut self, now: Timestamp) -> Option<Envelope> {
        let fanout = self.peers.cross_zone_fanout();
        let far = round_robin(&self.peers.other_zone_peers(), fanout, &mut self.far_turn);
        let mut message = if self.uses_zone_digests() {
            self.bare_gossip(false, now)
        } else {
            self.gossip(false, now)
        };
        message.limits = self.limits_for(Audience::OtherZones, now);
        envelope(MessageKind::Peer, far, message)
    }

    /// A message that wants an answer.
    fn question(&mut self, to: Vec<SocketAddr>, now: Timestamp) -> Option<Envelope> {
        let message = self.gossip(true, now);
        envelope(MessageKind::Query, to, message)
    }

    /// Ticks between two attempts to reach doubtful nodes, and how many are tried.
    fn search_pace(&self) -> (u64, usize) {
        if self.peers.indirect_count() > 0 {
            return (SEARCHING_TICKS, SEARCHING_FANOUT);
        }
        if self.ticks < STARTING_TICKS {
            return (SEARCHING_TICKS, DOUBTFUL_FANOUT);
        }
        (DOUBTFUL_TICKS, DOUBTFUL_FANOUT)
    }

    /// The answer to a node that wants one: it names others.
    pub fn reply(&mut self, to: SocketAddr, now: Timestamp) -> Gossip {
        let mut answer = self.gossip(false, now);
        let zone = self.peers.zone_of(to).cloned();
        if self.settings.features.quarantine {
            answer.crashing_requests = self.quarantine.reports_at_start(now);
        }
        let limits = self.back_ends.limit_notices();
        answer.limits = limits.reports_at_start(now, &mut self.random);
        answer.members = self.peers.sample_for(zone.as_ref(), now, &mut self.random);
        answer
    }

    /// The message that tells how this node stands, and its work at back ends.
    pub fn gossip(&mut self, wants_reply: bool, now: Timestamp) -> Gossip {
        let mut message = self.bare_gossip(wants_reply, now);
        let count = self.placements.len().min(PLACEMENTS_PER_MESSAGE);
        message.placements = self.placements[..count].to_vec();
        message.loads = Some(self.own_loads(now));
        message
    }

    /// The message that tells how this node stands, without its work.
    pub(super) fn bare_gossip(&mut self, wants_reply: bool, now: Timestamp) -> Gossip {
        let names_members = wants_reply || self.ticks.is_multiple_of(MEMBER_TICKS);
        let members = if names_members {
            self.peers.sample(now, &mut self.random)
        } else {
            Vec::new()
        };
        Gossip {
            from: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            link_mbps: self.settings.link_mbps,
            is_stopping: self.is_stopping,
            wants_reply,
            version_vector: self.document_store.version_vector().clone(),
            table_stamp: self.document_store.table_stamp(),
            confirmed_ms: self
                .document_store
                .confirmed_age(now)
                .map(|age| (age + ON_THE_WAY).milliseconds() as u32),
            loads: None,
            is_for_aggregator: false,
            zone_digests: Vec::new(),
            summary: None,
            placements: Vec::new(),
            members,
            recent_changes: None,
            crashing_requests: self.crashing_requests(now),
            limits: Vec::new(),
        }
    }

    pub(super) fn own_loads(&self, now: Timestamp) -> Vec<LoadReport> {
        let running = self.leases.values().map(|lease| &lease.instance);
        let busy: BTreeSet<&InstanceId> = running.chain(self.ended_lately.keys()).collect();
        let states = busy
            .into_iter()
            .filter_map(|instance| self.back_ends.get(instance));
        states
            .map(|state| state.load.own_report(state.digest, now))
            .collect()
    }

    /// Messages that tell the peers at once of newer documents, which the platform or
    /// a peer has told this node.
    pub fn announce(&mut self, is_first_hand: bool, now: Timestamp) -> Envelope {
        let (near, far) = if is_first_hand {
            (SAME_ZONE_FANOUT, CROSS_ZONE_FANOUT)
        } else {
            (FORWARD_NEAR_FANOUT, FORWARD_FAR_FANOUT)
        };
        let mut peers = round_robin(&self.peers.same_zone_peers(), near, &mut self.near_turn);
        peers.extend(self.announced_beyond(is_first_hand, far));
        let mut message = self.bare_gossip(false, now);
        message.recent_changes = self.news();
        self.announced_to
            .clone_from(self.document_store.version_vector());
        Envelope {
            kind: MessageKind::Announcement,
            to: peers,
            message,
        }
    }

    /// Nodes of other zones told of newer documents: where zones speak through few nodes, one or
    /// two of each zone by who heard of them first, and none by the others, as each further one
    /// tells its own zone only.
    fn announced_beyond(&mut self, is_first_hand: bool, fanout: usize) -> Vec<SocketAddr> {
        if !self.is_spoken_for() {
            return round_robin(&self.peers.other_zone_peers(), fanout, &mut self.far_turn);
        }
        if !is_first_hand && !self.represents_zone() {
            return Vec::new();
        }
        let mut told = self.digest_receivers();
        let others = self.peers.one_per_other_zone(&mut self.random);
        let others = others.into_values().filter(|_| is_first_hand);
        told.extend(others);
        told.sort_unstable();
        told.dedup();
        told
    }

    /// The changes since the last announcement, if they fit a message.
    fn news(&self) -> Option<ChangeBatch> {
        let (count, has_table) = self.document_store.count_after(&self.announced_to);
        (count <= MOST_NEWS && !has_table).then(|| ChangeBatch {
            base: self.announced_to.clone(),
            changes: self.document_store.changes_after(&self.announced_to),
        })
    }
}

/// A message to peers, if there are any.
fn envelope(kind: MessageKind, to: Vec<SocketAddr>, message: Gossip) -> Option<Envelope> {
    (!to.is_empty()).then_some(Envelope { kind, to, message })
}
