//! Replicas of running streams: placed together with a lease and released with it.

use super::Dispatcher;
use crate::load::registry::BackEndState;
use crate::placement::replication::{replica_tokens, select_holder, should_replicate};
use crate::placement::view::View;
use crate::{Demand, LeaseId, ReplicaTarget};
use eiderferry_routing::{InstanceId, PoolName};
use eiderferry_types::Timestamp;

/// A replica that counts towards the load of its holder.
#[derive(Clone, Debug)]
pub(super) struct ReplicaLease {
    pub(super) target: ReplicaTarget,
    lease: LeaseId,
}

impl Dispatcher {
    /// Chooses the holder of a stream's replica and adds the replica to the holder's load.
    pub(super) fn replicate(
        &mut self,
        demand: &Demand,
        source: &InstanceId,
        now: Timestamp,
    ) -> Option<ReplicaLease> {
        // A stream that was taken over once is not replicated again.
        if demand.required_instance.is_some() || !self.settings.features.run_replicas {
            return None;
        }
        if !self.supports_replicas(&demand.pool) {
            return None;
        }
        let cold_start = self.cold_start(&demand.pool);
        let home_scope = self.home_scope(&demand.pool);
        let view = View {
            zone: &self.settings.zone,
            silent_zones: &self.silent_zones,
            regions: &self.settings.regions,
            evacuated_zones: &self.evacuated_zones,
            cold_start,
            round_trips: &self.round_trips,
            home_scope,
            costs_locality: self.settings.features.locality_costs,
            now,
        };
        let state = self.back_ends.get(source)?;
        if !should_replicate(demand, state.load.failure_share(now), &self.losses) {
            return None;
        }
        let target = select_holder(&self.back_ends, &view, demand, state, &mut self.random)?;
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let holder_state = self.back_ends.get_mut(&target.instance)?;
        holder_state
            .load
            .add_replica(lease, replica_tokens(demand), now);
        Some(ReplicaLease { target, lease })
    }

    fn supports_replicas(&self, pool: &PoolName) -> bool {
        let table = self.document_store.table();
        let pool = table.and_then(|table| table.pool(pool));
        let engine = pool.and_then(|pool| pool.engine.as_ref());
        engine.is_some_and(|engine| engine.replicas.is_some())
    }

    /// Removes the replica of an ended stream from its holder's load.
    pub(super) fn release_replica(&mut self, replica_lease: &ReplicaLease) {
        if let Some(state) = self.back_ends.get_mut(&replica_lease.target.instance) {
            state.load.remove_replica(replica_lease.lease);
        }
    }

    /// Whether a back end is listed and not leaving.
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        let state = self.back_ends.get(instance);
        state.is_some_and(BackEndState::accepts_work)
    }

    /// Whether an engine is presumed to be down: its zone is silent, it is ejected for failures, or
    /// it is no longer listed.
    pub fn is_presumed_down(&self, instance: &InstanceId, now: Timestamp) -> bool {
        let Some(state) = self.back_ends.get(instance) else {
            return true;
        };
        state.health.is_ejected(now) || self.silent_zones.contains(&state.back_end.zone)
    }
}
