//! Messages between control replicas.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Id, Members};
use crate::{vm, zone};

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
    /// No-op entry that a new leader appends, so that entries of earlier terms can be committed.
    Noop,
    /// Replaces the members.
    Members(Members),
    /// Encoded command for the state machine.
    Command(Arc<[u8]>),
}

impl Payload {
    /// Returns the approximate encoded size, bytes.
    pub(super) fn approximate_size(&self) -> usize {
        match self {
            Self::Noop => 32,
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
    /// Id of the sender.
    pub from: Id,
    /// Id of the receiver; zero if the sender does not know it. Replicas with another id ignore the
    /// message, except for join requests.
    pub to: Id,
    /// Address to which responses are sent.
    pub address: SocketAddr,
    /// Content.
    pub body: Body,
}

/// Content of a message between control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests to join the deployment, to bootstrap one, or to update the sender's address.
    Join {
        /// VM name of the sender.
        vm: vm::Name,
        /// Whether the sender has no data.
        blank: bool,
        /// Whether the sender may bootstrap a deployment.
        bootstrap: bool,
    },
    /// Requests a vote, or a pre-vote.
    VoteRequest {
        /// Term of the candidate.
        term: u64,
        /// Whether this is a pre-vote, which asks if a vote would be granted and changes no state.
        pre_vote: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers [`Body::VoteRequest`].
    VoteResponse {
        /// Term of the vote if it is granted, otherwise the term of the voter.
        term: u64,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; a heartbeat has none.
    AppendEntries {
        /// Term of the leader.
        term: u64,
        /// Index of the entry before the first one sent.
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
    /// Answers [`Body::AppendEntries`] and the last chunk of a snapshot.
    AppendResponse {
        /// Term of the follower.
        term: u64,
        /// Whether the entries were appended and synced.
        accepted: bool,
        /// Highest index that matches the leader's log if accepted, otherwise a hint for the index after
        /// which the leader should continue.
        index: u64,
        /// Round answered.
        round: u64,
    },
    /// A chunk of a snapshot that replaces the receiver's state.
    SnapshotChunk {
        /// Term of the leader.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Term at that index.
        index_term: u64,
        /// Members at that index.
        members: Members,
        /// Position of the chunk in the state, bytes.
        offset: u64,
        /// Length of the complete state, bytes.
        total: u64,
        /// Chunk of the encoded state machine.
        chunk: Arc<[u8]>,
        /// Identifies the heartbeat round for the leader's quorum check.
        round: u64,
    },
    /// Answers a chunk of a snapshot that is not the last.
    SnapshotResponse {
        /// Term of the follower.
        term: u64,
        /// Last index that the snapshot covers.
        index: u64,
        /// Length received without gaps, bytes.
        offset: u64,
        /// Round answered.
        round: u64,
    },
    /// The sender's latest contacts with entry VMs, for status output only; the reducer ignores it.
    EntryContacts(Vec<EntryContact>),
    /// The leader steps down; the successor starts an election at once.
    TransferLeadership {
        /// Term of the leader.
        term: u64,
        /// Voter that starts the election.
        successor: Id,
    },
    /// Tells a replica that it was replaced, so that it discards its data and joins again.
    Removed {
        /// Term of the leader.
        term: u64,
    },
    /// Requests that the leader removes a member.
    RemoveMember {
        /// Member to remove.
        member: Id,
    },
    /// What the leader takes into account when it chooses the voters. Sent only in deployments with open
    /// membership; earlier builds ignore it.
    Status {
        /// Availability zone of the sender, if known.
        zone: Option<zone::Name>,
        /// Whether the sender shuts down.
        leaving: bool,
    },
}

/// The latest contact with an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryContact {
    /// Name of the entry VM.
    pub vm: vm::Name,
    /// Configuration version in force on the entry VM.
    pub version: u64,
    /// Time since the contact, milliseconds.
    pub age_ms: u64,
}
