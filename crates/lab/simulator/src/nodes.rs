//! Simulated processes of entry nodes: start, crash, pause, and the outputs of their routing
//! logic.

use crate::entry_logic::{EntryLogic, Rule};
use crate::event::Event;
use crate::requests::RequestStatus;
use crate::world::{World, address_of, back_end_index, node_index};
use eiderferry_admission::Outcome;
use eiderferry_config::{DirectoryEntry, EntryState};
use eiderferry_node::{
    AttemptEnd, Dispatch, DocumentKind, Envelope, Identity, Message, Node, Output, PlatformDocument,
};
use eiderferry_types::{Incarnation, NodeId, Span, Timestamp, Verdict, ZoneId};
use rand::Rng;
use std::collections::BTreeMap;

/// Delay between a decision and sending the request.
const SEND_DELAY: Span = Span(50);
/// Time after which connecting to an unreachable machine fails.
const CONNECT_TIMEOUT: Span = Span::from_milliseconds(1_000);
/// Response time of the platform.
const PLATFORM_LATENCY: Span = Span::from_milliseconds(3);
/// Time after which a read of an unreachable platform fails.
const PLATFORM_TIMEOUT: Span = Span::from_milliseconds(2_000);
/// Maximum number of messages in an envelope.
const MESSAGES_PER_ENVELOPE: usize = 24;

/// Returns the incarnation of a process run. It is as large as that of a real process, so that
/// encoded messages have a realistic length.
fn incarnation_for_run(run: u32) -> Incarnation {
    const FIRST_INCARNATION: u64 = 580_000_000;
    Incarnation(FIRST_INCARNATION + u64::from(run))
}

/// A simulated entry node.
pub(crate) struct SimNode {
    pub id: NodeId,
    pub zone: ZoneId,
    /// Routing logic; `None` while the process is down.
    pub logic: Option<EntryLogic>,
    /// Number of times the process has been started; events of earlier runs are ignored.
    pub run: u32,
    pub paused_until: Timestamp,
    /// Time since which the process is down or fails health checks.
    pub unhealthy_since: Option<Timestamp>,
    pub draining_since: Option<Timestamp>,
    pub started_at: Timestamp,
    pub was_ready: bool,
    pub sent_bytes: u64,
    pub sent_messages: u64,
}

impl SimNode {
    pub fn new(id: NodeId, zone: ZoneId) -> Self {
        Self {
            id,
            zone,
            logic: None,
            run: 0,
            paused_until: Timestamp::default(),
            unhealthy_since: None,
            draining_since: None,
            started_at: Timestamp::default(),
            was_ready: false,
            sent_bytes: 0,
            sent_messages: 0,
        }
    }

    pub fn entry(&self) -> DirectoryEntry<NodeId, ()> {
        let state = if self.draining_since.is_some() {
            EntryState::Leaving
        } else {
            EntryState::Live
        };
        DirectoryEntry {
            id: self.id,
            zone: self.zone,
            role: (),
            address: address_of(self.id.0),
            state,
        }
    }
}

/// Changes the state of all back ends in a directory to live, which hides those that leave.
fn list_leaving_as_live(response: &mut Result<Option<PlatformDocument>, ()>) {
    if let Ok(Some(PlatformDocument::Directory(directory))) = response {
        for entry in &mut directory.back_ends {
            entry.state = EntryState::Live;
        }
    }
}

impl World {
    /// Starts a node's process without any state.
    pub fn start_node(&mut self, index: usize) {
        let now = self.now;
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.run += 1;
        let identity = Identity {
            node: node.id,
            zone: node.zone,
            incarnation: incarnation_for_run(node.run),
        };
        node.logic = Some(EntryLogic::new(self.policy, identity, now, seed));
        node.paused_until = now;
        node.unhealthy_since = None;
        node.draining_since = None;
        node.started_at = now;
        node.was_ready = false;
        let run = node.run;
        let offset = Span(self.rng.random_range(1_000..50_000));
        self.schedule(offset, Event::Tick { node: index, run });
    }

    /// Ends a node's process, which loses its state and breaks its connections.
    pub fn end_process(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.logic.take().is_none() {
            return;
        }
        node.unhealthy_since = Some(now);
        let run = node.run;
        let delay = Span::from_milliseconds(self.scenario.lags.dead_listed_ms);
        self.schedule(delay, Event::Delist { node: index, run });
        let open: Vec<usize> = self.metrics.open_requests.iter().copied().collect();
        for request in open {
            let is_on_node = self.requests[request].node == Some(index);
            if is_on_node && self.requests[request].node_run == run {
                self.handle_lost_entry_node(request);
            }
        }
    }

