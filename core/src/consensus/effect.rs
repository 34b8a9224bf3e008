//! Effects of a control replica.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Entry, Id, Message, Snapshot};

/// State that a replica stores in addition to its log and snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Id of the replica.
    pub id: Id,
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received this replica's vote in the term.
    pub voted_for: Option<Id>,
    /// Whether the replica belongs to a deployment and so has a snapshot.
    pub initialized: bool,
}

/// An effect of a control replica.
///
/// `Persist`, `InstallSnapshot` and `SaveSnapshot` must be carried out in order. A message may be sent as
/// soon as it is returned; messages that depend on a write are returned after
/// [`super::Event::Persisted`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Writes and syncs; the driver then reports [`super::Event::Persisted`].
    Persist {
        /// Sequence number to report.
        sequence: u64,
        /// Hard state to write, if it changed.
        hard_state: Option<HardState>,
        /// Entries to write; the first replaces an entry with the same index and all after it.
        entries: Vec<Entry>,
    },
    /// Replaces log, snapshot and state machine and syncs; the driver then reports
    /// [`super::Event::Persisted`].
    InstallSnapshot {
        /// Sequence number to report.
        sequence: u64,
        /// Hard state to write.
        hard_state: HardState,
        /// Snapshot to install.
        snapshot: Snapshot,
    },
    /// Writes a snapshot; stored entries up to its index may then be deleted.
    SaveSnapshot(Snapshot),
    /// Sets all data aside and restarts without data, because the replica was replaced.
    Reset {
        /// Addresses of the members that the replica knew, for [`super::Settings::contacts`].
        contacts: Vec<SocketAddr>,
    },
    /// Applies an entry, which is committed and synced locally, to the state machine.
    Apply(Entry),
    /// A proposed command was appended to the leader's log. It will be committed, or replaced after a
    /// change of leader.
    Accepted {
        /// Number of the proposal.
        proposal: u64,
        /// Term of the entry.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// A proposed command was not appended to any log.
    Refused {
        /// Number of the proposal.
        proposal: u64,
    },
}
