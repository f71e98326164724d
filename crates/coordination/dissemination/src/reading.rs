//! Who reads the platform, and how often.
//!
//! Two nodes of each zone read regularly; the others hear of changes from them.
//! The platform's load therefore grows with the number of zones. A node that
//! knows nothing yet, or hears of no peer in its zone, reads for itself.

use eiderferry_types::{Span, Timestamp};

/// Time between two reads of the first reader of a zone.
const FIRST_READER_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Time between two reads of the second reader, which stands in if the first fails.
const SECOND_READER_INTERVAL: Span = Span::from_milliseconds(4_000);
/// Shortest time between two reads after the platform failed.
const BACK_OFF_BASE: Span = Span::from_milliseconds(1_000);
/// Longest time between two reads while the platform fails.
const MAX_BACK_OFF: Span = Span::from_milliseconds(8_000);

/// A node's place among the readers of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRank {
    /// Reads for the zone.
    First,
    /// Stands in for the first.
    Second,
    /// Does not read.
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

/// When this node reads one document next.
#[derive(Clone, Debug, Default)]
pub struct ReadPlan {
    last_started: Option<Timestamp>,
    in_flight: bool,
    consecutive_failures: u32,
}

/// Time after which a read that was never answered counts as failed.
const READ_TIMEOUT: Span = Span::from_milliseconds(3_000);

impl ReadPlan {
    /// Whether to read now; if so, the read counts as started.
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

    /// Whether a read is under way: an answer that comes while none is belongs to
    /// one from before a pause.
    pub fn is_reading(&self) -> bool {
        self.in_flight
    }

    /// Notes how a read ended.
    pub fn finished(&mut self, succeeded: bool) {
        self.in_flight = false;
        self.consecutive_failures = if succeeded {
            0
        } else {
            self.consecutive_failures + 1
        };
    }

    /// Makes the next read due at once.
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
