//! Scenarios: a deployment, its load and scheduled actions.

use std::time::Duration;

use actix_rt::time::sleep;
use eyre::eyre;
use primrosepin_core::serving::Policy;
use primrosepin_standin::engine::settings::Budget;
use primrosepin_standin::{Fault, Record, engine};
use serde_json::{Value, json};

use crate::audit::{self, Evidence};
use crate::caller::{self, Observation};
use crate::clock::{now_us, sleep_until};
use crate::cluster::{Cluster, Spec};
use crate::load::{LoadBalancer, drive};
use crate::progress::Progress;
use crate::report::Report;
use crate::workload::{Call, Kind, LONG_ONLY, Load, MIXED};

/// Time after the end of the last call until all leases have expired; the lease of an attempt is at
/// most 10 s.
const LEASE_EXPIRY_MS: u64 = 12_000;

/// Interval at which the held KV tokens of the engines are polled.
const IDLE_POLL_MS: u64 = 500;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Placement policy.
    pub policy: Policy,
    /// Seed.
    pub seed: u64,
    /// Duration of the load, seconds.
    pub duration_s: u64,
    /// Speed of the engines, as a factor on their rates.
    pub speed: f64,
    /// Load relative to the capacity of the engines; none for the default of the scenario.
    pub load: Option<f64>,
    /// Number of control replicas.
    pub controls: usize,
    /// Drops calls with longer prompts from the arrivals, to measure their cost for shorter ones.
    pub prompt_tokens_max: Option<u64>,
}

/// Scenarios that send load to a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Short, medium and long prompts at 70% load.
    MixedLengths,
    /// An operator takes a zone out and brings it back.
    ZoneOut,
    /// Engines start cold, and some become cold again without an announcement.
    ColdStart,
    /// Engines crash, stall, truncate and mix up answers; an entry VM restarts.
    Failover,
    /// Load at twice the capacity.
    Overload,
    /// Only prompts from 8,000 tokens.
    LongOnly,
}

impl Scenario {
    /// Returns the name used on the command line and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MixedLengths => "mixed-lengths",
            Self::ZoneOut => "zone-out",
            Self::ColdStart => "cold-start",
            Self::Failover => "failover",
            Self::Overload => "overload",
            Self::LongOnly => "long-only",
        }
    }

    fn spec(self, options: &Options) -> Spec {
        let spec = match self {
            Self::ZoneOut => Spec::twenty_engines(options.policy, options.seed),
            _ => Spec::fifteen_engines(options.policy, options.seed),
        };
        Spec {
            controls: options.controls,
            engine: engine::Settings {
                speed: options.speed,
                start_cold: self == Self::ColdStart,
                cold_budget: Budget {
                    requests: 4,
                    tokens: 120_000,
                },
                // The number of concurrent requests doubles from 4 to 8 to 16 during a cold start,
                // so an engine is warm after 28 first tokens.
                max_running: 32,
                ..spec.engine
            },
            ..spec
        }
    }

    fn load(self, spec: &Spec, options: &Options) -> Load {
        let share = options.load.unwrap_or(match self {
            Self::MixedLengths | Self::LongOnly => 0.7,
            Self::ZoneOut | Self::Failover => 0.5,
            Self::ColdStart => 0.3,
            Self::Overload => 2.0,
        });
        let mixture = if self == Self::LongOnly {
            LONG_ONLY
        } else {
            MIXED
        };
        let capacity = capacity_tokens_per_s(&spec.engine) * spec.engines as f64;
        Load {
            mixture,
            engine_rate: share * capacity / mixture.mean_tokens(),
            plain_rate: 5.0,
            max_tokens: (16, 128),
            organisations: spec.organisations,
        }
    }

    /// Returns the scheduled actions, each with its time as a share of the duration.
    fn actions(self) -> Vec<(f64, Action)> {
        let fault = |at: f64, engine: usize, fault: Fault| (at, Action::Fault(engine, fault));
        match self {
            Self::MixedLengths | Self::Overload | Self::LongOnly => Vec::new(),
            Self::ZoneOut => vec![
                (0.25, Action::Zone(0, true)),
                (0.65, Action::Zone(0, false)),
            ],
            Self::ColdStart => vec![
                fault(0.3, 0, Fault::GoCold { silent: false }),
                fault(0.3, 4, Fault::GoCold { silent: true }),
                (0.5, Action::Target(8, true)),
                fault(
                    0.6,
                    2,
                    Fault::Die {
                        for_ms: 2_000,
                        cold: true,
                    },
                ),
                (0.7, Action::Target(8, false)),
            ],
            Self::Failover => vec![
                fault(
                    0.1,
                    0,
                    Fault::Die {
                        for_ms: 5_000,
                        cold: true,
                    },
                ),
                fault(0.2, 1, Fault::Stall { for_ms: 6_000 }),
                fault(0.3, 2, Fault::Silence),
                fault(
                    0.35,
                    3,
                    Fault::Cut {
                        after_events: 3,
                        count: 5,
                    },
                ),
                fault(0.4, 4, Fault::Cross { count: 3 }),
                fault(
                    0.45,
                    5,
                    Fault::Refuse {
                        proof: true,
                        run: false,
                        count: 5,
                    },
                ),
                fault(
                    0.5,
                    6,
                    Fault::Refuse {
                        proof: false,
                        run: true,
                        count: 3,
                    },
                ),
                (
                    0.5,
                    Action::PlainFault(
                        0,
                        Fault::Cut {
                            after_events: 0,
                            count: 3,
                        },
                    ),
                ),
                fault(0.55, 7, Fault::DropEvent { count: 3 }),
                fault(0.55, 8, Fault::DuplicateEvent { count: 3 }),
                fault(
                    0.6,
                    9,
                    Fault::Late {
                        by_ms: 3_000,
                        count: 3,
                    },
                ),
                (
                    0.6,
                    Action::PlainFault(
                        1,
                        Fault::Die {
                            for_ms: 3_000,
                            cold: true,
                        },
                    ),
                ),
                fault(0.65, 10, Fault::LieLoad { factor: 0.0 }),
                (0.7, Action::RestartEntry(1)),
                fault(
                    0.8,
                    11,
                    Fault::Die {
                        for_ms: 3_000,
                        cold: true,
                    },
                ),
                (0.85, Action::PlainFault(2, Fault::Cross { count: 2 })),
            ],
        }
    }
}

