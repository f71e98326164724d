//! What a node believes an engine keeps of the prompts it has read.

use super::cache_index::EVENT_DELAY;
use crate::PromptPart;
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Part of an engine's memory assumed to hold kept prompts.
const USABLE_PART: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    order: u64,
    /// When it has been read, as far as that can be expected.
    read_at: Timestamp,
    /// When the engine itself told that it keeps it.
    known_at: Option<Timestamp>,
    /// Whether requests are known to share it.
    is_shared: bool,
}

/// What was read or made at one moment.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// A part that requests share.
    Shared(PartId),
    /// So many tokens that only one request has.
    Single(u64),
}

fn usable(engine_tokens: u64) -> u64 {
    (engine_tokens as f64 * USABLE_PART) as u64
}

/// Parts of prompts that an engine is believed to keep, least recently used first
/// to go.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    engine_tokens: u64,
    capacity: u64,
    used: u64,
    next_order: u64,
    parts: HashMap<PartId, Kept>,
    by_age: BTreeMap<u64, Entry>,
}

impl PrefixCache {
    /// An empty cache of an engine with memory for so many tokens.
    pub fn new(engine_tokens: u64) -> Self {
        Self {
            engine_tokens,
            capacity: usable(engine_tokens),
            used: 0,
            next_order: 0,
            parts: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// The engine has memory for so many tokens.
    pub fn set_engine_tokens(&mut self, engine_tokens: u64) {
        self.engine_tokens = engine_tokens;
        self.capacity = usable(engine_tokens);
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
        parts.map(|(part, kept)| (*part, kept.tokens))
    }

    /// Tokens at the beginning of the prompt that need not be read.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.contains(part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// The same of what has been read by now: what is still being read can't be copied.
    pub fn computed_tokens(&self, parts: &[PromptPart], now: Timestamp) -> u32 {
        let kept = parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|kept| (part, kept)));
        let read = kept.take_while(|(_, kept)| kept.read_at <= now);
        read.map(|(part, _)| part.tokens).sum()
    }

    /// Whether a part is kept.
    pub fn contains(&self, part: PartId) -> bool {
        self.parts.contains_key(&part)
    }

    /// Notes that a prompt will have been read by then.
    pub fn insert(&mut self, parts: &[PromptPart], read_at: Timestamp) {
        for part in parts.iter().rev() {
            self.touch(*part, read_at);
        }
        self.evict();
    }

    /// Notes that these parts, which are kept, are ones that requests share.
    pub fn record_shared(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if let Some(kept) = self.parts.get_mut(&part.id) {
                kept.is_shared = true;
            }
        }
    }

    fn shared(&self) -> impl Iterator<Item = (PartId, &Kept)> {
        let shared = self.parts.iter().filter(|(_, kept)| kept.is_shared);
        shared.map(|(part, kept)| (*part, kept))
    }

    /// Shared parts that are believed kept.
    pub fn parts(&self) -> impl Iterator<Item = PartId> {
        self.shared().map(|(part, _)| part)
    }

    /// Shared parts believed kept that have been read by a moment.
    pub(crate) fn read_before(&self, moment: Timestamp) -> impl Iterator<Item = PartId> {
        let read = self.shared().filter(move |(_, kept)| kept.read_at < moment);
        read.map(|(part, _)| part)
    }

    /// The engine itself told how much it keeps of a part. What is being read there just now
    /// may not have reached that word.
    pub fn apply_observation(&mut self, part: PartId, tokens: u32, now: Timestamp) {
        let known = self.parts.get(&part);
        if tokens == 0 {
            if known.is_some_and(|kept| kept.read_at + EVENT_DELAY < now) {
                self.remove(part);
            }
            return;
        }
        if known.is_none() {
            self.insert(&[PromptPart { id: part, tokens }], now);
        }
        if let Some(kept) = self.parts.get_mut(&part) {
            kept.known_at = Some(now);
            kept.is_shared = true;
        }
    }

    /// The engine told just now what it holds.
    pub(crate) fn confirm(&mut self, holds: impl Fn(PartId) -> bool, now: Timestamp) {
        for (part, kept) in &mut self.parts {
            if holds(*part) {
                kept.known_at = Some(now);
            }
        }
    }

    /// How long ago the engine itself told that it keeps what is expected of the beginning of
    /// a prompt; `None` where that is only believed, or nothing is kept.
    pub fn observation_age(&self, parts: &[PromptPart], now: Timestamp) -> Option<Span> {
        let kept = parts.iter().map_while(|part| self.parts.get(&part.id));
        let ages = kept.map(|kept| kept.known_at.map(|at| now.since(at)));
        ages.collect::<Option<Vec<Span>>>()?.into_iter().max()
    }

    fn remove(&mut self, part: PartId) {
        if let Some(kept) = self.parts.remove(&part) {
            self.by_age.remove(&kept.order);
            self.used -= u64::from(kept.tokens);
        }
    }

    /// Notes tokens that take room and that no other request shares.
    pub fn insert_unshared(&mut self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.by_age.insert(self.next_order, Entry::Single(tokens));
        self.next_order += 1;
        self.used += tokens;
        self.evict();
    }

    fn evict(&mut self) {
        while self.used > self.capacity {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.used -= match oldest {
                Entry::Single(tokens) => tokens,
                Entry::Shared(part) => {
                    let kept = self.parts.remove(&part);
                    kept.map_or(0, |kept| u64::from(kept.tokens))
                }
            };
        }
    }

    fn touch(&mut self, part: PromptPart, read_at: Timestamp) {
        let order = self.next_order;
        self.next_order += 1;
        let previous = self.parts.get(&part.id).copied();
        let read_before = previous.map_or(read_at, |previous| previous.read_at);
        let kept = Kept {
            tokens: part.tokens,
            order,
            read_at: read_at.min(read_before),
            known_at: previous.and_then(|previous| previous.known_at),
            is_shared: previous.is_some_and(|previous| previous.is_shared),
        };
        self.parts.insert(part.id, kept);
        if let Some(previous) = previous {
            self.by_age.remove(&previous.order);
            self.used -= u64::from(previous.tokens);
        }
        self.by_age.insert(order, Entry::Shared(part.id));
        self.used += u64::from(part.tokens);
    }
}
