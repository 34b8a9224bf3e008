//! Accepted configuration changes.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Changes that are kept. The design size has 15,000 changes a day; operators look at the last hour.
const MAX_CHANGES: usize = 1_000;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change made.
    pub version: u64,
    /// Operator's call id.
    pub id: Arc<str>,
    /// Time of acceptance, milliseconds of wall-clock time.
    pub at_ms: u64,
    /// What changed.
    pub kind: Kind,
}

/// What a change was about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The inventory or its rules.
    Inventory,
    /// A zone was taken out or brought back.
    Zone {
        /// Name of the zone.
        name: Arc<str>,
        /// Whether it is out.
        out: bool,
    },
    /// A target was taken out or brought back.
    Target {
        /// Name of the target.
        name: Arc<str>,
        /// Whether it is out.
        out: bool,
    },
}

/// The last changes, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Log {
    changes: VecDeque<Change>,
}

impl Log {
    /// Adds a change and drops the oldest one above the limit.
    pub(super) fn push(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the changes, oldest first.
    pub(super) fn changes(&self) -> &VecDeque<Change> {
        &self.changes
    }
}
