//! Markdown tables for text output.

use comfy_table::{CellAlignment, Table, presets};
use eiderferry_load::LoadReport;

/// Table of a load run's results by class.
pub fn load_report_table(report: &LoadReport) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "class",
        "requests",
        "completed",
        "refused",
        "wrong",
        "failed",
        "attainment",
        "first token p50 ms",
        "first token p99 ms",
        "per token p95 ms",
    ]);
    for class in &report.classes {
        table.add_row([
            class.class.clone(),
            class.requests.to_string(),
            class.completed.to_string(),
            class.refused.to_string(),
            class.wrong.to_string(),
            class.failed.to_string(),
            format!("{:.1} %", class.attainment * 100.0),
            format!("{:.1}", class.first_token_p50_ms),
            format!("{:.1}", class.first_token_p99_ms),
            format!("{:.1}", class.per_token_p95_ms),
        ]);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Table with all columns aligned to the right.
pub fn right_aligned_table(header: &[&str], rows: Vec<Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut() {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