    /// Handles the loss of a request's entry node: the caller retries or the request is lost.
    fn handle_lost_entry_node(&mut self, request: usize) {
        self.cancel_job(request);
        self.requests[request].attempt = None;
        if self.schedule_caller_retry(request, None) {
            return;
        }
        self.end_request(request, RequestStatus::Lost);
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.now < self.nodes[index].paused_until
    }

    pub fn is_running(&self, index: usize, run: u32) -> bool {
        self.nodes[index].logic.is_some() && self.nodes[index].run == run
    }

    /// Reschedules an event for the end of the node's pause.
    pub fn defer_event(&mut self, index: usize, event: Event) {
        let delay = self.now.until(self.nodes[index].paused_until);
        self.schedule(delay, event);
    }

    pub fn tick_node(&mut self, index: usize, run: u32) {
        if !self.is_running(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.defer_event(index, Event::Tick { node: index, run });
            return;
        }
        self.schedule(Node::tick_interval(), Event::Tick { node: index, run });
        let now = self.now;
        if let Some(logic) = &mut self.nodes[index].logic {
            logic.tick(now);
        }
        self.process_outputs(index);
        self.complete_planned_stop(index);
        self.check_readiness(index);
    }

    pub fn deliver(&mut self, to: NodeId, mut envelope: Envelope) {
        let is_fresh = self.nodes[node_index(to)].run > 1;
        let drops_updates = self.is_disabled(Rule::Dissemination)
            || (self.is_disabled(Rule::AskingPeers) && is_fresh);
        if drops_updates {
            let is_update = |message: &Message| matches!(message, Message::ConfigurationUpdate(_));
            envelope.messages.retain(|message| !is_update(message));
        }
        let index = node_index(to);
        if self.nodes[index].logic.is_none() {
            return;
        }
        if self.is_paused(index) {
            self.defer_event(index, Event::Deliver { to, envelope });
            return;
        }
        let now = self.now;
        if let Some(node) = self.nodes[index]
            .logic
            .as_mut()
            .and_then(EntryLogic::node_mut)
        {
            node.receive(now, envelope);
        }
        self.process_outputs(index);
    }

