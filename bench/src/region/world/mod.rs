//! Simulation of the entry VMs, engines and callers of one day in virtual time.

mod caller;
mod disruption;
mod engine;
mod vm;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fleet::{
    Announcement, Config, Engine, Entry, Event, Id, Limits, Organisation, Peer, Reducer, Refusal,
    RetryPolicy, Route, Service, Settings, State,
};
use primrosepin_core::time::Instant;
use primrosepin_standin::passes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smallvec::{SmallVec, smallvec};

use super::report::Observed;
use super::{Arrival, Day, Disruption, Outcome, Policy, Record, Report};

/// Virtual time at which a day starts. It is not zero, because the entry VMs have been up for a
/// while.
const START: Instant = Instant::from_micros(1_000_000_000);

/// Interval of the reducers' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of an engine's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Delay until an announcement reaches all entry VMs.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(60);

/// Delay until a configuration change is in force at all entry VMs.
const CONFIG_DELAY: Duration = Duration::from_millis(150);

/// One-way latency within a zone, ms.
const SAME_ZONE_MS: f64 = 0.2;

/// One-way latency between callers and entry VMs.
const CALLER_LATENCY: Duration = Duration::from_millis(1);

/// Time after which connecting to an engine that is down fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Duration of a cold start.
const COLD_START: Duration = Duration::from_secs(3);

/// Time from the announcement that an engine drains to its stop.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Delay before a caller retries after a closed connection or a refusal without a retry time.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time after the end of arrivals within which all requests must end.
const END_GRACE: Duration = Duration::from_secs(20);

/// Factor on the cold rate of an engine: in cold start it may get at most the cold rate times this
/// factor, plus [`COLD_SLACK`], in requests per second.
const COLD_FACTOR: f64 = 1.5;
/// Requests per second that an engine in cold start may get in addition.
const COLD_SLACK: f64 = 5.0;

/// Counters of violated invariants; all must be zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests that had not ended when the simulation stopped.
    pub without_end: u64,
    /// Attempts beyond the limit of the route.
    pub over_attempts: u64,
    /// Requests above the rate limit of an engine in cold start.
    pub cold_overruns: u64,
    /// KV-cache memory still held after all requests have ended, tokens.
    pub held_tokens: u64,
    /// Requests accepted by engines of a zone that all entry VMs knew to be out.
    pub to_zone_out: u64,
    /// Requests still pending in a reducer when the simulation stopped.
    pub left_at_vms: u64,
}

