//! RECOVER and CONFIG: planned replacements of control machines, and then the loss of one disk.
//!
//! With `REPLACED=1` in the environment only one machine is replaced, and the disk is lost soon after.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, ORDERS, desired_state};
use crate::worker::Worker;
use crate::{Verdict, http, record};

/// Time between the start of a new control machine and the SIGTERM of the one that it replaces. `catch_up_s` is 4.
const OVERLAP: Duration = Duration::from_secs(5);

/// Time between the end of the first replaced machine and the start of the second new one.
const BETWEEN: Duration = Duration::from_secs(1);

/// Time from the end of the second replaced machine to the loss of the disk.
const LOSS_AFTER: Duration = Duration::from_secs(20);

/// The same if only one machine is replaced.
const LOSS_AFTER_ONE: Duration = Duration::from_millis(3_500);

/// Bound of the site.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(10);

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const SIGTERM: i32 = 15;

fn document(version: u32) -> String {
    let route = "\"name\":\"stock-read\",\"path_prefix\":\"/stock/\",\"route_type\":\"safe\",\
                 \"timeout_ms\":1000,\"goal_ms\":150,\"service\":\"orders\",\"max_attempts\":2,\
                 \"public\":false";
    let tenants =
        format!(",\"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]");
    desired_state(version, route, ORDERS, &tenants)
}

/// Sends one request to each entry process; returns how many were served.
fn serve_once(entries: &[SocketAddr], number: u64) -> usize {
    let served = entries.iter().filter(|to| {
        let request = format!(
            "GET /stock/item HTTP/1.1\r\nHost: desk.example\r\nPrimrosepin-Request-Id: read-{number}-{}\r\n\
             Primrosepin-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n",
            to.ip()
        );
        let Ok(mut stream) = TcpStream::connect_timeout(to, Duration::from_secs(1)) else {
            return false;
        };
        // Fails only for a zero duration.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        http::exchange(&mut stream, request.as_bytes()).is_ok_and(|answer| answer.status() == 200)
    });
    served.count()
}

/// Sends requests for this time; returns how many were served, and how many were sent.
fn serve_for(entries: &[SocketAddr], time: Duration, number: &mut u64) -> (usize, usize) {
    let started = Instant::now();
    let (mut served, mut sent) = (0, 0);
    while started.elapsed() < time {
        *number += 1;
        served += serve_once(entries, *number);
        sent += entries.len();
        thread::sleep(Duration::from_millis(200));
    }
    (served, sent)
}

/// Replaces a control machine as planned: the new one first, then SIGTERM to the old one.
fn replace(deployment: &mut Deployment, number: usize) {
    deployment.add_control(number);
    thread::sleep(OVERLAP);
    let old = &mut deployment.control[number];
    old.signal(SIGTERM);
    old.is_removed = true;
    while old.is_running() {
        thread::sleep(Duration::from_millis(20));
    }
    record::write(&format!(
        "{} has ended after SIGTERM and is removed for good",
        old.name
    ));
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let mut deployment = Deployment::start(&zones, &[0, 1, 2]);
    deployment.publish(&document(1));
    let control = deployment.control_addresses();
    let _worker = Worker::start(
        "i-order",
        "orders",
        zones[0],
        deployment.worker_ip(1),
        &control[..2],
        Box::new(|worker, request, stream| worker.answer(request, stream, "200 OK", &[b'x'; 800])),
    );
    deployment.wait_until_ready();
    let entries = deployment.caller_addresses();
    let mut number = 0;
    let (served, sent) = serve_for(&entries, Duration::from_secs(4), &mut number);
    record::write(&format!("before: {served} of {sent} requests served"));

    replace(&mut deployment, 2);
    if std::env::var("REPLACED").as_deref() == Ok("1") {
        thread::sleep(LOSS_AFTER_ONE);
    } else {
        thread::sleep(BETWEEN);
        replace(&mut deployment, 1);
        thread::sleep(LOSS_AFTER);
    }
    deployment.publish(&document(2));
    let lost_at = Instant::now();
    if trouble {
        deployment.lose_disk(0);
        record::write(&format!("{} loses its disk", deployment.control[0].name));
        thread::sleep(Duration::from_millis(700));
        deployment.control[0].start();
        record::write("it starts again with an empty disk");
    }
    thread::sleep((RECOVER + Duration::from_secs(1)).saturating_sub(lost_at.elapsed()));
    let (served, sent) = serve_for(&entries, COUNTED, &mut number);
    record::write(&format!(
        "later than {} s after the machines are back: {served} of {sent} requests served",
        RECOVER.as_secs()
    ));
    let read = deployment.try_operator_call("GET", "/config", b"", Duration::from_secs(10));
    let is_read_back = read
        .as_ref()
        .is_some_and(|answer| answer.body == document(2).as_bytes());
    record::write(&format!(
        "GET /config for 10 s: {}",
        read.map_or("no clear answer".to_owned(), |answer| answer.first_line)
    ));
    let put = document(3);
    let changed =
        deployment.try_operator_call("PUT", "/config", put.as_bytes(), Duration::from_secs(10));
    record::write(&format!(
        "PUT /config for 10 s: {}",
        changed.map_or("no clear answer".to_owned(), |answer| answer.first_line)
    ));
    for process in &deployment.control {
        let log = process.log();
        for line in log
            .lines()
            .filter(|line| line.contains("members at index"))
            .rev()
            .take(1)
        {
            record::write(&format!("{}: {line}", process.name));
        }
    }
    deployment.stop();
    Verdict::new(served * 4 < sent || !is_read_back)
}
