//! Progress on standard error: a bar on a terminal, otherwise a line for each change.

use std::collections::HashSet;
use std::io::{IsTerminal, Write};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// Progress of one command.
#[derive(Debug)]
pub struct Progress {
    bar: Option<ProgressBar>,
    last: String,
    noted: HashSet<String>,
}

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}

impl Progress {
    /// Creates a progress without steps.
    pub fn new() -> Self {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::with_draw_target(Some(0), ProgressDrawTarget::stderr());
            // The template is constant and valid.
            if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}") {
                bar.set_style(style);
            }
            bar
        });
        Self {
            bar,
            last: String::new(),
            noted: HashSet::new(),
        }
    }

    /// Shows how many of the steps are done.
    pub fn set(&mut self, done: u64, total: u64, message: &str) {
        match &self.bar {
            Some(bar) => {
                bar.set_length(total);
                bar.set_position(done);
                bar.set_message(message.to_owned());
            }
            None => self.line(format!("{done}/{total} {message}")),
        }
    }

    /// Shows an event, once: resends repeat the same ones.
    pub fn note(&mut self, message: &str) {
        if !self.noted.insert(message.to_owned()) {
            return;
        }
        match &self.bar {
            Some(bar) => bar.println(message),
            None => self.line(message.to_owned()),
        }
    }

    fn line(&mut self, line: String) {
        if line != self.last {
            // Progress is not worth an error when standard error is closed.
            drop(writeln!(std::io::stderr(), "{line}"));
            self.last = line;
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
