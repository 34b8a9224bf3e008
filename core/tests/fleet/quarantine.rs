//! Requests and prompts that crash targets, at the shapes of the deployments: simulated entry VMs, control VMs that collect
//! their reports, and targets that crash when they begin an answer to a bad part or a fatal request.
//!
//! The counts are those of the platform's rules, from what targets and callers see: after five targets have ended under
//! a part, or three under a request, and the VMs had `contact` to hear of it, at most [`MAX_LATE`] such requests reach
//! targets; from
//! twice that time on, sound requests begin at their first attempt at least half as often as before.

use std::collections::BTreeMap;
use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::fleet::{Event, Id, Outcome, PartId, Reducer};
use primrosepin_core::quarantine::{ANY_SERVICE, Evidence, Part, Rule};
use primrosepin_core::time::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::{Decision, Fleet, KEY, Report, START, announcement, ms, request, settings};

const MAX_LATE: usize = 3;
const CONTROL_VMS: usize = 3;
/// Time from the end of a target until its successor announces itself.
const RESTART_TIME: Duration = Duration::from_millis(2_500);
/// Part that most sound requests share.
const HOT: PartId = PartId(0xa0);
const BAD: PartId = PartId(0xbad);
const OTHER_BAD: PartId = PartId(0xbad2);
/// Stands for the first fatal request in the counts; the others follow.
const FATAL: PartId = PartId(0xfa7a_0000);

/// What happens to an entry VM in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    /// It starts again without memory.
    Restart(usize),
    /// It hears nothing for three seconds, then all at once.
    Freeze(usize),
    /// It has no path to control for three seconds.
    Cut(usize),
    /// Control VMs start again with what the log holds.
    ControlRestart,
}

/// A run of the simulation.
#[derive(Debug, Clone)]
struct Plan {
    vms: usize,
    engines: usize,
    contact: Duration,
    bad: Vec<PartId>,
    bad_per_s: f64,
    /// Number of requests that crash targets by what they ask for, and how often each is sent.
    fatal: u64,
    fatal_per_s: f64,
    /// Whether all fatal requests are sent at the same moment to one VM.
    fatal_together: bool,
    sound_per_s: f64,
    /// Share of the sound requests, and of the bad ones, whose first part is [`HOT`].
    hot_share: f64,
    /// Crashes in a second that no prompt causes.
    crashes_per_s: f64,
    /// Number of times that a failed bad request is sent again.
    repeats: u32,
    troubles: Vec<(u64, Trouble)>,
    /// Whether control VMs derive rules.
    mechanism: bool,
    seed: u64,
}

impl Plan {
    fn new(vms: usize, engines: usize, contact: u64) -> Self {
        Self {
            vms,
            engines,
            contact: ms(contact),
            bad: vec![BAD],
            bad_per_s: 4.0,
            fatal: 0,
            fatal_per_s: 1.5,
            fatal_together: false,
            sound_per_s: 40.0,
            hot_share: 0.3,
            crashes_per_s: 0.0,
            repeats: 0,
            troubles: Vec::new(),
            mechanism: true,
            seed: 1,
        }
    }
}

#[derive(Debug, Clone)]
struct Call {
    vm: usize,
    parts: Vec<PartId>,
    /// What crashes targets in it: bad parts, or itself.
    causes: Vec<PartId>,
    sent_at: Instant,
    repeats: u32,
    /// Whether its answer began at the first attempt.
    begun_first: bool,
}

