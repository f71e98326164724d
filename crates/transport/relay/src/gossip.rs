//! Messages between nodes as datagrams.

use eiderferry_dispatch::Gossip;
use smol::Async;
use std::net::{SocketAddr, UdpSocket};

/// First byte of each datagram: the version of the format.
const FORMAT_VERSION: u8 = 2;
/// Largest datagram read.
const RECEIVE_BYTES: usize = 16_384;

/// The socket for messages of other nodes.
pub(crate) struct PeerSocket {
    socket: Async<UdpSocket>,
}

impl PeerSocket {
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self { socket }
    }

    /// Sends a message; what can't be sent now is lost, and repeated with the next.
    pub fn send(&self, address: SocketAddr, message: &Gossip) {
        let Ok(frame) = postcard::to_extend(message, vec![FORMAT_VERSION]) else {
            return;
        };
        if let Err(error) = self.socket.get_ref().send_to(&frame, address) {
            log::trace!("a message to {address} was not sent: {error}");
        }
    }

    /// The next message that can be read.
    pub async fn receive(&self) -> Option<(SocketAddr, Gossip)> {
        let mut buffer = [0; RECEIVE_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await.ok()?;
        let (version, body) = buffer[..length].split_first()?;
        if *version != FORMAT_VERSION {
            return None;
        }
        Some((from, postcard::from_bytes(body).ok()?))
    }
}
