//! Discrete-event simulation of entry VMs, engines, the ledger and a faulty network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::inventory::{Inventory, Kind, Organisation, Rules, Service, Zone};
use primrosepin_core::ledger;
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Arrival, Attempt, Id, Outcome};
use primrosepin_core::serving::Reducer;
use primrosepin_core::serving::effect::Dispatch;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::State;
use primrosepin_core::time::Instant;
use primrosepin_core::vm::{Address, Incarnation, Instance};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::defect::Defect;
use crate::engine::{ANSWER_TOKENS, Engine};
use crate::ledger::Ledger;
use crate::promise::Violation;
use crate::step::Step;

/// Interval of the reducers' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which an engine announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the death of an engine to its restart.
const ENGINE_DOWNTIME: Duration = Duration::from_secs(3);

/// Time after which a zone or target that was taken out of service must get no new work.
const REMOVAL_LIMIT: Duration = Duration::from_secs(3);

/// Lease after which an engine frees the memory of a process that no longer renews it.
const ENGINE_LEASE: Duration = Duration::from_secs(10);

/// Time within which the announcement of a target as cold must have reached the entry VMs of its zone.
const ANNOUNCEMENT_DELAY_MAX: Duration = Duration::from_secs(1);

/// Lease of an announcement; an entry VM stops using a target that it has not heard of for this long.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Tolerance after a deadline, as the reducer notices the deadline only at a tick.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

mod check;
mod engines;
mod node;

/// A point in the life of a request at which a fault can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The entry VM has admitted the request.
    Admitted,
    /// The entry VM has called the ledger.
    LedgerAsked,
    /// The ledger has executed the call, and its answer has not arrived.
    LedgerCommitted,
    /// The entry VM has asked the coordinator for a cold credit or for parts of a spanning request.
    CoordinatorAsked,
    /// The parts of a spanning request are reserved at the engines.
    Reserved,
    /// The entry VM has sent the attempt, which has not arrived at the engine.
    Dispatched,
    /// The engine has accepted the attempt.
    Running,
    /// The first token has reached the caller.
    FirstToken,
    /// Half of the answer has reached the caller.
    Streaming,
    /// The caller has received the outcome.
    Ended,
}

impl Stage {
    /// All stages, in the order in which a request passes them.
    pub const ALL: [Self; 10] = [
        Self::Admitted,
        Self::LedgerAsked,
        Self::LedgerCommitted,
        Self::CoordinatorAsked,
        Self::Reserved,
        Self::Dispatched,
        Self::Running,
        Self::FirstToken,
        Self::Streaming,
        Self::Ended,
    ];
}

/// Size of the simulated deployment and error rates of its network.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of zones.
    pub zones: usize,
    /// Number of entry VMs in each zone.
    pub nodes_per_zone: usize,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Share of messages between entry VMs that are lost, percent.
    pub loss_percent: u32,
    /// Share of messages between entry VMs that are delivered twice, percent.
    pub duplicate_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zones: 2,
            nodes_per_zone: 3,
            engines_per_zone: 3,
            loss_percent: 2,
            duplicate_percent: 2,
        }
    }
}

/// A simulated entry VM.
#[derive(Debug)]
struct Node {
    zone: usize,
    incarnation: u64,
    /// `None` while the process is down.
    reducer: Option<Reducer>,
    paused: bool,
    /// Events that arrived while the process was paused.
    backlog: Vec<Event>,
    shutting_down: bool,
    /// Version of the configuration in force.
    config_version: u64,
}

/// A caller's request and what the caller received.
#[derive(Debug)]
struct Caller {
    node: usize,
    incarnation: u64,
    arrival: Arrival,
    deadline: Instant,
    /// Request at another node that was handed over to this node and became this request.
    parent: Option<Id>,
    /// Tokens that reached the caller.
    tokens: u32,
    /// Outcomes that reached the caller; more than one is a violation.
    outcomes: SmallVec<[Outcome; 2]>,
    /// Whether the caller disconnected.
    gone: bool,
}

/// An attempt that an engine accepted.
#[derive(Debug, Clone, Copy)]
struct Run {
    engine: usize,
    attempt: Attempt,
}

