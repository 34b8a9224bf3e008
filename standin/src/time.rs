//! Wall-clock time, so that times of different processes on one machine can be compared.

use std::time::{Duration, SystemTime};

/// Returns the microseconds since the Unix epoch.
pub(crate) fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_micros() as u64
}
