//! The monotonic clock of a process.
//!
//! It reads `CLOCK_BOOTTIME`, which unlike the time of day never steps and unlike
//! `CLOCK_MONOTONIC` includes the time for which the machine was suspended. With
//! `CLOCK_MONOTONIC`, deadlines, leases and ages would not advance during a suspension.

#![forbid(unsafe_code)]

use eiderferry_types::{Span, Timestamp};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Maximum duration of a single timer (300 ms). Timers don't advance while the machine is
/// suspended, so after a suspension an expired deadline is noticed at most this much later.
const MAX_TIMER_WAIT: Span = Span::from_milliseconds(300);

/// Time since the machine booted, including suspensions.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Measures the time since its start. Copies, for example in other threads, give the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    time_source: fn() -> Duration,
    start: Duration,
    initial_offset: Span,
}

impl Clock {
    /// A clock that starts now and first reads `initial_offset`, so that timestamps before its
    /// start can be represented.
    pub fn start(initial_offset: Span) -> Self {
        Self::with_time_source(boot_time, initial_offset)
    }

    /// Like [`Clock::start`], but with another time source, which must never go backwards.
    pub fn with_time_source(time_source: fn() -> Duration, initial_offset: Span) -> Self {
        Self {
            time_source,
            start: time_source(),
            initial_offset,
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        let elapsed = (self.time_source)().saturating_sub(self.start).as_micros();
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX)) + self.initial_offset
    }

    /// Waits for a span of time, of which time in suspension counts as well.
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

/// Converts a span to the standard library's duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
