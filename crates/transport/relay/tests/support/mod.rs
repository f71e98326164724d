//! Stand-ins for tests over TCP: back ends that follow a script, and callers.

#![allow(dead_code, reason = "each test file uses its own part")]

use eiderferry_dispatch::{
    BudgetSettings, CacheEvent, CacheEvents, CacheListing, Change, ColdBound, Content, DocumentKey,
    Features, PromptPart,
};
use eiderferry_relay::{
    CacheProtocol, MemoryBudget, Relay, RelaySettings, Source, StopSettings, UnreadableAnswer,
    Vocabulary,
};
use eiderferry_routing::{
    BackEnd, EngineSpecification, InstanceId, Limits, NodeName, PartId, Pool, PoolName,
    ReplicaOffer, Route, RouteKind, Split, TableDocument, Tenant, ZoneName,
};
use eiderferry_types::Span;
use http::HeaderName;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

mod fragile;

#[allow(unused_imports, reason = "each test file uses its own part")]
pub use fragile::Fragile;

/// Longest wait of a test for anything.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A budget that no test fills unless it says so.
pub const AMPLE_MEMORY: u64 = 64 * 1024 * 1024;
pub const KEY: &str = "key-of-radio";
/// Buffer of a socket that holds little.
const SMALL_BUFFER: usize = 8_192;
pub const HOST: &str = "calls.example";

/// A request as a back end saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}

/// What a back end does with one request; returns whether it keeps the connection.
pub type Script = dyn Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync;

/// A back end that follows a script.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub closed: Arc<Mutex<Vec<Instant>>>,
}

impl StandIn {
    pub fn start(
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self::start_on(listener, script)
    }

    /// The same with small buffers, so that what one side does not read soon stops the other.
    pub fn with_small_buffers(
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let socket = socket2::SockRef::from(&listener);
        socket.set_recv_buffer_size(SMALL_BUFFER).expect("a socket");
        socket.set_send_buffer_size(SMALL_BUFFER).expect("a socket");
        Self::start_on(listener, script)
    }

    fn start_on(
        listener: TcpListener,
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let closed: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let (all, ends) = (Arc::clone(&seen), Arc::clone(&closed));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, all) = (Arc::clone(&script), Arc::clone(&all));
                let ends = Arc::clone(&ends);
                std::thread::spawn(move || {
                    serve(stream, &script, &all);
                    ends.lock().expect("lock").push(Instant::now());
                });
            }
        });
        Self {
            address,
            seen,
            closed,
        }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

    pub fn first(&self) -> Seen {
        self.seen.lock().expect("lock")[0].clone()
    }
}

fn serve(mut stream: TcpStream, script: &Arc<Script>, all: &Arc<Mutex<Vec<Seen>>>) {
    while let Some(request) = read_request(&mut stream) {
        let number = {
            let mut all = all.lock().expect("lock");
            all.push(request.clone());
            all.len()
        };
        if !script(&mut stream, &request, number) {
            return;
        }
    }
}

pub fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut seen = Seen {
        head,
        body: bytes[end..].to_vec(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |value| value.parse().expect("a length"));
    let late = seen.header("test-answer-early").is_some();
    while seen.body.len() < length && !late {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        seen.body.extend_from_slice(&buffer[..count]);
    }
    Some(seen)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(pattern.len());
    windows.position(|window| window == pattern)
}

