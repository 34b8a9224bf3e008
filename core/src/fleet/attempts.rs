//! Attempts of requests at targets: where each one goes, and what follows from its end.

use std::sync::Arc;
use std::time::Duration;

use super::directory::{LEASE, Record};
use super::load::Piece;
use super::pending::{Pending, Running, duration, gap, stall_timeout};
use super::placement::Candidate;
use super::queue::HARM;
use super::{
    Choice, Dispatch, Effect, Id, Load, Outcome, Placement, Reason, Reducer, Refusal, RetryPolicy,
    SlidingWindow, Target, Tokens,
};
use crate::time::Instant;

/// Connections that may fail before any byte is sent, for one request.
const MAX_UNREACHABLE: u32 = 5;

/// Share of a limit on the whole fleet that the VMs use together; the rest covers VMs that are not
/// known to each other yet.
const BUDGET_SHARE: f64 = 0.8;

/// Pause of a target that has no room.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Part of the time left that a prediction may use; a request that needs more is refused at once.
const IN_TIME: f64 = 0.9;

/// Retry hint while a service has no target.
pub(super) const NO_TARGET_RETRY: Duration = Duration::from_millis(300);

/// Retry hint while the fleet is busy with other long prompts. A burst of them takes seconds to be read.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(2_500);

/// Retry hint for short prompts while no slot is free. An answer takes about two seconds.
pub(super) const FULL_RETRY: Duration = Duration::from_secs(1);

/// Retry hint of a VM that stops: another one takes the request at once.
const LEAVING_RETRY: Duration = Duration::from_millis(50);

impl Reducer {
    /// Returns the targets that may run a request.
    pub(super) fn candidates(&mut self, now: Instant, pending: &Pending) -> Vec<Candidate> {
        let cold_limit = (pending.service.cold_per_s * self.settings.cold_factor
            + self.settings.cold_slack)
            * BUDGET_SHARE
            / self.peers as f64;
        let mut candidates = Vec::new();
        for (target, record) in self.directory.records() {
            if !self.may_run(now, pending, target, record) {
                continue;
            }
            let announcement = &record.announcement;
            let cold = now < record.cold_until;
            if cold {
                let budget = self.cold.get_mut(&target);
                let sent = budget.map_or(0, |budget| budget.count(now));
                if !within_part(cold_limit, sent, now, self.spread ^ record.order) {
                    continue;
                }
            }
            let health = self.health.get(&target).copied().unwrap_or_default();
            candidates.push(Candidate {
                target,
                address: announcement.address,
                order: record.order,
                local: announcement.zone == self.settings.zone,
                load: self.tally.load(record.order, now),
                slots: announcement.slots,
                avoided: health.avoided(now, record.heard),
                cold,
                pace: health.pace(),
                spread: xxhash_rust::xxh3::xxh3_64_with_seed(
                    &record.order.to_le_bytes(),
                    self.spread,
                ),
            });
        }
        candidates
    }

    /// Returns whether a target takes work for a request, now or after its cold start.
    pub(super) fn may_run(
        &self,
        now: Instant,
        pending: &Pending,
        target: Target,
        record: &Record,
    ) -> bool {
        let announcement = &record.announcement;
        record.usable(now)
            && announcement.service == pending.service.name
            && !self.zones_out.contains(&announcement.zone)
            && !pending.tried.contains(&target)
    }

