//! The choice between candidates by cost.

use eiderferry_dispatch::{Candidate, cheapest};
use eiderferry_types::Span;
use rstest::rstest;

/// Chooses between an engine that has the prompt cached (0) and one that would recompute it (1),
/// given the target and the expected times to the first event.
fn choose_cached_or_uncached(target_ms: u64, cached_ms: u64, uncached_ms: u64) -> usize {
    let cached = Candidate {
        time_to_first_event: Span::from_milliseconds(cached_ms),
        target: Span::from_milliseconds(target_ms),
        slots: 64,
        ..Candidate::default()
    };
    let uncached = Candidate {
        time_to_first_event: Span::from_milliseconds(uncached_ms),
        recomputed_tokens: 10_000,
        ..cached
    };
    cheapest(&[cached, uncached]).expect("a candidate")
}

#[rstest]
#[case::long_target(2_500, 1_000, 100, 0)]
#[case::short_target(600, 1_000, 100, 1)]
#[case::too_late_for_any(2_500, 9_000, 100, 1)]
fn the_target_decides_between_waiting_for_the_cache_and_recomputing(
    #[case] target_ms: u64,
    #[case] cached_ms: u64,
    #[case] uncached_ms: u64,
    #[case] chosen: usize,
) {
    assert_eq!(
        choose_cached_or_uncached(target_ms, cached_ms, uncached_ms),
        chosen
    );
}
