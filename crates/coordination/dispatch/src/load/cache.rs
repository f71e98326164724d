//! What a node believes an engine keeps of the prompts it has read.

use super::cache_index::EVENT_DELAY;
use crate::PromptPart;
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Part of an engine's memory assumed to hold kept prompts.
const USABLE_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    sequence: u64,
    /// When it has been read, as far as that can be expected.
    computed_at: Timestamp,
    /// When the engine itself told that it keeps it.
    observed_at: Option<Timestamp>,
    /// Whether requests are known to share it.
    is_shared: bool,
}

/// What was read or made at one moment.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// A part that requests share.
    Shared(PartId),
    /// So many tokens that only one request has.
    Unshared(u64),
}

fn usable_tokens(engine_tokens: u64) -> u64 {
    (engine_tokens as f64 * USABLE_SHARE) as u64
}

/// Parts of prompts that an engine is believed to keep, least recently used first
/// to go.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    engine_tokens: u64,
    capacity: u64,
    used: u64,
    next_sequence: u64,
    parts: HashMap<PartId, CachedPart>,
    by_recency: BTreeMap<u64, Entry>,
}

impl PrefixCache {
    /// An empty cache of an engine with memory for so many tokens.
    pub fn new(engine_tokens: u64) -> Self {
        Self {
            engine_tokens,
            capacity: usable_tokens(engine_tokens),
            used: 0,
            next_sequence: 0,
            parts: HashMap::new(),
            by_recency: BTreeMap::new(),
        }
    }

    /// The engine has memory for so many tokens.
    pub fn set_engine_tokens(&mut self, engine_tokens: u64) {
        self.engine_tokens = engine_tokens;
        self.capacity = usable_tokens(engine_tokens);
        self.evict();
    }

    /// Tokens that the engine has memory for; 0 for a back end that is no engine.
    pub fn engine_tokens(&self) -> u64 {
        self.engine_tokens
    }

    /// Tokens of kept prompts that it is assumed to have room for.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// The parts kept, with their lengths.
    pub fn parts_with_lengths(&self) -> impl Iterator<Item = (PartId, u32)> {
        let parts = self.parts.iter();
        parts.map(|(part, cached)| (*part, cached.tokens))
    }

    /// Tokens at the beginning of the prompt that need not be read.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.contains(part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// The same of what has been read by now: what is still being read can't be copied.
    pub fn computed_tokens(&self, parts: &[PromptPart], now: Timestamp) -> u32 {
        let cached = parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|cached| (part, cached)));
        let computed = cached.take_while(|(_, cached)| cached.computed_at <= now);
        computed.map(|(part, _)| part.tokens).sum()
    }

    /// Whether a part is kept.
    pub fn contains(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Notes that a prompt will have been read by then.
    pub fn insert(&mut self, parts: &[PromptPart], computed_at: Timestamp) {
        for part in parts.iter().rev() {
            self.touch(*part, computed_at);
        }
        self.evict();
    }

    /// Notes that these parts, which are kept, are ones that requests share.
    pub fn record_shared(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.is_shared = true;
            }
        }
    }

    fn shared_parts(&self) -> impl Iterator<Item = (PartId, &CachedPart)> {
        let shared = self.parts.iter().filter(|(_, cached)| cached.is_shared);
        shared.map(|(part, cached)| (*part, cached))
    }

    /// Shared parts that are believed kept.
    pub fn parts(&self) -> impl Iterator<Item = PartId> {
        self.shared_parts().map(|(part, _)| part)
    }

    /// Shared parts believed kept that have been read by a moment.
    pub(crate) fn computed_before(&self, moment: Timestamp) -> impl Iterator<Item = PartId> {
        let computed = self
            .shared_parts()
            .filter(move |(_, cached)| cached.computed_at < moment);
        computed.map(|(part, _)| part)
    }

    /// The engine itself told how much it keeps of a part. What is being read there just now
    /// may not have reached that word.
    pub fn apply_observation(&mut self, part: PartId, tokens: u32, now: Timestamp) {
        let known = self.parts.get(&part);
        if tokens == 0 {
            if known.is_some_and(|cached| cached.computed_at + EVENT_DELAY < now) {
                self.remove(part);
            }
            return;
        }
        if known.is_none() {
            self.insert(&[PromptPart { id: part, tokens }], now);
        }
        if let Some(cached) = self.parts.get_mut(&part) {
            cached.observed_at = Some(now);
            cached.is_shared = true;
        }
    }

    /// The engine told just now what it holds.
    pub(crate) fn confirm(&mut self, is_stored: impl Fn(PartId) -> bool, now: Timestamp) {
        for (part, cached) in &mut self.parts {
            if is_stored(*part) {
                cached.observed_at = Some(now);
            }
        }
    }

    /// How long ago the engine itself told that it keeps what is expected of the beginning of
    /// a prompt; `None` where that is only believed, or nothing is kept.
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

    /// Notes tokens that take room and that no other request shares.
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
