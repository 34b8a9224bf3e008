//! Connections, memory and descriptors of a process, and which client is closed when they run short.
//!
//! # Invariants
//!
//! - A kind of connection always gets its reserve, whatever the other kinds hold.
//! - A client is closed only if that helps: it holds what is short, and its kind holds more than its reserve.
//! - A client whose request is complete is never closed.

use std::collections::HashMap;
use std::time::Duration;

use primrosepin_core::time::Instant;

use crate::limits::{Clients, Process};

/// Time between two measurements of a client's rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Size up to which a buffer may use all of the memory, bytes. Larger ones leave `SMALL_DIVISOR` of it free, so that
/// ordinary requests need not wait behind a crowd of large ones.
const SMALL_BYTES: usize = 64 * 1024;

/// Part of the memory that buffers of more than `SMALL_BYTES` leave free.
const SMALL_DIVISOR: usize = 8;

/// Longest delay of the process's own tasks that is taken into account.
const MAX_LAG: Duration = Duration::from_secs(2);

/// Time without progress after which a readiness probe or a scrape counts as stalled. Their heads fit into one
/// packet, and a probe must not wait behind a crowd for longer than the platform waits for its answer.
const PROBE_STALL: Duration = Duration::from_millis(100);

/// Memory of the process that no client causes, bytes: code, state, metrics, log buffer. An idle process has 4 to
/// 10 MB.
const PROCESS_BYTES: usize = 24_000_000;

/// Share of the remaining memory that clients may use, percent. The rest is for fragmentation of the heap and for
/// buffers that live during one call.
const CLIENT_PERCENT: usize = 70;

/// Descriptors for files, listeners and the runtime.
const FILE_DESCRIPTORS: usize = 200;

/// Part of what is short that is freed beyond the need if clients without progress hold it, so that a crowd does
/// not cost a search for each of its connections.
const SURPLUS_DIVISOR: usize = 32;

/// Time after a search for clients to close that found none, in which there is no other search for memory. Many
/// messages may wait at once.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Kind of a connection, by the port or the purpose that it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// From a caller.
    Caller,
    /// From an operator or a target, to the API of a control process.
    Call,
    /// From a readiness probe.
    Probe,
    /// From a collector of metrics.
    Scrape,
    /// From another entry VM, with the connection to a target behind it.
    Tunnel,
    /// Between processes of the deployment.
    Link,
    /// To a target.
    Target,
}

/// Number of kinds.
const KINDS: usize = 7;

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; KINDS] = [
        Self::Caller,
        Self::Call,
        Self::Probe,
        Self::Scrape,
        Self::Tunnel,
        Self::Link,
        Self::Target,
    ];

    /// Returns the name used in metric labels and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "callers",
            Self::Call => "calls",
            Self::Probe => "readiness",
            Self::Scrape => "metrics",
            Self::Tunnel => "tunnels",
            Self::Link => "links",
            Self::Target => "targets",
        }
    }

    /// Descriptors of a connection.
    fn descriptors(self) -> usize {
        match self {
            Self::Tunnel => 2,
            _ => 1,
        }
    }

    /// Memory of an open connection, bytes: its task, the kernel's structures, and the bytes that the kernel may
    /// hold unread (about one and a half times the receive buffer of [`crate::net`]).
    pub fn connection_bytes(self) -> usize {
        match self {
            Self::Caller | Self::Call | Self::Tunnel => 64 * 1024,
            Self::Probe | Self::Scrape => 24 * 1024,
            Self::Link | Self::Target => 56 * 1024,
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request is in progress.
    Idle,
    /// A request is being received.
    Reading,
    /// The request is complete: it waits for a target, runs there, or its answer is being sent. A link is busy from
    /// its first message on.
    Busy,
    /// An answer of this process is being sent; nothing runs at a target.
    Writing,
}

/// What is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Limit {
    /// Memory of all clients.
    Memory,
    /// Descriptors of the process.
    Descriptors,
    /// Connections of one kind.
    Connections,
}

impl Limit {
    /// Returns the name used in metric labels and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::Connections => "connections",
        }
    }
}

/// Identifies a client of the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// Order in which clients are closed; the first one goes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Rank {
    /// Idle, and has never sent a request.
    Unused,
    /// Stopped in the middle of a request, or does not read its answer.
    Stalled,
    /// Idle between requests. After those that stalled, since its next request may be on the way.
    Idle,
    /// Sends more slowly than the minimum, at this rate.
    Slow(f64),
}

