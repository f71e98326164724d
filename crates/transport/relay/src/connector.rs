//! Connections to back ends, directly or through a peer while direct ones fail.

use crate::connecting::connect_stream;
use crate::control::ControlHandle;
use crate::tunnel::TunnelClient;
use crate::{events, metrics};
use eiderferry_clock::Clock;
use eiderferry_dispatch::{BackEndPaths, ConnectionPath};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use futures_lite::FutureExt;
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait for the result of a probe after a refused connection.
const PROBE_WAIT: Duration = Duration::from_millis(50);

/// Connects to back ends, and finds out which of them this node reaches directly.
#[derive(Clone)]
pub(crate) struct Connector {
    executor: Rc<LocalExecutor<'static>>,
    /// Receives the time that each direct connection took to establish.
    control: ControlHandle,
    clock: Clock,
    paths: Rc<RefCell<BackEndPaths>>,
    tunnels: Rc<TunnelClient>,
}

impl Connector {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        control: ControlHandle,
        clock: Clock,
        tunnels: TunnelClient,
    ) -> Self {
        Self {
            executor,
            control,
            clock,
            paths: Rc::default(),
            tunnels: Rc::new(tunnels),
        }
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// How a new connection to a back end is established.
    pub fn path_to(&self, instance: &InstanceId) -> ConnectionPath {
        self.paths.borrow().path_to(instance)
    }

    /// Whether connections to a back end get no response, rather than being refused.
    pub fn hangs(&self, instance: &InstanceId) -> bool {
        self.paths.borrow().hangs(instance)
    }

    /// Connects to a back end on the path that works.
    pub async fn establish(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<(TcpStream, ConnectionPath)> {
        if self.path_to(instance) == ConnectionPath::Direct {
            let started = Instant::now();
            match self.connect_directly(address, instance).await {
                Ok(stream) => {
                    let round_trip = Span::from_seconds(started.elapsed().as_secs_f64());
                    self.control.record_round_trip(instance.clone(), round_trip);
                    return Ok((stream, ConnectionPath::Direct));
                }
                // Another connection's failure may have shown meanwhile that the path is broken.
                Err(error) if self.path_to(instance) == ConnectionPath::Direct => {
                    return Err(error);
                }
                Err(_) => {}
            }
        }
        match self.tunnels.open(instance).await {
            Ok(stream) => {
                let now = self.clock.now();
                let mut paths = self.paths.borrow_mut();
                paths.record_reached_by_peer(instance, now);
                Ok((stream, ConnectionPath::Peer))
            }
            Err(error) => {
                let kind = ErrorKind::HostUnreachable;
                Err(std::io::Error::new(kind, error.to_string()))
            }
        }
    }

    /// Connects to a back end for a peer. A failure starts no probe through further peers,
    /// which would spread over the fleet.
    pub async fn connect_for_peer(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<TcpStream> {
        let stream = connect_stream(address).await?;
        self.record_connected(instance);
        Ok(stream)
    }

    /// Connects to a back end from this node. After a failure, the back end is probed through a
    /// peer in the background.
    async fn connect_directly(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> std::io::Result<TcpStream> {
        let result = connect_stream(address).await;
        match &result {
            Ok(_) => self.record_connected(instance),
            Err(error) => {
                let is_refusal = error.kind() == ErrorKind::ConnectionRefused;
                if self.record_failed(address, instance, is_refusal) {
                    self.start_peer_probe(instance.clone(), is_refusal).await;
                }
            }
        }
        result
    }

    /// Starts a direct connection that only shows whether it is possible.
    pub fn start_check(&self, address: SocketAddr, instance: InstanceId) {
        let connector = self.clone();
        self.executor
            .spawn(async move {
                let _ = connector.connect_directly(address, &instance).await;
            })
            .detach();
    }

    /// Checks whether broken paths work again, as far as checks are due.
    pub fn check_broken_paths(&self, now: Timestamp) {
        let due = self.paths.borrow_mut().due_checks(now);
        for (address, instance) in due {
            self.start_check(address, instance);
        }
        let paths = self.paths.borrow();
        metrics::set_path_gauges(paths.broken_count(), paths.is_cut());
    }

    /// Whether a peer reaches a back end to which this node could not connect.
    pub async fn is_reached_by_peer(&self, address: SocketAddr, instance: &InstanceId) -> bool {
        self.record_failed(address, instance, true);
        self.probe_through_peer(instance).await
    }

    /// Probes a back end through a peer in the background. After a refusal, which took no time, waits shortly for the
    /// reply: all attempts of a request could be refused before it.
    async fn start_peer_probe(&self, instance: InstanceId, is_refusal: bool) {
        let (sender, reply) = async_channel::bounded::<()>(1);
        let connector = self.clone();
        self.executor
            .spawn(async move {
                connector.probe_through_peer(&instance).await;
                drop(sender);
            })
            .detach();
        if is_refusal {
            let timeout = async {
                Timer::after(PROBE_WAIT).await;
            };
            let replied = async {
                let _ = reply.recv().await;
            };
            replied.or(timeout).await;
        }
    }

    /// Whether a tunnel to a back end can be opened; it is closed at once.
    async fn probe_through_peer(&self, instance: &InstanceId) -> bool {
        if self.tunnels.open(instance).await.is_err() {
            return false;
        }
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        if paths.record_reached_by_peer(instance, now) {
            events::path_broken(instance, paths.is_cut());
        }
        true
    }

    fn record_failed(&self, address: SocketAddr, instance: &InstanceId, is_refusal: bool) -> bool {
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        paths.record_failed(instance, address, is_refusal, now)
    }

    fn record_connected(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        let broken_before = paths.broken_count();
        paths.record_connected(instance, now);
        if paths.broken_count() < broken_before {
            events::paths_restored(instance, paths.broken_count());
        }
    }
}
