//! Definition of the command line.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

fn file_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// The command with all its subcommands.
pub fn command() -> Command {
    Command::new("eiderferry")
        .version(clap::crate_version!())
        .about("Routes language-model traffic with service levels and priorities")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(platform())
        .subcommand(check())
        .subcommand(node_command(
            "status",
            "Show the status of a node and of the fleet as the node sees it",
        ))
        .subcommand(node_command(
            "classes",
            "Show the request classes and a node's counters for each",
        ))
        .subcommand(node_command(
            "back-ends",
            "Show the back ends of the cells that a node holds",
        ))
        .subcommand(node_command(
            "tenants",
            "Show the tenants with running requests in the cells that a node holds",
        ))
        .subcommand(node_command(
            "drain",
            "Stop accepting new requests on a node and let running ones finish",
        ))
        .subcommand(node_command(
            "undrain",
            "Let a draining node accept new requests again",
        ))
        .subcommand(explain())
        .subcommand(explain_logs())
        .subcommand(decisions())
        .subcommand(node_command(
            "watch",
            "Print a node's decisions as they are made",
        ))
        .subcommand(validate())
        .subcommand(completions())
}

fn node_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:9000")
                .help("Address of the node's operator interface"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("EIDERFERRY_TOKEN")
                .hide_env_values(true)
                .help("Bearer token for the operator interface"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
}

fn explain() -> Command {
    node_command(
        "explain",
        "Show every decision on one request that a node still has in its log",
    )
    .after_help("Example:\n  eiderferry explain 1-2c9f3a1-42")
    .arg(
        Arg::new("request")
            .value_name("REQUEST")
            .required(true)
            .help("Request id, from the header eiderferry-request-id"),
    )
}

fn explain_logs() -> Command {
    Command::new("explain-logs")
        .about("Show the timeline of one request from the logs of one or more nodes")
        .after_help(
            "Lines are sorted by timestamp; the clocks of the nodes may differ.\n\n\
             Examples:\n  eiderferry explain-logs 9c41d07be2a35f68 node-a.log node-b.log\n  \
             journalctl -u relay -o cat | eiderferry explain-logs 9c41d07be2a35f68 -",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("Request id, as the caller sent it"),
        )
        .arg(
            file_argument("files", "Log files; - for standard input")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
}

fn decisions() -> Command {
    let filter = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    node_command("decisions", "Show a node's latest decisions, newest first")
        .after_help("Example:\n  eiderferry decisions --step refused --class digest-check")
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u32).range(1..=1_000))
                .default_value("20")
                .help("Maximum number of decisions to show"),
        )
        .arg(filter(
            "class",
            "Show only decisions on requests of this class",
        ))
        .arg(filter(
            "tenant",
            "Show only decisions on requests of this tenant",
        ))
        .arg(filter(
            "step",
            "Show only decisions of this step, such as refused",
        ))
}

fn validate() -> Command {
    node_command(
        "validate",
        "Check a configuration against a running node before it is published",
    )
    .arg(file_argument("file", "Configuration to check").required(true))
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print the completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        )
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run one entry node until it receives SIGTERM or SIGINT")
        .after_help("Example:\n  eiderferry serve --settings examples/settings.yaml")
        .arg(
            file_argument("settings", "Settings file of this node")
                .long("settings")
                .required(true),
        )
}

fn platform() -> Command {
    Command::new("platform")
        .about("Run one relay on the users' platform, with the platform's settings file")
        .after_help(
            "The path of the settings file comes from an environment variable that the\n\
             platform sets. SIGTERM starts a graceful shutdown; SIGHUP reloads the settings.\n\n\
             Example:\n  eiderferry platform",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Validate settings or configuration files without starting a node")
        .after_help("Example:\n  eiderferry check examples/quetzal.yaml examples/settings.yaml")
        .arg(
            file_argument("files", "Settings or configuration files to check")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..),
        )
}
