//! The process's monotonic clock.

use eiderferry_types::{Span, Timestamp};
use std::time::{Duration, Instant};

/// Time since the process's start; never the time of day, which may step.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Age that a clock has at its start, so that moments before it can be named.
const HEAD_START: Span = Span::from_milliseconds(3_600_000);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        let elapsed = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        Timestamp(elapsed) + HEAD_START
    }
}

/// A span as the standard library's duration.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
