//! Lookup tables built from the directory and the configuration.

use crate::restored_directory::LeavingOverrides;
use eiderferry_config::{Configuration, Directory, EntryState, PoolKind};
use eiderferry_types::{BackEndId, CellId, NodeId, PoolId, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A listed back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackEndEntry {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The cell to which it belongs.
    pub cell: CellId,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

/// Lookup tables for one version of the directory and of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    back_ends: BTreeMap<BackEndId, BackEndEntry>,
    cells: BTreeMap<CellId, Vec<BackEndId>>,
    cells_of_pool: BTreeMap<PoolId, BTreeMap<ZoneId, Vec<CellId>>>,
    node_addresses: BTreeMap<NodeId, SocketAddr>,
    configuration: Option<Arc<Configuration>>,
}

impl Catalog {
    /// Assigns the back ends of a directory to cells as configured; those in `overrides`
    /// count as leaving, and those of unknown pools are left out.
    pub(crate) fn new(
        directory: &Directory,
        configuration: Arc<Configuration>,
        overrides: &LeavingOverrides,
    ) -> Self {
        let mut catalog = Self {
            configuration: Some(configuration.clone()),
            ..Self::default()
        };
        for node in &directory.nodes {
            catalog.node_addresses.insert(node.id, node.address);
        }
        let mut sizes: BTreeMap<(ZoneId, PoolId), u32> = BTreeMap::new();
        for entry in &directory.back_ends {
            *sizes.entry((entry.zone, entry.role)).or_default() += 1;
        }
        for entry in &directory.back_ends {
            let Some(pool) = configuration.pool(entry.role) else {
                continue;
            };
            let size = sizes.get(&(entry.zone, entry.role)).copied().unwrap_or(1);
            let shards = size.div_ceil(pool.back_ends_per_cell);
            let cell = CellId {
                zone: entry.zone,
                pool: entry.role,
                shard: shard_of(entry.id, shards),
            };
            let is_leaving = entry.state == EntryState::Leaving || overrides.contains(entry.id);
            catalog.add_back_end(entry.id, entry.address, cell, is_leaving);
        }
        catalog
    }

    fn add_back_end(&mut self, id: BackEndId, address: SocketAddr, cell: CellId, leaving: bool) {
        let entry = BackEndEntry {
            address,
            cell,
            leaving,
        };
        self.back_ends.insert(id, entry);
        let members = self.cells.entry(cell).or_default();
        members.push(id);
        if members.len() == 1 {
            self.cells_of_pool
                .entry(cell.pool)
                .or_default()
                .entry(cell.zone)
                .or_default()
                .push(cell);
        }
    }

    /// The configuration that it was built from.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Looks up a back end.
    pub fn back_end(&self, id: BackEndId) -> Option<&BackEndEntry> {
        self.back_ends.get(&id)
    }

    /// Address of an entry node.
    pub fn node_address(&self, id: NodeId) -> Option<SocketAddr> {
        self.node_addresses.get(&id).copied()
    }

    /// The back ends of a cell.
    pub fn cell_members(&self, cell: CellId) -> &[BackEndId] {
        self.cells.get(&cell).map_or(&[], Vec::as_slice)
    }

    /// Whether a cell has a back end that isn't leaving.
    pub fn is_served(&self, cell: CellId) -> bool {
        self.cell_members(cell)
            .iter()
            .any(|id| self.back_ends.get(id).is_some_and(|entry| !entry.leaving))
    }

    /// The cells of a pool, by zone.
    pub fn cells_of_pool(&self, pool: PoolId) -> impl Iterator<Item = (ZoneId, &[CellId])> {
        self.cells_of_pool
            .get(&pool)
            .into_iter()
            .flatten()
            .map(|(zone, cells)| (*zone, cells.as_slice()))
    }

    /// All cells.
    pub fn cells(&self) -> impl Iterator<Item = CellId> + '_ {
        self.cells.keys().copied()
    }

    /// Whether a pool's back ends are model engines.
    pub fn is_engine_pool(&self, pool: PoolId) -> bool {
        self.configuration
            .as_ref()
            .and_then(|configuration| configuration.pool(pool))
            .is_some_and(|pool| pool.kind == PoolKind::Engine)
    }
}

/// The index of a back end's cell among the `shards` cells of its zone and pool. Back
/// ends are numbered consecutively, so the remainder distributes them evenly; a hash
/// would make cells of very different sizes.
fn shard_of(back_end: BackEndId, shards: u32) -> u8 {
    (back_end.0 % shards.max(1)) as u8
}
