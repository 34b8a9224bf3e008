//! A fake engine that records what it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrosepin_core::inventory::Kind;
use primrosepin_core::request::Attempt;
use primrosepin_core::target::{Announcement, Budget, Load, Model, State};
use primrosepin_core::time::Instant;

/// Prefill rate of an engine.
pub const PREFILL_TOKENS_PER_S: u64 = 20_000;

/// Number of tokens in each answer.
pub const ANSWER_TOKENS: u32 = 4;

/// Time between two tokens of an answer.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(40);

/// Time from turning cold until the engine announces itself as warm.
const WARM_UP: Duration = Duration::from_secs(4);

/// KV memory allocated to an attempt, and the state of its answer stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Index and incarnation of the node that sent the attempt.
    pub owner: (usize, u64),
    /// When the node sent the attempt.
    pub sent_at: Instant,
    /// Prompt tokens held in KV memory.
    pub tokens: u64,
    /// Index of the next token.
    pub next_token: u32,
    /// Whether the connection stopped delivering tokens without being closed.
    pub silent: bool,
    /// Whether all tokens have been generated.
    pub finished: bool,
    /// Identifies the stream that reads the answer; streams opened earlier get no more tokens.
    pub stream: u64,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Announcement that the engine sends; its `seq` and `load` are updated before each one.
    pub announcement: Announcement,
    /// Index of the zone to whose nodes the engine announces itself.
    pub zone: usize,
    /// When a dead engine restarts.
    pub dead_until: Option<Instant>,
    /// When the engine began to drain.
    pub draining_since: Option<Instant>,
    /// When the engine last turned cold.
    pub cold_since: Option<Instant>,
    /// Requests that got their first token since the engine turned cold.
    pub first_tokens: u32,
    /// When a cold engine turns warm.
    pub warm_at: Option<Instant>,
    /// Allocations by attempt.
    pub allocations: BTreeMap<Attempt, Allocation>,
    /// Cancelled attempts; one that arrives after its cancel call is refused.
    pub cancelled: Vec<Attempt>,
    /// Memory reserved for parts of spanning requests: tokens, and index and incarnation of the node.
    pub reservations: BTreeMap<Attempt, (u64, (usize, u64))>,
}

impl Engine {
    /// Creates a warm engine.
    pub fn new(index: usize, zone: usize, zone_name: &str) -> Self {
        let announcement = Announcement {
            name: format!("engine-{index}").into(),
            zone: zone_name.into(),
            service: "lm".into(),
            kind: Kind::Engine,
            address: SocketAddr::from(([127, 0, 1, index as u8 + 1], 9_000)),
            incarnation: 1,
            seq: 0,
            state: State::Warm,
            models: vec![Model {
                name: "lm-7b".into(),
                version: "1".into(),
            }],
            cold_budget: Budget {
                requests: 2,
                tokens: 40_000,
            },
            max_running: 8,
            kv_tokens: 400_000,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            decode_tokens_per_s: 25,
            spans: true,
            checks_fencing: false,
            load: Load::default(),
        };
        Self {
            announcement,
            zone,
            dead_until: None,
            draining_since: None,
            cold_since: None,
            first_tokens: 0,
            warm_at: None,
            allocations: BTreeMap::new(),
            cancelled: Vec::new(),
            reservations: BTreeMap::new(),
        }
    }

    /// Returns whether the engine process is running.
    pub const fn is_alive(&self) -> bool {
        self.dead_until.is_none()
    }

    /// Returns the load that the engine can handle while it is cold. Work warms the engine up: as the design
    /// document specifies, the budget doubles each time as many requests as it allows got their first token.
    pub const fn cold_capacity(&self) -> Budget {
        let mut budget = self.announcement.cold_budget;
        let mut left = self.first_tokens;
        while left >= budget.requests {
            left -= budget.requests;
            budget.requests *= 2;
            budget.tokens *= 2;
        }
        budget
    }

    /// Returns the number of unfinished attempts.
    pub fn running(&self) -> usize {
        self.allocations
            .values()
            .filter(|allocation| !allocation.finished)
            .count()
    }

    /// Stops the engine until `until`; all its state is lost.
    pub fn die(&mut self, until: Instant) {
        self.dead_until = Some(until);
        self.allocations.clear();
        self.reservations.clear();
        self.cancelled.clear();
    }

    /// Turns the engine cold without a restart; running attempts are lost.
    pub fn turn_cold(&mut self, now: Instant) {
        self.allocations.clear();
        self.reservations.clear();
        self.announcement.state = State::Cold;
        self.draining_since = None;
        self.cold_since = Some(now);
        self.first_tokens = 0;
        self.warm_at = Some(now + WARM_UP);
    }

    /// Restarts a dead engine, cold and with a new incarnation.
    pub fn restart(&mut self, now: Instant) {
        self.dead_until = None;
        self.announcement.incarnation += 1;
        self.announcement.seq = 0;
        self.turn_cold(now);
    }

    /// Returns the next announcement; a cold engine whose warm-up time has passed turns warm first.
    pub fn announce(&mut self, now: Instant) -> Announcement {
        if self.announcement.state == State::Cold && self.warm_at.is_some_and(|at| at <= now) {
            self.announcement.state = State::Warm;
            self.warm_at = None;
        }
        self.announcement.seq += 1;
        self.announcement.load = Load {
            running: self.running() as u32,
            waiting: 0,
            prefill_tokens: self
                .allocations
                .values()
                .filter(|allocation| allocation.next_token == 0)
                .map(|allocation| allocation.tokens)
                .sum(),
            kv_tokens_used: self
                .allocations
                .values()
                .map(|allocation| allocation.tokens)
                .sum::<u64>()
                + self
                    .reservations
                    .values()
                    .map(|(tokens, _)| tokens)
                    .sum::<u64>(),
        };
        self.announcement.clone()
    }
}
