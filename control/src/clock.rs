//! Clock of a replica that notices when its VM was suspended.

use std::time::Duration;

use primrosepin_core::time::Instant;

/// Difference between wall clock and monotonic clock, from one reading to the next, that counts as
/// suspension. Clock adjustments are far smaller; taking one for a suspension costs only an election.
const SUSPENDED: Duration = Duration::from_millis(250);

/// Monotonic time that also advances while the VM is suspended.
///
/// The system's monotonic clock may stand still then, so that a leader would trust a lease that is long
/// over. The wall clock tells the difference.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    monotonic: Duration,
    wall: Duration,
    now: Instant,
}

impl Clock {
    /// Creates a clock that starts at these readings of monotonic clock and wall clock.
    pub fn new(monotonic: Duration, wall: Duration) -> Self {
        Self {
            monotonic,
            wall,
            now: Instant::default(),
        }
    }

    /// Returns the time at later readings.
    pub fn read(&mut self, monotonic: Duration, wall: Duration) -> Instant {
        let passed = monotonic.saturating_sub(self.monotonic);
        let by_wall = wall.saturating_sub(self.wall);
        let suspended = by_wall.saturating_sub(passed);
        self.monotonic = monotonic;
        self.wall = wall;
        self.now = self.now
            + if suspended >= SUSPENDED {
                by_wall
            } else {
                passed
            };
        self.now
    }
}
