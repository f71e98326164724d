//! Counters per class, and the node's figures for operators.

use crate::node::Node;
use eiderferry_admission::Observation;
use eiderferry_membership::Health;
use eiderferry_types::{CellId, ClassId, NodeId, Span, TenantId};

/// Counters of one class since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests submitted.
    pub requests: u64,
    /// Requests whose whole response was delivered.
    pub completed: u64,
    /// Requests that were refused, before or after an attempt.
    pub refused: u64,
    /// Completed requests that met both latency targets of the class.
    pub attained: u64,
    /// Response tokens of the completed requests.
    pub tokens: u64,
}

impl Node {
    /// Counters of one class.
    pub fn class_counts(&self, class: ClassId) -> ClassCounts {
        self.counts.get(&class).copied().unwrap_or_default()
    }

    /// All listed peers with their health and whether they are draining, in order of
    /// their identifiers.
    pub fn peers(&self) -> Vec<(NodeId, Health, bool)> {
        let mut peers = self.fleet.same_zone_peers();
        peers.extend(self.fleet.other_zone_peers());
        peers.sort();
        let describe = |peer: NodeId| {
            let detector = &self.fleet.detector;
            (
                peer,
                detector.health(peer, self.now),
                detector.is_draining(peer),
            )
        };
        peers.into_iter().map(describe).collect()
    }

    /// Number of running requests per cell held here and tenant, without zeros.
    pub fn tenant_usage(&self) -> Vec<(CellId, TenantId, u32)> {
        let cells = self.cells.iter().flat_map(|(cell, held)| {
            let running = held.cell.tenants_running();
            running.map(|(tenant, running)| (*cell, tenant, running))
        });
        cells.filter(|(_, _, running)| *running > 0).collect()
    }

    /// Version of the last configuration that was rejected as invalid; zero if none was.
    pub fn invalid_configuration(&self) -> u64 {
        self.invalid_configuration
    }

    pub(crate) fn record_completed(
        &mut self,
        sequence: u64,
        tokens: u32,
        observation: &Observation,
    ) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let class = request.submission.class;
        let before_dispatch = request.dispatched_at.since(request.arrived_at);
        let first_token = observation
            .first_token
            .map(|span| Span(before_dispatch.0 + span.0));
        let targets = self
            .configuration
            .current()
            .and_then(|configuration| configuration.class(class));
        let attained = targets.is_some_and(|targets| {
            let meets_first_token_target =
                first_token.is_some_and(|span| span <= targets.first_token_target());
            let meets_per_token_target = observation
                .per_token
                .is_none_or(|span| span <= targets.per_token_target());
            meets_first_token_target && meets_per_token_target
        });
        let counts = self.counts.entry(class).or_default();
        counts.completed += 1;
        counts.tokens += u64::from(tokens);
        counts.attained += u64::from(attained);
    }
}
