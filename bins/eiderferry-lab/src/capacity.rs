//! `eiderferry-lab capacity`: measures how the cost of messages, documents and
//! requests grows with size, for docs/CAPACITY.md.

use crate::table::right_aligned_table;
use clap::ArgMatches;
use eiderferry_admission::{Observation, Outcome};
use eiderferry_config::{Configuration, Directory, DirectoryEntry, EntryState, Tenant, Versioned};
use eiderferry_node::{
    AttemptEnd, CacheUpdate, DocumentKind, Envelope, Identity, Message, Node, NodeLimits, Output,
    PlatformDocument, SharedParts, Submission,
};
use eiderferry_simulator::{Policy, Scenario, simulate};
use eiderferry_types::{
    BackEndId, ClassId, Incarnation, NodeId, PoolId, RequestDigest, Span, TenantId, Timestamp,
    ZoneId,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Simulated zone sizes: nodes and back ends.
const ZONE_SIZES: [(u32, u32); 3] = [(25, 120), (50, 240), (100, 480)];
/// Simulated time of each run, in seconds.
const SIMULATED_SECONDS: f64 = 10.0;
/// Number of nodes, without any network, over which the memory and the time that
/// documents take are averaged.
const MEASURED_NODES: u32 = 40;
/// Requests over which the time per request is averaged.
const REQUEST_COUNT: u64 = 200_000;
/// Document sizes: tenants, nodes, back ends.
const DOCUMENT_SIZES: [(u16, u32, u32); 3] = [
    (975, 550, 2_500),
    (1_950, 1_100, 5_000),
    (3_900, 2_200, 10_000),
];

/// Runs all measurements and prints the results.
pub fn run(_: &ArgMatches) -> Result<(), String> {
    measure_messages()?;
    measure_documents()?;
    measure_requests()
}

/// Measures the control messages of one zone, with the load scaled to its node count.
fn measure_messages() -> Result<(), String> {
    let mut rows = Vec::new();
    for (nodes, back_ends) in ZONE_SIZES {
        let mut scenario = Scenario::load("zone-100-steady").map_err(|error| error.to_string())?;
        let load_fraction = f64::from(nodes) / 100.0;
        scenario.duration_seconds = SIMULATED_SECONDS;
        scenario.nodes_per_zone = vec![nodes];
        for counts in scenario.back_ends_per_zone.values_mut() {
            *counts = vec![back_ends];
        }
        for load in &mut scenario.load {
            for step in &mut load.rate {
                step.per_second *= load_fraction;
            }
        }
        let report =
            simulate(&scenario, Policy::Eiderferry, 1).map_err(|error| error.to_string())?;
        rows.push(vec![
            nodes.to_string(),
            back_ends.to_string(),
            format!("{:.0}", report.control_bytes_per_second_per_node),
            format!("{:.0}", report.control_bytes_per_second_busiest),
            format!("{:.0}", report.control_messages_per_second_per_node),
            format!("{:.1}", report.platform_calls_per_second),
        ]);
    }
    println!("Messages of one zone at 33 requests/s a node (simulated):\n");
    let header = [
        "nodes",
        "workers",
        "bytes/s a node",
        "busiest node",
        "datagrams/s a node",
        "platform calls/s",
    ];
    println!("{}\n", right_aligned_table(&header, rows));
    Ok(())
}

fn node_address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 9))
}

fn directory(nodes: u32, back_ends: u32, zones: u8) -> Directory {
    let zone = |number: u32| ZoneId((number % u32::from(zones)) as u8 + 1);
    let nodes = (1..=nodes).map(|number| DirectoryEntry {
        id: NodeId(number),
        zone: zone(number),
        role: (),
        address: node_address(number),
        state: EntryState::Live,
    });
    let back_ends = (1..=back_ends).map(|number| DirectoryEntry {
        id: BackEndId(number),
        zone: zone(number),
        role: PoolId((number % 5) as u8 + 1),
        address: node_address(number),
        state: EntryState::Live,
    });
    Directory {
        epoch: 0,
        version: 1,
        nodes: nodes.collect(),
        back_ends: back_ends.collect(),
    }
}

