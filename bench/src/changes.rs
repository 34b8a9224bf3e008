//! Scenario `config`: concurrent configuration changes by several operators, with lost answers,
//! resends and restarts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use awc::Client;
use primrosepin_core::inventory::Inventory;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::caller::client;
use crate::clock::now_us;
use crate::cluster::{Cluster, OPERATOR_KEY, Spec};
use crate::progress::Progress;
use crate::report::{Collector, Report};
use crate::scenario::Options;

/// Number of concurrent operators.
const OPERATORS: usize = 4;

/// Configuration changes per day that the design allows for.
const CHANGES_PER_DAY: f64 = 15_000.0;

/// Rate of changes in the paced half of the run, as a factor on the design rate.
const PACED_RATE_FACTOR: f64 = 20.0;

/// Interval at which the version of an entry VM is polled, ms.
const POLL_INTERVAL_MS: u64 = 10;

/// Time within which the last version must be in force at all entry VMs, ms.
const LAST_VERSION_TIMEOUT_MS: u64 = 10_000;

/// Maximum number of times a change is sent before its outcome counts as unknown.
const SENDS_MAX: usize = 60;

#[derive(Debug, Default)]
struct Log {
    /// Accepted changes by version: the time at which the change was first sent, and its id.
    accepted: BTreeMap<u64, (u64, String)>,
    accepted_twice: u64,
    conflicts: u64,
    unknown: u64,
    refused: BTreeMap<String, u64>,
    lost_answers: u64,
    /// Number of reads, by version, that returned a configuration without any zone.
    empty_reads: BTreeMap<u64, u64>,
    resends_checked: u64,
    resends_differ: u64,
    calls_ms: Vec<f64>,
    /// By entry VM: time at which each version was first observed.
    observed: Vec<Vec<(u64, u64)>>,
    reverts: u64,
}

