//! The command line.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

fn file_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// The whole command line.
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
            "Show how a node and the fleet stand",
        ))
        .subcommand(node_command(
            "classes",
            "Show the classes and what a node counted",
        ))
        .subcommand(node_command(
            "back-ends",
            "Show the back ends of the cells that a node holds",
        ))
        .subcommand(node_command(
            "tenants",
            "Show tenants with requests in the cells that a node holds",
        ))
        .subcommand(node_command("drain", "Begin a planned stop of a node"))
        .subcommand(node_command(
            "undrain",
            "Let a draining node take requests again",
        ))
        .subcommand(explain())
        .subcommand(explain_logs())
        .subcommand(decisions())
        .subcommand(node_command(
            "watch",
            "Print decisions as a node makes them",
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
                .help("The node's operator address"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("EIDERFERRY_TOKEN")
                .hide_env_values(true)
                .help("Operator token"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Form of the output"),
        )
}

fn explain() -> Command {
    node_command(
        "explain",
        "Show every decision that a node made on one request",
    )
    .after_help("Example:\n  eiderferry explain 1-2c9f3a1-42")
    .arg(
        Arg::new("request")
            .value_name("REQUEST")
            .required(true)
            .help("Name of the request, from the header eiderferry-request-id"),
    )
}

fn explain_logs() -> Command {
    Command::new("explain-logs")
        .about("Tell the story of one request from the logs of one or several nodes")
        .after_help(
            "Lines are put in the order of their times of day; clocks of nodes may differ.\n\n\
             Examples:\n  eiderferry explain-logs 9c41d07be2a35f68 node-a.log node-b.log\n  \
             journalctl -u relay -o cat | eiderferry explain-logs 9c41d07be2a35f68 -",
        )
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("Identity of the request, as its caller gave it"),
        )
        .arg(
            file_argument("files", "Logs; - for standard input")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Form of the output"),
        )
}

fn decisions() -> Command {
    let filter = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    node_command("decisions", "Show a node's last decisions, newest first")
        .after_help("Example:\n  eiderferry decisions --step refused --class digest-check")
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u32).range(1..=1_000))
                .default_value("20")
                .help("How many"),
        )
        .arg(filter("class", "Only of this class"))
        .arg(filter("tenant", "Only of this tenant"))
        .arg(filter("step", "Only of this step, such as refused"))
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
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        )
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run one entry node until it is told to stop")
        .after_help("Example:\n  eiderferry serve --settings examples/settings.yaml")
        .arg(
            file_argument("settings", "Settings of this node")
                .long("settings")
                .required(true),
        )
}

fn platform() -> Command {
    Command::new("platform")
        .about("Run one relay on the users' platform, with the platform's settings file")
        .after_help(
            "The path of the settings file is taken from the environment, as the platform\n\
             sets it. SIGTERM begins a planned stop, SIGHUP reads the settings again.\n\n\
             Example:\n  eiderferry platform",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings or a published configuration without running anything")
        .after_help("Example:\n  eiderferry check examples/quetzal.yaml examples/settings.yaml")
        .arg(
            file_argument("files", "Documents to check")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..),
        )
}
