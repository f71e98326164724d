//! Cost model for choosing a back end.
//!
//! All costs are expressed as times. A request that misses its target costs
//! [`LATE_REQUEST_COST`]; the other costs are set relative to that.

use eiderferry_types::Span;

/// Cost of a request that misses its target. It is about the target for a first event, so that a
/// delay by one target weighs as much as a missed target.
const LATE_REQUEST_COST: Span = Span::from_milliseconds(450);
/// Longest first-event target at which each millisecond of waiting counts in full. With a longer
/// target there is slack, so waiting counts in proportion; waiting is then preferred to
/// prefilling or copying a prompt elsewhere. On a loaded day of 71 nodes this reduced recomputed
/// prompt tokens from 12.7 to 10.1 million and copied data from 439 to 210 GB. A tenth more short
/// streams met their targets, as fewer prefills ran beside them.
const MAX_FULL_WEIGHT_TARGET: Span = Span::from_milliseconds(600);
/// Cost of a full batch. A slot costs next to nothing until the batch is nearly full (a step of
/// 64 streams takes 1.5 times as long as a step of one), so the cost rises with the fifth power
/// of the batch's fullness. Streams thus gather on few engines and leave the others to long
/// prompts. The steep end compensates for choices that other nodes make at the same moment.
const FULL_BATCH_COST: Span = Span::from_milliseconds(256);
/// Minimum cost of exceeding a full batch, where a request has to wait for another one to end.
const QUEUEING_COST: Span = Span::from_milliseconds(1_000);
/// Additional cost of recomputing a cached shared prompt token, in microseconds, on top of the
/// prefill time: the cache space that other prompts lose, and the duplicated work.
const RECOMPUTE_COST_PER_TOKEN: u64 = 70;
/// Additional cost of copying a shared prompt token from another engine, in microseconds.
pub(crate) const COPY_COST_PER_TOKEN: u64 = 30;
/// Fraction of an engine's memory above which requests begin to evict each other. It is below 1
/// because the known loads of other nodes are some hundred milliseconds old.
const MEMORY_PRESSURE_THRESHOLD: f64 = 0.75;
/// Cost of a request that fills the memory completely: it, or another one, is preempted and
/// prefilled again.
const FULL_MEMORY_COST: Span = Span::from_milliseconds(2_000);

/// Costs of a failure of a request that may be retried, and of one that may not.
const RETRYABLE_FAILURE_COST: Span = Span::from_milliseconds(800);
pub(crate) const PERMANENT_FAILURE_COST: Span = Span::from_milliseconds(4_000);

/// A back end that may get a request, with the inputs of its cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Expected time to the first event.
    pub time_to_first_event: Span,
    /// Target for the time to the first event.
    pub target: Span,
    /// Shared prompt tokens that it would have to recompute although another engine has them
    /// cached.
    pub recomputed_tokens: u32,
    /// Whether it is the home of the request's prompt: the engine that all nodes prefer for it.
    pub is_home: bool,
    /// Shared prompt tokens that it would have to copy from another engine.
    pub copied_tokens: u32,
    /// Probability that prefills there delay the request's own events beyond its target.
    pub own_delay_probability: f64,
    /// Expected number of streams there that the request's prefill would delay beyond their
    /// targets.
    pub delayed_streams: f64,
    /// Requests running there.
    pub running: u32,
    /// Maximum number of requests that run there at once.
    pub slots: u32,
    /// Fraction of its memory in use with the request included; 0 if it has no memory limit.
    pub memory_fraction: f64,
    /// Cost of the request's network traffic, as a time.
    pub network_cost: Span,
    /// Excess of its failure share over its pool's usual one.
    pub excess_failures: f64,
    /// Whether the request may be retried.
    pub may_retry: bool,
}

impl Candidate {
    /// Total cost of choosing this back end, as a time.
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

    /// Cost of the time to the first event, without the risk of missing the target.
    fn first_event_cost(&self) -> Span {
        let weight =
            MAX_FULL_WEIGHT_TARGET.0 as f64 / self.target.max(MAX_FULL_WEIGHT_TARGET).0 as f64;
        self.time_to_first_event.scaled(weight)
    }

    /// Probability that the first event misses its target. Prompts that other nodes sent a moment
    /// ago are not known yet, and their number grows with the length of the known queue.
    fn late_first_event_probability(&self) -> f64 {
        if self.target == Span::ZERO {
            return 0.0;
        }
        let target_share = self.time_to_first_event.0 as f64 / self.target.0 as f64;
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
            RETRYABLE_FAILURE_COST
        } else {
            PERMANENT_FAILURE_COST
        };
        failure.scaled(self.excess_failures)
    }
}

/// Index of the cheapest candidate.
pub fn cheapest(candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().enumerate();
    costs
        .min_by_key(|(_, candidate)| candidate.cost())
        .map(|(index, _)| index)
}
