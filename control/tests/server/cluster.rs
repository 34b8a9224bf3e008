//! Tests with several replicas: failover, lost and damaged disks, a full disk, snapshots.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;

use futures_util::future::join_all;
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::message::Message;
use primrosepin_core::request::{self, Outcome};
use serde_json::json;

use crate::support::{
    Deployment, INVENTORY, OPERATOR_KEY, apply, begin_call, call, call_until, get, instance,
    large_inventory, leader, ledger_answer, ledger_key, peer_addresses, post, post_until_decided,
    wait_until, wait_until_healthy,
};

/// Blocks a server's messages to all other replicas, or unblocks them.
fn isolate(server: &primrosepin_control::Server, deployment: &Deployment, blocked: bool) {
    let all = deployment.replicas.iter().map(|replica| replica.peers);
    let own = server.addresses().peers;
    server
        .endpoint()
        .faults()
        .set_blocked(all.filter(|address| blocked && *address != own));
}

/// Guards against two concurrent changes of one base version that are both accepted, and against a
/// conflict answer without the configuration in force.
#[actix_rt::test]
async fn exactly_one_of_concurrent_changes_on_one_base_is_accepted() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    wait_until_healthy(&servers).await;
    for base in 0..5 {
        let calls = servers.iter().enumerate().map(async |(index, server)| {
            let id = format!("{base}-{index}");
            let inventory = INVENTORY.replace("club", &format!("club-{base}-{index}"));
            post_until_decided(
                server.addresses().admin,
                "/v1/config/apply",
                &apply(&id, base, &inventory),
            )
            .await
        });
        let answers = join_all(calls).await;
        let accepted: Vec<_> = answers
            .iter()
            .filter(|(status, _)| *status == 200)
            .collect();
        assert_eq!(accepted.len(), 1, "{answers:?}");
        assert_eq!(accepted[0].1["version"], base + 1);
        let winner = answers
            .iter()
            .position(|(status, _)| *status == 200)
            .unwrap();
        for (status, body) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!((*status, &body["version"]), (409, &json!(base + 1)));
            let name = &body["inventory"]["organisations"][0]["name"];
            assert_eq!(name, &json!(format!("club-{base}-{winner}")));
        }
    }
}

/// Guards against a replica that was removed and still counts for the quorum.
#[actix_rt::test]
async fn a_removed_replica_does_not_count_for_the_quorum() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let removed = servers.pop().unwrap();
    let id = get(removed.addresses().admin, "/v1/status").await["id"].clone();
    removed.stop().await.unwrap();
    let admin = servers[0].addresses().admin;
    let path = format!("/v1/replicas/{}/remove", id.as_str().unwrap());
    for _ in 0..2 {
        assert_eq!(post_until_decided(admin, &path, &json!({})).await.0, 200);
    }
    let (status, _) = post(admin, "/v1/replicas/123/remove", json!({})).await;
    assert_eq!(status, 404);
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let change = apply("first", 0, INVENTORY);
    assert_eq!(
        post_until_decided(admin, "/v1/config/apply", &change)
            .await
            .0,
        200
    );
}

