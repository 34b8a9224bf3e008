//! Reducers, fake engines, a fake ledger and a faulty network in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::inventory::{Inventory, Kind, Organisation, Rules, Service, Zone};
use primrosepin_core::ledger;
use primrosepin_core::message::Message;
use primrosepin_core::registry::Config;
use primrosepin_core::request::{Arrival, Attempt, End, Id, Outcome};
use primrosepin_core::serving::effect::{Dispatch, Effect};
use primrosepin_core::serving::event::Event;
use primrosepin_core::serving::{Policy, Reducer, Settings};
use primrosepin_core::target::State;
use primrosepin_core::time::Instant;
use primrosepin_core::vm::{Address, Incarnation, Instance};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::engine::{ANSWER_TOKENS, Engine, Held, PREFILL_TOKENS_PER_S, TOKEN_INTERVAL};
use crate::ledger::Ledger;
use crate::promise::{Promise, Violation};
use crate::step::Step;

/// Interval of the reducers' ticks.
const TICK: Duration = Duration::from_millis(20);

/// Interval of the engines' announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);

/// Time that an engine stays dead.
const DOWN: Duration = Duration::from_secs(3);

/// Time within which an operator's order must keep new work away.
const OUT_BOUND: Duration = Duration::from_secs(3);

/// Time past the deadline for the tick that notices it.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// Size of a world.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Zones.
    pub zones: usize,
    /// Entry VMs in each zone.
    pub nodes_per_zone: usize,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Lost messages, percent.
    pub loss_percent: u32,
    /// Doubled messages, percent.
    pub double_percent: u32,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            zones: 2,
            nodes_per_zone: 3,
            engines_per_zone: 3,
            loss_percent: 2,
            double_percent: 2,
        }
    }
}

/// An entry VM.
#[derive(Debug)]
struct Node {
    zone: usize,
    incarnation: u64,
    reducer: Option<Reducer>,
    paused: bool,
    backlog: Vec<Event>,
    shutdown: bool,
    versions: u64,
}

/// A caller's request and what became of it.
#[derive(Debug)]
struct Caller {
    node: usize,
    incarnation: u64,
    arrival: Arrival,
    deadline: Instant,
    parent: Option<Id>,
    /// Tokens that reached the caller.
    tokens: u32,
    finals: SmallVec<[Outcome; 2]>,
    gone: bool,
}

/// One run of an attempt on an engine.
#[derive(Debug, Clone, Copy)]
struct Run {
    engine: usize,
    attempt: Attempt,
}

#[derive(Debug, Clone)]
enum Delivery {
    Tick(usize, u64),
    Announce(usize),
    Node {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    Attempt {
        node: usize,
        incarnation: u64,
        dispatch: Dispatch,
    },
    Token {
        engine: usize,
        incarnation: u64,
        attempt: Attempt,
        stream: u64,
        reply: Attempt,
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
    Ledger {
        node: usize,
        incarnation: u64,
        request: Id,
        call: ledger::Call,
    },
    Return(usize),
}

/// A deployment in virtual time.
#[derive(Debug)]
pub struct World {
    size: Size,
    seed: u64,
    now: Instant,
    rng: Xoshiro256PlusPlus,
    queue: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    streams: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    ledger: Ledger,
    config: Arc<Config>,
    isolated: BTreeSet<usize>,
    control_cut: BTreeSet<usize>,
    callers: BTreeMap<Id, Caller>,
    runs: Vec<Run>,
    outs: BTreeMap<String, Instant>,
    violations: Vec<Violation>,
    next_id: u128,
    calm: bool,
}

impl World {
    /// Starts a deployment and lets it settle.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut world = Self {
            size,
            seed,
            now: Instant::from_micros(1_000_000),
            rng: SeedableRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            streams: 0,
            nodes: Vec::new(),
            engines: Vec::new(),
            ledger: Ledger::default(),
            config: Arc::new(config(size)),
            isolated: BTreeSet::new(),
            control_cut: BTreeSet::new(),
            callers: BTreeMap::new(),
            runs: Vec::new(),
            outs: BTreeMap::new(),
            violations: Vec::new(),
            next_id: 1,
            calm: false,
        };
        for zone in 0..size.zones {
            for _ in 0..size.nodes_per_zone {
                world.nodes.push(Node {
                    zone,
                    incarnation: 0,
                    reducer: None,
                    paused: false,
                    backlog: Vec::new(),
                    shutdown: false,
                    versions: 0,
                });
            }
            for _ in 0..size.engines_per_zone {
                let index = world.engines.len();
                world
                    .engines
                    .push(Engine::new(index, zone, &zone_name(zone)));
                let start = world.now + Duration::from_millis(10 * index as u64);
                world.push(start, Delivery::Announce(index));
            }
        }
        for node in 0..world.nodes.len() {
            world.start_node(node);
        }
        world.run_for(Duration::from_secs(10));
        world
    }

