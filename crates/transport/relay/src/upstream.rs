//! Connections to back ends.

use crate::connector::Connector;
use crate::observed_stream::{HeadLimit, ObservedStream, SilenceCheck};
use bytes::Bytes;
use eiderferry_clock::boot_time;
use eiderferry_dispatch::{ConnectionPath, Grant, Outcome};
use eiderferry_routing::InstanceId;
use futures_lite::future::yield_now;
use http::{HeaderMap, Request, Response};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use quick_error::quick_error;
use smol::net::TcpStream;
use smol::{Async, LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum idle time of a pooled connection.
const MAXIMUM_IDLE: Duration = Duration::from_secs(10);
/// Maximum idle time of a pooled connection used for a request that may not be retried: if the back
/// end closes the connection meanwhile, the response is lost.
const MAXIMUM_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(700);
/// Fraction used of the idle time that a back end allows.
const IDLE_FRACTION: f64 = 0.7;
/// Maximum head of a response in bytes, and the read buffer of a connection.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 65_536;
/// Maximum bytes of interim responses and the head after them. A read may return the whole head and
/// a part of the body.
const MAX_BYTES_BEFORE_BODY: usize = 2 * MAX_RESPONSE_HEAD_BYTES;
/// Back ends with outstanding responses to which one such check connects.
const SILENCE_CHECK_BACK_ENDS: usize = 3;

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

impl Pool {
    fn has_outstanding_response(&self) -> bool {
        self.open as usize > self.idle.len()
    }
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
    head_limit: HeadLimit,
    path: ConnectionPath,
    /// The socket that the driver task uses.
    socket: Arc<Async<std::net::TcpStream>>,
    _driver: Task<()>,
    _guard: ConnectionGuard,
    body: Option<OutstandingBody>,
    key: PoolKey,
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start(MAX_BYTES_BEFORE_BODY);
        let response = self.sender.try_send_request(request).await;
        self.head_limit.stop();
        response
    }
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
    connector: Connector,
    silence: SilenceCheck,
    /// Maximum outstanding body bytes per back end, if limited.
    outstanding_limit: Option<u64>,
}

impl Upstream {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        connector: Connector,
        outstanding_limit: Option<u64>,
    ) -> Self {
        Self {
            executor,
            connector,
            outstanding_limit,
            pools: Rc::default(),
            silence: SilenceCheck::default(),
        }
    }

    /// How a new connection to a back end is established.
    pub fn path_to(&self, instance: &InstanceId) -> ConnectionPath {
        self.connector.path_to(instance)
    }

    /// Connects to a back end for a peer.
    pub async fn connect_for_peer(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<TcpStream> {
        self.connector.connect_for_peer(address, instance).await
    }

    /// Whether a peer reaches a back end to which this node could not connect.
    pub async fn is_reached_by_peer(&self, address: SocketAddr, instance: &InstanceId) -> bool {
        self.connector.is_reached_by_peer(address, instance).await
    }

    /// Checks whether broken paths work again, and direct connections while all back ends are
    /// silent.
    pub fn check_paths(&self) {
        let now = self.connector.now();
        self.connector.check_broken_paths(now);
        let pools = self.pools.borrow();
        let mut waiting = pools
            .iter()
            .filter(|(_, pool)| pool.has_outstanding_response())
            .peekable();
        if self.silence.is_check_due(waiting.peek().is_some(), now) {
            for ((address, instance), _) in waiting.take(SILENCE_CHECK_BACK_ENDS) {
                self.connector.start_check(*address, instance.clone());
            }
        }
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
            match connection.request(request).await {
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
        match connection.request(request).await {
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
        // A request sent on a connection that hangs would get no response.
        if self.connector.hangs(&key.1) {
            return None;
        }
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
        let (stream, path) = self
            .connector
            .establish(key.0, &key.1)
            .await
            .map_err(SendError::Unreachable)?;
        let socket = stream.clone().into();
        let head_limit = HeadLimit::default();
        let stream = ObservedStream::new(stream, self.silence.received(), head_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
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
            head_limit,
            path,
            socket,
            _driver: driver,
            _guard: guard,
            body: None,
            key,
        })
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
        if connection.path == ConnectionPath::Peer {
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
