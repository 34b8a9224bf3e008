//! Commands on the configuration.

use std::cmp::Ordering;
use std::path::Path;
use std::time::{Duration, SystemTime};

use primrosepin_config::{inventory, load, settings};
use primrosepin_core::inventory::Inventory;
use serde_json::{Value, json};

use crate::Result;
use crate::change::{self, Outcome};
use crate::client::Client;
use crate::difference;
use crate::document::Document;
use crate::options::{Base, Kind, Sending, Server};
use crate::progress::Progress;
use crate::report::{Exit, Report, Stop};
use crate::status::Status;

/// Start of the comment that tells which version a file was edited from.
const VERSION_COMMENT: &str = "// version ";

/// Checks a file.
pub fn check(kind: Kind, path: &Path) -> Result {
    let summary = match kind {
        Kind::Inventory => summary(&load(path)?),
        Kind::Entry => {
            let entry: settings::Entry = load(path)?;
            format!("entry VM {} in zone {}", entry.vm, entry.zone)
        }
        Kind::Control => {
            let control: settings::Control = load(path)?;
            format!("control VM {} in zone {}", control.vm, control.zone)
        }
    };
    Ok(Report::message(
        Exit::Done,
        format!("{} is valid: {summary}", path.display()),
    ))
}

fn summary(inventory: &Inventory) -> String {
    format!(
        "{} zones, {} services, {} organisations",
        inventory.zones.len(),
        inventory.services.len(),
        inventory.organisations.len()
    )
}

/// Prints the inventory in force.
pub async fn show(server: &Server) -> Result {
    let client = Client::new(server)?;
    let body = client.get("/v1/config").await?;
    let document = Document::new(&body)?;
    let inventory = serde_json::to_string_pretty(&document.inventory).unwrap_or_default();
    let version = document.version;
    Ok(Report::new(
        Exit::Done,
        format!("{VERSION_COMMENT}{version}\n{inventory}"),
        json!({
            "version": version,
            "inventory": document.inventory,
            "zones_out": document.zones_out,
            "targets_out": document.targets_out,
        }),
    ))
}

/// Shows how a file differs from the inventory in force.
pub async fn diff(server: &Server, path: &Path) -> Result {
    let mine: Inventory = load(path)?;
    let client = Client::new(server)?;
    let document = Document::new(&client.get("/v1/config").await?)?;
    let differences = difference::between(&document.inventory, &mine);
    let version = document.version;
    let text = if differences.is_empty() {
        format!("no difference from version {version}")
    } else {
        let lines = difference::lines(&differences).join("\n  ");
        format!("from version {version} to {}:\n  {lines}", path.display())
    };
    Ok(Report::new(
        Exit::Done,
        text,
        json!({ "version": version, "difference": differences }),
    ))
}

/// Applies an inventory.
pub async fn apply(server: &Server, base: Option<Base>, sending: &Sending, path: &Path) -> Result {
    let file = path.display().to_string();
    let mine: Inventory = load(path)?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| Stop::usage(format!("{file}: cannot read the file: {error}")))?;
    // The text that is sent must be the one that was checked.
    if inventory::parse(&text, &file)? != mine {
        return Err(Stop::usage(format!("{file}: the file changed meanwhile")));
    }
    let client = Client::new(server)?;
    let comment = comment_version(&text);
    let base_version = match (base, comment) {
        (Some(Base::Version(version)), _) | (None, Some(version)) => version,
        (Some(Base::Current), _) => Document::new(&client.get("/v1/config").await?)?.version,
        (None, None) => {
            return Err(Stop::usage(format!(
                "{file}: expected the version that the file was edited from: a first line \
                 \"{VERSION_COMMENT}N\" as written by primrosepin config show, or --base N, or \
                 --base current to replace whatever is in force"
            )));
        }
    };
    let id = change::id(sending);
    let body = json!({ "id": id, "base": base_version, "inventory": text });
    let bound = Duration::from_secs(server.timeout_s);
    let what = format!("{file} ({})", summary(&mine));
    let mut progress = Progress::new();
    let outcome = change::send(&client, "/v1/config/apply", &body, bound, &mut progress).await;
    match &outcome {
        Outcome::Conflict(body) => return change::conflict(body, &mine, &what, &id),
        Outcome::Accepted(version) if comment.is_some() => {
            if let Err(error) = update_comment(path, &text, *version) {
                progress.note(&format!(
                    "{file}: cannot write the new version into the first line: {error}"
                ));
            }
        }
        _ => {}
    }
    change::finish(&client, outcome, &what, &id, sending, &mut progress).await
}

