//! Callers' connections, and the readiness and metrics endpoints.

use crate::attempts;
use crate::caller_connection::{CallerConnection, MAX_HEADER_LINES};
use crate::caller_limit::CallerConnections;
use crate::caller_socket::{CallerSocket, SendState, TrackedBody};
use crate::exchange::Traffic;
use crate::metrics;
use crate::progress::{NOT_RUN_IN_SHUTDOWN, Progress};
use crate::read_ahead::{CallerStream, CurrentStream, ReadAhead, poll_read_ahead};
use crate::request_memory::RequestMemory;
use crate::response_body::RelayBody;
use futures_lite::FutureExt;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Idle timeout of connections to the readiness and metrics endpoints.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Phase of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No shutdown in progress.
    Serving,
    /// Reported as not ready; all requests are still served.
    NotReady,
    /// New requests are refused and idle connections closed.
    Refusing,
}

/// State shared by all connections.
pub(crate) struct Server {
    pub traffic: Rc<Traffic>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub phase: Rc<Cell<Phase>>,
    pub callers: CallerConnections,
    pub open_requests: Cell<u32>,
    /// Tunnels that this node provides to peers.
    pub open_tunnels: Cell<u32>,
    /// Closed when connections have to shut down gracefully.
    pub close_connections: async_channel::Receiver<Infallible>,
    /// Closed when this node has to reply to requests that have no response yet.
    pub force_stop: async_channel::Receiver<Infallible>,
}

/// Counts work that a planned shutdown waits for.
pub(crate) struct OpenRequest {
    server: Rc<Server>,
}

impl OpenRequest {
    pub fn new(server: Rc<Server>) -> Self {
        server.open_requests.set(server.open_requests.get() + 1);
        Self { server }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.server.open_requests;
        open.set(open.get().saturating_sub(1));
    }
}

