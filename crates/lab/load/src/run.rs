//! Execution of a load plan.

use crate::{CallOutcome, ChatCall, ClassLoad, ClassReport, LoadClient, LoadPlan, LoadReport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::time::{Duration, Instant};
use trillium_smol::SmolRuntime;

/// Minimum and maximum requested response length, in tokens.
const ANSWER_TOKEN_LIMITS: (f64, f64) = (4.0, 1_000.0);

/// Runs a plan until every request has an outcome.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let started = Instant::now();
    let (sender, outcomes) = async_channel::unbounded();
    for (index, load) in plan.classes.iter().enumerate() {
        let seed = plan.seed.wrapping_mul(31).wrapping_add(index as u64);
        let task = generate_class_load(load.clone(), index, plan.clone(), seed, sender.clone());
        drop(SmolRuntime::default().spawn(task));
    }
    drop(sender);
    let mut reports: Vec<ClassReport> = plan
        .classes
        .iter()
        .map(|load| ClassReport::new(&load.class))
        .collect();
    while let Ok((index, outcome)) = outcomes.recv().await {
        let load = &plan.classes[index];
        let first_token_target = Duration::from_millis(load.time_to_first_token_ms);
        let per_token_target = Duration::from_millis(load.time_per_token_ms);
        reports[index].record(&outcome, first_token_target, per_token_target);
    }
    LoadReport::new(reports, started.elapsed())
}

/// Starts the requests of one class, each in its own task.
async fn generate_class_load(
    load: ClassLoad,
    index: usize,
    plan: LoadPlan,
    seed: u64,
    outcomes: async_channel::Sender<(usize, CallOutcome)>,
) {
    let client = LoadClient::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let Ok(intervals) = Exp::new(load.requests_per_second.max(0.001)) else {
        return;
    };
    let end_time = Instant::now() + Duration::from_millis(plan.duration_ms);
    let mut next_start = Instant::now();
    let mut number = 0;
    loop {
        next_start += Duration::from_secs_f64(intervals.sample(&mut rng));
        if next_start >= end_time {
            return;
        }
        smol::Timer::at(next_start).await;
        let entry = plan.entries[rng.random_range(0..plan.entries.len())];
        let call = chat_call(&load, &mut rng, number);
        number += 1;
        let client = client.clone();
        let outcomes = outcomes.clone();
        let request = async move {
            let outcome = client.chat(entry, &call).await;
            let _ = outcomes.send((index, outcome)).await;
        };
        drop(SmolRuntime::default().spawn(request));
    }
}

fn chat_call(load: &ClassLoad, rng: &mut ChaCha8Rng, number: u64) -> ChatCall {
    let length = Exp::new(1.0 / load.mean_answer_tokens.max(1.0))
        .map_or(load.mean_answer_tokens, |lengths| lengths.sample(rng));
    let shared_prefix =
        "The station's notes on today's programme. ".repeat(load.shared_prompt_bytes / 42 + 1);
    let prompt = format!(
        "{} [{}] item {number}-{}",
        &shared_prefix[..load.shared_prompt_bytes],
        load.class,
        rng.random::<u64>()
    );
    ChatCall {
        key: load.key.clone(),
        class: load.class.clone(),
        model: load.model.clone(),
        prompt,
        answer_tokens: length.clamp(ANSWER_TOKEN_LIMITS.0, ANSWER_TOKEN_LIMITS.1) as u32,
        stream: load.stream,
    }
}