/// A whole answer with the request's id.
pub fn whole(seen: &Seen, body: &str) -> String {
    let id = seen.id();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A back end's word that it has not run the request.
pub fn shed(seen: &Seen) -> String {
    let id = seen.id();
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Head of a stream.
pub fn stream_head(seen: &Seen, stamp: &str) -> String {
    let id = seen.id();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// A piece of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

pub fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Closes with a reset.
pub fn reset(stream: &mut TcpStream) {
    let socket = socket2::SockRef::from(&*stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Waits until the other side closes; whether it did in time.
pub fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(PATIENCE));
    matches!(stream.read(&mut [0; 64]), Ok(0)) || {
        let error = stream.take_error();
        error.is_ok()
    }
}

pub fn vocabulary() -> Vocabulary {
    Vocabulary {
        request_id: HeaderName::from_static("request-id"),
        remaining_ms: HeaderName::from_static("remaining-ms"),
        expected_instance: HeaderName::from_static("expected-instance"),
        tenant: HeaderName::from_static("tenant"),
        urgency: HeaderName::from_static("urgency"),
        not_run: HeaderName::from_static("not-run"),
        token_usage: HeaderName::from_static("token-usage"),
        prompt_parts: HeaderName::from_static("prompt-parts"),
        length_hint: HeaderName::from_static("length-hint"),
        copy_from: HeaderName::from_static("copy-from"),
        replica_at: HeaderName::from_static("replica-at"),
        resume_from: HeaderName::from_static("resume-from"),
        last_event_id: HeaderName::from_static("last-event-id"),
        model: HeaderName::from_static("model"),
        commands: vec![HeaderName::from_static("reserve")],
    }
}

const ENGINE: EngineSpecification = EngineSpecification {
    slots: 64,
    cache_tokens: 500_000,
    tokens_per_event: 1,
    cache_event_calls: 4,
    replicas: None,
};

fn numbers(body: &[u8]) -> Result<Vec<Vec<u64>>, UnreadableAnswer> {
    let text = String::from_utf8_lossy(body);
    let lines = text.lines().map(|line| {
        let words = line.split(' ').map(str::parse);
        words
            .collect::<Result<Vec<u64>, _>>()
            .map_err(|_| UnreadableAnswer::new("line", line))
    });
    lines.collect()
}

fn read_cache_events(body: &[u8]) -> Result<CacheEvents, UnreadableAnswer> {
    let lines = numbers(body)?;
    let [epoch, next, lost] = lines[0][..] else {
        return Err(UnreadableAnswer::new("head", "other fields"));
    };
    let events = lines[1..].iter().map(|line| CacheEvent {
        number: line[0],
        part: PartId(line[1]),
        tokens: line[2] as u32,
    });
    Ok(CacheEvents {
        epoch,
        next,
        has_gap: lost > 0,
        events: events.collect(),
    })
}

fn read_cache_listing(body: &[u8]) -> Result<CacheListing, UnreadableAnswer> {
    let events = read_cache_events(body)?;
    let kept = events.events.iter().map(|event| PromptPart {
        id: event.part,
        tokens: event.tokens,
    });
    Ok(CacheListing {
        epoch: events.epoch,
        next: events.next,
        kept: kept.collect(),
    })
}

/// Answers of lines: epoch, number to go on from, gap; then number, part, tokens each.
pub fn cache_protocol() -> CacheProtocol {
    CacheProtocol {
        events_path: |after| format!("/cache-events?after={after}"),
        listing_path: "/cache",
        wait: HeaderName::from_static("wait"),
        read_events: read_cache_events,
        read_listing: read_cache_listing,
    }
}

fn route(name: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Span::from_milliseconds(4_000),
        target: Span::from_milliseconds(2_000),
        pause_target: Some(Span::from_milliseconds(1_000)),
        rank: 2,
        splits: vec![Split {
            pool: PoolName::from("pool"),
            weight: 1.0,
        }],
        maximum_attempts: attempts,
        is_public: false,
        is_resumable: false,
        allowed_regions: Vec::new(),
    }
}

/// Engines that keep replicas of each other's running requests.
fn engine() -> EngineSpecification {
    EngineSpecification {
        slots: 64,
        cache_tokens: 400_000,
        tokens_per_event: 4,
        cache_event_calls: 0,
        replicas: Some(ReplicaOffer {
            lifetime: Span::from_milliseconds(5_000),
            bytes_per_token: 163_840,
        }),
    }
}

fn table(engine: Option<EngineSpecification>) -> TableDocument {
    let mut resumable = route("resumable", RouteKind::Streaming, 2);
    resumable.is_resumable = true;
    let mut quick = route("quick", RouteKind::NotRepeatable, 1);
    quick.timeout = Span::from_milliseconds(400);
    let mut patient = route("patient", RouteKind::Streaming, 1);
    patient.timeout = Span::from_milliseconds(60_000);
    let mut patient_urgent = patient.clone();
    patient_urgent.name = "patient-urgent".to_owned();
    patient_urgent.path_prefix = "/patient-urgent/".to_owned();
    patient_urgent.rank = 1;
    let mut patient_read = route("patient-read", RouteKind::Repeatable, 1);
    patient_read.timeout = Span::from_milliseconds(60_000);
    let mut paced = route("paced", RouteKind::Streaming, 1);
    paced.pause_target = Some(Span::from_milliseconds(100));
    let pool = Pool {
        health_path: "/health".to_owned(),
        maximum_connections: 400,
        engine,
        cold_start: None,
    };
    TableDocument {
        version: 1,
        routes: vec![
            route("read", RouteKind::Repeatable, 2),
            route("write", RouteKind::NotRepeatable, 2),
            route("stream", RouteKind::Streaming, 1),
            resumable,
            quick,
            patient,
            patient_urgent,
            patient_read,
            paced,
        ],
        pools: BTreeMap::from([(PoolName::from("pool"), pool)]),
        limits: Limits {
            maximum_header_bytes: 16_384,
            maximum_body_bytes: 300_000,
            header_timeout: Span::from_milliseconds(3_000),
            idle_timeout: Span::from_milliseconds(15_000),
        },
        tenants: vec![Tenant {
            name: "radio".to_owned(),
            keys: vec![KEY.to_owned()],
            rank: None,
            allowed_regions: Vec::new(),
        }],
    }
}

fn changes(back_ends: &[SocketAddr], engine: Option<EngineSpecification>) -> Vec<Change> {
    let listed = back_ends.iter().enumerate().map(|(number, address)| {
        let instance = InstanceId::from(format!("i-{number}"));
        Change {
            key: DocumentKey::BackEnd(instance.clone()),
            revision: 2,
            content: Content::BackEnd(BackEnd {
                instance,
                pool: PoolName::from("pool"),
                address: *address,
                zone: ZoneName::from("a"),
                slots: 64,
                draining: false,
                cold_for: Some(Span::ZERO),
                started_unix_ms: None,
            }),
        }
    });
    let table = Change {
        key: DocumentKey::Table,
        revision: 1,
        content: Content::Table(table(engine)),
    };
    listed.chain([table]).collect()
}

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
        let running = Self::start(Some(changes(back_ends, engine)), options);
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
            listen,
            ready,
            ready_path: "/ready".to_owned(),
            metrics: None,
            peer,
            seeds: options.seeds,
            budget: BudgetSettings {
                ratio: 0.2,
                allowance: 400.0,
                window: Span::from_milliseconds(10_000),
            },
            link_mbps: 100,
            memory_budget: options.memory_budget,
            apply_within: Span::from_milliseconds(2_000),
            regions: BTreeMap::new(),
            features: options.features,
            cold_bound: ColdBound {
                overage: 1.5,
                slack: 5.0,
            },
            stop: StopSettings {
                refuse_after: Span::from_milliseconds(300),
                end_after: Span::from_milliseconds(1_500),
            },
            cache_protocol: cache_protocol(),
            vocabulary: vocabulary(),
        };
        let source: Source = Box::new(move |feed| {
            Box::pin(async move {
                if let Some(documents) = documents {
                    smol::Timer::after(options.delay).await;
                    feed.take(documents, 2);
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

/// One connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
}

/// An answer as a caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        let seen = Seen {
            head: self.head.clone(),
            body: Vec::new(),
        };
        seen.header(name).map(str::to_owned)
    }
}

impl Caller {
    /// Sends a request with a key and an id; `extra` holds further header lines.
    pub fn send(&mut self, method: &str, path: &str, extra: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id-{path}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n{extra}\r\n{body}"
        );
        write(&mut self.stream, &text);
    }

    /// Reads one answer.
    pub fn answer(&mut self) -> Answer {
        self.answer_after(Vec::new())
    }

    /// Reads the rest of an answer of which `bytes` have been read.
    pub fn answer_after(&mut self, mut bytes: Vec<u8>) -> Answer {
        let end = loop {
            if let Some(end) = find(&bytes, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.read_more(&mut bytes) {
                return Answer {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    is_whole: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = head[9..12].parse().expect("a status");
        let mut answer = Answer {
            status,
            head,
            body: String::new(),
            is_whole: false,
        };
        let rest = bytes.split_off(end);
        if answer.header("transfer-encoding").is_some() {
            self.read_chunks(&mut answer, rest);
        } else {
            self.read_length(&mut answer, rest);
        }
        answer
    }

    fn read_more(&mut self, bytes: &mut Vec<u8>) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(count) if count > 0 => {
                bytes.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    fn read_length(&mut self, answer: &mut Answer, mut rest: Vec<u8>) {
        let length = answer.header("content-length");
        let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
        while rest.len() < length && self.read_more(&mut rest) {}
        answer.is_whole = rest.len() == length;
        answer.body = String::from_utf8_lossy(&rest).into_owned();
    }

    fn read_chunks(&mut self, answer: &mut Answer, mut rest: Vec<u8>) {
        loop {
            while let Some((text, used)) = take_chunk(&rest) {
                rest.drain(..used);
                if text.is_empty() {
                    answer.is_whole = true;
                    return;
                }
                answer.body.push_str(&text);
            }
            if !self.read_more(&mut rest) {
                return;
            }
        }
    }
}

fn take_chunk(bytes: &[u8]) -> Option<(String, usize)> {
    let line = find(bytes, b"\r\n")?;
    let size = std::str::from_utf8(&bytes[..line]).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    let end = line + 2 + size + 2;
    let data = bytes.get(line + 2..line + 2 + size)?;
    (bytes.len() >= end).then(|| (String::from_utf8_lossy(data).into_owned(), end))
}
