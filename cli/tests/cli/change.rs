//! Tests of changes against an admin server that refuses them, loses responses or reports unknown outcomes.

use serde_json::{Value, json};

use crate::support::{Admin, Request, Response, run, run_json};

fn error(status: u16, code: &str) -> Response {
    let error = json!({ "code": code, "message": format!("message of {code}") });
    Response::Json(status, json!({ "error": error }))
}

fn accepted(version: u64) -> Response {
    Response::Json(200, json!({ "version": version }))
}

/// Status in which every VM has `version`.
fn status(version: u64) -> Response {
    let vm = |name: &str| json!({ "name": name, "zone": "a", "version": version, "state": "ok" });
    Response::Json(
        200,
        json!({ "version": version, "leader": "control-1", "vms": [vm("entry-1"), vm("entry-2")] }),
    )
}

fn is_status(request: &Request) -> bool {
    request.line.starts_with("GET /v1/status")
}

/// Address on which nothing listens. An unused ephemeral port would not do, since another test could bind it.
const CLOSED: &str = "127.0.0.1:1";

/// Guards against reporting success before a change is accepted and in force.
#[test]
fn accepted_and_in_force() {
    let admin = Admin::start(|request, count| match (is_status(request), count) {
        (false, _) => accepted(7),
        (true, ..3) => status(6),
        (true, _) => status(7),
    });
    let (code, json) = run_json(&[
        "zone",
        "out",
        "--control",
        &admin.address.to_string(),
        "a/b",
    ]);
    assert_eq!(
        (code, &json["version"], &json["vms"]),
        (0, &json!(7), &json!(2))
    );
    let [request] = &admin.requests("POST")[..] else {
        panic!("expected exactly one request")
    };
    assert_eq!(request.line, "POST /v1/zones/a%2Fb HTTP/1.1");
    assert_eq!(request.body["out"], true);
    assert!(admin.requests("GET").len() >= 3);
}

/// Guards against reporting a change as in force when it is not: because a control replica that lags behind
/// lists no VMs, or because VMs have a higher version than control, which lost its data.
#[test]
fn in_force_requires_the_version_of_control() {
    let behind = || {
        Response::Json(
            200,
            json!({ "version": 0, "leader": "control-1", "vms": [] }),
        )
    };
    let admin = Admin::start(move |request, count| match (is_status(request), count) {
        (false, _) => accepted(1),
        (true, ..3) => behind(),
        (true, _) => status(1),
    });
    let control = admin.address.to_string();
    let (code, json) = run_json(&["zone", "in", "--control", &control, "a"]);
    assert_eq!((code, &json["vms"]), (0, &json!(2)));
    // VMs with a higher version than control keep their configuration.
    let ahead = Admin::start(|request, _| {
        if is_status(request) {
            let vms = json!([{ "name": "entry-1", "version": 8, "state": "ok" }]);
            Response::Json(
                200,
                json!({ "version": 1, "leader": "control-1", "vms": vms }),
            )
        } else {
            accepted(1)
        }
    });
    let control = ahead.address.to_string();
    let (code, json) = run_json(&["zone", "in", "--control", &control, "--wait", "0", "a"]);
    assert_eq!((code, &json["not_in_force"]), (1, &json!(["entry-1"])));
    let lagging = Admin::start(move |request, _| {
        if is_status(request) {
            behind()
        } else {
            accepted(1)
        }
    });
    let control = lagging.address.to_string();
    let (code, _) = run_json(&["zone", "in", "--control", &control, "--wait", "0", "a"]);
    assert_eq!(code, 1);
}

/// Guards against reporting success for a change that a VM does not apply.
#[test]
fn not_in_force_in_time() {
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            let vm = |name: &str| json!({ "name": name, "version": 6, "state": "ok" });
            let vms = json!([vm("entry-1"), vm("entry-2")]);
            Response::Json(
                200,
                json!({ "version": 7, "leader": "control-1", "vms": vms }),
            )
        } else {
            accepted(7)
        }
    });
    let control = admin.address.to_string();
    let (code, json) = run_json(&[
        "target",
        "in",
        "--control",
        &control,
        "--wait",
        "0",
        "worker-1",
    ]);
    assert_eq!(code, 1);
    assert_eq!(json["not_in_force"], json!(["entry-1", "entry-2"]));
    assert_eq!(
        admin.requests("POST /v1/targets/worker-1")[0].body["out"],
        false
    );
}