/// Something that happens at a scheduled point in virtual time.
///
/// Nodes and engines are given by index; `incarnation` is that of the node, or of the engine for `EmitToken`.
/// Ticks, events and tokens for an incarnation that has ended by then are dropped.
#[derive(Debug, Clone)]
enum Action {
    Tick(usize, u64),
    Announce(usize),
    DeliverEvent {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    DeliverAttempt {
        node: usize,
        incarnation: u64,
        sent_at: Instant,
        dispatch: Dispatch,
    },
    EmitToken {
        engine: usize,
        incarnation: u64,
        attempt: Attempt,
        stream: u64,
        /// Attempt for which the token is reported; differs from `attempt` for a resumed stream.
        reported_as: Attempt,
    },
    Cancel {
        engine: usize,
        attempt: Attempt,
    },
    Reserve {
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        parts: Vec<(SocketAddr, u64)>,
    },
    CallLedger {
        node: usize,
        incarnation: u64,
        request: Id,
        call: ledger::Call,
    },
    RestartEngine(usize),
    /// Engines free the KV memory and reservations that they hold for earlier incarnations of a node.
    ExpireLeases(usize),
}

/// A simulated deployment.
#[derive(Debug)]
pub struct World {
    options: Options,
    seed: u64,
    now: Instant,
    rng: Xoshiro256PlusPlus,
    /// Scheduled actions by time and, at the same time, in the order of scheduling.
    queue: BTreeMap<(Instant, u64), Action>,
    sequence: u64,
    /// Highest stream identifier given out.
    last_stream: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    ledger: Ledger,
    config: Arc<Config>,
    isolated_nodes: BTreeSet<usize>,
    zones_without_control: BTreeSet<usize>,
    callers: BTreeMap<Id, Caller>,
    runs: Vec<Run>,
    /// When each zone and target that is out of service was taken out, by name.
    removed_at: BTreeMap<String, Instant>,
    /// When the last network partition ended.
    healed_at: Instant,
    violations: Vec<Violation>,
    next_request_id: u128,
    /// Stages reached by any request so far.
    reached_stages: Vec<Stage>,
    defect: Option<Defect>,
    /// Whether a step has occurred that may end a request without a complete answer.
    faulted: bool,
}

impl World {
    /// Starts a deployment and runs it for 10 s so that it settles.
    pub fn new(options: Options, seed: u64) -> Self {
        let mut world = Self {
            options,
            seed,
            now: Instant::from_micros(1_000_000),
            rng: SeedableRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            last_stream: 0,
            nodes: Vec::new(),
            engines: Vec::new(),
            ledger: Ledger::default(),
            config: Arc::new(config(options)),
            isolated_nodes: BTreeSet::new(),
            zones_without_control: BTreeSet::new(),
            callers: BTreeMap::new(),
            runs: Vec::new(),
            removed_at: BTreeMap::new(),
            healed_at: Instant::default(),
            violations: Vec::new(),
            next_request_id: 1,
            reached_stages: Vec::new(),
            defect: None,
            faulted: false,
        };
        for zone in 0..options.zones {
            for _ in 0..options.nodes_per_zone {
                world.nodes.push(Node {
                    zone,
                    incarnation: 0,
                    reducer: None,
                    paused: false,
                    backlog: Vec::new(),
                    shutting_down: false,
                    config_version: 0,
                });
            }
            for _ in 0..options.engines_per_zone {
                let index = world.engines.len();
                world
                    .engines
                    .push(Engine::new(index, zone, &zone_name(zone)));
                let start = world.now + Duration::from_millis(10 * index as u64);
                world.schedule_at(start, Action::Announce(index));
            }
        }
        for node in 0..world.nodes.len() {
            world.start_node(node);
        }
        world.run_for(Duration::from_secs(10));
        world
    }

    /// Injects a defect from now on.
    #[must_use]
    pub fn with_defect(mut self, defect: Defect) -> Self {
        self.defect = Some(defect);
        self
    }

