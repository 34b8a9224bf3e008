//! Several replicas: failover, lost and damaged disks, full disk.

use std::fs;
use std::os::unix::fs::symlink;

use futures_util::future::join_all;
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::message::Message;
use primrosepin_core::request::{self, Outcome};
use serde_json::json;

use crate::support::{
    Deployment, INVENTORY, answer, apply, ask, begin, get, instance, large_inventory, leader,
    ledger_key, peers, post, settle, settled, until,
};

/// Cuts a server off from all replicas, or connects it again.
fn isolate(server: &primrosepin_control::Server, deployment: &Deployment, cut: bool) {
    let all = deployment.replicas.iter().map(|replica| replica.peers);
    let own = server.addresses().peers;
    server
        .endpoint()
        .faults()
        .set_blocked(all.filter(|address| cut && *address != own));
}

/// Guards against two changes on one base that both win, and against a loser that is not told which
/// configuration is in force.
#[actix_rt::test]
async fn of_racing_changes_on_one_base_one_wins() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    settled(&servers).await;
    for base in 0..5 {
        let calls = servers.iter().enumerate().map(async |(index, server)| {
            let id = format!("{base}-{index}");
            let inventory = INVENTORY.replace("club", &format!("club-{base}-{index}"));
            settle(
                server.addresses().admin,
                "/v1/config/apply",
                &apply(&id, base, &inventory),
            )
            .await
        });
        let answers = join_all(calls).await;
        let won: Vec<_> = answers
            .iter()
            .filter(|(status, _)| *status == 200)
            .collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        assert_eq!(won[0].1["version"], base + 1);
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

/// Guards against a replica that left for good and still counts for the quorum.
#[actix_rt::test]
async fn a_replica_is_removed() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let gone = servers.pop().unwrap();
    let id = get(gone.addresses().admin, "/v1/status").await["id"].clone();
    gone.stop().await.unwrap();
    let admin = servers[0].addresses().admin;
    let path = format!("/v1/replicas/{}/remove", id.as_str().unwrap());
    for _ in 0..2 {
        assert_eq!(settle(admin, &path, &json!({})).await.0, 200);
    }
    let (status, _) = post(admin, "/v1/replicas/123/remove", json!({})).await;
    assert_eq!(status, 404);
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let change = apply("first", 0, INVENTORY);
    assert_eq!(settle(admin, "/v1/config/apply", &change).await.0, 200);
}

/// Guards against a resend that is applied twice or gets another outcome, and against a key that can be
/// claimed twice, after the leader is cut off without any sign.
#[actix_rt::test]
async fn outcomes_and_ledger_survive_a_failover() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    settled(&servers).await;
    let old = leader(&servers).await;
    let change = apply("first", 0, INVENTORY);
    let admin = servers[old].addresses().admin;
    assert_eq!(settle(admin, "/v1/config/apply", &change).await.0, 200);
    let entry = deployment.entry("entry-1");
    let claimed = ask(&entry, &peers(&servers), begin("a", 1, 7), answer).await;
    assert_eq!(claimed, Answer::Claimed);

    isolate(servers[old], &deployment, true);
    let rest: Vec<_> = (0..3)
        .filter(|index| *index != old)
        .map(|index| servers[index])
        .collect();
    leader(&rest).await;
    let (status, body) = settle(rest[0].addresses().admin, "/v1/config/apply", &change).await;
    assert_eq!((status, &body["version"]), (200, &json!(1)));
    let to = peers(&rest);
    assert_eq!(
        ask(&entry, &to, begin("a", 2, 7), answer).await,
        Answer::InFlight
    );
    assert_eq!(
        ask(&entry, &to, begin("a", 1, 7), answer).await,
        Answer::Claimed
    );
    let finish = Message::Ledger(Call::Finish {
        key: ledger_key("a"),
        holder: instance("entry-1"),
        request: request::Id(1),
        outcome: Outcome::Answered,
        response: None,
    });
    assert_eq!(ask(&entry, &to, finish, answer).await, Answer::Recorded);

    // The isolated leader must not tell that a change is accepted, nor that it is certainly not, while a
    // copy could be committed; once it has stepped down it may say that nothing was taken.
    let late = json!({"id": "late", "out": true});
    let (status, body) = post(admin, "/v1/zones/nitra-b", late.clone()).await;
    assert_eq!(
        (status, &body["error"]["code"]),
        (503, &json!("not_accepted"))
    );

    isolate(servers[old], &deployment, false);
    settled(&servers).await;
    let finished = Answer::Finished {
        outcome: Outcome::Answered,
        response: None,
    };
    let all = peers(&[servers[old]]);
    assert_eq!(ask(&entry, &all, begin("a", 3, 7), answer).await, finished);
    let (status, body) = settle(admin, "/v1/zones/nitra-b", &late).await;
    assert_eq!((status, &body["version"]), (200, &json!(2)));
}

