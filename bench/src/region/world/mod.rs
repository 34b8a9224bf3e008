//! Entry VMs, engines and callers of one day in virtual time.

mod caller;
mod engine;
mod trouble;
mod vm;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{
    Announcement, Config, Entry, Event, Id, Limits, Reducer, Refusal, RetryPolicy, Route, Service,
    Settings, State,
};
use primrosepin_core::time::Instant;
use primrosepin_standin::passes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smallvec::{SmallVec, smallvec};

use super::report::Seen;
use super::{Arrival, Day, Outcome, Policy, Record, Report, Trouble};

/// Begin of a day; entry VMs have been up for a while.
const START: Instant = Instant::from_micros(1_000_000_000);

/// Interval at which entry VMs look at their clocks.
const TICK: Duration = Duration::from_millis(10);

/// Interval of the engines' announcements.
const ANNOUNCE: Duration = Duration::from_millis(1_200);

/// Time until an announcement is known at all entry VMs.
const ANNOUNCED: Duration = Duration::from_millis(60);

/// Time until a change of the configuration is in force at all entry VMs.
const CONFIGURED: Duration = Duration::from_millis(150);

/// One-way time within a zone, ms.
const IN_ZONE_MS: f64 = 0.2;

/// One-way time between callers and entry VMs.
const CALLER: Duration = Duration::from_millis(1);

/// Time after which a connection to an engine that is down fails.
const CONNECT: Duration = Duration::from_millis(400);

/// Time for which an engine is in cold start.
const COLD: Duration = Duration::from_secs(3);

/// Time between an engine's word that it leaves and its end.
const LEAVE: Duration = Duration::from_secs(4);

/// Time after which a caller whose connection was closed asks again.
const RECONNECT: Duration = Duration::from_millis(20);

/// Time after the last arrival until all requests must have ended.
const AFTER: Duration = Duration::from_secs(20);

/// Factor and slack on the rate that an engine in cold start bears.
const COLD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// What must never happen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests without an end after the day.
    pub without_end: u64,
    /// Requests sent to more engines than their route allows.
    pub over_attempts: u64,
    /// Engines that got more requests in a second of their cold start than they bear.
    pub cold_overruns: u64,
    /// Memory that is held after all requests have ended, tokens.
    pub held_tokens: u64,
    /// Requests sent to engines of a zone that is out.
    pub to_zone_out: u64,
    /// Requests of which an entry VM knew no more at the end, or that it still had.
    pub left_at_vms: u64,
}

impl Audit {
    /// Returns the number of broken rules.
    pub fn broken(&self) -> u64 {
        [
            self.without_end,
            self.over_attempts,
            self.cold_overruns,
            self.held_tokens,
            self.to_zone_out,
            self.left_at_vms,
        ]
        .iter()
        .filter(|count| **count > 0)
        .count() as u64
    }
}

/// Number of an attempt at an engine.
type AttemptId = passes::Id;

#[derive(Debug, Clone)]
enum What {
    Arrive(usize),
    ToVm(usize, u64, Event),
    ToEngine(usize, Input),
    Pass(usize),
    Tick,
    Announce(usize, u64),
    /// Tokens, or the end, for the caller of a try.
    ToCaller(usize, u32, ToCaller),
    /// Checks whether a caller leaves, or its time is over.
    Patience(usize, u32),
    /// Checks whether an engine is silent, or the time of an attempt is over.
    Silence(AttemptId),
    Begin(usize),
    Finish(usize),
}

#[derive(Debug, Clone, Copy)]
enum Input {
    Request(AttemptId),
    Help(AttemptId),
    PartRead(AttemptId),
    Cancel(AttemptId),
}

#[derive(Debug, Clone, Copy)]
enum ToCaller {
    Wrote,
    Done,
    Refused(Refusal),
    /// The connection was closed.
    Closed,
}

