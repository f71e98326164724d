//! `eiderferry serve`: runs an entry node.

use crate::error::CommandError;
use crate::logging;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use eiderferry_config::Settings;
use futures_lite::StreamExt;
use std::path::PathBuf;

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
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
        "entry node started; accepting requests"
    );
    signals.next().await;
    log::info!("draining: rejecting new requests, waiting for running ones to finish");
    if node.stop().await? {
        log::info!("stopped; all requests finished");
        return Ok(());
    }
    Err(CommandError::DrainTimeout)
}
