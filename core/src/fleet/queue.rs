//! Requests that wait in line for targets.
//!
//! A long prompt waits for idle targets while it can be on time, and leaves them to more urgent ones of
//! other VMs. A short one waits for a slot; while slots are scarce each VM takes its part.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempts::FULL_RETRY;
use super::pending::{Pending, caller_limit};
use super::placement::Candidate;
use super::planner::is_foreign;
use super::{Choice, Effect, Id, Reason, Reducer};
use crate::time::Instant;

/// Expected cost of a placement, in relation to the worth of the request, above which a long prompt waits
/// for better targets while it can.
const WAIT_COST: f64 = 0.3;

/// Expected cost of a placement above which it makes more of other requests late than it is worth. A late
/// request alone costs one.
pub(super) const HARM: f64 = 1.0;

/// Time for which a prompt that could be placed leaves the targets to a more urgent one of a peer.
const DEFER: Duration = Duration::from_millis(80);

/// A late prompt waits for targets that no other needs for one of so many parts of the time after which its
/// caller leaves.
const LATE_WAIT_PART: u32 = 2;

/// Time in which all VMs hear what one of them has sent.
const NEWS: Duration = Duration::from_millis(100);

/// Interval at which requests in line are looked at again.
const LINE_INTERVAL: Duration = Duration::from_millis(20);

/// Part of its time after which a request in line for a target in cold start is refused.
const LINE_PART: u32 = 4;

/// Part of the time after which its caller leaves for which a short prompt waits for a free slot.
const SHORT_WAIT_PART: f64 = 0.25;

/// Part of the objective that a short prompt needs at a target for its first event: half a pass until it is
/// admitted, and the pass in which it is read.
const FIRST_EVENT_PART: f64 = 0.45;

impl Reducer {
    /// Returns the number of own short prompts in line for a slot, without one of them.
    pub(super) fn own_waiting(&self, without: Option<Id>) -> usize {
        let others = self.line.iter().filter(|id| Some(**id) != without);
        let line = others.filter_map(|id| self.pending.get(id));
        line.filter(|pending| pending.waits_for_slot()).count()
    }

    /// Takes one of the free slots. While more short prompts wait at all VMs than slots are free, each VM
    /// takes its part of the slots in the time that news of it needs.
    pub(super) fn take_slot(&mut self, now: Instant, id: Id, candidates: &[Candidate]) -> bool {
        let own = self.own_waiting(Some(id)) as f64 + 1.0;
        let total = own + f64::from(self.tally.peers_waiting(now));
        let free = |c: &Candidate| c.slots.saturating_sub(u32::from(c.load.running));
        let free: u32 = candidates.iter().filter(|c| !c.avoided).map(free).sum();
        if total <= 1.0 || f64::from(free) >= total {
            return true;
        }
        let passed = now.since(self.slots_at).as_secs_f64() / NEWS.as_secs_f64();
        self.slots_at = now;
        let part = f64::from(free) * own / total;
        self.slots = (self.slots + part * passed).min(part.max(1.0));
        let taken = self.slots >= 1.0;
        if taken {
            self.slots -= 1.0;
        }
        taken
    }

    pub(super) fn queue(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if !self.line.contains(&id) {
            self.line.push_back(id);
            let pending = self.pending.get_mut(&id).filter(|_| !is_foreign(id));
            if pending.is_some_and(|pending| !std::mem::replace(&mut pending.queued, true)) {
                effects.push(Effect::Queue(id, self.line.len()));
            }
            self.hold_foreign(id, effects);
            // Peers with less urgent requests wait for it.
            self.share_due = true;
            self.shared_at = Instant::default();
        }
    }

    /// Decides whether a long prompt waits in line: while it can be on time, for targets that make it so
    /// and for more urgent prompts; afterwards, for targets that no other needs.
    pub(super) fn waits(&mut self, now: Instant, id: Id, choice: &Choice, slack: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        if slack.is_zero() {
            pending.urgent_until = None;
            let waited = now.since(pending.arrived);
            let end = caller_limit(&pending.route) / LATE_WAIT_PART;
            let wanted = self.tally.peer_waits(now)
                || self
                    .pending
                    .values()
                    .any(|other| other.urgent_until.is_some());
            return waited < end && (wanted || !choice.idle || choice.cost > HARM);
        }
        let until = now + slack;
        pending.urgent_until = Some(until);
        if choice.cost > WAIT_COST || !choice.idle {
            pending.chance_at = None;
            return true;
        }
        let own = self.pending.values().filter_map(|other| other.urgent_until);
        let deferred =
            own.min().is_some_and(|first| first < until) || self.tally.peer_before(until, now);
        let pending = self.pending.get_mut(&id);
        let chance_at = pending.map_or(now, |pending| *pending.chance_at.get_or_insert(now));
        deferred && now.since(chance_at) < DEFER
    }

    /// Returns whether a request may wait for a target in cold start.
    pub(super) fn in_line(&self, now: Instant, pending: &Pending) -> bool {
        let total = pending.deadline.since(pending.arrived);
        if now.since(pending.arrived) > total / LINE_PART {
            return false;
        }
        let mut records = self.directory.records();
        records.any(|(target, record)| self.may_run(now, pending, target, record))
    }

    pub(super) fn serve_line(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now.since(self.line_at) < LINE_INTERVAL {
            return;
        }
        self.line_at = now;
        // Requests that can still be on time come first. If one short prompt finds no slot, no other does.
        let mut line: Vec<(bool, Instant, Id)> = Vec::with_capacity(self.line.len());
        for id in &self.line {
            if let Some(pending) = self.pending.get(id) {
                let due = pending.arrived + pending.route.objective;
                let start_by = if pending.short {
                    due - pending.route.objective.mul_f64(FIRST_EVENT_PART)
                } else {
                    due
                };
                line.push((start_by < now, due, *id));
            }
        }
        line.sort_unstable();
        let mut full: SmallVec<[Arc<str>; 2]> = SmallVec::new();
        for (_, _, id) in line {
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            let service = Arc::clone(&pending.service.name);
            if full.contains(&service) && pending.short && now < short_wait_end(pending) {
                continue;
            }
            self.place(now, id, effects);
            if self.pending.get(&id).is_some_and(Pending::waits_for_slot) {
                full.push(service);
            }
        }
        let pending = &self.pending;
        self.line.retain(|id| {
            let pending = pending.get(id);
            pending.is_some_and(|pending| pending.running.is_none() && pending.asked.is_none())
        });
    }

    /// Puts a short prompt in line for a slot, or refuses it if it has waited for too long.
    pub(super) fn wait_for_slot(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if now < short_wait_end(pending) {
            pending.short = true;
            self.queue(id, effects);
        } else {
            self.refuse(now, id, Reason::Busy, Some(FULL_RETRY), effects);
        }
    }
}

/// Returns when a short prompt has waited for a slot for too long.
fn short_wait_end(pending: &Pending) -> Instant {
    pending.arrived + caller_limit(&pending.route).mul_f64(SHORT_WAIT_PART)
}
