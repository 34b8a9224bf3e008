//! Service model of an engine: what it holds and what each step does.
//!
//! The model reads no clock. The driver asks for a [`Plan`], lets the step's time pass and
//! completes it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::cache::{BLOCK_BYTES, Cache};
use super::settings::Settings;
use crate::fault::Pending;
use crate::record::{End, Record, Status};

/// Snapshots of the load kept for lagging reports.
const LOAD_HISTORY_MAX: usize = 64;

/// Events after the tokens: usage, and the end mark.
pub(crate) const END_EVENTS: u64 = 2;

/// What the driver does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plan {
    /// Nothing to do.
    Idle,
    /// A step that takes this many microseconds.
    Step(u64),
    /// The engine got more than it could take and dies.
    Fall,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The queue is full, or the engine drains.
    Busy,
    /// The memory could never hold the prompt.
    TooLarge,
    /// The attempt is already held.
    Duplicate,
    /// The model is not loaded.
    NoModel,
}

/// A request as the HTTP side read it.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) attempt: String,
    pub(crate) owner: Option<String>,
    pub(crate) request: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) user: Option<String>,
    pub(crate) key: u64,
    pub(crate) priority: u8,
    pub(crate) model: Option<String>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) text_bytes: usize,
    pub(crate) blocks: Vec<u64>,
    pub(crate) lease_ms: u64,
    /// Local reservation that the attempt takes over, and the tokens of all parts.
    pub(crate) parts: Option<(Option<String>, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Done,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    arrival: Arrival,
    record: usize,
    phase: Phase,
    cached: u64,
    prefilled: u64,
    chunk: u64,
    decoding: bool,
    pub(crate) generated: u64,
    kv: u64,
    /// Number of the current reader; none if nobody is connected.
    reader: Option<u64>,
    read: u64,
    renewed_us: u64,
    delivered: bool,
    pub(crate) notify: Arc<Notify>,
}

impl Attempt {
    fn prompt_left(&self) -> u64 {
        self.arrival
            .prompt_tokens
            .saturating_sub(self.cached + self.prefilled)
    }

    /// Number of events that a reader can have.
    pub(crate) fn available(&self) -> u64 {
        self.generated
            + if self.phase == Phase::Done {
                END_EVENTS
            } else {
                0
            }
    }
}

#[derive(Debug, Clone)]
struct Reservation {
    owner: Option<String>,
    attempt: Option<String>,
    tokens: u64,
    lease_ms: u64,
    renewed_us: u64,
}

#[derive(Debug, Clone, Copy)]
struct Cold {
    requests: u32,
    tokens: u64,
    good: u32,
    grace_until_us: u64,
    silent: bool,
    first_tokens: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    prefill_tokens: u64,
    kv_tokens_used: u64,
}

/// An order to load, unload or change role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct Order {
    pub(crate) order: String,
    pub(crate) fencing: u64,
    #[serde(default)]
    pub(crate) issuer: Value,
    #[serde(default)]
    pub(crate) action: Value,
}

#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) draining: bool,
    cold: Option<Cold>,
    falling: bool,
    attempts: BTreeMap<u64, Attempt>,
    by_id: HashMap<String, u64>,
    order: u64,
    readers: u64,
    reservations: BTreeMap<String, Reservation>,
    pub(crate) records: Vec<Record>,
    pub(crate) pending: Pending,
    history: VecDeque<(u64, Load)>,
    pub(crate) cache: Cache,
    seq: u64,
    expired_us: u64,
    cold_overruns: u64,
    cold_excess_in_grace: u64,
    refused: u64,
    fencing: u64,
    stale_orders_applied: u64,
    orders: Vec<Value>,
    loading: Vec<(u64, super::settings::Model)>,
    pub(crate) role: Option<String>,
}

