//! Starts and stops an entry node.

use crate::bulk::{self, BulkSender};
use crate::callers::{CallerHandler, EntryState};
use crate::control::{Command, ControlHandle, ControlStopped};
use crate::control_loop::ControlLoop;
use crate::fetch::Fetcher;
use crate::operators::operator_handler;
use crate::peers::PeerSender;
use crate::upstream::Upstream;
use crate::{Clock, TrafficView};
use arc_swap::ArcSwap;
use eiderferry_config::Settings;
use eiderferry_node::{Identity, Node, NodeLimits};
use eiderferry_types::{Incarnation, Span};
use quick_error::quick_error;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use trillium::Handler;
use trillium_server_common::ServerHandle;

/// Interval at which a planned stop checks whether the node has drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Start of 2026 as a Unix time. Incarnations count from there, which keeps them short.
const INCARNATION_BASE: Duration = Duration::from_secs(1_767_225_600);
/// Unit of incarnations, in milliseconds; shorter than a restart of the process takes, so that two
/// runs never have the same incarnation.
const INCARNATION_UNIT_MS: u128 = 50;

quick_error! {
    /// Error that prevents a node from starting. No thread or task of the node keeps running.
    #[derive(Debug)]
    pub enum StartError {
        /// Binding an address failed.
        Listen(setting: &'static str, address: SocketAddr, cause: std::io::Error) {
            display("settings `{setting}`: can't listen on {address}: {cause}; choose a free address of this machine")
        }
        /// The operators' interface would accept requests from other machines without a token.
        OpenOperator(address: SocketAddr) {
            display("settings `operator`: {address} can be reached from other machines; give `token_digests`, or listen on a loopback address")
        }
    }
}

/// A running entry node.
pub struct EntryNode {
    /// Handle to the node's control thread.
    pub control: ControlHandle,
    /// Bound address of the callers' interface.
    pub listen: SocketAddr,
    drain_timeout: Duration,
    caller_server: ServerHandle,
    operator_server: Option<ServerHandle>,
    bulk_receiver: Option<smol::Task<()>>,
    control_thread: Option<JoinHandle<()>>,
}

/// Binds the addresses of `settings` and starts a node.
pub fn start(settings: &Settings) -> Result<EntryNode, StartError> {
    let caller_listener = bind_tcp("listen", settings.listen)?;
    let bulk_listener = bind_tcp("peer.listen", settings.peer.listen)?;
    let datagram_socket = UdpSocket::bind(settings.peer.listen)
        .map_err(|cause| StartError::Listen("peer.listen", settings.peer.listen, cause))?;
    let operator_listener = match &settings.operator {
        None => None,
        Some(operator)
            if operator.token_digests.is_empty() && !operator.listen.ip().is_loopback() =>
        {
            return Err(StartError::OpenOperator(operator.listen));
        }
        Some(operator) => Some((bind_tcp("operator.listen", operator.listen)?, operator)),
    };
    let listen = caller_listener.local_addr().unwrap_or(settings.listen);
    let clock = Clock::start(Span::ZERO);
    let (sender, commands) = async_channel::unbounded();
    let control = ControlHandle {
        commands: sender.clone(),
    };
    let view = Arc::new(ArcSwap::from_pointee(TrafficView::default()));
    let upstream = Upstream::new();
    let datagram_socket = Arc::new(datagram_socket);
    let control_loop = ControlLoop {
        node: new_node(settings, clock),
        clock,
        commands,
        view: view.clone(),
        peers: PeerSender::new(datagram_socket.clone(), BulkSender::start()),
        fetcher: Fetcher {
            platform_address: settings.platform,
            upstream: upstream.clone(),
            commands: sender.clone(),
        },
        last_tick: clock.now(),
        possibly_closed: Vec::new(),
        request_events: HashMap::new(),
    };
    let control_thread = spawn_control_thread(control_loop, &datagram_socket, &sender, settings);
    let bulk_receiver = smol::spawn(bulk::receive(bulk_listener, sender));
    let state = EntryState {
        control: control.clone(),
        view,
        upstream,
        clock,
        maximum_body_bytes: settings.maximum_body_bytes,
    };
    let caller_server = spawn_server(caller_listener, CallerHandler(state));
    let operator_server = operator_listener.map(|(listener, operator)| {
        spawn_server(
            listener,
            operator_handler(control.clone(), operator.token_digests.clone()),
        )
    });
    Ok(EntryNode {
        control,
        listen,
        drain_timeout: Duration::from_millis(settings.drain_limit_ms),
        caller_server,
        operator_server,
        bulk_receiver: Some(bulk_receiver),
        control_thread: Some(control_thread),
    })
}

