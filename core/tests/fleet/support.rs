//! Simulated entry VMs of one region with shared targets, without a network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::fleet::{
    Announcement, Config, Dispatch, Effect, Engine, Entry, Event, Id, Limits, OrderReport,
    Organisation, Outcome, PartIds, Peer, PlannerMessage, Policy, Reducer, Refusal, Request,
    RetryPolicy, Route, Service, Settings, SizedParts, State, Tokens,
};
use primrosepin_core::quarantine::{Crash, Part};
use primrosepin_core::time::Instant;
use smallvec::smallvec;

/// Key of the only organisation.
pub const KEY: &str = "key";

/// Start time of the tests. It is not zero because VMs have been up for a while.
pub const START: Instant = Instant::from_micros(1_000_000_000);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Figures of a 70-billion-parameter model on one accelerator.
pub fn engine() -> Engine {
    Engine {
        slots: 16,
        kv_tokens: 405_000,
        stride: 34,
        step_ms: 1.31,
        per_sequence_ms: 0.000_917,
        context_ms_per_k: 0.002_13,
        read_tokens_per_ms: 154.0,
        pairs_ms_per_m: 0.162,
        chunk: 2_048,
        hop_ms: 0.1,
        prefix_cache_tokens: 0,
    }
}

fn route(name: &str, retry_policy: RetryPolicy, objective: u64, gap: u64, timeout: u64) -> Route {
    let stream = retry_policy == RetryPolicy::Resumable;
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        retry_policy,
        stream,
        timeout: ms(timeout),
        objective: ms(objective),
        gap: stream.then(|| ms(gap)),
        priority: 1,
        split: smallvec![(if stream { "engine" } else { "plain" }.into(), 1)],
        max_attempts: if retry_policy == RetryPolicy::AtMostOnce {
            1
        } else {
            2
        },
        public: false,
    }
}

pub fn routes() -> Vec<Route> {
    vec![
        route("short", RetryPolicy::Resumable, 300, 250, 10_000),
        route("medium", RetryPolicy::Resumable, 1_500, 600, 10_000),
        route("long", RetryPolicy::Resumable, 3_000, 1_000, 15_000),
        route("order", RetryPolicy::AtMostOnce, 150, 0, 1_000),
        route("read", RetryPolicy::Idempotent, 150, 0, 1_000),
    ]
}

pub fn services() -> Vec<Service> {
    let service = |name: &str, engine| Service {
        name: name.into(),
        max_connections: 400,
        cold_per_s: 36.0,
        engine,
        zone_delay: Duration::ZERO,
        gap: None,
        policy: Policy::default(),
    };
    vec![service("engine", Some(engine())), service("plain", None)]
}

pub fn organisations() -> Vec<Organisation> {
    vec![Organisation {
        name: "club".into(),
        keys: vec![KEY.into()],
        priority: None,
    }]
}

pub fn config(version: u64) -> Config {
    let organisations = Some(organisations());
    Config::new(
        version,
        routes(),
        services(),
        organisations,
        Limits::default(),
    )
    .unwrap()
}

pub fn announcement(service: &str, number: usize, zone: usize) -> Announcement {
    Announcement {
        name: format!("{service}-{number}").into(),
        service: service.into(),
        address: SocketAddr::from(([10, 0, zone as u8, number as u8 + 1], 80)),
        zone: format!("zone-{zone}").into(),
        slots: 16,
        state: State::Ready,
        cold_ms: 0,
        started_ms: 1,
        sequence: 1,
    }
}

pub fn request(route: &str, prompt: u64) -> Request {
    Request {
        request_id: "request".into(),
        host: "host".into(),
        path: format!("/{route}/1").into(),
        key: Some(KEY.into()),
        tokens: (prompt > 0).then_some(Tokens {
            prompt,
            answer: 1_300,
        }),
        parts: PartIds::new(),
        sized_parts: SizedParts::default(),
        fingerprint: Fingerprint::default(),
        timeout: Some(ms(10_000)),
    }
}

/// Decision on a request.
#[derive(Debug, Clone)]
pub enum Decision {
    Dispatched(Box<Dispatch>),
    Refused(Refusal),
}

/// Returns the settings of an entry VM.
pub fn settings(vm: usize) -> Settings {
    Settings {
        vm: format!("entry-{vm}").into(),
        zone: format!("zone-{}", vm % 3).into(),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        retry_window: ms(10_000),
        cold_factor: 1.5,
        cold_slack: 5.0,
        key_max_age: ms(3_750),
    }
}

/// A report to control VMs about requests that crash targets.
#[derive(Debug, Clone)]
pub enum Report {
    Crash(Crash),
    Answered(Vec<(Part, u32)>),
    Alive(Vec<u64>),
}

