//! What one engine has told of its cache, and where that differs from what is believed.

use crate::{PrefixCache, PromptPart};
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, HashSet};

/// Parts remembered of one engine, those that it dropped included. An engine with 470,000
/// tokens holds some 1,900 parts of 250 tokens.
const MOST_PARTS: usize = 4_096;
/// Time for which an event may be under way: what was expected to be read later than this
/// before an answer isn't contradicted by it.
pub(crate) const EVENT_DELAY: Span = Span::from_milliseconds(1_000);
/// Shortest and longest time between two calls at an engine. Calls that return early are
/// priced, so the pace follows what they gain.
const SHORTEST_PACE: Span = Span::from_milliseconds(1_000);
const LONGEST_PACE: Span = Span::from_milliseconds(16_000);
/// Answers without a correction, at the longest pace, after which an engine is left alone.
const VAIN_ANSWERS: u32 = 2;
/// Time for which it is left alone.
const REST: Span = Span::from_milliseconds(60_000);
/// Pause after a call that gave nothing, doubled with each further one.
const FAILURE_PAUSE: Span = Span::from_milliseconds(1_000);
/// Most times that the pause is doubled.
const MOST_DOUBLINGS: u32 = 5;
/// Time for which an engine may hold a call.
pub(crate) const LONG_POLL_TIME: Span = Span::from_milliseconds(1_000);

/// A change of what an engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its number; the engine counts its events.
    pub number: u64,
    /// The part.
    pub part: PartId,
    /// Tokens of it that are kept from now on.
    pub tokens: u32,
}

/// The events that follow on a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvents {
    /// Run of the engine's cache: another one after each restart.
    pub epoch: u64,
    /// Where the next call goes on.
    pub next: u64,
    /// Events before these are lost.
    pub has_gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// All that an engine keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheListing {
    /// Run of the engine's cache.
    pub epoch: u64,
    /// Where the first call for events goes on.
    pub next: u64,
    /// The parts.
    pub kept: Vec<PromptPart>,
}

/// What an engine is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheCall {
    /// All that it keeps.
    List,
    /// What changed.
    Events {
        /// The number to go on from.
        after: u64,
        /// How long the engine may hold the call.
        wait: Span,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheResponse {
    /// All that the engine keeps.
    Listing(CacheListing),
    /// What changed.
    Events(CacheEvents),
    /// Too many such calls are held there.
    Refused,
    /// No answer came.
    Failed,
    /// The answer has no known shape.
    Malformed,
}

/// How an engine is followed, for metrics and the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowCounts {
    /// Listings taken.
    pub listings: u64,
    /// Answers with events taken.
    pub responses: u64,
    /// Events taken.
    pub events: u64,
    /// Gaps, and restarts of the engine's cache.
    pub gaps: u64,
    /// Beliefs that were corrected.
    pub corrections: u64,
    /// Calls that gave nothing.
    pub failed_calls: u64,
}

/// What an engine is known to hold of a part.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    number: u64,
}

/// What one engine has told of its cache.
#[derive(Clone, Debug)]
pub(crate) struct CacheIndex {
    since: Timestamp,
    epoch: Option<u64>,
    next: u64,
    /// Events before this number are in the listing.
    listed_to: u64,
    held: HashMap<PartId, Held>,
    heard: Timestamp,
    next_call: Timestamp,
    pace: Span,
    answers_in_vain: u32,
    failures: u32,
    is_asked: bool,
    counts: FollowCounts,
}

impl FollowCounts {
    /// Adds those of another engine.
    pub(crate) fn add(&mut self, other: Self) {
        self.listings += other.listings;
        self.responses += other.responses;
        self.events += other.events;
        self.gaps += other.gaps;
        self.corrections += other.corrections;
        self.failed_calls += other.failed_calls;
    }
}

