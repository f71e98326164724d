//! The newest known version of one document.

use eiderferry_config::Versioned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of deltas kept for peers that are a few versions behind.
const MAX_DELTAS: usize = 32;

/// The data that brings a peer up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update<Document, Delta> {
    /// The whole document.
    Whole(Document),
    /// Deltas to be applied in order.
    Deltas(Vec<Delta>),
}

/// Result of offering a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version is newer and now current.
    Accepted,
    /// The version is not newer than the current one.
    NotNewer,
    /// The deltas don't start from the current version, so the whole document is needed.
    Gap,
}

/// The newest version of a document that is known to this node.
#[derive(Clone, Debug)]
pub struct Replica<Document: Versioned> {
    current: Option<Arc<Document>>,
    deltas: VecDeque<Document::Delta>,
}

impl<Document: Versioned> Default for Replica<Document> {
    fn default() -> Self {
        Self {
            current: None,
            deltas: VecDeque::new(),
        }
    }
}

impl<Document: Versioned> Replica<Document> {
    /// The current document, if any.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// The current version; zero if there is no document.
    pub fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |document| document.version())
    }

    /// Replaces the document if the offered one is newer.
    pub fn offer(&mut self, document: Document) -> ApplyOutcome {
        if document.version() <= self.version() {
            return ApplyOutcome::NotNewer;
        }
        if let Some(current) = &self.current {
            self.deltas.push_back(current.delta_to(&document));
        }
        while self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.current = Some(Arc::new(document));
        ApplyOutcome::Accepted
    }

    /// The document that results from `update`; the current one stays unchanged.
    pub fn preview(
        &self,
        update: &Update<Document, Document::Delta>,
    ) -> Result<Document, ApplyOutcome> {
        match update {
            Update::Whole(document) if document.version() > self.version() => Ok(document.clone()),
            Update::Whole(_) => Err(ApplyOutcome::NotNewer),
            Update::Deltas(deltas) => self.preview_deltas(deltas),
        }
    }

    fn preview_deltas(&self, deltas: &[Document::Delta]) -> Result<Document, ApplyOutcome> {
        let mut document = match &self.current {
            Some(current) => Document::clone(current),
            None => return Err(ApplyOutcome::Gap),
        };
        for delta in deltas {
            if Document::target_version(delta) <= document.version() {
                continue;
            }
            document = document.apply(delta).ok_or(ApplyOutcome::Gap)?;
        }
        if document.version() <= self.version() {
            return Err(ApplyOutcome::NotNewer);
        }
        Ok(document)
    }

    /// The update for a peer that has `peer_version`; `None` if that is not older than the
    /// current version.
    pub fn update_for(&self, peer_version: u64) -> Option<Update<Document, Document::Delta>> {
        let current = self.current.as_ref()?;
        if peer_version >= current.version() {
            return None;
        }
        let start = self
            .deltas
            .iter()
            .position(|delta| Document::base_version(delta) == peer_version);
        let update = match start {
            Some(start) => Update::Deltas(self.deltas.iter().skip(start).cloned().collect()),
            None => Update::Whole(Document::clone(current)),
        };
        Some(update)
    }
}
