//! Replicated log of the control replicas, based on Raft.
//!
//! [`Reducer`] is the state machine of one replica. It takes the time and an [`Event`] and appends
//! [`Effect`]s; it does no I/O and reads neither the clock nor an external random source. [`verify`] checks
//! the histories of several replicas for violated invariants.
//!
//! # Protocol
//!
//! Terms, votes, log replication and commit follow the Raft papers, with pre-vote, check-quorum for
//! leaders, chunked snapshots, leadership transfer, and membership changes of one replica at a time.
//!
//! # Identity
//!
//! A replica is identified by a random [`Id`] that is stored with its votes, not by its VM's name. A VM
//! that lost its disk gets a new id and joins as a learner. The leader replaces the old id by the new one
//! only after the learner has caught up, so a replica that lost its votes and log cannot vote under its
//! old id.
//!
//! # Voters
//!
//! With open membership, VMs are replaced at new addresses. The leader then chooses which members vote: an odd
//! number of them, with no lost one for which there is another. The others are learners that hold all data.
//!
//! # Discovery
//!
//! Only the leader admits replicas, and a replica without data knows the listed ones alone. Followers pass
//! join requests on to the leader. Members send join requests to listed replicas that are not members, and a
//! replica without data takes the sender of any message of a deployment for a contact: it asks there too and
//! passes on the requests of others. A replica that is reset keeps the addresses of the members it knew.
//!
//! # Bootstrap
//!
//! A replica without data sends join requests to all replicas in its settings. If none of them has data
//! and all may bootstrap, the one with the lowest VM name creates the deployment with all ids as voters.
//! The others receive the initial members as a snapshot at index zero. A replica without data may grant
//! votes, since its id is new and its votes are stored; it never starts an election.
//!
//! # Invariants
//!
//! - A term has at most one leader; a vote is sent only after it is synced.
//! - A leader commits only entries that a quorum of voters has synced, up to an entry of its own term.
//! - A replica applies only entries that are committed and synced to its own disk.
//! - A leader that has had no contact with a quorum for one election timeout, by its own clock, steps down.
//!   The time until then is called its lease.

mod contacts;
mod effect;
mod event;
mod leader;
mod log;
mod member;
mod message;
mod reducer;
mod snapshot;
pub mod verify;
mod voters;

pub use effect::{Effect, HardState};
pub use event::Event;
pub use member::{Id, Member, Members};
pub use message::{Body, Entry, EntryContact, Message, Payload};
pub use reducer::{Reducer, Role, Settings};
pub use snapshot::Snapshot;
