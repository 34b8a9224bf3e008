//! One control replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::leader::Leader;
use super::log::Log;
use super::{
    Body, Effect, Entry, Event, HardState, Id, Member, Members, Message, Payload, Snapshot,
};
use crate::time::Instant;
use crate::vm;

/// Interval of a leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Shortest election timeout; the actual one is random up to twice as long. A new leader is needed
/// within 2 s, and six heartbeats may be lost or late before a leader is suspected.
const ELECTION: Duration = Duration::from_millis(600);

/// Interval of a replica's requests to join.
const JOIN: Duration = Duration::from_millis(250);

/// Age up to which a request to join counts.
const JOIN_VALID: Duration = Duration::from_secs(1);

/// Entries in one message, bytes. It keeps a message below the limit of a frame and quick to sync.
const APPEND_BYTES: usize = 512 * 1024;

/// Largest snapshot that a replica accepts, bytes.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// Entries that may wait for commit; further commands are refused, so that a leader that cannot reach a
/// quorum does not grow its log without limit.
const MAX_UNCOMMITTED: u64 = 8_192;

/// Time after which the successor of a leader that shut down asks for votes again.
const RETRY: Duration = Duration::from_millis(30);

/// Time after which unanswered entries are sent again.
const RESEND: Duration = Duration::from_millis(400);

/// Voters of an open deployment. Five stay able to act when two are lost; further replicas are learners
/// that take the place of a lost voter.
const MAX_VOTERS: usize = 5;

/// Silence of a voter after which a learner that has caught up takes its place in an open deployment.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);

/// Silence after which an open deployment removes a replica without a successor: a learner, or a voter
/// whose removal lowers the quorum.
const FORGET_AFTER: Duration = Duration::from_secs(6);

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM.
    pub vm: vm::Name,
    /// QUIC address of this replica.
    pub address: SocketAddr,
    /// The first replicas of the deployment, this one included.
    pub replicas: Vec<(vm::Name, SocketAddr)>,
    /// Whether a replica without data may found a deployment.
    pub bootstrap: bool,
    /// Whether replicas that the settings do not name may join. The platform replaces VMs at new
    /// addresses, so the leader also removes voters that stay silent.
    pub open_membership: bool,
    /// Seed of election timeouts.
    pub seed: u64,
    /// Entries kept in memory behind a snapshot, so that a replica that was away for a short time needs
    /// no snapshot.
    pub retained_entries: u64,
    /// Part of a snapshot in one message, bytes.
    pub snapshot_chunk_bytes: usize,
}

impl Settings {
    /// Creates settings with the default sizes.
    pub fn new(
        vm: vm::Name,
        address: SocketAddr,
        replicas: Vec<(vm::Name, SocketAddr)>,
        bootstrap: bool,
        seed: u64,
    ) -> Self {
        Self {
            vm,
            address,
            replicas,
            bootstrap,
            open_membership: false,
            seed,
            retained_entries: 1_000,
            snapshot_chunk_bytes: 512 * 1024,
        }
    }
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Has no data and asks to join.
    Blank,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether votes would be given.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Replicates its log.
    Leader,
}

/// A write that is not known to be synced.
#[derive(Debug, Clone, Copy)]
struct Write {
    sequence: u64,
    /// Highest index that the write covers and that is still in the log.
    last_index: u64,
}

/// A snapshot that is being received.
#[derive(Debug, Clone)]
struct Receiving {
    from: Id,
    index: u64,
    term: u64,
    state: Vec<u8>,
}

/// A request to join.
#[derive(Debug, Clone)]
struct Join {
    vm: vm::Name,
    address: SocketAddr,
    bootstrap: bool,
    at: Instant,
}

/// One control replica.
#[derive(Debug)]
pub struct Reducer {
    settings: Settings,
    rng: SmallRng,
    now: Instant,
    hard_state: HardState,
    role: Role,
    leading: Option<Leader>,
    leader: Option<Id>,
    leader_contact: Instant,
    /// Time before which no vote is given: a restarted replica may have told a leader that it follows.
    abstain_until: Instant,
    election_at: Instant,
    votes: BTreeSet<Id>,
    vote_sequence: u64,
    log: Log,
    snapshot: Option<Snapshot>,
    commit: u64,
    applied: u64,
    synced: u64,
    sequence: u64,
    persisted: u64,
    writes: VecDeque<Write>,
    /// Messages that wait for a write.
    held: VecDeque<(u64, SocketAddr, Message)>,
    receiving: Option<Receiving>,
    joins: BTreeMap<Id, Join>,
    join_at: Instant,
    /// Members that the leader is to remove.
    removals: BTreeSet<Id>,
    // Collected during one event.
    dirty: bool,
    unsaved: Vec<Entry>,
    ready: Vec<(SocketAddr, Message)>,
    waiting: Vec<(SocketAddr, Message)>,
}

