//! Command output as aligned text tables or JSON.

use comfy_table::{Table, presets};
use serde_json::{Map, Value};
use std::fmt::Display;

/// A table of formatted cells.
pub struct OutputTable {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl OutputTable {
    /// Creates an empty table with these column names.
    pub fn new(header: &[&'static str]) -> Self {
        Self {
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    pub fn push<const COLUMNS: usize>(&mut self, cells: [&dyn Display; COLUMNS]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    fn to_json(&self) -> Value {
        let row_to_object = |row: &Vec<String>| {
            let cells = self.header.iter().zip(row);
            let fields: Map<String, Value> = cells
                .map(|(name, cell)| ((*name).replace(' ', "_"), Value::String(cell.clone())))
                .collect();
            Value::Object(fields)
        };
        Value::Array(self.rows.iter().map(row_to_object).collect())
    }
}

/// Prints a table as JSON if `json` is set, as aligned text otherwise.
pub fn print_table(output: &OutputTable, json: bool) {
    if json {
        println!("{}", output.to_json());
        return;
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(output.header.clone());
    for row in &output.rows {
        table.add_row(row);
    }
    println!("{table}");
}
