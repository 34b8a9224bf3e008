//! Organisations and refused callers that compete for too few slots.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::fingerprint::Fingerprint;
use primrosepin_core::fleet::comeback::{Book, Key, Room};
use primrosepin_core::fleet::share::{Ledger, OrganisationId, Usage};
use primrosepin_core::fleet::{Config, Event, Id, Limits, Organisation, Outcome, Reducer};
use primrosepin_core::time::Instant;

use super::support::{
    Decision, Fleet, START, announcement, ms, request, routes, services, settings,
};

const VMS: usize = 4;
const ENGINES: usize = 2;
const SLOTS: usize = 16;
/// Time that each answer takes at an engine.
const ANSWER: Duration = Duration::from_millis(1_900);
/// Time until its first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);
/// Requests that the engines end per second.
const CAPACITY: f64 = (ENGINES * SLOTS) as f64 / 2.0;

/// What callers do after a refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Patience {
    /// They return once, when they were told to.
    AsTold,
    /// They repeat at once, again and again.
    None,
}

#[derive(Debug, Clone, Copy)]
struct Sender {
    per_s: f64,
    patience: Patience,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    sender: usize,
    number: u64,
    tries: u32,
    arrived: Instant,
}

/// Results of one organisation.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    served: u32,
    refused_twice: u32,
}

/// A region whose engines serve a fixed number of requests, and the callers of several organisations.
struct Region {
    fleet: Fleet,
    senders: Vec<Sender>,
    tallies: Vec<Tally>,
    calls: HashMap<Id, Call>,
    /// When each slot of a target is free.
    slots: HashMap<Arc<str>, Vec<Instant>>,
    /// First events and ends of answers, with the VM.
    ends: BTreeMap<(Instant, Id), usize>,
    started: HashSet<Id>,
    arrivals: BTreeMap<(Instant, u64), Call>,
    decided: usize,
    next: u64,
}

impl Region {
    fn new(senders: &[Sender]) -> Self {
        let mut fleet = Fleet::new(VMS, ENGINES);
        fleet.apply_to_all(&configured(senders.len()));
        Self {
            fleet,
            senders: senders.to_vec(),
            tallies: vec![Tally::default(); senders.len()],
            calls: HashMap::new(),
            slots: HashMap::new(),
            ends: BTreeMap::new(),
            started: HashSet::new(),
            arrivals: BTreeMap::new(),
            decided: 0,
            next: 0,
        }
    }

    fn push(&mut self, at: Instant, call: Call) {
        self.next += 1;
        self.arrivals.insert((at, self.next), call);
    }

    /// Lets all organisations send for some time.
    fn run(&mut self, time: Duration) {
        let start = self.fleet.now;
        for sender in 0..self.senders.len() {
            let per_s = self.senders[sender].per_s;
            for number in 0..(per_s * time.as_secs_f64()) as u64 {
                // Irregular gaps, so that organisations do not arrive in step.
                let jitter = (number * 7_919 + sender as u64 * 104_729) % 1_000;
                let at_s = (number as f64 + jitter as f64 / 1e3) / per_s;
                let at = start + Duration::from_secs_f64(at_s);
                let call = Call {
                    sender,
                    number: self.next,
                    tries: 0,
                    arrived: at,
                };
                self.push(at, call);
            }
        }
        let mut second = 0;
        while self.fleet.now < start + time {
            let passed = self.fleet.now.since(start).as_secs();
            if passed >= second {
                second = passed + 1;
                self.refresh();
            }
            self.step();
        }
    }

    /// Repeats the announcements and the confirmation of the configuration.
    fn refresh(&mut self) {
        for number in 0..ENGINES {
            let sequence = self.fleet.now.as_micros();
            self.fleet.announce(primrosepin_core::fleet::Announcement {
                sequence,
                ..announcement("engine", number, number % 3)
            });
        }
        self.fleet.confirm(2);
    }