#[derive(Debug, Clone)]
struct Running {
    id: Id,
    starts_at: Instant,
    started: bool,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct Engine {
    starts: usize,
    down_until: Option<Instant>,
    running: Vec<Running>,
}

/// What the callers and targets saw.
#[derive(Debug, Default)]
struct Seen {
    /// Crashes under each bad part.
    crashes: BTreeMap<PartId, Vec<Instant>>,
    /// Arrivals at targets of requests with each bad part, with the VM that sent them.
    reached: BTreeMap<PartId, Vec<(Instant, usize)>>,
    /// Sound requests: when sent, and whether they began at the first attempt.
    sound: Vec<(Instant, bool)>,
    rules: Vec<Rule>,
}

/// Returns what a request with these parts asks for.
fn asks(parts: &[PartId]) -> Fingerprint {
    Fingerprint::new("POST", "host", &format!("{parts:?}"), b"prompt")
}

struct World {
    plan: Plan,
    fleet: Fleet,
    rng: SmallRng,
    engines: Vec<Engine>,
    calls: BTreeMap<Id, Call>,
    control: Vec<Evidence>,
    /// Rules that the log holds.
    stored: Vec<Rule>,
    cursor: usize,
    cut: BTreeMap<usize, Instant>,
    /// Rules and suspects that each VM was told last.
    told: BTreeMap<usize, (Vec<Rule>, Vec<Part>)>,
    seen: Seen,
}

impl World {
    fn new(plan: Plan) -> Self {
        Self {
            fleet: Fleet::new(plan.vms, plan.engines),
            rng: SmallRng::seed_from_u64(plan.seed),
            engines: (0..plan.engines).map(|_| Engine::default()).collect(),
            calls: BTreeMap::new(),
            control: (0..CONTROL_VMS).map(|_| Evidence::new()).collect(),
            stored: Vec::new(),
            cursor: 0,
            cut: BTreeMap::new(),
            told: BTreeMap::new(),
            seen: Seen::default(),
            plan,
        }
    }

    fn send(&mut self, parts: Vec<PartId>, repeats: u32) {
        let vm = self.rng.random_range(0..self.plan.vms);
        let causes = parts.iter().filter(|part| self.plan.bad.contains(part));
        let causes = causes.copied().collect();
        let asks = asks(&parts);
        self.send_to(vm, parts, causes, asks, repeats);
    }

    /// Sends a fatal request, which names no parts.
    fn send_fatal(&mut self, vm: usize, number: u64) {
        let asks = Fingerprint::new("POST", "host", "/fatal", &number.to_le_bytes());
        let causes = vec![PartId(FATAL.0 + number)];
        self.send_to(vm, Vec::new(), causes, asks, 0);
    }

    fn send_to(
        &mut self,
        vm: usize,
        parts: Vec<PartId>,
        causes: Vec<PartId>,
        asks: Fingerprint,
        repeats: u32,
    ) {
        let mut request = request("short", 2_000);
        request.parts = parts.iter().copied().collect();
        request.fingerprint = asks;
        let call = Call {
            vm,
            parts,
            causes,
            sent_at: self.fleet.now,
            repeats,
            begun_first: false,
        };
        // The decision is read after the request has its ID.
        let id = self.fleet.arrive(vm, request);
        self.calls.insert(id, call);
    }

