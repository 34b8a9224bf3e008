//! Consumers that read their streams slowly, but steadily and within their time limit.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Answer, Failure, Fleet, KEY, SOLANO, desired_state, encode, read_answer};
use crate::socket;
use crate::worker::{Manner, Shared, Worker};

const CONSUMERS: usize = 8;
/// Bytes that a slow consumer reads at once, and the time between two reads. A whole answer takes about 9 s.
const STEP_BYTES: usize = 2_048;
const PAUSE: Duration = Duration::from_millis(800);
/// Time limit of the consumers.
const LIMIT: Duration = Duration::from_secs(15);
/// Receive buffer of the consumers: small windows.
const WINDOW_BYTES: usize = 4096;
/// Channels closed without an answer that the rule allows.
const ALLOWED: usize = 3;

struct Outcome {
    id: String,
    sent: Instant,
    ended: Instant,
    answer: Result<Answer, String>,
}

/// Returns whether the rule held.
pub fn run(trouble: bool, record: &mut String) -> Result<bool, Failure> {
    let fleet = Fleet::start(SOLANO, 2, 3)?;
    let controls = fleet.control_addresses();
    let shared = Arc::<Mutex<Shared>>::default();
    let mut workers = Vec::new();
    for number in 0..6 {
        let (service, streams) = if number < 3 { (SOLANO.model, true) } else { (SOLANO.plain, false) };
        // The largest answers of the site file: 44 events of at most 510 bytes.
        let manner = Manner {
            streams,
            events: 44,
            event_bytes: 480,
            ..Manner::default()
        };
        let ip = fleet.ip(3, number as u8 + 1);
        let zone = SOLANO.zones[number % 3];
        workers.push(Worker::start(&format!("i-{number}"), service, &ip, zone, controls.clone(), manner, &shared)?);
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
    let outcomes: Vec<Outcome> = consumers.into_iter().filter_map(|consumer| consumer.join().ok()).collect();
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let mut lost = 0;
    for outcome in &outcomes {
        let ran = runs.iter().filter(|run| run.id == outcome.id).count();
        let sent = outcome.sent.duration_since(begin).as_millis();
        let took = outcome.ended.duration_since(outcome.sent);
        let text = match &outcome.answer {
            Ok(answer) if answer.complete => format!("{} complete, {} bytes", answer.status, answer.body.len()),
            Ok(answer) => format!("{} incomplete, {} bytes, then {}", answer.status, answer.body.len(), answer.end),
            Err(error) => format!("no answer: {error}"),
        };
        writeln!(record, "{} sent {sent} ms, run {ran} times, {text}, after {} ms", outcome.id, took.as_millis())?;
        let complete = outcome.answer.as_ref().is_ok_and(|answer| answer.complete);
        if ran > 0 && !complete && took < LIMIT {
            lost += 1;
        }
    }
    if outcomes.len() < CONSUMERS || runs.is_empty() {
        return Err("not all consumers ran".into());
    }
    writeln!(record, "kept channels closed without a whole answer: {lost} of {CONSUMERS}; allowed: {ALLOWED}")?;
    Ok(lost <= ALLOWED)
}

/// A consumer's side of a channel.
struct Reader {
    stream: TcpStream,
    is_slow: bool,
}

impl Read for Reader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if !self.is_slow {
            return self.stream.read(buffer);
        }
        thread::sleep(PAUSE);
        let most = buffer.len().min(STEP_BYTES);
        self.stream.read(&mut buffer[..most])
    }
}

fn consume(number: usize, to: std::net::SocketAddr, trouble: bool) -> Outcome {
    let mut outcome = Outcome {
        id: format!("stream-{number}"),
        sent: Instant::now(),
        ended: Instant::now(),
        answer: Err("not sent".into()),
    };
    let result = exchange(number, &format!("/{}/1", SOLANO.long), to, trouble, &mut outcome);
    outcome.ended = Instant::now();
    outcome.answer = result.map_err(|error| error.to_string());
    outcome
}

fn exchange(
    number: usize,
    path: &str,
    to: std::net::SocketAddr,
    trouble: bool,
    outcome: &mut Outcome,
) -> std::io::Result<Answer> {
    let mut stream = socket::open(to, WINDOW_BYTES)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let key = format!("Bearer {KEY}");
    let limit = LIMIT.as_millis().to_string();
    // The channel is kept: a first request is answered on it.
    let first = format!("first-{number}");
    let headers = [("Primrosepin-Request-Id", first.as_str()), ("Primrosepin-Deadline-Ms", &limit), ("Authorization", &key)];
    stream.write_all(&encode("GET", &format!("/{}/1", SOLANO.read), &headers, b""))?;
    let answer = read_answer(&mut stream)?;
    if answer.status != 200 || !answer.complete {
        return Err(std::io::Error::other(format!("first request: {}", answer.status)));
    }
    outcome.sent = Instant::now();
    let id = outcome.id.clone();
    let headers = [
        ("Primrosepin-Request-Id", id.as_str()),
        ("Primrosepin-Deadline-Ms", &limit),
        ("Authorization", &key),
        ("Primrosepin-Model", "m"),
        ("Primrosepin-Token-Count", "1460,80"),
    ];
    stream.write_all(&encode("POST", path, &headers, b"prompt"))?;
    read_answer(&mut Reader { stream, is_slow: trouble })
}
