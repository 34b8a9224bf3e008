//! Queue of requests that wait for targets.
//!
//! A long prompt waits for idle targets while it can meet its objective, and defers to more urgent
//! prompts of other VMs. A short prompt waits for a slot; while slots are scarce, each VM takes its
//! share.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempts::FULL_RETRY;
use super::pending::{Pending, caller_gap_limit};
use super::placement::Candidate;
use super::planner::is_peer_request;
use super::share::OrganisationId;
use super::{Choice, Effect, Id, Reason, Reducer};
use crate::time::Instant;

/// Expected cost of a placement, relative to the value of the request, above which a long prompt
/// waits for better targets while it can still meet its objective.
const MAX_IMMEDIATE_COST: f64 = 0.3;

/// Expected cost of a placement above which it makes other requests late that together are worth
/// more than the request itself. A request that is late without making others late has cost 1.
pub(super) const MAX_COST: f64 = 1.0;

/// How long a prompt that could be placed defers to a more urgent one of a peer.
const MAX_DEFERRAL: Duration = Duration::from_millis(80);

/// A long prompt that will miss its objective waits for targets that no other prompt needs, for at
/// most [`caller_gap_limit`] divided by this.
const LATE_WAIT_DIVISOR: u32 = 2;

/// Time within which a VM's load report reaches all peers.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Interval at which queued requests are placed again.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// A request waits for a target in cold start for at most the time from its arrival to its deadline
/// divided by this, and is refused afterwards.
const COLD_WAIT_DIVISOR: u32 = 4;

/// Fraction of [`caller_gap_limit`] for which a short prompt waits for a free slot.
const SLOT_WAIT_FRACTION: f64 = 0.25;

/// Fraction of the objective that a short prompt needs at a target for its first event: half a pass
/// until it is admitted, and the pass in which it is prefilled.
const FIRST_EVENT_FRACTION: f64 = 0.45;

impl Reducer {
    /// Returns the number of this VM's short prompts that wait for a slot, except the one given.
    pub(super) fn own_waiting(&self, without: Option<Id>) -> usize {
        let others = self.queue.iter().filter(|id| Some(**id) != without);
        let queue = others.filter_map(|id| self.pending.get(id));
        queue.filter(|pending| pending.waits_for_slot()).count()
    }

    /// Takes one of the free slots; returns whether it may. While more short prompts wait at all
    /// VMs than slots are free, each VM takes its share of them once per [`REPORT_DELAY`].
    pub(super) fn take_slot(&mut self, now: Instant, id: Id, candidates: &[Candidate]) -> bool {
        let own = self.own_waiting(Some(id)) as f64 + 1.0;
        let total = own + f64::from(self.loads.peers_waiting(now));
        let free = |c: &Candidate| c.slots.saturating_sub(u32::from(c.load.running));
        let free: u32 = candidates.iter().filter(|c| !c.avoided).map(free).sum();
        if total <= 1.0 || f64::from(free) >= total {
            return true;
        }
        let passed = now.since(self.slot_share_at).as_secs_f64() / REPORT_DELAY.as_secs_f64();
        self.slot_share_at = now;
        let share = f64::from(free) * own / total;
        self.slot_share = (self.slot_share + share * passed).min(share.max(1.0));
        let price = self.slot_price(now, id);
        let taken = self.slot_share >= price;
        if taken {
            self.slot_share -= price;
        }
        taken
    }

    pub(super) fn enqueue(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if !self.queue.contains(&id) {
            self.queue.push_back(id);
            let pending = self.pending.get_mut(&id).filter(|_| !is_peer_request(id));
            if pending.is_some_and(|pending| !std::mem::replace(&mut pending.queued, true)) {
                effects.push(Effect::Queue(id, self.queue.len()));
            }
            self.send_queued(id, effects);
            // Report at once, so that peers with less urgent requests defer to this one.
            self.report_due = true;
            self.reported_at = Instant::default();
        }
    }

