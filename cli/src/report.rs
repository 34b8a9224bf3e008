//! Result of a command: exit code, text for people, JSON for scripts.

use std::io::Write;
use std::process::ExitCode;

use serde_json::{Value, json};

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused, not healthy, or not in force in time.
    Refused,
    /// Error in the command line or in a file.
    Usage,
    /// The change may or may not be accepted.
    Unknown,
}

impl Exit {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
        }
    }

    /// Returns the value of `outcome` in JSON output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Usage => "usage",
            Self::Unknown => "unknown",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}

/// Result of a command.
#[derive(Debug, Clone)]
pub struct Report {
    /// Exit code.
    pub exit: Exit,
    /// Text for people, without a newline at its end.
    pub text: String,
    /// Members of the JSON output next to `outcome`.
    pub json: Value,
}

/// A report that ends a command early.
#[derive(Debug)]
pub struct Stop(pub Report);

impl Report {
    /// Creates a report; `json` is an object.
    pub fn new<T: Into<String>>(exit: Exit, text: T, json: Value) -> Self {
        Self {
            exit,
            text: text.into(),
            json,
        }
    }

    /// Creates a report whose JSON form is its message.
    pub fn message<T: Into<String>>(exit: Exit, text: T) -> Self {
        let text = text.into();
        let json = json!({ "message": text });
        Self::new(exit, text, json)
    }

    /// Prints the report. Text goes to standard output if the command is done, else to standard
    /// error; JSON always goes to standard output.
    pub fn print(&self, as_json: bool) {
        // A closed pipe is no error of the command; there is nowhere left to report it to.
        drop(self.write(as_json));
    }

    fn write(&self, as_json: bool) -> std::io::Result<()> {
        if as_json {
            let mut json = self.json.clone();
            json["outcome"] = self.exit.as_str().into();
            writeln!(std::io::stdout(), "{json}")
        } else if self.exit == Exit::Done {
            writeln!(std::io::stdout(), "{}", self.text)
        } else {
            writeln!(std::io::stderr(), "{}", self.text)
        }
    }
}

impl Stop {
    /// Stops with a message.
    pub fn message<T: Into<String>>(exit: Exit, text: T) -> Self {
        Self(Report::message(exit, text))
    }

    /// Stops because of an error in a file or in the command line.
    pub fn usage<T: std::fmt::Display>(error: T) -> Self {
        Self::message(Exit::Usage, error.to_string())
    }
}

impl From<primrosepin_config::Error> for Stop {
    fn from(error: primrosepin_config::Error) -> Self {
        let problems: Vec<_> = error
            .problems()
            .iter()
            .map(|problem| {
                let position = problem.position;
                json!({
                    "line": position.map(|position| position.line),
                    "column": position.map(|position| position.column),
                    "message": problem.message,
                })
            })
            .collect();
        let json = json!({ "file": error.file(), "problems": problems });
        Self(Report::new(Exit::Usage, error.to_string(), json))
    }
}
