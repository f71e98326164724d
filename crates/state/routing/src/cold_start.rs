//! Cold starts: for some time after its start a back end sustains less load than a warm one.

use eiderferry_types::Span;
use serde::{Deserialize, Serialize};

/// Cold start behaviour of the back ends of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a back end is cold after its start.
    #[serde(rename = "lasts")]
    pub duration: Span,
    /// Requests per second that a cold back end sustains; well above this rate it fails.
    pub requests_per_second: f64,
}
