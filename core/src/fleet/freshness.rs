//! Until when a VM knows that its configuration holds every committed change.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// The newest confirmation that the applied configuration was the committed one.
///
/// The leader of control answers a question only with the age of its last contact with a quorum. At
/// that moment no later configuration was committed. The VM counts from the time at which it asked, so
/// delays and pauses on the way only shorten the lease.
///
/// An answer may name a revision that is still on its way here. It counts once that revision is applied, so
/// that changes in quick succession do not keep a VM from ever being sure.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
    /// Times as of which a revision that is not applied yet was the committed one, oldest first.
    unapplied: VecDeque<(u64, Instant)>,
}

/// Answers that wait for their revision. The VM asks each control VM twice a second.
const MAX_UNAPPLIED: usize = 32;

impl Freshness {
    /// Takes an answer to a question asked at `asked`, from a leader that had contact with a quorum `age`
    /// before it answered and knew `revision`; `applied` is the one in force here.
    pub fn confirm(&mut self, asked: Instant, age: Duration, revision: u64, applied: u64) {
        let as_of = asked - age;
        if revision <= applied {
            self.confirmed_at = Some(self.confirmed_at.map_or(as_of, |known| known.max(as_of)));
            return;
        }
        if self.unapplied.len() == MAX_UNAPPLIED {
            self.unapplied.pop_front();
        }
        self.unapplied.push_back((revision, as_of));
    }

    /// Counts the answers whose revision is now in force.
    pub fn apply(&mut self, applied: u64) {
        let met = self
            .unapplied
            .iter()
            .filter(|(revision, _)| *revision <= applied);
        self.confirmed_at = self.confirmed_at.max(met.map(|(_, as_of)| *as_of).max());
        self.unapplied.retain(|(revision, _)| *revision > applied);
    }

    /// Returns the time since which a committed change may be missing; none before the first answer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether every change committed longer than `bound` ago is known.
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}
