//! One account of memory and descriptors for a process, from which all ports and connections draw.
//!
//! # Problem
//!
//! Clients that nobody controls open thousands of connections, send heads and bodies that stop short of their end,
//! pipeline requests and do not read the answers. Each one is within the limits on a single client; together they
//! take more memory and descriptors than the VM has, and the process ends, or cannot accept, log or connect.
//!
//! # Approach
//!
//! Each connection has a [`Client`], which is charged for the connection itself, its buffers, its request and its
//! answer (see [`Share`]). When a charge or a new connection does not fit, [`Book`] closes clients that make no
//! progress, the oldest first. If that is not enough, readers wait, so that senders block, and new connections wait
//! in the accept queue. A client whose request is complete is never closed, so a client closed by the account has
//! no request that runs or will run.
//!
//! # Invariants
//!
//! - Readiness, metrics, tunnels, links and connections to targets have reserves that callers cannot take.
//! - The memory in use exceeds the account by at most one message, which may take the only overdraft so that
//!   messages that wait for each other still end, and by one read of each connection.
//! - Log lines about limits appear at most every `REPORT_INTERVAL`, however many clients there are.

mod book;
mod share;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use primrosepin_core::time::Instant;
use primrosepin_telemetry::metrics::{Counter, Gauge, Metrics};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

pub use book::{Book, Id, Kind, Limit, Stage};
pub use share::{Exhausted, Share};

use crate::limits::Clients;
use crate::metrics::label;

/// Interval at which those that wait for room look again: clients become stalled as time passes.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the delay of the process's own tasks is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two log lines on closed clients.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Account of a process. Clones share the state.
#[derive(Clone)]
pub struct Account(Rc<State>);

struct State {
    book: RefCell<Book>,
    limits: Clients,
    /// Signals to the tasks of the clients that the account may close.
    evictions: RefCell<HashMap<Id, Rc<Notify>>>,
    /// Signals to one message that waits that memory was released. It passes the signal on if memory is left.
    memory_released: Notify,
    /// Signals to the listeners that wait that a connection was closed.
    connection_closed: Notify,
    /// Whether a message has taken the overdraft.
    is_overdrawn: Cell<bool>,
    instruments: Option<Instruments>,
    report: RefCell<Report>,
}

struct Instruments {
    connections: Gauge<u64>,
    memory: Gauge<u64>,
    memory_limit: Gauge<u64>,
    closed: Counter<u64>,
    waits: Counter<u64>,
}

/// Clients closed since the last log line.
#[derive(Debug, Default)]
struct Report {
    logged_at: Option<Instant>,
    closed: u64,
    waits: u64,
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Account").field(&self.0.book).finish()
    }
}

