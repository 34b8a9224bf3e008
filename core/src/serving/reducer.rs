//! The reducer of an entry VM: events in, effects out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use smallvec::SmallVec;

use crate::registry::Config;
use crate::request::{Arrival, Attempt, Class, Id, Outcome, Reason};
use crate::target;
use crate::target::{Announcement, State};
use crate::time::Instant;
use crate::vm;

use super::claim::Record;
use super::coordinator::Lease;
use super::cost::{self, Cost};
use super::counters::Counters;
use super::credit::Accounts;
use super::effect::{Effect, Notice, Refusal};
use super::event::Event;
use super::fairness::{DECAY_INTERVAL, Queue};
use super::handover::Zones;
use super::membership::Members;
use super::placement::{self, Placement};
use super::prefix::Hints;
use super::quarantine::Quarantine;
use super::request::{Request, Stage};
use super::retry::Budget;
use super::settings::Settings;
use super::span::Spans;
use super::target::{ANNOUNCEMENT_LEASE, Change, TOKENS_MAX, Table, View};

/// Lease of the resources that an engine holds for an attempt. Reading the stream renews it.
pub(super) const ENGINE_LEASE_MS: u64 = 10_000;

/// How long an abandoned attempt is remembered. Its late events are answered with another cancel.
pub(super) const ABANDONED_RETENTION: Duration = Duration::from_mins(1);

/// Interval of periodic checks that do not have to run on every tick.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Wait after which a long request gets a target reserved and may use targets outside the long set.
pub(super) const LONG_WAIT: Duration = Duration::from_secs(10);

/// Time since the last announcement from the other address after which a name conflict is cleared.
const CONFLICT_RETENTION: Duration = Duration::from_secs(10);

/// Delay from process start to readiness. Targets announce themselves every 500 ms and
/// announcements are relayed with the next heartbeat, so by then a restarted process knows all
/// targets of its zone.
const READY_DELAY: Duration = Duration::from_secs(1);

/// Gap between two events from which the process is considered to have been paused. Ticks normally
/// arrive every 20 ms.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Time after a pause during which nothing is dispatched. It covers two heartbeats and a round
/// trip, so queued messages are read and a newer configuration version is fetched first.
const PAUSE_RECOVERY: Duration = Duration::from_millis(600);

/// The decision logic of one entry VM. It does no I/O: events go in and effects come out.
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
    /// Whether something changed that may let a waiting request be placed.
    pub(super) reschedule: bool,
    /// When dispatching resumes after a pause of the process.
    pub(super) dispatch_resumes_at: Instant,
    pub(super) members: Members,
    pub(super) lease: Lease,
    pub(super) credit_accounts: Accounts,
    pub(super) spans: Spans,
    /// Recently lost VMs, with the time at which their credits and engine leases have expired.
    pub(super) departed: BTreeMap<vm::Instance, Instant>,
    /// Highest epoch of a coordinator to which this VM has reported its credits.
    pub(super) reported_epoch: u64,
    pub(super) next_holdings: Instant,
    pub(super) placement: Placement,
    pub(super) prefix_hints: Hints,
    pub(super) retry_budget: Budget,
    pub(super) quarantine: Quarantine,
    deadlines: BTreeSet<(Instant, Id)>,
    /// Cancelled attempts, with the time until which they are remembered and the engine's address.
    pub(super) abandoned: BTreeMap<Attempt, (Instant, SocketAddr)>,
    ready: bool,
    started_at: Instant,
    /// Sequence number of the latest arrival.
    order: u64,
    next_check: Instant,
    next_decay: Instant,
}

