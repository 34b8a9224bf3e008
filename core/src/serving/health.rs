//! Health of targets and connections: late first tokens, silent connections, probes.
//!
//! A silent connection says nothing about its target. The target is probed on a new connection
//! first; if it answers, the stream is resumed on a new connection, and if not, the attempt counts
//! as lost. Without a response header there may be no stream to resume, so that a request that may
//! be repeated goes to another target once the target's load shows that it does not have it.

use std::sync::Arc;
use std::time::Duration;

use crate::request::{Class, End, Id};
use crate::target;

use super::effect::{Effect, Notice};
use super::reducer::Reducer;
use super::request::Run;
use super::settings::Policy;

/// Silence after which a connection is doubted.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a probe must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without new work for a target that did not answer.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);

/// Times that a silent attempt on a live target is resumed before it is left until its deadline.
const STALLS_MAX: u8 = 3;

/// Ratio to the prediction above which a first token is late.
const LATE_RATIO: u64 = 4;

/// Predictions below this are not compared, because transport and batching take as long.
const LATE_MIN_US: u64 = 250_000;

/// Returns whether a first token that arrives this long after the dispatch is late.
const fn is_late(run: &Run, elapsed_us: u64) -> bool {
    let expected = if run.ttft_us > LATE_MIN_US {
        run.ttft_us
    } else {
        LATE_MIN_US
    };
    elapsed_us > LATE_RATIO * expected
}

impl Reducer {
    /// Judges the target of an attempt by the time to its first token, or to its end without one.
    pub(super) fn assess_first_token(
        &mut self,
        run: &mut Run,
        class: Class,
        got: bool,
        effects: &mut Vec<Effect>,
    ) {
        let target = self.table.get(run.target);
        let full = target
            .is_some_and(|target| target.zone_running() + 1 >= target.announcement.max_running);
        if full && got {
            // The request may have waited for a slot that another entry VM took at the same time.
            run.healthy = true;
            return;
        }
        if class > Class::Short {
            // Later work of higher priority may delay it by any time.
            run.healthy = got;
            return;
        }
        let elapsed = self.now.since(run.sent).as_micros() as u64;
        // With equal priorities, work that peers sent at the same time explains a late first token.
        let explained = match self.settings.policy {
            Policy::Length => 0,
            Policy::RoundRobin | Policy::LeastLoad => self
                .table
                .get(run.target)
                .map_or(0, |target| target.peak_backlog_us(self.now)),
        };
        let late = is_late(run, elapsed.saturating_sub(explained));
        run.healthy = got && !late;
        if !got && !late {
            return;
        }
        let turned = self
            .table
            .get_generation_mut(run.target, run.generation)
            .is_some_and(|target| target.count_first_token(late));
        if turned {
            self.mark_cold(run.target, effects);
        }
    }

    /// Lets a target be cold from now on.
    pub(super) fn mark_cold(&mut self, id: target::Id, effects: &mut Vec<Effect>) {
        let Some(target) = self.table.get_mut(id) else {
            return;
        };
        target.cold.assumed = false;
        if target.cold.is_cold() {
            return;
        }
        target.cold.version += 1;
        let name = Arc::clone(&target.announcement.name);
        effects.push(Effect::Notice(Notice::TargetCold(name)));
    }

    /// Lets a target be warm from now on.
    pub(super) fn mark_warm(&mut self, id: target::Id, effects: &mut Vec<Effect>) {
        let Some(target) = self.table.get_mut(id) else {
            return;
        };
        target.cold.assumed = false;
        if !target.cold.is_cold() {
            return;
        }
        target.cold.version += 1;
        let name = Arc::clone(&target.announcement.name);
        self.reschedule = true;
        effects.push(Effect::Notice(Notice::TargetWarm(name)));
    }

