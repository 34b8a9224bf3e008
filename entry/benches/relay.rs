//! Cost of relaying tokens: CPU time of the entry thread and latency added to each token.
//!
//! A fake engine sends events at a fixed rate on many streams. Each event contains the time at
//! which it was written, from which callers compute the delay of each token: on direct connections,
//! through a plain byte copier as the lower bound for any relay, and through an entry process. CPU
//! times are read from `/proc`.
//!
//! `cargo bench -p primrosepin-entry --bench relay -- [STREAMS] [TOKENS] [INTERVAL_MS] [PROMPT_BYTES]`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::sleep;
use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[path = "../tests/support/mod.rs"]
mod support;

/// Number of threads that read responses.
const CALLER_THREADS: usize = 3;

#[derive(Debug, Clone, Copy)]
struct Load {
    streams: usize,
    tokens: u32,
    interval: Duration,
    prompt_bytes: usize,
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let number = |index: usize, default| numbers.get(index).copied().unwrap_or(default);
    let load = Load {
        streams: number(0, 1_000) as usize,
        tokens: number(1, 100) as u32,
        interval: Duration::from_millis(number(2, 20)),
        prompt_bytes: number(3, 1) as usize,
    };
    let offered = load.streams as f64 / load.interval.as_secs_f64();
    println!(
        "{} streams of {} tokens, one each {} ms, prompts of {} bytes: {offered:.0} tokens/s",
        load.streams,
        load.tokens,
        load.interval.as_millis(),
        load.prompt_bytes
    );
    let engine = start_engine(load);
    report("direct", &measure(load, engine), None);
    let copier = start_copier(engine);
    let before = cpu_time("copier");
    let run = measure(load, copier);
    report(
        "copier",
        &run,
        Some(cpu_time("copier").saturating_sub(before)),
    );
    actix_rt::System::new().block_on(async {
        let mut settings = support::settings();
        settings.limits.connections = 100_000;
        let server = support::start_entry(settings).await;
        let mut config = support::config();
        config.version = 2;
        config.inventory.organisations[0].max_running = 1_000_000;
        server.configure(Arc::new(config));
        announce(engine, &server).await;
        let callers = server.addresses().callers;
        let before = cpu_time("entry-e1");
        let start = Instant::now();
        let run = actix_rt::task::spawn_blocking(move || measure(load, callers))
            .await
            .unwrap();
        let cpu_spent = cpu_time("entry-e1").saturating_sub(before);
        let share = cpu_spent.as_secs_f64() / start.elapsed().as_secs_f64();
        report("entry", &run, Some(cpu_spent));
        println!("entry thread: {:.1} % of a core", share * 100.0);
        server.stop().await.unwrap();
    });
}

fn report(name: &str, run: &Run, cpu_spent: Option<Duration>) {
    let at = |percent| run.delay_us.value_at_quantile(percent) as f64 / 1_000.0;
    println!(
        "{name}: {} tokens, {} complete responses; delay p50 {:.3} ms, p95 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
        run.tokens,
        run.complete,
        at(0.5),
        at(0.95),
        at(0.99),
        at(1.0)
    );
    let first = |percent| run.first_us.value_at_quantile(percent) as f64 / 1_000.0;
    println!(
        "{name}: first token p50 {:.3} ms, p95 {:.3} ms",
        first(0.5),
        first(0.95)
    );
    if let Some(cpu_spent) = cpu_spent {
        let rate = run.tokens as f64 / cpu_spent.as_secs_f64();
        println!(
            "{name}: {:.2} us of CPU time per token, {rate:.0} tokens/s per core",
            cpu_spent.as_secs_f64() * 1e6 / run.tokens as f64
        );
    }
}

/// Returns the CPU time of all threads with the given name.
fn cpu_time(thread: &str) -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let thread_times = tasks.filter_map(|task| {
        let path = task.ok()?.path();
        let name = std::fs::read_to_string(path.join("comm")).ok()?;
        let times = std::fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos: u64 = times.split(' ').next()?.parse().ok()?;
        (name.trim() == thread).then_some(nanos)
    });
    Duration::from_nanos(thread_times.sum())
}

fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64
}

/// Starts a fake engine on its own thread.
fn start_engine(load: Load) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                stream.set_nodelay(true).unwrap();
                actix_rt::spawn(serve(stream, load));
            }
        });
    });
    receiver.recv().unwrap()
}

/// Starts a thread that copies bytes between callers and the engine with the same runtime, as the
/// lower bound for the cost of any socket-based relay.
fn start_copier(engine: SocketAddr) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    let copy = move || {
        actix_rt::Runtime::new().unwrap().block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            loop {
                let (mut caller, _) = listener.accept().await.unwrap();
                actix_rt::spawn(async move {
                    let mut engine = TcpStream::connect(engine).await.unwrap();
                    caller.set_nodelay(true).unwrap();
                    drop(tokio::io::copy_bidirectional(&mut caller, &mut engine).await);
                });
            }
        });
    };
    let thread = std::thread::Builder::new().name("copier".into());
    thread.spawn(copy).unwrap();
    receiver.recv().unwrap()
}

