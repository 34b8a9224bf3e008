//! Sends changes, and resends them under the same id until the outcome is known.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::client::{CallError, Client, Response, is_key_refused, key_refused_message};
use crate::in_force;
use crate::options::{SendOptions, TargetCommand, ZoneChange, ZoneCommand};
use crate::progress::Progress;
use crate::report::{Exit, Failure, Report};
use crate::{Result, difference, document};

/// Interval between rounds over all addresses. The election of a leader takes up to 2 s.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Outcome of a change after all sends.
#[derive(Debug)]
pub enum Outcome {
    /// Accepted as this version.
    Accepted(u64),
    /// Another change was accepted first. The body contains the configuration in force.
    Conflict(Value),
    /// Not accepted, with the reason.
    Refused(String),
    /// May have been accepted; with the reason why this is not known.
    Unknown(String),
}

/// Result of one send.
enum SendResult {
    /// The outcome is known; no resend is needed.
    Final(Outcome),
    /// This send was not accepted; an earlier one may have been.
    NotAccepted(String),
    /// The request was not sent.
    NotSent(String),
    /// The change may have been accepted.
    Uncertain(String),
}

/// Returns the id given on the command line, or a new random one.
pub fn id(send_options: &SendOptions) -> String {
    match &send_options.id {
        Some(id) => id.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    }
}

/// Sends a change until its outcome is known or `timeout` expires.
///
/// Every send carries the same id, and control answers a resend with the outcome of the first send. Once a
/// send may have been accepted, a later refusal that does not refer to this id does not decide the outcome.
pub async fn send(
    client: &Client,
    path: &str,
    body: &Value,
    timeout: Duration,
    progress: &mut Progress,
) -> Outcome {
    let deadline = Instant::now() + timeout;
    let mut uncertainty: Option<String> = None;
    let mut refusal = String::new();
    loop {
        let mut sent = false;
        for address in client.addresses() {
            let response = client.call(address, &Method::POST, path, Some(body)).await;
            let reason = match classify(address, response, uncertainty.is_some()) {
                SendResult::Final(outcome) => return outcome,
                SendResult::Uncertain(reason) => {
                    sent = true;
                    uncertainty.get_or_insert_with(|| reason.clone());
                    reason
                }
                SendResult::NotAccepted(reason) => {
                    sent = true;
                    reason
                }
                SendResult::NotSent(reason) => reason,
            };
            progress.note(&reason);
            refusal = reason;
            if Instant::now() >= deadline {
                break;
            }
        }
        // If no address could be connected to, waiting does not help. If one answered without accepting the
        // change, for example because there is no leader, a resend may succeed.
        let unreachable = !sent && uncertainty.is_none();
        if unreachable || Instant::now() + RESEND_INTERVAL >= deadline {
            break;
        }
        actix_rt::time::sleep(RESEND_INTERVAL).await;
    }
    match uncertainty {
        Some(reason) => Outcome::Unknown(reason),
        None => Outcome::Refused(refusal),
    }
}

/// Determines what a response, or its absence, says about the outcome. `uncertain` tells whether an earlier
/// send may have been accepted.
fn classify(
    address: &str,
    response: std::result::Result<Response, CallError>,
    uncertain: bool,
) -> SendResult {
    let response = match response {
        Ok(response) => response,
        Err(CallError::NotSent(reason)) => {
            return SendResult::NotSent(format!("{address}: {reason}"));
        }
        Err(CallError::MayHaveArrived(reason)) => {
            return SendResult::Uncertain(format!("{address}: no response ({reason})"));
        }
    };
    let message = format!("{address}: {}", response.message());
    match response.status {
        status if status.is_success() => match response.body["version"].as_u64() {
            Some(version) => SendResult::Final(Outcome::Accepted(version)),
            None => SendResult::Uncertain(format!("{address}: the response has no version")),
        },
        StatusCode::CONFLICT => SendResult::Final(Outcome::Conflict(response.body)),
        // A rejected key says nothing about an earlier send.
        status if is_key_refused(status) && uncertain => {
            SendResult::NotAccepted(key_refused_message(address))
        }
        status if is_key_refused(status) => {
            SendResult::Final(Outcome::Refused(key_refused_message(address)))
        }
        StatusCode::SERVICE_UNAVAILABLE if response.code() == "not_accepted" => {
            SendResult::NotAccepted(message)
        }
        status if status.is_client_error() => SendResult::Final(Outcome::Refused(message)),
        _ => SendResult::Uncertain(message),
    }
}

