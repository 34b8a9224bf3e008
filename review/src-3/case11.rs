//! A control machine is replaced as planned, and a few seconds later another one loses its disk.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::Deployment;
use crate::desk::{self, desired_state};
use crate::record::Record;
use crate::worker::{Reply, Worker};

/// `catch_up_s`: the time after which a new machine does not count as lost, nor the one that it replaces.
const CATCH_UP: Duration = Duration::from_secs(4);

/// `recover_s`: the time that the system has once all machines are back.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which the operator then asks for the desired state.
const READ_BACK: Duration = Duration::from_secs(40);

fn number_of(deployment: &Deployment, address: SocketAddr) -> Option<usize> {
    (0..deployment.cores.len()).find(|number| deployment.control_address(*number) == address)
}

/// Sends orders to the front, one after the other; returns how many were served.
fn send_orders(deployment: &Deployment, name: &str, count: usize, record: &Record) -> usize {
    let to = deployment.front_address(0);
    let mut statuses = std::collections::BTreeMap::<Option<u16>, usize>::new();
    for number in 0..count {
        let id = format!("{name}-{number}");
        let answer = desk::send(to, "/order/saddle", &id, Duration::from_secs(1));
        *statuses.entry(answer.ok().map(|answer| answer.status)).or_default() += 1;
        sleep(Duration::from_millis(50));
    }
    record.line(&format!("consumers: {count} orders {name}: answers by status {statuses:?}"));
    statuses.get(&Some(200)).copied().unwrap_or(0)
}

/// Publishes a version; returns the number of the machine that confirmed it.
fn publish(deployment: &mut Deployment, version: u64, record: &Record) -> Result<usize, Failure> {
    let body = desired_state(version);
    let answer = deployment.call_until_answered("PUT", "/config", body.as_bytes(), Duration::from_secs(20), record);
    match answer {
        Some((answer, by)) if answer.status == 200 => {
            record.line(&format!("version {version} is confirmed by {by}"));
            number_of(deployment, by).ok_or_else(|| Failure("confirmed by an unknown machine".into()))
        }
        _ => Err(Failure(format!("version {version} is not confirmed before the disruption"))),
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let mut deployment = Deployment::start(61, 1, 3)?;
    let leader = publish(&mut deployment, 7, record)?;

    let control = (0..3).map(|number| deployment.control_address(number)).collect();
    let reply = || Reply { status: 200, run: Some(Duration::from_millis(30)), headers: Vec::new() };
    let ip = deployment.worker_ip(0).into();
    let _worker = Worker::start("i-0", "orders", "zone-0", ip, control, Box::new(move |_, _| reply()), record)?;
    deployment.wait_until_ready(0, Duration::from_secs(20))?;
    sleep(Duration::from_secs(1));
    let before = send_orders(&deployment, "before", 20, record);
    if before == 0 {
        return Err(Failure("no order is served before the disruption".into()));
    }

    // Planned replacement: the new machine first, then SIGTERM for the old one.
    let old = (leader + 1) % 3;
    let new = deployment.add_core()?;
    record.line(&format!("core-{new} starts with an empty disk, in place of core-{old}"));
    sleep(CATCH_UP + Duration::from_millis(200));
    deployment.cores[old].signal("TERM");
    if !deployment.cores[old].wait_for_exit(Duration::from_secs(8)) {
        return Err(Failure("the replaced machine does not end within grace_s".into()));
    }
    record.line(&format!("core-{old} got SIGTERM and has ended; it is never started again"));
    sleep(Duration::from_secs(2));
    let acked_by = publish(&mut deployment, 9, record)?;

    if trouble {
        deployment.cores[acked_by].kill();
        deployment.wipe_core(acked_by)?;
        record.line(&format!("core-{acked_by} loses its disk right after it has confirmed version 9"));
        sleep(Duration::from_secs(1));
        deployment.cores[acked_by].start()?;
        record.line(&format!("core-{acked_by} is back at its address with an empty disk; all machines run"));
    }
    sleep(RECOVER);

    // The operator reads back at all machines in turn.
    let end = Instant::now() + READ_BACK;
    let (mut reads, mut unanswered, mut current, mut older) = (0, 0, 0, 0);
    let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
    while Instant::now() < end && current < 20 {
        let number = reads % deployment.cores.len();
        reads += 1;
        if number == old {
            continue;
        }
        if !deployment.cores[number].is_running() {
            return Err(Failure(format!("core-{number} has ended by itself")));
        }
        match deployment.call_once(number, "GET", "/config", b"") {
            Some((answer, _)) => {
                *statuses.entry(answer.status).or_default() += 1;
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if answer.status == 200 && body == desired_state(9) {
                    current += 1;
                } else if answer.status == 200 {
                    older += 1;
                    record.line(&format!("read at core-{number}: another desired state: {}", &body[..body.len().min(80)]));
                }
            }
            None => unanswered += 1,
        }
        sleep(Duration::from_millis(150));
    }
    record.line(&format!(
        "{reads} reads: {current} gave version 9, {older} another one, {unanswered} no answer; by status {statuses:?}"
    ));
    let after = send_orders(&deployment, "after", 40, record);
    let change = deployment.call_until_answered(
        "PUT",
        "/config",
        desired_state(11).as_bytes(),
        Duration::from_secs(10),
        record,
    );
    record.line(&format!("a further change: {:?}", change.map(|(answer, _)| answer.status)));
    // RECOVER: less than a quarter is served.
    Ok(current == 0 || older > 0 || after * 4 < 40)
}
