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
use primrosepin_core::{time, vm};
use tokio::sync::{mpsc, oneshot};

use crate::Clock;
use crate::disk::{self, Disk, decode, encode, encode_snapshot};
use crate::meters::Meters;
use crate::shared::{Shared, View};

/// Entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 8_192;

/// Encoded commands after which a snapshot is written, bytes. It bounds the time to restart.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Inputs that are taken together, so that their writes share one sync.
const MAX_INPUTS: usize = 512;

/// Pause before the store is opened again after an error.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

/// Time in which commands that are in the log are committed before a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a proposed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Committed and applied.
    Committed(Outcome),
    /// Certainly not committed, now or later.
    NotAccepted,
    /// May be committed.
    Unknown,
}

/// Input of the node.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another replica.
    Received(Message),
    /// A command with the way to report what became of it.
    Propose(Command, oneshot::Sender<Decision>),
    /// Remove a member.
    Remove(Id),
    /// Hand over leadership and stop.
    Stop,
}

/// What a node needs.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) data: std::path::PathBuf,
    pub(crate) vm: vm::Name,
    pub(crate) address: SocketAddr,
    pub(crate) replicas: Vec<(vm::Name, SocketAddr)>,
    pub(crate) bootstrap: bool,
    /// Whether replicas that are not listed may join.
    pub(crate) open: bool,
    pub(crate) seed: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) meters: Meters,
    pub(crate) outgoing: mpsc::UnboundedSender<(SocketAddr, Outgoing)>,
}

/// Writes of several effects that share one sync.
#[derive(Debug, Default)]
struct Write {
    sequence: u64,
    durable: Option<HardState>,
    entries: Vec<(u64, Vec<u8>)>,
}

/// A command that is in the log and not applied yet.
#[derive(Debug)]
struct Waiting {
    term: u64,
    respond: oneshot::Sender<Decision>,
}

/// The replica between one opening of its store and the next.
#[derive(Debug)]
struct Node<'s> {
    setup: &'s Setup,
    started: Instant,
    clock: Clock,
    disk: Disk,
    reducer: Reducer,
    /// Proposals that the reducer has not answered yet.
    proposed: BTreeMap<u64, oneshot::Sender<Decision>>,
    proposals: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// Encoded commands applied since the last snapshot.
    applied_bytes: usize,
    snapshot_index: u64,
    /// Index and encoded state machine for the next snapshot, from a thread that encodes it.
    encoded: Option<Receiver<(u64, Vec<u8>)>>,
}

/// Runs a replica until it is told to stop. The first opening of the store is done by the caller.
pub(crate) fn run(setup: &Setup, disk: Disk, inputs: &Receiver<Input>) {
    let mut opened = Ok(disk);
    loop {
        let result = opened.and_then(|disk| Node::new(setup, disk)?.run(inputs));
        let Err(error) = result else {
            return;
        };
        log::error!("the replica acknowledges nothing more: {error:#}");
        setup.meters.store_failures.add(1, &[]);
        setup.shared.publish_quorum_contact(None);
        let view = setup.shared.view();
        setup.shared.publish_view(View {
            role: Role::Follower,
            leader: None,
            failure: Some(format!("{error:#}")),
            ..view
        });
        if refuse(inputs) {
            return;
        }
        let others = if setup.open { 2 } else { setup.replicas.len() };
        opened = Disk::open(&setup.data, others);
    }
}

/// Refuses commands for a while; returns whether the replica is told to stop.
fn refuse(inputs: &Receiver<Input>) -> bool {
    let until = Instant::now() + REOPEN_PAUSE;
    loop {
        match inputs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Input::Propose(_, respond)) => {
                // Fails only if the caller has given up.
                let _ = respond.send(Decision::NotAccepted);
            }
            Ok(Input::Received(_) | Input::Remove(_)) => {}
            Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
            Err(RecvTimeoutError::Timeout) => return false,
        }
    }
}

/// Returns the wall-clock time since 1970.
fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the time since the VM started, suspension included. Unlike the wall clock it is never set.
fn boot() -> Duration {
    Duration::from_micros(primrosepin_process::now().as_micros())
}

