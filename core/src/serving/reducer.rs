//! The reducer of an entry VM: events in, effects out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use smallvec::SmallVec;

use crate::inventory::Kind;
use crate::registry::Config;
use crate::request::{Arrival, Attempt, Class, End, Id, Outcome, Reason};
use crate::target;
use crate::target::{Announcement, State};
use crate::time::Instant;
use crate::vm;

use super::cache::Cache;
use super::claim::Record;
use super::coordinator::Lease;
use super::cost::{self, Cost};
use super::counters::Counters;
use super::credit::{Book, Held};
use super::effect::{Dispatch, Effect, Notice, Refusal};
use super::event::Event;
use super::fairness::{Blocked, DECAY_INTERVAL, Queue};
use super::handover::Zones;
use super::membership::Members;
use super::placement::{self, Ask, Choice, Placement};
use super::request::{Request, Run, Stage};
use super::retry::Budget;
use super::settings::{Policy, Settings};
use super::span::{Parts, Spans};
use super::target::{Change, LEASE, TOKENS_MAX, Table, View};

/// Lease of what an engine holds for an attempt, renewed by reading.
pub(super) const ENGINE_LEASE_MS: u64 = 10_000;

/// How long an abandoned attempt is remembered, so that its late events are cancelled again.
const ABANDONED: Duration = Duration::from_mins(1);

/// Interval of checks that need no immediate reaction.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Wait after which a long request gets a target reserved and may leave the long set.
const LONG_WAIT: Duration = Duration::from_secs(10);

/// Best engine priority that ageing gives to a long request; short requests stay ahead.
const AGED_PRIORITY: u8 = 2;

/// Parts of the time limit by which ageing improves the engine priority.
const AGEING_PARTS: u128 = 4;

/// Resumes without progress in between before a stream counts as broken.
const RESUMES_MAX: u8 = 2;

/// Weight of a new value in the running means of answers.
const MEAN_WEIGHT: f64 = 0.1;

/// Retry hint when the retry budget is used up.
const RETRY_BUDGET_HINT_MS: u64 = 1_000;

/// Time after which another address under a known name no longer counts as a conflict.
const CONFLICT_MEMORY: Duration = Duration::from_secs(10);

/// Time after the start before the process is ready. Targets announce themselves every 500 ms and are
/// spread with the next heartbeat, so that a restarted process then knows all targets of its zone.
const READY_DELAY: Duration = Duration::from_secs(1);

/// Time between two events after which the process counts as paused. Ticks come every 20 ms.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Time after a pause in which nothing is dispatched. Covers two heartbeats and a round trip, so that
/// queued messages are read and a higher configuration version is fetched first.
const PAUSE_SETTLE: Duration = Duration::from_millis(600);

/// Decides for one entry VM.
#[derive(Debug)]
pub struct Reducer {
    pub(super) settings: Settings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) now: Instant,
    pub(super) config: Option<Arc<Config>>,
    pub(super) table: Table,
    pub(super) requests: BTreeMap<Id, Request>,
    pub(super) queue: Queue,
    pub(super) records: BTreeMap<Id, Record>,
    pub(super) probes: BTreeMap<Arc<str>, Instant>,
    pub(super) zones: Zones,
    pub(super) counters: Counters,
    pub(super) draining: bool,
    /// Whether waiting requests may find a target since the last try.
    pub(super) reschedule: bool,
    /// When dispatching starts again after a pause of the process.
    pub(super) settled_at: Instant,
    pub(super) members: Members,
    pub(super) lease: Lease,
    pub(super) book: Book,
    pub(super) spans: Spans,
    /// VMs that were lost lately, with the end of what they may hold.
    pub(super) departed: BTreeMap<vm::Instance, Instant>,
    /// Highest epoch of a coordinator that got a report of the credits held here.
    pub(super) reported_epoch: u64,
    pub(super) next_holdings: Instant,
    placement: Placement,
    cache: Cache,
    budget: Budget,
    deadlines: BTreeSet<(Instant, Id)>,
    abandoned: BTreeMap<Attempt, (Instant, SocketAddr)>,
    ready: bool,
    started_at: Instant,
    order: u64,
    next_check: Instant,
    next_decay: Instant,
}

