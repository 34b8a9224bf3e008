//! Monotonic clock of a replica that detects suspension of its VM.

use std::time::Duration;

use primrosepin_core::time::Instant;

/// Lead of the wall clock over the monotonic clock, from one reading to the next, that counts as a
/// suspension. Clock adjustments are far smaller; taking one for a suspension costs only an election.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(250);

/// Monotonic time that also advances while the VM is suspended.
///
/// The system's monotonic clock may stop during a suspension, so that a leader would trust a lease that
/// has expired. The suspension shows in the wall clock, which goes on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    monotonic: Duration,
    wall: Duration,
    now: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero, from readings of the system's monotonic clock and wall clock.
    pub fn new(monotonic: Duration, wall: Duration) -> Self {
        Self {
            monotonic,
            wall,
            now: Instant::default(),
        }
    }

    /// Advances the clock to later readings and returns its time.
    pub fn read(&mut self, monotonic: Duration, wall: Duration) -> Instant {
        let by_monotonic = monotonic.saturating_sub(self.monotonic);
        let by_wall = wall.saturating_sub(self.wall);
        let suspended = by_wall.saturating_sub(by_monotonic);
        self.monotonic = monotonic;
        self.wall = wall;
        self.now = self.now
            + if suspended >= SUSPENSION_THRESHOLD {
                by_wall
            } else {
                by_monotonic
            };
        self.now
    }
}
