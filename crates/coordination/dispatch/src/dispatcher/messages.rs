//! Periodic and triggered messages to other nodes.

use super::aggregation::PEER_TICKS;
use super::round_robin::round_robin;
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

/// Ticks between two messages to other zones, where traffic is expensive.
pub(crate) const CROSS_ZONE_TICKS: u64 = 4;
/// Ticks between two probes of nodes not known to be alive.
const PROBE_TICKS: u64 = 10;
/// Ticks between two messages that list other nodes without being asked.
const MEMBER_TICKS: u64 = 20;
/// Ticks between two queries to the seeds by a node that hears others but has no documents.
const SEED_TICKS: u64 = 5;
/// Ticks after a start during which probes are sent at the faster pace.
const STARTUP_TICKS: u64 = 50;
/// Ticks between two probes after a start, or while some nodes are known only indirectly.
const FAST_PROBE_TICKS: u64 = 2;
/// Number of peers of the own zone that get a message at each tick.
pub(crate) const SAME_ZONE_FANOUT: usize = 12;
/// Number of peers of other zones that get a message at a time.
pub(crate) const CROSS_ZONE_FANOUT: usize = 8;
/// The same in a large zone, whose aggregators hear of other zones from the aggregators there.
pub(crate) const LARGE_ZONE_CROSS_ZONE_FANOUT: usize = 2;
/// Number of nodes probed at a time.
const PROBE_FANOUT: usize = 2;
/// The same while some nodes are known only indirectly.
const INDIRECT_PROBE_FANOUT: usize = 6;
/// Number of peers of the own zone to which a node forwards an announcement that it received.
const FORWARD_SAME_ZONE_FANOUT: usize = 3;
/// The same for peers of other zones.
const FORWARD_CROSS_ZONE_FANOUT: usize = 1;
/// Allowance for a message's transit time and the rounding of ages: without it a confirmation that
/// is forwarded back and forth would appear ever more recent.
pub(super) const TRANSIT_ALLOWANCE: Span = Span::from_milliseconds(10);
/// Ticks between two updates of the probability that streams are lost.
const LOSS_TICKS: u64 = 5;
/// Ticks between two updates of the split of pools.
const SPLIT_TICKS: u64 = 5;
/// Largest number of changes in one message, at some 80 bytes each: a full one is as long as an
/// aggregator's summary. More are fetched from the sender, which costs each node a connection and a
/// call. By calculation, a release that replaces 15 engines a second leaves 18 changes between two
/// reads of the platform, one that replaces 53 leaves 64.
const MAX_CHANGES_PER_MESSAGE: usize = 96;

impl Dispatcher {
    /// Returns the messages and changes that are due; to be called every [`TICK`](super::TICK).
    pub fn tick(&mut self, now: Timestamp) -> TickOutput {
        self.ticks += 1;
        self.now = now;
        self.started.get_or_insert(now);
        self.remove_expired(now);
        self.release_withheld(now);
        let mut peer_changes = self.peers.tick(now);
        let warmup_changes = self.update_cold_senders(now);
        let limit_changes = self.update_limit_roles(now);
        peer_changes.extend(self.update_aggregators(now));
        self.update_silent_zones(now);
        self.recently_released
            .retain(|_, ended| now.since(*ended) < OUTCOME_LIFETIME);
        let split_changes = self.update_splits(now);
        let quarantine_changes = self.expire_quarantine(now);
        let expired_leases = self.expire_leases(now);
        let streams = self.tick_streams(now);
        if self.ticks.is_multiple_of(LOSS_TICKS) {
            self.losses.update(&self.back_ends, now);
        }
        let mut messages = self.messages_to_zone(now);
        messages.extend(self.zone_digest(now));
        messages.extend(self.crash_announcement(now));
        if self.ticks.is_multiple_of(CROSS_ZONE_TICKS) {
            // In a large zone the senders of digests represent all of its nodes.
            if !self.is_represented() {
                messages.extend(self.message_to_other_zones(now));
            }
            self.placements.clear();
        }
        if self.document_store.version_vector().is_empty() && self.is_seed_query_due() {
            let seeds = self.peers.other_seeds();
            messages.extend(self.query(seeds, now));
        }
        let (period, fanout) = self.probe_pace();
        if self.ticks % period == 1 {
            let probe_targets = self.peers.probe_targets(fanout, &mut self.random);
            messages.extend(self.query(probe_targets, now));
        }
        TickOutput {
            messages,
            peer_changes,
            warmup_changes,
            limit_changes,
            split_changes,
            quarantine_changes,
            expired_leases,
            streams,
        }
    }

