//! Definition of the command line.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

/// The command with all its subcommands.
pub fn command() -> Command {
    Command::new("eiderferry-lab")
        .version(clap::crate_version!())
        .about("Emulators, load tests, simulations and measurements for eiderferry")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(emulate())
        .subcommand(load())
        .subcommand(capacity())
        .subcommand(overhead())
        .subcommand(simulate())
}

pub(crate) fn number_argument(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a small fleet with emulated back ends over loopback and report the results")
        .arg(number_argument(
            "seconds",
            "8",
            "Time during which requests start",
        ))
        .arg(number_argument("seed", "1", "Seed of the generated load"))
        .arg(flag_argument(
            "faults",
            "Kill, stop and pause nodes and crash engines during the run",
        ))
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Run emulators of the platform, engines and services until interrupted")
        .after_help("Example:\n  eiderferry-lab emulate --configuration examples/quetzal.yaml")
        .arg(
            Arg::new("configuration")
                .long("configuration")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Configuration file that the emulated platform serves"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:7000")
                .help("Listen address of the emulated platform"),
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ID:ZONE:ADDRESS")
                .action(ArgAction::Append)
                .help(
                    "Entry node to list in the directory, with its peer address; may be repeated",
                ),
        )
        .arg(number_argument(
            "back-ends",
            "2",
            "Back ends per pool and zone",
        ))
}

fn load() -> Command {
    Command::new("load")
        .about("Send the requests of a load plan and check every response")
        .arg(
            Arg::new("plan")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Load plan in YAML"),
        )
}

fn simulate() -> Command {
    Command::new("simulate")
        .about("Run a scenario on a virtual clock and print the results")
        .after_help(
            "Examples:\n  eiderferry-lab simulate --scenario quetzal-news-morning --policy eiderferry,oracle\n  \
             eiderferry-lab simulate --chaos --seeds 0..100",
        )
        .arg(flag_argument("list", "List the built-in scenarios"))
        .arg(flag_argument("chaos", "Run a random fault schedule for each seed"))
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("NAME|FILE")
                .help("Built-in scenario or scenario file to run"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAMES")
                .default_value("eiderferry")
                .help("Comma-separated list of policies: eiderferry, random, round-robin, least-loaded, oracle, without-..."),
        )
        .arg(number_argument("seed", "1", "Seed of the random number generator"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("FIRST..END")
                .help("Range of seeds, without END; overrides --seed"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Shrink the scenario of the first failing run and write it to this file"),
        )
}

fn flag_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn overhead() -> Command {
    Command::new("overhead").about("Measure what the router adds to calling an engine directly")
}

fn capacity() -> Command {
    Command::new("capacity").about("Measure how cost grows with size, for docs/CAPACITY.md")
}