impl Audit {
    /// Returns the number of invariants with at least one violation.
    pub fn violations(&self) -> u64 {
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

/// Identifies an attempt at an engine.
type AttemptId = passes::Id;

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
enum SimEvent {
    /// A caller sends its request or retries it.
    Arrive(usize),
    /// An event for an incarnation of an entry VM.
    ToVm(usize, u64, Event),
    ToEngine(usize, EngineInput),
    EndPass(usize),
    Tick,
    Announce(usize, u64),
    /// An event for a caller, with the number of the try that it belongs to.
    ToCaller(usize, u32, CallerEvent),
    /// Checks whether a caller gives up, by its event timeout or its deadline.
    CheckCaller(usize, u32),
    /// Checks whether an attempt has stalled or passed its deadline.
    CheckStall(AttemptId),
    BeginDisruption(usize),
    EndDisruption(usize),
}

#[derive(Debug, Clone, Copy)]
enum EngineInput {
    Request(AttemptId),
    PrefillPart(AttemptId),
    PartPrefilled(AttemptId),
    Cancel(AttemptId),
}

#[derive(Debug, Clone, Copy)]
enum CallerEvent {
    Tokens,
    Done,
    Refused(Refusal),
    /// The connection was closed.
    Closed,
}

#[derive(Debug)]
struct Caller {
    /// Requests sent so far: the first one and its retries.
    tries: u32,
    /// Entry VM of the current try.
    vm: usize,
    /// Identifies the current try at its entry VM.
    id: Id,
    /// Time at which the caller gives up, even if events still arrive.
    deadline: Instant,
    /// Time of the last event, or of the current try.
    last_event: Instant,
    first: Option<Instant>,
    longest_gap: Duration,
    /// Whether the caller retried after a refusal.
    retried: bool,
    /// Whether an engine accepted the request at least once.
    reached_engine: bool,
    /// Predicted time to the first event of the last dispatch.
    predicted: Option<Duration>,
    /// Time of the last dispatch.
    dispatched: Option<Instant>,
    /// First event of the last dispatch, as it reached the entry VM.
    first_at_engine: Option<Instant>,
    /// Engines that prefill parts of the prompt.
    readers: usize,
    end: Option<(Outcome, Instant)>,
}

#[derive(Debug)]
struct Attempt {
    /// Index of the request among the arrivals of the day.
    call: usize,
    vm: usize,
    id: Id,
    /// Engine that answers the request.
    primary: usize,
    /// Incarnation of the primary that the request was sent to.
    incarnation: u64,
    /// Engines that prefill parts of the prompt, and the KV-cache tokens that each holds.
    helpers: SmallVec<[(usize, u64); 4]>,
    /// Longest time without an event; before the first event, the predicted time is added.
    stall_timeout: Duration,
    predicted: Duration,
    deadline: Instant,
    /// Time of the last event, or of the dispatch.
    last_event: Instant,
    /// Whether the first event has arrived.
    started: bool,
    /// Tokens that earlier attempts delivered; the engine prefills them with the prompt.
    delivered_before: u64,
}

#[derive(Debug)]
struct Target {
    name: Arc<str>,
    zone: usize,
    engine: passes::Engine,
    up: bool,
    draining: bool,
    incarnation: u64,
    sequence: u64,
    cold_until: Instant,
    /// Second in virtual time, and the requests accepted within it during a cold start.
    cold_accepted: (u64, u64),
}

struct Vm {
    zone: usize,
    up: bool,
    /// Messages to an earlier incarnation are lost.
    incarnation: u64,
    reducer: Reducer,
    /// Counter of the baselines' round-robin order.
    turn: usize,
    /// Requests of this VM at each engine; counted by the baselines only.
    running: Vec<u32>,
}

/// A request that an entry VM has not ended.
#[derive(Debug, Clone, Copy)]
struct Pending {
    /// Index of the request among the arrivals of the day.
    call: usize,
    /// Current attempt at an engine.
    attempt: Option<AttemptId>,
    /// Tokens delivered by all attempts.
    delivered: u64,
    /// Attempts so far.
    attempts: u32,
}

/// Simulation of one day.
pub struct World<'d> {
    day: &'d Day,
    policy: Policy,
    seed: u64,
    now: Instant,
    random: StdRng,
    arrivals: Vec<Arrival>,
    callers: Vec<Option<Caller>>,
    vms: Vec<Vm>,
    /// Names of the entry VMs.
    names: Vec<Arc<str>>,
    /// Engines.
    targets: Vec<Target>,
    /// Index and incarnation of the engine at each address.
    by_address: BTreeMap<SocketAddr, (usize, u64)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Requests that have not ended, by entry VM.
    pending: BTreeMap<(usize, Id), Pending>,
    events: BTreeMap<(Instant, u64), SimEvent>,
    /// Last number given to an event, a request or an attempt.
    last_id: u64,
    /// Revision of the configuration.
    revision: u64,
    zones_out: Vec<usize>,
    /// Share of the messages between entry VMs that are lost.
    loss: f64,
    /// Indexes of the engines or VMs affected by each disruption.
    affected: Vec<Vec<usize>>,
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

fn address(target: usize, incarnation: u64) -> SocketAddr {
    let [_, _, high, low] = (target as u32).to_be_bytes();
    SocketAddr::from(([10, incarnation as u8, high, low], 80))
}

impl<'d> World<'d> {
    /// Creates the region as it is before the start of the day.
    pub fn new(day: &'d Day, policy: Policy, seed: u64) -> Self {
        let zones = || day.zones.iter().enumerate();
        let targets: Vec<usize> = zones()
            .flat_map(|(zone, z)| std::iter::repeat_n(zone, z.engines))
            .collect();
        let vms = zones().flat_map(|(zone, z)| std::iter::repeat_n(zone, z.vms));
        let target = |(number, zone): (usize, &usize)| Target {
            name: format!("{seed}-{number}-1").into(),
            zone: *zone,
            engine: passes::Engine::new(day.engine),
            up: true,
            draining: false,
            incarnation: 1,
            sequence: 0,
            cold_until: START,
            cold_accepted: (0, 0),
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
            targets: targets.iter().enumerate().map(target).collect(),
            by_address: (0..targets.len())
                .map(|n| (address(n, 1), (n, 1)))
                .collect(),
            attempts: BTreeMap::new(),
            pending: BTreeMap::new(),
            events: BTreeMap::new(),
            last_id: 0,
            revision: 1,
            zones_out: Vec::new(),
            loss: 0.0,
            affected: vec![Vec::new(); day.disruptions.len()],
            audit: Audit::default(),
        };
        for (number, zone) in vms.enumerate() {
            let reducer = world.reducer(number, zone);
            world.vms.push(Vm {
                zone,
                up: true,
                incarnation: 0,
                reducer,
                turn: number,
                running: vec![0; targets.len()],
            });
        }
        world
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Report {
        for vm in 0..self.vms.len() {
            self.initialize(vm);
        }
        for target in 0..self.targets.len() {
            let offset = ms(self.random.random_range(0.0..1_200.0));
            self.push(START + offset, SimEvent::Announce(target, 1));
        }
        self.push(START, SimEvent::Tick);
        for index in 0..self.arrivals.len() {
            self.callers.push(None);
            let at = START + ms(self.arrivals[index].at_ms);
            self.push(at, SimEvent::Arrive(index));
        }
        for (index, disruption) in self.day.disruptions.iter().enumerate() {
            let (at, length) = match disruption {
                Disruption::ZoneOut { at_s, for_s, .. }
                | Disruption::ZoneCold { at_s, for_s, .. }
                | Disruption::Crash { at_s, for_s, .. }
                | Disruption::Slow { at_s, for_s, .. }
                | Disruption::Lossy { at_s, for_s, .. }
                | Disruption::VmsLost { at_s, for_s, .. } => {
                    (*at_s, Duration::from_secs_f64(*for_s))
                }
                Disruption::Leave { at_s, .. } => (*at_s, DRAIN_TIME),
            };
            let at = START + Duration::from_secs_f64(at);
            self.push(at, SimEvent::BeginDisruption(index));
            self.push(at + length, SimEvent::EndDisruption(index));
        }
        let end = START + Duration::from_secs_f64(self.day.length_s) + END_GRACE;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.finish()
    }

    fn push(&mut self, at: Instant, event: SimEvent) {
        self.last_id += 1;
        self.events.insert((at.max(self.now), self.last_id), event);
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
            priority: class.priority,
            split: smallvec![("engines".into(), 1)],
            max_attempts: 2,
            public: self.day.organisations.is_empty(),
        };
        let service = Service {
            name: "engines".into(),
            max_connections: 400,
            cold_per_s: self.day.cold_per_s,
            engine: Some(Engine {
                prefix_cache_tokens: if self.policy == Policy::ProductWithoutPrefixes {
                    0
                } else {
                    self.day.engine.prefix_cache_tokens
                },
                ..self.day.engine
            }),
            zone_delay: Duration::from_secs_f64(self.day.cross_zone_ms / 1e3),
            gap: None,
            policy: primrosepin_core::fleet::Policy::default(),
        };
        let routes = self.day.classes.iter().map(route).collect();
        let organisation = |organisation: &super::Organisation| Organisation {
            name: organisation.name.as_str().into(),
            keys: vec![organisation.name.as_str().into()],
            priority: None,
        };
        let organisations: Vec<_> = self.day.organisations.iter().map(organisation).collect();
        let organisations = (!organisations.is_empty()).then_some(organisations);
        let config = Config::new(
            self.revision,
            routes,
            vec![service],
            organisations,
            Limits::default(),
        );
        let zones = self.zones_out.iter();
        Event::Configured {
            revision: self.revision,
            // The day was validated when it was read, so the configuration is valid.
            config: Arc::new(config.unwrap_or_default()),
            zones_out: zones.map(|zone| format!("zone-{zone}").into()).collect(),
        }
    }

    /// Gives an entry VM that starts its configuration, its peers and the announcements of running
    /// engines.
    fn initialize(&mut self, vm: usize) {
        let config = self.config();
        self.apply(vm, config);
        let peers = self.names.iter().enumerate();
        let peers = peers.filter(|(peer, _)| *peer != vm);
        let peers = peers.map(|(peer, name)| Peer {
            vm: Arc::clone(name),
            zone: format!("zone-{}", self.vms[peer].zone).into(),
        });
        let peers = peers.collect();
        self.apply(vm, Event::Peers(peers));
        for target in 0..self.targets.len() {
            if self.targets[target].up {
                let event = self.announcement(target);
                self.apply(vm, event);
            }
        }
    }

    fn announcement(&mut self, number: usize) -> Event {
        let target = &mut self.targets[number];
        target.sequence += 1;
        Event::Announced(Entry {
            announcement: Announcement {
                name: Arc::clone(&target.name),
                service: "engines".into(),
                address: address(number, target.incarnation),
                zone: format!("zone-{}", target.zone).into(),
                slots: self.day.engine.slots,
                state: if target.draining {
                    State::Draining
                } else {
                    State::Ready
                },
                cold_ms: target.cold_until.since(self.now).as_millis() as u64,
                started_ms: target.incarnation,
                sequence: target.sequence,
            },
            age_ms: 0,
        })
    }

    /// Confirms the configuration, without which no request with a key runs.
    fn confirm(&mut self, vm: usize) {
        let confirmed = Event::Confirmed {
            requested_at: self.now,
            age: Duration::ZERO,
            revision: self.vms[vm].reducer.revision(),
        };
        self.apply(vm, confirmed);
    }

    fn latency(&self, first: usize, second: usize) -> Duration {
        ms(if first == second {
            SAME_ZONE_MS
        } else {
            self.day.cross_zone_ms
        })
    }

    fn send_vm(&mut self, after: Duration, vm: usize, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        self.push(self.now + after, SimEvent::ToVm(vm, incarnation, event));
    }

    fn broadcast(&mut self, after: Duration, event: &Event) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.send_vm(after, vm, event.clone());
            }
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(call) => self.arrive(call),
            SimEvent::ToVm(vm, incarnation, event) => {
                if self.vms[vm].up && self.vms[vm].incarnation == incarnation {
                    self.apply(vm, event);
                }
            }
            SimEvent::ToEngine(target, input) => self.apply_input(target, input),
            SimEvent::EndPass(target) => self.end_pass(target),
            SimEvent::Tick => {
                for vm in 0..self.vms.len() {
                    if self.vms[vm].up && self.policy.is_product() {
                        if !self.day.organisations.is_empty() {
                            self.confirm(vm);
                        }
                        self.apply(vm, Event::Tick);
                    }
                }
                self.push(self.now + TICK_INTERVAL, SimEvent::Tick);
            }
            SimEvent::Announce(target, incarnation) => {
                if self.targets[target].up && self.targets[target].incarnation == incarnation {
                    let event = self.announcement(target);
                    self.broadcast(ANNOUNCE_DELAY, &event);
                    self.push(
                        self.now + ANNOUNCE_INTERVAL,
                        SimEvent::Announce(target, incarnation),
                    );
                }
            }
            SimEvent::ToCaller(call, number, event) => self.deliver(call, number, event),
            SimEvent::CheckCaller(call, number) => self.check_caller(call, number),
            SimEvent::CheckStall(attempt) => self.check_stall(attempt),
            SimEvent::BeginDisruption(disruption) => self.begin_disruption(disruption),
            SimEvent::EndDisruption(disruption) => self.end_disruption(disruption),
        }
    }
}

/// Evaluation at the end of the simulation.
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
                let measured = caller.first_at_engine?.since(caller.dispatched?);
                let predicted = caller.predicted?;
                Some((predicted.as_secs_f64() * 1e3, measured.as_secs_f64() * 1e3))
            });
            let observed = Observed {
                outcome,
                first_ms: caller.and_then(|caller| caller.first).map(since),
                end_ms: arrival.at_ms + since(end),
                retried: caller.is_some_and(|caller| caller.retried),
                reached_engine: caller.is_some_and(|caller| caller.reached_engine),
                predicted,
                readers: caller.map_or(0, |caller| caller.readers),
            };
            records.push(Record::new(self.day, arrival, observed));
        }
        self.audit.held_tokens = self.targets.iter().map(|w| w.engine.kv_tokens_used()).sum();
        let pending = self.vms.iter().map(|vm| vm.reducer.pending() as u64);
        self.audit.left_at_vms = pending.sum();
        let saved = self
            .targets
            .iter()
            .map(|target| target.engine.saved_tokens());
        let saved = saved.sum();
        Report::new(self.day, self.policy, self.seed, records, saved, self.audit)
    }
}
