//! Connections to back ends.

use crate::control::ControlHandle;
use crate::observed_stream::{ObservedStream, ReceivedFlag};
use crate::tunnel::TunnelClient;
use crate::{events, metrics};
use bytes::Bytes;
use eiderferry_clock::{Clock, boot_time};
use eiderferry_dispatch::{BackEndPaths, Grant, Outcome, Path};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use http::{HeaderMap, Request, Response};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use quick_error::quick_error;
use smol::net::TcpStream;
use smol::{Async, LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum idle time of a pooled connection.
const MAXIMUM_IDLE: Duration = Duration::from_secs(10);
/// Maximum idle time of a pooled connection used for a request that may not be retried: if the back
/// end closes the connection meanwhile, the response is lost.
const MAXIMUM_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(700);
/// Fraction used of the idle time that a back end allows.
const IDLE_FRACTION: f64 = 0.7;
/// Longest wait for a peer's reply after a refused connection.
const REPLY_WAIT: Duration = Duration::from_millis(50);
/// Time without a byte from any back end, while responses are outstanding, after which direct
/// connections are checked.
const SILENCE_BEFORE_CHECK: Span = Span::from_milliseconds(500);
/// Minimum time between two such checks.
const SILENCE_CHECK_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Back ends with outstanding responses to which one such check connects.
const SILENCE_CHECK_BACK_ENDS: usize = 3;
/// Time without acknowledgement of sent bytes after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

quick_error! {
    /// Why a request got no response head.
    #[derive(Debug)]
    pub enum SendError {
        /// The connection could not be established; nothing was sent.
        Unreachable(cause: std::io::Error) {
            display("no connection: {cause}")
        }
        /// This node has as many connections to the back end as it may; nothing was sent.
        ConnectionLimit {
            display("the connection limit of the back end is reached")
        }
        /// Bodies sent earlier to the back end are still outstanding and fill its share of the
        /// memory budget; nothing was sent.
        BodyLimit {
            display("the memory limit for bodies at the back end is reached")
        }
        /// The response is incomplete; the request may have arrived.
        Incomplete(cause: hyper::Error) {
            display("incomplete response: {cause}")
        }
    }
}

impl SendError {
    /// Whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Incomplete(_))
    }

    /// The outcome to record for the back end.
    pub fn outcome(&self) -> Outcome {
        match self {
            SendError::Unreachable(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
                Outcome::ConnectionRefused
            }
            SendError::Unreachable(_) => Outcome::Unreachable,
            SendError::ConnectionLimit | SendError::BodyLimit => Outcome::NotSent,
            SendError::Incomplete(_) => Outcome::IncompleteResponse,
        }
    }
}

type PoolKey = (SocketAddr, InstanceId);

#[derive(Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    open: u32,
    /// Bytes of bodies whose exchange with the back end is not over.
    outstanding: u64,
}

struct IdleConnection {
    connection: Connection,
    /// Boot time, which includes suspensions: back ends close idle connections during them.
    idle_since: Duration,
    idle_limit: Duration,
}

impl IdleConnection {
    fn age(&self) -> Duration {
        boot_time().saturating_sub(self.idle_since)
    }
}

/// A connection to a back end; closed when dropped.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether a peer provides the connection.
    is_tunnel: bool,
    /// The socket that the driver task uses.
    socket: Arc<Async<std::net::TcpStream>>,
    _driver: Task<()>,
    _guard: ConnectionGuard,
    body: Option<OutstandingBody>,
    key: PoolKey,
}

/// A body sent to a back end, counted until its response has been read or given up.
struct OutstandingBody {
    pools: Pools,
    key: PoolKey,
    bytes: u64,
}

impl Drop for OutstandingBody {
    fn drop(&mut self) {
        if let Ok(mut pools) = self.pools.try_borrow_mut()
            && let Some(pool) = pools.get_mut(&self.key)
        {
            pool.outstanding = pool.outstanding.saturating_sub(self.bytes);
        }
    }
}

