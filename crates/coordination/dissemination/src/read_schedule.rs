//! Which nodes read documents from the platform, and how often.
//!
//! Two nodes of each zone read periodically; the others get changes from them. The
//! platform's load therefore grows with the number of zones, not of nodes. A node
//! that has no document yet reads for itself, and so does one that sees no reachable
//! peer in its zone, since it is then the primary reader.

use eiderferry_types::{Span, Timestamp};

/// Time between two reads of the primary reader of a zone, and of any node with an
/// urgent read.
const PRIMARY_READER_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Time between two reads of the standby reader, which covers a failure of the primary one.
const STANDBY_READER_INTERVAL: Span = Span::from_milliseconds(4_000);
/// Base of the exponential back-off between failed reads. It is doubled with every
/// consecutive failure, the first included, so that the shortest back-off is 2 s.
const BACK_OFF_BASE: Span = Span::from_milliseconds(1_000);
/// Upper bound of the back-off between failed reads.
const MAX_BACK_OFF: Span = Span::from_milliseconds(8_000);

/// Role of a node among the readers of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads at the shorter interval.
    Primary,
    /// Reads at the longer interval, in case the primary reader fails.
    Standby,
    /// Does not read unless a read is urgent.
    NotReader,
}

impl ReaderRole {
    /// The role of the node at `position` in the zone's order of readers.
    pub fn from_position(position: Option<usize>) -> Self {
        match position {
            Some(0) => ReaderRole::Primary,
            Some(1) => ReaderRole::Standby,
            _ => ReaderRole::NotReader,
        }
    }
}

/// Schedule of this node's reads of one document.
#[derive(Clone, Debug, Default)]
pub struct ReadSchedule {
    last_started: Option<Timestamp>,
    in_flight: bool,
    consecutive_failures: u32,
}

/// Time after which an unanswered read no longer delays the next one.
const READ_TIMEOUT: Span = Span::from_milliseconds(3_000);

impl ReadSchedule {
    /// Whether a read is due; if so, it is recorded as started.
    pub fn start_if_due(&mut self, now: Timestamp, role: ReaderRole, urgent: bool) -> bool {
        let Some(interval) = self.interval(role, urgent) else {
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
    pub fn record_result(&mut self, succeeded: bool) {
        self.in_flight = false;
        self.consecutive_failures = if succeeded {
            0
        } else {
            self.consecutive_failures + 1
        };
    }

    /// Discards a read in flight and makes the next one due immediately. Consecutive
    /// failures stay counted.
    pub fn reset(&mut self) {
        self.last_started = None;
        self.in_flight = false;
    }

    fn interval(&self, role: ReaderRole, urgent: bool) -> Option<Span> {
        let regular_interval = match (role, urgent) {
            (ReaderRole::Primary, _) | (_, true) => PRIMARY_READER_INTERVAL,
            (ReaderRole::Standby, _) => STANDBY_READER_INTERVAL,
            (ReaderRole::NotReader, false) => return None,
        };
        if self.consecutive_failures == 0 {
            return Some(regular_interval);
        }
        let doublings = self.consecutive_failures.min(6);
        let back_off = Span(BACK_OFF_BASE.0 << doublings).min(MAX_BACK_OFF);
        Some(regular_interval.max(back_off))
    }
}
