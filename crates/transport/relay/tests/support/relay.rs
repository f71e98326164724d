//! Relays under test, each on its own thread.

use super::documents::{
    CACHE_REPORTING_ENGINE, cache_protocol, configuration_documents, draining_back_ends,
    header_names, replicating_engine, table_with_limits,
};
use super::{
    AMPLE_MEMORY_BUDGET, Caller, MockBackEnd, Response, SMALL_BUFFER_BYTES, TEST_TIMEOUT, write,
};
use eiderferry_dispatch::{Change, ColdRateLimit, Features, RetryBudgetSettings};
use eiderferry_relay::{DocumentSource, MemoryBudget, Relay, RelaySettings, ShutdownSettings};
use eiderferry_routing::{EngineSpecification, Limits, NodeName, ZoneName};
use eiderferry_types::Span;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A relay that runs on its own thread.
pub struct TestRelay {
    pub listen_address: SocketAddr,
    pub readiness_address: SocketAddr,
    /// Address for messages of other relays.
    pub peer_address: SocketAddr,
    pub memory: Arc<MemoryBudget>,
    shutdown_sender: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Ports of a relay under test. They are below the ephemeral port range, so that no socket with
/// an automatically assigned port occupies them.
const LISTEN_PORT: u16 = 21_001;
const READINESS_PORT: u16 = 21_002;
const PEER_PORT: u16 = 21_003;
pub const TUNNEL_PORT: u16 = 21_004;
static STARTED_RELAYS: AtomicU32 = AtomicU32::new(0);

/// A loopback address that differs for each relay of a test process and, as far as process ids
/// allow, between test processes.
fn unique_loopback_address() -> Ipv4Addr {
    let number = STARTED_RELAYS.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    let octet = |value: u32| (value % 250 + 1) as u8;
    Ipv4Addr::new(
        127,
        octet(process),
        octet(process / 250 + number / 250),
        octet(number),
    )
}

/// Options with which a relay is started.
#[derive(Clone)]
struct Options {
    /// Delay after which the relay receives its configuration.
    configuration_delay: Duration,
    /// Changes that the relay receives after its configuration, each with the delay before it.
    later_changes: Vec<(Duration, Change)>,
    /// In bytes; 0 means no budget.
    memory_budget: u64,
    max_caller_connections: usize,
    /// Time from the beginning of a shutdown to its end at the latest.
    terminate_after: Span,
    features: Features,
    /// Distinguishes the relays of a fleet.
    node_number: usize,
    /// Peer addresses of relays that are known from the start.
    seeds: Vec<SocketAddr>,
    zone: &'static str,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            configuration_delay: Duration::ZERO,
            later_changes: Vec::new(),
            memory_budget: AMPLE_MEMORY_BUDGET,
            max_caller_connections: 10_000,
            terminate_after: Span::from_milliseconds(1_500),
            features: Features::ALL,
            node_number: 1,
            seeds: Vec::new(),
            zone: "a",
        }
    }
}

impl TestRelay {
    /// Starts relays that know each other and use these back ends.
    pub fn start_fleet(count: usize, back_ends: &[SocketAddr]) -> Vec<Self> {
        let mut fleet: Vec<Self> = Vec::new();
        for _ in 0..count {
            fleet.push(Self::join_fleet(&fleet, back_ends));
        }
        fleet
    }

    /// Starts a further relay whose seed is the first relay of the fleet.
    pub fn join_fleet(fleet: &[Self], back_ends: &[SocketAddr]) -> Self {
        Self::join_fleet_in_zone("a", fleet, back_ends)
    }

    /// Like [`Self::join_fleet`], in the given zone. Back ends are in zone `a`.
    pub fn join_fleet_in_zone(
        zone: &'static str,
        fleet: &[Self],
        back_ends: &[SocketAddr],
    ) -> Self {
        let options = Options {
            zone,
            node_number: fleet.len() + 1,
            seeds: fleet
                .first()
                .map(|first| first.peer_address)
                .into_iter()
                .collect(),
            ..Options::default()
        };
        Self::start_ready_at_addresses(back_ends, None, options)
    }

    /// Starts a relay with these back ends.
    pub fn with_back_ends(back_ends: &[&MockBackEnd]) -> Self {
        Self::with_memory_budget(back_ends, AMPLE_MEMORY_BUDGET)
    }

