//! Sends messages to other nodes.

use crate::bulk::BulkSender;
use eiderferry_node::{Envelope, Message, Node};
use eiderferry_peer::MAXIMUM_DATAGRAM_BYTES;
use eiderferry_types::{Incarnation, NodeId};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Most messages in one envelope, so that it usually fits into a datagram. Larger
/// envelopes are sent as bulk transfers.
const MAX_MESSAGES_PER_ENVELOPE: usize = 24;

/// Queues messages, sends them in envelopes, and counts the bytes and datagrams sent.
pub(crate) struct PeerSender {
    socket: Arc<UdpSocket>,
    bulk: BulkSender,
    /// Source address of the last frame from each node, for nodes that the directory does not list.
    observed_addresses: HashMap<NodeId, SocketAddr>,
    queued: BTreeMap<NodeId, Vec<Message>>,
    queued_to_address: Vec<(SocketAddr, Message)>,
    sent_bytes: u64,
    sent_datagrams: u64,
}

impl PeerSender {
    pub fn new(socket: Arc<UdpSocket>, bulk: BulkSender) -> Self {
        Self {
            socket,
            bulk,
            observed_addresses: HashMap::new(),
            queued: BTreeMap::new(),
            queued_to_address: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }

    pub fn record_address(&mut self, node: NodeId, address: SocketAddr) {
        self.observed_addresses.insert(node, address);
    }

    pub fn queue(&mut self, to: NodeId, message: Message) {
        self.queued.entry(to).or_default().push(message);
    }

    pub fn queue_to_address(&mut self, address: SocketAddr, message: Message) {
        self.queued_to_address.push((address, message));
    }

    /// Sends all queued messages. Drops those to nodes without a known address.
    pub fn flush(&mut self, node: &Node) {
        for (to, messages) in std::mem::take(&mut self.queued) {
            let directory_address = node.catalog().node_address(to);
            let Some(address) =
                directory_address.or_else(|| self.observed_addresses.get(&to).copied())
            else {
                continue;
            };
            let receiver = node.incarnation_of(to).map(Incarnation::mark);
            for chunk in messages.chunks(MAX_MESSAGES_PER_ENVELOPE) {
                self.send(address, build_envelope(node, receiver, chunk.to_vec()));
            }
        }
        for (address, message) in std::mem::take(&mut self.queued_to_address) {
            self.send(address, build_envelope(node, None, vec![message]));
        }
    }

    fn send(&mut self, address: SocketAddr, envelope: Envelope) {
        let frame = match eiderferry_peer::encode(&envelope) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!("failed to encode an envelope: {error}");
                return;
            }
        };
        self.sent_bytes += frame.len() as u64;
        if frame.len() > MAXIMUM_DATAGRAM_BYTES {
            self.bulk.send(address, frame);
            return;
        }
        self.sent_datagrams += 1;
        // Errors are ignored: a full buffer or an unreachable peer has the effect of packet loss.
        let _ = self.socket.send_to(&frame, address);
    }
}

fn build_envelope(node: &Node, receiver: Option<u16>, messages: Vec<Message>) -> Envelope {
    let identity = node.identity();
    Envelope {
        from: identity.node,
        incarnation: identity.incarnation,
        receiver,
        messages,
    }
}