fn configuration(tenants: u16, zones: u8) -> Result<Configuration, String> {
    let mut text = String::from("version: 1\nzones:\n");
    for zone in 1..=zones {
        text.push_str(&format!("  - {{ id: {zone}, name: zone-{zone} }}\n"));
    }
    text.push_str("pools:\n");
    for pool in 1..=5 {
        text.push_str(&format!(
            "  - {{ id: {pool}, name: pool-{pool}, kind: engine, model: model-{pool}, \
             slots_per_back_end: 160, kv_tokens_per_back_end: 2000000, back_ends_per_cell: 8 }}\n"
        ));
    }
    text.push_str("classes:\n");
    for class in 1..=7 {
        text.push_str(&format!(
            "  - {{ id: {class}, name: class-{class}, tier: {class}, time_to_first_token_ms: 2000, \
             time_per_token_ms: 62, minimum_share: 0.05 }}\n"
        ));
    }
    text.push_str("tenants: []\n");
    let mut configuration =
        Configuration::from_yaml("capacity", &text).map_err(|error| error.to_string())?;
    configuration.tenants = (1..=tenants)
        .map(|number| Tenant {
            id: TenantId(number),
            name: format!("tenant-{number}"),
            key_digests: vec![eiderferry_config::KeyDigest::of(&format!("key-{number}"))],
            classes: vec!["class-1".into(), "class-4".into()],
            pools: vec!["pool-1".into(), "pool-2".into()],
            limits: Vec::new(),
        })
        .collect();
    Ok(configuration)
}

/// Measures the time and memory that documents take on a node.
fn measure_documents() -> Result<(), String> {
    let mut rows = Vec::new();
    for (tenants, nodes, back_ends) in DOCUMENT_SIZES {
        let initial_configuration = configuration(tenants, 21)?;
        let directory = directory(nodes, back_ends, 21);
        let mut measured_nodes: Vec<Node> = (0..MEASURED_NODES).map(|_| new_node()).collect();
        let kib_before = resident_kib()?;
        let started = Instant::now();
        for node in &mut measured_nodes {
            apply_documents(node, initial_configuration.clone(), directory.clone());
        }
        let apply_time = started.elapsed() / MEASURED_NODES;
        let kib_per_node = resident_kib()?.saturating_sub(kib_before) / u64::from(MEASURED_NODES);
        let Some(mut node) = measured_nodes.pop() else {
            return Ok(());
        };
        let mut updated_configuration = initial_configuration.clone();
        updated_configuration.version = 2;
        if let Some(tenant) = updated_configuration.tenants.last_mut() {
            tenant.classes.push("class-7".into());
        }
        let delta = initial_configuration.delta_to(&updated_configuration);
        let update = eiderferry_dissemination::Update::Deltas(vec![delta]);
        let message = Message::ConfigurationUpdate(update);
        let envelope = envelope_of(message);
        let bytes = eiderferry_peer::encode(&envelope).map_or(0, |frame| frame.len());
        let started = Instant::now();
        node.receive(Timestamp(2_000), envelope);
        let change_time = started.elapsed();
        let active_version = node.configuration().map_or(0, |document| document.version);
        if active_version != 2 {
            return Err("the node did not apply the configuration change".into());
        }
        rows.push(vec![
            tenants.to_string(),
            nodes.to_string(),
            back_ends.to_string(),
            format!("{:.1}", kib_per_node as f64 / 1_024.0),
            format!("{:.1}", apply_time.as_secs_f64() * 1_000.0),
            format!("{:.2}", change_time.as_secs_f64() * 1_000.0),
            bytes.to_string(),
        ]);
    }
    println!("Documents on one node:\n");
    let header = [
        "tenants",
        "nodes",
        "back ends",
        "memory MiB a node",
        "taking over ms",
        "one change ms",
        "one change bytes",
    ];
    println!("{}\n", right_aligned_table(&header, rows));
    Ok(())
}

fn envelope_of(message: Message) -> Envelope {
    Envelope {
        from: NodeId(2),
        incarnation: Incarnation(580_000_001),
        receiver: None,
        messages: vec![message],
    }
}

fn new_node() -> Node {
    let identity = Identity {
        node: NodeId(1),
        zone: ZoneId(2),
        incarnation: Incarnation(580_000_000),
    };
    Node::new(identity, NodeLimits::default(), Timestamp::default(), 1)
}

