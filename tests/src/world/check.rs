//! Checks of the promises against what the engines ran and what the callers received.

use super::{
    ANNOUNCEMENT_DELAY_MAX, ANNOUNCEMENT_LEASE, Caller, DEADLINE_SLACK, REMOVAL_LIMIT, Run, Stage,
    World,
};
use crate::engine::ANSWER_TOKENS;
use crate::promise::{Promise, Violation};
use primrosepin_core::request::{Attempt, End, Id, Outcome};
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::State;
use primrosepin_core::time::Instant;

impl World {
    pub(super) fn report_violation(&mut self, promise: Promise, detail: String) {
        self.violations.push(Violation { promise, detail });
    }

    pub(super) fn record_run(&mut self, engine: usize, attempt: Attempt) {
        self.reached_stages.push(Stage::Running);
        self.runs.push(Run { engine, attempt });
        let Some(caller) = self.callers.get(&attempt.request) else {
            return;
        };
        if caller.outcomes.contains(&Outcome::NotRun) {
            let detail = format!("{attempt:?} ran after the caller was told not_run");
            return self.report_violation(Promise::TrueRefusal, detail);
        }
        if !caller.arrival.at_most_once {
            return;
        }
        let key = caller.arrival.key.clone();
        let runs = self.runs.iter().filter(|run| {
            self.callers
                .get(&run.attempt.request)
                .is_some_and(|caller| caller.arrival.key == key)
        });
        let runs: Vec<_> = runs.map(|run| (run.engine, run.attempt)).collect();
        if runs.len() > 1 {
            self.report_violation(
                Promise::AtMostOnce,
                format!("key {key:?} ran more than once, as (engine, attempt) {runs:?}"),
            );
        }
    }

    pub(super) fn check_removals(&mut self, engine: usize, node: usize, attempt: Attempt) {
        // A node that is cut off from the control VMs keeps its last configuration. The promise does not
        // cover it until it has had time to get the current one.
        let reachable = !self.isolated_nodes.contains(&node)
            && !self.zones_without_control.contains(&self.nodes[node].zone)
            && self.now.since(self.healed_at) > REMOVAL_LIMIT;
        let announcement = &self.engines[engine].announcement;
        let out_since = |name: &str| self.removed_at.get(name).filter(|_| reachable).copied();
        let orders = [
            (Promise::TargetOut, out_since(&announcement.name)),
            (Promise::TargetOut, self.engines[engine].draining_since),
            (Promise::ZoneOut, out_since(&announcement.zone)),
        ];
        for (promise, since) in orders {
            if since.is_some_and(|since| self.now.since(since) > REMOVAL_LIMIT) {
                let detail =
                    format!("{attempt:?} reached engine {engine} after its removal from service");
                return self.report_violation(promise, detail);
            }
        }
    }

    /// Checks the budget of a cold engine. Work that was sent before the announcement of the cold state could
    /// arrive is not counted, as no entry VM can know of a target that turns cold without warning.
    pub(super) fn check_cold_budget(
        &mut self,
        index: usize,
        node: usize,
        sent_at: Instant,
        attempt: Attempt,
        tokens: u64,
    ) {
        let engine = &self.engines[index];
        let Some(since) = engine
            .cold_since
            .filter(|_| engine.announcement.state == State::Cold)
        else {
            return;
        };
        let announced_by = since + ANNOUNCEMENT_DELAY_MAX;
        let limit = if self.isolated_nodes.contains(&node) {
            since + ANNOUNCEMENT_LEASE
        } else {
            announced_by
        };
        if sent_at <= limit {
            return;
        }
        let budget = engine.cold_capacity();
        let counted = || {
            engine
                .allocations
                .values()
                .filter(|allocation| !allocation.finished && allocation.sent_at > announced_by)
        };
        let running = counted().count() + 1;
        let used = counted().map(|allocation| allocation.tokens).sum::<u64>() + tokens;
        if running > budget.requests as usize || (running > 1 && used > budget.tokens) {
            let detail = format!(
                "{attempt:?} exceeds the budget of cold engine {index}: {running} requests with {used} tokens"
            );
            self.report_violation(Promise::ColdBudget, detail);
        }
    }

