//! Who gets documents from whom when many nodes want them at once.
//!
//! After a loss of all nodes each of them wants all documents, and the first of them to know
//! any are asked by all. A node hands its documents to a few others at a time and sends the
//! rest on to those that have got theirs, so that the number of sources grows several times
//! with each transfer, and no link is shared by all.

use eiderferry_types::{Span, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Nodes that get documents from one node at once. 300 nodes on links of 10 Mbit/s have the
/// documents of 3,000 back ends (180 kB) after 2.1 s; with four at once after 2.4 s, and without
/// any limit the links of three seeds alone need 14 s (`tests/document_service.rs`). With one
/// at once a single slow receiver would hold all others up.
const MAX_CONCURRENT_TRANSFERS: usize = 2;
/// Time after which a transfer is given up: its connection may have gone silent for good.
const TRANSFER_TIMEOUT: Span = Span::from_milliseconds(2_000);
/// Nodes remembered that have got documents here.
const MAX_RECENT_RECEIVERS: usize = 32;
/// Nodes named to one that is sent on.
const MAX_ALTERNATIVES: usize = 4;

/// Names a transfer of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferId(u64);

/// What a node that asks for documents is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It gets them now; the transfer is to be ended if it counts.
    Admitted(Option<TransferId>),
    /// Others have them too: it is to ask one of these, or here again later.
    SentOn(Vec<SocketAddr>),
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    id: TransferId,
    receiver: SocketAddr,
    started_at: Timestamp,
}

/// The transfers of one node.
#[derive(Clone, Debug, Default)]
pub struct DocumentService {
    transfers: Vec<Transfer>,
    recent_receivers: VecDeque<SocketAddr>,
    next_id: u64,
}

impl DocumentService {
    /// Admits a node that asks for documents, or sends it on. One that wants only part
    /// of an epoch is always admitted: what it lacks has to be in force soon, and is small
    /// beside all of them. (With the limit for it too, a change was in force on the last of 300
    /// nodes after 1,049 ms in place of 319.)
    pub fn admit(
        &mut self,
        from: SocketAddr,
        wants_whole_epoch: bool,
        random: &mut impl Rng,
        now: Timestamp,
    ) -> Admission {
        if !wants_whole_epoch {
            return Admission::Admitted(None);
        }
        self.transfers
            .retain(|transfer| now.since(transfer.started_at) < TRANSFER_TIMEOUT);
        if self.transfers.len() >= MAX_CONCURRENT_TRANSFERS {
            let others = self.recent_receivers.iter().copied();
            let others = others.filter(|address| *address != from);
            return Admission::SentOn(others.choose_multiple(random, MAX_ALTERNATIVES));
        }
        let id = TransferId(self.next_id);
        self.next_id += 1;
        self.transfers.push(Transfer {
            id,
            receiver: from,
            started_at: now,
        });
        Admission::Admitted(Some(id))
    }

    /// A transfer is over: its receiver can pass the documents on.
    pub fn finish(&mut self, id: TransferId) {
        let position = self.transfers.iter().position(|transfer| transfer.id == id);
        let Some(position) = position else {
            return;
        };
        let transfer = self.transfers.swap_remove(position);
        self.recent_receivers
            .retain(|address| *address != transfer.receiver);
        self.recent_receivers.push_back(transfer.receiver);
        if self.recent_receivers.len() > MAX_RECENT_RECEIVERS {
            self.recent_receivers.pop_front();
        }
    }
}
