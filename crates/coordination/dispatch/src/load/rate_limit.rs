//! Rate limits stated by back ends.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Units of the stored limit per request per second.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// Requests per second that a back end accepts from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    /// In thousandths of a request per second, so that limits are transferred and compared
    /// exactly.
    thousandths: u64,
}

impl RateLimit {
    /// Creates a limit from a number of requests per second; `None` if it is negative, infinite
    /// or not a number.
    pub fn from_requests_per_second(rate: f64) -> Option<Self> {
        let is_limit = rate.is_finite() && rate >= 0.0;
        is_limit.then_some(Self {
            thousandths: (rate * UNITS_PER_REQUEST) as u64,
        })
    }

    /// The limit in requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.thousandths as f64 / UNITS_PER_REQUEST
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.requests_per_second())
    }
}