/// Guards against a resend with a new id, which the server would apply as a second change.
#[test]
fn lost_response_is_resent_with_the_same_id() {
    let admin = Admin::start(|request, count| match (is_status(request), count) {
        (true, _) => status(7),
        (false, 0) => Response::Close,
        (false, 1) => error(503, "unknown"),
        (false, 2) => error(503, "not_accepted"),
        (false, _) => accepted(7),
    });
    let (code, _) = run_json(&["zone", "out", "--control", &admin.address.to_string(), "a"]);
    assert_eq!(code, 0);
    let sent = admin.requests("POST");
    assert_eq!(sent.len(), 4);
    assert!(
        sent.iter()
            .all(|request| request.body["id"] == sent[0].body["id"])
    );
    assert_eq!(sent[0].body["id"].as_str().map(str::len), Some(32));
}

/// Guards against reporting a change as not accepted after its first response was lost: later refusals do
/// not apply to that send.
#[test]
fn refusals_after_a_lost_response_leave_the_outcome_unknown() {
    let admin = Admin::start(|_, count| match count {
        0 => Response::Close,
        _ => error(503, "not_accepted"),
    });
    let control = admin.address.to_string();
    let (code, json) = run_json(&["zone", "out", "--control", &control, "--timeout", "1", "a"]);
    assert_eq!((code, &json["outcome"]), (3, &json!("unknown")));
    assert_eq!(json["id"], admin.requests("POST")[0].body["id"]);
    let output = run(&[
        "zone",
        "out",
        "--control",
        &control,
        "--timeout",
        "1",
        "--id",
        "run-7",
        "a",
    ]);
    // No response was lost for this id, so the refusal is definite.
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        admin.requests("POST").last().expect("request").body["id"],
        "run-7"
    );
}

/// Guards against treating an `unknown` response as a refusal.
#[test]
fn unknown_response() {
    let admin = Admin::start(|_, _| error(503, "unknown"));
    let control = admin.address.to_string();
    let output = run(&["zone", "out", "--control", &control, "--timeout", "1", "a"]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--id "), "{text}");
}

/// Guards against a change that fails because the first control replica is unreachable.
#[test]
fn next_control_replica_is_tried() {
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            status(7)
        } else {
            accepted(7)
        }
    });
    let second = admin.address.to_string();
    let (code, _) = run_json(&["zone", "in", "--control", CLOSED, "--control", &second, "a"]);
    assert_eq!(code, 0);
    let (code, json) = run_json(&["zone", "in", "--control", CLOSED, "a"]);
    assert_eq!((code, &json["outcome"]), (1, &json!("refused")));
}

/// Guards against exit code 0 or 3 for a change that control refuses, and against printing a rejected key.
#[test]
fn refusals() {
    let admin = Admin::start(|_, _| error(404, "unknown_zone"));
    let control = admin.address.to_string();
    let output = run(&["zone", "out", "--control", &control, "nowhere"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("message of unknown_zone"), "{text}");

    let folder = tempfile::tempdir().expect("folder");
    let key = folder.path().join("key");
    std::fs::write(&key, "another-key\n").expect("write");
    let key = key.to_str().expect("path");
    let output = run(&["status", "--control", &control, "--key-file", key]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("does not accept the operator key"), "{text}");
    assert!(!text.contains("another-key"), "{text}");
}

/// Returns the inventory in force for the apply tests, and the text of an edited inventory file.
fn inventories() -> (Value, String) {
    let output = run(&["inventory", "new"]);
    let text = String::from_utf8(output.stdout).expect("text");
    let inventory = primrosepin_config::inventory::parse(&text, "example").expect("example");
    let edited = text.replace("// version 0", "// version 4");
    (
        serde_json::to_value(inventory).expect("json"),
        edited.replace("\"share\": 1,", "\"share\": 5,"),
    )
}

/// Guards against a conflict that is not reported, resent with another base, or reported without the
/// differences.
#[test]
fn conflict_shows_the_difference() {
    let (current, edited) = inventories();
    let admin = Admin::start(move |request, _| {
        assert!(
            request.line.starts_with("POST /v1/config/apply"),
            "{request:?}"
        );
        Response::Json(409, json!({ "version": 5, "inventory": current }))
    });
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("inventory.json");
    std::fs::write(&file, &edited).expect("write");
    let file_name = file.to_str().expect("path");
    let control = admin.address.to_string();
    let (code, json) = run_json(&["config", "apply", "--control", &control, file_name]);
    assert_eq!(
        (code, &json["conflict"], &json["version"]),
        (1, &json!(true), &json!(5))
    );
    insta::assert_json_snapshot!(json["difference"]);
    let sent = admin.requests("POST");
    assert_eq!((sent.len(), &sent[0].body["base"]), (1, &json!(4)));
    assert_eq!(sent[0].body["inventory"], edited.as_str());
    assert_eq!(std::fs::read_to_string(&file).expect("read"), edited);
}

/// Guards against a version comment that is not updated, so that the next apply conflicts.
#[test]
fn apply_writes_the_new_version() {
    let (_, edited) = inventories();
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            status(5)
        } else {
            accepted(5)
        }
    });
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("inventory.json");
    std::fs::write(&file, &edited).expect("write");
    let (name, control) = (file.to_str().expect("path"), admin.address.to_string());
    assert_eq!(
        run(&["config", "apply", "--control", &control, name])
            .status
            .code(),
        Some(0)
    );
    let written = std::fs::read_to_string(&file).expect("read");
    assert_eq!(written, edited.replace("// version 4", "// version 5"));
    // A base on the command line overrides the comment, which must still be updated.
    std::fs::write(&file, &edited).expect("write");
    let output = run(&[
        "config",
        "apply",
        "--control",
        &control,
        "--base",
        "3",
        name,
    ]);
    assert_eq!(output.status.code(), Some(0));
    let bases: Vec<_> = admin
        .requests("POST")
        .iter()
        .map(|r| r.body["base"].clone())
        .collect();
    assert_eq!(bases, [4, 3]);
    assert_eq!(std::fs::read_to_string(&file).expect("read"), written);
}

