//! FAILBACK: requests to a worker in cold start while the control processes start again together.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, desired_state, wait_until};
use crate::record;
use crate::worker::Worker;

/// Requests per second that the cold worker tolerates, as the desired state says.
const COLD_PER_S: usize = 36;

/// Bounds of the site.
const COLD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Time for which the worker is cold.
const COLD_TIME: Duration = Duration::from_secs(12);

/// Consumers of each entry process.
const CONSUMERS: u64 = 8;

/// Pause of a consumer between two requests.
const PAUSE: Duration = Duration::from_millis(300);

/// Work of the worker for one request.
const WORK: Duration = Duration::from_millis(30);

/// Time from the kill of the control processes to their next start.
const DOWN_TIME: Duration = Duration::from_millis(500);

fn document() -> String {
    let route = "\"name\":\"stock-read\",\"path_prefix\":\"/stock/\",\"route_type\":\"safe\",\
                 \"timeout_ms\":1000,\"goal_ms\":150,\"service\":\"orders\",\"max_attempts\":2,\
                 \"public\":true";
    let service = format!(
        "\"name\":\"orders\",\"max_conns\":434,\"cold_s\":{},\"cold_per_s\":{COLD_PER_S}",
        COLD_TIME.as_secs()
    );
    desired_state(1, route, &service, "")
}

/// What the consumers did.
#[derive(Default)]
struct Traffic {
    /// When each request was sent.
    sent: Mutex<HashMap<String, Instant>>,
    served: AtomicU64,
    refused: AtomicU64,
    is_over: AtomicBool,
}

/// Sends requests one after the other until told to stop; counts answers by status.
fn consume(to: SocketAddr, name: &str, traffic: &Traffic) {
    let mut number = 0;
    let mut kept: Option<TcpStream> = None;
    while !traffic.is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{name}-{number}");
        let request = format!(
            "GET /stock/item HTTP/1.1\r\nHost: desk.example\r\nPrimrosepin-Request-Id: {id}\r\n\
             Primrosepin-Deadline-Ms: 1000\r\n\r\n"
        );
        let stream = kept.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            Some(stream)
        });
        traffic.sent.lock().unwrap().insert(id, Instant::now());
        if let Some(mut stream) = stream
            && let Ok(answer) = crate::http::exchange(&mut stream, request.as_bytes())
        {
            match answer.status() {
                200 => traffic.served.fetch_add(1, Ordering::Relaxed),
                _ => traffic.refused.fetch_add(1, Ordering::Relaxed),
            };
            if answer.field("connection").is_none() {
                kept = Some(stream);
            }
        }
        thread::sleep(PAUSE);
    }
}

/// A request to the cold worker.
#[derive(Clone, Copy)]
struct Counted {
    sent: Instant,
    arrived: Instant,
}

/// Returns the largest number of requests that consumers sent and that arrived inside one second, and when that second
/// begins.
fn most_in_a_second(requests: &[Counted]) -> (usize, Option<Instant>) {
    let mut most = (0, None);
    for start in requests.iter().map(|request| request.sent) {
        let inside = requests
            .iter()
            .filter(|request| is_inside(request, start))
            .count();
        if inside > most.0 {
            most = (inside, Some(start));
        }
    }
    most
}

/// Returns whether a request was sent and arrived in the second from `start` on.
fn is_inside(request: &Counted, start: Instant) -> bool {
    request.sent >= start && request.arrived < start + Duration::from_secs(1)
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let mut deployment = Deployment::start(&zones, &[0, 0, 0, 1, 1, 1, 2, 2, 2]);
    deployment.publish(&document());
    let worker = Worker::start(
        "i-cold",
        "orders",
        zones[0],
        deployment.worker_ip(1),
        &deployment.control_addresses(),
        Box::new(|worker, request, stream| {
            thread::sleep(WORK);
            worker.answer(request, stream, "200 OK", &[b'x'; 800])
        }),
    );
    deployment.wait_until_ready();
    let traffic = Arc::<Traffic>::default();
    for (vm, process) in deployment.entry.iter().enumerate() {
        for consumer in 0..CONSUMERS {
            let to = process.caller_address();
            let name = format!("c{vm}-{consumer}");
            let traffic = Arc::clone(&traffic);
            thread::spawn(move || consume(to, &name, &traffic));
        }
    }
    wait_until("traffic", || worker.arrivals().len() > 50);
    thread::sleep(Duration::from_secs(4));
    let cold_at = Instant::now();
    worker.become_cold(COLD_TIME);
    record::write("worker i-cold becomes cold and says so");
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record::write("all control processes get SIGKILL");
        deployment
            .control
            .iter_mut()
            .for_each(|process| process.kill());
        thread::sleep(DOWN_TIME);
        deployment
            .control
            .iter_mut()
            .for_each(|process| process.start());
        record::write("all control processes start again");
    }
    thread::sleep(Duration::from_secs(6));
    traffic.is_over.store(true, Ordering::Relaxed);
    let cold_end = cold_at + COLD_TIME;
    // Entry processes learn of the cold start within a second.
    let counted_from = cold_at + Duration::from_secs(1);
    let sent = traffic.sent.lock().unwrap();
    let requests: Vec<(IpAddr, Counted)> = worker
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at >= counted_from && arrival.at < cold_end)
        .filter_map(|arrival| {
            let request = Counted {
                sent: *sent.get(&arrival.request_id)?,
                arrived: arrival.at,
            };
            Some((arrival.from.ip(), request))
        })
        .collect();
    let all: Vec<Counted> = requests.iter().map(|(_, request)| *request).collect();
    let (most, at) = most_in_a_second(&all);
    let bound = COLD_PER_S as f64 * COLD_FACTOR + COLD_SLACK;
    record::write(&format!(
        "served {}, refused {}; most requests sent and arrived at the cold worker in one second: {most} (bound {bound}), from {:.3} s \
         after it became cold; {} in all",
        traffic.served.load(Ordering::Relaxed),
        traffic.refused.load(Ordering::Relaxed),
        at.map_or(0.0, |at| at.duration_since(cold_at).as_secs_f64()),
        all.len(),
    ));
    if let Some(start) = at {
        for process in &deployment.entry {
            let inside = requests
                .iter()
                .filter(|(from, request)| *from == process.ip && is_inside(request, start));
            record::write(&format!("  from {}: {}", process.name, inside.count()));
        }
    }
    deployment.stop();
    Verdict::new(most as f64 > bound)
}
