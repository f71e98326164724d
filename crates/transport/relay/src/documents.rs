//! Exchange of documents between nodes, by `tarpc`.

use crate::control::Control;
use crate::metrics;
use async_compat::Compat;
use eiderferry_clock::Clock;
use eiderferry_dispatch::{
    Admission, Change, DocumentService, MessageKind, Revision, TransferId, VersionVector,
};
use eiderferry_peer::{Documents, DocumentsClient};
use eiderferry_types::Timestamp;
use futures_lite::{FutureExt, StreamExt};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, server};

/// Maximum frame in bytes: a package may hold all documents of a deployment.
const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for fetching a package.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum nodes asked for one package. The number of nodes that have it grows about threefold with
/// each transfer, and the last ones that a reply names are the least busy.
const MAXIMUM_SOURCES: usize = 4;

quick_error! {
    /// Why documents could not be fetched. The fetch is retried later.
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
        /// The package can't be decoded.
        Malformed(cause: postcard::Error) {
            from()
            display("can't decode the package: {cause}")
        }
        /// The peer and those that it named already serve as many transfers as they can.
        Busy(peer: SocketAddr) {
            display("{peer} and the nodes that it named are busy")
        }
        /// No response arrived in time.
        TimedOut {
            display("no response in {} ms", FETCH_TIMEOUT.as_millis())
        }
    }
}

/// Changes, with the versions up to which they are complete.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Package {
    pub changes: Vec<Change>,
    #[serde(rename = "complete_to")]
    pub version_vector: VersionVector,
    pub confirmed_ms: Option<u64>,
}

/// Reply to a request for documents.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
enum Reply {
    /// The documents.
    Package(Package),
    /// The node already serves as many transfers as it can; these nodes have received the
    /// documents.
    Redirected(Vec<SocketAddr>),
}

/// Fetches all changes beyond `known` from a peer, or from others that it names and that `may_ask`
/// allows. `own_address` is where this node serves such requests.
pub(crate) async fn fetch(
    peer: SocketAddr,
    known: &VersionVector,
    own_address: SocketAddr,
    may_ask: impl Fn(SocketAddr) -> bool,
) -> Result<Package, FetchError> {
    let mut tried = vec![peer];
    while let Some(source) = tried.last().copied() {
        match request_documents(source, known, own_address).await? {
            Reply::Package(package) => return Ok(package),
            Reply::Redirected(others) => {
                let mut others = others
                    .into_iter()
                    .filter(|other| !tried.contains(other) && may_ask(*other));
                let next = others.next().filter(|_| tried.len() < MAXIMUM_SOURCES);
                tried.push(next.ok_or(FetchError::Busy(peer))?);
            }
        }
    }
    Err(FetchError::Busy(peer))
}

async fn request_documents(
    peer: SocketAddr,
    known: &VersionVector,
    own_address: SocketAddr,
) -> Result<Reply, FetchError> {
    let timeout = async {
        smol::Timer::after(FETCH_TIMEOUT).await;
        Err(FetchError::TimedOut)
    };
    let bytes = Compat::new(call_peer(peer, known, own_address))
        .or(timeout)
        .await?;
    Ok(postcard::from_bytes(&bytes)?)
}

async fn call_peer(
    peer: SocketAddr,
    known: &VersionVector,
    own_address: SocketAddr,
) -> Result<Vec<u8>, FetchError> {
    let mut connect = tarpc::serde_transport::tcp::connect(peer, Bincode::default);
    connect.config_mut().max_frame_length(MAXIMUM_FRAME_BYTES);
    let transport = connect.await?;
    let client = DocumentsClient::new(client::Config::default(), transport).spawn();
    let known = known.revisions().iter();
    let known = known
        .map(|revision| (revision.epoch, revision.number))
        .collect();
    let documents = client.changes_after(context::current(), known, own_address);
    Ok(documents.await?)
}

/// Requests of peers for documents, as forwarded to the control thread.
pub(crate) enum DocumentRequest {
    /// A peer requests the changes that it lacks.
    Fetch {
        known: VersionVector,
        caller: SocketAddr,
        reply: async_channel::Sender<(Vec<u8>, Option<TransferId>)>,
    },
    /// The connection of a transfer has ended.
    TransferEnded(TransferId),
}

type RequestSender = async_channel::Sender<DocumentRequest>;

/// Reports the end of a transfer to the control thread when it is dropped with its connection.
struct OpenTransfer {
    id: TransferId,
    requests: RequestSender,
}

