//! Rate limits stated by back ends: exchange with other nodes, and this node's share of each limit.

use super::{Dispatcher, TICK};
use crate::load::limit_notices::{Audience, NoticeOrigin};
use crate::load::limiter::{PROBE_WINDOW, SenderShare, probing_probability, sender_count};
use crate::{Gossip, LimitChange, LimitReport, LimitRole};
use eiderferry_types::{Span, Timestamp};
use rand::Rng;

/// Time after a start in which a node discovers those of other zones. Earlier it would hold a zone
/// to have no nodes and send to its back ends, or hold the fleet to be small.
pub(super) const FLEET_SETTLING_TIME: Span = Span::from_milliseconds(10_000);
/// Share of a node that gets most requests of its zone: beside what the senders send, who hardly
/// have any requests then, it stays within the tolerance of limits.
const MAIN_NODE_SENDER_SHARE: SenderShare = SenderShare {
    index: 0,
    sender_count: 3,
};
/// Ticks between two probes of back ends whose limit is stale.
const PROBING_TICKS: u64 = PROBE_WINDOW.0 / TICK.0;

impl Dispatcher {
    /// Applies another node's reports of rate limits.
    pub(super) fn apply_limits(&mut self, message: &Gossip, now: Timestamp) {
        let origin = if message.zone == self.settings.zone {
            NoticeOrigin::OwnZone
        } else {
            NoticeOrigin::OtherZone
        };
        self.back_ends
            .apply_limit_reports(&message.limits, origin, now);
    }

    /// Reports of rate limits for a message to an audience.
    pub(super) fn limits_for(&mut self, audience: Audience, now: Timestamp) -> Vec<LimitReport> {
        let notices = self.back_ends.limit_notices();
        notices.reports(audience, now, &mut self.random)
    }

    /// Updates which rate-limited back ends this node sends to, and lets it probe those whose limit
    /// is stale. Returns what changed.
    pub(super) fn update_limit_roles(&mut self, now: Timestamp) -> Vec<LimitChange> {
        self.back_ends.expire_limits(now);
        let limited = self.back_ends.rate_limited();
        if limited.is_empty() {
            return Vec::new();
        }
        let knows_zone = self.may_be_sender(now);
        let knows_fleet = knows_zone && self.uptime(now) >= FLEET_SETTLING_TIME;
        let is_probe_due = knows_fleet && self.ticks.is_multiple_of(PROBING_TICKS);
        let gets_most = knows_zone && self.gets_most_requests_of_zone(now);
        let nodes_by_zone = self.peers.active_by_zone();
        let max_known = self.peers.max_known() as usize;
        let mut changes = Vec::new();
        for instance in limited {
            let Some(state) = self.back_ends.get_mut(&instance) else {
                continue;
            };
            let zone = &state.back_end.zone;
            let is_same_zone = *zone == self.settings.zone;
            let may_send = if is_same_zone {
                knows_zone
            } else {
                knows_fleet
            };
            let digest = state.digest;
            state.limiter.update_role(|limit| {
                // Uses the highest number of nodes ever known: nodes that are cut off from the
                // others must not hold themselves to be alone and use the others' shares as well.
                let sender_count = sender_count(limit, max_known);
                let index = nodes_by_zone.own_index(digest, zone, sender_count);
                let as_sender = index.map(|index| SenderShare {
                    index,
                    sender_count,
                });
                let as_main_node = (gets_most && is_same_zone).then_some(MAIN_NODE_SENDER_SHARE);
                let shares = as_sender.into_iter().chain(as_main_node);
                shares
                    .filter(|_| may_send)
                    .min_by_key(|share| share.sender_count)
            });
            let stale = state.limiter.stale_limit(now).filter(|_| is_probe_due);
            if let Some(limit) = stale
                && self
                    .random
                    .random_bool(probing_probability(limit, max_known))
            {
                state.limiter.begin_probing(now);
            }
            changes.extend(state.limiter.take_change(&instance));
        }
        changes
    }

    /// Counts of the back ends with a limit, and of those to which this node sends.
    pub(super) fn limit_counts(&self) -> (usize, usize) {
        let known = self.back_ends.rate_limited();
        let states = known
            .iter()
            .filter_map(|instance| self.back_ends.get(instance));
        let limited = states.filter(|state| state.limiter.limit().is_some());
        limited.fold((0, 0), |(all, sent_to), state| {
            let sends = state.limiter.role() != LimitRole::OtherNodes;
            (all + 1, sent_to + usize::from(sends))
        })
    }
}
