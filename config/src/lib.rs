//! Settings and inventory: parsing, checks and errors with line and column.
//!
//! [`settings`] holds what each process reads at its start; the inventory's types are in
//! `primrosepin_core::inventory`.

pub mod settings;
