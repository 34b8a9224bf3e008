//! Waits until each VM has a configuration version.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::Result;
use crate::client::Client;
use crate::progress::Progress;
use crate::report::{Exit, Report};
use crate::status::Status;

/// Pause between two looks. The promise is 10 s and the usual time is below one second.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Waits until each VM that control hears from has at least `version`.
pub async fn wait(
    client: &Client,
    version: u64,
    what: &str,
    bound: Duration,
    progress: &mut Progress,
) -> Result {
    let end = Instant::now() + bound;
    let started = Instant::now();
    let mut last;
    loop {
        last = match client.get("/v1/status").await {
            Ok(body) => Status::new(&body)?,
            // Control may be between two leaders; the change is accepted all the same.
            Err(stop) if Instant::now() >= end => {
                let mut report = stop.0;
                report.text = format!(
                    "{what}: accepted as version {version}, but whether it is in force is not \
                     known. {}",
                    report.text
                );
                report.json["version"] = version.into();
                return Ok(report);
            }
            Err(_) => {
                actix_rt::time::sleep(POLL_PAUSE).await;
                continue;
            }
        };
        let live = last.vms.iter().filter(|vm| !vm.is_gone());
        let (ready, behind): (Vec<_>, Vec<_>) = live.partition(|vm| vm.version >= version);
        let total = ready.len() + behind.len();
        progress.set(
            ready.len() as u64,
            total as u64,
            &format!("VMs have version {version}"),
        );
        if behind.is_empty() {
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
            let names: Vec<_> = behind.iter().map(|vm| vm.name.clone()).collect();
            let text = format!(
                "{what}: accepted as version {version}, but after {} s it is not in force at {}{}\n\
                 Run primrosepin config status to follow it.",
                bound.as_secs(),
                names.join(", "),
                gone(&last)
            );
            return Ok(Report::new(
                Exit::Refused,
                text,
                json!({ "version": version, "behind": names, "gone": last.gone() }),
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
