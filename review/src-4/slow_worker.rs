//! Workers that read slowly, and consumers that leave while their request is being passed on.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Failure, Fleet, KEY, SOLANO, desired_state, encode};
use crate::worker::{Manner, Shared, Worker};

const CONSUMERS: usize = 12;
/// Size of a request body. The desired state allows 4 MiB.
const BODY_BYTES: usize = 2 * 1024 * 1024;
/// Time after which a consumer leaves.
const PATIENCE: Duration = Duration::from_millis(400);
/// Time after the close of a consumer within which its request may reach a worker.
const ALLOWED_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a worker later: "more than a few" break the rule.
const ALLOWED: usize = 3;

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &mut String) -> Result<bool, Failure> {
    let fleet = Fleet::start(SOLANO, 2, 3)?;
    let controls = fleet.control_addresses();
    let shared = Arc::<Mutex<Shared>>::default();
    let manner = Manner {
        // About 1 MB/s.
        read_bytes: 32 * 1024,
        read_pause: Duration::from_millis(30),
        ..Manner::default()
    };
    let mut workers = Vec::new();
    for number in 0..3 {
        let zone = SOLANO.zones[number % 3];
        let ip = fleet.ip(3, number as u8 + 1);
        workers.push(Worker::start(&format!("i-{number}"), SOLANO.plain, &ip, zone, controls.clone(), manner.clone(), &shared)?);
    }
    let status = fleet.operate("PUT", "/config", desired_state(SOLANO, 7).as_bytes(), Duration::from_secs(30))?;
    writeln!(record, "desired state confirmed with {status}")?;
    fleet.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let begin = Instant::now();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let to = fleet.caller_address(number % 2);
            thread::spawn(move || consume(number, to, trouble))
        })
        .collect();
    let closes: Vec<_> = consumers.into_iter().filter_map(|consumer| consumer.join().ok()).collect();
    thread::sleep(Duration::from_secs(8));
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let mut late = 0;
    let mut sent = 0;
    for (id, close) in &closes {
        let Ok(close) = close else {
            writeln!(record, "{id}: {}", close.as_ref().err().map_or("", |error| error))?;
            continue;
        };
        sent += 1;
        let text = match runs.iter().find(|run| run.id == *id) {
            None => "reached no worker".to_owned(),
            Some(run) => {
                let after = run.at.checked_duration_since(*close);
                if after.is_some_and(|after| after > ALLOWED_TIME) {
                    late += 1;
                }
                format!(
                    "reached {} whole at {} ms, {} ms after the close, dropped there: {}",
                    run.worker,
                    (run.at - begin).as_millis(),
                    after.unwrap_or_default().as_millis(),
                    run.header(":dropped").is_some()
                )
            }
        };
        writeln!(record, "{id} closed at {} ms, {text}", (*close - begin).as_millis())?;
    }
    if sent < CONSUMERS / 2 {
        return Err("too few requests were sent".into());
    }
    writeln!(record, "requests that reached a worker over {} ms after the close: {late}; allowed: {ALLOWED}", ALLOWED_TIME.as_millis())?;
    Ok(late <= ALLOWED)
}

/// Sends a request and leaves; returns its id and the time of the close.
fn consume(number: usize, to: std::net::SocketAddr, trouble: bool) -> (String, Result<Instant, String>) {
    let id = format!("read-{number}");
    let send = || -> std::io::Result<Instant> {
        let mut stream = std::net::TcpStream::connect(to)?;
        let key = format!("Bearer {KEY}");
        let headers = [("Primrosepin-Request-Id", id.as_str()), ("Primrosepin-Deadline-Ms", "10000"), ("Authorization", &key)];
        stream.write_all(&encode("POST", &format!("/{}/1", SOLANO.read), &headers, &vec![b'q'; BODY_BYTES]))?;
        if trouble {
            thread::sleep(PATIENCE);
        } else {
            let answer = crate::fleet::read_answer(&mut stream)?;
            if answer.status != 200 {
                return Err(std::io::Error::other(format!("answer {}", answer.status)));
            }
        }
        Ok(Instant::now())
    };
    let result = send().map_err(|error| error.to_string());
    (id, result)
}
