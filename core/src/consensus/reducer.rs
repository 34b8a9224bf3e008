//! State machine of one control replica.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use super::contacts::Contacts;
use super::leader::Leader;
use super::log::Log;
use super::voters::{Health, Voters};
use super::{
    Body, Effect, Entry, Event, HardState, Id, Member, Members, Message, Payload, Snapshot,
};
use crate::time::Instant;
use crate::{vm, zone};

/// Interval of a leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum election timeout; each timeout is chosen at random between this and twice this value. It
/// allows a new leader within 2 s and tolerates six lost or late heartbeats.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between a replica's join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a member tells listed replicas that are not members where the deployment is.
const ADVERTISE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of contacts to which a replica without data passes on the join request of another one.
const MAX_FORWARD_RECEIVERS: usize = 4;

/// Maximum age at which a join request is still considered.
const JOIN_MAX_AGE: Duration = Duration::from_secs(1);

/// Maximum size of the entries in one message, bytes. It keeps messages below the frame limit and
/// quick to sync.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Largest snapshot that a replica accepts, bytes.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// Maximum number of uncommitted entries. Further commands are refused, so that the log of a leader that
/// cannot reach a quorum stays bounded.
const MAX_UNCOMMITTED_ENTRIES: u64 = 8_192;

/// Delay after which the successor in a leadership transfer requests votes again.
const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Time after which unacknowledged entries and snapshot chunks are sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a member tells the others its availability zone.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// The same while it shuts down, since a message may be lost.
const LEAVING_STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Longest silence of a leader before the election of its successor that counts. It leaves two heartbeat intervals
/// in which it can respond before it counts as lost.
const MAX_PREDECESSOR_SILENCE: Duration = Duration::from_millis(800);

/// Time for which a replica that announced its shutdown counts as leaving. Longer than the time after which
/// a silent voter is replaced, so that it does not count as live again before its silence shows.
const LEAVING_PERIOD: Duration = Duration::from_secs(2);

/// Longest time that a message waits for its link to open, with a margin. Links are opened within 500 ms
/// or their queued messages are dropped.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(700);

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the VM.
    pub vm: vm::Name,
    /// QUIC address of this replica.
    pub address: SocketAddr,
    /// Initial replicas of the deployment, including this one.
    pub replicas: Vec<(vm::Name, SocketAddr)>,
    /// Addresses at which a replica that lost the others looks for them; see [`Event::Listed`].
    pub listed: Vec<SocketAddr>,
    /// Addresses of members known from an earlier membership of this replica; see [`Effect::Reset`].
    pub contacts: Vec<SocketAddr>,
    /// Whether a replica without data may bootstrap a deployment.
    pub bootstrap: bool,
    /// Whether replicas that are not listed in `replicas` may join. The platform replaces VMs at new
    /// addresses, so the leader then also chooses which replicas vote.
    pub open_membership: bool,
    /// Availability zone of the VM, if known; see [`Body::Status`].
    pub zone: Option<zone::Name>,
    /// Number of replicas that may lose their data at the same time. With open membership, a lost voter that
    /// no learner can replace is kept if fewer than `2 * tolerance + 1` voters would remain.
    pub tolerance: usize,
    /// Seed of the random number generator for election timeouts.
    pub seed: u64,
    /// Number of entries kept in memory that a snapshot already covers, so that a replica that was
    /// disconnected for a short time catches up without a snapshot.
    pub retained_entries: u64,
    /// Maximum size of a snapshot chunk in one message, bytes.
    pub snapshot_chunk_bytes: usize,
}

impl Settings {
    /// Creates settings with default sizes and closed membership.
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
            listed: replicas.iter().map(|(_, address)| *address).collect(),
            replicas,
            contacts: Vec::new(),
            bootstrap,
            open_membership: false,
            zone: None,
            tolerance: 1,
            seed,
            retained_entries: 1_000,
            snapshot_chunk_bytes: 512 * 1024,
        }
    }
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Has no data and requests to join a deployment.
    Blank,
    /// Follows a leader or waits for an election.
    Follower,
    /// Runs a pre-vote: finds out whether votes would be granted.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// A write that has not been reported as synced.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    sequence: u64,
    /// Highest index covered by the write that is still in the log.
    last_index: u64,
}

/// A snapshot that is received in chunks.
#[derive(Debug, Clone)]
struct IncomingSnapshot {
    from: Id,
    index: u64,
    term: u64,
    state: Vec<u8>,
}

/// What a member last said about itself; see [`Body::Status`].
#[derive(Debug, Clone)]
struct Status {
    zone: Option<zone::Name>,
    /// When it announced its shutdown.
    leaving_since: Option<Instant>,
}

/// The latest join request of a replica.
#[derive(Debug, Clone)]
struct JoinRequest {
    vm: vm::Name,
    address: SocketAddr,
    /// Whether the replica has no data.
    blank: bool,
    /// Whether the replica may bootstrap a deployment.
    bootstrap: bool,
    received_at: Instant,
}