    fn step(&mut self) {
        self.fleet.run(ms(5));
        let now = self.fleet.now;
        while let Some(first) = self.arrivals.first_entry()
            && first.key().0 <= now
        {
            let mut call = first.remove();
            call.tries += 1;
            let vm = (call.number as usize * 31 + call.tries as usize * 17) % VMS;
            let mut request = request("short", 4_000);
            request.key = Some(format!("key-{}", call.sender).into());
            request.fingerprint = Fingerprint::new("POST", "", "", &call.number.to_le_bytes());
            request.timeout = Some((call.arrived + ms(10_000)).since(now));
            let id = self.fleet.arrive(vm, request);
            self.calls.insert(id, call);
        }
        while let Some(first) = self.ends.first_entry()
            && first.key().0 <= now
        {
            let ((_, id), vm) = first.remove_entry();
            if self.started.insert(id) {
                self.ends.insert((now + ANSWER, id), vm);
                self.fleet.apply(vm, Event::Started(id));
            } else {
                self.tallies[self.calls[&id].sender].served += 1;
                self.fleet.end(vm, id, Outcome::Served);
            }
        }
        while let Some((vm, id, decision)) = self.fleet.decisions.get(self.decided).cloned() {
            self.decided += 1;
            let call = self.calls[&id];
            match decision {
                Decision::Dispatched(dispatch) => {
                    let slots = self.slots.entry(dispatch.name).or_default();
                    slots.resize(SLOTS, START);
                    let slot = slots.iter_mut().min().unwrap();
                    let start = now.max(*slot) + FIRST_EVENT;
                    *slot = start + ANSWER;
                    self.ends.insert((start, id), vm);
                }
                Decision::Refused(refusal) => {
                    let left = (call.arrived + ms(10_000)).since(now);
                    let patience = self.senders[call.sender].patience;
                    match refusal.retry_after {
                        Some(_) if patience == Patience::None => self.push(now + ms(10), call),
                        Some(wait) if call.tries < 2 => self.push(now + wait.min(left / 3), call),
                        _ => self.tallies[call.sender].refused_twice += 1,
                    }
                }
            }
        }
    }

    fn served_per_s(&self, sender: usize, time: Duration) -> f64 {
        f64::from(self.tallies[sender].served) / time.as_secs_f64()
    }
}

/// A configuration in which routes have different priorities, with numbered organisations.
fn configured(organisations: usize) -> Event {
    let mut routes = routes();
    routes[0].priority = 0;
    let organisation = |number: usize| Organisation {
        name: format!("organisation-{number}").into(),
        keys: vec![format!("key-{number}").into()],
        priority: None,
    };
    let organisations = (0..organisations).map(organisation).collect();
    let limits = Limits::default();
    let config = Config::new(2, routes, services(), Some(organisations), limits).unwrap();
    Event::Configured {
        revision: 2,
        config: Arc::new(config),
        zones_out: Vec::new(),
    }
}

/// One organisation at ten times its share, and four that ask for six tenths of theirs.
fn crowd(patience: Patience) -> Vec<Sender> {
    let share = CAPACITY / 5.0;
    let mut senders = vec![
        Sender {
            per_s: share * 0.6,
            patience: Patience::AsTold,
        };
        5
    ];
    senders[0] = Sender {
        per_s: share * 10.0,
        patience,
    };
    senders
}

/// Asserts that none of the organisations beside the heavy one gets less than a quarter of the mean share.
fn assert_floor(region: &Region, time: Duration) {
    for sender in 1..5 {
        let served = region.served_per_s(sender, time);
        let tallies = &region.tallies;
        assert!(
            served >= CAPACITY / 5.0 / 4.0,
            "{sender}: {served} a second, {tallies:?}"
        );
    }
}

/// Asserts that the organisations beside the heavy one get four fifths of what they ask for, which is less than their
/// share. Requests that have not ended do not count.
fn assert_shares(region: &Region, time: Duration) {
    assert_floor(region, time);
    let served: u32 = region.tallies[1..].iter().map(|tally| tally.served).sum();
    let refused: u32 = region.tallies[1..]
        .iter()
        .map(|tally| tally.refused_twice)
        .sum();
    let part = f64::from(served) / f64::from(served + refused);
    assert!(
        part >= 0.8,
        "{part} of the requests are served: {:?}",
        region.tallies
    );
}

/// Guards against an organisation that takes every slot by sending ten times its share.
#[test]
fn one_organisation_at_ten_times_its_share_leaves_the_others_theirs() {
    let time = ms(20_000);
    let mut region = Region::new(&crowd(Patience::AsTold));
    region.run(time);
    assert_shares(&region, time);
    let served: f64 = (0..5).map(|sender| region.served_per_s(sender, time)).sum();
    // The first answers end after two of the 20 seconds.
    assert!(
        served >= CAPACITY * 0.9 * 0.9,
        "{served} a second are served, {:?}",
        region.tallies
    );
    let changes = &region.fleet.share_changes;
    assert!(
        changes
            .iter()
            .any(|(_, name, exceeds)| *exceeds && **name == *"organisation-0")
    );
}

/// Guards against slots that stay free although an organisation that is alone asks for them.
#[test]
fn an_organisation_alone_gets_every_slot() {
    let time = ms(20_000);
    let mut region = Region::new(&crowd(Patience::AsTold)[..1]);
    region.run(time);
    let served = region.served_per_s(0, time);
    assert!(
        served >= CAPACITY * 0.9 * 0.9,
        "{served} a second are served, {:?}",
        region.tallies
    );
}

/// Guards against clients that gain slots by repeating at once.
#[test]
fn a_crowd_that_repeats_at_once_gains_nothing() {
    let time = ms(20_000);
    let mut patient = Region::new(&crowd(Patience::AsTold));
    patient.run(time);
    let mut region = Region::new(&crowd(Patience::None));
    region.run(time);
    assert_shares(&region, time);
    let (gained, usual) = (region.tallies[0].served, patient.tallies[0].served);
    assert!(
        f64::from(gained) <= f64::from(usual) * 1.1,
        "{gained} instead of {usual}"
    );
    assert!(region.fleet.returns.iter().any(|is_early| *is_early));
}

