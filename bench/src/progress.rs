//! Progress: a bar on a terminal, plain lines otherwise.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};

/// Time between two plain lines.
const LINE_EVERY: Duration = Duration::from_secs(5);

/// Shows how far a run is.
#[derive(Debug)]
pub struct Progress {
    bar: Option<ProgressBar>,
    total: u64,
    printed: Instant,
}

impl Progress {
    /// Creates a display for a number of steps.
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

    /// Shows a position.
    pub fn set(&mut self, position: u64, message: &str) {
        if let Some(bar) = &self.bar {
            bar.set_position(position);
            bar.set_message(message.to_owned());
        } else if self.printed.elapsed() >= LINE_EVERY {
            self.printed = Instant::now();
            eprintln!("{position}/{} {message}", self.total);
        }
    }

    /// Shows an event.
    pub fn note(&self, message: &str) {
        match &self.bar {
            Some(bar) => bar.println(message),
            None => eprintln!("{message}"),
        }
    }

    /// Ends the display.
    pub fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