    pub(super) fn record_outcome(&mut self, request: Id, outcome: Outcome) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return self.report_violation(
                Promise::WholeAnswer,
                format!("outcome for unknown request {request:?}"),
            );
        };
        caller.outcomes.push(outcome);
        self.reached_stages.push(Stage::Ended);
        let (outcome_count, tokens, parent) = (caller.outcomes.len(), caller.tokens, caller.parent);
        let replayable = caller.arrival.at_most_once;
        let deadline = caller.deadline;
        if outcome_count > 1 {
            self.report_violation(
                Promise::WholeAnswer,
                format!("{request:?} got {outcome_count} outcomes"),
            );
        }
        if self.now > deadline + DEADLINE_SLACK {
            self.report_violation(
                Promise::Finishes,
                format!("{request:?} ended after its deadline"),
            );
        }
        let caller = &self.callers[&request];
        let repeats = |other: &Caller| other.arrival.key == caller.arrival.key;
        // Of several requests with the same key only one need be answered.
        let duplicate =
            caller.arrival.at_most_once && self.callers.values().filter(|c| repeats(c)).count() > 1;
        if !duplicate
            && self.nodes[caller.node].shutting_down
            && !self.faulted
            && outcome != Outcome::Answered
            && !caller.gone
        {
            self.report_violation(
                Promise::Graceful,
                format!("{request:?} ended as {outcome:?} during a graceful shutdown"),
            );
        }
        let ran = self.runs.iter().any(|run| run.attempt.request == request);
        if outcome == Outcome::NotRun && ran {
            self.report_violation(
                Promise::TrueRefusal,
                format!("{request:?} ran, and its outcome is not_run"),
            );
        }
        let handed_over = self
            .callers
            .values()
            .any(|other| other.parent == Some(request));
        if outcome == Outcome::Answered && tokens != ANSWER_TOKENS && !replayable && !handed_over {
            self.report_violation(
                Promise::WholeAnswer,
                format!("{request:?} was answered with {tokens} tokens instead of {ANSWER_TOKENS}"),
            );
        }
        let Some(parent) = parent else { return };
        let Some(caller) = self.callers.get(&parent) else {
            return;
        };
        let (node, incarnation) = (caller.node, caller.incarnation);
        let end = match outcome {
            Outcome::Answered => End::Complete {
                prompt_tokens: 0,
                cached_tokens: 0,
                generated_tokens: u64::from(tokens),
            },
            Outcome::NotRun => End::NotRun { busy: true },
            Outcome::Failed => End::Truncated,
            Outcome::Unknown => End::NoAnswer,
        };
        let delay = self.latency();
        let event = Event::HandedOver {
            request: parent,
            end,
        };
        self.schedule_event(delay, (node, incarnation), event);
    }

    pub(super) fn check_settled(&mut self) {
        let mut violations = Vec::new();
        for (id, caller) in &self.callers {
            let alive = self.nodes[caller.node].incarnation == caller.incarnation;
            if alive && caller.outcomes.is_empty() && !caller.gone {
                violations.push((Promise::Finishes, format!("{id:?} has no outcome")));
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            for (attempt, allocation) in &engine.allocations {
                violations.push((
                    Promise::NoLeak,
                    format!("engine {index} still holds {allocation:?} for {attempt:?}"),
                ));
            }
            for attempt in engine.reservations.keys() {
                violations.push((
                    Promise::NoLeak,
                    format!("engine {index} still holds a reservation for {attempt:?}"),
                ));
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.reducer.is_some() && node.config_version != self.config.version {
                let detail = format!(
                    "node {index} has configuration version {} instead of {}",
                    node.config_version, self.config.version
                );
                violations.push((Promise::Config, detail));
            }
        }
        for (promise, detail) in violations {
            self.report_violation(promise, detail);
        }
    }
}