    /// Probes the targets of silent attempts.
    pub(super) fn probe_stalled_attempts(&mut self, effects: &mut Vec<Effect>) {
        let mut silent = Vec::new();
        for request in self.requests.values_mut() {
            let Some(run) = request.run_mut() else {
                continue;
            };
            let due_us = match (run.first_token, run.header) {
                (true, _) => 0,
                (false, true) => run.ttft_us,
                // The header of an answer that is not streamed comes with its last token.
                (false, false) => run.ttft_us + run.decode_us,
            };
            let due = run
                .last_progress
                .max(run.sent + Duration::from_micros(due_us));
            let timeout = STALL_TIMEOUT * (1 << run.stalls.min(STALLS_MAX));
            if !run.probe_pending && run.stalls < STALLS_MAX && due + timeout <= self.now {
                run.probe_pending = true;
                silent.push((Arc::clone(&run.name), run.address));
            }
        }
        for (name, address) in silent {
            self.probe(&name, address, effects);
        }
        let now = self.now;
        let unanswered: Vec<_> = self
            .probes
            .iter()
            .filter(|&(_, &since)| since + PROBE_TIMEOUT <= now)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in unanswered {
            self.handle_probed(&name, false, effects);
        }
    }

    /// Probes a target, unless a probe is under way.
    pub(super) fn probe(
        &mut self,
        name: &Arc<str>,
        address: std::net::SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if self.probes.contains_key(name) {
            return;
        }
        self.probes.insert(Arc::clone(name), self.now);
        self.counters.probes += 1;
        effects.push(Effect::Probe {
            target: Arc::clone(name),
            address,
        });
    }

    /// Takes new work away from a target that could not be reached, until a probe decides.
    pub(super) fn suspend_target(&mut self, run: &Run, effects: &mut Vec<Effect>) {
        if let Some(target) = self.table.get_generation_mut(run.target, run.generation) {
            target.unresponsive_until = Some(self.now + UNRESPONSIVE_TIME);
        }
        self.probe(&run.name, run.address, effects);
    }

    /// Takes the result of a probe and decides about the target's silent attempts.
    pub(super) fn handle_probed(
        &mut self,
        name: &Arc<str>,
        alive: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.probes.remove(name).is_none() {
            return;
        }
        if let Some(id) = self.table.id(name)
            && let Some(target) = self.table.get_mut(id)
        {
            target.unresponsive_until = (!alive).then(|| self.now + UNRESPONSIVE_TIME);
            self.reschedule = true;
        }
        let silent: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request
                    .run()
                    .is_some_and(|run| run.probe_pending && run.name == *name)
            })
            .map(|(&id, _)| id)
            .collect();
        for id in silent {
            self.handle_stalled_attempt(id, alive, effects);
        }
    }

    fn handle_stalled_attempt(&mut self, id: Id, alive: bool, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let delivered = request.delivered;
        let at_most_once = request.arrival.at_most_once;
        let repeatable = request.arrival.repeatable;
        let Some(run) = request.run_mut() else {
            return;
        };
        run.probe_pending = false;
        run.stalls += 1;
        let (attempt, engine, header) = (run.attempt, run.engine, run.header);
        // A target that reports nothing to prefill and fewer requests than it was sent did not get this
        // one, or lost it. Otherwise the prefill may only be delayed by work of higher priority.
        let missing = self
            .table
            .get_generation_mut(run.target, run.generation)
            .is_none_or(|target| {
                let load = target.announcement.load;
                load.prefill_tokens == 0 && load.running + load.waiting < target.zone_running()
            });
        if alive {
            if !engine || at_most_once {
                // It may be running and cannot be continued; the answer may still come.
                return;
            }
            if header {
                effects.push(Effect::Abort(attempt));
                self.resume(id, effects);
                return;
            }
            if !repeatable || !missing {
                return;
            }
        }
        effects.push(Effect::Abort(attempt));
        let end = if delivered > 0 {
            End::Truncated
        } else {
            End::NoAnswer
        };
        self.attempt_failed(id, end, effects);
    }
}
