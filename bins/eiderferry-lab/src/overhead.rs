//! `eiderferry-lab overhead`: measures the latency and processor time that the
//! router adds to calling an engine directly.

use crate::fleet::{Emulators, NodeAddresses, any_address, wait_until_ready};
use crate::logging;
use crate::table::right_aligned_table;
use clap::ArgMatches;
use eiderferry_config::Configuration;
use eiderferry_emulator::EngineTiming;
use eiderferry_load::{CallOutcome, ChatCall, LoadClient};
use eiderferry_types::{NodeId, ZoneId};
use logforth::record::Level;
use std::net::SocketAddr;
use std::time::Duration;

/// Slots of the engine: enough that no request ever waits for one.
const SLOTS: u32 = 2_048;
/// Numbers of concurrent streams to measure.
const STREAM_COUNTS: [usize; 3] = [1, 64, 512];
/// Length of each answer, in tokens.
const ANSWER_TOKENS: u32 = 16;
/// Minimum number of requests over all streams.
const MIN_REQUESTS: usize = 60;
/// Minimum number of requests on each stream.
const MIN_REQUESTS_PER_STREAM: usize = 4;
/// Number of streams open while memory is measured.
const OPEN_STREAMS: usize = 1_000;
/// Time between the starts of two consecutive streams.
const STREAM_START_INTERVAL: Duration = Duration::from_millis(2);
/// Clock ticks per second in `/proc`: 100 on every common Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Result of one run.
struct Measurement {
    times_to_first_token: Vec<Duration>,
    times_per_token: Vec<Duration>,
    tokens: u64,
    cpu_seconds: f64,
}

/// Runs the measurements and prints the results.
pub fn run(_: &ArgMatches) -> Result<(), String> {
    logging::start(Level::Error);
    smol::block_on(measure())
}

async fn measure() -> Result<(), String> {
    let text = configuration_text();
    let configuration =
        Configuration::from_yaml("overhead", &text).map_err(|error| error.to_string())?;
    let node_addresses =
        NodeAddresses::find_free(NodeId(1), ZoneId(1)).map_err(|error| error.to_string())?;
    let timing = EngineTiming {
        step_base_us: 20_000,
        step_per_sequence_us: 0,
        prefill_per_token_us: 0,
        prefill_chunk_tokens: 1_000_000,
        maximum_batch: SLOTS as usize,
        kv_tokens: u64::MAX / 2,
        prefix_cache_tokens: 0,
    };
    let listed_nodes = vec![node_addresses.directory_entry()];
    let emulators = Emulators::start(
        any_address(),
        &text,
        &configuration,
        listed_nodes,
        1,
        timing,
    )
    .map_err(|error| error.to_string())?;
    let node = node_addresses.start(emulators.platform.address())?;
    wait_until_ready(std::slice::from_ref(&node)).await?;
    let engine = emulators
        .engines
        .values()
        .next()
        .map(eiderferry_emulator::EngineServer::address)
        .ok_or("no engine")?;
    let mut rows = Vec::new();
    for streams in STREAM_COUNTS {
        let _warm_up = run_streams(engine, streams, streams).await?;
        let _warm_up = run_streams(node.listen, streams, streams).await?;
        let requests = MIN_REQUESTS.max(streams * MIN_REQUESTS_PER_STREAM);
        let direct = run_streams(engine, streams, requests).await?;
        let routed = run_streams(node.listen, streams, requests).await?;
        rows.push(table_row(streams, direct, routed));
    }
    println!("{}", right_aligned_table(HEADER, rows));
    measure_memory(node.listen).await?;
    node.stop().await.map_err(|error| error.to_string())?;
    Ok(())
}

const HEADER: &[&str] = &[
    "streams",
    "first token p50 ms direct",
    "routed",
    "added",
    "first token p99 ms direct",
    "routed",
    "added",
    "per token p50 ms direct",
    "routed",
    "CPU ms per 1,000 tokens added",
];

fn table_row(streams: usize, mut direct: Measurement, mut routed: Measurement) -> Vec<String> {
    let mut cells = vec![streams.to_string()];
    for quantile in [0.5, 0.99] {
        let direct_ms = quantile_ms(&mut direct.times_to_first_token, quantile);
        let routed_ms = quantile_ms(&mut routed.times_to_first_token, quantile);
        cells.push(format!("{direct_ms:.2}"));
        cells.push(format!("{routed_ms:.2}"));
        cells.push(format!("{:.2}", routed_ms - direct_ms));
    }
    cells.push(format!(
        "{:.2}",
        quantile_ms(&mut direct.times_per_token, 0.5)
    ));
    cells.push(format!(
        "{:.2}",
        quantile_ms(&mut routed.times_per_token, 0.5)
    ));
    let cpu_ms_per_1000_tokens = |run: &Measurement| run.cpu_seconds * 1e6 / run.tokens as f64;
    cells.push(format!(
        "{:.1}",
        cpu_ms_per_1000_tokens(&routed) - cpu_ms_per_1000_tokens(&direct)
    ));
    cells
}

