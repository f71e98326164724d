//! Emulation of a plain HTTP service that counts how often each request was executed.

use crate::http::{Server, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::{Conn, Handler, Status};

/// Number of executions by request body.
type Executions = Arc<Mutex<BTreeMap<String, u32>>>;

/// Handle of a running service.
pub struct ServiceServer {
    server: Server,
    executions: Executions,
}

impl ServiceServer {
    /// Starts a service that takes `duration` to execute a call.
    pub fn start(address: SocketAddr, duration: Duration) -> std::io::Result<Self> {
        let executions = Executions::default();
        let handler = ServiceHandler {
            duration,
            executions: executions.clone(),
        };
        let server = Server::start(address, handler)?;
        Ok(Self { server, executions })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the number of executions by request body.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Starts a graceful shutdown; new connections are no longer accepted.
    pub fn stop(&self) {
        self.server.stop();
    }
}

struct ServiceHandler {
    duration: Duration,
    executions: Executions,
}

impl Handler for ServiceHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        let Ok(body) = conn.request_body_string().await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        let request_id = conn
            .request_headers()
            .get_str("x-request-id")
            .map(str::to_owned);
        let executions = {
            let mut counts = self
                .executions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let count = counts.entry(body).or_default();
            *count += 1;
            *count
        };
        smol::Timer::after(self.duration).await;
        let path = conn.path().to_owned();
        let document = serde_json::json!({ "path": path, "executions": executions });
        let mut conn = json(conn, &document);
        if let Some(request_id) = request_id {
            conn.insert_response_header("x-request-id", request_id);
        }
        conn
    }
}
