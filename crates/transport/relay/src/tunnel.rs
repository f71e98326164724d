//! Tunnels: connections to back ends that a peer provides to a node that can't reach them itself.
//!
//! The node that asks keeps the request with everything that belongs to it; the peer copies bytes.
//! One exchange of frames precedes them, each a length in two bytes and a `postcard` message.

use crate::connecting::connect_from;
use crate::control::ControlHandle;
use crate::metrics;
use eiderferry_clock::Clock;
use eiderferry_dispatch::{PeerSelector, TunnelPeer};
use eiderferry_routing::InstanceId;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Version of the frames.
const FORMAT_VERSION: u8 = 1;
/// Maximum length of a frame.
const MAXIMUM_FRAME_BYTES: usize = 512;
/// Timeout for a peer's reply. The peer's own connection may take 300 ms, and its messages 60 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum peers asked for one connection.
const MAXIMUM_PEERS: usize = 4;
/// Peers that fail to reach a back end before it counts as down, unless the first is known to reach
/// others: one may be cut without knowing it.
const CONCLUSIVE_FAILURES: usize = 2;

/// A request for a tunnel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TunnelRequest {
    version: u8,
    pub back_end: InstanceId,
}

/// A peer's reply. After [`TunnelReply::Opened`], the connection carries the back end's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelReply {
    /// The back end is connected; the peer carries this many tunnels.
    Opened { open_tunnels: u32 },
    /// The peer can't connect to the back end either.
    Unreachable,
    /// The peer provides no tunnel: it is stopping, cut itself, or carries too many.
    Refused,
}

quick_error! {
    /// Why no tunnel was opened. Nothing was sent to the back end.
    #[derive(Debug)]
    pub enum TunnelError {
        /// A message can't be exchanged.
        Io(cause: std::io::Error) {
            from()
            display("exchange with the peer failed: {cause}")
        }
        /// A frame can't be encoded or decoded.
        Malformed(cause: postcard::Error) {
            from()
            display("malformed frame: {cause}")
        }
        /// A frame is too long.
        TooLong(bytes: usize) {
            display("a frame of {bytes} bytes exceeds the limit of {MAXIMUM_FRAME_BYTES} bytes")
        }
        /// The peer uses another version of the frames.
        Version(found: u8) {
            display("the peer's frames have version {found}, expected {FORMAT_VERSION}")
        }
        /// The peer can't reach the back end.
        Unreachable {
            display("the peer can't reach the back end")
        }
        /// The peer refused.
        Refused {
            display("the peer refused to open a tunnel")
        }
        /// All peers refused lately, or there are none.
        NoPeer {
            display("no peer is left that could open a tunnel to the back end")
        }
    }
}

/// Reads one frame.
async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, TunnelError> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    if length > MAXIMUM_FRAME_BYTES {
        return Err(TunnelError::TooLong(length));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Writes one frame.
async fn write_frame(stream: &mut TcpStream, message: &impl Serialize) -> Result<(), TunnelError> {
    let bytes = postcard::to_stdvec(message)?;
    let length = u16::try_from(bytes.len()).map_err(|_| TunnelError::TooLong(bytes.len()))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(bytes);
    stream.write_all(&frame).await?;
    Ok(())
}

/// Reads a peer's request.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Result<TunnelRequest, TunnelError> {
    let request: TunnelRequest = read_frame(stream).await?;
    if request.version != FORMAT_VERSION {
        return Err(TunnelError::Version(request.version));
    }
    Ok(request)
}

/// Replies to a peer's request.
pub(crate) async fn write_reply(
    stream: &mut TcpStream,
    reply: TunnelReply,
) -> Result<(), TunnelError> {
    write_frame(stream, &reply).await
}

/// Opens tunnels through peers.
pub(crate) struct TunnelClient {
    control: ControlHandle,
    clock: Clock,
    own_ip: IpAddr,
    port: Option<u16>,
    peers: RefCell<PeerSelector>,
}

impl TunnelClient {
    /// `port` is the port on which peers provide tunnels, if they do.
    pub fn new(control: ControlHandle, clock: Clock, own_ip: IpAddr, port: Option<u16>) -> Self {
        Self {
            control,
            clock,
            own_ip,
            port,
            peers: RefCell::default(),
        }
    }

    /// Connects to a back end through one of the peers, which are asked one after the other.
    pub async fn open(&self, instance: &InstanceId) -> Result<TcpStream, TunnelError> {
        let port = self.port.ok_or(TunnelError::NoPeer)?;
        let mut candidates = self.control.tunnel_peers(instance.clone()).await;
        let mut unreached = 0;
        for _ in 0..MAXIMUM_PEERS {
            let choice = self.peers.borrow().choose(&candidates, self.clock.now());
            let Some(peer) = choice else { break };
            candidates.retain(|other| other.ip != peer.ip);
            let error = match self.open_through(peer, port, instance).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            log::debug!("{} provides no tunnel: {error}", peer.ip);
            let now = self.clock.now();
            let mut peers = self.peers.borrow_mut();
            if !matches!(error, TunnelError::Unreachable) {
                metrics::tunnel("refused");
                peers.record_refused(peer.ip, now);
                continue;
            }
            metrics::tunnel("unreachable");
            let is_proven = peers.is_proven(peer.ip, now);
            peers.record_unreached(peer.ip, now);
            unreached += 1;
            if is_proven || unreached == CONCLUSIVE_FAILURES {
                return Err(TunnelError::Unreachable);
            }
            prefer_other_zones(&mut candidates, peer);
        }
        Err(TunnelError::NoPeer)
    }

    async fn open_through(
        &self,
        peer: TunnelPeer,
        port: u16,
        instance: &InstanceId,
    ) -> Result<TcpStream, TunnelError> {
        let timeout = async {
            Timer::after(REPLY_TIMEOUT).await;
            Err(TunnelError::Io(ErrorKind::TimedOut.into()))
        };
        let address = SocketAddr::new(peer.ip, port);
        let (stream, reply) = request_tunnel(self.own_ip, address, instance)
            .or(timeout)
            .await?;
        match reply {
            TunnelReply::Opened { open_tunnels } => {
                metrics::tunnel("opened");
                let now = self.clock.now();
                self.peers
                    .borrow_mut()
                    .record_opened(peer.ip, open_tunnels, now);
                Ok(stream)
            }
            TunnelReply::Unreachable => Err(TunnelError::Unreachable),
            TunnelReply::Refused => Err(TunnelError::Refused),
        }
    }
}

/// Keeps the candidates that are not in the zone of a peer that failed, if there are any: the zone
/// may be cut as a whole.
fn prefer_other_zones(candidates: &mut Vec<TunnelPeer>, failed: TunnelPeer) {
    let is_alternative = |peer: &TunnelPeer| !failed.is_same_zone || !peer.is_same_zone;
    if candidates.iter().any(is_alternative) {
        candidates.retain(is_alternative);
    }
}

async fn request_tunnel(
    own_ip: IpAddr,
    address: SocketAddr,
    instance: &InstanceId,
) -> Result<(TcpStream, TunnelReply), TunnelError> {
    // Peers recognize this node by the address of its messages.
    let mut stream = connect_from(own_ip, address).await?;
    let request = TunnelRequest {
        version: FORMAT_VERSION,
        back_end: instance.clone(),
    };
    write_frame(&mut stream, &request).await?;
    let reply = read_frame(&mut stream).await?;
    Ok((stream, reply))
}