    /// Executes one step of a history.
    pub fn step(&mut self, step: Step) {
        let options = self.options;
        let node = |n: u8| usize::from(n) % (options.zones * options.nodes_per_zone);
        let engine = |n: u8| usize::from(n) % (options.zones * options.engines_per_zone);
        let zone = |n: u8| usize::from(n) % options.zones;
        let harmless = matches!(
            step,
            Step::Send { .. }
                | Step::Wait(_)
                | Step::Shutdown(_)
                | Step::Heal
                | Step::CallerGone(_)
        );
        self.faulted |= !harmless;
        match step {
            Step::Send {
                node: n,
                kilotokens,
                key,
            } => self.send_request(node(n), kilotokens, key),
            Step::CallerGone(n) => self.disconnect_caller(node(n)),
            Step::Kill(n) => self.kill_engine(engine(n)),
            Step::Cold(n) => self.turn_cold(engine(n)),
            Step::Silence(n) => {
                for allocation in self.engines[engine(n)].allocations.values_mut() {
                    allocation.silent = true;
                }
            }
            Step::Cut(n) => self.cut_streams(engine(n)),
            Step::Drain(n) => {
                let engine = engine(n);
                self.engines[engine].announcement.state = State::Draining;
                self.engines[engine].warm_at = None;
                let now = self.now;
                self.engines[engine].draining_since.get_or_insert(now);
            }
            Step::Crash(n) => self.crash_node(node(n)),
            Step::Restart(n) => {
                if self.nodes[node(n)].reducer.is_none() {
                    self.start_node(node(n));
                }
            }
            Step::Pause(n) => self.nodes[node(n)].paused = true,
            Step::Resume(n) => self.resume_node(node(n)),
            Step::Shutdown(n) => {
                let node = node(n);
                self.nodes[node].shutting_down = true;
                if self.defect == Some(Defect::ShutdownCuts) {
                    for engine in 0..self.engines.len() {
                        self.cut_streams(engine);
                    }
                }
                self.apply(node, Event::Drain);
            }
            Step::Isolate(n) => {
                self.isolated_nodes.insert(node(n));
            }
            Step::CutControl(n) => {
                self.zones_without_control.insert(zone(n));
            }
            Step::Heal => {
                if !self.isolated_nodes.is_empty() || !self.zones_without_control.is_empty() {
                    self.healed_at = self.now;
                }
                self.isolated_nodes.clear();
                self.zones_without_control.clear();
            }
            Step::ZoneOut(n) => self.set_out(zone_name(zone(n)), true, true),
            Step::ZoneIn(n) => self.set_out(zone_name(zone(n)), true, false),
            Step::TargetOut(n) => {
                let name = self.engines[engine(n)].announcement.name.to_string();
                self.set_out(name, false, true);
            }
            Step::TargetIn(n) => {
                let engine = &mut self.engines[engine(n)];
                if engine.announcement.state == State::Draining {
                    engine.announcement.state = State::Warm;
                    engine.draining_since = None;
                }
                let name = engine.announcement.name.to_string();
                self.set_out(name, false, false);
            }
            Step::Wait(ms) => self.run_for(Duration::from_millis(u64::from(ms))),
        }
    }

    /// Ends all partitions and pauses, runs until 15 s after the last deadline, and checks the promises that
    /// hold once no request is left.
    pub fn settle(&mut self) {
        self.step(Step::Heal);
        for node in 0..self.nodes.len() {
            self.resume_node(node);
        }
        let end = self
            .callers
            .values()
            .map(|caller| caller.deadline)
            .max()
            .unwrap_or(self.now);
        self.run_for(end.since(self.now) + Duration::from_secs(15));
        self.check_settled();
    }

    /// Runs until any request has reached `stage`. Returns false if that does not happen within `limit`.
    pub fn run_until(&mut self, stage: Stage, limit: Duration) -> bool {
        let end = self.now + limit;
        while !self.reached_stages.contains(&stage) {
            let Some(entry) = self.queue.first_entry() else {
                return false;
            };
            if entry.key().0 > end {
                return false;
            }
            self.now = entry.key().0;
            let action = entry.remove();
            self.execute(action);
        }
        true
    }

