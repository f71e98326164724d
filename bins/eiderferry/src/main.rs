//! Command-line program of the router: runs an entry node or a relay, checks
//! documents, queries running nodes and reads their logs.

#![forbid(unsafe_code)]

mod check;
mod command;
mod error;
mod explain_logs;
mod logging;
mod operator;
mod output;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", arguments)) => serve::run(arguments),
        Some(("platform", _)) => eiderferry_platform_adapter::run().map_err(Into::into),
        Some(("explain-logs", arguments)) => explain_logs::run(arguments),
        Some(("check", arguments)) => check::run(arguments),
        Some(("completions", arguments)) => {
            if let Some(shell) = arguments.get_one::<clap_complete::Shell>("shell") {
                let mut command = command::command();
                clap_complete::generate(*shell, &mut command, "eiderferry", &mut std::io::stdout());
            }
            Ok(())
        }
        Some((name, arguments)) => operator::run(name, arguments),
        None => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("eiderferry: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
