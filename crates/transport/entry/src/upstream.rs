//! HTTP calls to back ends and the platform.

use eiderferry_types::Verdict;
use futures_lite::future;
use quick_error::quick_error;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Body, Client, ResponseBody};
use trillium_http::{Method, Status};
use trillium_server_common::{Connector, Destination, url::Url};
use trillium_smol::{ClientConfig, SmolRuntime, SmolTransport};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Text that marks an I/O error as having occurred before any byte was sent.
const NOT_CONNECTED_MARKER: &str = "no connection was made";

quick_error! {
    /// Error of a call to a back end or the platform.
    #[derive(Debug)]
    pub enum UpstreamError {
        /// No connection was established, so no byte was sent.
        NotConnected(cause: String) {
            display("can't connect: {cause}")
        }
        /// The connection broke, or the stream ended early, after bytes may have been sent.
        ConnectionBroken(cause: String) {
            display("the connection broke: {cause}")
        }
        /// No response within the timeout.
        Timeout {
            display("no response within the timeout")
        }
        /// The response has an error status.
        Status(status: u16) {
            display("response with status {status}")
        }
        /// The response is too long, malformed, or belongs to another request.
        MalformedResponse(cause: String) {
            display("malformed response: {cause}")
        }
    }
}

impl UpstreamError {
    /// Whether the call may have been executed.
    pub fn verdict(&self) -> Verdict {
        match self {
            UpstreamError::NotConnected(_) => Verdict::NotRun,
            // Engines and services return these before they start to process a request.
            UpstreamError::Status(429 | 503) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Connects over TCP, and marks errors of connecting, so that they can be distinguished from
/// errors after bytes were sent.
#[derive(Clone, Copy, Debug)]
struct MarkingConnector(ClientConfig);

impl Connector for MarkingConnector {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<smol::net::TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let connect = async {
            self.0
                .connect_to(destination)
                .await
                .map_err(mark_not_connected)
        };
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(mark_not_connected(io::ErrorKind::TimedOut.into()))
        };
        future::or(connect, timeout).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.0.resolve(host, port).await
    }

    fn runtime(&self) -> SmolRuntime {
        self.0.runtime()
    }
}

fn mark_not_connected(cause: io::Error) -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionRefused,
        format!("{NOT_CONNECTED_MARKER}: {cause}"),
    )
}

fn classify_error(error: &trillium_client::Error) -> UpstreamError {
    let text = error.to_string();
    if text.contains(NOT_CONNECTED_MARKER) {
        return UpstreamError::NotConnected(text);
    }
    UpstreamError::ConnectionBroken(text)
}

/// Status and headers of a response, and its unread body.
pub(crate) struct UpstreamResponse {
    pub status: u16,
    pub content_type: Option<String>,
    pub request_id: Option<String>,
    pub body: ResponseBody<'static>,
}

/// HTTP client that opens a new connection for each call. A reused connection may turn out to be
/// broken only after bytes were sent, and closing a call's connection cancels its work.
#[derive(Clone)]
pub(crate) struct Upstream {
    client: Client,
}

impl Upstream {
    pub fn new() -> Self {
        let connector = MarkingConnector(ClientConfig::new().with_nodelay(true));
        Self {
            client: Client::new(connector).without_keepalive(),
        }
    }

    /// Whether a call failed because its back end crashed: the connection broke, and the back end
    /// accepts no new one.
    pub async fn has_crashed(&self, address: SocketAddr, error: &UpstreamError) -> bool {
        if !matches!(error, UpstreamError::ConnectionBroken(_)) {
            return false;
        }
        let connect = async {
            let stream = TcpStream::connect(address).await;
            stream.map_err(|error| UpstreamError::NotConnected(error.to_string()))
        };
        with_timeout(CONNECT_TIMEOUT, connect).await.is_err()
    }

    /// Sends a request and waits for the status and headers of the response.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(String, String)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let url = format!("http://{address}{path}");
        let mut conn = self.client.build_conn(method, url.as_str());
        for (name, value) in headers {
            conn = conn.with_request_header(name.clone(), value.clone());
        }
        if !body.is_empty() {
            conn = conn.with_body(Body::from(body));
        }
        let send = async { conn.await.map_err(|error| classify_error(&error)) };
        let mut conn = with_timeout(timeout, send).await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let header = |name: &str| {
            let headers = conn.response_headers();
            headers.get_str(name).map(str::to_owned)
        };
        let content_type = header("content-type");
        let request_id = header("x-request-id");
        let body = conn
            .take_response_body()
            .ok_or_else(|| UpstreamError::MalformedResponse("no body".into()))?;
        Ok(UpstreamResponse {
            status,
            content_type,
            request_id,
            body,
        })
    }

    /// Fetches a text; `None` if the response says that it has not been modified.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        maximum_bytes: usize,
        timeout: Duration,
    ) -> Result<Option<String>, UpstreamError> {
        let read = async {
            let response = self
                .call(Method::Get, address, path, &[], Vec::new(), timeout)
                .await?;
            if response.status == Status::NotModified as u16 {
                return Ok(None);
            }
            if response.status != Status::Ok as u16 {
                return Err(UpstreamError::Status(response.status));
            }
            let body = response.body.with_max_len(maximum_bytes as u64);
            let text = body
                .read_string()
                .await
                .map_err(|error| UpstreamError::MalformedResponse(error.to_string()))?;
            Ok(Some(text))
        };
        with_timeout(timeout, read).await
    }
}

/// Runs `operation`; fails with [`UpstreamError::Timeout`] after `timeout`.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Result<T, UpstreamError>>,
) -> Result<T, UpstreamError> {
    let expire = async {
        smol::Timer::after(timeout).await;
        Err(UpstreamError::Timeout)
    };
    future::or(operation, expire).await
}
