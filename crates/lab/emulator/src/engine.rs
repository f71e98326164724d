//! Model of an inference engine with continuous batching.

use crate::{EngineTiming, PrefixCache};
use eiderferry_admission::PrefixMark;
use eiderferry_types::Span;
use std::collections::BTreeMap;

/// Identifier of a job within its engine.
pub type JobId = u64;

/// An inference request as submitted to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Scheduling priority; smaller numbers are scheduled first.
    pub priority: u8,
    /// Prompt length in tokens, including the part of the response that the job continues.
    pub prompt_tokens: u32,
    /// Cacheable prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixMark>,
    /// Index of the first response token to generate; above zero for a resumed response.
    pub first_index: u32,
    /// Length of the complete response in tokens, including those before `first_index`.
    pub response_tokens: u32,
}

/// A job in the running batch.
#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    prefill_remaining: u32,
    next_index: u32,
    kv_tokens: u64,
}

/// A generated token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Emission {
    /// Job that the token belongs to.
    pub job: JobId,
    /// Index of the token in the response.
    pub index: u32,
    /// Whether it is the last token of the response.
    pub last: bool,
}

/// Current load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sequences in the running batch.
    pub running: u32,
    /// Queued jobs.
    pub waiting: u32,
    /// KV cache tokens held by the running batch.
    pub kv_tokens: u64,
}

/// A model engine without a clock: the caller waits for the duration of each step.
#[derive(Clone, Debug)]
pub struct Engine {
    timing: EngineTiming,
    /// Factor by which each step takes longer than `timing` says.
    pub slow_factor: f64,
    next_job: JobId,
    waiting: BTreeMap<(u8, JobId), Job>,
    running: BTreeMap<JobId, Sequence>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Response tokens generated since the start.
    pub generated_tokens: u64,
    /// Prompt tokens prefilled since the start.
    pub prefilled_tokens: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(timing: EngineTiming) -> Self {
        Self {
            timing,
            slow_factor: 1.0,
            next_job: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            cache: PrefixCache::new(timing.prefix_cache_tokens),
            generated_tokens: 0,
            prefilled_tokens: 0,
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, job: Job) -> JobId {
        self.next_job += 1;
        self.waiting.insert((job.priority, self.next_job), job);
        self.next_job
    }

    /// Removes a queued or running job. Returns whether it was running.
    pub fn cancel(&mut self, id: JobId) -> bool {
        self.waiting.retain(|(_, waiting), _| *waiting != id);
        self.running.remove(&id).is_some()
    }

    /// Drops all jobs and the cache, as a crash does.
    pub fn crash(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.cache = PrefixCache::new(self.timing.prefix_cache_tokens);
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_tokens: self.kv_in_use(),
        }
    }

    fn kv_in_use(&self) -> u64 {
        self.running
            .values()
            .map(|sequence| sequence.kv_tokens)
            .sum()
    }

    /// Fills the batch, prefills prompts in priority order and returns the duration of the
    /// step; `None` if the engine is idle.
    pub fn begin_step(&mut self) -> Option<Span> {
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        let mut prefill_budget = self.timing.prefill_chunk_tokens;
        let mut prefilled = 0;
        let mut decoding = 0;
        let mut order: Vec<(u8, JobId)> = self
            .running
            .iter()
            .map(|(id, sequence)| (sequence.job.priority, *id))
            .collect();
        order.sort_unstable();
        for (_, id) in order {
            let Some(sequence) = self.running.get_mut(&id) else {
                continue;
            };
            if sequence.prefill_remaining == 0 {
                decoding += 1;
                continue;
            }
            let chunk = sequence.prefill_remaining.min(prefill_budget);
            sequence.prefill_remaining -= chunk;
            prefill_budget -= chunk;
            prefilled += chunk;
        }
        self.prefilled_tokens += u64::from(prefilled);
        let microseconds = self.timing.step_base_us
            + self.timing.step_per_sequence_us * decoding
            + self.timing.prefill_per_token_us * u64::from(prefilled);
        Some(Span((microseconds as f64 * self.slow_factor) as u64))
    }

    /// Completes the step: every fully prefilled sequence generates one token.
    pub fn end_step(&mut self) -> Vec<Emission> {
        let mut emissions = Vec::new();
        for (id, sequence) in &mut self.running {
            if sequence.prefill_remaining > 0 {
                continue;
            }
            let index = sequence.next_index;
            sequence.next_index += 1;
            sequence.kv_tokens += 1;
            let last = sequence.next_index >= sequence.job.response_tokens;
            emissions.push(Emission {
                job: *id,
                index,
                last,
            });
        }
        for emission in emissions.iter().filter(|emission| emission.last) {
            self.running.remove(&emission.job);
        }
        self.generated_tokens += emissions.len() as u64;
        self.preempt_if_full();
        emissions
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.timing.maximum_batch {
            let Some((key, job)) = self.waiting.pop_first() else {
                return;
            };
            let kv_tokens = u64::from(job.prompt_tokens);
            let fits =
                self.running.is_empty() || self.kv_in_use() + kv_tokens <= self.timing.kv_tokens;
            if !fits {
                self.waiting.insert(key, job);
                return;
            }
            let cached = self
                .cache
                .look_up_and_store(&job.prefixes)
                .min(job.prompt_tokens);
            let sequence = Sequence {
                prefill_remaining: job.prompt_tokens - cached,
                next_index: job.first_index,
                kv_tokens,
                job,
            };
            self.running.insert(key.1, sequence);
        }
    }

    /// While the batch exceeds the KV memory, moves the sequence of the lowest priority back to
    /// the queue; its KV cache is computed again later.
    fn preempt_if_full(&mut self) {
        while self.running.len() > 1 && self.kv_in_use() > self.timing.kv_tokens {
            let victim = self
                .running
                .iter()
                .max_by_key(|(id, sequence)| (sequence.job.priority, **id))
                .map(|(id, _)| *id);
            let Some((id, sequence)) = victim.and_then(|id| self.running.remove_entry(&id)) else {
                return;
            };
            let mut job = sequence.job;
            job.prompt_tokens += sequence.next_index - job.first_index;
            job.first_index = sequence.next_index;
            self.waiting.insert((job.priority, id), job);
        }
    }
}
