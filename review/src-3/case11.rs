//! A control machine is replaced as planned, and a few seconds later another one loses its disk.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::Deployment;
use crate::record::Record;

/// `catch_up_s`: the time after which a new machine does not count as lost, nor the one that it replaces.
const CATCH_UP: Duration = Duration::from_secs(4);

/// `recover_s`: the time that the system has once all machines are back.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which the operator then asks for the desired state.
const READ_BACK: Duration = Duration::from_secs(50);

fn desired_state(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-order\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/order/\",\"route_type\":\"unsafe\",\"timeout_ms\":1000,\"goal_ms\":150,\"priority\":2,\
         \"service\":\"orders\",\"max_attempts\":1,\"public\":true}}],\
         \"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

fn number_of(deployment: &Deployment, address: SocketAddr) -> Option<usize> {
    (0..deployment.cores.len()).find(|number| deployment.control_address(*number) == address)
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
    let change = deployment.call_until_answered(
        "PUT",
        "/config",
        desired_state(11).as_bytes(),
        Duration::from_secs(10),
        record,
    );
    record.line(&format!("a further change: {:?}", change.map(|(answer, _)| answer.status)));
    Ok(current == 0 || older > 0)
}
