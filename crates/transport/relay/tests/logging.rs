//! The log is bounded and never waited for.

use eiderferry_relay::{LogBudget, LogQueue};
use std::time::{Duration, Instant};

const BUDGET: LogBudget = LogBudget {
    info_per_second: 10,
    warnings_per_second: 20,
};

#[test]
fn the_budget_of_a_second_holds_and_what_is_left_out_is_counted() {
    let (queue, _lines) = LogQueue::new(1_000, BUDGET);
    let admitted = (0..500).filter(|_| queue.admits(false)).count();
    assert!(
        admitted <= 20,
        "{admitted} lines; at most two seconds' worth"
    );
    assert_eq!(queue.drain_dropped_count(), 500 - admitted as u64);
    assert_eq!(queue.drain_dropped_count(), 0);
}

#[test]
fn lines_about_failures_have_room_when_the_others_have_none() {
    let (queue, _lines) = LogQueue::new(1_000, BUDGET);
    while queue.admits(false) {}
    assert!(queue.admits(true));
}

#[test]
fn a_reader_that_has_stopped_reading_blocks_nobody() {
    let (queue, lines) = LogQueue::new(8, BUDGET);
    let begun = Instant::now();
    for _ in 0..10_000 {
        queue.push(b"line\n".to_vec());
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert_eq!(queue.drain_dropped_count(), 9_992);
    assert_eq!(lines.try_iter().count(), 8);
}