/// Guards against shares that are lost when a VM is cut off, restarts, or has peers of an earlier build, which never
/// report the waiting order.
#[test]
fn shares_hold_when_a_vm_is_cut_off_or_restarts_or_peers_are_silent() {
    let time = ms(10_000);
    let mut region = Region::new(&crowd(Patience::AsTold));
    region.run(time);
    assert_floor(&region, time);
    region.tallies.fill(Tally::default());
    region.fleet.partitioned = vec![1];
    region.run(time);
    assert_floor(&region, time);
    region.tallies.fill(Tally::default());
    region.fleet.partitioned.clear();
    region.fleet.vms[2] = Reducer::new(settings(2));
    region.fleet.drop_messages(2);
    region.ends.retain(|_, vm| *vm != 2);
    region.fleet.teach(2);
    region.fleet.apply(2, configured(5));
    region.refresh();
    region.run(time);
    assert_floor(&region, time);

    let mut alone = Region::new(&crowd(Patience::AsTold));
    alone.fleet.sends_order = false;
    alone.run(time * 2);
    assert_floor(&alone, time * 2);
}

/// Guards against reports that exceed their part of a VM's control traffic, or that say nothing.
#[test]
fn reports_are_rare_and_bounded() {
    let time = ms(10_000);
    let mut region = Region::new(&crowd(Patience::AsTold));
    region.run(time);
    let reports = &region.fleet.order_reports;
    assert!(!reports.is_empty());
    for vm in 0..VMS {
        let count = reports.iter().filter(|(sender, _)| *sender == vm).count();
        assert!(count <= 11, "{count} reports in ten seconds");
    }
    for (_, report) in reports {
        assert!(report.usages.len() <= 8 && report.places.len() <= 16);
        assert!(!(report.usages.is_empty() && report.places.is_empty()));
    }
    let mut calm = Fleet::new(VMS, ENGINES);
    calm.arrive(0, request("short", 4_000));
    calm.run(ms(3_000));
    assert!(calm.order_reports.is_empty());
}

/// Guards against use that counts twice or forever: after lost, repeated and late statements of a peer.
#[test]
fn statements_replace_earlier_ones_and_decay() {
    let (mut ledger, id) = (Ledger::default(), OrganisationId(1));
    let statement = |cost_ms| {
        [Usage {
            organisation: id,
            cost_ms,
        }]
    };
    let peer: Arc<str> = "peer".into();
    ledger.record(START, id, 500.0);
    for cost_ms in [1_000, 1_000, 400] {
        ledger.merge(START, &peer, &statement(cost_ms));
    }
    assert!((ledger.usage(START, id) - 900.0).abs() < 1e-6);
    assert!((ledger.usage(START + ms(5_000), id) - 450.0).abs() < 1e-6);
    ledger.expire(START + ms(120_000));
    assert!(ledger.usage(START + ms(120_000), id) < 1e-6);
    assert!(ledger.statements(START + ms(120_000)).is_empty());
}

/// Guards against a crowd that is told to return all at once, or later than callers honour.
#[test]
fn retry_times_of_a_crowd_are_spread_over_the_time_in_which_it_drains() {
    let mut book = Book::default();
    let room = Room {
        waiting: 10.0,
        per_s: 20.0,
        left: ms(10_000),
    };
    let mut waits: Vec<Duration> = (1..=40)
        .map(|key| book.refuse(START, Some(Key(key)), room))
        .collect();
    waits.sort_unstable();
    assert!(waits[0] >= ms(100) && waits[39] <= ms(10_000) / 3);
    // 40 requests at 20 a second, after the ten that wait: no half second may get more than twice its part.
    for wait in &waits {
        let near = waits
            .iter()
            .filter(|other| (*wait..=*wait + ms(500)).contains(*other));
        assert!(near.count() <= 20, "{waits:?}");
    }
    // A request keeps its time if it returns early, and has a place once when it returns as told.
    let due = book.refuse(START, Some(Key(1)), room);
    let early = book.claim(START + ms(10), Some(Key(1))).unwrap().early;
    assert_eq!(early + ms(10), due);
    let again = book.refuse(START + ms(10), Some(Key(1)), room);
    assert_eq!(again, early.max(ms(100)));
    // Another VM recognises it once the place was stated.
    let mut other = Book::default();
    while let places @ [_, ..] = &*book.statements(START) {
        other.merge(START, places);
    }
    for book in [&mut book, &mut other] {
        assert!(
            book.claim(START + due, Some(Key(1)))
                .unwrap()
                .early
                .is_zero()
        );
        assert!(book.claim(START + due, Some(Key(1))).is_none());
        book.expire(START + ms(20_000));
        assert!(book.is_empty());
    }
}
