//! A worker: it announces itself, checks `Primrosepin-Expect-Instance`, and runs requests as its behaviour says.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Failure;
use crate::http::call;
use crate::record::Record;

/// `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached the worker with its own id in `Primrosepin-Expect-Instance`.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub request_id: String,
    pub at: Instant,
    pub has_run: bool,
    pub was_cut: bool,
}

/// What a worker does with a request.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    /// Time that the run takes; none if the request is turned away without running.
    pub run: Option<Duration>,
    pub headers: Vec<(&'static str, String)>,
}

/// Decides on each request, by its number among the worker's arrivals.
pub type Behaviour = Box<dyn Fn(u64) -> Reply + Send + Sync>;

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Unix time until which the worker is cold, ms.
    cold_until: AtomicU64,
    stopped: AtomicBool,
    control: Mutex<Vec<SocketAddr>>,
    behaviour: Behaviour,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    /// Time that the worker lets pass between the head of a request and its body.
    body_delay: Mutex<Duration>,
    record: Record,
}

/// A worker on an address of its own.
pub struct Worker(Arc<Shared>);

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: IpAddr,
        control: Vec<SocketAddr>,
        behaviour: Behaviour,
        record: &Record,
    ) -> Result<Self, Failure> {
        let listener = TcpListener::bind((ip, 8080))?;
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            cold_until: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            control: Mutex::new(control),
            behaviour,
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            body_delay: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(number as u64, stream));
            }
        });
        let announcing = Arc::clone(&shared);
        thread::spawn(move || {
            while !announcing.stopped.load(Ordering::SeqCst) {
                announcing.announce();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self(shared))
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    /// Makes the worker cold for a time; returns whether its status report was confirmed.
    pub fn set_cold(&self, time: Duration) -> bool {
        let until = unix_ms() + time.as_millis() as u64;
        self.0.cold_until.store(until, Ordering::SeqCst);
        self.0.announce()
    }

    /// Makes the worker read the bodies of requests this long after their heads.
    pub fn set_body_delay(&self, delay: Duration) {
        *self.0.body_delay.lock().unwrap() = delay;
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Returns the body of this worker's next status report.
    pub fn report(&self) -> String {
        self.0.report(self.0.sequence.load(Ordering::SeqCst) + 1)
    }

    /// Reports that the worker drains; returns when that was confirmed.
    pub fn drain(&self, limit: Duration) -> Option<Instant> {
        self.0.draining.store(true, Ordering::SeqCst);
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.0.announce() {
                return Some(Instant::now());
            }
        }
        None
    }

    /// Ends the worker: its listener and all its connections are closed, and what runs is cut.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.0.address);
        for stream in self.0.connections.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Takes the worker off the list of workers.
    pub fn withdraw(&self) -> bool {
        let control = self.0.control.lock().unwrap().clone();
        let path = format!("/instances/{}", self.0.id);
        control.into_iter().any(|to| {
            call(to, "DELETE", &path, &[], b"", Duration::from_secs(1))
                .is_ok_and(|answer| answer.status < 300)
        })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn report(&self, sequence: u64) -> String {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let cold_left = self
            .cold_until
            .load(Ordering::SeqCst)
            .saturating_sub(unix_ms());
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"cold_left_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, cold_left, self.born
        )
    }

    /// Sends a status report to control machines in turn until one confirms it; returns whether one did.
    fn announce(&self) -> bool {
        let control = self.control.lock().unwrap().clone();
        let path = format!("/instances/{}", self.id);
        for to in control {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = self.report(sequence);
            let headers = [("Content-Type", "application/json")];
            let answer = call(
                to,
                "PUT",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status < 300) {
                return true;
            }
        }
        false
    }

    fn serve(&self, number: u64, stream: TcpStream) {
        let (Ok(peer), Ok(kept)) = (stream.peer_addr(), stream.try_clone()) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        self.connections.lock().unwrap().insert(number, kept);
        let mut reader = BufReader::new(stream);
        while !self.stopped.load(Ordering::SeqCst) {
            match self.serve_request(&mut reader, peer.ip()) {
                Some(true) => {}
                _ => break,
            }
        }
        let _ = reader.get_ref().shutdown(std::net::Shutdown::Both);
        self.connections.lock().unwrap().remove(&number);
    }

    /// Serves one request; returns whether the connection goes on.
    fn serve_request(&self, reader: &mut BufReader<TcpStream>, from: IpAddr) -> Option<bool> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let path = line.split(' ').nth(1)?.to_owned();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line.trim_end().is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let delay = *self.body_delay.lock().unwrap();
        thread::sleep(delay);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let request_id = header("primrosepin-request-id");
        if header("primrosepin-expect-instance") != self.id {
            self.answer(
                reader,
                421,
                &request_id,
                &[("Primrosepin-Not-Executed", "1".into())],
                b"",
            )?;
            return Some(true);
        }
        let mut arrivals = self.arrivals.lock().unwrap();
        let index = arrivals.len();
        let reply = (self.behaviour)(index as u64);
        arrivals.push(Arrival {
            request_id: request_id.clone(),
            at: Instant::now(),
            has_run: reply.run.is_some(),
            was_cut: false,
        });
        drop(arrivals);
        let ran = if reply.run.is_some() {
            "runs it"
        } else {
            "turns it away, not run"
        };
        self.record.line(&format!(
            "worker {}: {path} {request_id} arrives from {from}; {ran}, answers {}",
            self.id, reply.status
        ));
        thread::sleep(reply.run.unwrap_or_default());
        let body = format!("{} {request_id} done", self.id);
        let sent = self.answer(
            reader,
            reply.status,
            &request_id,
            &reply.headers,
            body.as_bytes(),
        );
        if sent.is_none() || self.stopped.load(Ordering::SeqCst) {
            self.arrivals.lock().unwrap()[index].was_cut = true;
            return None;
        }
        Some(true)
    }

    fn answer(
        &self,
        reader: &mut BufReader<TcpStream>,
        status: u16,
        request_id: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
    ) -> Option<()> {
        let mut text = format!(
            "HTTP/1.1 {status} Status\r\nPrimrosepin-Request-Id: {request_id}\r\n\
             Primrosepin-Server-Seal: {}.{status}\r\nContent-Length: {}\r\n",
            self.id,
            body.len()
        );
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        reader.get_mut().write_all(&bytes).ok()
    }
}
