//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Creates the file; times count from now.
pub fn start(path: &str) -> std::io::Result<()> {
    let record = Record {
        file: Mutex::new(File::create(path)?),
        started: Instant::now(),
    };
    // Fails only on a second call.
    let _ = RECORD.set(record);
    Ok(())
}

/// Returns the time since the start.
fn elapsed() -> Duration {
    RECORD
        .get()
        .map_or(Duration::ZERO, |record| record.started.elapsed())
}

/// Adds a line, also to the standard output.
pub fn write(line: &str) {
    let line = format!("{:8.3} s  {line}", elapsed().as_secs_f64());
    println!("{line}");
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        // A line that cannot be written is still on the standard output.
        let _ = writeln!(file, "{line}");
    }
}