/// Returns the prefill rate of an engine while it also decodes 8 streams.
fn capacity_tokens_per_s(engine: &engine::Settings) -> f64 {
    let step_us = engine.step_us(engine.chunk_tokens, 8);
    engine.chunk_tokens as f64 * 1e6 / step_us as f64
}

/// An action during a run; numbers are indexes in the deployment, and `true` takes a zone or target
/// out.
#[derive(Debug, Clone, PartialEq)]
enum Action {
    Fault(usize, Fault),
    PlainFault(usize, Fault),
    Zone(usize, bool),
    Target(usize, bool),
    RestartEntry(usize),
}

impl Action {
    fn name(&self, cluster: &Cluster) -> String {
        match self {
            Self::Fault(number, fault) => {
                format!("{}: {fault:?}", cluster.engines[*number].engine.name())
            }
            Self::PlainFault(number, fault) => {
                format!("{}: {fault:?}", cluster.plains[*number].plain.name())
            }
            Self::Zone(number, out) => {
                let word = if *out { "out" } else { "in" };
                format!("zone {} {word}", cluster.spec.zones[*number])
            }
            Self::Target(number, out) => {
                let word = if *out { "out" } else { "in" };
                format!("target {} {word}", cluster.engines[*number].engine.name())
            }
            Self::RestartEntry(number) => format!("restart {}", cluster.entries[*number].name),
        }
    }

    async fn run(&self, cluster: &mut Cluster, balancer: &LoadBalancer) -> eyre::Result<()> {
        match self {
            Self::Fault(number, fault) => cluster.engines[*number].engine.inject_fault(fault),
            Self::PlainFault(number, fault) => cluster.plains[*number].plain.inject_fault(fault),
            Self::Zone(number, out) => {
                let zone = cluster.spec.zones[*number].clone();
                cluster.set_zone_out(&zone, *out).await?;
            }
            Self::Target(number, out) => {
                let target = cluster.engines[*number].engine.name();
                cluster.set_target_out(&target, *out).await?;
            }
            Self::RestartEntry(number) => {
                let mut others = cluster.callers();
                let own = cluster.entries[*number].callers;
                others.retain(|address| *address != own);
                // Simulates the delay until the platform's load balancer notices that the VM is not
                // ready.
                let removed = balancer.clone();
                let delay = Duration::from_millis(cluster.spec.drain_ms / 2);
                actix_rt::spawn(async move {
                    sleep(delay).await;
                    removed.set(others);
                });
                cluster.stop_entry(*number).await?;
                cluster.start_entry(*number).await?;
                sleep(Duration::from_secs(1)).await;
                balancer.set(cluster.callers());
            }
        }
        Ok(())
    }
}

