//! What choices cost against each other.

use eiderferry_dispatch::{Candidate, choose};
use eiderferry_types::Span;
use rstest::rstest;

/// An engine that keeps the prompt and one that would read it again, with first events of
/// a request with such a target.
fn keeper_or_reader(target_ms: u64, keeper_ms: u64, reader_ms: u64) -> usize {
    let keeper = Candidate {
        first_event: Span::from_milliseconds(keeper_ms),
        target: Span::from_milliseconds(target_ms),
        slots: 64,
        ..Candidate::default()
    };
    let reader = Candidate {
        first_event: Span::from_milliseconds(reader_ms),
        recomputed_tokens: 10_000,
        ..keeper
    };
    choose(&[keeper, reader]).expect("one of them")
}

#[rstest]
#[case::long_target(2_500, 1_000, 100, 0)]
#[case::short_target(600, 1_000, 100, 1)]
#[case::too_late_for_any(2_500, 9_000, 100, 1)]
fn a_wait_within_a_long_target_is_better_than_reading_again(
    #[case] target_ms: u64,
    #[case] keeper_ms: u64,
    #[case] reader_ms: u64,
    #[case] chosen: usize,
) {
    assert_eq!(keeper_or_reader(target_ms, keeper_ms, reader_ms), chosen);
}
