//! The reducer of an entry VM: events in, effects out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::inventory::Kind;
use crate::registry::Config;
use crate::request::{Arrival, Attempt, End, Id, Outcome, Reason};
use crate::target;
use crate::target::Announcement;
use crate::time::Instant;

use super::cost::{self, Cost};
use super::counters::Counters;
use super::effect::{Dispatch, Effect, Notice, Refusal};
use super::event::Event;
use super::request::{Request, Run, Stage};
use super::settings::Settings;
use super::target::{Change, LEASE, Table, View};

/// Lease of what an engine holds for an attempt, renewed by reading.
pub(super) const ENGINE_LEASE_MS: u64 = 10_000;

/// Retry hint while no target serves the service.
const NO_TARGET_RETRY_MS: u64 = 2_000;

/// How long an abandoned attempt is remembered, so that its late events are cancelled again.
const ABANDONED: Duration = Duration::from_mins(1);

/// Decides for one entry VM.
#[derive(Debug)]
pub struct Reducer {
    pub(super) settings: Settings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) now: Instant,
    pub(super) config: Option<Arc<Config>>,
    pub(super) table: Table,
    pub(super) requests: BTreeMap<Id, Request>,
    pub(super) deadlines: BTreeSet<(Instant, Id)>,
    pub(super) queue: Vec<Id>,
    pub(super) abandoned: BTreeMap<Attempt, (Instant, SocketAddr)>,
    pub(super) counters: Counters,
    pub(super) ready: bool,
    pub(super) draining: bool,
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
            deadlines: BTreeSet::new(),
            queue: Vec::new(),
            abandoned: BTreeMap::new(),
            counters: Counters::default(),
            ready: false,
            draining: false,
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
        self.table
            .iter()
            .map(|(_, target)| View {
                announcement: target.announcement.clone(),
                cold: target.announcement.state == target::State::Cold,
                out: target.out,
                conflict: target.conflict.is_some(),
                running: target.running,
                zone_running: target.running,
                wait_us: target.wait_us(self.now, crate::request::Class::Short),
            })
            .collect()
    }

    /// Returns the number of requests without a final outcome.
    pub fn live(&self) -> usize {
        self.requests.len()
    }

    /// Takes an event that happened at `now` and appends the effects to carry out.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Announced(announcement) => self.announced(announcement, effects),
            Event::Arrived(arrival) => self.arrived(arrival, effects),
            Event::CallerGone(id) => self.caller_gone(id, effects),
            Event::Started(attempt) => self.progress(attempt, 0, effects),
            Event::Progress { attempt, tokens } => self.progress(attempt, tokens, effects),
            Event::Ended { attempt, end } => self.ended(attempt, end, effects),
            Event::Configured(config) => self.configured(config, effects),
            Event::Drain => {
                self.draining = true;
                self.update_ready(effects);
            }
            Event::Tick
            | Event::HandedOver { .. }
            | Event::Ledger { .. }
            | Event::Probed { .. }
            | Event::Reserved { .. }
            | Event::Received { .. }
            | Event::LocalOrder(_) => {}
        }
        self.expire(effects);
        self.schedule(effects);
    }

    fn update_ready(&mut self, effects: &mut Vec<Effect>) {
        let ready = self.config.is_some() && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            effects.push(Effect::Ready(ready));
        }
    }

    fn configured(&mut self, config: Arc<Config>, effects: &mut Vec<Effect>) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        self.config = Some(Arc::clone(&config));
        effects.push(Effect::InForce(config));
        self.update_ready(effects);
    }

    fn announced(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        let name = Arc::clone(&announcement.name);
        match self
            .table
            .announce(self.now, announcement, self.now + LEASE)
        {
            Change::Stale => self.counters.stale_announcements += 1,
            Change::Conflict { new } => {
                self.counters.conflicts += 1;
                if new {
                    effects.push(Effect::Notice(Notice::TargetConflict(name)));
                }
            }
            Change::Joined(_) => effects.push(Effect::Notice(Notice::TargetJoined(name))),
            Change::Restarted(_) | Change::Renewed { .. } => {}
        }
    }

    fn arrived(&mut self, arrival: Box<Arrival>, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        self.counters.arrived += 1;
        let group = self.table.group(&arrival.service, arrival.model.as_deref());
        let (Some(config), Some(group)) = (&self.config, group) else {
            self.refuse(
                id,
                Outcome::NotRun,
                Reason::NoTarget,
                Some(NO_TARGET_RETRY_MS),
                effects,
            );
            return;
        };
        let deadline = self.now + cost::deadline(&arrival, &config.inventory.rules);
        let cost = Cost::new(&arrival, 0, arrival.max_tokens);
        self.deadlines.insert((deadline, id));
        let request = Request {
            deadline,
            class: cost::class(cost.prefill_tokens),
            cost,
            group,
            stage: Stage::Queued,
            next_attempt: 0,
            may_have_run: false,
            started: false,
            delivered: 0,
            failed_on: SmallVec::new(),
            arrival,
        };
        self.requests.insert(id, request);
        self.queue.push(id);
    }

    /// Dispatches waiting requests to targets with a free slot.
    fn schedule(&mut self, effects: &mut Vec<Effect>) {
        let mut waiting = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            if !self.dispatch(id, effects) {
                waiting.push(id);
            }
        }
        self.queue = waiting;
    }

    /// Dispatches a request to the target with the lowest predicted TTFT, if one has a free slot.
    fn dispatch(&mut self, id: Id, effects: &mut Vec<Effect>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let best = self
            .table
            .members(request.group)
            .iter()
            .filter_map(|&id| Some((id, self.table.get(id)?)))
            .filter(|(id, target)| {
                target.open(self.now)
                    && target.announcement.state == target::State::Warm
                    && target.running < target.announcement.max_running
                    && !request.failed_on.contains(id)
            })
            .min_by_key(|(id, target)| {
                let random = self.rng.next_u32();
                (
                    target.wait_us(self.now, request.class),
                    target.running,
                    random,
                    *id,
                )
            });
        let Some((target_id, _)) = best else {
            return false;
        };
        let Some(target) = self.table.get_mut(target_id) else {
            return false;
        };
        let attempt = request.attempt();
        target.running += 1;
        target.unprefilled[request.class as usize] += request.cost.prefill_tokens;
        let run = Run {
            attempt,
            engine_attempt: attempt,
            target: target_id,
            address: target.announcement.address,
            engine: target.announcement.kind == Kind::Engine,
            first_token: false,
        };
        effects.push(Effect::Dispatch(Dispatch {
            attempt,
            target: Arc::clone(&target.announcement.name),
            address: run.address,
            priority: cost::priority(request.class),
            lease_ms: ENGINE_LEASE_MS,
            fresh_connection: false,
            resume: None,
            parts: SmallVec::new(),
        }));
        request.may_have_run = true;
        request.stage = Stage::Running(run);
        self.counters.dispatched += 1;
        true
    }

    fn progress(&mut self, attempt: Attempt, tokens: u32, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return self.late(attempt, effects);
        };
        let Stage::Running(run) = &mut request.stage else {
            return self.late(attempt, effects);
        };
        if run.attempt != attempt {
            return self.late(attempt, effects);
        }
        request.started = true;
        request.delivered += tokens;
        if tokens > 0 && !run.first_token {
            run.first_token = true;
            if let Some(target) = self.table.get_mut(run.target) {
                let unprefilled = &mut target.unprefilled[request.class as usize];
                *unprefilled = unprefilled.saturating_sub(request.cost.prefill_tokens);
            }
        }
    }

    fn ended(&mut self, attempt: Attempt, end: End, effects: &mut Vec<Effect>) {
        let current = self.requests.get(&attempt.request).is_some_and(
            |request| matches!(&request.stage, Stage::Running(run) if run.attempt == attempt),
        );
        if !current {
            return self.late(attempt, effects);
        }
        let id = attempt.request;
        if let End::Whole { .. } = end {
            self.release(id, false, effects);
            self.remove(id);
            self.counters.ended(Outcome::Answered);
            effects.push(Effect::Complete(id));
            return;
        }
        self.release(id, true, effects);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if matches!(end, End::NotRun { .. }) {
            request.may_have_run = false;
            request.stage = Stage::Queued;
            self.queue.push(id);
        } else {
            self.fail(id, Reason::TargetFailed, None, effects);
        }
    }

    fn caller_gone(&mut self, id: Id, effects: &mut Vec<Effect>) {
        self.abandon(id, effects);
        self.fail(id, Reason::CallerGone, None, effects);
    }

    /// Stops a running attempt whose result is no longer wanted.
    fn abandon(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Stage::Running(run) = &request.stage {
            effects.push(Effect::Abort(run.attempt));
            self.release(id, true, effects);
        }
    }

    /// Ends the bookkeeping of a running attempt and cancels it at the engine.
    fn release(&mut self, id: Id, cancel: bool, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Running(run) = std::mem::replace(&mut request.stage, Stage::Queued) else {
            return;
        };
        if let Some(target) = self.table.get_mut(run.target) {
            target.running = target.running.saturating_sub(1);
            if !run.first_token {
                let unprefilled = &mut target.unprefilled[request.class as usize];
                *unprefilled = unprefilled.saturating_sub(request.cost.prefill_tokens);
            }
        }
        if cancel && run.engine {
            effects.push(Effect::Cancel {
                address: run.address,
                attempt: run.engine_attempt,
            });
            self.abandoned
                .insert(run.attempt, (self.now + ABANDONED, run.address));
        }
    }

    /// Ends a request without a whole answer, with what is certain about its run.
    fn fail(
        &mut self,
        id: Id,
        reason: Reason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.remove(id) else {
            return;
        };
        let outcome = if !request.may_have_run {
            Outcome::NotRun
        } else if request.started {
            Outcome::Failed
        } else {
            Outcome::Unknown
        };
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

    fn remove(&mut self, id: Id) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        self.queue.retain(|&waiting| waiting != id);
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
            self.abandon(id, effects);
            self.fail(id, Reason::DeadlineExceeded, None, effects);
        }
        for id in self.table.expired(self.now) {
            if let Some(target) = self.table.remove(id) {
                let name = target.announcement.name;
                effects.push(Effect::Notice(Notice::TargetLost(name)));
            }
        }
        self.abandoned.retain(|_, (until, _)| *until > self.now);
    }
}
