//! The cells that this node holds, that is, whose admission queues it runs.

use crate::message::{AttemptId, Message};
use crate::node::Node;
use crate::output::Output;
use eiderferry_admission::{Ask, Cell, CellEvent, LoadReport, Observation, Ticket};
use eiderferry_config::Configuration;
use eiderferry_types::{
    BackEndId, CellId, Incarnation, NodeId, Reason, RequestId, Span, TenantId, Timestamp,
};
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;

/// Time since the last message from a holder within which this node reports it as live to
/// nodes that suspect it.
const RECENTLY_HEARD: Span = Span::from_milliseconds(700);
/// Time between two polls of a back end's load.
const POLL_INTERVAL: Span = Span::from_milliseconds(500);
/// Time between two reports of a cell's free slots to other nodes.
const FREE_SLOTS_INTERVAL: Span = Span::from_milliseconds(500);
/// Nodes to which each report of free slots is sent.
const FREE_SLOTS_FANOUT: usize = 3;
/// Time between two rounds of lease checks.
pub(crate) const LEASE_CHECK_INTERVAL: Span = Span::from_milliseconds(10_000);
/// Time after which an unused cell that another node holds is dropped.
const IDLE_TIMEOUT: Span = Span::from_milliseconds(3_000);

/// A cell held by this node.
pub(crate) struct HeldCell {
    pub cell: Cell,
    pub last_used: Timestamp,
    pub next_poll: Timestamp,
    next_free_slots_report: Timestamp,
    pub next_tenant_usage_report: Timestamp,
    pub next_lease_check: Timestamp,
    /// Number of the last cache event received from each back end.
    cache_cursors: BTreeMap<BackEndId, u64>,
    /// Running requests of tenants with limits in the other cells of the pool, with the
    /// time of the report.
    pub usage_elsewhere: BTreeMap<CellId, (Timestamp, BTreeMap<TenantId, u32>)>,
}

impl Node {
    /// Handles a slot request or the registration of a running request.
    pub(crate) fn handle_slot_request(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        message: Message,
    ) {
        match message {
            Message::RequestSlot {
                attempt_id,
                cell,
                class,
                tenant,
                prompt_tokens,
                prefixes,
                due_in_ms,
                may_wait,
            } => {
                let ask = Ask {
                    ticket: ticket(from, incarnation, attempt_id),
                    class,
                    tenant,
                    prompt_tokens,
                    prefixes,
                    first_token_due: self.now + Span::from_milliseconds(u64::from(due_in_ms)),
                    arrived: self.now,
                };
                self.admit(from, attempt_id, cell, ask, may_wait);
            }
            Message::Register {
                attempt_id,
                cell,
                class,
                tenant,
                prompt_tokens,
                back_end,
            } => {
                let ask = Ask {
                    ticket: ticket(from, incarnation, attempt_id),
                    class,
                    tenant,
                    prompt_tokens,
                    prefixes: Vec::new(),
                    first_token_due: self.now,
                    arrived: self.now,
                };
                let now = self.now;
                if let Some(held) = self.ensure_held(cell) {
                    held.cell.register_lease(now, &ask, back_end);
                }
            }
            _ => {}
        }
    }

    fn admit(
        &mut self,
        from: NodeId,
        attempt_id: AttemptId,
        cell: CellId,
        ask: Ask,
        may_wait: bool,
    ) {
        let live_holder = self.other_live_holder(cell);
        let must_refuse = self.draining || self.is_unverified() || live_holder.is_some();
        let directory = self.directory.version();
        let ticket = ask.ticket;
        let class = ask.class;
        let now = self.now;
        let held = if must_refuse {
            None
        } else {
            self.ensure_held(cell)
        };
        let Some(held) = held else {
            self.send(
                from,
                Message::Resubmit {
                    attempt_id,
                    directory,
                    live_holder,
                },
            );
            if self.draining {
                self.ping(from);
            }
            return;
        };
        held.cell.ask(now, ask);
        let is_waiting = held.cell.is_waiting(&ticket);
        let wait = held.cell.estimated_wait(now, class);
        if is_waiting && !may_wait {
            held.cell.cancel(&ticket);
        }
        self.flush_cell(cell);
        if !is_waiting {
            return;
        }
        let wait_ms = wait.milliseconds().min(u64::from(u32::MAX)) as u32;
        let reply = if may_wait {
            Message::Queued {
                attempt_id,
                wait_ms,
            }
        } else {
            Message::Refuse {
                attempt_id,
                reason: Reason::QueueFull,
                retry_after_ms: wait_ms,
            }
        };
        self.send(from, reply);
    }

