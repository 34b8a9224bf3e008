//! History of accepted configuration changes.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of changes that are kept. The design size has 15,000 changes a day, and operators look at the
/// last hour.
const MAX_CHANGES: usize = 1_000;

/// An accepted configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Configuration version that the change created.
    pub version: u64,
    /// Id of the operator's call.
    pub id: Arc<str>,
    /// Time of acceptance, milliseconds of wall-clock time.
    pub at_ms: u64,
    /// Subject of the change.
    pub kind: Kind,
}

/// Subject of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The inventory or its rules.
    Inventory,
    /// A zone was taken out of service or brought back.
    Zone {
        /// Name of the zone.
        name: Arc<str>,
        /// Whether the zone is out.
        out: bool,
    },
    /// A target was taken out of service or brought back.
    Target {
        /// Name of the target.
        name: Arc<str>,
        /// Whether the target is out.
        out: bool,
    },
}

/// The latest changes, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Log {
    changes: VecDeque<Change>,
}

impl Log {
    /// Adds a change and drops the oldest one if the limit is exceeded.
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
