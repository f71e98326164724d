//! Lookups of the versions of streams at their owners.

use super::message::{KnownVersion, StreamId};
use eiderferry_routing::SoftwareVersion;
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time after which a lookup ends even if some nodes have not answered: one that has just failed
/// never will.
pub(crate) const LOOKUP_TIMEOUT: Span = Span::from_milliseconds(300);
/// Time after which an unanswered query is repeated.
const REPEAT_AFTER: Span = Span::from_milliseconds(80);
/// Maximum number of lookups at a time.
const MAX_LOOKUPS: usize = 1_024;

/// Identifies a lookup within one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LookupId(u64);

/// Source of a stream's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// A record on this node, which forwarded the first event or is an owner of the stream.
    OwnRecord,
    /// A record on the node with this address.
    Peer(SocketAddr),
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The version was found.
    Found {
        /// The stream; one of those that were looked up.
        stream: StreamId,
        /// Version at which it started.
        version: SoftwareVersion,
        /// Source of the version.
        source: VersionSource,
    },
    /// All queried nodes answered that they don't know the stream, or its version is ambiguous.
    Unknown,
    /// Some queried nodes did not answer, or there was no node to query.
    Unanswered,
}

/// A lookup that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedLookup {
    /// The lookup.
    pub id: LookupId,
    /// Its result.
    pub result: LookupResult,
}

/// A lookup that waits for answers.
#[derive(Clone, Debug)]
struct Lookup {
    /// Unanswered queries.
    pending: BTreeSet<(StreamId, SocketAddr)>,
    started_at: Timestamp,
    sent_at: Timestamp,
}

/// The lookups that wait for answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamLookups {
    waiting: BTreeMap<LookupId, Lookup>,
    next: u64,
}

impl StreamLookups {
    /// Starts a lookup with these queries; `None` if too many wait already.
    pub fn start(
        &mut self,
        queries: BTreeSet<(StreamId, SocketAddr)>,
        now: Timestamp,
    ) -> Option<LookupId> {
        if self.waiting.len() >= MAX_LOOKUPS {
            return None;
        }
        let id = LookupId(self.next);
        self.next += 1;
        let lookup = Lookup {
            pending: queries,
            started_at: now,
            sent_at: now,
        };
        self.waiting.insert(id, lookup);
        Some(id)
    }

    /// Applies an answer; returns the lookups that it ends.
    pub fn record_answer(
        &mut self,
        from: SocketAddr,
        stream: StreamId,
        answer: Option<&KnownVersion>,
    ) -> Vec<FinishedLookup> {
        let asked = self.waiting.iter_mut();
        let results = asked.filter_map(|(id, lookup)| {
            // Ignores answers to queries that this node did not send.
            if !lookup.pending.remove(&(stream, from)) {
                return None;
            }
            let result = match answer {
                Some(KnownVersion::Version(version)) => LookupResult::Found {
                    stream,
                    version: version.clone(),
                    source: VersionSource::Peer(from),
                },
                Some(KnownVersion::Ambiguous) => LookupResult::Unknown,
                None if lookup.pending.is_empty() => LookupResult::Unknown,
                None => return None,
            };
            Some(FinishedLookup { id: *id, result })
        });
        let finished: Vec<FinishedLookup> = results.collect();
        self.remove(&finished);
        finished
    }

    /// Ends the lookups whose time is over.
    pub fn expire(&mut self, now: Timestamp) -> Vec<FinishedLookup> {
        let waiting = self.waiting.iter();
        let overdue = waiting.filter(|(_, lookup)| now.since(lookup.started_at) >= LOOKUP_TIMEOUT);
        let finished = overdue.map(|(id, _)| FinishedLookup {
            id: *id,
            result: LookupResult::Unanswered,
        });
        let finished: Vec<FinishedLookup> = finished.collect();
        self.remove(&finished);
        finished
    }

    /// Unanswered queries that are to be repeated now.
    pub fn queries_to_repeat(&mut self, now: Timestamp) -> Vec<(StreamId, SocketAddr)> {
        let mut queries = Vec::new();
        for lookup in self.waiting.values_mut() {
            if now.since(lookup.sent_at) >= REPEAT_AFTER {
                lookup.sent_at = now;
                queries.extend(lookup.pending.iter().copied());
            }
        }
        queries
    }

    fn remove(&mut self, finished: &[FinishedLookup]) {
        for lookup in finished {
            self.waiting.remove(&lookup.id);
        }
    }
}
