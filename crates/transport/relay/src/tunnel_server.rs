//! The tunnels that this node provides to its peers.

use crate::connecting::set_options;
use crate::server::{OpenRequest, Phase, Server};
use crate::tunnel::{TunnelError, TunnelReply, read_request, write_reply};
use crate::{events, metrics};
use eiderferry_dispatch::ConnectionPath;
use eiderferry_routing::InstanceId;
use futures_lite::{AsyncReadExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Async, Timer};
use socket2::SockRef;
use std::net::{IpAddr, Shutdown};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum tunnels that this node provides at once, each with two sockets and 16 kB of buffers.
const MAXIMUM_TUNNELS: u32 = 256;
/// Time for a peer to send its request, and to close a tunnel that the back end has closed.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts a tunnel as open until it is dropped.
struct OpenTunnel {
    server: Rc<Server>,
}

impl OpenTunnel {
    fn new(server: Rc<Server>) -> Self {
        server.open_tunnels.set(server.open_tunnels.get() + 1);
        Self { server }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        let open = &self.server.open_tunnels;
        open.set(open.get().saturating_sub(1));
    }
}

impl Server {
    /// Provides tunnels to peers; never returns.
    pub async fn serve_tunnels(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, source)) => {
                    let server = Rc::clone(&self);
                    self.executor
                        .spawn(server.serve_tunnel(stream, source.ip()))
                        .detach();
                }
                Err(error) => {
                    log::warn!("accepting a peer's connection failed: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_tunnel(self: Rc<Self>, mut stream: TcpStream, source: IpAddr) {
        let force_stop = self.force_stop.clone();
        let stopped = async {
            let _ = force_stop.recv().await;
            Ok(())
        };
        let served = self.provide_tunnel(&mut stream, source).or(stopped).await;
        if let Err(error) = served {
            log::debug!("a tunnel for {source} failed: {error}");
        }
    }

    async fn provide_tunnel(
        self: Rc<Self>,
        stream: &mut TcpStream,
        source: IpAddr,
    ) -> Result<(), TunnelError> {
        let timeout = async {
            Timer::after(PEER_TIMEOUT).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into())
        };
        let request = read_request(stream).or(timeout).await?;
        let socket: Arc<Async<std::net::TcpStream>> = stream.clone().into();
        set_options(&socket)?;
        let opened = self.connect_for_peer(source, &request.back_end).await;
        let (back_end, _tunnel, _open) = match opened {
            Ok(opened) => opened,
            Err(reply) => return write_reply(stream, reply).await,
        };
        let open_tunnels = self.open_tunnels.get();
        write_reply(stream, TunnelReply::Opened { open_tunnels }).await?;
        // However the tunnel ends, it is reset unless the back end ends the connection itself: a
        // response without a length would look complete otherwise.
        SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO))?;
        if splice(stream, back_end).await == TunnelEnd::ClosedByBackEnd {
            SockRef::from(socket.get_ref()).set_linger(None)?;
            close_after_peer(stream).await;
        }
        Ok(())
    }

    /// Connects to a back end directly, or returns the reply that refuses the tunnel.
    async fn connect_for_peer(
        self: &Rc<Self>,
        source: IpAddr,
        instance: &InstanceId,
    ) -> Result<(TcpStream, OpenTunnel, OpenRequest), TunnelReply> {
        let target = self
            .traffic
            .control
            .tunnel_target(source, instance.clone())
            .await;
        let Some(target) = target else {
            events::tunnel_refused(source, instance, "unknown peer or back end");
            return Err(TunnelReply::Refused);
        };
        let upstream = &self.traffic.upstream;
        let is_available = self.phase.get() == Phase::Serving
            && self.open_tunnels.get() < MAXIMUM_TUNNELS
            && upstream.path_to(instance) == ConnectionPath::Direct;
        if !is_available {
            return Err(TunnelReply::Refused);
        }
        let tunnel = OpenTunnel::new(Rc::clone(self));
        let open = OpenRequest::new(Rc::clone(self));
        let back_end = upstream.connect_for_peer(target, instance).await;
        let back_end = back_end.map_err(|_| TunnelReply::Unreachable)?;
        metrics::tunnel("provided");
        Ok((back_end, tunnel, open))
    }
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelEnd {
    /// The back end closed its connection, and all its bytes were written to the peer.
    ClosedByBackEnd,
    /// The peer closed its connection, or either one was reset.
    BrokenOff,
}

/// Copies bytes in both directions until either side closes its connection.
async fn splice(peer: &TcpStream, back_end: TcpStream) -> TunnelEnd {
    let to_back_end = async {
        let _ = smol::io::copy(peer.clone(), back_end.clone()).await;
        TunnelEnd::BrokenOff
    };
    let to_peer = async {
        match smol::io::copy(back_end.clone(), peer.clone()).await {
            Ok(_) => TunnelEnd::ClosedByBackEnd,
            Err(_) => TunnelEnd::BrokenOff,
        }
    };
    to_peer.or(to_back_end).await
}

/// Ends the bytes to the peer and waits for it to close: closing with unread bytes would reset the
/// connection, and what the back end sent last would be lost.
async fn close_after_peer(peer: &TcpStream) {
    let _ = peer.shutdown(Shutdown::Write);
    let drained = async {
        let mut buffer = [0; 1024];
        while matches!(peer.clone().read(&mut buffer).await, Ok(count) if count > 0) {}
    };
    let timeout = async {
        Timer::after(PEER_TIMEOUT).await;
    };
    drained.or(timeout).await;
}
