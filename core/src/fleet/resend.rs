//! Second sends of requests whose pooled connection closed.
//!
//! A target may close an idle connection just as a request is sent on it, so a request that may be repeated is sent once
//! more on a new connection. The close also comes long after the first send: when the answer is lost, or the target
//! ends. Whether the target may get the request again is therefore decided anew, by all that holds for a first send, and
//! the send takes from the retry budget: many connections close at the same time when a target ends.

use std::sync::Arc;

use super::{Id, Reducer, RetryPolicy};
use crate::time::Instant;

impl Reducer {
    /// Returns whether a running request may be sent to its target once more, and counts that send.
    pub fn take_resend(&mut self, now: Instant, id: Id) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Some(running) = &pending.running else {
            return false;
        };
        let target = running.target;
        let Some(record) = self.directory.record(target) else {
            return false;
        };
        if pending.route.retry_policy == RetryPolicy::AtMostOnce
            || !self.takes_work(now, pending, record)
            || self.is_refused_by_rule(pending)
        {
            return false;
        }
        let (name_hash, cold) = (record.name_hash, now < record.cold_until);
        let service = Arc::clone(&pending.service);
        if !self.has_room_at(now, target, name_hash, cold, service.cold_per_s)
            || !self.take_retry(now, &service.name)
        {
            return false;
        }
        self.record_sent(now, target, name_hash, cold);
        true
    }
}
