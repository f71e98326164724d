//! Threads and sockets of a relay.

use crate::cache_follower::CacheFollower;
use crate::caller_limit::CallerConnections;
use crate::cancellation::Cancellations;
use crate::connector::Connector;
use crate::control::{Control, ControlHandle, DocumentFeed, SharedTable};
use crate::documents;
use crate::exchange::Traffic;
use crate::gossip::PeerSocket;
use crate::memory_budget::MemoryBudget;
use crate::request_memory::Memory;
use crate::server::{Phase, Server};
use crate::serving_monitor::ServingMonitor;
use crate::settings::{RelaySettings, ShutdownSettings};
use crate::tunnel::TunnelClient;
use crate::upstream::Upstream;
use crate::{events, metrics};
use arc_swap::ArcSwapOption;
use eiderferry_clock::{Clock, duration};
use eiderferry_dispatch::{Dispatcher, DispatcherSettings};
use eiderferry_types::Span;
use metrics_exporter_prometheus::PrometheusHandle;
use quick_error::quick_error;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Reading of the clock at start, so that it can express times before the start, such as when a
/// peer learned of something.
const CLOCK_START_OFFSET: Span = Span::from_milliseconds(3_600_000);
/// Time between two runs of the housekeeping, which closes expired idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Window in which it is counted how many requests are served.
const SERVING_WINDOW: Duration = Duration::from_secs(5);
/// Time between two checks of the paths to back ends.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Send buffer of one caller's connection. The kernel allocates twice this, for its own bookkeeping
/// too; without a limit it buffers 4 MiB for a caller that does not read. 10 Mbit/s at a round trip
/// of 70 ms need 88 kB.
const CALLER_SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Time between two checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for queued log lines to be written before the process ends.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(250);

quick_error! {
    /// Why a relay can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be bound.
        Bind(what: &'static str, address: SocketAddr, cause: std::io::Error) {
            display("{what}: can't listen on {address}: {cause}; name a free address of this machine")
        }
        /// The control thread can't be started.
        Thread(cause: std::io::Error) {
            display("can't start the control thread: {cause}")
        }
    }
}

/// A document source: runs on the control thread for the lifetime of the process.
pub type DocumentSource =
    Box<dyn FnOnce(DocumentFeed) -> Pin<Box<dyn Future<Output = ()>>> + Send + 'static>;

/// A relay that is ready to serve.
pub struct Relay {
    settings: RelaySettings,
    clock: Clock,
    table: SharedTable,
    control: ControlHandle,
    metrics: Option<PrometheusHandle>,
    memory: Arc<MemoryBudget>,
    cancellations: Cancellations,
}

impl Relay {
    /// Binds the peer sockets and starts the control thread.
    pub fn start(settings: RelaySettings, source: DocumentSource) -> Result<Self, StartError> {
        let clock = Clock::start(CLOCK_START_OFFSET);
        let table: SharedTable = Arc::new(ArcSwapOption::empty());
        let (sender, commands) = async_channel::unbounded();
        let socket = bind_peer_socket(settings.peer_address)?;
        let listener = std::net::TcpListener::bind(settings.peer_address)
            .map_err(|cause| StartError::Bind("documents", settings.peer_address, cause))?;
        let dispatcher = Dispatcher::new(DispatcherSettings {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_address,
            seeds: settings.seeds.clone(),
            incarnation: rand::random(),
            retry_budget: settings.retry_budget,
            propagation_deadline: settings.propagation_deadline,
            cold_rate_limit: settings.cold_rate_limit,
            regions: settings.regions.clone(),
            features: settings.features,
            link_mbps: settings.link_mbps,
        });
        let control_table = Arc::clone(&table);
        let cancellations = Cancellations::default();
        let control_cancellations = cancellations.clone();
        let peer_address = settings.peer_address;
        let (cache_protocol, header_names) = (
            settings.cache_protocol.clone(),
            settings.header_names.clone(),
        );
        let thread = std::thread::Builder::new().name("control".to_owned());
        thread
            .spawn(move || {
                let control = Control::new(
                    dispatcher,
                    clock,
                    control_table,
                    socket,
                    control_cancellations,
                    peer_address,
                );
                let follower =
                    |executor| CacheFollower::new(cache_protocol, header_names, executor);
                run_control(Rc::new(control), commands, listener, follower, source);
            })
            .map_err(StartError::Thread)?;
        let memory = MemoryBudget::new(settings.memory_budget);
        Ok(Self {
            memory,
            cancellations,
            settings,
            clock,
            table,
            control: ControlHandle::new(sender),
            metrics: metrics::install(),
        })
    }