    /// The node that holds a cell instead of this one, if this node has recently heard
    /// from it. A requester that suspects that holder clears its suspicion.
    fn other_live_holder(&self, cell: CellId) -> Option<NodeId> {
        let holder = self.fleet.holder(cell, self.now)?;
        let is_live = self
            .fleet
            .detector
            .heard_within(holder, self.now, RECENTLY_HEARD);
        (holder != self.identity.node && is_live).then_some(holder)
    }

    /// Returns a cell, created if this node doesn't hold it yet; `None` if the cell isn't
    /// in this zone, has no back ends, or there is no configuration.
    fn ensure_held(&mut self, cell: CellId) -> Option<&mut HeldCell> {
        let exists = cell.zone == self.identity.zone && !self.catalog.cell_members(cell).is_empty();
        if !exists {
            return None;
        }
        if !self.cells.contains_key(&cell) {
            self.create_cell(cell)?;
        }
        let held = self.cells.get_mut(&cell)?;
        held.last_used = self.now;
        Some(held)
    }

    fn create_cell(&mut self, cell: CellId) -> Option<()> {
        let configuration = self.configuration.current()?.clone();
        let now = self.now;
        let mut held = HeldCell {
            cell: Cell::new(cell, self.limits.cell_policy.clone()),
            last_used: now,
            next_poll: now,
            next_free_slots_report: now,
            next_tenant_usage_report: now,
            next_lease_check: now + LEASE_CHECK_INTERVAL,
            cache_cursors: BTreeMap::new(),
            usage_elsewhere: BTreeMap::new(),
        };
        held.cell
            .set_back_ends(&self.member_capacities(cell, &configuration));
        held.cell.configure(now, &configuration);
        if self.catalog.is_engine_pool(cell.pool) {
            held.cell.start_takeover(now);
        }
        self.cells.insert(cell, held);
        self.set_allowances(cell);
        self.poll_back_ends(cell);
        Some(())
    }

    fn member_capacities(
        &self,
        cell: CellId,
        configuration: &Configuration,
    ) -> Vec<(BackEndId, u32, u64, bool)> {
        let Some(pool) = configuration.pool(cell.pool) else {
            return Vec::new();
        };
        let capacity = |id: &BackEndId| {
            let leaving = self.catalog.back_end(*id).is_none_or(|entry| entry.leaving);
            (
                *id,
                pool.slots_per_back_end,
                pool.kv_tokens_per_back_end,
                leaving,
            )
        };
        self.catalog
            .cell_members(cell)
            .iter()
            .map(capacity)
            .collect()
    }

    pub(crate) fn handle_release(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        attempt_id: AttemptId,
        cell: CellId,
        observation: &Observation,
    ) {
        // Slots released because their requests moved to another holder must not be
        // granted to requests that wait here.
        self.yield_to_live_holder(cell);
        let now = self.now;
        if let Some(held) = self.cells.get_mut(&cell) {
            held.last_used = now;
            held.cell
                .release(now, &ticket(from, incarnation, attempt_id), observation);
            self.flush_cell(cell);
        }
        if from != self.identity.node {
            self.send(from, Message::Released { attempt_id });
        }
    }

    pub(crate) fn handle_slow_stream(
        &mut self,
        cell: CellId,
        back_end: BackEndId,
        per_token: Span,
    ) {
        let now = self.now;
        if let Some(held) = self.cells.get_mut(&cell) {
            held.cell.observe_time_per_token(now, back_end, per_token);
        }
    }

    /// Handles the result of a poll: a back end's load report and cache events, or empty
    /// ones if it returned none.
    pub fn handle_load_report(
        &mut self,
        now: Timestamp,
        back_end: BackEndId,
        report: &LoadReport,
        cache: &CacheUpdate,
    ) {
        self.advance_clock(now);
        let cell = self.catalog.back_end(back_end).map(|entry| entry.cell);
        if let Some(cell) = cell
            && let Some(held) = self.cells.get_mut(&cell)
        {
            held.cell.apply_load_report(now, back_end, report);
            held.cell
                .apply_cache_events(back_end, cache.gap, &cache.stored, &cache.removed);
            held.cache_cursors.insert(back_end, cache.cursor);
            self.flush_cell(cell);
        }
        self.process_inbox();
    }

