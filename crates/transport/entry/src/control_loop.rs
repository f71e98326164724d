//! Event loop of the control thread.

use crate::control::{Command, RequestEvent};
use crate::fetch::Fetcher;
use crate::peers::PeerSender;
use crate::{Clock, TrafficView};
use arc_swap::ArcSwap;
use eiderferry_node::{Node, Output};
use eiderferry_quarantine::{PartChange, QuarantineChange};
use eiderferry_types::{RequestId, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;

/// Most commands handled after the first of a batch before the outputs are processed; bounds the
/// time that a message waits to be sent together with others.
const MAX_COMMANDS_PER_BATCH: usize = 256;

/// State owned by the control thread.
pub(crate) struct ControlLoop {
    pub node: Node,
    pub clock: Clock,
    pub commands: async_channel::Receiver<Command>,
    pub view: Arc<ArcSwap<TrafficView>>,
    pub peers: PeerSender,
    pub fetcher: Fetcher,
    pub last_tick: Timestamp,
    /// Requests with an attempt that ended or a caller that disconnected in this batch.
    pub possibly_closed: Vec<RequestId>,
    /// Channels to the tasks that serve the open requests.
    pub request_events: HashMap<RequestId, async_channel::Sender<RequestEvent>>,
}

impl ControlLoop {
    /// Runs until [`Command::Stop`] arrives or the command channel is closed and empty.
    pub async fn run(mut self) {
        while let Ok(command) = self.commands.recv().await {
            if !self.handle_command(command) {
                return;
            }
            for _ in 0..MAX_COMMANDS_PER_BATCH {
                let Ok(command) = self.commands.try_recv() else {
                    break;
                };
                if !self.handle_command(command) {
                    return;
                }
            }
            self.tick_if_due();
            self.process_outputs();
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

    /// Handles a command; returns `false` if the loop is to stop.
    fn handle_command(&mut self, command: Command) -> bool {
        let now = self.clock.now();
        match command {
            Command::Submit { submission, events } => {
                let request = self.node.submit(now, submission);
                // The channel has capacity, since nothing has been sent on it yet.
                let _ = events.try_send(RequestEvent::Accepted(request));
                self.request_events.insert(request, events);
            }
            Command::AttemptEnded {
                request,
                attempt,
                end,
            } => {
                self.node.attempt_ended(now, request, attempt, end);
                self.possibly_closed.push(request);
            }
            Command::CallerDisconnected { request } => {
                self.node.caller_disconnected(now, request);
                self.possibly_closed.push(request);
            }
            Command::SlowStream { request, per_token } => {
                self.node.report_slow_stream(now, request, per_token);
            }
            Command::IssueTicket { reply } => {
                let _ = reply.try_send(self.node.issue_ticket(now));
            }
            Command::Frame { from, bytes } => self.handle_frame(from, &bytes),
            Command::PlatformResponse { kind, response } => {
                self.node.handle_platform_response(now, kind, response);
            }
            Command::LoadReport {
                back_end,
                report,
                cache,
            } => {
                self.node.handle_load_report(now, back_end, &report, &cache);
            }
            // Only wakes the loop, which ticks if a tick is due.
            Command::Tick => {}
            Command::WithNode(task) => task(&mut self.node),
            Command::Pause(duration) => std::thread::sleep(duration),
            Command::Stop => return false,
        }
        true
    }

    fn handle_frame(&mut self, from: std::net::SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        match eiderferry_peer::decode(bytes) {
            Ok(envelope) => {
                self.peers.record_address(envelope.from, from);
                self.node.receive(now, envelope);
            }
            Err(error) => log::warn!(peer:% = from; "dropped an invalid frame: {error}"),
        }
    }

    /// Drops the channels of requests that are no longer open. Must run after the outputs have been
    /// processed, since they contain the last event of such a request.
    fn remove_closed(&mut self) {
        for request in std::mem::take(&mut self.possibly_closed) {
            if !self.node.is_open(request) {
                self.request_events.remove(&request);
            }
        }
    }

    /// Processes the outputs of the state machine and sends the queued messages.
    fn process_outputs(&mut self) {
        for output in self.node.take_outputs() {
            match output {
                Output::Send { to, message } => self.peers.queue(to, message),
                Output::SendToAddress { address, message } => {
                    self.peers.queue_to_address(address, message);
                }
                Output::Dispatch(dispatch) => {
                    if let Some(events) = self.request_events.get(&dispatch.request) {
                        let _ = events.try_send(RequestEvent::Dispatch(dispatch));
                    }
                }
                Output::Reject { request, refusal } => {
                    if let Some(events) = self.request_events.remove(&request) {
                        let _ = events.try_send(RequestEvent::Rejected(refusal));
                    }
                }
                Output::ReadPlatform {
                    kind,
                    known_version,
                } => self.fetcher.fetch_document(kind, known_version),
                Output::PollBackEnd {
                    back_end,
                    address,
                    cache_cursor,
                } => {
                    self.fetcher.poll_back_end(back_end, address, cache_cursor);
                }
                Output::QuarantineChanged(change) => log_quarantine(&change),
                Output::PartQuarantineChanged(change) => log_part_quarantine(&change),
                Output::Decided(_) => {}
            }
        }
        self.peers.flush(&self.node);
        self.remove_closed();
    }

    /// Publishes a new view if it differs from the current one.
    fn publish_view(&self) {
        let current = self.view.load();
        let version = |view: &TrafficView| {
            view.configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version)
        };
        let updated = TrafficView {
            configuration: self.node.configuration().cloned(),
            ready: self.node.is_ready(),
            draining: self.node.is_draining(),
        };
        let unchanged = version(&current) == version(&updated)
            && current.ready == updated.ready
            && current.draining == updated.draining;
        if !unchanged {
            self.view.store(Arc::new(updated));
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

fn log_part_quarantine(change: &PartChange) {
    let details = change.details();
    log::warn!(
        event = details.event, parts = details.parts.as_str(), callers = details.callers,
        crashes = details.crashes, for_ms = details.remaining_ms, source = details.source;
        "quarantine of a prompt part changed"
    );
}