    /// Memory accounting of this relay.
    pub fn memory(&self) -> Arc<MemoryBudget> {
        Arc::clone(&self.memory)
    }

    /// Serves callers on this thread until `stop` completes and the planned shutdown that follows
    /// has finished.
    pub fn serve(self, stop: impl Future<Output = ()>) -> Result<(), StartError> {
        let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
        let (close_connections, connections_closing) = async_channel::bounded::<Infallible>(1);
        let (force_stop, force_stop_signal) = async_channel::bounded::<Infallible>(1);
        let tunnels = TunnelClient::new(
            self.control.clone(),
            self.clock,
            self.settings.peer_address.ip(),
            self.settings.tunnel_port,
        );
        let connector = Connector::new(
            Rc::clone(&executor),
            self.control.clone(),
            self.clock,
            tunnels,
        );
        let traffic = Rc::new(Traffic {
            upstream: Upstream::new(
                Rc::clone(&executor),
                connector,
                self.memory.back_end_limit(),
            ),
            memory: Memory::new(Arc::clone(&self.memory)),
            control: self.control.clone(),
            table: Arc::clone(&self.table),
            header_names: self.settings.header_names.clone(),
            cancellations: self.cancellations.clone(),
            clock: self.clock,
            serving: ServingMonitor::default(),
        });
        let server = Rc::new(Server {
            traffic,
            executor: Rc::clone(&executor),
            phase: Rc::new(Cell::new(Phase::Serving)),
            callers: CallerConnections::new(self.settings.max_caller_connections),
            open_requests: Cell::new(0),
            open_tunnels: Cell::new(0),
            close_connections: connections_closing,
            force_stop: force_stop_signal,
        });
        let signals = StopSignals {
            close_connections,
            force_stop,
        };
        smol::block_on(executor.run(self.serve_until(server, stop, signals)))
    }

    async fn serve_until(
        self,
        server: Rc<Server>,
        stop: impl Future<Output = ()>,
        signals: StopSignals,
    ) -> Result<(), StartError> {
        self.open_listeners(&server).await?;
        let settings = &self.settings;
        let (node, zone) = (settings.node.as_str(), settings.zone.as_str());
        events::started(node, zone, settings.listen_address);
        stop.await;
        self.control.stop();
        shut_down(&server, settings.shutdown, signals, self.clock).await;
        events::stopped(server.open_requests.get());
        Timer::after(LOG_FLUSH_TIME).await;
        Ok(())
    }

    async fn open_listeners(&self, server: &Rc<Server>) -> Result<(), StartError> {
        let settings = &self.settings;
        let executor = &server.executor;
        let readiness = bind("readiness", settings.readiness_address).await?;
        let path = settings.readiness_path.clone();
        executor
            .spawn(Rc::clone(server).serve_readiness(readiness, path))
            .detach();
        if let (Some(address), Some(handle)) = (settings.metrics_address, self.metrics.clone()) {
            let listener = bind("metrics", address).await?;
            executor
                .spawn(Rc::clone(server).serve_metrics(listener, handle))
                .detach();
        }
        if let Some(port) = settings.tunnel_port {
            let address = SocketAddr::new(settings.peer_address.ip(), port);
            let listener = bind("tunnels", address).await?;
            executor
                .spawn(Rc::clone(server).serve_tunnels(listener))
                .detach();
        }
        let callers = bind("callers", settings.listen_address).await?;
        if self.memory.is_bounded() {
            limit_send_buffers(&callers);
        }
        executor
            .spawn(Rc::clone(server).accept_callers(callers))
            .detach();
        executor.spawn(run_housekeeping(Rc::clone(server))).detach();
        executor
            .spawn(run_serving_reports(Rc::clone(server)))
            .detach();
        executor.spawn(run_path_checks(Rc::clone(server))).detach();
        Ok(())
    }
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StartError::Bind(what, address, cause))
}

