//! Command `explain`: finds the log lines of a request and the cause of its end.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use crate::report::{Exit, Failure};
use crate::{Report, Result};

/// Log fields that are not printed as `name=value` details.
const OMITTED_DETAILS: [&str; 5] = ["time", "level", "message", "target", "request"];

/// A log line of the request.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    /// RFC 3339 time, which sorts as text.
    time: String,
    /// Name of the log file without its extension.
    file: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }
}

/// Returns the log lines of a request, sorted by time, and the cause of its end.
pub fn run(request: &str, files: &[PathBuf]) -> Result {
    let mut lines = Vec::new();
    for file in files {
        collect(request, file, &mut lines)?;
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    if lines.is_empty() {
        return Err(Failure::message(
            Exit::Refused,
            format!(
                "no log line of request {request} found in {} files",
                files.len()
            ),
        ));
    }
    let cause = cause(&lines);
    let mut text = String::new();
    for line in &lines {
        let details: BTreeMap<&String, &Value> = line
            .fields
            .iter()
            .filter(|(name, _)| !OMITTED_DETAILS.contains(&name.as_str()))
            .collect();
        let details: Vec<_> = details
            .into_iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let message = line.text("message");
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{} {} {message} {}",
            line.time,
            line.file,
            details.join(" ")
        );
    }
    let _ = write!(text, "cause: {cause}");
    let json = json!({
        "request": request,
        "cause": cause,
        "lines": lines.into_iter().map(|line| Value::Object(line.fields)).collect::<Vec<_>>(),
    });
    Ok(Report::new(Exit::Done, text, json))
}

fn collect(request: &str, path: &Path, lines: &mut Vec<Line>) -> Result<()> {
    let file =
        File::open(path).map_err(|error| Failure::usage(format!("{}: {error}", path.display())))?;
    let name = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    for line in BufReader::new(file).lines() {
        // Lines that are not valid UTF-8 or JSON, such as a truncated last line, are skipped.
        let Ok(line) = line else {
            continue;
        };
        if !line.contains(request) {
            continue;
        }
        let Ok(Value::Object(fields)) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if fields.get("request").and_then(Value::as_str) == Some(request) {
            let time = fields
                .get("time")
                .and_then(Value::as_str)
                .unwrap_or_default();
            lines.push(Line {
                time: time.to_owned(),
                file: name.clone(),
                fields,
            });
        }
    }
    Ok(())
}

/// Returns the cause of the end of the request, from its last `refused` or `request ended` line.
fn cause(lines: &[Line]) -> String {
    let last_with_prefix = |prefix: &str| {
        lines
            .iter()
            .rev()
            .find(|line| line.text("message").starts_with(prefix))
    };
    if let Some(refused) = last_with_prefix("refused") {
        let reason = refused.text("reason");
        let broken = last_with_prefix("answer broken off").map(|line| line.text("message"));
        return match (reason, broken) {
            ("failed", Some(broken)) => format!("failed after its last attempt; {broken}"),
            ("uncertain", _) => {
                let age = refused
                    .fields
                    .get("config_age_ms")
                    .cloned()
                    .unwrap_or_default();
                format!("refused: the configuration was last confirmed {age} ms earlier")
            }
            (reason, _) => format!("refused: {reason}"),
        };
    }
    match last_with_prefix("request ended") {
        Some(ended) => ended.text("message").to_owned(),
        None => {
            "no end of the request is logged: the process crashed or its last log lines are missing"
                .to_owned()
        }
    }
}
