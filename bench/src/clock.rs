//! Wall-clock time on the same clock as the records of the stand-ins.

use std::time::{Duration, SystemTime};

/// Returns the microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_micros() as u64
}

/// Sleeps until a time since the Unix epoch; returns at once if it has passed.
pub async fn sleep_until(at_us: u64) {
    let wait_us = at_us.saturating_sub(now_us());
    if wait_us > 0 {
        actix_rt::time::sleep(Duration::from_micros(wait_us)).await;
    }
}
