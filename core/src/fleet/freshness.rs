//! Tracks up to what time this VM's configuration is known to hold every committed change.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Newest confirmation that the applied configuration was the committed one.
///
/// The control leader's answer carries the age of its last contact with a quorum. At the time of
/// that contact no later configuration was committed. The VM counts from the time at which it
/// sent its request, so delays of the messages and suspensions of the processes only make the
/// confirmation look older than it is.
///
/// An answer may carry a revision that has not been applied here yet. It counts once that revision
/// is applied; otherwise changes in quick succession would keep a VM from ever being fresh.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
    /// Revisions that are not applied yet, with the time as of which each was the committed one,
    /// oldest first.
    unapplied: VecDeque<(u64, Instant)>,
}

/// Most answers that are kept until their revision is applied. The VM sends each control VM two
/// requests a second.
const MAX_UNAPPLIED: usize = 32;

impl Freshness {
    /// Records the answer to a request sent at `requested_at`, from a leader that had contact with
    /// a quorum `age` before it answered and had committed `revision`; `applied` is the revision
    /// in force here.
    pub fn confirm(&mut self, requested_at: Instant, age: Duration, revision: u64, applied: u64) {
        let as_of = requested_at - age;
        if revision <= applied {
            self.confirmed_at = Some(self.confirmed_at.map_or(as_of, |known| known.max(as_of)));
            return;
        }
        if self.unapplied.len() == MAX_UNAPPLIED {
            self.unapplied.pop_front();
        }
        self.unapplied.push_back((revision, as_of));
    }

    /// Counts the kept answers whose revision is now in force.
    pub fn apply(&mut self, applied: u64) {
        let in_force = self
            .unapplied
            .iter()
            .filter(|(revision, _)| *revision <= applied);
        self.confirmed_at = self
            .confirmed_at
            .max(in_force.map(|(_, as_of)| *as_of).max());
        self.unapplied.retain(|(revision, _)| *revision > applied);
    }

    /// Returns the time for which committed changes may be missing; none before the first answer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether every change committed longer than `max_age` ago has been applied.
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}
