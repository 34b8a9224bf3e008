//! Wall-clock time, comparable between the processes of one machine.

use std::time::{Duration, SystemTime};

/// Returns the microseconds since the Unix epoch.
pub(crate) fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_micros() as u64
}
