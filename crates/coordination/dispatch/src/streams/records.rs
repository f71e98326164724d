//! Records of the versions of streams, with limits on their age and number.

use super::message::{KnownVersion, StreamId};
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Time for which a version is kept after it was last recorded. A caller's deadline is shorter, and
/// versions of streams that run longer are recorded again.
pub(crate) const RECORD_LIFETIME: Span = Span::from_milliseconds(60_000);
/// Maximum number of records; the oldest ones are dropped. A record takes about 100 bytes.
const MAX_RECORDS: usize = 32_768;

/// The versions of streams that a node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamRecords {
    versions: HashMap<StreamId, Record>,
    /// Streams in the order in which they were recorded, with one entry for each recording.
    order: VecDeque<(StreamId, Timestamp)>,
}

#[derive(Clone, Debug)]
struct Record {
    version: KnownVersion,
    recorded_at: Timestamp,
}

impl StreamRecords {
    /// Records the version of a stream. The stream becomes ambiguous if another version is recorded.
    pub fn record(&mut self, stream: StreamId, version: KnownVersion, now: Timestamp) {
        let previous = self.versions.get(&stream);
        let differs = previous.is_some_and(|previous| previous.version != version);
        let version = if differs {
            KnownVersion::Ambiguous
        } else {
            version
        };
        let record = Record {
            version,
            recorded_at: now,
        };
        self.versions.insert(stream, record);
        self.order.push_back((stream, now));
        while self.order.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// The version of a stream, if it is recorded.
    pub fn get(&self, stream: StreamId) -> Option<&KnownVersion> {
        self.versions.get(&stream).map(|record| &record.version)
    }

    /// Number of streams whose version is known.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Drops the records that are older than [`RECORD_LIFETIME`].
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, recorded_at)) = self.order.front()
            && now.since(*recorded_at) > RECORD_LIFETIME
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((stream, recorded_at)) = self.order.pop_front() else {
            return;
        };
        let record = self.versions.get(&stream);
        if record.is_some_and(|record| record.recorded_at == recorded_at) {
            self.versions.remove(&stream);
        }
    }
}