struct ConnectionGuard {
    pools: Pools,
    key: PoolKey,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Ok(mut pools) = self.pools.try_borrow_mut()
            && let Some(pool) = pools.get_mut(&self.key)
        {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

type Pools = Rc<RefCell<HashMap<PoolKey, Pool>>>;

/// The connection pools of a traffic thread.
pub(crate) struct Upstream {
    executor: Rc<LocalExecutor<'static>>,
    pools: Pools,
    /// Receives the time that each connection took to establish.
    control: ControlHandle,
    clock: Clock,
    paths: Rc<RefCell<BackEndPaths>>,
    tunnels: Rc<TunnelClient>,
    /// Whether any back end has sent bytes since the last check of paths.
    received: ReceivedFlag,
    /// Since when responses have been outstanding without a byte from any back end.
    silent_since: Cell<Timestamp>,
    silence_checked_at: Cell<Timestamp>,
    /// Maximum outstanding body bytes per back end, if limited.
    outstanding_limit: Option<u64>,
}

/// What the checks of paths need, shared with their tasks.
#[derive(Clone)]
struct PathChecks {
    executor: Rc<LocalExecutor<'static>>,
    pools: Pools,
    paths: Rc<RefCell<BackEndPaths>>,
    tunnels: Rc<TunnelClient>,
    clock: Clock,
}

impl Upstream {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        control: ControlHandle,
        clock: Clock,
        tunnels: TunnelClient,
        outstanding_limit: Option<u64>,
    ) -> Self {
        Self {
            executor,
            tunnels: Rc::new(tunnels),
            control,
            clock,
            outstanding_limit,
            paths: Rc::default(),
            pools: Rc::default(),
            received: ReceivedFlag::default(),
            silent_since: Cell::default(),
            silence_checked_at: Cell::default(),
        }
    }

    fn path_checks(&self) -> PathChecks {
        PathChecks {
            executor: Rc::clone(&self.executor),
            pools: Rc::clone(&self.pools),
            paths: Rc::clone(&self.paths),
            tunnels: Rc::clone(&self.tunnels),
            clock: self.clock,
        }
    }

    /// How a new connection to a back end is established.
    pub fn path_to(&self, instance: &InstanceId) -> Path {
        self.paths.borrow().path_to(instance)
    }

    /// Connects to a back end for a peer. A failure raises no question to further peers, which
    /// would spread over the fleet.
    pub async fn connect_for_peer(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<TcpStream> {
        let stream = connect_stream(address).await?;
        let now = self.clock.now();
        self.path_checks().record_connected(instance, now);
        Ok(stream)
    }

    /// Whether a peer reaches a back end to which this node could not connect.
    pub async fn is_reached_by_peer(&self, address: SocketAddr, instance: &InstanceId) -> bool {
        let now = self.clock.now();
        self.paths
            .borrow_mut()
            .record_failed(instance, address, now);
        self.path_checks().ask_peer(instance, true).await
    }

    /// Checks whether broken paths work again, and direct connections while all back ends are
    /// silent.
    pub fn check_paths(&self) {
        let now = self.clock.now();
        let mut targets: Vec<PoolKey> = self.paths.borrow_mut().due_checks(now);
        targets.extend(self.silent_back_ends(now));
        for (address, instance) in targets {
            let checks = self.path_checks();
            self.spawn(async move {
                let _ = checks.connect(address, &instance).await;
            });
        }
        let paths = self.paths.borrow();
        metrics::set_path_gauges(paths.broken_count(), paths.is_cut());
    }

    /// Some back ends whose responses are outstanding, if none has sent anything for a while.
    fn silent_back_ends(&self, now: Timestamp) -> Vec<PoolKey> {
        let pools = self.pools.borrow();
        let waiting = pools
            .iter()
            .filter(|(_, pool)| pool.open as usize > pool.idle.len());
        let waiting = waiting.map(|(key, _)| key.clone());
        let waiting: Vec<PoolKey> = waiting.take(SILENCE_CHECK_BACK_ENDS).collect();
        if self.received.take() || waiting.is_empty() {
            self.silent_since.set(now);
        }
        let is_silent = now.since(self.silent_since.get()) >= SILENCE_BEFORE_CHECK;
        let is_due = now.since(self.silence_checked_at.get()) >= SILENCE_CHECK_INTERVAL;
        if !is_silent || !is_due || self.paths.borrow().is_cut() {
            return Vec::new();
        }
        self.silence_checked_at.set(now);
        waiting
    }

    /// Runs a task in the background.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.executor.spawn(work).detach();
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &self,
        grant: &Grant,
        mut request: Request<Full<Bytes>>,
        may_retry: bool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let key = (grant.address, grant.instance.clone());
        let body = self.reserve_body(&key, request.body().size_hint().lower())?;
        while let Some(mut connection) = self.take_idle(&key, may_retry).await {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.body = Some(body);
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Incomplete(error.into_error())),
                },
            }
        }
        let mut connection = self.connect(key, grant.connections).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.body = Some(body);
                Ok((response, connection))
            }
            Err(error) => Err(SendError::Incomplete(error.into_error())),
        }
    }

    /// Counts a body as outstanding at a back end. A single body is always admitted.
    fn reserve_body(&self, key: &PoolKey, bytes: u64) -> Result<OutstandingBody, SendError> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(key.clone()).or_default();
        let total = pool.outstanding + bytes;
        let exceeds_limit = self.outstanding_limit.is_some_and(|limit| total > limit);
        if exceeds_limit && bytes > 0 && pool.outstanding > 0 {
            return Err(SendError::BodyLimit);
        }
        pool.outstanding = total;
        Ok(OutstandingBody {
            pools: Rc::clone(&self.pools),
            key: key.clone(),
            bytes,
        })
    }

    async fn take_idle(&self, key: &PoolKey, may_retry: bool) -> Option<Connection> {
        let maximum_idle = if may_retry {
            MAXIMUM_IDLE
        } else {
            MAXIMUM_IDLE_NOT_RETRYABLE
        };
        loop {
            let idle = self.pools.borrow_mut().get_mut(key)?.idle.pop()?;
            let is_fresh = idle.age() < idle.idle_limit.min(maximum_idle);
            if is_fresh && is_ready(&idle.connection).await && is_open(&idle.connection) {
                return Some(idle.connection);
            }
        }
    }

    async fn connect(&self, key: PoolKey, limit: u32) -> Result<Connection, SendError> {
        let guard = self.reserve_connection(&key, limit)?;
        let (stream, is_tunnel) = self.establish(&key).await?;
        let socket = stream.clone().into();
        let stream = ObservedStream::new(stream, self.received.clone());
        let handshake = http1::Builder::new()
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(SendError::Incomplete)?;
        let driver = self.executor.spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("a connection to a back end ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            is_tunnel,
            socket,
            _driver: driver,
            _guard: guard,
            body: None,
            key,
        })
    }

    /// Connects to a back end; returns whether through a peer.
    async fn establish(&self, key: &PoolKey) -> Result<(TcpStream, bool), SendError> {
        let (address, instance) = key;
        if self.path_to(instance) == Path::Direct {
            let started = Instant::now();
            match self.path_checks().connect(*address, instance).await {
                Ok(stream) => {
                    let round_trip = Span::from_seconds(started.elapsed().as_secs_f64());
                    self.control.record_round_trip(instance.clone(), round_trip);
                    return Ok((stream, false));
                }
                // Another connection's failure may have shown meanwhile that the path is broken.
                Err(error) if self.path_to(instance) == Path::Direct => {
                    return Err(SendError::Unreachable(error));
                }
                Err(_) => {}
            }
        }
        match self.tunnels.open(instance).await {
            Ok(stream) => {
                let now = self.clock.now();
                let mut paths = self.paths.borrow_mut();
                paths.record_reached_by_peer(instance, now);
                Ok((stream, true))
            }
            Err(error) => {
                let error = std::io::Error::new(ErrorKind::HostUnreachable, error.to_string());
                Err(SendError::Unreachable(error))
            }
        }
    }

    fn reserve_connection(&self, key: &PoolKey, limit: u32) -> Result<ConnectionGuard, SendError> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(key.clone()).or_default();
        if pool.open >= limit {
            return Err(SendError::ConnectionLimit);
        }
        pool.open += 1;
        Ok(ConnectionGuard {
            pools: Rc::clone(&self.pools),
            key: key.clone(),
        })
    }

    /// Returns a connection to its pool after its response was read completely.
    pub fn return_connection(&self, mut connection: Connection, headers: &HeaderMap) {
        connection.body = None;
        if connection.is_tunnel {
            return;
        }
        let Some(idle_limit) = allowed_idle(headers) else {
            return;
        };
        let idle = IdleConnection {
            idle_since: boot_time(),
            idle_limit,
            connection,
        };
        let key = idle.connection.key.clone();
        self.pools
            .borrow_mut()
            .entry(key)
            .or_default()
            .idle
            .push(idle);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&self) {
        let mut closed = Vec::new();
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            let (expired, kept): (Vec<IdleConnection>, Vec<IdleConnection>) =
                std::mem::take(&mut pool.idle)
                    .into_iter()
                    .partition(|idle| {
                        idle.age() >= idle.idle_limit || !idle.connection.sender.is_ready()
                    });
            pool.idle = kept;
            closed.extend(expired);
        }
        drop(pools);
        drop(closed);
        self.pools
            .borrow_mut()
            .retain(|_, pool| pool.open > 0 || pool.outstanding > 0 || !pool.idle.is_empty());
    }
}