/// Guards against a lost or damaged disk that stays out of service or comes back with a part of the data,
/// and against the loss of a second VM right after the repair.
#[actix_rt::test]
async fn lost_and_damaged_disks_are_repaired_from_peers() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[1].addresses().admin;
    settle(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;

    // The replica with the lowest name would found a deployment if the others had none.
    servers.remove(0).stop().await.unwrap();
    fs::remove_dir_all(deployment.data(0)).unwrap();
    servers.insert(0, deployment.start(0).await);
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let document = get(servers[0].addresses().admin, "/v1/config").await;
    assert_eq!(document["version"], 1);

    let out = json!({"id": "out", "out": true});
    settle(servers[0].addresses().admin, "/v1/zones/nitra-b", &out).await;
    servers.remove(1).stop().await.unwrap();
    let segment = deployment.data(1).join("log-0000000000000002");
    let mut bytes = fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&segment, bytes).unwrap();
    servers.insert(1, deployment.start(1).await);
    settled(&servers.iter().collect::<Vec<_>>()).await;
    servers.remove(2).stop().await.unwrap();
    let admin = servers[1].addresses().admin;
    let (status, body) = settle(
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

/// Guards against a replica that acknowledges changes although its disk is full, against the loss of
/// service then, and against a replica that does not return when there is space again.
#[actix_rt::test]
async fn a_full_disk_takes_one_replica_out_of_service() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let servers: Vec<_> = servers.iter().collect();
    settled(&servers).await;
    let full = leader(&servers).await;
    let next = deployment.data(full).join("log-0000000000000003");
    symlink("/dev/full", &next).unwrap();
    let inventory = large_inventory();
    let other = servers[(full + 1) % 3].addresses().admin;
    let mut base = 0;
    until(async || {
        let id = format!("change-{base}");
        let (status, _) = settle(other, "/v1/config/apply", &apply(&id, base, &inventory)).await;
        assert_eq!(status, 200);
        base += 1;
        get(servers[full].addresses().admin, "/v1/status").await["failure"].is_string()
    })
    .await;
    let change = apply(&format!("change-{base}"), base, INVENTORY);
    assert_eq!(settle(other, "/v1/config/apply", &change).await.0, 200);
    fs::remove_file(&next).unwrap();
    until(async || {
        let document = get(servers[full].addresses().admin, "/v1/config").await;
        document["version"] == base + 1
    })
    .await;
    settled(&servers).await;
}

/// Guards against outcomes and configurations that are lost when the log is replaced by a snapshot, at the
/// replicas that write one and at a new one that receives it in parts.
#[actix_rt::test]
async fn outcomes_survive_a_snapshot() {
    let deployment = Deployment::new(3);
    let mut servers = join_all((0..3).map(|index| deployment.start(index))).await;
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[0].addresses().admin;
    let inventory = large_inventory();
    let founding = "snapshot-0000000000000002";
    let written = |index| !deployment.data(index).join(founding).exists();
    let mut base = 0;
    until(async || {
        let change = apply(&format!("change-{base}"), base, &inventory);
        assert_eq!(settle(admin, "/v1/config/apply", &change).await.0, 200);
        base += 1;
        written(0) && written(1)
    })
    .await;
    servers.pop().unwrap().stop().await.unwrap();
    fs::remove_dir_all(deployment.data(2)).unwrap();
    servers.push(deployment.start(2).await);
    settled(&servers.iter().collect::<Vec<_>>()).await;
    servers.remove(0).stop().await.unwrap();
    servers.insert(0, deployment.start(0).await);
    settled(&servers.iter().collect::<Vec<_>>()).await;
    for server in &servers {
        let first = apply("change-0", 0, &inventory);
        let (status, body) = settle(server.addresses().admin, "/v1/config/apply", &first).await;
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

/// Guards against changes that are lost or applied twice in a restart of all replicas after hundreds of
/// changes.
#[actix_rt::test]
async fn hundreds_of_changes_survive_a_restart_of_all() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    settled(&servers.iter().collect::<Vec<_>>()).await;
    let admin = servers[0].addresses().admin;
    settle(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    for change in 0..300 {
        let body = json!({"id": format!("change-{change}"), "out": change % 2 == 0});
        let path = format!("/v1/targets/target-{}", change / 2);
        assert_eq!(settle(admin, &path, &body).await.0, 200);
    }
    for server in servers {
        server.stop().await.unwrap();
    }
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    settled(&servers.iter().collect::<Vec<_>>()).await;
    for server in &servers {
        until(async || get(server.addresses().admin, "/v1/config").await["version"] == 301).await;
    }
}
