//! Lab program of the router: emulates the platform and the back ends, generates
//! load, runs simulations and measures the router's cost.

#![forbid(unsafe_code)]

mod capacity;
mod command;
mod demo;
mod emulate;
mod faults;
mod fleet;
mod load;
mod logging;
mod overhead;
mod simulate;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let result = match matches.subcommand() {
        Some(("demo", arguments)) => demo::run(arguments),
        Some(("emulate", arguments)) => emulate::run(arguments),
        Some(("load", arguments)) => load::run(arguments),
        Some(("capacity", arguments)) => capacity::run(arguments),
        Some(("overhead", arguments)) => overhead::run(arguments),
        Some(("simulate", arguments)) => simulate::run(arguments),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("eiderferry-lab: {message}");
            ExitCode::FAILURE
        }
    }
}
