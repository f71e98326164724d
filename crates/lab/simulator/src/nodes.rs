//! Entry nodes' processes: start, death, pause, and carrying out what the
//! decision code wants.

use crate::entry_logic::{EntryLogic, Rule};
use crate::event::Event;
use crate::requests::Fate;
use crate::world::{World, address_of, back_end_index, node_index};
use eiderferry_admission::Outcome;
use eiderferry_config::{DirectoryEntry, EntryState};
use eiderferry_node::{
    AttemptEnd, Dispatch, DocumentKind, Envelope, Identity, Message, Node, Output, PlatformDocument,
};
use eiderferry_types::{Incarnation, NodeId, Span, Timestamp, Verdict, ZoneId};
use rand::Rng;
use std::collections::BTreeMap;

/// From a decision to the bytes leaving the process.
const SEND_DELAY: Span = Span(50);
/// Time after which a connection attempt to a cut-off machine fails.
const CONNECT_TIMEOUT: Span = Span::from_milliseconds(1_000);
/// Time for the platform to answer.
const PLATFORM_LATENCY: Span = Span::from_milliseconds(3);
/// Time after which a read of an unreachable platform fails.
const PLATFORM_TIMEOUT: Span = Span::from_milliseconds(2_000);
/// Messages in one envelope at the most.
const MESSAGES_PER_ENVELOPE: usize = 24;

/// A number as large as those of real processes, so that messages are as long.
fn incarnation_of_run(run: u32) -> Incarnation {
    const FIRST_INCARNATION: u64 = 580_000_000;
    Incarnation(FIRST_INCARNATION + u64::from(run))
}

/// An entry node's machine.
pub(crate) struct SimNode {
    pub id: NodeId,
    pub zone: ZoneId,
    pub logic: Option<EntryLogic>,
    /// Counts the runs of its process.
    pub run: u32,
    pub paused_until: Timestamp,
    /// Since when the process is down, or does not answer health checks.
    pub unhealthy_since: Option<Timestamp>,
    pub draining_since: Option<Timestamp>,
    pub started: Timestamp,
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
            started: Timestamp::default(),
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

/// Makes leaving back ends look as if they stayed.
fn hide_leaving(answer: &mut Result<Option<PlatformDocument>, ()>) {
    if let Ok(Some(PlatformDocument::Directory(directory))) = answer {
        for entry in &mut directory.back_ends {
            entry.state = EntryState::Live;
        }
    }
}

impl World {
    /// Starts a node's process, empty.
    pub fn start_node(&mut self, index: usize) {
        let now = self.now;
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        node.run += 1;
        let identity = Identity {
            node: node.id,
            zone: node.zone,
            incarnation: incarnation_of_run(node.run),
        };
        node.logic = Some(EntryLogic::new(self.policy, identity, now, seed));
        node.paused_until = now;
        node.unhealthy_since = None;
        node.draining_since = None;
        node.started = now;
        node.was_ready = false;
        let run = node.run;
        let offset = Span(self.random.random_range(1_000..50_000));
        self.schedule(offset, Event::Tick { node: index, run });
    }

    /// The process is gone, with everything it knew.
    pub fn kill_node(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.logic.take().is_none() {
            return;
        }
        node.unhealthy_since = Some(now);
        let run = node.run;
        let delay = Span::from_milliseconds(self.scenario.lags.dead_listed_ms);
        self.schedule(delay, Event::Delist { node: index, run });
        let open: Vec<usize> = self.metrics.open.iter().copied().collect();
        for request in open {
            let here = self.requests[request].node == Some(index);
            if here && self.requests[request].node_run == run {
                self.lose_request(request);
            }
        }
    }

    /// The entry node of a request died: the caller's connection breaks.
    fn lose_request(&mut self, request: usize) {
        self.cancel_job(request);
        self.requests[request].attempt = None;
        if self.caller_tries_again(request, None) {
            return;
        }
        self.end_request(request, Fate::Lost);
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.now < self.nodes[index].paused_until
    }

    pub fn runs(&self, index: usize, run: u32) -> bool {
        self.nodes[index].logic.is_some() && self.nodes[index].run == run
    }

    /// Puts an event off until the node's process wakes up.
    pub fn put_off(&mut self, index: usize, event: Event) {
        let delay = self.now.until(self.nodes[index].paused_until);
        self.schedule(delay, event);
    }

    pub fn tick_node(&mut self, index: usize, run: u32) {
        if !self.runs(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.put_off(index, Event::Tick { node: index, run });
            return;
        }
        self.schedule(Node::tick_interval(), Event::Tick { node: index, run });
        let now = self.now;
        if let Some(logic) = &mut self.nodes[index].logic {
            logic.tick(now);
        }
        self.carry_out(index);
        self.finish_planned_stop(index);
        self.check_readiness(index);
    }

