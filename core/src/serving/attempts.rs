//! Lifecycle of attempts, from dispatch to end, with retries and resumed streams.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::inventory::Kind;
use crate::request::{Attempt, End, Id, Outcome, Reason};
use crate::target;
use crate::time::Instant;

use super::cost;
use super::credit::HeldCredit;
use super::effect::{Dispatch, Effect};
use super::placement::Choice;
use super::reducer::{ABANDONED_RETENTION, ENGINE_LEASE_MS, Reducer};
use super::request::{Request, Run, Stage};
use super::settings::Policy;
use super::span::Parts;

/// Number of equal parts of a request's time limit. Each part that has passed raises its engine
/// priority by one.
const AGEING_PARTS: u128 = 4;

/// Highest engine priority that a request can reach by ageing. Short requests keep a higher one.
const AGED_PRIORITY: u8 = 2;

/// Weight of a new value in running means.
const MEAN_WEIGHT: f64 = 0.1;

/// Resumes without progress after which a stream is given up.
const RESUMES_MAX: u8 = 2;

/// Retry hint when the retry budget is exhausted.
const RETRY_BUDGET_HINT_MS: u64 = 1_000;

impl Reducer {
    /// Records a dispatch for the estimate of how fast the queue of the class moves.
    pub(super) fn record_start(&mut self, id: Id) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = request.class as usize;
        let group = self.table.group_mut(request.group);
        if let Some(last) = group.last_start[class] {
            let interval = self.now.since(last).as_micros() as f64;
            update_mean(&mut group.interval_us[class], interval);
        }
        group.last_start[class] = (group.waiting[class] > 0).then_some(self.now);
    }

    /// Dispatches a request to the chosen target.
    pub(super) fn dispatch(
        &mut self,
        id: Id,
        choice: Choice,
        credit: Option<HeldCredit>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = match &credit {
            Some(held) => held.attempt,
            None => request.new_attempt(),
        };
        self.dispatch_attempt(id, attempt, choice, credit, Parts::new(), effects);
    }

    /// Dispatches an attempt with a given id, and the reserved parts of a spanning request.
    pub(super) fn dispatch_attempt(
        &mut self,
        id: Id,
        attempt: Attempt,
        choice: Choice,
        credit: Option<HeldCredit>,
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
        target.record_dispatch(
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
            self.retry_budget.first_attempt();
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
            probe_pending: false,
            stalls: 0,
            resumes: 0,
            credit,
            parts,
        });
    }

    pub(super) fn handle_progress(
        &mut self,
        attempt: Attempt,
        tokens: u32,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return self.handle_late_event(attempt, effects);
        };
        let class = request.class;
        let Some(run) = request.run_mut().filter(|run| run.attempt == attempt) else {
            return self.handle_late_event(attempt, effects);
        };
        run.last_progress = now;
        run.header = true;
        if tokens > 0 {
            run.probe_pending = false;
            run.stalls = 0;
            run.resumes = 0;
        }
        let first = tokens > 0 && !run.first_token;
        run.first_token |= first;
        let mut first_run = first.then(|| run.clone());
        request.started = true;
        request.delivered = request.delivered.saturating_add(tokens);
        let Some(run) = &mut first_run else {
            return;
        };
        if let Some(target) = self.table.get_generation_mut(run.target, run.generation) {
            target.record_prefilled(run.engine_attempt, class, run.prefill_tokens);
        }
        self.assess_first_token(run, class, true, effects);
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

    pub(super) fn handle_ended(&mut self, attempt: Attempt, end: End, effects: &mut Vec<Effect>) {
        let id = attempt.request;
        let current = self.requests.get(&id).and_then(Request::run);
        if current.is_none_or(|run| run.attempt != attempt) {
            self.counters.late_events += 1;
            return;
        }
        let End::Complete {
            cached_tokens,
            generated_tokens,
            ..
        } = end
        else {
            self.attempt_failed(id, end, effects);
            return;
        };
        if let Some(run) = self.release(id, false, effects) {
            self.update_statistics(id, &run, cached_tokens, generated_tokens);
        }
        if let Some(request) = self.remove(id) {
            self.record_answered(&request.arrival, effects);
            self.record_outcome(&request, Outcome::Answered, effects);
        }
        self.counters.count_outcome(Outcome::Answered);
        effects.push(Effect::Complete(id));
    }

    /// Updates the running means and prefix hints from a complete answer.
    pub(super) fn update_statistics(
        &mut self,
        id: Id,
        run: &Run,
        cached_tokens: u64,
        generated_tokens: u64,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let group = self.table.group_mut(request.group);
        let service = &mut group.service_us[request.class as usize];
        update_mean(service, self.now.since(run.sent).as_micros() as f64);
        if !run.engine {
            return;
        }
        update_mean(&mut group.generated_tokens, generated_tokens as f64);
        let prompt = request.arrival.prompt_tokens;
        let expected = prompt.saturating_sub(run.prefill_tokens);
        if cached_tokens < expected / 2 {
            self.prefix_hints
                .remove(&request.arrival.prefix, run.target);
        }
        self.prefix_hints
            .insert(&request.arrival.prefix, prompt, run.target, run.generation);
    }

    /// Resumes, retries or fails a request after an attempt ended without a complete answer.
    pub(super) fn attempt_failed(&mut self, id: Id, end: End, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(run) = request.run() else {
            return;
        };
        // If a resume is refused, the attempt that it continues may still have run.
        let resumed = run.attempt != run.engine_attempt;
        if let End::NotRun { busy } = end
            && !resumed
        {
            let run = run.clone();
            self.release(id, true, effects);
            if !busy {
                self.suspend_target(&run, effects);
            }
            self.retry(id, run.target, Reason::FleetBusy, effects);
            return;
        }
        let can_resume = run.engine
            && request.delivered > 0
            && !request.arrival.at_most_once
            && run.resumes < RESUMES_MAX
            && !matches!(end, End::NotRun { .. });
        let same_generation = self
            .table
            .get(run.target)
            .is_some_and(|target| target.generation == run.generation);
        if can_resume && same_generation {
            self.resume(id, effects);
            return;
        }
        let (target, run) = (run.target, run.clone());
        if request.delivered == 0 {
            self.report_crash(id, &run, effects);
        }
        self.release(id, true, effects);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.may_have_run = true;
        let repeatable = request.arrival.repeatable && !request.arrival.at_most_once;
        if repeatable && request.delivered == 0 {
            self.retry(id, target, Reason::TargetFailed, effects);
        } else {
            self.fail(id, Reason::TargetFailed, None, effects);
        }
    }

    /// Queues a request for another target, if the retry budget allows it.
    pub(super) fn retry(
        &mut self,
        id: Id,
        failed_on: target::Id,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        if !self.retry_budget.try_take() {
            self.counters.retries_over_budget += 1;
            self.fail(id, reason, Some(RETRY_BUDGET_HINT_MS), effects);
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_on.push(failed_on);
        }
        if !self.refuse_quarantined(id, effects) {
            self.enqueue(id);
        }
    }

    /// Resumes a stream on a new connection to the same engine.
    pub(super) fn resume(&mut self, id: Id, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.new_attempt();
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

    /// Removes a running attempt from the load of its organisation and target, and returns its
    /// credit and parts. Cancels it on the engine if `cancel` is set.
    pub(super) fn release(
        &mut self,
        id: Id,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Run> {
        let request = self.requests.get_mut(&id)?;
        request.run()?;
        let Stage::Running(mut run) = std::mem::replace(&mut request.stage, Stage::Queued) else {
            return None;
        };
        let class = request.class;
        self.queue.stop(&request.arrival.organisation);
        if let Some(target) = self.table.get_generation_mut(run.target, run.generation) {
            if !run.first_token {
                target.record_prefilled(run.engine_attempt, class, run.prefill_tokens);
            }
            target.record_end(run.engine_attempt, class);
        }
        if cancel {
            // A stalled connection to a live target says nothing about the target.
            if !run.first_token && run.stalls == 0 {
                self.assess_first_token(&mut run, class, false, effects);
            }
            if run.engine {
                effects.push(Effect::Cancel {
                    address: run.address,
                    attempt: run.engine_attempt,
                });
                let until = self.now + ABANDONED_RETENTION;
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

    /// Ignores an event of an abandoned attempt and cancels the attempt again.
    pub(super) fn handle_late_event(&mut self, attempt: Attempt, effects: &mut Vec<Effect>) {
        self.counters.late_events += 1;
        if let Some(&(_, address)) = self.abandoned.get(&attempt) {
            effects.push(Effect::Abort(attempt));
            effects.push(Effect::Cancel { address, attempt });
        }
    }

    /// Fails the attempts that a restarted target has lost.
    pub(super) fn fail_lost_runs(&mut self, target: target::Id, effects: &mut Vec<Effect>) {
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
            let end = if delivered {
                End::Truncated
            } else {
                End::NoAnswer
            };
            self.attempt_failed(id, end, effects);
        }
    }

    /// Allows a waiting request to use the targets on which it failed, if no other target accepts
    /// work.
    pub(super) fn clear_failed_targets(&mut self, id: Id) {
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

/// Returns the engine priority of a request, raised by one for each part of its time limit that has
/// passed. Long requests that have waited only briefly stay behind medium ones, because a long
/// request would delay a medium one by many times the prefill time of the medium one.
fn aged_priority(request: &Request, now: Instant) -> u8 {
    let priority = cost::priority(request.class);
    let limit = request.deadline.since(request.arrived).as_micros();
    let waited = now.since(request.arrived).as_micros();
    let parts = (waited * AGEING_PARTS).checked_div(limit).unwrap_or(0);
    let aged = priority.saturating_sub(parts.min(8) as u8);
    aged.max(AGED_PRIORITY).min(priority)
}

/// Updates an exponential moving average. Zero means that there is no value yet.
fn update_mean(known: &mut f64, value: f64) {
    *known = if *known > 0.0 {
        *known + MEAN_WEIGHT * (value - *known)
    } else {
        value
    };
}
