//! What back ends said of their rate limits, to this node or to others, and what is told of it.
//!
//! Nodes that send nothing to a back end hear neither that its limit changed nor that it is over,
//! so each word is passed on; of two the one that was said later counts. A run's word holds until
//! the run says otherwise, however long ago it was said.

use crate::RateLimit;
use crate::load::limiter::LimitWord;
use eiderferry_routing::BackEnd;
use eiderferry_types::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Runs whose word is kept, some 100 bytes each: nearly half of a fleet of 10,000 back ends may
/// be limited at once.
const MOST_RUNS: usize = 4_096;
/// Time for which what has changed is told with each message: every node tells each other one,
/// or the aggregators that do, several times in it, so that single messages may be lost.
const TELLING_TIME: Span = Span::from_milliseconds(2_000);
/// Changed words told in one message, at some 15 bytes each.
const MOST_CHANGED_TOLD: usize = 24;
/// Others told in each message, in turn: nodes that were cut off, paused or started anew hear of
/// them, and all hear that a limit still holds.
const OTHERS_TOLD: usize = 6;
/// Words told to a node that has just started.
const MOST_TOLD_AT_START: usize = 64;
/// Time for which it is remembered that a limit is over: older words of it may still be on their
/// way.
const OVER_KEPT: Span = Span::from_milliseconds(60_000);
/// What the messages of one word may take on their way in all. The same limit, said no later than
/// that after the known word, is taken for that word: passed on and back it would never age.
const LATEST_ECHO: Span = Span::from_milliseconds(500);
/// What a message may take on its way, added where a limit is said to be over: passed on and
/// back, that word must not grow younger than one that names the limit.
const ON_THE_WAY: Span = Span::from_milliseconds(10);

/// What a back end said of its limit, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Digest of the back end's instance.
    pub back_end: u32,
    /// Its run, where it tells when it started.
    pub started_unix_ms: Option<u64>,
    /// The limit; `None` where it has none any more.
    pub limit: Option<RateLimit>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    started_unix_ms: Option<u64>,
    word: LimitWord,
    /// Until when it is told with each message.
    told_until: Timestamp,
}

impl Entry {
    fn report(&self, back_end: u32, now: Timestamp) -> LimitReport {
        let margin = if self.word.limit.is_none() {
            ON_THE_WAY
        } else {
            Span::ZERO
        };
        let age = now.since(self.word.said_at) + margin;
        LimitReport {
            back_end,
            started_unix_ms: self.started_unix_ms,
            limit: self.word.limit,
            age_ms: u32::try_from(age.milliseconds()).unwrap_or(u32::MAX),
        }
    }
}

/// A run of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Digest of its instance.
    pub back_end: u32,
    pub started_unix_ms: Option<u64>,
}

/// The words of runs that named a limit, by the digests of their instances: a node that starts
/// hears of limits before it hears which back ends there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitWords {
    entries: BTreeMap<u32, Entry>,
    turn: usize,
}

impl LimitWords {
    /// What a listed run said last.
    pub fn of(&self, digest: u32, back_end: &BackEnd) -> Option<LimitWord> {
        let entry = self.entries.get(&digest)?;
        let is_its_own = back_end.may_have_started(entry.started_unix_ms);
        is_its_own.then_some(entry.word)
    }

    /// Back ends that have, or had lately, a limit.
    pub fn back_ends(&self) -> impl Iterator<Item = u32> {
        self.entries.keys().copied()
    }

    /// Takes in what a run said, here or elsewhere, unless it has said something since.
    pub fn note(&mut self, run: Run, word: LimitWord, now: Timestamp) {
        let known = self.entries.get_mut(&run.back_end);
        let known = known.filter(|entry| entry.started_unix_ms == run.started_unix_ms);
        if let Some(entry) = known {
            let is_change = word.limit != entry.word.limit;
            let margin = if is_change { Span::ZERO } else { LATEST_ECHO };
            if word.said_at <= entry.word.said_at + margin {
                return;
            }
            if is_change {
                entry.told_until = now + TELLING_TIME;
            }
            entry.word = word;
            return;
        }
        if word.limit.is_none() {
            return;
        }
        self.make_room();
        let entry = Entry {
            started_unix_ms: run.started_unix_ms,
            word,
            told_until: now + TELLING_TIME,
        };
        self.entries.insert(run.back_end, entry);
    }

    /// Forgets limits that are long over, and all of runs for which `is_gone` holds.
    pub fn expire(&mut self, is_gone: impl Fn(u32) -> bool, now: Timestamp) {
        self.entries.retain(|back_end, entry| {
            let age = now.since(entry.word.said_at);
            age < OVER_KEPT || (entry.word.limit.is_some() && !is_gone(*back_end))
        });
    }

    /// The word heard longest ago gives way.
    fn make_room(&mut self) {
        if self.entries.len() < MOST_RUNS {
            return;
        }
        let oldest = self.entries.iter();
        let oldest = oldest.min_by_key(|(_, entry)| entry.word.said_at);
        if let Some(oldest) = oldest.map(|(back_end, _)| *back_end) {
            self.entries.remove(&oldest);
        }
    }

    /// Whether anything has changed that is still told with each message.
    pub fn has_news(&self, now: Timestamp) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| now < entry.told_until)
    }

    /// What the next message tells: what has changed lately, and some of the others in turn.
    pub fn reports(&mut self, now: Timestamp) -> Vec<LimitReport> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.turn = self.turn.wrapping_add(1);
        let entries = self.entries.iter();
        let (changed, others): (Vec<Known<'_>>, Vec<Known<'_>>) =
            entries.partition(|(_, entry)| now < entry.told_until);
        let changed = in_turn(&changed, MOST_CHANGED_TOLD, self.turn);
        let others = in_turn(&others, OTHERS_TOLD, self.turn);
        let told = changed.chain(others);
        told.map(|(back_end, entry)| entry.report(*back_end, now))
            .collect()
    }

    /// What a node that has just started is told.
    pub fn reports_at_start(&mut self, now: Timestamp) -> Vec<LimitReport> {
        self.turn = self.turn.wrapping_add(1);
        let entries: Vec<Known<'_>> = self.entries.iter().collect();
        let told = in_turn(&entries, MOST_TOLD_AT_START, self.turn);
        told.map(|(back_end, entry)| entry.report(*back_end, now))
            .collect()
    }
}

type Known<'a> = (&'a u32, &'a Entry);

/// So many of the entries, others in each turn.
fn in_turn<'a>(
    entries: &'a [Known<'a>],
    most: usize,
    turn: usize,
) -> impl Iterator<Item = Known<'a>> {
    let first = turn.wrapping_mul(most) % entries.len().max(1);
    let (later, sooner) = entries.split_at(first);
    let all = sooner.iter().chain(later);
    all.take(most).copied()
}
