//! A stand-in worker that follows the users' pages: it registers, answers with its signature and records what it ran.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Failure, call, find, parse_head};

/// A request that arrived at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Run {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// How a worker reads and answers.
#[derive(Debug, Clone)]
pub struct Manner {
    /// Time for which it runs a request.
    pub work: Duration,
    /// Size of the body of a plain answer, bytes.
    pub answer_bytes: usize,
    /// Whether its answers are streams.
    pub streams: bool,
    /// Number of events of a stream.
    pub events: usize,
    /// Size of one event, bytes.
    pub event_bytes: usize,
    /// Time between two events.
    pub event_pause: Duration,
    /// Bytes that it reads at once.
    pub read_bytes: usize,
    /// Time that it waits after each read.
    pub read_pause: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(30),
            answer_bytes: 800,
            streams: false,
            events: 38,
            event_bytes: 65,
            event_pause: Duration::from_millis(40),
            read_bytes: 64 * 1024,
            read_pause: Duration::ZERO,
        }
    }
}

/// Memory that a reserve order has set aside at a worker.
#[derive(Debug, Clone)]
pub struct Ticket {
    pub id: String,
    pub worker: String,
    pub tokens: u64,
    /// When it was first set aside.
    pub since: Instant,
    /// End of the lease.
    pub until: Instant,
    /// Number of reserve orders for it.
    pub orders: usize,
    pub released: bool,
    /// When a request began to use it.
    pub used_at: Option<Instant>,
}

/// What all workers of a case share.
#[derive(Debug, Default)]
pub struct Shared {
    pub tickets: Vec<Ticket>,
    /// Name of the worker that fails part of its requests while its liveness check is good.
    pub grey: Option<String>,
    /// Whether a worker that gets a request with helpers becomes the grey one, and leaves that request unanswered.
    pub hangs: bool,
    /// Requests that it left unanswered, with the time of their arrival.
    pub hung: Vec<(String, Instant)>,
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub manner: Arc<Mutex<Manner>>,
    pub draining: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker that registers with the control processes each 1.2 s.
    pub fn start(
        name: &str,
        service: &str,
        ip: &str,
        zone: &str,
        controls: Vec<SocketAddr>,
        manner: Manner,
        shared: &Arc<Mutex<Shared>>,
    ) -> Result<Self, Failure> {
        let listener = TcpListener::bind((ip, 0))?;
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            manner: Arc::new(Mutex::new(manner)),
            draining: Arc::default(),
        };
        let (runs, manner, own) = (Arc::clone(&worker.runs), Arc::clone(&worker.manner), worker.name.clone());
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, manner, own) = (Arc::clone(&runs), Arc::clone(&manner), own.clone());
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &own, &runs, &manner, &shared));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        let (own, service, zone, address) = (worker.name.clone(), service.to_owned(), zone.to_owned(), worker.address);
        let draining = Arc::clone(&worker.draining);
        thread::spawn(move || {
            for sequence in 1_usize.. {
                let state = if draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":12,\"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"mixed\",\
                     \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}"
                );
                for turn in 0..controls.len() {
                    let to = controls[(sequence + turn) % controls.len()];
                    let path = format!("/instances/{own}");
                    let answer = call(to, "PUT", &path, &[], body.as_bytes(), Duration::from_secs(1));
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(worker)
    }
}

fn serve(
    mut stream: TcpStream,
    own: &str,
    runs: &Mutex<Vec<Run>>,
    manner: &Mutex<Manner>,
    shared: &Mutex<Shared>,
) {
    let mut bytes = Vec::new();
    while let Some(run) = read(&mut stream, &mut bytes, manner) {
        let manner = manner.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if !answer(&mut stream, own, runs, run, &manner, shared) {
            return;
        }
    }
}

/// Reads the next request, as slowly as the worker reads.
fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>, manner: &Mutex<Manner>) -> Option<Run> {
    loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            let (first, headers) = parse_head(&String::from_utf8_lossy(&bytes[..end]));
            let mut run = Run {
                id: String::new(),
                headers,
                body: Vec::new(),
            };
            run.id = run.header("primrosepin-request-id").unwrap_or_default().to_owned();
            run.headers.push((":line".into(), first));
            let length = run.header("content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                run.body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(run);
            }
        }
        let manner = manner.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut buffer = vec![0; manner.read_bytes];
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
        if !manner.read_pause.is_zero() {
            thread::sleep(manner.read_pause);
        }
    }
}