/// Returns the report of an outcome. Unless `--no-wait` is given, waits first until an accepted change is in
/// force.
pub async fn report_outcome(
    client: &Client,
    outcome: Outcome,
    label: &str,
    id: &str,
    send_options: &SendOptions,
    progress: &mut Progress,
) -> Result {
    match outcome {
        Outcome::Accepted(version) if send_options.no_wait => Ok(Report::new(
            Exit::Done,
            format!("{label}: accepted as version {version}"),
            json!({ "id": id, "version": version }),
        )),
        Outcome::Accepted(version) => {
            let timeout = Duration::from_secs(send_options.wait_s);
            in_force::wait(client, version, label, timeout, progress).await
        }
        Outcome::Conflict(body) => {
            let version = body["version"].as_u64();
            let text = format!(
                "{label}: not accepted, another change was accepted first (version {})",
                version.map_or("unknown".into(), |version| version.to_string())
            );
            Ok(Report::new(
                Exit::Refused,
                text,
                json!({ "id": id, "conflict": true, "version": version }),
            ))
        }
        Outcome::Refused(reason) => Ok(Report::new(
            Exit::Refused,
            format!("{label}: not accepted. {reason}"),
            json!({ "id": id, "message": reason }),
        )),
        Outcome::Unknown(reason) => Ok(Report::new(
            Exit::Unknown,
            format!(
                "{label}: unknown whether it was accepted. {reason}\nRun the command again with \
                 --id {id} to find out; a change is never applied twice under the same id."
            ),
            json!({ "id": id, "message": reason }),
        )),
    }
}

/// Takes a zone out of service or brings it back.
pub async fn zone(command: ZoneCommand) -> Result {
    let (change, out) = match command {
        ZoneCommand::Out(change) => (change, true),
        ZoneCommand::In(change) => (change, false),
    };
    let label = describe("zone", &change.name, out);
    if change.local.is_empty() {
        let path = format!("/v1/zones/{}", percent_encode(&change.name));
        set_out(&change.server, &path, out, &label, &change.send_options).await
    } else {
        local_zone(&change, out, &label).await
    }
}

/// Takes a target out of service or brings it back.
pub async fn target(command: TargetCommand) -> Result {
    let (change, out) = match command {
        TargetCommand::Out(change) => (change, true),
        TargetCommand::In(change) => (change, false),
    };
    let label = describe("target", &change.name, out);
    let path = format!("/v1/targets/{}", percent_encode(&change.name));
    set_out(&change.server, &path, out, &label, &change.send_options).await
}

fn describe(kind: &str, name: &str, out: bool) -> String {
    format!("{kind} {name} {}", if out { "out" } else { "in" })
}

async fn set_out(
    server: &crate::options::Server,
    path: &str,
    out: bool,
    label: &str,
    send_options: &SendOptions,
) -> Result {
    let client = Client::new(server)?;
    let id = id(send_options);
    let body = json!({ "id": id, "out": out });
    let timeout = Duration::from_secs(server.timeout_s);
    let mut progress = Progress::new();
    let outcome = send(&client, path, &body, timeout, &mut progress).await;
    let accepted = match outcome {
        Outcome::Accepted(version) => Some(version),
        _ => None,
    };
    let mut report =
        report_outcome(&client, outcome, label, &id, send_options, &mut progress).await?;
    if let Some(version) = accepted
        && is_unchanged(&client, version, &id).await
    {
        // Entry VMs discard a local order only when they get a configuration with a higher version.
        report.json["unchanged"] = true.into();
        report.text += "\nControl was already in this state. If entry VMs have a local order, it \
                        stays in force until it is withdrawn with --local.";
    }
    Ok(report)
}

/// Returns whether control accepted the order without changing anything: `version` then belongs to another
/// change. Returns false if the history cannot be read.
async fn is_unchanged(client: &Client, version: u64, id: &str) -> bool {
    let Ok(body) = client.get("/v1/config/history").await else {
        return false;
    };
    let history = body["history"].as_array();
    let mut changes = history.into_iter().flatten();
    changes.any(|change| change["version"] == version && change["id"] != id)
}