/// Runs a scenario.
pub async fn run(scenario: Scenario, options: &Options) -> eyre::Result<Report> {
    let spec = scenario.spec(options);
    let load = scenario.load(&spec, options);
    let mut calls = load.calls(options.seed, options.duration_s * 1_000_000);
    if let Some(max) = options.prompt_tokens_max {
        calls.retain(|call| match call.kind {
            Kind::Engine { prompt_tokens, .. } => prompt_tokens <= max,
            Kind::PlainGet | Kind::PlainPost => true,
        });
    }
    let mut cluster = Cluster::start(spec).await?;
    let idle = measure_idle(&cluster).await?;
    let route = cluster.spec.route();
    let balancer = LoadBalancer::new(cluster.callers());
    let total = calls.len() as u64;
    let mut progress = Progress::new(total);
    let begin_us = now_us() + 200_000;
    let (arbiters, mut ends) = drive(calls, begin_us, &route, &balancer);
    let mut observations: Vec<Observation> = Vec::new();
    let mut actions = Vec::new();
    let collect = async {
        while let Some(end) = ends.recv().await {
            observations.push(end);
            progress.set(observations.len() as u64, "calls ended");
            if observations.len() as u64 == total {
                break;
            }
        }
    };
    let act = async {
        for (share, action) in scenario.actions() {
            let offset_us = (share * options.duration_s as f64 * 1e6) as u64;
            sleep_until(begin_us + offset_us).await;
            let name = action.name(&cluster);
            eprintln!("at {:.1} s: {name}", offset_us as f64 / 1e6);
            actions.push((offset_us as f64 / 1e6, name));
            action.run(&mut cluster, &balancer).await?;
        }
        eyre::Ok(())
    };
    let (acted, ()) = futures_util::future::join(act, collect).await;
    progress.finish();
    acted?;
    for arbiter in arbiters {
        arbiter.stop();
        if arbiter.join().is_err() {
            return Err(eyre!("load driver thread panicked"));
        }
    }
    let evidence = collect_evidence(&cluster).await;
    let summary = audit::summarise(&observations, begin_us, &cluster.spec.engine, idle.plain_ms);
    let counters = audit::counters(&observations, &evidence);
    // Goodput excludes the first fifth of the load, in which the queues fill.
    let end_us = begin_us + options.duration_s * 1_000_000;
    let from_us = begin_us + options.duration_s * 200_000;
    let goodput_tokens = audit::goodput_tokens(&observations, &evidence, from_us, end_us);
    let extra = json!({
        "capacity_tokens_per_s": capacity_tokens_per_s(&cluster.spec.engine)
            * cluster.spec.engines as f64,
        "engine_calls_per_s": load.engine_rate,
        "alone_check": idle.check,
        "by_target": by_target(&evidence.engine_records),
        "ends": ends_by_kind(&evidence.engine_records),
        "held_up_at_engine": longest_waits(&evidence.engine_records),
        "first_token_at_engine": ttft_at_engine(&evidence.engine_records),
    });
    cluster.stop().await?;
    let duration_s = options.duration_s;
    Ok(Report {
        scenario: scenario.as_str().into(),
        policy: policy_name(options.policy).into(),
        seed: options.seed,
        duration_s,
        speed: options.speed,
        buckets: summary.buckets,
        short: summary.short,
        plain: summary.plain,
        token_gap_ms: summary.token_gap_ms,
        goodput_tokens_per_s: goodput_tokens / (duration_s as f64 * 0.8).max(0.1),
        answered_share: counters.answered as f64 / observations.len().max(1) as f64,
        counters,
        codes: summary.codes,
        seconds: summary.seconds,
        points: summary.points,
        actions,
        extra,
    })
}

/// Returns the name of a policy used on the command line and in reports.
pub const fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Length => "length",
        Policy::RoundRobin => "round-robin",
        Policy::LeastLoad => "least-load",
    }
}

/// Latencies of calls on the idle deployment.
#[derive(Debug)]
struct IdleLatency {
    plain_ms: f64,
    check: Value,
}

