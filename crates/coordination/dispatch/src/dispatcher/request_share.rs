//! Whether this node gets most of the requests of its zone, as when a balancer hands it most new
//! connections.

use super::{Dispatcher, TICK};
use eiderferry_types::{Span, Timestamp};

/// Share of its zone's requests from which a node gets most of them.
const MAIN_NODE_SHARE: f64 = 0.6;
/// Running requests that it must have at least.
const MIN_REQUESTS_OF_MAIN_NODE: u32 = 4;
/// Time between two evaluations, which examine all back ends.
const EVALUATION_INTERVAL: Span = Span(TICK.0 * 5);

/// The latest evaluation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestShare {
    evaluated_at: Option<Timestamp>,
    gets_most: bool,
}

impl Dispatcher {
    /// Whether this node has most of the running requests of its zone's nodes. Requests of single
    /// nodes aren't known in large fleets, so an even share of all requests is attributed to its
    /// zone.
    pub(super) fn gets_most_requests_of_zone(&mut self, now: Timestamp) -> bool {
        let last = self.request_share.evaluated_at;
        if last.is_none_or(|last| now.since(last) >= EVALUATION_INTERVAL) {
            self.request_share = RequestShare {
                evaluated_at: Some(now),
                gets_most: self.evaluate_request_share(now),
            };
        }
        self.request_share.gets_most
    }

    fn evaluate_request_share(&self, now: Timestamp) -> bool {
        let (mut own, mut all) = (0, 0);
        for state in self.back_ends.all() {
            own += state.load.own_running();
            all += state.load.occupancy(now).running;
        }
        let zone_nodes = self.peers.same_zone_count() as f64 + 1.0;
        let zone_share = zone_nodes / f64::from(self.peers.max_known()).max(zone_nodes);
        let of_zone = f64::from(all) * zone_share;
        own >= MIN_REQUESTS_OF_MAIN_NODE && f64::from(own) >= MAIN_NODE_SHARE * of_zone
    }
}
