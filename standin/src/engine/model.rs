//! Service model of an engine: its state and the work of each step.
//!
//! The model reads no clock. The driver asks for a [`Plan`], waits for the time of the step and then
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

/// Number of load samples kept, since the load is reported with a lag.
const LOAD_HISTORY_MAX: usize = 64;

/// Events after the tokens of a stream: the usage and `[DONE]`.
pub(crate) const END_EVENTS: u64 = 2;

/// What the driver has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plan {
    /// Nothing: there is no work, or an injected fault stops it.
    Idle,
    /// Run a step that takes this many microseconds.
    Step(u64),
    /// Crash, since the load exceeded the cold budget.
    Crash,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The queue is full, or the engine is draining.
    Busy,
    /// The prompt and the answer exceed the KV memory of the engine.
    TooLarge,
    /// The engine already holds the attempt.
    Duplicate,
    /// The model is not loaded.
    NoModel,
}

/// A request as parsed by the HTTP server.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) attempt: String,
    pub(crate) owner: Option<String>,
    pub(crate) request: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) user: Option<String>,
    /// Key that determines the answer text; see [`crate::answer::key`].
    pub(crate) key: u64,
    pub(crate) priority: u8,
    pub(crate) model: Option<String>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) text_bytes: usize,
    /// Hashes of the complete blocks of the prompt text, for the prefix cache.
    pub(crate) blocks: Vec<u64>,
    /// Duration of the lease; 0 means that the attempt has none.
    pub(crate) lease_ms: u64,
    /// For a spanning prompt: the local reservation that the attempt takes over, and the tokens of
    /// all parts.
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
    record_index: usize,
    phase: Phase,
    cached_tokens: u64,
    prefilled_tokens: u64,
    /// Tokens to prefill in the planned step.
    chunk_tokens: u64,
    /// Whether the planned step generates a token.
    decodes: bool,
    pub(crate) generated: u64,
    kv_tokens: u64,
    /// Number of the current reader; `None` if no reader is connected.
    reader: Option<u64>,
    /// Events that the reader has taken.
    events_read: u64,
    /// When the lease was last renewed.
    renewed_us: u64,
    delivered: bool,
    pub(crate) notify: Arc<Notify>,
}

impl Attempt {
    fn prompt_left(&self) -> u64 {
        self.arrival
            .prompt_tokens
            .saturating_sub(self.cached_tokens + self.prefilled_tokens)
    }

