//! Changes: sent with one id until the outcome is known.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::client::{Client, Lost, Response, is_key_refused, key_refused};
use crate::in_force;
use crate::options::{Sending, TargetCommand, ZoneChange, ZoneCommand};
use crate::progress::Progress;
use crate::report::{Exit, Report, Stop};
use crate::{Result, difference, document};

/// Pause before all addresses are tried again. A new leader takes up to 2 s.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// What is known about a change after all sends.
#[derive(Debug)]
pub enum Outcome {
    /// Accepted under this version.
    Accepted(u64),
    /// Another change came first; the body has the configuration in force.
    Conflict(Value),
    /// Certainly not accepted.
    Refused(String),
    /// May be accepted.
    Unknown(String),
}

/// What one send tells.
enum Step {
    Final(Outcome),
    /// Not accepted by this send.
    Not(String),
    /// Not sent at all.
    NotSent(String),
    /// May have been accepted.
    Doubt(String),
}

/// Returns the id of a change.
pub fn id(sending: &Sending) -> String {
    match &sending.id {
        Some(id) => id.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    }
}

/// Sends a change until its outcome is known or `bound` has passed.
///
/// Every send carries the same id, and control answers a resend with the first outcome. Once a send
/// may have been accepted, later refusals that do not speak of this id do not settle the outcome.
pub async fn send(
    client: &Client,
    path: &str,
    body: &Value,
    bound: Duration,
    progress: &mut Progress,
) -> Outcome {
    let end = Instant::now() + bound;
    let mut doubt: Option<String> = None;
    let mut refusal = String::new();
    loop {
        let mut sent = false;
        for address in client.addresses() {
            let response = client.call(address, &Method::POST, path, Some(body)).await;
            let reason = match judge(address, response, doubt.is_some()) {
                Step::Final(outcome) => return outcome,
                Step::Doubt(reason) => {
                    sent = true;
                    doubt.get_or_insert_with(|| reason.clone());
                    reason
                }
                Step::Not(reason) => {
                    sent = true;
                    reason
                }
                Step::NotSent(reason) => reason,
            };
            progress.note(&reason);
            refusal = reason;
            if Instant::now() >= end {
                break;
            }
        }
        // Wrong addresses do not become right; a group without a leader finds one.
        let hopeless = !sent && doubt.is_none();
        if hopeless || Instant::now() + RESEND_PAUSE >= end {
            break;
        }
        actix_rt::time::sleep(RESEND_PAUSE).await;
    }
    match doubt {
        Some(reason) => Outcome::Unknown(reason),
        None => Outcome::Refused(refusal),
    }
}

fn judge(address: &str, response: std::result::Result<Response, Lost>, in_doubt: bool) -> Step {
    let response = match response {
        Ok(response) => response,
        Err(Lost::NotSent(reason)) => return Step::NotSent(format!("{address}: {reason}")),
        Err(Lost::MayHaveArrived(reason)) => {
            return Step::Doubt(format!("{address}: no answer ({reason})"));
        }
    };
    let message = format!("{address}: {}", response.message());
    match response.status {
        status if status.is_success() => match response.body["version"].as_u64() {
            Some(version) => Step::Final(Outcome::Accepted(version)),
            None => Step::Doubt(format!("{address}: the answer has no version")),
        },
        StatusCode::CONFLICT => Step::Final(Outcome::Conflict(response.body)),
        // Says nothing about an earlier send.
        status if is_key_refused(status) && in_doubt => Step::Not(key_refused(address)),
        status if is_key_refused(status) => Step::Final(Outcome::Refused(key_refused(address))),
        StatusCode::SERVICE_UNAVAILABLE if response.code() == "not_accepted" => Step::Not(message),
        status if status.is_client_error() => Step::Final(Outcome::Refused(message)),
        _ => Step::Doubt(message),
    }
}

/// Turns an outcome into a report, after waiting until an accepted change is in force.
pub async fn finish(
    client: &Client,
    outcome: Outcome,
    what: &str,
    id: &str,
    sending: &Sending,
    progress: &mut Progress,
) -> Result {
    match outcome {
        Outcome::Accepted(version) if sending.no_wait => Ok(Report::new(
            Exit::Done,
            format!("{what}: accepted as version {version}"),
            json!({ "id": id, "version": version }),
        )),
        Outcome::Accepted(version) => {
            let bound = Duration::from_secs(sending.wait_s);
            in_force::wait(client, version, what, bound, progress).await
        }
        Outcome::Conflict(body) => {
            let version = body["version"].as_u64();
            let text = format!(
                "{what}: not accepted, another change came first (version {})",
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
            format!("{what}: not accepted. {reason}"),
            json!({ "id": id, "message": reason }),
        )),
        Outcome::Unknown(reason) => Ok(Report::new(
            Exit::Unknown,
            format!(
                "{what}: unknown whether it is accepted. {reason}\nRun the command again with \
                 --id {id} to learn the outcome; the same id is never applied twice."
            ),
            json!({ "id": id, "message": reason }),
        )),
    }
}

/// Takes a zone out or brings it back.
pub async fn zone(command: ZoneCommand) -> Result {
    let (change, out) = match command {
        ZoneCommand::Out(change) => (change, true),
        ZoneCommand::In(change) => (change, false),
    };
    let what = describe("zone", &change.name, out);
    if change.local.is_empty() {
        let path = format!("/v1/zones/{}", segment(&change.name));
        set_out(&change.server, &path, out, &what, &change.sending).await
    } else {
        local_zone(&change, out, &what).await
    }
}

