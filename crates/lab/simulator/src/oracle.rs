//! Oracle policy: one scheduler over all zones with exact and immediate knowledge, as an upper
//! bound.
//!
//! It uses the production admission cell, but a single one per pool for all zones. The cell is
//! called without delay, knows the true length of each response, and learns at the next sample
//! of every back end that joins or leaves.

use crate::engines::SimBackEnd;
use crate::event::Event;
use crate::requests::RequestStatus;
use crate::world::World;
use eiderferry_admission::{Ask, Cell, CellEvent, CellPolicy, Observation, Ticket};
use eiderferry_config::Configuration;
use eiderferry_node::{AttemptEnd, Dispatch};
use eiderferry_types::{
    CellId, Incarnation, NodeId, PoolId, RequestId, Span, Timestamp, Verdict, ZoneId,
};
use std::collections::BTreeMap;

/// Delay between a decision and the arrival of the request at the back end.
const ORACLE_LATENCY: Span = Span(500);
/// Maximum number of attempts per request.
const ORACLE_MAX_ATTEMPTS: u8 = 4;

/// One admission cell per pool.
pub(crate) struct Oracle {
    cells: BTreeMap<PoolId, Cell>,
}

fn ticket(request: usize, attempt: u8) -> Ticket {
    let request = RequestId {
        node: NodeId(0),
        incarnation: Incarnation(0),
        sequence: request as u64,
    };
    Ticket { request, attempt }
}

impl Oracle {
    pub fn new(configuration: &Configuration, back_ends: &[SimBackEnd]) -> Self {
        let mut cells = BTreeMap::new();
        let mut configuration = configuration.clone();
        for class in &mut configuration.classes {
            // Each ask already contains the true response length.
            class.assumed_answer_tokens = 0;
        }
        for pool in &configuration.pools {
            let id = CellId {
                zone: ZoneId(0),
                pool: pool.id,
                shard: 0,
            };
            let mut cell = Cell::new(id, CellPolicy::default());
            cell.set_back_ends(&cell_members(pool.id, &configuration, back_ends));
            cell.configure(Timestamp::default(), &configuration);
            cells.insert(pool.id, cell);
        }
        Self { cells }
    }
}

/// Identifier, slots and KV tokens of a back end, and whether it is unusable.
type Member = (eiderferry_types::BackEndId, u32, u64, bool);

fn cell_members(
    pool: PoolId,
    configuration: &Configuration,
    back_ends: &[SimBackEnd],
) -> Vec<Member> {
    let Some(settings) = configuration.pool(pool) else {
        return Vec::new();
    };
    back_ends
        .iter()
        .filter(|back_end| back_end.pool == pool)
        .map(|back_end| {
            let unusable =
                !back_end.up || back_end.freeze_count > 0 || back_end.leaving_since.is_some();
            (
                back_end.id,
                settings.slots_per_back_end,
                settings.kv_tokens_per_back_end,
                unusable,
            )
        })
        .collect()
}

impl World {
    pub fn oracle_submit(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.sent_at = self.now;
        state.at_node = true;
        state.id = Some(ticket(request, 0).request);
        self.index_by_id.insert(ticket(request, 0).request, request);
        self.request_from_oracle(request, 0);
    }

    fn request_from_oracle(&mut self, request: usize, attempt: u8) {
        let now = self.now;
        let state = &self.requests[request];
        let ask = Ask {
            ticket: ticket(request, attempt),
            class: state.class,
            tenant: state.tenant,
            prompt_tokens: state.prompt_tokens + state.response_tokens,
            prefixes: state.prefixes.clone(),
            first_token_due: now + state.first_token_target,
            arrived: now,
        };
        let pool = state.pool;
        if let Some(cell) = self
            .oracle
            .as_mut()
            .and_then(|oracle| oracle.cells.get_mut(&pool))
        {
            cell.ask(now, ask);
        }
        self.flush_oracle();
    }

    pub fn oracle_attempt_ended(&mut self, request: usize, attempt: u8, end: AttemptEnd) {
        let (observation, verdict) = match end {
            AttemptEnd::Completed(observation) | AttemptEnd::CallerDisconnected(observation) => {
                (observation, None)
            }
            AttemptEnd::Failed {
                verdict,
                observation,
                ..
            } => (observation, Some(verdict)),
        };
        self.oracle_release(request, attempt, &observation);
        let state = &self.requests[request];
        let repeatable = state.service.is_none() || verdict == Some(Verdict::NotRun);
        let should_retry = verdict.is_some() && repeatable && attempt + 1 < ORACLE_MAX_ATTEMPTS;
        if should_retry && state.status == RequestStatus::Open {
            self.request_from_oracle(request, attempt + 1);
        } else if verdict.is_some() {
            self.end_request(request, RequestStatus::Refused);
        }
    }

    pub fn oracle_caller_disconnected(&mut self, request: usize) {
        for attempt in 0..ORACLE_MAX_ATTEMPTS {
            self.oracle_release(request, attempt, &Observation::UNUSED);
        }
    }

    fn oracle_release(&mut self, request: usize, attempt: u8, observation: &Observation) {
        let now = self.now;
        let pool = self.requests[request].pool;
        if let Some(cell) = self
            .oracle
            .as_mut()
            .and_then(|oracle| oracle.cells.get_mut(&pool))
        {
            cell.release(now, &ticket(request, attempt), observation);
        }
        self.flush_oracle();
    }

    pub fn tick_oracle(&mut self) {
        let now = self.now;
        let Some(oracle) = &mut self.oracle else {
            return;
        };
        for (pool, cell) in &mut oracle.cells {
            cell.set_back_ends(&cell_members(*pool, &self.configuration, &self.back_ends));
            cell.tick(now);
        }
        self.flush_oracle();
    }

    fn flush_oracle(&mut self) {
        let Some(oracle) = &mut self.oracle else {
            return;
        };
        let events: Vec<CellEvent> = oracle
            .cells
            .values_mut()
            .flat_map(Cell::take_events)
            .collect();
        for event in events {
            match event {
                CellEvent::Granted {
                    ticket, back_end, ..
                } => {
                    let request = ticket.request.sequence as usize;
                    let (Some(node), run) =
                        (self.requests[request].node, self.requests[request].node_run)
                    else {
                        continue;
                    };
                    let dispatch = Dispatch {
                        request: ticket.request,
                        attempt: ticket.attempt,
                        back_end,
                        address: crate::world::address_of(back_end.0),
                        dispatch_by: self.now + ORACLE_LATENCY,
                        delivered_tokens: self.requests[request].progress.tokens(),
                    };
                    self.schedule(
                        ORACLE_LATENCY,
                        Event::ReachBackEnd {
                            node,
                            run,
                            dispatch,
                        },
                    );
                }
                CellEvent::Refused {
                    ticket, refusal, ..
                } => {
                    let request = ticket.request.sequence as usize;
                    self.metrics
                        .record_refusal(&self.requests[request], refusal.reason);
                    self.end_request(request, RequestStatus::Refused);
                }
            }
        }
    }
}