/// State machine of one control replica.
#[derive(Debug)]
pub struct Reducer {
    settings: Settings,
    rng: SmallRng,
    now: Instant,
    hard_state: HardState,
    role: Role,
    leader_state: Option<Leader>,
    /// Known leader of the current term.
    leader_id: Option<Id>,
    last_leader_contact: Instant,
    /// No vote is granted before this time. Before a restart, the replica may have acknowledged a leader
    /// whose lease relies on that acknowledgement.
    no_vote_until: Instant,
    election_deadline: Instant,
    votes: BTreeSet<Id>,
    /// Write that must be synced before votes are counted; it stores the replica's vote for itself.
    vote_sequence: u64,
    log: Log,
    snapshot: Option<Snapshot>,
    commit_index: u64,
    /// Until then, messages may arrive that were sent before this process started.
    stale_until: Instant,
    /// Term and highest commit index heard from a leader since `stale_until`.
    leader_commit: Option<(u64, u64)>,
    applied_index: u64,
    /// Highest index that is synced on the local disk.
    synced_index: u64,
    /// Sequence number of the last write that was emitted.
    write_sequence: u64,
    /// Sequence number of the last write that was reported as synced.
    persisted_sequence: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Messages that are sent once the write with this sequence number is synced.
    held_messages: VecDeque<(u64, SocketAddr, Message)>,
    incoming_snapshot: Option<IncomingSnapshot>,
    join_requests: BTreeMap<Id, JoinRequest>,
    contacts: Contacts,
    next_join_at: Instant,
    next_advertise_at: Instant,
    next_status_at: Instant,
    /// Whether this replica shuts down.
    is_leaving: bool,
    /// Latest status of each other member.
    statuses: BTreeMap<Id, Status>,
    /// The replica that this one followed last, unless it has led since.
    last_leader: Option<Id>,
    /// Members whose removal was requested from this leader.
    pending_removals: BTreeSet<Id>,
    // Changes collected while one event is processed, emitted by `flush`.
    hard_state_changed: bool,
    unsaved_entries: Vec<Entry>,
    ready_messages: Vec<(SocketAddr, Message)>,
    /// Messages that must not be sent before all writes of the event are synced.
    messages_after_sync: Vec<(SocketAddr, Message)>,
}

impl Reducer {
    /// Creates a replica from the content of its store.
    pub fn new(
        settings: Settings,
        now: Instant,
        hard_state: HardState,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Self {
        let mut log = snapshot
            .as_ref()
            .map(Log::from_snapshot)
            .unwrap_or_default();
        for entry in entries {
            log.push(entry);
        }
        let applied = log.base_index();
        let contacts = Contacts::new(now, &settings.contacts);
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
            leader_state: None,
            leader_id: None,
            last_leader_contact: now,
            no_vote_until: if hard_state.initialized {
                now + ELECTION_TIMEOUT
            } else {
                now
            },
            election_deadline: now,
            votes: BTreeSet::new(),
            vote_sequence: 0,
            synced_index: log.last_index(),
            log,
            snapshot,
            commit_index: applied,
            stale_until: now + MAX_MESSAGE_AGE,
            leader_commit: None,
            applied_index: applied,
            write_sequence: 0,
            persisted_sequence: 0,
            pending_writes: VecDeque::new(),
            held_messages: VecDeque::new(),
            incoming_snapshot: None,
            join_requests: BTreeMap::new(),
            contacts,
            next_join_at: now,
            next_advertise_at: now,
            next_status_at: now,
            is_leaving: false,
            statuses: BTreeMap::new(),
            last_leader: None,
            pending_removals: BTreeSet::new(),
            hard_state_changed: false,
            unsaved_entries: Vec::new(),
            ready_messages: Vec::new(),
            messages_after_sync: Vec::new(),
        };
        // A single voter has no other replica to wait for and starts an election at once.
        if reducer
            .log
            .members()
            .is_some_and(|members| members.voters().count() == 1)
        {
            reducer.no_vote_until = now;
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

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&Member> {
        self.log.members()?.get(self.leader_id?)
    }

    /// Returns the members in force; their entry may not be committed yet.
    pub fn members(&self) -> Option<&Members> {
        self.log.members()
    }

    /// Returns the latest committed members. A replacement is complete only when it is committed: before
    /// that, the loss of another replica can revert it.
    pub fn committed_members(&self) -> Option<&Members> {
        self.log.members_at(self.commit_index)
    }

    /// Returns where members of the deployment were heard; empty once this replica has data.
    pub fn contacts(&self) -> impl Iterator<Item = SocketAddr> {
        self.contacts.addresses()
    }

    /// Returns the highest committed index known.
    pub fn commit(&self) -> u64 {
        self.commit_index
    }

    /// Returns the highest applied index.
    pub fn applied(&self) -> u64 {
        self.applied_index
    }

    /// Returns whether everything that was committed when this replica last heard from the current leader
    /// is applied. False after a restart until a leader was heard, and while none is known.
    pub fn has_caught_up(&self) -> bool {
        if let Some(leader_state) = &self.leader_state {
            // An entry of its own term tells a leader which earlier entries are committed.
            return leader_state.start_index <= self.commit_index
                && self.applied_index >= self.commit_index;
        }
        let term = self.hard_state.term;
        self.leader_id.is_some()
            && self.leader_commit.is_some_and(|(heard_term, commit)| {
                // Before its first own entry is committed, a leader does not know what is.
                heard_term == term
                    && self.applied_index >= commit
                    && self.log.term_at(commit) == Some(term)
            })
    }

    /// Returns the index and term of the entry before the first one in memory.
    pub fn base(&self) -> (u64, u64) {
        let index = self.log.base_index();
        (index, self.log.term_at(index).unwrap_or(0))
    }

    /// Returns the entries in memory, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.log.entries()
    }

    /// Returns the highest index known to be synced on each other member; empty unless this replica leads.
    pub fn match_indexes(&self) -> impl Iterator<Item = (Id, u64)> {
        let progress = self
            .leader_state
            .iter()
            .flat_map(|leader_state| &leader_state.progress);
        progress.map(|(id, progress)| (*id, progress.match_index))
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Instant {
        match self.role {
            Role::Blank => self.next_join_at,
            Role::Leader => self
                .leader_state
                .as_ref()
                .map_or(self.now, |leader_state| leader_state.next_heartbeat_at),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.election_deadline.min(self.next_join_at)
            }
        }
    }

    /// Returns the latest time at which a quorum is known to have followed this leader; none unless this
    /// replica leads. At that time, no later leader had committed an entry.
    pub fn last_quorum_contact(&self) -> Option<Instant> {
        let (leader_state, members) = (self.leader_state.as_ref()?, self.log.members()?);
        // Until its first entry is applied, a leader may not know the latest committed index.
        if leader_state.start_index > self.applied_index {
            return None;
        }
        let at = leader_state.quorum_contact(self.own_id(), self.now, members);
        (at > leader_state.elected_at || members.voters().count() == 1).then_some(at)
    }

    /// Returns whether the process may end after [`Event::Leave`]: no learner is about to vote in its place.
    pub fn may_end(&self) -> bool {
        let (true, Some(members)) = (self.settings.open_membership, self.committed_members())
        else {
            return true;
        };
        let voters = members.voters().count();
        let has_learner = voters < members.list.len();
        // The number of voters is even between the two changes of a replacement.
        !has_learner || !members.is_voter(self.own_id()) && !voters.is_multiple_of(2)
    }

    /// Processes an event and appends its effects.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        // The process may have been paused since the last event, so the lease is checked first.
        self.check_quorum();
        match event {
            Event::Tick => self.tick(effects),
            Event::Received(message) => self.receive(message, effects),
            Event::Persisted { sequence } => self.on_persisted(sequence),
            Event::Propose(commands) => self.propose(commands, effects),
            Event::Compact { index, state } => self.compact_log(index, state, effects),
            Event::RemoveMember(member) => self.request_removal(member),
            Event::Listed(listed) => self.settings.listed = listed,
            Event::Leave => self.leave(),
        }
        self.flush(effects);
    }