    /// Processes the outputs of a node's routing logic.
    pub fn process_outputs(&mut self, index: usize) {
        let run = self.nodes[index].run;
        let Some(logic) = &mut self.nodes[index].logic else {
            return;
        };
        let outputs = logic.take_outputs();
        let mut messages: BTreeMap<NodeId, Vec<Message>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => messages.entry(to).or_default().push(message),
                Output::SendToAddress { .. }
                | Output::QuarantineChanged(_)
                | Output::PartQuarantineChanged(_)
                | Output::Decided(_) => {}
                Output::Dispatch(dispatch) => {
                    self.schedule(
                        SEND_DELAY,
                        Event::SendToBackEnd {
                            node: index,
                            run,
                            dispatch,
                        },
                    );
                }
                Output::Reject { request, refusal } => self.handle_refusal(request, refusal),
                Output::ReadPlatform {
                    kind,
                    known_version,
                } => self.read_platform(index, kind, known_version),
                Output::PollBackEnd {
                    back_end,
                    cache_cursor,
                    ..
                } => {
                    let zone = self.nodes[index].zone;
                    let target = self.back_ends[back_end_index(back_end)].zone;
                    let delay = self.network.latency(&mut self.rng, zone, target);
                    let cursor = cache_cursor;
                    self.schedule(
                        delay,
                        Event::Poll {
                            node: index,
                            run,
                            back_end,
                            cursor,
                        },
                    );
                }
            }
        }
        for (to, messages) in messages {
            for chunk in messages.chunks(MESSAGES_PER_ENVELOPE) {
                self.transmit(index, to, chunk.to_vec());
            }
        }
    }

    fn transmit(&mut self, index: usize, to: NodeId, messages: Vec<Message>) {
        let node = &self.nodes[index];
        let (from, zone) = (node.id, node.zone);
        let sender = node.logic.as_ref().and_then(EntryLogic::node);
        let envelope = Envelope {
            from,
            incarnation: incarnation_for_run(node.run),
            receiver: sender
                .and_then(|sender| sender.incarnation_of(to))
                .map(Incarnation::mark),
            messages,
        };
        let bytes = eiderferry_peer::encode(&envelope).map_or(0, |frame| frame.len());
        let target = node_index(to);
        let node = &mut self.nodes[index];
        node.sent_bytes += bytes as u64;
        node.sent_messages += 1;
        if target >= self.nodes.len() {
            return;
        }
        let target_zone = self.nodes[target].zone;
        if !self.network.are_connected(zone, target_zone) {
            return;
        }
        for _ in 0..self.network.delivered_copies(&mut self.rng) {
            let delay = self.network.latency(&mut self.rng, zone, target_zone);
            let envelope = envelope.clone();
            self.schedule(delay, Event::Deliver { to, envelope });
        }
    }

    /// Connects to a back end for a dispatch, unless the dispatch has expired.
    pub fn send_to_back_end(&mut self, index: usize, run: u32, dispatch: Dispatch) {
        if !self.is_running(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.defer_event(
                index,
                Event::SendToBackEnd {
                    node: index,
                    run,
                    dispatch,
                },
            );
            return;
        }
        let Some(&request) = self.index_by_id.get(&dispatch.request) else {
            return;
        };
        if self.requests[request].status != RequestStatus::Open {
            return;
        }
        if self.now > dispatch.dispatch_by {
            self.report_attempt_failure(request, dispatch.attempt, Verdict::NotRun);
            return;
        }
        let target = back_end_index(dispatch.back_end);
        let zone = self.nodes[index].zone;
        let target_zone = self.back_ends[target].zone;
        let attempt = dispatch.attempt;
        if !self.network.are_connected(zone, target_zone) {
            let event = Event::AttemptFailed {
                request,
                attempt,
                connected: false,
            };
            self.schedule(CONNECT_TIMEOUT, event);
            return;
        }
        let latency = self.network.latency(&mut self.rng, zone, target_zone);
        if !self.back_ends[target].up {
            let event = Event::AttemptFailed {
                request,
                attempt,
                connected: false,
            };
            self.schedule(latency, event);
            return;
        }
        // Opening the connection takes a round trip before the request itself is sent.
        self.schedule(
            Span(latency.0 * 3),
            Event::ReachBackEnd {
                node: index,
                run,
                dispatch,
            },
        );
    }

    /// Handles a failed attempt at its node, if it is the current attempt.
    pub fn handle_attempt_failure(&mut self, request: usize, attempt: u8, connected: bool) {
        let Some(index) = self.requests[request].node else {
            return;
        };
        let is_current = match &self.requests[request].attempt {
            Some(current) => current.number == attempt,
            None => !connected,
        };
        let run = self.requests[request].node_run;
        let open = self.requests[request].status == RequestStatus::Open;
        if !is_current || !open || !self.is_running(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.defer_event(
                index,
                Event::AttemptFailed {
                    request,
                    attempt,
                    connected,
                },
            );
            return;
        }
        self.cancel_job(request);
        let known_not_run = !connected || self.is_disabled(Rule::VerdictCare);
        let verdict = if known_not_run {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        self.report_attempt_failure(request, attempt, verdict);
    }

    pub fn report_attempt_failure(&mut self, request: usize, attempt: u8, verdict: Verdict) {
        let ended_attempt = self.requests[request].attempt.take();
        self.requests[request].waiting_since = self.now;
        let observation = match ended_attempt {
            Some(current) => current.observation(Outcome::Failed),
            None => eiderferry_admission::Observation {
                outcome: Outcome::Failed,
                ..eiderferry_admission::Observation::UNUSED
            },
        };
        self.report_attempt_end(
            request,
            attempt,
            AttemptEnd::Failed {
                verdict,
                observation,
                has_crashed: false,
            },
        );
    }

    /// Reports the end of an attempt to the entry node's routing logic.
    pub fn report_attempt_end(&mut self, request: usize, attempt: u8, end: AttemptEnd) {
        let now = self.now;
        let (Some(index), Some(id)) = (self.requests[request].node, self.requests[request].id)
        else {
            return;
        };
        if self.oracle.is_some() {
            self.oracle_attempt_ended(request, attempt, end);
            return;
        }
        if let Some(logic) = &mut self.nodes[index].logic {
            logic.attempt_ended(now, id, attempt, end);
        }
        self.process_outputs(index);
    }

    fn read_platform(&mut self, index: usize, kind: DocumentKind, known_version: u64) {
        let run = self.nodes[index].run;
        let zone = self.nodes[index].zone;
        self.platform.calls += 1;
        if !self.network.reaches_platform(zone) {
            let response = Err(());
            let event = Event::PlatformResponse {
                node: index,
                run,
                kind,
                response,
            };
            self.schedule(PLATFORM_TIMEOUT, event);
            return;
        }
        let lags = self.scenario.lags;
        let mut response = self.platform.read(self.now, kind, known_version, &lags);
        if self.is_disabled(Rule::LeavingList) {
            list_leaving_as_live(&mut response);
        }
        let event = Event::PlatformResponse {
            node: index,
            run,
            kind,
            response,
        };
        self.schedule(PLATFORM_LATENCY, event);
    }

    pub fn handle_platform_response(
        &mut self,
        index: usize,
        run: u32,
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    ) {
        if !self.is_running(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.defer_event(
                index,
                Event::PlatformResponse {
                    node: index,
                    run,
                    kind,
                    response,
                },
            );
            return;
        }
        let now = self.now;
        if let Some(logic) = &mut self.nodes[index].logic {
            logic.handle_platform_response(now, kind, response);
        }
        self.process_outputs(index);
    }

    pub fn remove_dead_node(&mut self, index: usize, run: u32) {
        if self.nodes[index].run == run && self.nodes[index].logic.is_none() {
            let id = self.nodes[index].id;
            self.platform.remove_node(self.now, id);
        }
    }

    /// Starts a planned stop of a node.
    pub fn drain_node(&mut self, index: usize) {
        let now = self.now;
        if self.is_disabled(Rule::Draining) {
            let open = self.open_requests_of(index);
            self.checker
                .check_planned_stop(now, self.nodes[index].id, open);
            self.end_process(index);
            return;
        }
        let node = &mut self.nodes[index];
        let Some(logic) = node.logic.as_mut().and_then(EntryLogic::node_mut) else {
            return;
        };
        logic.drain(now);
        node.draining_since = Some(now);
        let entry = node.entry();
        self.platform.upsert_node(now, entry);
        self.process_outputs(index);
    }

    /// Completes a planned stop once no request is left to finish.
    fn complete_planned_stop(&mut self, index: usize) {
        let node = &self.nodes[index];
        let drained = node
            .logic
            .as_ref()
            .and_then(EntryLogic::node)
            .is_some_and(Node::is_drained);
        if node.draining_since.is_some() && drained {
            let open = self.open_requests_of(index);
            self.checker.check_planned_stop(self.now, node.id, open);
            self.end_process(index);
        }
    }

    fn open_requests_of(&self, index: usize) -> usize {
        let run = self.nodes[index].run;
        let is_on_run = |request: &&usize| {
            let request = &self.requests[**request];
            request.node == Some(index) && request.node_run == run && request.at_node
        };
        self.metrics.open_requests.iter().filter(is_on_run).count()
    }

    fn check_readiness(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(logic) = node.logic.as_ref().and_then(EntryLogic::node) else {
            return;
        };
        if node.was_ready || !logic.is_ready() {
            return;
        }
        let version = logic.configuration().map_or(0, |document| document.version);
        let known = self.version_known_to_zone_peers(index);
        self.checker
            .check_readiness(self.now, node.id, version, known);
        self.nodes[index].was_ready = true;
    }

    /// Returns the oldest configuration version among the ready nodes of the zone that started
    /// earlier and are not paused.
    fn version_known_to_zone_peers(&self, index: usize) -> u64 {
        let zone = self.nodes[index].zone;
        let started = self.nodes[index].started_at;
        let peers = self.nodes.iter().enumerate().filter(|(other, node)| {
            let is_eligible =
                !self.is_paused(*other) && node.started_at < started && node.was_ready;
            *other != index && node.zone == zone && is_eligible
        });
        peers
            .filter_map(|(_, node)| node.logic.as_ref()?.node())
            .filter_map(|node| Some(node.configuration()?.version))
            .min()
            .unwrap_or(0)
    }

    /// Checks that configuration versions never decrease and that published ones are applied.
    pub fn check_versions(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let Some(logic) = node.logic.as_ref().and_then(EntryLogic::node) else {
                continue;
            };
            let version = logic.configuration().map_or(0, |document| document.version);
            let undisturbed = !self.is_paused(index) && self.platform.is_undisturbed();
            let due = self
                .platform
                .due_configuration_version(self.now, undisturbed);
            let is_cut_off =
                !self.network.reaches_platform(node.zone) || self.is_zone_disturbed(node.zone);
            let due = if is_cut_off || !node.was_ready {
                0
            } else {
                due
            };
            self.checker
                .check_version(self.now, node.id, node.run, version, due);
        }
    }
}
