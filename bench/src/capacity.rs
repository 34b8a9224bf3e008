//! Cost of the control traffic in one zone: bytes, messages, processor time and memory of each
//! entry VM.
//!
//! The serving reducers of all members (the entry VMs of the zone) exchange their messages in
//! virtual time. Each message is encoded as on the wire, and a constant packet overhead is added.
//! Sockets and TLS are not part of the simulation.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::inventory::{Inventory, Kind, Organisation, Rules, Service, Zone};
use primrosepin_core::message::Message;
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Arrival, Attempt, End, Id};
use primrosepin_core::serving::effect::Effect;
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::target::{Announcement, Budget, ColdState, Load, Model, State};
use primrosepin_core::time::Instant;
use primrosepin_core::vm::{Address, Incarnation, Instance};
use primrosepin_wire::Frame;
use serde::Serialize;

/// Overhead of a message in bytes: UDP and IPv4 headers, a QUIC short header with its tag, a stream
/// frame header, and the packet of the acknowledgement.
const PACKET_OVERHEAD_BYTES: u64 = 28 + 26 + 8 + 60;

/// Interval of ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time from dispatch to the end of a request.
const RUN_TIME: Duration = Duration::from_secs(2);

/// Time from dispatch to the first token: the prefill time of the prompts sent here.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(120);

/// Number of bursts in the transport measurement.
const TRANSPORT_ROUNDS: u32 = 400;

/// Messages per burst, about as many as heartbeats that arrive at once in a large zone.
const TRANSPORT_BURST: u32 = 10;

/// Virtual time before the measurement starts, in which the zone reaches a steady state.
const WARMUP: Duration = Duration::from_secs(6);

/// Size and load of a zone.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of entry VMs.
    pub members: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of organisations in the configuration; all of them send requests.
    pub organisations: usize,
    /// Requests per second at each entry VM.
    pub requests_per_s: f64,
    /// Duration of the measurement in virtual time, seconds.
    pub seconds: u64,
}

/// Cost of the control traffic for one entry VM.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Cost {
    /// Number of entry VMs of the zone.
    pub members: usize,
    /// Number of targets of the zone.
    pub targets: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Requests per second at each entry VM.
    pub requests_per_s: f64,
    /// Messages sent per second, mean over the members.
    pub messages_per_s: f64,
    /// Bytes sent per second including packet overhead, mean over the members.
    pub bytes_per_s: f64,
    /// Processor time of the reducer, encoding and decoding, percent of a core, mean over the
    /// members.
    pub core_percent: f64,
    /// Growth of resident memory per member, kilobytes.
    pub resident_kb: f64,
    /// Size of the encoded configuration message, bytes.
    pub config_bytes: u64,
}

struct Member {
    reducer: Reducer,
    address: Address,
    instance: Instance,
}

struct ZoneSimulation {
    size: Size,
    now: Instant,
    members: Vec<Member>,
    inbox: Vec<(usize, Event)>,
    first_tokens: BTreeMap<(Instant, u128), (usize, Attempt)>,
    ends: BTreeMap<(Instant, u128), (usize, Attempt)>,
    messages: u64,
    bytes: u64,
    next: u128,
}

/// Measures the cost for one zone size.
pub fn measure(size: Size) -> eyre::Result<Cost> {
    let before = resident_kb()?;
    let config = Arc::new(config(size));
    let mut zone = ZoneSimulation::new(size, &config);
    zone.run(WARMUP);
    (zone.messages, zone.bytes) = (0, 0);
    let processor = processor_time()?;
    zone.run(Duration::from_secs(size.seconds));
    let processor = processor_time()?.saturating_sub(processor);
    let resident = resident_kb()?.saturating_sub(before);
    let scale = size.members as f64 * size.seconds as f64;
    let push = Frame::new(
        zone.members[0].instance.clone(),
        Message::ConfigPush(config),
    );
    Ok(Cost {
        members: size.members,
        targets: size.targets,
        organisations: size.organisations,
        requests_per_s: size.requests_per_s,
        messages_per_s: zone.messages as f64 / scale,
        bytes_per_s: zone.bytes as f64 / scale,
        core_percent: processor.as_secs_f64() * 100.0 / scale,
        resident_kb: resident as f64 / size.members as f64,
        config_bytes: push.encode()?.len() as u64,
    })
}

