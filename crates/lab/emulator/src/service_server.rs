//! A plain service that counts how often each request was executed.

use crate::http::{Server, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::{Conn, Handler, Status};

/// Executions by the text of the request's body.
type Executions = Arc<Mutex<BTreeMap<String, u32>>>;

/// A running service.
pub struct ServiceServer {
    server: Server,
    executions: Executions,
}

impl ServiceServer {
    /// Starts a service that takes `duration` for each call.
    pub fn start(address: SocketAddr, duration: Duration) -> std::io::Result<Self> {
        let executions = Executions::default();
        let handler = ServiceHandler {
            duration,
            executions: executions.clone(),
        };
        let server = Server::start(address, handler)?;
        Ok(Self { server, executions })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Executions by the text of the request's body.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes no new connections.
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
