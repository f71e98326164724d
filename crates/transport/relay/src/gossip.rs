//! Messages between nodes, sent as UDP datagrams.

use crate::{events, metrics};
use eiderferry_dispatch::{Distance, Envelope, Gossip};
use smol::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};

/// First byte of each datagram: the format version.
const FORMAT_VERSION: u8 = 7;
/// Receive buffer in bytes, enough for the largest UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// The socket for messages of other nodes.
pub(crate) struct PeerSocket {
    socket: Async<UdpSocket>,
    buffer: RefCell<Vec<u8>>,
}

impl PeerSocket {
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            buffer: RefCell::new(vec![0; RECEIVE_BUFFER_BYTES]),
        }
    }

    /// Sends a message. If it can't be sent now it is lost; later messages repeat its content.
    /// `distance` returns the distance from this node to another.
    pub fn send(&self, envelope: &Envelope, distance: impl Fn(SocketAddr) -> Distance) {
        let frame = match postcard::to_extend(&envelope.message, vec![FORMAT_VERSION]) {
            Ok(frame) => frame,
            Err(error) => {
                events::message_lost("encode", &error.to_string());
                return;
            }
        };
        for address in &envelope.to {
            metrics::control_bytes(envelope.kind, distance(*address), frame.len());
            if let Err(error) = self.socket.get_ref().send_to(&frame, address) {
                log::trace!("sending a message to {address} failed: {error}");
                metrics::message_lost("send");
            }
        }
    }

    /// Receives a datagram; `None` if it can't be received or decoded.
    pub async fn receive(&self) -> Option<(SocketAddr, Gossip)> {
        let mut buffer = self.buffer.take();
        buffer.resize(RECEIVE_BUFFER_BYTES, 0);
        let received = self.socket.recv_from(&mut buffer).await;
        let message = match received {
            Ok((length, from)) => decode(&buffer[..length]).map(|message| (from, message)),
            Err(error) => {
                log::trace!("receiving a message failed: {error}");
                None
            }
        };
        self.buffer.replace(buffer);
        message
    }
}

fn decode(frame: &[u8]) -> Option<Gossip> {
    let (version, body) = frame.split_first()?;
    if *version != FORMAT_VERSION {
        metrics::message_lost("version");
        return None;
    }
    match postcard::from_bytes(body) {
        Ok(message) => Some(message),
        Err(error) => {
            events::message_lost("decode", &error.to_string());
            None
        }
    }
}
