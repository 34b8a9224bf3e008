//! Tests of the commands `status` and `top`.

use primrosepin_cli::status::{Status, findings};
use serde_json::{Value, json};

use crate::support::{Admin, Response, run};

fn format_findings(status: &Value) -> String {
    let status = Status::new(status).expect("status");
    let lines = findings(&status).into_iter().map(|finding| {
        let mark = if finding.problem { "!" } else { "-" };
        format!("{mark} {}\n    {}\n", finding.what, finding.advice)
    });
    lines.collect()
}

fn vm(name: &str, zone: &str, version: u64, state: &str) -> Value {
    json!({ "name": name, "zone": zone, "version": version, "state": state })
}

fn replica(name: &str, voter: bool, reachable: bool) -> Value {
    json!({ "name": name, "voter": voter, "reachable": reachable })
}

/// Guards against findings in a healthy deployment.
#[test]
fn healthy() {
    let status = json!({
        "version": 7, "leader": "control-1",
        "replicas": [replica("control-1", true, true), replica("control-2", true, true)],
        "vms": [vm("entry-1", "a", 7, "ok"), vm("entry-2", "b", 7, "ok")],
    });
    assert_eq!(format_findings(&status), "");
}

/// Guards against problems that are not reported, or reported without advice.
#[test]
fn problems() {
    let status = json!({
        "version": 7, "leader": "control-1",
        "replicas": [
            replica("control-1", true, true), replica("control-2", true, true),
            replica("control-3", true, false), replica("control-4", false, true),
        ],
        "vms": [
            vm("entry-1", "a", 6, "ok"), vm("entry-2", "a", 7, "gone"),
            vm("entry-3", "b", 1, "gone"), vm("entry-4", "c", 7, "suspect"),
            vm("entry-5", "c", 7, "draining"), vm("entry-6", "c", 8, "ok"),
        ],
        "zones_out": ["c"], "targets_out": ["worker-1"],
    });
    insta::assert_snapshot!(format_findings(&status));
}

/// Guards against a lost quorum that is not reported as a problem.
#[test]
fn no_leader_and_no_configuration() {
    insta::assert_snapshot!(format_findings(&json!({ "version": 0, "leader": null })));
}

/// Guards against a `top` that fails when an entry VM is unreachable, and against wrong columns.
#[test]
fn top_with_entry_vms() {
    let admin = Admin::start(|request, _| {
        if request.line.starts_with("GET /v1/status") {
            let vms = json!([
                vm("entry-1", "a", 7, "ok"),
                vm("entry-2", "b", 6, "suspect")
            ]);
            let body =
                json!({ "version": 7, "leader": "control-1", "zones_out": ["b"], "vms": vms });
            return Response::Json(200, body);
        }
        Response::Json(
            200,
            json!({
                "vm": "entry-1", "requests": { "live": 3, "buffered_bytes": 2_500_000 },
                "outcomes": { "answered": 10 }, "targets": [{ "cold": true }, { "cold": false }],
            }),
        )
    });
    let address = admin.address.to_string();
    let output = run(&[
        "top",
        "--control",
        &address,
        "--entry",
        &address,
        "--entry",
        "127.0.0.1:1",
        "--count",
        "1",
    ]);
    let text = String::from_utf8(output.stdout).expect("text");
    let text = text
        .lines()
        .map(str::trim_end)
        .filter(|line| !line.starts_with("127.0.0.1:1"));
    insta::assert_snapshot!(text.collect::<Vec<_>>().join("\n"));
}

/// Guards against reporting a VM that has just started as a problem, and against reporting a deployment as
/// healthy while a VM stays behind.
#[test]
fn status_waits_for_a_starting_vm() {
    let healthy_after = |count: usize| {
        Admin::start(move |_, count_before| {
            let version = if count_before < count { 0 } else { 7 };
            let vms = json!([vm("entry-1", "a", version, "ok")]);
            let body = json!({ "version": 7, "leader": "control-1", "vms": vms });
            Response::Json(200, body)
        })
    };
    let code = |admin: &Admin| run(&["status", "--control", &admin.address.to_string()]).status;
    assert_eq!(code(&healthy_after(2)).code(), Some(0));
    assert_eq!(code(&healthy_after(usize::MAX)).code(), Some(1));
}
