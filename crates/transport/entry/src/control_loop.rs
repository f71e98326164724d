//! The control thread.

use crate::control::{Command, RequestEvent};
use crate::peers::Peers;
use crate::reads::Reads;
use crate::{Clock, TrafficView};
use arc_swap::ArcSwap;
use eiderferry_node::{Node, Output};
use eiderferry_quarantine::QuarantineChange;
use eiderferry_types::{RequestId, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;

/// Commands handled before the outputs are carried out; bounds the time a message
/// waits to be sent together with others.
const COMMANDS_PER_ROUND: usize = 256;

/// Everything the control thread owns.
pub(crate) struct ControlLoop {
    pub node: Node,
    pub clock: Clock,
    pub commands: async_channel::Receiver<Command>,
    pub view: Arc<ArcSwap<TrafficView>>,
    pub peers: Peers,
    pub reads: Reads,
    pub last_tick: Timestamp,
    /// Requests of which something ended in this round.
    pub touched: Vec<RequestId>,
    pub waiting: HashMap<RequestId, async_channel::Sender<RequestEvent>>,
}

impl ControlLoop {
    /// Runs until told to stop.
    pub async fn run(mut self) {
        while let Ok(command) = self.commands.recv().await {
            if !self.handle(command) {
                return;
            }
            for _ in 0..COMMANDS_PER_ROUND {
                let Ok(command) = self.commands.try_recv() else {
                    break;
                };
                if !self.handle(command) {
                    return;
                }
            }
            self.tick_if_due();
            self.carry_out();
            self.publish_view();
        }
    }

    fn tick_if_due(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_tick) >= Node::tick_interval() {
            self.last_tick = now;
            self.node.tick(now);
        }
    }

    fn handle(&mut self, command: Command) -> bool {
        let now = self.clock.now();
        match command {
            Command::Submit { submission, events } => {
                let request = self.node.submit(now, submission);
                // The channel has room: nothing has been sent on it yet.
                let _ = events.try_send(RequestEvent::Accepted(request));
                self.waiting.insert(request, events);
            }
            Command::AttemptEnded {
                request,
                attempt,
                end,
            } => {
                self.node.attempt_ended(now, request, attempt, end);
                self.touched.push(request);
            }
            Command::CallerGone { request } => {
                self.node.caller_disconnected(now, request);
                self.touched.push(request);
            }
            Command::SlowStream { request, per_token } => {
                self.node.report_slow_stream(now, request, per_token);
            }
            Command::IssueTicket { reply } => {
                let _ = reply.try_send(self.node.issue_ticket(now));
            }
            Command::Frame { from, bytes } => self.handle_frame(from, &bytes),
            Command::PlatformAnswered { kind, answer } => {
                self.node.handle_platform_response(now, kind, answer);
            }
            Command::BackEndReported {
                back_end,
                report,
                cache,
            } => {
                self.node.handle_load_report(now, back_end, &report, &cache);
            }
            // It only wakes the loop, which ticks when it is time.
            Command::Tick => {}
            Command::WithNode(task) => task(&mut self.node),
            Command::Pause(length) => std::thread::sleep(length),
            Command::Stop => return false,
        }
        true
    }

    fn handle_frame(&mut self, from: std::net::SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        match eiderferry_peer::decode(bytes) {
            Ok(envelope) => {
                self.peers.note_address(envelope.from, from);
                self.node.receive(now, envelope);
            }
            Err(error) => log::warn!(peer:% = from; "dropped a frame: {error}"),
        }
    }

    /// Drops the channels of requests that have ended. Not before the outputs have
    /// been carried out: the last word of a request is among them.
    fn forget_ended(&mut self) {
        for request in std::mem::take(&mut self.touched) {
            if !self.node.is_open(request) {
                self.waiting.remove(&request);
            }
        }
    }

    fn carry_out(&mut self) {
        for output in self.node.take_outputs() {
            match output {
                Output::Send { to, message } => self.peers.queue(to, message),
                Output::SendToAddress { address, message } => {
                    self.peers.queue_to_address(address, message);
                }
                Output::Dispatch(dispatch) => {
                    if let Some(events) = self.waiting.get(&dispatch.request) {
                        let _ = events.try_send(RequestEvent::Dispatch(dispatch));
                    }
                }
                Output::Reject { request, refusal } => {
                    if let Some(events) = self.waiting.remove(&request) {
                        let _ = events.try_send(RequestEvent::Rejected(refusal));
                    }
                }
                Output::ReadPlatform {
                    kind,
                    known_version,
                } => self.reads.read_platform(kind, known_version),
                Output::PollBackEnd {
                    back_end,
                    address,
                    cache_cursor,
                } => {
                    self.reads.poll_back_end(back_end, address, cache_cursor);
                }
                Output::QuarantineChanged(change) => log_quarantine(&change),
                Output::Decided(_) => {}
            }
        }
        self.peers.flush(&self.node);
        self.forget_ended();
    }

    fn publish_view(&self) {
        let current = self.view.load();
        let version = |view: &TrafficView| {
            view.configuration
                .as_ref()
                .map_or(0, |document| document.version)
        };
        let fresh = TrafficView {
            configuration: self.node.configuration().cloned(),
            ready: self.node.is_ready(),
            draining: self.node.is_draining(),
        };
        let unchanged = version(&current) == version(&fresh)
            && current.ready == fresh.ready
            && current.draining == fresh.draining;
        if !unchanged {
            self.view.store(Arc::new(fresh));
        }
    }
}

fn log_quarantine(change: &QuarantineChange) {
    let details = change.details();
    log::warn!(
        event = details.event, digest:% = details.request, crashes = details.crashes,
        for_ms = details.remaining_ms, source = details.source;
        "quarantine of a request changed"
    );
}
