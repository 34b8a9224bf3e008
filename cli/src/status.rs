//! Command `status`: reports whether the deployment is healthy and, if not, what to do.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Result;
use crate::client::{Client, is_key_refused, key_refused_message};
use crate::options::Server;
use crate::report::{Exit, Failure, Report};

/// Body of `GET /v1/status` of a control replica.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Highest accepted configuration version.
    pub version: u64,
    /// VM of the answering replica.
    pub vm: String,
    /// Reason why the answering replica acknowledges nothing; none if it works normally.
    pub failure: Option<String>,
    /// VM of the leader; none during an election or without a quorum.
    pub leader: Option<String>,
    /// Control replicas.
    pub replicas: Vec<Replica>,
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// Zones taken out of service.
    pub zones_out: Vec<String>,
    /// Targets taken out of service.
    pub targets_out: Vec<String>,
}

/// A control replica.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Replica {
    /// Name of the VM.
    #[serde(alias = "vm")]
    pub name: String,
    /// Whether it counts towards the quorum.
    pub voter: bool,
    /// Whether the leader receives messages from it.
    pub reachable: bool,
}

/// An entry VM.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Vm {
    /// Name of the VM.
    #[serde(alias = "vm")]
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Configuration version in force.
    pub version: u64,
    /// `ok`, `draining`, `suspect` or `gone`.
    pub state: String,
}

impl Vm {
    /// Returns whether control considers the VM lost.
    pub fn is_gone(&self) -> bool {
        self.state == "gone"
    }
}

impl Status {
    /// Parses the body of `GET /v1/status`.
    pub fn new(body: &Value) -> Result<Self> {
        Self::deserialize(body).map_err(|error| {
            Failure::message(
                Exit::Refused,
                format!("cannot parse the status sent by control: {error}"),
            )
        })
    }

    /// Compares the version in force at the VM with the version of the answering replica: `Less` if the VM is
    /// behind, `Greater` if it is ahead. If control has lost its data, VMs stay ahead of it and ignore its
    /// changes.
    pub fn compare_version(&self, vm: &Vm) -> Ordering {
        vm.version.cmp(&self.version)
    }

    /// Returns the names of the VMs that are gone.
    pub fn gone_vms(&self) -> Vec<&str> {
        let gone = self.vms.iter().filter(|vm| vm.is_gone());
        gone.map(|vm| vm.name.as_str()).collect()
    }
}

/// Observation about the deployment, with advice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether it makes the deployment unhealthy.
    pub problem: bool,
    /// Description of the observation.
    pub what: String,
    /// Recommended action.
    pub advice: String,
}

