//! Budget for repeated attempts, so that failure never multiplies load.

/// Retries earned by each accepted request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up: a crash breaks a whole batch at once.
const MAX_AVAILABLE_RETRIES: f64 = 64.0;

/// Retries this node may still spend.
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
    /// Notes an accepted request.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_AVAILABLE_RETRIES);
    }

    /// Spends one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