impl Reducer {
    /// Creates the reducer of a process that starts at `now`. `seed` initialises its random
    /// choices.
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
            dispatch_resumes_at: now,
            reschedule: false,
            members: Members::new(now),
            lease: Lease::new(now),
            credit_accounts: Accounts::default(),
            spans: Spans::default(),
            departed: BTreeMap::new(),
            reported_epoch: 0,
            next_holdings: now,
            placement: Placement::default(),
            prefix_hints: Hints::default(),
            retry_budget: Budget::new(),
            quarantine: Quarantine::default(),
            deadlines: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            ready: false,
            started_at: now,
            order: 0,
            next_check: now,
            next_decay: now,
        }
    }

    /// Returns the counters, which start at zero with the process.
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

    /// Returns the known targets of the zone, for status and metrics.
    pub fn targets(&self) -> Vec<View> {
        let all = self.table.iter();
        all.map(|(_, target)| target.view(self.now)).collect()
    }

    /// Returns the number of targets of the zone.
    pub fn target_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of requests without a final outcome.
    pub fn live_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a target.
    pub const fn waiting_requests(&self) -> usize {
        self.queue.len()
    }

    /// Handles an event that happened at `now` and appends the effects to carry out, in order.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        let now = self.now.max(now);
        if now.since(self.now) >= PAUSE_MIN {
            // Messages that were queued during the pause may be outdated. Newer ones follow them in
            // the queue.
            self.dispatch_resumes_at = now + PAUSE_RECOVERY;
            self.table.mark_all_unconfirmed(self.dispatch_resumes_at);
            self.reschedule = true;
        }
        self.now = now;
        // Deadlines and leases are checked first, so that no decision uses state that expired
        // during a pause of the process.
        self.expire_deadlines(effects);
        match event {
            Event::Tick => self.reschedule = true,
            Event::Announced(announcement) => self.handle_announced(announcement, effects),
            Event::Arrived(arrival) => self.handle_arrived(arrival, effects),
            Event::CallerGone(id) => self.fail(id, Reason::CallerGone, None, effects),
            Event::Started(attempt) => self.handle_progress(attempt, 0, effects),
            Event::Progress { attempt, tokens } => self.handle_progress(attempt, tokens, effects),
            Event::Ended { attempt, end } => self.handle_ended(attempt, end, effects),
            Event::HandedOver { request, end } => self.handle_handed_over(request, end, effects),
            Event::Ledger { request, answer } => {
                self.handle_ledger_answer(request, answer, effects);
            }
            Event::Probed { target, alive } => self.handle_probed(&target, alive, effects),
            Event::Configured(config) => self.apply_config(config, effects),
            Event::Drain => self.begin_drain(effects),
            Event::Reserved { attempt, all } => self.handle_reserved(attempt, all, effects),
            Event::Received { from, message } => self.handle_message(&from, message, effects),
            Event::LocalOrder(order) => self.apply_local_order(order),
        }
        self.run_periodic_tasks(effects);
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

    pub(super) fn apply_config(&mut self, config: Arc<Config>, effects: &mut Vec<Effect>) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        self.queue.configure(&config.inventory.organisations);
        self.retry_budget
            .configure(config.inventory.rules.retry_budget_percent);
        self.config = Some(Arc::clone(&config));
        self.update_availability();
        self.update_voters();
        effects.push(Effect::InForce(config));
        self.reschedule = true;
        self.update_ready(effects);
    }

    /// Returns this VM's share of an organisation's concurrency limit.
    pub(super) fn limit(&self, organisation: &str) -> u32 {
        let (members, any_suspect) = self.limit_basis();
        self.queue.limit(organisation, members, any_suspect)
    }

    fn handle_announced(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        self.apply_announcement(announcement, self.now + ANNOUNCEMENT_LEASE, true, effects);
    }

    /// Applies an announcement received from the target itself or relayed by a member of the zone.
    pub(super) fn apply_announcement(
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
        let (state, incarnation) = (announcement.state, announcement.incarnation);
        let change = self.table.announce(self.now, announcement, lease_until);
        let (id, changed) = match change {
            Change::Stale => {
                // Relayed duplicates are normal: a VM receives each announcement directly and from
                // every member that relays it. Only direct ones are counted.
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
                self.init_joined_target(id, &name);
                effects.push(Effect::Notice(Notice::TargetJoined(name)));
                (id, true)
            }
            Change::Restarted(id) => {
                effects.push(Effect::Notice(Notice::TargetCold(name)));
                self.fail_lost_runs(id, effects);
                (id, true)
            }
            Change::Renewed { id, before } => {
                self.withdraw_crash(&name, incarnation, effects);
                if before != state {
                    match (before, state) {
                        (_, State::Cold) => self.mark_cold(id, effects),
                        (State::Cold, State::Warm) => self.mark_warm(id, effects),
                        _ => {}
                    }
                }
                (id, before != state)
            }
        };
        self.reschedule = true;
        if direct {
            self.relay_announcement(id, changed, effects);
        }
    }

    fn init_joined_target(&mut self, id: target::Id, name: &Arc<str>) {
        let out = self
            .config
            .as_ref()
            .is_some_and(|config| config.targets_out.contains(name));
        // Shortly after process start, other members may know that the target is cold although it
        // announces itself as warm. Treat it as cold until they have reported.
        let alone = self.voters().len() <= 1 && self.settings.seeds.is_empty();
        let assume_cold = self.members.is_syncing_cold_states(self.now) && !alone;
        if let Some(target) = self.table.get_mut(id) {
            target.out = out;
            if assume_cold {
                target.cold.version = 0;
            }
        }
    }

    fn handle_arrived(&mut self, mut arrival: Box<Arrival>, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        arrival.prompt_tokens = arrival.prompt_tokens.min(TOKENS_MAX);
        arrival.max_tokens = arrival.max_tokens.min(TOKENS_MAX);
        if self.requests.contains_key(&id) {
            return;
        }
        self.counters.arrived += 1;
        let Some(config) = self.config.clone() else {
            self.respond(id, Outcome::NotRun, Reason::NoTarget, Some(1_000), effects);
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
            self.respond(id, Outcome::NotRun, Reason::NoTarget, None, effects);
            return;
        };
        let deadline = self.now + cost::deadline(&arrival, &config.inventory.rules);
        let cached = self.cached_targets(&arrival);
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
            may_have_run: false,
            started: false,
            delivered: 0,
            failed_on: SmallVec::new(),
            credit_request_from: self.now,
            refused_by: SmallVec::new(),
            claimed: false,
            spanning: false,
            dispatched: false,
            arrival,
        };
        self.requests.insert(id, request);
        if self.refuse_quarantined(id, effects) {
            return;
        }
        // Most requests find a target at once. The prediction over all targets is computed only for
        // the others and before a claim.
        let group = self.table.group(group);
        let queue_empty = group.waiting == [0; 4];
        let denial = match self.check_eligibility(id) {
            None if !queue_empty => self.check_admission(id),
            None if self
                .requests
                .get(&id)
                .is_some_and(|entry| entry.arrival.at_most_once) =>
            {
                self.check_admission(id)
            }
            denial => denial,
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
        if queue_empty
            && waits
            && let Some(denial) = self.check_admission(id)
        {
            self.deny(id, denial, effects);
        }
    }

    /// Ends a request that has no complete answer. The outcome tells what is known about its
    /// execution.
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
        let mut may_have_run = request.may_have_run;
        match &request.stage {
            Stage::Running(run) => {
                effects.push(Effect::Abort(run.attempt));
                self.release(id, true, effects);
                may_have_run = true;
            }
            Stage::HandedOver { .. } => may_have_run = true,
            Stage::Credit { .. } => {
                self.cancel_credit_request(id);
            }
            Stage::Span { .. } | Stage::Reserving { .. } => {
                self.cancel_span(id, effects);
            }
            Stage::Claiming | Stage::Queued => {}
        }
        let started = self
            .requests
            .get(&id)
            .is_some_and(|request| request.started);
        let outcome = match (may_have_run, started) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (true, false) => Outcome::Unknown,
        };
        self.finish(id, outcome, reason, retry_after_ms, effects);
    }

    /// Ends a request that has no running attempt, with the given outcome.
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
        self.record_outcome(&request, outcome, effects);
        self.respond(id, outcome, reason, retry_after_ms, effects);
    }

    fn respond(
        &mut self,
        request: Id,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        self.counters.count_outcome(outcome);
        self.counters.count_reason(reason);
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

    fn expire_deadlines(&mut self, effects: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.fail(id, Reason::DeadlineExceeded, None, effects);
        }
    }

    fn run_periodic_tasks(&mut self, effects: &mut Vec<Effect>) {
        self.update_ready(effects);
        self.maintain_membership(effects);
        self.maintain_lease(effects);
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
        let syncing = self.members.is_syncing_cold_states(now);
        let unsettled: Vec<target::Id> = self
            .table
            .iter()
            .filter(|(_, target)| target.conflict.is_some() || target.cold.assumed)
            .map(|(id, _)| id)
            .collect();
        for id in unsettled {
            let Some(target) = self.table.get_mut(id) else {
                continue;
            };
            if target
                .conflict
                .is_some_and(|(_, at)| now.since(at) > CONFLICT_RETENTION)
            {
                target.conflict = None;
            }
            let announced_warm = target.announcement.state != State::Cold;
            if target.cold.assumed && target.cold.is_cold() && announced_warm && !syncing {
                target.cold.version = 1;
                self.reschedule = true;
            }
        }
        self.abandoned.retain(|_, (until, _)| *until > now);
        for index in 0..self.table.groups().len() {
            placement::resize_long_set(&mut self.table, index as u32, now);
        }
        for id in self.queue.waiting_ids() {
            self.clear_failed_targets(id);
        }
        self.maintain_quarantine(effects);
        self.maintain_credits(effects);
        self.maintain_spans(effects);
        self.probe_stalled_attempts(effects);
        self.resend_records(effects);
    }
}
