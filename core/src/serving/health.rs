//! Health of targets and connections: late first tokens, stalled connections and probes.
//!
//! A stalled connection says nothing about its target, so the target is first probed on a new
//! connection. If it answers, the stream is resumed on a new connection. If not, the attempt counts
//! as lost. Without a response header there may be no stream to resume. A repeatable request is
//! then sent to another target, but only if the target's load shows that it does not have the
//! request.

use std::sync::Arc;
use std::time::Duration;

use crate::request::{Class, End, Id};
use crate::target;

use super::effect::{Effect, Notice};
use super::reducer::Reducer;
use super::request::Run;
use super::settings::Policy;

/// Time without progress after which an attempt counts as stalled. It doubles with each stall.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a target gets no new work after a failed connection or probe.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);

/// Number of stalls on a live target after which an attempt is left alone until its deadline.
const STALLS_MAX: u8 = 3;

/// A first token is late if it takes more than this multiple of the prediction.
const LATE_RATIO: u64 = 4;

/// Lower bound of the prediction that [`LATE_RATIO`] multiplies, because transport and batching
/// alone take about as long.
const LATE_MIN_US: u64 = 250_000;

/// Returns whether a first token is late that took this long since the dispatch.
const fn is_late(run: &Run, elapsed_us: u64) -> bool {
    let expected = if run.ttft_us > LATE_MIN_US {
        run.ttft_us
    } else {
        LATE_MIN_US
    };
    elapsed_us > LATE_RATIO * expected
}

impl Reducer {
    /// Assesses the target of an attempt by the time to its first token, or to its end without one.
    /// `has_first_token` tells whether there was a first token.
    pub(super) fn assess_first_token(
        &mut self,
        run: &mut Run,
        class: Class,
        has_first_token: bool,
        effects: &mut Vec<Effect>,
    ) {
        let target = self.table.get(run.target);
        let full = target
            .is_some_and(|target| target.zone_running() + 1 >= target.announcement.max_running);
        if full && has_first_token {
            // The request may have waited for a slot that another entry VM took at the same time.
            run.healthy = true;
            return;
        }
        if class > Class::Short {
            // Work of higher priority that arrived later may delay the first token by any time.
            run.healthy = has_first_token;
            return;
        }
        let elapsed_us = self.now.since(run.sent).as_micros() as u64;
        // Under the baseline policies all work has equal priority, so work that peers dispatched at
        // the same time may account for a late first token.
        let explained_us = match self.settings.policy {
            Policy::Length => 0,
            Policy::RoundRobin | Policy::LeastLoad => self
                .table
                .get(run.target)
                .map_or(0, |target| target.peak_backlog_us(self.now)),
        };
        let late = is_late(run, elapsed_us.saturating_sub(explained_us));
        run.healthy = has_first_token && !late;
        if !has_first_token && !late {
            return;
        }
        let is_cold = self
            .table
            .get_generation_mut(run.target, run.generation)
            .is_some_and(|target| target.count_first_token(late));
        if is_cold {
            self.mark_cold(run.target, effects);
        }
    }

    /// Marks a target as cold.
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

    /// Marks a target as warm.
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

    /// Probes the targets of stalled attempts and fails unanswered probes.
    pub(super) fn probe_stalled_attempts(&mut self, effects: &mut Vec<Effect>) {
        let mut stalled = Vec::new();
        for request in self.requests.values_mut() {
            let Some(run) = request.run_mut() else {
                continue;
            };
            let due_us = match (run.first_token, run.header) {
                (true, _) => 0,
                (false, true) => run.ttft_us,
                // The header of an answer that is not streamed arrives with its last token.
                (false, false) => run.ttft_us + run.decode_us,
            };
            let due = run
                .last_progress
                .max(run.sent + Duration::from_micros(due_us));
            let timeout = STALL_TIMEOUT * (1 << run.stalls.min(STALLS_MAX));
            if !run.probe_pending && run.stalls < STALLS_MAX && due + timeout <= self.now {
                run.probe_pending = true;
                stalled.push((Arc::clone(&run.name), run.address));
            }
        }
        for (name, address) in stalled {
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

    /// Probes a target, unless a probe is in progress.
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

    /// Suspends and probes a target that could not be reached.
    pub(super) fn suspend_target(&mut self, run: &Run, effects: &mut Vec<Effect>) {
        if let Some(target) = self.table.get_generation_mut(run.target, run.generation) {
            target.unresponsive_until = Some(self.now + UNRESPONSIVE_TIME);
        }
        self.probe(&run.name, run.address, effects);
    }

    /// Handles the result of a probe and decides about the stalled attempts on the target.
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
        let stalled: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request
                    .run()
                    .is_some_and(|run| run.probe_pending && run.name == *name)
            })
            .map(|(&id, _)| id)
            .collect();
        for id in stalled {
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
        // If the target reports nothing to prefill and fewer requests than were dispatched to it,
        // it did not receive this one or lost it. Otherwise the prefill may just be delayed by work
        // of higher priority.
        let missing = self
            .table
            .get_generation_mut(run.target, run.generation)
            .is_none_or(|target| {
                let load = target.announcement.load;
                load.prefill_tokens == 0 && load.running + load.waiting < target.zone_running()
            });
        if alive {
            if !engine || at_most_once {
                // The request may be running and cannot be resumed. The answer may still arrive.
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