#[derive(Debug)]
struct Entry {
    kind: Kind,
    stage: Stage,
    /// Memory, with that of the connection.
    bytes: usize,
    /// Whether it waits for memory, so that its lack of progress is not its own.
    is_waiting: bool,
    has_served: bool,
    progress_at: Instant,
    window_start: Instant,
    window_bytes: u64,
    /// Bytes a second in the last complete window of the current request.
    rate: Option<f64>,
}

impl Entry {
    /// Returns the order in which the client is closed; `None` if it must stay.
    ///
    /// `lag` is the delay of the process's own tasks: what a client sent may wait unread for as long.
    fn rank(&self, now: Instant, clients: &Clients, lag: Duration) -> Option<Rank> {
        let stall = match self.kind {
            Kind::Probe | Kind::Scrape => PROBE_STALL.min(clients.stall),
            _ => clients.stall,
        };
        let stall = stall + 2 * lag;
        let quiet = now.since(self.progress_at);
        match self.stage {
            Stage::Idle if !self.has_served => Some(Rank::Unused),
            // Clients that stop are found in the meantime, and its next request may be on the way.
            Stage::Idle => (quiet >= stall).then_some(Rank::Idle),
            Stage::Reading | Stage::Writing if self.is_waiting => None,
            Stage::Reading | Stage::Writing if quiet >= stall => Some(Rank::Stalled),
            Stage::Busy | Stage::Writing => None,
            Stage::Reading => self
                .rate
                .filter(|rate| *rate < clients.min_bytes_per_s as f64)
                .map(Rank::Slow),
        }
    }
}

/// Bounds of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Bounds {
    /// Connections that the other kinds leave free for it.
    reserved: usize,
    /// Most connections.
    most: usize,
    /// Connections now.
    open: usize,
}

/// The state of the account.
#[derive(Debug)]
pub struct Book {
    clients: Clients,
    kinds: [Bounds; KINDS],
    /// Memory for clients, bytes.
    memory_bytes: usize,
    /// Part of it that callers and calls leave free for the other kinds, bytes.
    reserved_bytes: usize,
    descriptors: usize,
    used_bytes: usize,
    used_descriptors: usize,
    entries: HashMap<Id, Entry>,
    next: u64,
    /// When memory is next searched for.
    next_search: Instant,
    /// Recent delay of the process's own tasks.
    lag: Duration,
}

impl Book {
    /// Creates the account of an entry process.
    pub fn entry(process: Process, clients: Clients) -> Self {
        let mut book = Self::new(process, clients);
        let all = book.descriptors;
        book.bound(Kind::Probe, (all / 32).min(32), (all / 8).min(512));
        book.bound(Kind::Scrape, (all / 64).min(16), (all / 16).min(128));
        book.bound(Kind::Tunnel, (all / 32).min(64), (all / 8).min(512));
        book.bound(Kind::Link, (all / 32).min(64), all);
        book.bound(Kind::Target, all / 4, all);
        book.bound(Kind::Caller, 0, clients.max_connections);
        book
    }

    /// Creates the account of a control process.
    pub fn control(process: Process, clients: Clients) -> Self {
        let mut book = Self::new(process, clients);
        let all = book.descriptors;
        book.bound(Kind::Scrape, (all / 64).min(16), (all / 16).min(128));
        // 300 entry VMs and the other control VMs, from both sides.
        book.bound(Kind::Link, (all / 4).min(400), all / 2);
        book.bound(Kind::Call, 0, clients.max_connections);
        book
    }

    fn new(process: Process, clients: Clients) -> Self {
        let own = PROCESS_BYTES.min(process.memory_bytes / 2);
        let memory_bytes = (process.memory_bytes - own) / 100 * CLIENT_PERCENT;
        let memory_bytes = clients.memory_bytes.unwrap_or(memory_bytes);
        let files = FILE_DESCRIPTORS.min(process.descriptors / 2);
        Self {
            clients,
            kinds: [Bounds::default(); KINDS],
            memory_bytes,
            reserved_bytes: memory_bytes / 16,
            descriptors: process.descriptors - files,
            used_bytes: 0,
            used_descriptors: 0,
            entries: HashMap::new(),
            next: 0,
            next_search: Instant::default(),
            lag: Duration::ZERO,
        }
    }

    fn bound(&mut self, kind: Kind, reserved: usize, most: usize) {
        let bounds = &mut self.kinds[kind as usize];
        bounds.reserved = reserved;
        bounds.most = most.max(reserved).max(2);
    }

    /// Returns the memory that clients use, bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the memory that clients may use, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns the descriptors that connections use.
    pub fn used_descriptors(&self) -> usize {
        self.used_descriptors
    }

    /// Returns the descriptors that connections may use.
    pub fn descriptors(&self) -> usize {
        self.descriptors
    }