#[derive(Debug)]
struct Caller {
    tries: u32,
    vm: usize,
    id: Id,
    /// When the caller gives up in any case.
    deadline: Instant,
    heard: Instant,
    first: Option<Instant>,
    longest: Duration,
    again: bool,
    offered: bool,
    predicted: Option<Duration>,
    dispatched: Option<Instant>,
    engine_first: Option<Instant>,
    readers: usize,
    end: Option<(Outcome, Instant)>,
}

#[derive(Debug)]
struct Attempt {
    call: usize,
    vm: usize,
    id: Id,
    head: usize,
    /// Number of the start of the engine that is meant.
    born: u64,
    helpers: SmallVec<[(usize, u64); 4]>,
    silence: Duration,
    predicted: Duration,
    deadline: Instant,
    heard: Instant,
    started: bool,
    /// Tokens that earlier attempts delivered.
    before: u64,
}

#[derive(Debug)]
struct Worker {
    name: Arc<str>,
    zone: usize,
    engine: passes::Engine,
    up: bool,
    leaving: bool,
    born: u64,
    sequence: u64,
    cold_until: Instant,
    /// Second of the cold start, and the requests in it.
    cold: (u64, u64),
}

struct Vm {
    zone: usize,
    up: bool,
    /// Number of the start; what was sent to an earlier one is lost.
    start: u64,
    reducer: Reducer,
    turn: usize,
    running: Vec<u32>,
}

/// What an entry VM knows of a request that it has not ended.
#[derive(Debug, Clone, Copy)]
struct Held {
    call: usize,
    attempt: Option<AttemptId>,
    delivered: u64,
    attempts: u32,
}

/// A day of a region.
pub struct World<'d> {
    day: &'d Day,
    policy: Policy,
    seed: u64,
    now: Instant,
    random: StdRng,
    arrivals: Vec<Arrival>,
    callers: Vec<Option<Caller>>,
    vms: Vec<Vm>,
    names: Vec<Arc<str>>,
    workers: Vec<Worker>,
    /// Engines and the numbers of their starts.
    by_address: BTreeMap<SocketAddr, (usize, u64)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    held: BTreeMap<(usize, Id), Held>,
    events: BTreeMap<(Instant, u64), What>,
    next: u64,
    revision: u64,
    zones_out: Vec<usize>,
    /// Share of the messages between entry VMs that are lost.
    loss: f64,
    /// Engines or VMs that a trouble has chosen.
    chosen: Vec<Vec<usize>>,
    audit: Audit,
}

impl std::fmt::Debug for World<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("day", &self.day.name)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn address(worker: usize, born: u64) -> SocketAddr {
    let [_, _, high, low] = (worker as u32).to_be_bytes();
    SocketAddr::from(([10, born as u8, high, low], 80))
}

impl<'d> World<'d> {
    /// Creates the region before the begin of a day.
    pub fn new(day: &'d Day, policy: Policy, seed: u64) -> Self {
        let zones = || day.zones.iter().enumerate();
        let workers: Vec<usize> = zones()
            .flat_map(|(zone, z)| std::iter::repeat_n(zone, z.engines))
            .collect();
        let vms = zones().flat_map(|(zone, z)| std::iter::repeat_n(zone, z.vms));
        let worker = |(number, zone): (usize, &usize)| Worker {
            name: format!("{seed}-{number}-1").into(),
            zone: *zone,
            engine: passes::Engine::new(day.engine),
            up: true,
            leaving: false,
            born: 1,
            sequence: 0,
            cold_until: START,
            cold: (0, 0),
        };
        let mut world = Self {
            day,
            policy,
            seed,
            now: START,
            random: StdRng::seed_from_u64(seed ^ 0x005E_ED00),
            arrivals: day.arrivals(seed),
            callers: Vec::new(),
            vms: Vec::new(),
            names: (0..vms.clone().count())
                .map(|number| format!("{seed}-vm-{number}").into())
                .collect(),
            workers: workers.iter().enumerate().map(worker).collect(),
            by_address: (0..workers.len())
                .map(|n| (address(n, 1), (n, 1)))
                .collect(),
            attempts: BTreeMap::new(),
            held: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            revision: 1,
            zones_out: Vec::new(),
            loss: 0.0,
            chosen: vec![Vec::new(); day.troubles.len()],
            audit: Audit::default(),
        };
        for (number, zone) in vms.enumerate() {
            let reducer = world.reducer(number, zone);
            world.vms.push(Vm {
                zone,
                up: true,
                start: 0,
                reducer,
                turn: number,
                running: vec![0; workers.len()],
            });
        }
        world
    }

