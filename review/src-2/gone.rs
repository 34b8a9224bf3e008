//! GONE: requests whose consumers have left while a busy worker has not read them yet.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::worker::Worker;
use crate::{Verdict, http, record};

/// Requests that the worker runs at the same time.
const SLOTS: usize = 6;

/// Requests that wait at the worker; it rejects more.
const QUEUE: usize = 24;

/// Work of the worker for one order, once it has read it.
const WORK: Duration = Duration::from_millis(2_500);

/// Length of the body of an order, bytes. The desired state allows four times as much.
const BODY_BYTES: usize = 1024 * 1024;

/// Consumers of each entry process that order at the same moment. Two of three leave.
const CONSUMERS: usize = 2;

/// Time by which other consumers order first, one for each slot of the worker. They wait for their answers, so half of
/// all consumers leave.
const LEAD: Duration = Duration::from_millis(300);

/// Time after which the consumers leave.
const PATIENCE: Duration = Duration::from_millis(500);

/// Time limit of the consumers and of the route, ms.
const TIMEOUT_MS: u64 = 10_000;

/// Time after the close from which the rule counts requests.
const COUNTED_AFTER: Duration = Duration::from_millis(500);

/// Requests that the rule's "a few" allows.
const A_FEW: usize = 5;

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"place-order\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/order/\",\"route_type\":\"unsafe\",\"timeout_ms\":{TIMEOUT_MS},\"goal_ms\":5000,\
         \"priority\":1,\"service\":\"orders\",\"max_attempts\":1,\"public\":true}}],\
         \"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Slots of the worker.
#[derive(Default)]
struct Slots {
    /// Requests that run, and requests that wait.
    used: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot; returns whether there is room to wait.
    fn take(&self) -> bool {
        let mut used = self.used.lock().unwrap();
        if used.1 >= QUEUE {
            return false;
        }
        used.1 += 1;
        while used.0 >= SLOTS {
            used = self.freed.wait(used).unwrap();
        }
        used.1 -= 1;
        used.0 += 1;
        true
    }