/// Measures the cost for several zone sizes; returns a table and the figures.
pub fn run() -> eyre::Result<(String, Vec<Cost>)> {
    let size = |members, targets, organisations, requests_per_s| Size {
        members,
        targets,
        organisations,
        requests_per_s,
        seconds: 20,
    };
    let sizes = [
        size(3, 7, 10, 0.0),
        size(3, 7, 10, 6.0),
        size(3, 100, 10, 6.0),
        size(3, 309, 10, 6.0),
        size(10, 7, 10, 6.0),
        size(31, 7, 10, 6.0),
        size(3, 7, 1_200, 6.0),
        size(31, 309, 1_200, 0.0),
        size(31, 309, 1_200, 6.0),
    ];
    let mut costs = Vec::new();
    let mut out = format!(
        "{:>8} {:>8} {:>8} {:>6} {:>11} {:>9} {:>8} {:>9} {:>9}\n",
        "members",
        "targets",
        "orgs",
        "req/s",
        "messages/s",
        "bytes/s",
        "core %",
        "memory kB",
        "config B"
    );
    for size in sizes {
        let cost = measure(size)?;
        writeln!(
            out,
            "{:>8} {:>8} {:>8} {:>6} {:>11.1} {:>9.0} {:>8.3} {:>9.0} {:>9}",
            cost.members,
            cost.targets,
            cost.organisations,
            cost.requests_per_s,
            cost.messages_per_s,
            cost.bytes_per_s,
            cost.core_percent,
            cost.resident_kb,
            cost.config_bytes
        )?;
        costs.push(cost);
    }
    Ok((out, costs))
}

/// Processor time of one message between two endpoints, sender and receiver together.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Transport {
    /// Size of the message, bytes.
    pub bytes: usize,
    /// Number of messages that arrived.
    pub messages: u64,
    /// Processor time per message, microseconds.
    pub micros: f64,
}

/// Measures the transport over loopback with bursts of messages of one size.
pub async fn transport(bytes: usize) -> eyre::Result<Transport> {
    let authority = primrosepin_transport::keys::Authority::new()?;
    let start = |name: &str| {
        primrosepin_transport::Endpoint::start(primrosepin_transport::Settings {
            bind: SocketAddr::from(([127, 0, 0, 1], 0)),
            identity: authority.issue(name, primrosepin_transport::Role::Entry)?,
            instance: Instance {
                name: name.into(),
                incarnation: Incarnation(1),
            },
        })
    };
    let (sender, _incoming) = start("vm-a")?;
    let (receiver, mut arrived) = start("vm-b")?;
    let to = receiver.local_address()?;
    let target = "x".repeat(bytes);
    let message = || {
        Message::ColdStates(vec![ColdState {
            target: target.as_str().into(),
            incarnation: 1,
            version: 1,
        }])
    };
    // The first message opens the connection.
    sender.send(to, message());
    arrived.recv().await;
    let mut messages = 0;
    let processor = processor_time()?;
    for _ in 0..TRANSPORT_ROUNDS {
        for _ in 0..TRANSPORT_BURST {
            sender.send(to, message());
        }
        for _ in 0..TRANSPORT_BURST {
            if arrived.recv().await.is_some() {
                messages += 1;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let processor = processor_time()?.saturating_sub(processor);
    sender.close().await;
    receiver.close().await;
    let micros = processor.as_secs_f64() * 1e6 / messages as f64;
    Ok(Transport {
        bytes,
        messages,
        micros,
    })
}

impl ZoneSimulation {
    fn new(size: Size, config: &Arc<Config>) -> Self {
        let now = Instant::from_micros(1_000_000);
        let members = (0..size.members)
            .map(|index| {
                let instance = instance(index);
                let settings = Settings {
                    vm: instance.clone(),
                    address: address(index),
                    zone: "zone-a".into(),
                    seeds: vec![address(0).peers],
                    other_zones: Vec::new(),
                    control: Vec::new(),
                    policy: Policy::Length,
                };
                let reducer = Reducer::new(settings, index as u64, now);
                Member {
                    reducer,
                    address: address(index),
                    instance,
                }
            })
            .collect();
        let mut zone = Self {
            size,
            now,
            members,
            inbox: Vec::new(),
            first_tokens: BTreeMap::new(),
            ends: BTreeMap::new(),
            messages: 0,
            bytes: 0,
            next: 1,
        };
        for index in 0..size.members {
            zone.apply(index, Event::Configured(Arc::clone(config)));
        }
        zone
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let per_tick = self.size.requests_per_s * TICK_INTERVAL.as_secs_f64();
        let mut due = 0.0;
        let mut seq = self.now.as_micros();
        let ticks = ANNOUNCE_INTERVAL.as_micros() / TICK_INTERVAL.as_micros();
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for (index, event) in std::mem::take(&mut self.inbox) {
                self.apply(index, event);
            }
            for index in 0..self.members.len() {
                self.apply(index, Event::Tick);
            }
            seq += 1;
            // Announcements are spread evenly over the interval and over the members.
            let slot = u128::from(seq) % ticks;
            for target in (0..self.size.targets).filter(|target| *target as u128 % ticks == slot) {
                let index = (target + (seq / 25) as usize) % self.members.len();
                self.apply(index, Event::Announced(announcement(target, seq)));
            }
            due += per_tick;
            while due >= 1.0 {
                due -= 1.0;
                for index in 0..self.members.len() {
                    let arrival = self.arrival();
                    self.apply(index, Event::Arrived(Box::new(arrival)));
                }
            }
            self.finish_runs();
        }
    }

    fn finish_runs(&mut self) {
        while let Some(entry) = self.first_tokens.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (index, attempt) = entry.remove();
            self.apply(index, Event::Progress { attempt, tokens: 1 });
        }
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, attempt) = entry.remove();
            let end = End::Complete {
                prompt_tokens: 2_000,
                cached_tokens: 0,
                generated_tokens: 50,
            };
            self.apply(
                index,
                Event::Progress {
                    attempt,
                    tokens: 49,
                },
            );
            self.apply(index, Event::Ended { attempt, end });
        }
    }

    fn arrival(&mut self) -> Arrival {
        let number = self.next;
        self.next += 1;
        Arrival {
            id: Id(number),
            organisation: format!("org-{}", number % self.size.organisations as u128).into(),
            service: "lm".into(),
            model: Some("lm-7b".into()),
            prompt_tokens: 2_000,
            max_tokens: 50,
            prefix: smallvec::SmallVec::new(),
            fingerprint: Fingerprint::new("POST", "lm", "/v1/completions", &number.to_le_bytes()),
            at_most_once: false,
            repeatable: true,
            key: None,
            deadline: None,
            handed_over: false,
        }
    }

    fn apply(&mut self, index: usize, event: Event) {
        let mut effects = Vec::new();
        self.members[index]
            .reducer
            .apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message, .. } => {
                    let frame = Frame::new(self.members[index].instance.clone(), message);
                    let Ok(bytes) = frame.encode() else { continue };
                    self.messages += 1;
                    self.bytes += bytes.len() as u64 + PACKET_OVERHEAD_BYTES;
                    let receiver = self
                        .members
                        .iter()
                        .position(|member| member.address.peers == to);
                    let decoded = Frame::decode(&bytes);
                    if let (Some(receiver), Ok(frame)) = (receiver, decoded) {
                        let event = Event::Received {
                            from: frame.from,
                            message: frame.message,
                        };
                        self.inbox.push((receiver, event));
                    }
                }
                Effect::Dispatch(dispatch) => {
                    let first = self.now + FIRST_TOKEN_TIME;
                    let run = (index, dispatch.attempt);
                    self.first_tokens
                        .insert((first, dispatch.attempt.request.0), run);
                    let at = self.now + RUN_TIME;
                    self.ends
                        .insert((at, dispatch.attempt.request.0), (index, dispatch.attempt));
                }
                _ => {}
            }
        }
    }
}

