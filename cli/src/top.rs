//! Command `top`: periodically updated state of VMs, zones and load.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};

use crate::Result;
use crate::client::Client;
use crate::options::Server;
use crate::report::{Exit, Report};
use crate::status::{Status, findings};

/// ANSI escape sequence that moves the cursor to the top left and clears the screen.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Interval and number of updates.
#[derive(Debug, Clone, Copy)]
pub struct Refresh {
    /// Time between updates, in seconds.
    pub interval_s: u64,
    /// Number of updates; unlimited if none.
    pub count: Option<u64>,
}

/// Time, answered requests and other outcomes at the previous update, by address of the entry VM. Rates are
/// computed from them.
type Totals = BTreeMap<String, (Instant, u64, u64)>;

/// Prints an update at each interval, until interrupted or until the requested number is reached. The last
/// update is returned.
pub async fn top(server: &Server, entries: &[String], refresh: Refresh, as_json: bool) -> Result {
    let client = Client::new(server)?;
    let entry_client = Client::with_addresses(server, entries)?;
    let terminal = std::io::stdout().is_terminal() && !as_json;
    let mut totals = Totals::new();
    let mut shown = 0;
    loop {
        let mut report = match client.get("/v1/status").await {
            Ok(body) => status_report(&Status::new(&body)?),
            // Keep running while control has no leader.
            Err(failure) => failure.0,
        };
        if !entries.is_empty() {
            add_entries(&entry_client, &mut totals, &mut report).await;
        }
        shown += 1;
        if refresh.count.is_some_and(|count| shown >= count) {
            return Ok(report);
        }
        if terminal {
            drop(write!(std::io::stdout(), "{CLEAR_SCREEN}"));
        }
        report.print(as_json);
        actix_rt::time::sleep(Duration::from_secs(refresh.interval_s.max(1))).await;
    }
}

/// Adds a line for each requested entry VM.
async fn add_entries(client: &Client, totals: &mut Totals, report: &mut Report) {
    let mut lines = vec![format!(
        "{:24} {:>7} {:>10} {:>10} {:>8} {:>8} {:>12}",
        "ENTRY VM", "LIVE", "ANSWERED/S", "OTHER/S", "WARM", "COLD", "BUFFERED MB"
    )];
    let mut bodies = Vec::new();
    for address in client.addresses() {
        match client.call(address, &Method::GET, "/status", None).await {
            Ok(response) if response.status.is_success() => {
                lines.push(entry_line(address, &response.body, totals));
                bodies.push(response.body);
            }
            Ok(response) => lines.push(format!("{address:24} {}", response.message())),
            Err(error) => lines.push(format!("{address:24} {}", error.reason())),
        }
    }
    report.text = format!("{}\n\n{}", report.text, lines.join("\n"));
    report.json["entries"] = bodies.into();
}

fn entry_line(address: &str, body: &Value, totals: &mut Totals) -> String {
    let outcome = |name: &str| body["outcomes"][name].as_u64().unwrap_or_default();
    let answered = outcome("answered");
    let other = outcome("not_run") + outcome("failed") + outcome("unknown");
    let now = Instant::now();
    let previous = totals.insert(address.to_owned(), (now, answered, other));
    // There is no rate at the first update, or after a restart has reset the totals.
    let rate = |total: u64, previous: Option<(Instant, u64)>| match previous {
        Some((at, earlier)) if earlier <= total => {
            let seconds = (now - at).as_secs_f64().max(0.001);
            format!("{:.1}", (total - earlier) as f64 / seconds)
        }
        _ => "-".into(),
    };
    let targets = body["targets"].as_array();
    let cold = |target: &&Value| target["cold"] == true;
    let cold = targets.map_or(0, |list| list.iter().filter(cold).count());
    let buffered = body["requests"]["buffered_bytes"].as_u64();
    format!(
        "{:24} {:>7} {:>10} {:>10} {:>8} {cold:>8} {:>12.1}",
        body["vm"].as_str().unwrap_or(address),
        body["requests"]["live"].as_u64().unwrap_or_default(),
        rate(answered, previous.map(|(at, answered, _)| (at, answered))),
        rate(other, previous.map(|(at, _, other)| (at, other))),
        targets.map_or(0, Vec::len) - cold,
        buffered.unwrap_or_default() as f64 / 1e6,
    )
}

fn status_report(status: &Status) -> Report {
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
