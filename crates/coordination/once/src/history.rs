//! The owners of callers' keys according to every node list of the repeat window.

use crate::KeyName;
use eiderferry_types::{NodeId, Span, Timestamp, rendezvous_score};
use std::collections::VecDeque;

/// The node lists that this incarnation has seen within the repeat window.
#[derive(Clone, Debug)]
pub struct OwnershipHistory {
    own_node: NodeId,
    window: Span,
    started: Timestamp,
    /// Node lists with the time from which each applied, oldest first.
    node_lists: VecDeque<(Timestamp, Vec<NodeId>)>,
}

impl OwnershipHistory {
    /// Creates a history that begins at `started`.
    pub fn new(own_node: NodeId, window: Span, started: Timestamp) -> Self {
        Self {
            own_node,
            window,
            started,
            node_lists: VecDeque::new(),
        }
    }

    /// Changes the repeat window.
    pub fn set_window(&mut self, window: Span) {
        self.window = window;
    }

    /// Records a new node list.
    pub fn record(&mut self, now: Timestamp, mut nodes: Vec<NodeId>) {
        nodes.sort();
        if self
            .node_lists
            .back()
            .is_some_and(|(_, newest)| *newest == nodes)
        {
            return;
        }
        self.node_lists.push_back((now, nodes));
        self.remove_expired(now);
    }

    /// The owner of a key according to the newest list.
    pub fn owner(&self, name: &KeyName) -> Option<NodeId> {
        key_owner(name, &self.node_lists.back()?.1)
    }

    /// Whether this incarnation has owned the key for the whole repeat window.
    pub fn has_owned_for_window(&self, now: Timestamp, name: &KeyName) -> bool {
        let window_start = now - self.window;
        if now.since(self.started) < self.window || self.node_lists.is_empty() {
            return false;
        }
        let mut list_ends = self.node_lists.iter().skip(1).map(|(since, _)| *since);
        self.node_lists.iter().all(|(_, nodes)| {
            let overlaps_window = list_ends
                .next()
                .is_none_or(|list_end| list_end >= window_start);
            !overlaps_window || key_owner(name, nodes) == Some(self.own_node)
        })
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let window_start = now - self.window;
        while self.node_lists.len() > 1 && self.node_lists[1].0 < window_start {
            self.node_lists.pop_front();
        }
    }
}

fn key_owner(name: &KeyName, nodes: &[NodeId]) -> Option<NodeId> {
    let key_hash = match name {
        KeyName::Ticket { node, .. } => return Some(*node),
        KeyName::Caller(high, low) => high ^ low,
    };
    nodes
        .iter()
        .copied()
        .max_by_key(|node| (rendezvous_score(key_hash, *node), *node))
}