    /// Emits the writes, messages and committed entries that result from the event.
    fn flush(&mut self, effects: &mut Vec<Effect>) {
        self.advance_commit();
        self.propose_member_change();
        self.replicate();
        if self.hard_state_changed || !self.unsaved_entries.is_empty() {
            self.write_sequence += 1;
            self.pending_writes.push_back(PendingWrite {
                sequence: self.write_sequence,
                last_index: self.unsaved_entries.last().map_or(0, |entry| entry.index),
            });
            effects.push(Effect::Persist {
                sequence: self.write_sequence,
                hard_state: self.hard_state_changed.then_some(self.hard_state),
                entries: std::mem::take(&mut self.unsaved_entries),
            });
            self.hard_state_changed = false;
        }
        for (to, message) in self.ready_messages.drain(..) {
            effects.push(Effect::Send { to, message });
        }
        for (to, message) in self.messages_after_sync.drain(..) {
            self.held_messages
                .push_back((self.write_sequence, to, message));
        }
        while let Some((sequence, ..)) = self.held_messages.front()
            && *sequence <= self.persisted_sequence
            && let Some((_, to, message)) = self.held_messages.pop_front()
        {
            // Vote requests and responses of an earlier term are obsolete.
            if self.is_current(&message.body) {
                effects.push(Effect::Send { to, message });
            }
        }
        while self.applied_index < self.commit_index.min(self.synced_index)
            && let Some(entry) = self.log.get(self.applied_index + 1)
        {
            self.applied_index += 1;
            effects.push(Effect::Apply(entry.clone()));
        }
    }

    fn is_current(&self, body: &Body) -> bool {
        match body {
            Body::VoteRequest { term, pre_vote, .. } => *pre_vote || *term == self.hard_state.term,
            Body::AppendResponse { term, .. } | Body::SnapshotResponse { term, .. } => {
                *term == self.hard_state.term
            }
            _ => true,
        }
    }

    fn own_id(&self) -> Id {
        self.hard_state.id
    }

    fn is_voter(&self) -> bool {
        self.log
            .members()
            .is_some_and(|members| members.is_voter(self.own_id()))
    }

    fn deployment(&self) -> u64 {
        self.log.members().map_or(0, |members| members.deployment)
    }

    fn message(&self, to: Id, body: Body) -> Message {
        Message {
            deployment: self.deployment(),
            from: self.own_id(),
            to,
            address: self.settings.address,
            body,
        }
    }

    /// Sends a message that does not depend on a pending write.
    fn send(&mut self, to: Id, address: SocketAddr, body: Body) {
        let message = self.message(to, body);
        self.ready_messages.push((address, message));
    }

    /// Sends a message once all writes up to the end of this event are synced.
    fn send_synced(&mut self, to: Id, address: SocketAddr, body: Body) {
        let message = self.message(to, body);
        self.messages_after_sync.push((address, message));
    }

    fn reset_election(&mut self) {
        let base = ELECTION_TIMEOUT.as_micros() as u64;
        let timeout = Duration::from_micros(base + self.rng.random_range(0..base));
        self.election_deadline = self.now + timeout;
    }

    fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.hard_state_changed = true;
        }
        if self.role != Role::Blank {
            self.role = Role::Follower;
        }
        if self.leader_state.take().is_some() {
            self.pending_removals.clear();
            self.reset_election();
        }
        self.leader_id = leader;
    }

    /// Steps down if the lease has expired: no quorum has responded within one election timeout by the
    /// local clock.
    fn check_quorum(&mut self) {
        if let (Some(leader_state), Some(members)) = (&self.leader_state, self.log.members()) {
            let quorum_contact = leader_state.quorum_contact(self.own_id(), self.now, members);
            if self.now.since(quorum_contact) >= ELECTION_TIMEOUT {
                self.become_follower(self.hard_state.term, None);
            }
        }
    }

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        match self.role {
            Role::Blank => {
                if self.now >= self.next_join_at {
                    self.send_join_requests();
                }
                self.try_bootstrap(effects);
            }
            Role::Leader => {
                if let Some(leader_state) = &mut self.leader_state
                    && self.now >= leader_state.next_heartbeat_at
                {
                    leader_state.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
                    leader_state.start_round(self.now);
                    for (id, address) in self.other_members() {
                        self.send_append(id, address, true);
                    }
                    self.advertise();
                    self.report_status();
                }
            }
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if self.now >= self.election_deadline {
                    self.leader_id = None;
                    self.reset_election();
                    if self.is_voter() && !self.is_leaving {
                        self.campaign(true);
                    }
                }
                if self.now >= self.next_join_at {
                    // A member without contact to a leader may have been replaced, or the others may not
                    // know its new address.
                    if self.now.since(self.last_leader_contact) > ELECTION_TIMEOUT * 3 {
                        self.send_join_requests();
                    } else {
                        self.next_join_at = self.now + JOIN_INTERVAL;
                        self.advertise();
                        self.report_status();
                    }
                }
            }
        }
    }

    fn other_members(&self) -> Vec<(Id, SocketAddr)> {
        let members = self.log.members();
        members
            .iter()
            .flat_map(|members| &members.list)
            .filter(|member| member.id != self.own_id())
            .map(|member| (member.id, member.address))
            .collect()
    }

    fn send_join_requests(&mut self) {
        self.next_join_at = self.now + JOIN_INTERVAL;
        let members = self.other_members();
        let members = members.into_iter().map(|(_, address)| address);
        let addresses: BTreeSet<SocketAddr> = self
            .listed()
            .chain(members)
            .chain(self.contacts.addresses())
            .collect();
        for address in addresses {
            self.send_join_request(address);
        }
    }

    /// Returns the addresses that the settings list, without this replica's own.
    fn listed(&self) -> impl Iterator<Item = SocketAddr> {
        let listed = self.settings.listed.iter().copied();
        listed.filter(|address| *address != self.settings.address)
    }

    fn send_join_request(&mut self, address: SocketAddr) {
        let body = Body::Join {
            vm: Arc::clone(&self.settings.vm),
            blank: self.role == Role::Blank,
            bootstrap: self.settings.bootstrap,
        };
        self.send_synced(Id(0), address, body);
    }

    /// Sends a join request to the listed replicas that are not members, if it is time to. One that has no
    /// data learns from it where the deployment is: perhaps all replicas in its own settings have none either.
    fn advertise(&mut self) {
        if !self.settings.open_membership || self.now < self.next_advertise_at {
            return;
        }
        self.next_advertise_at = self.now + ADVERTISE_INTERVAL;
        let members = self.other_members();
        let outside: Vec<SocketAddr> = self
            .listed()
            .filter(|address| members.iter().all(|(_, member)| member != address))
            .collect();
        for address in outside {
            self.send_join_request(address);
        }
    }

    /// Tells the other members this replica's zone, if it is time to: any of them may lead next.
    fn report_status(&mut self) {
        if !self.settings.open_membership || self.now < self.next_status_at {
            return;
        }
        self.next_status_at = if self.is_leaving {
            self.now + LEAVING_STATUS_INTERVAL
        } else {
            self.now + STATUS_INTERVAL
        };
        for (id, address) in self.other_members() {
            let body = Body::Status {
                zone: self.settings.zone.clone(),
                leaving: self.is_leaving,
            };
            self.send(id, address, body);
        }
    }

    fn on_status(&mut self, from: Id, zone: Option<zone::Name>, leaving: bool) {
        let earlier = self.statuses.get(&from);
        let leaving_since = if leaving {
            Some(self.now)
        } else {
            earlier.and_then(|status| status.leaving_since)
        };
        let status = Status {
            zone,
            leaving_since,
        };
        self.statuses.insert(from, status);
        if let Some(members) = self.log.members() {
            self.statuses.retain(|id, _| members.get(*id).is_some());
        }
    }

    /// Tells the other members that this replica shuts down, so that a learner can take its place before its
    /// silence shows, and transfers leadership.
    fn leave(&mut self) {
        self.is_leaving = self.settings.open_membership;
        self.next_status_at = self.now;
        self.report_status();
        self.transfer_leadership();
    }

    /// Bootstraps a deployment if this replica has the lowest VM name and all listed replicas have no data
    /// and may bootstrap.
    fn try_bootstrap(&mut self, effects: &mut Vec<Effect>) {
        let mut names: Vec<&vm::Name> = self.settings.replicas.iter().map(|(vm, _)| vm).collect();
        names.sort_unstable();
        if !self.settings.bootstrap || names.first() != Some(&&self.settings.vm) {
            return;
        }
        let mut list = vec![Member {
            id: self.own_id(),
            vm: Arc::clone(&self.settings.vm),
            address: self.settings.address,
            voter: true,
        }];
        for name in &names[1..] {
            // The latest request of a VM counts, since the VM may have lost its disk, and with it its id,
            // between two requests.
            let join = self
                .join_requests
                .iter()
                .filter(|(_, join)| join.vm == **name && join.bootstrap)
                .max_by_key(|(_, join)| join.received_at);
            let Some((id, join)) = join else {
                return;
            };
            if self.now.since(join.received_at) > JOIN_MAX_AGE {
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
        self.join_requests.clear();
        self.install_snapshot(snapshot, effects);
        self.election_deadline = self.now;
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        self.hard_state.initialized = true;
        self.contacts.clear();
        self.hard_state_changed = false;
        self.unsaved_entries.clear();
        if self.role == Role::Blank {
            self.role = Role::Follower;
        }
        self.log = Log::from_snapshot(&snapshot);
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.synced_index = 0;
        for write in &mut self.pending_writes {
            write.last_index = 0;
        }
        self.write_sequence += 1;
        self.pending_writes.push_back(PendingWrite {
            sequence: self.write_sequence,
            last_index: snapshot.index,
        });
        self.snapshot = Some(snapshot.clone());
        effects.push(Effect::InstallSnapshot {
            sequence: self.write_sequence,
            hard_state: self.hard_state,
            snapshot,
        });
    }

    fn campaign(&mut self, pre_vote: bool) {
        self.votes.clear();
        self.votes.insert(self.own_id());
        let mut term = self.hard_state.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
            self.vote_sequence = self.persisted_sequence;
        } else {
            self.role = Role::Candidate;
            self.hard_state.term = term;
            self.hard_state.voted_for = Some(self.own_id());
            self.hard_state_changed = true;
            // The vote for itself counts only once it is synced, like the votes of other replicas.
            self.vote_sequence = self.write_sequence + 1;
            term = self.hard_state.term;
        }
        let body = Body::VoteRequest {
            term,
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let members = self.log.members().cloned().unwrap_or_default();
        let own = self.own_id();
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
        if votes < members.quorum() || self.persisted_sequence < self.vote_sequence {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            Role::Candidate => self.become_leader(),
            Role::Blank | Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader_id = Some(self.own_id());
        let next = self.log.last_index() + 1;
        let mut leader_state = Leader::new(self.now, next, self.last_leader.take());
        if let Some(members) = self.log.members() {
            leader_state.update(self.now, self.own_id(), members, next);
        }
        leader_state.start_round(self.now);
        leader_state.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        self.leader_state = Some(leader_state);
        self.append_to_log(Payload::Noop);
    }

    fn append_to_log(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let index = entry.index;
        self.unsaved_entries.push(entry.clone());
        self.log.push(entry);
        index
    }

    fn propose(&mut self, commands: Vec<(u64, Arc<[u8]>)>, effects: &mut Vec<Effect>) {
        for (proposal, command) in commands {
            let uncommitted = self.log.last_index() - self.commit_index;
            if self.leader_state.is_none() || uncommitted >= MAX_UNCOMMITTED_ENTRIES {
                effects.push(Effect::Refused { proposal });
                continue;
            }
            let index = self.append_to_log(Payload::Command(command));
            effects.push(Effect::Accepted {
                proposal,
                term: self.hard_state.term,
                index,
            });
        }
    }

    fn compact_log(&mut self, index: u64, state: Arc<[u8]>, effects: &mut Vec<Effect>) {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index <= covered || index > self.applied_index {
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

    /// Schedules the removal of a member, or forwards the request to the leader.
    fn request_removal(&mut self, member: Id) {
        if self.leader_state.is_some() {
            self.pending_removals.insert(member);
        } else if let Some(leader) = self.leader() {
            let (id, address) = (leader.id, leader.address);
            self.send(id, address, Body::RemoveMember { member });
        }
    }

    fn transfer_leadership(&mut self) {
        if self.leader_state.is_none() {
            return;
        }
        let successor = self.choose_successor();
        self.become_follower(self.hard_state.term, None);
        if let Some(successor) = successor {
            let term = self.hard_state.term;
            for (id, address) in self.other_members() {
                self.send(id, address, Body::TransferLeadership { term, successor });
            }
        }
    }

    /// Returns the other voter with the highest match index.
    fn choose_successor(&self) -> Option<Id> {
        let leader_state = self.leader_state.as_ref()?;
        let members = self.log.members()?;
        let others = members.voters().filter(|member| member.id != self.own_id());
        let successor = others.max_by_key(|member| {
            let progress = leader_state.progress.get(&member.id);
            progress.map_or((0, None), |progress| {
                (progress.match_index, progress.last_contact)
            })
        })?;
        Some(successor.id)
    }

    fn on_persisted(&mut self, sequence: u64) {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        while let Some(write) = self.pending_writes.front()
            && write.sequence <= sequence
        {
            self.synced_index = self.synced_index.max(write.last_index);
            self.pending_writes.pop_front();
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
        if (known != 0 && deployment != 0 && deployment != known) || from == self.own_id() {
            return;
        }
        if self.role == Role::Blank && deployment != 0 && self.settings.open_membership {
            // Perhaps meant for the id that this VM had before it lost its disk.
            self.contacts.record(self.now, address);
        }
        if let Body::Join {
            vm,
            blank,
            bootstrap,
        } = body
        {
            let request = JoinRequest {
                vm,
                address,
                blank,
                bootstrap: bootstrap && blank,
                received_at: self.now,
            };
            self.on_join(deployment, from, request, effects);
            return;
        }
        if to != self.own_id() {
            return;
        }
        match body {
            Body::Join { .. } | Body::EntryContacts(_) => {}
            Body::Status { zone, leaving } => self.on_status(from, zone, leaving),
            Body::VoteRequest {
                term,
                pre_vote,
                last_index,
                last_term,
            } => self.on_vote_request(from, address, term, pre_vote, last_index, last_term),
            Body::VoteResponse {
                term,
                pre_vote,
                granted,
            } => self.on_vote_response(from, term, pre_vote, granted),
            Body::AppendEntries {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, address, term, round) {
                    self.on_append_entries(
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
                if self.accept_response(from, term, round) {
                    self.on_append_response(from, accepted, index);
                }
            }
            Body::SnapshotChunk {
                term,
                index,
                index_term,
                members,
                offset,
                total,
                chunk,
                round,
            } => {
                if self.accept_leader(from, address, term, round) && total <= MAX_SNAPSHOT_BYTES {
                    let snapshot = Snapshot {
                        index,
                        term: index_term,
                        members,
                        state: chunk,
                    };
                    self.on_snapshot_chunk(from, address, snapshot, offset, total, round, effects);
                }
            }
            Body::SnapshotResponse {
                term,
                index,
                offset,
                round,
            } => {
                if self.accept_response(from, term, round) {
                    self.on_snapshot_response(from, index, offset);
                }
            }
            Body::RemoveMember { member } => {
                if self.leader_state.is_some() {
                    self.pending_removals.insert(member);
                }
            }
            Body::Removed { term } => {
                // A replica without data was admitted and then lost contact before it received any. It asks
                // under an id that is never admitted again, so it needs a new one too.
                if term >= self.hard_state.term && self.leader_state.is_none() {
                    let members = self.other_members().into_iter();
                    let mut contacts: Vec<_> = members.map(|(_, address)| address).collect();
                    contacts.extend(self.contacts.addresses());
                    effects.push(Effect::Reset { contacts });
                }
            }
            Body::TransferLeadership { term, successor } => {
                if term == self.hard_state.term && self.leader_id == Some(from) {
                    self.leader_id = None;
                    self.reset_election();
                    if successor == self.own_id() && self.is_voter() {
                        self.campaign(true);
                        // Voters that receive the vote request before the transfer message ignore it, so
                        // it is repeated soon.
                        self.election_deadline = self.now + TRANSFER_RETRY_DELAY;
                    }
                }
            }
        }
    }

    fn on_join(
        &mut self,
        deployment: u64,
        from: Id,
        request: JoinRequest,
        effects: &mut Vec<Effect>,
    ) {
        if request.blank
            && let Some(leader_state) = &mut self.leader_state
            && let Some(progress) = leader_state.progress.get_mut(&from)
            && progress.match_index == 0
        {
            progress.blank = true;
        }
        if self.role == Role::Blank && !request.blank {
            return;
        }
        if self.settings.open_membership
            && self.leader_state.is_some()
            && self
                .committed_members()
                .is_some_and(|members| members.removed.contains(&from))
        {
            // The replica was replaced, perhaps while it was partitioned. Its id is never admitted again,
            // so it discards its data and joins with a new id.
            let term = self.hard_state.term;
            self.send(from, request.address, Body::Removed { term });
            return;
        }
        if self.settings.open_membership {
            self.forward_join(deployment, from, &request);
        }
        self.join_requests.insert(from, request);
        let now = self.now;
        self.join_requests
            .retain(|_, request| now.since(request.received_at) <= JOIN_MAX_AGE);
        if self.role == Role::Blank {
            self.try_bootstrap(effects);
        }
    }

    /// Passes a join request on to the leader, which alone admits replicas: the sender may know only seeds, of
    /// which none leads. A replica without data passes it on to its contacts. Each step between members leads
    /// to a leader of a later term, and [`Contacts`] bounds the others, so a request does not circulate.
    fn forward_join(&mut self, deployment: u64, from: Id, request: &JoinRequest) {
        let receivers: SmallVec<[SocketAddr; MAX_FORWARD_RECEIVERS]> = match self.role {
            Role::Leader => return,
            Role::Blank => self.contacts.latest(MAX_FORWARD_RECEIVERS).collect(),
            Role::Follower | Role::PreCandidate | Role::Candidate => self
                .leader()
                .filter(|leader| leader.id != from)
                .map(|leader| leader.address)
                .into_iter()
                .collect(),
        };
        if receivers.is_empty() || !self.contacts.begin_forward(self.now, from) {
            return;
        }
        let message = Message {
            deployment,
            from,
            to: Id(0),
            address: request.address,
            body: Body::Join {
                vm: Arc::clone(&request.vm),
                blank: request.blank,
                // A deployment exists.
                bootstrap: false,
            },
        };
        for receiver in receivers {
            self.ready_messages.push((receiver, message.clone()));
        }
    }

    /// Returns whether this replica knows a live leader and so must not vote for another candidate.
    fn has_leader(&self) -> bool {
        if let Some(leader_state) = &self.leader_state {
            let members = self.log.members().cloned().unwrap_or_default();
            return self
                .now
                .since(leader_state.quorum_contact(self.own_id(), self.now, &members))
                < ELECTION_TIMEOUT;
        }
        self.leader_id.is_some() && self.now.since(self.last_leader_contact) < ELECTION_TIMEOUT
    }

    fn on_vote_request(
        &mut self,
        from: Id,
        address: SocketAddr,
        term: u64,
        pre_vote: bool,
        last_index: u64,
        last_term: u64,
    ) {
        if self.has_leader() || self.now < self.no_vote_until {
            return;
        }
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            let granted = up_to_date && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            self.send_synced(
                from,
                address,
                Body::VoteResponse {
                    term,
                    pre_vote,
                    granted,
                },
            );
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote_available = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = term == self.hard_state.term && vote_available && up_to_date;
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.hard_state_changed = true;
        }
        if granted {
            self.reset_election();
        }
        let body = Body::VoteResponse {
            term: self.hard_state.term,
            pre_vote,
            granted,
        };
        self.send_synced(from, address, body);
    }

    fn on_vote_response(&mut self, from: Id, term: u64, pre_vote: bool, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None);
            }
            return;
        }
        let expected = match self.role {
            Role::PreCandidate => pre_vote && term == self.hard_state.term + 1,
            Role::Candidate => !pre_vote && term == self.hard_state.term,
            Role::Blank | Role::Follower | Role::Leader => false,
        };
        if expected {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    /// Follows the sender if it leads the current or a later term; otherwise rejects its message.
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
        self.become_follower(term, Some(from));
        self.last_leader = Some(from);
        self.last_leader_contact = self.now;
        self.reset_election();
        true
    }

    /// Returns whether a response belongs to the current term of this leader, and records the contact.
    fn accept_response(&mut self, from: Id, term: u64, round: u64) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return false;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        if term < self.hard_state.term {
            return false;
        }
        leader_state.record_response(from, round);
        true
    }

    fn on_append_entries(
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
            // Without the initial snapshot the members are unknown. The leader sends a snapshot after the
            // next join request.
            return;
        }
        let term = self.hard_state.term;
        if self.now >= self.stale_until {
            let heard = self.leader_commit.filter(|heard| heard.0 == term);
            let commit = heard.map_or(commit, |heard| heard.1.max(commit));
            self.leader_commit = Some((term, commit));
        }
        let response = |accepted, index| Body::AppendResponse {
            term,
            accepted,
            index,
            round,
        };
        // Committed entries are identical on all replicas, so only later ones need the term check.
        let known = previous_index <= self.commit_index
            || self.log.term_at(previous_index) == Some(previous_term);
        if !known {
            let hint = if previous_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.log.first_of_term(previous_index) - 1
            };
            self.send_synced(from, address, response(false, hint.max(self.commit_index)));
            return;
        }
        let last = previous_index + entries.len() as u64;
        for entry in entries {
            if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term)
            {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.unsaved_entries.push(entry.clone());
            self.log.push(entry);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        self.send_synced(from, address, response(true, last));
    }

    fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.synced_index = self.synced_index.min(index - 1);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    fn on_append_response(&mut self, from: Id, accepted: bool, index: u64) {
        let last = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        if accepted {
            progress.blank = false;
            let installed = |(snapshot, _): &(Snapshot, u64)| snapshot.index <= index;
            if progress.snapshot.as_ref().is_some_and(installed) {
                progress.snapshot = None;
                progress.sent_at = None;
            }
            // The response to a heartbeat repeats the match index and does not acknowledge entries that
            // are in flight.
            if index > progress.match_index && index <= last {
                progress.match_index = index;
                progress.sent_at = None;
            }
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            if index == progress.match_index {
                progress.next_index = index + 1;
            }
        } else if index >= progress.match_index && index + 1 < progress.next_index {
            progress.next_index = index + 1;
            progress.sent_at = None;
        }
    }

    fn on_snapshot_chunk(
        &mut self,
        from: Id,
        address: SocketAddr,
        chunk: Snapshot,
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
            // The local log already contains all entries covered by the snapshot.
            if chunk.index <= self.commit_index || self.log.term_at(chunk.index) == Some(chunk.term)
            {
                self.commit_index = self.commit_index.max(chunk.index);
                self.incoming_snapshot = None;
                self.send_synced(from, address, accepted(chunk.index));
                return;
            }
        }
        let same_snapshot = |incoming: &IncomingSnapshot| {
            incoming.from == from && incoming.index == chunk.index && incoming.term == chunk.term
        };
        if offset == 0 || !self.incoming_snapshot.as_ref().is_some_and(same_snapshot) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                from,
                index: chunk.index,
                term: chunk.term,
                state: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        if incoming.state.len() as u64 == offset {
            incoming.state.extend_from_slice(&chunk.state);
        }
        let received = incoming.state.len() as u64;
        if received < total {
            let body = Body::SnapshotResponse {
                term,
                index: chunk.index,
                offset: received,
                round,
            };
            self.send_synced(from, address, body);
            return;
        }
        let state = std::mem::take(&mut incoming.state);
        self.incoming_snapshot = None;
        let index = chunk.index;
        let snapshot = Snapshot {
            state: state.into(),
            ..chunk
        };
        self.install_snapshot(snapshot, effects);
        self.send_synced(from, address, accepted(index));
    }

    fn on_snapshot_response(&mut self, from: Id, index: u64, offset: u64) {
        if let Some(leader_state) = &mut self.leader_state
            && let Some(progress) = leader_state.progress.get_mut(&from)
            && let Some((snapshot, received)) = &mut progress.snapshot
            && snapshot.index == index
            && offset <= snapshot.state.len() as u64
        {
            *received = offset;
            progress.sent_at = None;
        }
    }

    /// Sends entries or snapshot chunks to members that lack them and have none in flight.
    fn replicate(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let last = self.log.last_index();
        let lagging: Vec<Id> = leader_state
            .progress
            .iter()
            .filter(|(_, progress)| {
                let in_flight = progress.sent_at.is_some();
                let is_behind =
                    progress.next_index <= last || progress.snapshot.is_some() || progress.blank;
                is_behind && !in_flight
            })
            .map(|(id, _)| *id)
            .collect();
        for (id, address) in self.other_members() {
            if lagging.contains(&id) {
                self.send_append(id, address, false);
            }
        }
    }

    /// Sends a snapshot chunk, entries, or an empty heartbeat to a member.
    fn send_append(&mut self, id: Id, address: SocketAddr, heartbeat: bool) {
        let now = self.now;
        let term = self.hard_state.term;
        let commit = self.commit_index;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let round = leader_state.round();
        let Some(progress) = leader_state.progress.get_mut(&id) else {
            return;
        };
        let in_flight = progress
            .sent_at
            .is_some_and(|at| now.since(at) < RESEND_TIMEOUT);
        if progress.snapshot.is_none()
            && (progress.blank || progress.next_index <= self.log.base_index())
            && let Some(snapshot) = &self.snapshot
        {
            progress.snapshot = Some((snapshot.clone(), 0));
        }
        if let Some((snapshot, offset)) = &progress.snapshot
            && !in_flight
        {
            let total = snapshot.state.len();
            let from = (*offset as usize).min(total);
            let chunk =
                &snapshot.state[from..(from + self.settings.snapshot_chunk_bytes).min(total)];
            let body = Body::SnapshotChunk {
                term,
                index: snapshot.index,
                index_term: snapshot.term,
                members: snapshot.members.clone(),
                offset: from as u64,
                total: total as u64,
                chunk: chunk.into(),
                round,
            };
            progress.sent_at = Some(now);
            self.send(id, address, body);
            return;
        }
        let previous_index = (progress.next_index - 1).max(self.log.base_index());
        let entries = if in_flight || progress.snapshot.is_some() {
            Vec::new()
        } else {
            self.log.entries_from(previous_index + 1, MAX_APPEND_BYTES)
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        if !entries.is_empty() {
            progress.sent_at = Some(now);
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

    /// Advances the commit index to the highest entry synced by a quorum, if it is of the current term.
    fn advance_commit(&mut self) {
        let (Some(leader_state), Some(members)) = (&self.leader_state, self.log.members()) else {
            return;
        };
        let quorum = members.quorum_value(|member| {
            if member.id == self.own_id() {
                return self.synced_index;
            }
            let progress = leader_state.progress.get(&member.id);
            progress.map_or(0, |progress| progress.match_index)
        });
        if let Some(index) = quorum
            && index > self.commit_index
            && self.log.term_at(index) == Some(self.hard_state.term)
        {
            self.commit_index = index;
            if !self.is_voter() && self.log.members_index() <= self.commit_index {
                self.transfer_leadership();
            }
        }
    }

    /// Proposes the next membership change, one replica at a time.
    fn propose_member_change(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let Some(members) = self.log.members() else {
            return;
        };
        // A change is safe only after the previous one and an entry of the current term are committed.
        if self.log.members_index() > self.commit_index
            || leader_state.start_index > self.commit_index
        {
            return;
        }
        let next = self.next_members(leader_state, members);
        // A removal that is not possible now is dropped and must be requested again.
        self.pending_removals.clear();
        let Some(next) = next else {
            return;
        };
        self.append_to_log(Payload::Members(next));
        let next = self.log.last_index() + 1;
        if let (Some(leader_state), Some(members)) = (&mut self.leader_state, self.log.members()) {
            leader_state.update(self.now, self.hard_state.id, members, next);
        }
    }

    /// Returns the members after the next required change; none if no change is required or possible.
    fn next_members(&self, leader_state: &Leader, members: &Members) -> Option<Members> {
        let is_recent = |at: Instant| self.now.since(at) <= JOIN_MAX_AGE;
        for (id, join) in self
            .join_requests
            .iter()
            .filter(|(_, join)| is_recent(join.received_at))
        {
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
        let is_alive = |id: Id| {
            if id == self.own_id() {
                return true;
            }
            let progress = leader_state.progress.get(&id);
            let last_contact = progress.and_then(|progress| progress.last_contact);
            last_contact.is_some_and(|at| self.now.since(at) < ELECTION_TIMEOUT)
        };
        for id in self
            .pending_removals
            .iter()
            .filter(|id| members.get(**id).is_some())
        {
            let mut next = members.clone();
            next.remove(|member| member.id == *id);
            // The remaining live voters must form a quorum.
            let live_voters = next.voters().filter(|voter| is_alive(voter.id)).count();
            if live_voters > 0 && live_voters >= next.quorum() {
                return Some(next);
            }
        }
        if self.settings.open_membership {
            let health = |member: &Member| self.health(leader_state, member.id);
            return Voters::new(members, 2 * self.settings.tolerance + 1, health).next();
        }
        self.promote_learner(leader_state, members, is_alive)
    }

    /// Returns the members after the next step towards a learner that votes, in a deployment with closed
    /// membership; none if there is nothing to do.
    fn promote_learner<F>(
        &self,
        leader_state: &Leader,
        members: &Members,
        is_alive: F,
    ) -> Option<Members>
    where
        F: Fn(Id) -> bool,
    {
        for learner in members.list.iter().filter(|member| !member.voter) {
            if !self.has_replicated(leader_state, learner.id) || !is_alive(learner.id) {
                continue;
            }
            let mut next = members.clone();
            let replaced = members.voters().find(|voter| voter.vm == learner.vm);
            if let Some(replaced) = replaced {
                // The lost voter is removed first. This never raises the number of live replicas that a
                // quorum needs, since the lost one cannot respond any more. Removing it and promoting the
                // learner in one step would be two membership changes at once.
                if is_alive(replaced.id)
                    || self.now.since(leader_state.elected_at) < ELECTION_TIMEOUT
                {
                    continue;
                }
                next.remove(|member| member.id == replaced.id);
            } else {
                next.set_voter(learner.id, true);
            }
            return Some(next);
        }
        None
    }

    /// Returns whether a member has synced everything that is committed.
    fn has_replicated(&self, leader_state: &Leader, id: Id) -> bool {
        let progress = leader_state.progress.get(&id);
        progress.is_some_and(|progress| progress.match_index >= self.commit_index)
    }

    /// Returns what this leader knows of a member.
    fn health(&self, leader_state: &Leader, id: Id) -> Health {
        if id == self.own_id() {
            return Health {
                silent_for: Duration::ZERO,
                is_leaving: self.is_leaving,
                has_caught_up: true,
                zone: self.settings.zone.clone(),
            };
        }
        let progress = leader_state.progress.get(&id);
        let known_since = progress.map_or(leader_state.elected_at, |progress| progress.added_at);
        let silent_since = if leader_state.predecessor == Some(id) {
            // Its silence led to this election, unless it handed over.
            let elected_at = leader_state.elected_at;
            self.last_leader_contact
                .max(elected_at - MAX_PREDECESSOR_SILENCE)
                .min(known_since)
        } else {
            known_since
        };
        let last_contact = progress.and_then(|progress| progress.last_contact);
        let status = self.statuses.get(&id);
        let leaving_since = status.and_then(|status| status.leaving_since);
        Health {
            silent_for: self.now.since(last_contact.unwrap_or(silent_since)),
            is_leaving: leaving_since.is_some_and(|at| self.now.since(at) < LEAVING_PERIOD),
            has_caught_up: self.has_replicated(leader_state, id),
            zone: status.and_then(|status| status.zone.clone()),
        }
    }
}
