//! Durable log, snapshots and recovery.
//!
//! A [`Store`] keeps three parts of a replica in one folder: the hard state (term and vote), the entries
//! of the log, and the last snapshot. Apart from the indices of the entries, their content is opaque to
//! this crate.
//!
//! # Files
//!
//! - `log-N`: a segment of the log. Each record has a magic number, its length, a CRC-32, the length of
//!   the segment that was synced when the record was written, a kind and a body. The checksum also covers
//!   the segment's number, so that a record from another segment is never valid.
//! - `snapshot-N`: the last snapshot. It contains the number of the first segment that recovery replays.
//! - `lock`: locked while a process has the store open.
//! - `temporary`: a file that is being written and is renamed once it is synced.
//!
//! # Invariants
//!
//! - [`Store::append`], [`Store::save_snapshot`] and [`Store::install_snapshot`] return only after file
//!   and folder are synced. After an error the store refuses all further writes, because the content of
//!   the disk is then unknown until the next [`Store::open`].
//! - An invalid record in the last segment is an incomplete write if no later record proves that the
//!   range had been synced. It is truncated. Any other invalid record, a missing segment or an invalid
//!   snapshot is [`Error::Corrupt`].
//! - The last segment is copied and synced when a store is opened, because after a failed sync the page
//!   cache may hold data that never reaches the disk.

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