    fn release(&self) {
        self.used.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// What the worker did with one order.
struct Run {
    id: String,
    /// When it began to read the order from an open channel.
    reached: Instant,
    /// When it had read the whole order, and how it ended.
    read: Option<Instant>,
    ended: &'static str,
}

/// Returns whether the peer has closed the channel after the bytes that it sent.
fn is_closed(stream: &TcpStream) -> bool {
    // Blocking reads follow, so the mode is restored; both calls fail only on a closed socket.
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// When a consumer sent its order and when it closed its channel.
struct Left {
    id: String,
    closed: Option<Instant>,
    status: Option<u16>,
}

fn consume(to: SocketAddr, id: String, start: &Barrier, leaves: bool) -> Left {
    let head = format!(
        "POST /order/book HTTP/1.1\r\nHost: desk.example\r\nPrimrosepin-Request-Id: {id}\r\n\
         Primrosepin-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let stream = TcpStream::connect(to);
    start.wait();
    let mut left = Left {
        id,
        closed: None,
        status: None,
    };
    let Ok(mut stream) = stream else {
        return left;
    };
    let patience = if leaves {
        PATIENCE
    } else {
        Duration::from_millis(TIMEOUT_MS)
    };
    // Fails only for a zero duration.
    let _ = stream.set_read_timeout(Some(patience));
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&vec![b'x'; BODY_BYTES]));
    if sent.is_ok() {
        let answer = http::read_head(&mut stream);
        left.status = answer.ok().flatten().map(|answer| answer.status());
    }
    if left.status.is_none() {
        left.closed = Some(Instant::now());
        // Fails if the entry process has closed the channel.
        let _ = stream.shutdown(Shutdown::Both);
    }
    left
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let deployment = Deployment::start(&zones, &[0, 0, 0, 1, 1, 1, 2, 2, 2]);
    deployment.publish(&document());
    let slots = Arc::<Slots>::default();
    let runs = Arc::<Mutex<Vec<Run>>>::default();
    let recorded = Arc::clone(&runs);
    let worker = Worker::start_with(
        "i-order",
        "orders",
        zones[0],
        deployment.worker_ip(1),
        &deployment.control_addresses(),
        Box::new(move |worker, stream| {
            // A request is read once it has a slot.
            let has_slot = slots.take();
            let Some(mut request) = http::read_head(stream)? else {
                if has_slot {
                    slots.release();
                }
                return Ok(false);
            };
            if !has_slot {
                http::read_body(stream, &mut request)?;
                let status = "503 Service Unavailable\r\nPrimrosepin-Not-Executed: 1";
                worker.answer(&request, stream, status, b"")?;
                return Ok(true);
            }
            let mut run = Run {
                id: request
                    .field("primrosepin-request-id")
                    .unwrap_or_default()
                    .to_owned(),
                reached: Instant::now(),
                read: None,
                ended: "its channel closed before it was read",
            };
            let mut rest = vec![0; request.content_length() - request.body.len()];
            let is_open = !is_closed(stream);
            if stream.read_exact(&mut rest).is_ok() {
                run.read = Some(Instant::now());
                run.ended = "dropped, since its channel closed";
                let end = Instant::now() + WORK;
                while !is_closed(stream) {
                    if Instant::now() >= end {
                        run.ended = "ran to its end";
                        worker.answer(&request, stream, "200 OK", &[b'x'; 800])?;
                        break;
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            }
            slots.release();
            let is_ended = run.ended == "ran to its end";
            if is_open {
                recorded.lock().unwrap().push(run);
            }
            Ok(is_ended)
        }),
    );
    deployment.wait_until_ready();
    // Until the machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let mut consumers = Vec::new();
    for (vm, process) in deployment.entry.iter().enumerate().take(SLOTS) {
        let to = process.caller_address();
        let id = format!("first-{vm}");
        consumers.push(thread::spawn(move || {
            consume(to, id, &Barrier::new(1), false)
        }));
    }
    thread::sleep(LEAD);
    let start = Arc::new(Barrier::new(CONSUMERS * deployment.entry.len()));
    for (vm, process) in deployment.entry.iter().enumerate() {
        for number in 0..CONSUMERS {
            let (to, start) = (process.caller_address(), Arc::clone(&start));
            let id = format!("order-{vm}-{number}");
            let leaves = trouble && (vm * CONSUMERS + number) % 3 != 2;
            consumers.push(thread::spawn(move || consume(to, id, &start, leaves)));
        }
    }
    let left: Vec<Left> = consumers
        .into_iter()
        .map(|consumer| {
            consumer
                .join()
                .unwrap_or_else(|_| crate::give_up("a consumer failed"))
        })
        .collect();
    record::write("all consumers have their answers or have left");
    thread::sleep(Duration::from_secs(8));
    let mut late = 0;
    for run in runs.lock().unwrap().iter() {
        let closed = left
            .iter()
            .find(|left| left.id == run.id)
            .and_then(|left| left.closed);
        let after = closed.map(|at| run.reached.saturating_duration_since(at));
        let is_late = after.is_some_and(|after| after > COUNTED_AFTER);
        late += usize::from(is_late);
        record::write(&format!(
            "{}: {}, {}{}",
            run.id,
            after.map_or("its consumer waited".to_owned(), |after| format!(
                "reached the worker {:.2} s after its consumer had left",
                after.as_secs_f64()
            )),
            run.ended,
            if is_late { ": LATE" } else { "" },
        ));
    }
    let statuses: Vec<u16> = left.iter().filter_map(|left| left.status).collect();
    record::write(&format!(
        "{} orders, answers {statuses:?}; {late} reached worker {} more than 0.5 s after their consumer had left",
        left.len(),
        worker.id,
    ));
    deployment.stop();
    if late > A_FEW {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
