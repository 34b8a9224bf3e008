//! Outcomes of operators' calls, kept so that a resend gets the first outcome.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Outcome;

/// Outcomes that are kept: about one day of changes at the design size (15,000 a day).
pub const MAX_OUTCOMES: usize = 16_384;

/// Outcomes by call id, forgotten in the order of arrival.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Memory {
    order: VecDeque<Arc<str>>,
    outcomes: BTreeMap<Arc<str>, (u64, Outcome)>,
}

impl Memory {
    /// Returns the outcome of an earlier call with this id, or [`Outcome::Reused`] if that call had
    /// other content.
    pub(super) fn get(&self, id: &str, content: u64) -> Option<Outcome> {
        let (known, outcome) = self.outcomes.get(id)?;
        Some(if *known == content {
            outcome.clone()
        } else {
            Outcome::Reused
        })
    }

    /// Records the outcome of a call.
    pub(super) fn record(&mut self, id: &Arc<str>, content: u64, outcome: &Outcome) {
        if self.order.len() == MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.push_back(Arc::clone(id));
        self.outcomes
            .insert(Arc::clone(id), (content, outcome.clone()));
    }
}