impl Reducer {
    /// Creates a replica from what its store holds.
    pub fn new(
        settings: Settings,
        now: Instant,
        hard_state: HardState,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Self {
        let mut log = snapshot.as_ref().map(Log::after).unwrap_or_default();
        for entry in entries {
            log.push(entry);
        }
        let applied = log.base_index();
        let mut reducer = Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            now,
            hard_state,
            role: if hard_state.initialized {
                Role::Follower
            } else {
                Role::Blank
            },
            leading: None,
            leader: None,
            leader_contact: now,
            abstain_until: if hard_state.initialized {
                now + ELECTION
            } else {
                now
            },
            election_at: now,
            votes: BTreeSet::new(),
            vote_sequence: 0,
            synced: log.last_index(),
            log,
            snapshot,
            commit: applied,
            applied,
            sequence: 0,
            persisted: 0,
            writes: VecDeque::new(),
            held: VecDeque::new(),
            receiving: None,
            joins: BTreeMap::new(),
            join_at: now,
            removals: BTreeSet::new(),
            dirty: false,
            unsaved: Vec::new(),
            ready: Vec::new(),
            waiting: Vec::new(),
        };
        // Alone there is nobody to wait for.
        if reducer
            .log
            .members()
            .is_some_and(|members| members.voters().count() == 1)
        {
            reducer.abstain_until = now;
        } else {
            reducer.reset_election();
        }
        reducer
    }

    /// Returns the id of the replica.
    pub fn id(&self) -> Id {
        self.hard_state.id
    }

    /// Returns the role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the known leader of the term.
    pub fn leader(&self) -> Option<&Member> {
        self.log.members()?.get(self.leader?)
    }

    /// Returns the members in force, which need not be committed yet.
    pub fn members(&self) -> Option<&Members> {
        self.log.members()
    }

    /// Returns the members whose entry is committed. A replacement counts as done only with them: before,
    /// the loss of another replica can undo it.
    pub fn committed_members(&self) -> Option<&Members> {
        self.log.members_at(self.commit)
    }

    /// Returns the highest committed index known.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the highest applied index.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the index before the first entry in memory, with its term.
    pub fn base(&self) -> (u64, u64) {
        let index = self.log.base_index();
        (index, self.log.term_at(index).unwrap_or(0))
    }

