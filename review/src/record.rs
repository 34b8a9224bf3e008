//! Record of what was sent, answered and run, with times since the start.

use std::fmt::Write as _;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

static LINES: Mutex<Vec<(Duration, String)>> = Mutex::new(Vec::new());
static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the start of the case.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Adds a line; returns its time.
pub fn note(line: &str) -> Duration {
    let at = now();
    let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines.push((at, line.to_owned()));
    at
}

/// Writes the lines in the order of their times.
pub fn save(path: &str) {
    let mut lines = LINES
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    lines.sort_by_key(|(at, _)| *at);
    let mut text = String::new();
    for (at, line) in lines {
        let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
    }
    if let Err(error) = std::fs::write(path, text) {
        eprintln!("cannot write {path}: {error}");
    }
}
