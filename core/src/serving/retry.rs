//! Retry budget: retries are a bounded part of the requests, so that failures do not multiply load.

/// Retries that can be saved up.
const CAPACITY_RETRIES: f64 = 20.0;

/// Retries allowed before the first request.
const INITIAL_RETRIES: f64 = 10.0;

/// Retries that are allowed now.
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

    /// Takes the allowed retries in percent of first attempts.
    pub fn configure(&mut self, percent: u32) {
        self.per_request = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt.
    pub const fn first_attempt(&mut self) {
        self.allowed = (self.allowed + self.per_request).min(CAPACITY_RETRIES);
    }

    /// Takes one retry from the budget, if there is one left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.allowed >= 1.0;
        if allowed {
            self.allowed -= 1.0;
        }
        allowed
    }
}
