//! Until when a VM knows that its configuration holds every committed change.

use crate::time::Instant;
use std::time::Duration;

/// The newest confirmation that the applied configuration was the committed one.
///
/// The leader of control answers a question only with the age of its last contact with a quorum. At
/// that moment no later configuration was committed. The VM counts from the time at which it asked, so
/// delays and pauses on the way only shorten the lease.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Takes an answer to a question asked at `asked`, from a leader that had contact with a quorum
    /// `age` before it answered.
    pub fn confirm(&mut self, asked: Instant, age: Duration) {
        let as_of = asked - age;
        self.confirmed = Some(self.confirmed.map_or(as_of, |known| known.max(as_of)));
    }

    /// Returns the time since which a committed change may be missing; none before the first answer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether every change committed longer than `bound` ago is known.
    pub fn holds(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}
