//! `status`: is the deployment healthy, and if not, what should the operator do?

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Result;
use crate::client::{Client, is_key_refused, key_refused};
use crate::options::Server;
use crate::report::{Exit, Report, Stop};

/// Body of `GET /v1/status` of a control replica.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Highest accepted version.
    pub version: u64,
    /// Replica that answers.
    pub vm: String,
    /// Why the replica that answers acknowledges nothing.
    pub failure: Option<String>,
    /// Name of the leader; none while there is no quorum or an election runs.
    pub leader: Option<String>,
    /// Control replicas.
    pub replicas: Vec<Replica>,
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// Zones that are out.
    pub zones_out: Vec<String>,
    /// Targets that are out.
    pub targets_out: Vec<String>,
}

/// A control replica.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Replica {
    /// Name of the VM.
    #[serde(alias = "vm")]
    pub name: String,
    /// Whether it counts for the quorum.
    pub voter: bool,
    /// Whether the leader hears from it.
    pub reachable: bool,
}

/// An entry VM.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Vm {
    /// Name.
    #[serde(alias = "vm")]
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Version in force.
    pub version: u64,
    /// `ok`, `draining`, `suspect` or `gone`.
    pub state: String,
}

impl Vm {
    /// Returns whether control does not hear from the VM any more.
    pub fn is_gone(&self) -> bool {
        self.state == "gone"
    }
}

impl Status {
    /// Reads a body.
    pub fn new(body: &Value) -> Result<Self> {
        Self::deserialize(body).map_err(|error| {
            Stop::message(
                Exit::Refused,
                format!("control sent a status that this version cannot read: {error}"),
            )
        })
    }

    /// Returns whether the VM uses the configuration that control has, as far as this replica knows:
    /// `Less` if it is behind, `Greater` if it is ahead. A VM stays ahead of a control that lost its data,
    /// and ignores its changes.
    pub fn compare(&self, vm: &Vm) -> Ordering {
        vm.version.cmp(&self.version)
    }

    /// Returns the names of the VMs that are gone.
    pub fn gone(&self) -> Vec<&str> {
        let gone = self.vms.iter().filter(|vm| vm.is_gone());
        gone.map(|vm| vm.name.as_str()).collect()
    }
}

/// Something that the operator should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the deployment is not healthy because of it.
    pub problem: bool,
    /// What is seen.
    pub what: String,
    /// What to do.
    pub advice: String,
}

/// Returns what a status shows, problems first.
pub fn findings(status: &Status) -> Vec<Finding> {
    let mut found = Vec::new();
    control_findings(status, &mut found);
    vm_findings(status, &mut found);
    for zone in &status.zones_out {
        found.push(Finding {
            problem: false,
            what: format!("zone {zone} is out by an operator's order"),
            advice: format!("bring it back when it is ready: primrosepin zone in {zone}"),
        });
    }
    for target in &status.targets_out {
        found.push(Finding {
            problem: false,
            what: format!("target {target} is out by an operator's order"),
            advice: format!("bring it back when it is ready: primrosepin target in {target}"),
        });
    }
    if status.version == 0 {
        found.push(problem(
            "there is no configuration yet, so no caller is served".into(),
            "write one (primrosepin inventory new) and apply it: primrosepin config apply FILE"
                .into(),
        ));
    }
    found.sort_by_key(|finding| !finding.problem);
    found
}

fn problem(what: String, advice: String) -> Finding {
    Finding {
        problem: true,
        what,
        advice,
    }
}

fn control_findings(status: &Status, found: &mut Vec<Finding>) {
    let voters: Vec<_> = status.replicas.iter().filter(|r| r.voter).collect();
    let lost: Vec<_> = voters.iter().filter(|replica| !replica.reachable).collect();
    let names: Vec<_> = lost.iter().map(|replica| replica.name.as_str()).collect();
    if status.leader.is_none() {
        found.push(problem(
            "control has no leader: changes are not accepted and at-most-once requests are refused; \
             all other requests are served with the last configuration"
                .into(),
            "if this lasts longer than 5 s, start control VMs until a majority of the voters runs"
                .into(),
        ));
    } else if !lost.is_empty() {
        let spare = (voters.len() - lost.len()).saturating_sub(voters.len() / 2 + 1);
        found.push(problem(
            format!(
                "control replica {} is not reached; the quorum can lose {spare} more",
                names.join(", ")
            ),
            "restart it, or replace it (docs/OPERATIONS.md, \"Replace a lost control VM\")".into(),
        ));
    }
    for replica in status.replicas.iter().filter(|replica| !replica.voter) {
        found.push(Finding {
            problem: false,
            what: format!("control replica {} does not vote yet", replica.name),
            advice: "it becomes a voter when it has the whole log; wait".into(),
        });
    }
}