    /// Returns whether a long prompt must wait in the queue. While it can meet its objective, it
    /// waits for targets with which it does and defers to more urgent prompts; afterwards it waits
    /// for targets that no other prompt needs.
    pub(super) fn must_wait(
        &mut self,
        now: Instant,
        id: Id,
        choice: &Choice,
        slack: Duration,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        if slack.is_zero() {
            pending.latest_start = None;
            let waited = now.since(pending.arrived);
            let end = caller_gap_limit(&pending.route) / LATE_WAIT_DIVISOR;
            let wanted = self.loads.peer_has_urgent(now)
                || self
                    .pending
                    .values()
                    .any(|other| other.latest_start.is_some());
            return waited < end && (wanted || !choice.idle || choice.cost > MAX_COST);
        }
        let until = now + slack;
        pending.latest_start = Some(until);
        if choice.cost > MAX_IMMEDIATE_COST || !choice.idle {
            pending.placeable_since = None;
            return true;
        }
        let own = self.pending.values().filter_map(|other| other.latest_start);
        let deferred =
            own.min().is_some_and(|first| first < until) || self.loads.peer_more_urgent(until, now);
        let pending = self.pending.get_mut(&id);
        let placeable_since =
            pending.map_or(now, |pending| *pending.placeable_since.get_or_insert(now));
        deferred && now.since(placeable_since) < MAX_DEFERRAL
    }

    /// Returns whether a request may wait for a target that is in cold start.
    pub(super) fn may_wait_for_cold(&self, now: Instant, pending: &Pending) -> bool {
        let total = pending.deadline.since(pending.arrived);
        if now.since(pending.arrived) > total / COLD_WAIT_DIVISOR {
            return false;
        }
        let mut records = self.directory.records();
        records.any(|(target, record)| self.may_run(now, pending, target, record))
    }

    pub(super) fn serve_queue(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now.since(self.queue_served_at) < QUEUE_INTERVAL {
            return;
        }
        self.queue_served_at = now;
        // Requests that can still meet their objective come first. If one short prompt finds no
        // slot, the others of its service find none either.
        let mut queue: Vec<(bool, Instant, Id)> = Vec::with_capacity(self.queue.len());
        for id in &self.queue {
            if let Some(pending) = self.pending.get(id) {
                let due = pending.arrived + pending.route.objective;
                let start_by = if pending.needs_slot {
                    due - pending.route.objective.mul_f64(FIRST_EVENT_FRACTION)
                } else {
                    due
                };
                queue.push((start_by < now, due, *id));
            }
        }
        queue.sort_unstable();
        self.order_by_share(now, &mut queue);
        let mut full: SmallVec<[(Arc<str>, OrganisationId); 2]> = SmallVec::new();
        for (_, _, id) in queue {
            let Some(pending) = self.pending.get(&id) else {
                continue;
            };
            let service = (Arc::clone(&pending.service.name), Self::slot_group(pending));
            if full.contains(&service) && pending.needs_slot && now < slot_wait_end(pending) {
                continue;
            }
            self.place(now, id, effects);
            if self.pending.get(&id).is_some_and(Pending::waits_for_slot) {
                full.push(service);
            }
        }
        let pending = &self.pending;
        self.queue.retain(|id| {
            let pending = pending.get(id);
            pending.is_some_and(|pending| pending.running.is_none() && pending.query.is_none())
        });
    }

    /// Queues a short prompt for a slot, or refuses it if it has waited for too long.
    pub(super) fn wait_for_slot(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if now < slot_wait_end(pending) {
            pending.needs_slot = true;
            self.enqueue(id, effects);
        } else {
            self.refuse(now, id, Reason::Busy, Some(FULL_RETRY), effects);
        }
    }
}

/// Returns when a short prompt stops waiting for a slot.
fn slot_wait_end(pending: &Pending) -> Instant {
    let wait = caller_gap_limit(&pending.route).mul_f64(SLOT_WAIT_FRACTION);
    // A second refusal costs a caller most, so a request that returned as told waits longer.
    pending.arrived + if pending.claimed { wait * 2 } else { wait }
}
