//! EVAC: a request whose channel to a worker ends after the worker's zone was taken out.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, desired_state};
use crate::worker::Worker;
use crate::{Verdict, http, record};

/// Time from the confirmation of the evacuation to the end of the channels. `evacuate_ms` is 5,000.
const LOST_AFTER: Duration = Duration::from_millis(5_300);

/// Bound of the site.
const EVACUATE: Duration = Duration::from_millis(5_000);

/// Time limit of the consumers and of the route, ms.
const TIMEOUT_MS: u64 = 15_000;

fn document() -> String {
    let route = format!(
        "\"name\":\"catalogue-ruling\",\"path_prefix\":\"/catalogue/\",\"route_type\":\"stream\",\
         \"timeout_ms\":{TIMEOUT_MS},\"goal_ms\":3000,\"service\":\"rulings\",\"max_attempts\":2,\
         \"public\":true,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000"
    );
    let service = "\"name\":\"rulings\",\"max_conns\":434,\"cold_s\":0.0,\"cold_per_s\":0.0";
    desired_state(1, &route, service, "")
}

/// Sends one request and returns the status of its answer.
fn consume(to: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS + 1_000)))?;
    let request = http::post("/catalogue/rule", id, TIMEOUT_MS, "rule");
    io::Write::write_all(&mut stream, &request)?;
    let answer = http::read_head(&mut stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer.status())
}

/// Answers with a stream of one event.
fn answer_stream(
    worker: &Worker,
    request: &http::Message,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let status = "200 OK\r\nContent-Type: text/event-stream";
    worker.answer(request, stream, status, b"id: 1\ndata: ruling\n\n")
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let deployment = Deployment::start(&zones, &[0, 1, 2]);
    deployment.publish(&document());
    let control = deployment.control_addresses();
    // When the slow answers of the worker in the first zone are due.
    let due = Arc::<Mutex<Option<Instant>>>::default();
    let workers: Vec<Arc<Worker>> = (0..zones.len())
        .map(|zone| {
            let due = Arc::clone(&due);
            let loses_answers = trouble && zone == 0;
            Worker::start(
                &format!("i-ruling-{}", zone + 1),
                "rulings",
                zones[zone],
                deployment.worker_ip(zone as u8 + 1),
                &control,
                Box::new(move |worker, request, stream| {
                    http::read_body(stream, request)?;
                    let id = request.field("primrosepin-request-id").unwrap_or_default();
                    if zone == 0 && id.starts_with("long") {
                        let end = loop {
                            if let Some(end) = *due.lock().unwrap() {
                                break end;
                            }
                            thread::sleep(Duration::from_millis(10));
                        };
                        let is_first = Instant::now() < end;
                        thread::sleep(end.saturating_duration_since(Instant::now()));
                        if is_first && loses_answers && id.starts_with("long-0") {
                            // The request ran, and its answer is lost with the channel.
                            return Err(io::ErrorKind::ConnectionReset.into());
                        }
                    }
                    answer_stream(worker, request, stream)
                }),
            )
        })
        .collect();
    deployment.wait_until_ready();
    // Until the machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let entries = deployment.caller_addresses();
    // Leaves kept channels to all workers at the entry processes.
    let warm_up: Vec<_> = (0..12)
        .flat_map(|round| entries.iter().map(move |to| (round, *to)))
        .map(|(round, to)| {
            thread::spawn(move || consume(to, &format!("short-{round}-{}", to.ip())))
        })
        .collect();
    for request in warm_up {
        if !matches!(request.join(), Ok(Ok(200))) {
            crate::give_up("a request before the evacuation was not served");
        }
    }
    let consumers: Vec<_> = (0..4)
        .flat_map(|round| entries.iter().map(move |to| (round, *to)))
        .map(|(round, to)| thread::spawn(move || consume(to, &format!("long-{round}-{}", to.ip()))))
        .collect();
    thread::sleep(Duration::from_millis(200));
    let path = format!("/evacuate/{}", zones[0]);
    let confirmed = deployment
        .try_operator_call("POST", &path, b"", Duration::from_secs(5))
        .is_some_and(|answer| (200..300).contains(&answer.status()));
    if !confirmed {
        crate::give_up("the evacuation was not confirmed");
    }
    let confirmed_at = Instant::now();
    record::write(&format!("operator: POST {path} is confirmed"));
    *due.lock().unwrap() = Some(confirmed_at + LOST_AFTER);
    for consumer in consumers {
        let status = match consumer.join() {
            Ok(Ok(status)) => status.to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => crate::give_up("a consumer failed"),
        };
        record::write(&format!("a consumer gets {status}"));
    }
    let mut late = 0;
    for arrival in workers[0].arrivals() {
        let Some(after) = arrival.at.checked_duration_since(confirmed_at) else {
            continue;
        };
        let is_late = after > EVACUATE;
        late += usize::from(is_late);
        record::write(&format!(
            "{} reaches {} in {} from {} {:.2} s after the confirmation{}",
            arrival.request_id,
            workers[0].id,
            zones[0],
            arrival.from.ip(),
            after.as_secs_f64(),
            if is_late { ": LATE" } else { "" },
        ));
    }
    record::write(&format!(
        "{late} requests reached a worker in {} later than {} ms after its evacuation was confirmed",
        zones[0],
        EVACUATE.as_millis()
    ));
    deployment.stop();
    Verdict::new(late > 0)
}
