//! Progress display: a bar on a terminal, lines otherwise.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};

/// Minimum time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Progress display of a run, on standard error.
#[derive(Debug)]
pub struct Progress {
    bar: Option<ProgressBar>,
    total: u64,
    printed: Instant,
}

impl Progress {
    /// Creates a display for a total number of steps.
    pub fn new(total: u64) -> Self {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(total);
            if let Ok(style) =
                ProgressStyle::with_template("{elapsed} [{bar:40}] {pos}/{len} {msg}")
            {
                bar.set_style(style);
            }
            bar
        });
        Self {
            bar,
            total,
            printed: Instant::now(),
        }
    }

    /// Shows the current step and a message.
    pub fn set(&mut self, position: u64, message: &str) {
        if let Some(bar) = &self.bar {
            bar.set_position(position);
            bar.set_message(message.to_owned());
        } else if self.printed.elapsed() >= LINE_INTERVAL {
            self.printed = Instant::now();
            eprintln!("{position}/{} {message}", self.total);
        }
    }

    /// Prints a line without disturbing the bar.
    pub fn note(&self, message: &str) {
        match &self.bar {
            Some(bar) => bar.println(message),
            None => eprintln!("{message}"),
        }
    }

    /// Removes the bar.
    pub fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