    /// Sends a request to a target, puts it in line, or refuses it.
    pub(super) fn place(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        let left = pending.deadline.since(now);
        if left.is_zero() {
            self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
            return;
        }
        if self.ask(now, id, &pending, effects) {
            return;
        }
        let candidates = self.candidates(now, &pending);
        let placement = Placement {
            objective: pending
                .route
                .objective
                .saturating_sub(now.since(pending.arrived)),
            gap: gap(&pending.service),
        };
        let tokens = pending.tokens();
        let choice = match &pending.service.engine {
            Some(engine) => placement.generation(engine, tokens, &candidates),
            None => Placement::plain(&candidates),
        };
        if let (Some(_), Some(choice)) = (self.leaving, &choice) {
            let needed = duration(&pending.service, tokens, choice);
            if self.leaves_before(now, id, needed, effects) {
                return;
            }
        }
        if let (Some(engine), Some(choice)) = (&pending.service.engine, &choice)
            && choice.exclusive
        {
            let slack = placement.slack(engine, tokens, &candidates);
            let late = slack.is_zero();
            if late && !Placement::pays(engine, tokens, choice, &candidates) {
                self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
            if self.waits(now, id, choice, slack) {
                self.queue(id, effects);
                return;
            }
            if late && choice.cost > HARM {
                self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && !choice.idle
        {
            self.wait_for_slot(now, id, effects);
            return;
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && pending.service.is_engine()
            && !self.take_slot(now, id, &candidates)
        {
            self.wait_for_slot(now, id, effects);
            return;
        }
        match choice {
            Some(choice) if choice.predicted.as_secs_f64() <= left.as_secs_f64() * IN_TIME => {
                self.dispatch(now, id, &choice, tokens, effects);
            }
            Some(choice) => {
                let excess = choice.predicted.saturating_sub(left.mul_f64(IN_TIME));
                self.refuse(now, id, Reason::Busy, Some(excess), effects);
            }
            // Targets are there, but their memory does not take the prompt.
            None if !candidates.is_empty() => {
                self.refuse(now, id, Reason::Busy, Some(NO_TARGET_RETRY), effects);
            }
            None if self.in_line(now, &pending) => self.queue(id, effects),
            None => self.refuse(now, id, Reason::NoTarget, Some(NO_TARGET_RETRY), effects),
        }
    }

    /// Refuses a request that takes at least `needed` if this VM stops before; returns whether it did.
    pub(super) fn leaves_before(
        &mut self,
        now: Instant,
        id: Id,
        needed: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let late = self.leaving.is_some_and(|until| now + needed > until);
        if late {
            self.withdraw(id, effects);
            self.refuse(now, id, Reason::ShuttingDown, Some(LEAVING_RETRY), effects);
        }
        late
    }

    /// Counts the work of a request at its targets.
    pub(super) fn count_work(&mut self, now: Instant, id: Id, choice: &Choice, tokens: Tokens) {
        let record = self.directory.record(choice.target);
        let (Some(record), Some(pending)) = (record, self.pending.get(&id)) else {
            return;
        };
        let engine = pending.service.engine.as_ref();
        let read_at = now + choice.predicted;
        let load = Load {
            running: 1,
            exclusive: u16::from(choice.exclusive),
            prefilling: u16::from(choice.exclusive),
            prefill_ms: choice.prefill_ms as u32,
            kv_tokens: engine.map_or(0, |_| tokens.total() as u32),
            gap_ms: match (choice.exclusive, pending.route.gap) {
                (true, Some(gap)) => gap.as_millis().min(u128::from(u16::MAX)) as u16,
                _ => 0,
            },
        };
        let piece = |load, helps| Piece {
            load,
            helps,
            read_at,
        };
        let held: u64 = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let own = Load {
            kv_tokens: load.kv_tokens.saturating_sub(held as u32),
            ..load
        };
        self.tally.add(record.order, id, piece(own, false));
        for helper in &choice.helpers {
            if let Some(record) = self.directory.record(helper.target) {
                let load = Load {
                    running: 0,
                    exclusive: 0,
                    prefilling: 1,
                    prefill_ms: load.prefill_ms,
                    kv_tokens: helper.held_tokens as u32,
                    gap_ms: 0,
                };
                self.tally
                    .add(record.order, id, piece(load, helper.held_tokens == 0));
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        id: Id,
        choice: &Choice,
        tokens: Tokens,
        effects: &mut Vec<Effect>,
    ) {
        if self.grant(now, id, choice, tokens, effects) {
            return;
        }
        let Some(record) = self.directory.record(choice.target) else {
            return;
        };
        let (order, name) = (record.order, Arc::clone(&record.announcement.name));
        let before = self.tally.load(order, now);
        let (address, cold) = (record.announcement.address, now < record.cold_until);
        if !self.pending.contains_key(&id) {
            return;
        }
        self.count_work(now, id, choice, tokens);
        if cold {
            let budget = self.cold.entry(choice.target);
            let budget = budget.or_insert_with(|| SlidingWindow::new(Duration::from_secs(1)));
            budget.add(now);
        }
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.exclusive = choice.exclusive;
        pending.urgent_until = None;
        pending.attempts += 1;
        pending.tried.push(choice.target);
        pending.running = Some(Running {
            target: choice.target,
            sent_at: now,
            predicted: choice.predicted,
            started: false,
        });
        self.share_due = true;
        if choice.exclusive {
            // Peers must see at once that these targets are taken.
            self.shared_at = Instant::default();
        }
        let rank = pending
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        effects.push(Effect::Dispatch(
            id,
            Box::new(Dispatch {
                target: choice.target,
                name,
                address,
                load: before,
                helpers: choice.helpers.clone(),
                organisation: pending.organisation.as_ref().map(|o| Arc::clone(&o.name)),
                priority: rank.unwrap_or(pending.route.priority).min(9),
                reservation: format!(
                    "{}-{}-{}",
                    self.settings.vm, pending.request.request_id, pending.attempts
                )
                .into(),
                attempt: pending.attempts,
                time_left: pending.deadline.since(now),
                predicted: choice.predicted,
                stall_timeout: stall_timeout(&pending.route),
                retry_policy: pending.route.retry_policy,
                retryable: pending.route.retry_policy != RetryPolicy::AtMostOnce
                    && pending.attempts < pending.route.max_attempts,
                stream: pending.route.stream,
                route: Arc::clone(&pending.route.name),
                planner: pending.planner.clone(),
            }),
        ));
    }

    pub(super) fn started(&mut self, now: Instant, id: Id) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Some(running) = &mut pending.running else {
            return;
        };
        if running.started {
            return;
        }
        running.started = true;
        if pending.service.engine.is_some() {
            let taken = now.since(running.sent_at);
            let health = self.health.entry(running.target).or_default();
            health.first_event(taken, running.predicted);
            self.tally.read(id, now);
            if pending.exclusive {
                self.share_due = true;
                // Peers must see at once that the targets that helped are free.
                self.shared_at = Instant::default();
            }
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        id: Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.withdraw(id, effects);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.local = false;
        pending.planner = None;
        let running = pending.running.take();
        self.tally.remove(id);
        self.share_due = true;
        let Some(running) = running else {
            self.pending.remove(&id);
            return;
        };
        let health = self.health.entry(running.target).or_default();
        let repeat = pending.route.retry_policy;
        let again = match outcome {
            Outcome::Served => {
                health.succeed();
                None
            }
            Outcome::CallerGone | Outcome::TimedOut => None,
            Outcome::Unreachable => {
                health.lose(now);
                health.unreachable(now);
                pending.attempts -= 1;
                pending.unreachable += 1;
                Some(pending.unreachable < MAX_UNREACHABLE)
            }
            Outcome::Full => {
                health.pause(now + FULL_PAUSE);
                Some(true)
            }
            Outcome::WrongTarget => {
                // The announced target is not there any more.
                self.directory.suspect(running.target, now - LEASE);
                Some(true)
            }
            Outcome::Error => {
                health.fail();
                pending.may_have_run = true;
                Some(repeat != RetryPolicy::AtMostOnce)
            }
            Outcome::Broken { delivered } => {
                health.lose(now);
                pending.may_have_run = true;
                Some(match repeat {
                    RetryPolicy::Idempotent => !delivered,
                    RetryPolicy::Resumable => true,
                    RetryPolicy::AtMostOnce => false,
                })
            }
        };
        let Some(again) = again else {
            self.pending.remove(&id);
            return;
        };
        let sent = outcome != Outcome::Unreachable;
        let attempts_left = pending.attempts < pending.route.max_attempts.max(1);
        let time_left = !pending.deadline.since(now).is_zero();
        let service = Arc::clone(&pending.service.name);
        let reason = if pending.may_have_run {
            Reason::Failed
        } else {
            Reason::NotRun
        };
        if again && attempts_left && time_left && (!sent || self.take_repeat(now, &service)) {
            self.place(now, id, effects);
        } else {
            self.refuse(now, id, reason, Some(NO_TARGET_RETRY), effects);
        }
    }

    /// Takes a repeat from the budget that all VMs share.
    pub(super) fn take_repeat(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let settings = &self.settings;
        let Some(windows) = self.windows.get_mut(service) else {
            return false;
        };
        let requests = windows.requests.count(now) as f64;
        let limit = (requests * settings.retry_ratio + settings.retry_slack / self.peers as f64)
            * BUDGET_SHARE;
        windows.repeats.take(now, limit)
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        if self.deny(now, id, reason, effects) {
            return;
        }
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let not_run = !pending.may_have_run;
        let reason = if not_run { reason } else { Reason::Failed };
        effects.push(Effect::Refuse(
            id,
            Refusal {
                reason,
                not_run,
                retry_after: retry_after.filter(|_| not_run),
            },
        ));
    }
}

/// Returns whether one more request keeps to this VM's part of a limit on requests in a second. A part below
/// one is used in one of several seconds, which differs from VM to VM.
fn within_part(part: f64, sent: usize, now: Instant, spread: u64) -> bool {
    if part >= 1.0 {
        return (sent as f64) < part.floor();
    }
    // Any second touches two of the seconds in which VMs take turns.
    let period = (2.0 / part.max(f64::MIN_POSITIVE)).ceil().min(1e6) as u64;
    let second = now.as_micros() / 1_000_000;
    sent == 0 && second.wrapping_add(spread).is_multiple_of(period)
}
