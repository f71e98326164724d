//! Errors in reading and validating a document.

use quick_error::quick_error;
use std::fmt;

/// One invalid value in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the value, such as `classes[2].tier`.
    pub path: String,
    /// The value found, or a description of it.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: found {}; allowed: {}",
            self.path, self.value, self.allowed
        )
    }
}

fn format_problems(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("  {problem}"))
        .collect();
    lines.join("\n")
}

quick_error! {
    /// Why a document can't be used. No part of it has been applied.
    #[derive(Debug)]
    pub enum ConfigurationError {
        /// The file can't be read.
        Read(document: String, cause: std::io::Error) {
            display("{document}: can't be read: {cause}")
        }
        /// The text is not YAML, or does not match the schema: unknown field, wrong type.
        Syntax(document: String, cause: String) {
            display("{document}: {cause}")
        }
        /// The text matches the schema but has invalid or inconsistent values.
        Invalid(document: String, problems: Vec<Problem>) {
            display("{document}: {} problem(s)\n{}", problems.len(), format_problems(problems))
        }
    }
}
