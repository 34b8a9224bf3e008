//! Waits until each VM has a configuration version.

use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::json;

use crate::Result;
use crate::client::Client;
use crate::progress::Progress;
use crate::report::{Exit, Report, Stop};
use crate::status::Status;

/// Pause between two looks. The promise is 10 s and the usual time is below one second.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Returns the status of the first control replica that has applied `version`. Others may lag behind
/// and would list the VMs of an older inventory.
async fn status_with(client: &Client, version: u64) -> Result<Status> {
    let mut reasons = Vec::new();
    for address in client.addresses() {
        let response = client.call(address, &Method::GET, "/v1/status", None).await;
        reasons.push(match response {
            Ok(response) if response.status.is_success() => {
                let status = Status::new(&response.body)?;
                if status.version >= version {
                    return Ok(status);
                }
                format!("{address} has only version {}", status.version)
            }
            Ok(response) => format!("{address}: {}", response.message()),
            Err(lost) => format!("{address}: {}", lost.reason()),
        });
    }
    Err(Stop::message(Exit::Refused, reasons.join("; ")))
}

/// Waits until each VM that control hears from has at least `version`.
pub async fn wait(
    client: &Client,
    version: u64,
    what: &str,
    bound: Duration,
    progress: &mut Progress,
) -> Result {
    let started = Instant::now();
    let end = started + bound;
    loop {
        let last = match status_with(client, version).await {
            Ok(status) => status,
            // Control may be between two leaders; the change is accepted all the same.
            Err(Stop(report)) if Instant::now() >= end => {
                let text = format!(
                    "{what}: accepted as version {version}, but whether it is in force is not \
                     known. {}",
                    report.text
                );
                let json = json!({ "version": version, "message": report.text });
                return Ok(Report::new(Exit::Refused, text, json));
            }
            Err(_) => {
                actix_rt::time::sleep(POLL_PAUSE).await;
                continue;
            }
        };
        let live = last.vms.iter().filter(|vm| !vm.is_gone());
        // A VM ahead of control does not follow it; of a replica that lags only until it catches up.
        let (ready, others): (Vec<_>, Vec<_>) =
            live.partition(|vm| vm.version >= version && last.compare(vm).is_le());
        let total = ready.len() + others.len();
        progress.set(
            ready.len() as u64,
            total as u64,
            &format!("VMs have version {version}"),
        );
        if others.is_empty() {
            let text = format!(
                "{what}: version {version} is in force at {} VMs after {:.1} s{}",
                ready.len(),
                started.elapsed().as_secs_f64(),
                gone(&last)
            );
            return Ok(Report::new(
                Exit::Done,
                text,
                json!({ "version": version, "vms": ready.len(), "gone": last.gone() }),
            ));
        }
        if Instant::now() >= end {
            let names: Vec<_> = others.iter().map(|vm| vm.name.clone()).collect();
            let text = format!(
                "{what}: accepted as version {version}, but after {} s it is not in force at {}{}\n\
                 Run primrosepin status to learn why.",
                bound.as_secs(),
                names.join(", "),
                gone(&last)
            );
            return Ok(Report::new(
                Exit::Refused,
                text,
                json!({ "version": version, "not_in_force": names, "gone": last.gone() }),
            ));
        }
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
}

fn gone(status: &Status) -> String {
    let gone = status.gone();
    if gone.is_empty() {
        return String::new();
    }
    format!(
        "; not reached: {} (each takes the highest version when it returns)",
        gone.join(", ")
    )
}