    /// Returns the number of events generated so far.
    pub(crate) fn available_events(&self) -> u64 {
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
    /// Largest number of live requests.
    request_limit: u32,
    /// Largest sum of the prompt tokens of live requests.
    token_limit: u64,
    /// First tokens since the limits were last doubled.
    since_doubling: u32,
    /// Until when requests beyond the limits are counted but do not cause a crash.
    grace_until_us: u64,
    /// Whether announcements still say `warm`.
    silent: bool,
    /// First tokens since the engine turned cold.
    first_tokens: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    prefill_tokens: u64,
    kv_tokens_used: u64,
}

/// An order to load a model, unload one or change the role.
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
    crashing: bool,
    /// Attempts by number, in the order of their arrival.
    attempts: BTreeMap<u64, Attempt>,
    number_by_id: HashMap<String, u64>,
    last_number: u64,
    last_reader: u64,
    reservations: BTreeMap<String, Reservation>,
    pub(crate) records: Vec<Record>,
    pub(crate) pending: Pending,
    /// Samples of the load with their times, microseconds.
    load_history: VecDeque<(u64, Load)>,
    pub(crate) cache: Cache,
    seq: u64,
    /// Time of the last call of [`Model::expire`].
    last_expire_us: u64,
    cold_overruns: u64,
    cold_excess_in_grace: u64,
    refused: u64,
    highest_fencing: u64,
    stale_orders_applied: u64,
    applied_orders: Vec<Value>,
    /// Models that are being loaded, with the time when they are ready, microseconds.
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
            crashing: false,
            attempts: BTreeMap::new(),
            number_by_id: HashMap::new(),
            last_number: 0,
            last_reader: 0,
            reservations: BTreeMap::new(),
            records: Vec::new(),
            pending: Pending::new(),
            load_history: VecDeque::new(),
            cache,
            seq: 0,
            last_expire_us: now_us,
            cold_overruns: 0,
            cold_excess_in_grace: 0,
            refused: 0,
            highest_fencing: 0,
            stale_orders_applied: 0,
            applied_orders: Vec::new(),
            loading: Vec::new(),
            role: None,
        };
        if start_cold {
            model.turn_cold(now_us, false, 0);
        }
        model
    }

    /// Drops all state, as a process does that ends.
    pub(crate) fn shut_down(&mut self, now_us: u64) {
        for attempt in self.attempts.values() {
            let record = &mut self.records[attempt.record_index];
            if record.end == End::Running {
                record.end = End::Died;
                record.ended_us = now_us;
            }
            record.orphaned_kv_tokens = 0;
            attempt.notify.notify_waiters();
        }
        self.attempts.clear();
        self.number_by_id.clear();
        self.reservations.clear();
        self.load_history.clear();
        self.cache = Cache::new(self.settings.seed ^ now_us);
        self.up = false;
        self.crashing = false;
        self.loading.clear();
    }

    /// Starts a new incarnation after [`Model::shut_down`].
    pub(crate) fn restart(&mut self, now_us: u64, cold: bool) {
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
            request_limit: self.settings.cold_budget.requests,
            token_limit: self.settings.cold_budget.tokens,
            since_doubling: 0,
            grace_until_us: now_us + grace_ms * 1000,
            silent,
            first_tokens: 0,
        });
    }

    /// Returns the KV tokens of attempts and reservations.
    fn kv_tokens_held(&self) -> u64 {
        self.attempts
            .values()
            .map(|attempt| attempt.kv_tokens)
            .sum::<u64>()
            + self
                .reservations
                .values()
                .map(|reservation| reservation.tokens)
                .sum::<u64>()
    }

    fn has_model(&self, name: Option<&str>) -> bool {
        name.is_none_or(|name| self.settings.models.iter().any(|model| model.name == name))
    }

    /// Counts a refusal by an injected fault.
    pub(crate) fn count_refusal(&mut self) {
        self.refused += 1;
    }

    /// Queues a request or refuses it.
    pub(crate) fn submit(&mut self, arrival: Arrival, now_us: u64) -> Result<(), Refusal> {
        let refusal = if self.number_by_id.contains_key(&arrival.attempt) {
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
        if let Some((Some(id), _)) = &arrival.parts
            && let Some(reservation) = self.reservations.get_mut(id)
        {
            reservation.attempt = Some(arrival.attempt.clone());
        }
        self.check_cold_budget(arrival.prompt_tokens, now_us);
        let ahead = self.count(Phase::Waiting) + self.count(Phase::Running);
        self.records.push(Record {
            kv_tokens_held: self.kv_tokens_held(),
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
        self.last_number += 1;
        self.number_by_id
            .insert(arrival.attempt.clone(), self.last_number);
        self.attempts.insert(
            self.last_number,
            Attempt {
                arrival,
                record_index: self.records.len() - 1,
                phase: Phase::Waiting,
                cached_tokens: 0,
                prefilled_tokens: 0,
                chunk_tokens: 0,
                decodes: false,
                generated: 0,
                kv_tokens: 0,
                reader: None,
                events_read: 0,
                renewed_us: now_us,
                delivered: false,
                notify: Arc::new(Notify::new()),
            },
        );
        Ok(())
    }

    /// Makes the engine crash if one more prompt exceeds the cold budget outside the grace period.
    fn check_cold_budget(&mut self, prompt_tokens: u64, now_us: u64) {
        let live = self
            .attempts
            .values()
            .filter(|attempt| attempt.phase != Phase::Done);
        let (requests, tokens) = live.fold((1, prompt_tokens), |(requests, tokens), attempt| {
            (requests + 1, tokens + attempt.arrival.prompt_tokens)
        });
        let Some(cold) = &mut self.cold else {
            return;
        };
        if requests <= cold.request_limit && tokens <= cold.token_limit {
            return;
        }
        // An engine that does not announce that it is cold can only be recognised by three late
        // first tokens, so it does not crash before them.
        if now_us < cold.grace_until_us || (cold.silent && cold.first_tokens < 3) {
            self.cold_excess_in_grace += 1;
            if cold.silent {
                cold.grace_until_us = now_us + self.settings.cold_grace_ms * 1000;
            }
            return;
        }
        self.crashing = true;
        self.cold_overruns += 1;
    }

    fn count(&self, phase: Phase) -> u32 {
        self.attempts
            .values()
            .filter(|attempt| attempt.phase == phase)
            .count() as u32
    }

    /// Removes attempts and reservations whose lease expired, accounts for memory without a reader,
    /// and completes the loading of models.
    pub(crate) fn expire(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.last_expire_us);
        self.last_expire_us = now_us;
        let mut expired = Vec::new();
        for (number, attempt) in &mut self.attempts {
            let lease_us = attempt.arrival.lease_ms * 1000;
            // A reader that has taken all available events keeps the lease alive.
            if attempt.reader.is_some() && attempt.events_read >= attempt.available_events() {
                attempt.renewed_us = now_us;
            }
            let record = &mut self.records[attempt.record_index];
            record.orphaned_kv_tokens = if attempt.reader.is_none() {
                attempt.kv_tokens
            } else {
                0
            };
            record.orphaned_kv_token_s +=
                (record.orphaned_kv_tokens as f64 * passed_us as f64 / 1e6) as u64;
            if lease_us > 0 && now_us.saturating_sub(attempt.renewed_us) > lease_us {
                expired.push(*number);
            }
        }
        for number in expired {
            self.remove(number, End::LeaseExpired, now_us);
        }
        // A local reservation of an attempt stays valid as long as the attempt is held.
        for reservation in self.reservations.values_mut() {
            if reservation
                .attempt
                .as_ref()
                .is_some_and(|id| self.number_by_id.contains_key(id))
            {
                reservation.renewed_us = now_us;
            }
        }
        self.reservations.retain(|_, reservation| {
            reservation.lease_ms == 0
                || now_us.saturating_sub(reservation.renewed_us) <= reservation.lease_ms * 1000
        });
        let (loaded, loading): (Vec<_>, Vec<_>) =
            self.loading.drain(..).partition(|(at, _)| *at <= now_us);
        self.loading = loading;
        for (_, model) in loaded {
            self.settings
                .models
                .retain(|other| other.name != model.name);
            self.settings.models.push(model);
        }
    }

    fn remove(&mut self, number: u64, end: End, now_us: u64) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        self.number_by_id.remove(&attempt.arrival.attempt);
        let record = &mut self.records[attempt.record_index];
        record.orphaned_kv_tokens = 0;
        if record.end == End::Running {
            record.end = end;
            record.ended_us = now_us;
        }
        if let Some((Some(id), _)) = &attempt.arrival.parts {
            self.reservations.remove(id);
        }
        attempt.notify.notify_waiters();
    }

    /// Expires leases, samples the load, admits waiting requests and plans the next step.
    pub(crate) fn plan(&mut self, now_us: u64) -> Plan {
        self.expire(now_us);
        self.sample_load(now_us);
        if self.crashing {
            return Plan::Crash;
        }
        if now_us < self.pending.stalled_until_us {
            return Plan::Idle;
        }
        self.admit_waiting(now_us);
        let mut budget = self.settings.chunk_tokens;
        let mut prefilling: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Running && attempt.generated == 0)
            .map(|(number, attempt)| (attempt.arrival.priority, *number))
            .collect();
        prefilling.sort_unstable();
        for attempt in self.attempts.values_mut() {
            attempt.chunk_tokens = 0;
            attempt.decodes = attempt.phase == Phase::Running && attempt.generated > 0;
        }
        let mut any_prefill = false;
        for (_, number) in prefilling {
            let Some(attempt) = self.attempts.get_mut(&number) else {
                continue;
            };
            attempt.chunk_tokens = attempt.prompt_left().min(budget);
            budget -= attempt.chunk_tokens;
            any_prefill = true;
            if budget == 0 {
                break;
            }
        }
        let decoding = self
            .attempts
            .values()
            .filter(|attempt| attempt.decodes)
            .count() as u64;
        if !any_prefill && decoding == 0 {
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

    /// Moves requests from the queue into the batch by priority, in order of arrival within one
    /// priority, until one does not fit.
    fn admit_waiting(&mut self, now_us: u64) {
        let mut running = self.count(Phase::Running);
        let mut waiting: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Waiting)
            .map(|(number, attempt)| (attempt.arrival.priority, *number))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut held_tokens = self.kv_tokens_held();
        for (_, number) in waiting {
            let Some(attempt) = self.attempts.get_mut(&number) else {
                continue;
            };
            let arrival = &attempt.arrival;
            // The KV memory of a spanning prompt is counted by its reservations.
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
            attempt.cached_tokens =
                (matching * block_tokens).min(arrival.prompt_tokens.saturating_sub(1));
            attempt.kv_tokens = need;
            attempt.phase = Phase::Running;
            let record = &mut self.records[attempt.record_index];
            record.started_us = now_us;
            record.cached_tokens = attempt.cached_tokens;
            self.cache.evict(
                self.settings.kv_tokens - held_tokens,
                self.settings.cache_gap,
                now_us,
            );
        }
    }

    /// Applies the planned step.
    pub(crate) fn complete_step(&mut self, now_us: u64) {
        let mut first_tokens = 0;
        let mut done = Vec::new();
        for (number, attempt) in &mut self.attempts {
            if attempt.phase != Phase::Running {
                continue;
            }
            attempt.prefilled_tokens += attempt.chunk_tokens;
            let record = &mut self.records[attempt.record_index];
            if attempt.decodes {
                attempt.generated += 1;
            } else if attempt.chunk_tokens > 0 && attempt.prompt_left() == 0 {
                attempt.generated = 1;
                record.first_token_us = now_us;
                first_tokens += 1;
            } else {
                continue;
            }
            record.generated_tokens = attempt.generated;
            if attempt.generated >= attempt.arrival.max_tokens {
                attempt.phase = Phase::Done;
                record.end = End::Completed;
                record.ended_us = now_us;
                done.push(*number);
            }
            attempt.notify.notify_waiters();
        }
        for number in done {
            let free_tokens = self
                .settings
                .kv_tokens
                .saturating_sub(self.kv_tokens_held());
            let Some(attempt) = self.attempts.get(&number) else {
                continue;
            };
            self.cache.store(
                &attempt.arrival.blocks,
                block_tokens(&attempt.arrival),
                free_tokens + attempt.kv_tokens,
                self.settings.cache_gap,
                now_us,
            );
        }
        for _ in 0..first_tokens {
            self.count_first_token();
        }
    }

    /// Doubles the limits of a cold engine after each full set of first tokens. The engine is warm
    /// once the request limit reaches `max_running`.
    fn count_first_token(&mut self) {
        let Some(cold) = &mut self.cold else {
            return;
        };
        cold.first_tokens += 1;
        cold.since_doubling += 1;
        if cold.since_doubling >= cold.request_limit {
            cold.since_doubling = 0;
            cold.request_limit = cold.request_limit.saturating_mul(2);
            cold.token_limit = cold.token_limit.saturating_mul(2);
        }
        if cold.request_limit >= self.settings.max_running {
            self.cold = None;
        }
    }

    /// Connects a reader that starts at event `from`; returns its number. It replaces any earlier
    /// reader of the attempt.
    pub(crate) fn attach_reader(&mut self, id: &str, from: u64, now_us: u64) -> Option<u64> {
        let attempt = self.attempts.get_mut(self.number_by_id.get(id)?)?;
        self.last_reader += 1;
        attempt.reader = Some(self.last_reader);
        attempt.events_read = from;
        attempt.renewed_us = now_us;
        attempt.notify.notify_waiters();
        Some(self.last_reader)
    }

    /// Disconnects a reader unless another one has replaced it.
    pub(crate) fn detach_reader(&mut self, id: &str, reader: u64, now_us: u64) {
        if let Some(attempt) = self.attempt_of_reader(id, reader) {
            attempt.reader = None;
            attempt.renewed_us = now_us;
        }
    }

    /// Returns an attempt if `reader` is still its reader.
    pub(crate) fn attempt_of_reader(&mut self, id: &str, reader: u64) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(self.number_by_id.get(id)?)?;
        (attempt.reader == Some(reader)).then_some(attempt)
    }

    /// Records that a reader took all events before `next`. After the last event the memory is
    /// released, and without a lease the attempt is removed.
    pub(crate) fn record_read(&mut self, id: &str, reader: u64, next: u64, now_us: u64) {
        let Some(attempt) = self.attempt_of_reader(id, reader) else {
            return;
        };
        attempt.events_read = next;
        attempt.renewed_us = now_us;
        if attempt.phase != Phase::Done || next < attempt.available_events() {
            return;
        }
        attempt.kv_tokens = 0;
        attempt.delivered = true;
        let (record_index, parts) = (attempt.record_index, attempt.arrival.parts.clone());
        let remove = attempt.arrival.lease_ms == 0;
        self.records[record_index].delivered = true;
        if let Some((Some(reservation), _)) = parts {
            self.reservations.remove(&reservation);
        }
        if remove && let Some(number) = self.number_by_id.get(id) {
            self.remove(*number, End::Completed, now_us);
        }
    }

    /// Returns the prompt tokens, cached tokens and generated tokens of an attempt.
    pub(crate) fn usage(&self, id: &str) -> Option<(u64, u64, u64)> {
        let attempt = self.attempts.get(self.number_by_id.get(id)?)?;
        Some((
            attempt.arrival.prompt_tokens,
            attempt.cached_tokens,
            attempt.generated,
        ))
    }

    /// Returns whether an attempt is held and its answer not yet delivered.
    pub(crate) fn is_undelivered(&self, id: &str) -> bool {
        self.number_by_id
            .get(id)
            .and_then(|number| self.attempts.get(number))
            .is_some_and(|attempt| !attempt.delivered)
    }

    /// Removes an attempt; returns whether it was held.
    pub(crate) fn cancel(&mut self, id: &str, now_us: u64) -> bool {
        let Some(number) = self.number_by_id.get(id).copied() else {
            return false;
        };
        self.remove(number, End::Cancelled, now_us);
        true
    }

    /// Returns the answer key and model name of an attempt.
    pub(crate) fn key_and_model(&self, id: &str) -> Option<(u64, String)> {
        let attempt = self.attempts.get(self.number_by_id.get(id)?)?;
        let model = attempt.arrival.model.clone().unwrap_or_default();
        Some((attempt.arrival.key, model))
    }

    /// Returns the id and answer key of another attempt, for the fault that sends its answer.
    pub(crate) fn other_attempt(&self, id: &str) -> Option<(String, u64)> {
        self.attempts
            .values()
            .find(|attempt| attempt.arrival.attempt != id)
            .map(|attempt| (attempt.arrival.attempt.clone(), attempt.arrival.key))
    }

    /// Creates or renews a reservation of KV memory. Returns whether it is held with `tokens`
    /// tokens.
    pub(crate) fn reserve(
        &mut self,
        id: &str,
        owner: Option<String>,
        tokens: u64,
        lease_ms: u64,
        now_us: u64,
    ) -> bool {
        if let Some(reservation) = self.reservations.get_mut(id) {
            reservation.renewed_us = now_us;
            reservation.lease_ms = lease_ms;
            return reservation.tokens == tokens;
        }
        if self.draining || self.kv_tokens_held() + tokens > self.settings.kv_tokens {
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
        let free_tokens = self.settings.kv_tokens - self.kv_tokens_held();
        self.cache
            .evict(free_tokens, self.settings.cache_gap, now_us);
        true
    }

    pub(crate) fn release_reservation(&mut self, id: &str) -> bool {
        self.reservations.remove(id).is_some()
    }

    /// Assigns a reservation to an attempt, which may run on another engine, and renews it.
    /// Returns its tokens; `None` if it is not held or another attempt uses it.
    pub(crate) fn claim_reservation(
        &mut self,
        id: &str,
        attempt: &str,
        now_us: u64,
    ) -> Option<u64> {
        let reservation = self.reservations.get_mut(id)?;
        if reservation
            .attempt
            .as_deref()
            .is_some_and(|other| other != attempt)
        {
            return None;
        }
        reservation.attempt = Some(attempt.to_owned());
        reservation.renewed_us = now_us;
        Some(reservation.tokens)
    }

    /// Applies an order unless it was applied before. If the fencing number is refused, the error is
    /// the highest one seen.
    pub(crate) fn apply_order(&mut self, order: &Order, now_us: u64) -> Result<(), u64> {
        if self
            .applied_orders
            .iter()
            .any(|applied| applied["order"] == order.order.as_str())
        {
            return Ok(());
        }
        let stale = order.fencing < self.highest_fencing;
        if stale && self.settings.checks_fencing {
            return Err(self.highest_fencing);
        }
        if stale {
            self.stale_orders_applied += 1;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.applied_orders.push(json!({
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

    /// Returns the applied orders as JSON.
    pub(crate) fn applied_orders(&self) -> &[Value] {
        &self.applied_orders
    }

    fn load(&self) -> Load {
        let mut load = Load {
            kv_tokens_used: self.kv_tokens_held(),
            ..Load::default()
        };
        for attempt in self.attempts.values() {
            match attempt.phase {
                Phase::Waiting => load.waiting += 1,
                Phase::Running => load.running += 1,
                Phase::Done => continue,
            }
            load.prefill_tokens += attempt.prompt_left();
        }
        load
    }

    /// Adds the current load to the history, at most eight times per lag of the reports.
    fn sample_load(&mut self, now_us: u64) {
        let lag_us = self.settings.load_lag_ms * 1000;
        let interval_us = lag_us / 8;
        if self
            .load_history
            .back()
            .is_some_and(|(at, _)| now_us < at + interval_us)
        {
            return;
        }
        self.load_history.push_back((now_us, self.load()));
        if self.load_history.len() > LOAD_HISTORY_MAX {
            self.load_history.pop_front();
        }
    }

    /// Returns the announcement; `None` while the engine is down or its announcements are stopped.
    pub(crate) fn announcement(&mut self, address: &str, now_us: u64) -> Option<Value> {
        if !self.up || now_us < self.pending.muted_until_us {
            return None;
        }
        self.sample_load(now_us);
        let before_us = now_us.saturating_sub(self.settings.load_lag_ms * 1000);
        let sample = self
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= before_us);
        let mut load = sample.map(|(_, load)| *load).unwrap_or_default();
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

    /// Returns all held attempts and reservations as JSON, for reconciliation.
    pub(crate) fn held_requests(&self, now_us: u64) -> Value {
        let left_ms = |lease_ms: u64, renewed_us: u64| {
            (lease_ms * 1000).saturating_sub(now_us.saturating_sub(renewed_us)) / 1000
        };
        let attempts: Vec<_> = self
            .attempts
            .values()
            .filter(|attempt| !attempt.delivered)
            .map(|attempt| {
                json!({
                    "attempt": attempt.arrival.attempt, "owner": attempt.arrival.owner,
                    "kv_tokens": attempt.kv_tokens, "done": attempt.phase == Phase::Done,
                    "read": attempt.reader.is_some(), "lease_ms": attempt.arrival.lease_ms,
                    "lease_left_ms": left_ms(attempt.arrival.lease_ms, attempt.renewed_us),
                })
            })
            .collect();
        let reservations: Vec<_> = self
            .reservations
            .iter()
            .map(|(id, reservation)| {
                json!({
                    "reservation": id, "owner": reservation.owner, "attempt": reservation.attempt,
                    "tokens": reservation.tokens, "lease_ms": reservation.lease_ms,
                    "lease_left_ms": left_ms(reservation.lease_ms, reservation.renewed_us),
                })
            })
            .collect();
        json!({ "attempts": attempts, "reservations": reservations, "pins": [] })
    }

    pub(crate) fn status(&self) -> Status {
        let orphaned = self
            .attempts
            .values()
            .filter(|attempt| attempt.reader.is_none());
        let unused = self
            .reservations
            .values()
            .filter(|reservation| reservation.attempt.is_none());
        Status {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            up: self.up,
            cold: self.cold.is_some(),
            running: self.count(Phase::Running),
            waiting: self.count(Phase::Waiting),
            kv_tokens_held: self.kv_tokens_held(),
            kv_tokens_orphaned: orphaned.map(|attempt| attempt.kv_tokens).sum::<u64>()
                + unused.map(|reservation| reservation.tokens).sum::<u64>(),
            cold_overruns: self.cold_overruns,
            cold_excess_in_grace: self.cold_excess_in_grace,
            stale_orders_applied: self.stale_orders_applied,
            refused: self.refused,
        }
    }
}

/// Returns the prompt tokens per cache block. The ratio of tokens to text bytes varies, since a
/// request can state the length of its prompt apart from its text.
fn block_tokens(arrival: &Arrival) -> u64 {
    let bytes = arrival.text_bytes.max(BLOCK_BYTES) as u64;
    (arrival.prompt_tokens * BLOCK_BYTES as u64 / bytes).max(1)
}
