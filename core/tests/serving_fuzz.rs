//! Random sequences of events, checked by the verifier after each event.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::*;
use primrosepin_core::ledger::{Answer, Call};
use primrosepin_core::membership::Override;
use primrosepin_core::message::Message;
use primrosepin_core::request::{Attempt, End, Id, Outcome};
use primrosepin_core::serving::Counters;
use primrosepin_core::serving::effect::Effect;
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::{Announcement, State};
use primrosepin_core::zone::{Capacity, Summary};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

fn summary(epoch: u64, sequence: u64) -> Summary {
    let capacity = |service: &str| Capacity {
        service: service.into(),
        warm_targets: 2,
        prefill_tokens_per_s: 40_000.0,
        backlog_tokens: 1_000,
        largest_kv_tokens: 900_000,
        spanning_kv_tokens: 0,
    };
    Summary {
        zone: "b".into(),
        sequence,
        epoch,
        services: vec![capacity("lm"), capacity("orders")],
        entries: vec![address(5_000)],
    }
}

/// A zone in which engines, ledger and callers behave randomly.
struct World {
    cluster: Cluster,
    random: Xoshiro256PlusPlus,
    targets: Vec<Announcement>,
    running: Vec<(usize, Attempt)>,
    read_effects: Vec<usize>,
    arrived: Vec<(usize, Id)>,
    pending: Vec<(usize, Event)>,
    version: u64,
}

impl World {
    fn new(seed: u64, vms: u16) -> Self {
        let mut targets: Vec<_> = (0..5)
            .map(|number| engine(&format!("t{number}"), 101 + number))
            .collect();
        for target in &mut targets[2..] {
            target.spans = true;
            target.max_running = 3;
        }
        targets.push(plain("o1", 120));
        targets.push(plain("o2", 121));
        Self {
            cluster: Cluster::new(vms),
            random: SeedableRng::seed_from_u64(seed),
            targets,
            running: Vec::new(),
            read_effects: vec![0; usize::from(vms)],
            arrived: Vec::new(),
            pending: Vec::new(),
            version: 1,
        }
    }

    fn pick(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }

    /// Reads new effects and queues the events that answer them.
    fn collect(&mut self) {
        for index in 0..self.cluster.hosts.len() {
            let effects = self.cluster.hosts[index].log[self.read_effects[index]..].to_vec();
            self.read_effects[index] += effects.len();
            for effect in effects {
                match effect {
                    Effect::Dispatch(dispatch) => self.running.push((index, dispatch.attempt)),
                    Effect::Ledger { request, call } => {
                        let answers = match call {
                            Call::Begin { .. } => vec![
                                Answer::Claimed,
                                Answer::Claimed,
                                Answer::Claimed,
                                Answer::InFlight,
                                Answer::Conflict,
                                Answer::Unavailable,
                                Answer::Finished {
                                    outcome: Outcome::Answered,
                                    response: None,
                                },
                            ],
                            Call::Finish { .. } => vec![Answer::Recorded, Answer::Unavailable],
                        };
                        let at = self.pick(answers.len());
                        let answer = answers[at].clone();
                        self.pending
                            .push((index, Event::Ledger { request, answer }));
                    }
                    Effect::Probe { target, .. } => {
                        let alive = self.random.random_bool(0.6);
                        self.pending.push((index, Event::Probed { target, alive }));
                    }
                    Effect::Reserve { attempt, .. } => {
                        let all = self.random.random_bool(0.7);
                        self.pending.push((index, Event::Reserved { attempt, all }));
                    }
                    Effect::HandOver { request, .. } => {
                        let end = self.end();
                        self.pending
                            .push((index, Event::HandedOver { request, end }));
                    }
                    _ => {}
                }
            }
        }
    }

    fn end(&mut self) -> End {
        match self.pick(8) {
            0 => End::NotRun { busy: true },
            1 => End::NotRun { busy: false },
            2 => End::NoAnswer,
            3 => End::Truncated,
            _ => COMPLETE_ANSWER,
        }
    }

