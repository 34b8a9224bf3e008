//! Checks of the promises against what engines ran and callers were told.

use super::{
    ANNOUNCEMENT_LEASE, Caller, DEADLINE_SLACK, OUT_BOUND, Run, SPREAD_BOUND, Stage, World,
};
use crate::engine::ANSWER_TOKENS;
use crate::promise::{Promise, Violation};
use primrosepin_core::request::{Attempt, End, Id, Outcome};
use primrosepin_core::serving::event::Event;
use primrosepin_core::target::State;
use primrosepin_core::time::Instant;
impl World {
    pub(super) fn violate(&mut self, promise: Promise, detail: String) {
        self.violations.push(Violation { promise, detail });
    }

    pub(super) fn record_run(&mut self, engine: usize, attempt: Attempt) {
        self.stages.push(Stage::Running);
        self.runs.push(Run { engine, attempt });
        let Some(caller) = self.callers.get(&attempt.request) else {
            return;
        };
        if caller.finals.contains(&Outcome::NotRun) {
            let detail = format!("{attempt:?} ran after the answer not_run");
            return self.violate(Promise::TrueRefusal, detail);
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
            self.violate(Promise::AtMostOnce, format!("key {key:?} ran as {runs:?}"));
        }
    }

    pub(super) fn check_out(&mut self, engine: usize, node: usize, attempt: Attempt) {
        // A node that cannot be reached keeps its last configuration; the promise covers reachable ones.
        let reachable = !self.isolated.contains(&node)
            && !self.control_cut.contains(&self.nodes[node].zone)
            && self.now.since(self.healed) > OUT_BOUND;
        let announcement = &self.engines[engine].announcement;
        let ordered = |name: &str| self.outs.get(name).filter(|_| reachable).copied();
        let orders = [
            (Promise::TargetOut, ordered(&announcement.name)),
            (Promise::TargetOut, self.engines[engine].draining_since),
            (Promise::ZoneOut, ordered(&announcement.zone)),
        ];
        for (promise, since) in orders {
            if since.is_some_and(|since| self.now.since(since) > OUT_BOUND) {
                let detail = format!("{attempt:?} reaches engine {engine} after its removal");
                return self.violate(promise, detail);
            }
        }
    }

    /// Checks the budget of a cold engine. Work that was sent before the announcement of the cold state
    /// could arrive is not counted: no entry VM can know of a target that turned cold without warning.
    pub(super) fn check_cold(
        &mut self,
        index: usize,
        node: usize,
        sent: Instant,
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
        let known = since + SPREAD_BOUND;
        let bound = if self.isolated.contains(&node) {
            since + ANNOUNCEMENT_LEASE
        } else {
            known
        };
        if sent <= bound {
            return;
        }
        let budget = engine.bears();
        let counted = || {
            engine
                .held
                .values()
                .filter(|held| !held.finished && held.sent > known)
        };
        let running = counted().count() + 1;
        let used = counted().map(|held| held.tokens).sum::<u64>() + tokens;
        if running > budget.requests as usize || (running > 1 && used > budget.tokens) {
            let detail =
                format!("{attempt:?} overruns cold engine {index}: {running} with {used} tokens");
            self.violate(Promise::ColdBudget, detail);
        }
    }

    pub(super) fn finish(&mut self, request: Id, outcome: Outcome) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return self.violate(
                Promise::WholeAnswer,
                format!("answer for unknown {request:?}"),
            );
        };
        caller.finals.push(outcome);
        self.stages.push(Stage::Ended);
        let (finals, tokens, parent) = (caller.finals.len(), caller.tokens, caller.parent);
        let replayed = caller.arrival.at_most_once;
        let deadline = caller.deadline;
        if finals > 1 {
            self.violate(
                Promise::WholeAnswer,
                format!("{request:?} ended {finals} times"),
            );
        }
        if self.now > deadline + DEADLINE_SLACK {
            self.violate(
                Promise::Finishes,
                format!("{request:?} ended past its deadline"),
            );
        }
        let caller = &self.callers[&request];
        let repeats = |other: &Caller| other.arrival.key == caller.arrival.key;
        // Of two requests with one key only one is answered.
        let duplicate =
            caller.arrival.at_most_once && self.callers.values().filter(|c| repeats(c)).count() > 1;
        if !duplicate
            && self.nodes[caller.node].shutdown
            && !self.faulted
            && outcome != Outcome::Answered
            && !caller.gone
        {
            self.violate(
                Promise::Graceful,
                format!("{request:?} got {outcome:?} at shutdown"),
            );
        }
        let ran = self.runs.iter().any(|run| run.attempt.request == request);
        if outcome == Outcome::NotRun && ran {
            self.violate(
                Promise::TrueRefusal,
                format!("{request:?} ran and got not_run"),
            );
        }
        let children = self
            .callers
            .values()
            .any(|child| child.parent == Some(request));
        if outcome == Outcome::Answered && tokens != ANSWER_TOKENS && !replayed && !children {
            self.violate(
                Promise::WholeAnswer,
                format!("{request:?} answered with {tokens} tokens"),
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
        self.tell_node(delay, (node, incarnation), event);
    }

    pub(super) fn check_at_rest(&mut self) {
        let mut found = Vec::new();
        for (id, caller) in &self.callers {
            let alive = self.nodes[caller.node].incarnation == caller.incarnation;
            if alive && caller.finals.is_empty() && !caller.gone {
                found.push((Promise::Finishes, format!("{id:?} has no outcome")));
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            for (attempt, held) in &engine.held {
                found.push((
                    Promise::NoLeak,
                    format!("engine {index} holds {attempt:?} {held:?}"),
                ));
            }
            for attempt in engine.reserved.keys() {
                found.push((
                    Promise::NoLeak,
                    format!("engine {index} reserves for {attempt:?}"),
                ));
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.reducer.is_some() && node.versions != self.config.version {
                let detail = format!(
                    "node {index} has {} of {}",
                    node.versions, self.config.version
                );
                found.push((Promise::Config, detail));
            }
        }
        for (promise, detail) in found {
            self.violate(promise, detail);
        }
    }
}