    /// Plays the day.
    pub fn run(mut self) -> Report {
        for vm in 0..self.vms.len() {
            self.introduce(vm);
        }
        for worker in 0..self.workers.len() {
            let offset = ms(self.random.random_range(0.0..1_200.0));
            self.push(START + offset, What::Announce(worker, 1));
        }
        self.push(START, What::Tick);
        for index in 0..self.arrivals.len() {
            self.callers.push(None);
            let at = START + ms(self.arrivals[index].at_ms);
            self.push(at, What::Arrive(index));
        }
        for (index, trouble) in self.day.troubles.iter().enumerate() {
            let (at, length) = match trouble {
                Trouble::ZoneOut { at_s, for_s, .. }
                | Trouble::ZoneCold { at_s, for_s, .. }
                | Trouble::Crash { at_s, for_s, .. }
                | Trouble::Slow { at_s, for_s, .. }
                | Trouble::Lossy { at_s, for_s, .. }
                | Trouble::VmsLost { at_s, for_s, .. } => (*at_s, Duration::from_secs_f64(*for_s)),
                Trouble::Leave { at_s, .. } => (*at_s, LEAVE),
            };
            let at = START + Duration::from_secs_f64(at);
            self.push(at, What::Begin(index));
            self.push(at + length, What::Finish(index));
        }
        let end = START + Duration::from_secs_f64(self.day.length_s) + AFTER;
        while let Some(((at, _), what)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(what);
        }
        self.finish()
    }

    fn push(&mut self, at: Instant, what: What) {
        self.next += 1;
        self.events.insert((at.max(self.now), self.next), what);
    }

    fn reducer(&self, number: usize, zone: usize) -> Reducer {
        Reducer::new(Settings {
            vm: Arc::clone(&self.names[number]),
            zone: format!("zone-{zone}").into(),
            retry_ratio: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
            cold_factor: COLD_FACTOR,
            cold_slack: COLD_SLACK,
            key_max_age: Duration::from_secs(4),
        })
    }

    fn config(&self) -> Event {
        let route = |class: &super::Class| Route {
            name: class.name.as_str().into(),
            host: "host".into(),
            prefix: format!("/{}/", class.name).into(),
            retry_policy: RetryPolicy::Resumable,
            stream: true,
            timeout: Duration::from_millis(class.timeout_ms),
            objective: Duration::from_millis(class.objective_ms),
            gap: Some(Duration::from_millis(class.gap_ms)),
            priority: 1,
            split: smallvec![("engines".into(), 1)],
            max_attempts: 2,
            public: true,
        };
        let service = Service {
            name: "engines".into(),
            max_connections: 400,
            cold_per_s: self.day.cold_per_s,
            engine: Some(self.day.engine),
            gap: None,
        };
        let routes = self.day.classes.iter().map(route).collect();
        let config = Config::new(
            self.revision,
            routes,
            vec![service],
            None,
            Limits::default(),
        );
        let zones = self.zones_out.iter();
        Event::Configured {
            revision: self.revision,
            // The day was checked when it was read.
            config: Arc::new(config.unwrap_or_default()),
            zones_out: zones.map(|zone| format!("zone-{zone}").into()).collect(),
        }
    }

    /// Tells an entry VM that starts what the others know.
    fn introduce(&mut self, vm: usize) {
        let config = self.config();
        self.apply(vm, config);
        let peers = self.names.iter().enumerate();
        let peers = peers.filter(|(peer, _)| *peer != vm);
        let peers = peers.map(|(_, name)| Arc::clone(name)).collect();
        self.apply(vm, Event::Peers(peers));
        for worker in 0..self.workers.len() {
            if self.workers[worker].up {
                let event = self.announcement(worker);
                self.apply(vm, event);
            }
        }
    }

