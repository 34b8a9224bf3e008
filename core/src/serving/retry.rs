//! Retry budget. Retries are limited to a share of the requests, so that failures do not multiply
//! load.

/// Maximum number of unused retries that accumulate.
const CAPACITY_RETRIES: f64 = 20.0;

/// Retries available at process start.
const INITIAL_RETRIES: f64 = 10.0;

/// Token bucket of retries.
#[derive(Debug)]
pub(super) struct Budget {
    allowed: f64,
    per_request: f64,
}

impl Budget {
    pub const fn new() -> Self {
        Self {
            allowed: INITIAL_RETRIES,
            per_request: 0.1,
        }
    }

    /// Sets the number of retries as a percentage of first attempts.
    pub fn configure(&mut self, percent: u32) {
        self.per_request = f64::from(percent) / 100.0;
    }

    /// Adds the share of one first attempt.
    pub const fn first_attempt(&mut self) {
        self.allowed = (self.allowed + self.per_request).min(CAPACITY_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if it is exhausted.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.allowed >= 1.0;
        if allowed {
            self.allowed -= 1.0;
        }
        allowed
    }
}
