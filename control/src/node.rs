//! The node thread: consensus reducer, store and state machine of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, TryRecvError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{WrapErr, bail};
use primrosepin_core::consensus::{
    Effect, Event, HardState, Id, Message, Payload, Reducer, Role, Settings, Snapshot,
};
use primrosepin_core::message::Message as Outgoing;
use primrosepin_core::registry::{Command, Outcome};
use primrosepin_core::{time, vm, zone};
use tokio::sync::{mpsc, oneshot};

use crate::Clock;
use crate::disk::{self, Disk, decode, decode_state, encode, encode_snapshot};
use crate::meters::Meters;
use crate::shared::{Shared, View};

/// Number of applied entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 8_192;

/// Size of the applied commands after which a snapshot is written, bytes. It bounds the time to restart.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Largest number of queued inputs that are processed as one batch, whose writes share one sync.
const MAX_BATCH: usize = 512;

/// Delay before the store is reopened after an error.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// Time that a stopping replica waits for the commands in its log to commit.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a stopping replica then waits for a learner to vote in its place. That takes two changes of the members,
/// and an election first if it led and its last messages were lost.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a proposed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Committed by a quorum and applied, with this outcome.
    Committed(Outcome),
    /// Not committed, and no copy of the command can be committed later.
    NotAccepted,
    /// May have been committed or may be committed later.
    Unknown,
}

/// Input of the node.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another replica.
    Received(Message),
    /// Propose a command and send back the decision.
    Propose(Command, oneshot::Sender<Decision>),
    /// Remove a replica from the members.
    Remove(Id),
    /// The settings list these addresses.
    Listed(Vec<SocketAddr>),
    /// Transfer leadership and stop.
    Stop,
}

/// Configuration and connections of a node.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) data: std::path::PathBuf,
    pub(crate) vm: vm::Name,
    pub(crate) address: SocketAddr,
    pub(crate) replicas: Vec<(vm::Name, SocketAddr)>,
    pub(crate) bootstrap: bool,
    /// Whether replicas that are not listed may join.
    pub(crate) open_membership: bool,
    /// Availability zone of the VM, if known.
    pub(crate) zone: Option<zone::Name>,
    /// Number of replicas that may lose their data at the same time.
    pub(crate) tolerance: usize,
    /// Seed of the random election timeouts.
    pub(crate) seed: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) meters: Meters,
    pub(crate) outgoing: mpsc::UnboundedSender<(SocketAddr, Outgoing)>,
}

/// Writes of several effects, combined into one sync.
#[derive(Debug, Default)]
struct Write {
    sequence: u64,
    hard_state: Option<HardState>,
    entries: Vec<(u64, Vec<u8>)>,
}

/// A command that is in the leader's log and not applied yet.
#[derive(Debug)]
struct Pending {
    /// Term of the command's log entry.
    term: u64,
    reply: oneshot::Sender<Decision>,
}

/// What a replica keeps while its store is closed.
#[derive(Debug)]
struct Kept {
    /// Addresses that the settings list.
    listed: Vec<SocketAddr>,
    /// Addresses of the members known before the data was reset.
    contacts: Vec<SocketAddr>,
}

/// A replica from one opening of its store to the next.
#[derive(Debug)]
struct Node<'s> {
    setup: &'s Setup,
    kept: &'s mut Kept,
    started: Instant,
    clock: Clock,
    disk: Disk,
    reducer: Reducer,
    /// Proposals that the reducer has neither accepted nor refused yet, by number.
    proposed: BTreeMap<u64, oneshot::Sender<Decision>>,
    /// Number of the last proposal.
    last_proposal: u64,
    /// Commands in the log that are not applied yet, by index.
    pending: BTreeMap<u64, Pending>,
    /// Size of the encoded commands applied since the last snapshot was started, bytes.
    applied_bytes: usize,
    /// Index of the last snapshot.
    snapshot_index: u64,
    /// Receives the index and the encoded state machine of the next snapshot, while a thread encodes it.
    encoded_snapshot: Option<Receiver<(u64, Vec<u8>)>>,
}

/// Runs a replica until it is told to stop, and reopens the store after errors. The caller opens the
/// store the first time, so that a process does not start with an unreadable store.
pub(crate) fn run(setup: &Setup, disk: Disk, inputs: &Receiver<Input>) {
    let mut opened = Ok(disk);
    let mut kept = Kept {
        listed: setup.replicas.iter().map(|(_, address)| *address).collect(),
        contacts: Vec::new(),
    };
    loop {
        let result = opened.and_then(|disk| Node::new(setup, disk, &mut kept)?.run(inputs));
        let Err(error) = result else {
            return;
        };
        log::error!("stopped acknowledging commands until the store is reopened: {error:#}");
        setup.meters.store_failures.add(1, &[]);
        setup.shared.publish_quorum_contact(None);
        let view = setup.shared.view();
        setup.shared.publish_view(View {
            role: Role::Follower,
            leader: None,
            is_current: false,
            failure: Some(format!("{error:#}")),
            ..view
        });
        if refuse_until_reopen(inputs, &mut kept) {
            return;
        }
        // With open membership there are replicas that are not listed, so damaged data is set aside.
        let replicas = if setup.open_membership {
            2
        } else {
            setup.replicas.len()
        };
        opened = Disk::open(&setup.data, replicas);
    }
}

