//! Documents passed on between nodes, by `tarpc`.

use crate::clock::Clock;
use crate::control::Control;
use async_compat::Compat;
use eiderferry_dispatch::Change;
use eiderferry_peer::{Documents, DocumentsClient};
use futures_lite::{FutureExt, StreamExt};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, server};

/// Largest package accepted: all documents of a deployment.
const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to fetch a package.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why documents could not be fetched. They are asked for again later.
    #[derive(Debug)]
    pub enum FetchError {
        /// The peer can't be reached.
        Connect(cause: std::io::Error) {
            from()
            display("no connection: {cause}")
        }
        /// The call failed.
        Call(cause: client::RpcError) {
            from()
            display("the call failed: {cause}")
        }
        /// The package can't be read.
        Malformed(cause: postcard::Error) {
            from()
            display("the package can't be read: {cause}")
        }
        /// No answer came in time.
        TimedOut {
            display("no answer in {} ms", FETCH_TIMEOUT.as_millis())
        }
    }
}

/// Changes with what is known of their completeness.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Package {
    pub changes: Vec<Change>,
    pub complete_to: u64,
    pub confirmed_ms: Option<u64>,
}

/// Fetches all changes after a revision from a peer.
pub(crate) async fn fetch(peer: SocketAddr, revision: u64) -> Result<Package, FetchError> {
    let timeout = async {
        smol::Timer::after(FETCH_TIMEOUT).await;
        Err(FetchError::TimedOut)
    };
    let bytes = Compat::new(call(peer, revision)).or(timeout).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn call(peer: SocketAddr, revision: u64) -> Result<Vec<u8>, FetchError> {
    let mut connect = tarpc::serde_transport::tcp::connect(peer, Bincode::default);
    connect.config_mut().max_frame_length(MAXIMUM_FRAME_BYTES);
    let transport = connect.await?;
    let client = DocumentsClient::new(client::Config::default(), transport).spawn();
    Ok(client.changes_after(context::current(), revision).await?)
}

/// A request for documents, answered by the control thread.
pub(crate) struct PackageRequest {
    revision: u64,
    reply: async_channel::Sender<Vec<u8>>,
}

#[derive(Clone)]
struct Server {
    requests: async_channel::Sender<PackageRequest>,
}

impl Documents for Server {
    async fn changes_after(self, _: context::Context, revision: u64) -> Vec<u8> {
        let (reply, answer) = async_channel::bounded(1);
        let request = PackageRequest { revision, reply };
        if self.requests.send(request).await.is_err() {
            return Vec::new();
        }
        answer.recv().await.unwrap_or_default()
    }
}

/// Answers requests on the control thread.
pub(crate) async fn answer(
    control: Rc<Control>,
    clock: Clock,
    requests: async_channel::Receiver<PackageRequest>,
) {
    while let Ok(request) = requests.recv().await {
        let package = {
            let dispatcher = control.dispatcher.borrow();
            let knowledge = dispatcher.knowledge();
            let age = knowledge.confirmed_age(clock.now());
            Package {
                changes: knowledge.changes_after(request.revision),
                complete_to: knowledge.complete_to(),
                confirmed_ms: age.map(|age| age.milliseconds()),
            }
        };
        let bytes = postcard::to_stdvec(&package).unwrap_or_default();
        let _ = request.reply.try_send(bytes);
    }
}

/// Accepts peers' calls for ever.
pub(crate) async fn serve(
    listener: std::net::TcpListener,
    requests: async_channel::Sender<PackageRequest>,
) {
    if let Err(error) = Compat::new(accept(listener, requests)).await {
        log::error!("documents can't be passed on: {error}");
    }
}

async fn accept(
    listener: std::net::TcpListener,
    requests: async_channel::Sender<PackageRequest>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut incoming = tarpc::serde_transport::tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAXIMUM_FRAME_BYTES);
    while let Some(connection) = incoming.next().await {
        let Ok(transport) = connection else {
            continue;
        };
        let server = Server {
            requests: requests.clone(),
        };
        let channel = server::BaseChannel::with_defaults(transport);
        let serve = channel.execute(server.serve()).for_each(|response| {
            smol::spawn(Compat::new(response)).detach();
        });
        smol::spawn(Compat::new(serve)).detach();
    }
    Ok(())
}