/// Guards against a change without a base version, which would overwrite other operators' changes.
#[test]
fn apply_needs_a_base() {
    let (_, edited) = inventories();
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("inventory.json");
    std::fs::write(&file, edited.replace("// version 4", "// no number")).expect("write");
    let name = file.to_str().expect("path");
    let output = run(&["config", "apply", "--control", CLOSED, name]);
    assert_eq!(output.status.code(), Some(2));
}

/// Guards against errors in files without line and column, and against wrong exit codes for usage errors.
#[test]
fn usage_errors() {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("inventory.json");
    std::fs::write(&file, "{\n  \"zoness\": []\n}").expect("write");
    let name = file.to_str().expect("path");
    let (code, json) = run_json(&["config", "check", name]);
    assert_eq!((code, &json["outcome"]), (2, &json!("usage")));
    assert_eq!(
        (&json["problems"][0]["line"], &json["problems"][0]["column"]),
        (&json!(2), &json!(3))
    );
    for args in [
        &["zone", "sideways", "a"][..],
        &["zone", "out", "a"],
        &["zone", "out", "--control", "http://x", "a"],
        &["config", "check", "no-such-file.json"],
        &[
            "status",
            "--control",
            "127.0.0.1:1",
            "--key-file",
            "no-such-file",
        ],
    ] {
        assert_eq!(run(args).status.code(), Some(2), "{args:?}");
    }
}

/// Guards against reporting a local zone order as done before every entry VM has confirmed it.
#[test]
fn local_zone_order() {
    let admin = Admin::start(|_, count| match count {
        0 => Response::Close,
        _ => Response::Json(200, json!({})),
    });
    let address = admin.address.to_string();
    let (code, _) = run_json(&["zone", "out", "--local", &address, "a"]);
    assert_eq!(code, 0);
    let sent = admin.requests("POST /v1/local/zones/a");
    assert_eq!((sent.len(), &sent[1].body), (2, &json!({ "out": true })));
    let (code, json) = run_json(&[
        "zone",
        "out",
        "--local",
        &address,
        "--local",
        CLOSED,
        "--timeout",
        "1",
        "a",
    ]);
    assert_eq!(
        (code, json["unconfirmed"].as_array().map(Vec::len)),
        (1, Some(1))
    );
}

/// Guards against suggesting that an order withdrew the local order of entry VMs when control changed nothing.
#[test]
fn order_without_a_change() {
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            status(7)
        } else if request.line.starts_with("GET /v1/config/history") {
            let changes =
                json!([{ "version": 7, "id": "other", "at_ms": 0, "change": "inventory" }]);
            Response::Json(200, json!({ "history": changes }))
        } else {
            accepted(7)
        }
    });
    let control = admin.address.to_string();
    let (code, json) = run_json(&["zone", "in", "--control", &control, "a"]);
    assert_eq!((code, &json["unchanged"]), (0, &json!(true)));
    let (_, json) = run_json(&["zone", "in", "--control", &control, "--id", "other", "a"]);
    assert_eq!(json["unchanged"], Value::Null);
}