/// Compares the engine model with single calls on the idle deployment. Cold engines are slower, so
/// the check is skipped for them.
async fn measure_idle(cluster: &Cluster) -> eyre::Result<IdleLatency> {
    let route = cluster.spec.route();
    let http = caller::client();
    let entry = cluster.callers()[0];
    let send = |name: &str, kind: Kind| {
        let call = Call {
            at_us: 0,
            user: format!("alone-{name}"),
            kind,
            organisation: 0,
            draw: 0,
        };
        caller::send(&http, &route, entry, call, now_us())
    };
    let plain = send("plain", Kind::PlainGet).await;
    let plain_ms = plain.ttft_ms().unwrap_or(1.0);
    let mut check = Vec::new();
    let lengths: &[u64] = if cluster.spec.engine.start_cold {
        &[]
    } else {
        &[1_000, 8_000, 64_000]
    };
    for prompt_tokens in lengths {
        let kind = Kind::Engine {
            prompt_tokens: *prompt_tokens,
            max_tokens: 1,
        };
        let observation = send(&prompt_tokens.to_string(), kind).await;
        let measured_ms = observation
            .ttft_ms()
            .ok_or_else(|| eyre!("call on the idle deployment failed: {}", observation.code))?;
        let model_ms = cluster.spec.engine.ttft_alone_ms(*prompt_tokens);
        check.push(json!({
            "prompt_tokens": prompt_tokens, "model_ms": round(model_ms),
            "measured_ms": round(measured_ms),
        }));
    }
    Ok(IdleLatency {
        plain_ms,
        check: Value::from(check),
    })
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Waits until the engines hold no KV tokens, at most until all leases have expired, and collects
/// the records.
async fn collect_evidence(cluster: &Cluster) -> Evidence {
    let held = || -> u64 {
        cluster
            .engines
            .iter()
            .map(|target| target.engine.status().kv_tokens_held)
            .sum()
    };
    for _ in 0..LEASE_EXPIRY_MS / IDLE_POLL_MS {
        if held() == 0 {
            break;
        }
        sleep(Duration::from_millis(IDLE_POLL_MS)).await;
    }
    let engines = cluster.engines.iter().map(|target| &target.engine);
    let plains = cluster.plains.iter().map(|target| &target.plain);
    Evidence {
        kv_tokens_leaked: held(),
        cold_overruns: engines
            .clone()
            .map(|engine| engine.status().cold_overruns)
            .chain(plains.clone().map(|plain| plain.status().cold_overruns))
            .sum(),
        engine_records: engines.flat_map(engine::Engine::records).collect(),
        plain_records: plains
            .flat_map(primrosepin_standin::Plain::records)
            .collect(),
        removals: cluster.removals.clone(),
    }
}

/// Returns by target the number of runs, of prompt tokens, and of prompts over 32,000 tokens.
fn by_target(records: &[Record]) -> Value {
    let mut targets: std::collections::BTreeMap<&str, [u64; 3]> = std::collections::BTreeMap::new();
    for record in records {
        let counts = targets.entry(&record.target).or_default();
        counts[0] += 1;
        counts[1] += record.prompt_tokens;
        counts[2] += u64::from(record.prompt_tokens > 32_000);
    }
    json!(targets)
}

fn ends_by_kind(records: &[Record]) -> Value {
    let mut ends: std::collections::BTreeMap<String, u64> = std::collections::BTreeMap::new();
    for record in records {
        let end = serde_json::to_value(record.end).unwrap_or_default();
        *ends
            .entry(end.as_str().unwrap_or_default().to_owned())
            .or_default() += 1;
    }
    json!(ends)
}

/// Returns the time from arrival at an engine to the first token there, for prompts up to 4,000
/// tokens. It tells waiting in an engine from waiting before it.
fn ttft_at_engine(records: &[Record]) -> Value {
    let mut at_engine = crate::report::Collector::new(1e3);
    for record in records {
        if record.prompt_tokens <= 4_000 && record.first_token_us > 0 {
            at_engine.add((record.first_token_us - record.received_us) as f64 / 1e3);
        }
    }
    json!(at_engine.percentiles())
}

/// Returns the ten prompts up to 4,000 tokens that waited longest in an engine's queue, if longer
/// than 1 s, with the state of the engine on their arrival.
fn longest_waits(records: &[Record]) -> Value {
    let waited_us = |record: &Record| {
        let until_us = record
            .started_us
            .max(record.ended_us.min(record.first_token_us));
        until_us.max(record.received_us) - record.received_us
    };
    let mut longest: Vec<_> = records
        .iter()
        .filter(|record| record.prompt_tokens <= 4_000 && waited_us(record) > 1_000_000)
        .collect();
    longest.sort_unstable_by_key(|record| std::cmp::Reverse(waited_us(record)));
    let rows = longest.iter().take(10).map(|record| {
        json!({
            "target": record.target, "waited_ms": waited_us(record) / 1000,
            "kv_tokens_held": record.kv_tokens_held, "ahead": record.ahead,
        })
    });
    rows.collect()
}
