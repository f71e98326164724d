//! Sends and receives frames that are too large for a datagram, with `tarpc` over TCP.

use crate::control::Command;
use async_compat::Compat;
use eiderferry_peer::{BulkTransfer, BulkTransferClient};
use futures_lite::StreamExt;
use std::net::SocketAddr;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, server};

/// Largest frame sent or accepted, in bytes; large enough for a whole configuration in its
/// envelope.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Capacity of the send queue, in transfers. Further transfers are dropped, and peers request them
/// again.
const MAX_QUEUED_TRANSFERS: usize = 64;

/// Handle to the background task that sends large frames.
#[derive(Clone)]
pub(crate) struct BulkSender {
    frames: async_channel::Sender<(SocketAddr, Vec<u8>)>,
}

impl BulkSender {
    /// Starts the background task.
    pub fn start() -> Self {
        let (frames, queue) = async_channel::bounded(MAX_QUEUED_TRANSFERS);
        smol::spawn(Compat::new(send_queued(queue))).detach();
        Self { frames }
    }

    /// Queues a frame; drops it if the queue is full.
    pub fn send(&self, address: SocketAddr, frame: Vec<u8>) {
        if self.frames.try_send((address, frame)).is_err() {
            log::warn!(peer:% = address; "dropped a bulk transfer: the send queue is full");
        }
    }
}

async fn send_queued(queue: async_channel::Receiver<(SocketAddr, Vec<u8>)>) {
    while let Ok((address, frame)) = queue.recv().await {
        if let Err(error) = send_frame(address, frame).await {
            log::warn!(peer:% = address; "bulk transfer failed: {error}");
        }
    }
}

async fn send_frame(address: SocketAddr, frame: Vec<u8>) -> std::io::Result<()> {
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = connecting.await?;
    let client = BulkTransferClient::new(client::Config::default(), transport).spawn();
    client
        .deliver(context::current(), frame)
        .await
        .map(|_| ())
        .map_err(std::io::Error::other)
}

#[derive(Clone)]
struct BulkReceiver {
    commands: async_channel::Sender<Command>,
    from: SocketAddr,
}

impl BulkTransfer for BulkReceiver {
    async fn deliver(self, _: context::Context, frame: Vec<u8>) -> bool {
        let is_decodable = eiderferry_peer::decode(&frame).is_ok();
        let command = Command::Frame {
            from: self.from,
            bytes: frame,
        };
        is_decodable && self.commands.try_send(command).is_ok()
    }
}

/// Accepts large frames and passes them to the control thread, until the task is dropped.
pub(crate) async fn receive(
    listener: std::net::TcpListener,
    commands: async_channel::Sender<Command>,
) {
    if let Err(error) = Compat::new(accept_connections(listener, commands)).await {
        log::error!("failed to listen for bulk transfers: {error}");
    }
}

async fn accept_connections(
    listener: std::net::TcpListener,
    commands: async_channel::Sender<Command>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut incoming = tarpc::serde_transport::tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    while let Some(connection) = incoming.next().await {
        let Ok(transport) = connection else {
            continue;
        };
        let Ok(from) = transport.peer_addr() else {
            continue;
        };
        let receiver = BulkReceiver {
            commands: commands.clone(),
            from,
        };
        let channel = server::BaseChannel::with_defaults(transport);
        let responses = channel.execute(receiver.serve()).for_each(|response| {
            smol::spawn(Compat::new(response)).detach();
        });
        smol::spawn(Compat::new(responses)).detach();
    }
    Ok(())
}
