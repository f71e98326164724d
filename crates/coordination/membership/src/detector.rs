//! Failure detection by probes and unanswered messages.

use eiderferry_types::{Incarnation, NodeId, Span, Timestamp};
use std::collections::BTreeMap;

/// Time after which an unanswered probe counts as missed.
pub const PROBE_TIMEOUT: Span = Span::from_milliseconds(400);
/// Missed answers in a row that make a silent node suspected.
const MISSES_TO_SUSPECT: u32 = 2;
/// Time without any message after which a node counts as silent: on a network that
/// loses messages, answers go missing from nodes that are well.
const SILENCE_THRESHOLD: Span = Span::from_milliseconds(600);
/// Time after which a suspected node is tried again even without a sign of life.
const SUSPICION_DURATION: Span = Span::from_milliseconds(5_000);

/// What is known of a peer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Answers, or nothing speaks against it.
    Reachable,
    /// Did not answer lately.
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

/// Signs of life of all peers.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    peers: BTreeMap<NodeId, Peer>,
}

impl Detector {
    /// Notes a message from a peer. Returns its previous incarnation if it restarted.
    pub fn heard(
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

    /// Whether a message comes from a run of the node that has been replaced.
    pub fn is_outdated(&self, node: NodeId, incarnation: Incarnation) -> bool {
        let newest = self.peers.get(&node).and_then(|peer| peer.incarnation);
        newest.is_some_and(|newest| newest > incarnation)
    }

    /// The run of the node last heard from.
    pub fn incarnation(&self, node: NodeId) -> Option<Incarnation> {
        self.peers.get(&node)?.incarnation
    }

    /// Notes that a probe was sent.
    pub fn probed(&mut self, node: NodeId, now: Timestamp) {
        let peer = self.peers.entry(node).or_default();
        peer.probe_sent_at.get_or_insert(now);
    }

    /// Notes that a message that wanted an answer got none.
    pub fn missed(&mut self, node: NodeId, now: Timestamp) {
        let peer = self.peers.entry(node).or_default();
        peer.consecutive_misses += 1;
        if peer.should_suspect(now) {
            peer.suspected_at.get_or_insert(now);
        }
    }

    /// Notes what a peer says of its own draining.
    pub fn set_draining(&mut self, node: NodeId, draining: bool) {
        self.peers.entry(node).or_default().draining = draining;
    }

    /// Counts probes that stayed unanswered; returns the peers newly suspected.
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

    /// What is known of a peer.
    pub fn health(&self, node: NodeId, now: Timestamp) -> Health {
        let suspected = self.peers.get(&node).and_then(|peer| peer.suspected_at);
        match suspected {
            Some(since) if now.since(since) < SUSPICION_DURATION => Health::Suspected,
            _ => Health::Reachable,
        }
    }

    /// Whether the peer said that it is draining.
    pub fn is_draining(&self, node: NodeId) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.draining)
    }

    /// Whether a message came from a peer within `span`.
    pub fn heard_within(&self, node: NodeId, now: Timestamp, span: Span) -> bool {
        let peer = self.peers.get(&node);
        peer.is_some_and(|peer| peer.incarnation.is_some() && now.since(peer.last_heard) < span)
    }

    /// A third node has heard from a suspected peer: it gets another chance.
    pub fn pardon(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.consecutive_misses = 0;
            peer.probe_sent_at = None;
            peer.suspected_at = None;
        }
    }

    /// After a pause nothing of the past counts against anyone.
    pub fn pardon_all(&mut self) {
        for peer in self.peers.values_mut() {
            peer.consecutive_misses = 0;
            peer.probe_sent_at = None;
            peer.suspected_at = None;
        }
    }

    /// Forgets peers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, _| is_listed(*node));
    }
}
