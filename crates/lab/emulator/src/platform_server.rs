//! Emulation of the platform's read-only service; the served documents can be changed.

use crate::http::{Server, query_number};
use eiderferry_config::{Configuration, Directory, Versioned, pack_directory_version};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use trillium::{Conn, Handler, Status};

/// Documents that the platform serves, and its availability.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// Text of the published configuration.
    pub configuration: String,
    /// Version of the configuration.
    pub configuration_version: u64,
    /// Directory of entry nodes and back ends.
    pub directory: Directory,
    /// Whether every call is answered with 503 Service Unavailable.
    pub down: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<PlatformState>,
    calls: AtomicU64,
}

/// Handle of a running platform service.
pub struct PlatformServer {
    server: Server,
    shared: Arc<Shared>,
}

impl PlatformServer {
    /// Starts a platform service that serves these documents.
    pub fn start(
        address: SocketAddr,
        configuration: &str,
        directory: Directory,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(address, PlatformHandler(shared.clone()))?;
        let platform = Self { server, shared };
        platform.publish(configuration);
        platform.update(|state| state.directory = directory);
        Ok(platform)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Number of calls received since the start.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Serves another configuration. The text may be invalid; the router has to detect that.
    pub fn publish(&self, text: &str) {
        let version = Configuration::from_yaml("configuration", text).map_or_else(
            |_| self.version() + 1,
            |configuration| configuration.version,
        );
        self.update(|state| {
            state.configuration = text.to_owned();
            state.configuration_version = version;
        });
    }

    fn version(&self) -> u64 {
        self.lock().configuration_version
    }

    /// Changes the served documents or the availability.
    pub fn update(&self, update: impl FnOnce(&mut PlatformState)) {
        update(&mut self.lock());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

struct PlatformHandler(Arc<Shared>);

impl Handler for PlatformHandler {
    async fn run(&self, conn: Conn) -> Conn {
        self.0.calls.fetch_add(1, Ordering::Relaxed);
        let mut known_version = query_number(&conn, "after");
        let state = self
            .0
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if state.down {
            return conn.with_status(Status::ServiceUnavailable).halt();
        }
        let (version, body) = match conn.path() {
            "/configuration" => (state.configuration_version, Some(state.configuration)),
            "/directory" => {
                let text = serde_json::to_string(&state.directory).ok();
                let epoch = query_number(&conn, "epoch") as u16;
                known_version = pack_directory_version(epoch, known_version);
                (state.directory.version(), text)
            }
            _ => return conn.with_status(Status::NotFound).halt(),
        };
        match body {
            Some(body) if version > known_version => conn.ok(body),
            Some(_) => conn.with_status(Status::NotModified).halt(),
            None => conn.with_status(Status::InternalServerError).halt(),
        }
    }
}
