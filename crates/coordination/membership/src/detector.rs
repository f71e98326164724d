//! Failure detector based on probes and unanswered messages.

use eiderferry_types::{Incarnation, NodeId, Span, Timestamp};
use std::collections::BTreeMap;

/// Time after which an unanswered probe counts as missed.
pub const PROBE_TIMEOUT: Span = Span::from_milliseconds(400);
/// Consecutive missed replies after which a silent node is suspected.
const MISSES_TO_SUSPECT: u32 = 2;
/// Time without any message after which a node counts as silent. Missed replies alone
/// don't make a node suspected, since a lossy network also loses replies of healthy
/// nodes.
const SILENCE_THRESHOLD: Span = Span::from_milliseconds(600);
/// Time after which a suspected node is treated as reachable again even if it sent no
/// message.
const SUSPICION_DURATION: Span = Span::from_milliseconds(5_000);

/// Health of a peer as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Responds, or there is no evidence of a failure.
    Reachable,
    /// Did not respond recently.
    Suspected,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: Option<Incarnation>,
    consecutive_misses: u32,
    last_heard: Timestamp,
    probe_sent_at: Option<Timestamp>,
    suspected_at: Option<Timestamp>,
    draining: bool,
}

impl Peer {
    fn should_suspect(&self, now: Timestamp) -> bool {
        self.consecutive_misses >= MISSES_TO_SUSPECT
            && now.since(self.last_heard) >= SILENCE_THRESHOLD
    }
}

/// Failure detector for all peers.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    peers: BTreeMap<NodeId, Peer>,
}

impl FailureDetector {
    /// Records a message from a peer. Returns its previous incarnation if it restarted.
    pub fn record_message(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Incarnation> {
        let peer = self.peers.entry(node).or_default();
        let previous = peer.incarnation;
        if previous.is_some_and(|newest| newest > incarnation) {
            return None;
        }
        peer.incarnation = Some(incarnation);
        peer.consecutive_misses = 0;
        peer.last_heard = now;
        peer.probe_sent_at = None;
        peer.suspected_at = None;
        previous.filter(|newest| *newest != incarnation)
    }

    /// Whether `incarnation` is older than the newest known one of the node.
    pub fn is_stale(&self, node: NodeId, incarnation: Incarnation) -> bool {
        let newest = self.peers.get(&node).and_then(|peer| peer.incarnation);
        newest.is_some_and(|newest| newest > incarnation)
    }

    /// The newest known incarnation of the node.
    pub fn incarnation(&self, node: NodeId) -> Option<Incarnation> {
        self.peers.get(&node)?.incarnation
    }

    /// Records that a probe was sent.
    pub fn record_probe(&mut self, node: NodeId, now: Timestamp) {
        let peer = self.peers.entry(node).or_default();
        peer.probe_sent_at.get_or_insert(now);
    }

    /// Records that a message other than a probe got no reply.
    pub fn record_missed_reply(&mut self, node: NodeId, now: Timestamp) {
        let peer = self.peers.entry(node).or_default();
        peer.consecutive_misses += 1;
        if peer.should_suspect(now) {
            peer.suspected_at.get_or_insert(now);
        }
    }

    /// Records whether a peer reports that it is draining.
    pub fn set_draining(&mut self, node: NodeId, draining: bool) {
        self.peers.entry(node).or_default().draining = draining;
    }

    /// Counts unanswered probes and returns the peers that became suspected by this call.
    pub fn tick(&mut self, now: Timestamp) -> Vec<NodeId> {
        let mut newly_suspected = Vec::new();
        for (node, peer) in &mut self.peers {
            if peer
                .probe_sent_at
                .is_some_and(|sent_at| now.since(sent_at) >= PROBE_TIMEOUT)
            {
                peer.probe_sent_at = None;
                peer.consecutive_misses += 1;
            }
            if peer.should_suspect(now) && peer.suspected_at.is_none() {
                peer.suspected_at = Some(now);
                newly_suspected.push(*node);
            }
        }
        newly_suspected
    }

    /// Health of a peer; reachable if it is unknown.
    pub fn health(&self, node: NodeId, now: Timestamp) -> Health {
        let suspected = self.peers.get(&node).and_then(|peer| peer.suspected_at);
        match suspected {
            Some(since) if now.since(since) < SUSPICION_DURATION => Health::Suspected,
            _ => Health::Reachable,
        }
    }

    /// Whether the peer reported that it is draining.
    pub fn is_draining(&self, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.draining)
    }

    /// Whether a message from the peer was received within the last `span`.
    pub fn heard_within(&self, node: NodeId, now: Timestamp, span: Span) -> bool {
        let peer = self.peers.get(&node);
        peer.is_some_and(|peer| peer.incarnation.is_some() && now.since(peer.last_heard) < span)
    }

    /// Clears the suspicion of a peer that another node has heard from.
    pub fn clear_suspicion(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.consecutive_misses = 0;
            peer.probe_sent_at = None;
            peer.suspected_at = None;
        }
    }

    /// Clears all suspicions after this process was paused, since missed replies may be
    /// due to the pause.
    pub fn clear_all_suspicions(&mut self) {
        for peer in self.peers.values_mut() {
            peer.consecutive_misses = 0;
            peer.probe_sent_at = None;
            peer.suspected_at = None;
        }
    }

    /// Removes peers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, _| is_listed(*node));
    }
}
