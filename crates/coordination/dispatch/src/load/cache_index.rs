//! The contents of one engine's prefix cache as the engine reports them, and the differences from
//! this node's estimate.

use crate::{PrefixCache, PromptPart};
use eiderferry_routing::PartId;
use eiderferry_types::{Span, Timestamp};
use std::collections::{HashMap, HashSet};

/// Parts remembered for one engine, including removed ones. An engine with memory for 470,000
/// tokens holds about 1,900 parts of 250 tokens.
const MAX_PARTS: usize = 4_096;
/// Time that an event may take to arrive. A response doesn't contradict a part whose prefill was
/// expected to be complete less than this before it.
pub(crate) const EVENT_DELAY: Span = Span::from_milliseconds(1_000);
/// Shortest and longest time between two calls to an engine. Calls that return early have a cost,
/// so the interval depends on how many corrections they yield.
const MIN_CALL_INTERVAL: Span = Span::from_milliseconds(1_000);
const MAX_CALL_INTERVAL: Span = Span::from_milliseconds(16_000);
/// Responses without a correction at the longest interval; when one more follows, the engine is
/// not called for `IDLE_CALL_INTERVAL`.
const MAX_UNCORRECTED_RESPONSES: u32 = 2;
/// Time without calls to an engine whose responses yield no corrections.
const IDLE_CALL_INTERVAL: Span = Span::from_milliseconds(60_000);
/// Delay after the first failed call; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Span = Span::from_milliseconds(1_000);
/// Maximum number of times that the delay is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 5;
/// Time for which an engine may hold a long-polling call open.
pub(crate) const LONG_POLL_TIME: Span = Span::from_milliseconds(1_000);

/// A change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number that the engine gives the event.
    pub number: u64,
    /// The prompt part that changed.
    pub part: PartId,
    /// Number of its tokens that are cached from now on; 0 if it was removed.
    pub tokens: u32,
}

/// Response to a call for the events after a sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvents {
    /// Identifies one lifetime of the engine's cache; it changes with each restart.
    pub epoch: u64,
    /// Sequence number from which the next call continues.
    pub next_event: u64,
    /// Whether events before these have been lost.
    pub has_gap: bool,
    /// The events; they may be out of order.
    pub events: Vec<CacheEvent>,
}

/// The complete contents of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheListing {
    /// Identifies one lifetime of the engine's cache.
    pub epoch: u64,
    /// Sequence number from which the first call for events continues.
    pub next_event: u64,
    /// The cached prompt parts.
    pub parts: Vec<PromptPart>,
}

/// A call to be made to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheCall {
    /// Requests the complete contents of the cache.
    List,
    /// Requests the events after a sequence number.
    Events {
        /// The sequence number to continue from.
        after: u64,
        /// How long the engine may hold the call open.
        wait: Span,
    },
}

/// Result of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheResponse {
    /// The complete contents of the cache.
    Listing(CacheListing),
    /// Changes since the previous call.
    Events(CacheEvents),
    /// The engine already holds too many such calls open.
    Refused,
    /// No response was received.
    Failed,
    /// The response could not be parsed.
    Malformed,
}

/// Counters of the calls to an engine and their results, for metrics and the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowCounts {
    /// Listings applied.
    pub listings: u64,
    /// Responses with events applied.
    pub responses: u64,
    /// Events applied.
    pub events: u64,
    /// Gaps in the events, including restarts of the engine's cache.
    pub gaps: u64,
    /// Corrections made to the estimate of the cache.
    pub corrections: u64,
    /// Calls that failed, were refused, or returned a malformed response.
    pub failed_calls: u64,
}

/// A prompt part as the engine last reported it. Removed parts have 0 tokens.
#[derive(Clone, Copy, Debug)]
struct StoredPart {
    tokens: u32,
    number: u64,
}

/// The contents of one engine's cache, as reported by the engine.
#[derive(Clone, Debug)]
pub(crate) struct CacheIndex {
    followed_since: Timestamp,
    epoch: Option<u64>,
    next_event: u64,
    /// Sequence number of the last event reflected in the listing; events with lower numbers are
    /// ignored.
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
    /// Adds the counters of another engine.
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
    /// Starts following an engine.
    pub fn new(now: Timestamp) -> Self {
        Self {
            followed_since: now,
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

    /// When this node started to follow the engine.
    pub fn followed_since(&self) -> Timestamp {
        self.followed_since
    }

    /// Counters of the calls to the engine and their results.
    pub fn counts(&self) -> FollowCounts {
        self.counts
    }

    /// Returns the call that is due, if any. At most one call is pending at a time.
    pub fn next_due_call(&mut self, now: Timestamp) -> Option<CacheCall> {
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

    /// Applies the result of a call. Returns whether the contents of the engine's cache are known
    /// after it.
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
        let number = listing.next_event.saturating_sub(1);
        let parts = listing.parts.iter().take(MAX_PARTS);
        let stored = parts.map(|part| {
            let tokens = part.tokens;
            (part.id, StoredPart { tokens, number })
        });
        self.stored = stored.collect();
        self.epoch = Some(listing.epoch);
        self.next_event = listing.next_event;
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
        self.next_event = self.next_event.max(report.next_event);
        self.counts.responses += 1;
        self.counts.events += report.events.len() as u64;
        self.prune_removed();
        self.record_successful_call(now);
        true
    }

    /// Events may arrive out of order: the one with the highest number determines the state of a
    /// part.
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

    /// Removed parts are kept only to reject older events that arrive late, so they are dropped
    /// when there are too many parts.
    fn prune_removed(&mut self) {
        if self.stored.len() > MAX_PARTS {
            self.stored.retain(|_, stored| stored.tokens > 0);
        }
        if self.stored.len() > MAX_PARTS {
            // These are more parts than an engine can hold, so the next call requests a complete
            // listing.
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

    /// Adapts the call interval to the number of corrections that the last response led to.
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

    /// Parts that are believed to be cached but that the engine doesn't have.
    pub fn stale_parts(&self, believed: &PrefixCache) -> Vec<PartId> {
        let cutoff = self.last_response_at - EVENT_DELAY;
        let parts = believed.computed_before(cutoff);
        let mut stale: Vec<PartId> = parts
            .filter(|part| self.stored_tokens(*part).is_none())
            .collect();
        stale.sort_unstable();
        stale
    }

    /// Parts that the engine has cached and that are not believed to be cached, limited to those
    /// that requests are known to share.
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