impl PathChecks {
    /// Connects to a back end from this node. After a failure, a peer is asked in the background
    /// whether it reaches the back end.
    async fn connect(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<TcpStream> {
        let result = connect_stream(address).await;
        let now = self.clock.now();
        match &result {
            Ok(_) => self.record_connected(instance, now),
            Err(error) => {
                let is_question_due = self
                    .paths
                    .borrow_mut()
                    .record_failed(instance, address, now);
                if is_question_due {
                    let is_refusal = error.kind() == ErrorKind::ConnectionRefused;
                    self.start_question(instance.clone(), is_refusal).await;
                }
            }
        }
        result
    }

    /// Asks a peer in the background. After a refusal, which took no time, waits shortly for the
    /// reply: all attempts of a request could be refused before it.
    async fn start_question(&self, instance: InstanceId, is_refusal: bool) {
        let (sender, reply) = async_channel::bounded::<()>(1);
        let checks = self.clone();
        self.executor
            .spawn(async move {
                checks.ask_peer(&instance, is_refusal).await;
                drop(sender);
            })
            .detach();
        if is_refusal {
            let timeout = async {
                Timer::after(REPLY_WAIT).await;
            };
            let replied = async {
                let _ = reply.recv().await;
            };
            replied.or(timeout).await;
        }
    }

    fn record_connected(&self, instance: &InstanceId, now: Timestamp) {
        let mut paths = self.paths.borrow_mut();
        let broken_before = paths.broken_count();
        paths.record_connected(instance, now);
        if paths.broken_count() < broken_before {
            events::paths_restored(instance, paths.broken_count());
        }
    }

    /// Asks a peer whether it reaches a back end.
    async fn ask_peer(&self, instance: &InstanceId, is_refusal: bool) -> bool {
        if self.tunnels.open(instance).await.is_err() {
            return false;
        }
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        if paths.record_reached_by_peer(instance, now) {
            let is_cut = paths.is_cut();
            events::path_broken(instance, is_cut);
            if !is_refusal {
                self.close_idle_connections(instance, is_cut);
            }
        }
        true
    }

    /// Closes idle connections whose path is broken: requests sent on them would get no response.
    fn close_idle_connections(&self, instance: &InstanceId, is_cut: bool) {
        let mut pools = self.pools.borrow_mut();
        let broken = pools
            .iter_mut()
            .filter(|((_, other), _)| is_cut || other == instance);
        let closed: Vec<IdleConnection> = broken
            .flat_map(|(_, pool)| std::mem::take(&mut pool.idle))
            .collect();
        // Dropping a connection accesses the pools.
        drop(pools);
        drop(closed);
    }
}

/// Whether a connection can take a request: its driver may have to be polled once to notice that
/// the last response is complete.
async fn is_ready(connection: &Connection) -> bool {
    if !connection.sender.is_ready() && !connection.sender.is_closed() {
        yield_now().await;
    }
    connection.sender.is_ready()
}

/// Whether the back end has left an idle connection open and sent nothing on it. The driver may not
/// have noticed yet that it was closed: a request sent then is lost, and one that may not be
/// retried fails. Beside twelve busy processes 7 of 40 runs of
/// `an_answer_before_the_whole_body_was_read_spoils_no_later_request` lost a request that way.
fn is_open(connection: &Connection) -> bool {
    let peeked = connection.socket.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// How long a connection may stay idle; `None` if it may not be reused.
fn allowed_idle(headers: &HeaderMap) -> Option<Duration> {
    let mut connection = headers.get_all(http::header::CONNECTION).iter();
    let closes = connection.any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        return None;
    }
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|value| {
        let mut fields = value.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout=")?.parse::<f64>().ok())
    });
    let limit = seconds.map_or(MAXIMUM_IDLE, |seconds| {
        Duration::from_secs_f64(seconds.max(0.0) * IDLE_FRACTION)
    });
    Some(limit.min(MAXIMUM_IDLE))
}

/// Result of opening a new connection to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionCheck {
    /// Established: the back end is serving.
    Listening,
    /// Refused: the machine is up, the process is not.
    Refused,
    /// No response in time.
    TimedOut,
}

impl ConnectionCheck {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ConnectionCheck::Listening => "listening",
            ConnectionCheck::Refused => "refused",
            ConnectionCheck::TimedOut => "silent",
        }
    }
}

/// Opens a connection to a back end and closes it again.
pub(crate) async fn check_connection(address: SocketAddr) -> ConnectionCheck {
    match connect_stream(address).await {
        Ok(_) => ConnectionCheck::Listening,
        Err(error) if error.kind() == ErrorKind::TimedOut => ConnectionCheck::TimedOut,
        Err(_) => ConnectionCheck::Refused,
    }
}

async fn connect_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = Async::<std::net::TcpStream>::connect(address)
        .or(timeout)
        .await?;
    let socket = socket2::SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(TcpStream::from(stream))
}
