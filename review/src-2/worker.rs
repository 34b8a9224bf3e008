//! A worker: announces itself and runs requests as the pages describe it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http::{self, Message};

/// Interval of status reports.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Slots that the worker announces.
const SLOTS: u32 = 16;

/// A request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub request_id: String,
    /// Address of the entry process that sent it.
    pub from: SocketAddr,
}

/// How a worker serves a request.
pub type Serve = dyn Fn(&Worker, &mut Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A running worker.
pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    pub address: SocketAddr,
    control: Vec<SocketAddr>,
    /// Requests that arrived and were not rejected with 421.
    arrivals: Mutex<Vec<Arrival>>,
    /// End of the cold start.
    cold_until: Mutex<Instant>,
    born_ms: u64,
    sequence: AtomicU64,
}

impl Worker {
    /// Starts a worker that announces itself, and reads requests as they arrive.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        control: &[SocketAddr],
        serve: Box<Serve>,
    ) -> Arc<Self> {
        let listener = match TcpListener::bind((ip, 0)) {
            Ok(listener) => listener,
            Err(error) => crate::give_up(&format!("a worker cannot listen: {error}")),
        };
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            control: control.to_vec(),
            arrivals: Mutex::default(),
            cold_until: Mutex::new(Instant::now()),
            born_ms: since_epoch.unwrap().as_millis() as u64,
            sequence: AtomicU64::new(0),
        });
        let announced = Arc::clone(&worker);
        thread::spawn(move || {
            for beat in 0.. {
                announced.announce(beat);
                thread::sleep(HEARTBEAT);
            }
        });
        let accepting = Arc::clone(&worker);
        let serve: Arc<Serve> = serve.into();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, serve) = (Arc::clone(&accepting), Arc::clone(&serve));
                // Ends with the connection.
                thread::spawn(move || drop(worker.run(stream, &*serve)));
            }
        });
        worker
    }

    /// Becomes cold for this time, and says so at once.
    pub fn become_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Instant::now() + time;
        self.announce(0);
    }

    /// Reports the state to the first control process that confirms it.
    fn announce(&self, beat: usize) {
        let cold = *self.cold_until.lock().unwrap();
        let cold_ms = cold.saturating_duration_since(Instant::now()).as_millis();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"cold_left_ms\":{cold_ms},\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        );
        let path = format!("/instances/{}", self.id);
        for turn in 0..self.control.len() {
            let to = self.control[(beat + turn) % self.control.len()];
            let answer = http::call(to, "PUT", &path, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
        }
    }

    fn run(&self, mut stream: TcpStream, serve: &Serve) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(mut request) = http::read_head(&mut stream)? {
            if request.field("primrosepin-expect-instance") != Some(&*self.id) {
                http::read_body(&mut stream, &mut request)?;
                self.answer(&request, &mut stream, "421 Misdirected Request", b"")?;
                continue;
            }
            let request_id = request.field("primrosepin-request-id").unwrap_or_default();
            let arrival = Arrival {
                at: Instant::now(),
                request_id: request_id.to_owned(),
                from: stream.peer_addr()?,
            };
            self.arrivals.lock().unwrap().push(arrival);
            serve(self, &mut request, &mut stream)?;
        }
        Ok(())
    }

    /// Sends an answer with its length, and the seal if it is a success.
    pub fn answer(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        status: &str,
        body: &[u8],
    ) -> io::Result<()> {
        use std::io::Write;
        let request_id = request.field("primrosepin-request-id").unwrap_or_default();
        let seal = if status.starts_with('2') {
            format!("Primrosepin-Server-Seal: seal-{request_id}\r\n")
        } else {
            String::new()
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nPrimrosepin-Request-Id: {request_id}\r\n{seal}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Returns the arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}