impl Model {
    pub(crate) fn new(settings: Settings, now_us: u64) -> Self {
        let cache = Cache::new(settings.seed);
        let start_cold = settings.start_cold;
        let mut model = Self {
            settings,
            incarnation: now_us,
            up: true,
            draining: false,
            cold: None,
            falling: false,
            attempts: BTreeMap::new(),
            by_id: HashMap::new(),
            order: 0,
            readers: 0,
            reservations: BTreeMap::new(),
            records: Vec::new(),
            pending: Pending::new(),
            history: VecDeque::new(),
            cache,
            seq: 0,
            expired_us: now_us,
            cold_overruns: 0,
            cold_excess_in_grace: 0,
            refused: 0,
            fencing: 0,
            stale_orders_applied: 0,
            orders: Vec::new(),
            loading: Vec::new(),
            role: None,
        };
        if start_cold {
            model.turn_cold(now_us, false, 0);
        }
        model
    }

    /// Drops everything, as a process that dies.
    pub(crate) fn die(&mut self, now_us: u64) {
        for attempt in self.attempts.values() {
            let record = &mut self.records[attempt.record];
            if record.end == End::Running {
                record.end = End::Died;
                record.ended_us = now_us;
            }
            record.orphaned_kv_tokens = 0;
            attempt.notify.notify_waiters();
        }
        self.attempts.clear();
        self.by_id.clear();
        self.reservations.clear();
        self.history.clear();
        self.cache = Cache::new(self.settings.seed ^ now_us);
        self.up = false;
        self.falling = false;
        self.loading.clear();
    }

    /// Starts a new incarnation.
    pub(crate) fn revive(&mut self, now_us: u64, cold: bool) {
        self.incarnation = now_us.max(self.incarnation + 1);
        self.seq = 0;
        self.up = true;
        self.draining = false;
        self.cold = None;
        if cold {
            self.turn_cold(now_us, false, 0);
        }
    }

    pub(crate) fn turn_cold(&mut self, now_us: u64, silent: bool, grace_ms: u64) {
        self.cold = Some(Cold {
            requests: self.settings.cold_budget.requests,
            tokens: self.settings.cold_budget.tokens,
            good: 0,
            grace_until_us: now_us + grace_ms * 1000,
            silent,
            first_tokens: 0,
        });
    }

    fn held(&self) -> u64 {
        self.attempts.values().map(|held| held.kv).sum::<u64>()
            + self
                .reservations
                .values()
                .map(|held| held.tokens)
                .sum::<u64>()
    }

    fn has_model(&self, name: Option<&str>) -> bool {
        name.is_none_or(|name| self.settings.models.iter().any(|model| model.name == name))
    }

    /// Counts a refusal by fault.
    pub(crate) fn count_refusal(&mut self) {
        self.refused += 1;
    }

