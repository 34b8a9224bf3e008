//! Decision logic of primrosepin.
//!
//! The crate contains pure reducers: [`serving`] decides for an entry VM of a self-contained zone,
//! [`fleet`] for an entry VM whose targets serve a whole region, and [`consensus`] for a control replica. A
//! reducer takes the time and an [`event`](serving::event) and appends effects as data. It does no I/O and
//! reads neither the clock nor an external random source, so that any run can be replayed from its events
//! and a seed.

pub mod consensus;
pub mod fingerprint;
pub mod fleet;
pub mod inventory;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod organisation;
pub mod quarantine;
pub mod registry;
pub mod request;
pub mod service;
pub mod serving;
pub mod target;
pub mod time;
pub mod vm;
pub mod zone;
