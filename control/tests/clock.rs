//! Tests of the clock of a replica.

use std::time::Duration;

use primrosepin_control::Clock;

/// Guards against a leader that trusts an expired lease after a suspension, and against wall-clock
/// adjustments that stop the clock or turn it back.
#[test]
fn clock_advances_over_suspension_and_ignores_adjustments() {
    let ms = Duration::from_millis;
    let mut clock = Clock::new(ms(1_000), ms(50_000));
    let mut read = |monotonic, wall| clock.read(ms(monotonic), ms(wall)).as_micros() / 1_000;
    assert_eq!(read(1_100, 50_100), 100);
    assert_eq!(read(1_200, 50_220), 200, "small difference");
    assert_eq!(read(1_210, 55_220), 5_200, "suspended for 5 s");
    assert_eq!(read(1_310, 40_000), 5_300, "wall clock turned back");
    assert_eq!(read(1_410, 40_100), 5_400);
}
