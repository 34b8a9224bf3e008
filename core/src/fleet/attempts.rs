//! Attempts of requests: dispatches each request to targets, and decides what follows when an
//! attempt ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::directory::{ANNOUNCEMENT_LEASE, Record};
use super::limit::NamedLimits;
use super::load::Work;
use super::pending::{Pending, Running, gap, max_duration, stall_timeout};
use super::placement::Candidate;
use super::queue::MAX_COST;
use super::{
    Choice, Dispatch, Division, Effect, Id, Load, Outcome, Placement, Reason, Reducer, Refusal,
    RetryPolicy, SlidingWindow, Target, Tokens,
};
use crate::time::Instant;

/// Failed connections allowed for one request. No byte was sent on them, so they do not count as
/// attempts.
const MAX_UNREACHABLE: u32 = 5;

/// Fraction of a fleet-wide limit that the known VMs use together. The rest covers VMs that do not
/// know of each other yet.
const BUDGET_FRACTION: f64 = 0.8;

/// How long a target that reported no room gets no further work while others can take it.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Fraction of the remaining time that the predicted time to the first event may use. A request
/// that needs more is refused at once.
const TIME_LEFT_FRACTION: f64 = 0.9;

/// Retry hint while a service has no target, while the targets' free KV cache cannot hold the prompt,
/// and after a failed attempt that is not retried.
pub(super) const NO_TARGET_RETRY: Duration = Duration::from_millis(300);

/// Retry hint while the fleet is busy with other long prompts. The prefill of a burst of them takes
/// seconds.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(2_500);

/// Retry hint for short prompts while no slot is free. An answer takes about two seconds.
pub(super) const FULL_RETRY: Duration = Duration::from_secs(1);

/// Retry hint while this VM shuts down. It is short because another VM can take the request at
/// once.
pub(super) const SHUTDOWN_RETRY: Duration = Duration::from_millis(50);

/// This VM's shares of the limits on a target.
struct Shares {
    /// Requests a second during its cold start.
    cold_per_s: f64,
    /// Fraction of the limit that it names itself.
    named_fraction: f64,
    vm_hash: u64,
}

impl Shares {
    /// Returns whether one more request to a target fits.
    fn have_room(
        &self,
        now: Instant,
        target: Target,
        name_hash: u64,
        cold: bool,
        named_limits: &mut NamedLimits,
        cold_windows: &mut HashMap<Target, SlidingWindow>,
    ) -> bool {
        let offset = self.vm_hash ^ name_hash;
        if !named_limits.has_room(now, name_hash, self.named_fraction, offset) {
            return false;
        }
        let sent = |windows: &mut HashMap<Target, SlidingWindow>| {
            windows
                .get_mut(&target)
                .map_or(0, |window| window.count(now))
        };
        !cold || within_share(self.cold_per_s, sent(cold_windows), now, offset)
    }
}