    /// Returns the index of the engine that most recently accepted an attempt.
    pub fn last_engine(&self) -> Option<usize> {
        self.runs.last().map(|run| run.engine)
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of outcomes of each kind that callers received: answered, not run, failed, unknown.
    pub fn outcomes(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for caller in self
            .callers
            .values()
            .filter(|caller| caller.parent.is_none())
        {
            for &outcome in &caller.outcomes {
                counts[outcome as usize] += 1;
            }
        }
        counts
    }

    /// Describes each request on one line, for diagnosis.
    pub fn describe(&self) -> Vec<String> {
        let line = |(id, caller): (&Id, &Caller)| {
            let runs = self.runs.iter().filter(|run| run.attempt.request == *id);
            let engines: Vec<usize> = runs.map(|run| run.engine).collect();
            format!(
                "{} at vm-{} parent {:?}: {} tokens, {} delivered, ran on {engines:?}, {:?}",
                id.0,
                caller.node,
                caller.parent,
                caller.arrival.prompt_tokens,
                caller.tokens,
                caller.outcomes
            )
        };
        self.callers.iter().map(line).collect()
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let action = entry.remove();
            self.execute(action);
        }
        self.now = end;
    }

    fn schedule_at(&mut self, at: Instant, action: Action) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), action);
    }

    fn schedule_after(&mut self, delay: Duration, action: Action) {
        self.schedule_at(self.now + delay, action);
    }

    /// Schedules an event for an incarnation of a node; it is dropped if that incarnation has ended by then.
    fn schedule_event(&mut self, delay: Duration, (node, incarnation): (usize, u64), event: Event) {
        self.schedule_after(
            delay,
            Action::DeliverEvent {
                node,
                incarnation,
                event,
            },
        );
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..3_000))
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Tick(node, incarnation) => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].reducer.is_some()
                {
                    self.apply(node, Event::Tick);
                    self.schedule_after(TICK_INTERVAL, Action::Tick(node, incarnation));
                }
            }
            Action::Announce(engine) => self.announce(engine),
            Action::DeliverEvent {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.apply(node, event);
                }
            }
            Action::DeliverAttempt {
                node,
                incarnation,
                sent_at,
                dispatch,
            } => {
                self.receive_attempt(node, incarnation, sent_at, &dispatch);
            }
            Action::EmitToken {
                engine,
                incarnation,
                attempt,
                stream,
                reported_as,
            } => {
                if self.engines[engine].announcement.incarnation == incarnation {
                    self.emit_token(engine, attempt, stream, reported_as);
                }
            }
            Action::Cancel { engine, attempt } => {
                let engine = &mut self.engines[engine];
                engine.allocations.remove(&attempt);
                engine.reservations.remove(&attempt);
                engine.cancelled.push(attempt);
            }
            Action::Reserve {
                node,
                incarnation,
                attempt,
                parts,
            } => {
                self.reserve(node, incarnation, attempt, &parts);
            }
            Action::CallLedger {
                node,
                incarnation,
                request,
                call,
            } => {
                let control_unreachable =
                    self.zones_without_control.contains(&self.nodes[node].zone)
                        || self.isolated_nodes.contains(&node);
                self.reached_stages.push(Stage::LedgerCommitted);
                let answer = if control_unreachable {
                    ledger::Answer::Unavailable
                } else {
                    self.ledger.call(self.now, call)
                };
                let delay = self.latency();
                self.schedule_event(
                    delay,
                    (node, incarnation),
                    Event::Ledger { request, answer },
                );
            }
            Action::ExpireLeases(node) => {
                let incarnation = self.nodes[node].incarnation;
                let current = |owner: (usize, u64)| owner.0 != node || owner.1 >= incarnation;
                for engine in &mut self.engines {
                    engine
                        .allocations
                        .retain(|_, allocation| current(allocation.owner));
                    engine.reservations.retain(|_, (_, owner)| current(*owner));
                }
            }
            Action::RestartEngine(engine) => {
                if self.engines[engine]
                    .dead_until
                    .is_some_and(|until| until <= self.now)
                {
                    self.engines[engine].restart(self.now);
                }
            }
        }
    }

    fn set_out(&mut self, name: String, is_zone: bool, out: bool) {
        let mut config = (*self.config).clone();
        let list = if is_zone {
            &mut config.zones_out
        } else {
            &mut config.targets_out
        };
        list.retain(|listed| **listed != *name);
        if out {
            list.push(name.as_str().into());
            self.removed_at.entry(name).or_insert(self.now);
        } else {
            self.removed_at.remove(&name);
        }
        config.version += 1;
        self.config = Arc::new(config);
    }

    fn send_request(&mut self, node: usize, kilotokens: u16, key: Option<u8>) {
        if self.nodes[node].reducer.is_none() || self.nodes[node].shutting_down {
            return;
        }
        let id = Id(self.next_request_id);
        self.next_request_id += 1;
        let arrival = Arrival {
            id,
            organisation: format!("org-{}", kilotokens % 3).into(),
            service: "lm".into(),
            model: Some("lm-7b".into()),
            prompt_tokens: u64::from(kilotokens.max(1)) * 1_000,
            max_tokens: u64::from(ANSWER_TOKENS),
            prefix: SmallVec::new(),
            fingerprint: Fingerprint::new("POST", "lm", "/v1/completions", &id.0.to_le_bytes()),
            at_most_once: key.is_some(),
            repeatable: key.is_none(),
            key: key.map(|key| format!("key-{key}").into()),
            deadline: None,
            handed_over: false,
        };
        self.deliver_request(node, arrival, None);
    }

    fn deliver_request(&mut self, node: usize, mut arrival: Arrival, parent: Option<Id>) {
        if arrival.at_most_once {
            // The ledger keeps the keys of each organisation apart, so equal keys need the same one.
            arrival.organisation = "org-0".into();
        }
        self.callers.insert(
            arrival.id,
            Caller {
                node,
                incarnation: self.nodes[node].incarnation,
                arrival: arrival.clone(),
                deadline: self.now + time_limit(&arrival),
                parent,
                tokens: 0,
                outcomes: SmallVec::new(),
                gone: false,
            },
        );
        self.reached_stages.push(Stage::Admitted);
        self.apply(node, Event::Arrived(Box::new(arrival)));
    }

    fn disconnect_caller(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let last = self.callers.iter_mut().rev().find(|(_, caller)| {
            caller.node == node && caller.incarnation == incarnation && caller.outcomes.is_empty()
        });
        let Some((&id, caller)) = last else { return };
        caller.gone = true;
        self.apply(node, Event::CallerGone(id));
    }
}

