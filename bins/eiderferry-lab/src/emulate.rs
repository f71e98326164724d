//! `eiderferry-lab emulate`: runs emulators of the platform and of back ends.

use crate::fleet::Emulators;
use clap::ArgMatches;
use eiderferry_config::{Configuration, DirectoryEntry, EntryState};
use eiderferry_emulator::EngineTiming;
use eiderferry_types::{NodeId, ZoneId};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Starts the emulators and runs until the process is terminated.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    let path = arguments
        .get_one::<PathBuf>("configuration")
        .ok_or("no configuration given")?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{}: can't be read: {error}", path.display()))?;
    let configuration = Configuration::from_yaml(&path.display().to_string(), &text)
        .map_err(|error| error.to_string())?;
    let platform: SocketAddr = arguments
        .get_one::<String>("platform")
        .and_then(|text| text.parse().ok())
        .ok_or("--platform: expected an address such as 127.0.0.1:7000")?;
    let nodes = arguments
        .get_many::<String>("node")
        .into_iter()
        .flatten()
        .map(|text| parse_node(text))
        .collect::<Result<Vec<_>, _>>()?;
    let back_ends_per_pool = arguments.get_one::<u64>("back-ends").copied().unwrap_or(2);
    let timing = EngineTiming::default();
    let emulators = Emulators::start(
        platform,
        &text,
        &configuration,
        nodes,
        back_ends_per_pool,
        timing,
    )
    .map_err(|error| format!("can't start the emulators: {error}"))?;
    println!(
        "platform on {}, {} engines, {} services; press Ctrl-C to stop",
        emulators.platform.address(),
        emulators.engines.len(),
        emulators.services.len()
    );
    loop {
        std::thread::park();
    }
}

fn parse_node(text: &str) -> Result<DirectoryEntry<NodeId, ()>, String> {
    let invalid = || format!("--node {text}: expected ID:ZONE:ADDRESS, such as 1:1:127.0.0.1:7101");
    let mut parts = text.splitn(3, ':');
    let mut next_part = || parts.next().ok_or_else(invalid);
    let id = next_part()?.parse().map_err(|_| invalid())?;
    let zone = next_part()?.parse().map_err(|_| invalid())?;
    let address = next_part()?.parse().map_err(|_| invalid())?;
    Ok(DirectoryEntry {
        id: NodeId(id),
        zone: ZoneId(zone),
        role: (),
        address,
        state: EntryState::Live,
    })
}