/// Returns whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Runs and answers a request; returns whether the connection is kept.
fn answer(
    stream: &mut TcpStream,
    own: &str,
    runs: &Mutex<Vec<Run>>,
    run: Run,
    manner: &Manner,
    shared: &Mutex<Shared>,
) -> bool {
    let id = run.id.clone();
    let line = run.header(":line").unwrap_or_default().to_owned();
    if line.starts_with("POST /order ") {
        let status = order(&run.body, own, shared);
        let text = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{{\"free_slots\":10}}\n");
        return stream.write_all(text.as_bytes()).is_ok();
    }
    if line.starts_with("GET /health") || line.starts_with("GET /report") {
        return stream
            .write_all(format!("HTTP/1.1 200 OK\r\nPrimrosepin-Instance-Id: {own}\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes())
            .is_ok();
    }
    if run.header("primrosepin-expect-instance").is_some_and(|name| name != own) {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nPrimrosepin-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes()).is_ok();
    }
    // It drops a request whose connection has closed.
    if is_closed(stream) {
        let mut run = run;
        run.headers.push((":dropped".into(), "1".into()));
        runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        return false;
    }
    if hangs(&run, own, shared) {
        while !is_closed(stream) {
            thread::sleep(Duration::from_millis(10));
        }
        return false;
    }
    use_tickets(&run, shared);
    runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    let end = Instant::now() + manner.work;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(10).min(end - Instant::now().min(end)));
        if is_closed(stream) {
            return false;
        }
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nPrimrosepin-Request-Id: {id}\r\nPrimrosepin-Server-Seal: 3e1b.{own}.{id}\r\n\
         Primrosepin-Server-Load: 1,0,16\r\nKeep-Alive: timeout=15\r\n"
    );
    if manner.streams {
        let begin = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if stream.write_all(begin.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=manner.events {
            let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(manner.event_bytes));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(manner.event_pause);
        }
        return stream.write_all(b"0\r\n\r\n").is_ok();
    }
    let body = "a".repeat(manner.answer_bytes);
    let whole = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(whole.as_bytes()).is_ok()
}

/// Returns the text of a field of a JSON object without nested values.
fn field<'b>(body: &'b str, name: &str) -> &'b str {
    let key = format!("\"{name}\":");
    let rest = body.split_once(&key).map_or("", |(_, rest)| rest);
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().trim_matches('"')
}

/// Carries out a reserve or release order; returns the status line.
fn order(body: &[u8], own: &str, shared: &Mutex<Shared>) -> &'static str {
    let body = String::from_utf8_lossy(body);
    let (operation, id) = (field(&body, "operation"), field(&body, "id"));
    let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let held = shared.tickets.iter_mut().rev();
    let held = held
        .filter(|ticket| ticket.worker == own && ticket.id == id)
        .find(|ticket| !ticket.released && now < ticket.until);
    match (operation, held) {
        ("reserve", held) => {
            let lease = Duration::from_millis(field(&body, "hold_ms").parse().unwrap_or(0));
            let lease = lease.min(Duration::from_millis(20_000));
            if let Some(ticket) = held {
                ticket.until = now + lease;
                ticket.orders += 1;
            } else {
                let ticket = Ticket {
                    id: id.to_owned(),
                    worker: own.to_owned(),
                    tokens: field(&body, "tokens").parse().unwrap_or(0),
                    since: now,
                    until: now + lease,
                    orders: 1,
                    released: false,
                    used_at: None,
                };
                shared.tickets.push(ticket);
            }
            "200 OK"
        }
        ("release", held) => {
            if let Some(ticket) = held {
                ticket.released = true;
                ticket.until = now;
            }
            "200 OK"
        }
        _ => "400 Bad Request",
    }
}

/// Returns whether the worker leaves a request unanswered.
fn hangs(run: &Run, own: &str, shared: &Mutex<Shared>) -> bool {
    let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    let has_tickets = run.header("primrosepin-helpers").is_some_and(|list| list.contains('/'));
    if !shared.hangs || !has_tickets || !shared.hung.is_empty() {
        return false;
    }
    shared.grey = Some(own.to_owned());
    shared.hung.push((run.id.clone(), Instant::now()));
    true
}

/// Records that a request uses the tickets that it names.
fn use_tickets(run: &Run, shared: &Mutex<Shared>) {
    let list = run.header("primrosepin-helpers").unwrap_or_default();
    let names = list.split(',').filter_map(|entry| Some(entry.trim().split_once('/')?.1));
    let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    for name in names {
        for ticket in shared.tickets.iter_mut().filter(|ticket| ticket.id == name) {
            ticket.used_at.get_or_insert_with(Instant::now);
        }
    }
}