fn announcement(target: usize, seq: u64) -> Announcement {
    Announcement {
        name: format!("lm-{target}").into(),
        zone: "zone-a".into(),
        service: "lm".into(),
        kind: Kind::Engine,
        address: SocketAddr::from((
            [127, 1, (target / 250) as u8, (target % 250) as u8 + 1],
            9_000,
        )),
        incarnation: 1,
        seq,
        state: State::Warm,
        models: vec![Model {
            name: "lm-7b".into(),
            version: "1".into(),
        }],
        cold_budget: Budget {
            requests: 2,
            tokens: 40_000,
        },
        max_running: 64,
        kv_tokens: 400_000,
        prefill_tokens_per_s: 20_000,
        decode_tokens_per_s: 25,
        spans: true,
        checks_fencing: false,
        load: Load {
            running: (seq % 60) as u32,
            waiting: (seq % 7) as u32,
            prefill_tokens: seq % 90_000,
            kv_tokens_used: seq % 400_000,
        },
    }
}

fn config(size: Size) -> Config {
    let hash = "0123456789abcdef".repeat(4);
    Config {
        version: 1,
        inventory: Inventory {
            zones: vec![Zone {
                name: "zone-a".into(),
                region: "region-a".into(),
                entries: (0..size.members)
                    .map(|index| instance(index).name)
                    .collect(),
            }],
            services: vec![Service {
                name: "lm".into(),
                kind: Kind::Engine,
                models: vec!["lm-7b".into()],
                paths: Vec::new(),
                announce_keys_sha256: vec![hash.as_str().into()],
            }],
            organisations: (0..size.organisations)
                .map(|index| Organisation {
                    name: format!("org-{index}").into(),
                    keys_sha256: vec![hash.as_str().into()],
                    share: 1,
                    max_running: 64,
                })
                .collect(),
            rules: Rules::default(),
        },
        zones_out: Vec::new(),
        targets_out: Vec::new(),
        zone_orders: Vec::new(),
    }
}

fn instance(index: usize) -> Instance {
    Instance {
        name: format!("zone-a-entry-{index}").into(),
        incarnation: Incarnation(1),
    }
}

fn address(index: usize) -> Address {
    let ip = [127, 0, 1, index as u8 + 1];
    Address {
        peers: SocketAddr::from((ip, 7_000)),
        callers: Some(SocketAddr::from((ip, 8_080))),
    }
}

/// Returns the resident memory of the process, kilobytes.
fn resident_kb() -> eyre::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| eyre::eyre!("no VmRSS in /proc/self/status"))
}

/// Returns the processor time of this thread.
fn processor_time() -> eyre::Result<Duration> {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = stat.split_whitespace().next().unwrap_or_default();
    Ok(Duration::from_nanos(
        nanos
            .parse()
            .wrap_err("cannot parse /proc/thread-self/schedstat")?,
    ))
}
