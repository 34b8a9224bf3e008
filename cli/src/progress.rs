//! Progress on standard error: a progress bar on a terminal, otherwise one line per change.

use std::collections::HashSet;
use std::io::{IsTerminal, Write};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// Progress output of one command.
#[derive(Debug)]
pub struct Progress {
    bar: Option<ProgressBar>,
    last_line: String,
    printed: HashSet<String>,
}

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}

impl Progress {
    /// Creates a progress output with no steps.
    pub fn new() -> Self {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::with_draw_target(Some(0), ProgressDrawTarget::stderr());
            // The template is a valid constant, so this does not fail.
            if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}") {
                bar.set_style(style);
            }
            bar
        });
        Self {
            bar,
            last_line: String::new(),
            printed: HashSet::new(),
        }
    }

    /// Shows `done` of `total` steps with a message.
    pub fn set(&mut self, done: u64, total: u64, message: &str) {
        match &self.bar {
            Some(bar) => {
                bar.set_length(total);
                bar.set_position(done);
                bar.set_message(message.to_owned());
            }
            None => self.print_line(format!("{done}/{total} {message}")),
        }
    }

    /// Prints an event. Repeated messages are printed only once, since resends produce the same ones.
    pub fn note(&mut self, message: &str) {
        if !self.printed.insert(message.to_owned()) {
            return;
        }
        match &self.bar {
            Some(bar) => bar.println(message),
            None => self.print_line(message.to_owned()),
        }
    }

    fn print_line(&mut self, line: String) {
        if line != self.last_line {
            // A closed standard error must not fail the command.
            drop(writeln!(std::io::stderr(), "{line}"));
            self.last_line = line;
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
