//! Members of a control deployment.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::vm;

/// Random id of a replica, stored with its votes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Id(pub u64);

/// A replica that belongs to the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the replica.
    pub id: Id,
    /// Name of its VM.
    pub vm: vm::Name,
    /// QUIC address.
    pub address: SocketAddr,
    /// Whether the replica votes and counts towards a quorum; a learner does neither.
    pub voter: bool,
}

/// All replicas of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Random id of the deployment; zero before bootstrap.
    pub deployment: u64,
    /// Voters and learners.
    pub list: Vec<Member>,
    /// The latest removed ids, which are not admitted again.
    pub removed: Vec<Id>,
}

/// Removed ids that are kept. A deployment of the design size loses about 26 VMs of all kinds a day.
const MAX_REMOVED_IDS: usize = 256;

impl Members {
    /// Returns the member with an id.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id)
    }

    /// Removes members and records their ids as removed.
    pub(super) fn remove<F>(&mut self, is_removed: F)
    where
        F: Fn(&Member) -> bool,
    {
        let removed = self.list.extract_if(.., |member| is_removed(member));
        self.removed.extend(removed.map(|member| member.id));
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_IDS);
        self.removed.drain(..excess);
    }

    /// Makes a member a voter or a learner.
    pub(super) fn set_voter(&mut self, id: Id, voter: bool) {
        if let Some(member) = self.list.iter_mut().find(|member| member.id == id) {
            member.voter = voter;
        }
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|member| member.voter)
    }

    /// Returns whether an id is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters().any(|member| member.id == id)
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that every voter of some quorum reaches; none without voters.
    pub fn quorum_value<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(&Member) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}
