//! Latency of changes and ledger calls, duration of a failover, and time to restart, with three replicas
//! in one process over real sockets. Prints one line for each measurement.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use primrosepin_control::Server;
use primrosepin_transport::Endpoint;
use serde_json::json;

use crate::support::{
    Deployment, INVENTORY, apply, begin_call, call_until, get, leader, ledger_answer,
    peer_addresses, post_until_decided, wait_until_healthy,
};

#[allow(dead_code, reason = "some functions are used by the tests only")]
#[path = "../tests/server/support.rs"]
mod support;

const CHANGES: u32 = 500;
const CALLS: u32 = 4_000;
const FAILOVERS: u32 = 20;

fn print(label: &str, times: &Histogram<u64>) {
    println!(
        "{label:44} n {:5}  p50 {:8.2} ms  p99 {:8.2} ms  max {:8.2} ms",
        times.len(),
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
        times.max() as f64 / 1e3,
    );
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

fn record(times: &mut Histogram<u64>, start: Instant) {
    times.record(start.elapsed().as_micros() as u64).unwrap();
}

/// Takes one target out of service or puts it back.
async fn change(admin: SocketAddr, id: &str, out: bool) {
    let body = json!({ "id": id, "out": out });
    let (status, answer) = post_until_decided(admin, "/v1/targets/t", &body).await;
    assert_eq!(status, 200, "{answer}");
}

async fn changes(servers: &[&Server]) {
    let first = leader(servers).await;
    let places = [("leader", first), ("follower", (first + 1) % 3)];
    for (place, index) in places {
        let admin = servers[index].addresses().admin;
        let mut times = histogram();
        for number in 0..CHANGES {
            let start = Instant::now();
            change(admin, &format!("{place}-{number}"), number % 2 == 0).await;
            record(&mut times, start);
        }
        print(&format!("change over HTTP at the {place}"), &times);
    }
}

async fn ledger(servers: &[&Server], entry: &Endpoint) {
    let to = peer_addresses(&[servers[leader(servers).await]]);
    for concurrency in [1_u32, 64] {
        let start = Instant::now();
        let callers = (0..concurrency).map(async |caller| {
            let mut times = histogram();
            for number in 0..CALLS / concurrency {
                let key = format!("{concurrency}-{caller}-{number}");
                let start = Instant::now();
                call_until(entry, &to, begin_call(&key, 1, 7), ledger_answer).await;
                record(&mut times, start);
            }
            times
        });
        let mut times = histogram();
        for part in join_all(callers).await {
            times.add(part).unwrap();
        }
        let rate = times.len() as f64 / start.elapsed().as_secs_f64();
        print(
            &format!("ledger call, {concurrency} at a time, {rate:.0}/s"),
            &times,
        );
    }
}

async fn failovers(servers: &[&Server], deployment: &Deployment) {
    let mut times = histogram();
    for number in 0..FAILOVERS {
        wait_until_healthy(servers).await;
        let old = leader(servers).await;
        let others = deployment.replicas.iter().map(|replica| replica.peers);
        let own = servers[old].addresses().peers;
        let blocked = others.filter(|address| *address != own);
        let start = Instant::now();
        servers[old].endpoint().faults().set_blocked(blocked);
        let admin = servers[(old + 1) % 3].addresses().admin;
        change(admin, &format!("failover-{number}"), number % 2 == 0).await;
        record(&mut times, start);
        servers[old].endpoint().faults().set_blocked([]);
    }
    print("network loss of the leader to the next change", &times);
}

async fn restarts(mut servers: Vec<Server>, deployment: &Deployment) {
    let mut handover = histogram();
    let mut restart = histogram();
    for number in 0..FAILOVERS {
        wait_until_healthy(&servers.iter().collect::<Vec<_>>()).await;
        let old = leader(&servers.iter().collect::<Vec<_>>()).await;
        let admin = servers[(old + 1) % 3].addresses().admin;
        let stopping = servers.remove(old);
        let start = Instant::now();
        let stopped = actix_rt::spawn(stopping.stop());
        // The change arrives while the leader stops: that leader commits it, or the next one does.
        actix_rt::time::sleep(Duration::from_millis(2)).await;
        change(admin, &format!("handover-{number}"), number % 2 == 0).await;
        record(&mut handover, start);
        stopped.await.unwrap().unwrap();
        let start = Instant::now();
        let server = deployment.start(old).await;
        let admin = server.addresses().admin;
        while get(admin, "/v1/status").await["leader"].is_null() {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        record(&mut restart, start);
        servers.insert(old, server);
    }
    print("graceful stop of the leader to the next change", &handover);
    print("restart of one replica until it has a leader", &restart);
    let version = get(servers[0].addresses().admin, "/v1/config").await["version"].clone();
    println!("changes in the log at the end: {version}");
}

#[actix_rt::main]
async fn main() {
    let deployment = Deployment::new(3);
    let servers = join_all((0..3).map(|index| deployment.start(index))).await;
    let all: Vec<_> = servers.iter().collect();
    wait_until_healthy(&all).await;
    let admin = all[0].addresses().admin;
    post_until_decided(admin, "/v1/config/apply", &apply("first", 0, INVENTORY)).await;
    changes(&all).await;
    ledger(&all, &deployment.entry("entry-1")).await;
    failovers(&all, &deployment).await;
    restarts(servers, &deployment).await;
}