    fn is_bad(&self, id: Id) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| !call.causes.is_empty())
    }

    fn read_decisions(&mut self) {
        while self.cursor < self.fleet.decisions.len() {
            let (vm, id, decision) = self.fleet.decisions[self.cursor].clone();
            self.cursor += 1;
            match decision {
                Decision::Refused(_) => self.finish(id),
                Decision::Dispatched(dispatch) => {
                    let name = dispatch.name.strip_prefix("engine-").unwrap();
                    let (number, start) = name.split_once('.').unwrap_or((name, "0"));
                    let (number, start): (usize, usize) =
                        (number.parse().unwrap(), start.parse().unwrap());
                    let engine = &mut self.engines[number];
                    if engine.down_until.is_some() || engine.starts != start {
                        self.fleet.end(vm, id, Outcome::Unreachable);
                        continue;
                    }
                    let starts_at = self.fleet.now + ms(self.rng.random_range(60..150));
                    engine.running.push(Running {
                        id,
                        starts_at,
                        started: false,
                        ends_at: starts_at + ms(1_500),
                    });
                    let Some(call) = self.calls.get_mut(&id) else {
                        continue;
                    };
                    call.begun_first = dispatch.attempt == 1;
                    for cause in call.causes.clone() {
                        let reached = self.seen.reached.entry(cause).or_default();
                        reached.push((self.fleet.now, vm));
                    }
                }
            }
        }
    }

    /// Ends a call without an answer.
    fn finish(&mut self, id: Id) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if call.causes.is_empty() {
            self.seen.sound.push((call.sent_at, false));
        } else if call.repeats > 0 {
            self.send(call.parts, call.repeats - 1);
        }
    }

    fn crash(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.down_until = Some(self.fleet.now + RESTART_TIME);
        for running in std::mem::take(&mut engine.running) {
            let Some(vm) = self.calls.get(&running.id).map(|call| call.vm) else {
                continue;
            };
            let outcome = Outcome::Broken {
                delivered: running.started,
                closed: true,
            };
            self.fleet.end(vm, running.id, outcome);
        }
    }

    fn run_engines(&mut self) {
        let now = self.fleet.now;
        for number in 0..self.engines.len() {
            if self.engines[number]
                .down_until
                .is_some_and(|until| until <= now)
            {
                let engine = &mut self.engines[number];
                engine.down_until = None;
                engine.starts += 1;
                let mut successor = announcement("engine", number, number % 3);
                successor.name = format!("engine-{number}.{}", engine.starts).into();
                successor.started_ms += engine.starts as u64;
                self.fleet.announce(successor);
            }
            let mut due = self.engines[number].running.clone();
            due.retain(|running| !running.started && running.starts_at <= now);
            for running in due {
                if self.is_bad(running.id) {
                    for cause in self.calls[&running.id].causes.clone() {
                        self.seen.crashes.entry(cause).or_default().push(now);
                    }
                    self.crash(number);
                    break;
                }
                let mut all = self.engines[number].running.iter_mut();
                all.find(|other| other.id == running.id).unwrap().started = true;
                if let Some(call) = self.calls.get(&running.id) {
                    self.fleet.apply(call.vm, Event::Started(running.id));
                }
            }
            let (ended, left) = std::mem::take(&mut self.engines[number].running)
                .into_iter()
                .partition(|running| running.ends_at <= now);
            self.engines[number].running = left;
            let ended: Vec<Running> = ended;
            for running in ended {
                if let Some(call) = self.calls.remove(&running.id) {
                    self.seen.sound.push((call.sent_at, call.begun_first));
                    self.fleet.end(call.vm, running.id, Outcome::Served);
                }
            }
        }
    }

    fn is_cut(&self, vm: usize) -> bool {
        let until = self.cut.get(&vm);
        until.is_some_and(|until| self.fleet.now < *until)
    }

    fn run_control(&mut self) {
        let now = self.fleet.now;
        let reports = std::mem::take(&mut self.fleet.crash_reports);
        for (vm, report) in reports {
            // A VM reports its crashes again once it has a path; the report is lost here.
            if self.is_cut(vm) {
                continue;
            }
            for evidence in &mut self.control {
                match report.clone() {
                    Report::Crash(crash) => evidence.record_crash(now, crash),
                    Report::Alive(processes) => {
                        for process in processes {
                            evidence.withdraw(process);
                        }
                    }
                    Report::Answered(parts) => {
                        for (part, age) in parts {
                            evidence.record_answered(now, part, ms(age.into()));
                        }
                    }
                }
            }
        }
        if !(now.as_micros() / 1_000).is_multiple_of(50) || !self.plan.mechanism {
            return;
        }
        let rules: Vec<Vec<Rule>> = self
            .control
            .iter_mut()
            .map(|evidence| evidence.rules(now))
            .collect();
        self.stored.clone_from(&rules[0]);
        let mut all: Vec<Rule> = rules.into_iter().flatten().collect();
        all.sort();
        all.dedup();
        self.seen.rules.clone_from(&all);
        let suspects: Vec<_> = self.control[0].suspects().into_iter().collect();
        for vm in 0..self.plan.vms {
            if !self.is_cut(vm) {
                // Control VMs send what has changed, and all on a new link.
                let news = (all.clone(), suspects.clone());
                if self.told.get(&vm) != Some(&news) {
                    self.told.insert(vm, news);
                    self.fleet.apply(vm, Event::Quarantined(all.clone()));
                    self.fleet.apply(vm, Event::Suspected(suspects.clone()));
                }
            }
        }
    }

    fn make_trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Restart(vm) => {
                let lost = self.calls.iter().filter(|(_, call)| call.vm == vm);
                let lost: Vec<Id> = lost.map(|(id, _)| *id).collect();
                for id in lost {
                    self.calls.remove(&id);
                }
                self.fleet.vms[vm] = Reducer::new(settings(vm));
                self.fleet.teach(vm);
                self.told.remove(&vm);
            }
            Trouble::Freeze(vm) | Trouble::Cut(vm) => {
                self.cut.insert(vm, self.fleet.now + ms(3_000));
                self.told.remove(&vm);
            }
            Trouble::ControlRestart => {
                for evidence in &mut self.control {
                    *evidence = Evidence::new();
                    evidence.restore(self.fleet.now, &self.stored);
                }
            }
        }
    }

    fn send_due_fatal(&mut self, elapsed: Duration) {
        if elapsed < ms(4_000) {
            return;
        }
        let rate = self.plan.fatal_per_s / 1e3;
        if self.plan.fatal_together {
            if self.rng.random_bool(rate) {
                let vm = self.rng.random_range(0..self.plan.vms);
                for number in 0..self.plan.fatal {
                    self.send_fatal(vm, number);
                }
            }
            return;
        }
        for number in 0..self.plan.fatal {
            if self.rng.random_bool(rate) {
                let vm = self.rng.random_range(0..self.plan.vms);
                self.send_fatal(vm, number);
            }
        }
    }

    /// Plays sound requests alone for four seconds, then beside bad ones.
    fn play(mut self, time: Duration) -> Seen {
        let end = START + time;
        let mut troubles = self.plan.troubles.clone();
        let mut next_sequence = 0;
        while self.fleet.now < end {
            let now = self.fleet.now;
            let elapsed = now.since(START);
            if (elapsed.as_millis() as u64).is_multiple_of(1_000) {
                self.fleet.confirm(1);
                // Announcements are repeated, or the targets would be given up as silent.
                next_sequence += 1;
                for number in 0..self.engines.len() {
                    let engine = &self.engines[number];
                    if engine.down_until.is_none() {
                        let mut repeated = announcement("engine", number, number % 3);
                        if engine.starts > 0 {
                            repeated.name = format!("engine-{number}.{}", engine.starts).into();
                        }
                        repeated.started_ms += engine.starts as u64;
                        repeated.sequence = 10 + next_sequence;
                        self.fleet.announce(repeated);
                    }
                }
            }
            let due = troubles.extract_if(.., |(at, _)| u128::from(*at) <= elapsed.as_millis());
            for (_, trouble) in due.collect::<Vec<_>>() {
                self.make_trouble(trouble);
            }
            if self.rng.random_bool(self.plan.sound_per_s / 1e3) {
                // Each part but the hot one is shared by few requests.
                let own = PartId(0x100 + self.rng.random_range(0..60));
                let parts = if self.rng.random_bool(self.plan.hot_share) {
                    vec![HOT, own]
                } else {
                    vec![own]
                };
                self.send(parts, 0);
            }
            if elapsed >= ms(4_000) && self.rng.random_bool(self.plan.bad_per_s / 1e3) {
                let bad = self.plan.bad[self.rng.random_range(0..self.plan.bad.len())];
                let own = PartId(0x100 + self.rng.random_range(0..60));
                let first = if self.rng.random_bool(self.plan.hot_share) {
                    HOT
                } else {
                    own
                };
                self.send(vec![first, bad, own], self.plan.repeats);
            }
            self.send_due_fatal(elapsed);
            if self.rng.random_bool(self.plan.crashes_per_s / 1e3) {
                let number = self.rng.random_range(0..self.engines.len());
                if self.engines[number].down_until.is_none() {
                    self.crash(number);
                }
            }
            self.read_decisions();
            self.run_engines();
            self.read_decisions();
            self.run_control();
            self.fleet.run(ms(1));
        }
        self.seen
    }
}