/// Guards against a repeated change that is applied twice or gets another outcome, and against a ledger
/// key that can be claimed twice, after the leader loses its network.
#[actix_rt::test]
async fn outcomes_and_ledger_survive_a_failover() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    wait_until_healthy(&servers).await;
    let old = leader(&servers).await;
    let change = apply("first", 0, INVENTORY);
    let admin = servers[old].addresses().admin;
    assert_eq!(
        post_until_decided(admin, "/v1/config/apply", &change)
            .await
            .0,
        200
    );
    let entry = deployment.entry("entry-1");
    let claimed = call_until(
        &entry,
        &peer_addresses(&servers),
        begin_call("a", 1, 7),
        ledger_answer,
    )
    .await;
    assert_eq!(claimed, Answer::Claimed);

    isolate(servers[old], &deployment, true);
    let rest: Vec<_> = (0..3)
        .filter(|index| *index != old)
        .map(|index| servers[index])
        .collect();
    leader(&rest).await;
    let (status, body) =
        post_until_decided(rest[0].addresses().admin, "/v1/config/apply", &change).await;
    assert_eq!((status, &body["version"]), (200, &json!(1)));
    let to = peer_addresses(&rest);
    assert_eq!(
        call_until(&entry, &to, begin_call("a", 2, 7), ledger_answer).await,
        Answer::InFlight
    );
    assert_eq!(
        call_until(&entry, &to, begin_call("a", 1, 7), ledger_answer).await,
        Answer::Claimed
    );
    let finish = Message::Ledger(Call::Finish {
        key: ledger_key("a"),
        holder: instance("entry-1"),
        request: request::Id(1),
        outcome: Outcome::Answered,
        response: None,
    });
    assert_eq!(
        call_until(&entry, &to, finish, ledger_answer).await,
        Answer::Recorded
    );

    // While a copy of the change could be committed, the isolated leader must report neither accepted nor
    // not accepted. Once it has stepped down it refuses new changes as not accepted.
    let late = json!({"id": "late", "out": true});
    let (status, body) = post(admin, "/v1/zones/nitra-b", late.clone()).await;
    assert_eq!(
        (status, &body["error"]["code"]),
        (503, &json!("not_accepted"))
    );

    isolate(servers[old], &deployment, false);
    wait_until_healthy(&servers).await;
    let finished = Answer::Finished {
        outcome: Outcome::Answered,
        response: None,
    };
    let all = peer_addresses(&[servers[old]]);
    assert_eq!(
        call_until(&entry, &all, begin_call("a", 3, 7), ledger_answer).await,
        finished
    );
    let (status, body) = post_until_decided(admin, "/v1/zones/nitra-b", &late).await;
    assert_eq!((status, &body["version"]), (200, &json!(2)));
}

/// Flips a bit in the middle of a file.
fn damage(file: &Path) {
    let mut bytes = fs::read(file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(file, bytes).unwrap();
}

/// Guards against a replica with a lost or damaged disk that does not return or returns with part of the
/// data, and against the loss of service when a second VM is lost right after the repair.
#[actix_rt::test]
async fn lost_and_damaged_disks_are_repaired_from_peers() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[1].addresses().admin;
    post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;

    // The replica with the lowest name would bootstrap a new deployment if the others did not have one.
    servers.remove(0).stop().await.unwrap();
    fs::remove_dir_all(deployment.data(0)).unwrap();
    servers.insert(0, deployment.start(0).await);
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let document = get(servers[0].addresses().admin, "/v1/config").await;
    assert_eq!(document["version"], 1);

    let out = json!({"id": "out", "out": true});
    post_until_decided(servers[0].addresses().admin, "/v1/zones/nitra-b", &out).await;
    servers.remove(1).stop().await.unwrap();
    damage(&deployment.data(1).join("log-0000000000000002"));
    servers.insert(1, deployment.start(1).await);
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    servers.remove(2).stop().await.unwrap();
    let admin = servers[1].addresses().admin;
    let (status, body) = post_until_decided(
        admin,
        "/v1/zones/nitra-b",
        &json!({"id": "in", "out": false}),
    )
    .await;
    assert_eq!((status, &body["version"]), (200, &json!(3)));
    assert_eq!(
        get(admin, "/v1/config").await["inventory"]["zones"][0]["name"],
        "trnava-a"
    );
}

/// Guards against a disk that fills up because a replica sets its data aside again and again.
#[actix_rt::test]
async fn few_copies_of_data_that_was_set_aside_are_kept() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let data = deployment.data(1);
    for _ in 0..6 {
        servers.remove(1).stop().await.unwrap();
        let first = fs::read_dir(&data).unwrap().find_map(|file| {
            let path = file.unwrap().path();
            let name = path.file_name()?.to_str()?;
            name.starts_with("log-").then_some(path)
        });
        damage(&first.unwrap());
        servers.insert(1, deployment.start(1).await);
        wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    }
    let names = fs::read_dir(&data)
        .unwrap()
        .map(|file| file.unwrap().file_name());
    let kept = names.filter(|name| name.to_string_lossy().starts_with("damaged-"));
    assert_eq!(kept.count(), 4);
}

