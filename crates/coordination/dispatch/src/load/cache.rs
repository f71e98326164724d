//! This node's estimate of the prompt parts in an engine's prefix cache.

use super::cache_index::EVENT_DELAY;
use crate::PromptPart;
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Share of an engine's memory assumed to be available for cached prompts.
const USABLE_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    sequence: u64,
    /// Expected time at which the prefill of the part is complete.
    computed_at: Timestamp,
    /// When the engine last reported that it has the part cached.
    observed_at: Option<Timestamp>,
    /// Whether more than one request is known to use the part.
    is_shared: bool,
}

/// An entry in the eviction order.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// A prompt part that requests can share.
    Shared(PartId),
    /// A number of tokens that only one request uses.
    Unshared(u64),
}

fn usable_tokens(memory_tokens: u64) -> u64 {
    (memory_tokens as f64 * USABLE_SHARE) as u64
}

/// Prompt parts that an engine is believed to have cached, with least-recently-used eviction.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    memory_tokens: u64,
    capacity: u64,
    used: u64,
    next_sequence: u64,
    parts: HashMap<PartId, CachedPart>,
    by_recency: BTreeMap<u64, Entry>,
}

impl PrefixCache {
    /// Creates an empty cache for an engine with memory for `memory_tokens` tokens.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            memory_tokens,
            capacity: usable_tokens(memory_tokens),
            used: 0,
            next_sequence: 0,
            parts: HashMap::new(),
            by_recency: BTreeMap::new(),
        }
    }

    /// Sets the engine's memory, in tokens, and evicts what no longer fits.
    pub fn set_memory_tokens(&mut self, memory_tokens: u64) {
        self.memory_tokens = memory_tokens;
        self.capacity = usable_tokens(memory_tokens);
        self.evict();
    }

    /// Memory of the engine, in tokens; 0 for a back end that is not an engine.
    pub fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// Number of cached prompt tokens for which the engine is assumed to have room.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Cached parts with their lengths in tokens.
    pub fn parts_with_lengths(&self) -> impl Iterator<Item = (PartId, u32)> {
        let parts = self.parts.iter();
        parts.map(|(part, cached)| (*part, cached.tokens))
    }

    /// Number of tokens at the start of the prompt that are cached and need no prefill.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.contains(part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Like `cached_tokens`, but only counts parts whose prefill is complete: parts that are
    /// still being computed can't be copied to another engine.
    pub fn computed_tokens(&self, parts: &[PromptPart], now: Timestamp) -> u32 {
        let cached = parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|cached| (part, cached)));
        let computed = cached.take_while(|(_, cached)| cached.computed_at <= now);
        computed.map(|(part, _)| part.tokens).sum()
    }

    /// Whether the part is believed to be cached.
    pub fn contains(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Inserts the parts of a prompt whose prefill is expected to be complete at `computed_at`.
    pub fn insert(&mut self, parts: &[PromptPart], computed_at: Timestamp) {
        for part in parts.iter().rev() {
            self.touch(*part, computed_at);
        }
        self.evict();
    }

    /// Marks those of the parts that are cached as shared between requests.
    pub fn record_shared(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.is_shared = true;
            }
        }
    }

    fn shared_entries(&self) -> impl Iterator<Item = (PartId, &CachedPart)> {
        let shared = self.parts.iter().filter(|(_, cached)| cached.is_shared);
        shared.map(|(part, cached)| (*part, cached))
    }

    /// Cached parts that requests share.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        self.shared_entries().map(|(part, _)| part)
    }

    /// Shared parts whose prefill was complete before this moment.
    pub(crate) fn computed_before(&self, moment: Timestamp) -> impl Iterator<Item = PartId> {
        let computed = self
            .shared_entries()
            .filter(move |(_, cached)| cached.computed_at < moment);
        computed.map(|(part, _)| part)
    }

    /// Applies the engine's own report of how many tokens of a part it has cached. A report of 0
    /// is ignored while the part may be too new to be included in it.
    pub fn apply_observation(&mut self, part: PartId, tokens: u32, now: Timestamp) {
        let previous = self.parts.get(&part);
        if tokens == 0 {
            if previous.is_some_and(|cached| cached.computed_at + EVENT_DELAY < now) {
                self.remove(part);
            }
            return;
        }
        if previous.is_none() {
            self.insert(&[PromptPart { id: part, tokens }], now);
        }
        if let Some(cached) = self.parts.get_mut(&part) {
            cached.observed_at = Some(now);
            cached.is_shared = true;
        }
    }

    /// Records that the engine has just reported the parts for which `is_stored` holds.
    pub(crate) fn confirm(&mut self, is_stored: impl Fn(PartId) -> bool, now: Timestamp) {
        for (part, cached) in &mut self.parts {
            if is_stored(*part) {
                cached.observed_at = Some(now);
            }
        }
    }

    /// Time since the engine reported the expected cached start of the prompt, by its oldest
    /// part; `None` if any of its parts was never reported, or nothing is cached.
    pub fn observation_age(&self, parts: &[PromptPart], now: Timestamp) -> Option<Span> {
        let cached = parts.iter().map_while(|part| self.parts.get(&part.id));
        let ages = cached.map(|cached| cached.observed_at.map(|at| now.since(at)));
        ages.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    fn remove(&mut self, part: PartId) {
        if let Some(cached) = self.parts.remove(&part) {
            self.by_recency.remove(&cached.sequence);
            self.used -= u64::from(cached.tokens);
        }
    }

    /// Adds tokens that occupy memory and that no other request shares.
    pub fn insert_unshared(&mut self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.by_recency
            .insert(self.next_sequence, Entry::Unshared(tokens));
        self.next_sequence += 1;
        self.used += tokens;
        self.evict();
    }

    fn evict(&mut self) {
        while self.used > self.capacity {
            let Some((_, oldest)) = self.by_recency.pop_first() else {
                return;
            };
            self.used -= match oldest {
                Entry::Unshared(tokens) => tokens,
                Entry::Shared(part) => {
                    let cached = self.parts.remove(&part);
                    cached.map_or(0, |cached| u64::from(cached.tokens))
                }
            };
        }
    }

    fn touch(&mut self, part: PromptPart, computed_at: Timestamp) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let previous = self.parts.get(&part.id).copied();
        let previous_time = previous.map_or(computed_at, |previous| previous.computed_at);
        let cached = CachedPart {
            tokens: part.tokens,
            sequence,
            computed_at: computed_at.min(previous_time),
            observed_at: previous.and_then(|previous| previous.observed_at),
            is_shared: previous.is_some_and(|previous| previous.is_shared),
        };
        self.parts.insert(part.id, cached);
        if let Some(previous) = previous {
            self.by_recency.remove(&previous.sequence);
            self.used -= u64::from(previous.tokens);
        }
        self.by_recency.insert(sequence, Entry::Shared(part.id));
        self.used += u64::from(part.tokens);
    }
}
