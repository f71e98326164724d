//! Cold starts: for a while after its start a back end bears less than a warm one.

use eiderferry_types::Span;
use serde::{Deserialize, Serialize};

/// How the back ends of a pool start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a back end is cold after its start.
    #[serde(rename = "lasts")]
    pub duration: Span,
    /// Requests a second that a cold back end bears; at well above that it fails.
    pub requests_per_second: f64,
}
