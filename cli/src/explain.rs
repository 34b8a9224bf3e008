//! What log files say of one request.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use crate::report::{Exit, Stop};
use crate::{Report, Result};

/// Fields that stand for themselves in each printed line.
const SHOWN: [&str; 5] = ["time", "level", "message", "target", "request"];

/// A line about the request.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    time: String,
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

/// Finds the lines about a request, in the order of their time, and names the decision that ended it.
pub fn run(request: &str, files: &[PathBuf]) -> Result {
    let mut lines = Vec::new();
    for file in files {
        collect(request, file, &mut lines)?;
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    if lines.is_empty() {
        return Err(Stop::message(
            Exit::Refused,
            format!("no line about request {request} in {} files", files.len()),
        ));
    }
    let cause = cause(&lines);
    let mut text = String::new();
    for line in &lines {
        let details: BTreeMap<&String, &Value> = line
            .fields
            .iter()
            .filter(|(name, _)| !SHOWN.contains(&name.as_str()))
            .collect();
        let details: Vec<_> = details
            .into_iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let message = line.text("message");
        // Writing to memory does not fail.
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
        File::open(path).map_err(|error| Stop::usage(format!("{}: {error}", path.display())))?;
    let name = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    for line in BufReader::new(file).lines() {
        // A line that is cut off or not of ours says nothing.
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

/// Returns the last decision before the end, in words.
fn cause(lines: &[Line]) -> String {
    let last = |start: &str| {
        lines
            .iter()
            .rev()
            .find(|line| line.text("message").starts_with(start))
    };
    if let Some(refused) = last("refused") {
        let reason = refused.text("reason");
        let broken = last("answer broken off").map(|line| line.text("message"));
        return match (reason, broken) {
            ("failed", Some(broken)) => format!("failed after its last attempt; {broken}"),
            ("uncertain", _) => {
                let age = refused
                    .fields
                    .get("config_age_ms")
                    .cloned()
                    .unwrap_or_default();
                format!("refused: the configuration was last confirmed {age} ms before")
            }
            (reason, _) => format!("refused: {reason}"),
        };
    }
    match last("request ended") {
        Some(ended) => ended.text("message").to_owned(),
        None => "no end is on record: the process was lost, or its last lines were".to_owned(),
    }
}
