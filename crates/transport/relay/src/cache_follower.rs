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
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest answer read; an engine's 1,900 parts take some 80 kB.
const MAXIMUM_RESPONSE_BYTES: usize = 512 * 1024;

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
    pub fn new(field: &'static str, value: &str) -> Self {
        const MAXIMUM_CHARACTERS: usize = 100;
        Self::Field(field, value.chars().take(MAXIMUM_CHARACTERS).collect())
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
    fn response(&self) -> CacheResponse {
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
struct EngineResponse {
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
    idle: RefCell<HashMap<InstanceId, Connection>>,
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
            idle: RefCell::default(),
        }
    }

    /// Begins the calls that are due.
    pub fn start_calls(self: &Rc<Self>, control: &Rc<Control>) {
        let now = control.clock.now();
        let due_calls = control.dispatcher.borrow_mut().cache_calls(now);
        {
            let dispatcher = control.dispatcher.borrow();
            let mut idle = self.idle.borrow_mut();
            idle.retain(|instance, _| dispatcher.follows_cache(instance));
        }
        for due_call in due_calls {
            let (follower, control) = (Rc::clone(self), Rc::clone(control));
            let call = async move { follower.run_call(due_call, &control).await };
            self.executor.spawn(call).detach();
        }
    }

    async fn run_call(&self, due_call: DueCacheCall, control: &Control) {
        let reply = self.call_engine(&due_call).await;
        let now = control.clock.now();
        if let Ok(reply) = &reply {
            control.apply_call_notice(&due_call, reply.notice, now);
        }
        let response = self.classify_response(&due_call, reply);
        let update = control.dispatcher.borrow_mut().handle_cache_response(
            &due_call.instance,
            response,
            now,
        );
        if let Some(update) = update {
            events::cache_updated(&due_call.instance, &update);
        }
    }

    async fn call_engine(&self, due_call: &DueCacheCall) -> Result<EngineResponse, CallError> {
        let wait = match due_call.call {
            CacheCall::List => Span::ZERO,
            CacheCall::Events { wait, .. } => wait,
        };
        let timeout = async {
            Timer::after(duration(wait) + RESPONSE_TIMEOUT).await;
            Err(CallError::TimedOut)
        };
        self.send_call(due_call).or(timeout).await
    }

    fn classify_response(
        &self,
        due_call: &DueCacheCall,
        reply: Result<EngineResponse, CallError>,
    ) -> CacheResponse {
        match reply {
            Ok(reply) => match reply.status {
                StatusCode::OK => self.parse_body(due_call, &reply.body),
                StatusCode::TOO_MANY_REQUESTS => CacheResponse::Refused,
                status => {
                    events::cache_call_failed(&due_call.instance, status.as_str());
                    CacheResponse::Failed
                }
            },
            Err(error) => {
                events::cache_call_failed(&due_call.instance, &error.to_string());
                error.response()
            }
        }
    }

    fn parse_body(&self, due_call: &DueCacheCall, body: &[u8]) -> CacheResponse {
        let parsed = match due_call.call {
            CacheCall::List => (self.protocol.read_listing)(body).map(CacheResponse::Listing),
            CacheCall::Events { .. } => {
                (self.protocol.read_events)(body).map(CacheResponse::Events)
            }
        };
        parsed.unwrap_or_else(|error| {
            events::malformed_cache_response(&due_call.instance, &error);
            CacheResponse::Malformed
        })
    }

    async fn send_call(&self, due_call: &DueCacheCall) -> Result<EngineResponse, CallError> {
        let idle = self.idle.borrow_mut().remove(&due_call.instance);
        let mut connection = match ready_connection(idle).await {
            Some(connection) => connection,
            None => self.connect(due_call.address).await?,
        };
        let request = self.request(due_call)?;
        let response = connection.sender.send_request(request).await?;
        let status = response.status();
        let notice = Notice::read(&response, &self.header_names);
        let body = Limited::new(response.into_body(), MAXIMUM_RESPONSE_BYTES);
        let body = body.collect().await?.to_bytes();
        self.idle
            .borrow_mut()
            .insert(due_call.instance.clone(), connection);
        Ok(EngineResponse {
            status,
            notice,
            body,
        })
    }

    fn request(&self, due_call: &DueCacheCall) -> Result<Request<Empty<Bytes>>, http::Error> {
        let host = due_call.address.to_string();
        let request = match due_call.call {
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
async fn ready_connection(connection: Option<Connection>) -> Option<Connection> {
    let mut connection = connection?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}
