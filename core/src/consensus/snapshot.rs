//! Snapshots of the state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Members;

/// State of a replica at an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers; zero for the initial snapshot.
    pub index: u64,
    /// Term at that index.
    pub term: u64,
    /// Members at that index.
    pub members: Members,
    /// Encoded state machine; empty for the initial snapshot.
    pub state: Arc<[u8]>,
}
