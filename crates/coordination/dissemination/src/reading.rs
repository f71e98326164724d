//! Which nodes read documents from the platform, and how often.
//!
//! Two nodes of each zone read periodically; the others get changes from them. The
//! platform's load therefore grows with the number of zones, not of nodes. A node
//! that has no document yet reads for itself, and so does one that sees no reachable
//! peer in its zone, since it is then the first reader.

use eiderferry_types::{Span, Timestamp};

/// Time between two reads of the first reader of a zone, and of any node with an
/// urgent read.
const FIRST_READER_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Time between two reads of the second reader, which covers a failure of the first.
const SECOND_READER_INTERVAL: Span = Span::from_milliseconds(4_000);
/// Base of the exponential back-off between failed reads. It is doubled with every
/// consecutive failure, the first included, so that the shortest back-off is 2 s.
const BACK_OFF_BASE: Span = Span::from_milliseconds(1_000);
/// Upper bound of the back-off between failed reads.
const MAX_BACK_OFF: Span = Span::from_milliseconds(8_000);

/// Rank of a node among the readers of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRank {
    /// Reads at the shorter interval.
    First,
    /// Reads at the longer interval, in case the first reader fails.
    Second,
    /// Does not read unless a read is urgent.
    None,
}

impl ReaderRank {
    /// The rank of the node at `position` in the zone's order of readers.
    pub fn from_position(position: Option<usize>) -> Self {
        match position {
            Some(0) => ReaderRank::First,
            Some(1) => ReaderRank::Second,
            _ => ReaderRank::None,
        }
    }
}

/// Schedule of this node's reads of one document.
#[derive(Clone, Debug, Default)]
pub struct ReadPlan {
    last_started: Option<Timestamp>,
    in_flight: bool,
    consecutive_failures: u32,
}

/// Time after which an unanswered read no longer delays the next one.
const READ_TIMEOUT: Span = Span::from_milliseconds(3_000);

impl ReadPlan {
    /// Whether a read is due; if so, it is recorded as started.
    pub fn start_if_due(&mut self, now: Timestamp, rank: ReaderRank, urgent: bool) -> bool {
        let Some(interval) = self.interval(rank, urgent) else {
            return false;
        };
        if let Some(started) = self.last_started {
            let awaits_response = self.in_flight && now.since(started) < READ_TIMEOUT;
            if awaits_response || now.since(started) < interval {
                return false;
            }
        }
        self.last_started = Some(now);
        self.in_flight = true;
        true
    }

    /// Whether a read is in flight. A response that arrives while none is belongs to a
    /// read started before the process was paused.
    pub fn is_reading(&self) -> bool {
        self.in_flight
    }

    /// Records the result of a read.
    pub fn finished(&mut self, succeeded: bool) {
        self.in_flight = false;
        self.consecutive_failures = if succeeded {
            0
        } else {
            self.consecutive_failures + 1
        };
    }

    /// Discards a read in flight and makes the next one due immediately.
    pub fn hurry(&mut self) {
        self.last_started = None;
        self.in_flight = false;
    }

    fn interval(&self, rank: ReaderRank, urgent: bool) -> Option<Span> {
        let regular_interval = match (rank, urgent) {
            (ReaderRank::First, _) | (_, true) => FIRST_READER_INTERVAL,
            (ReaderRank::Second, _) => SECOND_READER_INTERVAL,
            (ReaderRank::None, false) => return None,
        };
        if self.consecutive_failures == 0 {
            return Some(regular_interval);
        }
        let doublings = self.consecutive_failures.min(6);
        let back_off = Span(BACK_OFF_BASE.0 << doublings).min(MAX_BACK_OFF);
        Some(regular_interval.max(back_off))
    }
}
