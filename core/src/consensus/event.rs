//! Events of a control replica.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Id, Message};

/// An event of a control replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received(Message),
    /// All writes up to a sequence number are synced.
    Persisted {
        /// Sequence number of the last write.
        sequence: u64,
    },
    /// Proposes commands, each with a proposal number that the resulting effects repeat.
    Propose(Vec<(u64, Arc<[u8]>)>),
    /// Provides the encoded state machine, so that older entries can be dropped.
    Compact {
        /// Index up to which the state machine has applied the log.
        index: u64,
        /// Encoded state machine.
        state: Arc<[u8]>,
    },
    /// An operator removes a member that will not return or is no longer wanted.
    RemoveMember(Id),
    /// The settings list these addresses of replicas from now on. Bootstrapping still needs the replicas that
    /// they listed at the start.
    Listed(Vec<SocketAddr>),
    /// The replica shuts down. It tells the other members, and a leader transfers leadership to another voter.
    Leave,
}