/// Entry VMs that exchange messages with a delay.
pub struct Fleet {
    pub now: Instant,
    pub vms: Vec<Reducer>,
    /// Decisions in order, with VM and request.
    pub decisions: Vec<(usize, Id, Decision)>,
    /// Delay of messages between VMs.
    pub delay: Duration,
    /// VMs that neither receive nor send messages.
    pub partitioned: Vec<usize>,
    /// Messages about long prompts that were sent, with sender and receiver.
    pub planner_messages: Vec<(usize, usize, PlannerMessage)>,
    /// Number of load reports that were sent.
    pub reports: usize,
    /// Number of messages about retained prefixes that were sent.
    pub retained_messages: usize,
    /// Reports to control VMs about crashes, with the VM that sent them.
    pub crash_reports: Vec<(usize, Report)>,
    /// Whether VMs send reports of the waiting order, unlike earlier builds.
    pub sends_order: bool,
    /// Reports of the waiting order, with the VM that sent them.
    pub order_reports: Vec<(usize, OrderReport)>,
    /// Returns of refused requests, by whether each was early.
    pub returns: Vec<bool>,
    /// Organisations that came to exceed their share, or no longer do, as a VM saw it.
    pub share_changes: Vec<(usize, Arc<str>, bool)>,
    messages: BTreeMap<(Instant, u64), (usize, Event)>,
    next: u64,
}

impl Fleet {
    /// Creates `vms` entry VMs in three zones, with `engines` engines and three plain targets.
    pub fn new(vms: usize, engines: usize) -> Self {
        let mut fleet = Self {
            now: START,
            vms: (0..vms).map(|vm| Reducer::new(settings(vm))).collect(),
            decisions: Vec::new(),
            delay: ms(2),
            partitioned: Vec::new(),
            planner_messages: Vec::new(),
            reports: 0,
            retained_messages: 0,
            crash_reports: Vec::new(),
            sends_order: true,
            order_reports: Vec::new(),
            returns: Vec::new(),
            share_changes: Vec::new(),
            messages: BTreeMap::new(),
            next: 0,
        };
        fleet.apply_to_all(&Event::Configured {
            revision: 1,
            config: Arc::new(config(1)),
            zones_out: Vec::new(),
        });
        for vm in 0..vms {
            fleet.apply(vm, Event::Peers(fleet.peers(vm)));
        }
        for number in 0..engines {
            fleet.announce(announcement("engine", number, number % 3));
        }
        for number in 0..3 {
            fleet.announce(announcement("plain", number, number));
        }
        fleet.confirm(1);
        fleet
    }

    /// Gives a VM that has just started the configuration and its peers.
    pub fn teach(&mut self, vm: usize) {
        let configured = Event::Configured {
            revision: 1,
            config: Arc::new(config(1)),
            zones_out: Vec::new(),
        };
        self.apply(vm, configured);
        self.apply(vm, Event::Peers(self.peers(vm)));
    }

    /// Returns the peers of a VM.
    pub fn peers(&self, vm: usize) -> Vec<Peer> {
        let peers = (0..self.vms.len()).filter(|peer| *peer != vm);
        let peer = |peer: usize| Peer {
            vm: format!("entry-{peer}").into(),
            zone: format!("zone-{}", peer % 3).into(),
        };
        peers.map(peer).collect()
    }

    /// Applies an event at all VMs.
    pub fn apply_to_all(&mut self, event: &Event) {
        for vm in 0..self.vms.len() {
            self.apply(vm, event.clone());
        }
    }

    pub fn announce(&mut self, announcement: Announcement) {
        self.apply_to_all(&Event::Announced(Entry {
            announcement,
            age_ms: 0,
        }));
    }

    /// Confirms the configuration at all VMs.
    pub fn confirm(&mut self, revision: u64) {
        let requested_at = self.now;
        self.apply_to_all(&Event::Confirmed {
            requested_at,
            age: Duration::ZERO,
            revision,
        });
    }