    /// Starts a relay with the back ends at these addresses.
    pub fn with_addresses(back_ends: &[SocketAddr]) -> Self {
        Self::start_ready_at_addresses(back_ends, None, Options::default())
    }

    /// Starts a relay with one back end and `count` draining ones.
    pub fn with_draining_back_ends(back_end: &MockBackEnd, count: usize) -> Self {
        let mut documents = configuration_documents(&[back_end.address], None);
        documents.extend(draining_back_ends(count));
        Self::start_ready(documents, Options::default())
    }

    /// Starts a relay with these back ends and a memory budget of this many bytes; 0 means none.
    pub fn with_memory_budget(back_ends: &[&MockBackEnd], bytes: u64) -> Self {
        let options = Options {
            memory_budget: bytes,
            ..Options::default()
        };
        Self::start_ready_with(back_ends, None, options)
    }

    /// Starts a relay whose shutdown may take so long that only open requests end it.
    pub fn with_long_shutdown(back_end: &MockBackEnd) -> Self {
        let options = Options {
            terminate_after: Span::from_seconds(TEST_TIMEOUT.as_secs_f64()),
            ..Options::default()
        };
        Self::start_ready_with(&[back_end], None, options)
    }

    /// Starts a relay that accepts up to this many connections of callers.
    pub fn with_max_caller_connections(back_end: &MockBackEnd, count: usize) -> Self {
        let options = Options {
            max_caller_connections: count,
            ..Options::default()
        };
        Self::start_ready_with(&[back_end], None, options)
    }

    /// Starts a relay with engines that keep replicas for each other.
    pub fn with_replicating_engines(engines: &[&MockBackEnd]) -> Self {
        Self::start_ready_with(engines, Some(replicating_engine()), Options::default())
    }

    /// Starts a relay with such engines but with replicas disabled.
    pub fn with_replicas_disabled(engines: &[&MockBackEnd]) -> Self {
        let mut options = Options::default();
        options.features.run_replicas = false;
        Self::start_ready_with(engines, Some(replicating_engine()), options)
    }

    fn start_ready_with(
        back_ends: &[&MockBackEnd],
        engine: Option<EngineSpecification>,
        options: Options,
    ) -> Self {
        let addresses: Vec<SocketAddr> =
            back_ends.iter().map(|back_end| back_end.address).collect();
        Self::start_ready_at_addresses(&addresses, engine, options)
    }

    fn start_ready_at_addresses(
        back_ends: &[SocketAddr],
        engine: Option<EngineSpecification>,
        options: Options,
    ) -> Self {
        Self::start_ready(configuration_documents(back_ends, engine), options)
    }

