//! Retry budget: limits retries to a share of the requests, so that failures don't
//! multiply the load.

/// Retries that each accepted request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most retries that the budget holds: enough for one crash, which fails a whole batch of
/// requests at a time.
const MAX_AVAILABLE_RETRIES: f64 = 64.0;

/// The retries that this node may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: MAX_AVAILABLE_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records an accepted request.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