/// Returns the time at which VMs begin to have `contact` to hear of what crashes targets: the fifth crash under a part,
/// the third under a request.
fn counted_crash(cause: PartId, crashes: &[Instant]) -> Option<&Instant> {
    crashes.get(if cause >= FATAL { 2 } else { 4 })
}

/// Returns how many requests with each cause reached targets after enough had ended under it and `contact` had
/// passed, from VMs other than `excused`.
fn late(seen: &Seen, contact: Duration, excused: &[usize]) -> BTreeMap<PartId, usize> {
    let mut late = BTreeMap::new();
    for (part, crashes) in &seen.crashes {
        let Some(counted) = counted_crash(*part, crashes) else {
            continue;
        };
        let reached = seen.reached[part].iter();
        let reached = reached.filter(|(at, vm)| *at > *counted + contact && !excused.contains(vm));
        late.insert(*part, reached.count());
    }
    late
}

/// Returns the share of the sound requests sent in a span that began at their first attempt.
fn begun(seen: &Seen, from: Instant, to: Instant) -> f64 {
    let sent = seen.sound.iter().filter(|(at, _)| from <= *at && *at < to);
    let sent: Vec<bool> = sent.map(|(_, begun)| *begun).collect();
    assert!(sent.len() >= 20, "only {} sound requests", sent.len());
    sent.iter().filter(|begun| **begun).count() as f64 / sent.len() as f64
}

