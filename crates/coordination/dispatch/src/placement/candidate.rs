//! Choice of a back end: what each would cost, in one unit.
//!
//! All costs are times. A request that misses its target costs [`LATE_REQUEST_COST`]; prices
//! of other things are set against that.

use eiderferry_types::Span;

/// What a request that misses its target costs: about the target of a first event, so
/// that a delay of one target weighs as much as a loss.
const LATE_REQUEST_COST: Span = Span::from_milliseconds(450);
/// Target for a first event up to which each millisecond before it counts in full. A longer
/// target leaves room, so that a wait counts in proportion: rather that than reading or
/// copying a prompt elsewhere. On a loaded day of 71 nodes 10.1 in place of 12.7 million
/// prompt tokens were read again and 210 in place of 439 GB copied, and a tenth more short
/// streams came in time, beside fewer readings.
const MAX_FULL_WEIGHT_TARGET: Span = Span::from_milliseconds(600);
/// Time that a full batch costs. A place in a batch costs next to nothing until the
/// batch is nearly full (a step of 64 streams takes half as long again as one of a
/// single stream), so the cost rises with the fifth power of its fullness: streams
/// gather, and leave other engines to long prompts. Near the end it makes up for
/// choices that other nodes make at the same moment.
const FULL_BATCH_COST: Span = Span::from_milliseconds(256);
/// Time that a request costs beyond a full batch at least: it waits for an end.
const QUEUEING_COST: Span = Span::from_milliseconds(1_000);
/// What reading a shared prompt token again is held to cost beside its time, in
/// microseconds: the room it takes from other prompts, and the work done twice.
const RECOMPUTE_COST_PER_TOKEN: u64 = 70;
/// The same for a token copied from another engine.
pub(crate) const COPY_COST_PER_TOKEN: u64 = 30;
/// Part of an engine's memory beyond which requests begin to push each other out:
/// what is known of the others is some hundred milliseconds old.
const MEMORY_PRESSURE_THRESHOLD: f64 = 0.75;
/// What a request costs that fills the memory to the end: it, or another, is put back
/// and read anew.
const FULL_MEMORY_COST: Span = Span::from_milliseconds(2_000);

/// What a failure costs a request that may be sent again, and one that may not.
const RETRYABLE_FAILURE: Span = Span::from_milliseconds(800);
pub(crate) const PERMANENT_FAILURE: Span = Span::from_milliseconds(4_000);

/// A back end that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Expected time to the first event there.
    pub first_event: Span,
    /// Time within which the first event is in time.
    pub target: Span,
    /// Shared prompt tokens that it would have to read although another has them.
    pub recomputed_tokens: u32,
    /// Whether it is the one that all nodes prefer for the request's prompt.
    pub is_home: bool,
    /// Shared prompt tokens that it would have to copy from another.
    pub copied_tokens: u32,
    /// Chance that prompts read there make the request's own events late.
    pub own_delay_probability: f64,
    /// Streams there that its prompt would make late, in expectation.
    pub delayed_streams: f64,
    /// Requests there.
    pub running: u32,
    /// Requests that run there at once.
    pub slots: u32,
    /// Part of its memory that is taken with the request; 0 where it has none.
    pub memory_fraction: f64,
    /// What the bytes on the way there cost, as a time.
    pub network_cost: Span,
    /// By how much its share of failures exceeds that of its pool.
    pub excess_failures: f64,
    /// Whether the request may be sent again.
    pub may_retry: bool,
}

impl Candidate {
    /// What choosing it costs, as a time.
    pub fn cost(&self) -> Span {
        self.first_event_cost()
            + self.network_cost
            + self.batch_cost()
            + self.memory_cost()
            + self.prefill_cost()
            + LATE_REQUEST_COST.scaled(self.late_first_event_probability())
            + LATE_REQUEST_COST.scaled(self.own_delay_probability + self.delayed_streams)
            + self.failure_cost()
    }

    /// What the time to the first event costs, without the chance that it comes late.
    fn first_event_cost(&self) -> Span {
        let weight =
            MAX_FULL_WEIGHT_TARGET.0 as f64 / self.target.max(MAX_FULL_WEIGHT_TARGET).0 as f64;
        self.first_event.scaled(weight)
    }

    /// Chance that the first event comes late: prompts that other nodes sent a moment ago
    /// are not known yet, and the longer the known queue the more of them there are.
    fn late_first_event_probability(&self) -> f64 {
        if self.target == Span::ZERO {
            return 0.0;
        }
        let target_share = self.first_event.0 as f64 / self.target.0 as f64;
        target_share.min(1.0).powi(2)
    }

    fn batch_cost(&self) -> Span {
        let slots = f64::from(self.slots.max(1));
        let fullness = f64::from(self.running) / slots;
        let queueing_cost = if self.running >= self.slots {
            QUEUEING_COST.scaled(fullness)
        } else {
            Span::ZERO
        };
        FULL_BATCH_COST.scaled(fullness.powi(5)) + queueing_cost
    }

    fn memory_cost(&self) -> Span {
        let excess =
            (self.memory_fraction - MEMORY_PRESSURE_THRESHOLD) / (1.0 - MEMORY_PRESSURE_THRESHOLD);
        FULL_MEMORY_COST.scaled(excess.max(0.0))
    }

    fn prefill_cost(&self) -> Span {
        let recompute_cost = u64::from(self.recomputed_tokens) * RECOMPUTE_COST_PER_TOKEN;
        let copy_cost = u64::from(self.copied_tokens) * COPY_COST_PER_TOKEN;
        Span(recompute_cost + copy_cost)
    }

    fn failure_cost(&self) -> Span {
        let failure = if self.may_retry {
            RETRYABLE_FAILURE
        } else {
            PERMANENT_FAILURE
        };
        failure.scaled(self.excess_failures)
    }
}

/// Index of the cheapest candidate.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().enumerate();
    costs
        .min_by_key(|(_, candidate)| candidate.cost())
        .map(|(index, _)| index)
}