    fn announcement(&mut self, number: usize) -> Event {
        let worker = &mut self.workers[number];
        worker.sequence += 1;
        Event::Announced(Entry {
            announcement: Announcement {
                name: Arc::clone(&worker.name),
                service: "engines".into(),
                address: address(number, worker.born),
                zone: format!("zone-{}", worker.zone).into(),
                slots: self.day.engine.slots,
                state: if worker.leaving {
                    State::Draining
                } else {
                    State::Ready
                },
                cold_ms: worker.cold_until.since(self.now).as_millis() as u64,
                started_ms: worker.born,
                sequence: worker.sequence,
            },
            age_ms: 0,
        })
    }

    fn between(&self, first: usize, second: usize) -> Duration {
        ms(if first == second {
            IN_ZONE_MS
        } else {
            self.day.cross_zone_ms
        })
    }

    fn send_vm(&mut self, after: Duration, vm: usize, event: Event) {
        let start = self.vms[vm].start;
        self.push(self.now + after, What::ToVm(vm, start, event));
    }

    fn send_all(&mut self, after: Duration, event: &Event) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.send_vm(after, vm, event.clone());
            }
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Arrive(call) => self.arrive(call),
            What::ToVm(vm, start, event) => {
                if self.vms[vm].up && self.vms[vm].start == start {
                    self.apply(vm, event);
                }
            }
            What::ToEngine(worker, input) => self.input(worker, input),
            What::Pass(worker) => self.pass(worker),
            What::Tick => {
                for vm in 0..self.vms.len() {
                    if self.vms[vm].up && self.policy == Policy::Product {
                        self.apply(vm, Event::Tick);
                    }
                }
                self.push(self.now + TICK, What::Tick);
            }
            What::Announce(worker, born) => {
                if self.workers[worker].up && self.workers[worker].born == born {
                    let event = self.announcement(worker);
                    self.send_all(ANNOUNCED, &event);
                    self.push(self.now + ANNOUNCE, What::Announce(worker, born));
                }
            }
            What::ToCaller(call, number, what) => self.hear(call, number, what),
            What::Patience(call, number) => self.patience(call, number),
            What::Silence(attempt) => self.silence(attempt),
            What::Begin(trouble) => self.begin(trouble),
            What::Finish(trouble) => self.end_trouble(trouble),
        }
    }
}

/// The end of a day.
impl World<'_> {
    fn finish(mut self) -> Report {
        let mut records = Vec::with_capacity(self.arrivals.len());
        for (arrival, caller) in self.arrivals.iter().zip(&self.callers) {
            let arrived = START + ms(arrival.at_ms);
            let since = |at: Instant| at.since(arrived).as_secs_f64() * 1e3;
            let caller = caller.as_ref();
            let end = caller.and_then(|caller| caller.end);
            self.audit.without_end += u64::from(caller.is_some() && end.is_none());
            let (outcome, end) = end.unwrap_or((Outcome::Failed, self.now));
            let predicted = caller.and_then(|caller| {
                let seen = caller.engine_first?.since(caller.dispatched?);
                let predicted = caller.predicted?;
                Some((predicted.as_secs_f64() * 1e3, seen.as_secs_f64() * 1e3))
            });
            let seen = Seen {
                outcome,
                first_ms: caller.and_then(|caller| caller.first).map(since),
                end_ms: arrival.at_ms + since(end),
                again: caller.is_some_and(|caller| caller.again),
                offered: caller.is_some_and(|caller| caller.offered),
                predicted,
                readers: caller.map_or(0, |caller| caller.readers),
            };
            records.push(Record::new(self.day, arrival, seen));
        }
        self.audit.held_tokens = self.workers.iter().map(|w| w.engine.kv_tokens_used()).sum();
        let pending = self.vms.iter().map(|vm| vm.reducer.pending() as u64);
        self.audit.left_at_vms = pending.sum();
        Report::new(self.day, self.policy, self.seed, records, self.audit)
    }
}