/// Returns the number in the comment on the first line.
fn comment_version(text: &str) -> Option<u64> {
    let first = text.lines().next()?;
    first.strip_prefix(VERSION_COMMENT)?.trim().parse().ok()
}

/// Replaces the number in the comment, so that the file can be edited and applied again.
fn update_comment(path: &Path, text: &str, version: u64) -> std::io::Result<()> {
    // Another program may have written the file since it was sent.
    if std::fs::read_to_string(path)? != text {
        return Err(std::io::Error::other("the file changed meanwhile"));
    }
    let rest = text.split_once('\n').map_or("", |(_, rest)| rest);
    crate::keys::write(path, &format!("{VERSION_COMMENT}{version}\n{rest}"), None)
}

/// Lists accepted changes.
pub async fn history(server: &Server) -> Result {
    let client = Client::new(server)?;
    let body = client.get("/v1/config/history").await?;
    let Value::Array(entries) = &body["history"] else {
        return Err(Stop::message(
            Exit::Refused,
            "control sent a history that this version cannot read",
        ));
    };
    let lines: Vec<String> = entries.iter().map(history_line).collect();
    let text = if lines.is_empty() {
        "no change yet".into()
    } else {
        lines.join("\n")
    };
    Ok(Report::new(Exit::Done, text, body))
}

/// Writes an entry as `version 7  2026-01-31T12:00:00Z  CHANGE  id ID`.
fn history_line(entry: &Value) -> String {
    let at = entry["at_ms"].as_u64().unwrap_or_default();
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(at);
    format!(
        "version {}  {}  {}  id {}",
        entry["version"],
        humantime::format_rfc3339_seconds(at),
        change_text(&entry["change"]),
        entry["id"].as_str().unwrap_or_default()
    )
}

/// Writes `{"zone": {"name": "a", "out": true}}` as `zone name=a out=true`, whatever members there are.
fn change_text(change: &Value) -> String {
    match change {
        Value::String(text) => text.clone(),
        Value::Object(members) => {
            let member = |(key, value): (&String, &Value)| match value {
                Value::Object(_) => format!("{key} {}", change_text(value)),
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            };
            members.iter().map(member).collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}

/// Shows which version is in force at each VM.
pub async fn status(server: &Server) -> Result {
    let client = Client::new(server)?;
    let status = Status::new(&client.get("/v1/status").await?)?;
    let version = status.version;
    let live = status.vms.iter().filter(|vm| !vm.is_gone());
    let others: Vec<_> = live
        .filter(|vm| status.compare(vm).is_ne())
        .map(|vm| vm.name.clone())
        .collect();
    let mut lines = vec![format!("version {version} is the highest accepted")];
    for vm in &status.vms {
        let note = match status.compare(vm) {
            _ if vm.is_gone() => "gone",
            Ordering::Less => "behind",
            Ordering::Equal => "in force",
            Ordering::Greater => "ahead of control",
        };
        lines.push(format!(
            "  {:24} {:16} version {:<8} {note}",
            vm.name, vm.zone, vm.version
        ));
    }
    let exit = if others.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    };
    Ok(Report::new(
        exit,
        lines.join("\n"),
        json!({ "version": version, "vms": status.vms, "not_in_force": others, "gone": status.gone() }),
    ))
}