    fn start_ready(documents: Vec<Change>, options: Options) -> Self {
        let relay = Self::start(Some(documents), options);
        let started_at = Instant::now();
        while relay.readiness_status() != 200 {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the relay is not ready"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        relay
    }

    /// Starts a relay with an engine that reports the contents of its cache; does not wait until
    /// the relay is ready.
    pub fn with_cache_reporting_engine(engine: &MockBackEnd) -> Self {
        let documents = configuration_documents(&[engine.address], Some(CACHE_REPORTING_ENGINE));
        Self::start(Some(documents), Options::default())
    }

    /// Starts a relay whose configured limits change after a delay.
    pub fn with_changing_limits(
        back_end: &MockBackEnd,
        first: Limits,
        delay: Duration,
        second: Limits,
    ) -> Self {
        let options = Options {
            later_changes: vec![
                (Duration::ZERO, table_with_limits(3, first)),
                (delay, table_with_limits(4, second)),
            ],
            ..Options::default()
        };
        Self::start_ready_with(&[back_end], None, options)
    }

    /// Starts a relay that receives no configuration.
    pub fn without_configuration() -> Self {
        Self::start(None, Options::default())
    }

    /// Starts a relay that receives its configuration after this delay.
    pub fn with_delayed_configuration(
        back_end: &MockBackEnd,
        configuration_delay: Duration,
    ) -> Self {
        let options = Options {
            configuration_delay,
            ..Options::default()
        };
        Self::start(
            Some(configuration_documents(&[back_end.address], None)),
            options,
        )
    }

    fn start(documents: Option<Vec<Change>>, options: Options) -> Self {
        let ip = unique_loopback_address();
        let listen_address = SocketAddr::from((ip, LISTEN_PORT));
        let readiness_address = SocketAddr::from((ip, READINESS_PORT));
        let peer_address = SocketAddr::from((ip, PEER_PORT));
        let settings = RelaySettings {
            node: NodeName::from(format!("node-{}", options.node_number)),
            zone: ZoneName::from(options.zone),
            listen_address,
            readiness_address,
            readiness_path: "/ready".to_owned(),
            metrics_address: None,
            peer_address,
            tunnel_port: Some(TUNNEL_PORT),
            seeds: options.seeds,
            // A relay that has just started may not use the allowance, and a test sends a few
            // requests only.
            retry_budget: RetryBudgetSettings {
                ratio: 20.0,
                allowance: 0.0,
                window: Span::from_milliseconds(10_000),
            },
            link_mbps: 100,
            memory_budget: options.memory_budget,
            max_caller_connections: options.max_caller_connections,
            propagation_deadline: Span::from_milliseconds(2_000),
            regions: BTreeMap::new(),
            features: options.features,
            cold_rate_limit: ColdRateLimit {
                overage: 1.5,
                slack: 5.0,
            },
            shutdown: ShutdownSettings {
                refuse_after: Span::from_milliseconds(300),
                terminate_after: options.terminate_after,
            },
            cache_protocol: cache_protocol(),
            header_names: header_names(),
        };
        let source: DocumentSource = Box::new(move |feed| {
            Box::pin(async move {
                if let Some(documents) = documents {
                    smol::Timer::after(options.configuration_delay).await;
                    feed.apply_changes(documents, 2.into());
                }
                for (delay, change) in options.later_changes {
                    smol::Timer::after(delay).await;
                    let revision = change.revision;
                    feed.apply_changes(vec![change], revision);
                }
                std::future::pending::<()>().await;
            })
        });
        let (shutdown_sender, shutdown_receiver) = async_channel::bounded::<()>(1);
        let (memory_sender, memory_receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let relay = Relay::start(settings, source).expect("free addresses");
            memory_sender.send(relay.memory()).expect("the test waits");
            let shutdown_signal = async move {
                let _ = shutdown_receiver.recv().await;
            };
            relay.serve(shutdown_signal).expect("free addresses");
        });
        let memory = memory_receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the relay starts");
        let relay = Self {
            listen_address,
            readiness_address,
            peer_address,
            memory,
            shutdown_sender: Some(shutdown_sender),
            thread: Some(thread),
        };
        relay.wait_until_listening();
        relay
    }

    fn wait_until_listening(&self) {
        let started_at = Instant::now();
        while TcpStream::connect(self.listen_address).is_err() {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the relay does not listen"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&mut self) {
        self.shutdown_sender = None;
    }

    /// Waits until the thread of the relay has ended.
    pub fn wait_for_exit(&mut self) {
        self.thread
            .take()
            .expect("wait_for_exit is called once")
            .join()
            .expect("no panic");
    }

    /// Status code of the readiness path.
    pub fn readiness_status(&self) -> u16 {
        let mut stream = TcpStream::connect(self.readiness_address).expect("listening");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket");
        write(
            &mut stream,
            "GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n",
        );
        Caller { stream }.read_response().status
    }

    /// Sends a request on a new connection and reads the response.
    pub fn call(&self, method: &str, path: &str, extra_headers: &str, body: &str) -> Response {
        let mut caller = self.connect();
        caller.send(method, path, extra_headers, body);
        caller.read_response()
    }

    /// Posts the request with this number to a route, on a new connection.
    pub fn post(&self, route: &str, number: usize) -> Response {
        self.call("POST", &format!("/{route}/{number}"), "", "x")
    }

    /// Connects a caller with a small receive buffer, so that unread data soon blocks the relay.
    pub fn connect_with_small_buffer(&self) -> Caller {
        let kind = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("a socket");
        socket
            .set_recv_buffer_size(SMALL_BUFFER_BYTES)
            .expect("a socket");
        socket
            .connect(&self.listen_address.into())
            .expect("listening");
        let stream = TcpStream::from(socket);
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket");
        Caller { stream }
    }

    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.listen_address).expect("listening");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket");
        Caller { stream }
    }
}
