//! The log queue limits its rate and never blocks a writer.

use eiderferry_relay::{LogBudget, LogQueue};
use std::time::{Duration, Instant};

/// Lines per second in these tests.
const BUDGET: LogBudget = LogBudget {
    info_per_second: 10,
    warnings_per_second: 20,
};

#[test]
fn the_rate_limit_holds_and_dropped_lines_are_counted() {
    let (queue, _lines) = LogQueue::new(1_000, BUDGET);
    let admitted = (0..500).filter(|_| queue.try_admit(false)).count();
    assert!(
        admitted <= 20,
        "{admitted} lines; at most two seconds' worth"
    );
    assert_eq!(queue.drain_dropped_count(), 500 - admitted as u64);
    assert_eq!(queue.drain_dropped_count(), 0);
}

#[test]
fn warnings_are_admitted_when_the_info_budget_is_spent() {
    let (queue, _lines) = LogQueue::new(1_000, BUDGET);
    while queue.try_admit(false) {}
    assert!(queue.try_admit(true));
}

#[test]
fn a_stalled_reader_blocks_no_writer() {
    let (queue, lines) = LogQueue::new(8, BUDGET);
    let started_at = Instant::now();
    for _ in 0..10_000 {
        queue.push(b"line\n".to_vec());
    }
    assert!(started_at.elapsed() < Duration::from_secs(5));
    assert_eq!(queue.drain_dropped_count(), 9_992);
    assert_eq!(lines.try_iter().count(), 8);
}