impl Reducer {
    /// Creates the reducer of a process that starts at `now`.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        Self {
            settings,
            rng: SeedableRng::seed_from_u64(seed),
            now,
            config: None,
            table: Table::default(),
            requests: BTreeMap::new(),
            queue: Queue::default(),
            records: BTreeMap::new(),
            probes: BTreeMap::new(),
            zones: Zones::default(),
            counters: Counters::default(),
            draining: false,
            settled_at: now,
            reschedule: false,
            members: Members::new(now),
            lease: Lease::new(now),
            book: Book::default(),
            spans: Spans::default(),
            departed: BTreeMap::new(),
            reported_epoch: 0,
            next_holdings: now,
            placement: Placement::default(),
            cache: Cache::default(),
            budget: Budget::new(),
            deadlines: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            ready: false,
            started_at: now,
            order: 0,
            next_check: now,
            next_decay: now,
        }
    }

    /// Returns the totals since the start.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the settings that the reducer was created with.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the configuration in force.
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the targets of the zone.
    pub fn targets(&self) -> Vec<View> {
        let all = self.table.iter();
        all.map(|(_, target)| target.view(self.now)).collect()
    }

    /// Returns the number of targets of the zone.
    pub fn target_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of requests without a final outcome.
    pub fn live(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a target.
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes an event that happened at `now` and appends the effects to carry out.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        let now = self.now.max(now);
        if now.since(self.now) >= PAUSE_MIN {
            // Messages that queued up during the pause may be outdated; newer ones are behind them.
            self.settled_at = now + PAUSE_SETTLE;
            self.reschedule = true;
        }
        self.now = now;
        // Deadlines and leases come first, so that nothing is decided on what has expired while the
        // process was paused.
        self.expire(effects);
        match event {
            Event::Tick => self.reschedule = true,
            Event::Announced(announcement) => self.announced(announcement, effects),
            Event::Arrived(arrival) => self.arrived(arrival, effects),
            Event::CallerGone(id) => self.fail(id, Reason::CallerGone, None, effects),
            Event::Started(attempt) => self.progress(attempt, 0, effects),
            Event::Progress { attempt, tokens } => self.progress(attempt, tokens, effects),
            Event::Ended { attempt, end } => self.ended(attempt, end, effects),
            Event::HandedOver { request, end } => self.handed_over(request, end, effects),
            Event::Ledger { request, answer } => self.ledger(request, answer, effects),
            Event::Probed { target, alive } => self.probed(&target, alive, effects),
            Event::Configured(config) => self.configured(config, effects),
            Event::Drain => self.drain(effects),
            Event::Reserved { attempt, all } => self.reserved(attempt, all, effects),
            Event::Received { from, message } => self.received(&from, message, effects),
            Event::LocalOrder(order) => self.local_order(order),
        }
        self.housekeep(effects);
        self.schedule(effects);
    }

    pub(super) fn update_ready(&mut self, effects: &mut Vec<Effect>) {
        let announced = self.now.since(self.started_at) >= READY_DELAY;
        let ready = self.config.is_some() && announced && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            effects.push(Effect::Ready(ready));
        }
    }

    pub(super) fn configured(&mut self, config: Arc<Config>, effects: &mut Vec<Effect>) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        self.queue.configure(&config.inventory.organisations);
        self.budget
            .configure(config.inventory.rules.retry_budget_percent);
        self.config = Some(Arc::clone(&config));
        self.update_availability();
        self.update_voters();
        effects.push(Effect::InForce(config));
        self.reschedule = true;
        self.update_ready(effects);
    }

    /// Returns this VM's part of an organisation's concurrency limit.
    pub(super) fn limit(&self, organisation: &str) -> u32 {
        let (members, silent) = self.limit_basis();
        self.queue.limit(organisation, members, silent)
    }

    fn announced(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        self.announce(announcement, self.now + LEASE, true, effects);
    }

    /// Takes an announcement from a target or, relayed, from a member of the zone.
    pub(super) fn announce(
        &mut self,
        announcement: Announcement,
        lease_until: Instant,
        direct: bool,
        effects: &mut Vec<Effect>,
    ) {
        if announcement.zone != self.settings.zone {
            self.counters.stale_announcements += 1;
            return;
        }
        let name = Arc::clone(&announcement.name);
        let state = announcement.state;
        let change = self.table.announce(self.now, announcement, lease_until);
        let (id, changed) = match change {
            Change::Stale => {
                // Every announcement reaches a VM directly and from each relaying member.
                self.counters.stale_announcements += u64::from(direct);
                return;
            }
            Change::Conflict { new } => {
                self.counters.conflicts += 1;
                if new {
                    effects.push(Effect::Notice(Notice::TargetConflict(name)));
                }
                return;
            }
            Change::Joined(id) => {
                self.joined(id, &name);
                effects.push(Effect::Notice(Notice::TargetJoined(name)));
                (id, true)
            }
            Change::Restarted(id) => {
                effects.push(Effect::Notice(Notice::TargetCold(name)));
                self.lose_runs(id, effects);
                (id, true)
            }
            Change::Renewed { id, before } => {
                if before != state {
                    match (before, state) {
                        (_, State::Cold) => self.turn_cold(id, effects),
                        (State::Cold, State::Warm) => self.turn_warm(id, effects),
                        _ => {}
                    }
                }
                (id, before != state)
            }
        };
        self.reschedule = true;
        if direct {
            self.relay(id, changed, effects);
        }
    }

    fn joined(&mut self, id: target::Id, name: &Arc<str>) {
        let out = self
            .config
            .as_ref()
            .is_some_and(|config| config.targets_out.contains(name));
        // Right after the start another member may know that the target is in cold start.
        let alone = self.voters().len() <= 1 && self.settings.seeds.is_empty();
        let unsure = self.members.is_learning(self.now) && !alone;
        if let Some(target) = self.table.get_mut(id) {
            target.out = out;
            if unsure {
                target.cold.turn = 0;
            }
        }
    }

    /// Ends the attempts that a restarted target has lost.
    fn lose_runs(&mut self, target: target::Id, effects: &mut Vec<Effect>) {
        let generation = self.table.get(target).map(|target| target.generation);
        let lost: Vec<(Id, Attempt, bool)> = self
            .requests
            .iter()
            .filter_map(|(&id, request)| {
                let run = request.run()?;
                let lost = run.target == target && Some(run.generation) != generation;
                lost.then_some((id, run.attempt, request.delivered > 0))
            })
            .collect();
        for (id, attempt, delivered) in lost {
            effects.push(Effect::Abort(attempt));
            let end = if delivered { End::Broken } else { End::Lost };
            self.attempt_failed(id, end, effects);
        }
    }

    fn arrived(&mut self, mut arrival: Box<Arrival>, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        arrival.prompt_tokens = arrival.prompt_tokens.min(TOKENS_MAX);
        arrival.max_tokens = arrival.max_tokens.min(TOKENS_MAX);
        if self.requests.contains_key(&id) {
            return;
        }
        self.counters.arrived += 1;
        let Some(config) = self.config.clone() else {
            self.refuse(id, Outcome::NotRun, Reason::NoTarget, Some(1_000), effects);
            return;
        };
        let known = config.inventory.services.iter().any(|service| {
            let model = arrival.model.as_ref();
            service.name == arrival.service
                && model.is_none_or(|model| service.models.contains(model))
        });
        let (service, model) = (&arrival.service, arrival.model.as_ref());
        let group = if known {
            self.table.group_or_insert(service, model)
        } else if let Some(group) = self.table.group_index(service, model.map(|name| &**name)) {
            group
        } else {
            self.refuse(id, Outcome::NotRun, Reason::NoTarget, None, effects);
            return;
        };
        let deadline = self.now + cost::deadline(&arrival, &config.inventory.rules);
        let cached = self.cached(&arrival);
        let longest = cached.iter().map(|&(_, tokens)| tokens).max().unwrap_or(0);
        let cost = Cost::new(
            &arrival,
            longest,
            self.expected_decode(group, arrival.max_tokens),
        );
        let class = cost::class(cost.prefill_tokens);
        if class < Class::Long {
            self.table.group_mut(group).last_short = Some(self.now);
        }
        self.order += 1;
        self.deadlines.insert((deadline, id));
        let request = Request {
            order: self.order,
            arrived: self.now,
            deadline,
            class,
            cost,
            group,
            stage: Stage::Claiming,
            next_attempt: 0,
            uncertain: false,
            started: false,
            delivered: 0,
            failed_on: SmallVec::new(),
            ask_after: self.now,
            refused_by: SmallVec::new(),
            claimed: false,
            spanning: false,
            dispatched: false,
            arrival,
        };
        self.requests.insert(id, request);
        // Most requests find a target at once. The prediction for all targets is only needed for
        // the others, and before a claim.
        let group = self.table.group(group);
        let direct = group.waiting == [0; 4];
        let denial = match self.exclusion(id) {
            None if !direct => self.denial(id),
            None if self
                .requests
                .get(&id)
                .is_some_and(|entry| entry.arrival.at_most_once) =>
            {
                self.denial(id)
            }
            exclusion => exclusion,
        };
        if let Some(denial) = denial {
            self.deny(id, denial, effects);
            return;
        }
        self.admit(id, effects);
        self.schedule(effects);
        let waits = self
            .requests
            .get(&id)
            .is_some_and(|request| matches!(request.stage, Stage::Queued));
        if direct
            && waits
            && let Some(denial) = self.denial(id)
        {
            self.deny(id, denial, effects);
        }
    }

    /// Returns the targets that probably cache a part of the prompt.
    fn cached(&self, arrival: &Arrival) -> placement::Cached {
        self.cache
            .find(&arrival.prefix, arrival.prompt_tokens, |id, generation| {
                let target = self.table.get(id);
                target.is_some_and(|target| target.generation == generation)
            })
    }

    /// Lets a request wait for a target, after its claim if it must run at most once.
    pub(super) fn admit(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let largest = self.table.group(request.group).largest_memory;
        request.spanning = request.cost.kv_tokens > largest;
        if request.arrival.at_most_once && !request.claimed {
            self.claim(id, effects);
        } else {
            self.enqueue(id);
        }
    }

    /// Ends a request that this zone cannot serve, unless another zone takes it.
    pub(super) fn deny(
        &mut self,
        id: Id,
        (reason, hint): super::admission::Denial,
        effects: &mut Vec<Effect>,
    ) {
        if reason != Reason::OrganisationLimit && self.hand_over(id, effects) {
            return;
        }
        self.fail(id, reason, hint, effects);
    }

    /// Lets a request wait for a target and tries to find one.
    pub(super) fn enqueue(&mut self, id: Id) {
        self.enqueue_quietly(id);
        self.reschedule = true;
    }

    /// Lets a request wait for a target.
    pub(super) fn enqueue_quietly(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Queued;
        self.queue.push(
            &request.arrival.organisation,
            request.class,
            request.order,
            id,
            request.group,
            request.arrived,
        );
        let group = self.table.group_mut(request.group);
        group.waiting[request.class as usize] += 1;
        group.waiting_tokens[request.class as usize] += request.cost.prefill_tokens;
    }

    /// Takes a request out of the queue, if it waits there.
    pub(super) fn dequeue(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (organisation, class) = (&request.arrival.organisation, request.class);
        if !self.queue.remove(organisation, class, request.order) {
            return;
        }
        let group = self.table.group_mut(request.group);
        let waiting = &mut group.waiting[class as usize];
        *waiting = waiting.saturating_sub(1);
        let tokens = &mut group.waiting_tokens[class as usize];
        *tokens = tokens.saturating_sub(request.cost.prefill_tokens);
        if group.reserved.is_some_and(|(_, holder)| holder == id) {
            group.reserved = None;
        }
    }

    /// Finds targets for waiting requests.
    fn schedule(&mut self, effects: &mut Vec<Effect>) {
        if self.now < self.settled_at {
            return;
        }
        if !std::mem::take(&mut self.reschedule) || self.queue.len() == 0 {
            return;
        }
        if self.zone_out() {
            self.evict(effects);
            return;
        }
        let mut blocked = Blocked::new();
        let mut skipped = Vec::new();
        let (members, silent) = self.limit_basis();
        while let Some(id) = self
            .queue
            .next(self.now, &blocked, &skipped, members, silent)
        {
            if self.place(id, effects) {
                continue;
            }
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let alike = request.failed_on.is_empty() && request.ask_after <= self.now;
            if alike && !request.spanning {
                blocked.push((request.group, request.class));
            } else {
                skipped.push(id);
            }
        }
    }

    /// Finds a target for a waiting request; returns false if it has to wait.
    fn place(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if request.spanning {
            return self.place_span(id, effects);
        }
        let cached = self.cached(&request.arrival);
        let aged = self.now.since(request.arrived) >= LONG_WAIT;
        let ask = Ask {
            request: id,
            group: request.group,
            class: request.class,
            prompt_tokens: request.arrival.prompt_tokens,
            kv_tokens: request.cost.kv_tokens,
            excluded: &request.failed_on,
            cached: &cached,
            aged,
            credits: self.has_coordinator() && request.ask_after <= self.now,
        };
        let choice = self.placement.choose(
            self.settings.policy,
            &mut self.table,
            &ask,
            self.now,
            &mut self.rng,
        );
        let Some(choice) = choice else {
            let long = ask.class >= Class::Long && self.settings.policy == Policy::Length;
            if aged && long {
                placement::reserve(&mut self.table, &ask, self.now);
            }
            return false;
        };
        let Some(target) = self.table.get(choice.target) else {
            return false;
        };
        let needed = choice.ttft_us + target.decode_us(request.cost.decode_tokens);
        if let Some(denial) = self.late_by(id, needed) {
            self.deny(id, denial, effects);
            return true;
        }
        if choice.cold {
            self.ask_credit(id, choice, effects);
            return true;
        }
        self.dequeue(id);
        self.count_start(id);
        self.dispatch(id, choice, None, effects);
        true
    }

    /// Sends a request to a target.
    pub(super) fn dispatch(
        &mut self,
        id: Id,
        choice: Choice,
        credit: Option<Held>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = match &credit {
            Some(held) => held.attempt,
            None => request.attempt(),
        };
        self.dispatch_attempt(id, attempt, choice, credit, Parts::new(), effects);
    }

    /// Notes how fast the queue of a request's class moves.
    fn count_start(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = request.class as usize;
        let group = self.table.group_mut(request.group);
        if let Some(last) = group.last_start[class] {
            let interval = self.now.since(last).as_micros() as f64;
            mean(&mut group.interval_us[class], interval);
        }
        group.last_start[class] = (group.waiting[class] > 0).then_some(self.now);
    }

    /// Sends an attempt to a target.
    pub(super) fn dispatch_attempt(
        &mut self,
        id: Id,
        attempt: Attempt,
        choice: Choice,
        credit: Option<Held>,
        parts: Parts,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(target) = self.table.get_mut(choice.target) else {
            return;
        };
        let engine = target.announcement.kind == Kind::Engine;
        target.sent(
            self.now,
            attempt,
            request.class,
            choice.prefill_tokens,
            request.cost.kv_tokens,
        );
        self.queue.start(&request.arrival.organisation);
        self.queue
            .charge(&request.arrival.organisation, request.cost.weight());
        if request.dispatched {
            self.counters.retries += 1;
        } else {
            request.dispatched = true;
            self.budget.first_attempt();
        }
        self.counters.dispatched += 1;
        effects.push(Effect::Dispatch(Dispatch {
            attempt,
            target: Arc::clone(&target.announcement.name),
            address: target.announcement.address,
            priority: match self.settings.policy {
                Policy::Length => aged_priority(request, self.now),
                Policy::RoundRobin | Policy::LeastLoad => 0,
            },
            lease_ms: ENGINE_LEASE_MS,
            fresh_connection: false,
            resume: None,
            parts: parts.iter().copied().collect(),
        }));
        request.stage = Stage::Running(Run {
            attempt,
            engine_attempt: attempt,
            target: choice.target,
            generation: target.generation,
            name: Arc::clone(&target.announcement.name),
            address: target.announcement.address,
            engine,
            prefill_tokens: choice.prefill_tokens,
            sent: self.now,
            ttft_us: choice.ttft_us as u64,
            decode_us: target.decode_us(request.arrival.max_tokens) as u64,
            last_progress: self.now,
            header: false,
            first_token: false,
            healthy: false,
            probed: false,
            silences: 0,
            resumes: 0,
            credit,
            parts,
        });
    }

    fn progress(&mut self, attempt: Attempt, tokens: u32, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return self.late(attempt, effects);
        };
        let class = request.class;
        let Some(run) = request.run_mut().filter(|run| run.attempt == attempt) else {
            return self.late(attempt, effects);
        };
        run.last_progress = now;
        run.header = true;
        if tokens > 0 {
            run.probed = false;
            run.silences = 0;
            run.resumes = 0;
        }
        let first = tokens > 0 && !run.first_token;
        run.first_token |= first;
        let mut judged = first.then(|| run.clone());
        request.started = true;
        request.delivered = request.delivered.saturating_add(tokens);
        let Some(run) = &mut judged else {
            return;
        };
        if let Some(target) = self.table.same_mut(run.target, run.generation) {
            target.prefilled(run.engine_attempt, class, run.prefill_tokens);
        }
        self.judge_first_token(run, class, true, effects);
        let healthy = run.healthy;
        if let Some(run) = self
            .requests
            .get_mut(&attempt.request)
            .and_then(Request::run_mut)
        {
            run.healthy = healthy;
        }
        self.reschedule = true;
    }

    fn ended(&mut self, attempt: Attempt, end: End, effects: &mut Vec<Effect>) {
        let id = attempt.request;
        let current = self.requests.get(&id).and_then(Request::run);
        if current.is_none_or(|run| run.attempt != attempt) {
            self.counters.late_events += 1;
            return;
        }
        let End::Whole {
            cached_tokens,
            generated_tokens,
            ..
        } = end
        else {
            self.attempt_failed(id, end, effects);
            return;
        };
        if let Some(run) = self.release(id, false, effects) {
            self.learn(id, &run, cached_tokens, generated_tokens);
        }
        if let Some(request) = self.remove(id) {
            self.record(&request, Outcome::Answered, effects);
        }
        self.counters.ended(Outcome::Answered);
        effects.push(Effect::Complete(id));
    }

    /// Updates the running means and prefix hints from a whole answer.
    fn learn(&mut self, id: Id, run: &Run, cached_tokens: u64, generated_tokens: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let group = self.table.group_mut(request.group);
        let service = &mut group.service_us[request.class as usize];
        mean(service, self.now.since(run.sent).as_micros() as f64);
        if !run.engine {
            return;
        }
        mean(&mut group.generated_tokens, generated_tokens as f64);
        let prompt = request.arrival.prompt_tokens;
        let expected = prompt.saturating_sub(run.prefill_tokens);
        if cached_tokens < expected / 2 {
            self.cache.forget(&request.arrival.prefix, run.target);
        }
        self.cache
            .learn(&request.arrival.prefix, prompt, run.target, run.generation);
    }

    /// Decides what follows an attempt without a whole answer.
    pub(super) fn attempt_failed(&mut self, id: Id, end: End, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(run) = request.run() else {
            return;
        };
        // A refused resume proves nothing about the attempt that it continues.
        let resumed = run.attempt != run.engine_attempt;
        if let End::NotRun { busy } = end
            && !resumed
        {
            let run = run.clone();
            self.release(id, true, effects);
            if !busy {
                self.doubt(&run, effects);
            }
            self.retry(id, run.target, Reason::FleetBusy, effects);
            return;
        }
        let can_resume = run.engine
            && request.delivered > 0
            && !request.arrival.at_most_once
            && run.resumes < RESUMES_MAX
            && !matches!(end, End::NotRun { .. });
        let same = self
            .table
            .get(run.target)
            .is_some_and(|target| target.generation == run.generation);
        if can_resume && same {
            self.resume(id, effects);
            return;
        }
        let target = run.target;
        self.release(id, true, effects);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.uncertain = true;
        let repeatable = request.arrival.repeatable && !request.arrival.at_most_once;
        if repeatable && request.delivered == 0 {
            self.retry(id, target, Reason::TargetFailed, effects);
        } else {
            self.fail(id, Reason::TargetFailed, None, effects);
        }
    }

    /// Lets a request wait for another target, within the retry budget.
    fn retry(&mut self, id: Id, failed_on: target::Id, reason: Reason, effects: &mut Vec<Effect>) {
        if !self.budget.take() {
            self.counters.retries_over_budget += 1;
            self.fail(id, reason, Some(RETRY_BUDGET_HINT_MS), effects);
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_on.push(failed_on);
        }
        self.enqueue(id);
    }

    /// Continues a stream on a new connection to the same engine.
    pub(super) fn resume(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempt();
        let delivered = request.delivered;
        let priority = match self.settings.policy {
            Policy::Length => aged_priority(request, self.now),
            Policy::RoundRobin | Policy::LeastLoad => 0,
        };
        let Some(run) = request.run_mut() else {
            return;
        };
        run.attempt = attempt;
        run.resumes += 1;
        run.last_progress = self.now;
        self.counters.resumes += 1;
        effects.push(Effect::Dispatch(Dispatch {
            attempt,
            target: Arc::clone(&run.name),
            address: run.address,
            priority,
            lease_ms: ENGINE_LEASE_MS,
            fresh_connection: true,
            resume: Some((run.engine_attempt, delivered)),
            parts: SmallVec::new(),
        }));
    }

    /// Ends the bookkeeping of a running attempt and cancels it at the engine.
    fn release(&mut self, id: Id, cancel: bool, effects: &mut Vec<Effect>) -> Option<Run> {
        let request = self.requests.get_mut(&id)?;
        request.run()?;
        let Stage::Running(mut run) = std::mem::replace(&mut request.stage, Stage::Queued) else {
            return None;
        };
        let class = request.class;
        self.queue.stop(&request.arrival.organisation);
        if let Some(target) = self.table.same_mut(run.target, run.generation) {
            if !run.first_token {
                target.prefilled(run.engine_attempt, class, run.prefill_tokens);
            }
            target.ended(run.engine_attempt, class);
        }
        if cancel {
            // A silent connection to a live target says nothing about the target.
            if !run.first_token && run.silences == 0 {
                self.judge_first_token(&mut run, class, false, effects);
            }
            if run.engine {
                effects.push(Effect::Cancel {
                    address: run.address,
                    attempt: run.engine_attempt,
                });
                let until = self.now + ABANDONED;
                self.abandoned
                    .insert(run.engine_attempt, (until, run.address));
            }
        }
        self.return_credit(&run, effects);
        if !run.parts.is_empty() {
            self.release_parts(run.engine_attempt, &run.parts, effects);
        }
        self.reschedule = true;
        Some(run)
    }

    /// Ends a request without a whole answer, with what is certain about its run.
    pub(super) fn fail(
        &mut self,
        id: Id,
        reason: Reason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut uncertain = request.uncertain;
        match &request.stage {
            Stage::Running(run) => {
                effects.push(Effect::Abort(run.attempt));
                self.release(id, true, effects);
                uncertain = true;
            }
            Stage::HandedOver { .. } => uncertain = true,
            Stage::Credit { .. } => {
                self.give_up_credit(id);
            }
            Stage::Span { .. } | Stage::Reserving { .. } => {
                self.give_up_span(id, effects);
            }
            Stage::Claiming | Stage::Queued => {}
        }
        let started = self
            .requests
            .get(&id)
            .is_some_and(|request| request.started);
        let outcome = match (uncertain, started) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (true, false) => Outcome::Unknown,
        };
        self.finish(id, outcome, reason, retry_after_ms, effects);
    }

    /// Ends a request that has no running attempt.
    pub(super) fn finish(
        &mut self,
        id: Id,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.remove(id) else {
            return;
        };
        self.record(&request, outcome, effects);
        self.refuse(id, outcome, reason, retry_after_ms, effects);
    }

    fn refuse(
        &mut self,
        request: Id,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        self.counters.ended(outcome);
        self.counters.reason(reason);
        effects.push(Effect::Respond(Refusal {
            request,
            outcome,
            reason,
            retry_after_ms,
        }));
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<Request> {
        self.dequeue(id);
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        Some(request)
    }

    /// Ignores an event of an attempt that is no longer wanted and cancels it again.
    fn late(&mut self, attempt: Attempt, effects: &mut Vec<Effect>) {
        self.counters.late_events += 1;
        if let Some(&(_, address)) = self.abandoned.get(&attempt) {
            effects.push(Effect::Abort(attempt));
            effects.push(Effect::Cancel { address, attempt });
        }
    }

    fn expire(&mut self, effects: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.fail(id, Reason::DeadlineExceeded, None, effects);
        }
    }

    fn housekeep(&mut self, effects: &mut Vec<Effect>) {
        self.update_ready(effects);
        self.keep_membership(effects);
        self.keep_lease(effects);
        while self.next_decay <= self.now {
            self.next_decay = self.next_decay + DECAY_INTERVAL;
            self.queue.decay();
        }
        if self.next_check > self.now {
            return;
        }
        self.next_check = self.now + CHECK_INTERVAL;
        for id in self.table.expired(self.now) {
            if let Some(target) = self.table.remove(id) {
                let name = target.announcement.name;
                effects.push(Effect::Notice(Notice::TargetLost(name)));
            }
        }
        let now = self.now;
        let learning = self.members.is_learning(now);
        let changed: Vec<target::Id> = self
            .table
            .iter()
            .filter(|(_, target)| target.conflict.is_some() || target.cold.assumed)
            .map(|(id, _)| id)
            .collect();
        for id in changed {
            let Some(target) = self.table.get_mut(id) else {
                continue;
            };
            if target
                .conflict
                .is_some_and(|(_, at)| now.since(at) > CONFLICT_MEMORY)
            {
                target.conflict = None;
            }
            let announced_warm = target.announcement.state != State::Cold;
            if target.cold.assumed && target.cold.is_cold() && announced_warm && !learning {
                target.cold.turn = 1;
                self.reschedule = true;
            }
        }
        self.abandoned.retain(|_, (until, _)| *until > now);
        for index in 0..self.table.groups().len() {
            placement::size_long_set(&mut self.table, index as u32, now);
        }
        for id in self.queue.all() {
            self.forgive(id);
        }
        self.keep_credits(effects);
        self.keep_spans(effects);
        self.check_silence(effects);
        self.resend_records(effects);
    }

    /// Lets a waiting request use the targets on which it failed, if there are no others.
    fn forgive(&mut self, id: Id) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.failed_on.is_empty() {
            return;
        }
        let mut open = self.table.members(request.group);
        let other =
            open.any(|(id, target)| !request.failed_on.contains(&id) && target.is_open(self.now));
        if !other {
            request.failed_on.clear();
        }
    }
}

/// Returns the engine priority of a request, better by one for each part of its time limit that has
/// passed. Long work that waited only a little stays behind medium work, which it would delay by many
/// times its own prefill.
fn aged_priority(request: &Request, now: Instant) -> u8 {
    let priority = cost::priority(request.class);
    let limit = request.deadline.since(request.arrived).as_micros();
    let waited = now.since(request.arrived).as_micros();
    let parts = (waited * AGEING_PARTS).checked_div(limit).unwrap_or(0);
    let aged = priority.saturating_sub(parts.min(8) as u8);
    aged.max(AGED_PRIORITY).min(priority)
}

fn mean(known: &mut f64, value: f64) {
    *known = if *known > 0.0 {
        *known + MEAN_WEIGHT * (value - *known)
    } else {
        value
    };
}
