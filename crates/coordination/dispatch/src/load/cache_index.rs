//! What one engine has told of its cache, and where that differs from what is believed.

use crate::{PrefixCache, PromptPart};
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, HashSet};

/// Parts remembered of one engine, those that it dropped included. An engine with 470,000
/// tokens holds some 1,900 parts of 250 tokens.
const MAX_PARTS: usize = 4_096;
/// Time for which an event may be under way: what was expected to be read later than this
/// before an answer isn't contradicted by it.
pub(crate) const EVENT_DELAY: Span = Span::from_milliseconds(1_000);
/// Shortest and longest time between two calls at an engine. Calls that return early are
/// priced, so the pace follows what they gain.
const MIN_CALL_INTERVAL: Span = Span::from_milliseconds(1_000);
const MAX_CALL_INTERVAL: Span = Span::from_milliseconds(16_000);
/// Answers without a correction, at the longest pace, after which an engine is left alone.
const MAX_UNCORRECTED_RESPONSES: u32 = 2;
/// Time for which it is left alone.
const IDLE_CALL_INTERVAL: Span = Span::from_milliseconds(60_000);
/// Pause after a call that gave nothing, doubled with each further one.
const INITIAL_RETRY_DELAY: Span = Span::from_milliseconds(1_000);
/// Most times that the pause is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 5;
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
struct StoredPart {
    tokens: u32,
    number: u64,
}

/// What one engine has told of its cache.
#[derive(Clone, Debug)]
pub(crate) struct CacheIndex {
    since: Timestamp,
    epoch: Option<u64>,
    next_event: u64,
    /// Events before this number are in the listing.
    listed_through: u64,
    stored: HashMap<PartId, StoredPart>,
    last_response_at: Timestamp,
    next_call: Timestamp,
    call_interval: Span,
    uncorrected_responses: u32,
    consecutive_failures: u32,
    is_call_pending: bool,
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
            next_event: 0,
            listed_through: 0,
            stored: HashMap::new(),
            last_response_at: Timestamp::default(),
            next_call: now,
            call_interval: MIN_CALL_INTERVAL,
            uncorrected_responses: 0,
            consecutive_failures: 0,
            is_call_pending: false,
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
        if self.is_call_pending || now < self.next_call {
            return None;
        }
        self.is_call_pending = true;
        Some(match self.epoch {
            None => CacheCall::List,
            Some(_) => CacheCall::Events {
                after: self.next_event,
                wait: LONG_POLL_TIME,
            },
        })
    }

    /// Takes an answer in; whether what the engine keeps is known by it.
    pub fn handle_response(&mut self, response: CacheResponse, now: Timestamp) -> bool {
        self.is_call_pending = false;
        match response {
            CacheResponse::Listing(listing) => self.apply_listing(listing, now),
            CacheResponse::Events(events) => self.apply_events(events, now),
            CacheResponse::Refused | CacheResponse::Failed | CacheResponse::Malformed => {
                self.record_failed_call(now);
                false
            }
        }
    }

    fn apply_listing(&mut self, listing: CacheListing, now: Timestamp) -> bool {
        let number = listing.next.saturating_sub(1);
        let kept = listing.kept.iter().take(MAX_PARTS);
        let stored = kept.map(|part| {
            let tokens = part.tokens;
            (part.id, StoredPart { tokens, number })
        });
        self.stored = stored.collect();
        self.epoch = Some(listing.epoch);
        self.next_event = listing.next;
        self.listed_through = number;
        self.counts.listings += 1;
        self.record_successful_call(now);
        true
    }

    fn apply_events(&mut self, report: CacheEvents, now: Timestamp) -> bool {
        if report.has_gap || self.epoch != Some(report.epoch) {
            self.counts.gaps += 1;
            self.epoch = None;
            self.next_call = now;
            return false;
        }
        for event in &report.events {
            self.apply_event(event);
        }
        self.next_event = self.next_event.max(report.next);
        self.counts.responses += 1;
        self.counts.events += report.events.len() as u64;
        self.prune_removed();
        self.record_successful_call(now);
        true
    }

    /// The event with the highest number counts for a part, in whatever order they come.
    fn apply_event(&mut self, event: &CacheEvent) {
        let previous = self.stored.get(&event.part);
        let is_older = previous.is_some_and(|stored| stored.number > event.number);
        if is_older || event.number < self.listed_through {
            return;
        }
        let stored = StoredPart {
            tokens: event.tokens,
            number: event.number,
        };
        self.stored.insert(event.part, stored);
    }

    /// Dropped parts are remembered only against events that come out of order.
    fn prune_removed(&mut self) {
        if self.stored.len() > MAX_PARTS {
            self.stored.retain(|_, stored| stored.tokens > 0);
        }
        if self.stored.len() > MAX_PARTS {
            // More than an engine can hold: it is asked for all of it again.
            self.epoch = None;
            self.stored.clear();
        }
    }

    fn record_successful_call(&mut self, now: Timestamp) {
        self.last_response_at = now;
        self.consecutive_failures = 0;
        self.next_call = now + self.call_interval;
    }

    fn record_failed_call(&mut self, now: Timestamp) {
        self.counts.failed_calls += 1;
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        self.consecutive_failures += 1;
        self.next_call = now + INITIAL_RETRY_DELAY * (1 << doublings);
    }

    /// Sets the pace by what the last answer corrected.
    pub fn record_corrections(&mut self, count: usize, now: Timestamp) {
        self.counts.corrections += count as u64;
        if count > 0 {
            self.uncorrected_responses = 0;
            self.call_interval = Span(self.call_interval.0 / 2).max(MIN_CALL_INTERVAL);
        } else {
            self.call_interval = (self.call_interval * 2).min(MAX_CALL_INTERVAL);
            self.uncorrected_responses += u32::from(self.call_interval == MAX_CALL_INTERVAL);
        }
        self.next_call = now + self.call_interval;
        if self.uncorrected_responses > MAX_UNCORRECTED_RESPONSES {
            self.uncorrected_responses = 0;
            self.next_call = now + IDLE_CALL_INTERVAL;
        }
    }

    pub fn stored_tokens(&self, part: PartId) -> Option<u32> {
        let stored = self.stored.get(&part)?;
        (stored.tokens > 0).then_some(stored.tokens)
    }

    /// Parts believed kept that the engine doesn't hold.
    pub fn stale_parts(&self, believed: &PrefixCache) -> Vec<PartId> {
        let cutoff = self.last_response_at - EVENT_DELAY;
        let parts = believed.computed_before(cutoff);
        let mut stale: Vec<PartId> = parts
            .filter(|part| self.stored_tokens(*part).is_none())
            .collect();
        stale.sort_unstable();
        stale
    }

    /// Parts that the engine holds and that aren't believed kept, of those that requests are
    /// known to share.
    pub fn missing_parts(
        &self,
        believed: &PrefixCache,
        shared: &HashSet<PartId>,
    ) -> Vec<PromptPart> {
        let stored = self.stored.iter().filter(|(_, stored)| stored.tokens > 0);
        let missing =
            stored.filter(|(part, _)| shared.contains(part) && !believed.contains(**part));
        let mut missing: Vec<PromptPart> = missing
            .map(|(part, stored)| PromptPart {
                id: *part,
                tokens: stored.tokens,
            })
            .collect();
        missing.sort_unstable_by_key(|part| part.id);
        missing
    }
}
