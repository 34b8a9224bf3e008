//! Replicas in memory over a network and disks that lose things, driven by a seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::consensus::verify::Verifier;
use primrosepin_core::consensus::{
    Effect, Entry, Event, HardState, Id, Message, Payload, Reducer, Role, Settings, Snapshot,
};
use primrosepin_core::time::Instant;
use primrosepin_core::vm;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time of one step.
const STEP: Duration = Duration::from_millis(1);

/// Synced content of a disk.
#[derive(Debug, Clone, Default)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Disk {
    fn holds(&self, entry: &Entry) -> bool {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        entry.index <= covered || self.entries.contains(entry)
    }

    fn write(&mut self, effect: &Effect) {
        match effect {
            Effect::Persist {
                hard_state,
                entries,
                ..
            } => {
                self.hard_state = hard_state.unwrap_or(self.hard_state);
                for entry in entries {
                    self.entries.retain(|old| old.index < entry.index);
                    self.entries.push(entry.clone());
                }
            }
            Effect::InstallSnapshot {
                hard_state,
                snapshot,
                ..
            } => {
                self.hard_state = *hard_state;
                self.entries.clear();
                self.snapshot = Some(snapshot.clone());
            }
            Effect::SaveSnapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot.clone());
            }
            other => unreachable!("{other:?} is no write"),
        }
    }
}

/// State machine: how many commands were applied, and a hash over them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Machine {
    applied: u64,
    digest: u64,
}

impl Machine {
    fn apply(&mut self, command: &[u8]) {
        self.applied += 1;
        self.digest = xxhash_rust::xxh3::xxh3_64_with_seed(command, self.digest);
    }

    /// Encodes the state; the padding makes a snapshot take several messages.
    fn encode(self) -> Arc<[u8]> {
        let mut bytes = [self.applied.to_le_bytes(), self.digest.to_le_bytes()].concat();
        bytes.resize(200, 0);
        bytes.into()
    }

    fn decode(bytes: &[u8]) -> Self {
        let field = |from| {
            bytes
                .get(from..from + 8)
                .map_or([0; 8], |b| b.try_into().unwrap())
        };
        Self {
            applied: u64::from_le_bytes(field(0)),
            digest: u64::from_le_bytes(field(8)),
        }
    }
}

/// A replica with its VM.
pub struct Replica {
    vm: vm::Name,
    address: SocketAddr,
    /// None while the process is down.
    pub reducer: Option<Reducer>,
    paused_until: Option<Instant>,
    disk: Disk,
    /// Writes that are not synced, with the time of their sync.
    writes: VecDeque<(Instant, Effect)>,
    machine: Machine,
    waiting: BTreeMap<u64, (u64, u64)>,
    starts: u64,
}

impl Replica {
    fn new(vm: vm::Name, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            reducer: None,
            paused_until: None,
            disk: Disk::default(),
            writes: VecDeque::new(),
            machine: Machine::default(),
            waiting: BTreeMap::new(),
            starts: 0,
        }
    }
}

/// What the network does to messages, in percent.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    pub max_delay_ms: u64,
}

/// Delivers all messages after 1 to 3 ms.
pub const CALM: Faults = Faults {
    lost: 0,
    doubled: 0,
    max_delay_ms: 3,
};

/// All replicas.
pub struct Cluster {
    pub now: Instant,
    pub rng: SmallRng,
    pub replicas: Vec<Replica>,
    pub faults: Faults,
    pub verifier: Verifier,
    /// Pairs that cannot reach each other.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Proposals that were reported as committed.
    pub acknowledged: BTreeSet<u64>,
    /// Proposals that were refused or replaced, so certainly not committed.
    pub refused: BTreeSet<u64>,
    /// Applied entries after which a replica writes a snapshot.
    pub snapshot_entries: u64,
    /// Whether replicas that the settings do not name may join.
    open: bool,
    /// Replicas that the settings name.
    listed: usize,
    network: Vec<(Instant, SocketAddr, Message)>,
    lost_disks: Vec<Disk>,
    proposals: u64,
}