    /// Returns the entries in memory, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.log.entries()
    }

    /// Returns the highest index known to be synced at each other member; empty unless leader.
    pub fn matched(&self) -> impl Iterator<Item = (Id, u64)> {
        let progress = self.leading.iter().flat_map(|leading| &leading.progress);
        progress.map(|(id, progress)| (*id, progress.matched))
    }

    /// Returns the time of the next [`Event::Tick`] that is needed.
    pub fn wake_at(&self) -> Instant {
        match self.role {
            Role::Blank => self.join_at,
            Role::Leader => self
                .leading
                .as_ref()
                .map_or(self.now, |leading| leading.heartbeat_at),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.election_at.min(self.join_at)
            }
        }
    }

    /// Returns the time up to which a quorum is known to have followed this leader; none unless leader.
    /// No later leader had committed anything at that time.
    pub fn last_quorum_contact(&self) -> Option<Instant> {
        let (leading, members) = (self.leading.as_ref()?, self.log.members()?);
        // Before its first entry is committed, a leader may not know of all that is committed.
        if leading.start_index > self.applied {
            return None;
        }
        let at = leading.quorum_at(self.own(), self.now, members);
        (at > leading.since || members.voters().count() == 1).then_some(at)
    }

    /// Processes an event and appends its effects.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        // A replica may have been paused since the last event, so the lease comes first.
        self.check_lease();
        match event {
            Event::Tick => self.tick(effects),
            Event::Received(message) => self.receive(message, effects),
            Event::Persisted { sequence } => self.on_persisted(sequence),
            Event::Propose(commands) => self.propose(commands, effects),
            Event::Compact { index, state } => self.compact(index, state, effects),
            Event::RemoveMember(member) => self.remove(member),
            Event::TransferLeadership => self.resign(),
        }
        self.finish(effects);
    }

    /// Emits what the event changed.
    fn finish(&mut self, effects: &mut Vec<Effect>) {
        self.advance_commit();
        self.change_members();
        self.replicate();
        if self.dirty || !self.unsaved.is_empty() {
            self.sequence += 1;
            self.writes.push_back(Write {
                sequence: self.sequence,
                last_index: self.unsaved.last().map_or(0, |entry| entry.index),
            });
            effects.push(Effect::Persist {
                sequence: self.sequence,
                hard_state: self.dirty.then_some(self.hard_state),
                entries: std::mem::take(&mut self.unsaved),
            });
            self.dirty = false;
        }
        for (to, message) in self.ready.drain(..) {
            effects.push(Effect::Send { to, message });
        }
        for (to, message) in self.waiting.drain(..) {
            self.held.push_back((self.sequence, to, message));
        }
        while let Some((sequence, ..)) = self.held.front()
            && *sequence <= self.persisted
            && let Some((_, to, message)) = self.held.pop_front()
        {
            // A vote or an answer of an earlier term is of no use.
            if self.is_current(&message.body) {
                effects.push(Effect::Send { to, message });
            }
        }
        while self.applied < self.commit.min(self.synced)
            && let Some(entry) = self.log.get(self.applied + 1)
        {
            self.applied += 1;
            effects.push(Effect::Apply(entry.clone()));
        }
    }

    fn is_current(&self, body: &Body) -> bool {
        match body {
            Body::VoteRequest { term, pre, .. } => *pre || *term == self.hard_state.term,
            Body::AppendResponse { term, .. } | Body::SnapshotResponse { term, .. } => {
                *term == self.hard_state.term
            }
            _ => true,
        }
    }

    fn own(&self) -> Id {
        self.hard_state.id
    }

    fn is_voter(&self) -> bool {
        self.log
            .members()
            .is_some_and(|members| members.is_voter(self.own()))
    }

    fn deployment(&self) -> u64 {
        self.log.members().map_or(0, |members| members.deployment)
    }

    fn message(&self, to: Id, body: Body) -> Message {
        Message {
            deployment: self.deployment(),
            from: self.own(),
            to,
            address: self.settings.address,
            body,
        }
    }

    /// Sends a message that does not depend on a write.
    fn send(&mut self, to: Id, address: SocketAddr, body: Body) {
        let message = self.message(to, body);
        self.ready.push((address, message));
    }

    /// Sends a message after all writes so far are synced.
    fn send_synced(&mut self, to: Id, address: SocketAddr, body: Body) {
        let message = self.message(to, body);
        self.waiting.push((address, message));
    }

    fn reset_election(&mut self) {
        let base = ELECTION.as_micros() as u64;
        let timeout = Duration::from_micros(base + self.rng.random_range(0..base));
        self.election_at = self.now + timeout;
    }

    fn follow(&mut self, term: u64, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.dirty = true;
        }
        if self.role != Role::Blank {
            self.role = Role::Follower;
        }
        if self.leading.take().is_some() {
            self.removals.clear();
            self.reset_election();
        }
        self.leader = leader;
    }

    /// Steps down if no quorum has followed within an election timeout of this replica's clock.
    fn check_lease(&mut self) {
        if let (Some(leading), Some(members)) = (&self.leading, self.log.members()) {
            let quorum_at = leading.quorum_at(self.own(), self.now, members);
            if self.now.since(quorum_at) >= ELECTION {
                self.follow(self.hard_state.term, None);
            }
        }
    }

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        match self.role {
            Role::Blank => {
                if self.now >= self.join_at {
                    self.ask_to_join();
                }
                self.found(effects);
            }
            Role::Leader => {
                if let Some(leading) = &mut self.leading
                    && self.now >= leading.heartbeat_at
                {
                    leading.heartbeat_at = self.now + HEARTBEAT;
                    leading.start_round(self.now);
                    for (id, address) in self.others() {
                        self.send_append(id, address, true);
                    }
                }
            }
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if self.now >= self.election_at {
                    self.leader = None;
                    self.reset_election();
                    if self.is_voter() {
                        self.campaign(true);
                    }
                }
                if self.now >= self.join_at {
                    // A member that hears no leader may have been replaced or may have a new address.
                    if self.now.since(self.leader_contact) > ELECTION * 3 {
                        self.ask_to_join();
                    } else {
                        self.join_at = self.now + JOIN;
                    }
                }
            }
        }
    }

    fn others(&self) -> Vec<(Id, SocketAddr)> {
        let members = self.log.members();
        members
            .iter()
            .flat_map(|members| &members.list)
            .filter(|member| member.id != self.own())
            .map(|member| (member.id, member.address))
            .collect()
    }

    fn ask_to_join(&mut self) {
        self.join_at = self.now + JOIN;
        let mut addresses: BTreeSet<SocketAddr> = self
            .settings
            .replicas
            .iter()
            .filter(|(vm, _)| *vm != self.settings.vm)
            .map(|(_, address)| *address)
            .collect();
        addresses.extend(self.others().into_iter().map(|(_, address)| address));
        for address in addresses {
            let body = Body::Join {
                vm: Arc::clone(&self.settings.vm),
                blank: self.role == Role::Blank,
                bootstrap: self.settings.bootstrap,
            };
            self.send_synced(Id(0), address, body);
        }
    }

    /// Founds a deployment if all replicas of the settings are without data and may do so.
    fn found(&mut self, effects: &mut Vec<Effect>) {
        let mut names: Vec<&vm::Name> = self.settings.replicas.iter().map(|(vm, _)| vm).collect();
        names.sort_unstable();
        if !self.settings.bootstrap || names.first() != Some(&&self.settings.vm) {
            return;
        }
        let mut list = vec![Member {
            id: self.own(),
            vm: Arc::clone(&self.settings.vm),
            address: self.settings.address,
            voter: true,
        }];
        for name in &names[1..] {
            // The last request of a VM counts, in case it lost its disk between two requests.
            let join = self
                .joins
                .iter()
                .filter(|(_, join)| join.vm == **name && join.bootstrap)
                .max_by_key(|(_, join)| join.at);
            let Some((id, join)) = join else {
                return;
            };
            if self.now.since(join.at) > JOIN_VALID {
                return;
            }
            list.push(Member {
                id: *id,
                vm: Arc::clone(name),
                address: join.address,
                voter: true,
            });
        }
        let members = Members {
            deployment: self.rng.random::<u64>() | 1,
            list,
            removed: Vec::new(),
        };
        let snapshot = Snapshot {
            index: 0,
            term: 0,
            members,
            state: Arc::new([]),
        };
        self.joins.clear();
        self.install(snapshot, effects);
        self.election_at = self.now;
    }

    fn install(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        self.hard_state.initialized = true;
        self.dirty = false;
        self.unsaved.clear();
        if self.role == Role::Blank {
            self.role = Role::Follower;
        }
        self.log = Log::after(&snapshot);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.synced = 0;
        for write in &mut self.writes {
            write.last_index = 0;
        }
        self.sequence += 1;
        self.writes.push_back(Write {
            sequence: self.sequence,
            last_index: snapshot.index,
        });
        self.snapshot = Some(snapshot.clone());
        effects.push(Effect::InstallSnapshot {
            sequence: self.sequence,
            hard_state: self.hard_state,
            snapshot,
        });
    }

    fn campaign(&mut self, pre: bool) {
        self.votes.clear();
        self.votes.insert(self.own());
        let mut term = self.hard_state.term + 1;
        if pre {
            self.role = Role::PreCandidate;
            self.vote_sequence = self.persisted;
        } else {
            self.role = Role::Candidate;
            self.hard_state.term = term;
            self.hard_state.voted_for = Some(self.own());
            self.dirty = true;
            // The own vote counts like the others, once it is synced.
            self.vote_sequence = self.sequence + 1;
            term = self.hard_state.term;
        }
        let body = Body::VoteRequest {
            term,
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let members = self.log.members().cloned().unwrap_or_default();
        let own = self.own();
        for voter in members.voters().filter(|voter| voter.id != own) {
            self.send_synced(voter.id, voter.address, body.clone());
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let Some(members) = self.log.members() else {
            return;
        };
        let votes = members
            .voters()
            .filter(|voter| self.votes.contains(&voter.id))
            .count();
        if votes < members.quorum() || self.persisted < self.vote_sequence {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            Role::Candidate => self.lead(),
            Role::Blank | Role::Follower | Role::Leader => {}
        }
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.own());
        let next = self.log.last_index() + 1;
        let mut leading = Leader::new(self.now, next);
        if let Some(members) = self.log.members() {
            leading.update(self.now, self.own(), members, next);
        }
        leading.start_round(self.now);
        leading.heartbeat_at = self.now + HEARTBEAT;
        self.leading = Some(leading);
        self.push(Payload::Start);
    }

    fn push(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let index = entry.index;
        self.unsaved.push(entry.clone());
        self.log.push(entry);
        index
    }

    fn propose(&mut self, commands: Vec<(u64, Arc<[u8]>)>, effects: &mut Vec<Effect>) {
        for (proposal, command) in commands {
            let waiting = self.log.last_index() - self.commit;
            if self.leading.is_none() || waiting >= MAX_UNCOMMITTED {
                effects.push(Effect::Refused { proposal });
                continue;
            }
            let index = self.push(Payload::Command(command));
            effects.push(Effect::Accepted {
                proposal,
                term: self.hard_state.term,
                index,
            });
        }
    }

    fn compact(&mut self, index: u64, state: Arc<[u8]>, effects: &mut Vec<Effect>) {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index <= covered || index > self.applied {
            return;
        }
        let (Some(term), Some(members)) = (self.log.term_at(index), self.log.members_at(index))
        else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: members.clone(),
            state,
        };
        self.snapshot = Some(snapshot.clone());
        self.log.compact(index, self.settings.retained_entries);
        effects.push(Effect::SaveSnapshot(snapshot));
    }

    /// Removes a member, or asks the leader to do so.
    fn remove(&mut self, member: Id) {
        if self.leading.is_some() {
            self.removals.insert(member);
        } else if let Some(leader) = self.leader() {
            let (id, address) = (leader.id, leader.address);
            self.send(id, address, Body::RemoveMember { member });
        }
    }

    fn resign(&mut self) {
        if self.leading.is_none() {
            return;
        }
        let successor = self.successor();
        self.follow(self.hard_state.term, None);
        if let Some(successor) = successor {
            let term = self.hard_state.term;
            for (id, address) in self.others() {
                self.send(id, address, Body::TransferLeadership { term, successor });
            }
        }
    }

    /// Returns the voter whose log is the longest.
    fn successor(&self) -> Option<Id> {
        let leading = self.leading.as_ref()?;
        let members = self.log.members()?;
        let others = members.voters().filter(|member| member.id != self.own());
        let successor = others.max_by_key(|member| {
            let progress = leading.progress.get(&member.id);
            progress.map_or((0, None), |progress| (progress.matched, progress.acked))
        })?;
        Some(successor.id)
    }

    fn on_persisted(&mut self, sequence: u64) {
        self.persisted = self.persisted.max(sequence);
        while let Some(write) = self.writes.front()
            && write.sequence <= sequence
        {
            self.synced = self.synced.max(write.last_index);
            self.writes.pop_front();
        }
        self.count_votes();
    }

    fn receive(&mut self, message: Message, effects: &mut Vec<Effect>) {
        let Message {
            deployment,
            from,
            to,
            address,
            body,
        } = message;
        let known = self.deployment();
        if (known != 0 && deployment != 0 && deployment != known) || from == self.own() {
            return;
        }
        if let Body::Join {
            vm,
            blank,
            bootstrap,
        } = body
        {
            self.on_join(from, address, vm, blank, bootstrap, effects);
            return;
        }
        if to != self.own() {
            return;
        }
        match body {
            Body::Join { .. } | Body::EntryContacts(_) => {}
            Body::VoteRequest {
                term,
                pre,
                last_index,
                last_term,
            } => self.on_vote_ask(from, address, term, pre, last_index, last_term),
            Body::VoteResponse { term, pre, granted } => self.on_vote(from, term, pre, granted),
            Body::AppendEntries {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, address, term, round) {
                    self.on_append(
                        from,
                        address,
                        previous_index,
                        previous_term,
                        entries,
                        commit,
                        round,
                    );
                }
            }
            Body::AppendResponse {
                term,
                accepted,
                index,
                round,
            } => {
                if self.accept_follower(from, term, round) {
                    self.on_append_answer(from, accepted, index);
                }
            }
            Body::SnapshotChunk {
                term,
                index,
                index_term,
                members,
                offset,
                total,
                part,
                round,
            } => {
                if self.accept_leader(from, address, term, round) && total <= MAX_SNAPSHOT_BYTES {
                    let snapshot = Snapshot {
                        index,
                        term: index_term,
                        members,
                        state: part,
                    };
                    self.on_snapshot(from, address, snapshot, offset, total, round, effects);
                }
            }
            Body::SnapshotResponse {
                term,
                index,
                offset,
                round,
            } => {
                if self.accept_follower(from, term, round) {
                    self.on_snapshot_answer(from, index, offset);
                }
            }
            Body::RemoveMember { member } => {
                if self.leading.is_some() {
                    self.removals.insert(member);
                }
            }
            Body::Removed { term } => {
                if term >= self.hard_state.term
                    && self.role != Role::Blank
                    && self.leading.is_none()
                {
                    effects.push(Effect::Reset);
                }
            }
            Body::TransferLeadership { term, successor } => {
                if term == self.hard_state.term && self.leader == Some(from) {
                    self.leader = None;
                    self.reset_election();
                    if successor == self.own() && self.is_voter() {
                        self.campaign(true);
                        // The request may overtake the news at other voters, which then ignore it.
                        self.election_at = self.now + RETRY;
                    }
                }
            }
        }
    }

    fn on_join(
        &mut self,
        from: Id,
        address: SocketAddr,
        vm: vm::Name,
        blank: bool,
        bootstrap: bool,
        effects: &mut Vec<Effect>,
    ) {
        if blank
            && let Some(leading) = &mut self.leading
            && let Some(progress) = leading.progress.get_mut(&from)
            && progress.matched == 0
        {
            progress.blank = true;
        }
        if self.role == Role::Blank && !blank {
            return;
        }
        if self.settings.open_membership
            && self.leading.is_some()
            && self
                .committed_members()
                .is_some_and(|members| members.removed.contains(&from))
        {
            // It may have been cut off while it was replaced. Its id never counts again, so it starts
            // anew without data.
            let term = self.hard_state.term;
            self.send(from, address, Body::Removed { term });
            return;
        }
        let join = Join {
            vm,
            address,
            bootstrap: bootstrap && blank,
            at: self.now,
        };
        self.joins.insert(from, join);
        let now = self.now;
        self.joins
            .retain(|_, join| now.since(join.at) <= JOIN_VALID);
        if self.role == Role::Blank {
            self.found(effects);
        }
    }

    /// Returns whether a replica knows of a live leader, so that it helps no other candidate.
    fn has_leader(&self) -> bool {
        if let Some(leading) = &self.leading {
            let members = self.log.members().cloned().unwrap_or_default();
            return self
                .now
                .since(leading.quorum_at(self.own(), self.now, &members))
                < ELECTION;
        }
        self.leader.is_some() && self.now.since(self.leader_contact) < ELECTION
    }

    fn on_vote_ask(
        &mut self,
        from: Id,
        address: SocketAddr,
        term: u64,
        pre: bool,
        last_index: u64,
        last_term: u64,
    ) {
        if self.has_leader() || self.now < self.abstain_until {
            return;
        }
        let whole = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if pre {
            let granted = whole && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.send_synced(from, address, Body::VoteResponse { term, pre, granted });
            return;
        }
        if term > self.hard_state.term {
            self.follow(term, None);
        }
        let free = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = term == self.hard_state.term && free && whole;
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.dirty = true;
        }
        if granted {
            self.reset_election();
        }
        let body = Body::VoteResponse {
            term: self.hard_state.term,
            pre,
            granted,
        };
        self.send_synced(from, address, body);
    }

    fn on_vote(&mut self, from: Id, term: u64, pre: bool, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.follow(term, None);
            }
            return;
        }
        let asked = match self.role {
            Role::PreCandidate => pre && term == self.hard_state.term + 1,
            Role::Candidate => !pre && term == self.hard_state.term,
            Role::Blank | Role::Follower | Role::Leader => false,
        };
        if asked {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    /// Follows the sender if it is the leader of the current or a later term.
    fn accept_leader(&mut self, from: Id, address: SocketAddr, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            let body = Body::AppendResponse {
                term: self.hard_state.term,
                accepted: false,
                index: 0,
                round,
            };
            self.send_synced(from, address, body);
            return false;
        }
        self.follow(term, Some(from));
        self.leader_contact = self.now;
        self.reset_election();
        true
    }

    /// Returns whether an answer is for the current term of this leader.
    fn accept_follower(&mut self, from: Id, term: u64, round: u64) -> bool {
        if term > self.hard_state.term {
            self.follow(term, None);
            return false;
        }
        let Some(leading) = &mut self.leading else {
            return false;
        };
        if term < self.hard_state.term {
            return false;
        }
        leading.record_answer(from, round);
        true
    }

    fn on_append(
        &mut self,
        from: Id,
        address: SocketAddr,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if self.role == Role::Blank {
            // Without the founding the members are unknown; the leader sends a snapshot after the
            // next request to join.
            return;
        }
        let term = self.hard_state.term;
        let answer = |accepted, index| Body::AppendResponse {
            term,
            accepted,
            index,
            round,
        };
        // Committed entries are equal everywhere, so those up to the commit index need no check.
        let known = previous_index <= self.commit
            || self.log.term_at(previous_index) == Some(previous_term);
        if !known {
            let hint = if previous_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.log.first_of_term(previous_index) - 1
            };
            self.send_synced(from, address, answer(false, hint.max(self.commit)));
            return;
        }
        let last = previous_index + entries.len() as u64;
        for entry in entries {
            if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.unsaved.push(entry.clone());
            self.log.push(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        self.send_synced(from, address, answer(true, last));
    }

    fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.synced = self.synced.min(index - 1);
        for write in &mut self.writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    fn on_append_answer(&mut self, from: Id, accepted: bool, index: u64) {
        let last = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&from) else {
            return;
        };
        if accepted {
            progress.blank = false;
            let installed = |(snapshot, _): &(Snapshot, u64)| snapshot.index <= index;
            if progress.snapshot.as_ref().is_some_and(installed) {
                progress.snapshot = None;
                progress.sent = None;
            }
            // An answer to a heartbeat repeats the matched index and says nothing about entries that
            // are on their way.
            if index > progress.matched && index <= last {
                progress.matched = index;
                progress.sent = None;
            }
            progress.next = progress.next.max(progress.matched + 1);
            if index == progress.matched {
                progress.next = index + 1;
            }
        } else if index >= progress.matched && index + 1 < progress.next {
            progress.next = index + 1;
            progress.sent = None;
        }
    }

    fn on_snapshot(
        &mut self,
        from: Id,
        address: SocketAddr,
        part: Snapshot,
        offset: u64,
        total: u64,
        round: u64,
        effects: &mut Vec<Effect>,
    ) {
        let term = self.hard_state.term;
        let accepted = |index| Body::AppendResponse {
            term,
            accepted: true,
            index,
            round,
        };
        if self.role != Role::Blank {
            // The log up to the snapshot is already here.
            if part.index <= self.commit || self.log.term_at(part.index) == Some(part.term) {
                self.commit = self.commit.max(part.index);
                self.receiving = None;
                self.send_synced(from, address, accepted(part.index));
                return;
            }
        }
        let same = |receiving: &Receiving| {
            receiving.from == from && receiving.index == part.index && receiving.term == part.term
        };
        if offset == 0 || !self.receiving.as_ref().is_some_and(same) {
            self.receiving = Some(Receiving {
                from,
                index: part.index,
                term: part.term,
                state: Vec::new(),
            });
        }
        let Some(receiving) = &mut self.receiving else {
            return;
        };
        if receiving.state.len() as u64 == offset {
            receiving.state.extend_from_slice(&part.state);
        }
        let received = receiving.state.len() as u64;
        if received < total {
            let body = Body::SnapshotResponse {
                term,
                index: part.index,
                offset: received,
                round,
            };
            self.send_synced(from, address, body);
            return;
        }
        let state = std::mem::take(&mut receiving.state);
        self.receiving = None;
        let index = part.index;
        let snapshot = Snapshot {
            state: state.into(),
            ..part
        };
        self.install(snapshot, effects);
        self.send_synced(from, address, accepted(index));
    }

    fn on_snapshot_answer(&mut self, from: Id, index: u64, offset: u64) {
        if let Some(leading) = &mut self.leading
            && let Some(progress) = leading.progress.get_mut(&from)
            && let Some((snapshot, received)) = &mut progress.snapshot
            && snapshot.index == index
            && offset <= snapshot.state.len() as u64
        {
            *received = offset;
            progress.sent = None;
        }
    }

    /// Sends what the followers lack.
    fn replicate(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let last = self.log.last_index();
        let lacking: Vec<Id> = leading
            .progress
            .iter()
            .filter(|(_, progress)| {
                let unanswered = progress.sent.is_some();
                let lacks = progress.next <= last || progress.snapshot.is_some() || progress.blank;
                lacks && !unanswered
            })
            .map(|(id, _)| *id)
            .collect();
        for (id, address) in self.others() {
            if lacking.contains(&id) {
                self.send_append(id, address, false);
            }
        }
    }

    /// Sends entries, a part of a snapshot, or a heartbeat.
    fn send_append(&mut self, id: Id, address: SocketAddr, heartbeat: bool) {
        let now = self.now;
        let term = self.hard_state.term;
        let commit = self.commit;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let round = leading.round();
        let Some(progress) = leading.progress.get_mut(&id) else {
            return;
        };
        let waits = progress.sent.is_some_and(|at| now.since(at) < RESEND);
        if progress.snapshot.is_none()
            && (progress.blank || progress.next <= self.log.base_index())
            && let Some(snapshot) = &self.snapshot
        {
            progress.snapshot = Some((snapshot.clone(), 0));
        }
        if let Some((snapshot, offset)) = &progress.snapshot
            && !waits
        {
            let total = snapshot.state.len();
            let from = (*offset as usize).min(total);
            let part =
                &snapshot.state[from..(from + self.settings.snapshot_chunk_bytes).min(total)];
            let body = Body::SnapshotChunk {
                term,
                index: snapshot.index,
                index_term: snapshot.term,
                members: snapshot.members.clone(),
                offset: from as u64,
                total: total as u64,
                part: part.into(),
                round,
            };
            progress.sent = Some(now);
            self.send(id, address, body);
            return;
        }
        let previous_index = (progress.next - 1).max(self.log.base_index());
        let entries = if waits || progress.snapshot.is_some() {
            Vec::new()
        } else {
            self.log.from(previous_index + 1, APPEND_BYTES)
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        if !entries.is_empty() {
            progress.sent = Some(now);
        }
        let body = Body::AppendEntries {
            term,
            previous_index,
            previous_term: self.log.term_at(previous_index).unwrap_or(0),
            entries,
            commit,
            round,
        };
        self.send(id, address, body);
    }

    /// Commits what a quorum has synced, if it is of the leader's term.
    fn advance_commit(&mut self) {
        let (Some(leading), Some(members)) = (&self.leading, self.log.members()) else {
            return;
        };
        let quorum = members.quorum_value(|member| {
            if member.id == self.own() {
                return self.synced;
            }
            let progress = leading.progress.get(&member.id);
            progress.map_or(0, |progress| progress.matched)
        });
        if let Some(index) = quorum
            && index > self.commit
            && self.log.term_at(index) == Some(self.hard_state.term)
        {
            self.commit = index;
            if !self.is_voter() && self.log.members_index() <= self.commit {
                self.resign();
            }
        }
    }

    /// Proposes the next membership change, one replica at a time.
    fn change_members(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let Some(members) = self.log.members() else {
            return;
        };
        // A change is safe only after the last one and an entry of the leader's term are committed.
        if self.log.members_index() > self.commit || leading.start_index > self.commit {
            return;
        }
        let next = self.next_members(leading, members);
        // A removal that is not possible now needs another order.
        self.removals.clear();
        let Some(next) = next else {
            return;
        };
        self.push(Payload::Members(next));
        let next = self.log.last_index() + 1;
        if let (Some(leading), Some(members)) = (&mut self.leading, self.log.members()) {
            leading.update(self.now, self.hard_state.id, members, next);
        }
    }

    fn next_members(&self, leading: &Leader, members: &Members) -> Option<Members> {
        let fresh = |at: Instant| self.now.since(at) <= JOIN_VALID;
        for (id, join) in self.joins.iter().filter(|(_, join)| fresh(join.at)) {
            if members.removed.contains(id) {
                continue;
            }
            let mut next = members.clone();
            if let Some(member) = next.list.iter_mut().find(|member| member.id == *id) {
                if member.address != join.address {
                    member.address = join.address;
                    return Some(next);
                }
                continue;
            }
            let listed = self.settings.replicas.iter().any(|(vm, _)| *vm == join.vm);
            let known = members.list.iter().any(|member| member.vm == join.vm);
            if (listed || known || self.settings.open_membership) && join.vm != self.settings.vm {
                next.remove(|member| !member.voter && member.vm == join.vm);
                next.list.push(Member {
                    id: *id,
                    vm: Arc::clone(&join.vm),
                    address: join.address,
                    voter: false,
                });
                return Some(next);
            }
        }
        let alive = |id: Id| {
            if id == self.own() {
                return true;
            }
            let progress = leading.progress.get(&id);
            let acked = progress.and_then(|progress| progress.acked);
            acked.is_some_and(|at| self.now.since(at) < ELECTION)
        };
        for id in self
            .removals
            .iter()
            .filter(|id| members.get(**id).is_some())
        {
            let mut next = members.clone();
            next.remove(|member| member.id == *id);
            // The rest must be able to go on without the member.
            let live = next.voters().filter(|voter| alive(voter.id)).count();
            if live > 0 && live >= next.quorum() {
                return Some(next);
            }
        }
        for learner in members.list.iter().filter(|member| !member.voter) {
            let progress = leading.progress.get(&learner.id);
            let caught_up = progress.is_some_and(|progress| progress.matched >= self.commit);
            if !caught_up || !alive(learner.id) {
                continue;
            }
            let mut next = members.clone();
            let replaced = members.voters().find(|voter| voter.vm == learner.vm);
            if replaced.is_none() && self.settings.open_membership {
                let lost = members
                    .voters()
                    .find(|voter| self.silent(leading, voter.id) >= REPLACE_AFTER);
                if let Some(lost) = lost {
                    next.remove(|member| member.id == lost.id);
                    let live = next.voters().filter(|voter| alive(voter.id)).count();
                    if live >= next.quorum() {
                        return Some(next);
                    }
                    continue;
                }
                if members.voters().count() >= MAX_VOTERS {
                    continue;
                }
            }
            if let Some(replaced) = replaced {
                // Removing the lost id first never needs more live replicas than before, since that id
                // cannot answer any more. Exchanging both at once would be two changes in one.
                if alive(replaced.id) || self.now.since(leading.since) < ELECTION {
                    continue;
                }
                next.remove(|member| member.id == replaced.id);
            } else {
                let member = next.list.iter_mut().find(|member| member.id == learner.id);
                member?.voter = true;
            }
            return Some(next);
        }
        if self.settings.open_membership {
            return self.without_lost(leading, members, alive);
        }
        None
    }

    /// Returns how long a member has not answered this leader.
    fn silent(&self, leading: &Leader, id: Id) -> Duration {
        if id == self.own() {
            return Duration::ZERO;
        }
        let progress = leading.progress.get(&id);
        let heard = progress.map(|progress| progress.acked.unwrap_or(progress.since));
        self.now.since(heard.unwrap_or(leading.since))
    }

    /// Returns the members without a learner or surplus voter that has been silent for long.
    fn without_lost<F>(&self, leading: &Leader, members: &Members, alive: F) -> Option<Members>
    where
        F: Fn(Id) -> bool,
    {
        let surplus = members.voters().count().is_multiple_of(2);
        let lost = members.list.iter().find(|member| {
            (surplus || !member.voter) && self.silent(leading, member.id) >= FORGET_AFTER
        })?;
        let mut next = members.clone();
        next.remove(|member| member.id == lost.id);
        let live = next.voters().filter(|voter| alive(voter.id)).count();
        (live > 0 && live >= next.quorum()).then_some(next)
    }
}