/// Refuses commands and drops messages for [`REOPEN_DELAY`]; returns whether the replica is told to stop.
fn refuse_until_reopen(inputs: &Receiver<Input>, kept: &mut Kept) -> bool {
    let until = Instant::now() + REOPEN_DELAY;
    loop {
        match inputs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Input::Propose(_, reply)) => {
                // Fails only if the caller no longer waits.
                let _ = reply.send(Decision::NotAccepted);
            }
            Ok(Input::Listed(listed)) => kept.listed = listed,
            Ok(Input::Received(_) | Input::Remove(_)) => {}
            Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
            Err(RecvTimeoutError::Timeout) => return false,
        }
    }
}

/// Returns the wall-clock time since 1970.
fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the time since the VM booted, including suspension. Unlike the wall clock it is never
/// adjusted.
fn time_since_boot() -> Duration {
    Duration::from_micros(primrosepin_process::now().as_micros())
}

impl<'s> Node<'s> {
    fn new(setup: &'s Setup, mut disk: Disk, kept: &'s mut Kept) -> eyre::Result<Self> {
        let started = Instant::now();
        let settings = Settings {
            open_membership: setup.open_membership,
            zone: setup.zone.clone(),
            tolerance: setup.tolerance,
            listed: kept.listed.clone(),
            contacts: kept.contacts.clone(),
            ..Settings::new(
                vm::Name::clone(&setup.vm),
                setup.address,
                setup.replicas.clone(),
                setup.bootstrap && !disk.damaged,
                setup.seed,
            )
        };
        let snapshot = disk.snapshot.take();
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        restore(&setup.shared, snapshot.as_ref())?;
        let entries = std::mem::take(&mut disk.entries);
        let reducer = Reducer::new(
            settings,
            time::Instant::default(),
            disk.hard_state,
            snapshot,
            entries,
        );
        Ok(Self {
            setup,
            kept,
            started,
            clock: Clock::new(Duration::ZERO, time_since_boot()),
            disk,
            reducer,
            proposed: BTreeMap::new(),
            last_proposal: 0,
            pending: BTreeMap::new(),
            applied_bytes: 0,
            snapshot_index,
            encoded_snapshot: None,
        })
    }

    fn now(&mut self) -> time::Instant {
        self.clock.read(self.started.elapsed(), time_since_boot())
    }