    /// Carries out one step of a history.
    pub fn step(&mut self, step: Step) {
        let node = |n: u8| usize::from(n) % (self.size.zones * self.size.nodes_per_zone);
        let engine = |n: u8| usize::from(n) % (self.size.zones * self.size.engines_per_zone);
        let zone = |n: u8| usize::from(n) % self.size.zones;
        match step {
            Step::Send {
                node: n,
                kilotokens,
                key,
            } => self.send(node(n), kilotokens, key),
            Step::CallerGone(n) => self.caller_gone(node(n)),
            Step::Kill(n) => self.kill(engine(n)),
            Step::Cold(n) => self.turn_cold(engine(n)),
            Step::Silence(n) => {
                for held in self.engines[engine(n)].held.values_mut() {
                    held.silent = true;
                }
            }
            Step::Cut(n) => self.cut(engine(n)),
            Step::Drain(n) => {
                let engine = engine(n);
                self.engines[engine].announcement.state = State::Draining;
                self.engines[engine].warm_at = None;
                let name = self.engines[engine].announcement.name.to_string();
                self.outs.entry(name).or_insert(self.now);
            }
            Step::Crash(n) => self.crash(node(n)),
            Step::Restart(n) => {
                if self.nodes[node(n)].reducer.is_none() {
                    self.start_node(node(n));
                }
            }
            Step::Pause(n) => self.nodes[node(n)].paused = true,
            Step::Resume(n) => self.resume(node(n)),
            Step::Shutdown(n) => {
                self.nodes[node(n)].shutdown = true;
                self.apply(node(n), Event::Drain);
            }
            Step::Isolate(n) => {
                self.isolated.insert(node(n));
            }
            Step::CutControl(n) => {
                self.control_cut.insert(zone(n));
            }
            Step::Heal => {
                self.isolated.clear();
                self.control_cut.clear();
            }
            Step::ZoneOut(n) => self.set_out(zone_name(zone(n)), true, true),
            Step::ZoneIn(n) => self.set_out(zone_name(zone(n)), true, false),
            Step::TargetOut(n) => {
                let name = self.engines[engine(n)].announcement.name.to_string();
                self.set_out(name, false, true);
            }
            Step::TargetIn(n) => {
                let engine = &mut self.engines[engine(n)].announcement;
                if engine.state == State::Draining {
                    engine.state = State::Warm;
                }
                let name = engine.name.to_string();
                self.set_out(name, false, false);
            }
            Step::Wait(ms) => self.run_for(Duration::from_millis(u64::from(ms))),
        }
    }

    /// Heals all faults, waits until all deadlines have passed and checks the promises that hold at rest.
    pub fn settle(&mut self) {
        self.step(Step::Heal);
        self.calm = true;
        for node in 0..self.nodes.len() {
            self.resume(node);
        }
        let end = self
            .callers
            .values()
            .map(|caller| caller.deadline)
            .max()
            .unwrap_or(self.now);
        self.run_for(end.since(self.now) + Duration::from_secs(15));
        self.check_at_rest();
    }

    /// Returns the broken promises so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns how many requests got each outcome: answered, not run, failed, unknown.
    pub fn outcomes(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for caller in self
            .callers
            .values()
            .filter(|caller| caller.parent.is_none())
        {
            for &outcome in &caller.finals {
                counts[outcome as usize] += 1;
            }
        }
        counts
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        self.now = end;
    }