fn quantile_ms(values: &mut [Duration], quantile: f64) -> f64 {
    values.sort_unstable();
    let index = (values.len().saturating_sub(1) as f64 * quantile).round() as usize;
    values
        .get(index)
        .map_or(0.0, |value| value.as_secs_f64() * 1_000.0)
}

/// Sends requests over `streams` concurrent streams, sequentially on each.
async fn run_streams(
    entry: SocketAddr,
    streams: usize,
    requests: usize,
) -> Result<Measurement, String> {
    let cpu_before = cpu_seconds()?;
    let requests_per_stream = requests.div_ceil(streams);
    let tasks: Vec<_> = (0..streams)
        .map(|stream| smol::spawn(run_stream(entry, stream, requests_per_stream)))
        .collect();
    let mut measurement = Measurement {
        times_to_first_token: Vec::new(),
        times_per_token: Vec::new(),
        tokens: 0,
        cpu_seconds: 0.0,
    };
    for task in tasks {
        for (first_token, per_token) in task.await? {
            measurement.times_to_first_token.push(first_token);
            measurement.times_per_token.push(per_token);
            measurement.tokens += u64::from(ANSWER_TOKENS);
        }
    }
    measurement.cpu_seconds = cpu_seconds()? - cpu_before;
    Ok(measurement)
}

async fn run_stream(
    entry: SocketAddr,
    stream: usize,
    requests: usize,
) -> Result<Vec<(Duration, Duration)>, String> {
    // Staggers the starts: with a burst of connections to one emulator, the length
    // of its accept queue would be measured.
    smol::Timer::after(STREAM_START_INTERVAL * stream as u32).await;
    let client = LoadClient::new();
    let mut times = Vec::with_capacity(requests);
    for number in 0..requests {
        let call = chat_call(format!("stream {stream} request {number}"), ANSWER_TOKENS);
        match client.chat(entry, &call).await {
            CallOutcome::Completed {
                first_token,
                per_token,
                ..
            } => {
                times.push((first_token, per_token));
            }
            other => return Err(format!("a request failed: {other:?}")),
        }
    }
    Ok(times)
}

fn chat_call(prompt: String, answer_tokens: u32) -> ChatCall {
    ChatCall {
        key: "overhead-key".into(),
        class: "only".into(),
        model: "overhead".into(),
        prompt,
        answer_tokens,
        stream: true,
    }
}

/// Prints the resident memory before and while many streams are open. It covers
/// engine, callers and router, so the difference is an upper bound for the router.
async fn measure_memory(entry: SocketAddr) -> Result<(), String> {
    const LONG_ANSWER: u32 = 2_000;
    let mib_before = resident_mib()?;
    let tasks: Vec<_> = (0..OPEN_STREAMS)
        .map(|stream| {
            let call = chat_call(format!("idle {stream}"), LONG_ANSWER);
            smol::spawn(async move {
                smol::Timer::after(STREAM_START_INTERVAL * stream as u32).await;
                LoadClient::new().chat(entry, &call).await
            })
        })
        .collect();
    smol::Timer::after(Duration::from_secs(4)).await;
    let mib_during = resident_mib()?;
    drop(tasks);
    println!(
        "\nresident memory of the whole process (router, engine, callers): {mib_before:.0} MiB before, \
         {mib_during:.0} MiB with {OPEN_STREAMS} open streams"
    );
    Ok(())
}

fn cpu_seconds() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/self/stat").map_err(|error| error.to_string())?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    // utime and stime: fields 14 and 15 of the file. The fields here start after
    // the process name, at field 3.
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_SECOND),
        _ => Err("can't read utime and stime from /proc/self/stat".into()),
    }
}

fn resident_mib() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/self/status").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.map(|kib| kib / 1024.0)
        .ok_or_else(|| "can't read VmRSS from /proc/self/status".into())
}

fn configuration_text() -> String {
    let digest = eiderferry_config::KeyDigest::of("overhead-key").0;
    format!(
        "version: 1
zones: [{{ id: 1, name: one }}]
pools: [{{ id: 1, name: engines, kind: engine, model: overhead, slots_per_back_end: {SLOTS}, kv_tokens_per_back_end: 1000000000 }}]
classes: [{{ id: 1, name: only, tier: 1, time_to_first_token_ms: 60000, time_per_token_ms: 60000 }}]
tenants: [{{ id: 1, name: only, key_digests: [{digest}], classes: [only], pools: [engines] }}]
"
    )
}
