//! Deterministic simulation of replicas with an unreliable network and disks, driven by a seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosepin_core::consensus::verify::Verifier;
use primrosepin_core::consensus::{
    Effect, Entry, Event, HardState, Id, Members, Message, Payload, Reducer, Role, Settings,
    Snapshot,
};
use primrosepin_core::time::Instant;
use primrosepin_core::vm;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time for which a replica that was replaced is closed before it opens its empty store.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// Availability zones of the replicas.
pub const ZONES: usize = 3;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(1);

/// Synced content of a replica's disk.
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
            other => unreachable!("{other:?} is not a write"),
        }
    }
}

/// State machine that counts the applied commands and hashes them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct StateMachine {
    applied: u64,
    digest: u64,
}

impl StateMachine {
    fn apply(&mut self, command: &[u8]) {
        self.applied += 1;
        self.digest = xxhash_rust::xxh3::xxh3_64_with_seed(command, self.digest);
    }

    /// Encodes the state, padded so that a snapshot takes several messages.
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

/// A replica with its disk and pending writes.
pub struct Replica {
    vm: vm::Name,
    address: SocketAddr,
    /// Availability zone.
    pub zone: usize,
    /// None while the process is down.
    pub reducer: Option<Reducer>,
    paused_until: Option<Instant>,
    disk: Disk,
    /// Writes that are not synced yet, with the time at which they will be.
    writes: VecDeque<(Instant, Effect)>,
    machine: StateMachine,
    /// Term and number of each accepted proposal by log index.
    pending_proposals: BTreeMap<u64, (u64, u64)>,
    starts: u64,
    /// Replicas that the settings of the process listed when it started.
    listed: Vec<usize>,
    /// When the running process opens its store again after it was reset, with the contacts that it keeps.
    reopens_at: Option<(Instant, Vec<SocketAddr>)>,
}

impl Replica {
    fn new(vm: vm::Name, address: SocketAddr, zone: usize) -> Self {
        Self {
            vm,
            address,
            zone,
            reducer: None,
            paused_until: None,
            disk: Disk::default(),
            writes: VecDeque::new(),
            machine: StateMachine::default(),
            pending_proposals: BTreeMap::new(),
            starts: 0,
            listed: Vec::new(),
            reopens_at: None,
        }
    }
}

/// Network faults: lost and duplicated messages in percent, and the maximum delay.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub max_delay_ms: u64,
}

/// Network without faults; it delivers all messages after 1 to 3 ms.
pub const RELIABLE: Faults = Faults {
    lost: 0,
    duplicated: 0,
    max_delay_ms: 3,
};

/// All replicas and the network between them.
pub struct Cluster {
    pub now: Instant,
    pub rng: SmallRng,
    pub replicas: Vec<Replica>,
    pub faults: Faults,
    pub verifier: Verifier,
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Proposals reported as committed.
    pub acknowledged: BTreeSet<u64>,
    /// Proposals that were refused or whose entry was replaced, so that they are certainly not committed.
    pub refused: BTreeSet<u64>,
    /// Number of applied entries after which a replica writes a snapshot.
    pub snapshot_entries: u64,
    /// Whether replicas that are not listed in the settings may join.
    open_membership: bool,
    /// Number of replicas that may lose their data at the same time, as the settings of a starting process say.
    tolerance: usize,
    /// Whether replicas without data may bootstrap a deployment.
    pub bootstrap: bool,
    /// Replicas that the settings of a starting process list.
    pub listed: Vec<usize>,
    network: Vec<(Instant, SocketAddr, Message)>,
    /// All memberships that were written to a log, with their indexes.
    memberships: Vec<(u64, Members)>,
    discarded_disks: Vec<Disk>,
    proposals: u64,
}

