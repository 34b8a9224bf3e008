//! A worker fails requests that it has run with status 503 and without `Primrosepin-Not-Executed`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::Deployment;
use crate::desk;
use crate::record::Record;
use crate::worker::{Behaviour, Reply, Worker};

/// Number of workers; one of them fails part of its requests (`share` .14 of 7).
const WORKERS: usize = 7;

/// The failing worker fails two of five requests (`x` .4).
const FAILED_OF_FIVE: u64 = 2;

/// Time for which consumers send orders.
const TRAFFIC: Duration = Duration::from_secs(30);

const WORK: Duration = Duration::from_millis(30);

/// Returns the behaviour of a worker that fails requests once `grey` holds its number.
fn behaviour(own: usize, grey: &Arc<AtomicUsize>) -> Behaviour {
    let grey = Arc::clone(grey);
    Box::new(move |number| Reply {
        status: if grey.load(Ordering::SeqCst) == own && number % 5 < FAILED_OF_FIVE {
            503
        } else {
            200
        },
        run: Some(WORK),
        headers: Vec::new(),
    })
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let deployment = Deployment::start(61, 1, 3)?;
    let state = desk::desired_state(7);
    deployment.publish(&state, record)?;
    let control = deployment.control_addresses();
    let grey = Arc::new(AtomicUsize::new(usize::MAX));
    let workers: Result<Vec<Worker>, Failure> = (0..WORKERS)
        .map(|number| {
            let ip = deployment.worker_ip(number).into();
            let zone = format!("zone-{}", number % 3);
            let behaviour = behaviour(number, &grey);
            Worker::start(
                &format!("i-{number}"),
                "orders",
                &zone,
                ip,
                control.clone(),
                behaviour,
                record,
            )
        })
        .collect();
    let workers = workers?;
    deployment.wait_until_ready(0, Duration::from_secs(20))?;

    sleep(Duration::from_secs(2));

    // The worker that takes the first orders turns grey.
    let to = deployment.front_address(0);
    for number in 0..5 {
        let id = format!("first-{number}");
        let status = desk::send(to, "/order/saddle", &id, Duration::from_secs(1))
            .ok()
            .map(|answer| answer.status);
        record.line(&format!("consumer: {id}: answer {status:?}"));
    }
    let busiest = (0..WORKERS)
        .max_by_key(|number| workers[*number].arrivals().len())
        .unwrap_or(0);
    if trouble {
        grey.store(busiest, Ordering::SeqCst);
        record.line(&format!(
            "worker i-{busiest} turns grey: it answers 503 to two of five requests that it has run"
        ));
    }

    // Orders, one after the other. A consumer sends an order once more only if it was told that it has not run.
    let end = Instant::now() + TRAFFIC;
    let mut answers: BTreeMap<String, Option<u16>> = BTreeMap::new();
    let mut orders = 0;
    while Instant::now() < end {
        orders += 1;
        for attempt in 1..=2 {
            let id = format!("order-{orders}-attempt-{attempt}");
            let status = desk::send(to, "/order/saddle", &id, Duration::from_secs(1))
                .ok()
                .map(|answer| answer.status);
            record.line(&format!("consumer: {id}: answer {status:?}"));
            answers.insert(id, status);
            if !matches!(status, Some(408 | 421 | 429 | 503)) {
                break;
            }
            sleep(Duration::from_millis(300));
        }
        sleep(Duration::from_millis(40));
    }

    let ran: Vec<String> = workers
        .iter()
        .flat_map(|worker| worker.arrivals())
        .filter(|arrival| arrival.has_run)
        .map(|arrival| arrival.request_id)
        .collect();
    let promised = |id: &String| matches!(answers.get(id), Some(Some(408 | 421 | 429 | 503)));
    let broken: Vec<&String> = ran.iter().filter(|id| promised(id)).collect();
    let order = |id: &String| id.split("-attempt").next().unwrap_or_default().to_owned();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in &ran {
        *runs.entry(order(id)).or_default() += 1;
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    record.line(&format!(
        "{orders} orders, {} runs; {} requests were answered 503 (not run) and have run; {twice} orders were booked twice",
        ran.len(),
        broken.len()
    ));
    Ok(!broken.is_empty())
}