impl Account {
    /// Creates an account, and registers its instruments if there are `metrics`.
    pub fn new(book: Book, limits: Clients, metrics: Option<&Metrics>) -> Self {
        let instruments = metrics.map(|metrics| Instruments {
            connections: metrics.gauge("client_connections", "Open connections by port"),
            memory: metrics.gauge(
                "client_memory_bytes",
                "Memory for connections, requests and answers",
            ),
            memory_limit: metrics.gauge(
                "client_memory_limit_bytes",
                "Limit of the memory for connections, requests and answers",
            ),
            closed: metrics.counter(
                "clients_closed",
                "Clients closed because the process ran short, by limit and port",
            ),
            waits: metrics.counter(
                "client_waits",
                "Connections and messages that waited for room, by limit and port",
            ),
        });
        Self(Rc::new(State {
            book: RefCell::new(book),
            limits,
            evictions: RefCell::default(),
            memory_released: Notify::new(),
            connection_closed: Notify::new(),
            is_overdrawn: Cell::new(false),
            instruments,
            report: RefCell::default(),
        }))
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> Clients {
        self.0.limits
    }

    /// Returns the memory that clients use, bytes.
    pub fn used_bytes(&self) -> usize {
        self.0.book.borrow().used_bytes()
    }

    /// Returns the memory that is free for clients, bytes.
    pub fn free_bytes(&self) -> usize {
        let book = self.0.book.borrow();
        book.memory_bytes().saturating_sub(book.used_bytes())
    }

    /// Updates the gauges.
    pub fn record_gauges(&self) {
        let Some(instruments) = &self.0.instruments else {
            return;
        };
        let book = self.0.book.borrow();
        for kind in Kind::ALL {
            let open = book.open_connections(kind) as u64;
            let labels = [label("port", kind.name())];
            instruments.connections.record(open, &labels);
        }
        instruments.memory.record(book.used_bytes() as u64, &[]);
        instruments
            .memory_limit
            .record(book.memory_bytes() as u64, &[]);
    }

    /// Measures the delay of the process's own tasks; never returns.
    pub async fn measure_lag(self) {
        loop {
            let due = primrosepin_process::now() + LAG_INTERVAL;
            sleep(LAG_INTERVAL).await;
            let lag = primrosepin_process::now().since(due);
            self.0.book.borrow_mut().record_lag(lag);
        }
    }

    /// Waits until a connection of this kind has room, or closing a client can make it.
    pub async fn wait_for_room(&self, kind: Kind) {
        let mut has_waited = false;
        loop {
            let now = primrosepin_process::now();
            let Some(limit) = self.0.book.borrow().obstacle(now, kind) else {
                return;
            };
            if !has_waited {
                has_waited = true;
                self.record_wait(kind, limit);
            }
            let closed = self.0.connection_closed.notified();
            // The time limit is no failure: the state is looked at again in either case.
            let _ = timeout(RETRY_INTERVAL, closed).await;
        }
    }

    /// Adds a connection, and closes other clients if there is no room for it.
    pub fn open(&self, kind: Kind) -> Client {
        let now = primrosepin_process::now();
        let mut book = self.0.book.borrow_mut();
        let closed = book.make_room(now, kind);
        let id = book.open(now, kind);
        drop(book);
        self.evict(&closed);
        let eviction = Rc::new(Notify::new());
        let mut evictions = self.0.evictions.borrow_mut();
        evictions.insert(id, Rc::clone(&eviction));
        drop(evictions);
        Client {
            account: self.clone(),
            id,
            eviction,
        }
    }

    /// Waits for room and adds a connection.
    pub async fn open_when_possible(&self, kind: Kind) -> Client {
        self.wait_for_room(kind).await;
        self.open(kind)
    }

    async fn wait_for_memory(&self) {
        // The time limit is no failure: the state is looked at again in either case.
        let _ = timeout(RETRY_INTERVAL, self.0.memory_released.notified()).await;
    }

    fn signal_memory(&self) {
        self.0.memory_released.notify_one();
    }

    /// Tells the tasks of closed clients, and counts and logs them.
    fn evict(&self, closed: &[(Id, Kind, Limit)]) {
        if closed.is_empty() {
            return;
        }
        for (id, kind, limit) in closed {
            if let Some(eviction) = self.0.evictions.borrow_mut().remove(id) {
                eviction.notify_one();
            }
            if let Some(instruments) = &self.0.instruments {
                let labels = [label("limit", limit.name()), label("port", kind.name())];
                instruments.closed.add(1, &labels);
            }
        }
        self.signal_memory();
        self.0.connection_closed.notify_waiters();
        self.0.report.borrow_mut().closed += closed.len() as u64;
        let (_, kind, limit) = closed[0];
        self.log(kind, limit);
    }

    fn record_wait(&self, kind: Kind, limit: Limit) {
        if let Some(instruments) = &self.0.instruments {
            let labels = [label("limit", limit.name()), label("port", kind.name())];
            instruments.waits.add(1, &labels);
        }
        self.0.report.borrow_mut().waits += 1;
        self.log(kind, limit);
    }

    fn log(&self, kind: Kind, limit: Limit) {
        let now = primrosepin_process::now();
        let mut report = self.0.report.borrow_mut();
        let is_recent = |at: Instant| now.since(at) < REPORT_INTERVAL;
        if report.logged_at.is_some_and(is_recent) {
            return;
        }
        let Report { closed, waits, .. } = std::mem::take(&mut *report);
        report.logged_at = Some(now);
        drop(report);
        let book = self.0.book.borrow();
        log::warn!(
            limit = limit.name(), port = kind.name(), closed = closed, waited = waits,
            memory_bytes = book.used_bytes(), memory_limit_bytes = book.memory_bytes(),
            descriptors = book.used_descriptors(), descriptor_limit = book.descriptors();
            "clients reached a limit of the process"
        );
    }
}

/// A connection in the account. Dropping it returns all that it was charged.
#[derive(Debug)]
pub struct Client {
    account: Account,
    id: Id,
    eviction: Rc<Notify>,
}

impl Client {
    /// Returns the account of the process.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns a signal that the account has closed the client; its task must drop the connection.
    pub fn eviction(&self) -> Eviction {
        Eviction(Rc::clone(&self.eviction))
    }

    /// Returns whether the account has closed the client.
    pub fn is_evicted(&self) -> bool {
        !self.account.0.book.borrow().contains(self.id)
    }

    /// Sets what the connection is doing.
    pub fn set_stage(&self, stage: Stage) {
        let now = primrosepin_process::now();
        let mut book = self.account.0.book.borrow_mut();
        book.set_stage(now, self.id, stage);
    }

    /// Records bytes that the client sent or took.
    pub fn record_progress(&self, bytes: usize) {
        let now = primrosepin_process::now();
        let mut book = self.account.0.book.borrow_mut();
        book.record_progress(now, self.id, bytes);
    }

    /// Returns an empty share, charged to this client.
    pub fn share(&self) -> Share {
        Share::new(self.account.clone(), self.id)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.account.0.book.borrow_mut().close(self.id);
        self.account.0.evictions.borrow_mut().remove(&self.id);
        self.account.signal_memory();
        self.account.0.connection_closed.notify_waiters();
    }
}

/// Signal that the account has closed a client.
#[derive(Debug)]
pub struct Eviction(Rc<Notify>);

impl Eviction {
    /// Runs a client's task until it ends or the account closes the client; then the task is dropped, and with it
    /// the connection.
    pub async fn guard<F>(self, task: F)
    where
        F: Future<Output = ()>,
    {
        // Looks for the signal first: a closed client must not send its request.
        tokio::select! {
            biased;
            () = self.0.notified() => {}
            () = task => {}
        }
    }
}
