//! Reads of the platform and of back ends' load.

use crate::control::Command;
use crate::upstream::Upstream;
use eiderferry_node::DocumentKind;
use eiderferry_platform::{
    LoadDocument, MAXIMUM_VALUE_BYTES, document_path, load_path, parse_document,
};
use eiderferry_types::BackEndId;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Starts reads and hands their results to the control thread.
pub(crate) struct Reads {
    pub platform: SocketAddr,
    pub upstream: Upstream,
    pub commands: async_channel::Sender<Command>,
}

impl Reads {
    pub fn read_platform(&self, kind: DocumentKind, have: u64) {
        let commands = self.commands.clone();
        let upstream = self.upstream.clone();
        let address = self.platform;
        let read = async move {
            let path = document_path(kind, have);
            let answer = match upstream
                .get(address, &path, MAXIMUM_VALUE_BYTES, READ_TIMEOUT)
                .await
            {
                Ok(None) => Ok(None),
                Ok(Some(text)) => parse_document(kind, &text).map(Some).map_err(|error| {
                    log::error!("refused a document, the last good one stays in force: {error}");
                }),
                Err(error) => {
                    log::warn!("the platform at {address} can't be read: {error}");
                    Err(())
                }
            };
            let _ = commands.try_send(Command::PlatformAnswered { kind, answer });
        };
        smol::spawn(read).detach();
    }

    pub fn poll_back_end(&self, back_end: BackEndId, address: SocketAddr, cache_cursor: u64) {
        let commands = self.commands.clone();
        let upstream = self.upstream.clone();
        let poll = async move {
            let path = load_path(cache_cursor);
            let answer = upstream
                .get(address, &path, MAXIMUM_VALUE_BYTES, READ_TIMEOUT)
                .await;
            let Ok(Some(text)) = answer else {
                return;
            };
            match LoadDocument::parse(&text) {
                Ok(document) => {
                    let report = document.load();
                    let cache = document.cache_update();
                    let command = Command::BackEndReported {
                        back_end,
                        report,
                        cache,
                    };
                    let _ = commands.try_send(command);
                }
                Err(error) => log::warn!("back end {back_end}: {error}"),
            }
        };
        smol::spawn(poll).detach();
    }
}
