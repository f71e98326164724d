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
const LONGEST_TIMER: Span = Span::from_milliseconds(300);

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
    read: fn() -> Duration,
    start: Duration,
    head_start: Span,
}

impl Clock {
    /// A clock that starts now at `head_start`, so that moments before it can be named.
    pub fn start(head_start: Span) -> Self {
        Self::reading(boot_time, head_start)
    }

    /// The same by other readings, which must never go back.
    pub fn reading(read: fn() -> Duration, head_start: Span) -> Self {
        Self {
            read,
            start: read(),
            head_start,
        }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        let elapsed = (self.read)().saturating_sub(self.start).as_micros();
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX)) + self.head_start
    }

    /// Waits for a span, or until it has passed while the machine was suspended.
    pub async fn sleep(&self, span: Span) {
        let until = self.now() + span;
        loop {
            let left = self.now().until(until);
            if left == Span::ZERO {
                return;
            }
            smol::Timer::after(duration(left.min(LONGEST_TIMER))).await;
        }
    }
}

/// A span as the standard library's duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