    /// Takes a request into the queue.
    pub(crate) fn arrive(&mut self, arrival: Arrival, now_us: u64) -> Result<(), Refusal> {
        let refusal = if self.by_id.contains_key(&arrival.attempt) {
            Some(Refusal::Duplicate)
        } else if !self.has_model(arrival.model.as_deref()) {
            Some(Refusal::NoModel)
        } else if arrival.parts.is_none()
            && arrival.prompt_tokens + arrival.max_tokens > self.settings.kv_tokens
        {
            Some(Refusal::TooLarge)
        } else if self.draining || self.count(Phase::Waiting) >= self.settings.max_waiting {
            Some(Refusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.refused += 1;
            return Err(refusal);
        }
        if let Some((Some(own), _)) = &arrival.parts
            && let Some(part) = self.reservations.get_mut(own)
        {
            part.attempt = Some(arrival.attempt.clone());
        }
        self.check_cold(arrival.prompt_tokens, now_us);
        let ahead = self.count(Phase::Waiting) + self.count(Phase::Running);
        self.records.push(Record {
            kv_tokens_held: self.held(),
            ahead,
            target: self.settings.name.clone(),
            incarnation: self.incarnation,
            attempt: arrival.attempt.clone(),
            request: arrival.request.clone(),
            idempotency_key: arrival.idempotency_key.clone(),
            user: arrival.user.clone(),
            priority: arrival.priority,
            prompt_tokens: arrival.prompt_tokens,
            cached_tokens: 0,
            max_tokens: arrival.max_tokens,
            generated_tokens: 0,
            cold: self.cold.is_some(),
            received_us: now_us,
            started_us: 0,
            first_token_us: 0,
            ended_us: 0,
            end: End::Running,
            delivered: false,
            orphaned_kv_tokens: 0,
            orphaned_kv_token_s: 0,
        });
        self.order += 1;
        self.by_id.insert(arrival.attempt.clone(), self.order);
        self.attempts.insert(
            self.order,
            Attempt {
                arrival,
                record: self.records.len() - 1,
                phase: Phase::Waiting,
                cached: 0,
                prefilled: 0,
                chunk: 0,
                decoding: false,
                generated: 0,
                kv: 0,
                reader: None,
                read: 0,
                renewed_us: now_us,
                delivered: false,
                notify: Arc::new(Notify::new()),
            },
        );
        Ok(())
    }

    /// Decides whether one more prompt is more than the engine can take while cold.
    fn check_cold(&mut self, prompt_tokens: u64, now_us: u64) {
        let live = self
            .attempts
            .values()
            .filter(|held| held.phase != Phase::Done);
        let (requests, tokens) = live.fold((1, prompt_tokens), |(requests, tokens), held| {
            (requests + 1, tokens + held.arrival.prompt_tokens)
        });
        let Some(cold) = &mut self.cold else {
            return;
        };
        if requests <= cold.requests && tokens <= cold.tokens {
            return;
        }
        // A silently cold engine cannot be recognised before three slow first tokens.
        if now_us < cold.grace_until_us || (cold.silent && cold.first_tokens < 3) {
            self.cold_excess_in_grace += 1;
            if cold.silent {
                cold.grace_until_us = now_us + self.settings.cold_grace_ms * 1000;
            }
            return;
        }
        self.falling = true;
        self.cold_overruns += 1;
    }

    fn count(&self, phase: Phase) -> u32 {
        self.attempts
            .values()
            .filter(|held| held.phase == phase)
            .count() as u32
    }

    /// Drops what nobody reads any more, and accounts for memory without a reader.
    pub(crate) fn expire(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.expired_us);
        self.expired_us = now_us;
        let mut expired = Vec::new();
        for (order, held) in &mut self.attempts {
            let lease_us = held.arrival.lease_ms * 1000;
            if held.reader.is_some() && held.read >= held.available() {
                held.renewed_us = now_us;
            }
            let record = &mut self.records[held.record];
            record.orphaned_kv_tokens = if held.reader.is_none() { held.kv } else { 0 };
            record.orphaned_kv_token_s +=
                (record.orphaned_kv_tokens as f64 * passed_us as f64 / 1e6) as u64;
            if lease_us > 0 && now_us.saturating_sub(held.renewed_us) > lease_us {
                expired.push(*order);
            }
        }
        for order in expired {
            self.remove(order, End::LeaseExpired, now_us);
        }
        // The head's own part lives as long as its attempt.
        for held in self.reservations.values_mut() {
            if held
                .attempt
                .as_ref()
                .is_some_and(|user| self.by_id.contains_key(user))
            {
                held.renewed_us = now_us;
            }
        }
        self.reservations.retain(|_, held| {
            held.lease_ms == 0 || now_us.saturating_sub(held.renewed_us) <= held.lease_ms * 1000
        });
        let (done, rest): (Vec<_>, Vec<_>) =
            self.loading.drain(..).partition(|(at, _)| *at <= now_us);
        self.loading = rest;
        for (_, model) in done {
            self.settings.models.retain(|held| held.name != model.name);
            self.settings.models.push(model);
        }
    }

    fn remove(&mut self, order: u64, end: End, now_us: u64) {
        let Some(held) = self.attempts.remove(&order) else {
            return;
        };
        self.by_id.remove(&held.arrival.attempt);
        let record = &mut self.records[held.record];
        record.orphaned_kv_tokens = 0;
        if record.end == End::Running {
            record.end = end;
            record.ended_us = now_us;
        }
        if let Some((Some(own), _)) = &held.arrival.parts {
            self.reservations.remove(own);
        }
        held.notify.notify_waiters();
    }