    /// Whether other nodes represent this one towards other zones.
    fn is_represented(&self) -> bool {
        self.settings.features.zone_representatives
            && self.peers.is_zone_large()
            && self.uses_zone_digests()
    }

    fn update_silent_zones(&mut self, now: Timestamp) {
        match self.aggregation.silent_zones(now) {
            Some(zones) => self.silent_zones = zones,
            // The aggregators' last report holds until others have taken their place.
            None if self.is_represented() => {}
            None => self.silent_zones = self.peers.silent_zones(now),
        }
    }

    /// Whether to query the seeds in this tick: in each one until a peer is heard, less often after
    /// that.
    fn is_seed_query_due(&self) -> bool {
        self.peers.live_count() == 0 || self.ticks.is_multiple_of(SEED_TICKS)
    }

    /// Updates every [`SPLIT_TICKS`] how the engines of pools are split between streams and long
    /// prompts.
    fn update_splits(&mut self, now: Timestamp) -> Vec<SplitChange> {
        if !self.ticks.is_multiple_of(SPLIT_TICKS) {
            return Vec::new();
        }
        if !self.settings.features.pool_split {
            self.back_ends.update_stream_isolation(now);
            return Vec::new();
        }
        self.persistent_silence.record(&self.silent_zones);
        let (silent, evacuated) = (&self.persistent_silence, &self.evacuated_zones);
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

    /// Messages to the own zone: its peers hear of this node's load directly, or in a large zone
    /// through its aggregators.
    fn messages_to_zone(&mut self, now: Timestamp) -> Vec<Envelope> {
        if self.peers.is_zone_large() {
            let mut messages = self.aggregation_messages(now);
            if self.ticks.is_multiple_of(PEER_TICKS) {
                let peers =
                    round_robin(&self.peers.same_zone_peers(), 1, &mut self.same_zone_cursor);
                let mut message = self.bare_gossip(false, now);
                message.limits = self.limits_for(Audience::OwnZone, now);
                messages.extend(envelope(MessageKind::Peer, peers, message));
            }
            return messages;
        }
        let receivers = round_robin(
            &self.peers.same_zone_peers(),
            SAME_ZONE_FANOUT,
            &mut self.same_zone_cursor,
        );
        let mut message = self.gossip(false, now);
        message.zone_digests = self.zone_digests.digests_to_forward(now);
        message.limits = self.limits_for(Audience::OwnZone, now);
        envelope(MessageKind::Peer, receivers, message)
            .into_iter()
            .collect()
    }

    fn message_to_other_zones(&mut self, now: Timestamp) -> Option<Envelope> {
        let fanout = self.peers.cross_zone_fanout();
        let receivers = round_robin(
            &self.peers.other_zone_peers(),
            fanout,
            &mut self.other_zone_cursor,
        );
        let mut message = if self.uses_zone_digests() {
            self.bare_gossip(false, now)
        } else {
            self.gossip(false, now)
        };
        message.limits = self.limits_for(Audience::OtherZones, now);
        envelope(MessageKind::Peer, receivers, message)
    }

    /// A message that requests a reply.
    fn query(&mut self, to: Vec<SocketAddr>, now: Timestamp) -> Option<Envelope> {
        let message = self.gossip(true, now);
        envelope(MessageKind::Query, to, message)
    }

    /// Ticks between two rounds of probes, and the number of nodes to probe.
    fn probe_pace(&self) -> (u64, usize) {
        if self.peers.indirect_count() > 0 {
            return (FAST_PROBE_TICKS, INDIRECT_PROBE_FANOUT);
        }
        if self.ticks < STARTUP_TICKS {
            return (FAST_PROBE_TICKS, PROBE_FANOUT);
        }
        (PROBE_TICKS, PROBE_FANOUT)
    }

    /// The reply to a query. It lists other nodes.
    pub fn reply(&mut self, to: SocketAddr, now: Timestamp) -> Gossip {
        let mut reply = self.gossip(false, now);
        let zone = self.peers.zone_of(to).cloned();
        if self.settings.features.quarantine {
            reply.crashing_requests = self.quarantine.reports_at_start(now);
            reply.crashing_parts = self.part_quarantine.reports_at_start(now);
        }
        let limits = self.back_ends.limit_notices();
        reply.limits = limits.reports_at_start(now, &mut self.random);
        reply.members = self.peers.sample_for(zone.as_ref(), now, &mut self.random);
        reply
    }

    /// A message with this node's state and its load at back ends.
    pub fn gossip(&mut self, wants_reply: bool, now: Timestamp) -> Gossip {
        let mut message = self.bare_gossip(wants_reply, now);
        let count = self.placements.len().min(PLACEMENTS_PER_MESSAGE);
        message.placements = self.placements[..count].to_vec();
        message.loads = Some(self.own_loads(now));
        message
    }

    /// A message with this node's state, without its load.
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
                .map(|age| (age + TRANSIT_ALLOWANCE).milliseconds() as u32),
            loads: None,
            is_for_aggregator: false,
            zone_digests: Vec::new(),
            summary: None,
            placements: Vec::new(),
            members,
            recent_changes: None,
            crashing_requests: self.crashing_requests(now),
            limits: Vec::new(),
            crashing_parts: self.crashing_parts(now),
            source_failed_ms: self.source_failure_age_ms(now),
        }
    }

    pub(super) fn own_loads(&self, now: Timestamp) -> Vec<LoadReport> {
        let running = self.leases.values().map(|lease| &lease.instance);
        let busy: BTreeSet<&InstanceId> = running.chain(self.recently_released.keys()).collect();
        let states = busy
            .into_iter()
            .filter_map(|instance| self.back_ends.get(instance));
        states
            .map(|state| state.load.own_report(state.digest, now))
            .collect()
    }

    /// An announcement of newer documents to peers. `is_from_source` says that this node read them
    /// from their source; otherwise it got them from a peer and forwards them.
    /// It is sent at once.
    pub fn announce(&mut self, is_from_source: bool, now: Timestamp) -> Envelope {
        let (same_zone_fanout, cross_zone_fanout) = if is_from_source {
            (SAME_ZONE_FANOUT, CROSS_ZONE_FANOUT)
        } else {
            (FORWARD_SAME_ZONE_FANOUT, FORWARD_CROSS_ZONE_FANOUT)
        };
        let mut peers = round_robin(
            &self.peers.same_zone_peers(),
            same_zone_fanout,
            &mut self.same_zone_cursor,
        );
        peers.extend(self.cross_zone_receivers(is_from_source, cross_zone_fanout));
        let mut message = self.bare_gossip(false, now);
        message.recent_changes = self.unannounced_changes();
        self.announced_versions
            .clone_from(self.document_store.version_vector());
        Envelope {
            kind: MessageKind::Announcement,
            to: peers,
            message,
        }
    }

    /// Nodes of other zones that an announcement is sent to. Where a zone is represented by few
    /// nodes, the first node to learn of a change sends it to one or two nodes of each zone, and
    /// representatives forward it to one node of each zone. All others forward it inside their own
    /// zone only.
    fn cross_zone_receivers(&mut self, is_from_source: bool, fanout: usize) -> Vec<SocketAddr> {
        if !self.is_represented() {
            return round_robin(
                &self.peers.other_zone_peers(),
                fanout,
                &mut self.other_zone_cursor,
            );
        }
        if !is_from_source && !self.represents_zone() {
            return Vec::new();
        }
        let mut receivers = self.digest_receivers();
        let others = self.peers.one_per_other_zone(&mut self.random);
        let others = others.into_values().filter(|_| is_from_source);
        receivers.extend(others);
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// The changes since the last announcement, if they fit into one message.
    fn unannounced_changes(&self) -> Option<ChangeBatch> {
        let (count, has_table) = self.document_store.count_after(&self.announced_versions);
        (count <= MAX_CHANGES_PER_MESSAGE && !has_table).then(|| ChangeBatch {
            base: self.announced_versions.clone(),
            changes: self.document_store.changes_after(&self.announced_versions),
        })
    }
}

/// An envelope for a message, if there are recipients.
fn envelope(kind: MessageKind, to: Vec<SocketAddr>, message: Gossip) -> Option<Envelope> {
    (!to.is_empty()).then_some(Envelope { kind, to, message })
}
