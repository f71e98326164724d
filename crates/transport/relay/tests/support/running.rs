//! Relays in threads of their own.

use super::documents::{ENGINE, cache_protocol, changes, engine, header_names, leaving};
use super::{AMPLE_MEMORY, Answer, Caller, PATIENCE, SMALL_BUFFER, StandIn, write};
use eiderferry_dispatch::{Change, ColdRateLimit, Features, RetryBudgetSettings};
use eiderferry_relay::{MemoryBudget, Relay, RelaySettings, ShutdownSettings, Source};
use eiderferry_routing::{EngineSpecification, NodeName, ZoneName};
use eiderferry_types::Span;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A relay in a thread of its own.
pub struct Running {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    /// Where it hears other relays.
    pub peer: SocketAddr,
    pub memory: Arc<MemoryBudget>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Ports of a relay under test; below those that the system hands out by itself, so
/// that no other socket holds them.
const CALLERS_PORT: u16 = 21_001;
const READY_PORT: u16 = 21_002;
const PEER_PORT: u16 = 21_003;
static RELAYS: AtomicU32 = AtomicU32::new(0);

/// A loopback address of its own for each relay of each test process.
fn own_ip() -> Ipv4Addr {
    let number = RELAYS.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    let octet = |value: u32| (value % 250 + 1) as u8;
    Ipv4Addr::new(
        127,
        octet(process),
        octet(process / 250 + number / 250),
        octet(number),
    )
}

/// How a relay of the tests is started.
#[derive(Clone)]
struct Options {
    /// When it hears of its configuration.
    delay: Duration,
    memory_budget: u64,
    features: Features,
    /// Tells it from the other relays of a fleet.
    number: usize,
    /// Addresses of other relays for messages.
    seeds: Vec<SocketAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            delay: Duration::ZERO,
            memory_budget: AMPLE_MEMORY,
            features: Features::ALL,
            number: 1,
            seeds: Vec::new(),
        }
    }
}

impl Running {
    /// Relays before these back ends that know each other.
    pub fn fleet_before(count: usize, back_ends: &[SocketAddr]) -> Vec<Self> {
        let mut fleet: Vec<Self> = Vec::new();
        for _ in 0..count {
            fleet.push(Self::joining(&fleet, back_ends));
        }
        fleet
    }

    /// One relay more that knows the first of a fleet.
    pub fn joining(fleet: &[Self], back_ends: &[SocketAddr]) -> Self {
        let options = Options {
            number: fleet.len() + 1,
            seeds: fleet.first().map(|first| first.peer).into_iter().collect(),
            ..Options::default()
        };
        Self::ready_before_addresses(back_ends, None, options)
    }

    /// A relay before these back ends.
    pub fn before(back_ends: &[&StandIn]) -> Self {
        Self::with_memory(back_ends, AMPLE_MEMORY)
    }

    /// A relay before one back end and so many that are leaving.
    pub fn before_one_beside_leaving(back_end: &StandIn, count: usize) -> Self {
        let mut documents = changes(&[back_end.address], None);
        documents.extend(leaving(count));
        Self::start_ready(documents, Options::default())
    }

    /// A relay before these back ends with a budget of this many bytes.
    pub fn with_memory(back_ends: &[&StandIn], bytes: u64) -> Self {
        let options = Options {
            memory_budget: bytes,
            ..Options::default()
        };
        Self::ready_before(back_ends, None, options)
    }

    /// A relay before engines that keep replicas for each other.
    pub fn before_engines(engines: &[&StandIn]) -> Self {
        Self::ready_before(engines, Some(engine()), Options::default())
    }

    /// The same with replicas switched off.
    pub fn before_engines_without_replicas(engines: &[&StandIn]) -> Self {
        let mut options = Options::default();
        options.features.run_replicas = false;
        Self::ready_before(engines, Some(engine()), options)
    }

    fn ready_before(
        back_ends: &[&StandIn],
        engine: Option<EngineSpecification>,
        options: Options,
    ) -> Self {
        let addresses: Vec<SocketAddr> =
            back_ends.iter().map(|stand_in| stand_in.address).collect();
        Self::ready_before_addresses(&addresses, engine, options)
    }

    fn ready_before_addresses(
        back_ends: &[SocketAddr],
        engine: Option<EngineSpecification>,
        options: Options,
    ) -> Self {
        Self::start_ready(changes(back_ends, engine), options)
    }

