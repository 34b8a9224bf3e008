//! Messages between control replicas.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Id, Members};
use crate::vm;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// Content.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader; commits the entries of earlier terms.
    Start,
    /// Replaces the members.
    Members(Members),
    /// Encoded command for the state machine.
    Command(Arc<[u8]>),
}

impl Payload {
    /// Returns the approximate encoded size, bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Start => 32,
            Self::Members(members) => 64 + members.list.len() * 64,
            Self::Command(bytes) => 32 + bytes.len(),
        }
    }
}

/// A message between control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Deployment of the sender; zero if it has none yet.
    pub deployment: u64,
    /// Sender.
    pub from: Id,
    /// Receiver; zero if the sender does not know it. Another replica ignores the message.
    pub to: Id,
    /// Address of the sender for answers.
    pub address: SocketAddr,
    /// Content.
    pub body: Body,
}

/// Content of a message between control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks to join the deployment, to found one, or to learn a new address.
    Join {
        /// VM name of the sender.
        vm: vm::Name,
        /// Whether the sender has no data.
        blank: bool,
        /// Whether the sender may found a deployment.
        bootstrap: bool,
    },
    /// Asks for a vote, or whether a vote would be given.
    VoteRequest {
        /// Term of the candidate.
        term: u64,
        /// Whether the vote is only a probe that changes no state.
        pre: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers [`Body::VoteRequest`].
    VoteResponse {
        /// Term of the vote if it is given, else the term of the voter.
        term: u64,
        /// Whether the answer is to a probe.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Replicates entries; empty as heartbeat.
    AppendEntries {
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
    /// Answers [`Body::AppendEntries`] and the last part of a snapshot.
    AppendResponse {
        /// Term of the follower.
        term: u64,
        /// Whether the entries were appended and synced.
        accepted: bool,
        /// Highest index that matches the leader's log, or a hint where to continue.
        index: u64,
        /// Round answered.
        round: u64,
    },
    /// A part of a snapshot that replaces the receiver's state.
    SnapshotChunk {
        /// Term of the leader.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Term at that index.
        index_term: u64,
        /// Members at that index.
        members: Members,
        /// Position of the part, bytes.
        offset: u64,
        /// Length of the whole state, bytes.
        total: u64,
        /// The part of the encoded state machine.
        part: Arc<[u8]>,
        /// Identifies the heartbeat round for the leader's quorum check.
        round: u64,
    },
    /// Answers a part of a snapshot that is not the last.
    SnapshotResponse {
        /// Term of the follower.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Length received without gap, bytes.
        offset: u64,
        /// Round answered.
        round: u64,
    },
    /// What the sender knows of entry VMs, for status only; the reducer ignores it.
    EntryContacts(Vec<EntryContact>),
    /// The leader shuts down; another voter starts an election at once.
    TransferLeadership {
        /// Term of the leader.
        term: u64,
        /// Voter that starts the election.
        successor: Id,
    },
    /// Tells a replica that it was replaced, so that it joins again without data.
    Removed {
        /// Term of the leader.
        term: u64,
    },
    /// Asks the leader to remove a member.
    RemoveMember {
        /// The member.
        member: Id,
    },
}

/// The last sign of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryContact {
    /// Name of the entry VM.
    pub vm: vm::Name,
    /// Configuration version in force there.
    pub version: u64,
    /// Age of the sign, milliseconds.
    pub age_ms: u64,
}
