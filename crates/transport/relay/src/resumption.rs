//! Requests that resume a stream whose connection to the caller broke. They run only at the software
//! version that produced the stream's first event, whichever node forwarded that event.

use crate::exchange::{Exchange, NOT_READY_RETRY_AFTER, StreamBinding};
use crate::local_reply::LocalReply;
use crate::{events, metrics};
use eiderferry_dispatch::{Grant, LookupResult, StreamId, VersionSource};
use eiderferry_routing::{PoolName, SoftwareVersion};
use eiderferry_types::Span;

/// Interval at which the version of a running stream is recorded again: a third of the time for
/// which nodes keep it.
const RECORD_INTERVAL: Span = Span::from_milliseconds(20_000);

/// What a request says about the stream that it resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// Id of the request that brought the stream's first event; `None` unless the caller names
    /// exactly one.
    pub first_request: Option<String>,
    /// Last event that the caller received.
    pub last_event_id: Option<u64>,
}

impl Exchange {
    /// Binds a request that resumes a stream to the stream's pool and version. Refuses a stream whose
    /// version is not known.
    pub async fn resolve_resumption(&mut self) -> Result<(), LocalReply> {
        let Some(resumption) = self.head.resumption.clone() else {
            return Ok(());
        };
        let result = match &resumption.first_request {
            Some(first_request) => self.find_stream(first_request).await,
            None => Err(LookupResult::Unknown),
        };
        events::stream_resumption(&self.head.id, &resumption, &result);
        match result {
            Ok(found) => {
                self.pool = found.pool;
                self.binding = StreamBinding::Version(found.version);
                self.stream = Some(found.stream);
                Ok(())
            }
            Err(reason) => {
                metrics::stream_resumption("no_record", &self.pool);
                // If some nodes did not answer this one, another one may reach them.
                let is_unanswered = reason == LookupResult::Unanswered;
                let retry_after = is_unanswered.then_some(NOT_READY_RETRY_AFTER);
                Err(LocalReply::UnknownStream(retry_after))
            }
        }
    }

    /// Looks up the stream that a request started at one of the route's pools.
    async fn find_stream(&self, first_request: &str) -> Result<FoundStream, LookupResult> {
        let splits = self.head.route.traffic_splits.iter();
        let streams = splits.map(|split| (self.stream_id(&split.pool, first_request), &split.pool));
        let streams: Vec<(StreamId, &PoolName)> = streams.collect();
        let ids = streams.iter().map(|(stream, _)| *stream).collect();
        match self.traffic.control.find_stream(ids).await {
            LookupResult::Found {
                stream,
                version,
                source,
            } => {
                let mut candidates = streams.into_iter();
                let pool = candidates.find(|(id, _)| *id == stream);
                let (_, pool) = pool.ok_or(LookupResult::Unknown)?;
                Ok(FoundStream {
                    stream,
                    pool: pool.clone(),
                    version,
                    source,
                })
            }
            unknown => Err(unknown),
        }
    }

    fn stream_id(&self, pool: &PoolName, first_request: &str) -> StreamId {
        StreamId::new(self.head.tenant.as_deref(), pool, first_request)
    }

    /// Binds the stream to the version of the back end whose event is forwarded first, and records
    /// the version for requests that resume the stream.
    pub fn bind_version(&mut self, grant: &Grant) {
        if self.head.resumption.is_some() {
            metrics::stream_resumption("resumed", &self.pool);
        }
        if self.binding == StreamBinding::Unbound {
            self.binding = match &grant.version {
                Some(version) => StreamBinding::Version(version.clone()),
                None => StreamBinding::UnknownVersion,
            };
            if self.head.route.is_resumable {
                self.stream = Some(self.stream_id(&self.pool, &self.head.id));
            }
        }
        self.record_version();
    }

    /// Records the version of a stream that has started, on this node and on the stream's owners.
    pub fn record_version(&mut self) {
        let StreamBinding::Version(version) = &self.binding else {
            return;
        };
        if let Some(stream) = self.stream {
            let control = &self.traffic.control;
            control.record_stream(stream, version.clone());
            self.version_recorded_at = self.traffic.clock.now();
        }
    }

    /// Records the version again if [`RECORD_INTERVAL`] has passed.
    pub fn refresh_version(&mut self) {
        let now = self.traffic.clock.now();
        if now.since(self.version_recorded_at) >= RECORD_INTERVAL {
            self.record_version();
        }
    }
}

/// A stream whose version was found.
#[derive(Clone, Debug)]
pub(crate) struct FoundStream {
    pub stream: StreamId,
    pub pool: PoolName,
    pub version: SoftwareVersion,
    pub source: VersionSource,
}
