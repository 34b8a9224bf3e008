//! A status report of another writer without `cold_left_ms`, just before the worker drains.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Failure;
use crate::deployment::Deployment;
use crate::desk;
use crate::http::call;
use crate::record::Record;
use crate::worker::{Behaviour, Reply, Worker, unix_ms};

const FRONTS: usize = 2;
const WORKERS: usize = 2;

/// Consumers at each front.
const CONSUMERS: usize = 4;

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the worker goes on serving after `drain_ms`.
const LONGER: Duration = Duration::from_millis(900);

const WORK: Duration = Duration::from_millis(150);

fn behaviour() -> Behaviour {
    Box::new(|_| Reply {
        status: 200,
        run: Some(WORK),
        headers: Vec::new(),
    })
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let deployment = Deployment::start(71, FRONTS, 3)?;
    let state = desk::desired_state(7);
    deployment.publish(&state, record)?;
    let control = deployment.control_addresses();
    let workers: Result<Vec<Worker>, Failure> = (0..WORKERS)
        .map(|number| {
            let ip = deployment.worker_ip(number).into();
            let zone = format!("zone-{number}");
            Worker::start(
                &format!("i-{number}"),
                "orders",
                &zone,
                ip,
                control.clone(),
                behaviour(),
                record,
            )
        })
        .collect();
    let workers = workers?;
    for front in 0..FRONTS {
        deployment.wait_until_ready(front, Duration::from_secs(20))?;
    }
    sleep(Duration::from_secs(3));

    let leaving = &workers[0];
    let (ends, failed, next) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let confirmed = thread::scope(|scope| {
        for consumer in 0..FRONTS * CONSUMERS {
            let to = deployment.front_address(consumer % FRONTS);
            let (ends, failed, next, record) = (&ends, &failed, &next, record);
            scope.spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    let id = format!("order-{}", next.fetch_add(1, Ordering::SeqCst));
                    let answer = desk::send(to, "/order/saddle", &id, Duration::from_secs(1));
                    let status = answer.ok().map(|answer| answer.status);
                    if status != Some(200) {
                        failed.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("consumer: {id}: answer {status:?}"));
                    }
                    sleep(Duration::from_millis(60));
                }
            });
        }
        sleep(Duration::from_secs(4));
        if trouble {
            // All fields of the worker's own report but `cold_left_ms`, with a number of the other writer's.
            let report = leaving.report().replace("\"cold_left_ms\":0,", "");
            let start = report.find("\"sequence\":").unwrap_or(0);
            let end = start + report[start..].find(",\"born\"").unwrap_or(0);
            let report = format!(
                "{}\"sequence\":{}{}",
                &report[..start],
                unix_ms(),
                &report[end..]
            );
            let path = format!("/instances/{}", leaving.id());
            let headers = [("Content-Type", "application/json")];
            let answer = call(
                control[0],
                "PUT",
                &path,
                &headers,
                report.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.ok().map(|answer| answer.status);
            record.line(&format!(
                "another writer: PUT {path} {report}: answer {status:?}"
            ));
        }
        sleep(Duration::from_millis(300));
        let confirmed = leaving.drain(Duration::from_secs(4));
        record.line(&format!(
            "worker {} reports draining; confirmed: {}",
            leaving.id(),
            confirmed.is_some()
        ));
        if confirmed.is_some() {
            sleep(DRAIN + LONGER);
            let withdrawn = leaving.withdraw();
            record.line(&format!(
                "worker {} sends DELETE (confirmed: {withdrawn}) and exits",
                leaving.id()
            ));
            leaving.stop();
            sleep(Duration::from_secs(2));
        }
        ends.store(true, Ordering::SeqCst);
        confirmed
    });
    let Some(confirmed) = confirmed else {
        return Err(Failure(
            "no control machine confirms that the worker drains".into(),
        ));
    };
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > confirmed + DRAIN)
        .collect();
    for arrival in &late {
        let after = arrival.at - confirmed;
        record.line(&format!(
            "{} reached {} {} ms after the confirmation",
            arrival.request_id,
            leaving.id(),
            after.as_millis()
        ));
    }
    let cut = late.iter().filter(|arrival| arrival.was_cut).count();
    record.line(&format!(
        "{} orders sent, {} not served; {} reached the worker later than drain_ms after the confirmation, {cut} of \
         these were cut as it exited",
        next.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst),
        late.len()
    ));
    Ok(!late.is_empty())
}