/// Guards against a replica with a full disk that acknowledges changes, that stops the service of the
/// others, or that does not return once there is space.
#[actix_rt::test]
async fn a_full_disk_takes_one_replica_out_of_service() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    wait_until_healthy(&servers).await;
    let full = leader(&servers).await;
    // The next segment of the log is a link to `/dev/full`: writes fail as on a full disk.
    let next = deployment.data(full).join("log-0000000000000003");
    symlink("/dev/full", &next).unwrap();
    let inventory = large_inventory();
    let other = servers[(full + 1) % 3].addresses().admin;
    let mut base = 0;
    wait_until(async || {
        let id = format!("change-{base}");
        let (status, _) =
            post_until_decided(other, "/v1/config/apply", &apply(&id, base, &inventory)).await;
        assert_eq!(status, 200);
        base += 1;
        get(servers[full].addresses().admin, "/v1/status").await["failure"].is_string()
    })
    .await;
    let change = apply(&format!("change-{base}"), base, INVENTORY);
    assert_eq!(
        post_until_decided(other, "/v1/config/apply", &change)
            .await
            .0,
        200
    );
    fs::remove_file(&next).unwrap();
    wait_until(async || {
        let document = get(servers[full].addresses().admin, "/v1/config").await;
        document["version"] == base + 1
    })
    .await;
    wait_until_healthy(&servers).await;
}

/// Guards against the loss of outcomes and configurations when a snapshot replaces the log, both at
/// replicas that write one and at a new replica that receives it in parts.
#[actix_rt::test]
async fn outcomes_survive_a_snapshot() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[0].addresses().admin;
    let inventory = large_inventory();
    let initial_snapshot = "snapshot-0000000000000002";
    let has_new_snapshot = |index| !deployment.data(index).join(initial_snapshot).exists();
    let mut base = 0;
    wait_until(async || {
        let change = apply(&format!("change-{base}"), base, &inventory);
        assert_eq!(
            post_until_decided(admin, "/v1/config/apply", &change)
                .await
                .0,
            200
        );
        base += 1;
        has_new_snapshot(0) && has_new_snapshot(1)
    })
    .await;
    servers.pop().unwrap().stop().await.unwrap();
    fs::remove_dir_all(deployment.data(2)).unwrap();
    servers.push(deployment.start(2).await);
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    servers.remove(0).stop().await.unwrap();
    servers.insert(0, deployment.start(0).await);
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    for server in &servers {
        let first = apply("change-0", 0, &inventory);
        let (status, body) =
            post_until_decided(server.addresses().admin, "/v1/config/apply", &first).await;
        assert_eq!((status, &body["version"]), (200, &json!(1)));
        let document = get(server.addresses().admin, "/v1/config").await;
        assert_eq!(document["version"], base);
        assert_eq!(
            document["inventory"]["organisations"]
                .as_array()
                .unwrap()
                .len(),
            6_000
        );
    }
}

/// Guards against changes that are lost or applied twice when all replicas restart and replay a log of
/// hundreds of changes.
#[actix_rt::test]
async fn hundreds_of_changes_survive_a_restart_of_all_replicas() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[0].addresses().admin;
    post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    for change in 0..300 {
        let body = json!({"id": format!("change-{change}"), "out": change % 2 == 0});
        let path = format!("/v1/targets/target-{}", change / 2);
        assert_eq!(post_until_decided(admin, &path, &body).await.0, 200);
    }
    for server in servers {
        server.stop().await.unwrap();
    }
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    for server in &servers {
        wait_until(async || get(server.addresses().admin, "/v1/config").await["version"] == 301)
            .await;
    }
}

/// Guards against old reads right after a restart: before a replica knows which configuration is the newest,
/// it refuses to say.
#[actix_rt::test]
async fn reads_right_after_a_restart_are_current_or_refused() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[0].addresses().admin;
    post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    for server in servers {
        server.stop().await.unwrap();
    }
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let mut refused = 0;
    for server in &servers {
        for path in ["/v1/config", "/v1/config/history"] {
            wait_until(async || {
                let admin = server.addresses().admin;
                let get = awc::http::Method::GET;
                let (status, body) = call(admin, get, path, OPERATOR_KEY, None).await;
                if status == 503 {
                    assert_eq!(body["error"]["code"], "not_current");
                    refused += 1;
                    return false;
                }
                assert_eq!(status, 200, "{path}: {body}");
                let version = &body["version"];
                let newest = &body["history"]
                    .as_array()
                    .map(|history| history.len().into());
                assert_eq!(newest.as_ref().unwrap_or(version), 1, "{path}: {body}");
                true
            })
            .await;
        }
    }
    assert!(refused > 0, "no replica was asked before it was current");
}
