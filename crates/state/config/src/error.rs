//! Errors of reading a document.

use quick_error::quick_error;
use std::fmt;

/// One thing wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where: a path such as `classes[2].tier`.
    pub path: String,
    /// The value found there.
    pub value: String,
    /// What would be accepted.
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
    /// A document that can't be used. Nothing of it has been applied.
    #[derive(Debug)]
    pub enum ConfigurationError {
        /// The file can't be read.
        Read(document: String, cause: std::io::Error) {
            display("{document}: can't be read: {cause}")
        }
        /// The text is no YAML of the expected shape: unknown field, wrong type.
        Syntax(document: String, cause: String) {
            display("{document}: {cause}")
        }
        /// The text has the right shape but its values don't fit together.
        Invalid(document: String, problems: Vec<Problem>) {
            display("{document}: {} problem(s)\n{}", problems.len(), format_problems(problems))
        }
    }
}