/// Takes a target out or brings it back.
pub async fn target(command: TargetCommand) -> Result {
    let (change, out) = match command {
        TargetCommand::Out(change) => (change, true),
        TargetCommand::In(change) => (change, false),
    };
    let what = describe("target", &change.name, out);
    let path = format!("/v1/targets/{}", segment(&change.name));
    set_out(&change.server, &path, out, &what, &change.sending).await
}

fn describe(kind: &str, name: &str, out: bool) -> String {
    format!("{kind} {name} {}", if out { "out" } else { "in" })
}

async fn set_out(
    server: &crate::options::Server,
    path: &str,
    out: bool,
    what: &str,
    sending: &Sending,
) -> Result {
    let client = Client::new(server)?;
    let id = id(sending);
    let body = json!({ "id": id, "out": out });
    let bound = Duration::from_secs(server.timeout_s);
    let mut progress = Progress::new();
    let outcome = send(&client, path, &body, bound, &mut progress).await;
    let accepted = match outcome {
        Outcome::Accepted(version) => Some(version),
        _ => None,
    };
    let mut report = finish(&client, outcome, what, &id, sending, &mut progress).await?;
    if let Some(version) = accepted
        && is_unchanged(&client, version, &id).await
    {
        // Entry VMs replace a local order only by a configuration with a higher version.
        report.json["unchanged"] = true.into();
        report.text += "\nControl had this state already. A local order at entry VMs, if there is one, \
                        stays until it is taken back with --local.";
    }
    Ok(report)
}

/// Returns whether control accepted the order without a change. False if that cannot be told.
async fn is_unchanged(client: &Client, version: u64, id: &str) -> bool {
    let Ok(body) = client.get("/v1/config/history").await else {
        return false;
    };
    let history = body["history"].as_array();
    let mut changes = history.into_iter().flatten();
    changes.any(|change| change["version"] == version && change["id"] != id)
}

/// Gives the order to entry VMs. Setting the same state again changes nothing, so lost answers are
/// simply resent.
async fn local_zone(change: &ZoneChange, out: bool, what: &str) -> Result {
    let client = Client::with_addresses(&change.server, &change.local)?;
    let path = format!("/v1/local/zones/{}", segment(&change.name));
    let body = json!({ "out": out });
    let end = Instant::now() + Duration::from_secs(change.server.timeout_s);
    let mut progress = Progress::new();
    let mut waiting: Vec<String> = client.addresses().to_vec();
    let mut doubts: Vec<String> = Vec::new();
    let mut reasons: Vec<String> = Vec::new();
    while !waiting.is_empty() {
        let mut left = Vec::new();
        reasons.clear();
        for address in waiting {
            let response = client
                .call(&address, &Method::POST, &path, Some(&body))
                .await;
            let reason = match response {
                Ok(response) if response.status.is_success() => {
                    progress.note(&format!("{address}: {what} accepted"));
                    doubts.retain(|doubt| *doubt != address);
                    continue;
                }
                Ok(response) if is_key_refused(response.status) => {
                    return Err(Stop::message(Exit::Refused, key_refused(&address)));
                }
                Ok(response) if response.status.is_client_error() => {
                    let text = format!("{what}: {address} refused: {}", response.message());
                    return Err(Stop::message(Exit::Refused, text));
                }
                Ok(response) => format!("{address}: {}", response.message()),
                Err(lost) => {
                    if matches!(lost, Lost::MayHaveArrived(_)) && !doubts.contains(&address) {
                        doubts.push(address.clone());
                    }
                    format!("{address}: {}", lost.reason())
                }
            };
            progress.note(&reason);
            reasons.push(reason);
            left.push(address);
        }
        waiting = left;
        if Instant::now() + RESEND_PAUSE >= end {
            break;
        }
        if !waiting.is_empty() {
            actix_rt::time::sleep(RESEND_PAUSE).await;
        }
    }
    let exit = match (waiting.is_empty(), doubts.is_empty()) {
        (true, _) => Exit::Done,
        (false, true) => Exit::Refused,
        (false, false) => Exit::Unknown,
    };
    let text = if exit == Exit::Done {
        format!(
            "{what}: accepted by {}; it spreads to the other entry VMs that these reach",
            client.addresses().join(", ")
        )
    } else {
        format!("{what}: not confirmed by\n  {}", reasons.join("\n  "))
    };
    Ok(Report::new(
        exit,
        text,
        json!({ "local": client.addresses(), "unconfirmed": waiting }),
    ))
}

/// Percent-encodes a name for use in a path.
fn segment(name: &str) -> String {
    let byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        other => format!("%{other:02X}"),
    };
    name.bytes().map(byte).collect()
}

/// Returns the report of a conflict with the difference between the inventory in force and `mine`.
pub fn conflict(
    body: &Value,
    mine: &primrosepin_core::inventory::Inventory,
    what: &str,
    id: &str,
) -> Result {
    let current = document::Document::new(body)?;
    let differences = difference::between(&current.inventory, mine);
    let version = current.version;
    let mut lines = vec![format!(
        "{what}: not accepted, another change came first. Version {version} is in force."
    )];
    if differences.is_empty() {
        lines.push("Its inventory equals the file; nothing is left to apply.".into());
    } else {
        lines.push("From it to the file:".into());
        let shown = difference::lines(&differences);
        lines.extend(shown.iter().map(|line| format!("  {line}")));
        lines.push(format!(
            "Take the changes of version {version} into the file (primrosepin config show), then \
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