    fn step(&mut self, id: u128) {
        let vms = self.cluster.hosts.len();
        let index = self.pick(vms);
        match self.pick(24) {
            0..8 => {
                let tokens = [10, 900, 20_000, 90_000, 300_000, 700_000, 3_000_000][self.pick(7)];
                let mut arrival = if self.pick(4) == 0 {
                    plain_request(id)
                } else {
                    prompt(id, tokens)
                };
                arrival.at_most_once = self.pick(4) == 0;
                arrival.repeatable = !arrival.at_most_once && self.pick(3) > 0;
                arrival.handed_over = self.pick(6) == 0;
                arrival.organisation = ["blue", "red"][self.pick(2)].into();
                self.arrived.push((index, arrival.id));
                self.cluster.hosts[index].arrive(arrival);
            }
            8..16 if !self.running.is_empty() => {
                let at = self.pick(self.running.len());
                let (index, attempt) = self.running[at];
                let event = match self.pick(4) {
                    0 => Event::Started(attempt),
                    1 | 2 => Event::Progress { attempt, tokens: 3 },
                    _ => {
                        self.running.swap_remove(at);
                        let end = self.end();
                        Event::Ended { attempt, end }
                    }
                };
                self.cluster.hosts[index].apply(event);
            }
            16..18 if !self.arrived.is_empty() => {
                let at = self.pick(self.arrived.len());
                let (index, id) = self.arrived.swap_remove(at);
                self.cluster.hosts[index].apply(Event::CallerGone(id));
            }
            18 => {
                let at = self.pick(self.targets.len());
                let state = [State::Cold, State::Warm, State::Warm, State::Draining][self.pick(4)];
                self.targets[at].state = state;
                if self.pick(4) == 0 {
                    self.targets[at].incarnation += 1;
                }
            }
            19 => {
                let cut = self.pick(vms + 2);
                self.cluster.isolated = if cut < vms { vec![cut] } else { Vec::new() };
            }
            20 => {
                self.version += 1;
                let names: Vec<String> = (1..=vms).map(|name| format!("e{name}")).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                let mut config = config(self.version, &names);
                if self.pick(3) == 0 {
                    config.targets_out.push("t1".into());
                }
                if self.pick(6) == 0 {
                    config.zones_out.push("a".into());
                }
                let config = Event::Configured(Arc::new(config));
                self.cluster.hosts[index].apply(config);
            }
            21 if self.pick(8) == 0 => {
                let order = Override {
                    zone: "a".into(),
                    out: self.random.random_bool(0.5),
                    sequence: self.version,
                    config: self.version,
                };
                self.cluster.hosts[index].apply(Event::LocalOrder(order));
            }
            22 => {
                let summary = summary(self.version, id as u64);
                let from = instance("other");
                let message = Message::Summary(summary);
                self.cluster.hosts[index].apply(Event::Received { from, message });
            }
            _ => {}
        }
    }

    fn announce(&mut self) {
        for at in 0..self.targets.len() {
            if self.pick(12) == 0 {
                continue;
            }
            let vms = self.cluster.hosts.len();
            let index = self.pick(vms);
            self.targets[at].seq += 1;
            self.targets[at].load.prefill_tokens = self.random.random_range(0..30_000);
            let target = self.targets[at].clone();
            self.cluster.hosts[index].announce(target);
        }
    }

    fn answer(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for (index, event) in pending {
            // Drop one in ten answers.
            if self.pick(10) > 0 {
                self.cluster.hosts[index].apply(event);
            }
        }
    }

    fn run(&mut self, steps: u128) {
        for id in 0..steps {
            self.step(id);
            self.cluster.deliver();
            self.collect();
            if id % 3 == 0 {
                self.answer();
            }
            if id % 4 == 0 {
                self.cluster.advance(60);
            }
            if id % 10 == 0 {
                self.announce();
            }
        }
    }
}

fn check(seed: u64, vms: u16, steps: u128) -> Vec<Host> {
    let mut world = World::new(seed, vms);
    world.run(steps);
    world.cluster.isolated.clear();
    // The longest time limit is 600 s.
    for host in &mut world.cluster.hosts {
        host.now = host.now + std::time::Duration::from_secs(605);
        host.advance(200);
        assert_eq!(
            host.reducer.live_requests(),
            0,
            "seed {seed}: requests without a final outcome"
        );
        assert_eq!(
            host.verifier.uncancelled().count(),
            0,
            "seed {seed}: attempts not cancelled at their engines"
        );
        let counters = host.reducer.counters();
        let outcomes = [
            Outcome::Answered,
            Outcome::NotRun,
            Outcome::Failed,
            Outcome::Unknown,
        ];
        let ended: u64 = outcomes
            .iter()
            .map(|&outcome| counters.outcome(outcome))
            .sum();
        assert_eq!(
            ended, counters.arrived,
            "seed {seed}: number of outcomes differs from number of requests"
        );
        let running: BTreeMap<_, _> = host
            .reducer
            .targets()
            .into_iter()
            .map(|target| (target.announcement.name.to_string(), target.running))
            .collect();
        assert!(
            running.values().all(|&count| count == 0),
            "seed {seed}: running attempts after all requests ended: {running:?}"
        );
    }
    world.cluster.hosts
}

/// Runs many seeds and checks that they exercised retries, resumes, credits, probes and hand-overs.
fn check_all(seeds: u64, vms: u16) {
    let mut total = Counters::default();
    for seed in 0..seeds {
        for host in check(seed, vms, 600) {
            let counters = host.reducer.counters();
            total.dispatched += counters.dispatched;
            total.retries += counters.retries;
            total.resumes += counters.resumes;
            total.late_events += counters.late_events;
            total.credits_granted += counters.credits_granted;
            total.handed_over += counters.handed_over;
            total.probes += counters.probes;
        }
    }
    let reached = [
        total.dispatched,
        total.retries,
        total.resumes,
        total.late_events,
        total.credits_granted,
        total.probes,
        total.handed_over,
    ];
    assert!(reached.iter().all(|&count| count > seeds), "{total:?}");
}

/// Guards against sequences of events that violate an invariant at a VM that is alone in its zone.
#[test]
fn one_vm() {
    check_all(60, 1);
}

/// Guards against sequences of events and partitions that violate an invariant among three VMs.
#[test]
fn three_vms() {
    check_all(20, 3);
}