    /// Returns the number of open connections of a kind.
    pub fn open_connections(&self, kind: Kind) -> usize {
        self.kinds[kind as usize].open
    }

    /// Returns whether a client is open, and not closed by the account.
    pub fn contains(&self, id: Id) -> bool {
        self.entries.contains_key(&id)
    }

    /// Records the delay of a periodic task of the process. It is remembered for some periods.
    pub fn record_lag(&mut self, lag: Duration) {
        self.lag = lag.max(self.lag.mul_f64(0.9)).min(MAX_LAG);
    }

    /// Returns the kind of a client; `None` if the account closed it.
    pub fn kind(&self, id: Id) -> Option<Kind> {
        self.entries.get(&id).map(|entry| entry.kind)
    }

    /// Returns what is short for a new connection of this kind; `None` if there is room for one.
    pub fn shortage(&self, kind: Kind) -> Option<Limit> {
        let bounds = &self.kinds[kind as usize];
        if bounds.open >= bounds.most {
            return Some(Limit::Connections);
        }
        let needed = kind.descriptors();
        if self.used_descriptors + needed > self.descriptors - self.reserved_descriptors(kind) {
            return Some(Limit::Descriptors);
        }
        // A kind within its reserve is not refused for memory that the others hold.
        let has_reserve = bounds.open < bounds.reserved;
        (!has_reserve && !self.fits(kind, kind.connection_bytes(), 0)).then_some(Limit::Memory)
    }

    /// Returns the descriptors that a connection of this kind has to leave free for the others.
    fn reserved_descriptors(&self, kind: Kind) -> usize {
        let others = Kind::ALL.into_iter().filter(|other| *other != kind);
        let free = others.map(|other| {
            let bounds = &self.kinds[other as usize];
            bounds.reserved.saturating_sub(bounds.open) * other.descriptors()
        });
        free.sum::<usize>().min(self.descriptors)
    }

    /// Returns the memory that clients of this kind may fill with buffers of this size, bytes.
    fn ceiling(&self, kind: Kind, size: usize) -> usize {
        let for_others = match kind {
            Kind::Caller | Kind::Call => self.reserved_bytes,
            _ => 0,
        };
        let for_small = if size > SMALL_BYTES {
            self.memory_bytes / SMALL_DIVISOR
        } else {
            0
        };
        self.memory_bytes - for_others - for_small
    }

    /// Returns whether this much more memory fits for a buffer that then has this size, bytes.
    fn fits(&self, kind: Kind, bytes: usize, size: usize) -> bool {
        self.used_bytes + bytes <= self.ceiling(kind, size)
    }

    /// Returns whether a buffer of a client may grow from `before` to `after` bytes without anyone being closed.
    pub fn has_memory(&self, id: Id, before: usize, after: usize) -> bool {
        let fits = |entry: &Entry| self.fits(entry.kind, after.saturating_sub(before), after);
        self.entries.get(&id).is_none_or(fits)
    }

