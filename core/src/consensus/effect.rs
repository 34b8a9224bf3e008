//! Effects of a control replica.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Entry, Id, Message, Snapshot};

/// State that a replica stores beside its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Id of the replica.
    pub id: Id,
    /// Highest term seen.
    pub term: u64,
    /// Candidate that has the vote of the term.
    pub voted_for: Option<Id>,
    /// Whether the replica belongs to a deployment and so must have a snapshot.
    pub initialized: bool,
}

/// An effect of a control replica.
///
/// `Persist`, `Install` and `Save` are carried out in their order. A message is ready to be sent when
/// it is returned; those that depend on a write are returned after [`super::Event::Persisted`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Writes and syncs, then reports [`super::Event::Persisted`].
    Persist {
        /// Sequence number to report.
        sequence: u64,
        /// State to write, if it changed.
        hard_state: Option<HardState>,
        /// Entries to write; the first replaces an entry with the same index and all after it.
        entries: Vec<Entry>,
    },
    /// Replaces log, snapshot and state machine, syncs, then reports [`super::Event::Persisted`].
    InstallSnapshot {
        /// Sequence number to report.
        sequence: u64,
        /// State to write.
        hard_state: HardState,
        /// The new content.
        snapshot: Snapshot,
    },
    /// Writes a snapshot; entries up to its index are no longer needed on the disk.
    SaveSnapshot(Snapshot),
    /// Sets all data aside and starts again without: the replica was replaced.
    Reset,
    /// Applies a committed entry to the state machine.
    Apply(Entry),
    /// A proposed command is in the leader's log and will be committed, or replaced after a change of
    /// leader.
    Accepted {
        /// Number of the proposal.
        proposal: u64,
        /// Term of the entry.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// A proposed command was certainly not taken into the log.
    Refused {
        /// Number of the proposal.
        proposal: u64,
    },
}
