//! Requests at targets that make no progress.
//!
//! Silence does not tell a lost target from a slow one, so a request stays where it is until it can start
//! at another target at once. Leaving a silent target for a queue would give up work that may still
//! finish.

use super::pending::{gap, max_duration};
use super::queue::MAX_COST;
use super::{Division, Id, Placement, Reducer, RetryPolicy};
use crate::time::Instant;

impl Reducer {
    /// Returns whether a running request may leave its target and can start at another one at once.
    pub fn can_relocate(&mut self, now: Instant, id: Id) -> bool {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return false;
        };
        let may_repeat = pending.route.retry_policy != RetryPolicy::AtMostOnce
            && pending.attempts < pending.route.max_attempts.max(1);
        if pending.running.is_none() || !may_repeat || !self.has_retry(now, &pending.service.name) {
            return false;
        }
        let candidates = self.candidates(now, &pending);
        let Some(engine) = &pending.service.engine else {
            return candidates
                .iter()
                .any(|candidate| !candidate.avoided && !candidate.is_full());
        };
        let placement = Placement {
            objective: pending.route.objective,
            gap: gap(&pending.service),
            division: Division::new(pending.service.policy),
        };
        let choice = placement.place_generation(engine, pending.tokens(), &candidates);
        choice.is_some_and(|choice| {
            let duration = max_duration(&pending.service, pending.tokens(), &choice);
            let stops_first = self.shutdown_at.is_some_and(|until| now + duration > until);
            let in_time = choice.predicted < pending.deadline.since(now) && !stops_first;
            choice.idle && in_time && (!choice.exclusive || choice.cost <= MAX_COST)
        })
    }
}
