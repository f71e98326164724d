//! Follows the prompt caches of engines: makes the calls that the dispatcher requests and passes
//! the responses to it. The format of the calls is defined by a [`CacheProtocol`].

use crate::control::Control;
use crate::events;
use crate::header_names::HeaderNames;
use crate::notice::Notice;
use crate::upstream::MAX_RESPONSE_HEAD_BYTES;
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

/// Timeout for a response, in addition to the time that the engine may hold the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum body of a response; 1,900 cached parts take about 80 kB.
const MAXIMUM_RESPONSE_BYTES: usize = 512 * 1024;

quick_error! {
    /// A response that does not have the expected format.
    #[derive(Debug)]
    pub enum MalformedResponse {
        /// A field has an invalid value.
        Field(field: &'static str, found: String) {
            display("{field}: {found}")
        }
    }
}

impl MalformedResponse {
    /// An error for a field and its value, which is truncated.
    pub fn new(field: &'static str, value: &str) -> Self {
        const MAXIMUM_CHARACTERS: usize = 100;
        Self::Field(field, value.chars().take(MAXIMUM_CHARACTERS).collect())
    }
}

quick_error! {
    /// Why a call failed.
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
            display("reading the response failed: {cause}")
        }
        TimedOut {
            display("no response in time")
        }
    }
}

impl CallError {
    /// A response that is too large counts as malformed.
    fn response(&self) -> CacheResponse {
        match self {
            Self::Body(cause) if cause.is::<LengthLimitError>() => CacheResponse::Malformed,
            _ => CacheResponse::Failed,
        }
    }
}

/// How engines are asked for the prompt parts that they have cached; supplied by an adapter.
#[derive(Clone, Debug)]
pub struct CacheProtocol {
    /// Path of the events after a given number.
    pub events_path: fn(u64) -> String,
    /// Path of the listing of all cached parts.
    pub listing_path: &'static str,
    /// Header with the time in milliseconds for which the engine may hold the call.
    pub wait_header: HeaderName,
    /// Parses a response with events.
    pub read_events: fn(&[u8]) -> Result<CacheEvents, MalformedResponse>,
    /// Parses a listing.
    pub read_listing: fn(&[u8]) -> Result<CacheListing, MalformedResponse>,
}

struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _driver: Task<()>,
}

/// An engine's response to a call.
struct EngineResponse {
    status: StatusCode,
    /// What its head states about the engine.
    notice: Notice,
    body: Bytes,
}

/// Makes this node's calls to engines.
pub(crate) struct CacheFollower {
    protocol: CacheProtocol,
    header_names: HeaderNames,
    executor: Rc<LocalExecutor<'static>>,
    /// An idle connection to each followed engine.
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

    /// Starts the calls that are due.
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
                Request::get(path).header(&self.protocol.wait_header, wait.milliseconds())
            }
        };
        request.header(http::header::HOST, host).body(Empty::new())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await?;
        let driver = self.executor.spawn(async move {
            // The call in progress sees the failure itself.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }
}

/// The connection once it is ready for another call; `None` if it can't be used.
async fn ready_connection(connection: Option<Connection>) -> Option<Connection> {
    let mut connection = connection?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}