/// Returns the findings of a status, problems first.
pub fn findings(status: &Status) -> Vec<Finding> {
    let mut found = Vec::new();
    control_findings(status, &mut found);
    vm_findings(status, &mut found);
    for zone in &status.zones_out {
        found.push(Finding {
            problem: false,
            what: format!("zone {zone} was taken out of service by an operator"),
            advice: format!("to bring it back into service: primrosepin zone in {zone}"),
        });
    }
    for target in &status.targets_out {
        found.push(Finding {
            problem: false,
            what: format!("target {target} was taken out of service by an operator"),
            advice: format!("to bring it back into service: primrosepin target in {target}"),
        });
    }
    if status.version == 0 {
        found.push(problem(
            "no configuration has been applied, so no requests are served".into(),
            "write an inventory (primrosepin inventory new) and apply it: primrosepin config apply FILE"
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
    let unreachable: Vec<_> = voters.iter().filter(|replica| !replica.reachable).collect();
    let names: Vec<_> = unreachable
        .iter()
        .map(|replica| replica.name.as_str())
        .collect();
    if status.leader.is_none() {
        found.push(problem(
            "control has no leader: changes are not accepted and at-most-once requests are refused; \
             other requests are served with the latest known configuration"
                .into(),
            "if this lasts longer than 5 s, start control VMs until a majority of the voters is running"
                .into(),
        ));
    } else if !unreachable.is_empty() {
        let spare = (voters.len() - unreachable.len()).saturating_sub(voters.len() / 2 + 1);
        found.push(problem(
            format!(
                "control replica {} is unreachable; the quorum tolerates {spare} more \
                 failures",
                names.join(", ")
            ),
            "restart it, or replace it (docs/OPERATIONS.md, \"Replace a lost control VM\")".into(),
        ));
    }
    for replica in status.replicas.iter().filter(|replica| !replica.voter) {
        found.push(Finding {
            problem: false,
            what: format!("control replica {} is not a voter yet", replica.name),
            advice: "wait; it becomes a voter when it has caught up with the log".into(),
        });
    }
}

fn vm_findings(status: &Status, found: &mut Vec<Finding>) {
    for vm in &status.vms {
        let vm_label = format!("entry VM {} (zone {})", vm.name, vm.zone);
        match vm.state.as_str() {
            "gone" => found.push(problem(
                format!("{vm_label} is gone"),
                "restart or replace it; the other entry VMs of the zone serve its requests".into(),
            )),
            "suspect" => found.push(problem(
                format!("{vm_label} has not been heard from for 3 s or more"),
                "check again in a few seconds; if the problem persists, check the VM and its network"
                    .into(),
            )),
            "draining" => found.push(Finding {
                problem: false,
                what: format!("{vm_label} is shutting down and finishes its requests"),
                advice: "wait until it has stopped or restarted".into(),
            }),
            _ => {}
        }
        match status.compare_version(vm) {
            _ if vm.is_gone() => {}
            Ordering::Equal => {}
            Ordering::Less => found.push(problem(
                format!(
                    "{vm_label} has configuration version {}, the accepted version is {}",
                    vm.version, status.version
                ),
                "check again in 10 s; if the problem persists, check the QUIC ports (\"peers\") \
                 between it and control"
                    .into(),
            )),
            Ordering::Greater => found.push(problem(
                format!(
                    "{vm_label} has configuration version {}, higher than version {} of control, \
                     and ignores changes",
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
                format!("zone {zone} has lost all its entry VMs"),
                "other zones serve its callers; start an entry VM in the zone".into(),
            ));
        } else if gone * 2 >= total {
            found.push(problem(
                format!("zone {zone} has lost the majority of its entry VMs"),
                "the zone has no coordinator, so cold targets get no requests and prompts that span \
                 targets are refused; restart or replace the VMs, or remove them from the inventory"
                    .into(),
            ));
        }
    }
}

/// Time that VMs get to reach the version of control before a difference is reported. A starting VM reports
/// version 0 until it has pulled the configuration, and reports reach control once a second.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between status requests while versions differ.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Queries every control replica. Returns the most informative status and the problems of the replicas.
async fn query_replicas(client: &Client) -> Result<(Option<Status>, Vec<Finding>)> {
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
                        "free space on its disk or replace the disk; the replica retries every \
                         second (docs/OPERATIONS.md, \"Alarms\")"
                            .into(),
                    ));
                }
                // Prefer a replica that knows the leader over one that is partitioned from the others.
                let rank = |status: &Status| (status.leader.is_some(), status.version);
                if best.as_ref().is_none_or(|best| rank(best) < rank(&status)) {
                    best = Some(status);
                }
            }
            Ok(response) if is_key_refused(response.status) => {
                return Err(Failure::message(
                    Exit::Refused,
                    key_refused_message(address),
                ));
            }
            Ok(response) => found.push(problem(
                format!(
                    "control at {address} returned an error: {}",
                    response.message()
                ),
                "check the log of primrosepin-control there".into(),
            )),
            Err(error) => found.push(problem(
                format!("control at {address} does not answer ({})", error.reason()),
                "check that primrosepin-control runs there and that the address is correct".into(),
            )),
        }
    }
    Ok((best, found))
}

/// Reports whether the deployment is healthy. Waits up to 3 s for versions to converge.
pub async fn status(server: &Server) -> Result {
    let client = Client::new(server)?;
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let (best, mut found) = loop {
        let (best, found) = query_replicas(&client).await?;
        let differs = best.as_ref().is_some_and(|status| {
            let mut vms = status.vms.iter();
            vms.any(|vm| !vm.is_gone() && status.compare_version(vm).is_ne())
        });
        if !differs || Instant::now() >= deadline {
            break (best, found);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    };
    let mut lines = Vec::new();
    match &best {
        Some(status) => {
            found.extend(findings(status));
            lines.push(format!(
                "configuration version {}, leader {}, {} of {} entry VMs reachable",
                status.version,
                status.leader.as_deref().unwrap_or("none"),
                status.vms.len() - status.gone_vms().len(),
                status.vms.len()
            ));
        }
        None => found.push(problem(
            "no control replica answers, so the state of the deployment is unknown".into(),
            "entry VMs keep serving with their latest configuration; query one directly: GET \
             /status on its admin port"
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