    /// Adds a connection. The caller has made room for it.
    pub fn open(&mut self, now: Instant, kind: Kind) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let bytes = kind.connection_bytes();
        let entry = Entry {
            kind,
            stage: Stage::Idle,
            bytes,
            is_waiting: false,
            has_served: false,
            progress_at: now,
            window_start: now,
            window_bytes: 0,
            rate: None,
        };
        self.entries.insert(id, entry);
        self.kinds[kind as usize].open += 1;
        self.used_bytes += bytes;
        self.used_descriptors += kind.descriptors();
        id
    }

    /// Removes a connection; does nothing if the account closed it.
    pub fn close(&mut self, id: Id) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.kinds[entry.kind as usize].open -= 1;
        self.used_bytes -= entry.bytes;
        self.used_descriptors -= entry.kind.descriptors();
    }

    /// Changes the memory of a client from `before` to `after`, whether or not it fits. Does nothing if the account
    /// closed the client.
    pub fn charge(&mut self, id: Id, before: usize, after: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes = entry.bytes + after - before;
            self.used_bytes = self.used_bytes + after - before;
        }
    }

    /// Sets what a connection is doing. The start of a request counts as progress.
    pub fn set_stage(&mut self, now: Instant, id: Id, stage: Stage) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.stage != stage
        {
            entry.has_served |= matches!(stage, Stage::Busy | Stage::Writing);
            entry.stage = stage;
            entry.progress_at = now;
            entry.window_start = now;
            entry.window_bytes = 0;
            entry.rate = None;
        }
    }

    /// Sets whether a client waits for memory.
    pub fn set_waiting(&mut self, now: Instant, id: Id, is_waiting: bool) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_waiting = is_waiting;
            entry.progress_at = now;
            entry.window_start = now;
            entry.window_bytes = 0;
        }
    }

    /// Records bytes that a client sent or took.
    pub fn record_progress(&mut self, now: Instant, id: Id, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress_at = now;
            entry.window_bytes += bytes as u64;
            let window = now.since(entry.window_start);
            if window >= RATE_WINDOW {
                entry.rate = Some(entry.window_bytes as f64 / window.as_secs_f64());
                entry.window_start = now;
                entry.window_bytes = 0;
            }
        }
    }

    /// Closes clients until a connection of this kind has room. Returns those closed; there may still be no room.
    pub fn make_room(&mut self, now: Instant, kind: Kind) -> Vec<(Id, Kind, Limit)> {
        let mut closed = Vec::new();
        // Each limit is met at most once: what is closed for one only helps the others.
        for _ in 0..3 {
            let Some(limit) = self.shortage(kind) else {
                break;
            };
            let before = closed.len();
            let bytes = kind.connection_bytes();
            self.relieve(now, kind, limit, (bytes, 0), None, &mut closed);
            if closed.len() == before {
                break;
            }
        }
        closed
    }

    /// Closes other clients until a buffer of this one may grow from `before` to `after` bytes. Returns those closed;
    /// there may still be no room.
    pub fn make_memory(
        &mut self,
        now: Instant,
        id: Id,
        before: usize,
        after: usize,
    ) -> Vec<(Id, Kind, Limit)> {
        let mut closed = Vec::new();
        if now < self.next_search {
            return closed;
        }
        if let Some(kind) = self.kind(id) {
            let need = (after.saturating_sub(before), after);
            self.relieve(now, kind, Limit::Memory, need, Some(id), &mut closed);
        }
        if closed.is_empty() {
            self.next_search = now + SEARCH_INTERVAL;
        }
        closed
    }

    /// Returns what is short for a new connection of this kind if closing clients cannot help; `None` if there is
    /// room, or closing clients can make it.
    pub fn obstacle(&self, now: Instant, kind: Kind) -> Option<Limit> {
        let limit = self.shortage(kind)?;
        let mut entries = self.entries.values();
        let can_close = entries.any(|entry| {
            self.helps(kind, limit, entry.kind)
                && entry.rank(now, &self.clients, self.lag).is_some()
        });
        (!can_close).then_some(limit)
    }

    /// Returns whether closing a client of kind `other` relieves a shortage of `kind`.
    fn helps(&self, kind: Kind, limit: Limit, other: Kind) -> bool {
        let bounds = &self.kinds[other as usize];
        match limit {
            Limit::Connections => other == kind,
            Limit::Memory | Limit::Descriptors => other == kind || bounds.open > bounds.reserved,
        }
    }

    /// Closes clients until the limit is no longer met. `need` is the memory and the size of the buffer, bytes.
    fn relieve(
        &mut self,
        now: Instant,
        kind: Kind,
        limit: Limit,
        need: (usize, usize),
        except: Option<Id>,
        closed: &mut Vec<(Id, Kind, Limit)>,
    ) {
        let mut candidates: Vec<(Rank, Instant, Id, Kind)> = self
            .entries
            .iter()
            .filter(|(id, entry)| Some(**id) != except && self.helps(kind, limit, entry.kind))
            .filter_map(|(id, entry)| {
                let rank = entry.rank(now, &self.clients, self.lag)?;
                Some((rank, entry.progress_at, *id, entry.kind))
            })
            .collect();
        candidates.sort_by(|a, b| {
            let by_rank = a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal);
            by_rank.then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
        });
        for (rank, _, id, other) in candidates {
            let surplus = match rank {
                Rank::Unused | Rank::Stalled => SURPLUS_DIVISOR,
                Rank::Idle | Rank::Slow(_) => usize::MAX,
            };
            if self.is_relieved(kind, limit, need, surplus) {
                break;
            }
            if self.helps(kind, limit, other) {
                self.close(id);
                closed.push((id, other, limit));
            }
        }
    }

    fn is_relieved(
        &self,
        kind: Kind,
        limit: Limit,
        (bytes, size): (usize, usize),
        surplus: usize,
    ) -> bool {
        match limit {
            Limit::Memory => self.fits(kind, bytes + self.memory_bytes / surplus, size),
            Limit::Descriptors => {
                let needed = kind.descriptors() + self.descriptors / surplus;
                self.used_descriptors + needed <= self.descriptors - self.reserved_descriptors(kind)
            }
            Limit::Connections => {
                let bounds = &self.kinds[kind as usize];
                bounds.open + 1 + bounds.most / surplus <= bounds.most
            }
        }
    }
}
