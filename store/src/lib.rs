//! Synced log, snapshots and recovery.
//!
//! A [`Store`] keeps three things of a replica in one folder: a small state record (term and vote), the
//! numbered entries of a log, and the last snapshot. Their content is opaque to this crate.
//!
//! # Files
//!
//! - `log-N`: a segment of records. Each record has a magic number, its length, a CRC-32, the length
//!   of the segment that was known to be synced when the record was written, a kind and a body. The
//!   checksum also covers the segment's number, so that a record of another file is never valid.
//! - `snapshot-N`: the last snapshot. It names the first segment that counts after it.
//! - `lock`: held while a process has the store open.
//!
//! # Invariants
//!
//! - [`Store::append`], [`Store::save_snapshot`] and [`Store::install_snapshot`] return only after file and folder are
//!   synced. After an error the store refuses all further writes, because it no longer knows what is
//!   on the disk; a new [`Store::open`] finds out.
//! - An invalid record is a torn tail if no later record proves that it had been synced. A torn tail is
//!   cut off. Any other invalid record, a missing segment or an invalid snapshot is [`Error::Corrupt`].
//! - The last segment is copied and synced when a store is opened, because after a failed sync the
//!   system may serve data from memory that never reaches the disk.

mod error;
mod folder;
mod record;
mod recovery;
mod snapshot;
mod store;

pub use error::Error;
pub use recovery::Recovered;
pub use snapshot::Snapshot;
pub use store::{Settings, Store};