fn config(options: Options) -> Config {
    let organisation = |index: usize| Organisation {
        name: format!("org-{index}").into(),
        keys_sha256: Vec::new(),
        share: 1,
        max_running: 64,
    };
    Config {
        version: 1,
        inventory: Inventory {
            zones: (0..options.zones)
                .map(|zone| Zone {
                    name: zone_name(zone).into(),
                    region: "region-a".into(),
                    entries: (0..options.nodes_per_zone)
                        .map(|n| instance(zone * options.nodes_per_zone + n, 0).name)
                        .collect(),
                })
                .collect(),
            services: vec![Service {
                name: "lm".into(),
                kind: Kind::Engine,
                models: vec!["lm-7b".into()],
                paths: Vec::new(),
                announce_keys_sha256: Vec::new(),
            }],
            organisations: (0..3).map(organisation).collect(),
            rules: Rules::default(),
        },
        zones_out: Vec::new(),
        targets_out: Vec::new(),
        zone_orders: Vec::new(),
    }
}

/// Returns the time limit of a request under the default rules.
fn time_limit(arrival: &Arrival) -> Duration {
    let rules = Rules::default();
    let limit = rules
        .deadlines
        .iter()
        .find(|limit| arrival.prompt_tokens <= limit.prompt_tokens_max);
    Duration::from_millis(limit.map_or(600_000, |limit| limit.ms))
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn instance(node: usize, incarnation: u64) -> Instance {
    Instance {
        name: format!("vm-{node}").into(),
        incarnation: Incarnation(incarnation),
    }
}

fn vm_address(node: usize) -> Address {
    let ip = [127, 0, 0, node as u8 + 10];
    Address {
        peers: SocketAddr::from((ip, 7_000)),
        callers: Some(SocketAddr::from((ip, 8_080))),
    }
}

fn control_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 5], 7_000))
}
