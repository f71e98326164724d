//! Choice of a back end.

use eiderferry_types::Span;

/// Time that a request in another zone is held to cost more, for its bytes.
const OTHER_ZONE: Span = Span::from_milliseconds(20);
/// Time that each running request costs the others of its batch.
const PER_RUNNING: Span = Span::from_milliseconds(4);
/// Time that a full batch costs at least.
const FULL: Span = Span::from_milliseconds(1_000);
/// What reading a shared prompt token again is held to cost beside its time, in
/// microseconds: the room it takes from other prompts, and the work done twice.
const READ_AGAIN_PER_TOKEN: u64 = 70;
/// The same for a token copied from another engine.
const COPY_PER_TOKEN: u64 = 30;

/// Longest reading of a prompt that counts as disturbing one stream.
const LONGEST_DISTURBANCE: Span = Span::from_milliseconds(300);
/// What a disturbance of one sensitive stream costs, as a part of its length.
const DISTURBANCE_PART: f64 = 0.3;
/// What each request that may bring further prompts costs a sensitive stream.
const PER_NEIGHBOUR: Span = Span::from_milliseconds(10);

/// What a failure costs a request that may be sent again, and one that may not.
const FAILURE: Span = Span::from_milliseconds(800);
const FAILURE_FOR_GOOD: Span = Span::from_milliseconds(4_000);

/// How a request and those beside it disturb each other: while an engine reads a long
/// prompt, the events of all its streams come late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Interference {
    /// The request is a stream with short pauses.
    Suffered {
        /// Time to read the prompts that wait there.
        pending: Span,
        /// Requests there that are not sensitive themselves.
        others: u32,
    },
    /// The request's prompt is read beside streams with short pauses.
    Caused {
        /// Time to read it.
        reading: Span,
        /// Such streams there.
        sensitive: u32,
    },
}

impl Interference {
    fn cost(&self) -> Span {
        match self {
            Interference::Suffered { pending, others } => {
                Span(pending.0 + u64::from(*others) * PER_NEIGHBOUR.0)
            }
            Interference::Caused { reading, sensitive } => {
                let disturbance = reading.0.min(LONGEST_DISTURBANCE.0) as f64 * DISTURBANCE_PART;
                Span((disturbance * f64::from(*sensitive)) as u64)
            }
        }
    }
}

/// A back end that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected time to the first event there.
    pub first_event: Span,
    /// Shared prompt tokens that it would have to read although another has them.
    pub read_again: u32,
    /// Shared prompt tokens that it would have to copy from another.
    pub copied: u32,
    /// How the request and those there disturb each other.
    pub interference: Interference,
    /// Requests there.
    pub running: u32,
    /// Requests that run there at once.
    pub slots: u32,
    /// Whether it stands in the node's zone.
    pub is_near: bool,
    /// By how much its share of failures exceeds that of its pool.
    pub excess_failures: f64,
    /// Whether the request may be sent again.
    pub may_repeat: bool,
}

impl Candidate {
    /// What choosing it costs, as a time.
    pub fn cost(&self) -> Span {
        let zone = if self.is_near { 0 } else { OTHER_ZONE.0 };
        let waiting = u64::from(self.running.saturating_sub(self.slots));
        let full = if self.running >= self.slots {
            FULL.0 + waiting * FULL.0 / u64::from(self.slots.max(1))
        } else {
            0
        };
        let batch = u64::from(self.running) * PER_RUNNING.0;
        let read_again = u64::from(self.read_again) * READ_AGAIN_PER_TOKEN;
        let copied = u64::from(self.copied) * COPY_PER_TOKEN;
        let interference = self.interference.cost().0;
        let failure = if self.may_repeat {
            FAILURE
        } else {
            FAILURE_FOR_GOOD
        };
        let failures = (self.excess_failures * failure.0 as f64) as u64;
        Span(
            self.first_event.0
                + zone
                + full
                + batch
                + read_again
                + copied
                + interference
                + failures,
        )
    }
}

/// Index of the cheapest candidate.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().enumerate();
    costs
        .min_by_key(|(_, candidate)| candidate.cost())
        .map(|(index, _)| index)
}
