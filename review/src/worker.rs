//! A stand-in worker: it reports its state, and serves and records requests.

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::record::{note, now};

/// Interval of the status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time within which the confirmation of a status report must arrive.
const REPORT_LIMIT: Duration = Duration::from_secs(1);

/// Number of events in a stream.
const EVENTS: u64 = 10;

/// A request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Duration,
}

/// How the worker handles one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handling {
    /// Works for this time, then answers.
    Answer(Duration),
    /// Works for this time, then closes the channel without an answer.
    Close(Duration),
}

struct State {
    arrivals: Vec<Arrival>,
    /// Handling of requests by their ids; others are answered after the usual time.
    handling: Vec<(String, Handling)>,
    connections: Vec<TcpStream>,
    /// Control addresses, the one in use first.
    control: Vec<SocketAddr>,
}

struct Shared {
    name: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    born_ms: u128,
    sequence: AtomicU64,
    state: Mutex<State>,
    /// Whether it sends its regular reports as `ready`.
    reports: AtomicBool,
    stopped: AtomicBool,
}

#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    /// Starts a worker that reports to the first of these control addresses, and to the next one once a report
    /// fails there.
    pub fn start(
        name: &str,
        service: &'static str,
        zone: &'static str,
        ip: Ipv4Addr,
        control: Vec<SocketAddr>,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let worker = Self(Arc::new(Shared {
            name: name.to_owned(),
            service,
            zone,
            address,
            born_ms: born.map_or(0, |time| time.as_millis()),
            sequence: AtomicU64::new(0),
            state: Mutex::new(State {
                arrivals: Vec::new(),
                handling: Vec::new(),
                connections: Vec::new(),
                control,
            }),
            reports: AtomicBool::new(true),
            stopped: AtomicBool::new(false),
        }));
        note(&format!("worker {name} ({service}, {zone}) started at {address}"));
        let serving = worker.clone();
        std::thread::spawn(move || serving.accept(&listener));
        let reporting = worker.clone();
        std::thread::spawn(move || {
            while !reporting.0.stopped.load(Ordering::Relaxed) {
                if reporting.0.reports.load(Ordering::Relaxed) {
                    reporting.report("ready");
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    pub fn name(&self) -> &str {
        &self.0.name
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that reached the worker.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Sets how the next request with this id is handled.
    pub fn handle(&self, id: &str, handling: Handling) {
        self.state().handling.push((id.to_owned(), handling));
    }

    /// Sends `call` to the control daemon in use, and to the others in turn until one confirms it within a
    /// second. Returns the time of the confirmation and who gave it.
    fn send(&self, method: &str, body: &[u8], quiet: bool) -> Option<(Duration, SocketAddr)> {
        let path = format!("/instances/{}", self.0.name);
        for _ in 0..3 {
            let to = self.state().control[0];
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(to, method, &path, &headers, body, REPORT_LIMIT);
            match answer {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let at = now();
                    if !quiet {
                        note(&format!("worker {}: {method} confirmed by {to}", self.0.name));
                    }
                    return Some((at, to));
                }
                other => {
                    let cause = match other {
                        Ok(answer) => answer.first_line,
                        Err(error) => error.to_string(),
                    };
                    note(&format!("worker {}: {method} not confirmed by {to}: {cause}", self.0.name));
                    self.state().control.rotate_left(1);
                }
            }
        }
        None
    }

    fn report(&self, state: &str) -> Option<(Duration, SocketAddr)> {
        let worker = &self.0;
        let sequence = worker.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"mixed\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            worker.service, worker.address, worker.zone, worker.born_ms
        );
        self.send("PUT", body.as_bytes(), state == "ready" && sequence > 1)
    }

    /// Waits until the next regular report was sent.
    pub fn wait_for_report(&self) {
        let before = self.0.sequence.load(Ordering::Relaxed);
        while self.0.sequence.load(Ordering::Relaxed) == before {
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(Duration::from_millis(100));
    }

    /// Reports `draining`; returns when it was confirmed.
    pub fn drain(&self) -> Option<Duration> {
        self.0.reports.store(false, Ordering::Relaxed);
        note(&format!("worker {} reports that it is draining", self.0.name));
        self.report("draining").map(|(at, _)| at)
    }

    /// Says that it leaves; returns when it was confirmed.
    pub fn leave(&self) -> Option<Duration> {
        self.0.reports.store(false, Ordering::Relaxed);
        note(&format!("worker {} sends DELETE", self.0.name));
        self.send("DELETE", b"", false).map(|(at, _)| at)
    }

    /// Ends: it takes no more channels and closes those that are open.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
        // Unblocks `accept`.
        drop(TcpStream::connect(self.0.address));
        for connection in self.state().connections.drain(..) {
            // Fails if it is closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        note(&format!("worker {} ended", self.0.name));
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.0.stopped.load(Ordering::Relaxed) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.state().connections.push(copy);
            }
            let worker = self.clone();
            std::thread::spawn(move || worker.serve(stream));
        }
    }

    /// Serves the requests of a connection, one at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Ok(message) = http::read(&mut stream, &mut bytes) {
            if !message.complete || !self.answer(&mut stream, &message) {
                break;
            }
        }
        // Another handle of the connection is open. Fails if it is closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a message; returns whether the channel stays open.
    fn answer(&self, stream: &mut TcpStream, message: &Message) -> bool {
        if message.path() == "/order" {
            return answer_order(stream);
        }
        let id = message
            .header("primrosepin-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = format!("Primrosepin-Request-Id: {id}\r\n");
        let expected = message.header("primrosepin-expect-instance");
        if expected.is_some_and(|expected| expected != self.0.name) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{echo}Primrosepin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let at = note(&format!(
            "worker {}: request {id} ({}) arrives, resumes after {}",
            self.0.name,
            message.path(),
            message.header("last-event-id").unwrap_or("-")
        ));
        let mut state = self.state();
        state.arrivals.push(Arrival { id: id.clone(), at });
        let planned = state.handling.iter().position(|(other, _)| *other == id);
        let handling = planned.map(|index| state.handling.remove(index).1);
        drop(state);
        // An order takes up to 220 ms of work, the reading of a prompt's end 20 ms.
        let usual = if self.0.service == "kolo-orders" { 150 } else { 20 };
        let handling = handling.unwrap_or(Handling::Answer(Duration::from_millis(usual)));
        let until = Instant::now()
            + match handling {
                Handling::Answer(time) | Handling::Close(time) => time,
            };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        if let Handling::Close(_) = handling {
            note(&format!("worker {}: closes the channel of request {id}", self.0.name));
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Primrosepin-Server-Seal: seal-{}-{id}\r\nPrimrosepin-Server-Load: 1,0,16\r\n\
             Keep-Alive: timeout=15\r\n",
            self.0.name
        );
        if self.0.service == "kolo-orders" {
            let body = format!("answer of {} to {id}", self.0.name);
            let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let first = message
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
            + 1;
        let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..=EVENTS {
            let text = format!("id: {event}\ndata: {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Confirms an order that reserves or releases memory.
fn answer_order(stream: &mut TcpStream) -> bool {
    let body = "{\"free_slots\":15}";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).is_ok()
}

/// A path from a worker to a control daemon that may lose the first packet of new channels.
pub struct Path {
    pub address: SocketAddr,
    loses: Arc<AtomicBool>,
}

impl Path {
    /// Forwards channels from a free port of `ip` to `to`.
    pub fn start(ip: Ipv4Addr, to: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let loses = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&loses);
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if flag.swap(false, Ordering::Relaxed) {
                    note("path: the first packet of a channel to the control daemon is lost");
                    std::thread::spawn(move || {
                        // It would be sent again after a second; the worker gives up at that time.
                        std::thread::sleep(Duration::from_millis(1_200));
                        drop(from);
                    });
                    continue;
                }
                std::thread::spawn(move || {
                    let Ok(server) = TcpStream::connect(to) else {
                        return;
                    };
                    let (Ok(mut server_reader), Ok(mut caller_writer)) =
                        (server.try_clone(), from.try_clone())
                    else {
                        return;
                    };
                    std::thread::spawn(move || {
                        let _ = std::io::copy(&mut server_reader, &mut caller_writer);
                        let _ = caller_writer.shutdown(Shutdown::Both);
                    });
                    let (mut from, mut server) = (from, server);
                    let _ = std::io::copy(&mut from, &mut server);
                    let _ = server.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self { address, loses })
    }

    /// Loses the first packet of the next channel.
    pub fn lose_next(&self) {
        self.loses.store(true, Ordering::Relaxed);
    }
}
