//! Outcomes of operators' calls, kept so that a resent call gets the first outcome.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Outcome;

/// Number of outcomes that are kept: about one day of changes at the design size (15,000 a day).
pub const MAX_OUTCOMES: usize = 16_384;

/// Outcomes by call id; the oldest are evicted first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Cache {
    arrival_order: VecDeque<Arc<str>>,
    outcomes: BTreeMap<Arc<str>, (u64, Outcome)>,
}

impl Cache {
    /// Returns the outcome of an earlier call with this id, or [`Outcome::Reused`] if that call had a
    /// different content hash.
    pub(super) fn get(&self, id: &str, content_hash: u64) -> Option<Outcome> {
        let (known, outcome) = self.outcomes.get(id)?;
        Some(if *known == content_hash {
            outcome.clone()
        } else {
            Outcome::Reused
        })
    }

    /// Records the outcome of a call.
    pub(super) fn record(&mut self, id: &Arc<str>, content_hash: u64, outcome: &Outcome) {
        if self.arrival_order.len() == MAX_OUTCOMES
            && let Some(oldest) = self.arrival_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.arrival_order.push_back(Arc::clone(id));
        self.outcomes
            .insert(Arc::clone(id), (content_hash, outcome.clone()));
    }
}