impl Drop for OpenTransfer {
    fn drop(&mut self) {
        // The channel is unbounded, so sending fails only if the control thread has ended.
        let _ = self
            .requests
            .try_send(DocumentRequest::TransferEnded(self.id));
    }
}

#[derive(Clone)]
struct DocumentServer {
    requests: RequestSender,
    /// Open transfers of the connection that this server handles.
    transfers: Arc<Mutex<Vec<OpenTransfer>>>,
}

impl Documents for DocumentServer {
    async fn changes_after(
        self,
        _: context::Context,
        known: Vec<(u64, u64)>,
        caller: SocketAddr,
    ) -> Vec<u8> {
        let (reply, receiver) = async_channel::bounded(1);
        let known = known.into_iter();
        let known = known.map(|(epoch, number)| Revision { epoch, number });
        let request = DocumentRequest::Fetch {
            known: known.collect(),
            caller,
            reply,
        };
        if self.requests.send(request).await.is_err() {
            return Vec::new();
        }
        let Ok((bytes, transfer)) = receiver.recv().await else {
            return Vec::new();
        };
        let open = transfer.map(|id| OpenTransfer {
            id,
            requests: self.requests.clone(),
        });
        if let Ok(mut transfers) = self.transfers.lock() {
            transfers.extend(open);
        }
        bytes
    }
}

/// Answers requests on the control thread.
pub(crate) async fn answer_requests(
    control: Rc<Control>,
    clock: Clock,
    requests: async_channel::Receiver<DocumentRequest>,
) {
    let mut service = DocumentService::default();
    while let Ok(request) = requests.recv().await {
        let now = clock.now();
        match request {
            DocumentRequest::TransferEnded(transfer) => service.finish(transfer),
            DocumentRequest::Fetch {
                known,
                caller,
                reply,
            } => {
                let wants_whole_epoch = {
                    let dispatcher = control.dispatcher.borrow();
                    dispatcher.document_store().peer_lacks_newest_epoch(&known)
                };
                let admission = service.admit(caller, wants_whole_epoch, &mut rand::rng(), now);
                let (response, transfer) = match admission {
                    Admission::Admitted(transfer) => {
                        let package = build_package(&control, &known, now);
                        (Reply::Package(package), transfer)
                    }
                    Admission::Redirected(others) => {
                        metrics::documents_redirected();
                        (Reply::Redirected(others), None)
                    }
                };
                let bytes = encode(&response);
                let distance = control.dispatcher.borrow().distance_to(caller);
                metrics::control_bytes(MessageKind::Documents, distance, bytes.len());
                // A caller that has disconnected needs no reply; its connection ends the transfer.
                let _ = reply.try_send((bytes, transfer));
            }
        }
    }
}

fn build_package(control: &Control, known: &VersionVector, now: Timestamp) -> Package {
    let dispatcher = control.dispatcher.borrow();
    let document_store = dispatcher.document_store();
    let age = document_store.confirmed_age(now);
    Package {
        changes: document_store.changes_after(known),
        version_vector: document_store.version_vector().clone(),
        confirmed_ms: age.map(|age| age.milliseconds()),
    }
}

fn encode(reply: &Reply) -> Vec<u8> {
    match postcard::to_stdvec(reply) {
        Ok(bytes) => bytes,
        Err(error) => {
            // An empty reply can't be decoded, so the caller asks another node.
            log::error!(
                event = "documents_not_encoded", error:% = error;
                "encoding the documents for a peer failed"
            );
            Vec::new()
        }
    }
}

/// Accepts calls from peers; never returns unless listening fails.
pub(crate) async fn serve(listener: std::net::TcpListener, requests: RequestSender) {
    if let Err(error) = Compat::new(accept(listener, requests)).await {
        log::error!("can't serve documents to peers: {error}");
    }
}

async fn accept(listener: std::net::TcpListener, requests: RequestSender) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut incoming = tarpc::serde_transport::tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAXIMUM_FRAME_BYTES);
    while let Some(connection) = incoming.next().await {
        let transport = match connection {
            Ok(transport) => transport,
            Err(error) => {
                log::debug!("accepting a peer's connection failed: {error}");
                continue;
            }
        };
        let server = DocumentServer {
            requests: requests.clone(),
            transfers: Arc::default(),
        };
        let channel = server::BaseChannel::with_defaults(transport);
        let serve = channel.execute(server.serve()).for_each(|response| {
            smol::spawn(Compat::new(response)).detach();
        });
        smol::spawn(Compat::new(serve)).detach();
    }
    Ok(())
}