impl Reducer {
    /// Returns the targets that may run a request now.
    pub(super) fn candidates(&mut self, now: Instant, pending: &Pending) -> Vec<Candidate> {
        let shares = self.shares(pending.service.cold_per_s);
        let holdings = self.holdings(now, pending);
        let mut candidates = Vec::new();
        for (target, record) in self.directory.records() {
            if !self.may_run(now, pending, target, record) {
                continue;
            }
            // The planner does not know the shares of the VMs that ask it, so it leaves limited targets to them.
            if pending.origin.is_some() && self.named_limits.rate(record.name_hash).is_some() {
                continue;
            }
            let announcement = &record.announcement;
            let cold = now < record.cold_until;
            let (named, windows) = (&mut self.named_limits, &mut self.cold_windows);
            if !shares.have_room(now, target, record.name_hash, cold, named, windows) {
                continue;
            }
            let avoided = self.is_avoided(now, &pending.service, target, record);
            let slowdown = self.slowdown(now, &pending.service, target, record.name_hash);
            let load = self.loads.load(record.name_hash, now);
            let saving = holdings
                .as_ref()
                .map(|holdings| holdings.saving(record.name_hash, load, announcement.slots));
            candidates.push(Candidate {
                target,
                address: announcement.address,
                name_hash: record.name_hash,
                local: announcement.zone == self.settings.zone,
                load,
                saving: saving.unwrap_or_default(),
                slots: announcement.slots,
                avoided,
                cold,
                slowdown,
                pace: if pending.service.policy.has_far_zones {
                    slowdown
                } else {
                    1.0
                },
                tie_break: xxhash_rust::xxh3::xxh3_64_with_seed(
                    &record.name_hash.to_le_bytes(),
                    self.vm_hash,
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
        self.takes_work(now, pending, record) && !pending.tried.contains(&target)
    }

    /// Returns whether a target takes work for a request, whether or not it had the request before.
    pub(super) fn takes_work(&self, now: Instant, pending: &Pending, record: &Record) -> bool {
        let announcement = &record.announcement;
        record.usable(now)
            && announcement.service == pending.service.name
            && !self.zones_out.contains(&announcement.zone)
    }

    /// Returns this VM's shares of the limits on targets of a service.
    fn shares(&self, cold_per_s: f64) -> Shares {
        let fraction = BUDGET_FRACTION / self.topology.vm_count() as f64;
        Shares {
            cold_per_s: (cold_per_s * self.settings.cold_factor + self.settings.cold_slack)
                * fraction,
            named_fraction: fraction,
            vm_hash: self.vm_hash,
        }
    }

    /// Returns whether one more request to a target stays within this VM's shares of its limits.
    pub(super) fn has_room_at(
        &mut self,
        now: Instant,
        target: Target,
        name_hash: u64,
        cold: bool,
        cold_per_s: f64,
    ) -> bool {
        let shares = self.shares(cold_per_s);
        let (named, windows) = (&mut self.named_limits, &mut self.cold_windows);
        shares.have_room(now, target, name_hash, cold, named, windows)
    }

    /// Counts a request that is sent to a target.
    pub(super) fn record_sent(&mut self, now: Instant, target: Target, name_hash: u64, cold: bool) {
        if cold {
            let window = self.cold_windows.entry(target);
            let window = window.or_insert_with(|| SlidingWindow::new(Duration::from_secs(1)));
            window.add(now);
        }
        self.named_limits.record_sent(now, name_hash);
    }

    /// Dispatches a request to a target, queues it, or refuses it.
    pub(super) fn place(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        let left = pending.deadline.since(now);
        if left.is_zero() {
            self.refuse(now, id, Reason::DeadlineExceeded, None, effects);
            return;
        }
        if self.refuse_quarantined(now, id, effects) {
            return;
        }
        if self.dispatch_to_holder(now, id, &pending, effects) {
            return;
        }
        if self.query_planner(now, id, &pending, effects) {
            return;
        }
        let candidates = self.candidates(now, &pending);
        let placement = Placement {
            objective: pending
                .route
                .objective
                .saturating_sub(now.since(pending.arrived)),
            gap: gap(&pending.service),
            division: Division::new(pending.service.policy),
        };
        let tokens = pending.tokens();
        let choice = match &pending.service.engine {
            Some(engine) => placement.place_generation(engine, tokens, &candidates),
            None => Placement::place_plain(&candidates),
        };
        // An answer that has begun is cut off if it is refused, so it neither waits nor gives way.
        let resumes = pending.may_have_run;
        if let (Some(_), Some(choice)) = (self.shutdown_at, &choice)
            && !resumes
        {
            let needed = max_duration(&pending.service, tokens, choice);
            if self.refuse_before_shutdown(now, id, needed, effects) {
                return;
            }
        }
        if let (Some(engine), Some(choice)) = (&pending.service.engine, &choice)
            && choice.exclusive
            && !resumes
        {
            let slack = placement.slack(engine, tokens, &candidates);
            let late = slack.is_zero();
            if late && !Placement::is_worthwhile(engine, tokens, choice, &candidates) {
                self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
            if self.must_wait(now, id, choice, slack) {
                self.enqueue(id, effects);
                return;
            }
            if late && choice.cost > MAX_COST {
                self.refuse(now, id, Reason::Busy, Some(BUSY_RETRY), effects);
                return;
            }
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && !choice.idle
            && !resumes
        {
            self.wait_for_slot(now, id, effects);
            return;
        }
        if let Some(choice) = &choice
            && !choice.exclusive
            && pending.service.is_engine()
            && !resumes
            && !self.take_slot(now, id, &candidates)
        {
            self.wait_for_slot(now, id, effects);
            return;
        }
        match choice {
            Some(choice)
                if choice.predicted.as_secs_f64() <= left.as_secs_f64() * TIME_LEFT_FRACTION =>
            {
                self.dispatch(now, id, &choice, tokens, effects);
            }
            Some(choice) => {
                let excess = choice
                    .predicted
                    .saturating_sub(left.mul_f64(TIME_LEFT_FRACTION));
                self.refuse(now, id, Reason::Busy, Some(excess), effects);
            }
            // There are targets, but their free KV cache cannot hold the prompt.
            None if !candidates.is_empty() => {
                self.refuse(now, id, Reason::Busy, Some(NO_TARGET_RETRY), effects);
            }
            None if self.may_wait_for_cold(now, &pending) => self.enqueue(id, effects),
            None => self.refuse(now, id, Reason::NoTarget, Some(NO_TARGET_RETRY), effects),
        }
    }

    /// Refuses a request that takes at least `needed` if this VM shuts down before it can end;
    /// returns whether it did.
    pub(super) fn refuse_before_shutdown(
        &mut self,
        now: Instant,
        id: Id,
        needed: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let late = self.shutdown_at.is_some_and(|until| now + needed > until);
        if late {
            self.withdraw_query(id, effects);
            self.refuse(now, id, Reason::ShuttingDown, Some(SHUTDOWN_RETRY), effects);
        }
        late
    }

    /// Adds the load of a request at its targets.
    pub(super) fn add_load(&mut self, now: Instant, id: Id, choice: &Choice, tokens: Tokens) {
        let record = self.directory.record(choice.target);
        let (Some(record), Some(pending)) = (record, self.pending.get(&id)) else {
            return;
        };
        let engine = pending.service.engine.as_ref();
        let prefill_ends_at = now + choice.predicted;
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
        let work = |load, prefill_only| Work {
            load,
            prefill_only,
            prefill_ends_at,
        };
        let held: u64 = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let own = Load {
            kv_tokens: load.kv_tokens.saturating_sub(held as u32),
            ..load
        };
        self.loads.add(record.name_hash, id, work(own, false));
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
                self.loads
                    .add(record.name_hash, id, work(load, helper.held_tokens == 0));
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
        if self.grant_peer_request(now, id, choice, tokens, effects)
            || self.refuse_quarantined(now, id, effects)
        {
            return;
        }
        let Some(record) = self.directory.record(choice.target) else {
            return;
        };
        let (name_hash, name) = (record.name_hash, Arc::clone(&record.announcement.name));
        let before = self.loads.load(name_hash, now);
        let (address, cold) = (record.announcement.address, now < record.cold_until);
        if !self.pending.contains_key(&id) {
            return;
        }
        let engine = self
            .pending
            .get(&id)
            .and_then(|p| p.service.engine.as_ref());
        let probe = self.probe(now, engine, name_hash, choice);
        self.add_load(now, id, choice, tokens);
        self.charge(now, id, tokens);
        self.record_sent(now, choice.target, name_hash, cold);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.exclusive = choice.exclusive;
        pending.latest_start = None;
        pending.attempts += 1;
        pending.tried.push(choice.target);
        pending.running = Some(Running {
            target: choice.target,
            sent_at: now,
            predicted: choice.predicted,
            probe,
            saving: choice.saving,
            holds_prompt: choice.helpers.iter().all(|helper| helper.held_tokens == 0),
            started_at: None,
            answered: false,
        });
        self.report_due = true;
        if choice.exclusive {
            // Report at once, so that peers see that these targets are taken.
            self.reported_at = Instant::default();
        }
        let organisation_priority = pending
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
                priority: organisation_priority
                    .unwrap_or(pending.route.priority)
                    .min(9),
                reservation: format!(
                    "{}-{}-{}",
                    self.settings.vm, pending.request.request_id, pending.attempts
                )
                .into(),
                attempt: pending.attempts,
                is_trial: pending.is_trial,
                time_left: pending.deadline.since(now),
                predicted: choice.predicted,
                saving: choice.saving,
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

    pub(super) fn started(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Some(running) = &mut pending.running else {
            return;
        };
        if running.started_at.is_some() {
            return;
        }
        running.started_at = Some(now);
        let exclusive = pending.exclusive;
        if pending.service.engine.is_some() {
            let taken = now.since(running.sent_at);
            let health = self.health.entry(running.target).or_default();
            health.record_first_event(taken, running.predicted);
            if pending.service.policy.has_far_zones {
                let running = running.clone();
                self.record_first_event_pace(now, &running);
            }
            self.loads.finish_prefill(id, now);
            if exclusive {
                self.report_due = true;
                // Report at once, so that peers see that the helpers are free.
                self.reported_at = Instant::default();
            }
            self.record_retained(now, id, effects);
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        id: Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.withdraw_query(id, effects);
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.decide_locally = false;
        pending.planner = None;
        pending.is_trial = false;
        let running = pending.running.take();
        self.loads.remove(id);
        self.report_due = true;
        let Some(running) = running else {
            self.pending.remove(&id);
            return;
        };
        self.record_end(now, id, outcome, &running, effects);
        match outcome {
            Outcome::Served => self.record_taken(now, id, now.since(running.sent_at)),
            Outcome::Unreachable | Outcome::Full | Outcome::WrongTarget => self.refund(now, id),
            _ => {}
        }
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let health = self.health.entry(running.target).or_default();
        let retry_policy = pending.route.retry_policy;
        let retry = match outcome {
            Outcome::Served | Outcome::ServedUnframed => {
                health.record_success();
                None
            }
            Outcome::CallerGone | Outcome::TimedOut => None,
            Outcome::Unreachable => {
                health.record_broken(now);
                health.record_unreachable(now);
                pending.attempts -= 1;
                pending.unreachable += 1;
                Some(pending.unreachable < MAX_UNREACHABLE)
            }
            Outcome::Full => {
                health.back_off_until(now + FULL_PAUSE);
                Some(true)
            }
            Outcome::WrongTarget => {
                // The announced target is no longer at its address. It gets no work until it announces
                // itself again.
                self.directory
                    .set_last_heard(running.target, now - ANNOUNCEMENT_LEASE);
                Some(true)
            }
            Outcome::Error => {
                health.record_error();
                pending.may_have_run = true;
                Some(retry_policy != RetryPolicy::AtMostOnce)
            }
            Outcome::Broken { delivered, .. } | Outcome::Disconnected { delivered } => {
                if !matches!(outcome, Outcome::Disconnected { .. }) {
                    health.record_broken(now);
                }
                pending.may_have_run = true;
                Some(match retry_policy {
                    RetryPolicy::Idempotent => !delivered,
                    RetryPolicy::Resumable => true,
                    RetryPolicy::AtMostOnce => false,
                })
            }
        };
        let Some(retry) = retry else {
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
        // The planner may refuse the request or keep it in its queue.
        pending.decide_locally = pending.may_have_run;
        if retry && attempts_left && time_left && (!sent || self.take_retry(now, &service)) {
            self.place(now, id, effects);
        } else {
            self.refuse(now, id, reason, Some(NO_TARGET_RETRY), effects);
        }
    }

    /// Returns this VM's share of the fleet-wide retry budget, in retries per window.
    fn retry_limit(&mut self, now: Instant, service: &Arc<str>) -> f64 {
        let settings = &self.settings;
        let Some(windows) = self.retry_windows.get_mut(service) else {
            return 0.0;
        };
        let requests = windows.requests.count(now) as f64;
        (requests * settings.retry_ratio + settings.retry_slack / self.topology.vm_count() as f64)
            * BUDGET_FRACTION
    }

    /// Returns whether this VM has a retry left.
    pub(super) fn has_retry(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let limit = self.retry_limit(now, service);
        let windows = self.retry_windows.get_mut(service);
        windows.is_some_and(|windows| windows.retries.has_room(now, limit))
    }

    /// Takes a retry from this VM's share of the fleet-wide retry budget.
    pub(super) fn take_retry(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let limit = self.retry_limit(now, service);
        let windows = self.retry_windows.get_mut(service);
        windows.is_some_and(|windows| windows.retries.take(now, limit))
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: Id,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        if self.deny_peer_request(now, id, reason, effects) {
            return;
        }
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let not_run = !pending.may_have_run;
        let reason = if not_run { reason } else { Reason::Failed };
        let retry_after = self.retry_time(now, &pending, reason, retry_after);
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

/// Returns whether one more request stays within this VM's share of a limit on requests per second.
/// With a share below one, the VM may send one request in one second of each period of several
/// seconds; `offset` makes this second differ between VMs.
pub(super) fn within_share(share: f64, sent: usize, now: Instant, offset: u64) -> bool {
    if share >= 1.0 {
        return (sent as f64) < share.floor();
    }
    // A sliding window of one second overlaps two of these fixed seconds, so that two VMs can send
    // in it, hence the 2.
    let period = (2.0 / share.max(f64::MIN_POSITIVE)).ceil().min(1e6) as u64;
    let second = now.as_micros() / 1_000_000;
    sent == 0 && second.wrapping_add(offset).is_multiple_of(period)
}
