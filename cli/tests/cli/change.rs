//! Changes against an admin server that refuses, loses answers or does not know.

use serde_json::{Value, json};

use crate::support::{Admin, Answer, Request, run, run_json};

fn error(status: u16, code: &str) -> Answer {
    let error = json!({ "code": code, "message": format!("message of {code}") });
    Answer::Json(status, json!({ "error": error }))
}

fn accepted(version: u64) -> Answer {
    Answer::Json(200, json!({ "version": version }))
}

/// Status in which every VM has `version`.
fn status(version: u64) -> Answer {
    let vm = |name: &str| json!({ "name": name, "zone": "a", "version": version, "state": "ok" });
    Answer::Json(
        200,
        json!({ "version": version, "leader": "control-1", "vms": [vm("entry-1"), vm("entry-2")] }),
    )
}

fn is_status(request: &Request) -> bool {
    request.line.starts_with("GET /v1/status")
}

/// An address at which nobody listens; a port that was free a moment ago may be taken by another test.
const CLOSED: &str = "127.0.0.1:1";

/// Guards against reporting a change as done before it is accepted and in force.
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
        panic!("one request expected")
    };
    assert_eq!(request.line, "POST /v1/zones/a%2Fb HTTP/1.1");
    assert_eq!(request.body["out"], true);
    assert!(admin.requests("GET").len() >= 3);
}

/// Guards against changes that seem to be in force: at a control replica that lags behind and lists no VMs,
/// and at VMs that are ahead of a control that lost its data.
#[test]
fn only_the_version_of_control_counts() {
    let behind = || {
        Answer::Json(
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
    // VMs that are ahead of control keep their configuration.
    let ahead = Admin::start(|request, _| {
        if is_status(request) {
            let vms = json!([{ "name": "entry-1", "version": 8, "state": "ok" }]);
            Answer::Json(
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

/// Guards against success for a change that a VM does not take over.
#[test]
fn not_in_force_in_time() {
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            let vm = |name: &str| json!({ "name": name, "version": 6, "state": "ok" });
            let vms = json!([vm("entry-1"), vm("entry-2")]);
            Answer::Json(
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

/// Guards against a resend that the server would take for a second change.
#[test]
fn lost_answer_is_resent_with_the_same_id() {
    let admin = Admin::start(|request, count| match (is_status(request), count) {
        (true, _) => status(7),
        (false, 0) => Answer::Close,
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

/// Guards against `not accepted` for a change whose first answer was lost: the refusals that follow do
/// not speak of that send.
#[test]
fn unknown_stays_unknown() {
    let admin = Admin::start(|_, count| match count {
        0 => Answer::Close,
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
    // Nothing was lost with this id, so the refusal is certain.
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        admin.requests("POST").last().expect("request").body["id"],
        "run-7"
    );
}

/// Guards against an `unknown` answer that is taken for a refusal.
#[test]
fn unknown_answer() {
    let admin = Admin::start(|_, _| error(503, "unknown"));
    let control = admin.address.to_string();
    let output = run(&["zone", "out", "--control", &control, "--timeout", "1", "a"]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--id "), "{text}");
}

/// Guards against an unreachable control replica that stops a change.
#[test]
fn next_control_is_tried() {
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

/// Guards against exit code 0 or 3 for a change that control refuses for good.
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

/// Inventory in force of the apply tests, and its edited form.
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

/// Guards against a conflict that is hidden, resent with another base, or shown without the difference.
#[test]
fn conflict_shows_the_difference() {
    let (current, edited) = inventories();
    let admin = Admin::start(move |request, _| {
        assert!(
            request.line.starts_with("POST /v1/config/apply"),
            "{request:?}"
        );
        Answer::Json(409, json!({ "version": 5, "inventory": current }))
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

/// Guards against a file whose version comment stays behind, so that the next apply conflicts.
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
    // A base on the command line takes the place of the comment, which must be updated all the same.
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

/// Guards against a change without a base, which would overwrite the changes of others.
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

/// Guards against file errors without line and column, and against the wrong exit code for them.
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

/// Guards against a local zone order that counts as done while an entry VM has not confirmed it.
#[test]
fn local_zone_order() {
    let admin = Admin::start(|_, count| match count {
        0 => Answer::Close,
        _ => Answer::Json(200, json!({})),
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

/// Guards against an order that seems to end a local order at entry VMs although control changed nothing.
#[test]
fn order_without_a_change() {
    let admin = Admin::start(|request, _| {
        if is_status(request) {
            status(7)
        } else if request.line.starts_with("GET /v1/config/history") {
            let changes =
                json!([{ "version": 7, "id": "other", "at_ms": 0, "change": "inventory" }]);
            Answer::Json(200, json!({ "history": changes }))
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