fn check(plan: &Plan, excused: &[usize]) -> Seen {
    // A trial of a fatal request may end the last target that counts for it.
    let trial = if plan.fatal > 0 { ms(18_000) } else { ms(0) };
    let time = ms(4_000 + 4_000) + plan.contact * 3 + trial;
    let seen = World::new(plan.clone()).play(time);
    for part in &plan.bad {
        let crashes = seen.crashes.get(part).map_or(0, Vec::len);
        assert!(crashes >= 1, "{part} reached no target");
    }
    // Of fatal requests that reach a target together, one crashes it.
    for number in 0..plan.fatal {
        let part = PartId(FATAL.0 + number);
        assert!(seen.reached.contains_key(&part), "{part} reached no target");
    }
    for (part, late) in late(&seen, plan.contact, excused) {
        assert!(
            late <= MAX_LATE,
            "{late} requests with {part} reached targets late"
        );
    }
    let last = seen
        .crashes
        .iter()
        .filter_map(|(cause, all)| counted_crash(*cause, all).or(all.last()));
    let from = *last.max().unwrap() + plan.contact * 2;
    let before = begun(&seen, START, START + ms(3_500));
    let after = begun(&seen, from, START + time - ms(2_000));
    assert!(
        after * 2.0 >= before,
        "sound requests: {before} before, {after} after"
    );
    seen
}

/// Entry VMs, engines and `contact_ms` of the deployments.
const SHAPES: [(usize, usize, u64); 5] = [
    (9, 16, 3_000),
    (6, 18, 3_000),
    (6, 21, 3_000),
    (27, 48, 4_000),
    (89, 69, 4_000),
];

/// Guards against a part that crashes one target after the other at the shapes of the deployments.
#[test]
fn a_bad_part_reaches_few_targets_at_each_deployment() {
    for (vms, engines, contact) in SHAPES {
        for seed in 1..4 {
            check(
                &Plan {
                    seed,
                    ..Plan::new(vms, engines, contact)
                },
                &[],
            );
        }
    }
}

/// Guards against evidence that no VM has enough of in a large fleet: each sees at most one of the crashes.
#[test]
fn a_bad_part_reaches_few_targets_with_295_vms() {
    let plan = Plan {
        sound_per_s: 100.0,
        ..Plan::new(295, 135, 5_000)
    };
    check(&plan, &[]);
}

/// Guards against a test that passes without rules.
#[test]
fn without_rules_a_bad_part_reaches_many_targets() {
    let plan = Plan {
        mechanism: false,
        ..Plan::new(6, 18, 3_000)
    };
    let seen = World::new(plan.clone()).play(ms(17_000));
    assert!(late(&seen, plan.contact, &[])[&BAD] > 10 * MAX_LATE);
}

/// Guards against two bad parts of which one hides the other.
#[test]
fn two_bad_parts_at_once_are_both_found() {
    for seed in 1..6 {
        let plan = Plan {
            bad: vec![BAD, OTHER_BAD],
            seed,
            ..Plan::new(6, 18, 3_000)
        };
        check(&plan, &[]);
    }
}

/// Returns whether a rule is one on a whole request that the simulation sends as a sound one.
fn is_sound_request(rule: &Rule) -> bool {
    let own = (0..60).map(|number| PartId(0x100 + number));
    let sound = own.flat_map(|own| [vec![own], vec![HOT, own]]);
    let mut marks = sound.map(|parts| PartId(asks(&parts).with_caller("key key")));
    rule.service == ANY_SERVICE && marks.any(|mark| rule.parts.contains(&mark))
}

/// Guards against rules on a part that most sound requests share with the bad ones: they would refuse nearly all
/// work.
#[test]
fn a_part_that_most_sound_requests_share_stays_in_use() {
    for hot_share in [0.3, 0.9, 1.0] {
        for seed in 1..4 {
            let plan = Plan {
                hot_share,
                seed,
                ..Plan::new(6, 18, 3_000)
            };
            let seen = check(&plan, &[]);
            for rule in &seen.rules {
                // A rule on a whole request is one on copies of a request with the bad part.
                assert!(
                    rule.parts.contains(&BAD) || rule.service == ANY_SERVICE,
                    "{rule:?}"
                );
                assert!(!is_sound_request(rule), "{rule:?}");
            }
        }
    }
}