/// Sends the order to entry VMs directly. The request is idempotent, so it is resent until every VM has
/// confirmed it or the timeout expires.
async fn local_zone(change: &ZoneChange, out: bool, label: &str) -> Result {
    let client = Client::with_addresses(&change.server, &change.local)?;
    let path = format!("/v1/local/zones/{}", percent_encode(&change.name));
    let body = json!({ "out": out });
    let deadline = Instant::now() + Duration::from_secs(change.server.timeout_s);
    let mut progress = Progress::new();
    let mut pending: Vec<String> = client.addresses().to_vec();
    let mut uncertain_addresses: Vec<String> = Vec::new();
    let mut reasons: Vec<String> = Vec::new();
    while !pending.is_empty() {
        let mut unconfirmed = Vec::new();
        reasons.clear();
        for address in pending {
            let response = client
                .call(&address, &Method::POST, &path, Some(&body))
                .await;
            let reason = match response {
                Ok(response) if response.status.is_success() => {
                    progress.note(&format!("{address}: {label} accepted"));
                    uncertain_addresses.retain(|uncertain| *uncertain != address);
                    continue;
                }
                Ok(response) if is_key_refused(response.status) => {
                    return Err(Failure::message(
                        Exit::Refused,
                        key_refused_message(&address),
                    ));
                }
                Ok(response) if response.status.is_client_error() => {
                    let text = format!("{label}: {address} refused: {}", response.message());
                    return Err(Failure::message(Exit::Refused, text));
                }
                Ok(response) => format!("{address}: {}", response.message()),
                Err(error) => {
                    if matches!(error, CallError::MayHaveArrived(_))
                        && !uncertain_addresses.contains(&address)
                    {
                        uncertain_addresses.push(address.clone());
                    }
                    format!("{address}: {}", error.reason())
                }
            };
            progress.note(&reason);
            reasons.push(reason);
            unconfirmed.push(address);
        }
        pending = unconfirmed;
        if Instant::now() + RESEND_INTERVAL >= deadline {
            break;
        }
        if !pending.is_empty() {
            actix_rt::time::sleep(RESEND_INTERVAL).await;
        }
    }
    let exit = match (pending.is_empty(), uncertain_addresses.is_empty()) {
        (true, _) => Exit::Done,
        (false, true) => Exit::Refused,
        (false, false) => Exit::Unknown,
    };
    let text = if exit == Exit::Done {
        format!(
            "{label}: accepted by {}; these VMs propagate it to the entry VMs that they can reach",
            client.addresses().join(", ")
        )
    } else {
        format!("{label}: not confirmed by\n  {}", reasons.join("\n  "))
    };
    Ok(Report::new(
        exit,
        text,
        json!({ "local": client.addresses(), "unconfirmed": pending }),
    ))
}

/// Percent-encodes a name for use as a path segment.
fn percent_encode(name: &str) -> String {
    let byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        other => format!("%{other:02X}"),
    };
    name.bytes().map(byte).collect()
}

/// Returns the report of a conflict, with the differences between the inventory in force and `edited`.
pub fn conflict_report(
    body: &Value,
    edited: &primrosepin_core::inventory::Inventory,
    label: &str,
    id: &str,
) -> Result {
    let current = document::Document::new(body)?;
    let differences = difference::between(&current.inventory, edited);
    let version = current.version;
    let mut lines = vec![format!(
        "{label}: not accepted, another change was accepted first. Version {version} is in force."
    )];
    if differences.is_empty() {
        lines.push("Its inventory equals the file; there is nothing to apply.".into());
    } else {
        lines.push("Differences from it to the file:".into());
        let shown = difference::lines(&differences);
        lines.extend(shown.iter().map(|line| format!("  {line}")));
        lines.push(format!(
            "Merge the changes of version {version} into the file (primrosepin config show), then \
             apply it with --base {version}."
        ));
    }
    let text = lines.join("\n");
    Ok(Report::new(
        Exit::Refused,
        text,
        json!({ "id": id, "conflict": true, "version": version, "difference": differences }),
    ))
}