    pub fn deliver(&mut self, to: NodeId, mut envelope: Envelope) {
        let is_fresh = self.nodes[node_index(to)].run > 1;
        let deaf = self.is_without(Rule::Dissemination)
            || (self.is_without(Rule::AskingPeers) && is_fresh);
        if deaf {
            let is_update = |message: &Message| matches!(message, Message::ConfigurationUpdate(_));
            envelope.messages.retain(|message| !is_update(message));
        }
        let index = node_index(to);
        if self.nodes[index].logic.is_none() {
            return;
        }
        if self.is_paused(index) {
            self.put_off(index, Event::Deliver { to, envelope });
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
        self.carry_out(index);
    }

    /// Carries out what a node's decision code wants.
    pub fn carry_out(&mut self, index: usize) {
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
                Output::Reject { request, refusal } => self.rejected(request, refusal),
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
                    let delay = self.network.latency(&mut self.random, zone, target);
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
        let known = node.logic.as_ref().and_then(EntryLogic::node);
        let envelope = Envelope {
            from,
            incarnation: incarnation_of_run(node.run),
            receiver: known
                .and_then(|known| known.incarnation_of(to))
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
        if !self.network.connected(zone, target_zone) {
            return;
        }
        for _ in 0..self.network.copies(&mut self.random) {
            let delay = self.network.latency(&mut self.random, zone, target_zone);
            let envelope = envelope.clone();
            self.schedule(delay, Event::Deliver { to, envelope });
        }
    }

    /// The node's process opens a connection to a back end, if the order still holds.
    pub fn send_to_back_end(&mut self, index: usize, run: u32, dispatch: Dispatch) {
        if !self.runs(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.put_off(
                index,
                Event::SendToBackEnd {
                    node: index,
                    run,
                    dispatch,
                },
            );
            return;
        }
        let Some(&request) = self.by_id.get(&dispatch.request) else {
            return;
        };
        if self.requests[request].fate != Fate::Open {
            return;
        }
        if self.now > dispatch.dispatch_by {
            self.tell_broken(request, dispatch.attempt, Verdict::NotRun);
            return;
        }
        let target = back_end_index(dispatch.back_end);
        let zone = self.nodes[index].zone;
        let target_zone = self.back_ends[target].zone;
        let attempt = dispatch.attempt;
        if !self.network.connected(zone, target_zone) {
            let event = Event::AttemptBroken {
                request,
                attempt,
                connected: false,
            };
            self.schedule(CONNECT_TIMEOUT, event);
            return;
        }
        let latency = self.network.latency(&mut self.random, zone, target_zone);
        if !self.back_ends[target].up {
            let event = Event::AttemptBroken {
                request,
                attempt,
                connected: false,
            };
            self.schedule(latency, event);
            return;
        }
        // Opening the connection takes a way there and back before the request's own.
        self.schedule(
            Span(latency.0 * 3),
            Event::ReachBackEnd {
                node: index,
                run,
                dispatch,
            },
        );
    }

    /// A node's process notices that an attempt has broken off.
    pub fn attempt_broken(&mut self, request: usize, attempt: u8, connected: bool) {
        let Some(index) = self.requests[request].node else {
            return;
        };
        let is_current = match &self.requests[request].attempt {
            Some(current) => current.number == attempt,
            None => !connected,
        };
        let run = self.requests[request].node_run;
        let open = self.requests[request].fate == Fate::Open;
        if !is_current || !open || !self.runs(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.put_off(
                index,
                Event::AttemptBroken {
                    request,
                    attempt,
                    connected,
                },
            );
            return;
        }
        self.cancel_job(request);
        let certain = !connected || self.is_without(Rule::VerdictCare);
        let verdict = if certain {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        self.tell_broken(request, attempt, verdict);
    }

    pub fn tell_broken(&mut self, request: usize, attempt: u8, verdict: Verdict) {
        let taken = self.requests[request].attempt.take();
        self.requests[request].waiting_since = self.now;
        let observation = match taken {
            Some(current) => current.observation(Outcome::Failed),
            None => eiderferry_admission::Observation {
                outcome: Outcome::Failed,
                ..eiderferry_admission::Observation::UNUSED
            },
        };
        self.tell_end(
            request,
            attempt,
            AttemptEnd::Failed {
                verdict,
                observation,
                has_crashed: false,
            },
        );
    }

    /// Tells the entry node's decision code how an attempt ended.
    pub fn tell_end(&mut self, request: usize, attempt: u8, end: AttemptEnd) {
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
        self.carry_out(index);
    }

    fn read_platform(&mut self, index: usize, kind: DocumentKind, have: u64) {
        let run = self.nodes[index].run;
        let zone = self.nodes[index].zone;
        self.platform.calls += 1;
        if !self.network.reaches_platform(zone) {
            let answer = Err(());
            let event = Event::PlatformAnswer {
                node: index,
                run,
                kind,
                answer,
            };
            self.schedule(PLATFORM_TIMEOUT, event);
            return;
        }
        let lags = self.scenario.lags;
        let mut answer = self.platform.answer(self.now, kind, have, &lags);
        if self.is_without(Rule::LeavingList) {
            hide_leaving(&mut answer);
        }
        let event = Event::PlatformAnswer {
            node: index,
            run,
            kind,
            answer,
        };
        self.schedule(PLATFORM_LATENCY, event);
    }

    pub fn platform_answer(
        &mut self,
        index: usize,
        run: u32,
        kind: DocumentKind,
        answer: Result<Option<PlatformDocument>, ()>,
    ) {
        if !self.runs(index, run) {
            return;
        }
        if self.is_paused(index) {
            self.put_off(
                index,
                Event::PlatformAnswer {
                    node: index,
                    run,
                    kind,
                    answer,
                },
            );
            return;
        }
        let now = self.now;
        if let Some(logic) = &mut self.nodes[index].logic {
            logic.platform_answered(now, kind, answer);
        }
        self.carry_out(index);
    }

    pub fn delist(&mut self, index: usize, run: u32) {
        if self.nodes[index].run == run && self.nodes[index].logic.is_none() {
            let id = self.nodes[index].id;
            self.platform.remove_node(self.now, id);
        }
    }

    /// A planned stop begins.
    pub fn drain_node(&mut self, index: usize) {
        let now = self.now;
        if self.is_without(Rule::Draining) {
            let open = self.open_requests_of(index);
            self.checker.planned_stop(now, self.nodes[index].id, open);
            self.kill_node(index);
            return;
        }
        let node = &mut self.nodes[index];
        let Some(logic) = node.logic.as_mut().and_then(EntryLogic::node_mut) else {
            return;
        };
        logic.drain(now);
        node.draining_since = Some(now);
        let entry = node.entry();
        self.platform.put_node(now, entry);
        self.carry_out(index);
    }

    /// A planned stop ends when nothing is left to finish.
    fn finish_planned_stop(&mut self, index: usize) {
        let node = &self.nodes[index];
        let drained = node
            .logic
            .as_ref()
            .and_then(EntryLogic::node)
            .is_some_and(Node::is_drained);
        if node.draining_since.is_some() && drained {
            let open = self.open_requests_of(index);
            self.checker.planned_stop(self.now, node.id, open);
            self.kill_node(index);
        }
    }

    fn open_requests_of(&self, index: usize) -> usize {
        let run = self.nodes[index].run;
        let here = |request: &&usize| {
            let request = &self.requests[**request];
            request.node == Some(index) && request.node_run == run && request.at_node
        };
        self.metrics.open.iter().filter(here).count()
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
        let known = self.version_known_nearby(index);
        self.checker.became_ready(self.now, node.id, version, known);
        self.nodes[index].was_ready = true;
    }

    /// The newest configuration that a reachable node of the zone has had for a while.
    fn version_known_nearby(&self, index: usize) -> u64 {
        let zone = self.nodes[index].zone;
        let started = self.nodes[index].started;
        let peers = self.nodes.iter().enumerate().filter(|(other, node)| {
            let calm = !self.is_paused(*other) && node.started < started && node.was_ready;
            *other != index && node.zone == zone && calm
        });
        peers
            .filter_map(|(_, node)| node.logic.as_ref()?.node())
            .filter_map(|node| Some(node.configuration()?.version))
            .min()
            .unwrap_or(0)
    }

    /// Checks that versions grow and that published ones come into force.
    pub fn check_versions(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let Some(logic) = node.logic.as_ref().and_then(EntryLogic::node) else {
                continue;
            };
            let version = logic.configuration().map_or(0, |document| document.version);
            let undisturbed = !self.is_paused(index) && self.platform.is_undisturbed_since();
            let due = self.platform.configuration_due(self.now, undisturbed);
            let cut =
                !self.network.reaches_platform(node.zone) || self.is_zone_disturbed(node.zone);
            let due = if cut || !node.was_ready { 0 } else { due };
            self.checker
                .version(self.now, node.id, node.run, version, due);
        }
    }
}
