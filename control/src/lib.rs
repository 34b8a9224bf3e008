//! Control process: replicated configuration and ledger on VMs with a disk.
//!
//! A [`Server`] is one replica. Three parts share its [`shared::Shared`] state:
//!
//! - the node thread owns the consensus reducer, the store and the state machine; it alone writes to
//!   the disk, and batches all pending writes into one sync;
//! - the peers task answers messages from other processes;
//! - the admin task answers operators' HTTP requests.
//!
//! A [`replica::Replica`] is the node thread alone, for a process that sends and receives the messages
//! itself.
//!
//! Invariants:
//! - An outcome is reported only after the command is committed by a quorum and applied.
//! - `not_accepted` is reported only if no copy of the command can be committed later; in all other
//!   cases without an outcome the answer is `unknown`.
//! - After a store error the replica acknowledges nothing until it has reopened the store from disk.

mod admin;
mod clock;
mod contacts;
mod disk;
mod meters;
mod node;
mod peers;
mod proposer;
pub mod replica;
mod server;
mod shared;

pub use clock::Clock;
pub use server::{Addresses, Options, Server};
