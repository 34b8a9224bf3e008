//! Messages between control replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// Encoded payload.
    pub payload: Arc<[u8]>,
}

/// A message between control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether a vote would be given.
    VoteAsk {
        /// Term of the candidate.
        term: u64,
        /// Whether the vote is only a probe that changes no state.
        pre: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers [`Message::VoteAsk`].
    VoteAnswer {
        /// Term of the voter.
        term: u64,
        /// Whether the answer is to a probe.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Replicates entries; empty as heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term at that index.
        previous_term: u64,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Identifies the heartbeat round for the leader's quorum check.
        round: u64,
    },
    /// Answers [`Message::Append`].
    AppendAnswer {
        /// Term of the follower.
        term: u64,
        /// Whether the entries were appended and synced.
        accepted: bool,
        /// Highest index that matches the leader's log, or a hint where to continue.
        index: u64,
        /// Round answered.
        round: u64,
    },
    /// Replaces the receiver's state.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Term at that index.
        index_term: u64,
        /// Voters and learners at that index, encoded.
        members: Arc<[u8]>,
        /// State machine, encoded.
        state: Arc<[u8]>,
    },
}