fn bind_tcp(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|cause| StartError::Listen(setting, address, cause))
}

fn new_node(settings: &Settings, clock: Clock) -> Node {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let since_base = since_epoch.saturating_sub(INCARNATION_BASE);
    let incarnation = Incarnation((since_base.as_millis() / INCARNATION_UNIT_MS) as u64);
    let identity = Identity {
        node: settings.node,
        zone: settings.zone,
        incarnation,
    };
    let limits = NodeLimits {
        key_table_entries: settings.key_table_entries,
        decision_log_entries: settings.decision_log_entries,
        seeds: settings.peer.seeds.clone(),
        ..NodeLimits::default()
    };
    let seed = incarnation.0 ^ u64::from(settings.node.0) << 48;
    Node::new(identity, limits, clock.now(), seed)
}

fn spawn_control_thread(
    control_loop: ControlLoop,
    datagram_socket: &Arc<UdpSocket>,
    sender: &async_channel::Sender<Command>,
    settings: &Settings,
) -> JoinHandle<()> {
    let datagram_receiver = datagram_socket.clone();
    let frame_sender = sender.clone();
    let tick_sender = sender.clone();
    let run = move || {
        let executor = smol::LocalExecutor::new();
        executor
            .spawn(receive_datagrams(datagram_receiver, frame_sender))
            .detach();
        executor.spawn(send_ticks(tick_sender)).detach();
        smol::block_on(executor.run(control_loop.run()));
    };
    std::thread::Builder::new()
        .name(format!("control-{}", settings.node))
        .spawn(run)
        .unwrap_or_else(|cause| panic!("failed to spawn the control thread: {cause}"))
}

async fn receive_datagrams(socket: Arc<UdpSocket>, commands: async_channel::Sender<Command>) {
    let socket = match socket.try_clone().and_then(smol::Async::<UdpSocket>::new) {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(
                "failed to set up the datagram socket; no datagrams will be received: {error}"
            );
            return;
        }
    };
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if commands.send(Command::Frame { from, bytes }).await.is_err() {
            return;
        }
    }
}

async fn send_ticks(commands: async_channel::Sender<Command>) {
    let interval = Duration::from_micros(Node::tick_interval().0);
    loop {
        smol::Timer::after(interval).await;
        // Skips the tick while commands are queued, so that ticks don't pile up behind a busy or
        // paused thread; after those commands the loop checks for a due tick anyway.
        if commands.is_empty() && commands.send(Command::Tick).await.is_err() {
            return;
        }
        if commands.is_closed() {
            return;
        }
    }
}

fn spawn_server(listener: TcpListener, handler: impl Handler) -> ServerHandle {
    let listener = smol::net::TcpListener::try_from(listener);
    let config = trillium_smol::config().without_signals().with_nodelay();
    match listener {
        Ok(listener) => config.with_prebound_server(listener).spawn(handler),
        Err(cause) => panic!("failed to register a listening socket for asynchronous I/O: {cause}"),
    }
}

impl EntryNode {
    /// Planned stop: refuses new requests, and stops when the open ones have finished or the drain
    /// timeout has passed. Returns whether the node drained in time.
    pub async fn stop(mut self) -> Result<bool, ControlStopped> {
        let started = std::time::Instant::now();
        let start_drain = |node: &mut Node| {
            let now = node.now();
            node.drain(now);
        };
        self.control.with_node(start_drain).await?;
        let mut is_drained = false;
        while !is_drained && started.elapsed() < self.drain_timeout {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
            is_drained = self.control.with_node(|node| node.is_drained()).await?;
        }
        self.caller_server.shut_down().await;
        self.stop_services();
        Ok(is_drained)
    }

    /// Stops at once, as a crash would: requests in flight are aborted.
    pub fn kill(mut self) {
        self.stop_services();
        drop(self.caller_server.shut_down());
    }

    /// Stops all services except the callers' server, and joins the control thread.
    fn stop_services(&mut self) {
        // Dropping the task cancels it and closes its listener.
        drop(self.bulk_receiver.take());
        if let Some(operator) = &self.operator_server {
            drop(operator.shut_down());
        }
        let _ = self.control.send(Command::Stop);
        self.control.commands.close();
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
    }
}
