//! What a leader knows of the other replicas.

use std::collections::{BTreeMap, VecDeque};

use super::{Id, Members, Snapshot};
use crate::time::Instant;

/// Heartbeat rounds whose start is remembered; answers to older rounds do not extend the lease.
const MAX_ROUNDS: usize = 128;

/// Replication to one replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Highest index known to be synced there.
    pub(super) matched: u64,
    /// Next index to send.
    pub(super) next: u64,
    /// When the leader began to replicate to it.
    pub(super) since: Instant,
    /// Start of the last round that was answered.
    pub(super) acked: Option<Instant>,
    /// When entries or a part of a snapshot were sent that are not answered yet.
    pub(super) sent: Option<Instant>,
    /// Whether the replica said that it has no data.
    pub(super) blank: bool,
    /// Snapshot that is being sent, with the length received so far.
    pub(super) snapshot: Option<(Snapshot, u64)>,
}

impl Progress {
    fn new(now: Instant, next: u64) -> Self {
        Self {
            matched: 0,
            next,
            since: now,
            acked: None,
            sent: None,
            blank: false,
            snapshot: None,
        }
    }
}

/// State of a leader.
#[derive(Debug, Clone)]
pub(super) struct Leader {
    /// When the replica became leader.
    pub(super) since: Instant,
    /// Index of the leader's first entry.
    pub(super) start_index: u64,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Instant,
    /// Other members.
    pub(super) progress: BTreeMap<Id, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
}

impl Leader {
    pub(super) fn new(now: Instant, start_index: u64) -> Self {
        Self {
            since: now,
            start_index,
            heartbeat_at: now,
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    /// Follows a change of the members.
    pub(super) fn update(&mut self, now: Instant, own: Id, members: &Members, next: u64) {
        self.progress.retain(|id, _| members.get(*id).is_some());
        for member in &members.list {
            if member.id != own {
                self.progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(now, next));
            }
        }
    }

    /// Starts a heartbeat round.
    pub(super) fn start_round(&mut self, now: Instant) {
        self.round += 1;
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((self.round, now));
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Records an answer. The start of the round counts, since the answer proves nothing later.
    pub(super) fn record_answer(&mut self, from: Id, round: u64) {
        let started = self.rounds.iter().find(|(number, _)| *number == round);
        if let (Some((_, started)), Some(progress)) = (started, self.progress.get_mut(&from)) {
            progress.acked = progress.acked.max(Some(*started));
        }
    }

    /// Returns the time up to which a quorum is known to have followed this leader.
    pub(super) fn quorum_at(&self, own: Id, now: Instant, members: &Members) -> Instant {
        members
            .quorum_value(|member| {
                if member.id == own {
                    return now;
                }
                let progress = self.progress.get(&member.id);
                progress
                    .and_then(|progress| progress.acked)
                    .unwrap_or(self.since)
            })
            .unwrap_or(self.since)
    }
}