impl Server {
    /// Accepts callers; never returns.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = Rc::clone(&self);
                    self.executor
                        .spawn(async move { server.serve_connection(stream).await })
                        .detach();
                }
                Err(error) => {
                    log::warn!("accepting a caller's connection failed: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let traffic = &self.traffic;
        let caller = CallerConnection::new(traffic.table.clone(), traffic.clock, &traffic.memory);
        if !self.callers.add(&caller) {
            metrics::caller_evicted();
            return;
        }
        let server = Rc::clone(&self);
        let current: Rc<CurrentStream> = Rc::default();
        let service_stream = Rc::clone(&current);
        let send_state = Rc::<SendState>::default();
        let socket = CallerSocket::new(stream, Rc::clone(&caller), Rc::clone(&send_state));
        let service_state = Rc::clone(&send_state);
        let service_caller = Rc::clone(&caller);
        let service = service_fn(move |request| {
            let (server, stream) = (Rc::clone(&server), Rc::clone(&service_stream));
            let state = Rc::clone(&service_state);
            let caller = Rc::clone(&service_caller);
            async move {
                caller.begin_request();
                let (mut response, open) = server.serve_request(request, &stream).await;
                if caller.must_close() {
                    response = with_connection_close(response);
                }
                Ok::<_, Infallible>(
                    response.map(|body| TrackedBody::new(body, open, caller, state)),
                )
            }
        });
        let connection = http1::Builder::new()
            // The timeout of `CallerConnection` follows the configuration.
            .header_read_timeout(None)
            .max_buf_size(caller.head_buffer_bytes)
            .max_headers(MAX_HEADER_LINES)
            .auto_date_header(false)
            .serve_connection(socket, service);
        let mut connection = std::pin::pin!(connection);
        let is_refusing = self.phase.get() == Phase::Refusing;
        let close_requested = async {
            if is_refusing || self.close_connections.recv().await.is_ok() {
                // A connection opened this late is closed with its first response.
                std::future::pending::<()>().await;
            }
            false
        };
        let serving = drive_connection(connection.as_mut(), &current, &send_state);
        let served = async {
            serving.or(caller.wait_for_end_of_waiting()).await;
            true
        };
        if !served.or(close_requested).await {
            connection.as_mut().graceful_shutdown();
            drive_connection(connection, &current, &send_state)
                .or(caller.wait_for_end_of_waiting())
                .await;
        }
    }

    async fn serve_request(
        self: Rc<Self>,
        request: Request<Incoming>,
        current: &CurrentStream,
    ) -> (Response<RelayBody>, Option<OpenRequest>) {
        if self.phase.get() == Phase::Refusing {
            let refusal = with_connection_close(NOT_RUN_IN_SHUTDOWN.response());
            return (refusal, None);
        }
        let open = OpenRequest::new(Rc::clone(&self));
        let memory = RequestMemory::new(Rc::clone(&self.traffic.memory));
        let progress = Progress::new(Rc::clone(&self.phase), Rc::clone(&memory));
        let shutdown = async {
            let _ = self.force_stop.recv().await;
            progress.shutdown_reply().response()
        };
        let traffic = Rc::clone(&self.traffic);
        let response = attempts::serve(traffic, request, progress.clone())
            .or(shutdown)
            .await;
        let response = response.map(|body| match body {
            RelayBody::Stream(chunks) if memory.shared.budget.is_bounded() => {
                let stream = ReadAhead::new(chunks, memory);
                current.replace(Rc::downgrade(&stream));
                RelayBody::Stream(Box::pin(CallerStream(stream)))
            }
            body => body,
        });
        let response = if self.phase.get() == Phase::Serving {
            response
        } else {
            with_connection_close(response)
        };
        (response, Some(open))
    }

    /// Serves the readiness endpoint; never returns.
    pub async fn serve_readiness(self: Rc<Self>, listener: TcpListener, path: String) {
        let path: Rc<str> = Rc::from(path);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let server = Rc::clone(&self);
            let path = Rc::clone(&path);
            let service = service_fn(move |request: Request<Incoming>| {
                let status = server.readiness(request.uri().path() == &*path);
                async move { Ok::<_, Infallible>(empty_response(status)) }
            });
            self.spawn_http_service(stream, service);
        }
    }

    fn readiness(&self, is_known_path: bool) -> StatusCode {
        let has_table = self.traffic.table.load().is_some();
        match (is_known_path, has_table, self.phase.get()) {
            (false, _, _) => StatusCode::NOT_FOUND,
            (true, true, Phase::Serving) => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Serves the metrics endpoint; never returns.
    pub async fn serve_metrics(self: Rc<Self>, listener: TcpListener, handle: PrometheusHandle) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let handle = handle.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let text = handle.render();
                async move { Ok::<_, Infallible>(Response::new(RelayBody::from(text))) }
            });
            self.spawn_http_service(stream, service);
        }
    }

    fn spawn_http_service<S>(&self, stream: TcpStream, service: S)
    where
        S: hyper::service::Service<
                Request<Incoming>,
                Response = Response<RelayBody>,
                Error = Infallible,
            > + 'static,
    {
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(ENDPOINT_IDLE_TIMEOUT)
            .serve_connection(FuturesIo::new(stream), service);
        self.executor
            .spawn(async move {
                let _ = connection.await;
            })
            .detach();
    }
}

fn empty_response(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::from(String::new()));
    *response.status_mut() = status;
    response
}

fn with_connection_close(mut response: Response<RelayBody>) -> Response<RelayBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Serves a connection to its end. The connection is polled first, so that only events that it did
/// not take are read ahead.
async fn drive_connection(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    current: &CurrentStream,
    send_state: &SendState,
) {
    poll_fn(|context| match connection.as_mut().poll(context) {
        Poll::Ready(_) => Poll::Ready(()),
        Poll::Pending => {
            if send_state.needs_wakeup() {
                context.waker().wake_by_ref();
            }
            poll_read_ahead(current, context)
        }
    })
    .await;
}