    pub fn apply(&mut self, vm: usize, event: Event) {
        let mut effects = Vec::new();
        self.vms[vm].apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch(id, dispatch) => {
                    self.decisions
                        .push((vm, id, Decision::Dispatched(dispatch)));
                }
                Effect::Refuse(id, refusal) => {
                    self.decisions.push((vm, id, Decision::Refused(refusal)));
                }
                Effect::Queue(..)
                | Effect::PaceChanged(..)
                | Effect::PlannerTimedOut(..)
                | Effect::PrefixMissed(..)
                | Effect::PlannerDecision(_)
                | Effect::PlannerChanged(_) => {}
                Effect::ReportPaces(recipients, paces) => {
                    for recipient in recipients.iter() {
                        let peer = recipient.strip_prefix("entry-").unwrap();
                        let peer: usize = peer.parse().unwrap();
                        if self.partitioned.contains(&peer) || self.partitioned.contains(&vm) {
                            continue;
                        }
                        self.next += 1;
                        let event = Event::PacesReported {
                            peer: format!("entry-{vm}").into(),
                            paces: paces.clone(),
                        };
                        let at = self.now + self.delay;
                        self.messages.insert((at, self.next), (peer, event));
                    }
                }
                Effect::Returned { is_early } => self.returns.push(is_early),
                Effect::ShareChanged {
                    organisation,
                    exceeds,
                    ..
                } => self.share_changes.push((vm, organisation, exceeds)),
                Effect::ReportOrder(recipients, report) => {
                    self.order_reports.push((vm, report.clone()));
                    for recipient in recipients.iter() {
                        let peer = recipient.strip_prefix("entry-").unwrap();
                        let peer: usize = peer.parse().unwrap();
                        let cut =
                            self.partitioned.contains(&peer) || self.partitioned.contains(&vm);
                        if cut || !self.sends_order {
                            continue;
                        }
                        self.next += 1;
                        let event = Event::OrderReported {
                            peer: format!("entry-{vm}").into(),
                            report: report.clone(),
                        };
                        let at = self.now + self.delay;
                        self.messages.insert((at, self.next), (peer, event));
                    }
                }
                Effect::ReportCrashes(crashes) => {
                    let reports = crashes.into_iter().map(|crash| (vm, Report::Crash(crash)));
                    self.crash_reports.extend(reports);
                }
                Effect::WithdrawCrashes(processes) => {
                    self.crash_reports.push((vm, Report::Alive(processes)));
                }
                Effect::ReportAnswered(parts) => {
                    self.crash_reports.push((vm, Report::Answered(parts)));
                }
                Effect::SendToPeer(peer, message) => {
                    let number = |name: &str| name.strip_prefix("entry-")?.parse::<usize>().ok();
                    let peer = number(&peer).expect("message to an unknown VM");
                    self.planner_messages.push((vm, peer, message.clone()));
                    if self.partitioned.contains(&peer) || self.partitioned.contains(&vm) {
                        continue;
                    }
                    self.next += 1;
                    let event = Event::PlannerMessage {
                        peer: format!("entry-{vm}").into(),
                        message,
                    };
                    let at = self.now + self.delay;
                    self.messages.insert((at, self.next), (peer, event));
                }
                Effect::ShareRetained(peer, statements) => {
                    self.retained_messages += 1;
                    let peer = peer.strip_prefix("entry-").unwrap();
                    let peer: usize = peer.parse().unwrap();
                    if self.partitioned.contains(&peer) || self.partitioned.contains(&vm) {
                        continue;
                    }
                    self.next += 1;
                    let at = self.now + self.delay;
                    let event = Event::RetainedReported(statements);
                    self.messages.insert((at, self.next), (peer, event));
                }
                Effect::ReportLoad(recipients, report) => {
                    for recipient in recipients.iter() {
                        let peer = recipient.strip_prefix("entry-").unwrap();
                        let peer: usize = peer.parse().unwrap();
                        if self.partitioned.contains(&peer) || self.partitioned.contains(&vm) {
                            continue;
                        }
                        self.reports += 1;
                        self.next += 1;
                        let event = Event::LoadReported {
                            peer: format!("entry-{vm}").into(),
                            report: report.clone(),
                        };
                        let at = self.now + self.delay;
                        self.messages.insert((at, self.next), (peer, event));
                    }
                }
            }
        }
    }

    /// Drops the messages on their way to a VM.
    pub fn drop_messages(&mut self, vm: usize) {
        self.messages.retain(|_, (peer, _)| *peer != vm);
    }

    /// Advances time in small steps, delivering messages and ticks.
    pub fn run(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(1);
        const TICK_MS: u64 = 10;
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            while let Some(first) = self.messages.first_entry()
                && first.key().0 <= self.now
            {
                let (peer, event) = first.remove();
                self.apply(peer, event);
            }
            if (self.now.as_micros() / 1_000).is_multiple_of(TICK_MS) {
                self.apply_to_all(&Event::Tick);
            }
        }
    }

    /// Sends a request to a VM; returns its ID.
    pub fn arrive(&mut self, vm: usize, request: Request) -> Id {
        self.next += 1;
        let id = Id(self.next);
        self.apply(vm, Event::Arrived(id, request));
        id
    }

    pub fn end(&mut self, vm: usize, id: Id, outcome: Outcome) {
        self.apply(vm, Event::Ended(id, outcome));
    }

    /// Returns all decisions on a request.
    pub fn decisions_of(&self, id: Id) -> Vec<&Decision> {
        let own = self.decisions.iter().filter(|(_, other, _)| *other == id);
        own.map(|(_, _, decision)| decision).collect()
    }

    /// Returns the last dispatch of a request.
    pub fn dispatch(&self, id: Id) -> Option<&Dispatch> {
        self.decisions_of(id)
            .into_iter()
            .rev()
            .find_map(|decision| match decision {
                Decision::Dispatched(dispatch) => Some(&**dispatch),
                Decision::Refused(_) => None,
            })
    }

    /// Returns the refusal of a request.
    pub fn refusal(&self, id: Id) -> Option<Refusal> {
        self.decisions_of(id)
            .into_iter()
            .find_map(|decision| match decision {
                Decision::Dispatched(_) => None,
                Decision::Refused(refusal) => Some(*refusal),
            })
    }
}
