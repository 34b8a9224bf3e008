//! `top`: the state again and again.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::time::Duration;

use serde_json::json;

use crate::Result;
use crate::client::Client;
use crate::options::Server;
use crate::report::{Exit, Report};
use crate::status::{Status, findings};

/// Moves the cursor to the top left and clears the screen.
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Shows views until interrupted, or `count` views.
pub async fn top(server: &Server, interval_s: u64, count: Option<u64>, as_json: bool) -> Result {
    let client = Client::new(server)?;
    let terminal = std::io::stdout().is_terminal() && !as_json;
    let mut shown = 0;
    loop {
        let report = match client.get("/v1/status").await {
            Ok(body) => view(&Status::new(&body)?),
            // The view must go on while control fails over.
            Err(stop) => stop.0,
        };
        shown += 1;
        if count.is_some_and(|count| shown >= count) {
            return Ok(report);
        }
        if terminal {
            drop(write!(std::io::stdout(), "{CLEAR}"));
        }
        report.print(as_json);
        actix_rt::time::sleep(Duration::from_secs(interval_s.max(1))).await;
    }
}

fn view(status: &Status) -> Report {
    let findings = findings(status);
    let problems = findings.iter().filter(|finding| finding.problem).count();
    let mut lines = vec![format!(
        "version {}  leader {}  {problems} problems\n{:16} {:>5} {:>5} {:>8} {:>8}  {}",
        status.version,
        status.leader.as_deref().unwrap_or("none"),
        "ZONE",
        "VMS",
        "GONE",
        "SUSPECT",
        "BEHIND",
        "STATE"
    )];
    let mut zones: BTreeMap<&str, [usize; 4]> = BTreeMap::new();
    for vm in &status.vms {
        let [vms, gone, suspect, behind] = zones.entry(&vm.zone).or_default();
        *vms += 1;
        *gone += usize::from(vm.is_gone());
        *suspect += usize::from(vm.state == "suspect");
        *behind += usize::from(!vm.is_gone() && vm.version < status.version);
    }
    for (zone, [vms, gone, suspect, behind]) in &zones {
        let out = status.zones_out.iter().any(|name| name == zone);
        let state = if out { "out" } else { "in" };
        lines.push(format!(
            "{zone:16} {vms:>5} {gone:>5} {suspect:>8} {behind:>8}  {state}"
        ));
    }
    for finding in findings.iter().filter(|finding| finding.problem) {
        lines.push(format!("! {}", finding.what));
    }
    Report::new(
        Exit::Done,
        lines.join("\n"),
        json!({ "status": status, "findings": findings }),
    )
}