/// Guards against rules that rest on crashes which no prompt causes.
#[test]
fn crashes_without_a_bad_part_make_no_rule() {
    for seed in 1..24 {
        let plan = Plan {
            bad_per_s: 0.0,
            crashes_per_s: 3.0,
            seed,
            ..Plan::new(9, 16, 3_000)
        };
        let seen = World::new(plan).play(ms(15_000));
        assert_eq!(seen.rules, [], "seed {seed}");
    }
    let plan = Plan {
        crashes_per_s: 1.0,
        ..Plan::new(9, 16, 3_000)
    };
    check(&plan, &[]);
}

/// Guards against repeats of failed requests that bring a bad part to more targets.
#[test]
fn repeats_of_bad_requests_are_refused_too() {
    for seed in 1..4 {
        let plan = Plan {
            repeats: 5,
            seed,
            ..Plan::new(6, 18, 3_000)
        };
        check(&plan, &[]);
    }
}

/// Guards against rules that a VM forgets or misses: one that starts again, is frozen or cut off, and control
/// VMs that start again together.
#[test]
fn rules_outlive_restarts_freezes_and_cuts() {
    check_troubles(&Plan::new(6, 18, 3_000));
}

/// Plays each trouble of a VM at several times.
fn check_troubles(plan: &Plan) {
    for (seed, trouble) in [
        (1, Trouble::Restart(2)),
        (2, Trouble::Freeze(1)),
        (3, Trouble::Cut(4)),
        (4, Trouble::ControlRestart),
    ] {
        for at in [4_600, 6_000, 9_500] {
            let plan = Plan {
                troubles: vec![(at, trouble)],
                seed,
                ..plan.clone()
            };
            // The rule excuses a VM for `contact` after its trouble.
            let excused = match trouble {
                Trouble::Restart(vm) | Trouble::Freeze(vm) | Trouble::Cut(vm) => vec![vm],
                Trouble::ControlRestart => vec![],
            };
            let seen = check(&plan, &excused);
            let back = START + ms(at) + ms(3_000) + plan.contact;
            for (part, crashes) in &seen.crashes {
                let Some(counted) = counted_crash(*part, crashes) else {
                    continue;
                };
                let reached = seen.reached[part].iter();
                let late = reached.filter(|(sent, _)| *sent > (*counted + plan.contact).max(back));
                assert!(late.count() <= MAX_LATE, "{trouble:?} at {at} ms");
            }
        }
    }
}

impl Plan {
    /// A run with fatal requests and no bad part.
    fn with_fatal(self, fatal: u64) -> Self {
        Self {
            bad: Vec::new(),
            bad_per_s: 0.0,
            fatal,
            ..self
        }
    }
}

/// Guards against a request that crashes one target after the other under other IDs, at the shapes of the deployments
/// and with 295 VMs, of which each sees at most one crash.
#[test]
fn a_fatal_request_reaches_few_targets_at_each_deployment() {
    for (vms, engines, contact) in SHAPES.into_iter().chain([(295, 135, 5_000)]) {
        for seed in 1..4 {
            let plan = Plan {
                seed,
                ..Plan::new(vms, engines, contact).with_fatal(1)
            };
            let seen = check(&plan, &[]);
            assert!(seen.rules.iter().all(|rule| rule.service == ANY_SERVICE));
        }
    }
}

/// Guards against a test that passes without rules.
#[test]
fn without_rules_a_fatal_request_reaches_many_targets() {
    let plan = Plan {
        mechanism: false,
        fatal_per_s: 3.0,
        ..Plan::new(6, 18, 3_000).with_fatal(1)
    };
    let seen = World::new(plan.clone()).play(ms(17_000));
    assert!(late(&seen, plan.contact, &[])[&FATAL] > 3 * MAX_LATE);
}