impl Cluster {
    /// Creates replicas without data and starts them.
    pub fn new(count: usize, seed: u64) -> Self {
        let replicas = (0..count).map(|index| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
            Replica::new(format!("control-{index}").into(), address, index % ZONES)
        });
        let mut cluster = Self {
            now: Instant::default(),
            rng: SmallRng::seed_from_u64(seed),
            replicas: replicas.collect(),
            faults: RELIABLE,
            verifier: Verifier::default(),
            blocked: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            refused: BTreeSet::new(),
            snapshot_entries: 30,
            open_membership: false,
            tolerance: 1,
            bootstrap: true,
            listed: (0..count).collect(),
            network: Vec::new(),
            memberships: Vec::new(),
            discarded_disks: Vec::new(),
            proposals: 0,
        };
        for index in 0..count {
            cluster.lose_disk(index);
            cluster.start(index);
        }
        cluster
    }

    /// Creates replicas and waits until they have a leader and all are voters.
    pub fn bootstrapped(count: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, seed);
        cluster.run_until("bootstrapped", |cluster| {
            cluster.leader().is_some() && cluster.all_are_voters()
        });
        cluster
    }

    /// Creates replicas of a deployment with open membership and waits until they have a leader and all are
    /// voters.
    pub fn with_open_membership(count: usize, seed: u64) -> Self {
        Self::with_tolerance(count, 1, seed)
    }

    /// Creates replicas of a deployment with open membership of which `tolerance` may lose their data at the same
    /// time, and waits until they have a leader and all are voters.
    pub fn with_tolerance(count: usize, tolerance: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, seed);
        cluster.open_membership = true;
        cluster.tolerance = tolerance;
        for index in 0..count {
            cluster.start(index);
        }
        cluster.run_until("bootstrapped", |cluster| {
            cluster.leader().is_some() && cluster.all_are_voters()
        });
        cluster
    }

    /// Starts a replica without data that the settings do not list; returns its index.
    pub fn join(&mut self) -> usize {
        self.join_in(self.replicas.len() % ZONES)
    }

    /// Starts a replica without data in a zone; returns its index.
    pub fn join_in(&mut self, zone: usize) -> usize {
        let index = self.replicas.len();
        let name = format!("joined-{index}");
        let address = SocketAddr::from(([127, 0, 1, 1], index as u16 + 1));
        self.replicas.push(Replica::new(name.into(), address, zone));
        self.lose_disk(index);
        self.start(index);
        index
    }

    /// Returns whether the leader's committed members are exactly these replicas, all of them voters.
    pub fn voters_are(&self, indexes: &[usize]) -> bool {
        self.members_are(indexes, indexes.len())
    }

    /// Returns whether the leader's committed members are exactly these replicas, and so many of them voters.
    pub fn members_are(&self, indexes: &[usize], voters: usize) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.reducer(leader).committed_members().unwrap();
        let id = |index: &usize| self.replicas[*index].disk.hard_state.id;
        members.list.len() == indexes.len()
            && members.voters().count() == voters
            && indexes.iter().all(|index| members.get(id(index)).is_some())
    }

    /// Starts the process of a replica with the content of its disk.
    pub fn start(&mut self, index: usize) {
        self.replicas[index].listed = self.listed.clone();
        self.replicas[index].reopens_at = None;
        self.open(index, Vec::new());
    }

    /// Changes the replicas that the settings list, and has the running processes read them.
    pub fn list(&mut self, listed: Vec<usize>) {
        self.listed = listed;
        let addresses: Vec<_> = self
            .listed
            .iter()
            .map(|seed| self.replicas[*seed].address)
            .collect();
        for index in 0..self.replicas.len() {
            self.replicas[index].listed.clone_from(&self.listed);
            self.handle(index, Event::Listed(addresses.clone()));
        }
    }

    /// Opens the store of a replica whose process runs.
    fn open(&mut self, index: usize, contacts: Vec<SocketAddr>) {
        let listed = self.replicas[index].listed.clone();
        let replicas = listed.iter().map(|listed| &self.replicas[*listed]);
        let replicas = replicas
            .map(|replica| (vm::Name::clone(&replica.vm), replica.address))
            .collect();
        let seed = self.rng.random();
        let replica = &mut self.replicas[index];
        let settings = Settings {
            retained_entries: 10,
            snapshot_chunk_bytes: 64,
            open_membership: self.open_membership,
            zone: Some(format!("zone-{}", replica.zone).into()),
            tolerance: self.tolerance,
            contacts,
            ..Settings::new(
                vm::Name::clone(&replica.vm),
                replica.address,
                replicas,
                self.bootstrap,
                seed,
            )
        };
        replica.starts += 1;
        let disk = replica.disk.clone();
        let snapshot = disk.snapshot.as_ref();
        replica.machine = snapshot.map_or_else(StateMachine::default, |snapshot| {
            StateMachine::decode(&snapshot.state)
        });
        let applied = snapshot.map_or(0, |snapshot| snapshot.index);
        self.verifier.record_start(disk.hard_state.id, applied);
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

    /// Kills the process of a replica. A random number of its unsynced writes reach the disk, oldest first;
    /// the others are lost.
    pub fn crash(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        replica.reducer = None;
        replica.reopens_at = None;
        replica.pending_proposals.clear();
        let kept = self.rng.random_range(0..=replica.writes.len());
        for (_, write) in replica.writes.drain(..).take(kept) {
            replica.disk.write(&write);
        }
        replica.writes.clear();
    }

    /// Replaces the disk of a replica by an empty one with a new id.
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
        self.discarded_disks
            .push(std::mem::replace(&mut replica.disk, empty));
    }

    /// Suspends the process of a replica for some time while its clock runs on.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.replicas[index].paused_until = Some(self.now + time);
    }

    /// Ends the pause of a replica.
    pub fn resume(&mut self, index: usize) {
        self.replicas[index].paused_until = None;
    }

    /// Makes a replica tell the others that it shuts down, as at a graceful shutdown. A leader transfers leadership.
    pub fn leave(&mut self, index: usize) {
        self.handle(index, Event::Leave);
    }

    /// Asks a replica to remove another member.
    pub fn remove(&mut self, index: usize, removed: usize) {
        let id = self.replicas[removed].disk.hard_state.id;
        self.handle(index, Event::RemoveMember(id));
    }

    /// Partitions a replica from all others, or reconnects it.
    pub fn isolate(&mut self, index: usize, partitioned: bool) {
        for other in 0..self.replicas.len() {
            for pair in [(index, other), (other, index)] {
                if partitioned {
                    self.blocked.insert(pair);
                } else {
                    self.blocked.remove(&pair);
                }
            }
        }
    }

    /// Drops the messages that a replica sends to all others, those that it receives from them, or both.
    pub fn block(&mut self, index: usize, outbound: bool, inbound: bool) {
        for other in 0..self.replicas.len() {
            if outbound {
                self.blocked.insert((index, other));
            }
            if inbound {
                self.blocked.insert((other, index));
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

    /// Returns whether the leader's committed members are exactly all replicas, all of them voters.
    pub fn all_are_voters(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.reducer(leader).committed_members().unwrap();
        let is_voter = |replica: &Replica| members.is_voter(replica.disk.hard_state.id);
        let initialized = |replica: &Replica| replica.disk.hard_state.initialized;
        members.list.len() == self.replicas.len()
            && self.replicas.iter().all(|r| is_voter(r) && initialized(r))
    }

    /// Returns whether the leader's committed members are all running replicas and no other, and each of
    /// them has its data.
    pub fn running_are_members(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.reducer(leader).committed_members().unwrap();
        let running = self.replicas.iter().filter(|r| r.reducer.is_some());
        let mut count = 0;
        let all_belong = running.into_iter().all(|replica| {
            count += 1;
            let state = replica.disk.hard_state;
            state.initialized && members.get(state.id).is_some()
        });
        all_belong && members.list.len() == count
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

    /// Commits a command through the current leader, retrying after changes of leader, and returns its
    /// number.
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

    /// Runs for some simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; panics after a minute of simulated time.
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
        panic!(
            "condition not reached within 60 s: {what}\n{}",
            self.describe()
        );
    }

    /// Describes the state of all replicas for a failed test.
    pub fn describe(&self) -> String {
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

    /// Advances the simulated time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.replicas.len() {
            let replica = &mut self.replicas[index];
            if replica
                .reopens_at
                .as_ref()
                .is_some_and(|(at, _)| *at <= self.now)
                && let Some((_, contacts)) = replica.reopens_at.take()
            {
                self.open(index, contacts);
            }
            let replica = &mut self.replicas[index];
            if replica.paused_until.is_some_and(|until| until <= self.now) {
                replica.paused_until = None;
            }
            // A paused process is notified of a completed sync only after the pause.
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
                // Deferred until after the pause.
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
            self.verifier.check_replica(reducer).unwrap();
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let mut copies = 1;
                    if self.rng.random_range(0..100) < self.faults.lost {
                        copies = 0;
                    } else if self.rng.random_range(0..100) < self.faults.duplicated {
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
                    if let Effect::Persist { entries, .. } = &write {
                        for entry in entries {
                            if let Payload::Members(members) = &entry.payload {
                                self.memberships.push((entry.index, members.clone()));
                            }
                        }
                    }
                    let replica = &mut self.replicas[index];
                    if let Effect::InstallSnapshot { snapshot, .. } = &write {
                        if snapshot.index == 0 {
                            // The initial members are not in the log.
                            self.memberships.push((0, snapshot.members.clone()));
                        }
                        replica.machine = StateMachine::decode(&snapshot.state);
                        self.verifier.record_start(id, snapshot.index);
                        replica.pending_proposals.clear();
                    }
                    let delay = self.rng.random_range(0..=self.faults.max_delay_ms * 2);
                    let at = self.now + Duration::from_millis(delay);
                    let last = replica.writes.back().map_or(at, |(last, _)| *last);
                    replica.writes.push_back((at.max(last), write));
                }
                Effect::Reset { contacts } => {
                    self.crash(index);
                    self.lose_disk(index);
                    self.replicas[index].reopens_at = Some((self.now + REOPEN_DELAY, contacts));
                    return;
                }
                Effect::Apply(entry) => self.apply(index, id, &entry),
                Effect::Accepted {
                    proposal,
                    term,
                    index: at,
                } => {
                    // If an earlier proposal is overwritten here, it is neither acknowledged nor refused,
                    // since its entry may still be in another log.
                    self.replicas[index]
                        .pending_proposals
                        .insert(at, (term, proposal));
                }
                Effect::Refused { proposal } => {
                    self.refused.insert(proposal);
                }
            }
        }
    }

    fn apply(&mut self, index: usize, id: Id, entry: &Entry) {
        if !self.verifier.committed().contains_key(&entry.index) {
            self.check_synced(entry);
        }
        assert!(
            self.replicas[index].disk.holds(entry),
            "entry was applied before it was synced to the replica's own disk"
        );
        self.verifier.check_applied(id, entry).unwrap();
        let replica = &mut self.replicas[index];
        if let Payload::Command(command) = &entry.payload {
            replica.machine.apply(command);
        }
        let digest = replica.machine.digest;
        self.verifier.check_state(id, entry.index, digest).unwrap();
        if let Some((term, proposal)) = replica.pending_proposals.remove(&entry.index) {
            if term == entry.term {
                self.acknowledged.insert(proposal);
            } else {
                self.refused.insert(proposal);
            }
        }
    }

    /// Checks that an entry is synced to the disks of a quorum. The leader counted the members that were in
    /// force in its log at the entry or after it.
    fn check_synced(&self, entry: &Entry) {
        let earlier = self.memberships.iter().map(|(at, _)| *at);
        let in_force = earlier.filter(|at| *at <= entry.index).max();
        let logged = self.memberships.iter();
        let mut memberships = logged
            .filter(|(at, _)| Some(*at) >= in_force)
            .map(|(_, members)| members);
        // Discarded disks count too, since a disk may be lost after its replica acknowledged the entry.
        let running = self.replicas.iter().map(|replica| &replica.disk);
        let holding: Vec<Id> = running
            .chain(&self.discarded_disks)
            .filter(|disk| disk.holds(entry))
            .map(|disk| disk.hard_state.id)
            .collect();
        let is_quorum = |members: &Members| {
            let voters = members.voters();
            voters.filter(|voter| holding.contains(&voter.id)).count() >= members.quorum()
        };
        assert!(
            memberships.any(is_quorum),
            "{entry:?} is committed without a synced quorum\n{}",
            self.describe()
        );
    }

    /// Checks the invariants over all replicas.
    pub fn verify(&mut self) {
        let running: Vec<&Reducer> = self
            .replicas
            .iter()
            .filter_map(|replica| replica.reducer.as_ref())
            .collect();
        for (index, first) in running.iter().enumerate() {
            self.verifier.check_replica(first).unwrap();
            for second in &running[index + 1..] {
                Verifier::check_logs(first, second).unwrap();
            }
        }
        let committed: BTreeSet<u64> = self
            .verifier
            .committed()
            .values()
            .filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(u64::from_le_bytes(bytes[..].try_into().unwrap())),
                Payload::Noop | Payload::Members(_) => None,
            })
            .collect();
        assert!(
            self.acknowledged.is_subset(&committed),
            "an acknowledged command was not committed"
        );
        assert!(
            self.refused.is_disjoint(&committed),
            "a refused command was committed"
        );
    }
}
