//! Consumers of large orders leave while a worker does not read yet.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::Deployment;
use crate::desk;
use crate::record::Record;
use crate::worker::{Behaviour, Reply, Worker};

const ORDERS: usize = 80;

/// Consumers that leave, of ten (`give_up` share .3).
const LEAVING_OF_TEN: usize = 3;

/// Size of an order; `max_body_bytes` is 4 MiB.
const BODY_BYTES: usize = 1024 * 1024;

/// Time limit of consumers and route, and the time after which the consumers leave.
const LIMIT: Duration = Duration::from_secs(10);
const STAY: Duration = Duration::from_millis(500);

/// The worker reads bodies this long after the heads.
const BODY_DELAY: Duration = Duration::from_millis(1_800);

const HALF_SECOND: Duration = Duration::from_millis(500);

/// "More than a few requests".
const FEW: usize = 5;

fn behaviour() -> Behaviour {
    Box::new(|_| Reply {
        status: 200,
        run: Some(Duration::from_millis(30)),
        headers: Vec::new(),
    })
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let deployment = Deployment::start(81, 1, 3)?;
    let state = desk::desired_state_with(7, LIMIT.as_millis() as u64);
    deployment.publish(&state, record)?;
    let control = deployment.control_addresses();
    let ip = deployment.worker_ip(0).into();
    let worker = Worker::start("i-0", "orders", "zone-0", ip, control, behaviour(), record)?;
    deployment.wait_until_ready(0, Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));
    worker.set_body_delay(BODY_DELAY);

    let to = deployment.front_address(0);
    let body = vec![b'o'; BODY_BYTES];
    let closed: Mutex<BTreeMap<String, Instant>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..ORDERS {
            let (closed, body) = (&closed, &body);
            let stay = if trouble && number % 10 < LEAVING_OF_TEN {
                STAY
            } else {
                LIMIT
            };
            scope.spawn(move || {
                let id = format!("order-{number}");
                let answer = desk::send_for(to, "/order/saddle", &id, body, LIMIT, stay);
                let status = answer.ok().map(|answer| answer.status);
                record.line(&format!(
                    "consumer: {id}: answer {status:?}, closes its channel"
                ));
                closed.lock().unwrap().insert(id, Instant::now());
            });
            sleep(Duration::from_millis(60));
        }
    });
    sleep(Duration::from_secs(4));
    let closed = closed.into_inner().unwrap();
    let mut late = 0;
    for arrival in worker.arrivals() {
        if let Some(closed) = closed.get(&arrival.request_id)
            && arrival.at > *closed + HALF_SECOND
        {
            late += 1;
            let after = (arrival.at - *closed).as_millis();
            record.line(&format!(
                "{} reached the worker {after} ms after its consumer had left, and ran",
                arrival.request_id
            ));
        }
    }
    record.line(&format!(
        "{ORDERS} orders, {} runs, {late} of them later than half a second after the close",
        worker.arrivals().len()
    ));
    Ok(late > FEW)
}