fn vm_findings(status: &Status, found: &mut Vec<Finding>) {
    for vm in &status.vms {
        let place = format!("entry VM {} (zone {})", vm.name, vm.zone);
        match vm.state.as_str() {
            "gone" => found.push(problem(
                format!("{place} is gone"),
                "restart or replace it; the zone's other entry VMs serve its share".into(),
            )),
            "suspect" => found.push(problem(
                format!("{place} has not been heard from for 3 s or more"),
                "look again in a few seconds; if it stays, check the VM and the network to it"
                    .into(),
            )),
            "draining" => found.push(Finding {
                problem: false,
                what: format!("{place} shuts down and finishes its requests"),
                advice: "wait until it is gone or back".into(),
            }),
            _ => {}
        }
        match status.compare(vm) {
            _ if vm.is_gone() => {}
            Ordering::Equal => {}
            Ordering::Less => found.push(problem(
                format!(
                    "{place} has configuration version {}, accepted is {}",
                    vm.version, status.version
                ),
                "look again in 10 s; if it stays, check the QUIC ports (\"peers\") between it and \
                 control"
                    .into(),
            )),
            Ordering::Greater => found.push(problem(
                format!(
                    "{place} has configuration version {}, higher than the {} of control, and \
                     ignores changes",
                    vm.version, status.version
                ),
                "control has lost its data (docs/OPERATIONS.md, \"Replace a lost control VM\")"
                    .into(),
            )),
        }
    }
    let zones: std::collections::BTreeSet<&str> =
        status.vms.iter().map(|vm| vm.zone.as_str()).collect();
    for zone in zones {
        let mut vms = status.vms.iter().filter(|vm| vm.zone == zone);
        let total = vms.clone().count();
        let gone = vms.clone().filter(|vm| vm.is_gone()).count();
        if vms.all(Vm::is_gone) {
            found.push(problem(
                format!("zone {zone} has no entry VM"),
                "callers are served by other zones; start an entry VM there".into(),
            ));
        } else if gone * 2 >= total {
            found.push(problem(
                format!("zone {zone} has no majority of its entry VMs"),
                "it has no coordinator, so cold targets get no work and prompts that span targets \
                 are refused; restart or replace the VMs, or take them out of the inventory"
                    .into(),
            ));
        }
    }
}

/// Time in which versions may become equal before a difference is reported. A VM that starts reports
/// version 0 until its first pull, and reports reach control once a second.
const SETTLE: Duration = Duration::from_secs(3);

/// Pause between two looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Asks every control replica; returns the best status and what is wrong with the replicas.
async fn ask(client: &Client) -> Result<(Option<Status>, Vec<Finding>)> {
    let mut best: Option<Status> = None;
    let mut found = Vec::new();
    for address in client.addresses() {
        match client.call(address, &Method::GET, "/v1/status", None).await {
            Ok(response) if response.status.is_success() => {
                let status = Status::new(&response.body)?;
                if let Some(failure) = &status.failure {
                    found.push(problem(
                        format!(
                            "control replica {} acknowledges nothing: {failure}",
                            status.vm
                        ),
                        "free space on its disk or replace the disk; the replica tries again each \
                         second (docs/OPERATIONS.md, \"Alarms\")"
                            .into(),
                    ));
                }
                // A replica that knows the leader tells more than one that is cut off.
                let rank = |status: &Status| (status.leader.is_some(), status.version);
                if best.as_ref().is_none_or(|best| rank(best) < rank(&status)) {
                    best = Some(status);
                }
            }
            Ok(response) if is_key_refused(response.status) => {
                return Err(Stop::message(Exit::Refused, key_refused(address)));
            }
            Ok(response) => found.push(problem(
                format!("control at {address} answers: {}", response.message()),
                "look at the log of primrosepin-control there".into(),
            )),
            Err(lost) => found.push(problem(
                format!("control at {address} does not answer ({})", lost.reason()),
                "check that primrosepin-control runs there and that the address is right".into(),
            )),
        }
    }
    Ok((best, found))
}

/// Answers whether the deployment is healthy.
pub async fn status(server: &Server) -> Result {
    let client = Client::new(server)?;
    let settled = Instant::now() + SETTLE;
    let (best, mut found) = loop {
        let (best, found) = ask(&client).await?;
        let differs = best.as_ref().is_some_and(|status| {
            let mut vms = status.vms.iter();
            vms.any(|vm| !vm.is_gone() && status.compare(vm).is_ne())
        });
        if !differs || Instant::now() >= settled {
            break (best, found);
        }
        actix_rt::time::sleep(SETTLE_PAUSE).await;
    };
    let mut lines = Vec::new();
    match &best {
        Some(status) => {
            found.extend(findings(status));
            lines.push(format!(
                "configuration version {}, leader {}, {} of {} entry VMs heard from",
                status.version,
                status.leader.as_deref().unwrap_or("none"),
                status.vms.len() - status.gone().len(),
                status.vms.len()
            ));
        }
        None => found.push(problem(
            "no control replica answers, so the state of the deployment is not known".into(),
            "entry VMs serve with their last configuration; ask one directly: GET /status on its \
             admin port"
                .into(),
        )),
    }
    let problems = found.iter().filter(|finding| finding.problem).count();
    lines.push(match problems {
        0 => "healthy".into(),
        1 => "NOT HEALTHY: 1 problem".into(),
        more => format!("NOT HEALTHY: {more} problems"),
    });
    for finding in &found {
        let mark = if finding.problem { "!" } else { "-" };
        lines.push(format!("{mark} {}\n    {}", finding.what, finding.advice));
    }
    let exit = if problems == 0 {
        Exit::Done
    } else {
        Exit::Refused
    };
    Ok(Report::new(
        exit,
        lines.join("\n"),
        json!({ "healthy": problems == 0, "findings": found, "status": best }),
    ))
}