    /// Decides what the next step does.
    pub(crate) fn plan(&mut self, now_us: u64) -> Plan {
        self.expire(now_us);
        self.note_load(now_us);
        if self.falling {
            return Plan::Fall;
        }
        if now_us < self.pending.stalled_until_us {
            return Plan::Idle;
        }
        self.start_waiting(now_us);
        let mut budget = self.settings.chunk_tokens;
        let mut prefilling: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, held)| held.phase == Phase::Running && held.generated == 0)
            .map(|(order, held)| (held.arrival.priority, *order))
            .collect();
        prefilling.sort_unstable();
        for held in self.attempts.values_mut() {
            held.chunk = 0;
            held.decoding = held.phase == Phase::Running && held.generated > 0;
        }
        let mut any = false;
        for (_, order) in prefilling {
            let Some(held) = self.attempts.get_mut(&order) else {
                continue;
            };
            held.chunk = held.prompt_left().min(budget);
            budget -= held.chunk;
            any = true;
            if budget == 0 {
                break;
            }
        }
        let decoding = self.attempts.values().filter(|held| held.decoding).count() as u64;
        if !any && decoding == 0 {
            return Plan::Idle;
        }
        let step_us = self
            .settings
            .step_us(self.settings.chunk_tokens - budget, decoding);
        let slowdown = match self.cold {
            Some(Cold { silent: true, .. }) => self.settings.silent_cold_slowdown,
            Some(_) => self.settings.cold_slowdown,
            None => 1.0,
        };
        Plan::Step((step_us as f64 * slowdown) as u64)
    }

    /// Moves requests from the queue into the batch, highest priority first, FIFO within one.
    fn start_waiting(&mut self, now_us: u64) {
        let mut running = self.count(Phase::Running);
        let mut waiting: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, held)| held.phase == Phase::Waiting)
            .map(|(order, held)| (held.arrival.priority, *order))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut held_tokens = self.held();
        for (_, order) in waiting {
            let Some(held) = self.attempts.get_mut(&order) else {
                continue;
            };
            let arrival = &held.arrival;
            // A spanning prompt lives in its reservations.
            let need = if arrival.parts.is_some() {
                0
            } else {
                arrival.prompt_tokens + arrival.max_tokens
            };
            if running >= self.settings.max_running || held_tokens + need > self.settings.kv_tokens
            {
                return;
            }
            running += 1;
            held_tokens += need;
            let matching = self.cache.matching(&arrival.blocks) as u64;
            let block_tokens = block_tokens(arrival);
            held.cached = (matching * block_tokens).min(arrival.prompt_tokens.saturating_sub(1));
            held.kv = need;
            held.phase = Phase::Running;
            let record = &mut self.records[held.record];
            record.started_us = now_us;
            record.cached_tokens = held.cached;
            self.cache.evict(
                self.settings.kv_tokens - held_tokens,
                self.settings.cache_gap,
                now_us,
            );
        }
    }

    /// Applies the planned step.
    pub(crate) fn complete(&mut self, now_us: u64) {
        let mut first_tokens = 0;
        let mut done = Vec::new();
        for (order, held) in &mut self.attempts {
            if held.phase != Phase::Running {
                continue;
            }
            held.prefilled += held.chunk;
            let record = &mut self.records[held.record];
            if held.decoding {
                held.generated += 1;
            } else if held.chunk > 0 && held.prompt_left() == 0 {
                held.generated = 1;
                record.first_token_us = now_us;
                first_tokens += 1;
            } else {
                continue;
            }
            record.generated_tokens = held.generated;
            if held.generated >= held.arrival.max_tokens {
                held.phase = Phase::Done;
                record.end = End::Completed;
                record.ended_us = now_us;
                done.push(*order);
            }
            held.notify.notify_waiters();
        }
        for order in done {
            let room = self.settings.kv_tokens.saturating_sub(self.held());
            let Some(held) = self.attempts.get(&order) else {
                continue;
            };
            self.cache.store(
                &held.arrival.blocks,
                block_tokens(&held.arrival),
                room + held.kv,
                self.settings.cache_gap,
                now_us,
            );
        }
        for _ in 0..first_tokens {
            self.warm_up();
        }
    }

    fn warm_up(&mut self) {
        let Some(cold) = &mut self.cold else {
            return;
        };
        cold.first_tokens += 1;
        cold.good += 1;
        if cold.good >= cold.requests {
            cold.good = 0;
            cold.requests = cold.requests.saturating_mul(2);
            cold.tokens = cold.tokens.saturating_mul(2);
        }
        if cold.requests >= self.settings.max_running {
            self.cold = None;
        }
    }

    /// Connects a reader from an event on; returns its number.
    pub(crate) fn attach(&mut self, attempt: &str, from: u64, now_us: u64) -> Option<u64> {
        let held = self.attempts.get_mut(self.by_id.get(attempt)?)?;
        self.readers += 1;
        held.reader = Some(self.readers);
        held.read = from;
        held.renewed_us = now_us;
        held.notify.notify_waiters();
        Some(self.readers)
    }

    /// Disconnects a reader.
    pub(crate) fn detach(&mut self, attempt: &str, reader: u64, now_us: u64) {
        if let Some(held) = self.read(attempt, reader) {
            held.reader = None;
            held.renewed_us = now_us;
        }
    }

    /// Returns an attempt if this reader is still its reader.
    pub(crate) fn read(&mut self, attempt: &str, reader: u64) -> Option<&mut Attempt> {
        let held = self.attempts.get_mut(self.by_id.get(attempt)?)?;
        (held.reader == Some(reader)).then_some(held)
    }

    /// Records that a reader took all events before `next`; releases the memory at the end.
    pub(crate) fn took(&mut self, attempt: &str, reader: u64, next: u64, now_us: u64) {
        let Some(held) = self.read(attempt, reader) else {
            return;
        };
        held.read = next;
        held.renewed_us = now_us;
        if held.phase != Phase::Done || next < held.available() {
            return;
        }
        held.kv = 0;
        held.delivered = true;
        let (record, parts) = (held.record, held.arrival.parts.clone());
        let remove = held.arrival.lease_ms == 0;
        self.records[record].delivered = true;
        if let Some((Some(own), _)) = parts {
            self.reservations.remove(&own);
        }
        if remove && let Some(order) = self.by_id.get(attempt) {
            self.remove(*order, End::Completed, now_us);
        }
    }

    /// Returns what a reader needs to write the usage.
    pub(crate) fn usage(&self, attempt: &str) -> Option<(u64, u64, u64)> {
        let held = self.attempts.get(self.by_id.get(attempt)?)?;
        Some((held.arrival.prompt_tokens, held.cached, held.generated))
    }

    /// Whether an attempt is held and not delivered.
    pub(crate) fn holds(&self, attempt: &str) -> bool {
        self.by_id
            .get(attempt)
            .and_then(|order| self.attempts.get(order))
            .is_some_and(|held| !held.delivered)
    }

    /// Releases what is held for an attempt.
    pub(crate) fn cancel(&mut self, attempt: &str, now_us: u64) -> bool {
        let Some(order) = self.by_id.get(attempt).copied() else {
            return false;
        };
        self.remove(order, End::Cancelled, now_us);
        true
    }

    /// Returns the answer key and model name of an attempt.
    pub(crate) fn text_of(&self, attempt: &str) -> Option<(u64, String)> {
        let held = self.attempts.get(self.by_id.get(attempt)?)?;
        let model = held.arrival.model.clone().unwrap_or_default();
        Some((held.arrival.key, model))
    }

    /// Finds another attempt whose answer can be sent by mistake.
    pub(crate) fn other(&self, attempt: &str) -> Option<(String, u64)> {
        self.attempts
            .values()
            .find(|held| held.arrival.attempt != attempt)
            .map(|held| (held.arrival.attempt.clone(), held.arrival.key))
    }

    pub(crate) fn reserve(
        &mut self,
        id: &str,
        owner: Option<String>,
        tokens: u64,
        lease_ms: u64,
        now_us: u64,
    ) -> bool {
        if let Some(held) = self.reservations.get_mut(id) {
            held.renewed_us = now_us;
            held.lease_ms = lease_ms;
            return held.tokens == tokens;
        }
        if self.draining || self.held() + tokens > self.settings.kv_tokens {
            self.refused += 1;
            return false;
        }
        self.reservations.insert(
            id.to_owned(),
            Reservation {
                owner,
                attempt: None,
                tokens,
                lease_ms,
                renewed_us: now_us,
            },
        );
        let room = self.settings.kv_tokens - self.held();
        self.cache.evict(room, self.settings.cache_gap, now_us);
        true
    }

    pub(crate) fn unreserve(&mut self, id: &str) -> bool {
        self.reservations.remove(id).is_some()
    }

    /// Ties a reservation to the attempt of a head engine, and renews it.
    pub(crate) fn use_part(&mut self, id: &str, attempt: &str, now_us: u64) -> Option<u64> {
        let held = self.reservations.get_mut(id)?;
        if held.attempt.as_deref().is_some_and(|user| user != attempt) {
            return None;
        }
        held.attempt = Some(attempt.to_owned());
        held.renewed_us = now_us;
        Some(held.tokens)
    }

    /// Carries out an order; the error is the highest fencing number seen.
    pub(crate) fn order(&mut self, order: &Order, now_us: u64) -> Result<(), u64> {
        if self
            .orders
            .iter()
            .any(|done| done["order"] == order.order.as_str())
        {
            return Ok(());
        }
        let stale = order.fencing < self.fencing;
        if stale && self.settings.checks_fencing {
            return Err(self.fencing);
        }
        if stale {
            self.stale_orders_applied += 1;
        }
        self.fencing = self.fencing.max(order.fencing);
        self.orders.push(json!({
            "order": order.order, "fencing": order.fencing, "issuer": order.issuer,
            "action": order.action, "at_us": now_us, "stale": stale,
        }));
        if let Ok(model) = serde_json::from_value(order.action["load_model"].clone()) {
            let ready_us =
                now_us + (self.settings.load_ms as f64 * 1e3 / self.settings.speed) as u64;
            self.loading.push((ready_us, model));
        }
        if let Some(name) = order.action["unload_model"].as_str() {
            self.settings.models.retain(|model| model.name != name);
        }
        if let Some(role) = order.action["set_role"].as_str() {
            self.role = Some(role.to_owned());
            self.draining = role == "draining";
        }
        Ok(())
    }

    /// Lists the orders carried out.
    pub(crate) fn orders(&self) -> &[Value] {
        &self.orders
    }

    fn load(&self) -> Load {
        let mut load = Load {
            kv_tokens_used: self.held(),
            ..Load::default()
        };
        for held in self.attempts.values() {
            match held.phase {
                Phase::Waiting => load.waiting += 1,
                Phase::Running => load.running += 1,
                Phase::Done => continue,
            }
            load.prefill_tokens += held.prompt_left();
        }
        load
    }

    fn note_load(&mut self, now_us: u64) {
        let lag_us = self.settings.load_lag_ms * 1000;
        let every_us = lag_us / 8;
        if self
            .history
            .back()
            .is_some_and(|(at, _)| now_us < at + every_us)
        {
            return;
        }
        self.history.push_back((now_us, self.load()));
        if self.history.len() > LOAD_HISTORY_MAX {
            self.history.pop_front();
        }
    }

    /// Returns the announcement, or none while the engine is down.
    pub(crate) fn announcement(&mut self, address: &str, now_us: u64) -> Option<Value> {
        if !self.up || now_us < self.pending.muted_until_us {
            return None;
        }
        self.note_load(now_us);
        let before_us = now_us.saturating_sub(self.settings.load_lag_ms * 1000);
        let known = self.history.iter().rev().find(|(at, _)| *at <= before_us);
        let mut load = known.map(|(_, load)| *load).unwrap_or_default();
        let factor = self.pending.load_factor;
        load.prefill_tokens = (load.prefill_tokens as f64 * factor) as u64;
        load.running = (f64::from(load.running) * factor) as u32;
        load.waiting = (f64::from(load.waiting) * factor) as u32;
        load.kv_tokens_used = (load.kv_tokens_used as f64 * factor) as u64;
        self.seq += 1;
        let settings = &self.settings;
        let state = match self.cold {
            _ if self.draining => "draining",
            Some(Cold { silent: false, .. }) => "cold",
            _ => "warm",
        };
        let decode_us = settings.decode_step_us + settings.step_overhead_us;
        Some(json!({
            "name": settings.name, "zone": settings.zone, "service": settings.service,
            "kind": "engine", "address": address, "incarnation": self.incarnation,
            "seq": self.seq, "state": state, "models": settings.models,
            "cold_budget": settings.cold_budget, "max_running": settings.max_running,
            "kv_tokens": settings.kv_tokens,
            "prefill_tokens_per_s": (settings.prefill_tokens_per_s as f64 * settings.speed) as u64,
            "decode_tokens_per_s": (settings.speed * 1e6 / decode_us.max(1) as f64) as u64,
            "spans": settings.spans, "checks_fencing": settings.checks_fencing, "load": load,
        }))
    }

    /// Lists what is held, for reconciliation.
    pub(crate) fn requests(&self, now_us: u64) -> Value {
        let left_ms = |lease_ms: u64, renewed_us: u64| {
            (lease_ms * 1000).saturating_sub(now_us.saturating_sub(renewed_us)) / 1000
        };
        let attempts: Vec<_> = self
            .attempts
            .values()
            .filter(|held| !held.delivered)
            .map(|held| {
                json!({
                    "attempt": held.arrival.attempt, "owner": held.arrival.owner,
                    "kv_tokens": held.kv, "done": held.phase == Phase::Done,
                    "read": held.reader.is_some(), "lease_ms": held.arrival.lease_ms,
                    "lease_left_ms": left_ms(held.arrival.lease_ms, held.renewed_us),
                })
            })
            .collect();
        let reservations: Vec<_> = self
            .reservations
            .iter()
            .map(|(id, held)| {
                json!({
                    "reservation": id, "owner": held.owner, "attempt": held.attempt,
                    "tokens": held.tokens, "lease_ms": held.lease_ms,
                    "lease_left_ms": left_ms(held.lease_ms, held.renewed_us),
                })
            })
            .collect();
        json!({ "attempts": attempts, "reservations": reservations, "pins": [] })
    }

    pub(crate) fn status(&self) -> Status {
        let orphaned = self.attempts.values().filter(|held| held.reader.is_none());
        let unused = self
            .reservations
            .values()
            .filter(|held| held.attempt.is_none());
        Status {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            up: self.up,
            cold: self.cold.is_some(),
            running: self.count(Phase::Running),
            waiting: self.count(Phase::Waiting),
            kv_tokens_held: self.held(),
            kv_tokens_orphaned: orphaned.map(|held| held.kv).sum::<u64>()
                + unused.map(|held| held.tokens).sum::<u64>(),
            cold_overruns: self.cold_overruns,
            cold_excess_in_grace: self.cold_excess_in_grace,
            stale_orders_applied: self.stale_orders_applied,
            refused: self.refused,
        }
    }
}

/// Tokens that one cache block stands for: the prompt length can be given apart from the text.
fn block_tokens(arrival: &Arrival) -> u64 {
    let bytes = arrival.text_bytes.max(BLOCK_BYTES) as u64;
    (arrival.prompt_tokens * BLOCK_BYTES as u64 / bytes).max(1)
}