    /// Sends the grants and refusals that a cell has decided.
    fn flush_cell(&mut self, cell: CellId) {
        let now = self.now;
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        let events = held.cell.take_events();
        if events.is_empty() {
            return;
        }
        let free = held.free_slots(now);
        for event in events {
            let (ticket, message) = message_for(event, free);
            self.send(ticket.request.node, message);
        }
    }

    pub(crate) fn flush_all_cells(&mut self) {
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            self.flush_cell(cell);
        }
    }

    /// Runs periodic work for the cells held here.
    pub(crate) fn tick_cells(&mut self) {
        let is_unverified = self.is_unverified();
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            let now = self.now;
            if let Some(held) = self.cells.get_mut(&cell)
                && !is_unverified
            {
                held.cell.tick(now);
            }
            self.flush_cell(cell);
            self.yield_to_live_holder(cell);
            self.poll_if_due(cell);
            self.send_free_slots_if_due(cell);
            self.exchange_tenant_usage_if_due(cell);
            self.check_leases_if_due(cell);
            self.drop_if_idle(cell);
        }
    }

    /// Hands the queue of a cell over to its holder if that is another node that is live
    /// again, because two queues for the same slots can't keep a common order.
    fn yield_to_live_holder(&mut self, cell: CellId) {
        let waiting = self
            .cells
            .get(&cell)
            .map_or(0, |held| held.cell.waiting_count());
        if waiting > 0 && self.other_live_holder(cell).is_some() {
            self.drain_queue(cell);
        }
    }

    fn poll_if_due(&mut self, cell: CellId) {
        let due = self
            .cells
            .get(&cell)
            .is_some_and(|held| self.now >= held.next_poll);
        if due {
            self.poll_back_ends(cell);
        }
    }

    fn poll_back_ends(&mut self, cell: CellId) {
        if !self.catalog.is_engine_pool(cell.pool) {
            return;
        }
        let members = self.catalog.cell_members(cell).to_vec();
        for back_end in members {
            let Some(entry) = self.catalog.back_end(back_end) else {
                continue;
            };
            let address = entry.address;
            let Some(held) = self.cells.get_mut(&cell) else {
                return;
            };
            held.next_poll = self.now + POLL_INTERVAL;
            held.cell.record_poll(back_end);
            let cache_cursor = held.cache_cursors.get(&back_end).copied().unwrap_or(0);
            self.emit(Output::PollBackEnd {
                back_end,
                address,
                cache_cursor,
            });
        }
    }

    fn send_free_slots_if_due(&mut self, cell: CellId) {
        let now = self.now;
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        if now < held.next_free_slots_report {
            return;
        }
        held.next_free_slots_report = now + FREE_SLOTS_INTERVAL;
        let free = held.free_slots(now);
        let mut peers = self.fleet.other_zone_peers();
        if self
            .catalog
            .cells_of_pool(cell.pool)
            .any(|(zone, cells)| zone == self.identity.zone && cells.len() > 1)
        {
            peers.extend(self.fleet.same_zone_peers());
        }
        let recipients: Vec<NodeId> = peers
            .choose_multiple(&mut self.random, FREE_SLOTS_FANOUT)
            .copied()
            .collect();
        for peer in recipients {
            self.send(peer, Message::FreeSlots { cell, free });
        }
    }

    fn drop_if_idle(&mut self, cell: CellId) {
        let is_holder = self.fleet.holder(cell, self.now) == Some(self.identity.node);
        let Some(held) = self.cells.get(&cell) else {
            return;
        };
        let is_used = held.cell.lease_count() + held.cell.waiting_count() > 0;
        let is_idle = self.now.since(held.last_used) >= IDLE_TIMEOUT;
        if !is_holder && !is_used && is_idle {
            self.cells.remove(&cell);
        }
    }

    /// Applies a new configuration to the keys and to the cells held here.
    pub(crate) fn reconfigure_cells(&mut self) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        let now = self.now;
        self.keys
            .set_window(Span::from_milliseconds(configuration.repeat_window_ms));
        self.key_history
            .set_window(Span::from_milliseconds(configuration.repeat_window_ms));
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            if let Some(held) = self.cells.get_mut(&cell) {
                held.cell.configure(now, &configuration);
            }
            self.set_allowances(cell);
            self.flush_cell(cell);
        }
        self.refresh_cell_members();
    }

    /// Updates the back ends of the cells held here from the catalog.
    pub(crate) fn refresh_cell_members(&mut self) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            let members = self.member_capacities(cell, &configuration);
            if let Some(held) = self.cells.get_mut(&cell) {
                held.cell.set_back_ends(&members);
            }
        }
    }

    /// Drops the requests of entry nodes that are no longer listed.
    pub(crate) fn forget_unlisted_owners(&mut self) {
        let now = self.now;
        for held in self.cells.values_mut() {
            for node in held.cell.entry_nodes() {
                let is_lost = node != self.identity.node && !self.fleet.is_listed(node);
                if is_lost {
                    held.cell.remove_node(now, node, None);
                }
            }
        }
        self.flush_all_cells();
    }

    /// Drains the queues of cells that another node holds now.
    pub(crate) fn drain_queues_held_elsewhere(&mut self) {
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            if self.fleet.holder(cell, self.now) != Some(self.identity.node) {
                self.drain_queue(cell);
            }
        }
    }

    /// Drains all queues, so that entry nodes resubmit the requests to the next holder, and
    /// moves the leases of requests that run here.
    pub(crate) fn drain_all_queues(&mut self) {
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            self.drain_queue(cell);
        }
        self.move_leases_to_current_holders();
    }

    /// Drains all queues and checks all leases after a pause, because both may be out of
    /// date.
    pub(crate) fn revalidate_cells(&mut self) {
        let cells: Vec<CellId> = self.cells.keys().copied().collect();
        for cell in cells {
            self.drain_queue(cell);
            let now = self.now;
            let Some(held) = self.cells.get_mut(&cell) else {
                continue;
            };
            held.next_poll = now;
            held.usage_elsewhere.clear();
            if self.catalog.is_engine_pool(cell.pool) {
                held.cell.start_takeover(now);
            }
            let leases = held.cell.leases_older_than(now, Span::ZERO);
            self.send_lease_checks(cell, &leases);
        }
    }

    /// Drains a queue and instructs the entry nodes of its requests to resubmit them.
    pub(crate) fn drain_queue(&mut self, cell: CellId) {
        let directory = self.directory.version();
        let Some(held) = self.cells.get_mut(&cell) else {
            return;
        };
        for ticket in held.cell.drain_waiting() {
            let attempt_id = AttemptId {
                sequence: ticket.request.sequence,
                attempt: ticket.attempt,
            };
            self.send(
                ticket.request.node,
                Message::Resubmit {
                    attempt_id,
                    directory,
                    live_holder: None,
                },
            );
        }
    }
}

