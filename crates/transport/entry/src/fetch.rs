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
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Starts reads and hands their results to the control thread.
pub(crate) struct Fetcher {
    pub platform_address: SocketAddr,
    pub upstream: Upstream,
    pub commands: async_channel::Sender<Command>,
}

impl Fetcher {
    pub fn fetch_document(&self, kind: DocumentKind, known_version: u64) {
        let commands = self.commands.clone();
        let upstream = self.upstream.clone();
        let address = self.platform_address;
        let fetch = async move {
            let path = document_path(kind, known_version);
            let response = match upstream
                .get(address, &path, MAXIMUM_VALUE_BYTES, FETCH_TIMEOUT)
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
            let _ = commands.try_send(Command::PlatformResponse { kind, response });
        };
        smol::spawn(fetch).detach();
    }

    pub fn poll_back_end(&self, back_end: BackEndId, address: SocketAddr, cache_cursor: u64) {
        let commands = self.commands.clone();
        let upstream = self.upstream.clone();
        let poll = async move {
            let path = load_path(cache_cursor);
            let response = upstream
                .get(address, &path, MAXIMUM_VALUE_BYTES, FETCH_TIMEOUT)
                .await;
            let Ok(Some(text)) = response else {
                return;
            };
            match LoadDocument::parse(&text) {
                Ok(document) => {
                    let report = document.load();
                    let cache = document.cache_update();
                    let command = Command::LoadReport {
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
