//! Tests with one replica: the operators' API, configuration and ledger for entry VMs, restart.

use std::time::Duration;

use crate::support::{
    Deployment, INVENTORY, apply, begin_call, call, call_until, get, ledger_answer, peer_addresses,
    post, post_until_decided, wait_until,
};
use awc::http::Method;
use primrosepin_core::ledger::Answer;
use primrosepin_core::message::Message;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against the loss of an acknowledged configuration or ledger entry in a restart, and against an
/// entry VM that gets no configuration.
#[actix_rt::test]
async fn accepted_changes_reach_entry_vms_and_survive_a_restart() {
    let deployment = Deployment::new(1);
    let server = deployment.start(0).await;
    let admin = server.addresses().admin;
    let (status, body) =
        post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    assert_eq!((status, body["version"].as_u64()), (200, Some(1)), "{body}");

    let entry = deployment.entry("entry-1");
    let to = peer_addresses(&[&server]);
    let pull = Message::ConfigPull { have: 0 };
    let config = call_until(&entry, &to, pull, |message| match message {
        Message::ConfigPush(config) => Some(config),
        _ => None,
    })
    .await;
    assert_eq!((config.version, config.inventory.zones.len()), (1, 2));
    let claimed = call_until(&entry, &to, begin_call("k", 1, 7), ledger_answer).await;
    assert_eq!(claimed, Answer::Claimed);

    let (status, _) = post(
        admin,
        "/v1/zones/nitra-b",
        json!({"id": "out", "out": true}),
    )
    .await;
    assert_eq!(status, 200);
    let lagging = json!({"vm": "entry-1", "zone": "trnava-a", "version": 1, "state": "ok"});
    wait_until(async || {
        let _ = entry
            .call(to[0], Message::ConfigPull { have: 1 }, TIMEOUT)
            .await;
        get(admin, "/v1/status").await["vms"][0] == lagging
    })
    .await;
    server.stop().await.unwrap();

    let server = deployment.start(0).await;
    let admin = server.addresses().admin;
    let again = post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    assert_eq!(
        again.1["version"], 1,
        "a repeated change must get its first outcome"
    );
    let document = get(admin, "/v1/config").await;
    assert_eq!(document["version"], 2);
    assert_eq!(document["zones_out"], json!(["nitra-b"]));
    let history = get(admin, "/v1/config/history").await;
    assert_eq!(history["history"][1]["id"], "out");
    let to = peer_addresses(&[&server]);
    let other = call_until(&entry, &to, begin_call("k", 2, 7), ledger_answer).await;
    assert_eq!(other, Answer::InFlight);
    let conflict = call_until(&entry, &to, begin_call("k", 1, 8), ledger_answer).await;
    assert_eq!(conflict, Answer::Conflict);
    server.stop().await.unwrap();
}

/// Guards against access without an operator key, and against invalid calls that are accepted or refused
/// without the right error code.
#[actix_rt::test]
async fn invalid_calls_are_refused() {
    let deployment = Deployment::new(1);
    let server = deployment.start(0).await;
    let admin = server.addresses().admin;
    let (status, _) = call(admin, Method::GET, "/v1/config", "other-key", None).await;
    assert_eq!(status, 401);
    let (status, _) = call(admin, Method::GET, "/metrics", "", None).await;
    assert_eq!(status, 200);
    post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;

    let invalid = [
        ("/v1/config/apply", json!({"id": "x"}), 400, "invalid_body"),
        (
            "/v1/config/apply",
            apply("", 1, INVENTORY),
            400,
            "invalid_id",
        ),
        (
            "/v1/config/apply",
            apply("x", 1, "{"),
            422,
            "invalid_inventory",
        ),
        (
            "/v1/config/apply",
            apply("x", 0, INVENTORY),
            409,
            "conflict",
        ),
        (
            "/v1/config/apply",
            apply("first", 0, &INVENTORY.replace("trnava", "x")),
            422,
            "id_reused",
        ),
        (
            "/v1/zones/nowhere",
            json!({"id": "y", "out": true}),
            404,
            "unknown_zone",
        ),
        (
            "/v1/zones/%zz",
            json!({"id": "y", "out": true}),
            400,
            "invalid_name",
        ),
        ("/v1/nothing", json!({}), 404, "not_found"),
    ];
    for (path, body, status, code) in invalid {
        let (found, answer) = post(admin, path, body).await;
        assert_eq!(
            (found, answer["error"]["code"].as_str()),
            (status, Some(code)),
            "{path}"
        );
        if status == 409 {
            assert_eq!(
                (&answer["version"], &answer["inventory"]["zones"][0]["name"]),
                (&json!(1), &json!("trnava-a"))
            );
        }
    }
    server.stop().await.unwrap();
}