impl Log {
    fn record(&mut self, id: String, sent_us: u64, answer: Answer) {
        self.calls_ms.push((now_us() - sent_us) as f64 / 1e3);
        match answer {
            Answer::Accepted(version) => {
                if self.accepted.insert(version, (sent_us, id)).is_some() {
                    self.accepted_twice += 1;
                }
            }
            Answer::Conflict => self.conflicts += 1,
            Answer::Unknown => self.unknown += 1,
            Answer::Refused => {}
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Accepted(u64),
    Conflict,
    Refused,
    Unknown,
}

struct Operator {
    http: Client,
    controls: Vec<SocketAddr>,
    random: StdRng,
    log: Rc<RefCell<Log>>,
}

impl Operator {
    fn control(&mut self) -> SocketAddr {
        self.controls[self.random.random_range(0..self.controls.len())]
    }

    /// Changes the share of an organisation, based on the version in force.
    async fn change(&mut self, id: String) {
        let control = self.control();
        let Some((base, mut inventory)) = read(&self.http, control).await else {
            sleep(Duration::from_millis(50)).await;
            return;
        };
        if inventory.zones.is_empty() {
            *self.log.borrow_mut().empty_reads.entry(base).or_default() += 1;
            sleep(Duration::from_millis(50)).await;
            return;
        }
        let organisations = inventory.organisations.len();
        let number = self.random.random_range(0..organisations.max(1));
        if let Some(organisation) = inventory.organisations.get_mut(number) {
            organisation.share = self.random.random_range(1..100);
        }
        let text = serde_json::to_string(&inventory).unwrap_or_default();
        let body = json!({ "id": id, "base": base, "inventory": text });
        let sent_us = now_us();
        let answer = self.send(&body).await;
        self.log.borrow_mut().record(id, sent_us, answer);
        if answer != Answer::Unknown && self.random.random_bool(0.1) {
            let again = self.send(&body).await;
            let mut log = self.log.borrow_mut();
            log.resends_checked += 1;
            if again != answer {
                log.resends_differ += 1;
            }
        }
    }

    /// Sends a change until its outcome is known. Random short time-outs simulate lost answers.
    async fn send(&mut self, body: &Value) -> Answer {
        for _ in 0..SENDS_MAX {
            let control = self.control();
            let simulate_loss = self.random.random_bool(0.2);
            let limit = if simulate_loss {
                self.random.random_range(200..8_000)
            } else {
                5_000_000
            };
            let sent = self
                .http
                .post(format!("http://{control}/v1/config/apply"))
                .bearer_auth(OPERATOR_KEY)
                .force_close()
                .timeout(Duration::from_micros(limit))
                .send_json(body)
                .await;
            let Ok(mut response) = sent else {
                self.log.borrow_mut().lost_answers += 1;
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let status = response.status().as_u16();
            let body = response.body().limit(16 * 1024 * 1024).await;
            let Ok(value) = serde_json::from_slice::<Value>(&body.unwrap_or_default()) else {
                self.log.borrow_mut().lost_answers += 1;
                continue;
            };
            match (status, value["version"].as_u64()) {
                (200, Some(version)) => return Answer::Accepted(version),
                (409, _) => return Answer::Conflict,
                (503, _) => sleep(Duration::from_millis(100)).await,
                (status, _) => {
                    let code = value["error"]["code"].as_str().unwrap_or_default();
                    let mut log = self.log.borrow_mut();
                    *log.refused.entry(format!("{status} {code}")).or_default() += 1;
                    return Answer::Refused;
                }
            }
        }
        Answer::Unknown
    }
}

async fn read(http: &Client, control: SocketAddr) -> Option<(u64, Inventory)> {
    let mut response = http
        .get(format!("http://{control}/v1/config"))
        .bearer_auth(OPERATOR_KEY)
        .force_close()
        .timeout(Duration::from_secs(2))
        .send()
        .await
        .ok()?;
    let body = response.body().limit(16 * 1024 * 1024).await.ok()?;
    let mut value: Value = serde_json::from_slice(&body).ok()?;
    let version = value["version"].as_u64()?;
    let inventory = serde_json::from_value(value["inventory"].take()).ok()?;
    Some((version, inventory))
}

/// Polls the version in force at one entry VM.
async fn observe(
    http: Client,
    entry: usize,
    admin: SocketAddr,
    log: Rc<RefCell<Log>>,
    end: Rc<Cell<bool>>,
) {
    let mut last = 0;
    while !end.get() {
        let sent = http
            .get(format!("http://{admin}/status"))
            .bearer_auth(OPERATOR_KEY)
            .force_close()
            .timeout(Duration::from_secs(1))
            .send()
            .await;
        if let Ok(mut response) = sent
            && let Ok(value) = response.json::<Value>().await
            // A process that has just started has no version and is not ready; that is no revert.
            && let Some(version) = value["version"].as_u64()
            && value["ready"].as_bool() != Some(false)
        {
            let mut log = log.borrow_mut();
            if version < last {
                log.reverts += 1;
            }
            if version > last {
                log.observed[entry].push((now_us(), version));
            }
            last = last.max(version);
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Runs the scenario: the first half at a paced rate, the second half without pauses.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let spec = Spec {
        controls: options.controls.max(1),
        engines: 3,
        plains: 1,
        ..Spec::fifteen_engines(options.policy, options.seed)
    };
    let mut cluster = Cluster::start(spec).await?;
    let first = cluster.version().await;
    let log = Rc::new(RefCell::new(Log {
        observed: vec![Vec::new(); cluster.entries.len()],
        ..Log::default()
    }));
    let (end, stop) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let http = client();
    let observers: Vec<_> = cluster
        .entries
        .iter()
        .enumerate()
        .map(|(number, entry)| {
            let (log, end) = (Rc::clone(&log), Rc::clone(&end));
            actix_rt::spawn(observe(http.clone(), number, entry.admin, log, end))
        })
        .collect();
    let begin_us = now_us();
    let half_us = options.duration_s * 500_000;
    let controls: Vec<_> = cluster
        .controls
        .iter()
        .map(|control| control.admin)
        .collect();
    let operators: Vec<_> = (0..OPERATORS)
        .map(|number| {
            let mut operator = Operator {
                http: http.clone(),
                controls: controls.clone(),
                random: StdRng::seed_from_u64(options.seed ^ (0x3000 + number as u64)),
                log: Rc::clone(&log),
            };
            let stop = Rc::clone(&stop);
            let seed = options.seed;
            actix_rt::spawn(async move {
                let pause_s = OPERATORS as f64 * 86_400.0 / (CHANGES_PER_DAY * PACED_RATE_FACTOR);
                let mut count = 0;
                while !stop.get() {
                    if now_us() < begin_us + half_us {
                        let factor = -operator.random.random::<f64>().max(1e-9).ln();
                        sleep(Duration::from_secs_f64(
                            (pause_s * factor).min(pause_s * 3.0),
                        ))
                        .await;
                    }
                    operator.change(format!("op-{seed}-{number}-{count}")).await;
                    count += 1;
                }
            })
        })
        .collect();
    let mut progress = Progress::new(options.duration_s);
    let mut actions = Vec::new();
    let mut restarts = vec![(0.3, 0), (0.45, 1), (0.6, 2), (0.75, 0), (0.85, 1)];
    let mut entry_restarts = vec![(0.4, 1), (0.8, 4)];
    for second in 0..options.duration_s {
        let share = second as f64 / options.duration_s as f64;
        if restarts.first().is_some_and(|(at, _)| *at <= share) {
            let number = restarts.remove(0).1 % cluster.controls.len();
            actions.push((second as f64, format!("restart control {number}")));
            progress.note(&format!("at {second} s: restart control {number}"));
            cluster.stop_control(number).await?;
            cluster.start_control(number).await?;
        }
        if entry_restarts.first().is_some_and(|(at, _)| *at <= share) {
            let number = entry_restarts.remove(0).1 % cluster.entries.len();
            actions.push((
                second as f64,
                format!("restart {}", cluster.entries[number].name),
            ));
            progress.note(&format!("at {second} s: restart entry {number}"));
            cluster.stop_entry(number).await?;
            cluster.start_entry(number).await?;
        }
        let accepted = log.borrow().accepted.len();
        progress.set(second, &format!("{accepted} changes accepted"));
        let next_us = begin_us + (second + 1) * 1_000_000;
        crate::clock::sleep_until(next_us).await;
    }
    stop.set(true);
    for operator in operators {
        operator.await?;
    }
    let last = log
        .borrow()
        .accepted
        .keys()
        .last()
        .copied()
        .unwrap_or(first);
    let until_us = now_us() + LAST_VERSION_TIMEOUT_MS * 1000;
    let everywhere = || {
        let log = log.borrow();
        log.observed
            .iter()
            .all(|observed| observed.last().is_some_and(|(_, version)| *version >= last))
    };
    while !everywhere() && now_us() < until_us {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    let last_in_force = everywhere();
    end.set(true);
    for observer in observers {
        observer.await?;
    }
    progress.finish();
    cluster.stop().await?;
    let log = log.borrow();
    let extra = figures(&log, first, begin_us + half_us, last_in_force);
    Ok(Report::without_load("config", options, actions, extra))
}

fn figures(log: &Log, first: u64, half_us: u64, last_in_force: bool) -> Value {
    let halves = [("paced", 0, half_us), ("fast", half_us, u64::MAX)];
    let mut phases = serde_json::Map::new();
    for (name, from_us, to_us) in halves {
        let mut in_force = Collector::new(1e3);
        let mut never = 0;
        for (version, (sent_us, _)) in &log.accepted {
            if *sent_us < from_us || *sent_us >= to_us {
                continue;
            }
            let by_entry = log.observed.iter().map(|observed| {
                let place = observed.partition_point(|(_, known)| known < version);
                observed.get(place).map(|(at_us, _)| *at_us)
            });
            match by_entry.collect::<Option<Vec<u64>>>() {
                Some(times) => {
                    let at_us = times.into_iter().max().unwrap_or(*sent_us);
                    in_force.add(at_us.saturating_sub(*sent_us) as f64 / 1e3);
                }
                None => never += 1,
            }
        }
        phases.insert(
            name.into(),
            json!({
                "accepted": in_force.count() + never, "in_force_ms": in_force.percentiles(),
                "in_force_ms_max": in_force.max(), "never_in_force": never,
            }),
        );
    }
    let mut calls = Collector::new(1e3);
    for ms in &log.calls_ms {
        calls.add(*ms);
    }
    // Versions increase by one with each change, so a gap is an accepted change that no operator
    // knows to be accepted.
    let last = log.accepted.keys().last().copied().unwrap_or(first);
    let missing = last.saturating_sub(first) - log.accepted.len() as u64;
    json!({
        "phases": phases, "conflicts": log.conflicts, "unknown": log.unknown,
        "refused": log.refused, "empty_reads": log.empty_reads, "lost_answers": log.lost_answers,
        "accepted_twice": log.accepted_twice, "versions_without_operator": missing,
        "resends_checked": log.resends_checked, "resends_differ": log.resends_differ,
        "reverts": log.reverts, "last_in_force_everywhere": last_in_force,
        "call_ms": calls.percentiles(),
    })
}
