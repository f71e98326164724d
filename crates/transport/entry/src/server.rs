//! Starting and stopping one entry node.

use crate::bulk::{self, BulkSender};
use crate::callers::{Callers, EntryState};
use crate::control::{Command, ControlHandle, ControlStopped};
use crate::control_loop::ControlLoop;
use crate::operators::operator_handler;
use crate::peers::Peers;
use crate::reads::Reads;
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

/// How often a planned stop looks whether everything has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Incarnations count from the first day of 2026, so that they stay short.
const INCARNATION_BASE: Duration = Duration::from_secs(1_767_225_600);
/// Unit of incarnations: a process can't start twice within it.
const INCARNATION_UNIT_MS: u128 = 50;

quick_error! {
    /// A node that can't start. Nothing of it keeps running.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Listen(what: &'static str, address: SocketAddr, cause: std::io::Error) {
            display("settings `{what}`: can't listen on {address}: {cause}; choose a free address of this machine")
        }
        /// The operators' interface would be open to other machines.
        OpenOperator(address: SocketAddr) {
            display("settings `operator`: {address} can be reached from other machines; give `token_digests`, or listen on a loopback address")
        }
    }
}

/// A running entry node.
pub struct EntryNode {
    /// Handle to its control thread.
    pub control: ControlHandle,
    /// Address for callers, as bound.
    pub listen: SocketAddr,
    drain_limit: Duration,
    http: ServerHandle,
    operator_http: Option<ServerHandle>,
    bulk_receiver: Option<smol::Task<()>>,
    control_thread: Option<JoinHandle<()>>,
}

/// Starts a node with these settings.
pub fn start(settings: &Settings) -> Result<EntryNode, StartError> {
    let callers = listen_tcp("listen", settings.listen)?;
    let bulk_listener = listen_tcp("peer.listen", settings.peer.listen)?;
    let datagrams = UdpSocket::bind(settings.peer.listen)
        .map_err(|cause| StartError::Listen("peer.listen", settings.peer.listen, cause))?;
    let operators = match &settings.operator {
        None => None,
        Some(operator)
            if operator.token_digests.is_empty() && !operator.listen.ip().is_loopback() =>
        {
            return Err(StartError::OpenOperator(operator.listen));
        }
        Some(operator) => Some((listen_tcp("operator.listen", operator.listen)?, operator)),
    };
    let listen = callers.local_addr().unwrap_or(settings.listen);
    let clock = Clock::start(Span::ZERO);
    let (sender, commands) = async_channel::unbounded();
    let control = ControlHandle {
        commands: sender.clone(),
    };
    let view = Arc::new(ArcSwap::from_pointee(TrafficView::default()));
    let upstream = Upstream::new();
    let datagrams = Arc::new(datagrams);
    let control_loop = ControlLoop {
        node: new_node(settings, clock),
        clock,
        commands,
        view: view.clone(),
        peers: Peers::new(datagrams.clone(), BulkSender::start()),
        reads: Reads {
            platform: settings.platform,
            upstream: upstream.clone(),
            commands: sender.clone(),
        },
        last_tick: clock.now(),
        touched: Vec::new(),
        waiting: HashMap::new(),
    };
    let control_thread = spawn_control(control_loop, &datagrams, &sender, settings);
    let bulk_receiver = smol::spawn(bulk::receive(bulk_listener, sender));
    let state = EntryState {
        control: control.clone(),
        view,
        upstream,
        clock,
        maximum_body_bytes: settings.maximum_body_bytes,
    };
    let http = serve(callers, Callers(state));
    let operator_http = operators.map(|(listener, operator)| {
        serve(
            listener,
            operator_handler(control.clone(), operator.token_digests.clone()),
        )
    });
    Ok(EntryNode {
        control,
        listen,
        drain_limit: Duration::from_millis(settings.drain_limit_ms),
        http,
        operator_http,
        bulk_receiver: Some(bulk_receiver),
        control_thread: Some(control_thread),
    })
}

fn listen_tcp(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|cause| StartError::Listen(what, address, cause))
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

fn spawn_control(
    control_loop: ControlLoop,
    datagrams: &Arc<UdpSocket>,
    sender: &async_channel::Sender<Command>,
    settings: &Settings,
) -> JoinHandle<()> {
    let receiver = datagrams.clone();
    let frames = sender.clone();
    let ticks = sender.clone();
    let run = move || {
        let executor = smol::LocalExecutor::new();
        executor.spawn(receive_datagrams(receiver, frames)).detach();
        executor.spawn(send_ticks(ticks)).detach();
        smol::block_on(executor.run(control_loop.run()));
    };
    std::thread::Builder::new()
        .name(format!("control-{}", settings.node))
        .spawn(run)
        .unwrap_or_else(|cause| panic!("can't start the control thread: {cause}"))
}

async fn receive_datagrams(socket: Arc<UdpSocket>, frames: async_channel::Sender<Command>) {
    let socket = match socket.try_clone().and_then(smol::Async::<UdpSocket>::new) {
        Ok(socket) => socket,
        Err(error) => {
            log::error!("datagrams can't be received: {error}");
            return;
        }
    };
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if frames.send(Command::Frame { from, bytes }).await.is_err() {
            return;
        }
    }
}

async fn send_ticks(commands: async_channel::Sender<Command>) {
    let interval = Duration::from_micros(Node::tick_interval().0);
    loop {
        smol::Timer::after(interval).await;
        // Ticks that pile up behind a busy or paused thread say nothing new.
        if commands.is_empty() && commands.send(Command::Tick).await.is_err() {
            return;
        }
        if commands.is_closed() {
            return;
        }
    }
}

fn serve(listener: TcpListener, handler: impl Handler) -> ServerHandle {
    let listener = smol::net::TcpListener::try_from(listener);
    let config = trillium_smol::config().without_signals().with_nodelay();
    match listener {
        Ok(listener) => config.with_prebound_server(listener).spawn(handler),
        Err(cause) => panic!("can't watch a listening socket: {cause}"),
    }
}

impl EntryNode {
    /// Planned stop: takes nothing new, finishes what runs, and ends after that or
    /// when the drain limit is over. Returns whether everything was finished.
    pub async fn stop(mut self) -> Result<bool, ControlStopped> {
        let clock_start = std::time::Instant::now();
        let begin = |node: &mut Node| {
            let now = node.now();
            node.drain(now);
        };
        self.control.with_node(begin).await?;
        let mut finished = false;
        while !finished && clock_start.elapsed() < self.drain_limit {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
            finished = self.control.with_node(|node| node.is_drained()).await?;
        }
        self.http.shut_down().await;
        self.end_control();
        Ok(finished)
    }

    /// Ends at once, as a crash would: requests in flight are cut off.
    pub fn kill(mut self) {
        self.end_control();
        drop(self.http.shut_down());
    }

    fn end_control(&mut self) {
        // Dropping the task closes its listener.
        drop(self.bulk_receiver.take());
        if let Some(operator) = &self.operator_http {
            drop(operator.shut_down());
        }
        let _ = self.control.tell(Command::Stop);
        self.control.commands.close();
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
    }
}
