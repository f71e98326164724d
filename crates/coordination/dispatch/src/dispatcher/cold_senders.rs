//! Selects the cold back ends to which this node may send requests.

use super::Dispatcher;
use crate::fleet::peers::Peers;
use crate::load::cold_start::{
    ColdRole, GROWTH_SETTLING_TIME, SENDER_SETTLING_TIME, WarmupChange, WarmupState,
};
use crate::load::registry::BackEndState;
use eiderferry_routing::{ColdStart, PoolName};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeMap;

impl Dispatcher {
    /// Cold-start settings of a pool, if its back ends start cold.
    pub(super) fn cold_start(&self, pool: &PoolName) -> Option<ColdStart> {
        self.document_store.table()?.pool(pool)?.cold_start
    }

    /// Updates which back ends are cold and to which cold ones of its zone this node may send.
    /// Returns what changed.
    pub(super) fn update_cold_senders(&mut self, now: Timestamp) -> Vec<WarmupChange> {
        let cold_starts = self.cold_starts();
        if cold_starts.is_empty() && !self.has_cold_back_ends {
            // No pool starts cold: avoids a scan over thousands of back ends at each tick.
            return Vec::new();
        }
        let may_send = self.may_be_sender(now);
        let gets_most = self.has_cold_back_ends && self.gets_most_requests_of_zone(now);
        let mut changes = Vec::new();
        self.has_cold_back_ends = false;
        for state in self.back_ends.all_mut() {
            let start = cold_starts.get(&state.back_end.pool);
            let cold = start.filter(|start| state.warmup.is_cold(start, now));
            let sender_count =
                cold.map_or(0, |start| self.settings.cold_rate_limit.sender_count(start));
            let role = cold.map_or(ColdRole::Warm, |_| {
                let is_same_zone = state.back_end.zone == self.settings.zone;
                if !may_send || !is_same_zone {
                    ColdRole::OtherNodes
                } else if gets_most {
                    ColdRole::MainSender
                } else {
                    role(&self.peers, state, sender_count)
                }
            });
            self.has_cold_back_ends |= role != ColdRole::Warm;
            if state.warmup.update_role(role, sender_count) {
                changes.push(WarmupChange {
                    instance: state.back_end.instance.clone(),
                    role,
                    warm_in: warm_in(&state.warmup, cold, now),
                });
            }
        }
        changes
    }

    /// Whether this node isn't stopping and knows enough of the other nodes of its zone to
    /// determine which of them send.
    pub(super) fn may_be_sender(&self, now: Timestamp) -> bool {
        let is_settled = self.uptime(now) >= SENDER_SETTLING_TIME
            && self.peers.time_since_zone_grew(now) >= GROWTH_SETTLING_TIME;
        is_settled && !self.is_stopping
    }

    fn cold_starts(&self) -> BTreeMap<PoolName, ColdStart> {
        let table = self.document_store.table();
        let pools = table.into_iter().flat_map(|table| &table.document().pools);
        pools
            .filter_map(|(name, pool)| Some((name.clone(), pool.cold_start?)))
            .collect()
    }
}

fn role(peers: &Peers, state: &BackEndState, sender_count: usize) -> ColdRole {
    if peers.sender_index(state.digest) < sender_count {
        ColdRole::Sender
    } else {
        ColdRole::OtherNodes
    }
}

fn warm_in(warmup: &WarmupState, cold: Option<&ColdStart>, now: Timestamp) -> Span {
    cold.map_or(Span::ZERO, |start| now.until(warmup.cold_until(start)))
}
