//! The clock advances during a suspension of the machine, although timers do not.

use eiderferry_clock::{Clock, boot_time};
use eiderferry_types::Span;
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const ONE_HOUR: Span = Span::from_milliseconds(3_600_000);

/// Simulated time in suspension, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn boot_time_with_suspensions() -> Duration {
    boot_time() + Duration::from_millis(SUSPENDED_MS.load(Ordering::SeqCst))
}

#[test]
fn sleep_ends_soon_after_a_suspension_during_which_it_expired() {
    let clock = Clock::with_time_source(boot_time_with_suspensions, ONE_HOUR);
    let started = Instant::now();
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_millis(50));
        SUSPENDED_MS.fetch_add(120_000, Ordering::SeqCst);
    });
    smol::block_on(clock.sleep(Span::from_milliseconds(100_000)));
    assert!(started.elapsed() < Duration::from_secs(60));
}

/// Guards against reading a kernel clock that does not include suspensions.
#[test]
fn boot_time_reads_the_clock_that_includes_suspensions() {
    let before = clock_gettime(ClockId::Boottime);
    let reading = boot_time();
    let after = clock_gettime(ClockId::Boottime);
    let seconds = |time: rustix::time::Timespec| time.tv_sec as f64 + time.tv_nsec as f64 / 1e9;
    assert!(seconds(before) <= reading.as_secs_f64() && reading.as_secs_f64() <= seconds(after));
}

#[test]
fn the_clock_starts_at_its_initial_offset_and_never_goes_back() {
    let clock = Clock::start(ONE_HOUR);
    let first = clock.now();
    assert!(first.0 >= ONE_HOUR.0 && first.0 < ONE_HOUR.0 * 2);
    assert!(clock.now() >= first);
}
