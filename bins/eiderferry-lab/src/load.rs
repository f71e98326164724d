//! `eiderferry-lab load`: sends the requests of a load plan.

use crate::table::load_report_table;
use clap::ArgMatches;
use eiderferry_load::LoadPlan;
use std::path::PathBuf;

/// Runs the load plan in a file and prints the results.
pub fn run(arguments: &ArgMatches) -> Result<(), String> {
    let path = arguments
        .get_one::<PathBuf>("plan")
        .ok_or("no plan given")?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{}: can't be read: {error}", path.display()))?;
    let plan: LoadPlan =
        serde_saphyr::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    if plan.entries.is_empty() || plan.classes.is_empty() {
        return Err(format!(
            "{}: at least one entry and one class are required",
            path.display()
        ));
    }
    let report = smol::block_on(eiderferry_load::run(&plan));
    println!("{}", load_report_table(&report));
    println!(
        "goodput {:.0} tokens/s, {} tokens in {:.1} s",
        report.goodput_tokens_per_second, report.delivered_tokens, report.seconds
    );
    Ok(())
}