impl Cluster {
    /// Creates replicas without data and starts them.
    pub fn new(count: usize, seed: u64) -> Self {
        let replicas = (0..count).map(|index| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
            Replica::new(format!("control-{index}").into(), address)
        });
        let mut cluster = Self {
            now: Instant::default(),
            rng: SmallRng::seed_from_u64(seed),
            replicas: replicas.collect(),
            faults: CALM,
            verifier: Verifier::default(),
            blocked: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            refused: BTreeSet::new(),
            snapshot_entries: 30,
            open: false,
            listed: count,
            network: Vec::new(),
            lost_disks: Vec::new(),
            proposals: 0,
        };
        for index in 0..count {
            cluster.lose_disk(index);
            cluster.start(index);
        }
        cluster
    }

    /// Creates replicas and waits until they have a leader and all belong to the deployment.
    pub fn founded(count: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, seed);
        cluster.run_until("founded", |cluster| {
            cluster.leader().is_some() && cluster.all_vote()
        });
        cluster
    }

    /// Creates replicas of a deployment that others may join, and waits until they have a leader.
    pub fn open(count: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, seed);
        cluster.open = true;
        for index in 0..count {
            cluster.start(index);
        }
        cluster.run_until("founded", |cluster| {
            cluster.leader().is_some() && cluster.all_vote()
        });
        cluster
    }

    /// Starts a replica without data at an address that no settings name; returns its index.
    pub fn join(&mut self) -> usize {
        let index = self.replicas.len();
        let name = format!("joined-{index}");
        let address = SocketAddr::from(([127, 0, 1, 1], index as u16 + 1));
        self.replicas.push(Replica::new(name.into(), address));
        self.lose_disk(index);
        self.start(index);
        index
    }

    /// Returns whether the members that the leader has committed are voters with the disks of these
    /// replicas, and no others.
    pub fn voters_are(&self, indexes: &[usize]) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.reducer(leader).committed_members().unwrap();
        let id = |index: &usize| self.replicas[*index].disk.hard_state.id;
        members.list.len() == indexes.len()
            && indexes.iter().all(|index| members.is_voter(id(index)))
    }

    /// Starts the process of a replica from its disk.
    pub fn start(&mut self, index: usize) {
        let replicas = self.replicas.iter().take(self.listed);
        let replicas = replicas
            .map(|replica| (vm::Name::clone(&replica.vm), replica.address))
            .collect();
        let seed = self.rng.random();
        let replica = &mut self.replicas[index];
        let settings = Settings {
            retained_entries: 10,
            snapshot_chunk_bytes: 64,
            open_membership: self.open,
            ..Settings::new(
                vm::Name::clone(&replica.vm),
                replica.address,
                replicas,
                true,
                seed,
            )
        };
        replica.starts += 1;
        let disk = replica.disk.clone();
        let snapshot = disk.snapshot.as_ref();
        replica.machine = snapshot.map_or_else(Machine::default, |snapshot| {
            Machine::decode(&snapshot.state)
        });
        let applied = snapshot.map_or(0, |snapshot| snapshot.index);
        self.verifier.start(disk.hard_state.id, applied);
        let reducer = Reducer::new(
            settings,
            self.now,
            disk.hard_state,
            disk.snapshot,
            disk.entries,
        );
        replica.reducer = Some(reducer);
        replica.paused_until = None;
    }

    /// Kills the process of a replica. Writes that are not synced are lost, but for some of the first.
    pub fn crash(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        replica.reducer = None;
        replica.waiting.clear();
        let kept = self.rng.random_range(0..=replica.writes.len());
        for (_, write) in replica.writes.drain(..).take(kept) {
            replica.disk.write(&write);
        }
        replica.writes.clear();
    }

    /// Replaces the disk of a replica by an empty one.
    pub fn lose_disk(&mut self, index: usize) {
        let id = Id(self.rng.random::<u64>() | 1);
        let replica = &mut self.replicas[index];
        replica.writes.clear();
        let empty = Disk {
            hard_state: HardState {
                id,
                ..HardState::default()
            },
            ..Disk::default()
        };
        self.lost_disks
            .push(std::mem::replace(&mut replica.disk, empty));
    }

    /// Stops a replica from running for some time; its clock goes on.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.replicas[index].paused_until = Some(self.now + time);
    }

    /// Lets a paused replica run again.
    pub fn resume(&mut self, index: usize) {
        self.replicas[index].paused_until = None;
    }

    /// Shuts a replica down gracefully.
    pub fn resign(&mut self, index: usize) {
        self.handle(index, Event::TransferLeadership);
    }

    /// Orders a replica to remove another one.
    pub fn remove(&mut self, index: usize, removed: usize) {
        let id = self.replicas[removed].disk.hard_state.id;
        self.handle(index, Event::RemoveMember(id));
    }

    /// Cuts a replica off from all others, or connects it again.
    pub fn isolate(&mut self, index: usize, cut: bool) {
        for other in 0..self.replicas.len() {
            for pair in [(index, other), (other, index)] {
                if cut {
                    self.blocked.insert(pair);
                } else {
                    self.blocked.remove(&pair);
                }
            }
        }
    }

    /// Returns the running leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let running = self.replicas.iter().enumerate();
        running
            .filter_map(|(index, replica)| Some((index, replica.reducer.as_ref()?)))
            .filter(|(_, reducer)| reducer.role() == Role::Leader)
            .max_by_key(|(_, reducer)| reducer.term())
            .map(|(index, _)| index)
    }

    pub fn reducer(&self, index: usize) -> &Reducer {
        self.replicas[index].reducer.as_ref().unwrap()
    }

    /// Returns whether the ids of all replicas are the voters of the leader's committed members.
    pub fn all_vote(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.reducer(leader).committed_members().unwrap();
        let vote = |replica: &Replica| members.is_voter(replica.disk.hard_state.id);
        let founded = |replica: &Replica| replica.disk.hard_state.initialized;
        members.list.len() == self.replicas.len()
            && self.replicas.iter().all(|r| vote(r) && founded(r))
    }

    /// Proposes a command on a replica and returns its number.
    pub fn propose(&mut self, index: usize) -> u64 {
        self.proposals += 1;
        let number = self.proposals;
        let command = vec![(number, Arc::from(number.to_le_bytes()))];
        if self.replicas[index].reducer.is_some() {
            self.handle(index, Event::Propose(command));
        }
        number
    }

    /// Commits a command through whichever replica leads.
    pub fn commit(&mut self) -> u64 {
        for _ in 0..100 {
            self.run_until("leader", |cluster| cluster.leader().is_some());
            let leader = self.leader().unwrap();
            let number = self.propose(leader);
            for _ in 0..2_000 {
                if self.acknowledged.contains(&number) {
                    return number;
                }
                self.step();
            }
        }
        panic!("no command was committed");
    }

    /// Runs for some time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; panics after a minute of the simulated time.
    pub fn run_until<F>(&mut self, what: &str, condition: F)
    where
        F: Fn(&Self) -> bool,
    {
        for _ in 0..60_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("not reached: {what}\n{}", self.describe());
    }

    /// Describes all replicas for a failed test.
    fn describe(&self) -> String {
        let lines = self.replicas.iter().map(|replica| match &replica.reducer {
            Some(reducer) => format!(
                "{} {:?} {:?} term {} base {:?} commit {} applied {} members {:?}",
                replica.vm,
                reducer.id(),
                reducer.role(),
                reducer.term(),
                reducer.base(),
                reducer.commit(),
                reducer.applied(),
                reducer.members(),
            ),
            None => format!("{} is down", replica.vm),
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.replicas.len() {
            let replica = &mut self.replicas[index];
            if replica.paused_until.is_some_and(|until| until <= self.now) {
                replica.paused_until = None;
            }
            // A paused process learns of a sync only afterwards.
            while replica.paused_until.is_none()
                && let Some((at, _)) = replica.writes.front()
                && *at <= self.now
                && let Some((_, write)) = replica.writes.pop_front()
            {
                replica.disk.write(&write);
                let (Effect::Persist { sequence, .. } | Effect::InstallSnapshot { sequence, .. }) =
                    write
                else {
                    continue;
                };
                self.handle(index, Event::Persisted { sequence });
                break;
            }
            let due = |replica: &Replica, now| {
                replica.reducer.as_ref().is_some_and(|r| r.wake_at() <= now)
            };
            if due(&self.replicas[index], self.now) {
                self.handle(index, Event::Tick);
            }
            self.compact(index);
        }
        let now = self.now;
        let due: Vec<_> = self.network.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, message) in due {
            let Some(index) = self.replicas.iter().position(|r| r.address == to) else {
                continue;
            };
            let from = self
                .replicas
                .iter()
                .position(|r| r.address == message.address);
            if from.is_some_and(|from| self.blocked.contains(&(from, index))) {
                continue;
            }
            if self.replicas[index].paused_until.is_some() {
                // Delivered after the pause.
                self.network.push((now + STEP, to, message));
                continue;
            }
            self.handle(index, Event::Received(message));
        }
        if self.now.as_micros().is_multiple_of(50_000) {
            self.verify();
        }
    }

    fn compact(&mut self, index: usize) {
        let replica = &self.replicas[index];
        let Some(reducer) = &replica.reducer else {
            return;
        };
        let covered = replica.disk.snapshot.as_ref().map_or(0, |s| s.index);
        if reducer.applied() >= covered + self.snapshot_entries && replica.writes.is_empty() {
            let event = Event::Compact {
                index: reducer.applied(),
                state: replica.machine.encode(),
            };
            self.handle(index, event);
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let replica = &mut self.replicas[index];
        let Some(reducer) = &mut replica.reducer else {
            return;
        };
        if replica.paused_until.is_some() {
            return;
        }
        let id = reducer.id();
        let before = (reducer.role(), reducer.term());
        let mut effects = Vec::new();
        reducer.apply(self.now, event, &mut effects);
        if before != (reducer.role(), reducer.term()) {
            self.verifier.observe(reducer).unwrap();
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let mut copies = 1;
                    if self.rng.random_range(0..100) < self.faults.lost {
                        copies = 0;
                    } else if self.rng.random_range(0..100) < self.faults.doubled {
                        copies = 2;
                    }
                    let from = index;
                    let target = self.replicas.iter().position(|r| r.address == to);
                    if target.is_some_and(|to| self.blocked.contains(&(from, to))) {
                        copies = 0;
                    }
                    for _ in 0..copies {
                        let delay = self.rng.random_range(1..=self.faults.max_delay_ms);
                        let at = self.now + Duration::from_millis(delay);
                        self.network.push((at, to, message.clone()));
                    }
                }
                write @ (Effect::Persist { .. }
                | Effect::InstallSnapshot { .. }
                | Effect::SaveSnapshot(_)) => {
                    let replica = &mut self.replicas[index];
                    if let Effect::InstallSnapshot { snapshot, .. } = &write {
                        replica.machine = Machine::decode(&snapshot.state);
                        self.verifier.start(id, snapshot.index);
                        replica.waiting.clear();
                    }
                    let delay = self.rng.random_range(0..=self.faults.max_delay_ms * 2);
                    let at = self.now + Duration::from_millis(delay);
                    let last = replica.writes.back().map_or(at, |(last, _)| *last);
                    replica.writes.push_back((at.max(last), write));
                }
                Effect::Reset => {
                    self.crash(index);
                    self.lose_disk(index);
                    self.start(index);
                    return;
                }
                Effect::Apply(entry) => self.apply(index, id, &entry),
                Effect::Accepted {
                    proposal,
                    term,
                    index: at,
                } => {
                    // A replaced entry is neither: another log may still hold it.
                    self.replicas[index].waiting.insert(at, (term, proposal));
                }
                Effect::Refused { proposal } => {
                    self.refused.insert(proposal);
                }
            }
        }
    }

    fn apply(&mut self, index: usize, id: Id, entry: &Entry) {
        if !self.verifier.committed().contains_key(&entry.index) {
            self.check_synced(index, entry);
        }
        assert!(
            self.replicas[index].disk.holds(entry),
            "applied before its own sync"
        );
        self.verifier.apply(id, entry).unwrap();
        let replica = &mut self.replicas[index];
        if let Payload::Command(command) = &entry.payload {
            replica.machine.apply(command);
        }
        let digest = replica.machine.digest;
        self.verifier.state(id, entry.index, digest).unwrap();
        if let Some((term, proposal)) = replica.waiting.remove(&entry.index) {
            if term == entry.term {
                self.acknowledged.insert(proposal);
            } else {
                self.refused.insert(proposal);
            }
        }
    }

    /// Checks that a quorum of the members at the time holds an entry on its disks.
    fn check_synced(&self, index: usize, entry: &Entry) {
        let members = self.reducer(index).members().unwrap();
        // A disk may be lost after its replica answered; other disks hold the entry then.
        let running = self.replicas.iter().map(|replica| &replica.disk);
        let disks = running.chain(&self.lost_disks);
        let holding =
            disks.filter(|disk| members.is_voter(disk.hard_state.id) && disk.holds(entry));
        // A member change may be in the log already, so the smaller of both quorums is required.
        let quorum = members.quorum().min(self.replicas.len() / 2 + 1);
        assert!(
            holding.count() >= quorum,
            "{entry:?} is committed without a synced quorum"
        );
    }

    /// Checks all replicas.
    pub fn verify(&mut self) {
        let running: Vec<&Reducer> = self
            .replicas
            .iter()
            .filter_map(|replica| replica.reducer.as_ref())
            .collect();
        for (index, first) in running.iter().enumerate() {
            self.verifier.observe(first).unwrap();
            for second in &running[index + 1..] {
                Verifier::compare(first, second).unwrap();
            }
        }
        let committed: BTreeSet<u64> = self
            .verifier
            .committed()
            .values()
            .filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(u64::from_le_bytes(bytes[..].try_into().unwrap())),
                Payload::Start | Payload::Members(_) => None,
            })
            .collect();
        assert!(
            self.acknowledged.is_subset(&committed),
            "an acknowledged command is not committed"
        );
        assert!(
            self.refused.is_disjoint(&committed),
            "a refused command is committed"
        );
    }
}