    fn push(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn push_after(&mut self, delay: Duration, delivery: Delivery) {
        self.push(self.now + delay, delivery);
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..3_000))
    }

    fn violate(&mut self, promise: Promise, detail: String) {
        self.violations.push(Violation { promise, detail });
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(node, incarnation) => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].reducer.is_some()
                {
                    self.apply(node, Event::Tick);
                    self.push_after(TICK, Delivery::Tick(node, incarnation));
                }
            }
            Delivery::Announce(engine) => self.announce(engine),
            Delivery::Node {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.apply(node, event);
                }
            }
            Delivery::Attempt {
                node,
                incarnation,
                dispatch,
            } => {
                self.attempt_arrives(node, incarnation, &dispatch);
            }
            Delivery::Token {
                engine,
                incarnation,
                attempt,
                stream,
                reply,
            } => {
                if self.engines[engine].announcement.incarnation == incarnation {
                    self.token(engine, attempt, stream, reply);
                }
            }
            Delivery::Cancel { engine, attempt } => {
                let engine = &mut self.engines[engine];
                engine.held.remove(&attempt);
                engine.reserved.remove(&attempt);
                engine.cancelled.push(attempt);
            }
            Delivery::Reserve {
                node,
                incarnation,
                attempt,
                parts,
            } => {
                self.reserve(node, incarnation, attempt, &parts);
            }
            Delivery::Ledger {
                node,
                incarnation,
                request,
                call,
            } => {
                let cut = self.control_cut.contains(&self.nodes[node].zone)
                    || self.isolated.contains(&node);
                let answer = if cut {
                    ledger::Answer::Unavailable
                } else {
                    self.ledger.call(self.now, call)
                };
                let delay = self.latency();
                self.push_after(
                    delay,
                    Delivery::Node {
                        node,
                        incarnation,
                        event: Event::Ledger { request, answer },
                    },
                );
            }
            Delivery::Return(engine) => {
                if self.engines[engine]
                    .dead_until
                    .is_some_and(|until| until <= self.now)
                {
                    self.engines[engine].start(self.now);
                }
            }
        }
    }

    fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.paused = false;
        node.shutdown = false;
        node.versions = 0;
        node.backlog.clear();
        let zone = node.zone;
        let incarnation = node.incarnation;
        let settings = Settings {
            vm: instance(index, incarnation),
            address: address(index),
            zone: zone_name(zone).into(),
            seeds: (0..self.size.nodes_per_zone)
                .map(|n| address(zone * self.size.nodes_per_zone + n).peers)
                .filter(|seed| *seed != address(index).peers)
                .collect(),
            other_zones: (0..self.nodes.len())
                .filter(|n| n / self.size.nodes_per_zone != zone)
                .map(|n| address(n).peers)
                .collect(),
            control: vec![control_address()],
            policy: Policy::Length,
        };
        let seed = self.seed ^ ((index as u64) << 32) ^ incarnation;
        self.nodes[index].reducer = Some(Reducer::new(settings, seed, self.now));
        self.push_after(TICK, Delivery::Tick(index, incarnation));
        self.pull_config(index);
    }

    /// Stands for the entry process, which asks control for the configuration each second.
    fn pull_config(&mut self, node: usize) {
        let cut =
            self.control_cut.contains(&self.nodes[node].zone) || self.isolated.contains(&node);
        if !cut && self.nodes[node].versions < self.config.version {
            let config = Arc::clone(&self.config);
            self.apply(node, Event::Configured(config));
        }
    }

    fn crash(&mut self, index: usize) {
        self.nodes[index].reducer = None;
        self.nodes[index].incarnation += 1;
        // The engines drop what nobody reads when its lease passes.
        for engine in &mut self.engines {
            engine.held.retain(|_, held| held.owner.0 != index);
            engine.reserved.retain(|_, (_, owner)| owner.0 != index);
        }
    }

    fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        let backlog = std::mem::take(&mut self.nodes[index].backlog);
        for event in backlog {
            self.apply(index, event);
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
            self.outs.entry(name).or_insert(self.now);
        } else {
            self.outs.remove(&name);
        }
        config.version += 1;
        self.config = Arc::new(config);
    }

    fn send(&mut self, node: usize, kilotokens: u16, key: Option<u8>) {
        if self.nodes[node].reducer.is_none() || self.nodes[node].shutdown {
            return;
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        let arrival = Arrival {
            id,
            organisation: format!("org-{}", kilotokens % 3).into(),
            service: "lm".into(),
            model: Some("lm-7b".into()),
            prompt_tokens: u64::from(kilotokens.max(1)) * 1_000,
            max_tokens: u64::from(ANSWER_TOKENS),
            prefix: SmallVec::new(),
            at_most_once: key.is_some(),
            repeatable: key.is_none(),
            key: key.map(|key| format!("key-{key}").into()),
            deadline: None,
            handed_over: false,
        };
        self.arrive(node, arrival, None);
    }

    fn arrive(&mut self, node: usize, mut arrival: Arrival, parent: Option<Id>) {
        if arrival.at_most_once {
            // One organisation, so that equal keys are the same ledger entry.
            arrival.organisation = "org-0".into();
        }
        let limit = Rules::default()
            .deadlines
            .iter()
            .find(|deadline| arrival.prompt_tokens <= deadline.prompt_tokens_max)
            .map_or(600_000, |deadline| deadline.ms);
        self.callers.insert(
            arrival.id,
            Caller {
                node,
                incarnation: self.nodes[node].incarnation,
                arrival: arrival.clone(),
                deadline: self.now + Duration::from_millis(limit),
                parent,
                tokens: 0,
                finals: SmallVec::new(),
                gone: false,
            },
        );
        self.apply(node, Event::Arrived(Box::new(arrival)));
    }

    fn caller_gone(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let last = self.callers.iter_mut().rev().find(|(_, caller)| {
            caller.node == node && caller.incarnation == incarnation && caller.finals.is_empty()
        });
        let Some((&id, caller)) = last else { return };
        caller.gone = true;
        self.apply(node, Event::CallerGone(id));
    }

    fn kill(&mut self, engine: usize) {
        let until = self.now + DOWN;
        self.cut(engine);
        self.engines[engine].die(until);
        self.push(until, Delivery::Return(engine));
    }

    fn turn_cold(&mut self, engine: usize) {
        self.cut(engine);
        let now = self.now;
        self.engines[engine].turn_cold(now);
    }

    /// Ends all open streams of an engine; what the engine holds stays.
    fn cut(&mut self, engine: usize) {
        let open: Vec<_> = self.engines[engine]
            .held
            .iter()
            .filter(|(_, held)| !held.finished)
            .map(|(attempt, held)| (*attempt, held.clone()))
            .collect();
        for (attempt, held) in open {
            if let Some(kept) = self.engines[engine].held.get_mut(&attempt) {
                self.streams += 1;
                kept.stream = self.streams;
            }
            let end = if held.next == 0 {
                End::Lost
            } else {
                End::Broken
            };
            let delay = self.latency();
            self.push_after(
                delay,
                Delivery::Node {
                    node: held.owner.0,
                    incarnation: held.owner.1,
                    event: Event::Ended { attempt, end },
                },
            );
        }
    }

    fn announce(&mut self, engine: usize) {
        self.push_after(ANNOUNCE, Delivery::Announce(engine));
        if engine == 0 {
            // Nodes ask control for the configuration about as often.
            for node in 0..self.nodes.len() {
                self.pull_config(node);
            }
        }
        if !self.engines[engine].alive() {
            return;
        }
        let now = self.now;
        let announcement = self.engines[engine].announce(now);
        let first = self.engines[engine].zone * self.size.nodes_per_zone;
        // An engine goes on to the next entry VM when one does not answer.
        let start = self.rng.random_range(0..self.size.nodes_per_zone);
        let alive = (0..self.size.nodes_per_zone)
            .map(|n| first + (start + n) % self.size.nodes_per_zone)
            .find(|&node| self.nodes[node].reducer.is_some() && !self.nodes[node].paused);
        if let Some(node) = alive {
            let incarnation = self.nodes[node].incarnation;
            let delay = self.latency();
            self.push_after(
                delay,
                Delivery::Node {
                    node,
                    incarnation,
                    event: Event::Announced(announcement),
                },
            );
        }
    }

    fn apply(&mut self, index: usize, event: Event) {
        if self.nodes[index].paused {
            if !matches!(event, Event::Tick) {
                self.nodes[index].backlog.push(event);
            }
            return;
        }
        let now = self.now;
        if let Event::Progress { attempt, tokens } = &event
            && let Some(caller) = self.callers.get_mut(&attempt.request)
        {
            caller.tokens += tokens;
        }
        let Some(reducer) = &mut self.nodes[index].reducer else {
            return;
        };
        let mut effects = Vec::new();
        reducer.apply(now, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        let incarnation = self.nodes[index].incarnation;
        match effect {
            Effect::Dispatch(dispatch) => {
                let delay = self.latency();
                self.push_after(
                    delay,
                    Delivery::Attempt {
                        node: index,
                        incarnation,
                        dispatch,
                    },
                );
            }
            Effect::Abort(attempt) => {
                if self.nodes[index].shutdown {
                    let caller = self.callers.get(&attempt.request);
                    if caller
                        .is_some_and(|c| !c.gone && self.now < c.deadline && c.finals.is_empty())
                        && !self.engine_fault_allowed()
                    {
                        self.violate(
                            Promise::Graceful,
                            format!("{attempt:?} aborted at shutdown"),
                        );
                    }
                }
                for engine in &mut self.engines {
                    if let Some(held) = engine.held.get_mut(&attempt) {
                        self.streams += 1;
                        held.stream = self.streams;
                    }
                }
            }
            Effect::Cancel { address, attempt } => {
                if let Some(engine) = self.engine_at(address) {
                    let delay = self.latency() * 2;
                    self.push_after(delay, Delivery::Cancel { engine, attempt });
                }
            }
            Effect::Reserve { attempt, parts, .. } => {
                let delay = self.latency();
                self.push_after(
                    delay,
                    Delivery::Reserve {
                        node: index,
                        incarnation,
                        attempt,
                        parts,
                    },
                );
            }
            Effect::Unreserve { attempt, parts } => {
                for part in parts {
                    if let Some(engine) = self.engine_at(part) {
                        self.engines[engine].reserved.remove(&attempt);
                    }
                }
            }
            Effect::Respond(refusal) => self.finish(refusal.request, refusal.outcome),
            Effect::Replay {
                request, outcome, ..
            } => self.finish(request, outcome),
            Effect::Complete(request) => self.finish(request, Outcome::Answered),
            Effect::HandOver { request, address } => self.hand_over(index, request, address),
            Effect::Ledger { request, call } => {
                let delay = self.latency();
                self.push_after(
                    delay,
                    Delivery::Ledger {
                        node: index,
                        incarnation,
                        request,
                        call,
                    },
                );
            }
            Effect::Probe { target, address } => {
                let alive = self
                    .engine_at(address)
                    .is_some_and(|engine| self.engines[engine].alive());
                let delay = self.latency() * 2;
                self.push_after(
                    delay,
                    Delivery::Node {
                        node: index,
                        incarnation,
                        event: Event::Probed { target, alive },
                    },
                );
            }
            Effect::Send { to, message, .. } => self.transmit(index, to, &message),
            Effect::InForce(config) => {
                if config.version < self.nodes[index].versions {
                    self.violate(
                        Promise::Config,
                        format!("node {index} reverts to {}", config.version),
                    );
                }
                self.nodes[index].versions = config.version;
            }
            Effect::Ready(_) | Effect::Notice(_) => {}
        }
    }

    fn engine_fault_allowed(&self) -> bool {
        !self.calm
    }

    fn engine_at(&self, address: SocketAddr) -> Option<usize> {
        self.engines
            .iter()
            .position(|engine| engine.announcement.address == address)
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, message: &Message) {
        if to == control_address() {
            return;
        }
        let Some(node) = (0..self.nodes.len()).find(|&n| address(n).peers == to) else {
            return;
        };
        if self.isolated.contains(&from) || self.isolated.contains(&node) {
            return;
        }
        if self.rng.random_range(0..100) < self.size.loss_percent {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.size.double_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.latency();
            let event = Event::Received {
                from: instance(from, self.nodes[from].incarnation),
                message: message.clone(),
            };
            let incarnation = self.nodes[node].incarnation;
            self.push_after(
                delay,
                Delivery::Node {
                    node,
                    incarnation,
                    event,
                },
            );
        }
    }

    fn attempt_arrives(&mut self, node: usize, incarnation: u64, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        let answer = |world: &mut Self, end: End| {
            let delay = world.latency();
            let event = Event::Ended { attempt, end };
            world.push_after(
                delay,
                Delivery::Node {
                    node,
                    incarnation,
                    event,
                },
            );
        };
        let Some(index) = self
            .engine_at(dispatch.address)
            .filter(|&e| self.engines[e].alive())
        else {
            return answer(self, End::NotRun { busy: false });
        };
        if let Some((held, from)) = dispatch.resume {
            return self.resume_stream(index, node, incarnation, attempt, held, from);
        }
        if self.engines[index].cancelled.contains(&attempt) {
            return answer(self, End::NotRun { busy: false });
        }
        self.check_out(index, node, attempt);
        let engine = &self.engines[index];
        let busy = engine.running() >= engine.announcement.max_running as usize
            || engine.announcement.state == State::Draining;
        let tokens = self
            .callers
            .get(&attempt.request)
            .map_or(0, |c| c.arrival.prompt_tokens);
        if busy {
            return answer(self, End::NotRun { busy: true });
        }
        if engine.announcement.state == State::Cold {
            let budget = engine.announcement.cold_budget;
            let used: u64 = engine
                .held
                .values()
                .filter(|h| !h.finished)
                .map(|h| h.tokens)
                .sum();
            let alone = engine.running() == 0;
            if engine.running() + 1 > budget.requests as usize
                || (used + tokens > budget.tokens && !alone)
            {
                let detail = format!("{attempt:?} overruns cold engine {index}");
                self.violate(Promise::ColdBudget, detail);
            }
        }
        self.record_run(index, attempt);
        self.streams += 1;
        let stream = self.streams;
        let engine = &mut self.engines[index];
        engine.held.insert(
            attempt,
            Held {
                owner: (node, incarnation),
                tokens,
                next: 0,
                silent: false,
                finished: false,
                stream,
            },
        );
        let engine_incarnation = engine.announcement.incarnation;
        let backlog: u64 = engine
            .held
            .values()
            .filter(|h| h.next == 0)
            .map(|h| h.tokens)
            .sum();
        let prefill = Duration::from_micros(backlog * 1_000_000 / PREFILL_TOKENS_PER_S);
        self.push_after(
            prefill,
            Delivery::Token {
                engine: index,
                incarnation: engine_incarnation,
                attempt,
                stream,
                reply: attempt,
            },
        );
    }

    fn resume_stream(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        held: Attempt,
        from: u32,
    ) {
        let kept = self.engines[engine]
            .held
            .get_mut(&held)
            .filter(|kept| kept.next >= from);
        let Some(kept) = kept else {
            let delay = self.latency();
            let event = Event::Ended {
                attempt,
                end: End::Lost,
            };
            return self.push_after(
                delay,
                Delivery::Node {
                    node,
                    incarnation,
                    event,
                },
            );
        };
        self.streams += 1;
        kept.stream = self.streams;
        kept.silent = false;
        kept.finished = false;
        kept.next = from;
        let stream = self.streams;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        self.push_after(
            TOKEN_INTERVAL,
            Delivery::Token {
                engine,
                incarnation: engine_incarnation,
                attempt: held,
                stream,
                reply: attempt,
            },
        );
    }

    fn token(&mut self, engine: usize, attempt: Attempt, stream: u64, reply: Attempt) {
        let Some(held) = self.engines[engine].held.get_mut(&attempt) else {
            return;
        };
        if held.stream != stream {
            return;
        }
        let (node, incarnation) = held.owner;
        let event = if held.next < ANSWER_TOKENS {
            held.next += 1;
            Event::Progress {
                attempt: reply,
                tokens: 1,
            }
        } else {
            held.finished = true;
            let prompt_tokens = held.tokens;
            Event::Ended {
                attempt: reply,
                end: End::Whole {
                    prompt_tokens,
                    cached_tokens: 0,
                    generated_tokens: u64::from(ANSWER_TOKENS),
                },
            }
        };
        if held.silent {
            // The engine goes on; nobody receives it.
            held.finished = held.next >= ANSWER_TOKENS;
            return;
        }
        let finished = held.finished;
        let engine_incarnation = self.engines[engine].announcement.incarnation;
        if finished {
            self.engines[engine].held.remove(&attempt);
        } else {
            self.push_after(
                TOKEN_INTERVAL,
                Delivery::Token {
                    engine,
                    incarnation: engine_incarnation,
                    attempt,
                    stream,
                    reply,
                },
            );
        }
        // Delivered at once: a stream keeps its order.
        if self.nodes[node].incarnation == incarnation {
            self.apply(node, event);
        }
    }

    fn reserve(
        &mut self,
        node: usize,
        incarnation: u64,
        attempt: Attempt,
        parts: &[(SocketAddr, u64)],
    ) {
        let engines: Vec<_> = parts
            .iter()
            .filter_map(|(address, tokens)| Some((self.engine_at(*address)?, *tokens)))
            .filter(|(engine, _)| self.engines[*engine].alive())
            .collect();
        let all = engines.len() == parts.len();
        if all {
            for (engine, tokens) in engines {
                self.engines[engine]
                    .reserved
                    .insert(attempt, (tokens, (node, incarnation)));
            }
        }
        let delay = self.latency();
        let event = Event::Reserved { attempt, all };
        self.push_after(
            delay,
            Delivery::Node {
                node,
                incarnation,
                event,
            },
        );
    }

    fn hand_over(&mut self, index: usize, request: Id, to: SocketAddr) {
        let incarnation = self.nodes[index].incarnation;
        let target = (0..self.nodes.len()).find(|&n| address(n).callers == Some(to));
        let reachable = target.filter(|&n| {
            self.nodes[n].reducer.is_some()
                && !self.isolated.contains(&n)
                && !self.isolated.contains(&index)
                && !self.nodes[n].paused
        });
        let Some(node) = reachable else {
            let event = Event::HandedOver {
                request,
                end: End::NotRun { busy: false },
            };
            let delay = self.latency();
            return self.push_after(
                delay,
                Delivery::Node {
                    node: index,
                    incarnation,
                    event,
                },
            );
        };
        let Some(caller) = self.callers.get(&request) else {
            return;
        };
        let mut arrival = caller.arrival.clone();
        arrival.id = Id(self.next_id);
        self.next_id += 1;
        arrival.handed_over = true;
        self.arrive(node, arrival, Some(request));
    }

    fn record_run(&mut self, engine: usize, attempt: Attempt) {
        self.runs.push(Run { engine, attempt });
        let Some(caller) = self.callers.get(&attempt.request) else {
            return;
        };
        if caller.finals.contains(&Outcome::NotRun) {
            let detail = format!("{attempt:?} ran after the answer not_run");
            return self.violate(Promise::TrueRefusal, detail);
        }
        if !caller.arrival.at_most_once {
            return;
        }
        let key = caller.arrival.key.clone();
        let runs = self.runs.iter().filter(|run| {
            self.callers
                .get(&run.attempt.request)
                .is_some_and(|caller| caller.arrival.key == key)
        });
        let runs: Vec<_> = runs.map(|run| (run.engine, run.attempt)).collect();
        if runs.len() > 1 {
            self.violate(Promise::AtMostOnce, format!("key {key:?} ran as {runs:?}"));
        }
    }

    fn check_out(&mut self, engine: usize, node: usize, attempt: Attempt) {
        // A node that cannot be reached keeps its last configuration; the promise covers reachable ones.
        let reachable =
            !self.isolated.contains(&node) && !self.control_cut.contains(&self.nodes[node].zone);
        let announcement = &self.engines[engine].announcement;
        for (name, promise) in [
            (Arc::clone(&announcement.name), Promise::TargetOut),
            (Arc::clone(&announcement.zone), Promise::ZoneOut),
        ] {
            if reachable
                && self
                    .outs
                    .get(&*name)
                    .is_some_and(|since| self.now.since(*since) > OUT_BOUND)
            {
                let detail = format!("{attempt:?} reaches {name} after its removal");
                self.violate(promise, detail);
                return;
            }
        }
    }

    fn finish(&mut self, request: Id, outcome: Outcome) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return self.violate(
                Promise::WholeAnswer,
                format!("answer for unknown {request:?}"),
            );
        };
        caller.finals.push(outcome);
        let (finals, tokens, parent) = (caller.finals.len(), caller.tokens, caller.parent);
        let replayed = caller.arrival.at_most_once;
        let deadline = caller.deadline;
        if finals > 1 {
            self.violate(
                Promise::WholeAnswer,
                format!("{request:?} ended {finals} times"),
            );
        }
        if self.now > deadline + DEADLINE_SLACK {
            self.violate(
                Promise::Finishes,
                format!("{request:?} ended past its deadline"),
            );
        }
        let ran = self.runs.iter().any(|run| run.attempt.request == request);
        if outcome == Outcome::NotRun && ran {
            self.violate(
                Promise::TrueRefusal,
                format!("{request:?} ran and got not_run"),
            );
        }
        let children = self
            .callers
            .values()
            .any(|child| child.parent == Some(request));
        if outcome == Outcome::Answered && tokens != ANSWER_TOKENS && !replayed && !children {
            self.violate(
                Promise::WholeAnswer,
                format!("{request:?} answered with {tokens} tokens"),
            );
        }
        let Some(parent) = parent else { return };
        let Some(caller) = self.callers.get(&parent) else {
            return;
        };
        let (node, incarnation) = (caller.node, caller.incarnation);
        let end = match outcome {
            Outcome::Answered => End::Whole {
                prompt_tokens: 0,
                cached_tokens: 0,
                generated_tokens: u64::from(tokens),
            },
            Outcome::NotRun => End::NotRun { busy: true },
            Outcome::Failed => End::Broken,
            Outcome::Unknown => End::Lost,
        };
        let delay = self.latency();
        let event = Event::HandedOver {
            request: parent,
            end,
        };
        self.push_after(
            delay,
            Delivery::Node {
                node,
                incarnation,
                event,
            },
        );
    }

    fn check_at_rest(&mut self) {
        let mut found = Vec::new();
        for (id, caller) in &self.callers {
            let alive = self.nodes[caller.node].incarnation == caller.incarnation;
            if alive && caller.finals.is_empty() && !caller.gone {
                found.push((Promise::Finishes, format!("{id:?} has no outcome")));
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            for (attempt, held) in &engine.held {
                found.push((
                    Promise::NoLeak,
                    format!("engine {index} holds {attempt:?} {held:?}"),
                ));
            }
            for attempt in engine.reserved.keys() {
                found.push((
                    Promise::NoLeak,
                    format!("engine {index} reserves for {attempt:?}"),
                ));
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.reducer.is_some() && node.versions != self.config.version {
                let detail = format!(
                    "node {index} has {} of {}",
                    node.versions, self.config.version
                );
                found.push((Promise::Config, detail));
            }
        }
        for (promise, detail) in found {
            self.violate(promise, detail);
        }
    }
}

fn config(size: Size) -> Config {
    let organisation = |index: usize| Organisation {
        name: format!("org-{index}").into(),
        keys_sha256: Vec::new(),
        share: 1,
        max_running: 64,
    };
    Config {
        version: 1,
        inventory: Inventory {
            zones: (0..size.zones)
                .map(|zone| Zone {
                    name: zone_name(zone).into(),
                    region: "region-a".into(),
                    entries: (0..size.nodes_per_zone)
                        .map(|n| instance(zone * size.nodes_per_zone + n, 0).name)
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
    }
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

fn address(node: usize) -> Address {
    let ip = [127, 0, 0, node as u8 + 10];
    Address {
        peers: SocketAddr::from((ip, 7_000)),
        callers: Some(SocketAddr::from((ip, 8_080))),
    }
}

fn control_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 5], 7_000))
}
