//! Distribution of tenant limits over the cells of a pool, and lending of unused shares.

use crate::held_cells::HeldCell;
use crate::message::Message;
use crate::node::Node;
use eiderferry_admission::Allowance;
use eiderferry_config::TenantLimit;
use eiderferry_types::{CellId, Span, TenantId, Timestamp};
use std::collections::BTreeMap;

/// Time between two reports of tenant usage to other cells.
const TENANT_USAGE_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Age up to which reports of tenant usage in other cells are used.
const TENANT_USAGE_LIFETIME: Span = Span::from_milliseconds(3_000);

impl Node {
    /// Reports the usage of tenants with limits to the holders of the pool's other cells.
    pub(crate) fn exchange_tenant_usage_if_due(&mut self, cell: CellId) {
        let now = self.now;
        let due = self
            .cells
            .get(&cell)
            .is_some_and(|held| now >= held.next_tenant_usage_report);
        if !due {
            return;
        }
        let tenant_limits = self.tenant_limits(cell);
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        held.next_tenant_usage_report = now + TENANT_USAGE_INTERVAL;
        if tenant_limits.is_empty() {
            return;
        }
        let running: Vec<(TenantId, u32)> = held
            .cell
            .tenants_running()
            .filter(|(tenant, running)| *running > 0 && tenant_limits.contains_key(tenant))
            .collect();
        let other_cells: Vec<CellId> = self
            .catalog
            .cells_of_pool(cell.pool)
            .flat_map(|(_, cells)| cells.iter().copied())
            .filter(|other| *other != cell)
            .collect();
        for other in other_cells {
            if let Some(holder) = self.fleet.holder(other, now) {
                self.send(
                    holder,
                    Message::TenantUsage {
                        cell,
                        running: running.clone(),
                    },
                );
            }
        }
        self.set_allowances(cell);
    }

    pub(crate) fn handle_tenant_usage(&mut self, cell: CellId, running: Vec<(TenantId, u32)>) {
        let now = self.now;
        let running: BTreeMap<TenantId, u32> = running.into_iter().collect();
        for (id, held) in &mut self.cells {
            if id.pool == cell.pool && *id != cell {
                held.usage_elsewhere.insert(cell, (now, running.clone()));
            }
        }
    }

    fn tenant_limits(&self, cell: CellId) -> BTreeMap<TenantId, TenantLimit> {
        let Some(configuration) = self.configuration.current() else {
            return BTreeMap::new();
        };
        let Some(pool) = configuration.pool(cell.pool) else {
            return BTreeMap::new();
        };
        let limits = configuration.tenants.iter().filter_map(|tenant| {
            let limit = tenant.limits.iter().find(|limit| limit.pool == pool.name)?;
            Some((tenant.id, limit.clone()))
        });
        limits.collect()
    }

    /// Sets the allowance of each tenant with limits in a cell.
    ///
    /// A limit is divided evenly among the cells of its pool, so that cells that can't
    /// reach each other never exceed it together. The part of a concurrency limit that
    /// other cells report as unused is divided among the cells that have used up theirs;
    /// without a fresh report from every other cell nothing is borrowed.
    pub(crate) fn set_allowances(&mut self, cell: CellId) {
        let tenant_limits = self.tenant_limits(cell);
        let cells: Vec<CellId> = self
            .catalog
            .cells_of_pool(cell.pool)
            .flat_map(|(_, cells)| cells.iter().copied())
            .collect();
        let now = self.now;
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        for (tenant, limit) in tenant_limits {
            let concurrency = limit
                .concurrency
                .map(|total| held.concurrency_allowance(now, tenant, total, cell, &cells));
            let tokens_per_second = limit
                .tokens_per_second
                .map(|total| f64::from(total) / cells.len().max(1) as f64);
            let allowance = Allowance {
                concurrency,
                tokens_per_second,
            };
            held.cell.set_allowance(tenant, allowance);
        }
    }
}

impl HeldCell {
    fn concurrency_allowance(
        &self,
        now: Timestamp,
        tenant: TenantId,
        total: u32,
        own: CellId,
        cells: &[CellId],
    ) -> u32 {
        let base = |cell: CellId| even_share(total, cell, cells);
        let mut unused = 0;
        let mut borrowers = 1;
        for other in cells.iter().filter(|cell| **cell != own) {
            let fresh_report = self
                .usage_elsewhere
                .get(other)
                .filter(|(reported_at, _)| now.since(*reported_at) <= TENANT_USAGE_LIFETIME);
            let Some((_, running)) = fresh_report else {
                return base(own);
            };
            let used = running.get(&tenant).copied().unwrap_or(0);
            if used >= base(*other) && used > 0 {
                borrowers += 1;
            } else {
                unused += base(*other) - used;
            }
        }
        base(own) + unused / borrowers
    }
}

/// The part of `total` that `cell` gets when it is divided evenly among `cells`.
fn even_share(total: u32, cell: CellId, cells: &[CellId]) -> u32 {
    let count = cells.len().max(1) as u32;
    let position = cells.iter().position(|listed| *listed == cell).unwrap_or(0) as u32;
    total / count + u32::from(position < total % count)
}
