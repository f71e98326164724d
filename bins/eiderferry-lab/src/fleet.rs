//! A small fleet in one process: emulated platform and back ends, and entry nodes,
//! connected over loopback TCP and UDP.

use eiderferry_config::{
    Configuration, Directory, DirectoryEntry, EntryState, LogFormat, PeerSettings, PoolKind,
    Settings,
};
use eiderferry_emulator::{EngineServer, EngineTiming, PlatformServer, ServiceServer};
use eiderferry_entry::EntryNode;
use eiderferry_types::{BackEndId, NodeId, PoolId, ZoneId};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

/// Delay of the engines' load reports.
const REPORT_LAG: Duration = Duration::from_millis(1_000);
/// Time that an emulated service takes for a call.
const SERVICE_CALL_DURATION: Duration = Duration::from_millis(20);

/// Time limit for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Emulated platform and back ends.
pub struct Emulators {
    /// Emulated platform, which serves the configuration and the directory.
    pub platform: PlatformServer,
    /// Emulated engines by back-end id.
    pub engines: BTreeMap<BackEndId, EngineServer>,
    /// Emulated services by back-end id.
    pub services: BTreeMap<BackEndId, ServiceServer>,
}

/// Loopback address with port 0, so that the system picks a free port.
pub fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Emulators {
    /// Starts the platform, and `back_ends_per_pool` back ends for each pool in each zone.
    pub fn start(
        platform: SocketAddr,
        configuration_text: &str,
        configuration: &Configuration,
        nodes: Vec<DirectoryEntry<NodeId, ()>>,
        back_ends_per_pool: u64,
        timing: EngineTiming,
    ) -> std::io::Result<Self> {
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        let mut back_ends = Vec::new();
        let mut next_id = 1;
        for zone in &configuration.zones {
            for pool in &configuration.pools {
                for _ in 0..back_ends_per_pool {
                    let id = BackEndId(next_id);
                    next_id += 1;
                    let address = match pool.kind {
                        PoolKind::Engine => {
                            let engine = EngineServer::start(any_address(), timing, REPORT_LAG)?;
                            let address = engine.address();
                            engines.insert(id, engine);
                            address
                        }
                        PoolKind::Service => {
                            let service =
                                ServiceServer::start(any_address(), SERVICE_CALL_DURATION)?;
                            let address = service.address();
                            services.insert(id, service);
                            address
                        }
                    };
                    back_ends.push(live_back_end(id, zone.id, pool.id, address));
                }
            }
        }
        let directory = Directory {
            epoch: 0,
            version: 1,
            nodes,
            back_ends,
        };
        let platform = PlatformServer::start(platform, configuration_text, directory)?;
        Ok(Self {
            platform,
            engines,
            services,
        })
    }

    /// Total number of tokens that the engines have generated.
    pub fn generated_tokens(&self) -> u64 {
        self.engines
            .values()
            .map(EngineServer::generated_tokens)
            .sum()
    }
}

fn live_back_end(
    id: BackEndId,
    zone: ZoneId,
    pool: PoolId,
    address: SocketAddr,
) -> DirectoryEntry<BackEndId, PoolId> {
    DirectoryEntry {
        id,
        zone,
        role: pool,
        address,
        state: EntryState::Live,
    }
}

/// Identity and listen addresses of an entry node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Node id.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for peers.
    pub peer: SocketAddr,
}

impl NodeAddresses {
    /// Picks addresses whose ports are free now. They are not reserved.
    pub fn find_free(node: NodeId, zone: ZoneId) -> std::io::Result<Self> {
        let listen = TcpListener::bind(any_address())?.local_addr()?;
        Ok(Self {
            node,
            zone,
            listen,
            peer: free_peer_address()?,
        })
    }

    /// The node's entry in the directory.
    pub fn directory_entry(&self) -> DirectoryEntry<NodeId, ()> {
        DirectoryEntry {
            id: self.node,
            zone: self.zone,
            role: (),
            address: self.peer,
            state: EntryState::Live,
        }
    }

    /// Starts an entry node at these addresses.
    pub fn start(&self, platform: SocketAddr) -> Result<EntryNode, String> {
        let settings = Settings {
            node: self.node,
            zone: self.zone,
            listen: self.listen,
            peer: PeerSettings {
                listen: self.peer,
                seeds: Vec::new(),
            },
            platform,
            maximum_body_bytes: 1024 * 1024,
            drain_limit_ms: 30_000,
            key_table_entries: 10_000,
            decision_log_entries: 10_000,
            operator: None,
            log_format: LogFormat::Text,
        };
        eiderferry_entry::start(&settings).map_err(|error| error.to_string())
    }
}

/// Loopback address whose port is free for both UDP and TCP.
fn free_peer_address() -> std::io::Result<SocketAddr> {
    const MAX_ATTEMPTS: usize = 20;
    let mut last_error = std::io::Error::other("no free port");
    for _ in 0..MAX_ATTEMPTS {
        let address = UdpSocket::bind(any_address())?.local_addr()?;
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Waits until every node is ready to handle requests.
pub async fn wait_until_ready(nodes: &[EntryNode]) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for node in nodes {
        loop {
            let is_ready = node.control.with_node(|state| state.is_ready()).await;
            if is_ready.map_err(|error| error.to_string())? {
                break;
            }
            if Instant::now() > deadline {
                return Err(format!("the node at {} did not become ready", node.listen));
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}
