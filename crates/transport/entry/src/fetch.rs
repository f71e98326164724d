//! Fetches documents from the platform and load reports from back ends.

use crate::control::Command;
use crate::upstream::Upstream;
use eiderferry_node::DocumentKind;
use eiderferry_platform::{
    LoadDocument, MAXIMUM_VALUE_BYTES, document_path, load_path, parse_document,
};
use eiderferry_types::BackEndId;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Starts fetches in the background and sends their results to the control thread.
pub(crate) struct Fetcher {
    pub platform_address: SocketAddr,
    pub upstream: Upstream,
    pub commands: async_channel::Sender<Command>,
}

impl Fetcher {
    /// Fetches a document unless `known_version` is current.
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
                    log::error!(
                        "rejected an invalid document; the last valid one stays in force: {error}"
                    );
                }),
                Err(error) => {
                    log::warn!(
                        "failed to fetch a document from the platform at {address}: {error}"
                    );
                    Err(())
                }
            };
            let _ = commands.try_send(Command::PlatformResponse { kind, response });
        };
        smol::spawn(fetch).detach();
    }

    /// Fetches a back end's load report and its cache changes after `cache_cursor`. A failed call
    /// is not reported to the control thread.
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
                Err(error) => {
                    log::warn!("back end {back_end} returned an invalid load report: {error}")
                }
            }
        };
        smol::spawn(poll).detach();
    }
}
