//! LOST: requests that an entry process takes late in its planned stop.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, ORDERS, desired_state, order_route};
use crate::worker::Worker;
use crate::{Verdict, http, record};

/// Work of the worker for one order. The route allows ten seconds.
const WORK: Duration = Duration::from_millis(2_500);

/// Time limit of the consumers and of the route, ms.
const TIMEOUT_MS: u64 = 10_000;

/// Pause between the SIGTERM of two machines.
const GAP: Duration = Duration::from_millis(1_300);

/// Time from SIGTERM to SIGKILL, as the settings say.
const GRACE: Duration = Duration::from_secs(8);

/// Time after the SIGTERM up to which the rule excuses a request whose worker is still at work at the end.
const EXCUSED_FOR: Duration = Duration::from_secs(3);

/// Number of consumers, and the time between two of them.
const CONSUMERS: usize = 48;
const ARRIVAL_GAP: Duration = Duration::from_millis(250);

const SIGTERM: i32 = 15;

/// The provider's choice of entry processes in one zone.
struct Provider {
    entries: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    /// Misses in a row of each process.
    misses: Mutex<Vec<u32>>,
}

impl Provider {
    /// Asks all processes whether they are ready, once per second.
    fn watch(&self) {
        loop {
            for (number, to) in self.ready.iter().enumerate() {
                let timeout = Duration::from_millis(900);
                let answer = http::call(*to, "GET", "/ready", b"", timeout);
                let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
                let mut misses = self.misses.lock().unwrap();
                misses[number] = if is_ready { 0 } else { misses[number] + 1 };
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Returns the process that gets the next new channel.
    fn choose(&self, consumer: usize) -> SocketAddr {
        let misses = self.misses.lock().unwrap();
        let all: Vec<usize> = (0..misses.len()).collect();
        let rotation: Vec<usize> = all.iter().copied().filter(|n| misses[*n] < 2).collect();
        let used = if rotation.len() * 2 < all.len() {
            all
        } else {
            rotation
        };
        self.entries[used[consumer % used.len()]]
    }
}

/// What a consumer saw.
struct Attempt {
    id: String,
    to: SocketAddr,
    sent: Instant,
    ended: Instant,
    /// Status of a complete answer.
    status: Option<u16>,
}

fn order(to: SocketAddr, id: String) -> Option<Attempt> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let timeout = Duration::from_millis(TIMEOUT_MS + 1_000);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = http::post("/order/book", &id, TIMEOUT_MS, "order");
    let sent = Instant::now();
    let answer = http::exchange(&mut stream, &request);
    Some(Attempt {
        id,
        to,
        sent,
        ended: Instant::now(),
        status: answer.ok().map(|answer| answer.status()),
    })
}

pub fn run(trouble: bool) -> Verdict {
    let zones = ["trnava-a", "nitra-b", "senec-c"];
    let deployment = Deployment::start(&zones, &[0, 0, 0, 1, 1, 1, 2, 2, 2]);
    deployment.publish(&desired_state(1, &order_route(TIMEOUT_MS), ORDERS, ""));
    let control = deployment.control_addresses();
    let workers: Vec<Arc<Worker>> = (1..=3_u8)
        .map(|number| {
            Worker::start(
                &format!("i-order-{number}"),
                "orders",
                zones[usize::from(number) - 1],
                deployment.worker_ip(number),
                &control,
                Box::new(|worker, request, stream| {
                    http::read_body(stream, request)?;
                    thread::sleep(WORK);
                    worker.answer(request, stream, "200 OK", &[b'x'; 800])
                }),
            )
        })
        .collect();
    deployment.wait_until_ready();
    let provider = Arc::new(Provider {
        entries: deployment.caller_addresses()[..3].to_vec(),
        ready: deployment.entry[..3]
            .iter()
            .map(|p| p.ready_address())
            .collect(),
        misses: Mutex::new(vec![0; 3]),
    });
    let watching = Arc::clone(&provider);
    thread::spawn(move || watching.watch());
    thread::sleep(Duration::from_secs(1));
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let sending = Arc::clone(&attempts);
    let sender = thread::spawn(move || {
        let mut consumers = Vec::new();
        for number in 0..CONSUMERS {
            let to = provider.choose(number);
            let attempts = Arc::clone(&sending);
            consumers.push(thread::spawn(move || {
                let attempt = order(to, format!("order-{number}"));
                attempts.lock().unwrap().extend(attempt);
            }));
            thread::sleep(ARRIVAL_GAP);
        }
        for consumer in consumers {
            // A consumer ends by itself.
            let _ = consumer.join();
        }
    });
    thread::sleep(Duration::from_secs(1));
    let mut stopped: Vec<(SocketAddr, Instant)> = Vec::new();
    for process in &deployment.entry[..2] {
        if trouble {
            process.signal(SIGTERM);
            record::write(&format!("{} gets SIGTERM", process.name));
            stopped.push((process.caller_address(), Instant::now()));
        }
        thread::sleep(GAP);
    }
    // The consumers' time limit ends all requests.
    let _ = sender.join();
    let mut attempts = std::mem::take(&mut *attempts.lock().unwrap());
    attempts.sort_by_key(|attempt| attempt.sent);
    let mut lost = 0;
    for attempt in &attempts {
        let ran = workers
            .iter()
            .any(|worker| worker.arrivals().iter().any(|a| a.request_id == attempt.id));
        let stop = stopped
            .iter()
            .find(|(to, _)| *to == attempt.to)
            .map(|(_, at)| *at);
        let after = stop.and_then(|at| attempt.sent.checked_duration_since(at));
        let took = attempt.ended.duration_since(attempt.sent);
        let is_counted = stop.is_some_and(|at| {
            attempt.ended > at
                && attempt.ended < at + GRACE + Duration::from_secs(1)
                && after.is_some_and(|after| after > EXCUSED_FOR)
        });
        let is_lost = is_counted
            && ran
            && attempt.status.is_none()
            && took < Duration::from_millis(TIMEOUT_MS);
        lost += usize::from(is_lost);
        record::write(&format!(
            "{} sent to {} {}, reached a worker: {ran}, ended after {:.2} s with {}{}",
            attempt.id,
            attempt.to,
            after.map_or("before any SIGTERM to it".to_owned(), |after| format!(
                "{:.2} s after its SIGTERM",
                after.as_secs_f64()
            )),
            took.as_secs_f64(),
            attempt
                .status
                .map_or("a closed channel".to_owned(), |status| status.to_string()),
            if is_lost { ": LOST" } else { "" },
        ));
    }
    record::write(&format!(
        "{} requests; passed on to a worker later than 3 s after the SIGTERM and closed without an answer: {lost}",
        attempts.len()
    ));
    deployment.stop();
    Verdict::new(lost > 0)
}