impl CacheIndex {
    /// An engine followed from now on.
    pub fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            epoch: None,
            next: 0,
            listed_to: 0,
            held: HashMap::new(),
            heard: Timestamp::default(),
            next_call: now,
            pace: SHORTEST_PACE,
            answers_in_vain: 0,
            failures: 0,
            is_asked: false,
            counts: FollowCounts::default(),
        }
    }

    /// When it began to be followed.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// How it is followed.
    pub fn counts(&self) -> FollowCounts {
        self.counts
    }

    /// The call that is due; there is never more than one under way.
    pub fn call(&mut self, now: Timestamp) -> Option<CacheCall> {
        if self.is_asked || now < self.next_call {
            return None;
        }
        self.is_asked = true;
        Some(match self.epoch {
            None => CacheCall::List,
            Some(_) => CacheCall::Events {
                after: self.next,
                wait: LONG_POLL_TIME,
            },
        })
    }

    /// Takes an answer in; whether what the engine keeps is known by it.
    pub fn handle_response(&mut self, answer: CacheResponse, now: Timestamp) -> bool {
        self.is_asked = false;
        match answer {
            CacheResponse::Listing(listing) => self.apply_listing(listing, now),
            CacheResponse::Events(events) => self.take_events(events, now),
            CacheResponse::Refused | CacheResponse::Failed | CacheResponse::Malformed => {
                self.record_failed_call(now);
                false
            }
        }
    }

    fn apply_listing(&mut self, listing: CacheListing, now: Timestamp) -> bool {
        let number = listing.next.saturating_sub(1);
        let kept = listing.kept.iter().take(MOST_PARTS);
        let held = kept.map(|part| {
            let tokens = part.tokens;
            (part.id, Held { tokens, number })
        });
        self.held = held.collect();
        self.epoch = Some(listing.epoch);
        self.next = listing.next;
        self.listed_to = number;
        self.counts.listings += 1;
        self.record_heard(now);
        true
    }

    fn take_events(&mut self, report: CacheEvents, now: Timestamp) -> bool {
        if report.has_gap || self.epoch != Some(report.epoch) {
            self.counts.gaps += 1;
            self.epoch = None;
            self.next_call = now;
            return false;
        }
        for event in &report.events {
            self.take_event(event);
        }
        self.next = self.next.max(report.next);
        self.counts.responses += 1;
        self.counts.events += report.events.len() as u64;
        self.forget_dropped();
        self.record_heard(now);
        true
    }

    /// The event with the highest number counts for a part, in whatever order they come.
    fn take_event(&mut self, event: &CacheEvent) {
        let known = self.held.get(&event.part);
        let is_older = known.is_some_and(|held| held.number > event.number);
        if is_older || event.number < self.listed_to {
            return;
        }
        let held = Held {
            tokens: event.tokens,
            number: event.number,
        };
        self.held.insert(event.part, held);
    }

    /// Dropped parts are remembered only against events that come out of order.
    fn forget_dropped(&mut self) {
        if self.held.len() > MOST_PARTS {
            self.held.retain(|_, held| held.tokens > 0);
        }
        if self.held.len() > MOST_PARTS {
            // More than an engine can hold: it is asked for all of it again.
            self.epoch = None;
            self.held.clear();
        }
    }

    fn record_heard(&mut self, now: Timestamp) {
        self.heard = now;
        self.failures = 0;
        self.next_call = now + self.pace;
    }

    fn record_failed_call(&mut self, now: Timestamp) {
        self.counts.failed_calls += 1;
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.next_call = now + FAILURE_PAUSE * (1 << doublings);
    }

    /// Sets the pace by what the last answer corrected.
    pub fn record_corrections(&mut self, count: usize, now: Timestamp) {
        self.counts.corrections += count as u64;
        if count > 0 {
            self.answers_in_vain = 0;
            self.pace = Span(self.pace.0 / 2).max(SHORTEST_PACE);
        } else {
            self.pace = (self.pace * 2).min(LONGEST_PACE);
            self.answers_in_vain += u32::from(self.pace == LONGEST_PACE);
        }
        self.next_call = now + self.pace;
        if self.answers_in_vain > VAIN_ANSWERS {
            self.answers_in_vain = 0;
            self.next_call = now + REST;
        }
    }

    pub fn stored_tokens(&self, part: PartId) -> Option<u32> {
        let held = self.held.get(&part)?;
        (held.tokens > 0).then_some(held.tokens)
    }

    /// Parts believed kept that the engine doesn't hold.
    pub fn stale_parts(&self, believed: &PrefixCache) -> Vec<PartId> {
        let settled = self.heard - EVENT_DELAY;
        let parts = believed.read_before(settled);
        let mut wrong: Vec<PartId> = parts
            .filter(|part| self.stored_tokens(*part).is_none())
            .collect();
        wrong.sort_unstable();
        wrong
    }

    /// Parts that the engine holds and that aren't believed kept, of those that requests are
    /// known to share.
    pub fn missing_parts(
        &self,
        believed: &PrefixCache,
        shared: &HashSet<PartId>,
    ) -> Vec<PromptPart> {
        let held = self.held.iter().filter(|(_, held)| held.tokens > 0);
        let unknown = held.filter(|(part, _)| shared.contains(part) && !believed.contains(**part));
        let mut unknown: Vec<PromptPart> = unknown
            .map(|(part, held)| PromptPart {
                id: *part,
                tokens: held.tokens,
            })
            .collect();
        unknown.sort_unstable_by_key(|part| part.id);
        unknown
    }
}