async fn serve(mut stream: TcpStream, load: Load) {
    while let Some(request) = support::read_request(&mut stream, 0).await {
        if request.path != "/v1/completions" {
            support::write_json(&mut stream, &request, 200, &serde_json::json!({})).await;
            continue;
        }
        let attempt = request
            .headers
            .get("x-primrosepin-attempt")
            .cloned()
            .unwrap_or_default();
        support::write_stream_head(&mut stream, &attempt).await;
        // Offset the streams within the interval, like engines that are not synchronised.
        let start = Instant::now()
            + load
                .interval
                .mul_f64(f64::from(now_us() as u32 % 97) / 97.0);
        for index in 0..load.tokens {
            let due = start + load.interval * index;
            sleep(due.saturating_duration_since(Instant::now())).await;
            let event = format!(
                "id: {attempt}:{index}\ndata: {{\"id\":\"{attempt}\",\"object\":\"text_completion\",\
                 \"model\":\"m\",\"at\":{},\"choices\":[{{\"index\":0,\"text\":\"0f0f0f0f.{index} \",\
                 \"finish_reason\":null}}]}}\n\n",
                now_us()
            );
            support::write_chunk(&mut stream, &event).await;
        }
        support::write_stream_end(&mut stream).await;
    }
}

async fn announce(engine: SocketAddr, server: &primrosepin_entry::Server) {
    let url = format!("http://{}/v1/targets/announce", server.addresses().targets);
    let announce = move |seq: u64| {
        let body = serde_json::json!({
            "name": "t1", "zone": "z", "service": "lm", "kind": "engine", "address": engine,
            "incarnation": 1, "seq": seq, "state": "warm", "models": [{"name": "m", "version": "1"}],
            "cold_budget": {"requests": 100_000, "tokens": 100_000_000},
            "max_running": 100_000, "kv_tokens": 1_000_000_000,
            "prefill_tokens_per_s": 1_000_000_000, "decode_tokens_per_s": 1_000,
        });
        let request = awc::Client::default()
            .post(&url)
            .bearer_auth(support::ANNOUNCE_KEY);
        request.send_json(&body)
    };
    assert_eq!(announce(1).await.unwrap().status(), 200);
    actix_rt::spawn(async move {
        for seq in 2.. {
            sleep(Duration::from_millis(500)).await;
            drop(announce(seq).await);
        }
    });
}

struct Run {
    delay_us: Histogram<u64>,
    /// Time from sending the request to its first token.
    first_us: Histogram<u64>,
    tokens: u64,
    complete: usize,
}

/// Opens all streams from several threads and reads them to the end.
fn measure(load: Load, address: SocketAddr) -> Run {
    let threads: Vec<_> = (0..CALLER_THREADS)
        .map(|thread| {
            let streams = (load.streams + thread) / CALLER_THREADS;
            std::thread::spawn(move || {
                actix_rt::Runtime::new().unwrap().block_on(async move {
                    let readers: Vec<_> = (0..streams)
                        .map(|_| actix_rt::spawn(read(load, address)))
                        .collect();
                    let mut run = Run {
                        delay_us: Histogram::new(3).unwrap(),
                        first_us: Histogram::new(3).unwrap(),
                        tokens: 0,
                        complete: 0,
                    };
                    for reader in readers {
                        let (first, delays, complete) = reader.await.unwrap();
                        run.first_us.record(first).unwrap();
                        for delay in delays {
                            run.tokens += 1;
                            run.delay_us.record(delay).unwrap();
                        }
                        run.complete += usize::from(complete);
                    }
                    run
                })
            })
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .reduce(|mut all, run| {
            all.delay_us.add(&run.delay_us).unwrap();
            all.first_us.add(&run.first_us).unwrap();
            all.tokens += run.tokens;
            all.complete += run.complete;
            all
        })
        .unwrap()
}

/// Reads one stream. Returns the time to its first token in microseconds, the delay of each token
/// and whether the stream was complete.
async fn read(load: Load, address: SocketAddr) -> (u64, Vec<u64>, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let prompt = "x".repeat(load.prompt_bytes);
    let body = format!(
        r#"{{"model":"m","stream":true,"max_tokens":100,"prompt_tokens":100,"prompt":"{prompt}"}}"#
    );
    let sent_at = Instant::now();
    let mut first = None;
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        support::CALLER_KEY,
        body.len()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut delays = Vec::new();
    let mut buffer = Vec::with_capacity(16 * 1024);
    loop {
        if stream.read_buf(&mut buffer).await.unwrap() == 0 {
            return (first.unwrap_or(0), delays, false);
        }
        let now = now_us();
        let mut rest = 0;
        while let Some(found) = memchr::memmem::find(&buffer[rest..], b"\"at\":") {
            let start = rest + found + 5;
            let Some(length) = memchr::memchr(b',', &buffer[start..]) else {
                break;
            };
            let text = std::str::from_utf8(&buffer[start..start + length]).unwrap();
            first.get_or_insert(sent_at.elapsed().as_micros() as u64);
            delays.push(now.saturating_sub(text.parse().unwrap()));
            rest = start + length;
        }
        buffer.drain(..rest);
        if memchr::memmem::find(&buffer, b"[DONE]").is_some() {
            return (first.unwrap_or(0), delays, true);
        }
        if memchr::memmem::find(&buffer, b"\"error\"").is_some() {
            eprintln!("{}", String::from_utf8_lossy(&buffer));
            return (first.unwrap_or(0), delays, false);
        }
    }
}
