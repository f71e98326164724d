//! Rate limits that back ends name.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Units of a limit in one request a second.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// Requests a second that a back end takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    /// In thousandths of a request a second, so that limits are told and compared exactly.
    thousandths: u64,
}

impl RateLimit {
    /// A limit of so many requests a second; `None` where that is no limit: negative, endless or
    /// not a number.
    pub fn from_requests_per_second(rate: f64) -> Option<Self> {
        let is_limit = rate.is_finite() && rate >= 0.0;
        is_limit.then_some(Self {
            thousandths: (rate * UNITS_PER_REQUEST) as u64,
        })
    }

    /// Requests a second.
    pub fn requests_per_second(self) -> f64 {
        self.thousandths as f64 / UNITS_PER_REQUEST
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.requests_per_second())
    }
}
