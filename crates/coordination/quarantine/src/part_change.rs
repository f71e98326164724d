//! Changes of the quarantine of prompt parts.

use crate::ChangeSource;
use crate::part_report::{PartKey, SharedParts};
use eiderferry_types::Span;

/// Prompt parts that are refused: one, or several that are refused where they occur together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedParts {
    /// The parts, ordered.
    pub parts: Vec<PartKey>,
    /// Digest of the only caller for which they are refused; `None` if they are for all.
    pub caller: Option<u32>,
    /// Stored crashes of back ends that the parts explain.
    pub crashes: usize,
}

impl QuarantinedParts {
    /// Whether a request with these shared parts is refused.
    pub fn matches(&self, request: &SharedParts) -> bool {
        self.caller.is_none_or(|caller| caller == request.caller)
            && self.parts.iter().all(|part| request.contains(*part))
    }

    /// The parts' ids as in requests, separated by commas.
    pub fn ids(&self) -> String {
        let ids = self.parts.iter().map(PartKey::to_string);
        ids.collect::<Vec<String>>().join(",")
    }
}

/// Fields of the log line for a change of the quarantine of prompt parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartChangeDetails {
    /// Name of the event.
    pub event: &'static str,
    /// Ids of the parts, separated by commas.
    pub parts: String,
    /// Whether the parts are refused for one caller or for all.
    pub callers: &'static str,
    /// Stored crashes of back ends that the parts explain.
    pub crashes: u64,
    /// Time until the quarantine expires, in milliseconds; 0 if it ended.
    pub remaining_ms: u64,
    /// Where the cause was observed; empty if the quarantine ended.
    pub source: &'static str,
}

/// A change of the quarantine of prompt parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the parts are refused from now on.
    Quarantined {
        /// The parts.
        quarantined: QuarantinedParts,
        /// Time until the quarantine expires.
        remaining: Span,
        /// Where the observation that caused it was made.
        source: ChangeSource,
    },
    /// Requests with the parts are served again: a run with one of them was sound, other parts
    /// explain the crashes better, or the time is over.
    Released {
        /// The parts.
        quarantined: QuarantinedParts,
    },
}

impl PartChange {
    /// The fields of its log line.
    pub fn details(&self) -> PartChangeDetails {
        let (event, quarantined, remaining, source) = match self {
            PartChange::Quarantined {
                quarantined,
                remaining,
                source,
            } => ("part_quarantined", quarantined, *remaining, source.as_str()),
            PartChange::Released { quarantined } => ("part_released", quarantined, Span::ZERO, ""),
        };
        let is_for_one = quarantined.caller.is_some();
        PartChangeDetails {
            event,
            parts: quarantined.ids(),
            callers: if is_for_one { "one" } else { "all" },
            crashes: quarantined.crashes as u64,
            remaining_ms: remaining.milliseconds(),
            source,
        }
    }
}
