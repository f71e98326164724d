//! `eiderferry-lab demo`: runs a small fleet end to end, with emulated back ends.

use crate::faults;
use crate::fleet::{Emulators, NodeAddresses, any_address, wait_until_ready};
use crate::logging;
use crate::table::load_report_table;
use clap::ArgMatches;
use eiderferry_config::Configuration;
use eiderferry_emulator::EngineTiming;
use eiderferry_entry::EntryNode;
use eiderferry_load::{ClassLoad, LoadClient, LoadPlan, ServiceOutcome};
use eiderferry_types::{NodeId, ZoneId};
use logforth::record::Level;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Configuration that the emulated platform serves.
const CONFIGURATION_YAML: &str = include_str!("../../../examples/quetzal.yaml");
/// Number of the configuration's zones that are used.
const ZONES: u8 = 2;
/// Entry nodes per zone.
const NODES_PER_ZONE: u32 = 2;
/// Back ends per pool and zone.
const BACK_ENDS_PER_POOL: u64 = 2;
/// Number of non-repeatable service calls.
const SERVICE_CALLS: u32 = 40;
/// API key of the tenant that sends the demo's requests.
const API_KEY: &str = "demo-key-radio-nacional-sur";

/// Runs the demo.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    logging::start(Level::Error);
    let seconds = arguments.get_one::<u64>("seconds").copied().unwrap_or(8);
    let seed = arguments.get_one::<u64>("seed").copied().unwrap_or(1);
    if arguments.get_flag("faults") {
        return smol::block_on(run_with_faults(seconds, seed));
    }
    smol::block_on(run_without_faults(seconds, seed))
}

/// Running entry nodes with the emulators that they use.
struct Fleet {
    configuration: Configuration,
    addresses: Vec<NodeAddresses>,
    emulators: Emulators,
    nodes: Vec<EntryNode>,
}

async fn start_fleet() -> Result<Fleet, String> {
    let mut configuration = Configuration::from_yaml("demo configuration", CONFIGURATION_YAML)
        .map_err(|error| error.to_string())?;
    configuration.zones.truncate(usize::from(ZONES));
    let addresses = find_node_addresses()?;
    let listed_nodes = addresses
        .iter()
        .map(NodeAddresses::directory_entry)
        .collect();
    let emulators = Emulators::start(
        any_address(),
        CONFIGURATION_YAML,
        &configuration,
        listed_nodes,
        BACK_ENDS_PER_POOL,
        EngineTiming::default(),
    )
    .map_err(|error| format!("can't start the emulators: {error}"))?;
    let nodes = start_nodes(&addresses, emulators.platform.address())?;
    wait_until_ready(&nodes).await?;
    println!(
        "{} entry nodes in {ZONES} zones, {} engines, {} services, one platform, all over loopback",
        nodes.len(),
        emulators.engines.len(),
        emulators.services.len()
    );
    Ok(Fleet {
        configuration,
        addresses,
        emulators,
        nodes,
    })
}

/// Runs the load while faults are injected, and compares the outcomes that callers
/// got with what the services executed.
async fn run_with_faults(seconds: u64, seed: u64) -> Result<(), String> {
    let fleet = start_fleet().await?;
    let entries: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.listen).collect();
    let plan = load_plan(entries.clone(), seconds, seed, &fleet.configuration);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let load_task = smol::spawn(async move { eiderferry_load::run(&plan).await });
    let calls_task = smol::spawn(faults::make_service_calls(
        entries,
        API_KEY.to_owned(),
        deadline,
    ));
    let mut nodes: Vec<Option<EntryNode>> = fleet.nodes.into_iter().map(Some).collect();
    let fault_counts =
        faults::inject(&fleet.addresses, &mut nodes, &fleet.emulators, deadline).await?;
    let outcomes = calls_task.await;
    let report = load_task.await;
    println!("\n{}\n", load_report_table(&report));
    println!(
        "faults        {} nodes killed, {} stopped gracefully, {} paused, {} engines crashed",
        fault_counts.killed,
        fault_counts.stopped,
        fault_counts.paused,
        fault_counts.crashed_engines
    );
    let executions = executions(&fleet.emulators);
    let (duplicate_executions, wrong_not_run) = faults::count_violations(&outcomes, &executions);
    println!(
        "at most once  {} calls with tickets: {} executed, \
         {duplicate_executions} executed more than once, \
         {wrong_not_run} executed though reported as not_run",
        outcomes.len(),
        executions.len()
    );
    stop_nodes(nodes.into_iter().flatten().collect()).await?;
    let wrong_answers: u64 = report.classes.iter().map(|class| class.wrong).sum();
    if wrong_answers + duplicate_executions as u64 + wrong_not_run as u64 > 0 {
        return Err(format!(
            "{wrong_answers} wrong answers, {duplicate_executions} calls executed more than once, \
             {wrong_not_run} executed though reported as not_run"
        ));
    }
    Ok(())
}

fn executions(emulators: &Emulators) -> BTreeMap<String, u32> {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    for service in emulators.services.values() {
        for (body, count) in service.executions() {
            *executions.entry(body).or_default() += count;
        }
    }
    executions
}