    fn start_ready(documents: Vec<Change>, options: Options) -> Self {
        let running = Self::start(Some(documents), options);
        let begun = Instant::now();
        while running.readiness() != 200 {
            assert!(begun.elapsed() < PATIENCE, "the relay is not ready");
            std::thread::sleep(Duration::from_millis(5));
        }
        running
    }

    /// A relay before an engine that tells what it keeps.
    pub fn before_engine(engine: &StandIn) -> Self {
        let documents = changes(&[engine.address], Some(ENGINE));
        Self::start(Some(documents), Options::default())
    }

    /// A relay that knows no configuration.
    pub fn without_configuration() -> Self {
        Self::start(None, Options::default())
    }

    /// A relay before a back end that hears of its configuration this late.
    pub fn with_late_configuration(back_end: &StandIn, delay: Duration) -> Self {
        let options = Options {
            delay,
            ..Options::default()
        };
        Self::start(Some(changes(&[back_end.address], None)), options)
    }

    fn start(documents: Option<Vec<Change>>, options: Options) -> Self {
        let ip = own_ip();
        let listen = SocketAddr::from((ip, CALLERS_PORT));
        let ready = SocketAddr::from((ip, READY_PORT));
        let peer = SocketAddr::from((ip, PEER_PORT));
        let settings = RelaySettings {
            node: NodeName::from(format!("node-{}", options.number)),
            zone: ZoneName::from("a"),
            listen_address: listen,
            readiness_address: ready,
            readiness_path: "/ready".to_owned(),
            metrics_address: None,
            peer_address: peer,
            seeds: options.seeds,
            retry_budget: RetryBudgetSettings {
                ratio: 0.2,
                allowance: 400.0,
                window: Span::from_milliseconds(10_000),
            },
            link_mbps: 100,
            memory_budget: options.memory_budget,
            propagation_deadline: Span::from_milliseconds(2_000),
            regions: BTreeMap::new(),
            features: options.features,
            cold_rate_limit: ColdRateLimit {
                overage: 1.5,
                slack: 5.0,
            },
            shutdown: ShutdownSettings {
                refuse_after: Span::from_milliseconds(300),
                terminate_after: Span::from_milliseconds(1_500),
            },
            cache_protocol: cache_protocol(),
            header_names: header_names(),
        };
        let source: Source = Box::new(move |feed| {
            Box::pin(async move {
                if let Some(documents) = documents {
                    smol::Timer::after(options.delay).await;
                    feed.apply_changes(documents, 2.into());
                }
                std::future::pending::<()>().await;
            })
        });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (started, is_started) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let relay = Relay::start(settings, source).expect("free addresses");
            started.send(relay.memory()).expect("the test waits");
            let stop = async move {
                let _ = stopped.recv().await;
            };
            relay.serve(stop).expect("free addresses");
        });
        let memory = is_started.recv_timeout(PATIENCE).expect("started");
        let running = Self {
            listen,
            ready,
            peer,
            memory,
            stop: Some(stop),
            thread: Some(thread),
        };
        running.wait_until_listening();
        running
    }

    fn wait_until_listening(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(begun.elapsed() < PATIENCE, "the relay does not listen");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Begins a planned stop.
    pub fn begin_stop(&mut self) {
        self.stop = None;
    }

    /// Waits until the process would have ended.
    pub fn wait_for_end(&mut self) {
        self.thread.take().expect("once").join().expect("no panic");
    }

    /// Status of the readiness path.
    pub fn readiness(&self) -> u16 {
        let mut stream = TcpStream::connect(self.ready).expect("listening");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        write(
            &mut stream,
            "GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n",
        );
        Caller { stream }.answer().status
    }

    pub fn call(&self, method: &str, path: &str, extra: &str, body: &str) -> Answer {
        let mut caller = self.connect();
        caller.send(method, path, extra, body);
        caller.answer()
    }

    /// A request of that number on a route, on a connection of its own.
    pub fn post(&self, route: &str, number: usize) -> Answer {
        self.call("POST", &format!("/{route}/{number}"), "", "x")
    }

    /// A caller whose machine takes little that it has not read.
    pub fn connect_slowly(&self) -> Caller {
        let kind = socket2::Type::STREAM;
        let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("a socket");
        socket.set_recv_buffer_size(SMALL_BUFFER).expect("a socket");
        socket.connect(&self.listen.into()).expect("listening");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Caller { stream }
    }

    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.listen).expect("listening");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Caller { stream }
    }
}
