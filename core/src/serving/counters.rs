//! Counters for status and metrics.

use std::collections::BTreeMap;

use crate::request::{Outcome, Reason};

/// Totals since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts sent to targets.
    pub dispatched: u64,
    /// Final outcomes, indexed by [`Outcome`].
    outcomes: [u64; 4],
    /// Requests that ended without a complete answer, by [`Reason::as_str`].
    pub reasons: BTreeMap<&'static str, u64>,
    /// Dispatches after the first of a request. Resumed streams are not counted.
    pub retries: u64,
    /// Retries suppressed by the retry budget.
    pub retries_over_budget: u64,
    /// Streams resumed on the same engine.
    pub resumes: u64,
    /// Events of attempts that are no longer current.
    pub late_events: u64,
    /// Announcements that were ignored as stale.
    pub stale_announcements: u64,
    /// Announcements of a name that is in use by a target with another address.
    pub conflicts: u64,
    /// Cold credits requested by this VM.
    pub credits_asked: u64,
    /// Cold credits granted by this VM as coordinator.
    pub credits_granted: u64,
    /// Cold credits denied by this VM as coordinator.
    pub credits_denied: u64,
    /// Requests handed over to another zone.
    pub handed_over: u64,
    /// Probes of targets on new connections.
    pub probes: u64,
    /// Answers replayed from the ledger.
    pub replayed: u64,
}

impl Counters {
    /// Returns the number of requests that ended with `outcome`.
    pub const fn outcome(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    pub(super) const fn count_outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }

    pub(super) fn count_reason(&mut self, reason: Reason) {
        *self.reasons.entry(reason.as_str()).or_default() += 1;
    }
}