impl<'s> Node<'s> {
    fn new(setup: &'s Setup, mut disk: Disk) -> eyre::Result<Self> {
        let started = Instant::now();
        let settings = Settings {
            open_membership: setup.open,
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
            disk.durable,
            snapshot,
            entries,
        );
        Ok(Self {
            setup,
            started,
            clock: Clock::new(Duration::ZERO, boot()),
            disk,
            reducer,
            proposed: BTreeMap::new(),
            proposals: 0,
            waiting: BTreeMap::new(),
            applied_bytes: 0,
            snapshot_index,
            encoded: None,
        })
    }

    fn now(&mut self) -> time::Instant {
        self.clock.read(self.started.elapsed(), boot())
    }

    fn run(mut self, inputs: &Receiver<Input>) -> eyre::Result<()> {
        let mut batch = Vec::new();
        let mut stop_at = None;
        loop {
            self.step(Event::Tick)?;
            self.compact()?;
            self.show();
            let now = self.now();
            let wait = self.reducer.wake_at().since(now);
            match inputs.recv_timeout(wait) {
                Ok(input) => batch.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            batch.extend(inputs.try_iter().take(MAX_INPUTS));
            if batch.iter().any(|input| matches!(input, Input::Stop)) {
                stop_at = Some(Instant::now() + STOP_TIMEOUT);
            }
            self.take(&mut batch)?;
            if stop_at.is_some_and(|at| self.waiting.is_empty() || at <= Instant::now()) {
                self.step(Event::TransferLeadership)?;
                for (_, waiting) in std::mem::take(&mut self.waiting) {
                    // Fails only if the caller has given up.
                    let _ = waiting.respond.send(Decision::Unknown);
                }
                return Ok(());
            }
        }
    }

    /// Processes inputs together and carries out their effects.
    fn take(&mut self, batch: &mut Vec<Input>) -> eyre::Result<()> {
        let now = self.now();
        let now_ms = wall().as_millis() as u64;
        let mut effects = Vec::new();
        let mut commands: Vec<(u64, Arc<[u8]>)> = Vec::new();
        for input in batch.drain(..) {
            match input {
                // The caller has given up and counts the command as unknown.
                Input::Propose(_, respond) if respond.is_closed() => {}
                Input::Propose(command, respond) => {
                    self.proposals += 1;
                    let command = encode(&command.with_now_ms(now_ms))?;
                    commands.push((self.proposals, command.into()));
                    self.proposed.insert(self.proposals, respond);
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

    /// Carries out effects, and those of the writes that they contain.
    fn execute(&mut self, mut effects: Vec<Effect>) -> eyre::Result<()> {
        while !effects.is_empty() {
            let mut write: Option<Write> = None;
            for effect in effects.drain(..) {
                match effect {
                    Effect::Send { to, message } => {
                        // Fails only while the server stops.
                        let _ = self.setup.outgoing.send((to, Outgoing::Consensus(message)));
                    }
                    Effect::Persist {
                        sequence,
                        hard_state: durable,
                        entries,
                    } => {
                        let write = write.get_or_insert_default();
                        write.sequence = sequence;
                        write.durable = durable.or(write.durable);
                        for entry in entries {
                            write.entries.push((entry.index, encode(&entry)?));
                        }
                    }
                    Effect::InstallSnapshot {
                        sequence,
                        hard_state: durable,
                        snapshot,
                    } => {
                        // The snapshot replaces all that was to be written before.
                        write = Some(Write {
                            sequence,
                            ..Write::default()
                        });
                        self.install(durable, &snapshot)?;
                    }
                    Effect::SaveSnapshot(snapshot) => {
                        self.snapshot_index = snapshot.index;
                        self.setup.meters.snapshots.add(1, &[]);
                        let body = encode_snapshot(&snapshot)?;
                        self.disk.store.save_snapshot(snapshot.index, &body)?;
                    }
                    Effect::Reset => {
                        disk::retire(&self.setup.data)?;
                        bail!("this replica was replaced; it joins again without data");
                    }
                    Effect::Apply(entry) => self.apply(entry.index, entry.term, &entry.payload)?,
                    Effect::Accepted {
                        proposal,
                        term,
                        index,
                    } => {
                        if let Some(respond) = self.proposed.remove(&proposal) {
                            let waiting = Waiting { term, respond };
                            // The replaced entry may be left in another log until this index is
                            // committed.
                            if let Some(replaced) = self.waiting.insert(index, waiting) {
                                let _ = replaced.respond.send(Decision::Unknown);
                            }
                        }
                    }
                    Effect::Refused { proposal } => {
                        if let Some(respond) = self.proposed.remove(&proposal) {
                            let _ = respond.send(Decision::NotAccepted);
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
        if write.durable.is_none() && write.entries.is_empty() {
            return Ok(());
        }
        let start = Instant::now();
        let state = write.durable.map(|durable| encode(&durable)).transpose()?;
        let entries = write.entries.iter();
        self.disk.store.append(
            state.as_deref(),
            entries.map(|(index, body)| (*index, &body[..])),
        )?;
        let elapsed = start.elapsed().as_secs_f64();
        self.setup.meters.sync.record(elapsed, &[]);
        Ok(())
    }

    fn install(&mut self, durable: HardState, snapshot: &Snapshot) -> eyre::Result<()> {
        let (state, body) = (encode(&durable)?, encode_snapshot(snapshot)?);
        self.disk
            .store
            .install_snapshot(&state, snapshot.index, &body)?;
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        restore(&self.setup.shared, Some(snapshot))?;
        // What became of commands that the snapshot covers cannot be told from it.
        let later = self.waiting.split_off(&(snapshot.index + 1));
        for (_, waiting) in std::mem::replace(&mut self.waiting, later) {
            let _ = waiting.respond.send(Decision::Unknown);
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
        if let Some(waiting) = self.waiting.remove(&index) {
            let decision = match outcome {
                Some(outcome) if waiting.term == term => Decision::Committed(outcome),
                _ => Decision::NotAccepted,
            };
            // Fails only if the caller has given up.
            let _ = waiting.respond.send(decision);
        }
        Ok(())
    }

    /// Starts to encode a snapshot if the log is long, and takes one that is ready.
    ///
    /// A state with 32 MiB of responses took 103 ms to encode, so a copy is encoded by another thread.
    fn compact(&mut self) -> eyre::Result<()> {
        if let Some(encoded) = &self.encoded {
            let received = encoded.try_recv();
            if received != Err(TryRecvError::Empty) {
                self.encoded = None;
            }
            return match received {
                Ok((index, state)) => {
                    let state = state.into();
                    self.step(Event::Compact { index, state })
                }
                // The next round starts another thread if this one failed.
                Err(_) => Ok(()),
            };
        }
        let applied = self.reducer.applied();
        let long = applied - self.snapshot_index >= SNAPSHOT_ENTRIES;
        if long || self.applied_bytes >= SNAPSHOT_BYTES {
            self.applied_bytes = 0;
            let state = self.setup.shared.state().clone();
            let (ready, encoded) = std::sync::mpsc::sync_channel(1);
            self.encoded = Some(encoded);
            thread::Builder::new()
                .name("snapshot".into())
                .spawn(move || {
                    match encode(&state) {
                        // Fails only if the node has ended.
                        Ok(state) => drop(ready.send((applied, state))),
                        Err(error) => log::error!("cannot encode a snapshot: {error}"),
                    }
                })?;
        }
        Ok(())
    }

    fn show(&mut self) {
        let now = self.now();
        let reducer = &self.reducer;
        let at = reducer.last_quorum_contact();
        let at = at.map(|at| primrosepin_process::now() - now.since(at));
        self.setup.shared.publish_quorum_contact(at);
        let leader = reducer.leader();
        let view = View {
            id: reducer.id(),
            role: reducer.role(),
            term: reducer.term(),
            leader: leader.map(|leader| (vm::Name::clone(&leader.vm), leader.address)),
            members: reducer.committed_members().cloned().unwrap_or_default(),
            applied: reducer.applied(),
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

/// Replaces the state machine.
fn restore(shared: &Shared, snapshot: Option<&Snapshot>) -> eyre::Result<()> {
    let state = match snapshot {
        Some(snapshot) if !snapshot.state.is_empty() => {
            decode(&snapshot.state).wrap_err("the snapshot cannot be read")?
        }
        _ => primrosepin_core::registry::State::default(),
    };
    *shared.state_mut() = state;
    Ok(())
}
