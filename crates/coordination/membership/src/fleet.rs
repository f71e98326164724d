//! The listed nodes by zone, and the holders of cells among them.

use crate::{FailureDetector, Health};
use eiderferry_types::{CellId, NodeId, Rendezvous, Timestamp, ZoneId};
use std::collections::BTreeMap;

/// A listed node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

/// The listed nodes together with their health.
#[derive(Clone, Debug)]
pub struct Fleet {
    own_node: NodeId,
    own_zone: ZoneId,
    own_draining: bool,
    members: BTreeMap<NodeId, Member>,
    /// Failure detector for the peers.
    pub detector: FailureDetector,
}

impl Fleet {
    /// Creates a fleet in which only this node is known.
    pub fn new(own_node: NodeId, own_zone: ZoneId) -> Self {
        Self {
            own_node,
            own_zone,
            own_draining: false,
            members: BTreeMap::new(),
            detector: FailureDetector::default(),
        }
    }

    /// Replaces the list of nodes.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        self.members = members
            .into_iter()
            .map(|member| (member.node, member))
            .collect();
        let listed = &self.members;
        self.detector.retain(|node| listed.contains_key(&node));
    }

    /// Sets whether this node is draining; a draining node holds no cells.
    pub fn set_own_draining(&mut self, draining: bool) {
        self.own_draining = draining;
    }

    /// Whether a node is listed.
    pub fn is_listed(&self, node: NodeId) -> bool {
        self.members.contains_key(&node)
    }

    /// Listed nodes that are not leaving; includes this node if it is listed.
    pub fn listed_nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members
            .values()
            .filter(|member| !member.leaving)
            .map(|member| member.node)
    }

    /// Peers in this node's zone.
    pub fn same_zone_peers(&self) -> Vec<NodeId> {
        self.peers_matching(|member| member.zone == self.own_zone)
    }

    /// Peers in other zones.
    pub fn other_zone_peers(&self) -> Vec<NodeId> {
        self.peers_matching(|member| member.zone != self.own_zone)
    }

    fn peers_matching(&self, predicate: impl Fn(&Member) -> bool) -> Vec<NodeId> {
        self.members
            .values()
            .filter(|member| member.node != self.own_node && predicate(member))
            .map(|member| member.node)
            .collect()
    }

    /// The node that holds the admission queue of a cell, as seen by this node.
    pub fn holder(&self, cell: CellId, now: Timestamp) -> Option<NodeId> {
        cell.owner(self.eligible_nodes(cell.zone, now))
    }

    /// The eligible nodes of this zone in the order in which they are chosen to read
    /// `document` for the others.
    pub fn reader_candidates(&self, document: &str, now: Timestamp) -> Vec<NodeId> {
        let key = document.rendezvous_key();
        let mut candidates: Vec<NodeId> = self.eligible_nodes(self.own_zone, now).collect();
        candidates
            .sort_by_key(|node| std::cmp::Reverse(eiderferry_types::rendezvous_score(key, *node)));
        candidates
    }

    fn eligible_nodes(&self, zone: ZoneId, now: Timestamp) -> impl Iterator<Item = NodeId> + '_ {
        let listed = self
            .members
            .values()
            .filter(move |member| member.zone == zone)
            .filter(move |member| self.is_eligible(member, now))
            .map(|member| member.node);
        let unlisted_own_node = (zone == self.own_zone
            && !self.own_draining
            && !self.members.contains_key(&self.own_node))
        .then_some(self.own_node);
        listed.chain(unlisted_own_node)
    }

    fn is_eligible(&self, member: &Member, now: Timestamp) -> bool {
        if member.node == self.own_node {
            return !self.own_draining && !member.leaving;
        }
        !member.leaving
            && !self.detector.is_draining(member.node)
            && self.detector.health(member.node, now) == Health::Reachable
    }
}
