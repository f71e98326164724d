//! The interface through which a document source hands over what it reads.

use super::{Control, ROLE_CHECK_INTERVAL, START_CHECK_INTERVAL};
use eiderferry_dispatch::{Change, DocumentKey, ReaderRole, Revision};
use eiderferry_types::Span;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Receives the documents that a document source reads.
#[derive(Clone)]
pub struct DocumentFeed {
    control: Rc<Control>,
}

impl DocumentFeed {
    pub(crate) fn new(control: Rc<Control>) -> Self {
        Self { control }
    }

    /// Waits until this node has to read from the source. Returns whether it had to already.
    pub async fn wait_for_reader_role(&self) -> bool {
        let mut is_continued = true;
        loop {
            let now = self.control.clock.now();
            if self.control.dispatcher.borrow().reader_role(now) == ReaderRole::Reader {
                return is_continued;
            }
            is_continued = false;
            let has_no_documents = self.newest_revision().is_none();
            let pause = if has_no_documents {
                START_CHECK_INTERVAL
            } else {
                ROLE_CHECK_INTERVAL
            };
            smol::Timer::after(eiderferry_clock::duration(pause)).await;
        }
    }

    /// Last known revision of the newest epoch, from the source or from peers.
    pub fn newest_revision(&self) -> Option<Revision> {
        let dispatcher = self.control.dispatcher.borrow();
        dispatcher.document_store().version_vector().newest()
    }

    /// Records that a call to the source failed. To be called for the first failure after a response.
    pub fn record_source_failure(&self) {
        let now = self.control.clock.now();
        self.control
            .dispatcher
            .borrow_mut()
            .record_source_failure(now);
    }

    /// Whether calls of any node to the source have failed since its latest confirmation, and that
    /// confirmation is so old that entries may have expired meanwhile.
    pub fn is_source_outage_known(&self) -> bool {
        let now = self.control.clock.now();
        self.control.dispatcher.borrow().is_source_outage_known(now)
    }

    /// Applies changes; afterwards everything up to `revision` is known.
    pub fn apply_changes(&self, changes: Vec<Change>, revision: Revision) {
        self.control.apply_changes(changes, "store");
        let now = self.control.clock.now();
        self.control
            .record_confirmation(&revision.into(), now, true);
    }

    /// Applies a complete listing that began at `revision`. Items that it lacks after a restore are
    /// removed unless they are written again within the grace period.
    pub fn apply_listing(
        &self,
        changes: Vec<Change>,
        listed: &BTreeSet<DocumentKey>,
        revision: Revision,
        grace_period: Span,
    ) {
        self.control.apply_changes(changes, "store");
        let missing = {
            let dispatcher = self.control.dispatcher.borrow();
            dispatcher
                .document_store()
                .missing_from_listing(listed, revision, grace_period)
        };
        self.apply_changes(missing, revision);
    }

    /// Replaces the seed addresses of other nodes.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.control.dispatcher.borrow_mut().set_seeds(seeds);
    }
}
