//! FAILBACK: requests to a worker in cold start while the control processes start again together.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
                 \"timeout_ms\":4000,\"goal_ms\":1000,\"service\":\"orders\",\"max_attempts\":2,\
                 \"public\":true";
    let service = format!(
        "\"name\":\"orders\",\"max_conns\":434,\"cold_s\":{},\"cold_per_s\":{COLD_PER_S}",
        COLD_TIME.as_secs()
    );
    desired_state(1, route, &service, "")
}

/// Sends requests one after the other until told to stop; counts answers by status.
fn consume(to: SocketAddr, name: &str, stop: &AtomicBool, served: &AtomicU64, refused: &AtomicU64) {
    let mut number = 0;
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let request = format!(
            "GET /stock/item HTTP/1.1\r\nHost: desk.example\r\nPrimrosepin-Request-Id: {name}-{number}\r\n\
             Primrosepin-Deadline-Ms: 4000\r\n\r\n"
        );
        let stream = kept.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            Some(stream)
        });
        if let Some(mut stream) = stream
            && let Ok(answer) = crate::http::exchange(&mut stream, request.as_bytes())
        {
            match answer.status() {
                200 => served.fetch_add(1, Ordering::Relaxed),
                _ => refused.fetch_add(1, Ordering::Relaxed),
            };
            if answer.field("connection").is_none() {
                kept = Some(stream);
            }
        }
        thread::sleep(PAUSE);
    }
}

/// Returns the largest number of arrivals in any span of one second, and when that span begins.
fn most_in_a_second(arrivals: &[Instant]) -> (usize, Option<Instant>) {
    let mut most = (0, None);
    for (first, start) in arrivals.iter().enumerate() {
        let inside = arrivals[first..]
            .iter()
            .take_while(|at| at.duration_since(*start) < Duration::from_secs(1))
            .count();
        if inside > most.0 {
            most = (inside, Some(*start));
        }
    }
    most
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
    let stop = Arc::new(AtomicBool::new(false));
    let (served, refused) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    for (vm, process) in deployment.entry.iter().enumerate() {
        for consumer in 0..CONSUMERS {
            let to = process.caller_address();
            let name = format!("c{vm}-{consumer}");
            let (stop, served, refused) =
                (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&refused));
            thread::spawn(move || consume(to, &name, &stop, &served, &refused));
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
    stop.store(true, Ordering::Relaxed);
    let cold_end = cold_at + COLD_TIME;
    // Entry processes learn of the cold start within a second.
    let counted_from = cold_at + Duration::from_secs(1);
    let arrivals: Vec<Instant> = worker
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= counted_from && *at < cold_end)
        .collect();
    let (most, at) = most_in_a_second(&arrivals);
    let bound = COLD_PER_S as f64 * COLD_FACTOR + COLD_SLACK;
    record::write(&format!(
        "served {}, refused {}; most requests to the cold worker in one second: {most} (bound {bound}), from {:.3} s \
         after it became cold; {} in all",
        served.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        at.map_or(0.0, |at| at.duration_since(cold_at).as_secs_f64()),
        arrivals.len(),
    ));
    if let Some(start) = at {
        let all = worker.arrivals();
        for process in &deployment.entry {
            let inside = all.iter().filter(|arrival| {
                arrival.from.ip() == process.ip
                    && arrival.at >= start
                    && arrival.at < start + Duration::from_secs(1)
            });
            record::write(&format!("  from {}: {}", process.name, inside.count()));
        }
    }
    deployment.stop();
    if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
