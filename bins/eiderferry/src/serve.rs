//! `eiderferry serve`.

use crate::error::CommandError;
use crate::logging;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use eiderferry_config::Settings;
use futures_lite::StreamExt;
use std::path::PathBuf;

/// Runs a node until a signal asks it to stop.
pub fn run(arguments: &ArgMatches) -> Result<(), CommandError> {
    let Some(path) = arguments.get_one::<PathBuf>("settings") else {
        return Ok(());
    };
    let settings = Settings::from_file(path)?;
    logging::start(settings.log_format);
    smol::block_on(serve(&settings))
}

async fn serve(settings: &Settings) -> Result<(), CommandError> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(CommandError::SignalSetup)?;
    let node = eiderferry_entry::start(settings)?;
    log::info!(
        node:% = settings.node, zone:% = settings.zone, listen:% = node.listen;
        "serving callers"
    );
    signals.next().await;
    log::info!("stopping: no new requests are taken, running ones are finished");
    if node.stop().await? {
        log::info!("stopped; every request was finished");
        return Ok(());
    }
    Err(CommandError::DrainTimeout)
}
