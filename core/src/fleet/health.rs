//! Health of a target, derived from the requests sent to it.

use std::time::Duration;

use crate::time::Instant;

/// Back-off after the first of consecutive failures.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest back-off. It bounds the time until a target that has recovered is used again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest request in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Failure rate above which a target is avoided. Healthy plain services fail up to 14% of their
/// requests.
const MAX_FAILURE_RATE: f64 = 0.35;

/// Ratio of actual to predicted time to the first event above which a target is avoided.
const MAX_SLOWDOWN: f64 = 2.5;

/// Weight of the newest request in the moving slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// Health of one target.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Consecutive failures to connect or to complete an answer.
    consecutive_failures: u32,
    /// When a connection to it last failed.
    unreachable_at: Option<Instant>,
    /// Time before which it gets no work if another target can take it.
    backoff_until: Instant,
    /// Moving rate of failed requests.
    failure_rate: f64,
    /// Moving ratio of the actual to the predicted time to the first event.
    slowdown: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            unreachable_at: None,
            backoff_until: Instant::default(),
            failure_rate: 0.0,
            slowdown: 1.0,
        }
    }
}

impl Health {
    /// Records a request that the target served.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.unreachable_at = None;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a first event after `taken` where `predicted` was expected.
    pub fn record_first_event(&mut self, taken: Duration, predicted: Duration) {
        // Below this time, effects that the cost model leaves out dominate.
        const FLOOR_S: f64 = 0.15;
        let ratio = taken.as_secs_f64().max(FLOOR_S) / predicted.as_secs_f64().max(FLOOR_S);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio.min(10.0) - self.slowdown);
    }

    /// Records an error answer of the target.
    pub fn record_error(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records a missing or incomplete answer, and backs off.
    pub fn record_broken(&mut self, now: Instant) {
        self.record_error();
        self.consecutive_failures += 1;
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.consecutive_failures.min(5) - 1);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a failed connection.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
    }

    /// Records that the target has no room until about `until`.
    pub fn back_off_until(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Returns whether the target, last heard at `heard`, should get no work while others can take
    /// it.
    pub fn avoided(&self, now: Instant, heard: Instant) -> bool {
        self.is_failing(now, heard) || self.slowdown > MAX_SLOWDOWN
    }

    /// Returns whether the target, last heard at `heard`, failed recently or has no room.
    pub fn is_failing(&self, now: Instant, heard: Instant) -> bool {
        now < self.backoff_until
            || self.failure_rate > MAX_FAILURE_RATE
            || self.unreachable_at.is_some_and(|at| at >= heard)
    }

    /// Returns the ratio of the actual to the predicted time to the first event, at least 1.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.max(1.0)
    }

    /// Decays the failure rate and the slowdown, so that an avoided target is tried again.
    pub fn decay(&mut self, factor: f64) {
        self.failure_rate *= factor;
        self.slowdown = 1.0 + (self.slowdown - 1.0) * factor;
    }
}
