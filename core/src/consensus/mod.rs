//! Replicated log of the control replicas.
//!
//! [`Reducer`] is one replica. It takes the time and an [`Event`] and appends [`Effect`]s; it reads no
//! clock, socket, file or random source. [`verify`] checks the histories of several replicas.
//!
//! # Protocol
//!
//! Terms, votes, log replication and commit follow the Raft papers, with pre-vote, a leader's quorum
//! check, snapshots in parts, and membership changes of one replica at a time.
//!
//! # Identity
//!
//! A replica is identified by a random [`Id`] that is stored with its votes, not by its VM's name. A VM
//! that lost its disk gets another id. It joins as a learner, and the leader replaces the old id by the
//! new one only after the learner has caught up. An empty disk thus never votes as if it remembered.
//!
//! # Start of a deployment
//!
//! A replica without data asks all replicas of its settings to join. If all of them are without data
//! and may start a deployment, the one with the lowest VM name founds it with all ids as voters. The
//! others receive the founding as a snapshot at index zero. A replica without data may grant votes, since
//! its id is new and its votes are stored; it never asks for votes.
//!
//! # Invariants
//!
//! - At most one leader in a term; a vote is answered only after it is synced.
//! - An entry is committed only after a quorum of voters synced it and its term is the leader's.
//! - A replica applies only entries that are committed and synced on its own disk.
//! - A leader that has not reached a quorum for one election timeout, by its own clock, acts no more.

mod effect;
mod event;
mod leader;
mod log;
mod member;
mod message;
mod reducer;
mod snapshot;
pub mod verify;

pub use effect::{Effect, HardState};
pub use event::Event;
pub use member::{Id, Member, Members};
pub use message::{Body, Entry, EntryContact, Message, Payload};
pub use reducer::{Reducer, Role, Settings};
pub use snapshot::Snapshot;
