//! What an engine is believed to keep.

use eiderferry_dispatch::{PrefixCache, PromptPart};
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};

/// When the parts have been read.
const READ: Timestamp = Timestamp(5_000_000);

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart {
        id: PartId(id),
        tokens,
    }
}

#[test]
fn a_part_counts_only_if_all_before_it_are_kept() {
    let mut cache = PrefixCache::new(100_000);
    cache.insert(&[part(1, 1_000), part(2, 500), part(3, 200)], READ);
    assert_eq!(
        cache.cached_tokens(&[part(1, 1_000), part(2, 500), part(9, 70)]),
        1_500
    );
    assert_eq!(cache.cached_tokens(&[part(7, 1_000), part(2, 500)]), 0);
}

#[test]
fn the_least_recently_used_part_gives_way() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400)], READ);
    cache.insert(&[part(2, 400)], READ);
    cache.insert(&[part(1, 400)], READ);
    cache.insert(&[part(3, 400)], READ);
    assert!(cache.contains(PartId(1)));
    assert!(!cache.contains(PartId(2)));
    assert!(cache.contains(PartId(3)));
}

#[test]
fn the_beginning_of_a_prompt_outlives_its_end() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400), part(2, 400)], READ);
    cache.insert(&[part(3, 300)], READ);
    assert!(cache.contains(PartId(1)));
    assert!(!cache.contains(PartId(2)));
}

#[test]
fn a_back_end_without_memory_keeps_nothing() {
    let mut cache = PrefixCache::new(0);
    cache.insert(&[part(1, 1)], READ);
    assert!(!cache.contains(PartId(1)));
}

#[test]
fn tokens_of_single_requests_take_room_from_shared_parts() {
    let mut cache = PrefixCache::new(1_000);
    cache.insert(&[part(1, 400)], READ);
    cache.insert_unshared(300);
    assert!(cache.contains(PartId(1)));
    cache.insert_unshared(300);
    assert!(
        !cache.contains(PartId(1)),
        "700 of 850 usable tokens came after it"
    );
    cache.insert(&[part(2, 400)], READ);
    assert!(cache.contains(PartId(2)), "the older of the two made room");
}

#[test]
fn what_is_still_being_read_can_not_be_copied() {
    let mut cache = PrefixCache::new(100_000);
    let later = READ + Span::from_milliseconds(400);
    cache.insert(&[part(1, 1_000)], READ);
    cache.insert(&[part(1, 1_000), part(2, 500)], later);
    let parts = [part(1, 1_000), part(2, 500)];
    assert_eq!(cache.cached_tokens(&parts), 1_500);
    assert_eq!(cache.computed_tokens(&parts, READ), 1_000);
    assert_eq!(cache.computed_tokens(&parts, later), 1_500);
}
