//! Scenario `relay`: overhead of the path through an entry VM, compared with the direct path to an
//! engine.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::time::sleep;
use eyre::{WrapErr, eyre};
use futures_util::StreamExt;
use primrosepin_standin::engine;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::caller::client;
use crate::clock::now_us;
use crate::cluster::{Cluster, Spec};
use crate::report::{Collector, Report};
use crate::scenario::Options;
use crate::workload;

/// Number of calls on each path in the latency phase.
const LATENCY_CALLS: usize = 1_500;

/// Number of streams in the throughput phase.
const THROUGHPUT_STREAMS: usize = 128;

/// Number of streams held open on each path in the memory phase.
const OPEN_STREAMS: usize = 1_000;

/// Number of threads that read streams.
const READER_THREADS: usize = 3;

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Runs the scenario.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let spec = Spec {
        zones: vec!["trnava-a".into()],
        entries_per_zone: 1,
        controls: 0,
        engines: 4,
        plains: 0,
        engine: engine::Settings {
            // Each stream generates a token per millisecond, so that the relay is the bottleneck
            // and not the engine.
            decode_step_us: 1_000,
            decode_stream_us: 0,
            step_overhead_us: 0,
            prefill_tokens_per_s: 1_000_000_000,
            chunk_tokens: 1_000_000,
            kv_tokens: 100_000_000,
            max_running: 4_096,
            max_waiting: 8_192,
            ..engine::Settings::default()
        },
        ..Spec::fifteen_engines(options.policy, options.seed)
    };
    let cluster = Cluster::start(spec.clone()).await?;
    let engine = cluster.engines[0].engine.address();
    let entry = cluster.callers()[0];
    eprintln!("latency: {LATENCY_CALLS} calls on each path, in turn");
    let latency = latency(&cluster, engine, entry).await?;
    eprintln!(
        "throughput: {THROUGHPUT_STREAMS} streams for {} s",
        options.duration_s
    );
    let throughput = throughput(&cluster, entry, options.duration_s).await?;
    eprintln!("memory: {OPEN_STREAMS} open streams on each path");
    cluster.stop().await?;
    let memory = memory(Spec {
        engine: engine::Settings {
            // A token every 2 s, so that open streams use memory and hardly any processor time.
            decode_step_us: 2_000_000,
            ..spec.engine.clone()
        },
        ..spec
    })
    .await?;
    let extra = json!({ "latency": latency, "throughput": throughput, "memory": memory });
    Ok(Report::without_load("relay", options, Vec::new(), extra))
}

/// Sends one call and returns its time to the first byte of the body and to the end, milliseconds.
async fn call(
    http: &awc::Client,
    cluster: &Cluster,
    address: SocketAddr,
    number: usize,
    max_tokens: u64,
) -> eyre::Result<(f64, f64)> {
    let route = cluster.spec.route();
    let user = format!("relay-{number}-{}", address.port());
    let body = workload::body(&route.model, &user, 1_000, max_tokens, 4);
    let begin_us = now_us();
    let mut response = http
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(&route.keys[0])
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-primrosepin-attempt", user))
        .send_body(body)
        .await
        .map_err(|error| eyre!("{error}"))?;
    if !response.status().is_success() {
        return Err(eyre!(
            "idle deployment answered with status {}",
            response.status()
        ));
    }
    let mut first_us = 0;
    while let Some(part) = response.next().await {
        part.wrap_err("stream ended with an error")?;
        if first_us == 0 {
            first_us = now_us();
        }
    }
    let ms = |at_us: u64| at_us.saturating_sub(begin_us) as f64 / 1e3;
    Ok((ms(first_us), ms(now_us())))
}

async fn latency(cluster: &Cluster, engine: SocketAddr, entry: SocketAddr) -> eyre::Result<Value> {
    let http = client();
    let mut first = [Collector::new(1e3), Collector::new(1e3)];
    let mut total = [Collector::new(1e3), Collector::new(1e3)];
    for number in 0..LATENCY_CALLS {
        for (path, address) in [engine, entry].into_iter().enumerate() {
            let (first_ms, total_ms) = call(&http, cluster, address, number, 4).await?;
            first[path].add(first_ms);
            total[path].add(total_ms);
        }
    }
    let [direct, relayed] = first.each_ref().map(Collector::percentiles);
    Ok(json!({
        "direct_first_ms": direct, "relayed_first_ms": relayed,
        "added_first_ms": {
            "p50": relayed.p50 - direct.p50, "p95": relayed.p95 - direct.p95,
            "p99": relayed.p99 - direct.p99,
        },
        "direct_total_ms": total[0].percentiles(), "relayed_total_ms": total[1].percentiles(),
    }))
}

/// Returns the processor time of the threads whose name starts with a prefix, seconds.
fn processor_s(prefix: &str) -> eyre::Result<f64> {
    let mut ticks = 0.0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if !name.starts_with(prefix) {
            continue;
        }
        let stat = std::fs::read_to_string(path.join("stat"))?;
        // The thread name in parentheses may contain spaces; user and system time are fields 14 and
        // 15.
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let times = fields.split(' ').skip(11).take(2);
        ticks += times
            .filter_map(|time| time.parse::<f64>().ok())
            .sum::<f64>();
    }
    Ok(ticks / TICKS_PER_S)
}

