//! Many fronts are killed at the same moment and start again while a worker is cold.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::Deployment;
use crate::desk;
use crate::record::Record;
use crate::worker::{Behaviour, Reply, Worker};

const FRONTS: usize = 9;

/// Fronts that are killed (`herd_kill` share .55 of 9, rounded down).
const KILLED: usize = 4;

/// Time after which the provider starts a killed process again.
const RESTART: Duration = Duration::from_millis(500);

/// Number of times that fronts are killed, and the time between them.
const KILLS: usize = 4;
const PAUSE: Duration = Duration::from_secs(5);

/// `clients` of the site's three zones.
const CONSUMERS: usize = 72;

/// `cold_per_s` x `cold_factor` + `cold_slack`.
const BOUND: f64 = 36.0 * 1.5 + 5.0;

const WINDOW: Duration = Duration::from_secs(1);

fn behaviour() -> Behaviour {
    Box::new(|_| Reply {
        status: 200,
        run: Some(Duration::from_millis(20)),
        headers: Vec::new(),
    })
}

/// Sends requests until the end, to the consumer's own front or, if that cannot be reached, to the next one.
fn consume(
    number: usize,
    fronts: &[SocketAddr],
    ends: &AtomicBool,
    next: &AtomicUsize,
    sent: &Mutex<BTreeMap<String, Instant>>,
) {
    let mut front = number % fronts.len();
    while !ends.load(Ordering::SeqCst) {
        let id = format!("read-{}", next.fetch_add(1, Ordering::SeqCst));
        sent.lock().unwrap().insert(id.clone(), Instant::now());
        let answer = desk::send(fronts[front], "/read/1", &id, Duration::from_secs(1));
        front = match answer {
            Ok(_) => number % fronts.len(),
            Err(_) => (front + 1) % fronts.len(),
        };
        sleep(Duration::from_millis(250));
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let mut deployment = Deployment::start(91, FRONTS, 3)?;
    let state = desk::desired_state(7).replace(
        "\"cold_s\":0.0,\"cold_per_s\":0.0",
        "\"cold_s\":3.0,\"cold_per_s\":36.0",
    );
    deployment.publish(&state, record)?;
    let control = deployment.control_addresses();
    let ip = deployment.worker_ip(0).into();
    let worker = Worker::start("i-0", "orders", "zone-0", ip, control, behaviour(), record)?;
    for front in 0..FRONTS {
        deployment.wait_until_ready(front, Duration::from_secs(20))?;
    }
    sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = (0..FRONTS)
        .map(|number| deployment.front_address(number))
        .collect();
    let confirmed = worker.set_cold(Duration::from_secs(60));
    record.line(&format!(
        "worker i-0 is cold for 60 s; confirmed: {confirmed}"
    ));
    let counted_from = Instant::now() + Duration::from_secs(4);

    let (ends, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let sent: Mutex<BTreeMap<String, Instant>> = Mutex::default();
    let mut kills = Vec::new();
    thread::scope(|scope| {
        for number in 0..CONSUMERS {
            let (fronts, ends, next, sent) = (&fronts, &ends, &next, &sent);
            scope.spawn(move || consume(number, fronts, ends, next, sent));
        }
        sleep(Duration::from_secs(7));
        let mut result = Ok(());
        for kill in 0..KILLS {
            if trouble {
                let herd: Vec<usize> = (0..KILLED).map(|step| (kill + step * 2) % FRONTS).collect();
                for number in &herd {
                    deployment.fronts[*number].kill();
                }
                kills.push(Instant::now());
                record.line(&format!("fronts {herd:?} are killed at the same moment"));
                sleep(RESTART);
                for number in &herd {
                    result = result.and_then(|()| deployment.fronts[*number].start());
                }
                record.line(&format!("fronts {herd:?} start again"));
            }
            sleep(PAUSE);
        }
        ends.store(true, Ordering::SeqCst);
        result
    })?;

    // Requests that were sent and arrived inside one second, from the first full second of the cold time on.
    let sent = sent.into_inner().unwrap();
    let mut arrivals: Vec<(Instant, Instant)> = worker
        .arrivals()
        .into_iter()
        .filter_map(|arrival| Some((arrival.at, *sent.get(&arrival.request_id)?)))
        .filter(|(at, _)| *at >= counted_from)
        .collect();
    arrivals.sort();
    let mut most = 0;
    let mut when = counted_from;
    for (_, start) in &arrivals {
        let end = *start + WINDOW;
        let inside = arrivals
            .iter()
            .filter(|(at, sent)| sent >= start && *at < end);
        let count = inside.count();
        if count > most {
            (most, when) = (count, *start);
        }
    }
    let signed_ms = |kill: &Instant| {
        let late = when.saturating_duration_since(*kill).as_millis() as i64;
        let early = kill.saturating_duration_since(when).as_millis() as i64;
        late - early
    };
    let offset = kills.iter().map(signed_ms).min_by_key(|ms| ms.abs());
    record.line(&format!(
        "{} requests sent, {} arrived; at most {most} were sent and arrived inside one second, {BOUND:.0} are \
         allowed; that second began this many ms after the nearest kill: {offset:?}",
        sent.len(),
        arrivals.len(),
    ));
    Ok(most as f64 > BOUND)
}
