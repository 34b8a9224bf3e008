//! Checks the histories of several replicas against the invariants of the protocol.
//!
//! The verifier uses only observable state: role, term, log and applied entries. It shares no code with
//! the reducer, so that a fault in the reducer cannot hide in the check.

use std::collections::BTreeMap;
use std::fmt;

use super::{Entry, Id, Reducer, Role};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas were leader in the same term.
    TwoLeaders {
        /// The term.
        term: u64,
        /// First leader seen.
        first: Id,
        /// Second leader seen.
        second: Id,
    },
    /// Two logs have entries of the same term at the same index but differ at or before that index.
    LogMismatch {
        /// Index of the difference.
        index: u64,
        /// First replica.
        first: Id,
        /// Other replica.
        second: Id,
    },
    /// An entry differs from the entry committed at its index.
    CommittedChanged {
        /// Index of the entry.
        index: u64,
        /// Replica whose entry differs.
        replica: Id,
    },
    /// A new leader lacks a committed entry.
    CommittedLost {
        /// Index of the entry.
        index: u64,
        /// The leader.
        leader: Id,
    },
    /// A replica skipped or repeated an entry.
    AppliedOutOfOrder {
        /// Index applied.
        index: u64,
        /// The replica.
        replica: Id,
    },
    /// State machines differ at the same index.
    StateDiffers {
        /// The index.
        index: u64,
        /// Replica whose state differs.
        replica: Id,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Collects the histories of replicas and checks them as they grow.
#[derive(Debug, Clone, Default)]
pub struct Verifier {
    leaders: BTreeMap<u64, Id>,
    committed: BTreeMap<u64, Entry>,
    applied: BTreeMap<Id, u64>,
    states: BTreeMap<u64, u64>,
}

impl Verifier {
    /// Returns the committed entries by index, as far as any replica applied them.
    pub fn committed(&self) -> &BTreeMap<u64, Entry> {
        &self.committed
    }

    /// Records that the state machine of a replica starts at an index, after a restart or a snapshot.
    pub fn record_start(&mut self, replica: Id, index: u64) {
        self.applied.insert(replica, index);
    }

    /// Checks that a replica applies the next entry and that it equals the one committed at its index.
    pub fn check_applied(&mut self, replica: Id, entry: &Entry) -> Result<(), Violation> {
        let applied = self.applied.entry(replica).or_default();
        if entry.index != *applied + 1 {
            return Err(Violation::AppliedOutOfOrder {
                index: entry.index,
                replica,
            });
        }
        *applied = entry.index;
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if first != entry {
            return Err(Violation::CommittedChanged {
                index: entry.index,
                replica,
            });
        }
        Ok(())
    }

    /// Checks that the state machine of a replica, given as a digest, equals the others at an index.
    pub fn check_state(&mut self, replica: Id, index: u64, digest: u64) -> Result<(), Violation> {
        if *self.states.entry(index).or_insert(digest) != digest {
            return Err(Violation::StateDiffers { index, replica });
        }
        Ok(())
    }

    /// Checks the role and log of a replica after an event.
    pub fn check_replica(&mut self, replica: &Reducer) -> Result<(), Violation> {
        let id = replica.id();
        if replica.role() == Role::Leader {
            let new = !self.leaders.contains_key(&replica.term());
            let first = *self.leaders.entry(replica.term()).or_insert(id);
            if first != id {
                return Err(Violation::TwoLeaders {
                    term: replica.term(),
                    first,
                    second: id,
                });
            }
            if new {
                let log: BTreeMap<u64, &Entry> = replica
                    .entries()
                    .map(|entry| (entry.index, entry))
                    .collect();
                let after = self.committed.range(replica.base().0 + 1..);
                if let Some((index, _)) = after
                    .filter(|(_, entry)| entry.term < replica.term())
                    .find(|(index, entry)| log.get(index) != Some(entry))
                {
                    return Err(Violation::CommittedLost {
                        index: *index,
                        leader: id,
                    });
                }
            }
        }
        let committed = replica
            .entries()
            .take_while(|entry| entry.index <= replica.commit());
        for entry in committed {
            let known = self.committed.get(&entry.index);
            if known.is_some_and(|known| known != entry) {
                return Err(Violation::CommittedChanged {
                    index: entry.index,
                    replica: id,
                });
            }
        }
        Ok(())
    }

    /// Checks that two logs are equal up to the last index at which their terms agree.
    pub fn check_logs(first: &Reducer, second: &Reducer) -> Result<(), Violation> {
        let log: BTreeMap<u64, &Entry> =
            first.entries().map(|entry| (entry.index, entry)).collect();
        let common: Vec<(&Entry, &Entry)> = second
            .entries()
            .filter_map(|entry| Some((*log.get(&entry.index)?, entry)))
            .collect();
        let matching = common
            .iter()
            .rposition(|(one, other)| one.term == other.term);
        let Some(matching) = matching else {
            return Ok(());
        };
        match common[..=matching].iter().find(|(one, other)| one != other) {
            Some((entry, _)) => Err(Violation::LogMismatch {
                index: entry.index,
                first: first.id(),
                second: second.id(),
            }),
            None => Ok(()),
        }
    }
}