fn apply_documents(node: &mut Node, configuration: Configuration, directory: Directory) {
    let now = Timestamp(1_000);
    let document = PlatformDocument::Directory(directory);
    node.handle_platform_response(now, DocumentKind::Directory, Ok(Some(document)));
    let document = PlatformDocument::Configuration(configuration);
    node.handle_platform_response(now, DocumentKind::Configuration, Ok(Some(document)));
    node.take_outputs();
}

/// Measures the time of the decision code per request, entry node and holder
/// together, and that of encoding and decoding a message.
fn measure_requests() -> Result<(), String> {
    let mut node = new_node();
    // The only node holds the only cell that has back ends (eight), so it is both
    // entry node and holder.
    let mut directory = directory(1, 0, 1);
    directory.nodes[0].zone = ZoneId(2);
    directory.back_ends = (1..=8)
        .map(|number| DirectoryEntry {
            id: BackEndId(number),
            zone: ZoneId(2),
            role: PoolId(1),
            address: node_address(number),
            state: EntryState::Live,
        })
        .collect();
    apply_documents(&mut node, configuration(100, 21)?, directory);
    let mut now = Timestamp(2_000_000);
    for step in 0..40 {
        now = Timestamp(2_000_000 + step * 50_000);
        node.tick(now);
        process_outputs(&mut node, now);
    }
    let started = Instant::now();
    let mut completed = 0;
    for number in 0..REQUEST_COUNT {
        now = now + Span(300);
        if number % 160 == 0 {
            node.tick(now);
            process_outputs(&mut node, now);
        }
        node.submit(now, submission(number, now));
        completed += process_outputs(&mut node, now);
    }
    let us_per_request = started.elapsed().as_secs_f64() * 1e6 / REQUEST_COUNT as f64;
    println!(
        "Requests: {completed} of {REQUEST_COUNT} completed on one node that is both entry node and holder:"
    );
    println!("  decision code  {us_per_request:.1} us a request, entry node and holder together");
    println!(
        "  codec          {:.2} us a message, encoded and decoded",
        measure_codec_us()?
    );
    Ok(())
}

/// Processes the node's outputs until there are none: completes each dispatched
/// request at once and answers each poll. Returns the number of completed requests.
fn process_outputs(node: &mut Node, now: Timestamp) -> u64 {
    let mut completed = 0;
    loop {
        let outputs = node.take_outputs();
        if outputs.is_empty() {
            return completed;
        }
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => {
                    let observation = Observation {
                        outcome: Outcome::Completed,
                        tokens: 350,
                        first_token: Some(Span::from_milliseconds(50)),
                        per_token: Some(Span::from_milliseconds(40)),
                    };
                    let attempt_end = AttemptEnd::Completed(observation);
                    node.attempt_ended(now, dispatch.request, dispatch.attempt, attempt_end);
                    completed += 1;
                }
                Output::PollBackEnd { back_end, .. } => {
                    let report = eiderferry_admission::LoadReport::default();
                    node.handle_load_report(now, back_end, &report, &CacheUpdate::default());
                }
                _ => {}
            }
        }
    }
}

fn submission(number: u64, now: Timestamp) -> Submission {
    Submission {
        digest: RequestDigest(number),
        class: ClassId((number % 7) as u8 + 1),
        tenant: TenantId((number % 100) as u16 + 1),
        pool: PoolId(1),
        prompt_tokens: 800,
        prefixes: Vec::new(),
        shared_parts: SharedParts::default(),
        first_token_due: now + Span::from_milliseconds(2_000),
        not_repeatable: None,
    }
}

fn measure_codec_us() -> Result<f64, String> {
    const ROUNDS: u32 = 200_000;
    let envelope = envelope_of(Message::Ping {
        configuration: 1_000,
        directory: 1_000,
        draining: false,
        echo: 0,
    });
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let frame = eiderferry_peer::encode(&envelope).map_err(|error| error.to_string())?;
        eiderferry_peer::decode(&frame).map_err(|error| error.to_string())?;
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
}

fn resident_kib() -> Result<u64, String> {
    let text = std::fs::read_to_string("/proc/self/status").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.ok_or_else(|| "can't read VmRSS from /proc/self/status".into())
}
