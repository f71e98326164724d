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
const MOST_AT_ONCE: usize = 2;
/// Time after which a transfer is given up: its connection may have gone silent for good.
const LONGEST_TRANSFER: Span = Span::from_milliseconds(2_000);
/// Nodes remembered that have got documents here.
const MOST_REMEMBERED: usize = 32;
/// Nodes named to one that is sent on.
const MOST_NAMED: usize = 4;

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
    to: SocketAddr,
    began: Timestamp,
}

/// The transfers of one node.
#[derive(Clone, Debug, Default)]
pub struct DocumentService {
    transfers: Vec<Transfer>,
    served: VecDeque<SocketAddr>,
    next: u64,
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
            .retain(|transfer| now.since(transfer.began) < LONGEST_TRANSFER);
        if self.transfers.len() >= MOST_AT_ONCE {
            let others = self.served.iter().copied();
            let others = others.filter(|address| *address != from);
            return Admission::SentOn(others.choose_multiple(random, MOST_NAMED));
        }
        let id = TransferId(self.next);
        self.next += 1;
        self.transfers.push(Transfer {
            id,
            to: from,
            began: now,
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
        self.served.retain(|address| *address != transfer.to);
        self.served.push_back(transfer.to);
        if self.served.len() > MOST_REMEMBERED {
            self.served.pop_front();
        }
    }
}
