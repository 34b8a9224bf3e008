//! A leader's replication state for the other replicas.

use std::collections::{BTreeMap, VecDeque};

use super::{Id, Members, Snapshot};
use crate::time::Instant;

/// Heartbeat rounds whose start time is kept; responses to older rounds do not extend the lease.
const MAX_HEARTBEAT_ROUNDS: usize = 128;

/// Replication progress of one replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Highest index known to be synced on the replica.
    pub(super) match_index: u64,
    /// Next index to send.
    pub(super) next_index: u64,
    /// When the leader started to replicate to this replica.
    pub(super) added_at: Instant,
    /// Start of the latest heartbeat round that the replica answered.
    pub(super) last_contact: Option<Instant>,
    /// When the entries or snapshot chunk in flight were sent; none if nothing is in flight.
    pub(super) sent_at: Option<Instant>,
    /// Whether the replica reported that it has no data.
    pub(super) blank: bool,
    /// Snapshot that is being sent, with the number of bytes the replica has received.
    pub(super) snapshot: Option<(Snapshot, u64)>,
}

impl Progress {
    fn new(now: Instant, next_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            added_at: now,
            last_contact: None,
            sent_at: None,
            blank: false,
            snapshot: None,
        }
    }
}

/// State of a leader.
#[derive(Debug, Clone)]
pub(super) struct Leader {
    /// When this replica became leader.
    pub(super) elected_at: Instant,
    /// The leader that this one followed before.
    pub(super) predecessor: Option<Id>,
    /// Index of the first entry of the leader's term.
    pub(super) start_index: u64,
    /// When the next heartbeat is due.
    pub(super) next_heartbeat_at: Instant,
    /// Replication progress of each other member.
    pub(super) progress: BTreeMap<Id, Progress>,
    /// Number of the latest heartbeat round.
    round: u64,
    /// Latest rounds with their start times, oldest first.
    rounds: VecDeque<(u64, Instant)>,
}

impl Leader {
    pub(super) fn new(now: Instant, start_index: u64, predecessor: Option<Id>) -> Self {
        Self {
            elected_at: now,
            predecessor,
            start_index,
            next_heartbeat_at: now,
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    /// Adds and drops progress records after a membership change.
    pub(super) fn update(&mut self, now: Instant, own: Id, members: &Members, next_index: u64) {
        self.progress.retain(|id, _| members.get(*id).is_some());
        for member in &members.list {
            if member.id != own {
                self.progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(now, next_index));
            }
        }
    }

    /// Starts a heartbeat round.
    pub(super) fn start_round(&mut self, now: Instant) {
        self.round += 1;
        if self.rounds.len() == MAX_HEARTBEAT_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((self.round, now));
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Records a response to a round. Contact is dated to the start of the round: the response does not
    /// prove that the replica still followed this leader at any later time.
    pub(super) fn record_response(&mut self, from: Id, round: u64) {
        let started = self.rounds.iter().find(|(number, _)| *number == round);
        if let (Some((_, started)), Some(progress)) = (started, self.progress.get_mut(&from)) {
            progress.last_contact = progress.last_contact.max(Some(*started));
        }
    }

    /// Returns the latest time at which a quorum is known to have followed this leader.
    pub(super) fn quorum_contact(&self, own: Id, now: Instant, members: &Members) -> Instant {
        members
            .quorum_value(|member| {
                if member.id == own {
                    return now;
                }
                let progress = self.progress.get(&member.id);
                progress
                    .and_then(|progress| progress.last_contact)
                    .unwrap_or(self.elected_at)
            })
            .unwrap_or(self.elected_at)
    }
}
