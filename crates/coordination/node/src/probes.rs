//! Pings between nodes, which detect failed peers and carry document versions.

use crate::message::{DocumentKind, Message};
use crate::node::Node;
use crate::request::Phase;
use eiderferry_types::{Incarnation, NodeId, Span, Timestamp};
use rand::seq::IndexedRandom;

/// Time between two rounds of pings within the zone.
const ZONE_INTERVAL: Span = Span::from_milliseconds(500);
/// Time between two pings to nodes in other zones.
const REMOTE_INTERVAL: Span = Span::from_milliseconds(2_000);
/// Peers of the own zone that are pinged in one round.
const PROBES_PER_ROUND: usize = 4;

/// Times of the next pings, and the position in the list of zone peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    next_zone: Timestamp,
    next_remote: Timestamp,
    next_peer: usize,
}

impl Node {
    /// Sends the pings that are due, and moves leases if a peer became suspected because
    /// it didn't reply.
    pub(crate) fn probe(&mut self) {
        let suspected = self.fleet.detector.tick(self.now);
        if !suspected.is_empty() {
            self.move_leases_to_current_holders();
        }
        if self.now >= self.probes.next_zone {
            self.probes.next_zone = self.now + ZONE_INTERVAL;
            self.probe_zone();
        }
        if self.now >= self.probes.next_remote {
            self.probes.next_remote = self.now + REMOTE_INTERVAL;
            self.probe_remote();
        }
    }

    fn probe_zone(&mut self) {
        let peers = self.fleet.same_zone_peers();
        let count = peers.len().min(PROBES_PER_ROUND);
        for offset in 0..count {
            let peer = peers[(self.probes.next_peer + offset) % peers.len()];
            self.fleet.detector.record_probe(peer, self.now);
            self.ping(peer);
        }
        self.probes.next_peer = self.probes.next_peer.wrapping_add(count);
    }

    fn probe_remote(&mut self) {
        let peers = self.fleet.other_zone_peers();
        let chosen = peers.choose(&mut self.random).copied();
        if let Some(peer) = chosen {
            self.fleet.detector.record_probe(peer, self.now);
            self.ping(peer);
        }
    }

    pub(crate) fn ping(&mut self, peer: NodeId) {
        self.ping_with_echo(peer, 0);
    }

    /// Pings a peer with an echo value that its reply returns.
    pub(crate) fn ping_with_echo(&mut self, peer: NodeId, echo: u16) {
        let message = Message::Ping {
            configuration: self.configuration.version(),
            directory: self.directory.version(),
            draining: self.draining,
            echo,
        };
        self.send(peer, message);
        self.send_crash_reports(peer);
    }

    /// Pings all peers of the zone, to announce a change of this node's own state.
    pub(crate) fn announce_to_zone(&mut self) {
        for peer in self.fleet.same_zone_peers() {
            self.ping(peer);
        }
    }

    /// Records a message from a peer. If the peer has restarted, drops the state that
    /// belongs to its previous run and sends it what it has lost.
    pub(crate) fn record_heard(&mut self, from: NodeId, incarnation: Incarnation) {
        let Some(_previous) = self
            .fleet
            .detector
            .record_message(from, incarnation, self.now)
        else {
            return;
        };
        self.releases.remove_holder(from);
        self.send_crash_reports_at_start(from);
        let now = self.now;
        for held in self.cells.values_mut() {
            held.cell.remove_node(now, from, Some(incarnation));
        }
        self.flush_all_cells();
        self.register_all_with(from);
        for request in self.requests.values_mut() {
            let is_requested_from_peer = matches!(
                &request.phase,
                Phase::RequestingSlot(slot_request) if slot_request.holder == from
            );
            if is_requested_from_peer {
                request.phase = Phase::BackingOff { until: now };
            }
        }
    }

    pub(crate) fn handle_ping(
        &mut self,
        from: NodeId,
        configuration: u64,
        directory: u64,
        draining: bool,
        echo: u16,
    ) {
        let reply = Message::Pong {
            configuration: self.configuration.version(),
            directory: self.directory.version(),
            draining: self.draining,
            echo,
        };
        self.send(from, reply);
        self.record_peer_state(from, configuration, directory, draining);
    }

    pub(crate) fn record_peer_state(
        &mut self,
        from: NodeId,
        configuration: u64,
        directory: u64,
        draining: bool,
    ) {
        let was_draining = self.fleet.detector.is_draining(from);
        self.fleet.detector.set_draining(from, draining);
        if was_draining != draining {
            self.move_leases_to_current_holders();
        }
        if configuration > self.configuration.version() {
            self.fetch(from, DocumentKind::Configuration);
        }
        if directory > self.directory.version() {
            self.fetch(from, DocumentKind::Directory);
        }
    }

    /// Confirms the directory if this is the reply to a ping sent after the last pause and
    /// the peer has no newer version. Other replies may have been buffered since before
    /// the pause.
    pub(crate) fn handle_pong(
        &mut self,
        from: NodeId,
        configuration: u64,
        directory: u64,
        draining: bool,
        echo: u16,
    ) {
        self.record_peer_state(from, configuration, directory, draining);
        if echo != 0 && echo == self.verification_echo && directory <= self.directory.version() {
            self.confirm_directory();
        }
    }
}