async fn run_without_faults(seconds: u64, seed: u64) -> Result<(), String> {
    let Fleet {
        configuration,
        emulators,
        nodes,
        ..
    } = start_fleet().await?;
    let entries: Vec<SocketAddr> = nodes.iter().map(|node| node.listen).collect();
    let plan = load_plan(entries.clone(), seconds, seed, &configuration);
    let report = eiderferry_load::run(&plan).await;
    println!("\n{}\n", load_report_table(&report));
    let generated = emulators.generated_tokens();
    let wasted = generated.saturating_sub(report.delivered_tokens);
    println!(
        "goodput       {:.0} tokens/s",
        report.goodput_tokens_per_second
    );
    println!(
        "wasted work   {:.2} % of {generated} generated tokens",
        100.0 * wasted as f64 / generated.max(1) as f64
    );
    println!("platform      {} calls", emulators.platform.calls());
    let duplicate_executions = check_duplicate_calls(&entries, &emulators).await?;
    stop_nodes(nodes).await?;
    let wrong_or_failed: u64 = report
        .classes
        .iter()
        .map(|class| class.wrong + class.failed)
        .sum();
    if wrong_or_failed > 0 {
        return Err(format!(
            "{wrong_or_failed} responses were wrong or incomplete"
        ));
    }
    if duplicate_executions > 0 {
        return Err(format!(
            "{duplicate_executions} non-repeatable calls were executed more than once"
        ));
    }
    Ok(())
}

fn find_node_addresses() -> Result<Vec<NodeAddresses>, String> {
    let mut addresses = Vec::new();
    for zone in 1..=ZONES {
        for index in 0..NODES_PER_ZONE {
            let node = NodeId(u32::from(zone - 1) * NODES_PER_ZONE + index + 1);
            let node_addresses = NodeAddresses::find_free(node, ZoneId(zone));
            addresses.push(node_addresses.map_err(|error| format!("no free address: {error}"))?);
        }
    }
    Ok(addresses)
}

fn start_nodes(
    addresses: &[NodeAddresses],
    platform: SocketAddr,
) -> Result<Vec<EntryNode>, String> {
    addresses.iter().map(|node| node.start(platform)).collect()
}

fn load_plan(
    entries: Vec<SocketAddr>,
    seconds: u64,
    seed: u64,
    configuration: &Configuration,
) -> LoadPlan {
    let class_load = |name: &str,
                      rate: f64,
                      mean_answer_tokens: f64,
                      shared_prompt_bytes: usize,
                      stream: bool| {
        let class = configuration.class_named(name);
        ClassLoad {
            class: name.to_owned(),
            key: API_KEY.to_owned(),
            model: "digest-large".to_owned(),
            requests_per_second: rate,
            mean_answer_tokens,
            shared_prompt_bytes,
            time_to_first_token_ms: class.map_or(0, |class| class.time_to_first_token_ms),
            time_per_token_ms: class.map_or(0, |class| class.time_per_token_ms),
            stream,
        }
    };
    LoadPlan {
        entries,
        duration_ms: seconds * 1_000,
        seed,
        classes: vec![
            class_load("digest-check", 10.0, 40.0, 2_400, true),
            class_load("segment-recap", 8.0, 60.0, 1_200, true),
            class_load("clip-title", 6.0, 12.0, 600, false),
            class_load("episode-digest", 6.0, 120.0, 4_800, true),
            class_load("archive-summary", 6.0, 150.0, 600, true),
        ],
    }
}

/// Makes non-repeatable calls with a ticket, sending each to two different nodes;
/// returns how many were executed more than once.
async fn check_duplicate_calls(
    entries: &[SocketAddr],
    emulators: &Emulators,
) -> Result<usize, String> {
    let client = LoadClient::new();
    let mut answered = 0;
    let mut refusals: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..SERVICE_CALLS {
        let first = entries[number as usize % entries.len()];
        let second = entries[(number as usize + 1) % entries.len()];
        let ticket = client.ticket(first, API_KEY).await?;
        let headers = [
            ("authorization", format!("Bearer {API_KEY}")),
            ("eiderferry-ticket", ticket),
        ];
        let body = format!("resume point {number}");
        for entry in [first, second] {
            match client
                .service(entry, "/playback/resume", &headers, &body)
                .await
            {
                ServiceOutcome::Answered(200) => answered += 1,
                ServiceOutcome::Answered(status) => return Err(format!("status {status}")),
                ServiceOutcome::Refused { verdict, reason } => {
                    *refusals.entry(format!("{verdict}, {reason}")).or_default() += 1;
                }
                ServiceOutcome::Failed(error) => return Err(error),
            }
        }
    }
    let executions = executions(emulators);
    let duplicate_executions = executions.values().filter(|count| **count > 1).count();
    println!(
        "at most once  {SERVICE_CALLS} calls, each sent to two nodes: {answered} answered, \
         {} executed, {duplicate_executions} executed more than once; refusals: {refusals:?}",
        executions.len()
    );
    Ok(duplicate_executions)
}

async fn stop_nodes(nodes: Vec<EntryNode>) -> Result<(), String> {
    for node in nodes {
        let finished = node.stop().await.map_err(|error| error.to_string())?;
        if !finished {
            return Err("a graceful shutdown terminated running requests".into());
        }
    }
    Ok(())
}
