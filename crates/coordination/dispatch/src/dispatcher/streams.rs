//! Versions of streams: recorded at the owners when a stream starts, looked up when a caller resumes
//! it.

use super::Dispatcher;
use crate::streams::lookups::{FinishedLookup, LookupId, LookupResult, VersionSource};
use crate::streams::message::{KnownVersion, StreamEnvelope, StreamId, StreamMessage};
use crate::streams::owners::{nodes_to_query, owners};
use eiderferry_routing::SoftwareVersion;
use eiderferry_types::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// State of a lookup that was just started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamLookup {
    /// It has finished without queries.
    Finished(LookupResult),
    /// It waits for the answers to these queries, which are to be sent.
    Waiting(LookupId, Vec<StreamEnvelope>),
}

/// Result of a message about streams, or of a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamOutput {
    /// Messages to send.
    pub messages: Vec<StreamEnvelope>,
    /// Lookups that have finished.
    pub finished_lookups: Vec<FinishedLookup>,
}

impl Dispatcher {
    /// Records the version of a stream that started or is still running. Returns the message to its
    /// owners.
    pub fn record_stream(
        &mut self,
        stream: StreamId,
        version: SoftwareVersion,
        now: Timestamp,
    ) -> StreamEnvelope {
        let version = KnownVersion::Version(version);
        self.stream_records.record(stream, version.clone(), now);
        StreamEnvelope {
            to: owners(&self.peers, stream),
            message: StreamMessage::Record(stream, version),
        }
    }

    /// Looks up the version of whichever of `streams` exists. They differ in their pool, as the pool
    /// that served the first request is not known.
    pub fn find_stream(&mut self, streams: &[StreamId], now: Timestamp) -> StreamLookup {
        if let Some(result) = self.find_own_record(streams) {
            return StreamLookup::Finished(result);
        }
        let mut queries = BTreeSet::new();
        for stream in streams {
            let asked = nodes_to_query(&self.peers, *stream);
            queries.extend(asked.into_iter().map(|address| (*stream, address)));
        }
        let envelopes = query_envelopes(queries.iter().copied());
        if queries.is_empty() {
            return StreamLookup::Finished(LookupResult::Unanswered);
        }
        match self.stream_lookups.start(queries, now) {
            Some(id) => StreamLookup::Waiting(id, envelopes),
            None => StreamLookup::Finished(LookupResult::Unanswered),
        }
    }

    fn find_own_record(&self, streams: &[StreamId]) -> Option<LookupResult> {
        let mut known = streams.iter().filter_map(|stream| {
            let version = self.stream_records.get(*stream)?;
            Some((*stream, version))
        });
        let (stream, version) = known.next()?;
        Some(match version {
            KnownVersion::Version(version) => LookupResult::Found {
                stream,
                version: version.clone(),
                source: VersionSource::OwnRecord,
            },
            KnownVersion::Ambiguous => LookupResult::Unknown,
        })
    }

    /// Applies a message about streams.
    pub fn receive_stream_message(
        &mut self,
        from: SocketAddr,
        message: StreamMessage,
        now: Timestamp,
    ) -> StreamOutput {
        let mut output = StreamOutput::default();
        match message {
            StreamMessage::Record(stream, version) => {
                if version.is_bounded() {
                    self.stream_records.record(stream, version, now);
                }
            }
            StreamMessage::Query(stream) => {
                let known = self.stream_records.get(stream).cloned();
                output.messages.push(StreamEnvelope {
                    to: vec![from],
                    message: StreamMessage::Answer(stream, known),
                });
            }
            StreamMessage::Answer(stream, known) => {
                let known = known.filter(KnownVersion::is_bounded);
                output.finished_lookups =
                    self.stream_lookups
                        .record_answer(from, stream, known.as_ref());
            }
        }
        output
    }

    /// Drops old records, ends lookups that have timed out, and repeats unanswered queries.
    pub(super) fn tick_streams(&mut self, now: Timestamp) -> StreamOutput {
        self.stream_records.expire(now);
        StreamOutput {
            finished_lookups: self.stream_lookups.expire(now),
            messages: query_envelopes(self.stream_lookups.queries_to_repeat(now)),
        }
    }
}

fn query_envelopes(
    queries: impl IntoIterator<Item = (StreamId, SocketAddr)>,
) -> Vec<StreamEnvelope> {
    let queries = queries.into_iter();
    let envelopes = queries.map(|(stream, address)| StreamEnvelope {
        to: vec![address],
        message: StreamMessage::Query(stream),
    });
    envelopes.collect()
}
