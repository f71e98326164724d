//! Prefix cache of an engine and the change events that it publishes.

use eiderferry_admission::PrefixMark;
use std::collections::{BTreeMap, VecDeque};

/// Number of events kept for readers; a reader that is further behind is told of a gap.
const MAX_EVENTS: usize = 1_024;

/// A change of the cache contents; carries the hash of the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored(u32),
    /// A prefix was evicted.
    Removed(u32),
}

/// LRU cache of prompt prefixes, limited by their total number of tokens.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    clock: u64,
    /// Time of the last use and number of tokens, by prefix hash.
    entries: BTreeMap<u32, (u64, u32)>,
    by_last_use: BTreeMap<u64, u32>,
    events: VecDeque<(u64, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Stores the prefixes of a prompt and returns how many of its tokens were cached before.
    pub fn look_up_and_store(&mut self, prefixes: &[PrefixMark]) -> u32 {
        let cached_tokens = prefixes
            .iter()
            .rev()
            .find(|mark| self.entries.contains_key(&mark.hash))
            .map_or(0, |mark| mark.tokens);
        let mut covered_tokens = 0;
        for mark in prefixes {
            self.store(mark.hash, mark.tokens.saturating_sub(covered_tokens));
            covered_tokens = mark.tokens;
        }
        cached_tokens
    }

    fn store(&mut self, hash: u32, tokens: u32) {
        self.clock += 1;
        match self.entries.get_mut(&hash) {
            Some((last_use, _)) => {
                self.by_last_use.remove(last_use);
                *last_use = self.clock;
            }
            None => {
                self.entries.insert(hash, (self.clock, tokens));
                self.used_tokens += u64::from(tokens);
                self.publish(CacheEvent::Stored(hash));
            }
        }
        self.by_last_use.insert(self.clock, hash);
        self.evict();
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity_tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some((_, tokens)) = self.entries.remove(&hash) {
                self.used_tokens -= u64::from(tokens);
                self.publish(CacheEvent::Removed(hash));
            }
        }
    }

    fn publish(&mut self, event: CacheEvent) {
        self.next_event += 1;
        self.events.push_back((self.next_event, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Sequence number of the last event.
    pub fn last_event(&self) -> u64 {
        self.next_event
    }

    /// Returns whether events after `cursor` are no longer kept, and the events after `cursor`
    /// up to and including `last`.
    pub fn events_between(&self, cursor: u64, last: u64) -> (bool, Vec<CacheEvent>) {
        let oldest = self
            .events
            .front()
            .map_or(self.next_event + 1, |(number, _)| *number);
        let gap = cursor + 1 < oldest || cursor > self.next_event;
        let events = self
            .events
            .iter()
            .filter(|(number, _)| *number > cursor && *number <= last)
            .map(|(_, event)| *event)
            .collect();
        (gap, events)
    }
}
