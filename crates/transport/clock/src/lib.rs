//! The clock of a process.
//!
//! It never steps as the time of day does, and counts the time for which the machine was
//! suspended, which the monotonic clock leaves out: to that clock a deadline, a lease or an
//! age would be as fresh after a suspension as before.

#![forbid(unsafe_code)]

use eiderferry_types::{Span, Timestamp};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Longest single wait for a timer. Timers stand still while the machine is suspended: what
/// waits for a deadline notices this late at most that it has passed meanwhile.
const MAX_TIMER_WAIT: Span = Span::from_milliseconds(300);

/// Time since the machine was started, suspensions included.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Tells the time since a moment; shared by all threads of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    time_source: fn() -> Duration,
    start: Duration,
    initial_offset: Span,
}

impl Clock {
    /// A clock that starts now at `initial_offset`, so that moments before it can be named.
    pub fn start(initial_offset: Span) -> Self {
        Self::with_time_source(boot_time, initial_offset)
    }

    /// The same by other readings, which must never go back.
    pub fn with_time_source(time_source: fn() -> Duration, initial_offset: Span) -> Self {
        Self {
            time_source,
            start: time_source(),
            initial_offset,
        }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        let elapsed = (self.time_source)().saturating_sub(self.start).as_micros();
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX)) + self.initial_offset
    }

    /// Waits for a span, or until it has passed while the machine was suspended.
    pub async fn sleep(&self, span: Span) {
        let deadline = self.now() + span;
        loop {
            let remaining = self.now().until(deadline);
            if remaining == Span::ZERO {
                return;
            }
            smol::Timer::after(duration(remaining.min(MAX_TIMER_WAIT))).await;
        }
    }
}

/// A span as the standard library's duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
