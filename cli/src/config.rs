//! Commands for configurations.

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
use crate::options::{Base, Kind, SendOptions, Server};
use crate::progress::Progress;
use crate::report::{Exit, Failure, Report};
use crate::status::Status;

/// Prefix of the first line of an inventory file, which contains the version that the file is based on.
const VERSION_COMMENT: &str = "// version ";

/// Checks a configuration file without connecting to control.
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

/// Returns the inventory in force as an editable file.
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

/// Shows the differences between the inventory in force and a file.
pub async fn diff(server: &Server, path: &Path) -> Result {
    let edited: Inventory = load(path)?;
    let client = Client::new(server)?;
    let document = Document::new(&client.get("/v1/config").await?)?;
    let differences = difference::between(&document.inventory, &edited);
    let version = document.version;
    let text = if differences.is_empty() {
        format!("no differences from version {version}")
    } else {
        let lines = difference::lines(&differences).join("\n  ");
        format!(
            "differences from version {version} to {}:\n  {lines}",
            path.display()
        )
    };
    Ok(Report::new(
        Exit::Done,
        text,
        json!({ "version": version, "difference": differences }),
    ))
}

/// Applies an inventory file, and updates the version in its first line.
pub async fn apply(
    server: &Server,
    base: Option<Base>,
    send_options: &SendOptions,
    path: &Path,
) -> Result {
    let file = path.display().to_string();
    let edited: Inventory = load(path)?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("{file}: cannot read the file: {error}")))?;
    // The text is read separately, so make sure that it is the inventory that was checked.
    if inventory::parse(&text, &file)? != edited {
        return Err(Failure::usage(format!(
            "{file}: the file was modified while the command ran"
        )));
    }
    let client = Client::new(server)?;
    let commented_version = commented_version(&text);
    let base_version = match (base, commented_version) {
        (Some(Base::Version(version)), _) | (None, Some(version)) => version,
        (Some(Base::Current), _) => Document::new(&client.get("/v1/config").await?)?.version,
        (None, None) => {
            return Err(Failure::usage(format!(
                "{file}: the version that the file is based on is missing: expected a first line \
                 \"{VERSION_COMMENT}N\" as written by primrosepin config show, or --base N, or \
                 --base current to replace whichever version is in force"
            )));
        }
    };
    let id = change::id(send_options);
    let body = json!({ "id": id, "base": base_version, "inventory": text });
    let timeout = Duration::from_secs(server.timeout_s);
    let label = format!("{file} ({})", summary(&edited));
    let mut progress = Progress::new();
    let outcome = change::send(&client, "/v1/config/apply", &body, timeout, &mut progress).await;
    match &outcome {
        Outcome::Conflict(body) => return change::conflict_report(body, &edited, &label, &id),
        Outcome::Accepted(version) if commented_version.is_some() => {
            if let Err(error) = update_commented_version(path, &text, *version) {
                progress.note(&format!(
                    "{file}: cannot update the version in the first line: {error}"
                ));
            }
        }
        _ => {}
    }
    change::report_outcome(&client, outcome, &label, &id, send_options, &mut progress).await
}

/// Returns the version in the comment on the first line, if there is one.
fn commented_version(text: &str) -> Option<u64> {
    let first = text.lines().next()?;
    first.strip_prefix(VERSION_COMMENT)?.trim().parse().ok()
}

/// Replaces the version in the first line, so that the file can be edited and applied again.
fn update_commented_version(path: &Path, text: &str, version: u64) -> std::io::Result<()> {
    // Do not overwrite changes made to the file since it was read.
    if std::fs::read_to_string(path)? != text {
        return Err(std::io::Error::other(
            "the file was modified while the command ran",
        ));
    }
    let rest = text.split_once('\n').map_or("", |(_, rest)| rest);
    crate::keys::write(path, &format!("{VERSION_COMMENT}{version}\n{rest}"), None)
}

/// Lists the accepted changes.
pub async fn history(server: &Server) -> Result {
    let client = Client::new(server)?;
    let body = client.get("/v1/config/history").await?;
    let Value::Array(entries) = &body["history"] else {
        return Err(Failure::message(
            Exit::Refused,
            "cannot parse the history sent by control",
        ));
    };
    let lines: Vec<String> = entries.iter().map(history_line).collect();
    let text = if lines.is_empty() {
        "no changes".into()
    } else {
        lines.join("\n")
    };
    Ok(Report::new(Exit::Done, text, body))
}

/// Formats an entry as `version 7  2026-01-31T12:00:00Z  CHANGE  id ID`.
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

/// Formats a change of any kind: `{"zone": {"name": "a", "out": true}}` becomes `zone name=a out=true`.
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

/// Shows the configuration version in force at each VM.
pub async fn status(server: &Server) -> Result {
    let client = Client::new(server)?;
    let status = Status::new(&client.get("/v1/status").await?)?;
    let version = status.version;
    let live = status.vms.iter().filter(|vm| !vm.is_gone());
    let not_in_force: Vec<_> = live
        .filter(|vm| status.compare_version(vm).is_ne())
        .map(|vm| vm.name.clone())
        .collect();
    let mut lines = vec![format!("latest accepted version: {version}")];
    for vm in &status.vms {
        let note = match status.compare_version(vm) {
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
    let exit = if not_in_force.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    };
    Ok(Report::new(
        exit,
        lines.join("\n"),
        json!({ "version": version, "vms": status.vms, "not_in_force": not_in_force, "gone": status.gone_vms() }),
    ))
}
