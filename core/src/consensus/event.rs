//! Events of a control replica.

use std::sync::Arc;

use super::{Id, Message};

/// An event of a control replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received(Message),
    /// All writes up to this sequence number are synced.
    Persisted {
        /// Sequence number of the last write.
        sequence: u64,
    },
    /// Commands for the log, each with a number that the effects repeat.
    Propose(Vec<(u64, Arc<[u8]>)>),
    /// The state machine's encoded state, so that older entries can be dropped.
    Compact {
        /// Index up to which the state machine has applied the log.
        index: u64,
        /// Encoded state machine.
        state: Arc<[u8]>,
    },
    /// An operator removes a member that will not return, or is not wanted any more.
    RemoveMember(Id),
    /// The replica shuts down; a leader hands over to another voter.
    TransferLeadership,
}