impl HeldCell {
    /// Number of slots that are neither leased nor waited for.
    fn free_slots(&self, now: Timestamp) -> u32 {
        let taken = self.cell.lease_count() + self.cell.waiting_count();
        self.cell.total_slots(now).saturating_sub(taken as u32)
    }
}

/// Prefix cache events of a back end since the last poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheUpdate {
    /// Sequence number of the last event.
    pub cursor: u64,
    /// Whether events were missed since the last poll.
    pub gap: bool,
    /// Hashes of the prefixes added to the cache.
    pub stored: Vec<u32>,
    /// Hashes of the prefixes removed from the cache.
    pub removed: Vec<u32>,
}

fn ticket(node: NodeId, incarnation: Incarnation, attempt_id: AttemptId) -> Ticket {
    Ticket {
        request: RequestId {
            node,
            incarnation,
            sequence: attempt_id.sequence,
        },
        attempt: attempt_id.attempt,
    }
}

fn message_for(event: CellEvent, free: u32) -> (Ticket, Message) {
    match event {
        CellEvent::Granted {
            ticket, back_end, ..
        } => {
            let attempt_id = attempt_id_of(&ticket);
            (
                ticket,
                Message::Grant {
                    attempt_id,
                    back_end,
                    free,
                },
            )
        }
        CellEvent::Refused {
            ticket, refusal, ..
        } => {
            let retry_after_ms = refusal
                .retry_after
                .map_or(0, |span| span.milliseconds() as u32);
            let message = Message::Refuse {
                attempt_id: attempt_id_of(&ticket),
                reason: refusal.reason,
                retry_after_ms,
            };
            (ticket, message)
        }
    }
}

fn attempt_id_of(ticket: &Ticket) -> AttemptId {
    AttemptId {
        sequence: ticket.request.sequence,
        attempt: ticket.attempt,
    }
}
