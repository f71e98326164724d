//! Messages between nodes, sent as UDP datagrams. The first byte of each states its format.

use crate::{events, metrics};
use eiderferry_dispatch::{Distance, Envelope, Gossip, MessageKind, StreamEnvelope, StreamMessage};
use serde::Serialize;
use smol::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};

/// Format of periodic and triggered messages with a node's state.
const GOSSIP_FORMAT: u8 = 8;
/// Format of messages about streams. They are frequent and short, so they don't carry the sender's
/// state.
const STREAM_FORMAT: u8 = 128;
/// Receive buffer in bytes, enough for the largest UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// The socket for messages of other nodes.
pub(crate) struct PeerSocket {
    socket: Async<UdpSocket>,
    buffer: RefCell<Vec<u8>>,
}

/// A message from another node.
pub(crate) enum PeerMessage {
    Gossip(Box<Gossip>),
    Stream(StreamMessage),
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
        let Some(frame) = encode(GOSSIP_FORMAT, &envelope.message) else {
            return;
        };
        self.send_frame(&frame, envelope.kind, &envelope.to, distance);
    }

    /// Sends a message about streams, which is lost if it can't be sent now.
    pub fn send_stream_message(
        &self,
        envelope: &StreamEnvelope,
        distance: impl Fn(SocketAddr) -> Distance,
    ) {
        let Some(frame) = encode(STREAM_FORMAT, &envelope.message) else {
            return;
        };
        self.send_frame(&frame, MessageKind::Stream, &envelope.to, distance);
    }

    fn send_frame(
        &self,
        frame: &[u8],
        kind: MessageKind,
        to: &[SocketAddr],
        distance: impl Fn(SocketAddr) -> Distance,
    ) {
        for address in to {
            metrics::control_bytes(kind, distance(*address), frame.len());
            if let Err(error) = self.socket.get_ref().send_to(frame, address) {
                log::trace!("sending a message to {address} failed: {error}");
                metrics::message_lost("send");
            }
        }
    }

    /// Receives a datagram; `None` if it can't be received or decoded.
    pub async fn receive(&self) -> Option<(SocketAddr, PeerMessage)> {
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

fn encode(format: u8, message: &impl Serialize) -> Option<Vec<u8>> {
    match postcard::to_extend(message, vec![format]) {
        Ok(frame) => Some(frame),
        Err(error) => {
            events::message_lost("encode", &error.to_string());
            None
        }
    }
}

fn decode(frame: &[u8]) -> Option<PeerMessage> {
    let (format, body) = frame.split_first()?;
    let message = match *format {
        GOSSIP_FORMAT => decode_gossip(body).map(PeerMessage::Gossip),
        STREAM_FORMAT => postcard::from_bytes(body).map(PeerMessage::Stream),
        _ => {
            metrics::message_lost("version");
            return None;
        }
    };
    if let Err(error) = &message {
        events::message_lost("decode", &error.to_string());
    }
    message.ok()
}

/// Decodes a message with a node's state. Nodes of earlier software omit its last fields.
fn decode_gossip(body: &[u8]) -> Result<Box<Gossip>, postcard::Error> {
    /// An empty list and an absent number. Unused bytes at the end are ignored.
    const EMPTY_FIELDS: &[u8] = &[0, 0];
    postcard::from_bytes(body).or_else(|error| match error {
        postcard::Error::DeserializeUnexpectedEnd => {
            postcard::from_bytes(&[body, EMPTY_FIELDS].concat())
        }
        error => Err(error),
    })
}
