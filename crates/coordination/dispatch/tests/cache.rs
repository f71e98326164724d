//! The estimate of the prompt parts that an engine has in its prefix cache.

use eiderferry_dispatch::{PrefixCache, PromptPart};
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};

/// Time when the prefill of the parts ends.
const PREFILLED_AT: Timestamp = Timestamp(5_000_000);

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart {
        id: PartId(id),
        tokens,
    }
}

#[test]
fn a_part_counts_only_if_all_parts_before_it_are_cached() {
    let mut cache = PrefixCache::new(100_000);
    cache.insert(&[part(1, 1_000), part(2, 500), part(3, 200)], PREFILLED_AT);
    assert_eq!(
        cache.cached_tokens(&[part(1, 1_000), part(2, 500), part(9, 70)]),
        1_500
    );
    assert_eq!(cache.cached_tokens(&[part(7, 1_000), part(2, 500)]), 0);
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400)], PREFILLED_AT);
    cache.insert(&[part(2, 400)], PREFILLED_AT);
    cache.insert(&[part(1, 400)], PREFILLED_AT);
    cache.insert(&[part(3, 400)], PREFILLED_AT);
    assert!(cache.contains(PartId(1)));
    assert!(!cache.contains(PartId(2)));
    assert!(cache.contains(PartId(3)));
}

#[test]
fn the_end_of_a_prompt_is_evicted_before_its_beginning() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400), part(2, 400)], PREFILLED_AT);
    cache.insert(&[part(3, 300)], PREFILLED_AT);
    assert!(cache.contains(PartId(1)));
    assert!(!cache.contains(PartId(2)));
}

#[test]
fn a_cache_without_capacity_stores_nothing() {
    let mut cache = PrefixCache::new(0);
    cache.insert(&[part(1, 1)], PREFILLED_AT);
    assert!(!cache.contains(PartId(1)));
}

#[test]
fn unshared_tokens_evict_shared_parts() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400)], PREFILLED_AT);
    cache.insert_unshared(300);
    assert!(cache.contains(PartId(1)));
    cache.insert_unshared(300);
    assert!(
        !cache.contains(PartId(1)),
        "400 + 300 + 300 tokens exceed the 850 usable ones"
    );
    cache.insert(&[part(2, 400)], PREFILLED_AT);
    assert!(
        cache.contains(PartId(2)),
        "the older unshared tokens were evicted"
    );
}

#[test]
fn parts_still_being_prefilled_do_not_count_as_computed() {
    let mut cache = PrefixCache::new(100_000);
    let later = PREFILLED_AT + Span::from_milliseconds(400);
    cache.insert(&[part(1, 1_000)], PREFILLED_AT);
    cache.insert(&[part(1, 1_000), part(2, 500)], later);
    let parts = [part(1, 1_000), part(2, 500)];
    assert_eq!(cache.cached_tokens(&parts), 1_500);
    assert_eq!(cache.computed_tokens(&parts, PREFILLED_AT), 1_000);
    assert_eq!(cache.computed_tokens(&parts, later), 1_500);
}
