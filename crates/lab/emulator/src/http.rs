//! Helpers shared by the emulated HTTP servers.

use std::net::{SocketAddr, TcpListener};
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_smol::SmolRuntime;

/// A running HTTP server.
pub(crate) struct Server {
    pub address: SocketAddr,
    handle: trillium_http::Swansong,
}

impl Server {
    /// Binds `address` and serves `handler` on it.
    pub fn start(address: SocketAddr, handler: impl Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let listener = smol::net::TcpListener::try_from(listener)?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn(handler);
        Ok(Self {
            address,
            handle: handle.swansong(),
        })
    }

    /// Starts a graceful shutdown; new connections are no longer accepted.
    pub fn stop(&self) {
        drop(self.handle.shut_down());
    }
}

/// Spawns a task on the servers' runtime.
pub(crate) fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    drop(SmolRuntime::default().spawn(task));
}

/// Responds with a JSON document.
pub(crate) fn json(conn: Conn, document: &impl serde::Serialize) -> Conn {
    match serde_json::to_string(document) {
        Ok(text) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(text),
        Err(error) => conn
            .with_status(Status::InternalServerError)
            .with_body(error.to_string())
            .halt(),
    }
}

/// Returns the numeric query parameter `name`, or 0 if it is missing or invalid.
pub(crate) fn query_number(conn: &Conn, name: &str) -> u64 {
    let pairs = conn.querystring().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