/// Guards against fatal requests that hide each other, sent on their own or all at the same moment to one VM, also
/// beside a bad part and crashes that no request causes.
#[test]
fn several_fatal_requests_at_once_are_all_found() {
    for seed in 1..9 {
        for fatal_together in [false, true] {
            let plan = Plan {
                fatal_together,
                seed,
                ..Plan::new(6, 18, 3_000).with_fatal(4)
            };
            check(&plan, &[]);
        }
        let plan = Plan {
            fatal: 2,
            crashes_per_s: 0.3,
            seed,
            ..Plan::new(9, 16, 3_000)
        };
        check(&plan, &[]);
    }
}

/// Guards against rules on fatal requests that a VM forgets or misses.
#[test]
fn rules_on_requests_outlive_restarts_freezes_and_cuts() {
    check_troubles(&Plan::new(6, 18, 3_000).with_fatal(2));
}

/// Announces four engines again, so that they are not given up as silent.
fn repeat_announcements(fleet: &mut Fleet) {
    for number in 0..4 {
        let mut heard = announcement("engine", number, number % 3);
        heard.sequence = fleet.now.as_micros();
        fleet.announce(heard);
    }
}

/// Guards against a sound request that is refused although it could be tried, because its callers ask one VM alone and
/// the turn of that VM had passed: each of three VMs tries it within the minute after which they are told to return.
#[test]
fn a_request_that_reaches_one_vm_alone_is_tried() {
    for vm in 0..3 {
        let mut fleet = Fleet::new(3, 4);
        let refused = request("short", 2_000);
        let part = PartId(refused.fingerprint.with_caller(&format!("key {KEY}")));
        let rule = Rule {
            service: ANY_SERVICE,
            parts: [part].into_iter().collect(),
        };
        fleet.apply_to_all(&Event::Quarantined(vec![rule]));
        // Copies come now and then, not just as the turn of a VM begins.
        let times = [9, 15, 35, 59].map(Duration::from_secs);
        let began = fleet.now;
        let tried = times.iter().any(|time| {
            while fleet.now.since(began) < *time {
                fleet.run(ms(500));
                fleet.confirm(1);
                repeat_announcements(&mut fleet);
            }
            let id = fleet.arrive(vm, refused.clone());
            fleet.dispatch(id).is_some()
        });
        assert!(tried, "VM {vm} refuses the request for a minute");
    }
}

/// Guards against a sound request that is refused until its rule ends, since nothing is left that refutes the rule:
/// one copy is tried, at one target, and an answer is reported. A fatal request gets few trials.
#[test]
fn a_request_that_is_refused_as_a_whole_is_tried_now_and_then() {
    for is_sound in [true, false] {
        let mut fleet = Fleet::new(6, 4);
        let refused = request("short", 2_000);
        let part = Part {
            service: ANY_SERVICE,
            id: PartId(refused.fingerprint.with_caller(&format!("key {KEY}"))),
        };
        let rule = Rule {
            service: ANY_SERVICE,
            parts: [part.id].into_iter().collect(),
        };
        fleet.apply_to_all(&Event::Quarantined(vec![rule]));
        fleet.apply_to_all(&Event::Suspected(vec![part]));
        let began = fleet.now;
        let mut trials: Vec<Duration> = Vec::new();
        while fleet.now.since(began) < Duration::from_mins(5) {
            for vm in 0..6 {
                let id = fleet.arrive(vm, refused.clone());
                if fleet.dispatch(id).is_none() {
                    continue;
                }
                trials.push(fleet.now.since(began));
                let outcome = if is_sound {
                    Outcome::Served
                } else {
                    Outcome::Broken {
                        delivered: false,
                        closed: true,
                    }
                };
                fleet.end(vm, id, outcome);
                // A trial is sent to one target.
                let sent = fleet.decisions_of(id).into_iter();
                let sent = sent.filter(|made| matches!(made, Decision::Dispatched(_)));
                assert_eq!(sent.count(), 1);
            }
            fleet.run(ms(500));
            fleet.confirm(1);
            repeat_announcements(&mut fleet);
            if is_sound && !trials.is_empty() {
                break;
            }
        }
        let expected = if is_sound { 1 } else { MAX_LATE };
        assert_eq!(trials.len(), expected, "{trials:?}");
        assert!(trials[0] >= Duration::from_secs(10), "{trials:?}");
        let answered = fleet.crash_reports.iter().any(|(_, report)| {
            matches!(report, Report::Answered(parts) if parts.iter().any(|(id, _)| *id == part))
        });
        assert_eq!(answered, is_sound);
    }
}
