//! Result of a command: exit code, text output and JSON output.

use std::io::Write;
use std::process::ExitCode;

use serde_json::{Value, json};

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The server refused or did not answer, the deployment is not healthy, or the change was not in force
    /// in time.
    Refused,
    /// The command line or a file is invalid.
    Usage,
    /// It is not known whether the change was accepted.
    Unknown,
}

impl Exit {
    /// Returns the process exit code.
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

/// Output of a command.
#[derive(Debug, Clone)]
pub struct Report {
    /// Exit code.
    pub exit: Exit,
    /// Text output, without a trailing newline.
    pub text: String,
    /// JSON object to print; `outcome` is added when it is printed.
    pub json: Value,
}

/// Report of a command that failed.
#[derive(Debug)]
pub struct Failure(pub Report);

impl Report {
    /// Creates a report. `json` must be an object.
    pub fn new<T: Into<String>>(exit: Exit, text: T, json: Value) -> Self {
        Self {
            exit,
            text: text.into(),
            json,
        }
    }

    /// Creates a report whose JSON output contains only the text, as `message`.
    pub fn message<T: Into<String>>(exit: Exit, text: T) -> Self {
        let text = text.into();
        let json = json!({ "message": text });
        Self::new(exit, text, json)
    }

    /// Prints the report. Text goes to standard output on success and to standard error otherwise; JSON
    /// always goes to standard output.
    pub fn print(&self, as_json: bool) {
        // A closed pipe is not an error of the command, and there is no other stream to report it on.
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

impl Failure {
    /// Creates a failure with a message.
    pub fn message<T: Into<String>>(exit: Exit, text: T) -> Self {
        Self(Report::message(exit, text))
    }

    /// Creates a failure for an invalid file or command line.
    pub fn usage<T: std::fmt::Display>(error: T) -> Self {
        Self::message(Exit::Usage, error.to_string())
    }
}

impl From<primrosepin_config::Error> for Failure {
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
