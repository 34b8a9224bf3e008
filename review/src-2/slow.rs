//! LOST: consumers that read their answers slowly, but steadily.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, ORDERS, desired_state, order_route};
use crate::worker::Worker;
use crate::{Verdict, http, record};

/// Consumers, each on a kept channel.
const CONSUMERS: usize = 8;

/// Length of the answer, bytes.
const ANSWER_BYTES: usize = 60_000;

/// Receive buffer of a consumer, bytes. The kernel doubles it.
const RECEIVE_BYTES: i32 = 16 * 1024;

/// What a slow consumer reads at once, bytes, and the pause before it reads again.
const PIECE_BYTES: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(250);

/// Time limit of the consumers and of the route, ms.
const TIMEOUT_MS: u64 = 10_000;

const SIGHUP: i32 = 1;

fn request(id: &str, path: &str) -> Vec<u8> {
    http::post(path, id, TIMEOUT_MS, "order")
}

/// What a consumer saw of one answer.
struct Seen {
    id: String,
    received: usize,
    expected: usize,
    took: Duration,
    end: String,
}

/// Orders once for a short answer and once for a long one on the same channel, and reads the second answer piece
/// by piece.
fn consume(to: SocketAddr, number: usize, pause: Duration) -> std::io::Result<Seen> {
    let mut stream = http::connect_with_buffer(to, RECEIVE_BYTES)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)))?;
    let short = request(&format!("short-{number}"), "/order/short");
    let answer = http::exchange(&mut stream, &short)?;
    if answer.status() != 200 {
        return Err(std::io::Error::other(answer.first_line));
    }
    let id = format!("long-{number}");
    let sent = Instant::now();
    stream.write_all(&request(&id, "/order/long"))?;
    let answer = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let expected = answer.content_length();
    let mut received = answer.body.len();
    let mut piece = vec![0; PIECE_BYTES];
    let mut end = "complete".to_owned();
    while received < expected {
        thread::sleep(pause);
        match stream.read(&mut piece) {
            Ok(0) => {
                end = "closed".to_owned();
                break;
            }
            Ok(read) => received += read,
            Err(error) => {
                end = error.to_string();
                break;
            }
        }
    }
    Ok(Seen {
        id,
        received,
        expected,
        took: sent.elapsed(),
        end,
    })
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let deployment = Deployment::start(&zones, &[0, 1, 2]);
    deployment.publish(&desired_state(1, &order_route(TIMEOUT_MS), ORDERS, ""));
    let worker = Worker::start(
        "i-order",
        "orders",
        zones[0],
        deployment.worker_ip(1),
        &deployment.control_addresses(),
        Box::new(|worker, request, stream| {
            http::read_body(stream, request)?;
            let length = if request.path() == "/order/long" {
                ANSWER_BYTES
            } else {
                800
            };
            worker.answer(request, stream, "200 OK", &vec![b'x'; length])
        }),
    );
    deployment.wait_until_ready();
    // Until the machine is in touch.
    thread::sleep(Duration::from_secs(6));
    deployment.entry[0].signal(SIGHUP);
    record::write(&format!("{} gets SIGHUP", deployment.entry[0].name));
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let to = deployment.entry[0].caller_address();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| thread::spawn(move || consume(to, number, pause)))
        .collect();
    let seen: Vec<Seen> = consumers
        .into_iter()
        .map(|consumer| match consumer.join() {
            Ok(Ok(seen)) => seen,
            Ok(Err(error)) => crate::give_up(&format!("a consumer got no answer: {error}")),
            Err(_) => crate::give_up("a consumer failed"),
        })
        .collect();
    let mut lost = 0;
    for seen in &seen {
        let ran = worker.arrivals().iter().any(|a| a.request_id == seen.id);
        let in_time = seen.took < Duration::from_millis(TIMEOUT_MS);
        let is_lost = ran && in_time && seen.received < seen.expected;
        lost += usize::from(is_lost);
        record::write(&format!(
            "{}: ran: {ran}, {} of {} bytes after {:.2} s, {}{}",
            seen.id,
            seen.received,
            seen.expected,
            seen.took.as_secs_f64(),
            seen.end,
            if is_lost { ": LOST" } else { "" },
        ));
    }
    record::write(&format!(
        "{lost} of {CONSUMERS} channels ended without a complete answer to a request that a worker had run"
    ));
    let log = deployment.entry[0].log();
    for line in log
        .lines()
        .filter(|line| line.contains("request ended") && line.contains("long-"))
    {
        record::write(&format!("entry process: {line}"));
    }
    deployment.stop();
    // Beside a SIGHUP one such request breaks the rule; at any time more than three do.
    Verdict::new(lost > 3)
}
