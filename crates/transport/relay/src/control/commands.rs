//! Commands to the control thread, and the handle with which other threads send them.

use crate::notice::Notice;
use crate::pending_decision::PendingDecision;
use crate::serving_monitor::ServingReport;
use eiderferry_dispatch::{
    CrashedRun, Decision, Demand, LeaseId, LookupResult, Outcome, StreamId, StreamPacing,
    TunnelPeer,
};
use eiderferry_routing::{InstanceId, SoftwareVersion};
use eiderferry_types::Span;
use std::net::{IpAddr, SocketAddr};

/// Commands to the control thread.
pub(crate) enum Command {
    /// Chooses a back end for a request.
    Dispatch {
        demand: Box<Demand>,
        is_first: bool,
        reply: async_channel::Sender<Decision>,
    },
    /// The first event of a request arrived.
    FirstEvent(LeaseId),
    /// Events of a stream keep arriving some time after its first one.
    Writing(LeaseId),
    /// The back end of a lease stated something about itself in a response.
    Notice(LeaseId, Notice),
    /// Ends a lease.
    Release(LeaseId, Outcome, StreamPacing),
    /// A back end crashed while running a request.
    Crash(CrashedRun),
    /// A connection to a back end was established in this time.
    RoundTrip(InstanceId, Span),
    /// Asks whether a back end is presumed down: nothing shows that it still works.
    IsPresumedDown {
        instance: InstanceId,
        reply: async_channel::Sender<bool>,
    },
    /// Asks whether a back end is listed and not leaving.
    AcceptsWork {
        instance: InstanceId,
        reply: async_channel::Sender<bool>,
    },
    /// Asks which peers may provide a tunnel to a back end.
    TunnelPeers {
        instance: InstanceId,
        reply: async_channel::Sender<Vec<TunnelPeer>>,
    },
    /// Asks to which address a tunnel for a node is to be opened.
    TunnelTarget {
        source: IpAddr,
        instance: InstanceId,
        reply: async_channel::Sender<Option<SocketAddr>>,
    },
    /// Records the software version of a stream that started or is still running.
    RecordStream(StreamId, SoftwareVersion),
    /// Looks up the software version of whichever of these streams exists.
    FindStream {
        streams: Vec<StreamId>,
        reply: async_channel::Sender<LookupResult>,
    },
    /// Few of the requests of the last seconds were served.
    FewServed(ServingReport),
    /// A planned shutdown has begun.
    Stop,
}

/// Sends commands to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    commands: async_channel::Sender<Command>,
}

impl ControlHandle {
    pub fn new(commands: async_channel::Sender<Command>) -> Self {
        Self { commands }
    }

    /// Requests a back end; `None` if the control thread has ended.
    pub async fn dispatch(&self, demand: Demand, is_first: bool) -> Option<Decision> {
        let (reply, receiver) = async_channel::bounded(1);
        let decision = PendingDecision::new(receiver, self.clone());
        let command = Command::Dispatch {
            demand: Box::new(demand),
            is_first,
            reply,
        };
        self.commands.send(command).await.ok()?;
        decision.receive().await
    }

    /// Whether a back end is presumed down: nothing shows that it still works.
    pub async fn is_presumed_down(&self, instance: InstanceId) -> bool {
        let (reply, receiver) = async_channel::bounded(1);
        let sent = self
            .commands
            .send(Command::IsPresumedDown { instance, reply });
        sent.await.is_ok() && receiver.recv().await.unwrap_or(false)
    }

    /// Whether a back end is listed and not leaving.
    pub async fn accepts_work(&self, instance: InstanceId) -> bool {
        let (reply, receiver) = async_channel::bounded(1);
        self.enqueue(Command::AcceptsWork { instance, reply });
        receiver.recv().await.unwrap_or(false)
    }

    /// The peers that may provide a tunnel to a back end.
    pub async fn tunnel_peers(&self, instance: InstanceId) -> Vec<TunnelPeer> {
        let (reply, receiver) = async_channel::bounded(1);
        self.enqueue(Command::TunnelPeers { instance, reply });
        receiver.recv().await.unwrap_or_default()
    }

    /// The address to which this node opens a tunnel for a node, if it does.
    pub async fn tunnel_target(&self, source: IpAddr, instance: InstanceId) -> Option<SocketAddr> {
        let (reply, receiver) = async_channel::bounded(1);
        self.enqueue(Command::TunnelTarget {
            source,
            instance,
            reply,
        });
        receiver.recv().await.ok().flatten()
    }

    pub fn record_first_event(&self, lease: LeaseId) {
        self.enqueue(Command::FirstEvent(lease));
    }

    pub fn record_writing(&self, lease: LeaseId) {
        self.enqueue(Command::Writing(lease));
    }

    pub fn record_notice(&self, lease: LeaseId, notice: Notice) {
        self.enqueue(Command::Notice(lease, notice));
    }

    pub fn release(&self, lease: LeaseId, outcome: Outcome, pacing: StreamPacing) {
        self.enqueue(Command::Release(lease, outcome, pacing));
    }

    pub fn record_crash(&self, run: CrashedRun) {
        self.enqueue(Command::Crash(run));
    }

    pub fn record_round_trip(&self, instance: InstanceId, round_trip: Span) {
        self.enqueue(Command::RoundTrip(instance, round_trip));
    }

    pub fn record_stream(&self, stream: StreamId, version: SoftwareVersion) {
        self.enqueue(Command::RecordStream(stream, version));
    }

    /// Looks up the software version of whichever of these streams exists.
    pub async fn find_stream(&self, streams: Vec<StreamId>) -> LookupResult {
        let (reply, receiver) = async_channel::bounded(1);
        self.enqueue(Command::FindStream { streams, reply });
        let result = receiver.recv().await;
        result.unwrap_or(LookupResult::Unanswered)
    }

    pub fn report_few_served(&self, report: ServingReport) {
        self.enqueue(Command::FewServed(report));
    }

    pub fn stop(&self) {
        self.enqueue(Command::Stop);
    }

    fn enqueue(&self, command: Command) {
        // The channel is unbounded, so sending fails only if the control thread has ended.
        let _ = self.commands.try_send(command);
    }
}