/// Limits what the kernel buffers for a caller that does not read; accepted connections inherit it.
fn limit_send_buffers(callers: &TcpListener) {
    let socket = socket2::SockRef::from(callers);
    if let Err(error) = socket.set_send_buffer_size(CALLER_SEND_BUFFER_BYTES) {
        log::warn!("can't limit the send buffers of callers: {error}");
    }
}

fn bind_peer_socket(address: SocketAddr) -> Result<PeerSocket, StartError> {
    let error = |cause| StartError::Bind("messages", address, cause);
    let socket = std::net::UdpSocket::bind(address).map_err(error)?;
    let socket = smol::Async::new(socket).map_err(error)?;
    Ok(PeerSocket::new(socket))
}

async fn run_housekeeping(server: Rc<Server>) {
    loop {
        Timer::after(HOUSEKEEPING_INTERVAL).await;
        let traffic = &server.traffic;
        traffic.upstream.close_idle();
        let budget = &traffic.memory.budget;
        budget.update_release_rate(traffic.clock.now());
        metrics::set_memory_gauges(budget);
    }
}

async fn run_serving_reports(server: Rc<Server>) {
    loop {
        Timer::after(SERVING_WINDOW).await;
        if let Some(report) = server.traffic.serving.end_window() {
            server.traffic.control.report_few_served(report);
        }
    }
}

async fn run_path_checks(server: Rc<Server>) {
    loop {
        Timer::after(PATH_CHECK_INTERVAL).await;
        server.traffic.upstream.check_paths();
    }
}

/// Channels that are closed to signal the phases of a shutdown to connections and requests.
struct StopSignals {
    close_connections: async_channel::Sender<Infallible>,
    force_stop: async_channel::Sender<Infallible>,
}

async fn shut_down(
    server: &Server,
    settings: ShutdownSettings,
    signals: StopSignals,
    clock: Clock,
) {
    let started = clock.now();
    server.phase.set(Phase::NotReady);
    events::stopping("leaving", server.open_requests.get());
    Timer::after(duration(settings.refuse_after)).await;
    server.phase.set(Phase::Refusing);
    signals.close_connections.close();
    events::stopping("refusing", server.open_requests.get());
    while server.open_requests.get() > 0 && clock.now().since(started) < settings.terminate_after {
        Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
    signals.force_stop.close();
}

fn run_control(
    control: Rc<Control>,
    commands: async_channel::Receiver<crate::control::Command>,
    listener: std::net::TcpListener,
    follower: impl FnOnce(Rc<LocalExecutor<'static>>) -> CacheFollower,
    source: DocumentSource,
) {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let (request_sender, requests) = async_channel::unbounded();
    let follower = Rc::new(follower(Rc::clone(&executor)));
    let tick_control = Rc::clone(&control);
    executor
        .spawn(async move { tick_control.run_ticks(&follower).await })
        .detach();
    let clock = control.clock;
    executor
        .spawn(documents::answer_requests(
            Rc::clone(&control),
            clock,
            requests,
        ))
        .detach();
    executor
        .spawn(documents::serve(listener, request_sender))
        .detach();
    executor
        .spawn(source(DocumentFeed::new(Rc::clone(&control))))
        .detach();
    smol::block_on(executor.run(async {
        let commands = control.run_commands(commands);
        let messages = control.run_messages(&executor);
        let fetches = control.run_fetches(&executor);
        let incoming = futures_lite::future::or(messages, fetches);
        futures_lite::future::or(commands, incoming).await;
    }));
}