/// Returns the resident memory of this process, bytes.
fn resident_bytes() -> eyre::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.ok_or_else(|| eyre!("no VmRSS in /proc/self/status"))? * 1024)
}

/// Opens streams on several threads. The receiver yields the number of events of each read.
fn open_streams(
    cluster: &Cluster,
    addresses: &[SocketAddr],
    streams: usize,
    max_tokens: u64,
    user: &str,
) -> (Vec<Arbiter>, mpsc::UnboundedReceiver<u64>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let route = cluster.spec.route();
    let arbiters = (0..READER_THREADS).map(|reader| {
        let arbiter = Arbiter::new();
        let (sender, route, user) = (sender.clone(), route.clone(), user.to_owned());
        let addresses = addresses.to_vec();
        arbiter.spawn_fn(move || {
            let http = client();
            for number in (reader..streams).step_by(READER_THREADS) {
                let (http, sender) = (http.clone(), sender.clone());
                let user = format!("{user}-{number}");
                let body = workload::body(&route.model, &user, 1_000, max_tokens, 4);
                let address = addresses[number % addresses.len()];
                let key = route.keys[number % route.keys.len()].clone();
                actix_rt::spawn(async move {
                    let sent = http
                        .post(format!("http://{address}/v1/chat/completions"))
                        .bearer_auth(key)
                        .insert_header(("content-type", "application/json"))
                        .insert_header(("x-primrosepin-attempt", user))
                        .send_body(body)
                        .await;
                    let Ok(mut response) = sent else {
                        return;
                    };
                    while let Some(Ok(bytes)) = response.next().await {
                        let events = bytes.windows(2).filter(|pair| pair == b"\n\n").count();
                        // Fails only after the end of the measurement.
                        let _ = sender.send(events as u64);
                    }
                });
            }
        });
        arbiter
    });
    (arbiters.collect(), receiver)
}

fn join(arbiters: Vec<Arbiter>) -> eyre::Result<()> {
    for arbiter in arbiters {
        arbiter.stop();
        arbiter
            .join()
            .map_err(|_panic| eyre!("load driver thread panicked"))?;
    }
    Ok(())
}

async fn throughput(cluster: &Cluster, entry: SocketAddr, duration_s: u64) -> eyre::Result<Value> {
    let tokens = (duration_s + 5) * 1_000;
    let (arbiters, mut events) =
        open_streams(cluster, &[entry], THROUGHPUT_STREAMS, tokens, "throughput");
    sleep(Duration::from_secs(2)).await;
    while events.try_recv().is_ok() {}
    let (begin_us, begin_processor_s) = (now_us(), processor_s("entry-")?);
    let mut count = 0;
    let until_us = begin_us + duration_s.saturating_sub(2).max(1) * 1_000_000;
    while now_us() < until_us {
        while let Ok(more) = events.try_recv() {
            count += more;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let wall_s = (now_us() - begin_us) as f64 / 1e6;
    let used_processor_s = processor_s("entry-")? - begin_processor_s;
    join(arbiters)?;
    sleep(Duration::from_secs(3)).await;
    Ok(json!({
        "streams": THROUGHPUT_STREAMS, "tokens": count, "tokens_per_s": (count as f64 / wall_s).round(),
        "entry_cores": (used_processor_s / wall_s * 1e3).round() / 1e3,
        "tokens_per_s_and_core": (count as f64 / used_processor_s.max(1e-9)).round(),
    }))
}

/// Holds streams open on the direct path, then as many through the entry VM. The difference between
/// the two increases is the memory of the entry VM.
async fn memory(spec: Spec) -> eyre::Result<Value> {
    let cluster = Cluster::start(spec).await?;
    let entry = cluster.callers()[0];
    let engines = || cluster.engines.iter().map(|target| &target.engine);
    let addresses: Vec<_> = engines().map(engine::Engine::address).collect();
    let mut resident = vec![resident_bytes()?];
    let mut opened = Vec::new();
    let mut readers = Vec::new();
    for (name, addresses) in [("direct", &addresses[..]), ("relayed", &[entry][..])] {
        let (arbiters, events) = open_streams(&cluster, addresses, OPEN_STREAMS, 1_000, name);
        // The direct streams stay open until the end, so that the relayed streams do not reuse
        // their memory.
        readers.extend(arbiters);
        for _ in 0..100 {
            let running: u32 = engines().map(|engine| engine.status().running).sum();
            if running as usize >= OPEN_STREAMS * (opened.len() + 1) {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_secs(3)).await;
        let running: u32 = engines().map(|engine| engine.status().running).sum();
        opened.push(running);
        resident.push(resident_bytes()?);
        drop(events);
    }
    join(readers)?;
    cluster.stop().await?;
    let direct = resident[1].saturating_sub(resident[0]);
    let relayed = resident[2].saturating_sub(resident[1]);
    Ok(json!({
        "streams_open": opened, "resident_bytes": resident,
        "bytes_per_open_stream": relayed.saturating_sub(direct) / OPEN_STREAMS as u64,
    }))
}
