//! Waits until a configuration version is in force at every reachable VM.

use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::json;

use crate::Result;
use crate::client::Client;
use crate::progress::Progress;
use crate::report::{Exit, Failure, Report};
use crate::status::Status;

/// Interval between status requests. A change must be in force within 10 s and usually is in less than 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the status of the first control replica that has applied `version`. A replica that lags behind
/// would list the VMs of an older inventory.
async fn status_at_version(client: &Client, version: u64) -> Result<Status> {
    let mut reasons = Vec::new();
    for address in client.addresses() {
        let response = client.call(address, &Method::GET, "/v1/status", None).await;
        reasons.push(match response {
            Ok(response) if response.status.is_success() => {
                let status = Status::new(&response.body)?;
                if status.version >= version {
                    return Ok(status);
                }
                format!("{address} has only applied version {}", status.version)
            }
            Ok(response) => format!("{address}: {}", response.message()),
            Err(error) => format!("{address}: {}", error.reason()),
        });
    }
    Err(Failure::message(Exit::Refused, reasons.join("; ")))
}

/// Waits up to `timeout` until every VM that is not gone uses at least `version`. `label` names the change
/// in the output.
pub async fn wait(
    client: &Client,
    version: u64,
    label: &str,
    timeout: Duration,
    progress: &mut Progress,
) -> Result {
    let started = Instant::now();
    let deadline = started + timeout;
    loop {
        let status = match status_at_version(client, version).await {
            Ok(status) => status,
            // Control may have no leader during an election. The change stays accepted.
            Err(Failure(report)) if Instant::now() >= deadline => {
                let text = format!(
                    "{label}: accepted as version {version}, but it is not known whether it is in \
                     force. {}",
                    report.text
                );
                let json = json!({ "version": version, "message": report.text });
                return Ok(Report::new(Exit::Refused, text, json));
            }
            Err(_) => {
                actix_rt::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        let live = status.vms.iter().filter(|vm| !vm.is_gone());
        // A VM whose version is higher than that of control ignores changes. If only the answering replica lags
        // behind, the versions become equal when it catches up.
        let (current, others): (Vec<_>, Vec<_>) =
            live.partition(|vm| vm.version >= version && status.compare_version(vm).is_le());
        let total = current.len() + others.len();
        progress.set(
            current.len() as u64,
            total as u64,
            &format!("VMs use version {version}"),
        );
        if others.is_empty() {
            let text = format!(
                "{label}: version {version} is in force at {} VMs after {:.1} s{}",
                current.len(),
                started.elapsed().as_secs_f64(),
                gone_note(&status)
            );
            return Ok(Report::new(
                Exit::Done,
                text,
                json!({ "version": version, "vms": current.len(), "gone": status.gone_vms() }),
            ));
        }
        if Instant::now() >= deadline {
            let names: Vec<_> = others.iter().map(|vm| vm.name.clone()).collect();
            let text = format!(
                "{label}: accepted as version {version}, but after {} s it is not in force at {}{}\n\
                 Run primrosepin status for the reason.",
                timeout.as_secs(),
                names.join(", "),
                gone_note(&status)
            );
            return Ok(Report::new(
                Exit::Refused,
                text,
                json!({ "version": version, "not_in_force": names, "gone": status.gone_vms() }),
            ));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn gone_note(status: &Status) -> String {
    let gone = status.gone_vms();
    if gone.is_empty() {
        return String::new();
    }
    format!(
        "; unreachable: {} (each applies the latest version when it returns)",
        gone.join(", ")
    )
}
