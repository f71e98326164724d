//! Arrival times of the events in a stream.

use eiderferry_types::{Span, Timestamp};

/// Arrival times of the events of one stream from its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPacing {
    events: u64,
    first_at: Timestamp,
    last_at: Timestamp,
    longest_pause: Span,
}

impl StreamPacing {
    /// Records that a number of events arrived together.
    pub fn record(&mut self, events: u64, now: Timestamp) {
        if self.events == 0 {
            self.first_at = now;
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        }
        self.events += events;
        self.last_at = now;
    }

    /// Number of events that have arrived.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// When the first event arrived; `None` before it.
    pub fn first_at(&self) -> Option<Timestamp> {
        (self.events > 0).then_some(self.first_at)
    }

    /// Longest time between two arrivals.
    pub fn longest_pause(&self) -> Span {
        self.longest_pause
    }

    /// Mean time between consecutive events; `None` before the second event.
    pub fn spacing(&self) -> Option<Span> {
        let intervals = self.events.checked_sub(1).filter(|count| *count > 0)?;
        Some(Span(self.last_at.since(self.first_at).0 / intervals))
    }
}