    fn run(mut self, inputs: &Receiver<Input>) -> eyre::Result<()> {
        let mut batch = Vec::new();
        let mut stop_at = None;
        let mut end_at = None;
        loop {
            self.step(Event::Tick)?;
            self.compact()?;
            self.publish_view();
            let now = self.now();
            let wait = self.reducer.wake_at().since(now);
            match inputs.recv_timeout(wait) {
                Ok(input) => batch.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            batch.extend(inputs.try_iter().take(MAX_BATCH));
            if batch.iter().any(|input| matches!(input, Input::Stop)) {
                stop_at = Some(Instant::now() + STOP_TIMEOUT);
            }
            self.process_batch(&mut batch)?;
            if end_at.is_none()
                && stop_at.is_some_and(|at| self.pending.is_empty() || at <= Instant::now())
            {
                end_at = Some(Instant::now() + LEAVE_TIMEOUT);
                self.step(Event::Leave)?;
            }
            if end_at.is_some_and(|at| self.reducer.may_end() || at <= Instant::now()) {
                for (_, pending) in std::mem::take(&mut self.pending) {
                    // Fails only if the caller no longer waits.
                    let _ = pending.reply.send(Decision::Unknown);
                }
                return Ok(());
            }
        }
    }

    /// Passes a batch of inputs to the reducer and executes their effects together.
    fn process_batch(&mut self, batch: &mut Vec<Input>) -> eyre::Result<()> {
        let now = self.now();
        let now_ms = wall_time().as_millis() as u64;
        let mut effects = Vec::new();
        let mut commands: Vec<(u64, Arc<[u8]>)> = Vec::new();
        for input in batch.drain(..) {
            match input {
                // The caller timed out and has already treated the command as unknown.
                Input::Propose(_, reply) if reply.is_closed() => {}
                Input::Propose(command, reply) => {
                    self.last_proposal += 1;
                    let command = encode(&command.with_now_ms(now_ms))?;
                    commands.push((self.last_proposal, command.into()));
                    self.proposed.insert(self.last_proposal, reply);
                }
                Input::Received(message) => {
                    if !commands.is_empty() {
                        let event = Event::Propose(std::mem::take(&mut commands));
                        self.reducer.apply(now, event, &mut effects);
                    }
                    self.reducer
                        .apply(now, Event::Received(message), &mut effects);
                }
                Input::Remove(id) => self
                    .reducer
                    .apply(now, Event::RemoveMember(id), &mut effects),
                Input::Listed(listed) => {
                    self.kept.listed.clone_from(&listed);
                    self.reducer.apply(now, Event::Listed(listed), &mut effects);
                }
                Input::Stop => {}
            }
        }
        if !commands.is_empty() {
            self.reducer
                .apply(now, Event::Propose(commands), &mut effects);
        }
        self.execute(effects)
    }

    fn step(&mut self, event: Event) -> eyre::Result<()> {
        let mut effects = Vec::new();
        let now = self.now();
        self.reducer.apply(now, event, &mut effects);
        self.execute(effects)
    }

    /// Executes effects, and those that follow from the completed writes.
    fn execute(&mut self, mut effects: Vec<Effect>) -> eyre::Result<()> {
        while !effects.is_empty() {
            let mut write: Option<Write> = None;
            for effect in effects.drain(..) {
                match effect {
                    Effect::Send { to, message } => {
                        // Fails only while the server shuts down.
                        let _ = self.setup.outgoing.send((to, Outgoing::Consensus(message)));
                    }
                    Effect::Persist {
                        sequence,
                        hard_state,
                        entries,
                    } => {
                        let write = write.get_or_insert_default();
                        write.sequence = sequence;
                        write.hard_state = hard_state.or(write.hard_state);
                        for entry in entries {
                            write.entries.push((entry.index, encode(&entry)?));
                        }
                    }
                    Effect::InstallSnapshot {
                        sequence,
                        hard_state,
                        snapshot,
                    } => {
                        // The snapshot supersedes all writes collected so far.
                        write = Some(Write {
                            sequence,
                            ..Write::default()
                        });
                        self.install_snapshot(hard_state, &snapshot)?;
                    }
                    Effect::SaveSnapshot(snapshot) => {
                        self.snapshot_index = snapshot.index;
                        self.setup.meters.snapshots.add(1, &[]);
                        let body = encode_snapshot(&snapshot)?;
                        self.disk.store.save_snapshot(snapshot.index, &body)?;
                    }
                    Effect::Reset { contacts } => {
                        self.kept.contacts = contacts;
                        disk::reset(&self.setup.data)?;
                        bail!("this replica was replaced; it joins again without data");
                    }
                    Effect::Apply(entry) => self.apply(entry.index, entry.term, &entry.payload)?,
                    Effect::Accepted {
                        proposal,
                        term,
                        index,
                    } => {
                        if let Some(reply) = self.proposed.remove(&proposal) {
                            let pending = Pending { term, reply };
                            // Until this index is committed, another replica's log may still hold the
                            // replaced entry.
                            if let Some(replaced) = self.pending.insert(index, pending) {
                                let _ = replaced.reply.send(Decision::Unknown);
                            }
                        }
                    }
                    Effect::Refused { proposal } => {
                        if let Some(reply) = self.proposed.remove(&proposal) {
                            let _ = reply.send(Decision::NotAccepted);
                        }
                    }
                }
            }
            if let Some(write) = write {
                self.write(&write)?;
                let event = Event::Persisted {
                    sequence: write.sequence,
                };
                let now = self.now();
                self.reducer.apply(now, event, &mut effects);
            }
        }
        Ok(())
    }

    fn write(&mut self, write: &Write) -> eyre::Result<()> {
        if write.hard_state.is_none() && write.entries.is_empty() {
            return Ok(());
        }
        let start = Instant::now();
        let state = write
            .hard_state
            .map(|hard_state| encode(&hard_state))
            .transpose()?;
        let entries = write.entries.iter();
        self.disk.store.append(
            state.as_deref(),
            entries.map(|(index, body)| (*index, &body[..])),
        )?;
        let elapsed = start.elapsed().as_secs_f64();
        self.setup.meters.sync.record(elapsed, &[]);
        Ok(())
    }

    fn install_snapshot(&mut self, hard_state: HardState, snapshot: &Snapshot) -> eyre::Result<()> {
        let (state, body) = (encode(&hard_state)?, encode_snapshot(snapshot)?);
        self.disk
            .store
            .install_snapshot(&state, snapshot.index, &body)?;
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        restore(&self.setup.shared, Some(snapshot))?;
        // A snapshot does not tell whether the commands at the indices that it covers were committed.
        let later = self.pending.split_off(&(snapshot.index + 1));
        for (_, pending) in std::mem::replace(&mut self.pending, later) {
            let _ = pending.reply.send(Decision::Unknown);
        }
        log::info!("installed a snapshot at index {}", snapshot.index);
        Ok(())
    }

    fn apply(&mut self, index: u64, term: u64, payload: &Payload) -> eyre::Result<()> {
        let outcome = match payload {
            Payload::Noop => None,
            Payload::Members(members) => {
                let names: Vec<_> = members
                    .list
                    .iter()
                    .map(|member| format!("{} (voter: {})", member.vm, member.voter))
                    .collect();
                log::info!("members at index {index}: {}", names.join(", "));
                None
            }
            Payload::Command(bytes) => {
                self.applied_bytes += bytes.len();
                let command: Command = decode(bytes)
                    .wrap_err("a committed command cannot be read; a newer version wrote it")?;
                Some(self.setup.shared.state_mut().apply(&command))
            }
        };
        if let Some(pending) = self.pending.remove(&index) {
            let decision = match outcome {
                Some(outcome) if pending.term == term => Decision::Committed(outcome),
                _ => Decision::NotAccepted,
            };
            // Fails only if the caller no longer waits.
            let _ = pending.reply.send(decision);
        }
        Ok(())
    }

    /// Starts to encode a snapshot if the log is long, or passes an encoded one to the reducer.
    ///
    /// Encoding a state with 32 MiB of responses takes 103 ms, so another thread encodes a copy.
    fn compact(&mut self) -> eyre::Result<()> {
        if let Some(encoded) = &self.encoded_snapshot {
            let received = encoded.try_recv();
            if received != Err(TryRecvError::Empty) {
                self.encoded_snapshot = None;
            }
            return match received {
                Ok((index, state)) => {
                    let state = state.into();
                    self.step(Event::Compact { index, state })
                }
                // The thread failed; the next call starts another one.
                Err(_) => Ok(()),
            };
        }
        let applied = self.reducer.applied();
        let long = applied - self.snapshot_index >= SNAPSHOT_ENTRIES;
        if long || self.applied_bytes >= SNAPSHOT_BYTES {
            self.applied_bytes = 0;
            let state = self.setup.shared.state().clone();
            let (encoded_tx, encoded_rx) = std::sync::mpsc::sync_channel(1);
            self.encoded_snapshot = Some(encoded_rx);
            thread::Builder::new()
                .name("snapshot".into())
                .spawn(move || {
                    match encode(&state) {
                        // Fails only if the node thread has ended.
                        Ok(state) => drop(encoded_tx.send((applied, state))),
                        Err(error) => log::error!("cannot encode a snapshot: {error}"),
                    }
                })?;
        }
        Ok(())
    }

    /// Publishes the node's view and records its metrics.
    fn publish_view(&mut self) {
        let now = self.now();
        let reducer = &self.reducer;
        let contact = reducer.last_quorum_contact();
        let contact = contact.map(|at| primrosepin_process::now() - now.since(at));
        self.setup.shared.publish_quorum_contact(contact);
        let leader = reducer.leader();
        let view = View {
            id: reducer.id(),
            role: reducer.role(),
            term: reducer.term(),
            leader: leader.map(|leader| (vm::Name::clone(&leader.vm), leader.address)),
            members: reducer.committed_members().cloned().unwrap_or_default(),
            contacts: reducer.contacts().collect(),
            applied: reducer.applied(),
            is_current: reducer.has_caught_up(),
            failure: None,
        };
        let meters = &self.setup.meters;
        meters.term.record(view.term, &[]);
        meters
            .leads
            .record(u64::from(view.role == Role::Leader), &[]);
        meters.applied.record(view.applied, &[]);
        let state = self.setup.shared.state();
        meters.version.record(state.version(), &[]);
        let entries = state.ledger_entries() as u64;
        meters.ledger_entries.record(entries, &[]);
        drop(state);
        let before = self.setup.shared.view();
        if (before.role, before.term) != (view.role, view.term) {
            log::info!(
                "role {:?} in term {}, leader {}",
                view.role,
                view.term,
                view.leader.as_ref().map_or("none", |(vm, _)| vm)
            );
        }
        self.setup.shared.publish_view(view);
    }
}

/// Replaces the state machine by that of a snapshot, or by an empty one.
fn restore(shared: &Shared, snapshot: Option<&Snapshot>) -> eyre::Result<()> {
    let state = match snapshot {
        Some(snapshot) if !snapshot.state.is_empty() => {
            decode_state(&snapshot.state).wrap_err("the snapshot cannot be read")?
        }
        _ => primrosepin_core::registry::State::default(),
    };
    *shared.state_mut() = state;
    Ok(())
}
