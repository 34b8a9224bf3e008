//! Health of a target as its requests see it.

use std::time::Duration;

use crate::time::Instant;

/// Pause after the first failure in a row.
const PAUSE: Duration = Duration::from_millis(400);

/// Longest pause; a target that comes back is found within this time.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest request in the rate of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Rate of failures above which a target comes after all others. Sound plain services fail up to 14% of
/// their requests by themselves.
const GREY: f64 = 0.35;

/// Factor over the predicted time to the first event above which a target counts as slow.
const SLOW: f64 = 2.5;

/// Weight of the newest request in the pace.
const PACE_WEIGHT: f64 = 0.2;

/// Health of one target.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Failures to connect or to answer in a row.
    failures: u32,
    /// When it was last found unreachable.
    unreachable_at: Option<Instant>,
    /// Time before which it gets no work if another target can take it.
    paused_until: Instant,
    /// Moving rate of failed requests.
    rate: f64,
    /// Moving ratio of the time to the first event over the prediction.
    pace: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            unreachable_at: None,
            paused_until: Instant::default(),
            rate: 0.0,
            pace: 1.0,
        }
    }
}

impl Health {
    /// Records a request that the target served.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.unreachable_at = None;
        self.rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a first event after `taken` where `predicted` was expected.
    pub fn first_event(&mut self, taken: Duration, predicted: Duration) {
        // Below this time the prediction is dominated by effects that the model leaves out.
        const FLOOR_S: f64 = 0.15;
        let ratio = taken.as_secs_f64().max(FLOOR_S) / predicted.as_secs_f64().max(FLOOR_S);
        self.pace += PACE_WEIGHT * (ratio.min(10.0) - self.pace);
    }

    /// Records an error that the target itself answered.
    pub fn fail(&mut self) {
        self.rate += FAILURE_WEIGHT * (1.0 - self.rate);
    }

    /// Records a target that did not answer or broke off.
    pub fn lose(&mut self, now: Instant) {
        self.fail();
        self.failures += 1;
        let pause = PAUSE * 2u32.pow(self.failures.min(5) - 1);
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Records a target that takes no connection.
    pub fn unreachable(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
    }

    /// Records a target that has no room until about `until`.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns whether the target, last heard at `heard`, should get no work while others can take it.
    pub fn avoided(&self, now: Instant, heard: Instant) -> bool {
        now < self.paused_until
            || self.rate > GREY
            || self.pace > SLOW
            || self.unreachable_at.is_some_and(|at| at >= heard)
    }

    /// Returns how many times longer than predicted the target takes, at least 1.
    pub fn pace(&self) -> f64 {
        self.pace.max(1.0)
    }

    /// Lets the marks of a target without requests fade, so that it is tried again.
    pub fn fade(&mut self, factor: f64) {
        self.rate *= factor;
        self.pace = 1.0 + (self.pace - 1.0) * factor;
    }
}
