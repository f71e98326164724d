//! `eiderferry-lab simulate`: runs scenarios in the simulator.

use clap::ArgMatches;
use comfy_table::{CellAlignment, Table, presets};
use eiderferry_simulator::{Policy, Report, Scenario, chaos_scenario, shrink, simulate};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Runs a scenario, or random fault schedules, for each policy and seed.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    if arguments.get_flag("list") {
        return list_scenarios();
    }
    let json = arguments
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    let seeds = parse_seeds(arguments)?;
    let policies = parse_policies(arguments)?;
    let mut jobs = Vec::new();
    for policy in &policies {
        for seed in seeds.clone() {
            jobs.push((load_scenario(arguments, seed)?, *policy, seed));
        }
    }
    let reports = run_jobs(&jobs)?;
    if json {
        print_json(&reports)?;
    } else {
        print_text(&reports, arguments.get_flag("chaos"));
    }
    let violating: Vec<&Report> = reports
        .iter()
        .filter(|report| report.violation_count > 0)
        .collect();
    if let (Some(path), Some(report)) = (arguments.get_one::<PathBuf>("shrink"), violating.first())
    {
        write_shrunk_scenario(path, &jobs, report)?;
    }
    match violating.len() {
        0 => Ok(()),
        count => Err(format!("{count} of {} runs had violations", reports.len())),
    }
}

fn list_scenarios() -> Result<(), String> {
    for (name, description) in Scenario::built_in().map_err(|error| error.to_string())? {
        println!("{name:28} {description}");
    }
    Ok(())
}

fn parse_seeds(arguments: &ArgMatches) -> Result<Range<u64>, String> {
    if let Some(text) = arguments.get_one::<String>("seeds") {
        let parsed = text
            .split_once("..")
            .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
        return parsed
            .ok_or_else(|| format!("--seeds {text}: expected FIRST..END, such as 0..100"));
    }
    let seed = arguments.get_one::<u64>("seed").copied().unwrap_or(1);
    Ok(seed..seed + 1)
}

fn parse_policies(arguments: &ArgMatches) -> Result<Vec<Policy>, String> {
    let names = arguments
        .get_one::<String>("policy")
        .map_or("eiderferry", String::as_str);
    names
        .split(',')
        .map(|name| name.parse::<Policy>().map_err(|error| error.to_string()))
        .collect()
}

fn load_scenario(arguments: &ArgMatches, seed: u64) -> Result<Scenario, String> {
    let scenario = if arguments.get_flag("chaos") {
        chaos_scenario(seed)
    } else {
        let name = arguments
            .get_one::<String>("scenario")
            .map_or("quick", String::as_str);
        Scenario::load(name)
    };
    scenario.map_err(|error| error.to_string())
}

/// Runs the simulations in parallel; each one is deterministic.
fn run_jobs(jobs: &[(Scenario, Policy, u64)]) -> Result<Vec<Report>, String> {
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    let workers = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .div_ceil(2);
    std::thread::scope(|scope| {
        for _ in 0..workers.min(jobs.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed) as usize;
                    let Some((scenario, policy, seed)) = jobs.get(index) else {
                        return;
                    };
                    let result = simulate(scenario, *policy, *seed);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index, result.map_err(|error| error.to_string())));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn print_json(reports: &[Report]) -> Result<(), String> {
    let text = match reports {
        [report] => serde_json::to_string_pretty(report),
        reports => serde_json::to_string_pretty(reports),
    };
    println!("{}", text.map_err(|error| error.to_string())?);
    Ok(())
}

fn print_text(reports: &[Report], chaos: bool) {
    if chaos {
        for report in reports.iter().filter(|report| report.violation_count > 0) {
            print_violations(report);
        }
        let violations: u64 = reports.iter().map(|report| report.violation_count).sum();
        println!("{} runs, {violations} violations", reports.len());
        return;
    }
    for report in reports {
        println!(
            "\n{} by {}, seed {}",
            report.scenario, report.policy, report.seed
        );
        println!("{}", class_table(report));
        println!(
            "goodput {:.0} tokens/s, delivered {:.0} tokens/s, wasted {:.2} %, prefilled {:.0} tokens/s",
            report.goodput_tokens_per_second,
            report.delivered_tokens_per_second,
            report.wasted_fraction * 100.0,
            report.prefilled_tokens_per_second
        );
        println!(
            "control {:.0} bytes/s a node ({:.0} the busiest), {:.1} datagrams/s a node, platform {:.1} calls/s, trace {}",
            report.control_bytes_per_second_per_node,
            report.control_bytes_per_second_busiest,
            report.control_messages_per_second_per_node,
            report.platform_calls_per_second,
            report.trace_hash
        );
        print_violations(report);
    }
}

fn print_violations(report: &Report) {
    if report.violation_count == 0 {
        return;
    }
    println!(
        "{} seed {}: {} violations",
        report.scenario, report.seed, report.violation_count
    );
    for violation in report.violations.iter().take(5) {
        println!(
            "  {:?} at {:.3} s: {}",
            violation.promise, violation.at_seconds, violation.what
        );
    }
}

fn class_table(report: &Report) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "class",
        "tier",
        "requests",
        "completed",
        "refused",
        "lost",
        "hung up",
        "attainment",
        "first token p50 ms",
        "p95 ms",
        "per token p95 ms",
        "share met",
    ]);
    for class in &report.classes {
        table.add_row([
            class.class.clone(),
            class.tier.to_string(),
            class.requests.to_string(),
            class.completed.to_string(),
            class.refused.to_string(),
            class.lost.to_string(),
            class.hung_up.to_string(),
            format!("{:.2} %", class.attainment * 100.0),
            format!("{:.0}", class.first_token_p50_ms),
            format!("{:.0}", class.first_token_p95_ms),
            format!("{:.1}", class.per_token_p95_ms),
            class
                .minimum_share_met
                .map_or("-".into(), |share| format!("{:.0} %", share * 100.0)),
        ]);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn write_shrunk_scenario(
    path: &PathBuf,
    jobs: &[(Scenario, Policy, u64)],
    report: &Report,
) -> Result<(), String> {
    let job = jobs.iter().find(|(scenario, policy, seed)| {
        scenario.name == report.scenario
            && policy.to_string() == report.policy
            && *seed == report.seed
    });
    let (Some((scenario, policy, seed)), Some(violation)) = (job, report.violations.first()) else {
        return Ok(());
    };
    let shrunk =
        shrink(scenario, *policy, *seed, violation.promise).map_err(|error| error.to_string())?;
    let text = shrunk.to_yaml().map_err(|error| error.to_string())?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    println!(
        "shrunk to {} faults, written to {}; run it with --seed {seed}",
        shrunk.faults.len(),
        path.display()
    );
    Ok(())
}
