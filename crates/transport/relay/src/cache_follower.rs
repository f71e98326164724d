//! Follows what engines tell of their caches: carries the dispatcher's calls out and hands
//! it the answers. What the calls look like is told by a [`CacheProtocol`].

use crate::control::Control;
use crate::events;
use crate::header_names::HeaderNames;
use crate::notice::Notice;
use bytes::Bytes;
use eiderferry_clock::duration;
use eiderferry_dispatch::{CacheCall, CacheEvents, CacheListing, CacheResponse, DueCacheCall};
use eiderferry_routing::InstanceId;
use eiderferry_types::Span;
use futures_lite::FutureExt;
use http::{HeaderName, Request, StatusCode};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use quick_error::quick_error;
use smol::net::TcpStream;
use smol::{LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for an answer beyond the time that the engine is asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest answer read; an engine's 1,900 parts take some 80 kB.
const MOST_BYTES: usize = 512 * 1024;

quick_error! {
    /// An answer whose shape is not the known one.
    #[derive(Debug)]
    pub enum MalformedResponse {
        /// A field makes no sense.
        Field(field: &'static str, found: String) {
            display("{field}: {found}")
        }
    }
}

impl MalformedResponse {
    /// The field and what was found there.
    pub fn new(field: &'static str, found: &str) -> Self {
        const MOST_CHARACTERS: usize = 100;
        Self::Field(field, found.chars().take(MOST_CHARACTERS).collect())
    }
}

quick_error! {
    /// Why a call gave nothing.
    #[derive(Debug)]
    enum CallError {
        Connect(cause: std::io::Error) {
            from()
            display("no connection: {cause}")
        }
        Call(cause: hyper::Error) {
            from()
            display("the call failed: {cause}")
        }
        Request(cause: http::Error) {
            from()
            display("the call is malformed: {cause}")
        }
        Body(cause: Box<dyn std::error::Error + Send + Sync>) {
            from()
            display("the answer was not read: {cause}")
        }
        TimedOut {
            display("no answer in time")
        }
    }
}

impl CallError {
    /// An answer that is too large has no known shape.
    fn answer(&self) -> CacheResponse {
        match self {
            Self::Body(cause) if cause.is::<LengthLimitError>() => CacheResponse::Malformed,
            _ => CacheResponse::Failed,
        }
    }
}

/// How engines are asked for what they keep; an adapter supplies it.
#[derive(Clone, Debug)]
pub struct CacheProtocol {
    /// Path of the events from a number on.
    pub events_path: fn(u64) -> String,
    /// Path of all that is kept.
    pub listing_path: &'static str,
    /// Milliseconds for which an engine may hold a call.
    pub wait: HeaderName,
    /// Reads an answer with events.
    pub read_events: fn(&[u8]) -> Result<CacheEvents, MalformedResponse>,
    /// Reads a listing.
    pub read_listing: fn(&[u8]) -> Result<CacheListing, MalformedResponse>,
}

struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _driver: Task<()>,
}

/// An engine's answer to a call.
struct Reply {
    status: StatusCode,
    /// What its head says of the engine.
    notice: Notice,
    body: Bytes,
}

/// Carries out the calls of this node.
pub(crate) struct CacheFollower {
    protocol: CacheProtocol,
    header_names: HeaderNames,
    executor: Rc<LocalExecutor<'static>>,
    /// One connection to each engine that is followed.
    resting: RefCell<HashMap<InstanceId, Connection>>,
}

impl CacheFollower {
    pub fn new(
        protocol: CacheProtocol,
        header_names: HeaderNames,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self {
            protocol,
            header_names,
            executor,
            resting: RefCell::default(),
        }
    }

    /// Begins the calls that are due.
    pub fn begin_calls(self: &Rc<Self>, control: &Rc<Control>) {
        let now = control.clock.now();
        let orders = control.dispatcher.borrow_mut().cache_calls(now);
        {
            let dispatcher = control.dispatcher.borrow();
            let mut resting = self.resting.borrow_mut();
            resting.retain(|instance, _| dispatcher.follows_cache(instance));
        }
        for order in orders {
            let (follower, control) = (Rc::clone(self), Rc::clone(control));
            let call = async move { follower.carry_out(order, &control).await };
            self.executor.spawn(call).detach();
        }
    }

    async fn carry_out(&self, order: DueCacheCall, control: &Control) {
        let reply = self.reply(&order).await;
        let now = control.clock.now();
        if let Ok(reply) = &reply {
            control.apply_call_notice(&order, reply.notice, now);
        }
        let answer = self.answer(&order, reply);
        let news =
            control
                .dispatcher
                .borrow_mut()
                .handle_cache_response(&order.instance, answer, now);
        if let Some(news) = news {
            events::cache_updated(&order.instance, &news);
        }
    }

    async fn reply(&self, order: &DueCacheCall) -> Result<Reply, CallError> {
        let wait = match order.call {
            CacheCall::List => Span::ZERO,
            CacheCall::Events { wait, .. } => wait,
        };
        let timeout = async {
            Timer::after(duration(wait) + ANSWER_TIMEOUT).await;
            Err(CallError::TimedOut)
        };
        self.exchange(order).or(timeout).await
    }

    fn answer(&self, order: &DueCacheCall, reply: Result<Reply, CallError>) -> CacheResponse {
        match reply {
            Ok(reply) => match reply.status {
                StatusCode::OK => self.read(order, &reply.body),
                StatusCode::TOO_MANY_REQUESTS => CacheResponse::Refused,
                status => {
                    events::cache_call_failed(&order.instance, status.as_str());
                    CacheResponse::Failed
                }
            },
            Err(error) => {
                events::cache_call_failed(&order.instance, &error.to_string());
                error.answer()
            }
        }
    }

    fn read(&self, order: &DueCacheCall, body: &[u8]) -> CacheResponse {
        let read = match order.call {
            CacheCall::List => (self.protocol.read_listing)(body).map(CacheResponse::Listing),
            CacheCall::Events { .. } => {
                (self.protocol.read_events)(body).map(CacheResponse::Events)
            }
        };
        read.unwrap_or_else(|error| {
            events::cache_answer_doubtful(&order.instance, &error);
            CacheResponse::Malformed
        })
    }

    async fn exchange(&self, order: &DueCacheCall) -> Result<Reply, CallError> {
        let resting = self.resting.borrow_mut().remove(&order.instance);
        let mut connection = match usable(resting).await {
            Some(connection) => connection,
            None => self.connect(order.address).await?,
        };
        let request = self.request(order)?;
        let response = connection.sender.send_request(request).await?;
        let status = response.status();
        let notice = Notice::read(&response, &self.header_names);
        let body = Limited::new(response.into_body(), MOST_BYTES);
        let body = body.collect().await?.to_bytes();
        self.resting
            .borrow_mut()
            .insert(order.instance.clone(), connection);
        Ok(Reply {
            status,
            notice,
            body,
        })
    }

    fn request(&self, order: &DueCacheCall) -> Result<Request<Empty<Bytes>>, http::Error> {
        let host = order.address.to_string();
        let request = match order.call {
            CacheCall::List => Request::get(self.protocol.listing_path),
            CacheCall::Events { after, wait } => {
                let path = (self.protocol.events_path)(after);
                Request::get(path).header(&self.protocol.wait, wait.milliseconds())
            }
        };
        request.header(http::header::HOST, host).body(Empty::new())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
        let driver = self.executor.spawn(async move {
            // The call that is under way sees the failure as its own.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }
}

/// The connection, once it is ready for another call.
async fn usable(connection: Option<Connection>) -> Option<Connection> {
    let mut connection = connection?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}
